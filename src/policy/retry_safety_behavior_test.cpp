// Rule 2: a request that may have run is attempted again only where that cannot take effect twice. The tests
// check what follows the end of an attempt, for each idempotency.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

#include "testing/policy/fake_host.h"

namespace puffinvane::test {
namespace {

const std::vector<ListEntry> kOneEndpointPerZone = {endpoint("near"),
                                                    endpoint("far").in_zone("there").in_cell(2)};

struct LostAttempt {
  std::string request_class;
  Outcome outcome;
  std::string name;  // of the test case
};

std::string name_of(const testing::TestParamInfo<LostAttempt>& info) { return info.param.name; }

// A request whose first attempt ended with the outcome of the parameter 0.01 s ago.
class AfterLostAttempt : public testing::TestWithParam<LostAttempt> {
 protected:
  AfterLostAttempt() {
    host_.list_endpoints(kOneEndpointPerZone);
    request_ = host_.receive(request_of_class(GetParam().request_class));
    host_.run_for(0.1);
    host_.end_attempt(host_.sent().at(0), GetParam().outcome);
    host_.run_for(0.01);
  }

  FakeHost host_{deployment()};
  RequestId request_ = 0;
};

using RetrySafetyRetry = AfterLostAttempt;

TEST_P(RetrySafetyRetry, RetriesAtOtherEndpoint) {
  ASSERT_EQ(host_.attempt_count(request_), 2);
  EXPECT_NE(host_.sent()[1].endpoint, host_.sent()[0].endpoint);
  EXPECT_EQ(host_.rejected(), std::vector<RequestId>{});
}

INSTANTIATE_TEST_SUITE_P(RetrySafety, RetrySafetyRetry,
                         testing::Values(LostAttempt{"read", Outcome::Failed, "SafeFailed"},
                                         LostAttempt{"read", Outcome::Refused, "SafeRefused"},
                                         LostAttempt{"read", Outcome::Stale, "SafeStale"},
                                         LostAttempt{"mutating", Outcome::Refused, "UnsafeRefused"},
                                         LostAttempt{"mutating", Outcome::ConnectFailed,
                                                     "UnsafeConnectFailed"},
                                         LostAttempt{"mutating", Outcome::NotSent, "UnsafeNotSent"},
                                         LostAttempt{"tagged", Outcome::Refused, "KeyedInZoneRefused"},
                                         LostAttempt{"tagged-all", Outcome::Failed, "KeyedEverywhereFailed"}),
                         name_of);

using RetrySafetyFail = AfterLostAttempt;

TEST_P(RetrySafetyFail, FailsRequestWithoutRetry) {
  EXPECT_EQ(host_.attempt_count(request_), 1);
  EXPECT_EQ(host_.failed(), std::vector<RequestId>{request_});
  EXPECT_EQ(host_.rejected(), std::vector<RequestId>{});
}

INSTANTIATE_TEST_SUITE_P(RetrySafety, RetrySafetyFail,
                         testing::Values(LostAttempt{"mutating", Outcome::Failed, "UnsafeFailed"},
                                         LostAttempt{"mutating", Outcome::TimedOut, "UnsafeTimedOut"},
                                         LostAttempt{"mutating", Outcome::Broken, "UnsafeBroken"},
                                         LostAttempt{"mutating", Outcome::Stale, "UnsafeStale"},
                                         LostAttempt{"tagged", Outcome::Broken, "KeyedInZoneBroken"},
                                         LostAttempt{"tagged-cell", Outcome::Broken, "KeyedInCellBroken"}),
                         name_of);

// Two zones of two endpoints each. Keyed requests lose their first attempt.
class RetrySafetyInZones : public testing::Test {
 protected:
  RetrySafetyInZones() {
    host_.list_endpoints({endpoint("a"), endpoint("b"), endpoint("c").in_zone("there").in_cell(2),
                          endpoint("d").in_zone("there").in_cell(2)});
  }

  static std::string zone_of(const SentAttempt& attempt) {
    return attempt.endpoint == "a" || attempt.endpoint == "b" ? "here" : "there";
  }

