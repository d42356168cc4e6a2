// Whether a late attempt gets a hedge, a second attempt at another endpoint: the gates of "Backup requests
// and bounded queueing", and a count of what each of them suppressed. It does not choose the other endpoint.
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
  enum class Outcome { Sent, TooManyErrors, NoEndpoint, SharedLateness, TooDeep, EndpointNotSlow };
  // NotDue: an earlier timer of the same request. Recheck: nothing speaks against the endpoint yet.
  // Suppressed: no hedge is sent. Allowed: the hedge may go to an endpoint that passes accepts_target.
  enum class Decision { NotDue, Recheck, Suppressed, Allowed };

  Hedging(const Deployment& deployment, const LatencyTracker& latencies)
      : deployment_(deployment), latencies_(latencies) {}

  // Whether a delivered request took longer than its hedge threshold.
  enum class Lateness { InTime, Late };
  void record_lateness(Lateness lateness);
  // Whether so many requests are late that the cause isn't one endpoint.
  bool is_lateness_shared() const;
  void clear_lateness() { lateness_.clear(); }
  const std::deque<double>& lateness() const { return lateness_; }
  void restore_lateness(std::deque<double> lateness);

  // Whether the last attempt of `request`, to `endpoint`, may have a hedge now. Lateness counts from
  // `last_stall_end`: if this process was stalled, every attempt looks late.
  Decision decide(const RequestState& request, const Endpoint& endpoint, double now, double last_stall_end);
  // Whether `endpoint` may get the hedge: it is shallow enough, and without recent errors.
  bool accepts_target(const Endpoint& endpoint, double now);
  // Whether a further Recheck is worth a timer.
  bool should_recheck(const RequestState& request, double now, double last_stall_end) const;

  void count(Outcome outcome) { ++counts_[static_cast<std::size_t>(outcome)]; }
  // The counts that are not 0, as ", name count" each.
  std::string counts_text() const;

 private:
  static constexpr std::size_t kOutcomeCount = 6;

  double waited_s(const RequestState& request, double now, double last_stall_end) const;

  const Deployment& deployment_;
  const LatencyTracker& latencies_;
  std::deque<double> lateness_;                        // of the last requests: 1 late, 0 in time
  std::array<std::uint64_t, kOutcomeCount> counts_{};  // by Outcome
};

}  // namespace puffinvane
