// The sidecar program. BALANCER_CONFIG names what it is told; PUFFINVANE_LOG is the log's level.
#include "sidecar/lifecycle/run.h"

int main() { return puffinvane::run_sidecar(puffinvane::make_policy); }
