// Outlier ejection: an endpoint, or one request class at an endpoint, that fails or stops responding receives
// no attempts for a while. The ejection time doubles with each ejection in an outage. Recovery is a ramp:
// each response doubles the number of attempts that may be in flight. The transitions between these states
// are in BackupRequestPolicy's table; this module implements their conditions and effects.
#pragma once

#include <cstddef>
#include <optional>

#include "src/policy/endpoint_table.h"
#include "src/policy/latency_tracker.h"
#include "src/policy/random.h"

namespace puffinvane {

class OutlierEjection {
 public:
  static constexpr double kFirstEjectionSeconds = 1;  // without past outages
  static constexpr double kMaxEjectionSeconds = 8;

  OutlierEjection(const EndpointTable& endpoints, const LatencyTracker& latencies)
      : endpoints_(endpoints), latencies_(latencies) {}

  // True for a healthy target, and for a recovering one that is below its limit of attempts in flight.
  static bool accepts_attempts(const AttemptTarget& target) {
    if (target.ejection.health == Health::Recovering) {
      return int(target.in_flight.size()) < target.ejection.recovery_limit;
    }
    return target.ejection.health == Health::Healthy;
  }
  static bool has_recovered(const EjectionState& state);

  // Effects of the health transitions.
  static void begin_ejection(EjectionState& state, double now, Random& random);
  static void begin_recovery(EjectionState& state);
  static void raise_recovery_limit(EjectionState& state);
  static void end_outage(EjectionState& state, double now);

  // Whether `endpoint` may be ejected, as a whole or for one request class, without exceeding the maximum
  // share of ejected endpoints. A recovering target may always be ejected again.
  bool may_eject(const Endpoint& endpoint, std::optional<std::size_t> class_index) const;
  // If no listed endpoint has accepted attempts for a while, returns the ejected endpoint whose ejection ends
  // first: its recovery should begin now. Must be called in every tick.
  std::optional<EndpointIndex> select_early_recovery(double now);
  // Whether the attempts sent since the target's last response are long past their hedge threshold. Waiting
  // time before `awake_since`, the end of this process's last stall, doesn't count.
  bool is_unresponsive(const AttemptTarget& target, double now, double awake_since) const;
  // Whether the endpoint fails clearly more often than the others. Errors that come from a dependency behind
  // the endpoints raise the error ratio of all of them alike.
  bool fails_more_than_others(const Endpoint& endpoint) const;

 private:
  bool any_accepts_attempts() const;

  const EndpointTable& endpoints_;
  const LatencyTracker& latencies_;
  double last_accepting_at_ = 0;  // last tick in which some listed endpoint accepted attempts
};

}  // namespace puffinvane
