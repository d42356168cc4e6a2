// Export of what the policy has learned, and import from the policy that it takes the place of. It keeps no
// state.
#pragma once

#include "src/policy/completion_rate.h"
#include "src/policy/endpoint_table.h"
#include "src/policy/hedging.h"
#include "src/policy/latency_tracker.h"

namespace puffinvane {

// The modules whose state is exported.
struct LearnedSources {
  const Deployment& deployment;
  const EndpointTable& endpoints;
  const LatencyTracker& latencies;
  const Hedging& hedging;
  const CompletionRate& completions;
};

// The modules that state is imported into.
struct LearnedTargets {
  const Deployment& deployment;
  EndpointTable& endpoints;
  LatencyTracker& latencies;
  Hedging& hedging;
  CompletionRate& completions;
};

LearnedState export_state(const LearnedSources& sources, double started_at);

// Imports request classes as far as both have the same in the same order, endpoints that are listed here with
// the same start time, and `rate_share` of the completion rates.
void import_state(const LearnedTargets& targets, const LearnedState& state, double rate_share, double now);

}  // namespace puffinvane
