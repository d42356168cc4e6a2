// Tests of the corpus. Each invalid file gives the diagnostics of expected.tsv at the given locations.
// Formatting a valid file keeps its meaning and its comments.
#undef NDEBUG
#include <cassert>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "src/config/language/read.h"
#include "src/config/language/tree.h"

using namespace puffinvane;
using namespace puffinvane::language;
namespace fs = std::filesystem;

namespace {

std::string text_of(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

// The files on disk, with the text of one of them replaced.
class ReplacedFile final : public FileSource {
 public:
  ReplacedFile(std::string path, std::string text) : path_(std::move(path)), text_(std::move(text)) {}
  std::optional<std::string> read(const std::string& path) override {
    return path == path_ ? text_ : disk_.read(path);
  }
  std::string canonical_path(const std::string& path) override { return disk_.canonical_path(path); }

 private:
  DiskFileSource disk_;
  std::string path_, text_;
};

void each_invalid_file_gives_the_expected_diagnostics(const fs::path& folder) {
  // A file with several diagnostics has several lines.
  std::ifstream expected(folder / "expected.tsv");
  std::string line;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>> files;
  while (std::getline(expected, line)) {
    std::istringstream parts(line);
    std::string name, location, text;
    std::getline(parts, name, '\t');
    std::getline(parts, location, '\t');
    std::getline(parts, text);
    files[name].emplace_back(location, text);
  }
  int count = 0, failed = 0;
  for (const auto& [name, expected_diagnostics] : files) {
    DiskFileSource disk;
    ReadResult result = read_site((folder / (name + ".site")).string(), disk);
    assert(result.found);
    std::vector<Diagnostic> diagnostics = result.diagnostics.sorted();
    bool matches = diagnostics.size() == expected_diagnostics.size();
    for (std::size_t i = 0; matches && i < expected_diagnostics.size(); ++i)
      matches =
          location_text(diagnostics[i], result.sources).ends_with("/" + expected_diagnostics[i].first) &&
          diagnostics[i].text.find(expected_diagnostics[i].second) != std::string::npos;
    ++count;
    failed += !matches;
    if (!matches)
      std::fprintf(stderr, "%s: expected %s %s, got\n%s\n", name.c_str(),
                   expected_diagnostics[0].first.c_str(), expected_diagnostics[0].second.c_str(),
                   to_text(result.diagnostics, result.sources).c_str());
  }
  std::printf("%d invalid files\n", count);
  assert(count >= 120 && failed == 0);
}

void each_valid_file_keeps_its_meaning_when_formatted(const fs::path& folder) {
  int count = 0;
  for (const fs::directory_entry& entry : fs::directory_iterator(folder)) {
    if (entry.path().extension() != ".site") continue;
    ++count;
    std::string path = entry.path().string(), text = text_of(path);
    DiskFileSource disk;
    ReadResult before = read_site(path, disk);
    if (!before.diagnostics.empty()) std::fputs(to_text(before.diagnostics, before.sources).c_str(), stderr);
    assert(before.found && before.diagnostics.empty());
    Diagnostics none;
    Tree tree = parse(0, text, none);
    std::string formatted = format(tree);
    Tree again = parse(0, formatted, none);
    assert(none.empty() && is_equivalent(tree, again));
    assert(format(again) == formatted);
    ReplacedFile replaced(path, formatted);
    ReadResult after = read_site(path, replaced);
    assert(after.diagnostics.empty() && site::properties(before.site) == site::properties(after.site));
    assert(site::differences(before.site, after.site).empty());
    assert(site::version(before.site) == site::version(after.site));
    // All comments are kept, in the same order.
    std::string comments, kept;
    for (auto [from, into] : {std::pair{&text, &comments}, {&formatted, &kept}}) {
      for (std::size_t at = from->find("# "); at != std::string::npos; at = from->find("# ", at + 1)) {
        std::string comment = from->substr(at, from->find_first_of("\r\n", at) - at);
        into->append(comment.substr(0, comment.find_last_not_of(' ') + 1)).append("\n");
      }
    }
    assert(comments == kept);
  }
  std::printf("%d valid files\n", count);
  assert(count >= 40);
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 2);
  each_invalid_file_gives_the_expected_diagnostics(fs::path(argv[1]) / "bad");
  each_valid_file_keeps_its_meaning_when_formatted(fs::path(argv[1]) / "good");
  std::puts("corpus: all tests passed");
}
