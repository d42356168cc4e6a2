// Splits the response body of a watch into lists. Looks only at line feeds, quotes, braces and brackets.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace puffinvane {

// Buffers bytes until a line is complete. A list may be pretty-printed over several lines: it counts as one
// line, which ends when all of its braces and brackets are closed. Owned by a DiscoveryWatch, on the event
// loop's thread. Reports no errors: invalid JSON is passed on to the parser.
class ListSplitter {
 public:
  // The caller rejects longer lists, so that an endless line can't exhaust the memory.
  static constexpr std::size_t kMaxListBytes = 8 << 20;

  void append(std::string_view bytes) { buffer_ += bytes; }
  // Removes and returns the next complete line without its line feed; nullopt if no line is complete.
  std::optional<std::string> take_line();
  // Removes and returns what is left after the last line feed, once the response has ended.
  std::string take_rest();
  bool exceeds_size_limit() const { return buffer_.size() > kMaxListBytes; }
  // The start of a list has been scanned, but not yet its end.
  bool has_partial_list() const { return depth_ > 0; }
  // The last line feed that was scanned is inside a list.
  bool ends_inside_list() const { return ends_inside_list_; }

 private:
  void scan(char byte);

  std::string buffer_;
  std::size_t scanned_bytes_ = 0;
  int depth_ = 0;  // of open braces and brackets
  bool in_quotes_ = false;
  bool is_escaped_ = false;
  bool ends_inside_list_ = false;
};

}  // namespace puffinvane
