// A run in figures: service as its users define it, latencies, what it cost. Fed by the same events as the
// invariant checker and by what became of each client's request.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/load_test/invariants/event.h"
#include "tools/load_test/world/clients.h"

namespace load_test {

// Seconds at a share of the sorted list; 0 if it is empty.
double percentile(std::vector<double>& values, double share);

class Figures final : public Observer {
 public:
  explicit Figures(const Scenario& scenario) : scenario_(scenario) {}
  void begin(double at) { began_ = at; }
  void observe(const Event& event) override;
  void note(const Fate& fate);
  nlohmann::json json() const;

 private:
  struct Served {
    double asked = 0, earned = 0;
    double share() const { return asked > 0 ? earned / asked : 1; }
  };
  bool first_tier(const Event& event) const {
    return event.sidecar >= 0 && event.sidecar < scenario_.sidecars;
  }

  const Scenario& scenario_;
  double began_ = 0;
  Served all_;
  std::map<int, Served> by_prefix_, by_customer_, by_window_;
  std::map<int, std::vector<double>> latencies_;  // by request class
  std::map<int, std::vector<double>> latencies_by_window_;
  std::map<int, int> ends_;
  int requests_ = 0, tries_ = 0, taken_ = 0, attempts_ = 0, hedges_ = 0, turned_away_ = 0, effects_ = 0;
  std::map<int, std::map<int, double>> loads_;  // by endpoint and window: work sent
  std::unordered_map<std::string, int> out_;    // attempts in hand, by request
};

}  // namespace load_test
