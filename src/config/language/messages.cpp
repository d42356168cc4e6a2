#include "src/config/language/messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace puffinvane::language {

namespace {
constexpr std::size_t kWidest = 120;  // characters of a line that are shown; longer ones in part

// The characters of a text, each with the bytes that it has; what is no UTF-8 is shown as a question mark.
std::vector<std::string> characters(std::string_view text) {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < text.size();) {
    auto first = static_cast<unsigned char>(text[i]);
    std::size_t size = first < 0x80   ? 1
                       : first < 0xc2 ? 0
                       : first < 0xe0 ? 2
                       : first < 0xf0 ? 3
                       : first < 0xf5 ? 4
                                      : 0;
    bool whole = size > 0 && i + size <= text.size();
    for (std::size_t k = 1; whole && k < size; ++k) whole = (text[i + k] & 0xc0) == 0x80;
    if (!whole || first < 0x20 || first == 0x7f) {
      all.push_back(first == '\t' ? "\t" : "?");
      ++i;
    } else {
      all.emplace_back(text.substr(i, size));
      i += size;
    }
  }
  return all;
}
}  // namespace

int Sources::add(std::string path, std::string text) {
  File file{std::move(path), std::move(text), {0}};
  for (std::size_t at = file.text.find('\n'); at != std::string::npos; at = file.text.find('\n', at + 1))
    file.lines.push_back(at + 1);
  files_.push_back(std::move(file));
  return int(files_.size()) - 1;
}

std::string_view Sources::line(int number, std::uint32_t line) const {
  const File& file = files_[std::size_t(number)];
  if (line == 0 || line > file.lines.size()) return {};
  std::size_t from = file.lines[line - 1], to = file.text.find('\n', from);
  std::string_view text = std::string_view(file.text).substr(from, to == std::string::npos ? to : to - from);
  if (text.ends_with('\r')) text.remove_suffix(1);
  return text;
}

void Messages::say(Place place, std::string text, std::string fix, std::vector<std::string> notes) {
  if (++count_ > kMost) return;
  kept_.push_back({place, std::move(text), std::move(fix), std::move(notes)});
}

std::vector<Message> Messages::in_order() const {
  std::vector<Message> all = kept_;
  std::stable_sort(all.begin(), all.end(), [](const Message& one, const Message& other) {
    auto key = [](const Message& it) { return std::tuple(it.place.file, it.place.line, it.place.column); };
    return key(one) < key(other);
  });
  return all;
}

std::string where(const Message& message, const Sources& sources) {
  return sources.path(message.place.file) + ":" + std::to_string(message.place.line) + ":" +
         std::to_string(message.place.column);
}

std::string shown(const Message& message, const Sources& sources) {
  std::string out = where(message, sources) + ": " + message.text + "\n";
  std::vector<std::string> line = characters(sources.line(message.place.file, message.place.line));
  std::size_t column = std::min<std::size_t>(message.place.column - 1, line.size());
  std::size_t from = column > kWidest / 2 ? column - kWidest / 2 : 0;
  std::size_t to = std::min(line.size(), from + kWidest);
  if (line.size() <= kWidest) from = 0, to = line.size();
  std::string text = from > 0 ? "..." : "", under = from > 0 ? "   " : "";
  for (std::size_t i = from; i < to; ++i) {
    text += line[i];
    if (i < column) under += line[i] == "\t" ? "\t" : " ";  // a tab is as wide under it as above
  }
  std::size_t length =
      std::clamp<std::size_t>(message.place.length, 1, std::max<std::size_t>(1, to - column));
  out += "    " + text + (to < line.size() ? "..." : "") + "\n    " + under + std::string(length, '^') + "\n";
  for (const std::string& note : message.notes) out += "    " + note + "\n";
  if (!message.fix.empty()) out += "    fix: " + message.fix + "\n";
  return out;
}

std::string shown(const Messages& messages, const Sources& sources) {
  std::string out;
  for (const Message& message : messages.in_order()) out += shown(message, sources);
  if (messages.count() > Messages::kMost)
    out += "and " + std::to_string(messages.count() - Messages::kMost) + " more\n";
  return out;
}

std::string json(const Messages& messages, const Sources& sources) {
  nlohmann::json all = nlohmann::json::array();
  for (const Message& message : messages.in_order()) {
    nlohmann::json one = {{"file", sources.path(message.place.file)},
                          {"line", message.place.line},
                          {"column", message.place.column},
                          {"length", message.place.length},
                          {"text", message.text}};
    if (!message.fix.empty()) one["fix"] = message.fix;
    if (!message.notes.empty()) one["notes"] = message.notes;
    all.push_back(std::move(one));
  }
  return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace puffinvane::language
