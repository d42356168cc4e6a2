// Rule 2: no request takes effect twice. RetrySafety decides whether a request may be attempted again or
// rejected, given that its earlier attempts may have run. No other module decides that. It keeps no state.
#pragma once

#include "src/policy/request_state.h"

namespace puffinvane {

class RetrySafety {
 public:
  explicit RetrySafety(const Deployment& deployment) : deployment_(deployment) {}

  // Whether `request` may be sent to `endpoint` now.
  bool may_attempt(const RequestState& request, const Endpoint& endpoint, double now) const;
  // The time by which the last byte of an attempt that starts now has to be at its endpoint: while all
  // endpoints that may have run `request` still recognize its key. Infinite if it may be sent at any time.
  double send_deadline(const RequestState& request) const;
  // Whether `request` may be sent to the same endpoint again. Only a keyed request that may have run may: the
  // group that holds its idempotency key may have no other endpoint.
  bool may_retry_same_endpoint(const RequestState& request) const;
  // Whether `request` may be rejected. A rejection tells the client that it can safely send the request
  // again.
  bool may_reject(const RequestState& request) const;
  // Whether at least two attempts of `request` may have run: the request itself may be what breaks endpoints.
  static bool is_possible_poison_request(const RequestState& request);

 private:
  static bool cannot_have_run(const RequestState& request);
  // Whether the attempt `earlier` permits another one to `endpoint`.
  bool allows_further_attempt(const RequestState& request, const Attempt& earlier, const Endpoint& endpoint,
                              double now) const;
  // Until when the endpoints that `earlier` was sent to recognize its idempotency key.
  double idempotency_window_end(const RequestClass& request_class, const Attempt& earlier) const;
  // Whether `endpoint` is in the group that `earlier` was sent to and the idempotency window is still open,
  // so that `endpoint` recognizes the key and does not run the request twice.
  bool is_in_idempotency_scope(const RequestClass& request_class, const Attempt& earlier,
                               const Endpoint& endpoint, double now) const;
  const RequestClass& class_of(const RequestState& request) const {
    return deployment_.request_classes[request.class_index];
  }

  const Deployment& deployment_;
};

}  // namespace puffinvane
