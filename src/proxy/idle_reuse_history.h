// How the last kept connections fared that carried one more request: some networks and endpoints drop what
// stands idle without a word, and the next request is what finds out.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

namespace puffinvane {

class IdleReuseHistory {
 public:
  void record(double idle, bool reset) {
    uses_.push_back({idle, reset});
    if (uses_.size() > kMost) uses_.pop_front();
  }
  // Whether one that has stood idle for so long had better not carry what can't be sent again. Judged by
  // those that stood up to twice as long: the fresher a connection, the fewer of them were dropped.
  bool likely_stale(double idle) const {
    double alike = 0, reset = 0;
    for (const Use& use : uses_) {
      if (use.idle <= 2 * idle) alike += 1, reset += use.reset;
    }
    return reset > kShare * alike;
  }

 private:
  struct Use {
    double idle;
    bool reset;
  };
  // A new connection costs a handshake, a fiftieth of a request where it has a price; a lost request costs a
  // whole one.
  static constexpr double kShare = 0.02;
  static constexpr std::size_t kMost = 64;
  std::deque<Use> uses_;
};

}  // namespace puffinvane
