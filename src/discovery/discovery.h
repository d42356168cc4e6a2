// Endpoint lists of the discovery service: their types, their JSON parser and its errors. list_splitter.h
// splits a response into lists, and discovery_watch.h requests them.
#pragma once

#include <simdjson.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "puffinvane/result.h"
#include "src/config/settings/deployment.h"

namespace puffinvane {

// How this process gets endpoint lists.
// Pushed: from an agent on this machine, which answers each call at once and at negligible cost.
// OnRequest: from a central discovery service that serves all instances, so that every call adds to its load.
enum class DiscoveryMode { Pushed, OnRequest };

// One list: all endpoints (a snapshot), or only those that changed since an earlier index.
struct EndpointList {
  std::int64_t index = 0;  // discovery increments it with each change
  bool is_snapshot = false;
  std::vector<ListEntry> entries;       // EndpointStartTimes sets their online_since_s
  std::vector<std::string> addresses;   // parallel to entries
  std::vector<double> stated_start_ms;  // parallel to entries; Unix time; 0: long ago or not stated
  double received_at_s = 0;             // monotonic; 0: unknown
  bool has_start_times = false;         // whether online_since_s of the entries is set
};

// Why a list is rejected. The parser finds the first four, ListCursor those of the sequence of lists
// (IndexWentBack, EmptySnapshot), and DiscoveryWatch those of the transfer (TooLong, CutOff).
enum class ListFault {
  InvalidJson,
  MissingListField,
  MissingEntryField,
  UnknownStatus,
  IndexWentBack,
  EmptySnapshot,
  TooLong,
  CutOff
};

struct ListError {
  ListFault fault = ListFault::InvalidJson;
  std::string detail;  // the field, the status or the parser's message; empty for the other faults
};

using ListResult = Result<EndpointList, ListError>;

// The name of a fault in log events, e.g. "missing_entry_field".
std::string_view to_string(ListFault fault);
// An error message of one line, e.g. `a list entry lacks the field "address"`.
std::string describe(const ListError& error);

// Parses one list (protocol: "The registry"). Fails if the JSON is invalid, a required field is missing or a
// status is unknown.
ListResult parse_endpoint_list(simdjson::dom::element json);
ListResult parse_endpoint_list(std::string_view text);

// As parse_endpoint_list, for code that reads settings: throws Malformed with describe() of the error.
EndpointList parse_endpoint_list_or_throw(simdjson::dom::element json);

// Parses an HTTP date ("Tue, 14 Nov 2023 22:13:20 GMT") as Unix time in seconds; nullopt if it is invalid.
std::optional<double> parse_http_date(std::string_view date);

// Parses lists one by one and reuses its memory. A list of more than kMaxRetainedBytes gets memory of its
// own, which is freed afterwards, so that one long list doesn't occupy memory for good.
class ListParser {
 public:
  ListResult parse(std::string_view text);

 private:
  static constexpr std::size_t kMaxRetainedBytes = std::size_t{64} * 1024;
  simdjson::dom::parser parser_;
};

}  // namespace puffinvane
