// A run as one HTML page that needs nothing beside it: plots as SVG, the script's troubles as bands.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace rehearsal {

std::string page_of(const nlohmann::json& result);

}  // namespace rehearsal
