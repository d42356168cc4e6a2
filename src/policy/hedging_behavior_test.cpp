// When a late request gets a hedge, and which conditions suppress it.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "testing/policy/fake_host.h"
#include "testing/policy/scenarios.h"
#include "testing/policy/steady_traffic.h"

namespace puffinvane::test {
namespace {

TEST(Hedging, HedgesLateRequestAtSlowEndpoint) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  serve_with_slow_endpoint(host, "a0");
  SentAttempt late = send_attempt_to(host, "a0");

  host.run_for(1);

  EXPECT_EQ(host.attempt_count(late.request), 2);
  EXPECT_EQ(host.last_sent().endpoint, "a1");
}

TEST(Hedging, CancelsLosingAttempt) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  serve_with_slow_endpoint(host, "a0");
  SentAttempt late = send_attempt_to(host, "a0");
  host.run_for(1);

  host.end_attempt(host.last_sent(), Outcome::Delivered);

  ASSERT_FALSE(host.cancelled().empty());
  EXPECT_EQ(host.cancelled().back().request, late.request);
  EXPECT_EQ(host.cancelled().back().number, 0);
  host.run_for(1);
  EXPECT_EQ(host.attempt_count(late.request), 2);
}

class HedgingOfClass : public testing::TestWithParam<std::string> {};

TEST_P(HedgingOfClass, NeverHedgesRequestThatIsNotSafe) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(60, 0.05, GetParam());
  SentAttempt late = send_attempt_to(host, "a0", GetParam());

  host.run_for(1.5);

  EXPECT_EQ(host.attempt_count(late.request), 1);
}

INSTANTIATE_TEST_SUITE_P(Hedging, HedgingOfClass, testing::Values("mutating", "tagged"),
                         [](const testing::TestParamInfo<std::string>& info) { return info.param; });

// A request with much work is late at any endpoint. An endpoint that responds to later requests meanwhile
// isn't the cause.
TEST(Hedging, DoesNotHedgeHeavyRequestIfItsEndpointRespondsToOthers) {
  constexpr std::size_t kLightRequests = 3;
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(60, 0.05);
  SentAttempt heavy = send_attempt_to(host, "a0");

  for (int i = 0; i < 20; ++i) {
    std::size_t first = host.sent().size();
    host.receive_many(kLightRequests);
    host.run_for(0.04);
    for (std::size_t light = first; light < first + kLightRequests; ++light) {
      host.end_attempt(host.sent()[light], Outcome::Delivered);
    }
  }

  EXPECT_GT(host.attempts_sent_to("a0", heavy.sent_at_s + 0.01), 0);
  EXPECT_EQ(host.attempt_count(heavy.request), 1);
}

// The number of attempts of a late request at the slow "a0" while "a1", the only other endpoint, reports
// `load`.
int attempts_of_late_request_if_other_reports(const Load& load) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  serve_with_slow_endpoint(host, "a0");
  SentAttempt other = send_attempt_to(host, "a1");
  host.run_for(0.05);
  host.end_attempt(other, Outcome::Delivered, load);
  SentAttempt late = send_attempt_to(host, "a0", "read", load);
  host.run_for(0.9);
  return host.attempt_count(late.request);
}

TEST(Hedging, SendsHedgeToEndpointBelowDepthBound) {
  EXPECT_EQ(attempts_of_late_request_if_other_reports({.depth = 2}), 2);
}

TEST(Hedging, SendsNoHedgeToEndpointAboveDepthBound) {
  EXPECT_EQ(attempts_of_late_request_if_other_reports({.depth = 60}), 1);
}

// The number of attempts of a late request at "a0" if an attempt at "a1", the only other endpoint, ended with
// `outcome` before.
int attempts_of_late_request_after_other_ended(Outcome outcome) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(2);
  host.serve_requests(60, 0.05);
  host.end_attempt(send_attempt_to(host, "a1", "mutating"), outcome);
  SentAttempt late = send_attempt_to(host, "a0");
  host.run_for(0.5);
  return host.attempt_count(late.request);
}

TEST(Hedging, SendsHedgeToEndpointWithoutErrors) {
  EXPECT_EQ(attempts_of_late_request_after_other_ended(Outcome::Delivered), 2);
}

TEST(Hedging, SendsNoHedgeToEndpointWithErrors) {
  EXPECT_EQ(attempts_of_late_request_after_other_ended(Outcome::Failed), 1);
}

TEST(Hedging, DoesNotHedgeAfterStallOfOwnProcess) {
  FakeHost host{deployment().reporting_load()};
  host.list_ready_endpoints(4);
  host.serve_requests(60, 0.05);
  host.receive_many(4);
  std::size_t sent_before = host.sent().size();

  host.stall_for(1.2);
  host.run_for(0.04);

  EXPECT_EQ(host.sent().size(), sent_before);
}

// No request is hedged while all endpoints are late. After idle hours that lateness is outdated and must not
// suppress hedges any more.
TEST(Hedging, HedgesAfterIdleHoursThoughAllWereLateBefore) {
  auto late_response = [](const SentAttempt& attempt) {
    return EndpointAnswer{spread_response_time_s(attempt, 0.9)};
  };
  FakeHost host{deployment().with_latency_objective(0.5)};
  host.list_ready_endpoints(4);
  SteadyTraffic traffic(host);
  traffic.run_for(30, 20, usual_answer);
  traffic.run_for(3, 20, late_response);
  traffic.stop_for(kIdleHoursS, late_response);
  std::size_t sent_before = host.sent().size();

  host.receive(request_of_class("read").due_in(6));
  host.run_for(5);

  ASSERT_EQ(host.sent().size(), sent_before + 2);
  EXPECT_NE(host.sent()[sent_before].endpoint, host.sent()[sent_before + 1].endpoint);
}

}  // namespace
}  // namespace puffinvane::test
