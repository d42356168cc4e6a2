// puffinvane_load_test: plays days of load and failure against real sidecars on loopback and judges them.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

#include "tools/load_test/cost/cost.h"
#include "tools/load_test/cost/load.h"
#include "tools/load_test/example_upstreams.h"
#include "tools/load_test/parallel_runs.h"
#include "tools/load_test/report/compare.h"
#include "tools/load_test/report/html_report.h"
#include "tools/load_test/run.h"
#include "tools/load_test/scale/scale.h"

namespace load_test {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr int kKept = 0, kUnusable = 2, kBroken = 3;
constexpr double kRunWithin = 60;  // seconds that a run may take by default

std::string scenarios_folder() {
  const char* configured = std::getenv("PUFFINVANE_SCRIPTS");
  return configured && *configured ? configured : LOAD_TEST_SCENARIOS;
}

std::vector<std::string> shipped() {
  std::vector<std::string> names;
  std::error_code ignored;
  for (const auto& file : fs::directory_iterator(scenarios_folder(), ignored)) {
    if (file.path().extension() == ".toml") names.push_back(file.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

// A file, the name of one that ships, or 'random'.
Scenario find_scenario(const std::string& name, std::uint64_t seed) {
  if (name == "random") return draw_scenario(seed);
  if (fs::exists(name)) return read_scenario(name);
  std::string shipped = scenarios_folder() + "/" + name + ".toml";
  return read_scenario(fs::exists(shipped) ? shipped : name);
}

json read_result(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw Unusable(path + ":1: can't be opened; expected a result of 'run --json'");
  try {
    return json::parse(file);
  } catch (const json::exception& fault) {
    throw Unusable(path + ":1: " + fault.what());
  }
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.flush();
  if (!file) throw Unusable(path + ":1: can't be written");
}

struct Chosen {
  std::string scenario, json_to, report_to, sidecar, label;
  std::uint64_t seed = 1;
  double time_scale = 1, length = 0;
  std::vector<int> only;
  bool only_given = false, keep = false, show = false;
};

std::string label_of(const Chosen& chosen) {
  if (!chosen.label.empty()) return chosen.label;
  return chosen.sidecar.empty() ? "puffinvane" : chosen.sidecar;
}

// "baseline:random" and "vice:loses-one" are the programs beside this one.
std::string command_of(const std::string& sidecar) {
  if (sidecar.empty() || sidecar == "puffinvane") return own_folder() + "/puffinvane";
  if (sidecar.starts_with("baseline:")) return own_folder() + "/puffinvane_baseline " + sidecar.substr(9);
  if (sidecar.starts_with("vice:")) return own_folder() + "/puffinvane_faulty_proxy " + sidecar.substr(5);
  return sidecar;
}

int run_one(const Chosen& chosen) {
  RunPlan plan;
  plan.scenario = find_scenario(chosen.scenario, chosen.seed);
  if (chosen.only_given) {
    std::vector<Fault> kept;
    for (int number : chosen.only) {
      if (number >= 0 && number < int(plan.scenario.faults.size()))
        kept.push_back(plan.scenario.faults[std::size_t(number)]);
    }
    plan.scenario.faults = kept;
  }
  if (chosen.length > 0) plan.scenario.length = chosen.length;
  if (chosen.time_scale != 1) stretch(plan.scenario, chosen.time_scale);
  if (chosen.show) {
    std::cout << write_scenario(plan.scenario);
    return kKept;
  }
  if (plan.scenario.length > kRunWithin && chosen.length <= 0 && chosen.time_scale == 1)
    throw Unusable(chosen.scenario + ":1: 'length' is over " + std::to_string(int(kRunWithin)) +
                   " s; say --length to run it for that long");
  plan.seed = chosen.seed;
  plan.command = command_of(chosen.sidecar);
  plan.label = label_of(chosen);
  plan.keep_logs = chosen.keep;
  json result = run(plan);
  if (!chosen.json_to.empty()) write_file(chosen.json_to, result.dump(1) + "\n");
  if (!chosen.report_to.empty()) {
    fs::create_directories(chosen.report_to);
    write_file(chosen.report_to + "/" + plan.scenario.name + "-" + std::to_string(plan.seed) + ".html",
               page_of(result));
  }
  std::cout << summary(result) << std::flush;
  return result["rules"] == "kept" ? kKept : kBroken;
}

struct Many {
  std::vector<std::string> scenarios, sidecars{std::string("puffinvane")};
  std::string out, seeds = "1";
  int lanes = 2, repeat = 1;
};

std::vector<std::uint64_t> read_seeds(const std::string& text) {
  std::size_t dots = text.find("..");
  std::uint64_t first = std::strtoull(text.c_str(), nullptr, 10);
  std::uint64_t last =
      dots == std::string::npos ? first : std::strtoull(text.c_str() + dots + 2, nullptr, 10);
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = first; seed <= last && seeds.size() < 10000; ++seed) seeds.push_back(seed);
  return seeds;
}

class Scratch {
 public:
  Scratch() {
    std::string made = (fs::temp_directory_path() / "rehearse-XXXXXX").string();
    if (!mkdtemp(made.data())) throw std::runtime_error("no folder for results");
    path = made;
  }
  ~Scratch() {
    std::error_code ignored;
    fs::remove_all(path, ignored);
  }
  Scratch(const Scratch&) = delete;
  Scratch& operator=(const Scratch&) = delete;
  std::string path;
};

// Plays all of them and compares; the verdict is the worst of the runs'.
int play_many(const Many& many) {
  Scratch scratch;
  std::string folder = many.out.empty() ? scratch.path : many.out;
  fs::create_directories(folder);
  std::vector<Job> jobs;
  for (int again = 0; again < many.repeat; ++again) {
    for (const std::string& scenario : many.scenarios.empty() ? shipped() : many.scenarios) {
      for (std::uint64_t seed : read_seeds(many.seeds)) {
        for (const std::string& sidecar : many.sidecars) {
          std::string file = folder + "/" + std::to_string(jobs.size()) + ".json";
          jobs.push_back(
              {{"run", scenario, "--seed", std::to_string(seed), "--json", file, "--sidecar", sidecar}});
        }
      }
    }
  }
  int worst = kKept, broken = 0, unusable = 0;
  play(jobs, many.lanes, [&](Job& job) {
    worst = std::max(worst, job.exit);
    broken += job.exit == kBroken;
    unusable += job.exit != kKept && job.exit != kBroken;
    std::cout << (job.exit == kKept     ? "kept    "
                  : job.exit == kBroken ? "BROKEN  "
                                        : "FAILED  ")
              << job.arguments[1] << ", seed " << job.arguments[3] << ", " << job.arguments[7] << std::endl;
  });
  std::vector<json> results;
  for (const Job& job : jobs) {
    if (job.exit == kKept || job.exit == kBroken) results.push_back(read_result(job.arguments[5]));
  }
  std::cout << "\n";
  compare(results, std::cout);
  std::cout << jobs.size() << " runs, " << broken << " broken, " << unusable << " failed\n"
            << (worst == kKept ? "rules: kept\n" : "rules: broken\n");
  return worst;
}

struct Seek {
  int count = 20, lanes = 2;
  std::uint64_t from = 1;
  std::string sidecar;
};

// Which of a seed's faults are needed for it to fail: one by one they are left out while it still does.
std::vector<int> shrink(std::uint64_t seed, const std::string& sidecar) {
  std::vector<int> needed;
  for (std::size_t i = 0; i < draw_scenario(seed).faults.size(); ++i) needed.push_back(int(i));
  auto fails = [&](const std::vector<int>& only) {
    std::string list;
    for (int number : only) list += (list.empty() ? "" : ",") + std::to_string(number);
    // What breaks only now and then gets a second chance to.
    std::vector<Job> jobs(2, Job{{"run", "random", "--seed", std::to_string(seed), "--sidecar", sidecar,
                                  "--only-faults", list.empty() ? "-1" : list}});
    bool failed = false;
    play(jobs, 1, [&](Job& job) { failed = failed || job.exit == kBroken; });
    return failed;
  };
  for (std::size_t i = 0; i < needed.size();) {
    std::vector<int> without = needed;
    std::erase(without, needed[i]);
    if (fails(without)) needed = without;
    else ++i;
  }
  return needed;
}

int hunt(const Seek& seek) {
  Scratch scratch;
  std::vector<Job> jobs;
  for (int i = 0; i < seek.count; ++i) {
    std::string seed = std::to_string(seek.from + std::uint64_t(i));
    jobs.push_back(
        {{"run", "random", "--seed", seed, "--json", scratch.path + "/" + seed, "--sidecar", seek.sidecar}});
  }
  struct Found {
    double service;
    json result;
  };
  std::vector<Found> found;
  int late = 0, broken = 0;
  play(jobs, seek.lanes, [&](Job& job) {
    if (job.exit != kKept && job.exit != kBroken) {
      std::cout << "seed " << job.arguments[3] << " could not be played (" << job.exit << ")" << std::endl;
      return;
    }
    json result = read_result(job.arguments[5]);
    late += result["rehearsal"]["late"].get<bool>();
    if (job.exit == kBroken) {
      ++broken;
      std::cout << summary(result) << std::flush;
    }
    found.push_back({result["service"], std::move(result)});
  });
  std::sort(found.begin(), found.end(),
            [](const Found& one, const Found& other) { return one.service < other.service; });
  std::cout << "\nworst service:\n";
  for (std::size_t i = 0; i < std::min<std::size_t>(10, found.size()); ++i) {
    std::cout << "  " << found[i].service << "  seed " << found[i].result["seed"] << ":";
    for (const json& fault : found[i].result["faults"])
      std::cout << " " << fault["kind"].get<std::string>() << "(" << fault["on"].get<std::string>() << ")";
    std::cout << "\n";
  }
  int shrunk = 0;
  for (const Found& one : found) {
    if (one.result["rules"] == "kept" || shrunk++ >= 3) continue;
    std::uint64_t seed = one.result["seed"];
    std::cout << "seed " << seed << " still fails with only faults";
    for (int number : shrink(seed, seek.sidecar))
      std::cout << " " << number << " (" << name_of(draw_scenario(seed).faults[std::size_t(number)].kind)
                << ")";
    std::cout << std::endl;
  }
  std::cout << found.size() << " seeds played, " << broken << " broken, " << late << " late\n"
            << (broken ? "rules: broken\n" : "rules: kept\n");
  return broken ? kBroken : kKept;
}

int program(int count, char** words) {
  CLI::App app(
      "Rehearses sidecars: stand-ins on loopback, load, troubles, and an auditor of the four rules.\n"
      "Exit codes: 0 all rules held, 3 one broke, 2 what was asked can't be used.");
  app.require_subcommand(1);
  app.set_version_flag("--version", "puffinvane_load_test 1");

  app.add_subcommand("list", "the scripts that ship, a line each")->callback([] {
    for (const std::string& name : shipped())
      std::cout << name << std::string(name.size() < 22 ? 22 - name.size() : 1, ' ')
                << find_scenario(name, 1).title << "\n";
    std::cout << "random                drawn from --seed: troubles that overlap\n";
  });
  app.add_subcommand("troubles", "the kinds of faults that a script may hold")->callback([] {
    for (const TroubleName& one : trouble_names()) {
      std::string name = one.name;
      std::cout << name << std::string(16 - name.size(), ' ') << one.does << "\n";
    }
  });

  Chosen chosen;
  int exit = kKept;
  CLI::App* run = app.add_subcommand("run", "plays one script");
  run->add_option("SCRIPT", chosen.scenario, "a file, a name from 'list', or 'random'")->required();
  run->add_option("--seed", chosen.seed, "of all that is drawn");
  run->add_option("--time-scale", chosen.time_scale, "all times by this factor")
      ->check(CLI::Range(0.05, 50.0));
  run->add_option("--length", chosen.length, "seconds of load in place of the script's")
      ->check(CLI::Range(0.2, 36000.0));
  run->add_option("--json", chosen.json_to, "write the result there");
  run->add_option("--report", chosen.report_to, "write an HTML page into this folder");
  run->add_option(
      "--sidecar", chosen.sidecar,
      "a command in place of puffinvane; baseline:NAME and vice:NAME are the programs beside this one");
  run->add_option("--label", chosen.label, "its name in comparisons");
  auto* only =
      run->add_option("--only-faults", chosen.only, "the numbers of the faults to keep")->delimiter(',');
  run->add_flag("--keep", chosen.keep, "keep the sidecars' files and logs");
  run->add_flag("--show", chosen.show, "print the script and run nothing");
  run->callback([&] {
    chosen.only_given = only->count() > 0;
    exit = run_one(chosen);
  });

  std::vector<std::string> results;
  CLI::App* comparing =
      app.add_subcommand("compare", "figures of results with error bars, and which differences are real");
  comparing->add_option("RESULT", results, "files of 'run --json'")->required();
  comparing->callback([&] {
    std::vector<json> all;
    for (const std::string& path : results) all.push_back(read_result(path));
    compare(all, std::cout);
  });

  Many many;
  CLI::App* suite = app.add_subcommand("suite", "plays many scripts, seeds and sidecars, and compares them");
  suite->add_option("SCRIPT", many.scenarios, "all that ship, if none is named");
  suite->add_option("--seeds", many.seeds, "one, or FIRST..LAST");
  suite->add_option("--sidecars", many.sidecars, "as --sidecar of 'run'")->delimiter(',');
  suite->add_option("--lanes", many.lanes, "runs side by side")->check(CLI::Range(1, 64));
  suite->add_option("--repeat", many.repeat, "times that all is played")->check(CLI::Range(1, 100));
  suite->add_option("--out", many.out, "keep the results in this folder");
  suite->callback([&] { exit = play_many(many); });

  Seek seek;
  CLI::App* hunting =
      app.add_subcommand("hunt", "seeks seeds that fail or serve badly, and shrinks what fails");
  hunting->add_option("--count", seek.count, "seeds to play")->check(CLI::Range(1, 100000));
  hunting->add_option("--from", seek.from, "the first seed");
  hunting->add_option("--lanes", seek.lanes, "runs side by side")->check(CLI::Range(1, 64));
  hunting->add_option("--sidecar", seek.sidecar, "as of 'run'");
  hunting->callback([&] { exit = hunt(seek); });

  LoadPlan load;
  std::string to;
  CLI::App* loading =
      app.add_subcommand("load", "visits to one address: at a rate, or as fast as they are answered");
  loading->add_option("ADDRESS", to, "HOST:PORT, on loopback")->required();
  loading->add_option("--rate", load.rate,
                      "visits a second in open loop; 0: each connection sends as it is answered");
  loading->add_option("--connections", load.connections, "open at a time")->check(CLI::Range(1, 20000));
  loading->add_option("--seconds", load.seconds, "of load")->check(CLI::Range(0.1, 600.0));
  loading->add_option("--path", load.target, "what is asked for");
  loading->callback([&] {
    load.to = read_address(to);
    std::cout << report(load_one(load)) << std::flush;
  });

  CostPlan costs;
  CLI::App* costing =
      app.add_subcommand("cost", "what one sidecar core carries, and what it adds, against direct calls");
  costing->add_option("--sidecar", costs.command, "as of 'run'");
  costing->add_option("--seconds", costs.seconds, "a measurement")->check(CLI::Range(0.2, 60.0));
  costing->add_option("--pairs", costs.pairs, "of direct and through, for each row")
      ->check(CLI::Range(1, 50));
  costing->add_option("--connections", costs.connections, "rows by connections")->delimiter(',');
  costing->add_option("--endpoints", costs.endpoints, "rows by endpoints")->delimiter(',');
  costing->add_flag("--site", costs.site, "a site with a pool for each path prefix, in the platform's place");
  costing->add_option("--in-hand", costs.in_hand, "rows by visits in hand, each answered after 20 ms")
      ->delimiter(',');
  costing->add_option("--json", costs.json_to, "write the figures there");
  costing->callback([&] {
    costs.command = command_of(costs.command);
    measure_cost(costs, std::cout);
  });

  ScalePlan scale;
  CLI::App* scaling = app.add_subcommand(
      "scale", "what a sidecar needs by the number of endpoints, beside what it may need; 3: a bound broke");
  scaling->add_option("--sidecar", scale.command, "as of 'run'");
  scaling->add_option("--endpoints", scale.endpoints, "days, the usual size first")->delimiter(',');
  scaling->add_option("--seconds", scale.seconds, "a day")->check(CLI::Range(1.0, 600.0));
  scaling->add_option("--rate", scale.rate, "requests a second")->check(CLI::Range(0.1, 1000.0));
  scaling->add_option("--changes", scale.changes, "endpoints replaced a second")
      ->check(CLI::Range(0.01, 1000.0));
  scaling->callback([&] {
    scale.command = command_of(scale.command);
    exit = report_scale(scale, std::cout) ? kKept : kBroken;
  });

  CLI::App* serving_examples =
      app.add_subcommand("toy", "three endpoints and their discovery, to try a sidecar with");
  serving_examples->callback([] { serve_example_upstreams(); });

  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& fault) {
    int code = app.exit(fault);
    return code == 0 ? 0 : kUnusable;
  }
  return exit;
}

}  // namespace
}  // namespace load_test

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return load_test::program(count, words);
  } catch (const std::exception& fault) {
    std::cerr << fault.what() << std::endl;
    return 2;
  }
}
