// The work of the tick timer: rates, priorities, discovery polls, the subset, the end of ejections, and
// requests whose queue timeout is over.
#include <algorithm>
#include <string>

#include "src/policy/backup_request_policy.h"
#include "src/policy/timer_token.h"

namespace puffinvane {

namespace {

constexpr double kStatisticsRetentionSeconds = 60;
constexpr double kReportIntervalSeconds = 10;
// An attempt that is in flight for more hedge thresholds than this no longer counts as load.
constexpr double kLostAttemptThresholds = 2;
// All tracked endpoints are maintained every so many ticks, and only those of the subset in between, to save
// CPU time.
constexpr std::uint64_t kAllTrackedIntervalTicks = 5;

bool is_healthy(const AttemptTarget& target) { return target.ejection.health == Health::Healthy; }

}  // namespace

void BackupRequestPolicy::start_tick_timer(double delay_s) {
  host_.schedule_timer(now_ + delay_s, kTickTimer);
}

void BackupRequestPolicy::on_tick() {
  start_tick_timer(CompletionRate::kTickSeconds);
  bool is_starting_up = now_ < started_at_ + ConcurrencyLimit::kStartupSeconds;
  fleet_load_.update(
      now_, is_starting_up ? FleetLoad::ReportedRates::Unsettled : FleetLoad::ReportedRates::Settled);
  if (deployment_.tier == 0 && prioritized_sequence_ != queue_.last_sequence()) {
    prioritized_sequence_ = queue_.last_sequence();
    priority_.update(now_);
  }
  if (refresh_.begin_poll_if_due(now_)) {
    host_.poll_endpoint_list();
  }
  refresh_.fail_overdue_poll(now_, random_);
  completions_.on_tick();
  if (now_ >= next_per_second_work_at_) {
    next_per_second_work_at_ = now_ + 1;
    release_unused_statistics();
    latencies_.record_means();
  }
  maintain_endpoints(reselect_subset_if_due());
  // Maintenance may have released capacity. Queued requests get it before those past their queue deadline are
  // rejected or failed.
  dispatch_queued_requests();
  reject_or_fail_expired_requests();
  dispatch_queued_requests();
  report_hedging();
}

// Logs how many hedges were sent and suppressed, the counts that the paper diagnoses hedging by. One instance
// of each tier is enough.
void BackupRequestPolicy::report_hedging() {
  if (now_ < next_report_at_ || deployment_.instance_index != 0) {
    return;
  }
  next_report_at_ = now_ + kReportIntervalSeconds;
  host_.log("tier " + std::to_string(deployment_.tier) + hedging_.counts_text());
}

// Releases the statistics of healthy endpoints outside the subset that got no attempt for
// kStatisticsRetentionSeconds.
void BackupRequestPolicy::release_unused_statistics() {
  std::vector<EndpointIndex> unused;
  for (EndpointIndex index : endpoints_.tracked()) {
    const Endpoint& endpoint = endpoints_[index];
    bool is_unused = subset_.own_weight(index) == 0 && endpoint.whole.in_flight.empty() &&
                     now_ > endpoint.last_used_at + kStatisticsRetentionSeconds;
    if (is_unused && is_healthy(endpoint.whole) && std::ranges::all_of(endpoint.by_class, is_healthy)) {
      unused.push_back(index);
    }
  }
  for (EndpointIndex index : unused) {
    endpoints_.untrack(index);
  }
}

BackupRequestPolicy::MaintenanceScope BackupRequestPolicy::reselect_subset_if_due() {
  ++tick_count_;
  bool all_tracked = tick_count_ % kAllTrackedIntervalTicks == 0 || deployment_.responses_report_load;
  bool is_due = all_tracked;
  if (!is_due) {
    is_due = subset_is_stale_;
    subset_is_stale_ = false;
  }
  if (is_due) {
    subset_.select_members(endpoints_, completions_.recent_per_s(), now_);
  }
  return all_tracked ? MaintenanceScope::AllTracked : MaintenanceScope::Subset;
}

void BackupRequestPolicy::maintain_endpoints(MaintenanceScope scope) {
  TickContext context{warm_attempts_per_tick(), hedging_.is_lateness_shared()};
  std::vector<EndpointIndex> maintained = subset_.members();
  if (scope == MaintenanceScope::AllTracked) {
    const std::set<EndpointIndex>& tracked = endpoints_.tracked();
    maintained.insert(maintained.end(), tracked.begin(), tracked.end());
    std::ranges::sort(maintained);
    maintained.erase(std::unique(maintained.begin(), maintained.end()), maintained.end());
  }
  for (EndpointIndex index : maintained) {
    maintain_endpoint(endpoints_[index], context);
  }
  if (std::optional<EndpointIndex> recovering = ejection_.select_early_recovery(now_)) {
    Endpoint& endpoint = endpoints_[*recovering];
    apply_event(endpoint, endpoint.whole, HealthEvent::EjectionEnded);
  }
}

// The attempts that a warm endpoint gets in a tick for each unit of weight, and at least one attempt a second
// divided among the instances that share an endpoint. Imported completion rates count fully only after one
// window, as the process that they come from may still be sending.
double BackupRequestPolicy::warm_attempts_per_tick() const {
  double warm_weight = 0;
  for (EndpointIndex index : subset_.members()) {
    const Endpoint& endpoint = endpoints_[index];
    if (is_healthy(endpoint.whole) && !slow_start_.is_starting(endpoint, now_)) {
      warm_weight += subset_.own_weight(index);
    }
  }
  double trusted_share = std::clamp((now_ - imported_at_) / CompletionRate::kWindowSeconds, 0.0, 1.0);
  double requests_per_s = completions_.recent_per_s() * trusted_share;
  double by_rate = warm_weight > 0 ? requests_per_s * CompletionRate::kTickSeconds / warm_weight : 0;
  return std::max(by_rate, CompletionRate::kTickSeconds / subset_.sharing_instances());
}

void BackupRequestPolicy::maintain_endpoint(Endpoint& endpoint, const TickContext& context) {
  if (slow_start_.is_starting(endpoint, now_)) {
    SlowStart::Refill refill{CompletionRate::kTickSeconds, context.warm_attempts,
                             subset_.own_weight(endpoint.index), subset_.sharing_instances()};
    slow_start_.refill(endpoint, refill, now_);
  }
  if (endpoint.is_missing && endpoint.health() == Health::Ejected) {
    apply_event_to_all(endpoint, HealthEvent::Unlisted);
  }
  if (now_ >= endpoint.whole.ejection.ejected_until) {
    apply_event(endpoint, endpoint.whole, HealthEvent::EjectionEnded);
  }
  if (!context.lateness_is_shared) {
    release_lost_requests(endpoint);
  }
  if (ejection_.is_unresponsive(endpoint.whole, now_, last_stall_end_)) {
    on_failure(endpoint, std::nullopt);
  }
  for (std::size_t class_index = 0; class_index < endpoint.by_class.size(); ++class_index) {
    maintain_class(endpoint, class_index, context);
  }
}

void BackupRequestPolicy::maintain_class(Endpoint& endpoint, std::size_t class_index,
                                         const TickContext& context) {
  AttemptTarget& target = endpoint.by_class[class_index];
  if (now_ >= target.ejection.ejected_until) {
    apply_event(endpoint, target, HealthEvent::EjectionEnded);
  }
  // Otherwise the tier behind the endpoint, or a cause common to all endpoints, may be at fault.
  bool may_be_at_fault = deployment_.last_tier && !context.lateness_is_shared;
  if (may_be_at_fault && ejection_.is_unresponsive(target, now_, last_stall_end_)) {
    on_failure(endpoint, class_index);
  }
}

// An attempt whose connection was lost unnoticed would otherwise take capacity until the deadline of its
// request.
void BackupRequestPolicy::release_lost_requests(const Endpoint& endpoint) {
  for (const InFlightAttempt& attempt : endpoint.whole.in_flight) {
    double threshold_s = latencies_.hedge_threshold_s(attempt.class_index);
    if (now_ - attempt.sent_at > kLostAttemptThresholds * threshold_s) {
      limit_.release(requests_.at(attempt.request));
    }
  }
}

}  // namespace puffinvane
