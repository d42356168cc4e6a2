// The per-endpoint state that several modules of the policy share: identity, health, response history and
// attempts in flight. EndpointTable owns it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "puffinvane/policy.h"
#include "src/policy/response_history.h"

namespace puffinvane {

// The slot of an endpoint in the EndpointTable. A slot is reused after its endpoint was removed.
enum class EndpointIndex : std::size_t {};

// An attempt that has no outcome yet.
struct InFlightAttempt {
  double sent_at = 0;
  RequestId request = 0;
  int attempt_number = 0;
  std::size_t class_index = 0;  // request class; ignored by operator<

  friend bool operator<(const InFlightAttempt& left, const InFlightAttempt& right) {
    return std::tie(left.sent_at, left.request, left.attempt_number) <
           std::tie(right.sent_at, right.request, right.attempt_number);
  }
};

// Whether a target is ejected or recovering, and for how long. OutlierEjection updates it.
// An outage lasts from the ejection of a target until it is fully used again, recovery included.
struct EjectionState {
  Health health = Health::Removed;
  double next_ejection_s = 0;  // duration of the next ejection
  double ejected_until = 0;
  int recovery_limit = 0;                    // maximum number of attempts in flight while recovering
  double outage_started_at = 0;              // 0: no outage now
  std::vector<double> outage_durations_s{};  // the most recent outages, oldest first
};

// What attempts are sent to: an endpoint as a whole, or one request class at an endpoint.
struct AttemptTarget {
  EjectionState ejection;
  ResponseHistory responses;
  std::set<InFlightAttempt> in_flight;  // ordered by the time they were sent
};

struct Endpoint {
  EndpointIndex index{};
  std::string name;
  std::string zone;
  std::int64_t cell = 0;
  double weight = 1;        // as listed
  double online_since = 0;  // start time; 0: it ran before this process first saw it
  bool is_missing = false;  // absent from the last full list, or listed as removed
  double last_used_at = 0;  // when the most recent attempt was sent
  Load load;                // as reported by its most recent response
  double load_reported_at = -1e9;
  AttemptTarget whole;                  // across all request classes
  std::vector<AttemptTarget> by_class;  // per request class; empty until the endpoint is tracked

  Health health() const { return whole.ejection.health; }
  // The health for one request class; that of the whole endpoint if it has no statistics per class.
  Health class_health(std::size_t class_index) const {
    return by_class.empty() ? health() : by_class[class_index].ejection.health;
  }
};

constexpr double kLoadReportMaxAgeSeconds = 3;  // older load reports are ignored

// How many requests the endpoint is assumed to have: this instance's attempts in flight, or the depth that
// the endpoint reported recently if that is larger. Hedging limits and the learned capacity are based on it.
inline double effective_depth(const Endpoint& endpoint, double now) {
  bool is_recent = now - endpoint.load_reported_at < kLoadReportMaxAgeSeconds;
  return std::max(double(endpoint.whole.in_flight.size()), is_recent ? endpoint.load.depth : 0);
}

// A value for each endpoint slot; slots that were never written hold a default-constructed value.
template <typename Value>
class PerEndpoint {
 public:
  Value& operator[](EndpointIndex index) {
    auto slot = static_cast<std::size_t>(index);
    if (slot >= values_.size()) {
      values_.resize(slot + 1);
    }
    return values_[slot];
  }
  Value at_or_default(EndpointIndex index) const {
    auto slot = static_cast<std::size_t>(index);
    return slot < values_.size() ? values_[slot] : Value{};
  }

 private:
  std::vector<Value> values_;
};

}  // namespace puffinvane
