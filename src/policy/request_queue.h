// Requests that wait for capacity, by rank. It does not decide who is dispatched or given up.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>

#include "src/policy/request_state.h"

namespace puffinvane {

class RequestQueue {
 public:
  using Entries = std::map<QueuePosition, RequestId>;
  using Iterator = Entries::iterator;

  // The rank of a retry: ahead of all others, as its client has waited longest and work may be spent on it.
  static constexpr double kRetryRank = -1e9;

  QueuePosition enqueue(RequestId request, double rank) {
    QueuePosition position{rank, ++last_sequence_};
    entries_.emplace(position, request);
    return position;
  }
  void remove(const QueuePosition& position) { entries_.erase(position); }
  Iterator remove(Iterator entry) { return entries_.erase(entry); }

  bool empty() const { return entries_.empty(); }
  Iterator begin() { return entries_.begin(); }
  Iterator end() { return entries_.end(); }
  std::size_t count_ahead_of(const QueuePosition& position) const {
    return std::size_t(std::distance(entries_.begin(), entries_.find(position)));
  }
  // How many requests were ever enqueued.
  std::uint64_t last_sequence() const { return last_sequence_; }

  // How long a request may be queued, in seconds: as long as a calm attempt would still end well within its
  // latency objective.
  static double timeout_s(double latency_objective_s, double unloaded_latency_s) {
    constexpr double kShortestShare = 0.2;
    constexpr double kLongestShare = 0.8;
    return std::max(kShortestShare * latency_objective_s,
                    kLongestShare * latency_objective_s - 2 * unloaded_latency_s);
  }

 private:
  Entries entries_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace puffinvane
