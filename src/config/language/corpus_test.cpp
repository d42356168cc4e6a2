// The corpus: files that are wrong, each with its one diagnostic and where it points; and good ones on which
// layout, result again and differences agree.
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

// FileSource as they are, but for one that reads as something else.
class Instead final : public FileSource {
 public:
  Instead(std::string path, std::string text) : path_(std::move(path)), text_(std::move(text)) {}
  std::optional<std::string> read(const std::string& path) override {
    return path == path_ ? text_ : disk_.read(path);
  }
  std::string canonical_path(const std::string& path) override { return disk_.canonical_path(path); }

 private:
  DiskFileSource disk_;
  std::string path_, text_;
};

void each_bad_file_says_what_and_where(const fs::path& folder) {
  // Several lines of one file: several diagnostics.
  std::ifstream expected(folder / "expected.tsv");
  std::string line;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>> files;
  while (std::getline(expected, line)) {
    std::istringstream parts(line);
    std::string name, location, says;
    std::getline(parts, name, '\t'), std::getline(parts, location, '\t'), std::getline(parts, says);
    files[name].emplace_back(location, says);
  }
  int count = 0, wrong = 0;
  for (const auto& [name, wanted] : files) {
    DiskFileSource disk;
    ReadResult result = read_site((folder / (name + ".site")).string(), disk);
    assert(result.found);
    std::vector<Diagnostic> diagnostics = result.diagnostics.sorted();
    bool found = diagnostics.size() == wanted.size();
    for (std::size_t i = 0; found && i < wanted.size(); ++i)
      found = where(diagnostics[i], result.sources).ends_with("/" + wanted[i].first) &&
              diagnostics[i].text.find(wanted[i].second) != std::string::npos;
    ++count, wrong += !found;
    if (!found)
      std::fprintf(stderr, "%s: expected %s %s, got\n%s\n", name.c_str(), wanted[0].first.c_str(),
                   wanted[0].second.c_str(), to_text(result.diagnostics, result.sources).c_str());
  }
  std::printf("%d bad files\n", count);
  assert(count >= 120 && wrong == 0);
}

void each_good_file_keeps_its_meaning_in_its_layout(const fs::path& folder) {
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
    Instead instead(path, formatted);
    ReadResult after = read_site(path, instead);
    assert(after.diagnostics.empty() && site::properties(before.site) == site::properties(after.site));
    assert(site::differences(before.site, after.site).empty());
    assert(site::version(before.site) == site::version(after.site));
    // Every comment is still there, in its order.
    std::string comments, kept;
    for (auto [from, into] : {std::pair{&text, &comments}, {&formatted, &kept}}) {
      for (std::size_t at = from->find("# "); at != std::string::npos; at = from->find("# ", at + 1)) {
        std::string comment = from->substr(at, from->find_first_of("\r\n", at) - at);
        into->append(comment.substr(0, comment.find_last_not_of(' ') + 1)).append("\n");
      }
    }
    assert(comments == kept);
  }
  std::printf("%d good files\n", count);
  assert(count >= 40);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2);
  each_bad_file_says_what_and_where(fs::path(words[1]) / "bad");
  each_good_file_keeps_its_meaning_in_its_layout(fs::path(words[1]) / "good");
  std::puts("corpus: all stories hold");
}
