// The rate of responses that this instance gets: a recent one, and the best of a longer time, which stands
// for calm.
#pragma once

#include <cstddef>
#include <deque>

namespace puffinvane {

class CompletionRate {
 public:
  static constexpr double kTickSeconds = 0.1;
  // The span of a rate: long enough for a few dozen responses, as the best of a few would only be chance.
  static constexpr std::size_t kWindowTicks = 80;
  static constexpr double kWindowSeconds = double(kWindowTicks) * kTickSeconds;

  void record_response() { ++responses_in_tick_; }
  // To be called every kTickSeconds.
  void on_tick();
  void clear() { responses_.clear(); }

  // Responses a second in the last window, and in the best window kept.
  double recent_per_s() const { return recent_per_s_; }
  double best_per_s() const { return best_per_s_; }

  // Responses in each of the last ticks, oldest first.
  const std::deque<double>& responses_by_tick() const { return responses_; }
  // Adds `share` of the responses that another instance got in each of the last ticks.
  void add_imported(const std::deque<double>& responses_by_tick, double share);

 private:
  static constexpr std::size_t kTickLimit = 400;      // 40 s
  static constexpr std::size_t kShortestWindow = 20;  // ticks that a rate is taken over at least

  void update_rates();
  // Of the windows that end within the last `ticks`.
  double best_of_last(std::size_t ticks) const;

  std::deque<double> responses_;
  double responses_in_tick_ = 0;
  double recent_per_s_ = 0;
  double best_per_s_ = 0;
};

}  // namespace puffinvane
