// Budgets of attempts for endpoints that have just started (rule 4). The slow-start rule limits all instances
// together, so the budget of each is its share of that. Endpoints are selected elsewhere.
#pragma once

#include <deque>

#include "src/policy/endpoint.h"

namespace puffinvane {

class SlowStart {
 public:
  explicit SlowStart(const Deployment& deployment) : deployment_(deployment) {}

  bool is_starting(const Endpoint& endpoint, double now) const {
    return endpoint.online_since > 0 && now < endpoint.online_since + deployment_.slow_start.duration_s;
  }
  // Whether the budget of a starting endpoint covers one more attempt.
  bool has_budget(EndpointIndex index) const { return budgets_.at_or_default(index) >= 1; }
  // Takes the cost of an attempt from the budget. `work_s`: expected work of its request, 0 if unknown.
  void charge(EndpointIndex index, double work_s);
  struct Refill {
    double tick_s = 0;          // duration of the tick
    double warm_attempts = 0;   // what a warm endpoint of weight 1 receives from this instance in a tick
    double own_weight = 0;      // the part of the endpoint's weight that belongs to this instance
    int sharing_instances = 1;  // how many instances send to the endpoint
  };
  // Adds to the budget what the slow-start rule allows this instance in one tick.
  void refill(const Endpoint& endpoint, const Refill& refill, double now);
  // Resets the budget of an endpoint that has restarted. The initial budget depends on the instance's index,
  // so that the first attempts of the instances are spread over time.
  void restart(EndpointIndex index);
  void on_slot_freed(EndpointIndex index) { budgets_[index] = 0; }
  // Records the expected work of an accepted request; the cost of an attempt is relative to the mean of
  // these.
  void record_work(double work_s);

 private:
  double cost_of(double work_s) const;

  const Deployment& deployment_;
  PerEndpoint<double> budgets_;        // in attempts of mean work
  std::deque<double> work_samples_s_;  // expected work of the most recent requests that announced it
};

}  // namespace puffinvane
