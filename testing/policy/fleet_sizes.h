// Two fleet sizes for tests of how costs grow: one small, and one as large as the largest deployments. An
// instance has the same traffic in both.
#pragma once

#include <cstddef>

#include "testing/policy/builders.h"

namespace puffinvane::test {

struct FleetSize {
  int endpoints = 0;
  int instances = 0;
};

inline constexpr FleetSize kSmallFleet{.endpoints = 200, .instances = 56};
inline constexpr FleetSize kLargestFleet{.endpoints = 3200, .instances = 900};
inline constexpr std::size_t kMaxEndpointsInSubset = 16;  // upper bound for one instance of either fleet

// The settings of the instance with the middle index.
inline DeploymentBuilder instance_of(const FleetSize& fleet) {
  return deployment().as_instance(fleet.instances / 2, fleet.instances);
}

}  // namespace puffinvane::test
