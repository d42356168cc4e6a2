// When to poll discovery for the endpoint list, in deployments where the list isn't pushed. The first polls
// of the instances are spread over time, failed polls are repeated with a growing backoff, and a successful
// poll is the last one.
#pragma once

#include "puffinvane/policy.h"
#include "src/policy/random.h"

namespace puffinvane {

class DiscoveryRefresh {
 public:
  // `stagger`, in [0, 1), places the first poll of this instance within the time over which instances spread
  // theirs.
  DiscoveryRefresh(const Deployment& deployment, double now, double stagger);

  // Returns whether a poll is due, and if so records it as sent.
  bool begin_poll_if_due(double now);
  // Fails a poll that got no response within the poll interval.
  void fail_overdue_poll(double now, Random& random);
  void on_list_received();
  void on_poll_failed(double now, Random& random);

 private:
  static constexpr double kFirstBackoffSeconds = 0.5;

  const Deployment& deployment_;
  double next_poll_at_ = 0;     // 0: no poll is scheduled
  double response_due_at_ = 0;  // 0: no poll awaits a response
  double backoff_s_ = kFirstBackoffSeconds;
};

}  // namespace puffinvane
