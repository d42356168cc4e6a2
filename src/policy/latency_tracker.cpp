#include "src/policy/latency_tracker.h"

#include <algorithm>
#include <utility>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

constexpr double kHedgePercentile = 0.95;  // the value of the backup request paper
// Defaults while there are too few samples, as shares of the latency objective.
constexpr double kDefaultThresholdShare = 0.5;
constexpr double kDefaultUnloadedShare = 0.25;

}  // namespace

LatencyTracker::LatencyTracker(const Deployment& deployment) {
  for (const RequestClass& request_class : deployment.request_classes) {
    classes_.push_back({request_class.latency_objective_s, {}, {}, 0});
  }
}

void LatencyTracker::record_latency(std::size_t class_index, double latency_s) {
  ClassLatencies& samples = classes_[class_index];
  append_bounded(samples.latencies, latency_s, kSampleLimit);
  samples.percentile_s = percentile(samples.latencies, kHedgePercentile);
}

void LatencyTracker::record_means() {
  for (ClassLatencies& samples : classes_) {
    if (samples.latencies.size() >= kMinSamples) {
      append_bounded(samples.means, mean(samples.latencies), kMaxMeans);
    }
  }
}

double LatencyTracker::hedge_threshold_s(std::size_t class_index) const {
  const ClassLatencies& samples = classes_[class_index];
  if (samples.latencies.size() < kMinSamples) {
    return samples.latency_objective_s * kDefaultThresholdShare;
  }
  return samples.percentile_s;
}

double LatencyTracker::unloaded_latency_s(std::size_t class_index) const {
  const ClassLatencies& samples = classes_[class_index];
  if (!samples.means.empty()) {
    return *std::min_element(samples.means.begin(), samples.means.end());
  }
  if (samples.latencies.empty()) {
    return samples.latency_objective_s * kDefaultUnloadedShare;
  }
  return mean(samples.latencies);
}

void LatencyTracker::restore(std::size_t class_index, std::deque<double> latencies,
                             std::deque<double> means) {
  ClassLatencies& samples = classes_[class_index];
  samples.latencies = std::move(latencies);
  samples.means = std::move(means);
  samples.percentile_s = percentile(samples.latencies, kHedgePercentile);
}

}  // namespace puffinvane
