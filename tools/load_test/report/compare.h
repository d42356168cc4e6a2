// Results side by side: means with the 95% interval of Student's t, and differences by pairs of the same
// scenario and seed.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace load_test {

struct Estimate {
  double mean = 0, half = 0;  // half of the interval's width; infinite with fewer than two values
  int count = 0;
};
Estimate estimate(const std::vector<double>& values);

// Throws std::runtime_error on what is no result.
void compare(const std::vector<nlohmann::json>& results, std::ostream& out);

}  // namespace load_test
