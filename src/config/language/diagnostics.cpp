#include "src/config/language/diagnostics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace puffinvane::language {

namespace {
constexpr std::size_t kMaxWidth = 120;  // of a source line, in characters; of longer lines a section is shown

// Splits a text into its UTF-8 characters. Invalid bytes and control characters other than tabs become
// question marks.
std::vector<std::string> characters(std::string_view text) {
  std::vector<std::string> result;
  for (std::size_t i = 0; i < text.size();) {
    auto first = static_cast<unsigned char>(text[i]);
    std::size_t size = first < 0x80   ? 1
                       : first < 0xc2 ? 0
                       : first < 0xe0 ? 2
                       : first < 0xf0 ? 3
                       : first < 0xf5 ? 4
                                      : 0;
    bool valid = size > 0 && i + size <= text.size();
    for (std::size_t k = 1; valid && k < size; ++k) valid = (text[i + k] & 0xc0) == 0x80;
    if (!valid || first < 0x20 || first == 0x7f) {
      result.push_back(first == '\t' ? "\t" : "?");
      ++i;
    } else {
      result.emplace_back(text.substr(i, size));
      i += size;
    }
  }
  return result;
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

void Diagnostics::add(SourceLocation location, std::string text, std::string fix,
                      std::vector<std::string> notes) {
  if (++count_ > kMaxKept) return;
  kept_.push_back({location, std::move(text), std::move(fix), std::move(notes)});
}

std::vector<Diagnostic> Diagnostics::sorted() const {
  std::vector<Diagnostic> all = kept_;
  std::stable_sort(all.begin(), all.end(), [](const Diagnostic& one, const Diagnostic& other) {
    auto key = [](const Diagnostic& it) {
      return std::tuple(it.location.file, it.location.line, it.location.column);
    };
    return key(one) < key(other);
  });
  return all;
}

std::string location_text(const Diagnostic& diagnostic, const Sources& sources) {
  return sources.path(diagnostic.location.file) + ":" + std::to_string(diagnostic.location.line) + ":" +
         std::to_string(diagnostic.location.column);
}

std::string to_text(const Diagnostic& diagnostic, const Sources& sources) {
  std::string out = location_text(diagnostic, sources) + ": " + diagnostic.text + "\n";
  std::vector<std::string> line =
      characters(sources.line(diagnostic.location.file, diagnostic.location.line));
  std::size_t column = std::min<std::size_t>(diagnostic.location.column - 1, line.size());
  std::size_t from = column > kMaxWidth / 2 ? column - kMaxWidth / 2 : 0;
  std::size_t to = std::min(line.size(), from + kMaxWidth);
  if (line.size() <= kMaxWidth) {
    from = 0;
    to = line.size();
  }
  std::string text = from > 0 ? "..." : "", padding = from > 0 ? "   " : "";
  for (std::size_t i = from; i < to; ++i) {
    text += line[i];
    if (i < column)
      padding += line[i] == "\t" ? "\t" : " ";  // a tab is kept, so that the carets stay aligned
  }
  std::size_t length =
      std::clamp<std::size_t>(diagnostic.location.length, 1, std::max<std::size_t>(1, to - column));
  out +=
      "    " + text + (to < line.size() ? "..." : "") + "\n    " + padding + std::string(length, '^') + "\n";
  for (const std::string& note : diagnostic.notes) out += "    " + note + "\n";
  if (!diagnostic.fix.empty()) out += "    fix: " + diagnostic.fix + "\n";
  return out;
}

std::string to_text(const Diagnostics& diagnostics, const Sources& sources) {
  std::string out;
  for (const Diagnostic& diagnostic : diagnostics.sorted()) out += to_text(diagnostic, sources);
  if (diagnostics.count() > Diagnostics::kMaxKept)
    out += "and " + std::to_string(diagnostics.count() - Diagnostics::kMaxKept) + " more\n";
  return out;
}

std::string to_json(const Diagnostics& diagnostics, const Sources& sources) {
  nlohmann::json all = nlohmann::json::array();
  for (const Diagnostic& diagnostic : diagnostics.sorted()) {
    nlohmann::json one = {{"file", sources.path(diagnostic.location.file)},
                          {"line", diagnostic.location.line},
                          {"column", diagnostic.location.column},
                          {"length", diagnostic.location.length},
                          {"text", diagnostic.text}};
    if (!diagnostic.fix.empty()) one["fix"] = diagnostic.fix;
    if (!diagnostic.notes.empty()) one["notes"] = diagnostic.notes;
    all.push_back(std::move(one));
  }
  return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace puffinvane::language
