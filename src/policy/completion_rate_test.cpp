#include "src/policy/completion_rate.h"

#include <gtest/gtest.h>

namespace puffinvane {
namespace {

void run_ticks(CompletionRate& rate, int ticks, int responses_each) {
  for (int tick = 0; tick < ticks; ++tick) {
    for (int response = 0; response < responses_each; ++response) {
      rate.record_response();
    }
    rate.on_tick();
  }
}

TEST(CompletionRate, IsZeroAtFirst) {
  CompletionRate rate;

  EXPECT_EQ(rate.recent_per_s(), 0);
  EXPECT_EQ(rate.best_per_s(), 0);
}

TEST(CompletionRate, IsMeasuredOverEightSeconds) {
  CompletionRate rate;

  run_ticks(rate, 80, 2);

  EXPECT_DOUBLE_EQ(rate.recent_per_s(), 20);
}

TEST(CompletionRate, IsMeasuredOverAtLeastTwoSeconds) {
  CompletionRate rate;

  run_ticks(rate, 1, 10);

  EXPECT_DOUBLE_EQ(rate.recent_per_s(), 5);
}

TEST(CompletionRate, BestRateOutlastsTheRecentRate) {
  CompletionRate rate;
  run_ticks(rate, 80, 2);

  run_ticks(rate, 160, 0);

  EXPECT_DOUBLE_EQ(rate.recent_per_s(), 0);
  EXPECT_DOUBLE_EQ(rate.best_per_s(), 20);
}

TEST(CompletionRate, DropsTheBestRateAfterFortySeconds) {
  CompletionRate rate;
  run_ticks(rate, 80, 2);

  run_ticks(rate, 400, 0);

  EXPECT_DOUBLE_EQ(rate.best_per_s(), 0);
}

TEST(CompletionRate, AddsImportedRatesScaledByTheShare) {
  CompletionRate rate;

  rate.add_imported(std::deque<double>(80, 4), 0.5);

  EXPECT_DOUBLE_EQ(rate.recent_per_s(), 20);
  EXPECT_EQ(rate.responses_by_tick().size(), 80U);
}

}  // namespace
}  // namespace puffinvane
