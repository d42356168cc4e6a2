// Simple load-balancing policies that puffinvane is compared with. They run behind the same RequestForwarder,
// retry where the idempotency of the request allows it, and have no hedging, no concurrency limits and no
// slow start.
#pragma once

#include "puffinvane/policy.h"

namespace load_test {

using PolicyFactory = std::unique_ptr<puffinvane::Policy> (*)(double, puffinvane::Deployment, std::uint64_t,
                                                              puffinvane::Host&);
struct Baseline {
  const char* name;
  PolicyFactory make_policy;
};
std::span<const Baseline> baselines();  // random, round-robin, least-outstanding, two-choices

}  // namespace load_test
