// Measures how well request classes and tenants are served, and derives from it the rank of requests in the
// queue, which requests are over quota, and which class or tenant is isolated because it alone is slow.
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
  std::deque<Outcome> outcomes;  // of the last requests that had an attempt
  double traffic_share = 0;      // share of recent requests that are of this service
  double success_ratio = 1;      // share of recent outcomes that were on time
  double value_rate = 0;     // only of a request class: priority weight that is served for each unit of work
  bool is_isolated = false;  // rarely on time, while another service usually is
};

class ClassPriority {
 public:
  ClassPriority(const Deployment& deployment, const LatencyTracker& latencies);

  // The request classes in the order of the settings, then the tenants in theirs.
  const std::vector<ServiceStatistics>& services() const { return services_; }
  std::size_t class_count() const { return latencies_.class_count(); }

  // The index of a tenant in services(); nothing if the settings don't have the tenant.
  std::optional<std::size_t> find_tenant(std::string_view name) const;
  void record_class_arrival(std::size_t class_index);
  void record_tenant_arrival(std::size_t service);
  // Draws at random whether a request of the tenant is over quota, more often the further the tenant exceeds
  // its quota. `fleet_requests_per_s` is the rate of all instances together; they are assumed to have the
  // same mix of tenants.
  bool draw_over_quota(std::size_t service, double fleet_requests_per_s, Random& random) const;

  // Sort key of the queue, lowest first: by falling value rate, and requests over quota last.
  double rank_of(const RequestState& request) const;
  // The share of recent requests that rank behind `rank`; `random` breaks ties.
  double priority_percentile(double rank, Random& random);

  void record_outcome(const RequestState& request, ServiceStatistics::Result result, double now);
  // Computes the statistics of all services from recent outcomes and arrivals.
  void update(double now);
  // The isolated service, if any, among the class and the tenant of `request`.
  std::optional<std::size_t> isolated_service(const RequestState& request) const;

 private:
  static double recent_success_ratio(const std::deque<ServiceStatistics::Outcome>& outcomes, double now);
  double traffic_share(std::size_t service) const;
  bool is_class(std::size_t service) const { return service < class_count(); }

  const Deployment& deployment_;
  const LatencyTracker& latencies_;
  std::vector<ServiceStatistics> services_;
  // The services of the last requests: of each its request class, and its tenant if that is configured.
  std::deque<std::size_t> class_arrivals_;
  std::deque<std::size_t> tenant_arrivals_;
  std::deque<double> ranks_;  // of the last requests, where responses report load
};

}  // namespace puffinvane
