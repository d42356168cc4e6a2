// Writes the log events of discovery, which docs/oncall.md lists. DiscoveryWatch decides when to log them.
#pragma once

#include <cstdint>
#include <string_view>

#include "src/discovery/list_cursor.h"
#include "src/net/log.h"

namespace puffinvane {

// What a call to discovery had reached when an event of it was logged.
struct LoggedCall {
  std::string_view address;
  std::int64_t held_index = 0;
  double since_s = 0;  // since the call was sent or was last answered
};

// discovery.call_event address=... event=... state=... held_index=... since_s=...   (debug)
void log_call_event(Log& log, const LoggedCall& call, std::string_view event, std::string_view state);
// discovery.call_unanswered address=... state=... held_index=... since_s=...   (info)
void log_call_unanswered(Log& log, const LoggedCall& call, std::string_view state);
// discovery.call_sent address=... target=... scope=full_list|changes held_index=...   (debug)
// target: of the HTTP request, e.g. "/v1/servers?watch=1&after=9".
void log_call_sent(Log& log, const LoggedCall& call, CallScope scope, std::string_view target);
// discovery.list_received address=... index=... snapshot=0|1 entries=... since_s=...   (debug)
void log_list_received(Log& log, const LoggedCall& call, const EndpointList& list);
// discovery.call_failed address=... reason=invalid_http|http_status status=...
void log_call_failed(Log& log, std::string_view address, const CallFailed& failure);
// discovery.list_rejected address=... reason=... where=...
// The reason is to_string() of the fault.
void log_list_rejected(Log& log, std::string_view address, const ListError& error);

}  // namespace puffinvane
