// Where things stand in the files of a site, and what is said of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace puffinvane::language {

struct SourceLocation {
  int file = 0;
  std::uint32_t line = 1, column = 1;  // both from 1; a column is a character, however many bytes it has
  std::uint32_t length = 1;            // characters
};

struct Diagnostic {
  SourceLocation location;
  std::string text, fix;           // fix: empty unless it is sure
  std::vector<std::string> notes;  // more lines, as the chain of a circle of includes
};

// The texts that a site was read from.
class Sources {
 public:
  int add(std::string path, std::string text);
  std::string_view text(int file) const { return files_[std::size_t(file)].text; }
  const std::string& path(int file) const { return files_[std::size_t(file)].path; }
  std::string_view line(int file, std::uint32_t line) const;

 private:
  struct File {
    std::string path;
    std::string text;
    std::vector<std::size_t> lines;  // where each begins
  };
  std::deque<File> files_;  // what points into a text goes on doing so
};

// A file that is wrong throughout says so some hundred times and then counts.
class Diagnostics {
 public:
  static constexpr std::size_t kMost = 200;
  void add(SourceLocation location, std::string text, std::string fix = "",
           std::vector<std::string> notes = {});
  bool empty() const { return count_ == 0; }
  std::size_t count() const { return count_; }
  std::vector<Diagnostic> sorted() const;  // by file, line and column

 private:
  std::vector<Diagnostic> kept_;
  std::size_t count_ = 0;
};

std::string where(const Diagnostic& diagnostic, const Sources& sources);  // "file:line:column"
// The diagnostic, its line with a caret, the fix: as people read it.
std::string to_text(const Diagnostic& diagnostic, const Sources& sources);
std::string to_text(const Diagnostics& diagnostics, const Sources& sources);
std::string to_json(const Diagnostics& diagnostics, const Sources& sources);  // one array

}  // namespace puffinvane::language
