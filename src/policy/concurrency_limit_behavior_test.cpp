// How many requests may be in flight at once, and what happens to requests beyond that number.
#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

#include "testing/policy/fake_host.h"
#include "testing/policy/steady_traffic.h"

namespace puffinvane::test {
namespace {

// Receives `requests` safe requests and returns how many attempts are sent at once.
std::size_t sent_at_once(FakeHost& host, int requests) {
  std::size_t sent_before = host.sent().size();
  host.receive_many(requests);
  return host.sent().size() - sent_before;
}

TEST(ConcurrencyLimit, RejectsRequestsWithoutCapacityPromptly) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(100, 0.05);

  std::size_t sent = sent_at_once(host, 100);

  EXPECT_LT(sent, 30U);
  EXPECT_GT(host.rejected().size(), 30U);  // requests that would not be sent before their queue timeout
}

TEST(ConcurrencyLimit, RejectsQueuedRequestsLongBeforeTheirDeadline) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(100, 0.05);
  host.receive_many(100);

  host.run_for(1);

  EXPECT_GT(host.rejected().size(), 70U);
}

// While rates are unknown, 8 requests per endpoint are admitted, twice the initial learned capacity of 4.
// They are divided among the instances: 4 endpoints and 2 instances make 16 requests.
TEST(ConcurrencyLimit, NewInstanceSendsItsShareOfTwiceTheInitialCapacity) {
  FakeHost host{deployment().as_instance(0, 2)};
  host.list_ready_endpoints(4);

  EXPECT_EQ(sent_at_once(host, 16), 16U);
  EXPECT_EQ(sent_at_once(host, 1), 0U);
}

TEST(ConcurrencyLimit, RequestsLostAtEjectedEndpointsTakeNoCapacity) {
  constexpr std::size_t kRequests = 8;
  FakeHost host{deployment()};
  host.list_ready_endpoints(4);
  host.serve_requests(100, 0.05);
  host.receive_many(kRequests, request_of_class("mutating"));
  std::vector<SentAttempt> attempts = host.sent_from(host.sent().size() - kRequests);
  host.run_for(0.05);
  for (const SentAttempt& attempt : attempts) {
    bool hangs = attempt.endpoint == "a0" || attempt.endpoint == "a1";
    if (!hangs) host.end_attempt(attempt, Outcome::Delivered);
  }
  host.run_for(1.5);
  double ejected_at_s = host.now_s();

  host.receive_many(4);

  EXPECT_GE(host.attempts_sent_to("a2", ejected_at_s) + host.attempts_sent_to("a3", ejected_at_s), 3);
}

// Serves requests of which the last `late_requests` are late, then lets `hanging_requests` unsafe requests
// hang for 1.1 s. Returns how many of 300 further requests are sent at once.
std::size_t sent_beside_hanging_requests(int hanging_requests, int late_requests) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(150, 0.05);
  host.serve_requests(late_requests, 0.09);
  host.receive_many(hanging_requests, request_of_class("mutating"));
  host.serve_requests(22, 0.05);  // the hedge threshold of the unsafe class is 0.5 s
  return sent_at_once(host, 300);
}

TEST(ConcurrencyLimit, HangingRequestsTakeNoCapacity) {
  std::size_t without_hanging = sent_beside_hanging_requests(0, 0);
  std::size_t beside_hanging = sent_beside_hanging_requests(6, 0);

  EXPECT_GE(without_hanging, 6U);
  EXPECT_GE(beside_hanging, without_hanging);
}

// Responses that were retried on a tier behind come late as well. A few late responses don't mean overload,
// so hanging requests still have to be released.
TEST(ConcurrencyLimit, HangingRequestsTakeNoCapacityThoughSomeResponsesAreLate) {
  std::size_t without_hanging = sent_beside_hanging_requests(0, 6);
  std::size_t beside_hanging = sent_beside_hanging_requests(6, 6);

  EXPECT_GE(beside_hanging, without_hanging);
}

// Serves single requests, then pairs of requests whose responses take `response_time_s`. Returns how many of
// 60 further requests are sent at once.
std::size_t sent_after_traffic_rise(double response_time_s) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(1);
  host.serve_requests(100, 0.05);
  for (int i = 0; i < 10; ++i) {
    std::size_t first = host.sent().size();
    host.receive_many(2);
    host.run_for(response_time_s);
    host.end_attempts_from(first, Outcome::Delivered);
  }
  return sent_at_once(host, 60);
}

TEST(ConcurrencyLimit, AdmitsMoreTrafficAtUnloadedLatency) { EXPECT_GE(sent_after_traffic_rise(0.05), 2U); }

TEST(ConcurrencyLimit, AdmitsNoMoreTrafficAtHigherLatency) {
  EXPECT_LE(sent_after_traffic_rise(0.3), sent_after_traffic_rise(0.05));
}

// The completion rate is 0 after idle hours, which says nothing about what the endpoints can serve.
TEST(ConcurrencyLimit, AdmitsAsMuchAfterIdleHoursAsAfterStart) {
  FakeHost host{deployment().with_latency_objective(0.5)};
  host.list_ready_endpoints(4);
  SteadyTraffic traffic(host);
  traffic.run_for(30, 100, usual_answer);
  traffic.stop_for(kIdleHoursS, usual_answer);
  std::size_t rejected_before = host.rejected().size();

  traffic.run_for(8, 100, usual_answer);

  EXPECT_EQ(host.rejected().size(), rejected_before);
  EXPECT_EQ(host.failed().size(), 0U);
}

}  // namespace
}  // namespace puffinvane::test