  void expect_retries_within_zone() {
    for (int i = 0; i < 20; ++i) {
      RequestId request = host_.receive(request_of_class("tagged"));
      SentAttempt first = host_.last_sent();
      host_.run_for(0.1);
      host_.end_attempt(first, Outcome::TimedOut);

      ASSERT_EQ(host_.attempt_count(request), 2);
      EXPECT_EQ(zone_of(host_.last_sent()), zone_of(first));
      host_.end_attempt(host_.last_sent(), Outcome::Delivered);
    }
  }

  FakeHost host_{deployment()};
};

TEST_F(RetrySafetyInZones, RetriesKeyedRequestWithinItsZone) { expect_retries_within_zone(); }

TEST_F(RetrySafetyInZones, FailsKeyedRequestAfterItsIdempotencyWindow) {
  expect_retries_within_zone();
  RequestId expired = host_.receive(request_of_class("tagged"));
  host_.run_for(1.2);  // the idempotency window is 1 s

  host_.end_attempt(host_.last_sent(), Outcome::TimedOut);

  EXPECT_EQ(host_.attempt_count(expired), 1);
  ASSERT_FALSE(host_.failed().empty());
  EXPECT_EQ(host_.failed().back(), expired);
}

TEST(RetrySafety, RetriesKeyedRequestAtOnlyEndpointOfItsZone) {
  FakeHost host{deployment()};
  host.list_endpoints(kOneEndpointPerZone);
  RequestId request = host.receive(request_of_class("tagged"));
  host.run_for(0.1);

  host.end_attempt(host.sent().at(0), Outcome::Failed);

  ASSERT_EQ(host.attempt_count(request), 2);
  EXPECT_EQ(host.sent()[1].endpoint, host.sent()[0].endpoint);
}

// The refusal of the second attempt doesn't show that the first one did not run.
TEST(RetrySafety, RetriesKeyedRequestInItsZoneAfterItsRetryIsRefused) {
  FakeHost host{deployment()};
  host.list_endpoints(kOneEndpointPerZone);
  RequestId request = host.receive(request_of_class("tagged"));
  host.run_for(0.1);
  host.end_attempt(host.sent().at(0), Outcome::Failed);

  host.end_attempt(host.sent().at(1), Outcome::Refused);

  EXPECT_EQ(host.attempt_count(request), 3);
}

TEST(RetrySafety, PrefersOtherEndpointOfZoneForRetryOfKeyedRequest) {
  FakeHost host{deployment()};
  host.list_endpoints(kOneEndpointPerZone);
  host.receive(request_of_class("tagged"));
  host.run_for(0.1);
  host.end_attempt(host.sent().at(0), Outcome::Failed);
  host.end_attempt(host.sent().at(1), Outcome::Refused);
  host.list_endpoints({endpoint("a"), endpoint("b")});

  for (int i = 0; i < 4; ++i) {
    host.receive(request_of_class("tagged"));
    SentAttempt first = host.last_sent();
    host.end_attempt(first, Outcome::Failed);

    EXPECT_EQ(host.last_sent().number, 1);
    EXPECT_NE(host.last_sent().endpoint, first.endpoint);
    host.run_for(0.05);
    host.end_attempt(host.last_sent(), Outcome::Delivered);
    host.serve_requests(8, 0.05);
  }
}

TEST(RetrySafety, RejectsKeyedRequestThatMayHaveRunOnlyIfItsGroupIsAllEndpoints) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(1);
  RequestId keyed_everywhere = host.receive(request_of_class("tagged-all"));
  RequestId keyed_in_zone = host.receive(request_of_class("tagged"));
  host.run_for(0.1);

  for (const SentAttempt& attempt : host.sent_from(0)) host.end_attempt(attempt, Outcome::Broken);
  host.run_for(5);

