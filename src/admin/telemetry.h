// Writes metrics in the Prometheus exposition format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "puffinvane/policy.h"
#include "src/discovery/discovery_watch.h"
#include "src/fleet/fleet.h"
#include "src/proxy/request_counters.h"

namespace puffinvane {

// The values of the gauges.
struct CurrentCounts {
  std::size_t active_requests = 0;
  std::size_t endpoints = 0;          // in the list
  std::size_t avoided_endpoints = 0;  // excluded or ejected
  std::int64_t list_index = 0;        // of the list in force; 0: none
  DiscoveryStatus discovery;
  std::size_t buffer_bytes = 0;                    // in use, by buffers and heads
  std::uint64_t requests_rejected_for_memory = 0;  // of which only a part had been read
};

std::string write_telemetry(const std::vector<RequestClass>& request_classes, const RequestCounters& counters,
                            const CurrentCounts& current, std::uint64_t dropped_log_lines);

std::string write_telemetry(const std::vector<fleet::Fleet::Metric>& figures);

}  // namespace puffinvane
