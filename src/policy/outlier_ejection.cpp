#include "src/policy/outlier_ejection.h"

#include <algorithm>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

constexpr std::size_t kMaxOutages = 4;       // outage durations kept for each target
constexpr double kMinEjectionSeconds = 0.5;  // lower bound if past outages were short
// The ejection time is multiplied by a random factor from 0.75 to 1.25, so that the instances don't return to
// the endpoint together.
constexpr double kJitterFloor = 0.75;
constexpr double kJitterSpan = 0.5;
constexpr int kRecoveredLimit = 8;  // recovery is complete once so many attempts may be in flight
// Maximum shares of the listed endpoints that may be ejected, as a whole or for one request class. If most
// endpoints fail, the cause is probably a shared dependency, and ejecting them would overload the rest.
constexpr double kMaxEjectedShare = 0.5;
constexpr double kMaxEjectedShareOfClass = 0.75;
// While no endpoint accepts attempts, every request is rejected; after this time an ejection is cut short.
constexpr double kMaxSecondsWithoutEndpoint = 1;
// An endpoint fails more than the others if it has at least kMinFailures failures and its error ratio exceeds
// kErrorRatioMargin plus kErrorRatioFactor times the ratio of the others.
constexpr double kMinFailures = 3;
constexpr double kErrorRatioMargin = 0.2;
constexpr double kErrorRatioFactor = 2;
// A target is unresponsive if one attempt has waited for more than kOneOverdueThresholds hedge thresholds, or
// two attempts for more than kTwoOverdueThresholds each.
constexpr double kOneOverdueThresholds = 2;
constexpr double kTwoOverdueThresholds = 1;

const EjectionState& state_of(const Endpoint& endpoint, std::optional<std::size_t> class_index) {
  return class_index ? endpoint.by_class[*class_index].ejection : endpoint.whole.ejection;
}

}  // namespace

bool OutlierEjection::has_recovered(const EjectionState& state) {
  return state.recovery_limit >= kRecoveredLimit;
}

void OutlierEjection::begin_ejection(EjectionState& state, double now, Random& random) {
  if (state.outage_started_at == 0) {
    state.outage_started_at = now;
  }
  state.ejected_until = now + state.next_ejection_s * (kJitterFloor + kJitterSpan * random.uniform());
  state.next_ejection_s = std::clamp(state.next_ejection_s * 2, kFirstEjectionSeconds, kMaxEjectionSeconds);
}

void OutlierEjection::begin_recovery(EjectionState& state) { state.recovery_limit = 1; }

void OutlierEjection::raise_recovery_limit(EjectionState& state) { state.recovery_limit *= 2; }

void OutlierEjection::end_outage(EjectionState& state, double now) {
  if (state.outage_started_at > 0) {
    append_bounded(state.outage_durations_s, now - state.outage_started_at, kMaxOutages);
    state.outage_started_at = 0;
  }
  if (state.outage_durations_s.empty()) {
    state.next_ejection_s = kFirstEjectionSeconds;
    return;
  }
  double half_outage_s = mean(state.outage_durations_s) / 2;
  state.next_ejection_s = std::clamp(half_outage_s, kMinEjectionSeconds, kMaxEjectionSeconds);
}

bool OutlierEjection::may_eject(const Endpoint& endpoint, std::optional<std::size_t> class_index) const {
  if (state_of(endpoint, class_index).health == Health::Recovering) {
    return true;
  }
  auto ejected = std::ranges::count_if(endpoints_.tracked(), [&](EndpointIndex index) {
    const Endpoint& other = endpoints_[index];
    return other.health() != Health::Removed && state_of(other, class_index).health == Health::Ejected;
  });
  double max_share = class_index ? kMaxEjectedShareOfClass : kMaxEjectedShare;
  return double(ejected + 1) <= max_share * endpoints_.listed_count();
}

std::optional<EndpointIndex> OutlierEjection::select_early_recovery(double now) {
  if (any_accepts_attempts()) {
    last_accepting_at_ = now;
  }
  if (now - last_accepting_at_ < kMaxSecondsWithoutEndpoint) {
    return std::nullopt;
  }
  std::optional<EndpointIndex> first;
  for (EndpointIndex index : endpoints_.tracked()) {
    const Endpoint& endpoint = endpoints_[index];
    if (endpoint.health() != Health::Ejected) {
      continue;
    }
    if (!first || endpoint.whole.ejection.ejected_until < endpoints_[*first].whole.ejection.ejected_until) {
      first = index;
    }
  }
  return first;
}

// Recovering endpoints are always tracked, so looking at those and counting the healthy ones covers all.
bool OutlierEjection::any_accepts_attempts() const {
  return endpoints_.count(Health::Healthy) > 0 ||
         std::ranges::any_of(endpoints_.tracked(), [this](EndpointIndex index) {
           return accepts_attempts(endpoints_[index].whole);
         });
}

bool OutlierEjection::is_unresponsive(const AttemptTarget& target, double now, double awake_since) const {
  int overdue = 0;
  for (const InFlightAttempt& attempt : target.in_flight) {
    if (attempt.sent_at <= target.responses.last_response_at()) {
      continue;
    }
    double waited_s = now - std::max(attempt.sent_at, awake_since);
    double thresholds = waited_s / latencies_.hedge_threshold_s(attempt.class_index);
    if (thresholds > kOneOverdueThresholds) {
      return true;
    }
    if (thresholds > kTwoOverdueThresholds) {
      ++overdue;
    }
  }
  return overdue >= 2;
}

bool OutlierEjection::fails_more_than_others(const Endpoint& endpoint) const {
  const ResponseHistory& responses = endpoint.whole.responses;
  double other_failures = -responses.failure_count();
  double other_samples = -double(responses.samples().size());
  for (EndpointIndex index : endpoints_.tracked()) {
    const ResponseHistory& tracked = endpoints_[index].whole.responses;
    other_failures += tracked.failure_count();
    other_samples += double(tracked.samples().size());
  }
  double others_ratio = other_failures / std::max(1.0, other_samples);
  return responses.failure_count() >= kMinFailures &&
         responses.error_ratio() > kErrorRatioMargin + kErrorRatioFactor * others_ratio;
}

}  // namespace puffinvane
