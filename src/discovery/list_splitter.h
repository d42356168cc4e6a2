// Splits the body of a watch into lists. Their text is not interpreted beyond quotes and braces.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace puffinvane {

// Holds back bytes until a line is complete. A list may be indented over several lines: its line ends where
// all of its braces are closed. Owned by a watch, on the event loop's thread; has no errors of its own.
class ListSplitter {
 public:
  // Longer lists are not read, so that a line without an end can't use up the memory.
  static constexpr std::size_t kMaxListBytes = 8 << 20;

  void append(std::string_view bytes) { buffer_ += bytes; }
  // The next complete line without its line feed, empty for a blank one; none until more bytes come.
  std::optional<std::string> take_line();
  bool exceeds_size_limit() const { return buffer_.size() > kMaxListBytes; }
  // A list has begun and is not complete.
  bool has_partial_list() const { return depth_ > 0; }
  // The bytes so far end at a line feed inside of a list.
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
