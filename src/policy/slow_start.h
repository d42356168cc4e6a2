// The budget of attempts to endpoints that have just started (rule 4): each instance sends its share of what
// the slow-start rule allows all instances together. It does not choose among endpoints.
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
  // Charges an attempt; `work_s` is the expected work of its request, 0 if unknown.
  void charge(EndpointIndex index, double work_s);
  // Adds what a tick of `tick_s` allows. `warm_attempts` is what a warm endpoint of weight 1 gets in a tick,
  // `own_weight` the part of the endpoint's weight that is this instance's, `sharing_instances` how many
  // instances send to the endpoint.
  struct Refill {
    double tick_s = 0;
    double warm_attempts = 0;
    double own_weight = 0;
    int sharing_instances = 1;
  };
  void refill(const Endpoint& endpoint, const Refill& refill, double now);
  // Begins the budget of an endpoint that has restarted; by their indexes, instances' first attempts take
  // turns.
  void restart(EndpointIndex index);
  void on_slot_freed(EndpointIndex index) { budgets_[index] = 0; }
  // The expected work of an accepted request, for the mean that attempts are charged by.
  void record_work(double work_s);

 private:
  double cost_of(double work_s) const;

  const Deployment& deployment_;
  PerEndpoint<double> budgets_;  // attempts of mean work
  std::deque<double> works_s_;   // of the last requests whose work is known
};

}  // namespace puffinvane
