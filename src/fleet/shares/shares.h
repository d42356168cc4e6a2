// Divides the fleet's load: which endpoints each sidecar uses and how much load it sends to each, and which
// part of a fleet-wide budget it may spend. Both are pure functions of names and weights, so all sidecars
// that know the same members and the same endpoint list get the same result without further coordination.
// docs/fleet-design.md has the bounds and the alternatives.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace puffinvane::fleet {

// A sidecar with the load that it brings, or an endpoint with the load that it can take, relative to the
// others.
struct Participant {
  std::string_view name;
  double weight = 1;
};

struct Pair {
  int sidecar = 0, endpoint = 0;  // indices
  double load = 0;                // as a fraction of the load of the whole fleet
};

struct Assignment {
  std::vector<Pair> pairs;  // sorted by sidecar, then endpoint
  double max_overload = 1;  // of the most overloaded endpoint: its load over what its weight entitles it to
};

// Fewer only if there are fewer in all.
constexpr int kMinSidecarsPerEndpoint = 4;
constexpr int kMinEndpointsPerSidecar = 4;

Assignment assign_endpoints(std::span<const Participant> sidecars, std::span<const Participant> endpoints);

// What a member knows of the others that may spend the same budget. These are more than the live members: one
// that appears dead may be on the other side of a network partition and go on spending its part.
struct BudgetView {
  std::size_t live = 1;         // this member included
  std::size_t unreachable = 0;  // dead as far as known: neither departed nor forgotten
  std::size_t recently_started =
      0;  // live members that started after the first of the unreachable fell silent
  bool is_recently_started = false;  // whether this member is one of them
  std::size_t configured = 1;        // the number of members in the settings
};
// The part of a fleet-wide budget that this member may spend.
double budget_share(const BudgetView& view);

}  // namespace puffinvane::fleet
