// Shared by tests of endpoint start times: passes lists to the converter of start times, and compares times
// with a tolerance.
#pragma once

#include <gmock/gmock.h>

#include <utility>
#include <vector>

#include "src/discovery/endpoint_start_times.h"
#include "testing/endpoint_lists.h"

namespace puffinvane::test {

// By how much the wall clock is ahead of the clock that start times are stated by, in seconds.
constexpr double kWallClockErrors[] = {-3600, -5, 5, 3600};
constexpr double kRoundingSeconds = 0.002;

inline auto about(double expected_s) {
  return testing::AllOf(testing::Gt(expected_s - kRoundingSeconds),
                        testing::Lt(expected_s + kRoundingSeconds));
}

inline auto between(double earliest_s, double latest_s) {
  return testing::AllOf(testing::Ge(earliest_s), testing::Le(latest_s));
}

inline ClockOffsets wall_clock_ahead_by(double error_s) {
  ClockOffsets offsets;
  offsets.wall_s = kStatedClockOffsetSeconds + error_s;
  return offsets;
}

inline ClockOffsets right_wall_clock() { return wall_clock_ahead_by(0); }

// The start times of the entries of a list, in its order.
inline std::vector<double> start_times(EndpointStartTimes& starts, EndpointList list,
                                       const ClockOffsets& offsets = right_wall_clock()) {
  starts.on_list(list, offsets);
  std::vector<double> started_at_s;
  for (const ListEntry& entry : list.entries) started_at_s.push_back(entry.online_since_s);
  return started_at_s;
}

// The start time of the first entry of a snapshot.
inline double first_start_time(EndpointStartTimes& starts, double received_at_s,
                               const std::vector<EndpointBuilder>& endpoints, double wall_error_s = 0) {
  EndpointList list = snapshot_at(received_at_s, endpoints);
  return start_times(starts, std::move(list), wall_clock_ahead_by(wall_error_s)).front();
}

}  // namespace puffinvane::test
