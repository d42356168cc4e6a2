// What operators have ordered, as the processes of one sidecar tell each other. All times are on the system's
// monotonic clock, which the processes share.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace puffinvane {

// All orders that are in force.
struct OperatorOverrides {
  std::map<std::string, double, std::less<>> excluded_since_s;  // by the name of the endpoint
  std::optional<double> evacuated_since_s;                      // unset: the sidecar is not evacuated
  friend bool operator==(const OperatorOverrides&, const OperatorOverrides&) = default;
};

// One order. Of several about the same endpoint, or about the evacuation, the last given one holds, in
// whatever sequence a process learns of them.
struct OperatorOrder {
  enum class Action { Exclude, Include, Evacuate, Rejoin };
  Action action = Action::Exclude;
  std::string endpoint;  // of Exclude and Include
  double given_at_s = 0;
  friend bool operator==(const OperatorOrder&, const OperatorOrder&) = default;
};

}  // namespace puffinvane
