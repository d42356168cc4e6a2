// How long a watch waits between a call that ended and the next. The timer itself is the watch's.
#pragma once

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>

#include "src/discovery/discovery.h"

namespace puffinvane {

// Owned by a DiscoveryWatch, on the event loop's thread. Times are monotonic, in seconds.
class CallBackoff {
 public:
  // seed: differs between instances, so that they do not call one discovery at the same moments.
  CallBackoff(DiscoveryMode mode, std::uint64_t seed) : mode_(mode), random_(seed) {}

  // Discovery answered a call.
  void on_call_answered(double now) { answered_at_ = now; }
  // Seconds from the end of a call to the next one. Where asking is work they double with each call in a row
  // that failed.
  double next_delay_s(double now);

 private:
  const DiscoveryMode mode_;
  pcg32 random_;
  std::optional<double> answered_at_;  // since the last delay
  int failures_ = 0;                   // in a row
};

}  // namespace puffinvane
