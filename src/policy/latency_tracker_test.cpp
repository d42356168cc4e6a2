#include "src/policy/latency_tracker.h"

#include <gtest/gtest.h>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

const Deployment kDeployment = test::deployment().with_latency_objective(2);

TEST(LatencyTracker, HedgeThresholdIsHalfOfTheObjectiveWithFewSamples) {
  LatencyTracker latencies(kDeployment);

  for (int sample = 0; sample < 19; ++sample) {
    latencies.record_latency(0, 0.1);
  }

  EXPECT_EQ(latencies.hedge_threshold_s(0), 1);
}

TEST(LatencyTracker, HedgeThresholdIsThe95thPercentile) {
  LatencyTracker latencies(kDeployment);

  for (int sample = 0; sample <= 100; ++sample) {
    latencies.record_latency(0, sample * 0.01);
  }

  EXPECT_DOUBLE_EQ(latencies.hedge_threshold_s(0), 0.95);
}

TEST(LatencyTracker, RecordsRequestClassesSeparately) {
  LatencyTracker latencies(kDeployment);

  latencies.record_latency(0, 0.1);

  EXPECT_EQ(latencies.latencies(0).size(), 1U);
  EXPECT_EQ(latencies.latencies(1).size(), 0U);
}

TEST(LatencyTracker, UnloadedLatencyIsAQuarterOfTheObjectiveWithoutSamples) {
  LatencyTracker latencies(kDeployment);

  EXPECT_EQ(latencies.unloaded_latency_s(0), 0.5);
}

TEST(LatencyTracker, UnloadedLatencyIsTheLowestRecordedMean) {
  LatencyTracker latencies(kDeployment);
  for (int sample = 0; sample < 20; ++sample) {
    latencies.record_latency(0, 0.25);
  }
  latencies.record_means();
  for (int sample = 0; sample < 128; ++sample) {
    latencies.record_latency(0, 0.75);
  }
  latencies.record_means();

  EXPECT_EQ(latencies.unloaded_latency_s(0), 0.25);
}

TEST(LatencyTracker, DropsAMeanAfterFortySeconds) {
  LatencyTracker latencies(kDeployment);
  for (int sample = 0; sample < 20; ++sample) {
    latencies.record_latency(0, 0.25);
  }
  latencies.record_means();
  for (int sample = 0; sample < 128; ++sample) {
    latencies.record_latency(0, 0.75);
  }

  for (int second = 0; second < 40; ++second) {
    latencies.record_means();
  }

  EXPECT_EQ(latencies.unloaded_latency_s(0), 0.75);
}

TEST(LatencyTracker, RestoresThresholdAndUnloadedLatency) {
  LatencyTracker latencies(kDeployment);

  latencies.restore(1, std::deque<double>(20, 0.3), {0.2});

  EXPECT_EQ(latencies.hedge_threshold_s(1), 0.3);
  EXPECT_EQ(latencies.unloaded_latency_s(1), 0.2);
}

}  // namespace
}  // namespace puffinvane
