#include "src/policy/subset.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

void list(EndpointTable& endpoints, const std::string& name, double weight = 1) {
  Endpoint& endpoint = endpoints.find_or_add(name);
  endpoint.weight = weight;
  Health before = endpoint.health();
  endpoint.whole.ejection.health = Health::Healthy;
  endpoints.on_health_changed(endpoint, before);
}

// The subset of one of several instances, which all have the same endpoint list.
class InstanceSubset {
 public:
  InstanceSubset(int index, int count, int endpoint_count)
      : deployment_(test::deployment().as_instance(index, count)),
        endpoints_(deployment_.request_classes.size()) {
    for (int number = 0; number < endpoint_count; ++number) {
      list(endpoints_, "endpoint-" + std::to_string(number));
    }
    update();
  }
  void update() {
    subset_.update_ring(endpoints_);
    subset_.select_members(endpoints_, 0, 100);
  }
  std::set<std::string> member_names() const {
    std::set<std::string> names;
    for (EndpointIndex index : subset_.members()) {
      names.insert(endpoints_[index].name);
    }
    return names;
  }
  Subset& subset() { return subset_; }
  EndpointTable& endpoints() { return endpoints_; }

 private:
  Deployment deployment_;
  EndpointTable endpoints_;
  SlowStart slow_start_{deployment_};
  Subset subset_{deployment_, slow_start_};
};

TEST(Subset, ContainsAllEndpointsWithOneInstance) {
  InstanceSubset instance(0, 1, 50);

  EXPECT_EQ(instance.subset().members().size(), 50U);
  EXPECT_EQ(instance.subset().sharing_instances(), 1);
}

TEST(Subset, ContainsAllEndpointsOfAShortList) {
  InstanceSubset instance(3, 100, 7);

  EXPECT_EQ(instance.subset().members().size(), 7U);
}

TEST(Subset, SubsetsOfAllInstancesCoverTheList) {
  constexpr int kInstances = 16;
  std::set<std::string> covered;

  for (int index = 0; index < kInstances; ++index) {
    InstanceSubset instance(index, kInstances, 64);
    EXPECT_LT(instance.subset().members().size(), 64U);
    covered.merge(instance.member_names());
  }

  EXPECT_EQ(covered.size(), 64U);
}

TEST(Subset, HasAtLeastFourEndpoints) {
  for (int index = 0; index < 40; ++index) {
    EXPECT_GE(InstanceSubset(index, 40, 40).subset().members().size(), 4U);
  }
}

TEST(Subset, OwnWeightsOfAllInstancesCoverEachEndpointEqually) {
  constexpr int kInstances = 32;
  constexpr int kEndpoints = 32;
  double weight = 0;

  for (int index = 0; index < kInstances; ++index) {
    InstanceSubset instance(index, kInstances, kEndpoints);
    for (EndpointIndex member : instance.subset().members()) {
      weight += instance.subset().own_weight(member);
    }
  }

  // Each ring has 8 sections, so 32 / 8 = 4 instances share each endpoint.
  EXPECT_NEAR(weight, 4 * kEndpoints, 1e-9);
}

TEST(Subset, IsTheSameForTheSameInstance) {
  EXPECT_EQ(InstanceSubset(5, 40, 80).member_names(), InstanceSubset(5, 40, 80).member_names());
}

TEST(Subset, ARemovedEndpointLeavesTheRing) {
  InstanceSubset instance(0, 1, 10);
  Endpoint& endpoint = instance.endpoints()[*instance.endpoints().find("endpoint-3")];
  Health before = endpoint.health();
  endpoint.whole.ejection.health = Health::Removed;
  instance.endpoints().on_health_changed(endpoint, before);

  instance.subset().on_endpoint_removed(endpoint.index);
  instance.update();

  EXPECT_EQ(instance.subset().ring().size(), 9U);
  EXPECT_FALSE(instance.member_names().contains("endpoint-3"));
}

TEST(Subset, AnEjectedEndpointIsReplacedByTheNextOnTheRing) {
  InstanceSubset instance(0, 16, 64);
  std::size_t size_before = instance.subset().members().size();
  Endpoint& endpoint = instance.endpoints()[instance.subset().members().front()];
  Health before = endpoint.health();
  endpoint.whole.ejection.health = Health::Ejected;
  instance.endpoints().on_health_changed(endpoint, before);

  instance.update();

  EXPECT_GT(instance.subset().members().size(), size_before);
}

TEST(Subset, ContainsAllEndpointsOnceInstanceSharesAreKnown) {
  InstanceSubset instance(0, 16, 64);
  ASSERT_LT(instance.subset().members().size(), 64U);

  instance.subset().on_instance_shares_known();
  instance.update();

  EXPECT_EQ(instance.subset().members().size(), 64U);
}

}  // namespace
}  // namespace puffinvane
