// From who is there to the part of each: which endpoints a sidecar uses, and how much of it each gets. All
// who hold one membership and one list cut alike. No state: the cut is a function of names and sizes, so that
// nothing has to be agreed on but these. docs/fleet-design.md has the bounds and why this way.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace puffinvane::fleet {

struct Participant {
  std::string_view name;
  double weight = 1;  // of what it brings (a sidecar), or can take (an endpoint), against the others'
};

struct Pair {
  int sidecar = 0, endpoint = 0;
  double load = 0;  // of all that the fleet brings, which is 1
};

struct Assignment {
  std::vector<Pair> pairs;  // by sidecar, then endpoint
  double max_overload = 1;  // the most loaded endpoint over what its size is due
};

constexpr int kMinSidecarsPerEndpoint = 4;  // of an endpoint, as far as there are as many
constexpr int kMinEndpointsPerSidecar = 4;  // of a sidecar

Assignment assign_endpoints(std::span<const Participant> sidecars, std::span<const Participant> endpoints);

// The numbers a budget may be spent by, which are others than those that share: a member that is not heard of
// may be across a cut, where it spends its part too.
struct BudgetView {
  std::size_t live = 1;       // with this one
  std::size_t unheard = 0;    // dead by all appearances, not known to have left, not forgotten
  std::size_t newcomers = 0;  // of the live, whose lives are younger than the oldest of those silences
  bool newcomer = false;      // this one is of them
  std::size_t given = 1;      // in the settings
};
// Of a budget that the fleet has as a whole, the part that this one may spend.
double budget_share(const BudgetView& census);

}  // namespace puffinvane::fleet
