// Compares results: means with 95% confidence intervals (Student's t), and the differences between sidecars
// over pairs of runs with the same scenario and seed.
#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace load_test {

struct Estimate {
  // half_width: half of the width of the confidence interval; infinite with fewer than two values.
  double mean = 0, half_width = 0;
  int count = 0;
};
Estimate estimate(const std::vector<double>& values);

// Throws std::runtime_error if a result does not have the expected fields.
void compare(const std::vector<nlohmann::json>& results, std::ostream& out);

}  // namespace load_test
