#include "src/policy/fleet_load.h"

#include <gtest/gtest.h>

#include <string>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr double kNow = 100;

class FleetLoadTest : public testing::Test {
 protected:
  explicit FleetLoadTest(Deployment deployment = test::deployment().reporting_load())
      : deployment_(std::move(deployment)) {}

  void add_report(const std::string& name, const Load& load, double reported_at) {
    Endpoint& endpoint = endpoints_.find_or_add(name);
    Health before = endpoint.health();
    endpoint.whole.ejection.health = Health::Healthy;
    endpoints_.on_health_changed(endpoint, before);
    endpoints_.track(endpoint.index);
    endpoint.load = load;
    endpoint.load_reported_at = reported_at;
  }
  static Load load_with_cpu(double cpu_utilization) {
    Load load;
    load.depth = 0;
    load.requests_per_s = 10;
    load.cpu_utilization = cpu_utilization;
    return load;
  }

  Deployment deployment_;
  EndpointTable endpoints_{deployment_.request_classes.size()};
  LatencyTracker latencies_{deployment_};
  FleetLoad fleet_load_{deployment_, endpoints_, latencies_};
};

TEST_F(FleetLoadTest, AdmitsAllWithoutRequests) {
  fleet_load_.update(kNow, FleetLoad::ReportedRates::Settled);

  EXPECT_EQ(fleet_load_.admitted_share(), 1);
}

TEST_F(FleetLoadTest, AdmitsLessAtFullReportedCpuUtilization) {
  add_report("a", load_with_cpu(1), kNow);
  fleet_load_.record_arrival(kNow);

  fleet_load_.update(kNow, FleetLoad::ReportedRates::Settled);

  EXPECT_LT(fleet_load_.admitted_share(), 1);
}

TEST_F(FleetLoadTest, IgnoresReportsOlderThanThreeSeconds) {
  add_report("a", load_with_cpu(1), kNow - 3.1);
  fleet_load_.record_arrival(kNow);

  fleet_load_.update(kNow, FleetLoad::ReportedRates::Settled);

  EXPECT_EQ(fleet_load_.admitted_share(), 1);
}

TEST_F(FleetLoadTest, AdmitsAtLeastOneTenth) {
  add_report("a", load_with_cpu(50), kNow);
  fleet_load_.record_arrival(kNow);

  for (int tick = 0; tick < 200; ++tick) {
    fleet_load_.update(kNow, FleetLoad::ReportedRates::Settled);
  }

  EXPECT_EQ(fleet_load_.admitted_share(), 0.1);
}

TEST_F(FleetLoadTest, AdmitsLessAtHighMeasuredLatency) {
  add_report("a", load_with_cpu(0.1), kNow);
  fleet_load_.record_arrival(kNow);
  for (int response = 0; response < 4; ++response) {
    fleet_load_.record_latency(kNow, 2);
  }

  fleet_load_.update(kNow, FleetLoad::ReportedRates::Settled);

  EXPECT_LT(fleet_load_.admitted_share(), 1);
}

TEST_F(FleetLoadTest, AddsUpReportedRates) {
  add_report("a", load_with_cpu(0.5), kNow);
  add_report("b", load_with_cpu(0.5), kNow);
  fleet_load_.record_arrival(kNow);

  fleet_load_.update(kNow, FleetLoad::ReportedRates::Settled);

  EXPECT_EQ(fleet_load_.requests_per_s(), 20);
}

class UnreportedFleetLoadTest : public FleetLoadTest {
 protected:
  UnreportedFleetLoadTest() : FleetLoadTest(test::deployment().as_instance(0, 5)) {}
};

TEST_F(UnreportedFleetLoadTest, EstimatesRateFromOwnArrivalsAndInstanceCount) {
  for (int request = 0; request < 40; ++request) {
    fleet_load_.record_arrival(kNow + request * 0.1);
  }

  fleet_load_.update(kNow + 4, FleetLoad::ReportedRates::Settled);

  EXPECT_DOUBLE_EQ(fleet_load_.requests_per_s(), 50);
}

}  // namespace
}  // namespace puffinvane
