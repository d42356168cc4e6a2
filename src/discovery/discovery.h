// The endpoint lists of the discovery service: their types, their JSON form and what can be wrong with it.
// Splitting a watch into lists (list_splitter.h) and following it (discovery_watch.h) are not done here.
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

// How lists reach this process: the agent of this machine pushes them and answers a call at once and at no
// cost, or each call is work for one discovery that answers all.
enum class DiscoveryMode { Pushed, OnRequest };

// One list: all endpoints (a snapshot), or those that changed after an earlier index.
struct EndpointList {
  std::int64_t index = 0;  // grows with each change that discovery makes
  bool is_snapshot = false;
  std::vector<ListEntry> entries;       // online_since_s is set by EndpointStartTimes
  std::vector<std::string> addresses;   // one for each entry
  std::vector<double> stated_start_ms;  // one for each entry, Unix time; 0: long ago, or not stated
  double received_at_s = 0;             // monotonic; 0: not known
  bool has_start_times = false;         // online_since_s of the entries is set
};

// What makes a list unusable. The first four come from its text, the others from how it follows on others.
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
  ListFault what = ListFault::InvalidJson;
  std::string where;  // the field, the status or the parser's message; empty where `what` says all
};

using ListResult = Result<EndpointList, ListError>;

// The name of a fault in log events, as "missing_entry_field".
std::string_view name_of(ListFault fault);
// One line for people.
std::string describe(const ListError& error);

// Reads one list (protocol: "The registry"). Fails where a field is missing or a status unknown.
ListResult parse_endpoint_list(simdjson::dom::element json);
ListResult parse_endpoint_list(std::string_view text);

// The same for readers of settings: throws Malformed with describe() of the error.
EndpointList parse_endpoint_list_or_throw(simdjson::dom::element json);

// Unix time in seconds of an HTTP date ("Tue, 14 Nov 2023 22:13:20 GMT"); none if `date` is not one.
std::optional<double> parse_http_date(std::string_view date);

// Parses one list after the other in memory that is used again, except for long lists: theirs is released.
class ListParser {
 public:
  ListResult parse(std::string_view text);

 private:
  static constexpr std::size_t kMaxRetainedBytes = std::size_t{64} * 1024;
  simdjson::dom::parser parser_;
};

}  // namespace puffinvane
