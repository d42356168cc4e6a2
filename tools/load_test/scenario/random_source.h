// Chance from a seed, the same on every machine: the standard library's distributions are each their own.
#pragma once

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>

#include "tools/load_test/scenario/scenario.h"

namespace load_test {

class Chance {
 public:
  explicit Chance(std::uint64_t seed, std::uint64_t stream = 1) : engine_(seed, stream) {}
  double uniform() {
    std::uint64_t low = engine_() >> 11;
    return double(std::uint64_t(engine_()) << 21 | low) / double(1ull << 53);
  }
  double in(Span span) { return span.low + (span.high - span.low) * uniform(); }
  int below(int count) { return int(uniform() * count); }
  bool happens(double share) { return uniform() < share; }
  double exponential(double rate) { return -std::log(1 - uniform()) / rate; }
  template <typename List, typename Share>
  std::size_t pick(const List& list, Share share) {
    double sum = 0, at = 0;
    for (const auto& one : list) sum += share(one);
    double chosen = uniform() * sum;
    for (std::size_t i = 0; i < list.size(); ++i) {
      if ((at += share(list[i])) > chosen) return i;
    }
    return list.size() - 1;
  }

 private:
  pcg32 engine_;
};

}  // namespace load_test
