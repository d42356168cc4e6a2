// Which endpoints, and which request classes at an endpoint, are ejected, and how they recover.
#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <set>
#include <string>

#include "testing/policy/fake_host.h"
#include "testing/policy/scenarios.h"
#include "testing/policy/steady_traffic.h"

namespace puffinvane::test {
namespace {

constexpr std::array kAllEndpoints = {"a0", "a1", "a2", "a3"};

// Serves `count` requests, with retries. All endpoints except "a0" fail requests of the class "read".
void serve_where_most_fail_reads(FakeHost& host, const std::string& request_class, int count) {
  for (int i = 0; i < count; ++i) {
    RequestId request = host.receive(request_of_class(request_class));
    host.run_for(0.02);
    while (!host.is_concluded(request)) {
      bool fails = request_class == "read" && host.last_sent().endpoint != "a0";
      host.end_attempt(host.last_sent(), fails ? Outcome::Failed : Outcome::Delivered);
    }
  }
}

TEST(OutlierEjection, EjectsEndpointForRequestClassThatItFails) {
  FakeHost host{deployment().reporting_load()};
  host.list_ready_endpoints(4);
  for (int i = 0; i < 10; ++i) {
    serve_where_most_fail_reads(host, "read", 1);
    serve_where_most_fail_reads(host, "mutating", 1);
  }
  std::size_t sent_before = host.sent().size();
  double failed_at_s = host.now_s();

  serve_where_most_fail_reads(host, "read", 8);

  EXPECT_GE(host.attempts_sent_to("a0", failed_at_s), 7);
  EXPECT_LE(host.sent().size() - sent_before, 12U);
}

TEST(OutlierEjection, KeepsEndpointForRequestClassesThatItDoesNotFail) {
  FakeHost host{deployment().reporting_load()};
  host.list_ready_endpoints(4);
  for (int i = 0; i < 10; ++i) {
    serve_where_most_fail_reads(host, "read", 1);
    serve_where_most_fail_reads(host, "mutating", 1);
  }
  serve_where_most_fail_reads(host, "read", 8);
  double failed_at_s = host.now_s();

  serve_where_most_fail_reads(host, "mutating", 30);

  EXPECT_GT(host.attempts_sent_to("a1", failed_at_s), 2);
  EXPECT_GT(host.attempts_sent_to("a2", failed_at_s), 2);
  EXPECT_GT(host.attempts_sent_to("a3", failed_at_s), 2);
}

// After a stall of this process all attempts in flight look late, though their endpoints may have answered in
// time.
TEST(OutlierEjection, EjectsNoEndpointAfterStallOfOwnProcess) {
  FakeHost host{deployment().reporting_load()};
  host.list_ready_endpoints(4);
  host.serve_requests(60, 0.05);
  std::size_t first = host.sent().size();
  host.receive_many(4);
  host.stall_for(1.2);
  host.run_for(0.04);
  for (std::size_t i = first; i < first + 4; ++i) host.end_attempt(host.sent()[i], Outcome::Delivered);
  double stalled_at_s = host.now_s();

  host.receive_many(8);

  for (const char* name : kAllEndpoints) EXPECT_EQ(host.attempts_sent_to(name, stalled_at_s), 2) << name;
}

// The endpoint "a0" hangs and is ejected; recovery begins once it answers the attempt `hung_`.
class RecoveryRamp : public testing::Test {
 protected:
  RecoveryRamp() {
    host_.list_ready_endpoints(4);
    host_.serve_requests(60, 0.05);
    hung_ = send_attempt_to(host_, "a0", "mutating");
    host_.serve_requests(20, 0.05);
    ejected_at_s_ = host_.now_s();  // NOLINT(cppcoreguidelines-prefer-member-initializer): after requests
    host_.serve_requests(4, 0.05);
  }

