// The last few samples themselves, and the figures that are worked out from them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <numeric>
#include <string_view>
#include <vector>

namespace puffinvane {

template <typename T>
void keep(std::deque<T>& samples, const T& sample, std::size_t most) {
  samples.push_back(sample);
  if (samples.size() > most) samples.pop_front();
}

inline double percentile(const std::deque<double>& samples, double share) {
  std::vector<double> sorted(samples.begin(), samples.end());
  auto at = sorted.begin() + static_cast<std::ptrdiff_t>(share * double(sorted.size() - 1));
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

inline double mean(const std::deque<double>& samples) {
  return std::accumulate(samples.begin(), samples.end(), 0.0) / double(samples.size());
}

// The largest sum of that many samples in a row, among the last ones.
inline double best_sum(const std::deque<double>& samples, std::size_t last, std::size_t in_a_row) {
  double best = 0, sum = 0;
  for (std::size_t i = samples.size() - std::min(last, samples.size()), n = 0; i < samples.size(); ++i) {
    sum += samples[i];
    if (++n > in_a_row) sum -= samples[i - in_a_row];
    best = std::max(best, sum);
  }
  return best;
}

// A name spread over all numbers, alike wherever it is worked out.
constexpr std::uint64_t kMixer = 0xff51afd7ed558ccdULL;  // odd and well spread: parts names that look alike
inline std::uint64_t mixed(std::uint64_t at, std::string_view name) {
  for (char each : name) at = (at ^ std::uint8_t(each)) * kMixer, at ^= at >> 29;
  return at;
}
inline double to_share(std::uint64_t mixed) { return double(mixed >> 11) / double(1ULL << 53); }

}  // namespace puffinvane
