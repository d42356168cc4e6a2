// Writes the log events of discovery, which docs/oncall.md lists. DiscoveryWatch decides when to log them.
#pragma once

#include <string_view>

#include "src/discovery/list_cursor.h"
#include "src/net/log.h"

namespace puffinvane {

// discovery.call_failed address=... reason=invalid_http|http_status status=...
void log_call_failed(Log& log, std::string_view address, const CallFailed& failure);
// discovery.list_rejected address=... reason=... where=...
// The reason is to_string() of the fault.
void log_list_rejected(Log& log, std::string_view address, const ListError& error);

}  // namespace puffinvane
