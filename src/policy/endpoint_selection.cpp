#include "src/policy/endpoint_selection.h"

#include <cmath>

#include "src/policy/hashing.h"
#include "src/policy/outlier_ejection.h"

namespace puffinvane {

namespace {

// Penalties and preferences, in units of queue depth: attempts in flight that have the same effect on the
// choice.
constexpr double kCrossZoneDepth = 30;  // for another zone, multiplied by Deployment::cross_zone_price
constexpr double kSameEndpointRetryDepth = 100;  // so large that the same endpoint is only the last resort
constexpr double kKeyAffinityDepth = 5;      // scale of the preference for the endpoint that a key hashes to
constexpr double kStartingWeightFactor = 4;  // weight multiplier of a starting endpoint that has budget
// Weight of the random tie-breaker: as a share of an exponential draw where responses report load, else as a
// share of the depth.
constexpr double kReportedTieShare = 0.01;
constexpr double kDepthTieShare = 0.2;
constexpr double kMinUniform = 1e-9;  // keeps the logarithm finite

// Scores the candidates of one selection. What is the same for all candidates is computed once, in the
// constructor.
class CandidateScorer {
 public:
  CandidateScorer(const EndpointSelection::Inputs& inputs, const RequestState& request,
                  EndpointSelection::Strategy strategy, bool weights_are_shares, double now)
      : inputs_(inputs),
        request_(request),
        now_(now),
        weights_are_shares_(weights_are_shares),
        is_random_(strategy == EndpointSelection::Strategy::AtRandom),
        is_first_attempt_(request.attempts.empty()),
        may_retry_same_endpoint_(inputs.retry_safety.may_retry_same_endpoint(request)),
        is_unsafe_(inputs.deployment.request_classes[request.class_index].idempotency == Idempotency::Unsafe),
        needs_draw_(is_random_ || weights_are_shares || inputs.deployment.responses_report_load),
        own_attempt_depth_(weights_are_shares || inputs.deployment.responses_report_load ? 0 : 1),
        cross_zone_depth_(kCrossZoneDepth * inputs.deployment.cross_zone_price) {}

  bool is_eligible(const Endpoint& endpoint) const {
    if (!accepts_attempts(endpoint)) {
      return false;
    }
    // A recovering endpoint may still fail, and an unsafe request could not be retried after that.
    if (endpoint.health() == Health::Recovering && is_unsafe_) {
      return false;
    }
    if (is_first_attempt_) {
      return true;
    }
    if (is_repeat(endpoint) && !may_retry_same_endpoint_) {
      return false;
    }
    return inputs_.retry_safety.may_attempt(request_, endpoint, now_);
  }

  // The lowest score wins. Ties are broken by an exponential draw divided by the weight: the smallest of such
  // draws belongs to each endpoint with a probability in proportion to its weight. For a request with a key
  // the uniform number is a hash, so that all instances prefer the same endpoint: one that has served the key
  // recently has less work to do for it.
  double score(const Endpoint& endpoint, Random& random) const {
    bool has_key = request_.key_hash != 0;
    double uniform =
        has_key ? to_unit_interval(hash_name(request_.key_hash, endpoint.name)) : random.uniform();
    double draw = needs_draw_ ? -std::log(kMinUniform + uniform) : 0;
    double cross_zone = endpoint.zone == inputs_.deployment.zone ? 0 : cross_zone_depth_;
    double retry = is_repeat(endpoint) ? kSameEndpointRetryDepth : 0;
    double depth = double(endpoint.whole.in_flight.size()) + own_attempt_depth_ + cross_zone + retry;
    double tie = 0;
    if (weights_are_shares_) {
      tie = draw;
    } else if (inputs_.deployment.responses_report_load) {
      tie = (has_key ? kKeyAffinityDepth : kReportedTieShare) * draw;
    } else {
      tie = depth * kDepthTieShare * random.uniform();
    }
    return is_random_ ? draw : (depth + tie) / weight_of(endpoint);
  }

