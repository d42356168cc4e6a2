#include "src/policy/hedging.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

// Figures of the paper: the bound on depth as a share of the capacity, and the error ratio of an endpoint.
constexpr double kCapacityShare = 0.85;
constexpr double kErrorRatioBound = 0.01;
constexpr std::size_t kLatenessLimit = 40;
constexpr double kSharedLatenessShare = 0.25;
constexpr double kSuspectSlowness = 1.5;      // times calm
constexpr double kThresholdsUnsuspected = 2;  // that an endpoint with nothing against it has
constexpr double kThresholdsRechecked = 4;    // after which no further recheck is made

// By Outcome, in the order in which the log has them.
constexpr std::array<std::string_view, 6> kOutcomeNames = {
    "copies sent", "errors", "no endpoint", "shared lateness", "suppressed by depth", "weight"};

}  // namespace

void Hedging::record_lateness(Lateness lateness) {
  append_bounded(lateness_, lateness == Lateness::Late ? 1.0 : 0.0, kLatenessLimit);
}

bool Hedging::is_lateness_shared() const { return mean(lateness_) > kSharedLatenessShare; }

void Hedging::restore_lateness(std::deque<double> lateness) { lateness_ = std::move(lateness); }

double Hedging::waited_s(const RequestState& request, double now, double awake_since) const {
  return now - std::max(request.attempts.back().sent_at, awake_since);
}

Hedging::Decision Hedging::decide(const RequestState& request, const Endpoint& endpoint, double now,
                                  double awake_since) {
  const Attempt& attempt = request.attempts.back();
  if (int(request.attempts.size()) >= deployment_.max_attempts || !attempt.is_in_flight) {
    return Decision::NotDue;
  }
  double threshold_s = latencies_.hedge_threshold_s(request.class_index);
  double waited = waited_s(request, now, awake_since);
  if (waited < threshold_s - deployment_.round_trip_s) {
    return Decision::NotDue;
  }
  // A heavy request is late anywhere, and its hedge would double the heaviest work on every tier behind. An
  // endpoint that has responded to a later attempt is believed, and one with nothing against it gets another
  // threshold.
  bool has_responded_since = endpoint.whole.responses.last_response_at() > attempt.sent_at;
  bool is_within_grace = waited < kThresholdsUnsuspected * threshold_s;
  if (endpoint.whole.responses.slowness(now) < kSuspectSlowness && (has_responded_since || is_within_grace)) {
    count(Outcome::NotSuspect);
    return Decision::Recheck;
  }
  if (is_lateness_shared() && lateness_.size() >= LatencyTracker::kMinSamples) {
    count(Outcome::SharedLateness);
    return Decision::Suppressed;
  }
  return Decision::Allowed;
}

bool Hedging::should_recheck(const RequestState& request, double now, double awake_since) const {
  double threshold_s = latencies_.hedge_threshold_s(request.class_index);
  return waited_s(request, now, awake_since) < kThresholdsRechecked * threshold_s;
}

bool Hedging::accepts_target(const Endpoint& endpoint, double now) {
  double capacity = endpoint.whole.responses.learned_capacity();
  if (effective_depth(endpoint, now) >= std::max(1.0, kCapacityShare * capacity)) {
    count(Outcome::TooDeep);
    return false;
  }
  if (endpoint.whole.responses.error_ratio() >= kErrorRatioBound) {
    count(Outcome::TooManyErrors);
    return false;
  }
  return true;
}

std::string Hedging::counts_text() const {
  std::string text;
  for (std::size_t outcome = 0; outcome < counts_.size(); ++outcome) {
    if (counts_[outcome] > 0) {
      text.append(", ").append(kOutcomeNames[outcome]).append(" ").append(std::to_string(counts_[outcome]));
    }
  }
  return text;
}

}  // namespace puffinvane
