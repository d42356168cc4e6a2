// Random numbers that are the same for a seed on every machine, unlike the distributions of the standard
// library.
#pragma once

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

#include "tools/load_test/scenario/scenario.h"

namespace load_test {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed, std::uint64_t stream = 1) : engine_(seed, stream) {}
  double uniform() {
    std::uint64_t low = engine_() >> 11;
    return double(std::uint64_t(engine_()) << 21 | low) / double(1ull << 53);
  }
  double uniform_in(Range range) { return range.low + (range.high - range.low) * uniform(); }
  int uniform_below(int count) { return int(uniform() * count); }
  bool with_probability(double probability) { return uniform() < probability; }
  double exponential(double rate) { return -std::log(1 - uniform()) / rate; }
  template <typename List, typename Weight>
  std::size_t weighted_index(const List& list, Weight weight) {
    double sum = 0, passed = 0;
    for (const auto& entry : list) sum += weight(entry);
    double threshold = uniform() * sum;
    for (std::size_t i = 0; i < list.size(); ++i) {
      if ((passed += weight(list[i])) > threshold) return i;
    }
    return list.size() - 1;
  }

 private:
  pcg32 engine_;
};

}  // namespace load_test
