// Measures what a sidecar costs: requests per second on one core, CPU time per request, latency added
// compared with the same load sent directly to an endpoint, and memory per connection, for different numbers
// of connections and endpoints.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace load_test {

struct CostPlan {
  std::string command, json_path;
  double seconds = 1.5;
  int pairs = 1;
  bool site = false;  // the sidecar serves a site that has one pool for each request class
  std::vector<int> connections{1, 10, 64, 200, 1000, 2000}, endpoints{4, 16, 64, 256},
      concurrent_requests{10, 100, 1000};
};

void measure_cost(const CostPlan& plan, std::ostream& out);

}  // namespace load_test