  EXPECT_EQ(host.rejected(), std::vector<RequestId>{keyed_everywhere});
  EXPECT_EQ(host.failed(), std::vector<RequestId>{keyed_in_zone});
}

// With the connect timeout of 0.3 s, a retry after 0.6 s is written within the idempotency window of 1 s at
// the latest.
TEST(RetrySafety, RetriesKeyedRequestWhoseRetryIsWrittenWithinIdempotencyWindow) {
  FakeHost host{deployment().with_connect_timeout(0.3)};
  host.list_ready_endpoints(4);
  host.receive(request_of_class("tagged"));
  host.run_for(0.6);

  host.end_attempt(host.sent().at(0), Outcome::Broken);

  EXPECT_EQ(host.sent().size(), 2U);
  EXPECT_EQ(host.failed().size(), 0U);
}

// With the connect timeout of 0.3 s, a retry after 0.75 s may be written only after the idempotency window of
// 1 s.
TEST(RetrySafety, FailsKeyedRequestWhoseRetryMayBeWrittenAfterIdempotencyWindow) {
  FakeHost host{deployment().with_connect_timeout(0.3)};
  host.list_ready_endpoints(4);
  host.receive(request_of_class("tagged"));
  host.run_for(0.75);

  host.end_attempt(host.sent().at(0), Outcome::Broken);

  EXPECT_EQ(host.sent().size(), 1U);
  EXPECT_EQ(host.failed().size(), 1U);
}

// The request itself may be what breaks the endpoints, so it isn't sent to a third one.
void expect_rejection_of_requests_lost_twice(FakeHost& host) {
  for (Outcome outcome : {Outcome::Broken, Outcome::Failed}) {
    RequestId request = host.receive();
    for (int i = 0; i < 2; ++i) host.end_attempt(host.last_sent(), outcome);

    EXPECT_EQ(host.attempt_count(request), 2);
    ASSERT_FALSE(host.rejected().empty());
    EXPECT_EQ(host.rejected().back(), request);
  }
}

TEST(RetrySafety, RejectsRequestLostAtTwoEndpointsThatMayHaveRunIt) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(8);

  expect_rejection_of_requests_lost_twice(host);
}

TEST(RetrySafety, RetriesRequestRefusedByThreeEndpoints) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(8);
  expect_rejection_of_requests_lost_twice(host);
  RequestId never_run = host.receive();

  for (int i = 0; i < 3; ++i) host.end_attempt(host.last_sent(), Outcome::Refused);

  EXPECT_EQ(host.attempt_count(never_run), 4);
}

TEST(RetrySafety, FailsUnsafeRequestBeforeItsDeadlineAndCancelsItsAttempt) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(3);
  RequestId request = host.receive(request_of_class("mutating").due_in(1));

  host.run_for(0.98);
  EXPECT_EQ(host.failed(), std::vector<RequestId>{});
  host.run_for(0.02);

  EXPECT_EQ(host.failed(), std::vector<RequestId>{request});
  EXPECT_EQ(host.cancelled(), (std::vector<CancelledAttempt>{{request, 0}}));
}

// Rule 1: a client gets one final response. FakeHost fails the test on a second one. Outcomes and
// cancellations come after the request has ended, and one outcome comes twice.
TEST(RetrySafety, EndsRequestOnceThoughOutcomesComeLateAndTwice) {
  FakeHost host{deployment()};
  host.list_ready_endpoints(3);
  RequestId expired = host.receive(request_of_class("mutating").due_in(1));
  host.run_for(0.98);
  host.run_for(0.02);

  host.end_attempt(host.sent().at(0), Outcome::Delivered);
  host.end_attempt(host.sent().at(0), Outcome::Delivered);
  host.cancel_request(expired);
  RequestId cancelled = host.receive(request_of_class("read").due_in(1));
  host.cancel_request(cancelled);
  host.end_attempt(host.last_sent(), Outcome::Cancelled);
  host.run_for(3);

  EXPECT_EQ(host.failed(), std::vector<RequestId>{expired});
  EXPECT_FALSE(host.is_concluded(cancelled));
  EXPECT_EQ(host.attempt_count(cancelled), 1);
}

}  // namespace
}  // namespace puffinvane::test
