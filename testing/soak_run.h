// What soak test programs share: the random draws that a seed determines, and playing a range of seeds.
#pragma once

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <pcg_random.hpp>
#include <string>

#include "testing/sidecar_process.h"

namespace puffinvane::test {

class RandomDraw {
 public:
  explicit RandomDraw(std::uint64_t seed) : random_(seed) {}
  double uniform(double low, double high) {
    return low + (high - low) * double(random_()) / double(pcg32::max());
  }
  int below(int bound) { return int(random_(std::uint32_t(bound))); }
  bool chance(double probability) { return uniform(0, 1) < probability; }

 private:
  pcg32 random_;
};

// Plays the seeds of the command line, `NAME PROGRAM FIRST_SEED LAST_SEED`, against that program. `run_seed`
// returns whether the run of a seed passed. Returns the exit code: 0 if all passed, 1 if not, 2 for a wrong
// command line.
inline int run_seeds(int count, char** words, const std::function<bool(std::uint64_t)>& run_seed) {
  if (count != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM FIRST_SEED LAST_SEED\n", words[0]);
    return 2;
  }
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  int failed = 0;
  const auto last_seed = std::stoull(words[3]);
  for (auto seed = std::stoull(words[2]); seed <= last_seed; ++seed) {
    if (!run_seed(seed)) ++failed;
  }
  std::printf("%d runs failed\n", failed);
  return failed == 0 ? 0 : 1;
}

}  // namespace puffinvane::test
