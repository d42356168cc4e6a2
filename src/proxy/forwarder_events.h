// Writes the log events of the request forwarder, which docs/oncall.md lists. RequestForwarder decides when
// to log them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "puffinvane/policy.h"
#include "src/net/log.h"
#include "src/proxy/overdue_relay.h"

namespace puffinvane {

// What an endpoint list changed.
struct ListChangeCounts {
  std::size_t ready = 0;
  std::size_t draining = 0;
  std::size_t removed = 0;
};

// Identifies an attempt in the log.
struct LoggedAttempt {
  std::string_view request_id;  // as assigned by the client
  int number = 0;               // 0 for the first attempt of the request
  std::string_view endpoint;
};

// endpoint_list.applied index=... ready=... draining=... removed=... listed=...   (info)
// The first three counts are of the changed entries; listed is the number of listed endpoints afterwards.
void log_list_applied(Log& log, std::int64_t index, const ListChangeCounts& changed, std::size_t listed);

// endpoint_list.entry index=... endpoint=... status=active|leaving|left   (debug)
// A changed entry of the list with that index.
void log_entry_applied(Log& log, std::int64_t index, const ListEntry& entry);

// The events below are about single requests and are logged at debug.
// attempt.started request=... number=... endpoint=... list_index=... list_age_s=...
// list_age_s: since discovery last confirmed the list in force.
void log_attempt_started(Log& log, const LoggedAttempt& attempt, std::int64_t list_index, double list_age_s);
// attempt.writing request=... number=... endpoint=... started_before_s=...
void log_attempt_writing(Log& log, const LoggedAttempt& attempt, double started_before_s);
// attempt.ended request=... number=... endpoint=... outcome=... latency_s=...
void log_attempt_ended(Log& log, const LoggedAttempt& attempt, Outcome outcome, double latency_s);
// request.ended request=... status=... attempts=...
void log_request_ended(Log& log, std::string_view request_id, int status, std::size_t attempts);
// request.id_refused request=...: it may have run for a client that has left, or at another process.
void log_id_refused(Log& log, std::string_view request_id);

// response.given_up request=... received_bytes=... declared_bytes=... silent_s=... overdue_s=...
// At info: a response whose rest was not waited for, past the deadline of its request. declared_bytes 0:
// none.
void log_response_given_up(Log& log, std::string_view request_id, const RelayProgress& progress);

// The name of an outcome in log events, e.g. "connect_failed".
std::string_view to_string(Outcome outcome);

}  // namespace puffinvane
