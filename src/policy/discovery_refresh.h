// When to ask for the list of endpoints, where discovery has to be polled: instances start in turn by their
// indexes, and failed polls back off.
#pragma once

#include "puffinvane/policy.h"
#include "src/policy/random.h"

namespace puffinvane {

class DiscoveryRefresh {
 public:
  // `stagger`, in [0, 1), is where in the first interval this instance polls.
  DiscoveryRefresh(const Deployment& deployment, double now, double stagger);

  // Returns whether a poll is due; it counts as sent.
  bool begin_poll_if_due(double now);
  // A poll without an answer within the interval has failed.
  void fail_overdue_poll(double now, Random& random);
  void on_list_received();
  void on_poll_failed(double now, Random& random);

 private:
  static constexpr double kFirstBackoffSeconds = 0.5;

  const Deployment& deployment_;
  double next_poll_at_ = 0;        // 0: none is planned
  double response_due_at_ = 0;  // 0: none is outstanding
  double backoff_s_ = kFirstBackoffSeconds;
};

}  // namespace puffinvane
