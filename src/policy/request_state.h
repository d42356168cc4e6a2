// What the policy knows of a pending request. BackupRequestPolicy owns these records.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/policy/endpoint.h"

namespace puffinvane {

// Queued: no attempt in flight, waits for capacity. InFlight: one attempt. Hedged: an attempt and its hedge.
enum class RequestPhase { Queued, InFlight, Hedged, Finished };

// One time that a request was sent to an endpoint.
struct Attempt {
  EndpointIndex endpoint{};
  int depth = 0;  // at the endpoint when it was sent, itself included
  double sent_at = 0;
  bool is_in_flight = true;
  bool may_have_run = true;
  // Kept here, as the endpoint's slot may be another's when the attempt ends.
  std::string zone;
  std::int64_t cell = 0;
};

// The order of queued requests: lowest rank first, then first come.
struct QueuePosition {
  double rank = 0;
  std::uint64_t sequence = 0;

  friend bool operator<(const QueuePosition& left, const QueuePosition& right) {
    return left.rank < right.rank || (!(right.rank < left.rank) && left.sequence < right.sequence);
  }
};

struct RequestState {
  RequestId id = 0;
  std::size_t class_index = 0;
  std::vector<std::size_t> services;  // indexes in ClassPriority: its request class, and its tenant if known
  RequestPhase phase = RequestPhase::Queued;
  bool is_over_quota = false;
  double deadline = 0;
  double queue_deadline = 0;
  QueuePosition queue_position;
  double priority_percentile = 0;  // share of recent requests that rank behind it
  double capacity_draw = 0;    // random, in [0, 1): whether it is admitted where a fraction of a request fits
  double work_ratio = 1;       // its work against a quarter of its latency objective, at least 1
  double work_s = 0;           // as announced, 0: unknown
  std::uint64_t key_hash = 0;  // 0: no key that counts
  bool counts_as_load = false;  // in ConcurrencyLimit, with the weights below
  double load_weight = 0;
  double calm_load_weight = 0;
  std::vector<Attempt> attempts;
  std::optional<EndpointIndex> hedge_target;  // set when a hedge is due
};

inline bool has_attempted(const RequestState& request, EndpointIndex endpoint) {
  return std::ranges::any_of(request.attempts,
                             [&](const Attempt& attempt) { return attempt.endpoint == endpoint; });
}

inline bool has_attempt_in_flight(const RequestState& request) {
  return std::ranges::any_of(request.attempts, &Attempt::is_in_flight);
}

}  // namespace puffinvane
