// The recent responses of an endpoint, or of one request class at an endpoint, and the figures derived from
// them: slowness, error ratio and capacity. Decisions based on these are made elsewhere.
#pragma once

#include <cstddef>
#include <vector>

#include "puffinvane/learned_state.h"

namespace puffinvane {

class ResponseHistory {
 public:
  static constexpr std::size_t kSampleLimit = 16;
  static constexpr double kSampleMaxAgeSeconds = 15;

  void record_sample(const ResponseSample& sample);
  // Records that a response arrived at `now`, also if it gives no sample.
  void record_response_at(double now) { last_response_at_ = now; }
  void clear_samples();
  // Clears the samples if all of them are older than kSampleMaxAgeSeconds.
  void clear_stale_samples(double now);
  // Replaces the samples and the time of the last response by exported ones.
  void restore(std::vector<ResponseSample> samples, double last_response_at);

  const std::vector<ResponseSample>& samples() const { return samples_; }
  double last_response_at() const { return last_response_at_; }
  double failure_count() const;
  // Failures as a share of the samples; 0 without samples.
  double error_ratio() const;
  // The mean latency of recent successful responses relative to the unloaded latency of their request class;
  // 1 without samples.
  double slowness(double now) const { return now < cached_until_ ? cached_slowness_ : update_slowness(now); }
  // The queueing capacity C of the backup request paper: the depth up to which responses arrive in time.
  double learned_capacity() const;

 private:
  double update_slowness(double now) const;

  std::vector<ResponseSample> samples_;
  double last_response_at_ = -1e9;
  // The last result of slowness(), valid until a sample is added or becomes too old. It is cached because
  // each selection reads it for every candidate.
  mutable double cached_slowness_ = 1;
  mutable double cached_until_ = 0;
};

}  // namespace puffinvane
