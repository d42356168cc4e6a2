// The state of a pending request and its attempts. BackupRequestPolicy owns these records.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/policy/endpoint.h"

namespace puffinvane {

// Queued: waits for capacity, with no attempt in flight. InFlight: one attempt is in flight. Hedged: an
// attempt and its hedge are in flight. Finished: it was delivered, rejected, failed or cancelled; attempts
// that are still in flight have no effect on it.
enum class RequestPhase { Queued, InFlight, Hedged, Finished };

// One sending of a request to an endpoint.
struct Attempt {
  EndpointIndex endpoint{};
  int depth = 0;  // effective_depth of the endpoint when it was sent, plus one for this attempt
  double sent_at = 0;
  bool is_in_flight = true;
  bool may_have_run = true;  // false if its outcome shows that the endpoint did not run the request
  // Copies of the endpoint's values: its slot may hold another endpoint when the attempt ends.
  std::string zone;
  std::int64_t cell = 0;
};

// The order of queued requests: lowest rank first; within a rank, in the order of arrival.
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
  // Indexes in ClassPriority: the request class, and the tenant if it is configured.
  std::vector<std::size_t> services;
  RequestPhase phase = RequestPhase::Queued;
  bool is_over_quota = false;
  double deadline = 0;        // of the client
  double queue_deadline = 0;  // when the queue timeout ends
  QueuePosition queue_position;
  double priority_percentile = 0;  // share of recent requests that rank behind it
  // Random, in [0, 1): decides whether it is admitted where the limit leaves room for a part of a request.
  double capacity_draw = 0;
  double work_ratio = 1;        // its work as a multiple of a quarter of its latency objective, 1 to 4
  double work_s = 0;            // expected work in seconds of a standard core; 0: unknown
  std::uint64_t key_hash = 0;   // 0: no key, or endpoints have no key affinity
  bool counts_as_load = false;  // whether ConcurrencyLimit counts it as load
  // What it adds to the two loads of ConcurrencyLimit. The values are kept, so that release subtracts what
  // acquire added.
  double load_by_objective = 0;
  double load_by_unloaded_latency = 0;
  std::vector<Attempt> attempts;
  std::optional<EndpointIndex> hedge_target;  // where the next hedge is sent; set before HedgeDue is applied
};

inline bool has_attempted(const RequestState& request, EndpointIndex endpoint) {
  return std::ranges::any_of(request.attempts,
                             [&](const Attempt& attempt) { return attempt.endpoint == endpoint; });
}

inline bool has_attempt_in_flight(const RequestState& request) {
  return std::ranges::any_of(request.attempts, &Attempt::is_in_flight);
}

}  // namespace puffinvane
