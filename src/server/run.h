// A program that serves, from start to exit.
#pragma once

#include <functional>
#include <memory>

#include "src/net/process_log.h"
#include "src/proxy/request_forwarder.h"
#include "src/server/lifecycle.h"

namespace puffinvane {

// The platform's sidecar with the decisions that it is given: puffinvane's own, or those of a baseline that
// it is measured against. Told by BALANCER_CONFIG, logs at PUFFINVANE_LOG's level. What the program exits
// with.
int run_sidecar(PolicyFactory make);

// Blocks signals while `prepare` reads the settings; the lifecycle that it returns handles them. Log lines
// that the reader does not take are queued; at the end the process waits for them briefly. Returns the exit
// code.
int run_program(ProcessLog& process_log,
                const std::function<std::unique_ptr<Lifecycle>(std::unique_ptr<Loop>&)>& prepare);

}  // namespace puffinvane
