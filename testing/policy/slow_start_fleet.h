// Simulates all instances of a deployment and one endpoint in slow start. Rule 4 limits the load that all
// instances together put on that endpoint.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {

// What disturbs the instances while the endpoint is in slow start.
enum class Disturbance {
  None,
  StaleInstanceCount,  // each assumes half of the true count, and two have the same index
  HotRestarts,         // a successor with its learned state serves beside each instance
  Restarts,            // all restart one after another within a second and lose their learned state
  UnequalWork,         // one request in ten has six times the work of the others
};

enum class TrafficBeforeBurst { None, Steady };

struct SlowStartScenario {
  int instances = 1;
  int endpoints = 7;
  double requests_per_endpoint_s = 8;
  double pause_s = 5;  // from the start of the endpoint to the burst
  TrafficBeforeBurst traffic = TrafficBeforeBurst::None;
  Disturbance disturbance = Disturbance::None;
  double initial_share = 0.2;
  double duration_s = 10;
};

// The endpoints are named "a0", "a1" and so on. "a0" starts after a period of steady traffic.
class SlowStartFleet {
 public:
  SlowStartFleet(const SlowStartScenario& scenario, unsigned seed)
      : scenario_(scenario), seed_(seed), random_state_(seed) {
    for (int i = 0; i < scenario.instances; ++i) instances_.push_back(start_instance(i, kStartS));
  }

  // Runs steady traffic, then the start of the endpoint, a pause, and a burst during which no endpoint
  // answers.
  void run_burst() {
    start_endpoint();
    run_traffic(scenario_.pause_s, scenario_.traffic == TrafficBeforeBurst::Steady ? kSteadyLoad : 0,
                Endpoints::Answer);
    if (scenario_.disturbance == Disturbance::HotRestarts) start_successors();
    run_traffic(kBurstS, kSteadyLoad * kBurstMultiple, Endpoints::Hang);
  }
  // Runs steady traffic only. Returns the attempts that the endpoint receives in the first half of its slow
  // start, divided by the number that corresponds to its share.
  double run_steady() {
    start_endpoint();
    double half_s = scenario_.duration_s / 2;
    run_traffic(half_s, kSteadyLoad, Endpoints::Answer);
    double mean_share = scenario_.initial_share + (1 - scenario_.initial_share) / 4;
    double due = kSteadyLoad * scenario_.requests_per_endpoint_s * mean_share * half_s;
    return double(arrivals_at_started_endpoint().size()) / due;
  }
  // The work by which the worst overload window of the slow start exceeds what the rule allows, in attempts
  // of mean work; 0 or less if the rule is kept. As arrivals are random, two or three standard deviations are
  // added to the allowance.
  double worst_excess() const {
    std::vector<Arrival> arrivals = arrivals_at_started_endpoint();
    double worst = -1e9;
    double in_window = 0;
    std::size_t last = 0;
    for (const Arrival& first : arrivals) {
      while (last < arrivals.size() && arrivals[last].at_s < first.at_s + kRule.overload_window_s) {
        in_window += arrivals[last].relative_work;
        ++last;
      }
      worst = std::max(worst, in_window - allowed_in_window(first.at_s));
      in_window -= first.relative_work;
    }
    return worst;
  }

 private:
  static constexpr SlowStartRule kRule{};  // defaults: the strictest overload settings of deployments
  static constexpr double kStartS = 100;
  static constexpr double kStepS = 0.02;
  static constexpr double kSteadyS = 8;
  static constexpr double kBurstS = 1.5;
  static constexpr double kResponseS = 0.1;
  static constexpr double kSteadyLoad = 0.9;   // relative to what all endpoints can serve
  static constexpr double kBurstMultiple = 8;  // load of the burst relative to steady traffic
  static constexpr double kMeanWorkS = 0.05;

  enum class Endpoints { Answer, Hang };

  struct Instance {
    std::unique_ptr<FakeHost> host;
    std::size_t answered = 0;  // number of attempts answered
    int index = 0;
  };

  struct Arrival {
    double at_s = 0;
    double relative_work = 1;  // relative to the mean
    friend auto operator<=>(const Arrival&,
                            const Arrival&) = default;  // NOLINT(modernize-use-nullptr): false positive
  };

  double now_s() const { return instances_[0].host->now_s(); }

  Instance start_instance(int index, double start_s) {
    SlowStartRule rule = kRule;
    rule.initial_share = scenario_.initial_share;
    rule.duration_s = scenario_.duration_s;
    int count = scenario_.disturbance == Disturbance::StaleInstanceCount
                    ? std::max(1, scenario_.instances / 2)
                    : scenario_.instances;
    Deployment settings = deployment().with_slow_start(rule).as_instance(index % count, count);
    Instance instance;
    instance.host = std::make_unique<FakeHost>(settings, seed_ * 1000 + unsigned(index), start_s);
    instance.index = index;
    std::vector<ListEntry> entries;
    entries.reserve(std::size_t(scenario_.endpoints));
    for (int i = 0; i < scenario_.endpoints; ++i) {
      entries.push_back(endpoint("a" + std::to_string(i)).online_since(i == 0 ? endpoint_started_s_ : 0));
    }
    instance.host->list_endpoints(entries);
    return instance;
  }

