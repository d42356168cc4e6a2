// One run from start to verdict.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "tools/load_test/scenario/scenario.h"

namespace load_test {

struct RunPlan {
  Scenario scenario;
  std::uint64_t seed = 1;
  std::string command;  // of a sidecar
  std::string label;    // who is measured, for comparisons
  bool keep_logs = false;
};

// Throws std::runtime_error where the machine gives no sockets, processes or folders.
nlohmann::json run(const RunPlan& plan);
// The lines for a person, the last one the verdict; also what 'run' exits with: 0, or 3 if a rule broke.
std::string summary(const nlohmann::json& result);

}  // namespace load_test
