#include "src/policy/endpoint_selection.h"

#include <gtest/gtest.h>

#include <string>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr double kNow = 100;

class EndpointSelectionTest : public testing::Test {
 protected:
  explicit EndpointSelectionTest(Deployment deployment = test::deployment().in_zone("here"))
      : deployment_(std::move(deployment)) {}

  EndpointIndex list(const std::string& name, double weight = 1) {
    Endpoint& endpoint = endpoints_.find_or_add(name);
    endpoint.weight = weight;
    endpoint.zone = "here";
    set_health(endpoint.index, Health::Healthy);
    update_subset();
    return endpoint.index;
  }
  void set_health(EndpointIndex index, Health health) {
    Endpoint& endpoint = endpoints_[index];
    Health before = endpoint.health();
    endpoint.whole.ejection.health = health;
    endpoints_.on_health_changed(endpoint, before);
  }
  void update_subset() {
    subset_.update_ring(endpoints_);
    subset_.select_members(endpoints_, 0, kNow);
  }
  void add_in_flight(EndpointIndex index, int count) {
    for (int number = 0; number < count; ++number) {
      endpoints_[index].whole.in_flight.insert({kNow, RequestId(1000 + number), 0, 0});
    }
  }
  std::optional<EndpointIndex> select(const RequestState& request) {
    return selection_.select(request, EndpointSelection::Strategy::LowestDepth, kNow, random_);
  }
  // A request whose only attempt went to this endpoint and has ended.
  static RequestState attempted_at(EndpointIndex index) {
    RequestState request;
    request.deadline = kNow + 10;
    Attempt attempt;
    attempt.endpoint = index;
    attempt.is_in_flight = false;
    request.attempts.push_back(attempt);
    return request;
  }

  Deployment deployment_;
  EndpointTable endpoints_{deployment_.request_classes.size()};
  SlowStart slow_start_{deployment_};
  Subset subset_{deployment_, slow_start_};
  RetrySafety retry_safety_{deployment_};
  EndpointSelection selection_{{deployment_, endpoints_, slow_start_, subset_, retry_safety_}};
  Random random_{7};
};

TEST_F(EndpointSelectionTest, SelectsNothingFromAnEmptyList) { EXPECT_EQ(select({}), std::nullopt); }

TEST_F(EndpointSelectionTest, SelectsTheLowestDepth) {
  EndpointIndex busy = list("busy");
  EndpointIndex idle = list("idle");
  add_in_flight(busy, 3);

  for (int draw = 0; draw < 20; ++draw) {
    EXPECT_EQ(select({}), idle);
  }
}

TEST_F(EndpointSelectionTest, MeasuresDepthAgainstWeight) {
  EndpointIndex small = list("small", 1);
  EndpointIndex large = list("large", 10);
  add_in_flight(small, 1);
  add_in_flight(large, 4);

  for (int draw = 0; draw < 20; ++draw) {
    EXPECT_EQ(select({}), large);
  }
}

TEST_F(EndpointSelectionTest, SkipsEjectedEndpoints) {
  EndpointIndex ejected = list("ejected");
  set_health(ejected, Health::Ejected);

  EXPECT_EQ(select({}), std::nullopt);
}

TEST_F(EndpointSelectionTest, SendsNoUnsafeRequestToARecoveringEndpoint) {
  EndpointIndex recovering = list("recovering");
  set_health(recovering, Health::Recovering);
  endpoints_[recovering].whole.ejection.recovery_limit = 1;
  RequestState safe;
  RequestState unsafe;
  unsafe.class_index = 4;  // "mutating"

  EXPECT_EQ(select(safe), recovering);
  EXPECT_EQ(select(unsafe), std::nullopt);
}

TEST_F(EndpointSelectionTest, DoesNotSelectTheSameEndpointAgain) {
  EndpointIndex first = list("first");
  EndpointIndex second = list("second");

  EXPECT_EQ(select(attempted_at(first)), second);
}

TEST_F(EndpointSelectionTest, SelectsNothingPastTheLimitOfAttempts) {
  list("a");
  RequestState request;
  request.attempts.resize(4);

  EXPECT_EQ(select(request), std::nullopt);
}

TEST_F(EndpointSelectionTest, StartingEndpointNeedsABudget) {
  EndpointIndex starting = list("starting");
  endpoints_[starting].online_since = kNow - 1;

  EXPECT_EQ(select({}), std::nullopt);

  slow_start_.refill(endpoints_[starting], {0.1, 5, 1, 1}, kNow);
  EXPECT_EQ(select({}), starting);
}

TEST_F(EndpointSelectionTest, AHealthyEndpointWithoutAttemptIsARetryTarget) {
  EndpointIndex first = list("first");
  EXPECT_FALSE(selection_.has_retry_target(attempted_at(first), kNow));

  list("second");

  EXPECT_TRUE(selection_.has_retry_target(attempted_at(first), kNow));
}

TEST_F(EndpointSelectionTest, NoRetryRightBeforeTheDeadline) {
  EndpointIndex first = list("first");
  list("second");
  RequestState request = attempted_at(first);
  request.deadline = kNow + 2 * deployment_.round_trip_s;

  EXPECT_FALSE(selection_.has_retry_target(request, kNow));
}

class CrossZoneSelectionTest : public EndpointSelectionTest {
 protected:
  CrossZoneSelectionTest()
      : EndpointSelectionTest(test::deployment().in_zone("here").with_cross_zone_price(0.1)) {}
};

TEST_F(CrossZoneSelectionTest, CountsAnotherZoneAsDepth) {
  EndpointIndex near = list("near");
  EndpointIndex far = list("far");
  endpoints_[far].zone = "there";
  add_in_flight(near, 2);

  for (int draw = 0; draw < 20; ++draw) {
    EXPECT_EQ(select({}), near);
  }
}

class KeyAffinitySelectionTest : public EndpointSelectionTest {
 protected:
  KeyAffinitySelectionTest()
      : EndpointSelectionTest(test::deployment().reporting_load().with_key_affinity()) {}
};

TEST_F(KeyAffinitySelectionTest, SelectsTheSameEndpointForAKey) {
  for (int number = 0; number < 10; ++number) {
    list("endpoint-" + std::to_string(number));
  }
  RequestState request;
  request.key_hash = 12345;
  std::optional<EndpointIndex> first = select(request);

  for (int draw = 0; draw < 20; ++draw) {
    EXPECT_EQ(select(request), first);
  }
}

}  // namespace
}  // namespace puffinvane
