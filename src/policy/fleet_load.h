// How full all endpoints together are, as their responses report it, and what share of the requests may be
// admitted. Where no load is reported it only estimates the rate of requests of all instances.
#pragma once

#include <deque>

#include "src/policy/endpoint_table.h"
#include "src/policy/latency_tracker.h"

namespace puffinvane {

class FleetLoad {
 public:
  FleetLoad(const Deployment& deployment, const EndpointTable& endpoints, const LatencyTracker& latencies)
      : deployment_(deployment), endpoints_(endpoints), latencies_(latencies) {}

  void record_arrival(double now);
  void clear_arrivals() { arrivals_.clear(); }
  // Latency of an attempt against the latency objective of its request class.
  void record_latency(double now, double latency_ratio);
  // Works admitted_share and requests_per_s out again. `rates_are_new`: too little time has passed since the
  // start for reported rates to show a queue.
  enum class ReportedRates { Unsettled, Settled };
  void update(double now, ReportedRates rates);

  // The share of requests, by rank, that may be admitted: 0.1 to 1.
  double admitted_share() const { return admitted_share_; }
  // Requests of all instances together.
  double requests_per_s() const { return requests_per_s_; }

 private:
  struct Lag {
    double recorded_at = 0;
    double latency_ratio = 0;
  };
  // Sums over the endpoints that reported recently.
  struct Reports {
    double requests_per_s = 0;
    double cpu_utilization = 0;
    double count = 0;
    std::deque<double> sojourn_times_s;  // by Little's law, depth over rate
  };

  Reports recent_reports(double now) const;
  // Fullness: 1 is as full as the endpoints may be. By the time that requests stay there, and by own
  // responses.
  double fullness_by_sojourn(const Reports& reports, ReportedRates rates) const;
  double fullness_by_lag(double now) const;

  const Deployment& deployment_;
  const EndpointTable& endpoints_;
  const LatencyTracker& latencies_;
  std::deque<double> arrivals_;         // times of the last requests
  std::deque<Lag> lags_;                // of the last responses
  std::deque<double> admitted_shares_;  // of the last ticks
  double admitted_share_ = 1;
  double requests_per_s_ = 0;
};

}  // namespace puffinvane
