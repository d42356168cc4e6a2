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
int run_sidecar(PolicyMaker make);

// Signals are held back while `prepare` reads what it is told, and heeded by what it makes. Lines that the
// log's reader does not take are queued, and at the end waited for briefly.
int run_program(ProcessLog& process_log,
                const std::function<std::unique_ptr<Lifecycle>(std::unique_ptr<Loop>&)>& prepare);

}  // namespace puffinvane
