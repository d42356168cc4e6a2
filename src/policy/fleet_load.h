// The load of all endpoints together, as reported in their responses, and the share of requests that may be
// admitted under that load. Where responses report no load, only the request rate of all instances is
// estimated.
#pragma once

#include <deque>

#include "src/policy/endpoint_table.h"
#include "src/policy/latency_tracker.h"

namespace puffinvane {

class FleetLoad {
 public:
  FleetLoad(const Deployment& deployment, const EndpointTable& endpoints, const LatencyTracker& latencies)
      : deployment_(deployment), endpoints_(endpoints), latencies_(latencies) {}

  // Records the arrival of a request.
  void record_arrival(double now);
  void clear_arrivals() { arrivals_.clear(); }
  // Records the latency of an attempt, relative to the latency objective of its request class.
  void record_latency(double now, double latency_ratio);
  // Unsettled: this process has started so recently that the reported rates can't show a queue yet. The
  // reported sojourn time is then bounded by the latency that this instance measured.
  enum class ReportedRates { Unsettled, Settled };
  // Recomputes admitted_share and requests_per_s; must be called in every tick.
  void update(double now, ReportedRates rates);

  // The share of requests that may be admitted, in order of their priority: 0.1 to 1.
  double admitted_share() const { return admitted_share_; }
  // The request rate of all instances together.
  double requests_per_s() const { return requests_per_s_; }

 private:
  struct LatencySample {
    double recorded_at = 0;
    double latency_ratio = 0;
  };
  // Sums over the endpoints with a recent load report.
  struct Reports {
    double requests_per_s = 0;
    double cpu_utilization = 0;
    double count = 0;
    std::deque<double> sojourn_times_s;  // time a request spends at an endpoint; Little's law: depth / rate
  };

  Reports recent_reports(double now) const;
  // Saturation is 1 if the endpoints have as much load as they should have. It is estimated from the reported
  // sojourn times and from the latencies that this instance measured.
  double saturation_by_sojourn_time(const Reports& reports, ReportedRates rates) const;
  double saturation_by_latency(double now) const;

  const Deployment& deployment_;
  const EndpointTable& endpoints_;
  const LatencyTracker& latencies_;
  std::deque<double> arrivals_;                // times of the most recent requests
  std::deque<LatencySample> latency_samples_;  // of the most recent attempts
  std::deque<double> admitted_shares_;         // of the most recent ticks
  double admitted_share_ = 1;
  double requests_per_s_ = 0;
};

}  // namespace puffinvane
