// Selects the endpoint for the next attempt of a request: the candidate with the fewest attempts in flight
// relative to its weight and speed. Zones and request keys shift the choice, and ties are broken at random.
// Apart from one flag it has no state of its own and reads that of other modules.
#pragma once

#include <optional>
#include <vector>

#include "src/policy/endpoint_table.h"
#include "src/policy/random.h"
#include "src/policy/request_state.h"
#include "src/policy/retry_safety.h"
#include "src/policy/slow_start.h"
#include "src/policy/subset.h"

namespace puffinvane {

class EndpointSelection {
 public:
  // LowestDepth: the least loaded candidate, for first attempts and retries. AtRandom: any candidate, with a
  // probability in proportion to its weight, for hedges.
  enum class Strategy { LowestDepth, AtRandom };

  struct Inputs {
    const Deployment& deployment;
    const EndpointTable& endpoints;
    const SlowStart& slow_start;
    const Subset& subset;
    const RetrySafety& retry_safety;
  };
  explicit EndpointSelection(const Inputs& inputs) : inputs_(inputs) {}

  // From now on the listed weights are this instance's shares: ties are broken in proportion to them.
  void on_instance_shares_known() { weights_are_shares_ = true; }

  // The endpoint for the next attempt of `request`: a member of the subset, or any listed endpoint if no
  // member is eligible. Empty if none is eligible, or if the request has used up its attempts.
  std::optional<EndpointIndex> select(const RequestState& request, Strategy strategy, double now,
                                      Random& random) const;
  // Whether a retry of `request` is possible before its deadline at some healthy endpoint, even if that
  // endpoint can't take the attempt right now.
  bool has_retry_target(const RequestState& request, double now) const;

 private:
  Inputs inputs_;
  bool weights_are_shares_ = false;
};

}  // namespace puffinvane
