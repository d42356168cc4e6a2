// The delay between the end of a call to discovery and the next call. DiscoveryWatch runs the timer.
#pragma once

#include <cstdint>
#include <optional>
#include <pcg_random.hpp>

#include "src/discovery/discovery.h"

namespace puffinvane {

// Owned by a DiscoveryWatch, on the event loop's thread. Times are monotonic, in seconds.
class CallBackoff {
 public:
  // seed: of the random jitter. It has to differ between instances, so that they don't call a shared
  // discovery service in step.
  CallBackoff(DiscoveryMode mode, std::uint64_t seed) : mode_(mode), random_(seed) {}

  // Discovery has begun to answer the current call.
  void on_call_answered(double now) { answered_at_ = now; }
  // Seconds to wait before the next call, given that a call has ended at `now`. In pushed mode it is
  // short for the first calls that fail in a row and constant from then on; in on-request mode the delay
  // doubles with each consecutive failed call, up to a limit, and is jittered.
  double next_delay_s(double now);

 private:
  const DiscoveryMode mode_;
  pcg32 random_;
  std::optional<double> answered_at_;  // when the current call was answered
  int failures_ = 0;                   // consecutive
};

}  // namespace puffinvane
