// Which responses may go on past the deadline of their requests.
#include "src/proxy/overdue_relay.h"

#include <gtest/gtest.h>

namespace puffinvane {
namespace {

constexpr std::size_t kLongBytes = 256'000;
constexpr std::size_t kReceivedBytes = 48'000;  // less than a long response has

RelayProgress declared_long() {
  RelayProgress progress;
  progress.declared_bytes = kLongBytes;
  progress.received_bytes = kReceivedBytes;
  progress.elapsed_s = 0.85;
  return progress;
}

RelayProgress of_unknown_length() {
  RelayProgress progress = declared_long();
  progress.declared_bytes.reset();
  return progress;
}

TEST(OverdueRelay, GoesOnIfTheDeclaredLengthIsLongAndTheEndpointPausesBetweenPieces) {
  RelayProgress progress = declared_long();
  progress.silent_s = 1.9;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::Continue);
}

TEST(OverdueRelay, IsGivenUpIfTheDeclaredLengthIsLongAndTheEndpointIsSilentForTwoSeconds) {
  RelayProgress progress = declared_long();
  progress.silent_s = 2;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::GiveUp);
}

TEST(OverdueRelay, IsGivenUpAtItsDeadlineIfTheDeclaredLengthIsLongAndTheEndpointSendsAByteNowAndThen) {
  RelayProgress progress = declared_long();
  progress.received_bytes = 25;
  progress.silent_s = 0.1;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::GiveUp);
}

TEST(OverdueRelay, GoesOnWithoutAnyFurtherCheckOnceALongResponseHasShown) {
  for (RelayProgress progress : {declared_long(), of_unknown_length()}) {
    progress.received_bytes = 70'000;
    progress.silent_s = 3;

    EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::Settled);
  }
}

TEST(OverdueRelay, GoesOnAtItsDeadlineIfAnEndpointWithoutADeclaredLengthPausesBetweenPieces) {
  RelayProgress progress = of_unknown_length();
  progress.silent_s = 0.55;
  progress.overdue_s = 0.2;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::Continue);
}

TEST(OverdueRelay, IsGivenUpBeforeItCountsAsLostIfAnEndpointWithoutADeclaredLengthIsSilent) {
  RelayProgress progress = of_unknown_length();
  progress.silent_s = 0.2;
  progress.overdue_s = 0.4;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::GiveUp);
}

// Guards against: a long response in lumps is cut off at its deadline for a pause that crosses it.
TEST(OverdueRelay, GoesOnAtItsDeadlineIfAnEndpointWithoutADeclaredLengthHasPausedForLong) {
  RelayProgress progress = of_unknown_length();
  progress.silent_s = 0.9;
  progress.overdue_s = 0.35;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::Continue);
}

TEST(OverdueRelay, GoesOnPastItsDeadlineIfAnEndpointWithoutADeclaredLengthKeepsTheRateOfALongOne) {
  RelayProgress progress = of_unknown_length();
  progress.received_bytes = 60'000;
  progress.elapsed_s = 0.95;
  progress.silent_s = 0.9;
  progress.overdue_s = 0.6;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::Continue);

  progress.elapsed_s = 1.05;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::GiveUp);
}

TEST(OverdueRelay, IsGivenUpBeforeItCountsAsLostIfAnEndpointWithoutADeclaredLengthStopsAfterAFewBytes) {
  RelayProgress progress = of_unknown_length();
  progress.received_bytes = 25;
  progress.silent_s = 0.8;
  progress.overdue_s = 0.4;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::GiveUp);
}

// Guards against: the first piece of a long response is a small one, and it counts as trickling.
TEST(OverdueRelay, GoesOnIfTheFirstPieceOfALongResponseIsSmall) {
  for (RelayProgress progress : {declared_long(), of_unknown_length()}) {
    progress.received_bytes = 1'000;
    progress.silent_s = 0.7;

    EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::Continue);
  }
}

TEST(OverdueRelay, IsGivenUpAtItsDeadlineIfAnEndpointWithoutADeclaredLengthSendsAByteNowAndThen) {
  RelayProgress progress = of_unknown_length();
  progress.received_bytes = 25;
  progress.silent_s = 0.1;

  EXPECT_EQ(judge_overdue_relay(progress), RelayVerdict::GiveUp);
}

}  // namespace
}  // namespace puffinvane
