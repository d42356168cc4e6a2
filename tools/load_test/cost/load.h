// Load on one address. In open loop a request's time counts from when it was due, whether or not a connection
// was free for it then: a stalled server is not flattered by requests that were never sent.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/load_test/loop/connection.h"

namespace load_test {

struct LoadPlan {
  Address to;
  double rate = 0;  // a second; 0: closed loop
  int connections = 16;
  double seconds = 3, warm_up = 0.2;  // what is answered in the warm-up is not counted
  std::string target = "/status/visit?work=0";
};

// Counts by time on a scale of 64 steps for each doubling from 1 us on: within 1.1% of the true figure.
class Histogram {
 public:
  void add(double seconds);
  void add(const Histogram& other);
  double at(double share) const;  // seconds
  std::uint64_t count() const { return count_; }
  const std::vector<std::uint64_t>& steps() const { return steps_; }
  void set(std::vector<std::uint64_t> steps);

 private:
  std::vector<std::uint64_t> steps_;
  std::uint64_t count_ = 0;
};

struct Loaded {
  Histogram latency;
  std::uint64_t good = 0, other = 0, broken = 0;  // 200, another status, no answer
  double seconds = 0;
};

Loaded load_one(const LoadPlan& plan);
std::string report(const Loaded& loaded);

}  // namespace load_test
