// The concurrency limit: whether one more request may be in flight. By Little's law, requests in flight times
// the inverse of their expected latency give the response rate that they need; the limit compares that with
// the measured rate of responses. Where responses report load, the load of all endpoints together decides
// instead.
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
  // After the start, the time in which completion rates are not yet known.
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

  // Whether there is capacity for the next attempt of `request`. `started_at` is when the policy began to
  // collect rates.
  bool has_capacity_for(const RequestState& request, double now, double started_at) const;
  // Counts `request` as load until release. Each changes nothing if it is called twice.
  void acquire(RequestState& request);
  void release(RequestState& request);

 private:
  // The response rates, in requests a second, that the requests in flight of one service need.
  struct Load {
    double by_objective = 0;         // to complete within kObjectiveShare of their latency objectives
    double by_unloaded_latency = 0;  // to complete within their unloaded latencies
  };

  // Whether so few requests are in flight that one more is admitted whatever the rates are.
  bool is_under_floor(const RequestState& request, double now, double started_at) const;
  // Whether the measured rates of responses cover one more request.
  bool is_under_rates(const RequestState& request) const;
  void add(const RequestState& request, int sign);

  Inputs inputs_;
  std::vector<Load> loads_;  // by service, as in ClassPriority::services
  int in_flight_ = 0;
};

}  // namespace puffinvane
