// Timeouts and delays of calls to discovery: CallTimeouts and CallBackoff.
#include <gtest/gtest.h>

#include <algorithm>

#include "src/discovery/call_backoff.h"
#include "src/discovery/call_timeouts.h"

namespace puffinvane {
namespace {

CallProgress full_list_call() {
  CallProgress progress;
  progress.scope = CallScope::FullList;
  return progress;
}

CallProgress with_partial_list(CallProgress progress) {
  progress.has_partial_list = true;
  return progress;
}

TEST(CallTimeouts, RenewsACallForChangesSoonerThanOneForTheFullList) {
  CallTimeouts timeouts(DiscoveryMode::Pushed);

  EXPECT_EQ(timeouts.watch_timeout_s(CallProgress()), 1.6);
  EXPECT_EQ(timeouts.watch_timeout_s(full_list_call()), 2);
}

TEST(CallTimeouts, AllowsForTheQueueOfDiscoveryOnRequest) {
  CallTimeouts timeouts(DiscoveryMode::OnRequest);

  EXPECT_EQ(timeouts.response_timeout_s(CallProgress()), 2.2);
  EXPECT_EQ(timeouts.watch_timeout_s(CallProgress()), 2.4);
}

TEST(CallTimeouts, DoublesTheTimeForAListAfterATimeoutUpToFourSeconds) {
  CallTimeouts timeouts(DiscoveryMode::Pushed);
  CallProgress arriving = with_partial_list(full_list_call());

  timeouts.on_list_late_for_response();
  double second_s = timeouts.response_timeout_s(arriving);
  timeouts.on_list_late_for_response();
  timeouts.on_list_late_for_response();
  double last_s = timeouts.response_timeout_s(arriving);

  EXPECT_EQ(second_s, 1.6);
  EXPECT_EQ(last_s, 4);
}

TEST(CallTimeouts, AllowsAListTwiceTheTimeOfTheLastOne) {
  CallTimeouts timeouts(DiscoveryMode::Pushed);

  timeouts.record_response_time(1.5);

  EXPECT_EQ(timeouts.response_timeout_s(full_list_call()), 3);
  EXPECT_EQ(timeouts.watch_timeout_s(with_partial_list(CallProgress())), 3);
  EXPECT_EQ(timeouts.response_timeout_s(CallProgress()), 0.8);
}

TEST(CallTimeouts, ExtendsTheTimeoutOnRequestWhileAListArrives) {
  CallTimeouts timeouts(DiscoveryMode::OnRequest);
  CallProgress arriving = with_partial_list(full_list_call());
  CallProgress endless = arriving;
  arriving.last_bytes_after_s = 2.5;
  endless.last_bytes_after_s = 60;

  EXPECT_EQ(timeouts.response_timeout_s(arriving), 2.7);
  EXPECT_EQ(timeouts.watch_timeout_s(arriving), 2.7);
  EXPECT_EQ(timeouts.response_timeout_s(endless), 4);
}

// Guards against requests to an endpoint after its drain grace where a pushed change is lost.
TEST(CallTimeouts, RenewsACheapPushedCallWithinHalfOfTheDrainGrace) {
  constexpr double kHalfOfGraceSeconds = 0.25;
  CallTimeouts timeouts(DiscoveryMode::Pushed);
  CallProgress cheap;
  cheap.is_renewal_cheap = true;

  EXPECT_LE(timeouts.watch_timeout_s(cheap), kHalfOfGraceSeconds);
  EXPECT_GT(timeouts.watch_timeout_s(CallProgress()), 1);
  EXPECT_GT(timeouts.watch_timeout_s(with_partial_list(cheap)), 1);
}

// Guards against requests to an endpoint after its drain grace where a change is lost and three renewed
// calls in a row are not answered, not connected, ended, answered without the change or by half a list.
TEST(CallTimeouts, RetriesACheapPushedCallThreeTimesWithinTheDrainGrace) {
  constexpr double kGraceSeconds = 0.5;
  CallTimeouts timeouts(DiscoveryMode::Pushed);
  timeouts.on_call_answered(0);
  CallProgress cheap = full_list_call();
  cheap.is_answer_cheap = true;
  cheap.is_renewal_cheap = true;
  double received_s = timeouts.watch_timeout_s(cheap);

  for (int fault = 0; fault < 3; ++fault) {
    received_s += std::max({timeouts.response_timeout_s(cheap), timeouts.connect_timeout_s(),
                            timeouts.partial_list_pause_s(), timeouts.watch_timeout_s(cheap),
                            CallBackoff(DiscoveryMode::Pushed, 1).next_delay_s(0)});
    timeouts.on_call_unanswered();
    timeouts.on_list_cut_off();
  }

  EXPECT_LT(received_s, kGraceSeconds);
}

TEST(CallTimeouts, DoublesForUnansweredPushedCallsUpToALimitUntilOneIsAnswered) {
  CallTimeouts timeouts(DiscoveryMode::Pushed);
  CallProgress cheap;
  cheap.is_answer_cheap = true;
  timeouts.on_call_answered(0);

  const double first_s = timeouts.response_timeout_s(cheap);
  for (int i = 0; i < 3; ++i) timeouts.on_call_unanswered();
  EXPECT_EQ(timeouts.response_timeout_s(cheap), 2 * first_s);
  for (int i = 0; i < 5; ++i) timeouts.on_call_unanswered();
  EXPECT_EQ(timeouts.response_timeout_s(cheap), 0.8);
  EXPECT_EQ(timeouts.connect_timeout_s(), 0.4);
  timeouts.on_call_answered(0);
  EXPECT_EQ(timeouts.response_timeout_s(cheap), first_s);
}

// Guards against requests by the cached list while the first answer of an agent arrives.
TEST(CallTimeouts, AllowsTheFirstPushedAnswerMoreThanATenthOfASecond) {
  CallTimeouts timeouts(DiscoveryMode::Pushed);
  CallProgress cheap;
  cheap.is_answer_cheap = true;

  EXPECT_EQ(timeouts.response_timeout_s(cheap), 0.15);
}

TEST(CallTimeouts, AllowsAShortPushedAnswerTwiceTheTimeOfTheLastOneUpToALimit) {
  CallTimeouts timeouts(DiscoveryMode::Pushed);
  CallProgress cheap;
  cheap.is_answer_cheap = true;

  timeouts.on_call_answered(0.125);
  const double slow_s = timeouts.response_timeout_s(cheap);
  timeouts.on_call_answered(5);
  const double limit_s = timeouts.response_timeout_s(cheap);
  timeouts.on_call_answered(0.001);

  EXPECT_EQ(slow_s, 0.25);
  EXPECT_EQ(limit_s, 0.3);
  EXPECT_EQ(timeouts.response_timeout_s(cheap), 0.1);
}

TEST(CallTimeouts, AllowsTheFullTimeForLongAnswersAndOnRequest) {
  CallTimeouts pushed(DiscoveryMode::Pushed);
  CallTimeouts on_request(DiscoveryMode::OnRequest);
  CallProgress cheap;
  cheap.is_answer_cheap = true;

  EXPECT_EQ(pushed.response_timeout_s(full_list_call()), 0.8);
  EXPECT_EQ(pushed.response_timeout_s(with_partial_list(cheap)), 0.8);
  EXPECT_EQ(on_request.response_timeout_s(cheap), 2.2);
  EXPECT_EQ(on_request.connect_timeout_s(), 0.4);
}

TEST(CallTimeouts, DoublesThePauseOfAListWithEachOneThatWasCutOff) {
  CallTimeouts timeouts(DiscoveryMode::Pushed);
  const double first_s = timeouts.partial_list_pause_s();

  for (int i = 0; i < 3; ++i) timeouts.on_list_cut_off();
  EXPECT_EQ(timeouts.partial_list_pause_s(), 2 * first_s);
  timeouts.on_list_complete();
  EXPECT_EQ(timeouts.partial_list_pause_s(), first_s);
}

TEST(CallBackoff, IsShorterForTheFirstThreeCallsInPushedMode) {
  CallBackoff backoff(DiscoveryMode::Pushed, 1);

  for (int i = 0; i < 3; ++i) EXPECT_EQ(backoff.next_delay_s(i), 0.1);
  for (int i = 3; i < 8; ++i) EXPECT_EQ(backoff.next_delay_s(i), 0.15);
  backoff.on_call_answered(8);
  EXPECT_EQ(backoff.next_delay_s(8.1), 0.1);
}

TEST(CallBackoff, DoublesUpToALimitOnRequest) {
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    SCOPED_TRACE(seed);
    CallBackoff backoff(DiscoveryMode::OnRequest, seed);

    for (double mean_s : {0.4, 0.8, 1.1, 1.1}) {
      double delay_s = backoff.next_delay_s(10);

      EXPECT_GE(delay_s, 0.75 * mean_s);
      EXPECT_LE(delay_s, 1.25 * mean_s);
    }
  }
}

TEST(CallBackoff, StartsAgainAfterALongWatch) {
  CallBackoff backoff(DiscoveryMode::OnRequest, 1);
  for (int i = 0; i < 4; ++i) backoff.next_delay_s(10);

  backoff.on_call_answered(20);
  double delay_s = backoff.next_delay_s(22.1);

  EXPECT_LE(delay_s, 0.5);
}

TEST(CallBackoff, KeepsTheLongDelayAfterAShortWatch) {
  CallBackoff backoff(DiscoveryMode::OnRequest, 1);
  for (int i = 0; i < 4; ++i) backoff.next_delay_s(10);

  backoff.on_call_answered(20);
  double delay_s = backoff.next_delay_s(22);

  EXPECT_GE(delay_s, 0.75 * 1.1);
}

}  // namespace
}  // namespace puffinvane
