// What a policy has learned and exports to the one that takes its place: plain samples, no pending request.
// The hot restart protocol writes these fields in this order and Health by its number (src/hot_restart).
#pragma once

#include <deque>
#include <string>
#include <vector>

namespace puffinvane {

// Whether an endpoint, or one request class at an endpoint, may take attempts. Removed: it is not listed.
enum class Health { Healthy, Ejected, Recovering, Removed };

// One response of an endpoint.
struct ResponseSample {
  double completed_at_s = 0;
  double latency_ratio = 0;  // latency over the calm latency of its request class
  int depth = 0;             // attempts in flight at the endpoint when it was sent, itself included
  bool in_time = false;      // within the hedge threshold
  bool failed = false;
  friend bool operator==(const ResponseSample&, const ResponseSample&) = default;
};

// Of an endpoint as a whole, or of one request class at an endpoint.
struct EndpointStatistics {
  Health health = Health::Removed;
  double next_ejection_s = 0;     // how long the next ejection lasts
  double ejected_until_s = 0;     // on the monotonic clock
  double last_response_s = -1e9;  // on the monotonic clock
  int recovery_limit = 0;         // attempts in flight at most while recovering
  std::vector<ResponseSample> samples{};
  double outage_started_s = 0;               // when it was ejected, 0 while it is in full use
  std::vector<double> outage_durations_s{};  // how long the last absences lasted
  friend bool operator==(const EndpointStatistics&, const EndpointStatistics&) = default;
};

// May be exported in parts: a field that a part leaves empty says nothing.
struct LearnedState {
  struct RequestClassState {
    std::string name;
    std::deque<double> latencies;  // seconds, of the last delivered requests
    std::deque<double> means;      // seconds, mean latency of each of the last seconds
    friend bool operator==(const RequestClassState&, const RequestClassState&) = default;
  };
  struct EndpointState {
    std::string name;
    double online_since_s = 0;
    EndpointStatistics whole;
    std::vector<EndpointStatistics> by_class;  // in the order of classes
    friend bool operator==(const EndpointState&, const EndpointState&) = default;
  };
  std::vector<RequestClassState> classes;
  std::vector<EndpointState> endpoints;
  std::deque<double> lateness;          // of the last requests: 1 past its hedge threshold, 0 within
  std::deque<double> completion_rates;  // responses in each of the last ticks of the policy
  double started_at_s = 0;              // 0: not exported
};

}  // namespace puffinvane
