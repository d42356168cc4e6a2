// Discovery's lists, as JSON: whole, or what changed since the one before.
#pragma once

#include <simdjson.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/settings/deployment.h"

namespace puffinvane {

struct EndpointList {
  std::int64_t index = 0;
  bool whole = false;
  std::vector<ListEntry> entries;
  std::vector<std::string> addresses;  // one for each entry
  std::vector<double> since_ms =
      {};               // one for each entry: its start as it was stated, 0: long ago or not stated
  double heard_at = 0;  // by the monotonic clock; 0: not known
  bool timed = false;   // online_since of its entries is known already
};

// online_since of its entries is for EndpointStarts to tell.
EndpointList read_list(simdjson::dom::element list);
EndpointList read_list(std::string_view line);

// An HTTP date, in Unix time; none: not to be understood.
std::optional<double> read_date(std::string_view date);

// Reads one list after the other with what the last one needed, but for a long one: that memory is given
// back.
class ListReader {
 public:
  EndpointList read(std::string_view line);

 private:
  static constexpr std::size_t kKept = 64 * 1024;  // bytes of a list
  simdjson::dom::parser parser_;
};

// A watch's lines as they come: it holds back what has no end yet. A list may be indented over several: its
// line ends where its braces are closed.
class Lines {
 public:
  static constexpr std::size_t kMost = 8 << 20;  // no list is longer: an endless line must not eat the memory
  void add(std::string_view bytes) { held_ += bytes; }
  bool next(std::string& line);
  bool too_long() const { return held_.size() > kMost; }
  bool started() const { return depth_ > 0; }      // some of a list has come
  bool unfinished() const { return broken_off_; }  // a list whose first lines have come and whose end has not

 private:
  std::string held_;
  std::size_t seen_ = 0;
  int depth_ = 0;
  bool quoted_ = false, escaped_ = false, broken_off_ = false;
};

}  // namespace puffinvane
