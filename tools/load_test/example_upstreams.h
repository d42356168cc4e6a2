// The newcomer's stand-ins: three endpoints and the discovery that lists them, at fixed addresses.
#pragma once

namespace load_test {

void serve_example_upstreams();  // until the process is ended

}  // namespace load_test
