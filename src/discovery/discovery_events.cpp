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

}  // namespace

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
