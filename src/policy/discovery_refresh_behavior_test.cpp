// When an instance polls discovery for the endpoint list, and how it serves requests while polls fail.
#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <vector>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

constexpr int kInstances = 4;

// An instance that polls discovery. It has a cached list of two endpoints and has made its first poll.
class PollingInstance {
 public:
  explicit PollingInstance(int index)
      : settings_(deployment().polling_endpoint_list().as_instance(index, kInstances)),
        host_(settings_, kFirstSeed + unsigned(index)) {
    host_.list_ready_endpoints(2);
    host_.list_cached_endpoints({endpoint("a0"), endpoint("a1")});
    host_.run_for(5);
  }

  FakeHost& host() { return host_; }
  double poll_interval_s() const { return settings_.list_poll_interval_s; }

  // Fails `count` polls one after another. Returns the delay from each failure to the next poll.
  std::vector<double> fail_polls(int count) {
    std::vector<double> delays_s;
    for (int i = 0; i < count; ++i) {
      host_.fail_list_poll();
      double failed_at_s = host_.now_s();
      std::size_t polls_before = host_.list_polls_s().size();
      while (host_.list_polls_s().size() == polls_before && host_.now_s() < failed_at_s + kMaxDelayS) {
        host_.run_for(0.1);
      }
      EXPECT_EQ(host_.list_polls_s().size(), polls_before + 1);
      delays_s.push_back(host_.list_polls_s().back() - failed_at_s);
    }
    return delays_s;
  }

 private:
  static constexpr unsigned kFirstSeed = 40;
  static constexpr double kMaxDelayS = 60;

  Deployment settings_;
  FakeHost host_;
};

class DiscoveryRefreshOfInstance : public testing::TestWithParam<int> {};

TEST_P(DiscoveryRefreshOfInstance, PollsOnceAfterCachedList) {
  PollingInstance instance(GetParam());

  EXPECT_EQ(instance.host().list_polls_s().size(), 1U);
}

TEST_P(DiscoveryRefreshOfInstance, RepeatsFailedPollsWithGrowingBackoff) {
  PollingInstance instance(GetParam());

  std::vector<double> delays_s = instance.fail_polls(5);

  EXPECT_GT(delays_s.back(), 3 * delays_s.front());
  EXPECT_LE(delays_s.back(), instance.poll_interval_s() * 1.6);
}

TEST_P(DiscoveryRefreshOfInstance, ServesByCachedListWhilePollsFail) {
  PollingInstance instance(GetParam());
  instance.fail_polls(5);

  RequestId request = instance.host().receive();

  EXPECT_EQ(instance.host().attempt_count(request), 1);
}

INSTANTIATE_TEST_SUITE_P(DiscoveryRefresh, DiscoveryRefreshOfInstance, testing::Range(0, kInstances));

// All instances poll one discovery service, which must not get their first polls at the same time.
TEST(DiscoveryRefresh, SpreadsFirstPollsOfInstances) {
  std::set<double> first_polls_s;

  for (int index = 0; index < kInstances; ++index) {
    PollingInstance instance(index);
    ASSERT_FALSE(instance.host().list_polls_s().empty());
    first_polls_s.insert(instance.host().list_polls_s()[0]);
  }

  EXPECT_EQ(first_polls_s.size(), std::size_t{kInstances});
}

}  // namespace
}  // namespace puffinvane::test
