// A self-contained HTML page about a run, with SVG plots that mark the faults as bands.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace load_test {

std::string html_report(const nlohmann::json& result);

}  // namespace load_test
