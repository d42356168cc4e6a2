// The learned state that a policy exports to the policy that replaces it: samples and statistics, but no
// pending requests. The hot restart protocol encodes these fields in this order, and Health by its numeric
// value (src/hot_restart).
#pragma once

#include <deque>
#include <string>
#include <vector>

namespace puffinvane {

// Whether an endpoint, or one request class at an endpoint, may receive attempts. Ejected: none. Recovering:
// a limited number at a time, after an ejection. Removed: the endpoint is not listed.
enum class Health { Healthy, Ejected, Recovering, Removed };

// One response of an endpoint. All times here are seconds on the monotonic clock.
struct ResponseSample {
  double completed_at_s = 0;
  double latency_ratio = 0;  // latency divided by the unloaded latency of its request class
  int depth = 0;             // attempts in flight at the endpoint when this one was sent, including it
  bool in_time = false;      // the latency was within the hedge threshold
  bool failed = false;
  friend bool operator==(const ResponseSample&, const ResponseSample&) = default;
};

// Statistics of an endpoint as a whole, or of one request class at an endpoint. An outage lasts from an
// ejection until the end of the recovery that follows.
struct EndpointStatistics {
  Health health = Health::Removed;
  double next_ejection_s = 0;     // duration of the next ejection
  double ejected_until_s = 0;     // on the monotonic clock
  double last_response_s = -1e9;  // on the monotonic clock
  int recovery_limit = 0;         // maximum number of attempts in flight while recovering
  std::vector<ResponseSample> samples{};
  double outage_started_s = 0;               // start of the current outage; 0: none
  std::vector<double> outage_durations_s{};  // the most recent outages, oldest first
  friend bool operator==(const EndpointStatistics&, const EndpointStatistics&) = default;
};

// May be transferred in parts: an empty field of a part carries no information.
struct LearnedState {
  struct RequestClassState {
    std::string name;
    std::deque<double> latencies;  // in seconds, of the most recent delivered requests
    std::deque<double> means;      // in seconds, the mean latency in each of the last seconds
    friend bool operator==(const RequestClassState&, const RequestClassState&) = default;
  };
  struct EndpointState {
    std::string name;
    double online_since_s = 0;  // start time; 0: it ran before the exporter first saw it
    EndpointStatistics whole;
    std::vector<EndpointStatistics> by_class;  // in the order of `classes`
    friend bool operator==(const EndpointState&, const EndpointState&) = default;
  };
  std::vector<RequestClassState> classes;
  std::vector<EndpointState> endpoints;
  std::deque<double> lateness;  // of the most recent requests: 1 if later than the hedge threshold, else 0
  std::deque<double> completion_rates;  // number of responses in each of the last ticks of the policy
  double started_at_s = 0;              // when the exporter started to learn; 0: not exported
};

}  // namespace puffinvane
