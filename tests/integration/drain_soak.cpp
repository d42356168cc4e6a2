// A soak test of drains. An endpoint is listed as draining or removed, goes on serving, and must get no
// request after the grace, although the discovery agent loses or cuts off the change that it sends, answers
// the call after it wrongly or not at all, or was unresponsive before, or the process is restarted,
// terminated, stalled or reloaded at that moment.
//
//     drain_soak PROGRAM FIRST_SEED LAST_SEED
//
// Each seed determines one run.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "testing/agent_stand_in.h"
#include "testing/sidecar_process.h"
#include "testing/soak_client.h"
#include "testing/soak_endpoint.h"
#include "testing/soak_run.h"

namespace puffinvane::test {
namespace {

// The platform's terms: sends stop within the grace, and each time limit is 50 ms longer on sockets.
constexpr double kGraceSeconds = 0.5;
constexpr double kToleranceSeconds = 0.05;
constexpr double kMaxStallSeconds = 0.15;
constexpr double kKillAfterTerminateSeconds = 1.7;  // the client timeout of 1 s and 0.7 s
constexpr double kObservedSeconds = 1.6;            // after the change
constexpr double kWarmUpSeconds = 0.3;

constexpr int kEndpoints = 3;
constexpr int kClients = 16;
constexpr int kCrowd = 400;
constexpr int kCallFaults = 6;

enum class Before { Steady, AgentSilent, Restarted, Terminating };

struct Plan {
  Before before = Before::Restarted;
  AgentStandIn::Delivery delivery = AgentStandIn::Delivery::Whole;
  // Of the first call of the restarted process, else of the first call after the change.
  AgentStandIn::CallFault call_fault = AgentStandIn::CallFault::None;
  bool is_removed = false;    // else it drains
  double change_after_s = 0;  // after the restart, recovery or SIGTERM
  double silent_s = 0;
  double stall_s = 0;
  std::vector<double> reloads_s;  // times of SIGHUP after the change
  bool has_idle_crowd = false;
  bool has_whole_lists = false;
};

Plan random_plan(std::uint64_t seed) {
  RandomDraw draw(seed);
  Plan plan;
  plan.before = Before(draw.below(4));
  plan.delivery = AgentStandIn::Delivery(draw.below(3));
  plan.is_removed = draw.below(2) == 0;
  plan.change_after_s = draw.uniform(0, 0.1);
  plan.silent_s = draw.uniform(0.3, 1.8);
  plan.stall_s = draw.below(3) == 0 ? draw.uniform(0.05, kMaxStallSeconds) : 0;
  for (int i = draw.below(4); i > 0; --i) plan.reloads_s.push_back(draw.uniform(0, 0.6));
  std::ranges::sort(plan.reloads_s);
  plan.has_idle_crowd = seed % 3 == 0;
  plan.call_fault = AgentStandIn::CallFault(draw.below(kCallFaults));
  plan.has_whole_lists = draw.below(3) == 0;
  return plan;
}

class Run {
 public:
  Run(std::uint64_t seed, Plan plan) : seed_(seed), plan_(std::move(plan)) {
    AgentStandIn::Options agent;
    if (plan_.has_whole_lists) agent.watch_answer = AgentStandIn::WatchAnswer::WholeList;
    for (int i = 0; i < kEndpoints; ++i) {
      constexpr int kFirstEndpointHost = 20;
      constexpr double kResponseSeconds = 0.004;
      endpoints_.push_back(std::make_unique<SoakEndpoint>(kFirstEndpointHost + i, received_[std::size_t(i)],
                                                          kResponseSeconds));
      agent.endpoints.push_back({.name = name(i), .address = endpoints_.back()->address()});
    }
    agent_ = std::make_unique<AgentStandIn>(discovery_, std::move(agent));
    known_ = agent_->first_entries();
  }

