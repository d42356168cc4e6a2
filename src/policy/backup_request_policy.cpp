#include "src/policy/backup_request_policy.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "src/policy/hashing.h"
#include "src/policy/timer_token.h"

namespace puffinvane {

namespace {

constexpr double kTickSeconds = CompletionRate::kTickSeconds;
constexpr double kStallSeconds = 0.35;  // a longer gap between two calls means that this process stalled
// After this time without a request the rates are unknown: it is the window of the recent completion rate.
constexpr double kRateHistoryResetSeconds = 8;
constexpr double kMaxWorkRatio = 4;

}  // namespace

BackupRequestPolicy::BackupRequestPolicy(double now, Deployment deployment, std::uint64_t seed, Host& host)
    : deployment_(std::move(deployment)),
      host_(host),
      random_(seed),
      now_(now),
      started_at_(now),
      last_request_at_(now),
      endpoints_(deployment_.request_classes.size()),
      latencies_(deployment_),
      ejection_(endpoints_, latencies_),
      slow_start_(deployment_),
      subset_(deployment_, slow_start_),
      retry_safety_(deployment_),
      selection_({deployment_, endpoints_, slow_start_, subset_, retry_safety_}),
      hedging_(deployment_, latencies_),
      fleet_load_(deployment_, endpoints_, latencies_),
      priority_(deployment_, latencies_),
      limit_({deployment_, endpoints_, latencies_, priority_, completions_, fleet_load_}),
      refresh_(deployment_, now,
               (deployment_.instance_index % deployment_.instance_count + random_.uniform()) /
                   deployment_.instance_count) {
  priority_.update(now);
  start_tick_timer(kTickSeconds * (0.5 + random_.uniform()));
}

void BackupRequestPolicy::on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) {
  advance_time(now);
  if (scope == ListScope::Failed) {
    refresh_.on_poll_failed(now_, random_);
    return;
  }
  if (scope != ListScope::Cached) {
    refresh_.on_list_received();
  }
  for (const ListEntry& entry : entries) {
    apply_list_entry(entry);
  }
  if (scope != ListScope::Changes) {
    mark_missing_except(entries);
  }
  release_removed_endpoints();
  subset_.update_ring(endpoints_);
  subset_.select_members(endpoints_, completions_.recent_per_s(), now_);
  dispatch_queued_requests();
}

void BackupRequestPolicy::on_request(double now, const Request& request) {
  advance_time(now);
  if (now - last_request_at_ > kRateHistoryResetSeconds) {
    restart_learning();
  }
  last_request_at_ = now;
  RequestState accepted = accept(request);
  // Rule 1: the client must have its response before the deadline, so the request is ended two round trips
  // earlier.
  double response_due_at = accepted.deadline - 2 * deployment_.round_trip_s;
  host_.schedule_request_timer(accepted.id, std::max(now, response_due_at), deadline_timer(accepted.id));
  // An attempt would be cancelled at once, and may have run by then.
  bool is_due = response_due_at <= now;
  // If more requests are queued ahead than can be sent before its queue deadline, waiting would only delay
  // its rejection. Where responses report load, requests are admitted at once or not at all.
  auto requests_ahead = double(queue_.count_ahead_of(accepted.queue_position));
  double sendable_requests = completions_.recent_per_s() * (accepted.queue_deadline - now);
  bool is_queueing_useless = deployment_.responses_report_load ||
                             (completions_.recent_per_s() > 0 && requests_ahead > sendable_requests);
  RequestState& pending = requests_[request.id] = std::move(accepted);
  bool no_endpoint_left = !endpoints_.slots().empty() && endpoints_.listed_count() == 0;
  if (is_due || no_endpoint_left || (is_queueing_useless && !has_capacity_for(pending))) {
    apply_event(pending, reject_or_fail_event(pending));
    requests_.erase(request.id);
  }
  dispatch_queued_requests();
}

RequestState BackupRequestPolicy::accept(const Request& request) {
  RequestState accepted;
  accepted.id = request.id;
  // A request of a class that is not configured belongs to the last class.
  while (accepted.class_index + 1 < latencies_.class_count() &&
         class_of(accepted).name != request.request_class) {
    ++accepted.class_index;
  }
  accepted.services = {accepted.class_index};
  fleet_load_.record_arrival(now_);
  if (std::optional<std::size_t> tenant = priority_.find_tenant(request.tenant)) {
    priority_.record_tenant_arrival(*tenant);
    accepted.services.push_back(*tenant);
    accepted.is_over_quota = priority_.draw_over_quota(*tenant, fleet_load_.requests_per_s(), random_);
  }
  if (accepted.is_over_quota) {
    host_.on_observation(PolicyObservation::OverQuota, request.id);
  }
  if (deployment_.has_key_affinity && !request.key.empty()) {
    accepted.key_hash = hash_name(kHashMultiplier, request.key);
  }
  double objective_s = class_of(accepted).latency_objective_s;
  accepted.work_ratio = std::clamp(4 * request.work_s / objective_s, 1.0, kMaxWorkRatio);
  accepted.work_s = request.work_s;
  if (request.work_s > 0) {
    slow_start_.record_work(request.work_s);
  }
  accepted.deadline = now_ + request.remaining_time_s;
  accepted.capacity_draw = random_.uniform();
  accepted.queue_deadline = now_ + std::min(queue_timeout_s(accepted), request.remaining_time_s / 2);
  priority_.record_class_arrival(accepted.class_index);
  double rank = priority_.rank_of(accepted);
  accepted.priority_percentile = priority_.priority_percentile(rank, random_);
  accepted.queue_position = queue_.enqueue(accepted.id, rank);
  return accepted;
}

