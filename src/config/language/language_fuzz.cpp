// Any bytes at all: the lexer, the parser, the checker and the formatter end, say where, and agree with one
// another. The same entry serves libFuzzer and, with a main of its own, a corpus and what can be made of it.
#undef NDEBUG
#include <cassert>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "src/config/language/read.h"
#include "src/config/language/tree.h"
#include "src/routing/routing.h"

using namespace puffinvane;
using namespace puffinvane::language;

namespace {

class Memory final : public FileSource {
 public:
  explicit Memory(std::string text) : text_(std::move(text)) {}
  std::optional<std::string> read(const std::string& path) override {
    if (path == "/site/it.site") return text_;
    if (path == "/site/self") return "include \"it.site\"\n";
    return {};
  }
  std::string canonical_path(const std::string& path) override {
    return std::filesystem::path(path).lexically_normal().string();
  }

 private:
  std::string text_;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(bytes), size);
  Diagnostics diagnostics;
  Tree tree = parse(0, text, diagnostics);
  if (diagnostics.empty()) {
    std::string formatted = format(tree);
    Diagnostics again;
    Tree back = parse(0, formatted, again);
    assert(again.empty() && is_equivalent(tree, back));
    assert(format(back) == formatted);
  }
  Memory memory(text);
  ReadResult result = read_site("/site/it.site", memory);
  std::string said = to_text(result.diagnostics, result.sources);
  to_json(result.diagnostics, result.sources);
  for (const Diagnostic& diagnostic : result.diagnostics.sorted())
    assert(diagnostic.location.line >= 1 && diagnostic.location.column >= 1 && !diagnostic.text.empty());
  assert(result.diagnostics.empty() == said.empty());
  if (result.diagnostics.empty()) {
    assert(site::check(result.site).empty());
    assert(site::differences(result.site, result.site).empty());
    auto site = std::make_shared<const site::Site>(std::move(result.site));
    routing::Router(site).decide({"main", "GET", "a.example.org", "/a/b?c", {}}, 0.5);
  }
  return 0;
}

#ifndef PUFFINVANE_LIBFUZZER
namespace {
std::uint64_t state = 42;
std::size_t below(std::size_t n) {  // xorshift: the same inputs at every run
  state ^= state << 13, state ^= state >> 7, state ^= state << 17;
  return state % n;
}

void run(const std::string& text) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}
}  // namespace

// Each file whole, cut, and torn in some hundred ways.
int main(int count, char** words) {
  std::vector<std::string> corpus;
  for (int i = 2; i < count; ++i) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(words[i])) {
      if (!entry.is_regular_file()) continue;
      std::ifstream file(entry.path(), std::ios::binary);
      std::ostringstream text;
      text << file.rdbuf();
      corpus.push_back(std::move(text).str());
    }
  }
  assert(!corpus.empty());
  long runs = 0;
  const int times = std::atoi(words[1]);
  for (const std::string& whole : corpus) {
    run(whole), ++runs;
    if (whole.size() > 4000) continue;
    for (int i = 0; i < times; ++i, ++runs) {
      std::string text = whole;
      for (std::size_t k = 1 + below(3); k > 0 && !text.empty(); --k) {
        std::size_t at = below(text.size());
        switch (below(6)) {
          case 0: text.resize(at); break;
          case 1: text[at] = char(below(256)); break;
          case 2: text.erase(at, 1 + below(20)); break;
          case 3: text.insert(at, 1, "{}\"#;,$\\\n\r\t /"[below(13)]); break;
          case 4: {
            const std::string& other = corpus[below(corpus.size())];
            if (!other.empty()) text.insert(at, other.substr(below(other.size()), below(60)));
            break;
          }
          default: text.insert(at, text.substr(below(text.size()), below(40)));
        }
      }
      run(text);
    }
  }
  std::printf("fuzz: %ld inputs, all well\n", runs);
}
#endif
