#include "src/policy/response_history.h"

#include <algorithm>
#include <utility>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

// Capacities are numbers of attempts in flight.
constexpr double kInitialCapacity = 4;  // before anything is learned; the value of the backup request paper
constexpr double kUnboundedCapacity = 1e9;
// So many samples with a latency ratio of 1 are added to the mean, so that a few responses can't change it
// much.
constexpr double kPriorSamples = 3;

// Of the samples at `depth` or deeper: the number that were in time minus the number that were late.
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
  double lower_bound = kInitialCapacity;
  double upper_bound = kUnboundedCapacity;
  for (const ResponseSample& sample : samples_) {
    if (sample.in_time) {
      lower_bound = std::max(lower_bound, sample.depth + 1.0);
    }
    if (in_time_surplus(samples_, sample.depth) < 0) {
      upper_bound = std::min(upper_bound, double(sample.depth));
    }
  }
  return std::min(lower_bound, upper_bound);
}

}  // namespace puffinvane
