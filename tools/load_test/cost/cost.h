// What a sidecar costs: requests a second on one core, CPU a request, latency added against the same load
// sent directly, memory a connection, and how each grows.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace load_test {

struct CostPlan {
  std::string command, json_to;
  double seconds = 1.5;
  int pairs = 1;
  bool site = false;  // it serves a site with a pool for each request class
  std::vector<int> connections{1, 10, 64, 200, 1000, 2000}, endpoints{4, 16, 64, 256}, in_hand{10, 100, 1000};
};

void measure_cost(const CostPlan& plan, std::ostream& out);

}  // namespace load_test
