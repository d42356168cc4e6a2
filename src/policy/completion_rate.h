// The rate of responses that this instance receives: the recent rate, and the best rate of the last 40 s,
// which estimates what the endpoints serve when they are not overloaded.
#pragma once

#include <cstddef>
#include <deque>

namespace puffinvane {

class CompletionRate {
 public:
  static constexpr double kTickSeconds = 0.1;
  // Rates are measured over this window. In a shorter one with only a few responses, the best rate would
  // mostly show random variation.
  static constexpr std::size_t kWindowTicks = 80;
  static constexpr double kWindowSeconds = double(kWindowTicks) * kTickSeconds;

  void record_response() { ++responses_in_tick_; }
  // Must be called every kTickSeconds.
  void on_tick();
  void clear() { responses_by_tick_.clear(); }

  // Responses per second in the last window, and in the best window of the last 40 s.
  double recent_per_s() const { return recent_per_s_; }
  double best_per_s() const { return best_per_s_; }

  // The number of responses in each of the last ticks, oldest first.
  const std::deque<double>& responses_by_tick() const { return responses_by_tick_; }
  // Adds the responses that another instance received in each of the last ticks, multiplied by `share`.
  void add_imported(const std::deque<double>& imported, double share);

 private:
  static constexpr std::size_t kMaxTicks = 400;  // 40 s
  // With less history a rate is still divided by this many ticks, so that a few early responses don't give a
  // high rate.
  static constexpr std::size_t kMinWindowTicks = 20;

  void update_rates();
  // The best rate of the windows within the last `ticks`.
  double best_of_last(std::size_t ticks) const;

  std::deque<double> responses_by_tick_;
  double responses_in_tick_ = 0;
  double recent_per_s_ = 0;
  double best_per_s_ = 0;
};

}  // namespace puffinvane
