// The random number generator of a policy. The same seed gives the same sequence.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>

namespace puffinvane {

class Random {
 public:
  explicit Random(std::uint64_t seed) : generator_(seed * 2 + 1) {}

  // Uniformly distributed in [0, 1).
  double uniform() { return generator_(kSteps) / double(kSteps); }

 private:
  static constexpr std::uint32_t kSteps = 1U << 24U;
  pcg32 generator_;
};

}  // namespace puffinvane
