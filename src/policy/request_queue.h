// The queue of requests that wait for capacity, in the order of their rank. It does not decide which requests
// are dispatched, rejected or failed.
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

  // Rank of a retry: ahead of all first attempts, as its client has waited longest and an endpoint may have
  // spent work on it already.
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
  // The number of requests enqueued so far, which is the sequence number of the last one.
  std::uint64_t last_sequence() const { return last_sequence_; }

  // The queue timeout, in seconds. A request that is sent when it ends, and whose attempt takes the unloaded
  // latency, still completes well within its latency objective.
  static double timeout_s(double latency_objective_s, double unloaded_latency_s) {
    constexpr double kMinObjectiveShare = 0.2;
    constexpr double kMaxObjectiveShare = 0.8;
    return std::max(kMinObjectiveShare * latency_objective_s,
                    kMaxObjectiveShare * latency_objective_s - 2 * unloaded_latency_s);
  }

 private:
  Entries entries_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace puffinvane
