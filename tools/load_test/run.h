// Runs one scenario and returns its result.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "tools/load_test/scenario/scenario.h"

namespace load_test {

struct RunPlan {
  Scenario scenario;
  std::uint64_t seed = 1;
  std::string command;  // that starts a sidecar
  std::string label;    // name of the sidecar in comparisons
  bool keep_logs = false;
};

// Throws std::runtime_error if sockets, processes or folders cannot be created.
nlohmann::json run(const RunPlan& plan);
// Human-readable summary; the last line says whether the rules were kept.
std::string summary(const nlohmann::json& result);

}  // namespace load_test
