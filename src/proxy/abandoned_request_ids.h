// Remembers the ids of requests that may have run, or may yet run, although this process has no pending
// request for them: their clients have left without a response, or another process of this sidecar has sent
// them. Under such an id nothing is forwarded again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "src/policy/hashing.h"

namespace puffinvane {

// Keeps hashes, of a bounded number of ids and for a bounded time. Times are seconds on the loop's clock.
class AbandonedRequestIds {
 public:
  // Longer than a request may run at an endpoint after its client has left.
  static constexpr double kKeptSeconds = 30;
  static constexpr std::size_t kMaxIds = 16 * 1024;

  void add(std::string_view id, double now) { add_hash(hash_of(id), now); }
  void add_hash(std::uint64_t hash, double now) {
    forget_old(now);
    if (!hashes_.insert(hash).second) return;
    added_.push_back({hash, now});
    if (added_.size() > kMaxIds) forget_first();
  }
  bool contains(std::string_view id, double now) {
    forget_old(now);
    return hashes_.contains(hash_of(id));
  }
  std::size_t count() const { return hashes_.size(); }
  const std::unordered_set<std::uint64_t>& hashes() const { return hashes_; }

  static std::uint64_t hash_of(std::string_view id) { return hash_name(kHashSeed, id); }

 private:
  static constexpr std::uint64_t kHashSeed = 0x9e3779b97f4a7c15;
  struct Added {
    std::uint64_t hash = 0;
    double at = 0;
  };
  void forget_old(double now) {
    while (!added_.empty() && now - added_.front().at > kKeptSeconds) forget_first();
  }
  void forget_first() {
    hashes_.erase(added_.front().hash);
    added_.pop_front();
  }

  std::unordered_set<std::uint64_t> hashes_;
  std::deque<Added> added_;  // the oldest first
};

}  // namespace puffinvane
