// Tests of the command line: exit codes, output, and that each vice of the faulty proxy breaks only its own
// rule. Usage: command_line LOAD_TEST_PROGRAM TESTS_FOLDER
#undef NDEBUG
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

std::string load_test, folder, scratch;

struct ProgramResult {
  int exit_code = -1;
  std::string output, last_line;
};

ProgramResult run_program(const std::string& arguments) {
  FILE* pipe = popen(("'" + load_test + "' " + arguments + " 2>&1").c_str(), "r");
  assert(pipe);
  ProgramResult program;
  char line[4096];
  while (std::fgets(line, sizeof line, pipe)) program.output += program.last_line = line;
  int status = pclose(pipe);
  program.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
  return program;
}

nlohmann::json result(const std::string& name) {
  std::ifstream file(scratch + "/" + name);
  return nlohmann::json::parse(file);
}

struct Vice {
  const char* name;
  const char* rule;  // that it breaks; empty for "honest"
};
const Vice kVices[] = {{"honest", ""},
                       {"answers-twice", "rule 1"},
                       {"answers-late", "rule 1"},
                       {"loses-one", "rule 1"},
                       {"reruns-mutating", "rule 2"},
                       {"strays-tagged", "rule 2"},
                       {"forgets-tagged", "rule 2"},
                       {"ignores-drains", "rule 3"},
                       {"floods-cold", "rule 4"}};

// Three at a time, so that each run gets enough CPU time.
void every_vice_breaks_only_its_own_rule() {
  std::vector<int> exits(std::size(kVices));
  for (std::size_t from = 0; from < std::size(kVices); from += 3) {
    std::vector<std::thread> threads;
    for (std::size_t i = from; i < from + 3; ++i) {
      threads.emplace_back([i, &exits] {
        std::string name = kVices[i].name;
        exits[i] = run_program("run '" + folder + "/vices.toml' --sidecar vice:" + name + " --json " +
                               scratch + "/" + name)
                       .exit_code;
      });
    }
    for (std::thread& thread : threads) thread.join();
  }
  for (std::size_t i = 0; i < std::size(kVices); ++i) {
    const Vice& vice = kVices[i];
    nlohmann::json json = result(vice.name);
    for (const nlohmann::json& breach : json["breaches"]) {
      std::string rule = breach["rule"];
      if (!*vice.rule || !rule.starts_with(vice.rule))
        std::printf("%s: %s\n", vice.name, breach.dump(1).c_str());
      assert(*vice.rule && rule.starts_with(vice.rule));
      assert(rule.starts_with("rule 4") || breach["history"].size() >= 2);
    }
    assert(exits[i] == (*vice.rule ? 3 : 0) && json["breaches"].empty() == !*vice.rule);
    std::printf("%s: %zu breaches\n", vice.name, json["breaches"].size());
  }
}

void crashing_sidecar_is_reported() {
  ProgramResult program = run_program("run calm --length 0.5 --sidecar false");
  assert(program.exit_code == 3 && program.last_line.starts_with("rules: broken: a sidecar crashed"));
}

void same_seed_gives_same_schedule() {
  for (const char* name : {"one", "two"})
    assert(
        run_program(std::string("run random --seed 7 --length 1 --json ") + scratch + "/" + name).exit_code ==
        0);
  assert(result("one")["schedule"] == result("two")["schedule"] &&
         result("one")["faults"] == result("two")["faults"]);
  assert(run_program("run random --seed 8 --length 1 --json " + scratch + "/other").exit_code == 0);
  assert(result("one")["schedule"] != result("other")["schedule"]);
}

void restarts_leak_no_descriptors() {
  ProgramResult program = run_program("run many-restarts --json " + scratch + "/restarts");
  assert(program.exit_code == 0 && program.last_line == "rules: kept\n");
  nlohmann::json json = result("restarts");
  int starts = 0;
  for (const nlohmann::json& sidecar : json["sidecars"]) starts += sidecar["starts"].get<int>();
  std::fprintf(stderr, "%d starts, %s descriptors left\n", starts, json["descriptors_left"].dump().c_str());
  assert(starts >= 300 && json["descriptors_left"] == 0);
}

