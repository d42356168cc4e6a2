// Reads the settings of a deployment from JSON, once at the start. The simulator's instances get the same
// object in their first message, the real sidecar in its configuration file.
#pragma once

#include <simdjson.h>

#include <stdexcept>

#include "puffinvane/policy.h"

namespace puffinvane {

// The input does not have the expected form; what() says what is wrong.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws Malformed.
Deployment read_deployment(simdjson::dom::element options);

}  // namespace puffinvane
