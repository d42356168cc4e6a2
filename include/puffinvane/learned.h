// What a module has learned and hands on to one that takes its place: plain samples, and no pending request.
#pragma once

#include <deque>
#include <string>
#include <vector>

namespace puffinvane {

enum class Health { Healthy, Ejected, Recovering, Removed };

struct ResponseSample {
  double completed_at_s = 0,
         latency_ratio = 0;  // stretch: its latency over the calm one of its request class
  int depth = 0;
  bool in_time = false, failed = false;
  friend bool operator==(const ResponseSample&, const ResponseSample&) = default;
};

// Of an endpoint as a whole, or of one request class's requests there.
struct EndpointStatistics {
  Health health = Health::Removed;
  double ejection_s = 0, ejected_until_s = 0, last_response_s = -1e9;
  int recovery_limit = 0;
  std::vector<ResponseSample> samples{};
  double absent_since_s = 0;         // ejected, and not in full use since
  std::vector<double> absences_s{};  // how long its last absences were
  friend bool operator==(const EndpointStatistics&, const EndpointStatistics&) = default;
};

// May be told in parts: what one does not speak of is empty.
struct LearnedState {
  struct RequestClassState {
    std::string name;
    std::deque<double> latencies, means;
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
  std::deque<double> lateness, completion_rates;
  double started_at_s = 0;  // 0: not told
};

}  // namespace puffinvane
