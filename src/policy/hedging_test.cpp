#include "src/policy/hedging.h"

#include <gtest/gtest.h>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

using Decision = Hedging::Decision;

// A request whose only attempt was sent at 100 s. Without latency samples the hedge threshold is half of the
// latency objective: 1 s.
class HedgingTest : public testing::Test {
 protected:
  HedgingTest() {
    Attempt attempt;
    attempt.sent_at = 100;
    request_.attempts.push_back(attempt);
  }
  Decision decide(double now) { return hedging_.decide(request_, endpoint_, now, 0); }

  Deployment deployment_ = test::deployment().with_latency_objective(2);
  LatencyTracker latencies_{deployment_};
  Hedging hedging_{deployment_, latencies_};
  RequestState request_;
  Endpoint endpoint_;
};

TEST_F(HedgingTest, IsNotDueBeforeTheThreshold) {
  EXPECT_EQ(decide(100.9), Decision::NotDue);
  EXPECT_EQ(hedging_.counts_text(), "");
}

TEST_F(HedgingTest, AllowsHedgeAfterTwoThresholdsIfEndpointIsNotSlow) {
  EXPECT_EQ(decide(101.5), Decision::Recheck);
  EXPECT_EQ(decide(102.5), Decision::Allowed);
}

TEST_F(HedgingTest, RechecksIfEndpointHasRespondedSince) {
  endpoint_.whole.responses.record_response_at(101);

  EXPECT_EQ(decide(102.5), Decision::Recheck);
}

TEST_F(HedgingTest, AllowsHedgeAfterOneThresholdIfEndpointIsSlow) {
  ResponseSample slow;
  slow.completed_at_s = 99;
  slow.latency_ratio = 10;
  endpoint_.whole.responses.record_sample(slow);

  EXPECT_EQ(decide(101.5), Decision::Allowed);
}

TEST_F(HedgingTest, IsSuppressedWhileLatenessIsShared) {
  for (int request = 0; request < 20; ++request) {
    hedging_.record_lateness(request < 6 ? Hedging::Lateness::Late : Hedging::Lateness::InTime);
  }

  EXPECT_EQ(decide(102.5), Decision::Suppressed);
  EXPECT_EQ(hedging_.counts_text(), ", shared lateness 1");
}

TEST_F(HedgingTest, IsNotSuppressedBySharedLatenessOfLessThanTwentyRequests) {
  for (int request = 0; request < 19; ++request) {
    hedging_.record_lateness(Hedging::Lateness::Late);
  }

  EXPECT_EQ(decide(102.5), Decision::Allowed);
}

TEST_F(HedgingTest, MeasuresLatenessFromTheEndOfAStall) {
  EXPECT_EQ(hedging_.decide(request_, endpoint_, 105, 104.5), Decision::NotDue);
}

TEST_F(HedgingTest, IsNotDueWithoutAnAttemptInFlight) {
  request_.attempts.back().is_in_flight = false;

  EXPECT_EQ(decide(105), Decision::NotDue);
}

TEST_F(HedgingTest, IsNotDueAtTheAttemptLimit) {
  deployment_.max_attempts = 1;

  EXPECT_EQ(decide(105), Decision::NotDue);
}

TEST_F(HedgingTest, AcceptsTargetBelowDepthBound) {
  // The initial learned capacity is 4 and the bound is 0.85 of it: a depth of 3 is accepted.
  for (RequestId request = 1; request <= 3; ++request) {
    endpoint_.whole.in_flight.insert({100, request, 0, 0});
  }
  EXPECT_TRUE(hedging_.accepts_target(endpoint_, 101));

  endpoint_.whole.in_flight.insert({100, 4, 0, 0});

  EXPECT_FALSE(hedging_.accepts_target(endpoint_, 101));
  EXPECT_EQ(hedging_.counts_text(), ", suppressed by depth 1");
}

TEST_F(HedgingTest, AcceptsNoTargetWithRecentError) {
  ResponseSample failed;
  failed.failed = true;
  endpoint_.whole.responses.record_sample(failed);

  EXPECT_FALSE(hedging_.accepts_target(endpoint_, 101));
  EXPECT_EQ(hedging_.counts_text(), ", target errors 1");
}

TEST_F(HedgingTest, RechecksUpToFourThresholds) {
  EXPECT_TRUE(hedging_.should_recheck(request_, 103.9, 0));
  EXPECT_FALSE(hedging_.should_recheck(request_, 104, 0));
}

}  // namespace
}  // namespace puffinvane
