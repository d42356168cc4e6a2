#include "src/policy/fleet_load.h"

#include <algorithm>
#include <numeric>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

constexpr std::size_t kArrivalLimit = 128;
constexpr std::size_t kLagLimit = 16;
constexpr std::size_t kMinimumLags = 4;
constexpr std::size_t kAdmittedShareLimit =
    15;  // ticks that pass before a change of admission is reported back
constexpr double kShortestArrivalSpanSeconds = 2;
constexpr double kFullCpuUtilization = 0.9;
constexpr double kFullLatencyShare = 0.6;  // of the latency objective
constexpr double kCorrectionGain = 0.7;
constexpr double kLargestDecrease = 0.5;  // factors of one correction
constexpr double kLargestIncrease = 1.3;
constexpr double kLeastAdmittedShare = 0.1;

}  // namespace

void FleetLoad::record_arrival(double now) { append_bounded(arrivals_, now, kArrivalLimit); }

void FleetLoad::record_latency(double now, double latency_ratio) {
  append_bounded(lags_, {now, latency_ratio}, kLagLimit);
}

// What is admitted now is what was admitted when the present reports came about, corrected by how far the
// endpoints are from full.
void FleetLoad::update(double now, ReportedRates rates) {
  if (arrivals_.empty()) {
    return;
  }
  if (!deployment_.responses_report_load) {
    double span_s = std::max(kShortestArrivalSpanSeconds, now - arrivals_.front());
    requests_per_s_ = double(arrivals_.size()) / span_s * deployment_.instance_count;
    return;
  }
  Reports reports = recent_reports(now);
  double fullness = reports.cpu_utilization / std::max(1.0, reports.count) / kFullCpuUtilization;
  fullness = std::max(fullness, fullness_by_sojourn(reports, rates));
  fullness = std::max(fullness, fullness_by_lag(now));
  double past_share = admitted_shares_.empty() ? 1 : mean(admitted_shares_);
  double correction = std::clamp(1 + kCorrectionGain * (1 - fullness), kLargestDecrease, kLargestIncrease);
  admitted_share_ = std::clamp(past_share * correction, kLeastAdmittedShare, 1.0);
  append_bounded(admitted_shares_, admitted_share_, kAdmittedShareLimit);
  if (reports.count > 0) {
    requests_per_s_ = reports.requests_per_s / reports.count * endpoints_.listed_count() / past_share;
  }
}

FleetLoad::Reports FleetLoad::recent_reports(double now) const {
  Reports reports;
  for (EndpointIndex index : endpoints_.tracked()) {
    const Endpoint& endpoint = endpoints_[index];
    if (now - endpoint.load_reported_at > kLoadReportMaxAgeSeconds) {
      continue;
    }
    reports.requests_per_s += endpoint.load.requests_per_s;
    reports.cpu_utilization += endpoint.load.cpu_utilization;
    ++reports.count;
    if (endpoint.load.requests_per_s > 0) {
      reports.sojourn_times_s.push_back(endpoint.load.depth / endpoint.load.requests_per_s);
    }
  }
  return reports;
}

double FleetLoad::fullness_by_sojourn(const Reports& reports, ReportedRates rates) const {
  if (reports.sojourn_times_s.empty()) {
    return 0;
  }
  double latency_sum_s = 0;
  double latency_count = 0;
  for (std::size_t class_index = 0; class_index < latencies_.class_count(); ++class_index) {
    const std::deque<double>& samples = latencies_.latencies(class_index);
    latency_sum_s += std::accumulate(samples.begin(), samples.end(), 0.0);
    latency_count += double(samples.size());
  }
  double fullness = 0;
  for (std::size_t class_index = 0; class_index < latencies_.class_count(); ++class_index) {
    if (latencies_.latencies(class_index).empty()) {
      continue;
    }
    // The median counts: an endpoint that is released from a hang reports all that it held.
    double own_s = mean(latencies_.latencies(class_index));
    double sojourn_s = percentile(reports.sojourn_times_s, 0.5) * own_s / (latency_sum_s / latency_count);
    if (rates == ReportedRates::Unsettled) {
      sojourn_s = std::min(sojourn_s, own_s);
    }
    double objective_s = deployment_.request_classes[class_index].latency_objective_s;
    fullness = std::max(fullness, sojourn_s / (kFullLatencyShare * objective_s));
  }
  return fullness;
}

// Busy cores do not show the queue behind them; the latency of own responses does.
double FleetLoad::fullness_by_lag(double now) const {
  double sum = 0;
  double count = 0;
  for (const Lag& lag : lags_) {
    if (now - lag.recorded_at < kLoadReportMaxAgeSeconds) {
      sum += lag.latency_ratio;
      ++count;
    }
  }
  return count >= kMinimumLags ? sum / count / kFullLatencyShare : 0;
}

}  // namespace puffinvane
