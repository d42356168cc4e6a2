// What a sidecar is told of its deployment, read once at start: the same object reaches the simulator's
// instances in their first message and the real sidecar in its configuration.
#pragma once

#include <simdjson.h>

#include <stdexcept>

#include "puffinvane/policy.h"

namespace puffinvane {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Deployment read_deployment(simdjson::dom::element options);

}  // namespace puffinvane
