// Decides how long a response that is being relayed may go on past the deadline of its request. No I/O, no
// clock.
#pragma once

#include <cstddef>
#include <optional>

namespace puffinvane {

// What is known of the response. Times are seconds.
struct RelayProgress {
  std::optional<std::size_t> declared_bytes;  // the length of the body, if the endpoint declared one
  std::size_t received_bytes = 0;             // of the body
  double elapsed_s = 0;                       // since the first byte of the response
  double silent_s = 0;                        // since the last byte; 0 while this side has paused reading
  double overdue_s = 0;                       // since the deadline of the request
};

enum class RelayVerdict {
  Continue,  // to be judged again soon
  Settled,   // a long response that may go on; only the connection's own timeout ends it
  GiveUp     // the endpoint is taken to give no more of it
};

// The time of a response of up to 64 KiB is that of its last byte, and the time of a longer one that of its
// first bytes: it must be passed on for as long as the endpoint goes on writing. A response without a
// declared length may turn out to be either.
RelayVerdict judge_overdue_relay(const RelayProgress& progress);

}  // namespace puffinvane
