// How the responses of an endpoint affect its selection, and how long its statistics are kept.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "testing/policy/fake_host.h"
#include "testing/policy/fleet_sizes.h"
#include "testing/policy/scenarios.h"

namespace puffinvane::test {
namespace {

TEST(EndpointStatistics, EndpointSlowerThanOthersGetsFewAttempts) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(4);
  serve_with_slow_endpoint(host, "a0", 60);
  double slow_since_s = host.now_s();

  host.serve_requests(40, 0.05);

  EXPECT_LT(host.attempts_sent_to("a0", slow_since_s), 5);
}

// While all endpoints of the subset are in slow start, endpoints outside of it receive attempts. Their
// statistics must be released after they have been unused for a while, or memory use would grow.
TEST(EndpointStatistics, ReleasesStatisticsOfUnusedEndpointsOutsideSubset) {
  FakeHost host{instance_of(kSmallFleet)};
  host.list_ready_endpoints(kSmallFleet.endpoints);
  host.serve_requests(200, 0.02);
  std::set<std::string> subset = host.endpoints_used_from(0);
  for (int i = 0; i < 40; ++i) {
    for (const std::string& name : subset) {
      host.change_endpoint(endpoint(name).online_since(host.now_s()));
    }
    host.serve_requests(2, 0.02);
  }
  ASSERT_GT(host.endpoints_with_statistics(), kMaxEndpointsInSubset + 4);

  host.run_for(20);  // longer than slow start
  host.serve_requests(100, 0.02);
  host.run_for(65);

  EXPECT_LE(host.endpoints_with_statistics(), kMaxEndpointsInSubset);
}

}  // namespace
}  // namespace puffinvane::test
