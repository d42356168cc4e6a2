#include "src/policy/slow_start.h"

#include <gtest/gtest.h>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr EndpointIndex kIndex{0};

SlowStartRule rule() {
  SlowStartRule rule;
  rule.initial_share = 0.2;
  rule.duration_s = 10;
  rule.overload_multiple = 2;
  rule.overload_window_s = 1;
  return rule;
}

Endpoint started_at(double online_since) {
  Endpoint endpoint;
  endpoint.index = kIndex;
  endpoint.online_since = online_since;
  return endpoint;
}

SlowStart::Refill refill_of(double warm_attempts) {
  SlowStart::Refill refill;
  refill.tick_s = 0.1;
  refill.warm_attempts = warm_attempts;
  refill.own_weight = 1;
  return refill;
}

TEST(SlowStart, EndsAfterItsDuration) {
  Deployment deployment = test::deployment().with_slow_start(rule());
  SlowStart slow_start(deployment);

  EXPECT_TRUE(slow_start.is_starting(started_at(100), 109.9));
  EXPECT_FALSE(slow_start.is_starting(started_at(100), 110));
}

TEST(SlowStart, EndpointsWithoutAStartTimeAreWarm) {
  Deployment deployment = test::deployment().with_slow_start(rule());
  SlowStart slow_start(deployment);

  EXPECT_FALSE(slow_start.is_starting(started_at(0), 5));
}

TEST(SlowStart, InitialBudgetDependsOnTheInstanceIndex) {
  Deployment deployment = test::deployment().as_instance(3, 4);
  SlowStart slow_start(deployment);

  slow_start.restart(kIndex);
  EXPECT_FALSE(slow_start.has_budget(kIndex));

  // The budget starts at 3/4 for index 3 of 4. The refill adds 1/4: an initial share of 0.2 of 1.25 warm
  // attempts.
  slow_start.refill(started_at(100), refill_of(1.25), 100);
  EXPECT_TRUE(slow_start.has_budget(kIndex));
}

TEST(SlowStart, RefillGrowsLinearlyToThatOfAWarmEndpoint) {
  Deployment deployment = test::deployment().with_slow_start(rule());
  SlowStart slow_start(deployment);

  // After half of the duration the share is 0.6.
  slow_start.refill(started_at(100), refill_of(0.5 / 0.6), 105);
  EXPECT_FALSE(slow_start.has_budget(kIndex));

  slow_start.refill(started_at(100), refill_of(0.51 / 0.6), 105);
  EXPECT_TRUE(slow_start.has_budget(kIndex));
}

TEST(SlowStart, AnAttemptUsesUpTheBudget) {
  Deployment deployment = test::deployment().with_slow_start(rule());
  SlowStart slow_start(deployment);
  slow_start.refill(started_at(100), refill_of(5), 100);
  ASSERT_TRUE(slow_start.has_budget(kIndex));

  slow_start.charge(kIndex, 0);

  EXPECT_FALSE(slow_start.has_budget(kIndex));
}

TEST(SlowStart, AHeavyRequestCostsInProportionToItsWork) {
  Deployment deployment = test::deployment().with_slow_start(rule());
  SlowStart slow_start(deployment);
  slow_start.record_work(0.1);
  slow_start.refill(started_at(100), refill_of(5), 100);

  slow_start.charge(kIndex, 0.3);

  // The budget was 1 and is now -2, as the cost is 3. Each refill adds 1: two refills give 0, and the third
  // gives 1.
  slow_start.refill(started_at(100), refill_of(5), 100);
  slow_start.refill(started_at(100), refill_of(5), 100);
  EXPECT_FALSE(slow_start.has_budget(kIndex));
  slow_start.refill(started_at(100), refill_of(5), 100);
  EXPECT_TRUE(slow_start.has_budget(kIndex));
}

TEST(SlowStart, SavedBudgetIsAtMostOneAndAHalfAttempts) {
  Deployment deployment = test::deployment().with_slow_start(rule());
  SlowStart slow_start(deployment);

  for (int tick = 0; tick < 1000; ++tick) {
    slow_start.refill(started_at(100), refill_of(0.1), 100);
  }
  slow_start.charge(kIndex, 0);

  EXPECT_FALSE(slow_start.has_budget(kIndex));
}

}  // namespace
}  // namespace puffinvane
