#include "src/policy/retry_safety.h"

#include <gtest/gtest.h>

#include <cmath>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr std::size_t kSafe = 0;
constexpr std::size_t kKeyedInZone = 1;
constexpr std::size_t kKeyedEverywhere = 2;
constexpr std::size_t kKeyedInCell = 3;
constexpr std::size_t kUnsafe = 4;
constexpr double kSentAt = 100;

class RetrySafetyTest : public testing::Test {
 protected:
  RetrySafetyTest() {
    endpoint_.zone = "here";
    endpoint_.cell = 1;
  }
  static RequestState request_of(std::size_t class_index) {
    RequestState request;
    request.class_index = class_index;
    return request;
  }
  // A request with one attempt, to zone "here" and cell 1, that has ended and may have run.
  static RequestState request_that_may_have_run(std::size_t class_index) {
    RequestState request = request_of(class_index);
    Attempt attempt;
    attempt.sent_at = kSentAt;
    attempt.is_in_flight = false;
    attempt.zone = "here";
    attempt.cell = 1;
    request.attempts.push_back(attempt);
    return request;
  }
  static RequestState request_that_never_ran(std::size_t class_index) {
    RequestState request = request_that_may_have_run(class_index);
    request.attempts.back().may_have_run = false;
    return request;
  }

  // A keyed request may be retried for 0.74 s: the idempotency window of 1 s, less the connect timeout of
  // 0.25 s and two round trips of 0.005 s.
  Deployment deployment_ = test::deployment();
  RetrySafety safety_{deployment_};
  Endpoint endpoint_;
};

TEST_F(RetrySafetyTest, EveryRequestMayBeAttemptedOnce) {
  for (std::size_t class_index : {kSafe, kKeyedInZone, kUnsafe}) {
    EXPECT_TRUE(safety_.may_attempt(request_of(class_index), endpoint_, kSentAt));
  }
}

TEST_F(RetrySafetyTest, UnsafeRequestThatMayHaveRunIsNotRetried) {
  EXPECT_FALSE(safety_.may_attempt(request_that_may_have_run(kUnsafe), endpoint_, kSentAt));
  EXPECT_TRUE(safety_.may_attempt(request_that_may_have_run(kSafe), endpoint_, kSentAt));
}

TEST_F(RetrySafetyTest, UnsafeRequestThatCannotHaveRunIsRetried) {
  EXPECT_TRUE(safety_.may_attempt(request_that_never_ran(kUnsafe), endpoint_, kSentAt));
}

TEST_F(RetrySafetyTest, KeyedRequestIsRetriedWithinIdempotencyWindow) {
  EXPECT_TRUE(safety_.may_attempt(request_that_may_have_run(kKeyedEverywhere), endpoint_, kSentAt + 0.73));
  EXPECT_FALSE(safety_.may_attempt(request_that_may_have_run(kKeyedEverywhere), endpoint_, kSentAt + 0.75));
}

// Guards against: a repeat that is begun within the window and sent to its end after it.
TEST_F(RetrySafetyTest, RepeatOfKeyedRequestHasToBeSentWithinIdempotencyWindow) {
  EXPECT_DOUBLE_EQ(safety_.send_deadline(request_that_may_have_run(kKeyedInZone)), kSentAt + 0.99);
  EXPECT_TRUE(std::isinf(safety_.send_deadline(request_of(kKeyedInZone))));
  EXPECT_TRUE(std::isinf(safety_.send_deadline(request_that_never_ran(kKeyedInZone))));
  EXPECT_TRUE(std::isinf(safety_.send_deadline(request_that_may_have_run(kSafe))));
}

TEST_F(RetrySafetyTest, SendDeadlineFollowsFromTheEarliestAttemptThatMayHaveRun) {
  RequestState request = request_that_never_ran(kKeyedInZone);
  for (const double sent_at : {kSentAt + 0.2, kSentAt + 0.4}) {
    request.attempts.push_back(request_that_may_have_run(kKeyedInZone).attempts.front());
    request.attempts.back().sent_at = sent_at;
  }

  EXPECT_DOUBLE_EQ(safety_.send_deadline(request), kSentAt + 0.2 + 0.99);
}

TEST_F(RetrySafetyTest, KeyedRequestIsRetriedWithinItsGroup) {
  Endpoint elsewhere;
  elsewhere.zone = "there";
  elsewhere.cell = 2;

  EXPECT_TRUE(safety_.may_attempt(request_that_may_have_run(kKeyedInZone), endpoint_, kSentAt));
  EXPECT_FALSE(safety_.may_attempt(request_that_may_have_run(kKeyedInZone), elsewhere, kSentAt));
  EXPECT_FALSE(safety_.may_attempt(request_that_may_have_run(kKeyedInCell), elsewhere, kSentAt));
  EXPECT_TRUE(safety_.may_attempt(request_that_may_have_run(kKeyedEverywhere), elsewhere, kSentAt));
}

TEST_F(RetrySafetyTest, AttemptBesideOneInFlightNeedsParallelAttempts) {
  RequestState request = request_that_may_have_run(kSafe);
  request.attempts.back().is_in_flight = true;
  EXPECT_TRUE(safety_.may_attempt(request, endpoint_, kSentAt));

  deployment_.parallel_attempts = false;

  EXPECT_FALSE(safety_.may_attempt(request, endpoint_, kSentAt));
}

TEST_F(RetrySafetyTest, RequestAtAttemptLimitIsNotRetried) {
  RequestState request = request_that_never_ran(kSafe);
  request.attempts.resize(4, request.attempts.front());

  EXPECT_FALSE(safety_.may_attempt(request, endpoint_, kSentAt));
}

TEST_F(RetrySafetyTest, OnlyKeyedRequestThatMayHaveRunIsRetriedAtSameEndpoint) {
  EXPECT_TRUE(safety_.may_retry_same_endpoint(request_that_may_have_run(kKeyedInZone)));
  EXPECT_FALSE(safety_.may_retry_same_endpoint(request_that_never_ran(kKeyedInZone)));
  EXPECT_FALSE(safety_.may_retry_same_endpoint(request_that_may_have_run(kSafe)));
}

TEST_F(RetrySafetyTest, RejectsOnlyRequestsThatMaySafelyBeSentAgain) {
  EXPECT_TRUE(safety_.may_reject(request_that_may_have_run(kSafe)));
  EXPECT_TRUE(safety_.may_reject(request_that_may_have_run(kKeyedEverywhere)));
  EXPECT_FALSE(safety_.may_reject(request_that_may_have_run(kKeyedInZone)));
  EXPECT_FALSE(safety_.may_reject(request_that_may_have_run(kUnsafe)));
  EXPECT_TRUE(safety_.may_reject(request_that_never_ran(kUnsafe)));
}

TEST_F(RetrySafetyTest, RequestThatMayHaveRunTwiceIsPossiblePoison) {
  RequestState request = request_that_may_have_run(kSafe);
  EXPECT_FALSE(RetrySafety::is_possible_poison_request(request));

  request.attempts.push_back(request.attempts.front());

  EXPECT_TRUE(RetrySafety::is_possible_poison_request(request));
}

}  // namespace
}  // namespace puffinvane
