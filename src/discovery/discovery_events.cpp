#include "src/discovery/discovery_events.h"

namespace puffinvane {

namespace {

std::string_view to_string(CallFailed::Reason reason) {
  switch (reason) {
    case CallFailed::Reason::InvalidHttp: return "invalid_http";
    case CallFailed::Reason::HttpStatus: return "http_status";
  }
  return "unknown";
}

std::string_view to_string(CallScope scope) {
  switch (scope) {
    case CallScope::FullList: return "full_list";
    case CallScope::Changes: return "changes";
  }
  return "unknown";
}

}  // namespace

void log_call_event(Log& log, const LoggedCall& call, std::string_view event, std::string_view state) {
  log.event(Level::Debug, "discovery.call_event")
      .with("address", call.address)
      .with("event", event)
      .with("state", state)
      .with("held_index", call.held_index)
      .with("since_s", call.since_s);
}

void log_call_unanswered(Log& log, const LoggedCall& call, std::string_view state) {
  log.event(Level::Info, "discovery.call_unanswered")
      .with("address", call.address)
      .with("state", state)
      .with("held_index", call.held_index)
      .with("since_s", call.since_s);
}

void log_call_sent(Log& log, const LoggedCall& call, CallScope scope, std::string_view target) {
  log.event(Level::Debug, "discovery.call_sent")
      .with("address", call.address)
      .with("target", target)
      .with("scope", to_string(scope))
      .with("held_index", call.held_index);
}

void log_list_received(Log& log, const LoggedCall& call, const EndpointList& list) {
  log.event(Level::Debug, "discovery.list_received")
      .with("address", call.address)
      .with("index", list.index)
      .with("snapshot", list.is_snapshot ? 1 : 0)
      .with("entries", list.entries.size())
      .with("since_s", call.since_s);
}

void log_call_failed(Log& log, std::string_view address, const CallFailed& failure) {
  log.event(Level::Warning, "discovery.call_failed")
      .with("address", address)
      .with("reason", to_string(failure.reason))
      .with("status", failure.http_status);
}

void log_list_rejected(Log& log, std::string_view address, const ListError& error) {
  log.event(Level::Warning, "discovery.list_rejected")
      .with("address", address)
      .with("reason", to_string(error.fault))
      .with("where", error.detail);
}

}  // namespace puffinvane
