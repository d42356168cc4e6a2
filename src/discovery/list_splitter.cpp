#include "src/discovery/list_splitter.h"

#include <utility>

namespace puffinvane {

std::optional<std::string> ListSplitter::take_line() {
  for (; scanned_bytes_ < buffer_.size(); ++scanned_bytes_) {
    char byte = buffer_[scanned_bytes_];
    if (byte != '\n') {
      scan(byte);
      continue;
    }
    // A JSON string can't contain a raw line feed: such a line ends here, and the parser will reject it.
    ends_inside_list_ = depth_ > 0 && !in_quotes_;
    if (ends_inside_list_) continue;
    std::string line = buffer_.substr(0, scanned_bytes_);
    buffer_.erase(0, scanned_bytes_ + 1);
    scanned_bytes_ = 0;
    depth_ = 0;
    in_quotes_ = false;
    is_escaped_ = false;
    return line;
  }
  return std::nullopt;
}

std::string ListSplitter::take_rest() {
  std::string rest = std::move(buffer_);
  *this = ListSplitter();
  return rest;
}

void ListSplitter::scan(char byte) {
  if (is_escaped_) {
    is_escaped_ = false;
  } else if (byte == '\\') {
    is_escaped_ = in_quotes_;
  } else if (byte == '"') {
    in_quotes_ = !in_quotes_;
  } else if (!in_quotes_ && (byte == '{' || byte == '[')) {
    ++depth_;
  } else if (!in_quotes_ && (byte == '}' || byte == ']')) {
    --depth_;
  }
}

}  // namespace puffinvane
