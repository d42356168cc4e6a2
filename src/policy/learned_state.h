// Exports the learned state of the policy's modules, and imports the learned state of the policy that this
// one replaces.
#pragma once

#include "src/policy/completion_rate.h"
#include "src/policy/endpoint_table.h"
#include "src/policy/hedging.h"
#include "src/policy/latency_tracker.h"

namespace puffinvane {

// The modules that state is exported from.
struct LearnedStateSources {
  const Deployment& deployment;
  const EndpointTable& endpoints;
  const LatencyTracker& latencies;
  const Hedging& hedging;
  const CompletionRate& completions;
};

// The modules that state is imported into.
struct LearnedStateTargets {
  const Deployment& deployment;
  EndpointTable& endpoints;
  LatencyTracker& latencies;
  Hedging& hedging;
  CompletionRate& completions;
};

LearnedState export_state(const LearnedStateSources& sources, double started_at);

// Imports the state of endpoints that are listed here with the same start time, and of request classes up to
// the first whose name differs. The completion rates are multiplied by `rate_share`, this instance's share of
// the exporter's requests.
void import_state(const LearnedStateTargets& targets, const LearnedState& state, double rate_share,
                  double now);

}  // namespace puffinvane
