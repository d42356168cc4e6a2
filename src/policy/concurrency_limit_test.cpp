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
  // Acquires capacity for `count` requests.
  void acquire_capacity(int count) {
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

TEST_F(ConcurrencyLimitTest, AdmitsFiveRequestsPerEndpoint) {
  add_healthy_endpoints(2);

  acquire_capacity(9);
  EXPECT_TRUE(has_capacity());

  acquire_capacity(1);
  EXPECT_FALSE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, AdmitsEightRequestsPerEndpointWhileRatesAreUnknown) {
  add_healthy_endpoints(2);
  acquire_capacity(15);

  EXPECT_TRUE(has_capacity(kNow - 2.9));
  EXPECT_FALSE(has_capacity(kNow - 3));
}

TEST_F(ConcurrencyLimitTest, ReleaseFreesCapacity) {
  add_healthy_endpoints(1);
  acquire_capacity(4);
  RequestState last = request();
  limit_.acquire(last);
  ASSERT_FALSE(has_capacity());

  limit_.release(last);

  EXPECT_TRUE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, CountsRequestOnceThoughAcquiredTwice) {
  add_healthy_endpoints(1);
  acquire_capacity(3);
  RequestState request_state = request();

  limit_.acquire(request_state);
  limit_.acquire(request_state);

  EXPECT_TRUE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, AdmitsByResponseRate) {
  add_healthy_endpoints(1);
  for (int tick = 0; tick < 80; ++tick) {
    for (int response = 0; response < 10; ++response) {
      completions_.record_response();
    }
    completions_.on_tick();
  }

  // At 100 responses a second, the recent rate admits 60 requests (0.6 of the latency objective of 1 s) and
  // the best rate 47.5 (1.9 unloaded latencies of 0.25 s). The lower limit counts.
  acquire_capacity(47);
  EXPECT_TRUE(has_capacity());

  acquire_capacity(1);
  EXPECT_FALSE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, AlwaysAdmitsRetry) {
  add_healthy_endpoints(1);
  acquire_capacity(100);
  RequestState retry = request();
  retry.queue_position.rank = RequestQueue::kRetryRank;

  EXPECT_TRUE(limit_.has_capacity_for(retry, kNow, kLongAgo));
}

TEST_F(ConcurrencyLimitTest, AdmitsAllRequestsBehindTheFirstTier) {
  deployment_.tier = 1;
  acquire_capacity(100);

  EXPECT_TRUE(has_capacity());
}

TEST_F(ConcurrencyLimitTest, DividesFloorAmongInstances) {
  deployment_.instance_count = 2;
  add_healthy_endpoints(2);

  acquire_capacity(4);
  EXPECT_TRUE(has_capacity());

  acquire_capacity(1);
  EXPECT_FALSE(has_capacity());
}

class ReportedLoadLimitTest : public ConcurrencyLimitTest {
 protected:
  ReportedLoadLimitTest() : ConcurrencyLimitTest(test::deployment().reporting_load()) {}
};

TEST_F(ReportedLoadLimitTest, AdmitsAllWhileNoLoadIsReported) {
  acquire_capacity(100);

  EXPECT_TRUE(has_capacity());
}

}  // namespace
}  // namespace puffinvane