  // Returns how many requests reached the endpoint after the grace.
  std::size_t play() {
    start_process();
    start_clients();
    sleep_for(kWarmUpSeconds);
    prepare_change();
    const double changed_at_s = now();
    const EndpointStatus status = plan_.is_removed ? EndpointStatus::Left : EndpointStatus::Leaving;
    if (plan_.before != Before::Restarted) agent_->fault_next_calls({plan_.call_fault});
    agent_->publish(0, status, plan_.delivery);
    stall_and_reload(changed_at_s);
    const bool ends_early = plan_.before == Before::Terminating;
    sleep_until(changed_at_s +
                (ends_early ? kKillAfterTerminateSeconds - kToleranceSeconds : kObservedSeconds));
    kill(sidecar_->child(), SIGKILL);
    for (auto& client : clients_) client->stop();
    return received_[0].count_between(changed_at_s + kGraceSeconds + kToleranceSeconds, now());
  }
  std::size_t request_count() const {
    std::size_t count = 0;
    for (const auto& client : clients_) count += client->requests().size();
    return count;
  }

 private:
  static std::string name(int endpoint) { return std::string(1, char('a' + endpoint)); }
  static void sleep_until(double at_s) { sleep_for(std::max(0.0, at_s - now())); }

  void start_process() {
    SidecarProcess::Options options;
    options.discovery = &discovery_;
    sidecar_.reset();
    sidecar_ = std::make_unique<SidecarProcess>(known_, options);
    if (!plan_.has_idle_crowd) return;
    crowd_.clear();
    for (int i = 0; i < kCrowd; ++i) crowd_.emplace_back(sidecar_->listen);
  }
  void start_clients() {
    RandomDraw draw(seed_);
    for (int i = 0; i < kClients; ++i) {
      SoakClient::Options client;
      client.address = sidecar_->listen;
      client.name = "d" + std::to_string(seed_) + "-c" + std::to_string(i);
      client.pause_s = draw.uniform(0.002, 0.02);
      client.give_up_s = 2;
      client.is_unsafe = i % 4 == 3;
      clients_.push_back(std::make_unique<SoakClient>(client));
    }
  }
  void prepare_change() {
    switch (plan_.before) {
      case Before::Steady: return;
      case Before::AgentSilent:
        agent_->set_silent(true);
        sleep_for(plan_.silent_s);
        agent_->set_silent(false);
        break;
      case Before::Restarted:
        kill(sidecar_->child(), SIGKILL);
        agent_->fault_next_calls({plan_.call_fault});
        start_process();
        break;
      case Before::Terminating: sidecar_->terminate(); break;
    }
    sleep_for(plan_.change_after_s);
  }
  void stall_and_reload(double changed_at_s) {
    if (plan_.stall_s > 0) sidecar_->while_stopped([this] { sleep_for(plan_.stall_s); });
    for (double at_s : plan_.reloads_s) {
      sleep_until(changed_at_s + at_s);
      sidecar_->reload();
    }
  }

  const std::uint64_t seed_;
  const Plan plan_;
  Listener discovery_{9, 512};
  std::unique_ptr<AgentStandIn> agent_;
  TimedRequests received_[kEndpoints];
  std::vector<std::unique_ptr<SoakEndpoint>> endpoints_;
  std::string known_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::vector<TestConnection> crowd_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

const char* name_of(Before before) {
  constexpr const char* kNames[] = {"steady", "agent silent", "restarted", "terminating"};
  return kNames[int(before)];
}

const char* name_of(AgentStandIn::Delivery delivery) {
  constexpr const char* kNames[] = {"whole", "lost", "cut off"};
  return kNames[int(delivery)];
}

const char* name_of(AgentStandIn::CallFault fault) {
  constexpr const char* kNames[] = {"answered", "unanswered", "answered by a head",
                                    "reset",    "stale",      "cut off"};
  return kNames[int(fault)];
}

bool run_seed(std::uint64_t seed) {
  const Plan plan = random_plan(seed);
  Run run(seed, plan);
  const std::size_t late = run.play();
  std::printf(
      "seed %llu: %s, change %s after %.3f s, call %s%s, %s, silent %.2f s, stall %.2f s, %zu reloads, %s: "
      "%zu requests, %zu after the grace\n",
      static_cast<unsigned long long>(seed), name_of(plan.before), name_of(plan.delivery),
      plan.change_after_s, name_of(plan.call_fault), plan.has_whole_lists ? " with whole lists" : "",
      plan.is_removed ? "removed" : "draining", plan.before == Before::AgentSilent ? plan.silent_s : 0,
      plan.stall_s, plan.reloads_s.size(), plan.has_idle_crowd ? "crowd" : "no crowd", run.request_count(),
      late);
  std::fflush(stdout);
  return late == 0;
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) {
  return puffinvane::test::run_seeds(count, words, puffinvane::test::run_seed);
}
