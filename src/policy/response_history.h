// What the responses of an endpoint, or of one request class at an endpoint, say of it: how slow it is, how
// often it fails, how many attempts it serves in time. It does not decide whether the endpoint is used.
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
  void record_response_at(double now) { last_response_at_ = now; }
  void clear_samples();
  // Clears the samples if all of them are older than kSampleMaxAgeSeconds.
  void clear_stale_samples(double now);
  // Takes over exported samples and the time of the last response.
  void restore(std::vector<ResponseSample> samples, double last_response_at);

  const std::vector<ResponseSample>& samples() const { return samples_; }
  double last_response_at() const { return last_response_at_; }
  double failure_count() const;
  double error_ratio() const;
  // Mean latency of recent responses against the calm latency of their request class; 1 is as usual.
  double slowness(double now) const { return now < cached_until_ ? cached_slowness_ : update_slowness(now); }
  // The queueing capacity C of the backup request paper: the depth up to which responses come in time.
  double learned_capacity() const;

 private:
  double update_slowness(double now) const;

  std::vector<ResponseSample> samples_;
  double last_response_at_ = -1e9;
  // The result of slowness, valid until a sample is added or grows too old: each selection asks every
  // candidate.
  mutable double cached_slowness_ = 1;
  mutable double cached_until_ = 0;
};

}  // namespace puffinvane
