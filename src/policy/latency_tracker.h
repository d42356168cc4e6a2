// Latencies of delivered requests by request class: the hedge threshold and the calm latency.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "puffinvane/policy.h"

namespace puffinvane {

class LatencyTracker {
 public:
  static constexpr std::size_t kSampleLimit = 128;
  static constexpr std::size_t kMinimumSamples = 20;  // fewer don't make a 95th percentile

  explicit LatencyTracker(const Deployment& deployment);

  std::size_t class_count() const { return classes_.size(); }
  void record_latency(std::size_t class_index, double latency_s);
  // Keeps the present means; to be called once a second.
  void record_means();

  // The 95th percentile, the threshold of the backup request paper; half of the latency objective while there
  // are too few samples.
  double hedge_threshold_s(std::size_t class_index) const;
  // The lowest mean of the last kMeanLimit seconds: a mean of the last samples alone would follow an
  // overload.
  double unloaded_latency_s(std::size_t class_index) const;

  const std::deque<double>& latencies(std::size_t class_index) const {
    return classes_[class_index].latencies;
  }
  const std::deque<double>& means(std::size_t class_index) const { return classes_[class_index].means; }
  // Takes over exported samples; `latencies` must not be empty.
  void restore(std::size_t class_index, std::deque<double> latencies, std::deque<double> means);

 private:
  static constexpr std::size_t kMeanLimit = 40;  // seconds, as one mean is kept a second

  struct ClassLatencies {
    double latency_objective_s = 0;
    std::deque<double> latencies;
    std::deque<double> means;
    double percentile_s = 0;  // of latencies
  };
  std::vector<ClassLatencies> classes_;
};

}  // namespace puffinvane
