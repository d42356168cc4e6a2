#include "src/policy/outlier_ejection.h"

#include <gtest/gtest.h>

#include <string>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

class OutlierEjectionTest : public testing::Test {
 protected:
  // Adds a healthy endpoint with statistics.
  EndpointIndex add(const std::string& name) {
    EndpointIndex index = endpoints_.find_or_add(name).index;
    set_health(index, Health::Healthy);
    endpoints_.track(index);
    return index;
  }
  void set_health(EndpointIndex index, Health health) {
    Endpoint& endpoint = endpoints_[index];
    Health before = endpoint.health();
    endpoint.whole.ejection.health = health;
    endpoints_.on_health_changed(endpoint, before);
  }
  void record(EndpointIndex index, int failures, int successes) {
    Endpoint& endpoint = endpoints_[index];
    ResponseSample sample;
    for (int count = 0; count < successes; ++count) {
      endpoint.whole.responses.record_sample(sample);
    }
    sample.failed = true;
    for (int count = 0; count < failures; ++count) {
      endpoint.whole.responses.record_sample(sample);
    }
  }

  // Without latency samples the hedge threshold is half of the objective: 1 s.
  Deployment deployment_ = test::deployment().with_latency_objective(2);
  EndpointTable endpoints_{deployment_.request_classes.size()};
  LatencyTracker latencies_{deployment_};
  OutlierEjection ejection_{endpoints_, latencies_};
};

TEST(EjectionState, EjectionTimesDoubleUpToEightSeconds) {
  Random random(1);
  EjectionState state;
  state.next_ejection_s = OutlierEjection::kFirstEjectionSeconds;

  for (double expected_s : {1.0, 2.0, 4.0, 8.0, 8.0}) {
    EXPECT_EQ(state.next_ejection_s, expected_s);
    OutlierEjection::begin_ejection(state, 100, random);
    EXPECT_GE(state.ejected_until, 100 + 0.75 * expected_s);
    EXPECT_LT(state.ejected_until, 100 + 1.25 * expected_s);
  }
}

TEST(EjectionState, NextEjectionIsHalfOfThePastOutages) {
  Random random(1);
  EjectionState state;
  OutlierEjection::begin_ejection(state, 100, random);

  OutlierEjection::end_outage(state, 106);

  EXPECT_EQ(state.next_ejection_s, 3);
  EXPECT_EQ(state.outage_started_at, 0);
}

TEST(EjectionState, RecoversWithEightAttemptsInFlight) {
  EjectionState state;
  OutlierEjection::begin_recovery(state);
  EXPECT_EQ(state.recovery_limit, 1);

  OutlierEjection::raise_recovery_limit(state);
  OutlierEjection::raise_recovery_limit(state);
  EXPECT_FALSE(OutlierEjection::has_recovered(state));

  OutlierEjection::raise_recovery_limit(state);
  EXPECT_TRUE(OutlierEjection::has_recovered(state));
}

TEST(EjectionState, RecoveringTargetAcceptsAttemptsUpToItsLimit) {
  AttemptTarget target;
  target.ejection.health = Health::Recovering;
  target.ejection.recovery_limit = 1;
  EXPECT_TRUE(OutlierEjection::accepts_attempts(target));

  target.in_flight.insert({100, 1, 0, 0});
  EXPECT_FALSE(OutlierEjection::accepts_attempts(target));
}

TEST(EjectionState, EjectedAndRemovedTargetsAcceptNoAttempts) {
  AttemptTarget target;
  for (Health health : {Health::Ejected, Health::Removed}) {
    target.ejection.health = health;
    EXPECT_FALSE(OutlierEjection::accepts_attempts(target));
  }
}

TEST_F(OutlierEjectionTest, EjectsHalfOfTheListedEndpointsAtMost) {
  EndpointIndex first = add("a");
  EndpointIndex second = add("b");

  EXPECT_TRUE(ejection_.may_eject(endpoints_[first], std::nullopt));
  set_health(first, Health::Ejected);

  EXPECT_FALSE(ejection_.may_eject(endpoints_[second], std::nullopt));
}

TEST_F(OutlierEjectionTest, LeavesAQuarterOfTheEndpointsToARequestClass) {
  for (const char* name : {"a", "b", "c", "d"}) {
    add(name);
  }
  for (const char* name : {"a", "b"}) {
    endpoints_[*endpoints_.find(name)].by_class[0].ejection.health = Health::Ejected;
  }
  EXPECT_TRUE(ejection_.may_eject(endpoints_[*endpoints_.find("c")], 0));

  endpoints_[*endpoints_.find("c")].by_class[0].ejection.health = Health::Ejected;

  EXPECT_FALSE(ejection_.may_eject(endpoints_[*endpoints_.find("d")], 0));
}

TEST_F(OutlierEjectionTest, OneAttemptTwoThresholdsLateIsUnresponsive) {
  AttemptTarget target;
  target.in_flight.insert({100, 1, 0, 0});

  EXPECT_FALSE(ejection_.is_unresponsive(target, 102, 0));
  EXPECT_TRUE(ejection_.is_unresponsive(target, 102.1, 0));
}

TEST_F(OutlierEjectionTest, TwoAttemptsOneThresholdLateAreUnresponsive) {
  AttemptTarget target;
  target.in_flight.insert({100, 1, 0, 0});
  EXPECT_FALSE(ejection_.is_unresponsive(target, 101.1, 0));

  target.in_flight.insert({100, 2, 0, 0});

  EXPECT_TRUE(ejection_.is_unresponsive(target, 101.1, 0));
}

TEST_F(OutlierEjectionTest, AnEndpointThatRespondedSinceTheAttemptIsResponsive) {
  AttemptTarget target;
  target.in_flight.insert({100, 1, 0, 0});

  target.responses.record_response_at(100.5);

  EXPECT_FALSE(ejection_.is_unresponsive(target, 105, 0));
}

TEST_F(OutlierEjectionTest, WaitingTimeBeforeTheEndOfAStallDoesNotCount) {
  AttemptTarget target;
  target.in_flight.insert({100, 1, 0, 0});

  EXPECT_FALSE(ejection_.is_unresponsive(target, 105, 104));
}

TEST_F(OutlierEjectionTest, ThreeFailuresAreMoreThanThoseOfHealthyEndpoints) {
  record(add("a"), 3, 0);
  record(add("b"), 0, 10);

  EXPECT_TRUE(ejection_.fails_more_than_others(endpoints_[*endpoints_.find("a")]));
}

TEST_F(OutlierEjectionTest, TwoFailuresAreTooFew) {
  record(add("a"), 2, 0);
  record(add("b"), 0, 10);

  EXPECT_FALSE(ejection_.fails_more_than_others(endpoints_[*endpoints_.find("a")]));
}

TEST_F(OutlierEjectionTest, EqualFailuresOfAllEndpointsAreNotMoreThanOthers) {
  record(add("a"), 5, 5);
  record(add("b"), 5, 5);

  EXPECT_FALSE(ejection_.fails_more_than_others(endpoints_[*endpoints_.find("a")]));
}

}  // namespace
}  // namespace puffinvane
