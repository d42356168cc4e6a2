// The records of an endpoint that several modules of the policy read: identity, health, responses, attempts
// in flight. EndpointTable owns them.
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

// The slot of an endpoint in the EndpointTable; it is reused once the endpoint is removed.
enum class EndpointIndex : std::size_t {};

// An attempt that has no outcome yet.
struct InFlightAttempt {
  double sent_at = 0;
  RequestId request = 0;
  int attempt_number = 0;
  std::size_t class_index = 0;  // of the request; not part of the order

  friend bool operator<(const InFlightAttempt& left, const InFlightAttempt& right) {
    return std::tie(left.sent_at, left.request, left.attempt_number) <
           std::tie(right.sent_at, right.request, right.attempt_number);
  }
};

// Where the ejection of a target stands; OutlierEjection changes it.
struct EjectionState {
  Health health = Health::Removed;
  double next_ejection_s = 0;
  double ejected_until = 0;
  int recovery_limit = 0;                    // attempts in flight at most while recovering
  double outage_started_at = 0;              // 0: in full use
  std::vector<double> outage_durations_s{};  // how long the last absences lasted
};

// What attempts are sent to: an endpoint as a whole, or one request class at an endpoint.
struct AttemptTarget {
  EjectionState ejection;
  ResponseHistory responses;
  std::set<InFlightAttempt> in_flight;  // by time of sending
};

struct Endpoint {
  EndpointIndex index{};
  std::string name;
  std::string zone;
  std::int64_t cell = 0;
  double weight = 1;        // as listed
  double online_since = 0;  // 0: before this process knew of it
  bool is_missing = false;  // left out of a full list, or listed as removed
  double last_used_at = 0;  // when the last attempt was sent
  Load load;                // as its last response reported it
  double load_reported_at = -1e9;
  AttemptTarget whole;
  std::vector<AttemptTarget> by_class;  // by request class; empty while no attempt was sent

  Health health() const { return whole.ejection.health; }
  // Of a request class that got no attempt yet: as the whole endpoint's.
  Health class_health(std::size_t class_index) const {
    return by_class.empty() ? health() : by_class[class_index].ejection.health;
  }
};

constexpr double kLoadReportMaxAgeSeconds = 3;

// The depth for the hedge's bound and the learned capacity: own attempts in flight, or the reported depth if
// that is recent and deeper.
inline double effective_depth(const Endpoint& endpoint, double now) {
  bool is_recent = now - endpoint.load_reported_at < kLoadReportMaxAgeSeconds;
  return std::max(double(endpoint.whole.in_flight.size()), is_recent ? endpoint.load.depth : 0);
}

// A value for each endpoint slot; slots that were never written have the default.
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
