// Rule 2, no effect twice: the one place that says what may still be done with a request, from what its
// earlier attempts may have done. It keeps no state.
#pragma once

#include "src/policy/request_state.h"

namespace puffinvane {

class RetrySafety {
 public:
  explicit RetrySafety(const Deployment& deployment) : deployment_(deployment) {}

  // Whether `request` may be sent to `endpoint` now.
  bool may_attempt(const RequestState& request, const Endpoint& endpoint, double now) const;
  // Whether an endpoint that it met may get it again: a keyed request that may have run, as its group may
  // have no other endpoint.
  bool may_retry_same_endpoint(const RequestState& request) const;
  // Whether it may be rejected, which promises that sending it again does no harm.
  bool may_reject(const RequestState& request) const;
  // Whether two attempts were lost that may have run: the request may be what breaks its endpoints.
  static bool is_possible_poison_request(const RequestState& request);

 private:
  static bool cannot_have_run(const RequestState& request);
  bool allows_further_attempt(const RequestState& request, const Attempt& earlier, const Endpoint& endpoint,
                              double now) const;
  bool is_in_idempotency_scope(const RequestClass& request_class, const Attempt& earlier,
                               const Endpoint& endpoint, double now) const;
  const RequestClass& class_of(const RequestState& request) const {
    return deployment_.request_classes[request.class_index];
  }

  const Deployment& deployment_;
};

}  // namespace puffinvane
