// Admission: whether one more request may be in flight. The load is counted in latency objectives and, by
// Little's law, bounded by the rate of responses; where responses report load, the reported fullness decides.
#pragma once

#include <vector>

#include "src/policy/class_priority.h"
#include "src/policy/completion_rate.h"
#include "src/policy/endpoint_table.h"
#include "src/policy/fleet_load.h"
#include "src/policy/request_state.h"

namespace puffinvane {

class ConcurrencyLimit {
 public:
  // Time after the start in which rates are not known.
  static constexpr double kStartupSeconds = 3;

  struct Inputs {
    const Deployment& deployment;
    const EndpointTable& endpoints;
    const LatencyTracker& latencies;
    const ClassPriority& priority;
    const CompletionRate& completions;
    const FleetLoad& fleet_load;
  };
  explicit ConcurrencyLimit(const Inputs& inputs);

  // Whether `request` may have its next attempt now. `started_at` is when the policy began to learn.
  bool has_capacity_for(const RequestState& request, double now, double started_at) const;
  // Counts the request until release; a second call changes nothing.
  void acquire(RequestState& request);
  void release(RequestState& request);

 private:
  // Requests in flight of one service.
  struct Load {
    double objectives = 0;  // in shares of the latency objective
    double calm = 0;        // in calm latencies
  };

  bool is_under_floor(const RequestState& request, double now, double started_at) const;
  bool is_under_rates(const RequestState& request) const;
  void add(const RequestState& request, int sign);

  Inputs inputs_;
  std::vector<Load> loads_;  // by service of ClassPriority
  int in_flight_ = 0;
};

}  // namespace puffinvane
