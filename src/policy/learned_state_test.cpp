#include "src/policy/learned_state.h"

#include <gtest/gtest.h>

#include <string>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

// The modules of a policy that learned state is exported from and imported into.
struct Modules {
  explicit Modules(Deployment settings = test::deployment()) : deployment(std::move(settings)) {}

  Endpoint& list(const std::string& name, double online_since = 0) {
    Endpoint& endpoint = endpoints.find_or_add(name);
    endpoint.online_since = online_since;
    Health before = endpoint.health();
    endpoint.whole.ejection.health = Health::Healthy;
    endpoints.on_health_changed(endpoint, before);
    return endpoint;
  }
  LearnedState export_all(double started_at = 0) const {
    return export_state({deployment, endpoints, latencies, hedging, completions}, started_at);
  }
  void import_all(const LearnedState& state, double rate_share = 1) {
    import_state({deployment, endpoints, latencies, hedging, completions}, state, rate_share, 100);
  }

  Deployment deployment;
  EndpointTable endpoints{deployment.request_classes.size()};
  LatencyTracker latencies{deployment};
  Hedging hedging{deployment, latencies};
  CompletionRate completions;
};

TEST(LearnedState, ExportsOnlyEndpointsWithStatistics) {
  Modules modules;
  modules.endpoints.track(modules.list("used").index);
  modules.list("unused");

  LearnedState state = modules.export_all(7);

  ASSERT_EQ(state.endpoints.size(), 1U);
  EXPECT_EQ(state.endpoints[0].name, "used");
  EXPECT_EQ(state.started_at_s, 7);
}

TEST(LearnedState, ImportEqualsExport) {
  Modules earlier;
  Endpoint& endpoint = earlier.list("a", 50);
  earlier.endpoints.track(endpoint.index);
  ResponseSample sample;
  sample.completed_at_s = 90;
  sample.latency_ratio = 2;
  endpoint.whole.responses.record_sample(sample);
  endpoint.by_class[1].ejection.health = Health::Ejected;
  earlier.latencies.record_latency(0, 0.25);
  earlier.hedging.record_lateness(Hedging::Lateness::Late);
  Modules later;
  later.list("a", 50);

  later.import_all(earlier.export_all());

  LearnedState imported = later.export_all();
  LearnedState exported = earlier.export_all();
  EXPECT_EQ(imported.endpoints, exported.endpoints);
  EXPECT_EQ(imported.classes, exported.classes);
  EXPECT_EQ(imported.lateness, exported.lateness);
}

TEST(LearnedState, IgnoresARestartedEndpoint) {
  Modules earlier;
  earlier.endpoints.track(earlier.list("a", 50).index);
  Modules later;
  later.list("a", 60);

  later.import_all(earlier.export_all());

  EXPECT_EQ(later.endpoints.tracked().size(), 0U);
}

TEST(LearnedState, IgnoresAnUnknownEndpoint) {
  Modules earlier;
  earlier.endpoints.track(earlier.list("a").index);
  Modules later;

  later.import_all(earlier.export_all());

  EXPECT_EQ(later.endpoints.find("a"), std::nullopt);
}

TEST(LearnedState, ImportsClassesUpToTheFirstWithAnotherName) {
  Modules earlier;
  earlier.latencies.record_latency(0, 0.25);
  earlier.latencies.record_latency(1, 0.25);
  Deployment other = test::deployment();
  other.request_classes[1].name = "another";
  Modules later(other);

  later.import_all(earlier.export_all());

  EXPECT_EQ(later.latencies.latencies(0).size(), 1U);
  EXPECT_EQ(later.latencies.latencies(1).size(), 0U);
}

TEST(LearnedState, ScalesCompletionRatesByTheShare) {
  Modules earlier;
  for (int tick = 0; tick < 80; ++tick) {
    earlier.completions.record_response();
    earlier.completions.on_tick();
  }
  Modules later;

  later.import_all(earlier.export_all(), 0.5);

  EXPECT_DOUBLE_EQ(later.completions.recent_per_s(), 5);
}

}  // namespace
}  // namespace puffinvane
