// An endpoint that joined after the first list is removed while the machine of the sidecar is isolated from
// discovery. Its agent then states what differs from the first list, which doesn't name that endpoint.
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "testing/agent_stand_in.h"
#include "testing/program_main.h"
#include "testing/soak_client.h"
#include "testing/soak_endpoint.h"

namespace puffinvane::test {
namespace {

// The platform's terms: sends stop within the grace, and each time limit is 50 ms longer on sockets.
constexpr double kGraceSeconds = 0.5;
constexpr double kToleranceSeconds = 0.05;

constexpr double kWarmUpSeconds = 0.5;
constexpr double kIsolatedSeconds = 5.3;
constexpr double kListedAgainAfterSeconds = 1.1;  // after the isolation has ended
constexpr std::size_t kStaying = 0;
constexpr std::size_t kFromFirstList = 1;
constexpr std::size_t kJoinedLater = 2;
constexpr std::size_t kEndpoints = 3;

class RemovedWhileIsolated : public testing::Test {
 protected:
  RemovedWhileIsolated() {
    const std::array<std::string, kEndpoints> names = {"staying", "first", "later"};
    AgentStandIn::Options agent;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      constexpr int kFirstEndpointHost = 20;
      constexpr double kResponseSeconds = 0.004;
      endpoints_.push_back(
          std::make_unique<SoakEndpoint>(kFirstEndpointHost + int(i), received_[i], kResponseSeconds));
      agent.endpoints.push_back(
          {.name = names[i], .address = endpoints_[i]->address(), .is_in_first_list = i != kJoinedLater});
    }
    agent_ = std::make_unique<AgentStandIn>(discovery_, agent);
    SidecarProcess::Options options;
    options.discovery = &discovery_;
    sidecar_ = std::make_unique<SidecarProcess>(agent_->entries(), options);
    start_clients();
  }
  ~RemovedWhileIsolated() override {
    for (auto& client : clients_) client->stop();
  }

  // The clients together send some 35 requests a second, as the front of a deployment does.
  void start_clients() {
    for (const char* name : {"c0", "c1"}) {
      clients_.push_back(std::make_unique<SoakClient>(
          SoakClient::Options{.address = sidecar_->listen, .name = name, .pause_s = 0.05, .give_up_s = 2}));
    }
  }
  // The endpoint joins, the machine is isolated, and both endpoints that are not staying are removed
  // meanwhile. Returns when the isolation ended.
  double join_isolate_and_remove() {
    agent_->publish(kJoinedLater, EndpointStatus::Active, AgentStandIn::Delivery::Whole);
    sleep_for(kWarmUpSeconds);
    agent_->set_silent(true);
    agent_->publish(kFromFirstList, EndpointStatus::Left, AgentStandIn::Delivery::Lost);
    agent_->publish(kJoinedLater, EndpointStatus::Left, AgentStandIn::Delivery::Lost);
    sleep_for(kIsolatedSeconds);
    agent_->set_silent(false);
    return now();
  }
  void list_again(std::size_t endpoint) {
    agent_->publish(endpoint, EndpointStatus::Active, AgentStandIn::Delivery::Whole);
  }
  // How long after `notified_at_s` the requests came that reached the endpoint after the grace.
  std::vector<double> late_requests(std::size_t endpoint, double notified_at_s, double until_s) const {
    std::vector<double> times =
        received_[endpoint].times_between(notified_at_s + kGraceSeconds + kToleranceSeconds, until_s);
    for (double& at_s : times) at_s -= notified_at_s;
    return times;
  }

  Listener discovery_{9, 512};
  std::unique_ptr<AgentStandIn> agent_;
  std::array<TimedRequests, kEndpoints> received_;
  std::vector<std::unique_ptr<SoakEndpoint>> endpoints_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

TEST_F(RemovedWhileIsolated, EndpointThatJoinedAfterTheFirstListGetsNoRequestAfterTheGrace) {
  const double started_at_s = now();

  const double notified_at_s = join_isolate_and_remove();
  sleep_for(kListedAgainAfterSeconds);
  const double listed_again_at_s = now();
  list_again(kJoinedLater);
  sleep_for(kWarmUpSeconds);

  EXPECT_EQ(late_requests(kJoinedLater, notified_at_s, listed_again_at_s), std::vector<double>{});
  EXPECT_EQ(late_requests(kFromFirstList, notified_at_s, now()), std::vector<double>{});
  EXPECT_FALSE(late_requests(kStaying, notified_at_s, now()).empty());
  EXPECT_GT(received_[kJoinedLater].count_between(started_at_s, notified_at_s), 0u);
  EXPECT_GT(received_[kJoinedLater].count_between(listed_again_at_s, now()), 0u);
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
