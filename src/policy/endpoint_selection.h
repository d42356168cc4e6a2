// Which endpoint gets the next attempt of a request: the lowest depth among the candidates, weighted by size
// and speed, with zones, keys and random ties. It reads the state of other modules and has none of its own.
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
  // LowestDepth: for first attempts and retries. AtRandom: for hedges.
  enum class Strategy { LowestDepth, AtRandom };

  struct Inputs {
    const Deployment& deployment;
    const EndpointTable& endpoints;
    const SlowStart& slow_start;
    const Subset& subset;
    const RetrySafety& retry_safety;
  };
  explicit EndpointSelection(const Inputs& inputs) : inputs_(inputs) {}

  // From now on listed weights are this instance's shares, so that ties are drawn by them.
  void on_instance_shares_known() { weights_are_shares_ = true; }

  // An endpoint of the subset that may take an attempt of `request` now, or else of the whole ring.
  std::optional<EndpointIndex> select(const RequestState& request, Strategy strategy, double now,
                                      Random& random) const;
  // Whether a healthy endpoint, open to attempts or not, may get another attempt of `request` in its time.
  bool has_retry_target(const RequestState& request, double now) const;

 private:
  Inputs inputs_;
  bool weights_are_shares_ = false;
};

}  // namespace puffinvane
