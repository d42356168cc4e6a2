#include "src/policy/retry_safety.h"

#include <algorithm>
#include <limits>

namespace puffinvane {

bool RetrySafety::may_attempt(const RequestState& request, const Endpoint& endpoint, double now) const {
  if (int(request.attempts.size()) >= deployment_.max_attempts) {
    return false;
  }
  return std::ranges::all_of(request.attempts, [&](const Attempt& earlier) {
    return allows_further_attempt(request, earlier, endpoint, now);
  });
}

bool RetrySafety::allows_further_attempt(const RequestState& request, const Attempt& earlier,
                                         const Endpoint& endpoint, double now) const {
  if (earlier.is_in_flight && !deployment_.parallel_attempts) {
    return false;
  }
  if (!earlier.is_in_flight && !earlier.may_have_run) {
    return true;
  }
  const RequestClass& request_class = class_of(request);
  switch (request_class.idempotency) {
    case Idempotency::Unsafe: return false;
    case Idempotency::Safe: return true;
    case Idempotency::Keyed: break;
  }
  return is_in_idempotency_scope(request_class, earlier, endpoint, now);
}

bool RetrySafety::is_in_idempotency_scope(const RequestClass& request_class, const Attempt& earlier,
                                          const Endpoint& endpoint, double now) const {
  // On a new connection, the attempt may be written as late as the connect timeout from now.
  if (now > idempotency_window_end(request_class, earlier) - deployment_.connect_timeout_s) {
    return false;
  }
  switch (request_class.idempotency_scope) {
    case IdempotencyScope::Zone: return earlier.zone == endpoint.zone;
    case IdempotencyScope::Cell: return earlier.cell == endpoint.cell;
    case IdempotencyScope::All: return true;
  }
  return false;
}

double RetrySafety::idempotency_window_end(const RequestClass& request_class, const Attempt& earlier) const {
  return earlier.sent_at + request_class.idempotency_window_s - 2 * deployment_.round_trip_s;
}

double RetrySafety::send_deadline(const RequestState& request) const {
  double deadline = std::numeric_limits<double>::infinity();
  const RequestClass& request_class = class_of(request);
  if (request_class.idempotency != Idempotency::Keyed) {
    return deadline;
  }
  for (const Attempt& earlier : request.attempts) {
    if (earlier.is_in_flight || earlier.may_have_run) {
      deadline = std::min(deadline, idempotency_window_end(request_class, earlier));
    }
  }
  return deadline;
}

bool RetrySafety::may_retry_same_endpoint(const RequestState& request) const {
  return class_of(request).idempotency == Idempotency::Keyed && !cannot_have_run(request);
}

bool RetrySafety::may_reject(const RequestState& request) const {
  const RequestClass& request_class = class_of(request);
  bool is_keyed_at_all_endpoints = request_class.idempotency == Idempotency::Keyed &&
                                   request_class.idempotency_scope == IdempotencyScope::All;
  return is_keyed_at_all_endpoints || request_class.idempotency == Idempotency::Safe ||
         cannot_have_run(request);
}

bool RetrySafety::is_possible_poison_request(const RequestState& request) {
  return std::ranges::count_if(request.attempts, &Attempt::may_have_run) > 1;
}

bool RetrySafety::cannot_have_run(const RequestState& request) {
  return std::ranges::none_of(
      request.attempts, [](const Attempt& attempt) { return attempt.is_in_flight || attempt.may_have_run; });
}

}  // namespace puffinvane
