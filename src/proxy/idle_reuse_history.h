// Records whether recent requests that reused an idle connection found it still open. Some networks and
// endpoints drop idle connections without closing them, which shows only when the next request is sent.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

namespace puffinvane {

class IdleReuseHistory {
 public:
  // dropped: the reused connection turned out to have been dropped while it was idle.
  void record(double idle_s, bool dropped) {
    reuses_.push_back({idle_s, dropped});
    if (reuses_.size() > kMaxReuses) reuses_.pop_front();
  }
  // Whether a connection that has been idle for `idle_s` is too likely to be dropped for a request that can't
  // be sent again. Considers reuses after up to twice that time, as shorter idle times see fewer drops.
  bool likely_stale(double idle_s) const {
    double considered = 0;
    double dropped = 0;
    for (const Reuse& reuse : reuses_) {
      if (reuse.idle_s <= 2 * idle_s) {
        considered += 1;
        dropped += reuse.dropped;
      }
    }
    return dropped > kMaxDroppedShare * considered;
  }

 private:
  struct Reuse {
    double idle_s;
    bool dropped;
  };
  // A new connection costs a handshake, which is charged at a fiftieth of a request where it is charged at
  // all; a lost request costs a whole one.
  static constexpr double kMaxDroppedShare = 0.02;
  static constexpr std::size_t kMaxReuses = 64;
  std::deque<Reuse> reuses_;
};

}  // namespace puffinvane
