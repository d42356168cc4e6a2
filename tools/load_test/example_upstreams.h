// Three endpoints and their discovery at fixed loopback addresses, for trying out a sidecar.
#pragma once

namespace load_test {

void serve_example_upstreams();  // runs until the process is terminated

}  // namespace load_test
