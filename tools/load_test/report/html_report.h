// A run as one HTML page that needs nothing beside it: plots as SVG, the scenario's troubles as bands.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace load_test {

std::string page_of(const nlohmann::json& result);

}  // namespace load_test
