// Rule 4: an endpoint that has just started receives a growing share of the attempts of a warm one, and is
// never overloaded by all instances together.
#include <gtest/gtest.h>

#include <array>
#include <string>

#include "testing/policy/fake_host.h"
#include "testing/policy/slow_start_fleet.h"

namespace puffinvane::test {
namespace {

TEST(SlowStart, AllInstancesTogetherSendLessToFreshEndpointThanToWarmOne) {
  constexpr int kInstances = 6;
  int fresh_in_first_second = 0;
  int fresh = 0;
  int warm = 0;

  for (int index = 0; index < kInstances; ++index) {
    FakeHost host{deployment().as_instance(index, kInstances), unsigned(index)};
    host.list_ready_endpoints(4);
    host.serve_requests(200, 0.02);
    host.change_endpoint(endpoint("a0").online_since(host.now_s()));
    double started_at_s = host.now_s();
    host.serve_requests(50, 0.02);
    fresh_in_first_second += host.attempts_sent_to("a0", started_at_s);
    host.serve_requests(50, 0.02);
    fresh += host.attempts_sent_to("a0", started_at_s);
    warm += host.attempts_sent_to("a1", started_at_s);
  }

  // The share grows from 0.2 to 1 in 10 s; after 2 s it is 0.36.
  EXPECT_GT(fresh, 0);
  EXPECT_LT(fresh, warm * 0.45);
  const int warm_per_second = warm / 2;
  EXPECT_LT(fresh_in_first_second, warm_per_second * 0.45);
}

TEST(SlowStart, InstanceThatHasJustStartedKeepsWithinBudget) {
  FakeHost host{deployment().as_instance(0, 2)};
  host.list_endpoints({endpoint("warm"), endpoint("cold").online_since(host.now_s() - 0.5)});

  host.serve_requests(50, 0.02);

  EXPECT_LT(host.attempts_sent_to("cold"), 0.45 * host.attempts_sent_to("warm"));
}

TEST(SlowStart, EndpointsReceiveAttemptsIfAllHaveJustStarted) {
  FakeHost host{deployment()};
  double started_at_s = host.now_s() - 1;
  host.list_endpoints({endpoint("a0").online_since(started_at_s), endpoint("a1").online_since(started_at_s)});

  for (int i = 0; i < 30; ++i) {
    host.receive();
    host.run_for(0.1);
  }

  EXPECT_GE(host.sent().size(), 2U);
  EXPECT_LT(host.sent().size(), 10U);
}

// A burst arrives while the warm endpoints hang, after a pause in which the instances could save up budget.
// In no overload window may the starting endpoint get more work than the rule allows, whatever the number of
// instances.
class SlowStartBurst : public testing::TestWithParam<Disturbance> {};

TEST_P(SlowStartBurst, StaysWithinRuleForSumOfAllInstances) {
  constexpr unsigned kSeed = 8;
  const std::array scenarios = {
      SlowStartScenario{
          .endpoints = 7, .requests_per_endpoint_s = 50, .initial_share = 0.2, .duration_s = 10},
      SlowStartScenario{
          .endpoints = 3, .requests_per_endpoint_s = 60, .initial_share = 0.12, .duration_s = 23},
      SlowStartScenario{
          .endpoints = 40, .requests_per_endpoint_s = 8, .initial_share = 0.2, .duration_s = 10},
  };
  for (SlowStartScenario scenario : scenarios) {
    for (int instances : {1, 5, 30, 100, 300, 900}) {
      for (TrafficBeforeBurst traffic : {TrafficBeforeBurst::None, TrafficBeforeBurst::Steady}) {
        scenario.instances = instances;
        scenario.traffic = traffic;
        scenario.pause_s = traffic == TrafficBeforeBurst::None ? 4 : 8;
        scenario.disturbance = GetParam();
        SlowStartFleet fleet(scenario, kSeed);

        fleet.run_burst();

        EXPECT_LE(fleet.worst_excess(), 0) << instances << " instances, " << scenario.endpoints
                                           << " endpoints, pause of " << scenario.pause_s << " s";
      }
    }
  }
}

std::string name_of(const testing::TestParamInfo<Disturbance>& info) {
  switch (info.param) {
    case Disturbance::None: return "Undisturbed";
    case Disturbance::StaleInstanceCount: return "StaleInstanceCount";
    case Disturbance::HotRestarts: return "HotRestarts";
    case Disturbance::Restarts: return "Restarts";
    case Disturbance::UnequalWork: return "UnequalWork";
  }
  return "Unknown";
}

INSTANTIATE_TEST_SUITE_P(SlowStart, SlowStartBurst,
                         testing::Values(Disturbance::None, Disturbance::StaleInstanceCount,
                                         Disturbance::HotRestarts, Disturbance::Restarts,
                                         Disturbance::UnequalWork),
                         name_of);

// The budget must not be so small that the endpoint misses its share in steady traffic.
TEST(SlowStart, EndpointGetsItsShareInSparseTraffic) {
  constexpr unsigned kSeeds = 4;
  struct Expectation {
    int instances;
    double min_share;
  };
  // With 56 requests per second over 300 instances, most instances have no request to send while they have
  // budget, so the bound is low.
  for (Expectation expected :
       {Expectation{1, 0.9}, Expectation{5, 0.9}, Expectation{30, 0.8}, Expectation{300, 0.08}}) {
    double mean_share = 0;

    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      SlowStartScenario scenario{
          .instances = expected.instances, .endpoints = 7, .requests_per_endpoint_s = 8};
      mean_share += SlowStartFleet(scenario, seed).run_steady() / kSeeds;
    }

    EXPECT_GE(mean_share, expected.min_share) << expected.instances << " instances";
  }
}

}  // namespace
}  // namespace puffinvane::test