  FakeHost host_{deployment().reporting_load()};
  SentAttempt hung_;
  double ejected_at_s_ = 0;
};

TEST_F(RecoveryRamp, UnresponsiveEndpointIsEjected) {
  EXPECT_EQ(host_.attempts_sent_to("a0", ejected_at_s_), 0);
}

TEST_F(RecoveryRamp, DoublesAttemptsInFlightWithEachDelivery) {
  constexpr std::size_t kRequests = 20;
  host_.end_attempt(hung_, Outcome::Delivered);

  for (int allowed : {1, 2, 4}) {
    std::size_t first = host_.sent().size();
    double round_began_s = host_.now_s();
    host_.receive_many(kRequests);

    EXPECT_EQ(host_.attempts_sent_to("a0", round_began_s), allowed);

    // The recovering endpoint delivers one attempt; its other attempts are cancelled.
    host_.run_for(0.05);
    bool has_delivered = false;
    for (std::size_t i = first; i < first + kRequests; ++i) {
      bool is_recovering = host_.sent()[i].endpoint == "a0";
      if (!is_recovering || !has_delivered) host_.end_attempt(host_.sent()[i], Outcome::Delivered);
      has_delivered = has_delivered || is_recovering;
    }
    for (std::size_t i = first; i < first + kRequests; ++i) {
      if (host_.sent()[i].endpoint == "a0") host_.end_attempt(host_.sent()[i], Outcome::Cancelled);
    }
  }
}

// Serves requests for `seconds`, with retries. Attempts to "a0" end with `outcome_at_a0`, all others are
// delivered. Returns the number of attempts to "a0".
int serve_and_count_attempts_to_a0(FakeHost& host, double seconds, Outcome outcome_at_a0) {
  constexpr int kMaxAttempts = 4;
  int attempts_to_a0 = 0;
  double end_s = host.now_s() + seconds;
  while (host.now_s() < end_s) {
    RequestId request = host.receive();
    for (int i = 0; i < kMaxAttempts && !host.is_concluded(request); ++i) {
      SentAttempt attempt = host.last_sent();
      bool is_a0 = attempt.endpoint == "a0";
      attempts_to_a0 += is_a0 ? 1 : 0;
      host.run_for(0.02);
      host.end_attempt(attempt, is_a0 ? outcome_at_a0 : Outcome::Delivered);
    }
    host.run_for(0.05);
  }
  return attempts_to_a0;
}

// After long outages the first ejection lasts longer, so fewer attempts are lost in the next outage.
TEST(OutlierEjection, EjectsForLongerAfterLongOutages) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(4);
  serve_and_count_attempts_to_a0(host, 5, Outcome::Delivered);

  std::array<int, 4> attempts_in_outage{};
  for (int& attempts : attempts_in_outage) {
    attempts = serve_and_count_attempts_to_a0(host, 3, Outcome::ConnectFailed);
    serve_and_count_attempts_to_a0(host, 5, Outcome::ConnectFailed);
    serve_and_count_attempts_to_a0(host, 12, Outcome::Delivered);
  }

  EXPECT_GE(attempts_in_outage[0], 2);
  EXPECT_EQ(attempts_in_outage[3], 1);
}

TEST(OutlierEjection, EjectsNoEndpointForIdleConnectionsFoundClosed) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(4);
  host.serve_requests(40, 0.05);
  for (int i = 0; i < 40; ++i) {
    RequestId request = host.receive();
    host.end_attempt(host.last_sent(), Outcome::Stale);
    ASSERT_EQ(host.attempt_count(request), 2);
    host.run_for(0.05);
    host.end_attempt(host.last_sent(), Outcome::Delivered);
  }
  std::size_t sent_before = host.sent().size();

  host.serve_requests(40, 0.05);

  EXPECT_EQ(host.endpoints_used_from(sent_before).size(), 4U);
}

TEST(OutlierEjection, NeverEjectsMoreThanHalfOfEndpoints) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(4);

  for (int i = 0; i < 40; ++i) {
    host.receive(request_of_class("mutating").due_in(1));
    bool was_sent = !host.sent().empty() && host.last_sent().sent_at_s == host.now_s();
    if (was_sent) host.end_attempt(host.last_sent(), Outcome::Broken);
    host.run_for(0.02);
  }

  std::set<std::string> used_lately;
  for (const SentAttempt& attempt : host.sent()) {
    if (attempt.sent_at_s > host.now_s() - 0.5) used_lately.insert(attempt.endpoint);
  }
  EXPECT_GE(used_lately.size(), 2U);
}

// Errors that all endpoints return are caused by a shared dependency, not by the endpoints.
TEST(OutlierEjection, EjectsNoEndpointForErrorsOfAllEndpoints) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(4);
  for (int i = 0; i < 80; ++i) {
    host.receive(request_of_class("mutating"));
    host.run_for(0.02);
    host.end_attempt(host.last_sent(), i % 2 == 1 ? Outcome::Failed : Outcome::Delivered);
  }
  double failed_at_s = host.now_s();

  host.receive_many(4);

  for (const char* name : kAllEndpoints) EXPECT_EQ(host.attempts_sent_to(name, failed_at_s), 1) << name;
}

