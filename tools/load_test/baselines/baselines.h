// Other ways to choose an endpoint, behind the same RequestForwarder: what puffinvane is measured against,
// never what it does. They retry what the rules allow and nothing else; they know nothing of hedges, room or
// slow starts.
#pragma once

#include "puffinvane/policy.h"

namespace load_test {

using Maker = std::unique_ptr<puffinvane::Policy> (*)(double, puffinvane::Deployment, std::uint64_t,
                                                      puffinvane::Host&);
struct Baseline {
  const char* name;
  Maker make;
};
std::span<const Baseline> baselines();  // random, round-robin, least-outstanding, two-choices

}  // namespace load_test
