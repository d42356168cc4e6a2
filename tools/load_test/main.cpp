// puffinvane_load_test: runs real sidecars on loopback under load and injected faults, and checks that they
// keep the four rules.
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

constexpr int kRulesKept = 0, kInvalidUsage = 2, kRulesBroken = 3;
// Seconds; longer scenarios run only with --length or --time-scale.
constexpr double kDefaultMaxLength = 60;

std::string scenarios_folder() {
  const char* configured = std::getenv("PUFFINVANE_SCRIPTS");
  return configured && *configured ? configured : LOAD_TEST_SCENARIOS;
}

std::vector<std::string> shipped_scenarios() {
  std::vector<std::string> names;
  std::error_code ignored;
  for (const auto& file : fs::directory_iterator(scenarios_folder(), ignored)) {
    if (file.path().extension() == ".toml") names.push_back(file.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

// Accepts a file, the name of a scenario that ships, or 'random'.
Scenario find_scenario(const std::string& name, std::uint64_t seed) {
  if (name == "random") return generate_scenario(seed);
  if (fs::exists(name)) return read_scenario(name);
  std::string shipped = scenarios_folder() + "/" + name + ".toml";
  return read_scenario(fs::exists(shipped) ? shipped : name);
}

json read_result(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw InvalidInput(path + ":1: can't be opened; expected a result of 'run --json'");
  try {
    return json::parse(file);
  } catch (const json::exception& error) {
    throw InvalidInput(path + ":1: " + error.what());
  }
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.flush();
  if (!file) throw InvalidInput(path + ":1: can't be written");
}

struct RunOptions {
  std::string scenario, json_path, report_folder, sidecar, label;
  std::uint64_t seed = 1;
  double time_scale = 1, length = 0;
  std::vector<int> only_faults;
  bool only_faults_given = false, keep = false, show = false;
};

std::string label_for(const RunOptions& options) {
  if (!options.label.empty()) return options.label;
  return options.sidecar.empty() ? "puffinvane" : options.sidecar;
}

// Names such as "baseline:random" and "vice:loses-one" stand for the programs next to this one.
std::string command_for(const std::string& sidecar) {
  if (sidecar.empty() || sidecar == "puffinvane") return program_folder() + "/puffinvane";
  if (sidecar.starts_with("baseline:")) return program_folder() + "/puffinvane_baseline " + sidecar.substr(9);
  if (sidecar.starts_with("vice:")) return program_folder() + "/puffinvane_faulty_proxy " + sidecar.substr(5);
  return sidecar;
}

int run_scenario(const RunOptions& options) {
  RunPlan plan;
  plan.scenario = find_scenario(options.scenario, options.seed);
  if (options.only_faults_given) {
    std::vector<Fault> selected;
    for (int number : options.only_faults) {
      if (number >= 0 && number < int(plan.scenario.faults.size()))
        selected.push_back(plan.scenario.faults[std::size_t(number)]);
    }
    plan.scenario.faults = selected;
  }
  if (options.length > 0) plan.scenario.length = options.length;
  if (options.time_scale != 1) scale_times(plan.scenario, options.time_scale);
  if (options.show) {
    std::cout << write_scenario(plan.scenario);
    return kRulesKept;
  }
  if (plan.scenario.length > kDefaultMaxLength && options.length <= 0 && options.time_scale == 1)
    throw InvalidInput(options.scenario + ":1: 'length' is over " + std::to_string(int(kDefaultMaxLength)) +
                       " s; say --length to run it for that long");
  plan.seed = options.seed;
  plan.command = command_for(options.sidecar);
  plan.label = label_for(options);
  plan.keep_logs = options.keep;
  json result = run(plan);
  if (!options.json_path.empty()) write_file(options.json_path, result.dump(1) + "\n");
  if (!options.report_folder.empty()) {
    fs::create_directories(options.report_folder);
    write_file(options.report_folder + "/" + plan.scenario.name + "-" + std::to_string(plan.seed) + ".html",
               html_report(result));
  }
  std::cout << summary(result) << std::flush;
  return result["rules"] == "kept" ? kRulesKept : kRulesBroken;
}

struct SuiteOptions {
  std::vector<std::string> scenarios, sidecars{std::string("puffinvane")};
  std::string out, seeds = "1";
  int parallel = 2, repeat = 1;
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

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string template_path = (fs::temp_directory_path() / "rehearse-XXXXXX").string();
    if (!mkdtemp(template_path.data()))
      throw std::runtime_error("cannot create a temporary folder for results");
    path = template_path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    fs::remove_all(path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string path;
};

// Runs every combination of scenario, seed and sidecar, and compares the results. Returns the highest exit
// code of the runs.
int run_suite(const SuiteOptions& suite_options) {
  TemporaryFolder temporary;
  std::string folder = suite_options.out.empty() ? temporary.path : suite_options.out;
  fs::create_directories(folder);
  std::vector<Job> jobs;
  for (int again = 0; again < suite_options.repeat; ++again) {
    for (const std::string& scenario :
         suite_options.scenarios.empty() ? shipped_scenarios() : suite_options.scenarios) {
      for (std::uint64_t seed : read_seeds(suite_options.seeds)) {
        for (const std::string& sidecar : suite_options.sidecars) {
          std::string file = folder + "/" + std::to_string(jobs.size()) + ".json";
          jobs.push_back(
              {{"run", scenario, "--seed", std::to_string(seed), "--json", file, "--sidecar", sidecar}});
        }
      }
    }
  }
  int worst = kRulesKept, broken = 0, unusable = 0;
  run_jobs(jobs, suite_options.parallel, [&](Job& job) {
    worst = std::max(worst, job.exit_code);
    broken += job.exit_code == kRulesBroken;
    unusable += job.exit_code != kRulesKept && job.exit_code != kRulesBroken;
    std::cout << (job.exit_code == kRulesKept     ? "kept    "
                  : job.exit_code == kRulesBroken ? "BROKEN  "
                                                  : "FAILED  ")
              << job.arguments[1] << ", seed " << job.arguments[3] << ", " << job.arguments[7] << std::endl;
  });
  std::vector<json> results;
  for (const Job& job : jobs) {
    if (job.exit_code == kRulesKept || job.exit_code == kRulesBroken)
      results.push_back(read_result(job.arguments[5]));
  }
  std::cout << "\n";
  compare(results, std::cout);
  std::cout << jobs.size() << " runs, " << broken << " broken, " << unusable << " failed\n"
            << (worst == kRulesKept ? "rules: kept\n" : "rules: broken\n");
  return worst;
}

struct HuntOptions {
  int count = 20, parallel = 2;
  std::uint64_t from = 1;
  std::string sidecar;
};

// Returns the faults of a random scenario without which the run no longer fails. Removes them one at a time
// while the run still fails.
std::vector<int> shrink(std::uint64_t seed, const std::string& sidecar) {
  std::vector<int> needed;
  for (std::size_t i = 0; i < generate_scenario(seed).faults.size(); ++i) needed.push_back(int(i));
  auto fails = [&](const std::vector<int>& only) {
    std::string list;
    for (int number : only) list += (list.empty() ? "" : ",") + std::to_string(number);
    // Two runs each, as some failures are intermittent.
    std::vector<Job> jobs(2, Job{{"run", "random", "--seed", std::to_string(seed), "--sidecar", sidecar,
                                  "--only-faults", list.empty() ? "-1" : list}});
    bool failed = false;
    run_jobs(jobs, 1, [&](Job& job) { failed = failed || job.exit_code == kRulesBroken; });
    return failed;
  };
  for (std::size_t i = 0; i < needed.size();) {
    std::vector<int> candidate = needed;
    std::erase(candidate, needed[i]);
    if (fails(candidate)) needed = candidate;
    else ++i;
  }
  return needed;
}

int hunt(const HuntOptions& hunt_options) {
  TemporaryFolder temporary;
  std::vector<Job> jobs;
  for (int i = 0; i < hunt_options.count; ++i) {
    std::string seed = std::to_string(hunt_options.from + std::uint64_t(i));
    jobs.push_back({{"run", "random", "--seed", seed, "--json", temporary.path + "/" + seed, "--sidecar",
                     hunt_options.sidecar}});
  }
  struct SeedResult {
    double service;
    json result;
  };
  std::vector<SeedResult> found;
  int late = 0, broken = 0;
  run_jobs(jobs, hunt_options.parallel, [&](Job& job) {
    if (job.exit_code != kRulesKept && job.exit_code != kRulesBroken) {
      std::cout << "seed " << job.arguments[3] << " could not be played (" << job.exit_code << ")"
                << std::endl;
      return;
    }
    json result = read_result(job.arguments[5]);
    late += result["rehearsal"]["late"].get<bool>();
    if (job.exit_code == kRulesBroken) {
      ++broken;
      std::cout << summary(result) << std::flush;
    }
    found.push_back({result["service"], std::move(result)});
  });
  std::sort(found.begin(), found.end(),
            [](const SeedResult& one, const SeedResult& other) { return one.service < other.service; });
  std::cout << "\nworst service:\n";
  for (std::size_t i = 0; i < std::min<std::size_t>(10, found.size()); ++i) {
    std::cout << "  " << found[i].service << "  seed " << found[i].result["seed"] << ":";
    for (const json& fault : found[i].result["faults"])
      std::cout << " " << fault["kind"].get<std::string>() << "(" << fault["on"].get<std::string>() << ")";
    std::cout << "\n";
  }
  int shrunk_count = 0;
  for (const SeedResult& one : found) {
    if (one.result["rules"] == "kept" || shrunk_count++ >= 3) continue;
    std::uint64_t seed = one.result["seed"];
    std::cout << "seed " << seed << " still fails with only faults";
    for (int number : shrink(seed, hunt_options.sidecar))
      std::cout << " " << number << " (" << name_of(generate_scenario(seed).faults[std::size_t(number)].kind)
                << ")";
    std::cout << std::endl;
  }
  std::cout << found.size() << " seeds played, " << broken << " broken, " << late << " late\n"
            << (broken ? "rules: broken\n" : "rules: kept\n");
  return broken ? kRulesBroken : kRulesKept;
}

int run_program(int argc, char** argv) {
  CLI::App app(
      "Rehearses sidecars: stand-ins on loopback, load, troubles, and an auditor of the four rules.\n"
      "Exit codes: 0 all rules held, 3 one broke, 2 what was asked can't be used.");
  app.require_subcommand(1);
  app.set_version_flag("--version", "puffinvane_load_test 1");

  app.add_subcommand("list", "the scripts that ship, a line each")->callback([] {
    for (const std::string& name : shipped_scenarios())
      std::cout << name << std::string(name.size() < 22 ? 22 - name.size() : 1, ' ')
                << find_scenario(name, 1).title << "\n";
    std::cout << "random                drawn from --seed: troubles that overlap\n";
  });
  app.add_subcommand("troubles", "the kinds of faults that a script may hold")->callback([] {
    for (const FaultKindInfo& kind : fault_kinds()) {
      std::string name = kind.name;
      std::cout << name << std::string(16 - name.size(), ' ') << kind.description << "\n";
    }
  });

  RunOptions options;
  int exit = kRulesKept;
  CLI::App* run_command = app.add_subcommand("run", "plays one script");
  run_command->add_option("SCRIPT", options.scenario, "a file, a name from 'list', or 'random'")->required();
  run_command->add_option("--seed", options.seed, "of all that is drawn");
  run_command->add_option("--time-scale", options.time_scale, "all times by this factor")
      ->check(CLI::Range(0.05, 50.0));
  run_command->add_option("--length", options.length, "seconds of load in place of the script's")
      ->check(CLI::Range(0.2, 36000.0));
  run_command->add_option("--json", options.json_path, "write the result there");
  run_command->add_option("--report", options.report_folder, "write an HTML page into this folder");
  run_command->add_option(
      "--sidecar", options.sidecar,
      "a command in place of puffinvane; baseline:NAME and vice:NAME are the programs beside this one");
  run_command->add_option("--label", options.label, "its name in comparisons");
  auto* only_option =
      run_command->add_option("--only-faults", options.only_faults, "the numbers of the faults to keep")
          ->delimiter(',');
  run_command->add_flag("--keep", options.keep, "keep the sidecars' files and logs");
  run_command->add_flag("--show", options.show, "print the script and run nothing");
  run_command->callback([&] {
    options.only_faults_given = only_option->count() > 0;
    exit = run_scenario(options);
  });

  std::vector<std::string> results;
  CLI::App* compare_command =
      app.add_subcommand("compare", "figures of results with error bars, and which differences are real");
  compare_command->add_option("RESULT", results, "files of 'run --json'")->required();
  compare_command->callback([&] {
    std::vector<json> all;
    for (const std::string& path : results) all.push_back(read_result(path));
    compare(all, std::cout);
  });

  SuiteOptions suite_options;
  CLI::App* suite_command =
      app.add_subcommand("suite", "plays many scripts, seeds and sidecars, and compares them");
  suite_command->add_option("SCRIPT", suite_options.scenarios, "all that ship, if none is named");
  suite_command->add_option("--seeds", suite_options.seeds, "one, or FIRST..LAST");
  suite_command->add_option("--sidecars", suite_options.sidecars, "as --sidecar of 'run'")->delimiter(',');
  suite_command->add_option("--lanes", suite_options.parallel, "runs side by side")->check(CLI::Range(1, 64));
  suite_command->add_option("--repeat", suite_options.repeat, "times that all is played")
      ->check(CLI::Range(1, 100));
  suite_command->add_option("--out", suite_options.out, "keep the results in this folder");
  suite_command->callback([&] { exit = run_suite(suite_options); });

  HuntOptions hunt_options;
  CLI::App* hunt_command =
      app.add_subcommand("hunt", "seeks seeds that fail or serve badly, and shrinks what fails");
  hunt_command->add_option("--count", hunt_options.count, "seeds to play")->check(CLI::Range(1, 100000));
  hunt_command->add_option("--from", hunt_options.from, "the first seed");
  hunt_command->add_option("--lanes", hunt_options.parallel, "runs side by side")->check(CLI::Range(1, 64));
  hunt_command->add_option("--sidecar", hunt_options.sidecar, "as of 'run'");
  hunt_command->callback([&] { exit = hunt(hunt_options); });

  LoadPlan load;
  std::string to;
  CLI::App* load_command =
      app.add_subcommand("load", "visits to one address: at a rate, or as fast as they are answered");
  load_command->add_option("ADDRESS", to, "HOST:PORT, on loopback")->required();
  load_command->add_option("--rate", load.rate,
                           "visits a second in open loop; 0: each connection sends as it is answered");
  load_command->add_option("--connections", load.connections, "open at a time")->check(CLI::Range(1, 20000));
  load_command->add_option("--seconds", load.seconds, "of load")->check(CLI::Range(0.1, 600.0));
  load_command->add_option("--path", load.target, "what is asked for");
  load_command->callback([&] {
    load.to = parse_address(to);
    std::cout << format_load_result(run_load(load)) << std::flush;
  });

  CostPlan costs;
  CLI::App* cost_command =
      app.add_subcommand("cost", "what one sidecar core carries, and what it adds, against direct calls");
  cost_command->add_option("--sidecar", costs.command, "as of 'run'");
  cost_command->add_option("--seconds", costs.seconds, "a measurement")->check(CLI::Range(0.2, 60.0));
  cost_command->add_option("--pairs", costs.pairs, "of direct and through, for each row")
      ->check(CLI::Range(1, 50));
  cost_command->add_option("--connections", costs.connections, "rows by connections")->delimiter(',');
  cost_command->add_option("--endpoints", costs.endpoints, "rows by endpoints")->delimiter(',');
  cost_command->add_flag("--site", costs.site,
                         "a site with a pool for each path prefix, in the platform's place");
  cost_command
      ->add_option("--in-hand", costs.concurrent_requests,
                   "rows by visits in hand, each answered after 20 ms")
      ->delimiter(',');
  cost_command->add_option("--json", costs.json_path, "write the figures there");
  cost_command->callback([&] {
    costs.command = command_for(costs.command);
    measure_cost(costs, std::cout);
  });

  ScalePlan scale;
  CLI::App* scale_command = app.add_subcommand(
      "scale", "what a sidecar needs by the number of endpoints, beside what it may need; 3: a bound broke");
  scale_command->add_option("--sidecar", scale.command, "as of 'run'");
  scale_command->add_option("--endpoints", scale.endpoints, "days, the usual size first")->delimiter(',');
  scale_command->add_option("--seconds", scale.seconds, "a day")->check(CLI::Range(1.0, 600.0));
  scale_command->add_option("--rate", scale.rate, "requests a second")->check(CLI::Range(0.1, 1000.0));
  scale_command->add_option("--changes", scale.changes, "endpoints replaced a second")
      ->check(CLI::Range(0.01, 1000.0));
  scale_command->callback([&] {
    scale.command = command_for(scale.command);
    exit = report_scale(scale, std::cout) ? kRulesKept : kRulesBroken;
  });

  CLI::App* toy_command =
      app.add_subcommand("toy", "three endpoints and their discovery, to try a sidecar with");
  toy_command->callback([] { serve_example_upstreams(); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    int code = app.exit(error);
    return code == 0 ? 0 : kInvalidUsage;
  }
  return exit;
}

}  // namespace
}  // namespace load_test

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return load_test::run_program(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
