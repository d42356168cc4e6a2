// The program from start to exit, with the decisions that it is given: puffinvane's own, or those of a
// baseline that it is measured against.
#pragma once

#include "sidecar/wire/carrier.h"

namespace puffinvane {

// Told by BALANCER_CONFIG, logs at PUFFINVANE_LOG's level. What the program exits with.
int run_sidecar(PolicyMaker make);

}  // namespace puffinvane
