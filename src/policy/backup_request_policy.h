// BackupRequestPolicy implements the paper "Backup requests and bounded queueing". It translates events from
// the host into calls on the modules that own the state, and holds two state machines: the phase of each
// request and the health of each endpoint. docs/design.md says which rules come from the paper, which deviate
// from it, and when each applies.
//
// The implementation is split by topic: backup_request_policy.cpp (events from the host),
// request_transitions.cpp (requests and their dispatch), endpoint_transitions.cpp (endpoint lists, health and
// attempt outcomes) and periodic_work.cpp (the tick timer).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "puffinvane/transition_table.h"
#include "src/policy/class_priority.h"
#include "src/policy/completion_rate.h"
#include "src/policy/concurrency_limit.h"
#include "src/policy/discovery_refresh.h"
#include "src/policy/endpoint_selection.h"
#include "src/policy/endpoint_table.h"
#include "src/policy/fleet_load.h"
#include "src/policy/hedging.h"
#include "src/policy/latency_tracker.h"
#include "src/policy/learned_state.h"
#include "src/policy/outlier_ejection.h"
#include "src/policy/random.h"
#include "src/policy/request_queue.h"
#include "src/policy/request_state.h"
#include "src/policy/retry_safety.h"
#include "src/policy/slow_start.h"
#include "src/policy/subset.h"

namespace puffinvane {

class BackupRequestPolicy final : public Policy {
 public:
  BackupRequestPolicy(double now, Deployment deployment, std::uint64_t seed, Host& host);

  void on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) override;
  void on_request(double now, const Request& request) override;
  void on_attempt_ended(double now, const AttemptEnd& end) override;
  void on_request_cancelled(double now, RequestId id) override;
  void on_timer(double now, std::uint64_t token) override;
  void on_shutdown(double now, double deadline) override;
  void on_instance_position(InstancePosition position) override;
  std::size_t avoided_endpoint_count() const override;
  LearnedState export_learned_state() const override;
  void import_learned_state(double now, const LearnedState& state, double share) override;

 private:
  enum class RequestEvent { CapacityAvailable, HedgeDue, Concluded, OneAttemptLost, Retry, Reject, Fail };
  enum class HealthEvent {
    FailureDetected,
    EjectionEnded,
    ResponseReceived,
    RecoveryCompleted,
    Listed,
    Unlisted
  };
  using Requests = std::map<RequestId, RequestState>;
  using RequestTransition = Transition<BackupRequestPolicy, RequestPhase, RequestEvent, RequestState>;
  using HealthTransition = Transition<BackupRequestPolicy, Health, HealthEvent, Endpoint, AttemptTarget>;

  static const std::array<RequestTransition, 13> kRequestTransitions;
  static const std::array<HealthTransition, 10> kHealthTransitions;

  // What the end of an attempt shows about its endpoint, computed once for each attempt.
  struct ResponseObservation {
    ResponseSample sample;
    double request_latency_s = 0;    // since the first attempt of the request was sent
    bool sent_before_stall = false;  // this process stalled meanwhile, so that the latency is unreliable
  };

  // Which endpoints a tick maintains. AllTracked includes those of the subset.
  enum class MaintenanceScope { Subset, AllTracked };
  // Values that are the same for all endpoints in one tick.
  struct TickContext {
    double warm_attempts = 0;         // attempts for each unit of weight of a warm endpoint
    bool lateness_is_shared = false;  // so many requests are late that no single endpoint is the cause
  };

  // ---- events from the host (backup_request_policy.cpp)
  void advance_time(double now);
  void restart_learning();
  RequestState accept(const Request& request);

  // ---- requests (request_transitions.cpp)
  void apply_event(RequestState& request, RequestEvent event);
  void send_queued_request(RequestState& request);
  void send_hedge(RequestState& request);
  void requeue(RequestState& request);
  void reject(RequestState& request);
  void fail(RequestState& request);
  void finish(RequestState& request);
  void await_remaining_attempt(RequestState&) {}
  void send(RequestState& request, EndpointIndex target);
  void start_hedge_timer(const RequestState& request, double delay_s);
  void consider_hedge(RequestState& request);
  void dispatch_queued_requests();
  void reject_or_fail_expired_requests();
  RequestEvent event_after_loss(const RequestState& request) const;
  RequestEvent reject_or_fail_event(const RequestState& request) const;
  void erase_if_complete(Requests::iterator request);
  bool has_capacity_for(const RequestState& request) const;
  double queue_timeout_s(const RequestState& request) const;
  const RequestClass& class_of(const RequestState& request) const;

  // ---- endpoints (endpoint_transitions.cpp)
  void apply_event(Endpoint& endpoint, AttemptTarget& target, HealthEvent event);
  void apply_event_to_all(Endpoint& endpoint, HealthEvent event);
  void eject(Endpoint& endpoint, AttemptTarget& target);
  void begin_recovery(Endpoint& endpoint, AttemptTarget& target);
  void raise_recovery_limit(Endpoint& endpoint, AttemptTarget& target);
  void end_outage(Endpoint& endpoint, AttemptTarget& target);
  void unlist(Endpoint&, AttemptTarget&) {}
  void apply_list_entry(const ListEntry& entry);
  void mark_missing_except(std::span<const ListEntry> entries);
  void on_endpoint_missing(Endpoint& endpoint);
  void release_removed_endpoints();
  void on_failure(Endpoint& endpoint, std::optional<std::size_t> class_index);
  void record_outcome(Endpoint& endpoint, const RequestState& request, const Attempt& attempt,
                      const AttemptEnd& end);
  void record_delivery(Endpoint& endpoint, const RequestState& request,
                       const ResponseObservation& observation);
  void record_error(Endpoint& endpoint, const RequestState& request, ResponseObservation observation);

  // ---- tick timer (periodic_work.cpp)
  void start_tick_timer(double delay_s);
  void on_tick();
  void report_hedging();
  void release_unused_statistics();
  MaintenanceScope reselect_subset_if_due();
  void maintain_endpoints(MaintenanceScope scope);
  void maintain_endpoint(Endpoint& endpoint, const TickContext& context);
  void maintain_class(Endpoint& endpoint, std::size_t class_index, const TickContext& context);
  void release_lost_requests(const Endpoint& endpoint);
  double warm_attempts_per_tick() const;

  Deployment deployment_;
  Host& host_;
  Random random_;
  double now_;
  double started_at_;             // when it began to collect rates and samples
  double last_stall_end_ = -1e9;  // when this process last continued after a stall
  double imported_at_ = -1e9;     // when completion rates were last imported
  double last_request_at_;
  double next_report_at_ = 0;  // of the hedging counts, in the log
  double next_per_second_work_at_ = 0;
  std::uint64_t tick_count_ = 0;
  std::uint64_t prioritized_sequence_ = 0;  // last sequence number of the queue at the last priority update
  bool subset_is_stale_ = false;            // an endpoint was ejected since the subset was selected

  EndpointTable endpoints_;
  LatencyTracker latencies_;
  OutlierEjection ejection_;
  SlowStart slow_start_;
  Subset subset_;
  RetrySafety retry_safety_;
  EndpointSelection selection_;
  Hedging hedging_;
  CompletionRate completions_;
  FleetLoad fleet_load_;
  ClassPriority priority_;
  ConcurrencyLimit limit_;
  RequestQueue queue_;
  DiscoveryRefresh refresh_;
  Requests requests_;
};

}  // namespace puffinvane
