#include "src/policy/concurrency_limit.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "src/policy/request_queue.h"
#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr double kNow = 100;
constexpr double kLongAgo = 0;

class ConcurrencyLimitTest : public testing::Test {
 protected:
  explicit ConcurrencyLimitTest(Deployment deployment = test::deployment())
      : deployment_(std::move(deployment)) {}

  void add_healthy_endpoints(int count) {
    for (int number = 0; number < count; ++number) {
      Endpoint& endpoint = endpoints_.find_or_add("endpoint-" + std::to_string(number));
      Health before = endpoint.health();
      endpoint.whole.ejection.health = Health::Healthy;
      endpoints_.on_health_changed(endpoint, before);
    }
  }
  static RequestState request() {
    RequestState state;
    state.services = {0};
    return state;
  }
  // Acquires capacity for so many requests.
  void fill(int count) {
    for (int number = 0; number < count; ++number) {
      RequestState state = request();
      limit_.acquire(state);
    }
  }
  bool has_capacity(double started_at = kLongAgo) const {
    return limit_.has_capacity_for(request(), kNow, started_at);
  }

  Deployment deployment_;
  EndpointTable endpoints_{deployment_.request_classes.size()};
  LatencyTracker latencies_{deployment_};
  ClassPriority priority_{deployment_, latencies_};
  CompletionRate completions_;
  FleetLoad fleet_load_{deployment_, endpoints_, latencies_};
  ConcurrencyLimit limit_{{deployment_, endpoints_, latencies_, priority_, completions_, fleet_load_}};
};

TEST_F(ConcurrencyLimitTest, AdmitsFiveRequestsForEachEndpoint) {
  add_healthy_endpoints(2);

  fill(9);
  EXPECT_TRUE(has_capacity());

  fill(1);
  EXPECT_FALSE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, AdmitsEightForEachEndpointWhileRatesAreUnknown) {
  add_healthy_endpoints(2);
  fill(15);

  EXPECT_TRUE(has_capacity(kNow - 2.9));
  EXPECT_FALSE(has_capacity(kNow - 3));
}

TEST_F(ConcurrencyLimitTest, AReleasedRequestLeavesItsCapacity) {
  add_healthy_endpoints(1);
  fill(4);
  RequestState last = request();
  limit_.acquire(last);
  ASSERT_FALSE(has_capacity());

  limit_.release(last);

  EXPECT_TRUE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, CountsARequestOnce) {
  add_healthy_endpoints(1);
  fill(3);
  RequestState request_state = request();

  limit_.acquire(request_state);
  limit_.acquire(request_state);

  EXPECT_TRUE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, AdmitsByTheRateOfResponses) {
  add_healthy_endpoints(1);
  for (int tick = 0; tick < 80; ++tick) {
    for (int response = 0; response < 10; ++response) {
      completions_.record_response();
    }
    completions_.on_tick();
  }

  // 100 responses a second may spend 0.6 of the objective of 1 s, but no more than 1.9 calm latencies of 0.25
  // s.
  fill(47);
  EXPECT_TRUE(has_capacity());

  fill(1);
  EXPECT_FALSE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, ARetryAlwaysHasCapacity) {
  add_healthy_endpoints(1);
  fill(100);
  RequestState retry = request();
  retry.queue_position.rank = RequestQueue::kRetryRank;

  EXPECT_TRUE(limit_.has_capacity_for(retry, kNow, kLongAgo));
}

TEST_F(ConcurrencyLimitTest, LimitsNothingBehindTheFirstTier) {
  deployment_.tier = 1;
  fill(100);

  EXPECT_TRUE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, TheFloorIsSharedByAllInstances) {
  deployment_.instance_count = 2;
  add_healthy_endpoints(2);

  fill(4);
  EXPECT_TRUE(has_capacity());

  fill(1);
  EXPECT_FALSE(has_capacity());
}

class ReportedLoadLimitTest : public ConcurrencyLimitTest {
 protected:
  ReportedLoadLimitTest() : ConcurrencyLimitTest(test::deployment().reporting_load()) {}
};

TEST_F(ReportedLoadLimitTest, AdmitsAllWhileNothingIsReported) {
  fill(100);

  EXPECT_TRUE(has_capacity());
}

}  // namespace
}  // namespace puffinvane