// Serves 30 s of traffic, then none for `idle_s`, then 8 s of traffic while one of four endpoints hangs.
// Returns the number of requests rejected or failed in those 8 s.
std::size_t requests_lost_to_hanging_endpoint(double idle_s) {
  auto answer = [](const SentAttempt& attempt) {
    return attempt.endpoint == "a0" ? EndpointAnswer{0.9, Outcome::TimedOut} : usual_answer(attempt);
  };
  FakeHost host{deployment().with_latency_objective(0.5)};
  host.list_ready_endpoints(4);
  SteadyTraffic traffic(host);
  traffic.run_for(30, 100, usual_answer);
  if (idle_s > 0) traffic.stop_for(idle_s, usual_answer);
  std::size_t lost_before = host.rejected().size() + host.failed().size();
  traffic.run_for(8, 100, answer);
  return host.rejected().size() + host.failed().size() - lost_before;
}

TEST(OutlierEjection, HangingEndpointCostsNoMoreAfterHoursWithoutRequests) {
  constexpr std::size_t kTolerance = 8;

  std::size_t lost_after_traffic = requests_lost_to_hanging_endpoint(0);
  std::size_t lost_after_idle_hours = requests_lost_to_hanging_endpoint(kIdleHoursS);

  EXPECT_LE(lost_after_idle_hours, lost_after_traffic + kTolerance);
}

// The acceptance bound: an instance that rejects all its requests must still send an attempt within this
// time, as it could not notice a recovery of the endpoints otherwise.
constexpr double kMaxSecondsWithoutAttempt = 4;

// Returns the longest time without an attempt in 40 s of steady traffic in which every attempt is answered by
// `answer`.
double longest_time_without_attempt(const EndpointAnswer& answer, int endpoint_count, double requests_per_s) {
  FakeHost host{deployment().with_latency_objective(0.5)};
  host.list_ready_endpoints(endpoint_count);
  SteadyTraffic traffic(host);
  traffic.run_for(30, requests_per_s, usual_answer);
  double last_attempt_s = host.now_s();
  double failing_until_s = host.now_s() + 40;
  std::size_t first = host.sent().size();
  traffic.run_for(40, requests_per_s, [&](const SentAttempt&) { return answer; });
  double longest_s = 0;
  for (const SentAttempt& attempt : host.sent_from(first)) {
    longest_s = std::max(longest_s, attempt.sent_at_s - last_attempt_s);
    last_attempt_s = attempt.sent_at_s;
  }
  return std::max(longest_s, failing_until_s - last_attempt_s);
}

TEST(OutlierEjection, SendsAttemptsWhileEveryEndpointFails) {
  constexpr EndpointAnswer kHangs{1, Outcome::TimedOut};
  constexpr EndpointAnswer kRefuses{0.01, Outcome::ConnectFailed};
  constexpr EndpointAnswer kBreaks{0.01, Outcome::Broken};

  for (const EndpointAnswer& answer : {kHangs, kRefuses, kBreaks}) {
    for (int endpoint_count : {1, 2, 4, 12}) {
      for (double requests_per_s : {10.0, 30.0, 100.0}) {
        EXPECT_LT(longest_time_without_attempt(answer, endpoint_count, requests_per_s),
                  kMaxSecondsWithoutAttempt)
            << "outcome " << static_cast<int>(answer.outcome) << ", " << endpoint_count << " endpoints, "
            << requests_per_s << " requests a second";
      }
    }
  }
}

// Every endpoint returns errors to requests of one class only, and no tier behind the endpoints could have
// caused them.
TEST(OutlierEjection, SendsAttemptsOfARequestClassWhileEveryEndpointFailsIt) {
  constexpr double kFailingS = 40;
  constexpr double kPauseS = 0.02;
  for (int endpoint_count : {2, 4, 12}) {
    FakeHost host{deployment().reporting_load()};
    host.list_ready_endpoints(endpoint_count);
    host.serve_requests(60, 0.05);
    double last_read_s = host.now_s();
    double longest_s = 0;
    for (double end_s = host.now_s() + kFailingS; host.now_s() < end_s;) {
      for (const char* request_class : {"read", "mutating"}) {
        std::size_t first = host.sent().size();
        host.receive(request_of_class(request_class));
        host.run_for(kPauseS);
        bool is_read = std::string(request_class) == "read";
        host.end_attempts_from(first, is_read ? Outcome::Failed : Outcome::Delivered);
        if (is_read && host.sent().size() > first) {
          longest_s = std::max(longest_s, host.now_s() - last_read_s);
          last_read_s = host.now_s();
        }
      }
    }
    longest_s = std::max(longest_s, host.now_s() - last_read_s);

    EXPECT_LT(longest_s, kMaxSecondsWithoutAttempt) << endpoint_count << " endpoints";
  }
}

}  // namespace
}  // namespace puffinvane::test