// Reloads new versions of a site, some of them invalid, while endpoints fail.
void reloads_under_faults_break_no_rule() {
  ProgramResult program = run_program("run site-reloads --json " + scratch + "/sites");
  nlohmann::json json = result("sites");
  int taken = 0, kept = 0;
  for (const nlohmann::json& sidecar : json["sidecars"]) {
    taken += sidecar["reloads"].get<int>();
    kept += sidecar["kept"].get<int>();
  }
  std::fprintf(stderr, "%d reloads taken, %d not, %s visits, %s unanswered\n", taken, kept,
               json["visits"].dump().c_str(), json["unanswered"].dump().c_str());
  assert(program.exit_code == 0 && program.last_line == "rules: kept\n");
  assert(taken >= 200 && kept >= 30 && json["unanswered"] == 0);
}

void invalid_usage_exits_with_2() {
  std::ofstream(scratch + "/bad.toml") << "title = \"x\"\nlenght = 4\n";
  ProgramResult program = run_program("run " + scratch + "/bad.toml");
  assert(program.exit_code == 2 && program.output.find("bad.toml:2:") != std::string::npos);
  assert(run_program("run no-such-script").exit_code == 2);
  assert(run_program("walk").exit_code == 2 && run_program("run calm --sed 4").exit_code == 2);
  assert(run_program("load 10.1.1.1:80").exit_code == 2);
  assert(run_program("compare " + scratch + "/bad.toml").exit_code == 2);
  assert(run_program("--help").exit_code == 0 && run_program("run --help").exit_code == 0 &&
         run_program("list").exit_code == 0);
}

// When the load test itself is stopped for a while, it finds many responses late. It has to report that it
// was late, and no breach.
void stalled_load_test_reports_itself_and_no_breach() {
  std::string file = scratch + "/stalled";
  pid_t child = fork();
  if (child == 0) {
    if (!std::freopen((file + ".txt").c_str(), "w", stdout)) _exit(127);
    execl(load_test.c_str(), load_test.c_str(), "run", "calm", "--length", "4", "--json", file.c_str(),
          nullptr);
    _exit(127);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  kill(child, SIGSTOP);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  kill(child, SIGCONT);
  int status = 0;
  assert(waitpid(child, &status, 0) == child);
  std::ifstream output(file + ".txt");
  std::string text((std::istreambuf_iterator<char>(output)), {});
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) std::puts(text.c_str());
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  assert(text.find("the rehearsal itself was late") != std::string::npos &&
         result("stalled")["rehearsal"]["late"]);
}

void html_report_is_self_contained() {
  assert(run_program("run calm --length 1 --report " + scratch + "/pages").exit_code == 0);
  std::ifstream file(scratch + "/pages/calm-1.html");
  std::string page((std::istreambuf_iterator<char>(file)), {});
  assert(page.find("<svg") != std::string::npos && page.find("http://") == std::string::npos &&
         page.find("https://") == std::string::npos && page.find("<script") == std::string::npos);
}

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 3);
  load_test = argv[1];
  folder = argv[2];
  std::string template_path = (std::filesystem::temp_directory_path() / "plays-XXXXXX").string();
  assert(mkdtemp(template_path.data()));
  scratch = template_path;
  invalid_usage_exits_with_2();
  every_vice_breaks_only_its_own_rule();
  crashing_sidecar_is_reported();
  same_seed_gives_same_schedule();
  html_report_is_self_contained();
  stalled_load_test_reports_itself_and_no_breach();
  restarts_leak_no_descriptors();
  reloads_under_faults_break_no_rule();
  std::filesystem::remove_all(scratch);
  std::puts("command line: all tests passed");
}
