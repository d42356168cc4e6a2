// The figures as text, in the Prometheus exposition format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "puffinvane/policy.h"
#include "src/fleet/fleet.h"
#include "src/proxy/request_counters.h"

namespace puffinvane {

struct Standing {  // as things are now
  std::size_t under_way = 0, endpoints = 0, avoided = 0;
};

std::string write_telemetry(const std::vector<RequestClass>& request_classes, const RequestCounters& counters,
                            const Standing& standing, std::uint64_t dropped_log_lines);

std::string write_telemetry(const std::vector<fleet::Fleet::Metric>& figures);

}  // namespace puffinvane
