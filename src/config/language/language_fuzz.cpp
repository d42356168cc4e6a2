// Fuzz test of the lexer, parser, checker and formatter: for any input they terminate, give diagnostics with
// valid locations, and agree with each other. The entry point is that of libFuzzer. Without libFuzzer, the
// main function below runs it on the files of a corpus and on random mutations of them.
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

class MemoryFileSource final : public FileSource {
 public:
  explicit MemoryFileSource(std::string text) : text_(std::move(text)) {}
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
    Diagnostics formatted_diagnostics;
    Tree formatted_tree = parse(0, formatted, formatted_diagnostics);
    assert(formatted_diagnostics.empty() && is_equivalent(tree, formatted_tree));
    assert(format(formatted_tree) == formatted);
  }
  MemoryFileSource files(text);
  ReadResult result = read_site("/site/it.site", files);
  std::string printed = to_text(result.diagnostics, result.sources);
  to_json(result.diagnostics, result.sources);
  for (const Diagnostic& diagnostic : result.diagnostics.sorted())
    assert(diagnostic.location.line >= 1 && diagnostic.location.column >= 1 && !diagnostic.text.empty());
  assert(result.diagnostics.empty() == printed.empty());
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
// An xorshift generator, so that each run has the same inputs.
std::size_t random_below(std::size_t limit) {
  state ^= state << 13;
  state ^= state >> 7;
  state ^= state << 17;
  return state % limit;
}

void run(const std::string& text) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}
}  // namespace

// Arguments: the number of mutations of each file, and the folders with the files.
int main(int argc, char** argv) {
  std::vector<std::string> corpus;
  for (int i = 2; i < argc; ++i) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(argv[i])) {
      if (!entry.is_regular_file()) continue;
      std::ifstream file(entry.path(), std::ios::binary);
      std::ostringstream text;
      text << file.rdbuf();
      corpus.push_back(std::move(text).str());
    }
  }
  assert(!corpus.empty());
  long runs = 0;
  const int mutations = std::atoi(argv[1]);
  for (const std::string& original : corpus) {
    run(original);
    ++runs;
    if (original.size() > 4000) continue;
    for (int i = 0; i < mutations; ++i, ++runs) {
      std::string text = original;
      for (std::size_t k = 1 + random_below(3); k > 0 && !text.empty(); --k) {
        std::size_t at = random_below(text.size());
        switch (random_below(6)) {
          case 0: text.resize(at); break;
          case 1: text[at] = char(random_below(256)); break;
          case 2: text.erase(at, 1 + random_below(20)); break;
          case 3: text.insert(at, 1, "{}\"#;,$\\\n\r\t /"[random_below(13)]); break;
          case 4: {
            const std::string& other = corpus[random_below(corpus.size())];
            if (!other.empty()) text.insert(at, other.substr(random_below(other.size()), random_below(60)));
            break;
          }
          default: text.insert(at, text.substr(random_below(text.size()), random_below(40)));
        }
      }
      run(text);
    }
  }
  std::printf("fuzz: %ld inputs, no failures\n", runs);
}
#endif
