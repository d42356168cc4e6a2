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

constexpr double kStartTimeout = 20;  // seconds until all sidecars have to be ready
constexpr double kCheckInterval = 0.01;
constexpr double kPollInterval = 0.02;
// Seconds after the last request in which late responses and repeated executions are still observed.
constexpr double kLateEventWait = 0.6;
// If the load test had no core for more than this share of the run, its metrics are unreliable.
constexpr double kMaxStallShare = 0.05;

class ObserverPair final : public Observer {
 public:
  ObserverPair(InvariantChecker& checker, RunMetrics& metrics) : checker_(checker), metrics_(metrics) {}
  void observe(const Event& event) override {
    checker_.observe(event);
    metrics_.observe(event);
  }

 private:
  InvariantChecker& checker_;
  RunMetrics& metrics_;
};

class TemporaryFolder {
 public:
  explicit TemporaryFolder(bool keep) : keep_(keep) {
    const char* base = std::getenv("TMPDIR");
    std::string template_path = std::string(base && *base ? base : "/tmp") + "/rehearse-XXXXXX";
    if (!mkdtemp(template_path.data()))
      throw std::runtime_error("cannot create a temporary folder for the sidecars' files");
    path = template_path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    if (!keep_) std::filesystem::remove_all(path, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string path;

 private:
  bool keep_;
};

struct PeriodicTask {
  EventLoop& loop;
  double interval;
  std::function<void()> task;
  void run() {
    task();
    loop.call_at(loop.now() + interval, [this] { run(); });
  }
};

nlohmann::json breach_json(const Breach& breach) {
  return {{"rule", name_of(breach.rule)},
          {"at", breach.at},
          {"visit", breach.request},
          {"text", breach.text},
          {"history", breach.history}};
}

}  // namespace

nlohmann::json run(const RunPlan& plan) {
  const Scenario& scenario = plan.scenario;
  EventLoop loop;
  TemporaryFolder folder(plan.keep_logs);
  InvariantChecker checker(scenario.bounds());
  RunMetrics metrics(scenario);
  ObserverPair observer(checker, metrics);
  RunContext context{loop, scenario, observer, RandomSource(plan.seed, 11), plan.seed << 32};
  std::vector<Arrival> arrivals = generate_arrivals(scenario, plan.seed);
  std::uint64_t hash = schedule_hash(arrivals, scenario);
  int descriptors_before = usage_of(getpid()).descriptors;
  nlohmann::json result;
  {
    Clients clients(context, std::move(arrivals),
                    [&](const RequestOutcome& outcome) { metrics.record(outcome); });
    Fleet fleet(context, plan.command, folder.path, plan.seed);
    std::vector<Address> addresses = fleet.front_addresses();
    for (std::size_t i = 0; i < addresses.size(); ++i) clients.add_sidecar(addresses[i], int(i));
    PeriodicTask check{loop, kCheckInterval, [&] { checker.advance(loop.earliest_event_time()); }};
    PeriodicTask poll{loop, kPollInterval, [&] { fleet.poll(); }};
    fleet.start();
    check.run();
    poll.run();
    double give_up = loop.now() + kStartTimeout;
    loop.run([&] { return fleet.ready() || loop.now() > give_up || !checker.breaches().empty(); });
    double start = loop.now(), stalled = loop.stalled_seconds();
    checker.set_start(start);
    metrics.set_start(start);
    bool ready = fleet.ready();
    if (ready) {
      clients.start();
      fleet.start_faults(clients);
      double longest_timeout = 0, last_fault_end = scenario.length;
      for (const ClassPlan& request_class : scenario.request_classes)
        longest_timeout = std::max(longest_timeout, request_class.client_timeout);
      for (const Fault& fault : scenario.faults)
        last_fault_end = std::max(
            last_fault_end,
            std::min(scenario.length, fault.at + fault.duration + (fault.repetitions - 1) * fault.interval));
      double earliest_end = start + last_fault_end,
             latest_end = earliest_end + (scenario.clients.retries + 1) * (longest_timeout + 1) + 3;
      loop.run([&] { return (clients.done() && loop.now() > earliest_end) || loop.now() > latest_end; });
      double end = loop.now() + kLateEventWait;
      loop.run([&] { return loop.now() > end; });
    }
    checker.finish(loop.now());
    result = metrics.json();
    double duration = loop.now() - start;
    stalled = loop.stalled_seconds() - stalled;
    result["rehearsal"] = {
        {"seconds", duration}, {"stalled_s", stalled}, {"late", stalled > kMaxStallShare * duration}};
    result["sidecars"] = nlohmann::json::array();
    double cpu = 0;
    for (const auto& sidecar : fleet.sidecars()) {
      result["sidecars"].push_back({{"number", sidecar->sidecar()},
                                    {"tier", sidecar->tier()},
                                    {"starts", sidecar->starts()},
                                    {"cpu_s", sidecar->cpu()},
                                    {"memory_mb", sidecar->peak_usage().memory / 1048576},
                                    {"descriptors", sidecar->peak_usage().descriptors}});
      if (scenario.sites) {
        result["sidecars"].back()["reloads"] = sidecar->count_log_lines("site.reloaded");
        result["sidecars"].back()["kept"] = sidecar->count_log_lines("site.kept");
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
    if (scenario.clients.invalid_rate > 0) {
      result["bad_callers"] = {{"came", clients.invalid_clients()},
                               {"unanswered", clients.invalid_unanswered()},
                               {"served", clients.invalid_served()}};
    }
  }
  result["script"] = scenario.name;
  result["title"] = scenario.title;
  result["seed"] = plan.seed;
  result["label"] = plan.label;
  result["length"] = scenario.length;
  std::ostringstream hex;
  hex << std::hex << hash;
  result["schedule"] = hex.str();
  result["faults"] = nlohmann::json::array();
  for (const Fault& fault : scenario.faults) {
    for (int i = 0; i < std::min(fault.repetitions, 50); ++i)
      result["faults"].push_back({{"kind", name_of(fault.kind)},
                                  {"on", fault.target},
                                  {"at", fault.at + i * fault.interval},
                                  {"for", fault.duration}});
  }
  result["breaches"] = nlohmann::json::array();
  for (const Breach& breach : checker.breaches()) result["breaches"].push_back(breach_json(breach));
  result["descriptors_left"] = usage_of(getpid()).descriptors - descriptors_before;
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
