#include "src/policy/completion_rate.h"

#include <algorithm>

#include "src/policy/samples.h"

namespace puffinvane {

void CompletionRate::on_tick() {
  append_bounded(responses_by_tick_, responses_in_tick_, kMaxTicks);
  responses_in_tick_ = 0;
  update_rates();
}

void CompletionRate::add_imported(const std::deque<double>& imported, double share) {
  while (responses_by_tick_.size() < imported.size()) {
    responses_by_tick_.push_front(0);
  }
  std::size_t offset = responses_by_tick_.size() - imported.size();
  for (std::size_t tick = 0; tick < imported.size(); ++tick) {
    responses_by_tick_[offset + tick] += share * imported[tick];
  }
  update_rates();
}

void CompletionRate::update_rates() {
  recent_per_s_ = best_of_last(kWindowTicks);
  best_per_s_ = best_of_last(responses_by_tick_.size());
}

double CompletionRate::best_of_last(std::size_t ticks) const {
  double best = 0;
  double sum = 0;
  std::size_t summed = 0;
  for (std::size_t tick = responses_by_tick_.size() - std::min(ticks, responses_by_tick_.size());
       tick < responses_by_tick_.size(); ++tick) {
    sum += responses_by_tick_[tick];
    ++summed;
    if (summed > kWindowTicks) {
      sum -= responses_by_tick_[tick - kWindowTicks];
    }
    best = std::max(best, sum);
  }
  std::size_t window = std::clamp(responses_by_tick_.size(), kMinWindowTicks, kWindowTicks);
  return best / (double(window) * kTickSeconds);
}

}  // namespace puffinvane
