// Generates load on one address. In open loop, latency counts from the time when a request was due, even if
// no connection was idle then, so that a server that stalls does not appear faster than it is.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tools/load_test/loop/connection.h"

namespace load_test {

struct LoadPlan {
  Address to;
  double rate = 0;  // requests per second; 0: closed loop
  int connections = 16;
  // Responses that arrive during the warm-up are not counted.
  double seconds = 3, warm_up = 0.2;
  std::string target = "/status/visit?work=0";
};

// Latency histogram with 64 logarithmic buckets per doubling, starting at 1 us; quantiles are within 1.1% of
// the true value.
class Histogram {
 public:
  void add(double seconds);
  void add(const Histogram& other);
  double quantile(double share) const;  // in seconds; 0 if empty
  std::uint64_t count() const { return count_; }
  const std::vector<std::uint64_t>& buckets() const { return buckets_; }
  void set_buckets(std::vector<std::uint64_t> buckets);

 private:
  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
};

struct LoadResult {
  Histogram latency;
  // Responses with status 200, other responses, and connections that failed.
  std::uint64_t good = 0, other = 0, broken = 0;
  double seconds = 0;
};

LoadResult run_load(const LoadPlan& plan);
std::string format_load_result(const LoadResult& result);

}  // namespace load_test