  void start_endpoint() {
    run_traffic(kSteadyS, kSteadyLoad, Endpoints::Answer);
    endpoint_started_s_ = now_s();
    for (Instance& instance : instances_) {
      instance.host->change_endpoint(endpoint("a0").online_since(endpoint_started_s_));
    }
  }

  // A linear congruential generator: the same numbers in each run.
  unsigned next_random() {
    random_state_ = random_state_ * 1664525 + 1013904223;
    return random_state_;
  }

  // The work of the next request relative to the mean; 0 if unknown.
  double next_relative_work() {
    if (scenario_.disturbance != Disturbance::UnequalWork) return 0;
    return next_random() / 7 % 10 == 0 ? 4 : 2.0 / 3;
  }

  // Runs traffic for `seconds`. `load` is relative to what all endpoints together can serve.
  void run_traffic(double seconds, double load, Endpoints endpoints) {
    double end_s = now_s() + seconds - kStepS / 2;
    while (now_s() < end_s) {
      requests_due_ += load * scenario_.requests_per_endpoint_s * scenario_.endpoints * kStepS;
      for (; requests_due_ > 0; requests_due_ -= 1) {
        Instance& instance = instances_[next_random() % instances_.size()];
        double work_s = next_relative_work() * kMeanWorkS;
        instance.host->receive(request_of_class("read").due_in(1).with_work(work_s));
      }
      if (scenario_.disturbance == Disturbance::Restarts && endpoints == Endpoints::Hang) restart_some();
      for (Instance& instance : instances_) advance(instance, endpoints);
    }
  }

  void advance(Instance& instance, Endpoints endpoints) {
    FakeHost& host = *instance.host;
    host.run_for(kStepS);
    if (endpoints == Endpoints::Hang) return;
    while (instance.answered < host.sent().size() &&
           host.sent()[instance.answered].sent_at_s < host.now_s() - kResponseS) {
      host.end_attempt(host.sent()[instance.answered], Outcome::Delivered);
      ++instance.answered;
    }
  }

  // Restarts as many instances as are due in one step, so that all restart within a second.
  void restart_some() {
    restarts_due_ += kStepS * double(instances_.size());
    for (; restarts_due_ >= 1; restarts_due_ -= 1) {
      Instance& instance = instances_[restarts_ % instances_.size()];
      ++restarts_;
      Instance successor = start_instance(instance.index, instance.host->now_s());
      ended_.push_back(std::move(instance.host));
      instance = std::move(successor);
    }
  }

  // Starts a successor with the learned state of each instance; the predecessors keep serving.
  void start_successors() {
    std::size_t predecessors = instances_.size();
    for (std::size_t i = 0; i < predecessors; ++i) {
      Instance successor = start_instance(instances_[i].index, now_s());
      successor.host->import_learned_state_of(*instances_[i].host, 1);
      instances_.push_back(std::move(successor));
    }
  }

  double allowed_in_window(double start_s) const {
    constexpr double kManyAttempts = 30;
    double share = scenario_.initial_share +
                   (1 - scenario_.initial_share) * (start_s - endpoint_started_s_) / scenario_.duration_s;
    double allowed =
        kRule.overload_multiple * share * scenario_.requests_per_endpoint_s * kRule.overload_window_s;
    double deviation = std::sqrt(allowed);
    return allowed + (allowed < kManyAttempts ? 3 * deviation + 3 : 2 * deviation + 2);
  }

  // All attempts sent to the endpoint during its slow start, by time.
  std::vector<Arrival> arrivals_at_started_endpoint() const {
    std::vector<Arrival> arrivals;
    for (const Instance& instance : instances_) append_arrivals(*instance.host, arrivals);
    for (const std::unique_ptr<FakeHost>& host : ended_) append_arrivals(*host, arrivals);
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
  }

  void append_arrivals(const FakeHost& host, std::vector<Arrival>& arrivals) const {
    for (const SentAttempt& attempt : host.sent()) {
      bool in_slow_start = attempt.sent_at_s >= endpoint_started_s_ &&
                           attempt.sent_at_s < endpoint_started_s_ + scenario_.duration_s;
      if (attempt.endpoint != "a0" || !in_slow_start) continue;
      double relative_work = host.work_s_of(attempt.request) / kMeanWorkS;
      arrivals.push_back({attempt.sent_at_s, relative_work > 0 ? relative_work : 1});
    }
  }

  SlowStartScenario scenario_;
  unsigned seed_ = 0;
  unsigned random_state_ = 0;
  double endpoint_started_s_ = 0;
  double requests_due_ = 0;
  double restarts_due_ = 0;
  std::size_t restarts_ = 0;
  std::vector<Instance> instances_;
  std::vector<std::unique_ptr<FakeHost>> ended_;
};

}  // namespace puffinvane::test
