#include "src/policy/endpoint_table.h"

#include <gtest/gtest.h>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr std::size_t kClassCount = 2;

void set_health(EndpointTable& endpoints, Endpoint& endpoint, Health health) {
  Health before = endpoint.health();
  endpoint.whole.ejection.health = health;
  endpoints.on_health_changed(endpoint, before);
}

TEST(EndpointTable, FindsAnEndpointByName) {
  EndpointTable endpoints(kClassCount);
  EndpointIndex added = endpoints.find_or_add("a").index;

  EXPECT_EQ(endpoints.find("a"), added);
  EXPECT_EQ(endpoints.find("b"), std::nullopt);
  EXPECT_EQ(endpoints.find_or_add("a").index, added);
}

TEST(EndpointTable, CountsEndpointsByHealth) {
  EndpointTable endpoints(kClassCount);
  set_health(endpoints, endpoints.find_or_add("a"), Health::Healthy);
  set_health(endpoints, endpoints.find_or_add("b"), Health::Ejected);
  endpoints.find_or_add("c");

  EXPECT_EQ(endpoints.count(Health::Healthy), 1);
  EXPECT_EQ(endpoints.count(Health::Ejected), 1);
  EXPECT_EQ(endpoints.count(Health::Removed), 1);
  EXPECT_EQ(endpoints.listed_count(), 2);
}

TEST(EndpointTable, ReportsNewlyListedEndpointsOnce) {
  EndpointTable endpoints(kClassCount);
  Endpoint& endpoint = endpoints.find_or_add("a");
  set_health(endpoints, endpoint, Health::Healthy);

  EXPECT_EQ(endpoints.take_newly_listed(), std::set<EndpointIndex>{endpoint.index});
  EXPECT_EQ(endpoints.take_newly_listed(), std::set<EndpointIndex>{});
}

TEST(EndpointTable, ReusesTheSlotOfARemovedEndpoint) {
  EndpointTable endpoints(kClassCount);
  EndpointIndex slot = endpoints.find_or_add("a").index;

  EndpointTable::Release release = endpoints.release_removed();

  EXPECT_EQ(release.freed, std::vector<EndpointIndex>{slot});
  EXPECT_EQ(endpoints.find("a"), std::nullopt);
  EXPECT_EQ(endpoints.find_or_add("b").index, slot);
}

TEST(EndpointTable, KeepsTheSlotWhileAnAttemptIsInFlight) {
  EndpointTable endpoints(kClassCount);
  Endpoint& endpoint = endpoints.find_or_add("a");
  endpoint.whole.in_flight.insert({10, 1, 0, 0});

  EndpointTable::Release in_use = endpoints.release_removed();
  endpoint.whole.in_flight.clear();
  EndpointTable::Release unused = endpoints.release_removed();

  EXPECT_EQ(in_use.removed.size(), 1U);
  EXPECT_EQ(in_use.freed.size(), 0U);
  EXPECT_EQ(unused.freed.size(), 1U);
}

TEST(EndpointTable, ClearsSamplesOfARestartedEndpoint) {
  EndpointTable endpoints(kClassCount);
  Endpoint& endpoint = endpoints.find_or_add("a");
  endpoint.whole.responses.record_sample({});

  EndpointTable::Update same = endpoints.update_from_list(endpoint, test::endpoint("a"));
  EndpointTable::Update restarted =
      endpoints.update_from_list(endpoint, test::endpoint("a").online_since(50));

  EXPECT_FALSE(same.restarted);
  EXPECT_TRUE(restarted.restarted);
  EXPECT_EQ(endpoint.whole.responses.samples().size(), 0U);
}

TEST(EndpointTable, ReportsAChangedWeight) {
  EndpointTable endpoints(kClassCount);
  Endpoint& endpoint = endpoints.find_or_add("a");

  EXPECT_FALSE(endpoints.update_from_list(endpoint, test::endpoint("a")).weight_changed);
  EXPECT_TRUE(endpoints.update_from_list(endpoint, test::endpoint("a").with_weight(3)).weight_changed);
}

TEST(EndpointTable, TracksStatisticsOfEachRequestClass) {
  EndpointTable endpoints(kClassCount);
  Endpoint& endpoint = endpoints.find_or_add("a");
  set_health(endpoints, endpoint, Health::Healthy);

  endpoints.track(endpoint.index);

  ASSERT_EQ(endpoint.by_class.size(), kClassCount);
  EXPECT_EQ(endpoint.class_health(1), Health::Healthy);
  EXPECT_EQ(endpoints.tracked(), std::set<EndpointIndex>{endpoint.index});
}

TEST(EndpointTable, UntrackedEndpointIsTreatedAsNew) {
  EndpointTable endpoints(kClassCount);
  Endpoint& endpoint = endpoints.find_or_add("a");
  set_health(endpoints, endpoint, Health::Healthy);
  endpoints.track(endpoint.index);
  endpoint.whole.responses.record_sample({});

  endpoints.untrack(endpoint.index);

  EXPECT_EQ(endpoint.by_class.size(), 0U);
  EXPECT_EQ(endpoint.whole.responses.samples().size(), 0U);
  EXPECT_EQ(endpoint.health(), Health::Healthy);
  EXPECT_EQ(endpoints.tracked().size(), 0U);
}

}  // namespace
}  // namespace puffinvane
