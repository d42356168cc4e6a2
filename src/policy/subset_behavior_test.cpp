// Which endpoints one of many instances uses, and how that follows changes of the list and of endpoint
// health.
#include <gtest/gtest.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

constexpr int kInstances = 48;
constexpr int kEndpoints = 32;

std::set<std::string> endpoints_used_by_requests(FakeHost& host) {
  std::size_t first = host.sent().size();
  host.serve_requests(60, 0.02, "mutating");
  return host.endpoints_used_from(first);
}

TEST(Subset, EachInstanceUsesFewEndpointsAndAllAreUsedEvenly) {
  std::map<std::string, int> instances_by_endpoint;

  for (int index = 0; index < kInstances; ++index) {
    FakeHost host{deployment().as_instance(index, kInstances), unsigned(index)};
    host.list_ready_endpoints(kEndpoints);
    std::set<std::string> subset = endpoints_used_by_requests(host);

    EXPECT_GE(subset.size(), 3U) << "instance " << index;
    EXPECT_LE(subset.size(), 6U) << "instance " << index;
    for (const std::string& name : subset) ++instances_by_endpoint[name];
  }

  // Each ring has 8 sections, so 48 / 8 = 6 instances share each endpoint on average.
  EXPECT_EQ(instances_by_endpoint.size(), std::size_t{kEndpoints});
  for (const auto& [name, instances] : instances_by_endpoint) {
    EXPECT_GE(instances, 3) << name;
    EXPECT_LE(instances, 9) << name;
  }
}

TEST(Subset, KeepsMostEndpointsWhenOneIsRemoved) {
  int used_before = 0;
  int kept = 0;

  for (int index = 0; index < kInstances; ++index) {
    FakeHost host{deployment().as_instance(index, kInstances), unsigned(index)};
    host.list_ready_endpoints(kEndpoints);
    std::set<std::string> before = endpoints_used_by_requests(host);
    host.change_endpoint(endpoint("a7").removed());
    for (const std::string& name : endpoints_used_by_requests(host)) kept += before.contains(name) ? 1 : 0;
    used_before += static_cast<int>(before.size());
  }

  EXPECT_GT(kept, used_before * 0.7);
}

TEST(Subset, ReplacesEjectedEndpoint) {
  FakeHost host{deployment().as_instance(0, kInstances)};
  host.list_ready_endpoints(kEndpoints);
  host.serve_requests(100, 0.02);
  std::set<std::string> subset = host.endpoints_used_from(0);
  const std::string failing = *subset.begin();
  std::set<std::string> used_later;
  for (int i = 0; i < 30; ++i) {
    host.receive(request_of_class("mutating"));
    SentAttempt attempt = host.last_sent();
    host.run_for(0.02);
    host.end_attempt(attempt, attempt.endpoint == failing ? Outcome::ConnectFailed : Outcome::Delivered);
    used_later.insert(attempt.endpoint);
  }

  host.serve_requests(60, 0.02);

  used_later.merge(host.endpoints_used_from(0));
  EXPECT_GT(used_later.size(), subset.size());
}

// The instance count drops below the number of sections of the ring, and no endpoint list has arrived since.
TEST(Subset, SendsRequestsBeforeTheNextListAfterInstanceCountDropped) {
  for (InstancePosition position : {InstancePosition{0, 2}, InstancePosition{1, 1}, InstancePosition{0, 0}}) {
    FakeHost host{deployment().as_instance(0, kInstances)};
    host.list_ready_endpoints(kEndpoints);
    std::size_t sent_before = host.sent().size();

    host.move_to_position(position);
    host.run_for(1);
    host.receive_many(4);

    EXPECT_EQ(host.sent().size() - sent_before, 4U) << "instance count " << position.count;
  }
}

}  // namespace
}  // namespace puffinvane::test
