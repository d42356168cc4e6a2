// Integration tests of the command line: exit codes, output on the right stream, and no end by a signal.
#undef NDEBUG
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

namespace fs = std::filesystem;

std::string program, sources, scratch;  // the first two from the command line; scratch is a temporary folder

std::string text_of(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

struct Ran {
  int exit = 0;
  std::string out, err;
};

Ran run(const std::string& words, const std::string& redirected = "") {
  std::string out = scratch + "/out", err = scratch + "/err";
  std::string line = program + " " + words + (redirected.empty() ? " >" + out : " " + redirected) + " 2>" +
                     err + " </dev/null";
  int status = std::system(line.c_str());
  // The shell reports 128 plus the signal number if a signal ended the command.
  assert(WIFEXITED(status));
  if (WEXITSTATUS(status) > 2) std::fprintf(stderr, "%s: %d\n", line.c_str(), WEXITSTATUS(status));
  assert(WEXITSTATUS(status) <= 2);
  return {WEXITSTATUS(status), text_of(out), text_of(err)};
}

std::string example() { return sources + "/examples/three-pools.site"; }
std::string write(const std::string& name, const std::string& text) {
  std::ofstream(scratch + "/" + name, std::ios::binary) << text;
  return scratch + "/" + name;
}
std::string changed(const std::string& from, const std::string& to) {
  std::string text = text_of(example());
  text.replace(text.find(from), from.size(), to);
  return text;
}

void check_exits_0_for_a_valid_file_and_1_for_an_invalid_one() {
  Ran good = run("check " + example());
  assert(good.exit == 0 && good.out.empty() && good.err.empty());
  std::string bad = write("bad.site", changed("750ms", "750"));
  Ran ran = run("check " + bad);
  assert(ran.exit == 1 && ran.out.empty());
  assert(ran.err.find(bad + ":13:18: `750` has no unit") == 0 &&
         ran.err.find("fix: write 750ms") != std::string::npos);
  assert(run("check " + example() + " " + bad).exit == 1);
  assert(run("check " + scratch + "/none.site").exit == 2 && run("check " + scratch).exit == 2);
}

void check_prints_diagnostics_as_json() {
  Ran ran = run("check --json " + example() + " " + write("bad.site", changed("750ms", "750")));
  nlohmann::json all = nlohmann::json::parse(ran.out);
  assert(ran.exit == 1 && all.size() == 2 && all[0]["messages"].empty() && all[0]["version"].is_string());
  nlohmann::json message = all[1]["messages"][0];
  assert(message["line"] == 13 && message["column"] == 18 && message["fix"] == "write 750ms");
  // Invalid UTF-8 is still reported as valid JSON.
  assert(nlohmann::json::parse(
             run("check --json " + sources + "/src/config/language/corpus/bad/not-utf8.site").out)
             .size() == 1);
}

void format_writes_to_standard_output_or_in_place() {
  std::string file = write("untidy.site", "  # kept\n" + text_of(example()) + "\n\n\n");
  std::string before = text_of(file);
  Ran ran = run("format " + file);
  assert(ran.exit == 0 && ran.out == "# kept\n" + text_of(example()) && text_of(file) == before);
  fs::permissions(file, fs::perms::owner_read | fs::perms::owner_write);
  assert(run("format --in-place " + file).out.empty() && text_of(file) == ran.out);
  assert(fs::status(file).permissions() == (fs::perms::owner_read | fs::perms::owner_write));
  std::string broken = write("broken.site", "pool {\n");
  assert(run("format --in-place " + broken).exit == 1 && text_of(broken) == "pool {\n");
  assert(run("format " + scratch + "/none.site").exit == 2);
}

void diff_exits_0_for_equivalent_files() {
  assert(run("diff " + example() + " " + example()).exit == 0);
  std::string same =
      write("same.site", changed("define patience 2s", "define patience 2000ms # longer to write"));
  assert(run("diff " + example() + " " + same).exit == 0);
  std::string other = write("other.site", changed("127.0.0.1:6001", "127.0.0.1:6003"));
  Ran ran = run("diff " + example() + " " + other);
  assert(ran.exit == 1 &&
         ran.out == "~ pool consent/endpoint two/address 127.0.0.1:6001 -> 127.0.0.1:6003\n");
  nlohmann::json json = nlohmann::json::parse(run("diff --json " + example() + " " + other).out);
  assert(json.size() == 1 && json[0]["kind"] == "changed" && json[0]["after"] == "127.0.0.1:6003");
  assert(run("diff " + example() + " " + write("bad.site", "x\n")).exit == 2);
}

void explain_names_the_selected_route_and_why_others_lost() {
  Ran ran = run("explain " + example() + " POST 'http://localhost/consent/7?a=b' 'X-A: 1'");
  assert(ran.exit == 0 && ran.out.ends_with("route consent wins: pool consent as consent\n"));
  assert(ran.out.find("route elsewhere matches, but route consent names the path more closely") !=
         std::string::npos);
  assert(run("explain " + example() + " GET /consent/7").out.find("answer of 404") != std::string::npos);
  assert(run("explain " + example() + " GET /a/../b").exit == 1);
  assert(run("explain " + example() + " GET nowhere").exit == 2 &&
         run("explain " + example() + " GET / 'no header'").exit == 2);
  nlohmann::json json = nlohmann::json::parse(run("explain --json " + example() + " PUT /upload").out);
  assert(json["winner"] == "upload" && json["routes"].size() == 4);
}

void every_command_has_help_and_version_and_rejects_wrong_usage_with_2() {
  for (const char* command : {"", "serve ", "check ", "format ", "diff ", "explain "}) {
    for (const char* flag : {"--help", "--version"}) {
      Ran ran = run(std::string(command) + flag);
      assert(ran.exit == 0 && ran.out.find(flag[2] == 'h' ? "--help" : "puffinvane 0.") != std::string::npos);
    }
    assert(run(std::string(command) + "--nonsense").exit == 2);
  }
  assert(run("walk").exit == 2 && run("check").exit == 2 && run("serve").exit == 2);
  assert(run("serve " + scratch + "/none.site").exit == 1);
}

void no_input_or_output_error_ends_a_command_by_a_signal() {
  std::string all = " " + sources + "/src/config/language/corpus/bad/*.site " + sources +
                    "/src/config/language/corpus/good/*.site";
  assert(run("check" + all).exit == 1 && run("check --json" + all).exit == 1);
  run("format" + all);
  for (const auto& entry : fs::directory_iterator(sources + "/src/config/language/corpus/bad")) {
    if (entry.path().extension() != ".site") continue;
    assert(run("diff " + entry.path().string() + " " + example()).exit == 2);
    assert(run("explain " + entry.path().string() + " GET /").exit == 2);
  }
  for (const char* odd : {"/dev/null", "/dev/zero", "/", "''"}) {
    for (const char* command : {"check ", "format ", "format --in-place "}) run(command + std::string(odd));
  }
  // The output pipe is closed, or the disk is full.
  std::string code = scratch + "/code", big = sources + "/src/config/language/corpus/good/big.site";
  std::string many = big;
  for (int i = 0; i < 20; ++i) many += " " + big;  // more than a pipe buffers
  assert(std::system(("{ " + program + " format " + many + "; echo $? >" + code + "; } 2>/dev/null | true")
                         .c_str()) == 0);
  std::string ended = text_of(code);
  assert(ended == "2\n");
  assert(run("format " + example(), ">/dev/full").exit == 2);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 3);
  program = words[1], sources = words[2];
  std::string made = (fs::temp_directory_path() / "commands-XXXXXX").string();
  assert(mkdtemp(made.data()));
  scratch = made;
  check_exits_0_for_a_valid_file_and_1_for_an_invalid_one();
  check_prints_diagnostics_as_json();
  format_writes_to_standard_output_or_in_place();
  diff_exits_0_for_equivalent_files();
  explain_names_the_selected_route_and_why_others_lost();
  every_command_has_help_and_version_and_rejects_wrong_usage_with_2();
  no_input_or_output_error_ends_a_command_by_a_signal();
  fs::remove_all(scratch);
  std::puts("commands: all tests passed");
}
