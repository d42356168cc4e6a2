// The program as a person runs it: what it exits with and says, and that each vice is caught, for its own
// rule only. plays REHEARSE TESTS_FOLDER
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

struct Played {
  int exit = -1;
  std::string said, last;
};

Played play(const std::string& words) {
  FILE* pipe = popen(("'" + load_test + "' " + words + " 2>&1").c_str(), "r");
  assert(pipe);
  Played played;
  char line[4096];
  while (std::fgets(line, sizeof line, pipe)) played.said += played.last = line;
  int status = pclose(pipe);
  played.exit = WIFEXITED(status) ? WEXITSTATUS(status) : 128;
  return played;
}

nlohmann::json result(const std::string& name) {
  std::ifstream file(scratch + "/" + name);
  return nlohmann::json::parse(file);
}

struct Vice {
  const char* name;
  const char* rule;  // that it breaks; none for an honest one
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

// Some at a time: they are to be judged, not starved.
void every_vice_is_caught_for_its_own_rule_only() {
  std::vector<int> exits(std::size(kVices));
  for (std::size_t from = 0; from < std::size(kVices); from += 3) {
    std::vector<std::thread> lanes;
    for (std::size_t i = from; i < from + 3; ++i) {
      lanes.emplace_back([i, &exits] {
        std::string name = kVices[i].name;
        exits[i] =
            play("run '" + folder + "/vices.toml' --sidecar vice:" + name + " --json " + scratch + "/" + name)
                .exit;
      });
    }
    for (std::thread& lane : lanes) lane.join();
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

void a_program_that_crashes_is_told() {
  Played played = play("run calm --length 0.5 --sidecar false");
  assert(played.exit == 3 && played.last.starts_with("rules: broken: a sidecar crashed"));
}

void the_same_seed_gives_the_same_schedule() {
  for (const char* name : {"one", "two"})
    assert(play(std::string("run random --seed 7 --length 1 --json ") + scratch + "/" + name).exit == 0);
  assert(result("one")["schedule"] == result("two")["schedule"] &&
         result("one")["faults"] == result("two")["faults"]);
  assert(play("run random --seed 8 --length 1 --json " + scratch + "/other").exit == 0);
  assert(result("one")["schedule"] != result("other")["schedule"]);
}

void three_hundred_restarts_leave_no_descriptor_behind() {
  Played played = play("run many-restarts --json " + scratch + "/restarts");
  assert(played.exit == 0 && played.last == "rules: kept\n");
  nlohmann::json json = result("restarts");
  int starts = 0;
  for (const nlohmann::json& sidecar : json["sidecars"]) starts += sidecar["starts"].get<int>();
  std::fprintf(stderr, "%d starts, %s descriptors left\n", starts, json["descriptors_left"].dump().c_str());
  assert(starts >= 300 && json["descriptors_left"] == 0);
}

// Rules 1 and 2 over new versions of a site, some of them no good, while endpoints fail.
void two_hundred_reloads_under_faults_break_no_rule() {
  Played played = play("run site-reloads --json " + scratch + "/sites");
  nlohmann::json json = result("sites");
  int taken = 0, kept = 0;
  for (const nlohmann::json& sidecar : json["sidecars"]) {
    taken += sidecar["reloads"].get<int>();
    kept += sidecar["kept"].get<int>();
  }
  std::fprintf(stderr, "%d reloads taken, %d not, %s visits, %s unanswered\n", taken, kept,
               json["visits"].dump().c_str(), json["unanswered"].dump().c_str());
  assert(played.exit == 0 && played.last == "rules: kept\n");
  assert(taken >= 200 && kept >= 30 && json["unanswered"] == 0);
}

void what_cant_be_used_exits_with_2() {
  std::ofstream(scratch + "/bad.toml") << "title = \"x\"\nlenght = 4\n";
  Played played = play("run " + scratch + "/bad.toml");
  assert(played.exit == 2 && played.said.find("bad.toml:2:") != std::string::npos);
  assert(play("run no-such-script").exit == 2);
  assert(play("walk").exit == 2 && play("run calm --sed 4").exit == 2);
  assert(play("load 10.1.1.1:80").exit == 2);
  assert(play("compare " + scratch + "/bad.toml").exit == 2);
  assert(play("--help").exit == 0 && play("run --help").exit == 0 && play("list").exit == 0);
}

// Stopped itself for a while, the load test finds a heap of late answers: it has to say so and blame nobody.
void a_stalled_load_test_says_so_and_blames_nobody() {
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
  std::ifstream said(file + ".txt");
  std::string text((std::istreambuf_iterator<char>(said)), {});
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) std::puts(text.c_str());
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  assert(text.find("the rehearsal itself was late") != std::string::npos &&
         result("stalled")["rehearsal"]["late"]);
}

void a_report_stands_alone() {
  assert(play("run calm --length 1 --report " + scratch + "/pages").exit == 0);
  std::ifstream file(scratch + "/pages/calm-1.html");
  std::string page((std::istreambuf_iterator<char>(file)), {});
  assert(page.find("<svg") != std::string::npos && page.find("http://") == std::string::npos &&
         page.find("https://") == std::string::npos && page.find("<script") == std::string::npos);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 3);
  load_test = words[1];
  folder = words[2];
  std::string made = (std::filesystem::temp_directory_path() / "plays-XXXXXX").string();
  assert(mkdtemp(made.data()));
  scratch = made;
  what_cant_be_used_exits_with_2();
  every_vice_is_caught_for_its_own_rule_only();
  a_program_that_crashes_is_told();
  the_same_seed_gives_the_same_schedule();
  a_report_stands_alone();
  a_stalled_load_test_says_so_and_blames_nobody();
  three_hundred_restarts_leave_no_descriptor_behind();
  two_hundred_reloads_under_faults_break_no_rule();
  std::filesystem::remove_all(scratch);
  std::puts("plays: all stories hold");
}
