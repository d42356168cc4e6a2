#include "src/policy/endpoint_selection.h"

#include <cmath>

#include "src/policy/hashing.h"
#include "src/policy/outlier_ejection.h"

namespace puffinvane {

namespace {

// Requests of depth that a choice counts for.
constexpr double kCrossZoneDepth = 30;           // times the price of a request that goes to another zone
constexpr double kSameEndpointRetryDepth = 100;  // only for want of any other endpoint
constexpr double kKeyAffinityDepth = 5;
constexpr double kStartingEndpointDepth = 4;  // of a warm endpoint that one with budget goes before
constexpr double kReportedTieShare = 0.01;    // of a random draw, where responses report load
constexpr double kDepthTieShare = 0.2;        // of the depth
constexpr double kSmallestDraw = 1e-9;        // keeps the logarithm finite

}  // namespace

std::optional<EndpointIndex> EndpointSelection::select(const RequestState& request, Order order, double now,
                                                       Random& random) const {
  const Subset& subset = inputs_.subset;
  std::optional<EndpointIndex> selected = select_among(subset.members(), request, order, now, random);
  if (!selected && subset.members().size() < subset.ring().size()) {
    selected = select_among(subset.ring(), request, order, now, random);
  }
  return selected;
}

std::optional<EndpointIndex> EndpointSelection::select_among(const std::vector<EndpointIndex>& candidates,
                                                             const RequestState& request, Order order,
                                                             double now, Random& random) const {
  std::optional<EndpointIndex> selected;
  double lowest = 0;
  for (EndpointIndex index : candidates) {
    const Endpoint& endpoint = inputs_.endpoints[index];
    if (!may_get(endpoint, request, now)) {
      continue;
    }
    double candidate_score = score(endpoint, request, order, now, random);
    if (!selected || candidate_score < lowest) {
      selected = index;
      lowest = candidate_score;
    }
  }
  return selected;
}

bool EndpointSelection::accepts(const Endpoint& endpoint, const RequestState& request, double now) const {
  if (!OutlierEjection::accepts_attempts(endpoint.whole)) {
    return false;
  }
  if (!endpoint.by_class.empty() &&
      !OutlierEjection::accepts_attempts(endpoint.by_class[request.class_index])) {
    return false;
  }
  if (!inputs_.slow_start.is_starting(endpoint, now)) {
    return true;
  }
  return inputs_.subset.own_weight(endpoint.index) > 0 && inputs_.slow_start.has_budget(endpoint.index);
}

bool EndpointSelection::may_get(const Endpoint& endpoint, const RequestState& request, double now) const {
  if (has_attempted(request, endpoint.index) && !inputs_.retry_safety.may_repeat_endpoint(request)) {
    return false;
  }
  if (!accepts(endpoint, request, now) || !inputs_.retry_safety.may_attempt(request, endpoint, now)) {
    return false;
  }
  // A recovering endpoint is on trial: an unsafe request, which could not be sent again, is not risked there.
  Idempotency idempotency = inputs_.deployment.request_classes[request.class_index].idempotency;
  return endpoint.health() != Health::Recovering || idempotency != Idempotency::Unsafe;
}

double EndpointSelection::weight_of(const Endpoint& endpoint, const RequestState& request, double now) const {
  double own_weight = inputs_.subset.own_weight(endpoint.index);
  double weight = (own_weight > 0 ? own_weight : endpoint.weight) / endpoint.whole.responses.slowness(now);
  // What the slow-start rule leaves is used soon: saved up, it would be spent by all instances at once.
  if (inputs_.slow_start.is_starting(endpoint, now)) {
    weight *= kStartingEndpointDepth;
  }
  // A heavy request's own work is most of its latency, so it goes rather to fast endpoints.
  if (request.heaviness > 1) {
    weight = std::pow(weight, request.heaviness);
  }
  return weight;
}

// Ties break at random, in proportion to the weight, as the least of exponential draws is so spread. With a
// key the draw is a hash that is the same at all instances, as an endpoint that met the key lately does less
// work for it.
double EndpointSelection::score(const Endpoint& endpoint, const RequestState& request, Order order,
                                double now, Random& random) const {
  const Deployment& deployment = inputs_.deployment;
  bool reports_load = deployment.responses_report_load;
  bool is_random = order == Order::AtRandom;
  bool is_draw_needed = reports_load || weights_are_shares_ || is_random;
  double weight = weight_of(endpoint, request, now);
  double uniform =
      request.key_hash != 0 ? to_unit_interval(hash_name(request.key_hash, endpoint.name)) : random.uniform();
  double draw = is_draw_needed ? -std::log(kSmallestDraw + uniform) : 0;
  double own_attempt = reports_load || weights_are_shares_ ? 0 : 1;
  double cross_zone = endpoint.zone == deployment.zone ? 0 : kCrossZoneDepth * deployment.cross_zone_price;
  double retry = has_attempted(request, endpoint.index) ? kSameEndpointRetryDepth : 0;
  double depth = double(endpoint.whole.in_flight.size()) + own_attempt + cross_zone + retry;
  double tie = 0;
  if (weights_are_shares_) {
    tie = draw;
  } else if (reports_load) {
    tie = (request.key_hash != 0 ? kKeyAffinityDepth : kReportedTieShare) * draw;
  } else {
    tie = depth * kDepthTieShare * random.uniform();
  }
  return is_random ? draw : (depth + tie) / weight;
}

bool EndpointSelection::has_retry_target(const RequestState& request, double now) const {
  if (now >= request.deadline - 2 * inputs_.deployment.round_trip_s) {
    return false;
  }
  bool may_repeat = inputs_.retry_safety.may_repeat_endpoint(request);
  for (const Endpoint& endpoint : inputs_.endpoints.slots()) {
    if (endpoint.health() != Health::Healthy ||
        endpoint.class_health(request.class_index) != Health::Healthy) {
      continue;
    }
    if (has_attempted(request, endpoint.index) && !may_repeat) {
      continue;
    }
    if (inputs_.retry_safety.may_attempt(request, endpoint, now)) {
      return true;
    }
  }
  return false;
}

}  // namespace puffinvane
