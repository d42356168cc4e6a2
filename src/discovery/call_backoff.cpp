#include "src/discovery/call_backoff.h"

#include <algorithm>
#include <cmath>

namespace puffinvane {

namespace {

// Pushed mode: the first delays are as short as the timeouts of CallTimeouts, as several calls in a row may
// end within the grace of a drain. During an outage calls are rarer.
constexpr double kFirstPushedDelaySeconds = 0.1;
constexpr double kPushedDelaySeconds = 0.15;
constexpr int kFirstPushedDelays = 3;

// On request: one discovery service answers the calls of all instances one by one, and even refusing a call
// costs it work. If all watches are reset at once and the instances retry with short delays, it never gets
// beyond refusing calls. The upper limit on the delays: a change must be received within 6 s after a watch
// broke, even if three calls are refused. With maximum jitter the delays are 0.5 + 1 + 1.4 s, and the last
// call may be queued for 2 s.
constexpr double kFirstDelaySeconds = 0.4;
constexpr double kMaxDelaySeconds = 1.1;
constexpr double kJitter = 0.25;  // the delay varies by up to this fraction in either direction
constexpr int kMaxDoublings = 8;

// A call that lasts longer than this after it was answered counts as successful.
constexpr double kMinWatchSeconds = 2;

}  // namespace

double CallBackoff::next_delay_s(double now) {
  double min_watch_s = mode_ == DiscoveryMode::Pushed ? 0 : kMinWatchSeconds;
  if (answered_at_ && now - *answered_at_ > min_watch_s) failures_ = 0;
  answered_at_.reset();
  if (mode_ == DiscoveryMode::Pushed) {
    failures_ = std::min(failures_ + 1, kFirstPushedDelays + 1);
    return failures_ > kFirstPushedDelays ? kPushedDelaySeconds : kFirstPushedDelaySeconds;
  }
  double doubled_s = std::ldexp(kFirstDelaySeconds, std::min(failures_, kMaxDoublings));
  ++failures_;
  double uniform = std::ldexp(double(random_()), -32);  // in [0, 1)
  return std::min(kMaxDelaySeconds, doubled_s) * (1 - kJitter + 2 * kJitter * uniform);
}

}  // namespace puffinvane
