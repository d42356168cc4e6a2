// A soak test of drains. An endpoint is listed as draining or removed, goes on serving, and must get no
// request after the grace, although the discovery agent loses or cuts off the change that it sends, answers
// the calls after it wrongly or not at all, or was unresponsive or isolated before, or the process is
// restarted, terminated, stalled or reloaded at that moment.
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
#include "tests/integration/drain_soak_plan.h"

namespace puffinvane::test {
namespace {

// The platform's terms: sends stop within the grace, and each time limit is 50 ms longer on sockets.
constexpr double kGraceSeconds = 0.5;
constexpr double kToleranceSeconds = 0.05;
constexpr double kKillAfterTerminateSeconds = 1.7;  // the client timeout of 1 s and 0.7 s
constexpr double kObservedSeconds = 1.6;            // after the change
constexpr double kWarmUpSeconds = 0.3;

constexpr int kEndpoints = 4;
constexpr std::size_t kOfFirstList = 0;
constexpr std::size_t kJoinedLater = 3;
constexpr int kClients = 16;
constexpr std::size_t kLongListBytes = 40000;
constexpr int kCrowd = 400;

class Run {
 public:
  Run(std::uint64_t seed, DrainSoakPlan plan)
      : seed_(seed), plan_(std::move(plan)), changed_(plan_.joined_later ? kJoinedLater : kOfFirstList) {
    AgentStandIn::Options agent;
    agent.watch_answer = plan_.watch_answer;
    agent.answer_delay_s = plan_.answer_delay_s;
    if (plan_.has_long_lists) agent.padding_bytes = kLongListBytes;
    for (int i = 0; i < kEndpoints; ++i) {
      constexpr int kFirstEndpointHost = 20;
      constexpr double kResponseSeconds = 0.004;
      endpoints_.push_back(std::make_unique<SoakEndpoint>(kFirstEndpointHost + i, received_[std::size_t(i)],
                                                          kResponseSeconds));
      agent.endpoints.push_back({.name = std::string(1, char('a' + i)),
                                 .address = endpoints_.back()->address(),
                                 .is_in_first_list = std::size_t(i) != kJoinedLater});
    }
    agent_ = std::make_unique<AgentStandIn>(discovery_, agent);
  }

  // Returns how many requests reached the endpoint after the grace.
  std::size_t play() {
    start_process();
    start_clients();
    agent_->publish(kJoinedLater, EndpointStatus::Active, AgentStandIn::Delivery::Whole);
    sleep_for(kWarmUpSeconds);
    const double notified_at_s = change_list();
    stall_and_reload(notified_at_s);
    const bool ends_early = plan_.situation == DrainSituation::Terminating;
    sleep_until(notified_at_s +
                (ends_early ? kKillAfterTerminateSeconds - kToleranceSeconds : kObservedSeconds));
    kill(sidecar_->child(), SIGKILL);
    for (auto& client : clients_) client->stop();
    return received_[changed_].count_between(notified_at_s + kGraceSeconds + kToleranceSeconds, now());
  }
  std::size_t request_count() const {
    std::size_t count = 0;
    for (const auto& client : clients_) count += client->requests().size();
    return count;
  }
  std::size_t count_at_changed_endpoint() const { return received_[changed_].count_between(0, now()); }

 private:
  static void sleep_until(double at_s) { sleep_for(std::max(0.0, at_s - now())); }

  void start_process() {
    SidecarProcess::Options options;
    options.discovery = &discovery_;
    options.known_index = agent_->index();
    sidecar_.reset();
    sidecar_ = std::make_unique<SidecarProcess>(agent_->entries(), options);
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
  // Brings about the situation and the change. Returns when the sidecar counts as notified.
  double change_list() {
    switch (plan_.situation) {
      case DrainSituation::Steady: return publish_with_faults();
      case DrainSituation::AgentSilent:
        agent_->set_silent(true);
        sleep_for(plan_.silent_s);
        agent_->set_silent(false);
        break;
      case DrainSituation::Restarted:
        kill(sidecar_->child(), SIGKILL);
        agent_->fault_next_calls(plan_.call_faults);
        start_process();
        sleep_for(plan_.change_after_s);
        return publish(plan_.delivery);
      case DrainSituation::Terminating: sidecar_->terminate(); break;
      case DrainSituation::Isolated: return change_while_isolated();
    }
    sleep_for(plan_.change_after_s);
    return publish_with_faults();
  }
  double publish(AgentStandIn::Delivery delivery) {
    const double published_at_s = now();
    agent_->publish(changed_, plan_.is_removed ? EndpointStatus::Left : EndpointStatus::Leaving, delivery);
    return published_at_s;
  }
  double publish_with_faults() {
    agent_->fault_next_calls(plan_.call_faults);
    return publish(plan_.delivery);
  }
  double change_while_isolated() {
    agent_->set_silent(true);
    sleep_for(plan_.silent_s);
    publish(AgentStandIn::Delivery::Lost);
    agent_->fault_next_calls(plan_.call_faults);
    agent_->set_silent(false);
    return now();
  }
  void stall_and_reload(double notified_at_s) {
    if (plan_.stall_s > 0) sidecar_->while_stopped([this] { sleep_for(plan_.stall_s); });
    for (double at_s : plan_.reloads_s) {
      sleep_until(notified_at_s + at_s);
      sidecar_->reload();
    }
  }

  const std::uint64_t seed_;
  const DrainSoakPlan plan_;
  const std::size_t changed_;  // the endpoint that drains or is removed
  Listener discovery_{9, 512};
  std::unique_ptr<AgentStandIn> agent_;
  TimedRequests received_[kEndpoints];
  std::vector<std::unique_ptr<SoakEndpoint>> endpoints_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::vector<TestConnection> crowd_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

bool run_seed(std::uint64_t seed) {
  const DrainSoakPlan plan = random_drain_plan(seed);
  Run run(seed, plan);
  const std::size_t late = run.play();
  const std::size_t at_endpoint = run.count_at_changed_endpoint();
  std::printf("seed %llu: %s: %zu requests, %zu at the endpoint, %zu after the grace\n",
              static_cast<unsigned long long>(seed), describe(plan).c_str(), run.request_count(), at_endpoint,
              late);
  std::fflush(stdout);
  return late == 0 && at_endpoint > 0;
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) {
  return puffinvane::test::run_seeds(count, words, puffinvane::test::run_seed);
}
