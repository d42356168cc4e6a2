// The state machine of requests and its effects, dispatch from the queue, and the choice between retry,
// reject and fail after a lost attempt.
#include <algorithm>
#include <array>

#include "src/policy/backup_request_policy.h"
#include "src/policy/timer_token.h"

namespace puffinvane {

const std::array<BackupRequestPolicy::RequestTransition, 13> BackupRequestPolicy::kRequestTransitions = {{
    {RequestPhase::Queued, RequestEvent::CapacityAvailable, RequestPhase::InFlight,
     &BackupRequestPolicy::send_queued_request},
    {RequestPhase::Queued, RequestEvent::Reject, RequestPhase::Finished, &BackupRequestPolicy::reject},
    {RequestPhase::Queued, RequestEvent::Fail, RequestPhase::Finished, &BackupRequestPolicy::fail},
    {RequestPhase::Queued, RequestEvent::Concluded, RequestPhase::Finished, &BackupRequestPolicy::finish},
    {RequestPhase::InFlight, RequestEvent::HedgeDue, RequestPhase::Hedged, &BackupRequestPolicy::send_hedge},
    {RequestPhase::InFlight, RequestEvent::Retry, RequestPhase::Queued, &BackupRequestPolicy::requeue},
    {RequestPhase::InFlight, RequestEvent::Reject, RequestPhase::Finished, &BackupRequestPolicy::reject},
    {RequestPhase::InFlight, RequestEvent::Fail, RequestPhase::Finished, &BackupRequestPolicy::fail},
    {RequestPhase::InFlight, RequestEvent::Concluded, RequestPhase::Finished, &BackupRequestPolicy::finish},
    {RequestPhase::Hedged, RequestEvent::OneAttemptLost, RequestPhase::InFlight,
     &BackupRequestPolicy::await_remaining_attempt},
    {RequestPhase::Hedged, RequestEvent::Reject, RequestPhase::Finished, &BackupRequestPolicy::reject},
    {RequestPhase::Hedged, RequestEvent::Fail, RequestPhase::Finished, &BackupRequestPolicy::fail},
    {RequestPhase::Hedged, RequestEvent::Concluded, RequestPhase::Finished, &BackupRequestPolicy::finish},
}};

void BackupRequestPolicy::apply_event(RequestState& request, RequestEvent event) {
  apply_transition(kRequestTransitions, *this, request.phase, event, request);
}

void BackupRequestPolicy::send_queued_request(RequestState& request) {
  auto target = selection_.select(request, EndpointSelection::Strategy::LowestDepth, now_, random_);
  send(request, *target);
}

void BackupRequestPolicy::send_hedge(RequestState& request) {
  hedging_.count(Hedging::Outcome::Sent);
  send(request, *request.hedge_target);
}

void BackupRequestPolicy::requeue(RequestState& request) {
  limit_.release(request);
  request.queue_deadline = std::max(request.queue_deadline, now_ + queue_timeout_s(request));
  request.queue_position = queue_.enqueue(request.id, RequestQueue::kRetryRank);
}

void BackupRequestPolicy::reject(RequestState& request) {
  constexpr double kRetryAfterShare = 0.25;  // of the latency objective
  double max_s = deployment_.max_retry_after_s;
  double retry_after_s =
      request.is_over_quota ? max_s : class_of(request).latency_objective_s * kRetryAfterShare;
  priority_.record_outcome(request, ServiceStatistics::Result::NotOnTime, now_);
  host_.reject_request(request.id, deployment_.sends_retry_after ? std::min(retry_after_s, max_s) : 0);
  finish(request);
}

void BackupRequestPolicy::fail(RequestState& request) {
  priority_.record_outcome(request, ServiceStatistics::Result::NotOnTime, now_);
  host_.fail_request(request.id);
  finish(request);
}

void BackupRequestPolicy::finish(RequestState& request) {
  limit_.release(request);
  queue_.remove(request.queue_position);
  if (!deployment_.may_cancel) {
    return;
  }
  for (std::size_t number = 0; number < request.attempts.size(); ++number) {
    if (request.attempts[number].is_in_flight) {
      host_.cancel_attempt(request.id, int(number));
    }
  }
}

void BackupRequestPolicy::send(RequestState& request, EndpointIndex target) {
  endpoints_.track(target);
  Endpoint& endpoint = endpoints_[target];
  endpoint.last_used_at = now_;
  int number = int(request.attempts.size());
  AttemptLimits limits;
  limits.send_deadline = retry_safety_.send_deadline(request);
  Attempt attempt;
  attempt.endpoint = target;
  attempt.depth = int(effective_depth(endpoint, now_)) + 1;
  attempt.sent_at = now_;
  attempt.zone = endpoint.zone;
  attempt.cell = endpoint.cell;
  request.attempts.push_back(std::move(attempt));
  if (slow_start_.is_starting(endpoint, now_)) {
    slow_start_.charge(target, request.work_s);
  }
  InFlightAttempt in_flight{now_, request.id, number, request.class_index};
  endpoint.whole.in_flight.insert(in_flight);
  endpoint.by_class[request.class_index].in_flight.insert(in_flight);
  limit_.acquire(request);
  host_.start_attempt(request.id, endpoint.name, limits);
  bool may_hedge = class_of(request).idempotency == Idempotency::Safe && deployment_.parallel_attempts;
  if (may_hedge && request.phase == RequestPhase::InFlight) {
    start_hedge_timer(request, latencies_.hedge_threshold_s(request.class_index));
  }
}

void BackupRequestPolicy::start_hedge_timer(const RequestState& request, double delay_s) {
  host_.schedule_request_timer(request.id, now_ + delay_s, hedge_timer(request.id));
}

void BackupRequestPolicy::consider_hedge(RequestState& request) {
  const Endpoint& late_endpoint = endpoints_[request.attempts.back().endpoint];
  Hedging::Decision decision = hedging_.decide(request, late_endpoint, now_, last_stall_end_);
  if (decision == Hedging::Decision::Recheck && hedging_.should_recheck(request, now_, last_stall_end_)) {
    start_hedge_timer(request, latencies_.hedge_threshold_s(request.class_index));
  }
  if (decision != Hedging::Decision::Allowed) {
    return;
  }
  request.hedge_target = selection_.select(request, EndpointSelection::Strategy::AtRandom, now_, random_);
  if (!request.hedge_target) {
    hedging_.count(Hedging::Outcome::NoEndpoint);
    return;
  }
  if (hedging_.accepts_target(endpoints_[*request.hedge_target], now_)) {
    apply_event(request, RequestEvent::HedgeDue);
  }
}

void BackupRequestPolicy::dispatch_queued_requests() {
  if (queue_.empty()) {
    return;
  }
  // Classes without an endpoint that accepts a first attempt: no endpoint is selected for their other
  // requests.
  std::vector<bool> class_is_blocked(latencies_.class_count(), false);
  for (auto next = queue_.begin(); next != queue_.end();) {
    RequestState& request = requests_.at(next->second);
    bool has_capacity = has_capacity_for(request);
    // A request of an isolated service has a limit of its own: requests behind it may still have capacity.
    if (!has_capacity && !priority_.isolated_service(request)) {
      break;
    }
    bool is_first = request.attempts.empty();
    bool is_blocked = is_first && class_is_blocked[request.class_index];
    bool is_sendable = has_capacity && !is_blocked &&
                       selection_.select(request, EndpointSelection::Strategy::LowestDepth, now_, random_);
    if (is_first && has_capacity && !is_sendable) {
      class_is_blocked[request.class_index] = true;
    }
    if (!is_sendable) {
      ++next;
      continue;
    }
    next = queue_.remove(next);
    apply_event(request, RequestEvent::CapacityAvailable);
  }
}

void BackupRequestPolicy::reject_or_fail_expired_requests() {
  for (auto next = queue_.begin(); next != queue_.end();) {
    auto found = requests_.find(next->second);
    ++next;  // applying the event below removes this entry from the queue
    RequestState& request = found->second;
    if (now_ >= request.queue_deadline) {
      apply_event(request, reject_or_fail_event(request));
      erase_if_complete(found);
    }
  }
}

BackupRequestPolicy::RequestEvent BackupRequestPolicy::event_after_loss(const RequestState& request) const {
  if (request.phase == RequestPhase::Hedged) {
    return RequestEvent::OneAttemptLost;
  }
  if (RetrySafety::is_possible_poison_request(request) || !selection_.has_retry_target(request, now_)) {
    return reject_or_fail_event(request);
  }
  return RequestEvent::Retry;
}

BackupRequestPolicy::RequestEvent BackupRequestPolicy::reject_or_fail_event(
    const RequestState& request) const {
  return retry_safety_.may_reject(request) ? RequestEvent::Reject : RequestEvent::Fail;
}

void BackupRequestPolicy::erase_if_complete(Requests::iterator request) {
  const RequestState& state = request->second;
  if (state.phase == RequestPhase::Finished && !has_attempt_in_flight(state)) {
    requests_.erase(request);
  }
}

bool BackupRequestPolicy::has_capacity_for(const RequestState& request) const {
  return limit_.has_capacity_for(request, now_, started_at_);
}

double BackupRequestPolicy::queue_timeout_s(const RequestState& request) const {
  double objective_s = class_of(request).latency_objective_s;
  return RequestQueue::timeout_s(objective_s, latencies_.unloaded_latency_s(request.class_index));
}

const RequestClass& BackupRequestPolicy::class_of(const RequestState& request) const {
  return deployment_.request_classes[request.class_index];
}

}  // namespace puffinvane
