#include "src/policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

constexpr std::size_t kMaxWorkSamples = 128;
constexpr double kMaxCost = 8;  // upper bound for a heavy request, in attempts of mean work
// Share of the allowed attempts that is used, as the rate of warm endpoints is only an estimate.
constexpr double kSafetyFactor = 0.65;
constexpr double kMaxSavedAttempts = 0.5;  // in addition to the one attempt that is due

}  // namespace

void SlowStart::charge(EndpointIndex index, double work_s) { budgets_[index] -= cost_of(work_s); }

// A request with more than the mean work costs in proportion to its work; any other costs one attempt.
double SlowStart::cost_of(double work_s) const {
  if (work_s <= 0 || work_samples_s_.empty()) {
    return 1;
  }
  return std::clamp(work_s / mean(work_samples_s_), 1.0, kMaxCost);
}

// How much budget may be saved up: let N be the attempts that the endpoint should receive from all instances
// in one overload window. The rule allows overload_multiple times N, plus a margin of 2 * sqrt(that) + 2 for
// random variation. An instance may save up its share of this allowance minus the N / instances that it
// receives during the window anyway. The derivation is in docs/crossings.md.
void SlowStart::refill(const Endpoint& endpoint, const Refill& refill, double now) {
  const SlowStartRule& rule = deployment_.slow_start;
  double progress = std::clamp((now - endpoint.online_since) / rule.duration_s, 0.0, 1.0);
  double share = rule.initial_share + (1 - rule.initial_share) * progress;
  double added = refill.warm_attempts * share * refill.own_weight;
  double own_in_window = added / refill.tick_s * rule.overload_window_s;
  double instances = refill.sharing_instances;
  double allowed = rule.overload_multiple * own_in_window * instances;
  allowed = kSafetyFactor * (allowed + 2 * std::sqrt(allowed) + 2);
  double max_budget = 1 + std::clamp(allowed / instances - own_in_window, 0.0, kMaxSavedAttempts);
  double& budget = budgets_[endpoint.index];
  budget += added;
  if (budget <= max_budget) {
    return;
  }
  // With a fast refill the budget is simply capped. With a slow one only whole attempts are dropped and the
  // fraction is kept, as the different fractions spread the attempts of the instances over time.
  bool refills_fast = added >= kMaxSavedAttempts;
  budget = refills_fast ? max_budget : budget - std::ceil(budget - max_budget);
}

void SlowStart::restart(EndpointIndex index) {
  auto position = double(deployment_.instance_index % deployment_.instance_count);
  budgets_[index] = position / deployment_.instance_count;
}

void SlowStart::record_work(double work_s) { append_bounded(work_samples_s_, work_s, kMaxWorkSamples); }

}  // namespace puffinvane
