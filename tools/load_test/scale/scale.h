// Measures how the resource usage of a sidecar grows with the number of endpoints. Six metrics are bounded,
// relative to a fleet of the usual size, for fleets of up to sixteen times as many endpoints.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace load_test {

struct ScalePlan {
  std::string command;                         // that starts the sidecar
  std::vector<int> endpoints{200, 800, 3200};  // one run each; the first is the usual size
  double seconds = 20;
  double rate = 30;    // requests per second
  double changes = 1;  // endpoints replaced per second
  // All runs at the same time, for metrics that do not depend on the speed of the machine.
  bool parallel = false;
};

struct ScaleMetrics {
  int endpoints = 0;
  double cpu_seconds = 0, peak_memory_mb = 0, list_kb = 0, served_share = 0;
  int descriptors = 0;  // highest number open at a time
  int connections = 0;  // opened to endpoints, in total
  int full_lists = 0;   // full lists that the sidecar requested
};

// One run for each number of endpoints. Throws std::runtime_error if a sidecar does not become ready.
std::vector<ScaleMetrics> measure_scale(const ScalePlan& plan);

struct ScaleBound {
  std::string what;
  double measured = 0, bound = 0;
  bool at_least = false;  // the bound is a minimum
  bool holds() const { return at_least ? measured >= bound : measured <= bound; }
};

// Bounds for a larger fleet, derived from the run of the usual size.
std::vector<ScaleBound> scale_bounds(const ScaleMetrics& usual, const ScaleMetrics& larger);

// Measures and prints a table; returns whether all bounds hold.
bool report_scale(const ScalePlan& plan, std::ostream& out);

}  // namespace load_test
