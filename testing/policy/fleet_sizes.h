// Two fleets whose instances each have the same traffic: one small, one as large as deployments are.
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
inline constexpr std::size_t kMaxEndpointsInSubset = 16;  // of one instance of such a fleet

// The settings of an instance in the middle of the fleet.
inline DeploymentBuilder instance_of(const FleetSize& fleet) {
  return deployment().as_instance(fleet.instances / 2, fleet.instances);
}

}  // namespace puffinvane::test
