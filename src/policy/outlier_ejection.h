// When an endpoint, or one request class at it, gets no attempts: ejection after failures or silence, an
// ejection time that doubles, and a recovery in which the number of attempts in flight grows. The transitions
// between these states are in BackupRequestPolicy's table; this module has their conditions and effects.
#pragma once

#include <cstddef>
#include <optional>

#include "src/policy/endpoint_table.h"
#include "src/policy/latency_tracker.h"
#include "src/policy/random.h"

namespace puffinvane {

class OutlierEjection {
 public:
  static constexpr double kFirstEjectionSeconds = 1;
  static constexpr double kLongestEjectionSeconds = 8;

  OutlierEjection(const EndpointTable& endpoints, const LatencyTracker& latencies)
      : endpoints_(endpoints), latencies_(latencies) {}

  // Whether a healthy target, or a recovering one under its limit.
  static bool accepts_attempts(const AttemptTarget& target) {
    if (target.ejection.health == Health::Recovering) {
      return int(target.in_flight.size()) < target.ejection.recovery_limit;
    }
    return target.ejection.health == Health::Healthy;
  }
  static bool has_recovered(const EjectionState& state);

  // Effects of the transitions.
  static void begin_ejection(EjectionState& state, double now, Random& random);
  static void begin_recovery(EjectionState& state);
  static void raise_recovery_limit(EjectionState& state);
  static void end_outage(EjectionState& state, double now);

  // Whether one more of the listed endpoints may be ejected: as a whole, or for one request class.
  bool may_eject(const Endpoint& endpoint, std::optional<std::size_t> class_index) const;
  // The endpoint whose ejection is to end now, though its time is not over: where no listed endpoint has
  // accepted attempts for a while, the one whose ejection would end first. To be called at every tick.
  std::optional<EndpointIndex> select_early_recovery(double now);
  // Whether attempts that were sent after its last response are long past their hedge threshold. Lateness
  // from before `awake_since` doesn't count: this process was stalled then.
  bool is_unresponsive(const AttemptTarget& target, double now, double awake_since) const;
  // Whether it fails clearly more often than the others. An error may come from behind the endpoint: then the
  // others show as many.
  bool fails_more_than_others(const Endpoint& endpoint) const;

 private:
  bool any_accepts_attempts() const;

  const EndpointTable& endpoints_;
  const LatencyTracker& latencies_;
  double last_accepting_at_ = 0;  // when a listed endpoint accepted attempts
};

}  // namespace puffinvane
