#include "src/proxy/forwarder_events.h"

namespace puffinvane {

namespace {

Log::Event& with_attempt(Log::Event& event, const LoggedAttempt& attempt) {
  return event.with("request", attempt.request_id)
      .with("number", attempt.number)
      .with("endpoint", attempt.endpoint);
}

std::string_view to_string(ListedState state) {
  switch (state) {
    case ListedState::Ready: return "active";
    case ListedState::Draining: return "leaving";
    case ListedState::Removed: return "left";
  }
  return "unknown";
}

}  // namespace

void log_list_applied(Log& log, std::int64_t index, const ListChangeCounts& changed, std::size_t listed) {
  log.event(Level::Info, "endpoint_list.applied")
      .with("index", index)
      .with("ready", changed.ready)
      .with("draining", changed.draining)
      .with("removed", changed.removed)
      .with("listed", listed);
}

void log_entry_applied(Log& log, std::int64_t index, const ListEntry& entry) {
  log.event(Level::Debug, "endpoint_list.entry")
      .with("index", index)
      .with("endpoint", entry.endpoint)
      .with("status", to_string(entry.state));
}

void log_attempt_started(Log& log, const LoggedAttempt& attempt, std::int64_t list_index, double list_age_s) {
  Log::Event event = log.event(Level::Debug, "attempt.started");
  with_attempt(event, attempt).with("list_index", list_index).with("list_age_s", list_age_s);
}

void log_attempt_writing(Log& log, const LoggedAttempt& attempt, double started_before_s) {
  Log::Event event = log.event(Level::Debug, "attempt.writing");
  with_attempt(event, attempt).with("started_before_s", started_before_s);
}

void log_attempt_ended(Log& log, const LoggedAttempt& attempt, Outcome outcome, double latency_s) {
  Log::Event event = log.event(Level::Debug, "attempt.ended");
  with_attempt(event, attempt).with("outcome", to_string(outcome)).with("latency_s", latency_s);
}

void log_request_ended(Log& log, std::string_view request_id, int status, std::size_t attempts) {
  log.event(Level::Debug, "request.ended")
      .with("request", request_id)
      .with("status", status)
      .with("attempts", attempts);
}

void log_response_given_up(Log& log, std::string_view request_id, const RelayProgress& progress) {
  log.event(Level::Info, "response.given_up")
      .with("request", request_id)
      .with("received_bytes", progress.received_bytes)
      .with("declared_bytes", progress.declared_bytes.value_or(0))
      .with("silent_s", progress.silent_s)
      .with("overdue_s", progress.overdue_s);
}

void log_id_refused(Log& log, std::string_view request_id) {
  log.event(Level::Debug, "request.id_refused").with("request", request_id);
}

std::string_view to_string(Outcome outcome) {
  switch (outcome) {
    case Outcome::Delivered: return "delivered";
    case Outcome::Failed: return "failed";
    case Outcome::Refused: return "refused";
    case Outcome::TimedOut: return "timed_out";
    case Outcome::ConnectFailed: return "connect_failed";
    case Outcome::Broken: return "broken";
    case Outcome::Stale: return "stale";
    case Outcome::Cancelled: return "cancelled";
    case Outcome::NotSent: return "not_sent";
  }
  return "unknown";
}

}  // namespace puffinvane
