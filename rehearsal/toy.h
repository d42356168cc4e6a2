// The newcomer's stand-ins: three endpoints and the discovery that lists them, at fixed addresses.
#pragma once

namespace rehearsal {

void serve_toys();  // until the process is ended

}  // namespace rehearsal
