// Sequences of events that several of the policy's tests start with.
#pragma once

#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {

// Serves `requests` requests; `slow_endpoint` answers after 0.3 s and the others after 0.05 s. Hedges are
// cancelled.
inline void serve_with_slow_endpoint(FakeHost& host, const std::string& slow_endpoint, int requests = 40) {
  constexpr double kSlowResponseS = 0.3;
  constexpr double kResponseS = 0.05;
  for (int i = 0; i < requests; ++i) {
    host.receive();
    std::size_t first = host.sent().size() - 1;
    host.run_for(host.sent()[first].endpoint == slow_endpoint ? kSlowResponseS : kResponseS);
    host.end_attempt(host.sent()[first], Outcome::Delivered);
    host.end_attempts_from(first + 1, Outcome::Cancelled);
  }
}

// Receives requests until one is sent to `endpoint`, and returns its attempt, which stays in flight. Those
// sent to other endpoints are answered after 0.05 s with `load` as the reported load.
inline SentAttempt send_attempt_to(FakeHost& host, const std::string& endpoint,
                                   const std::string& request_class = "read", const Load& load = {}) {
  constexpr int kMaxRequests = 400;
  constexpr double kResponseS = 0.05;
  for (int i = 0; i < kMaxRequests; ++i) {
    host.receive(request_of_class(request_class));
    SentAttempt attempt = host.last_sent();
    if (attempt.endpoint == endpoint) return attempt;
    host.run_for(kResponseS);
    host.end_attempt(attempt, Outcome::Delivered, load);
  }
  ADD_FAILURE() << "none of " << kMaxRequests << " requests was sent to " << endpoint;
  return {};
}

}  // namespace puffinvane::test
