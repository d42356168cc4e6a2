// Metrics of a run: service (the share of the value on offer that was earned), latencies, and the attempts
// that were needed. Computed from the events of the invariant checker and the outcomes of the clients'
// requests.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/load_test/invariants/event.h"
#include "tools/load_test/world/clients.h"

namespace load_test {

// The value at this share of the sorted list; 0 if the list is empty. Reorders the list.
double percentile(std::vector<double>& values, double share);

class RunMetrics final : public Observer {
 public:
  explicit RunMetrics(const Scenario& scenario) : scenario_(scenario) {}
  void set_start(double at) { start_ = at; }
  void observe(const Event& event) override;
  void record(const RequestOutcome& outcome);
  nlohmann::json json() const;

 private:
  struct ValueSum {
    double offered = 0, earned = 0;
    double share() const { return offered > 0 ? earned / offered : 1; }
  };
  bool first_tier(const Event& event) const {
    return event.sidecar >= 0 && event.sidecar < scenario_.sidecars;
  }

  const Scenario& scenario_;
  double start_ = 0;
  ValueSum total_;
  std::map<int, ValueSum> by_class_, by_tenant_, by_window_;
  std::map<int, std::vector<double>> latencies_;  // by request class
  std::map<int, std::vector<double>> latencies_by_window_;
  std::map<int, int> outcomes_;
  int requests_ = 0, tries_ = 0, requests_sent_ = 0, attempts_ = 0, hedges_ = 0, attempts_refused_ = 0,
      effects_ = 0;
  std::map<int, std::map<int, double>> work_sent_;  // seconds of work sent, by endpoint and window
  std::unordered_map<std::string, int> in_flight_;  // pending attempts, by request
};

}  // namespace load_test
