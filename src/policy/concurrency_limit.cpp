#include "src/policy/concurrency_limit.h"

#include <algorithm>

#include "src/policy/request_queue.h"

namespace puffinvane {

namespace {

// Share of its latency objective that a request may spend in flight on average.
constexpr double kObjectiveShare = 0.6;
// How many times its unloaded latency a request may spend in flight on average.
constexpr double kMaxLatencyRatio = 1.9;
// Requests in flight for each endpoint, of all instances together, that are always admitted.
constexpr double kFloorPerEndpoint = 5;
constexpr double kStartupFloorPerEndpoint = 8;  // twice the initial learned capacity of an endpoint

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
  // A service that alone is slow would take the capacity of the others. It has a limit of its own, in
  // proportion to its success ratio.
  if (std::optional<std::size_t> isolated = inputs_.priority.isolated_service(request)) {
    const ServiceStatistics& statistics = inputs_.priority.services()[*isolated];
    double isolated_limit =
        statistics.success_ratio * statistics.traffic_share * inputs_.completions.recent_per_s();
    return loads_[*isolated].by_objective < isolated_limit;
  }
  return is_under_rates(request);
}

// The floor is divided by the number of instances, as the floors of many instances would otherwise add up to
// an overload of every endpoint. The part of one instance may be a fraction of a request, and rounding it up
// at every instance would admit too much in total. The random capacity draw of each request makes the
// expected total exact.
bool ConcurrencyLimit::is_under_floor(const RequestState& request, double now, double started_at) const {
  bool is_starting = now < started_at + kStartupSeconds;
  double per_endpoint = is_starting ? kStartupFloorPerEndpoint : kFloorPerEndpoint;
  double floor = per_endpoint * inputs_.endpoints.count(Health::Healthy) / inputs_.deployment.instance_count;
  // About two requests are admitted in any case, fewer if the class of this one is rarely served on time.
  double class_floor = 2 * inputs_.priority.services()[request.class_index].success_ratio;
  return in_flight_ + request.capacity_draw < std::max(class_floor, floor);
}

bool ConcurrencyLimit::is_under_rates(const RequestState& request) const {
  const std::vector<ServiceStatistics>& services = inputs_.priority.services();
  double load_by_objective = 0;
  double load_by_unloaded_latency = 0;
  for (std::size_t service = 0; service < services.size(); ++service) {
    // The load of a request counts once for its class and once for its tenant. Classes are added up, and
    // isolated services, which have their own limit, are subtracted.
    int class_sign = service < inputs_.priority.class_count() ? 1 : 0;
    int sign = class_sign - (services[service].is_isolated ? 1 : 0);
    load_by_objective += sign * loads_[service].by_objective;
    load_by_unloaded_latency += sign * loads_[service].by_unloaded_latency;
  }
  double objective_s = inputs_.deployment.request_classes[request.class_index].latency_objective_s;
  load_by_objective += request.capacity_draw / (kObjectiveShare * objective_s);
  load_by_unloaded_latency +=
      request.capacity_draw / inputs_.latencies.unloaded_latency_s(request.class_index);
  // The load by unloaded latency is compared with the best rate of a long time: this limit lowers the recent
  // rate, and so would go on lowering itself.
  return load_by_objective < inputs_.completions.recent_per_s() &&
         load_by_unloaded_latency < kMaxLatencyRatio * inputs_.completions.best_per_s();
}

void ConcurrencyLimit::acquire(RequestState& request) {
  if (request.counts_as_load) {
    return;
  }
  request.counts_as_load = true;
  double objective_s = inputs_.deployment.request_classes[request.class_index].latency_objective_s;
  request.load_by_objective = 1 / (kObjectiveShare * objective_s);
  request.load_by_unloaded_latency = 1 / inputs_.latencies.unloaded_latency_s(request.class_index);
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
    loads_[service].by_objective += sign * request.load_by_objective;
    loads_[service].by_unloaded_latency += sign * request.load_by_unloaded_latency;
  }
}

}  // namespace puffinvane
