// Helpers for bounded windows of samples: append, percentile and mean.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <numeric>
#include <vector>

namespace puffinvane {

// Appends `sample`, and drops the oldest sample if there are now more than `limit`.
template <typename Samples>
void append_bounded(Samples& samples, const typename Samples::value_type& sample, std::size_t limit) {
  samples.push_back(sample);
  if (samples.size() > limit) {
    samples.erase(samples.begin());
  }
}

// The sample at `share` (0 to 1) of the sorted samples, e.g. 0.5 for the median; `samples` must not be empty.
inline double percentile(const std::deque<double>& samples, double share) {
  std::vector<double> sorted(samples.begin(), samples.end());
  auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(share * double(sorted.size() - 1));
  std::nth_element(sorted.begin(), nth, sorted.end());
  return *nth;
}

// Arithmetic mean; NaN without samples, so that every comparison with it is false.
template <typename Samples>
double mean(const Samples& samples) {
  return std::accumulate(samples.begin(), samples.end(), 0.0) / double(samples.size());
}

}  // namespace puffinvane
