// The state machine of endpoint health and its effects, updates from endpoint lists, and the statistics that
// attempt outcomes add to.
#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <string_view>

#include "src/policy/backup_request_policy.h"

namespace puffinvane {

const std::array<BackupRequestPolicy::HealthTransition, 10> BackupRequestPolicy::kHealthTransitions = {{
    {Health::Removed, HealthEvent::Listed, Health::Healthy, &BackupRequestPolicy::end_outage},
    {Health::Healthy, HealthEvent::FailureDetected, Health::Ejected, &BackupRequestPolicy::eject},
    {Health::Healthy, HealthEvent::Unlisted, Health::Removed, &BackupRequestPolicy::unlist},
    {Health::Ejected, HealthEvent::EjectionEnded, Health::Recovering, &BackupRequestPolicy::begin_recovery},
    {Health::Ejected, HealthEvent::ResponseReceived, Health::Recovering,
     &BackupRequestPolicy::begin_recovery},
    {Health::Ejected, HealthEvent::Unlisted, Health::Removed, &BackupRequestPolicy::unlist},
    {Health::Recovering, HealthEvent::ResponseReceived, Health::Recovering,
     &BackupRequestPolicy::raise_recovery_limit},
    {Health::Recovering, HealthEvent::RecoveryCompleted, Health::Healthy, &BackupRequestPolicy::end_outage},
    {Health::Recovering, HealthEvent::FailureDetected, Health::Ejected, &BackupRequestPolicy::eject},
    {Health::Recovering, HealthEvent::Unlisted, Health::Removed, &BackupRequestPolicy::unlist},
}};

void BackupRequestPolicy::apply_event(Endpoint& endpoint, AttemptTarget& target, HealthEvent event) {
  Health before = target.ejection.health;
  apply_transition(kHealthTransitions, *this, target.ejection.health, event, endpoint, target);
  bool is_whole = &target == &endpoint.whole;
  if (is_whole && target.ejection.health != before) {
    endpoints_.on_health_changed(endpoint, before);
  }
}

void BackupRequestPolicy::apply_event_to_all(Endpoint& endpoint, HealthEvent event) {
  apply_event(endpoint, endpoint.whole, event);
  for (AttemptTarget& target : endpoint.by_class) {
    apply_event(endpoint, target, event);
  }
}

void BackupRequestPolicy::eject(Endpoint&, AttemptTarget& target) {
  OutlierEjection::begin_ejection(target.ejection, now_, random_);
  target.responses.clear_samples();
  host_.on_observation(PolicyObservation::EndpointEjected, 0);
  subset_is_stale_ = true;
  // Attempts in flight here are probably lost. They must not take capacity from the other endpoints until the
  // deadlines of their requests.
  for (const InFlightAttempt& attempt : target.in_flight) {
    limit_.release(requests_.at(attempt.request));
  }
}

void BackupRequestPolicy::begin_recovery(Endpoint&, AttemptTarget& target) {
  OutlierEjection::begin_recovery(target.ejection);
  target.responses.clear_samples();
}

void BackupRequestPolicy::raise_recovery_limit(Endpoint&, AttemptTarget& target) {
  OutlierEjection::raise_recovery_limit(target.ejection);
}

void BackupRequestPolicy::end_outage(Endpoint&, AttemptTarget& target) {
  OutlierEjection::end_outage(target.ejection, now_);
}

void BackupRequestPolicy::apply_list_entry(const ListEntry& entry) {
  Endpoint& endpoint = endpoints_.find_or_add(entry.endpoint);
  if (entry.state == ListedState::Removed) {
    on_endpoint_missing(endpoint);
    return;
  }
  if (entry.state == ListedState::Draining) {
    apply_event_to_all(endpoint, HealthEvent::Unlisted);
    return;
  }
  EndpointTable::Update update = endpoints_.update_from_list(endpoint, entry);
  if (update.weight_changed) {
    subset_.on_weight_changed();
  }
  if (update.restarted) {
    slow_start_.restart(endpoint.index);
    apply_event_to_all(endpoint, HealthEvent::Unlisted);
  }
  apply_event_to_all(endpoint, HealthEvent::Listed);
}

void BackupRequestPolicy::mark_missing_except(std::span<const ListEntry> entries) {
  std::set<std::string_view> listed;
  for (const ListEntry& entry : entries) {
    listed.insert(entry.endpoint);
  }
  for (const auto& [name, index] : endpoints_.by_name()) {
    if (!listed.contains(name)) {
      on_endpoint_missing(endpoints_[index]);
    }
  }
}

// Where only draining is binding, an endpoint that the list leaves out may still serve; it is removed only if
// it is ejected as well, that is, if attempts of this instance fail there too.
void BackupRequestPolicy::on_endpoint_missing(Endpoint& endpoint) {
  endpoint.is_missing = true;
  if (!deployment_.may_use_unlisted_endpoints || endpoint.health() == Health::Ejected) {
    apply_event_to_all(endpoint, HealthEvent::Unlisted);
  }
}

void BackupRequestPolicy::release_removed_endpoints() {
  EndpointTable::Release release = endpoints_.release_removed();
  for (EndpointIndex index : release.removed) {
    subset_.on_endpoint_removed(index);
  }
  for (EndpointIndex index : release.freed) {
    subset_.on_slot_freed(index);
    slow_start_.on_slot_freed(index);
  }
}

void BackupRequestPolicy::on_failure(Endpoint& endpoint, std::optional<std::size_t> class_index) {
  if (ejection_.may_eject(endpoint, class_index)) {
    AttemptTarget& target = class_index ? endpoint.by_class[*class_index] : endpoint.whole;
    apply_event(endpoint, target, HealthEvent::FailureDetected);
  }
}

void BackupRequestPolicy::record_outcome(Endpoint& endpoint, const RequestState& request,
                                         const Attempt& attempt, const AttemptEnd& end) {
  std::size_t class_index = request.class_index;
  ResponseObservation observation;
  observation.sample.completed_at_s = now_;
  observation.sample.latency_ratio = end.latency_s / latencies_.unloaded_latency_s(class_index);
  observation.sample.depth = attempt.depth;
  observation.sample.in_time = end.latency_s <= latencies_.hedge_threshold_s(class_index);
  observation.request_latency_s = now_ - request.attempts.front().sent_at;
  observation.sent_before_stall = attempt.sent_at < last_stall_end_;
  bool shows_latency = end.outcome == Outcome::Delivered || end.outcome == Outcome::TimedOut;
  if (deployment_.responses_report_load && !observation.sent_before_stall && shows_latency) {
    fleet_load_.record_latency(now_, end.latency_s / class_of(request).latency_objective_s);
  }
  switch (end.outcome) {
    case Outcome::Delivered: record_delivery(endpoint, request, observation); return;
    case Outcome::Failed: record_error(endpoint, request, observation); return;
    case Outcome::ConnectFailed:
    case Outcome::Broken: on_failure(endpoint, std::nullopt); return;
    // These outcomes are no evidence against the endpoint.
    case Outcome::Refused:
    case Outcome::TimedOut:
    case Outcome::Stale:
    case Outcome::Cancelled:
    case Outcome::NotSent: return;
  }
}

void BackupRequestPolicy::record_delivery(Endpoint& endpoint, const RequestState& request,
                                          const ResponseObservation& observation) {
  bool is_pending = request.phase != RequestPhase::Finished;
  std::array<AttemptTarget*, 2> targets = {&endpoint.whole, &endpoint.by_class[request.class_index]};
  for (AttemptTarget* target : targets) {
    target->responses.record_response_at(now_);
    if (!observation.sent_before_stall) {
      target->responses.record_sample(observation.sample);
    }
  }
  if (is_pending) {
    bool on_time = observation.request_latency_s <= class_of(request).latency_objective_s;
    auto result = on_time ? ServiceStatistics::Result::OnTime : ServiceStatistics::Result::NotOnTime;
    priority_.record_outcome(request, result, now_);
  }
  if (is_pending && !observation.sent_before_stall) {
    double threshold_s = latencies_.hedge_threshold_s(request.class_index);
    bool is_late = observation.request_latency_s > threshold_s;
    hedging_.record_lateness(is_late ? Hedging::Lateness::Late : Hedging::Lateness::InTime);
    latencies_.record_latency(request.class_index, observation.request_latency_s);
  }
  completions_.record_response();
  for (AttemptTarget* target : targets) {
    apply_event(endpoint, *target, HealthEvent::ResponseReceived);
    if (OutlierEjection::has_recovered(target->ejection)) {
      apply_event(endpoint, *target, HealthEvent::RecoveryCompleted);
    }
  }
}

void BackupRequestPolicy::record_error(Endpoint& endpoint, const RequestState& request,
                                       ResponseObservation observation) {
  observation.sample.failed = true;
  for (AttemptTarget* target : {&endpoint.whole, &endpoint.by_class[request.class_index]}) {
    target->responses.record_response_at(now_);
    target->responses.record_sample(observation.sample);
  }
  // If no tier is behind the endpoint, the endpoint itself caused the error, possibly only for this request
  // class.
  if (deployment_.last_tier) {
    on_failure(endpoint, request.class_index);
  }
  if (ejection_.fails_more_than_others(endpoint)) {
    on_failure(endpoint, std::nullopt);
  }
}

}  // namespace puffinvane
