// How many requests may be in flight at once, and what becomes of those beyond.
#include <gtest/gtest.h>

#include <cstddef>
#include <vector>

#include "testing/policy/fake_host.h"
#include "testing/policy/steady_traffic.h"

namespace puffinvane::test {
namespace {

// The attempts that are sent at once of `requests` safe requests.
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
  EXPECT_GT(host.rejected().size(), 30U);  // those that would only wait for their queue timeout
}

TEST(ConcurrencyLimit, RejectsQueuedRequestsLongBeforeTheirDeadline) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(100, 0.05);
  host.receive_many(100);

  host.run_for(1);

  EXPECT_GT(host.rejected().size(), 70U);
}

// Before any rate is known, an instance has twice the first capacity of 4 for its part of each endpoint.
TEST(ConcurrencyLimit, InstanceThatHasJustStartedSendsTwiceItsFirstCapacity) {
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

// What is sent at once of 300 requests, after six unsafe ones may have hung for 1.1 s; before,
// `late_requests` were late.
std::size_t sent_beside_hanging_requests(int hanging_requests, int late_requests) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(150, 0.05);
  host.serve_requests(late_requests, 0.09);
  host.receive_many(hanging_requests, request_of_class("mutating"));
  host.serve_requests(22, 0.05);  // an unsafe request counts as late after 0.5 s here
  return sent_at_once(host, 300);
}

TEST(ConcurrencyLimit, RequestsInFlightForVeryLongTakeNoCapacity) {
  std::size_t without_hanging = sent_beside_hanging_requests(0, 0);
  std::size_t beside_hanging = sent_beside_hanging_requests(6, 0);

  EXPECT_GE(without_hanging, 6U);
  EXPECT_GE(beside_hanging, without_hanging);
}

// Retries around an endpoint of a tier behind come late as well: a few late answers are no overload yet.
TEST(ConcurrencyLimit, RequestsInFlightForVeryLongTakeNoCapacityThoughSomeAnswersAreLate) {
  std::size_t without_hanging = sent_beside_hanging_requests(0, 6);
  std::size_t beside_hanging = sent_beside_hanging_requests(6, 6);

  EXPECT_GE(beside_hanging, without_hanging);
}

// What is sent at once of 60 requests after the traffic has risen and answers took `response_time_s`.
std::size_t sent_after_rise(double response_time_s) {
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

TEST(ConcurrencyLimit, AdmitsRisenTrafficAtCalmLatency) { EXPECT_GE(sent_after_rise(0.05), 2U); }

TEST(ConcurrencyLimit, AdmitsNoMoreAtRisenLatency) { EXPECT_LE(sent_after_rise(0.3), sent_after_rise(0.05)); }

// The completion rates of idle hours say nothing of what the endpoints can do.
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
