// How request classes and tenants are served, and what follows for the order of requests: rank, quota, and
// which class or tenant is slow by itself.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "src/policy/latency_tracker.h"
#include "src/policy/random.h"
#include "src/policy/request_state.h"

namespace puffinvane {

// Statistics of one service: a request class, or a tenant.
struct ServiceStatistics {
  enum class Result { OnTime, NotOnTime };
  struct Outcome {
    double ended_at = 0;
    Result result = Result::NotOnTime;
  };
  std::deque<Outcome> outcomes;  // of requests that had an attempt
  double traffic_share = 0;      // of recent requests
  double success_ratio = 1;      // of recent outcomes
  double value_rate = 0;         // of a request class: what serving it counts, for the work it takes
  bool is_isolated = false;      // late everywhere while others come in time
};

class ClassPriority {
 public:
  ClassPriority(const Deployment& deployment, const LatencyTracker& latencies);

  // Services: the request classes in their order, then the tenants in theirs.
  const std::vector<ServiceStatistics>& services() const { return services_; }
  std::size_t class_count() const { return latencies_.class_count(); }

  // The service of a tenant, nothing if the name is not in the settings.
  std::optional<std::size_t> find_tenant(std::string_view name) const;
  void record_class_arrival(std::size_t class_index);
  void record_tenant_arrival(std::size_t service);
  // Whether one request of the tenant is beyond its quota, drawn in proportion to the excess.
  // `fleet_requests_per_s` is the rate of all instances together: their mix of tenants is alike.
  bool draw_over_quota(std::size_t service, double fleet_requests_per_s, Random& random) const;

  // Sort key for the queue: tenants over quota come last, then lower value per unit of work.
  double rank_of(const RequestState& request) const;
  // The share of recent requests that rank behind `rank`, with ties broken by `random`.
  double priority_percentile(double rank, Random& random);

  void record_outcome(const RequestState& request, ServiceStatistics::Result result, double now);
  // Works the statistics out again from recent outcomes and arrivals.
  void update(double now);
  // The service of the request that is served apart from the others, if one is.
  std::optional<std::size_t> isolated_service(const RequestState& request) const;

 private:
  static double recent_success_ratio(const std::deque<ServiceStatistics::Outcome>& outcomes, double now);
  double traffic_share(std::size_t service) const;
  bool is_class(std::size_t service) const { return service < class_count(); }

  const Deployment& deployment_;
  const LatencyTracker& latencies_;
  std::vector<ServiceStatistics> services_;
  std::deque<std::size_t> class_arrivals_;   // request classes of the last requests
  std::deque<std::size_t> tenant_arrivals_;  // services of the last requests with a known tenant
  std::deque<double> ranks_;                 // of the last requests
};

}  // namespace puffinvane
