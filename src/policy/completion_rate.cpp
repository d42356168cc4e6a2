#include "src/policy/completion_rate.h"

#include <algorithm>

#include "src/policy/samples.h"

namespace puffinvane {

void CompletionRate::on_tick() {
  append_bounded(responses_, responses_in_tick_, kTickLimit);
  responses_in_tick_ = 0;
  update_rates();
}

void CompletionRate::add_imported(const std::deque<double>& responses_by_tick, double share) {
  while (responses_.size() < responses_by_tick.size()) {
    responses_.push_front(0);
  }
  std::size_t offset = responses_.size() - responses_by_tick.size();
  for (std::size_t tick = 0; tick < responses_by_tick.size(); ++tick) {
    responses_[offset + tick] += share * responses_by_tick[tick];
  }
  update_rates();
}

void CompletionRate::update_rates() {
  recent_per_s_ = best_of_last(kWindowTicks);
  best_per_s_ = best_of_last(responses_.size());
}

double CompletionRate::best_of_last(std::size_t ticks) const {
  double best = 0;
  double sum = 0;
  std::size_t summed = 0;
  for (std::size_t tick = responses_.size() - std::min(ticks, responses_.size()); tick < responses_.size();
       ++tick) {
    sum += responses_[tick];
    ++summed;
    if (summed > kWindowTicks) {
      sum -= responses_[tick - kWindowTicks];
    }
    best = std::max(best, sum);
  }
  std::size_t window = std::clamp(responses_.size(), kShortestWindow, kWindowTicks);
  return best / (double(window) * kTickSeconds);
}

}  // namespace puffinvane
