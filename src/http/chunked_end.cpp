#include "src/http/chunked_end.h"

namespace puffinvane {

namespace {
// Returns false if the text doesn't end with the end of a line.
bool remove_line_end(std::string_view& text) {
  if (!text.ends_with('\n')) return false;
  text.remove_suffix(1);
  if (text.ends_with('\r')) text.remove_suffix(1);
  return true;
}

bool is_last_chunk_size(std::string_view line) {
  const std::string_view size = line.substr(0, line.find(';'));
  return !size.empty() && size.find_first_not_of("0 \t") == std::string_view::npos;
}
}  // namespace

bool may_end_chunked_message(std::string_view tail) {
  if (!remove_line_end(tail)) return false;
  if (tail.empty()) return true;  // the line may have begun before the tail
  if (!remove_line_end(tail)) return false;
  const std::size_t end_of_line_before = tail.rfind('\n');
  if (end_of_line_before == std::string_view::npos) return true;
  const std::string_view last_line = tail.substr(end_of_line_before + 1);
  return is_last_chunk_size(last_line) || last_line.find(':') != std::string_view::npos;
}

}  // namespace puffinvane
