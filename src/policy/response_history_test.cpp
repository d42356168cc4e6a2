#include "src/policy/response_history.h"

#include <gtest/gtest.h>

namespace puffinvane {
namespace {

ResponseSample sample_at(double completed_at_s) {
  ResponseSample sample;
  sample.completed_at_s = completed_at_s;
  sample.latency_ratio = 1;
  sample.depth = 1;
  sample.in_time = true;
  return sample;
}

TEST(ResponseHistory, KeepsTheLastSixteenSamples) {
  ResponseHistory history;

  for (int second = 0; second < 20; ++second) {
    history.record_sample(sample_at(second));
  }

  ASSERT_EQ(history.samples().size(), 16U);
  EXPECT_EQ(history.samples().front().completed_at_s, 4);
}

TEST(ResponseHistory, SlownessIsOneWithoutSamples) {
  ResponseHistory history;

  EXPECT_EQ(history.slowness(100), 1);
}

TEST(ResponseHistory, AddsThreeSamplesOfUnloadedLatencyToSlowness) {
  ResponseHistory history;
  ResponseSample slow = sample_at(100);
  slow.latency_ratio = 5;

  history.record_sample(slow);

  EXPECT_EQ(history.slowness(100), (3 + 5) / 4.0);
}

TEST(ResponseHistory, IgnoresOldSamplesInSlowness) {
  ResponseHistory history;
  ResponseSample slow = sample_at(100);
  slow.latency_ratio = 5;
  history.record_sample(slow);

  EXPECT_EQ(history.slowness(114.9), 2);
  EXPECT_EQ(history.slowness(115), 1);
}

TEST(ResponseHistory, IgnoresFailuresInSlowness) {
  ResponseHistory history;
  ResponseSample failed = sample_at(100);
  failed.latency_ratio = 0.01;
  failed.failed = true;

  history.record_sample(failed);

  EXPECT_EQ(history.slowness(100), 1);
  EXPECT_EQ(history.failure_count(), 1);
  EXPECT_EQ(history.error_ratio(), 1);
}

TEST(ResponseHistory, LearnsCapacityAboveADepthServedInTime) {
  ResponseHistory history;
  ResponseSample deep = sample_at(100);
  deep.depth = 9;

  history.record_sample(deep);

  EXPECT_EQ(history.learned_capacity(), 10);
}

TEST(ResponseHistory, LearnsCapacityBelowADepthServedLate) {
  ResponseHistory history;
  ResponseSample late = sample_at(100);
  late.depth = 2;
  late.in_time = false;

  history.record_sample(late);

  EXPECT_EQ(history.learned_capacity(), 2);
}

TEST(ResponseHistory, ClearsSamplesOnlyIfAllAreStale) {
  ResponseHistory history;
  history.record_sample(sample_at(100));

  history.clear_stale_samples(114);
  EXPECT_EQ(history.samples().size(), 1U);

  history.clear_stale_samples(115);
  EXPECT_EQ(history.samples().size(), 0U);
}

}  // namespace
}  // namespace puffinvane
