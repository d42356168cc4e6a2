// Decides whether a late request gets a hedge, a second attempt at another endpoint, by the conditions of the
// paper "Backup requests and bounded queueing". It counts the hedges that were sent and those that each
// condition suppressed. It does not select the other endpoint.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>

#include "src/policy/endpoint_table.h"
#include "src/policy/latency_tracker.h"
#include "src/policy/request_state.h"

namespace puffinvane {

class Hedging {
 public:
  // What came of considering a hedge; see counts_text.
  enum class Outcome { Sent, TooManyErrors, NoEndpoint, SharedLateness, TooDeep, EndpointNotSlow };
  // NotDue: the last attempt is not late, has ended, or was the last one allowed. Recheck: the endpoint shows
  // no sign of slowness yet. Suppressed: no hedge is sent. Allowed: the hedge may be sent to an endpoint that
  // passes accepts_target.
  enum class Decision { NotDue, Recheck, Suppressed, Allowed };

  Hedging(const Deployment& deployment, const LatencyTracker& latencies)
      : deployment_(deployment), latencies_(latencies) {}

  // Whether a delivered request took longer than its hedge threshold.
  enum class Lateness { InTime, Late };
  void record_lateness(Lateness lateness);
  // Whether so many recent requests were late that a single endpoint can't be the cause.
  bool is_lateness_shared() const;
  void clear_lateness() { lateness_.clear(); }
  const std::deque<double>& lateness() const { return lateness_; }
  void restore_lateness(std::deque<double> lateness);

  // Decides on a hedge for the last attempt of `request`, which was sent to `endpoint`. Waiting time is
  // counted from `last_stall_end` at the earliest, as every attempt looks late after a stall of this process.
  Decision decide(const RequestState& request, const Endpoint& endpoint, double now, double last_stall_end);
  // Whether `endpoint` may get the hedge: its depth is below the bound, and it has no recent errors.
  bool accepts_target(const Endpoint& endpoint, double now);
  // After a Recheck, whether to decide once more a hedge threshold later.
  bool should_recheck(const RequestState& request, double now, double last_stall_end) const;

  void count(Outcome outcome) { ++counts_[static_cast<std::size_t>(outcome)]; }
  // The counts other than 0, each as ", name count", for the log.
  std::string counts_text() const;

 private:
  static constexpr std::size_t kOutcomeCount = 6;

  // How long the last attempt has been in flight, without the time before `last_stall_end`.
  double waited_s(const RequestState& request, double now, double last_stall_end) const;

  const Deployment& deployment_;
  const LatencyTracker& latencies_;
  std::deque<double> lateness_;                        // of the last requests: 1 if late, 0 if in time
  std::array<std::uint64_t, kOutcomeCount> counts_{};  // by Outcome
};

}  // namespace puffinvane
