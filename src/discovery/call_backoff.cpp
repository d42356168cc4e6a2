#include "src/discovery/call_backoff.h"

#include <algorithm>
#include <cmath>

namespace puffinvane {

namespace {

constexpr double kPushedDelaySeconds = 0.15;

// One discovery answers all instances in turn, and refusing a call is work too: with short delays all of them
// together, as when all watches are reset at once, would keep it refusing for ever. A change must be received
// 6 s after a watch broke though three calls were refused: 0.5 + 1 + 1.4 s of delays at their longest, and 2
// s in which the last call waits for its turn.
constexpr double kFirstDelaySeconds = 0.4;
constexpr double kMaxDelaySeconds = 1.1;
constexpr double kDelaySpread = 0.25;  // as a share of the delay, to either side
constexpr int kMaxDoublings = 8;

// An answered call that ends later than this after its answer did not fail.
constexpr double kMinWatchSeconds = 2;

}  // namespace

double CallBackoff::next_delay_s(double now) {
  if (answered_at_ && now - *answered_at_ > kMinWatchSeconds) failures_ = 0;
  answered_at_.reset();
  if (mode_ == DiscoveryMode::Pushed) return kPushedDelaySeconds;
  double doubled_s = std::ldexp(kFirstDelaySeconds, std::min(failures_, kMaxDoublings));
  ++failures_;
  double uniform = std::ldexp(double(random_()), -32);  // in [0, 1)
  return std::min(kMaxDelaySeconds, doubled_s) * (1 - kDelaySpread + 2 * kDelaySpread * uniform);
}

}  // namespace puffinvane