 private:
  bool is_repeat(const Endpoint& endpoint) const {
    return !is_first_attempt_ && has_attempted(request_, endpoint.index);
  }

  bool accepts_attempts(const Endpoint& endpoint) const {
    if (!OutlierEjection::accepts_attempts(endpoint.whole)) {
      return false;
    }
    if (!endpoint.by_class.empty() &&
        !OutlierEjection::accepts_attempts(endpoint.by_class[request_.class_index])) {
      return false;
    }
    if (!inputs_.slow_start.is_starting(endpoint, now_)) {
      return true;
    }
    return inputs_.subset.own_weight(endpoint.index) > 0 && inputs_.slow_start.has_budget(endpoint.index);
  }

  double weight_of(const Endpoint& endpoint) const {
    double own_weight = inputs_.subset.own_weight(endpoint.index);
    double weight = (own_weight > 0 ? own_weight : endpoint.weight) / endpoint.whole.responses.slowness(now_);
    // Budget for a starting endpoint is spent early. If it were saved up, all instances could spend it at
    // once.
    if (inputs_.slow_start.is_starting(endpoint, now_)) {
      weight *= kStartingWeightFactor;
    }
    // The latency of a heavy request consists mostly of its own work, so it favours fast endpoints.
    if (request_.work_ratio > 1) {
      weight = std::pow(weight, request_.work_ratio);
    }
    return weight;
  }

  const EndpointSelection::Inputs inputs_;
  const RequestState& request_;
  double now_;
  bool weights_are_shares_;
  bool is_random_;
  bool is_first_attempt_;
  bool may_retry_same_endpoint_;
  bool is_unsafe_;
  bool needs_draw_;           // whether an exponential draw selects the endpoint or breaks ties
  double own_attempt_depth_;  // added to the depth for the attempt that is being placed
  double cross_zone_depth_;   // added to the depth of endpoints in another zone
};

std::optional<EndpointIndex> select_among(const std::vector<EndpointIndex>& candidates,
                                          const EndpointTable& endpoints, const CandidateScorer& scorer,
                                          Random& random) {
  std::optional<EndpointIndex> selected;
  double lowest = 0;
  for (EndpointIndex index : candidates) {
    const Endpoint& endpoint = endpoints[index];
    if (!scorer.is_eligible(endpoint)) {
      continue;
    }
    double score = scorer.score(endpoint, random);
    if (!selected || score < lowest) {
      selected = index;
      lowest = score;
    }
  }
  return selected;
}

}  // namespace

std::optional<EndpointIndex> EndpointSelection::select(const RequestState& request, Strategy strategy,
                                                       double now, Random& random) const {
  if (int(request.attempts.size()) >= inputs_.deployment.max_attempts) {
    return std::nullopt;
  }
  CandidateScorer scorer(inputs_, request, strategy, weights_are_shares_, now);
  const Subset& subset = inputs_.subset;
  std::optional<EndpointIndex> selected = select_among(subset.members(), inputs_.endpoints, scorer, random);
  if (!selected && subset.members().size() < subset.ring().size()) {
    selected = select_among(subset.ring(), inputs_.endpoints, scorer, random);
  }
  return selected;
}

bool EndpointSelection::has_retry_target(const RequestState& request, double now) const {
  if (now >= request.deadline - 2 * inputs_.deployment.round_trip_s) {
    return false;
  }
  bool may_retry_same = inputs_.retry_safety.may_retry_same_endpoint(request);
  for (const Endpoint& endpoint : inputs_.endpoints.slots()) {
    if (endpoint.health() != Health::Healthy ||
        endpoint.class_health(request.class_index) != Health::Healthy) {
      continue;
    }
    if (has_attempted(request, endpoint.index) && !may_retry_same) {
      continue;
    }
    if (inputs_.retry_safety.may_attempt(request, endpoint, now)) {
      return true;
    }
  }
  return false;
}

}  // namespace puffinvane
