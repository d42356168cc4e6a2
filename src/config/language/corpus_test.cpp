// The corpus: files that are wrong, each with its one message and where it points; and good ones on which
// layout, reading again and differences agree.
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

// Files as they are, but for one that reads as something else.
class Instead final : public Files {
 public:
  Instead(std::string path, std::string text) : path_(std::move(path)), text_(std::move(text)) {}
  std::optional<std::string> read(const std::string& path) override {
    return path == path_ ? text_ : disk_.read(path);
  }
  std::string real(const std::string& path) override { return disk_.real(path); }

 private:
  Disk disk_;
  std::string path_, text_;
};

void each_bad_file_says_what_and_where(const fs::path& folder) {
  // Several lines of one file: several messages.
  std::ifstream expected(folder / "expected.tsv");
  std::string line;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>> files;
  while (std::getline(expected, line)) {
    std::istringstream parts(line);
    std::string name, place, says;
    std::getline(parts, name, '\t'), std::getline(parts, place, '\t'), std::getline(parts, says);
    files[name].emplace_back(place, says);
  }
  int count = 0, wrong = 0;
  for (const auto& [name, wanted] : files) {
    Disk disk;
    Reading reading = read_site((folder / (name + ".site")).string(), disk);
    assert(reading.found);
    std::vector<Message> messages = reading.messages.in_order();
    bool found = messages.size() == wanted.size();
    for (std::size_t i = 0; found && i < wanted.size(); ++i)
      found = where(messages[i], reading.sources).ends_with("/" + wanted[i].first) &&
              messages[i].text.find(wanted[i].second) != std::string::npos;
    ++count, wrong += !found;
    if (!found)
      std::fprintf(stderr, "%s: expected %s %s, got\n%s\n", name.c_str(), wanted[0].first.c_str(),
                   wanted[0].second.c_str(), shown(reading.messages, reading.sources).c_str());
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
    Disk disk;
    Reading before = read_site(path, disk);
    if (!before.messages.none()) std::fputs(shown(before.messages, before.sources).c_str(), stderr);
    assert(before.found && before.messages.none());
    Messages none;
    Tree tree = parse(0, text, none);
    std::string formatted = format(tree);
    Tree again = parse(0, formatted, none);
    assert(none.none() && same_meaning(tree, again));
    assert(format(again) == formatted);
    Instead instead(path, formatted);
    Reading after = read_site(path, instead);
    assert(after.messages.none() && site::facts(before.site) == site::facts(after.site));
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
