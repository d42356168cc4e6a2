// What one sidecar needs by the number of endpoints that it is told of: the six figures that may grow only so
// far from a fleet of the usual size to one of up to sixteen times its endpoints.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace load_test {

struct ScalePlan {
  std::string command;                         // of the sidecar
  std::vector<int> endpoints{200, 800, 3200};  // days, the usual size first
  double seconds = 20;
  double rate = 30;           // requests a second
  double changes = 1;         // endpoints replaced a second
  bool side_by_side = false;  // all days at once: for figures that don't depend on the machine
};

struct ScaleFigures {
  int endpoints = 0;
  double cpu_seconds = 0, peak_memory_mb = 0, list_kb = 0, served_share = 0;
  int descriptors = 0;  // the most at a time
  int connections = 0;  // made to endpoints
  int lists = 0;        // whole ones that were asked for
};

// One day for each number of endpoints. Throws std::runtime_error where a sidecar does not get ready.
std::vector<ScaleFigures> measure_scale(const ScalePlan& plan);

struct ScaleBound {
  std::string what;
  double measured = 0, bound = 0;
  bool at_least = false;  // the bound is the least, not the most
  bool holds() const { return at_least ? measured >= bound : measured <= bound; }
};

// What a larger fleet's day may take, going by the usual one's.
std::vector<ScaleBound> scale_bounds(const ScaleFigures& usual, const ScaleFigures& larger);

// Measures and prints; whether all bounds hold.
bool report_scale(const ScalePlan& plan, std::ostream& out);

}  // namespace load_test
