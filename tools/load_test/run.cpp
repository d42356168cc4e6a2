#include "tools/load_test/run.h"

#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <sstream>

#include "tools/load_test/report/run_metrics.h"
#include "tools/load_test/world/fleet.h"

namespace load_test {

namespace {

constexpr double kReadyWithin = 20;  // seconds for all sidecars to start
constexpr double kCheckEvery = 0.01;
constexpr double kLookEvery = 0.02;
constexpr double kAfterwards = 0.6;  // until what comes too late has come as well
constexpr double kLate = 0.05;       // share of a run without a core that makes its figures worth little

class Both final : public Observer {
 public:
  Both(InvariantChecker& checker, Figures& figures) : checker_(checker), figures_(figures) {}
  void observe(const Event& event) override {
    checker_.observe(event);
    figures_.observe(event);
  }

 private:
  InvariantChecker& checker_;
  Figures& figures_;
};

class Folder {
 public:
  explicit Folder(bool keep) : keep_(keep) {
    const char* base = std::getenv("TMPDIR");
    std::string made = std::string(base && *base ? base : "/tmp") + "/rehearse-XXXXXX";
    if (!mkdtemp(made.data())) throw std::runtime_error("no folder for the sidecars' files");
    path = made;
  }
  ~Folder() {
    std::error_code ignored;
    if (!keep_) std::filesystem::remove_all(path, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  std::string path;

 private:
  bool keep_;
};

struct Beat {
  Loop& loop;
  double every;
  std::function<void()> what;
  void begin() {
    what();
    loop.at(loop.now() + every, [this] { begin(); });
  }
};

nlohmann::json json_of(const Breach& breach) {
  return {{"rule", name_of(breach.rule)},
          {"at", breach.at},
          {"visit", breach.request},
          {"text", breach.text},
          {"history", breach.history}};
}

}  // namespace

nlohmann::json run(const RunPlan& plan) {
  const Scenario& scenario = plan.scenario;
  Loop loop;
  Folder folder(plan.keep_logs);
  InvariantChecker checker(scenario.bounds());
  Figures figures(scenario);
  Both observer(checker, figures);
  World world{loop, scenario, observer, Chance(plan.seed, 11), plan.seed << 32};
  std::vector<Arrival> arrivals = draw_arrivals(scenario, plan.seed);
  std::uint64_t print = print_of(arrivals, scenario);
  int before = usage_of(getpid()).descriptors;
  nlohmann::json result;
  {
    Clients clients(world, std::move(arrivals), [&](const Fate& fate) { figures.note(fate); });
    Fleet fleet(world, plan.command, folder.path, plan.seed);
    std::vector<Address> fronts = fleet.front_addresses();
    for (std::size_t i = 0; i < fronts.size(); ++i) clients.add_sidecar(fronts[i], int(i));
    Beat check{loop, kCheckEvery, [&] { checker.advance(loop.since()); }};
    Beat look{loop, kLookEvery, [&] { fleet.look(); }};
    fleet.start();
    check.begin();
    look.begin();
    double give_up = loop.now() + kReadyWithin;
    loop.run([&] { return fleet.ready() || loop.now() > give_up || !checker.breaches().empty(); });
    double began = loop.now(), stalled = loop.stalled();
    checker.begin(began);
    figures.begin(began);
    bool ready = fleet.ready();
    if (ready) {
      clients.begin();
      fleet.begin(clients);
      double longest = 0, last = scenario.length;
      for (const ClassPlan& request_class : scenario.request_classes)
        longest = std::max(longest, request_class.client_timeout);
      for (const Fault& fault : scenario.faults)
        last = std::max(last,
                        std::min(scenario.length, fault.at + fault.span + (fault.times - 1) * fault.every));
      double least = began + last, most = least + (scenario.clients.retries + 1) * (longest + 1) + 3;
      loop.run([&] { return (clients.done() && loop.now() > least) || loop.now() > most; });
      double end = loop.now() + kAfterwards;
      loop.run([&] { return loop.now() > end; });
    }
    checker.finish(loop.now());
    result = figures.json();
    double ran = loop.now() - began;
    stalled = loop.stalled() - stalled;
    result["rehearsal"] = {{"seconds", ran}, {"stalled_s", stalled}, {"late", stalled > kLate * ran}};
    result["sidecars"] = nlohmann::json::array();
    double cpu = 0;
    for (const auto& sidecar : fleet.sidecars()) {
      result["sidecars"].push_back({{"number", sidecar->sidecar()},
                                    {"tier", sidecar->tier()},
                                    {"starts", sidecar->starts()},
                                    {"cpu_s", sidecar->cpu()},
                                    {"memory_mb", sidecar->most().memory / 1048576},
                                    {"descriptors", sidecar->most().descriptors}});
      if (scenario.sites) {
        result["sidecars"].back()["reloads"] = sidecar->logged("site.reloaded");
        result["sidecars"].back()["kept"] = sidecar->logged("site.kept");
      }
      cpu += sidecar->tier() == 0 ? sidecar->cpu() : 0;
    }
    result["cpu_us_a_visit"] = cpu * 1e6 / std::max(1, result["tries"].get<int>());
    result["endpoints"] = nlohmann::json::array();
    for (std::size_t k = 0; k < scenario.tiers.size(); ++k) {
      for (const auto& endpoint : fleet.endpoints(int(k))) {
        result["endpoints"].push_back({{"number", endpoint->number()},
                                       {"name", endpoint->name()},
                                       {"effects", endpoint->effects()},
                                       {"work_s", endpoint->work_done()},
                                       {"most_connections", endpoint->most_connections()}});
      }
    }
    result["ready"] = ready;
    if (scenario.clients.bad_rate > 0) {
      result["bad_callers"] = {{"came", clients.bad_callers()},
                               {"unanswered", clients.bad_unanswered()},
                               {"served", clients.bad_served()}};
    }
  }
  result["script"] = scenario.name;
  result["title"] = scenario.title;
  result["seed"] = plan.seed;
  result["label"] = plan.label;
  result["length"] = scenario.length;
  std::ostringstream hex;
  hex << std::hex << print;
  result["schedule"] = hex.str();
  result["faults"] = nlohmann::json::array();
  for (const Fault& fault : scenario.faults) {
    for (int i = 0; i < std::min(fault.times, 50); ++i)
      result["faults"].push_back({{"kind", name_of(fault.kind)},
                                  {"on", fault.on},
                                  {"at", fault.at + i * fault.every},
                                  {"for", fault.span}});
  }
  result["breaches"] = nlohmann::json::array();
  for (const Breach& breach : checker.breaches()) result["breaches"].push_back(json_of(breach));
  result["descriptors_left"] = usage_of(getpid()).descriptors - before;
  result["rules"] = !checker.breaches().empty() ? "broken" : result["ready"] ? "kept" : "not ready";
  return result;
}

std::string summary(const nlohmann::json& result) {
  std::ostringstream out;
  out.precision(3);
  out << std::fixed;
  out << result["script"].get<std::string>() << ", seed " << result["seed"] << ": "
      << result["title"].get<std::string>() << "\n  service " << result["service"].get<double>()
      << ", worst window " << result["worst_window"].get<double>() << "; " << result["visits"]
      << " visits: " << result["delivered"] << " delivered, " << result["bounced"] << " bounced, "
      << result["errored"] << " errored, " << result["unanswered"] << " unanswered, " << result["left"]
      << " left\n";
  const nlohmann::json& latency = result["latency"];
  out << "  latency p50 " << latency["p50"].get<double>() << " s, p99 " << latency["p99"].get<double>()
      << " s, p99.9 " << latency["p99.9"].get<double>() << " s; " << result["fetches_a_visit"].get<double>()
      << " fetches a visit, " << result["copies"] << " copies; " << result["cpu_us_a_visit"].get<double>()
      << " us of CPU a visit\n";
  if (result.contains("bad_callers"))
    out << "  bad callers: " << result["bad_callers"]["came"] << " came, "
        << result["bad_callers"]["unanswered"] << " got neither an error nor a close in time, "
        << result["bad_callers"]["served"] << " were served\n";
  if (result["rehearsal"]["late"])
    out << "  the rehearsal itself was late: no core for " << result["rehearsal"]["stalled_s"].get<double>()
        << " s of " << result["rehearsal"]["seconds"].get<double>() << " s; its figures are worth little\n";
  std::string rules = result["rules"];
  if (rules == "kept") return out.str() + "rules: kept\n";
  if (result["breaches"].empty()) return out.str() + "rules: broken: no sidecar got ready\n";
  std::vector<std::string> broken;
  for (const nlohmann::json& breach : result["breaches"]) {
    std::string rule = breach["rule"];
    if (std::find(broken.begin(), broken.end(), rule) != broken.end()) continue;
    broken.push_back(rule);
    out << "  " << rule << ", at " << breach["at"].get<double>() << ", visit "
        << breach["visit"].get<std::string>() << ": " << breach["text"].get<std::string>() << "\n";
    for (const nlohmann::json& line : breach["history"]) out << "    " << line.get<std::string>() << "\n";
  }
  out << "  " << result["breaches"].size() << " breaches in all\nrules: broken: ";
  for (std::size_t i = 0; i < broken.size(); ++i) out << (i ? "; " : "") << broken[i];
  return out.str() + "\n";
}

}  // namespace load_test
