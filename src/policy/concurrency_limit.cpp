#include "src/policy/concurrency_limit.h"

#include <algorithm>

#include "src/policy/request_queue.h"

namespace puffinvane {

namespace {

constexpr double kObjectiveShare =
    0.6;                             // of a latency objective that a request may spend in flight on average
constexpr double kCalmFactor = 1.9;  // times the calm latency that it may spend
// Requests in flight for each endpoint, of all instances together, that are always admitted.
constexpr double kFloorPerEndpoint = 5;
constexpr double kFloorPerEndpointAtStart = 8;  // twice the initial capacity of an endpoint

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Inputs& inputs)
    : inputs_(inputs), loads_(inputs.priority.services().size()) {}

bool ConcurrencyLimit::has_capacity_for(const RequestState& request, double now, double started_at) const {
  if (inputs_.deployment.tier > 0 || request.queue_position.rank == RequestQueue::kRetryRank) {
    return true;
  }
  if (inputs_.deployment.responses_report_load) {
    return request.priority_percentile >= 1 - inputs_.fleet_load.admitted_share();
  }
  if (is_under_floor(request, now, started_at)) {
    return true;
  }
  // A service that is slow by itself would fill the others' capacity: it has one of its own, as large as its
  // success.
  if (std::optional<std::size_t> isolated = inputs_.priority.isolated_service(request)) {
    const ServiceStatistics& statistics = inputs_.priority.services()[*isolated];
    double own_rate =
        statistics.success_ratio * statistics.traffic_share * inputs_.completions.recent_per_s();
    return loads_[*isolated].objectives < own_rate;
  }
  return is_under_rates(request);
}

// The floor is shared: the small allowances of many instances would add up to a crowd on every endpoint. With
// many instances, rounding each limit up to a whole request would admit too much in total; a random threshold
// for each request makes the expected total exact.
bool ConcurrencyLimit::is_under_floor(const RequestState& request, double now, double started_at) const {
  bool is_starting = now < started_at + kStartSeconds;
  double per_endpoint = is_starting ? kFloorPerEndpointAtStart : kFloorPerEndpoint;
  double floor = per_endpoint * inputs_.endpoints.count(Health::Healthy) / inputs_.deployment.instance_count;
  double class_floor = 2 * inputs_.priority.services()[request.class_index].success_ratio;
  return in_flight_ + request.capacity_draw < std::max(class_floor, floor);
}

bool ConcurrencyLimit::is_under_rates(const RequestState& request) const {
  const std::vector<ServiceStatistics>& services = inputs_.priority.services();
  double objectives = 0;
  double calm = 0;
  for (std::size_t service = 0; service < services.size(); ++service) {
    // Every request is in its class's load; that of an isolated tenant is taken out of it.
    int class_sign = service < inputs_.priority.class_count() ? 1 : 0;
    int sign = class_sign - (services[service].is_isolated ? 1 : 0);
    objectives += sign * loads_[service].objectives;
    calm += sign * loads_[service].calm;
  }
  double objective_s = inputs_.deployment.request_classes[request.class_index].latency_objective_s;
  objectives += request.capacity_draw / (kObjectiveShare * objective_s);
  calm += request.capacity_draw / inputs_.latencies.unloaded_latency_s(request.class_index);
  // The calm load is bounded by the best rate of a long time: a recent one is lowered by the limit that it
  // sets.
  return objectives < inputs_.completions.recent_per_s() &&
         calm < kCalmFactor * inputs_.completions.best_per_s();
}

void ConcurrencyLimit::acquire(RequestState& request) {
  if (request.counts_as_load) {
    return;
  }
  request.counts_as_load = true;
  double objective_s = inputs_.deployment.request_classes[request.class_index].latency_objective_s;
  request.load_weight = 1 / (kObjectiveShare * objective_s);
  request.calm_load_weight = 1 / inputs_.latencies.unloaded_latency_s(request.class_index);
  add(request, 1);
}

void ConcurrencyLimit::release(RequestState& request) {
  if (!request.counts_as_load) {
    return;
  }
  request.counts_as_load = false;
  add(request, -1);
}

void ConcurrencyLimit::add(const RequestState& request, int sign) {
  in_flight_ += sign;
  for (std::size_t service : request.services) {
    loads_[service].objectives += sign * request.load_weight;
    loads_[service].calm += sign * request.calm_load_weight;
  }
}

}  // namespace puffinvane
