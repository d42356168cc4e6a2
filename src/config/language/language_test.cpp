// Tests of the site language that need more than one file of the corpus.
#undef NDEBUG
#include <cassert>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <map>

#include "src/config/language/lexer.h"
#include "src/config/language/quantity.h"
#include "src/config/language/read.h"
#include "src/config/language/tree.h"

using namespace puffinvane;
using namespace puffinvane::language;

namespace {

class MemoryFileSource final : public FileSource {
 public:
  std::optional<std::string> read(const std::string& path) override {
    auto found = files.find(canonical_path(path));
    return found == files.end() ? std::nullopt : std::optional(found->second);
  }
  std::string canonical_path(const std::string& path) override {
    return std::filesystem::path(path).lexically_normal().string();
  }
  std::map<std::string, std::string> files;
};

const std::string kBase =
    "listener main { address 127.0.0.1:5001 }\n"
    "prefix status { kind read-like; target-latency 750ms; client-timeout 2s }\n"
    "pool one { endpoint a 127.0.0.1:6000 }\n";

void a_circular_include_is_reported_with_its_chain() {
  MemoryFileSource memory;
  memory.files = {{"/s/a.site", "# a\ninclude \"b.site\"\n"},
                  {"/s/b.site", "include \"in/c.site\"\n"},
                  {"/s/in/c.site", "\n\n  include \"../b.site\"\n"}};
  ReadResult result = read_site("/s/a.site", memory);
  std::vector<Diagnostic> diagnostics = result.diagnostics.sorted();
  assert(diagnostics.size() == 1 && location_text(diagnostics[0], result.sources) == "/s/in/c.site:3:11");
  assert(
      (diagnostics[0].notes == std::vector<std::string>{"b.site includes c.site", "c.site includes b.site"}));
}

void a_diagnostic_is_printed_with_its_line_and_the_fix() {
  MemoryFileSource memory;
  memory.files["/s/a.site"] =
      kBase + "route all { path /; to one }\nlimits {\n\tbody 64KB  # caf\xc3\xa9\n}\n";
  ReadResult result = read_site("/s/a.site", memory);
  assert(to_text(result.diagnostics, result.sources) ==
         "/s/a.site:6:7: `KB` is no unit here: this has to be a size, as 64KiB\n"
         "    \tbody 64KB  # caf\xc3\xa9\n"
         "    \t     ^^^^\n"
         "    fix: write 64KiB\n");
}

void a_fix_is_offered_only_if_it_is_plausible() {
  auto fix = [](ValueType type, const char* raw, double min, double max) {
    return read_value(type, raw, false, min, max).fix;
  };
  assert(fix(ValueType::Time, "750", 1e-3, 60) == "write 750ms");    // 750 s is out of bounds
  assert(fix(ValueType::Time, "5", 1e-3, 60) == "write 5ms or 5s");  // either may be meant
  assert(fix(ValueType::Time, "0.5", 0.1, 60) == "write 0.5s");      // 0.5 ms is below the minimum
  assert(fix(ValueType::Size, "64KB", 1, 1e9) == "write 64KiB");
  assert(fix(ValueType::Time, "2m", 1e-3, 3600) == "write 2min");
  assert(fix(ValueType::Time, "2parsecs", 1e-3, 3600).empty());
  assert(fix(ValueType::Share, "64", 0, 1) == "write 64%");
}

void all_errors_of_a_file_are_reported_at_once() {
  MemoryFileSource memory;
  memory.files["/s/a.site"] =
      "prefix a {\n  kind readlike\n  target-latency 5\n}\npool b {\n  endpoint x 1.2.3.4\n}\nroute c {\n  "
      "too b\n}\n}\n";
  ReadResult result = read_site("/s/a.site", memory);
  assert(result.diagnostics.count() == 6);  // kind, unit, client-timeout, port, `too`, the brace
}

void of_a_thousand_errors_some_are_reported_and_the_rest_counted() {
  MemoryFileSource memory;
  for (int i = 0; i < 1000; ++i) memory.files["/s/a.site"] += "nonsense\n";
  ReadResult result = read_site("/s/a.site", memory);
  assert(result.diagnostics.count() == 1000 && result.diagnostics.sorted().size() == Diagnostics::kMaxKept);
  assert(to_text(result.diagnostics, result.sources).ends_with("and 800 more\n"));
}

void a_million_lines_are_read_in_seconds() {
  MemoryFileSource memory;
  std::string& text = memory.files["/s/a.site"] = kBase;
  for (int i = 0; i < 200000; ++i)
    text += "route r" + std::to_string(i) + " {\n  path /r" + std::to_string(i) + "\n  to one\n  # end\n}\n";
  auto started_at = std::chrono::steady_clock::now();
  ReadResult result = read_site("/s/a.site", memory);
  assert(result.diagnostics.empty() && result.site.routes.size() == 200000);
  Diagnostics none;
  assert(format(parse(0, text, none)).size() > text.size());
  double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
  std::printf("a million lines: %.2f s\n", took);
  assert(took < 20);
}

void a_site_with_too_many_elements_is_rejected() {
  MemoryFileSource memory;
  std::string& text = memory.files["/s/a.site"];
  for (std::size_t i = 0; i < kMaxTreeElements + 10; ++i) text += "a\n";
  Diagnostics diagnostics;
  Tree tree = parse(0, text, diagnostics);
  assert(diagnostics.count() == 1 && tree.items.size() <= kMaxTreeElements);
}

void a_symbolic_link_out_of_the_folder_is_not_followed() {
  namespace fs = std::filesystem;
  fs::path folder = fs::temp_directory_path() / ("links-" + std::to_string(std::uint64_t(::time(nullptr))));
  fs::create_directories(folder / "site");
  FILE* outside = std::fopen((folder / "outside.inc").c_str(), "w");
  std::fputs("# secret\n", outside);
  std::fclose(outside);
  FILE* main = std::fopen((folder / "site/a.site").c_str(), "w");
  std::fputs("include \"link.inc\"\n", main);
  std::fclose(main);
  fs::create_symlink("../outside.inc", folder / "site/link.inc");
  DiskFileSource disk;
  ReadResult result = read_site((folder / "site/a.site").string(), disk);
  fs::remove_all(folder);
  assert(result.diagnostics.count() == 1 &&
         result.diagnostics.sorted()[0].text.find("outside the site's folder") != std::string::npos);
}

void quoting_and_unquoting_returns_the_same_text() {
  for (const char* text : {"", "a", "a \"b\"", "\\", "\\n", "a\nb\tc", "\xc3\xa9"}) {
    std::string quoted_text = quote(text);
    Diagnostics none;
    Tree tree = parse(0, "x " + quoted_text, none);
    (void)tree;
    assert(none.empty() && unquote(quoted_text) == text);
  }
}

}  // namespace

int main() {
  a_circular_include_is_reported_with_its_chain();
  a_diagnostic_is_printed_with_its_line_and_the_fix();
  a_fix_is_offered_only_if_it_is_plausible();
  all_errors_of_a_file_are_reported_at_once();
  of_a_thousand_errors_some_are_reported_and_the_rest_counted();
  a_million_lines_are_read_in_seconds();
  a_site_with_too_many_elements_is_rejected();
  a_symbolic_link_out_of_the_folder_is_not_followed();
  quoting_and_unquoting_returns_the_same_text();
  std::puts("language: all tests passed");
}
