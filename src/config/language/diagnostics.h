// The source files of a site, locations in them, and the diagnostics about them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace puffinvane::language {

struct SourceLocation {
  int file = 0;                        // as returned by Sources::add
  std::uint32_t line = 1, column = 1;  // from 1; columns count characters, not bytes
  std::uint32_t length = 1;            // in characters
};

struct Diagnostic {
  SourceLocation location;
  std::string text;
  std::string fix;                 // empty unless there is one likely fix
  std::vector<std::string> notes;  // additional lines, such as the chain of a circular include
};

// The texts of the files that a site was read from.
class Sources {
 public:
  int add(std::string path, std::string text);
  std::string_view text(int file) const { return files_[std::size_t(file)].text; }
  const std::string& path(int file) const { return files_[std::size_t(file)].path; }
  std::string_view line(int file, std::uint32_t line) const;  // without its line break

 private:
  struct File {
    std::string path;
    std::string text;
    std::vector<std::size_t> lines;  // the offset of each line
  };
  std::deque<File> files_;  // a deque, because views into the texts have to stay valid when a file is added
};

// Collects diagnostics. Of a site with very many, only the first kMaxKept are kept and the rest are counted.
class Diagnostics {
 public:
  static constexpr std::size_t kMaxKept = 200;
  void add(SourceLocation location, std::string text, std::string fix = "",
           std::vector<std::string> notes = {});
  bool empty() const { return count_ == 0; }
  std::size_t count() const { return count_; }  // including those that were not kept
  std::vector<Diagnostic> sorted() const;       // by file, line and column

 private:
  std::vector<Diagnostic> kept_;
  std::size_t count_ = 0;
};

std::string location_text(const Diagnostic& diagnostic, const Sources& sources);  // "file:line:column"
// For people: the diagnostic, the source line with carets below it, notes and the fix.
std::string to_text(const Diagnostic& diagnostic, const Sources& sources);
std::string to_text(const Diagnostics& diagnostics, const Sources& sources);
std::string to_json(const Diagnostics& diagnostics, const Sources& sources);  // an array

}  // namespace puffinvane::language
