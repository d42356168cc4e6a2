#include "src/discovery/discovery_events.h"

namespace puffinvane {

namespace {

std::string_view name_of(CallFailed::Reason reason) {
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
      .with("reason", name_of(failure.reason))
      .with("status", failure.http_status);
}

void log_list_rejected(Log& log, std::string_view address, const ListError& error) {
  log.event(Level::Warning, "discovery.list_rejected")
      .with("address", address)
      .with("reason", name_of(error.what))
      .with("where", error.where);
}

}  // namespace puffinvane
