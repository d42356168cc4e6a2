// Runs a serving process: signals, log, event loop and exit code.
#pragma once

#include <functional>
#include <memory>

#include "src/net/process_log.h"
#include "src/proxy/request_forwarder.h"
#include "src/server/lifecycle.h"

namespace puffinvane {

// Runs the sidecar with the given policy: puffinvane's own, or a baseline that it is measured against.
// BALANCER_CONFIG names the configuration file, PUFFINVANE_LOG the log level. Returns the exit code.
int run_sidecar(PolicyFactory make_policy);

// Runs the lifecycle that `prepare` creates, together with the loop that it stores in its argument. Signals
// are blocked while `prepare` reads the settings; afterwards the lifecycle handles them. On exit, waits
// briefly until the queued log lines are written. Returns the exit code.
int run_program(ProcessLog& process_log,
                const std::function<std::unique_ptr<Lifecycle>(std::unique_ptr<Loop>&)>& prepare);

}  // namespace puffinvane