void BackupRequestPolicy::on_attempt_ended(double now, const AttemptEnd& end) {
  advance_time(now);
  auto found = requests_.find(end.request);
  if (found == requests_.end() || end.attempt_number >= int(found->second.attempts.size())) {
    return;
  }
  RequestState& request = found->second;
  Attempt& attempt = request.attempts[std::size_t(end.attempt_number)];
  if (!attempt.is_in_flight) {
    return;
  }
  attempt.is_in_flight = false;
  Endpoint& endpoint = endpoints_[attempt.endpoint];
  InFlightAttempt in_flight{attempt.sent_at, request.id, end.attempt_number, request.class_index};
  endpoint.whole.in_flight.erase(in_flight);
  endpoint.by_class[request.class_index].in_flight.erase(in_flight);
  attempt.may_have_run = end.outcome != Outcome::Refused && end.outcome != Outcome::ConnectFailed &&
                         end.outcome != Outcome::NotSent;
  if (end.load.depth >= 0 || end.load.cpu_utilization >= 0) {
    endpoint.load = end.load;
    endpoint.load_reported_at = now;
  }
  record_outcome(endpoint, request, attempt, end);
  if (request.phase != RequestPhase::Finished) {
    apply_event(request, end.request_concluded ? RequestEvent::Concluded : event_after_loss(request));
  }
  erase_if_complete(found);
  dispatch_queued_requests();
}

void BackupRequestPolicy::on_request_cancelled(double now, RequestId id) {
  advance_time(now);
  auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  if (found->second.phase != RequestPhase::Finished) {
    apply_event(found->second, RequestEvent::Concluded);
  }
  erase_if_complete(found);
  dispatch_queued_requests();
}

void BackupRequestPolicy::on_timer(double now, std::uint64_t token) {
  advance_time(now);
  if (token == kTickTimer) {
    on_tick();
    return;
  }
  auto found = requests_.find(request_of(token));
  if (found == requests_.end()) {
    return;
  }
  RequestState& request = found->second;
  if (!is_deadline_timer(token)) {
    if (request.phase == RequestPhase::InFlight) {
      consider_hedge(request);
    }
    return;
  }
  apply_event(request, reject_or_fail_event(request));
  erase_if_complete(found);
  dispatch_queued_requests();
}

void BackupRequestPolicy::on_shutdown(double now, double deadline) {
  advance_time(now);
  for (auto& [id, request] : requests_) {
    if (request.deadline > deadline) {
      request.deadline = deadline;
      host_.schedule_request_timer(id, deadline - 2 * deployment_.round_trip_s, deadline_timer(id));
    }
  }
}

void BackupRequestPolicy::on_instance_position(InstancePosition position) {
  deployment_.instance_count = std::max(1, position.count);
  deployment_.instance_index = std::clamp(position.index, 0, deployment_.instance_count - 1);
  subset_.on_instance_shares_known();
  selection_.on_instance_shares_known();
}

std::size_t BackupRequestPolicy::avoided_endpoint_count() const {
  return std::size_t(endpoints_.count(Health::Ejected));
}

LearnedState BackupRequestPolicy::export_learned_state() const {
  return export_state({deployment_, endpoints_, latencies_, hedging_, completions_}, started_at_);
}

void BackupRequestPolicy::import_learned_state(double now, const LearnedState& state, double share) {
  advance_time(now);
  import_state({deployment_, endpoints_, latencies_, hedging_, completions_}, state, share, now);
  if (!state.completion_rates.empty()) {
    imported_at_ = now;
  }
  // The exporter started earlier, so this policy need not wait through the startup time of the concurrency
  // limit again.
  if (state.started_at_s > 0) {
    started_at_ = std::min(started_at_, state.started_at_s);
  }
}

void BackupRequestPolicy::advance_time(double now) {
  // After a stall of this process every attempt in flight looks late. Lateness is therefore not measured
  // across a stall.
  if (now - now_ > kStallSeconds) {
    last_stall_end_ = now;
  }
  now_ = now;
}

// After a long time without requests the completion rate is 0, and nearly all requests would be rejected.
// Admission therefore starts as in a new policy, and stale samples of endpoints are dropped.
void BackupRequestPolicy::restart_learning() {
  started_at_ = now_;
  completions_.clear();
  hedging_.clear_lateness();
  fleet_load_.clear_arrivals();
  for (EndpointIndex index : endpoints_.tracked()) {
    Endpoint& endpoint = endpoints_[index];
    endpoint.whole.responses.clear_stale_samples(now_);
    for (AttemptTarget& target : endpoint.by_class) {
      target.responses.clear_stale_samples(now_);
    }
  }
}

std::unique_ptr<Policy> make_policy(double now, Deployment deployment, std::uint64_t seed, Host& host) {
  return std::make_unique<BackupRequestPolicy>(now, std::move(deployment), seed, host);
}

}  // namespace puffinvane
