#include "src/policy/response_history.h"

#include <algorithm>
#include <utility>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

constexpr double kInitialCapacity = 4;      // attempts, before anything is learned: the paper's figure
constexpr double kUnboundedCapacity = 1e9;  // attempts
// Samples of usual latency that are always counted in, so that a few responses don't swing the mean.
constexpr double kPriorSamples = 3;

// How many more of the samples at `depth` or deeper were in time than late.
int in_time_surplus(const std::vector<ResponseSample>& samples, int depth) {
  int surplus = 0;
  for (const ResponseSample& sample : samples) {
    if (sample.depth >= depth) {
      surplus += sample.in_time ? 1 : -1;
    }
  }
  return surplus;
}

}  // namespace

void ResponseHistory::record_sample(const ResponseSample& sample) {
  append_bounded(samples_, sample, kSampleLimit);
  cached_until_ = 0;
}

void ResponseHistory::clear_samples() {
  samples_.clear();
  cached_until_ = 0;
}

void ResponseHistory::clear_stale_samples(double now) {
  if (!samples_.empty() && now - samples_.back().completed_at_s >= kSampleMaxAgeSeconds) {
    clear_samples();
  }
}

void ResponseHistory::restore(std::vector<ResponseSample> samples, double last_response_at) {
  samples_ = std::move(samples);
  last_response_at_ = last_response_at;
  cached_until_ = 0;
}

double ResponseHistory::failure_count() const {
  return double(std::ranges::count_if(samples_, &ResponseSample::failed));
}

double ResponseHistory::error_ratio() const {
  return failure_count() / std::max(1.0, double(samples_.size()));
}

double ResponseHistory::update_slowness(double now) const {
  double sum = kPriorSamples;
  double count = kPriorSamples;
  cached_until_ = now + kSampleMaxAgeSeconds;
  for (const ResponseSample& sample : samples_) {
    if (now - sample.completed_at_s >= kSampleMaxAgeSeconds || sample.failed) {
      continue;
    }
    sum += sample.latency_ratio;
    count += 1;
    cached_until_ = std::min(cached_until_, sample.completed_at_s + kSampleMaxAgeSeconds);
  }
  cached_slowness_ = sum / count;
  return cached_slowness_;
}

double ResponseHistory::learned_capacity() const {
  double least = kInitialCapacity;
  double most = kUnboundedCapacity;
  for (const ResponseSample& sample : samples_) {
    if (sample.in_time) {
      least = std::max(least, sample.depth + 1.0);
    }
    if (in_time_surplus(samples_, sample.depth) < 0) {
      most = std::min(most, double(sample.depth));
    }
  }
  return std::min(least, most);
}

}  // namespace puffinvane
