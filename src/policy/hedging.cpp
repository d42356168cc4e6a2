#include "src/policy/hedging.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

// From the paper: the depth bound, as a share of the learned capacity, and the error ratio from which an
// endpoint gets no hedge.
constexpr double kMaxDepthShare = 0.85;
constexpr double kMaxErrorRatio = 0.01;
// Lateness is shared if more than this share of the last kLatenessLimit requests was late.
constexpr std::size_t kLatenessLimit = 40;
constexpr double kSharedLatenessShare = 0.25;
// From this slowness on, as a multiple of the unloaded latency, an endpoint is slow.
constexpr double kSlowEndpointThreshold = 1.5;
// Hedge thresholds that an endpoint which isn't slow may take, and after which no recheck is made.
constexpr double kGraceThresholds = 2;
constexpr double kMaxRecheckThresholds = 4;

// Names of the counts in the log, by Outcome.
constexpr std::array<std::string_view, 6> kOutcomeNames = {"hedges sent",         "target errors",
                                                           "no target",           "shared lateness",
                                                           "suppressed by depth", "endpoint not slow"};

}  // namespace

void Hedging::record_lateness(Lateness lateness) {
  append_bounded(lateness_, lateness == Lateness::Late ? 1.0 : 0.0, kLatenessLimit);
}

bool Hedging::is_lateness_shared() const { return mean(lateness_) > kSharedLatenessShare; }

void Hedging::restore_lateness(std::deque<double> lateness) { lateness_ = std::move(lateness); }

double Hedging::waited_s(const RequestState& request, double now, double last_stall_end) const {
  return now - std::max(request.attempts.back().sent_at, last_stall_end);
}

Hedging::Decision Hedging::decide(const RequestState& request, const Endpoint& endpoint, double now,
                                  double last_stall_end) {
  const Attempt& attempt = request.attempts.back();
  if (int(request.attempts.size()) >= deployment_.max_attempts || !attempt.is_in_flight) {
    return Decision::NotDue;
  }
  double threshold_s = latencies_.hedge_threshold_s(request.class_index);
  double waited = waited_s(request, now, last_stall_end);
  if (waited < threshold_s - deployment_.round_trip_s) {
    return Decision::NotDue;
  }
  // A request with much work is late at any endpoint, and a hedge would double its work on every tier behind.
  // An endpoint that isn't slow therefore gets a second hedge threshold, and no hedge is sent at all if it
  // has responded to another attempt since.
  bool has_responded_since = endpoint.whole.responses.last_response_at() > attempt.sent_at;
  bool is_within_grace = waited < kGraceThresholds * threshold_s;
  if (endpoint.whole.responses.slowness(now) < kSlowEndpointThreshold &&
      (has_responded_since || is_within_grace)) {
    count(Outcome::EndpointNotSlow);
    return Decision::Recheck;
  }
  if (is_lateness_shared() && lateness_.size() >= LatencyTracker::kMinSamples) {
    count(Outcome::SharedLateness);
    return Decision::Suppressed;
  }
  return Decision::Allowed;
}

bool Hedging::should_recheck(const RequestState& request, double now, double last_stall_end) const {
  double threshold_s = latencies_.hedge_threshold_s(request.class_index);
  return waited_s(request, now, last_stall_end) < kMaxRecheckThresholds * threshold_s;
}

bool Hedging::accepts_target(const Endpoint& endpoint, double now) {
  double capacity = endpoint.whole.responses.learned_capacity();
  if (effective_depth(endpoint, now) >= std::max(1.0, kMaxDepthShare * capacity)) {
    count(Outcome::TooDeep);
    return false;
  }
  if (endpoint.whole.responses.error_ratio() >= kMaxErrorRatio) {
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
