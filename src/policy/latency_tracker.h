// Latencies of delivered requests for each request class, and the hedge threshold and unloaded latency
// derived from them.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "puffinvane/policy.h"

namespace puffinvane {

class LatencyTracker {
 public:
  static constexpr std::size_t kSampleLimit = 128;
  static constexpr std::size_t kMinSamples = 20;  // too few for a 95th percentile below this

  explicit LatencyTracker(const Deployment& deployment);

  std::size_t class_count() const { return classes_.size(); }
  void record_latency(std::size_t class_index, double latency_s);
  // Records the current mean latency of each request class; must be called once a second.
  void record_means();

  // The latency after which an attempt is late and may be hedged: the 95th percentile, as in the backup
  // request paper, or half of the latency objective while there are fewer than kMinSamples samples.
  double hedge_threshold_s(std::size_t class_index) const;
  // An estimate of the latency without queueing: the lowest mean of the last kMaxMeans seconds. The mean of
  // the current samples would rise with an overload, and so would the limits that are based on it.
  double unloaded_latency_s(std::size_t class_index) const;

  const std::deque<double>& latencies(std::size_t class_index) const {
    return classes_[class_index].latencies;
  }
  const std::deque<double>& means(std::size_t class_index) const { return classes_[class_index].means; }
  // Replaces the samples by exported ones; `latencies` must not be empty.
  void restore(std::size_t class_index, std::deque<double> latencies, std::deque<double> means);

 private:
  static constexpr std::size_t kMaxMeans = 40;  // one is recorded each second, so this covers 40 s

  struct ClassLatencies {
    double latency_objective_s = 0;
    std::deque<double> latencies;
    std::deque<double> means;
    double percentile_s = 0;  // the 95th of `latencies`
  };
  std::vector<ClassLatencies> classes_;
};

}  // namespace puffinvane
