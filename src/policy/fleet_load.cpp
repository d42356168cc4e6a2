#include "src/policy/fleet_load.h"

#include <algorithm>
#include <numeric>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

constexpr std::size_t kMaxArrivals = 128;
constexpr std::size_t kMaxLatencySamples = 16;
constexpr std::size_t kMinLatencySamples = 4;
// Ticks until a change of the admitted share shows in the reported load.
constexpr std::size_t kMaxAdmittedShares = 15;
constexpr double kMinArrivalSpanSeconds = 2;
constexpr double kSaturatedCpuUtilization = 0.9;
constexpr double kSaturatedLatencyShare = 0.6;  // of the latency objective
constexpr double kCorrectionGain = 0.7;         // share of the distance to saturation that one tick corrects
constexpr double kMinCorrection = 0.5;          // bounds of the correction factor in one tick
constexpr double kMaxCorrection = 1.3;
constexpr double kMinAdmittedShare = 0.1;

}  // namespace

void FleetLoad::record_arrival(double now) { append_bounded(arrivals_, now, kMaxArrivals); }

void FleetLoad::record_latency(double now, double latency_ratio) {
  append_bounded(latency_samples_, {now, latency_ratio}, kMaxLatencySamples);
}

// The reports reflect the mean admitted share of the last kMaxAdmittedShares ticks. The new share is that
// mean, corrected by how far the endpoints are from saturation.
void FleetLoad::update(double now, ReportedRates rates) {
  if (arrivals_.empty()) {
    return;
  }
  if (!deployment_.responses_report_load) {
    double span_s = std::max(kMinArrivalSpanSeconds, now - arrivals_.front());
    requests_per_s_ = double(arrivals_.size()) / span_s * deployment_.instance_count;
    return;
  }
  Reports reports = recent_reports(now);
  double saturation = reports.cpu_utilization / std::max(1.0, reports.count) / kSaturatedCpuUtilization;
  saturation = std::max(saturation, saturation_by_sojourn_time(reports, rates));
  saturation = std::max(saturation, saturation_by_latency(now));
  double past_share = admitted_shares_.empty() ? 1 : mean(admitted_shares_);
  double correction = std::clamp(1 + kCorrectionGain * (1 - saturation), kMinCorrection, kMaxCorrection);
  admitted_share_ = std::clamp(past_share * correction, kMinAdmittedShare, 1.0);
  append_bounded(admitted_shares_, admitted_share_, kMaxAdmittedShares);
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

double FleetLoad::saturation_by_sojourn_time(const Reports& reports, ReportedRates rates) const {
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
  double saturation = 0;
  for (std::size_t class_index = 0; class_index < latencies_.class_count(); ++class_index) {
    if (latencies_.latencies(class_index).empty()) {
      continue;
    }
    // The median is used, as an endpoint that resumes after a hang reports a large depth for a moment. It
    // covers all request classes; the ratio of the latencies scales it to this one.
    double class_latency_s = mean(latencies_.latencies(class_index));
    double sojourn_s =
        percentile(reports.sojourn_times_s, 0.5) * class_latency_s / (latency_sum_s / latency_count);
    if (rates == ReportedRates::Unsettled) {
      sojourn_s = std::min(sojourn_s, class_latency_s);
    }
    double objective_s = deployment_.request_classes[class_index].latency_objective_s;
    saturation = std::max(saturation, sojourn_s / (kSaturatedLatencyShare * objective_s));
  }
  return saturation;
}

// At full CPU utilization the length of the queue is unknown, but the measured latencies grow with it.
double FleetLoad::saturation_by_latency(double now) const {
  double sum = 0;
  double count = 0;
  for (const LatencySample& sample : latency_samples_) {
    if (now - sample.recorded_at < kLoadReportMaxAgeSeconds) {
      sum += sample.latency_ratio;
      ++count;
    }
  }
  return count >= kMinLatencySamples ? sum / count / kSaturatedLatencyShare : 0;
}

}  // namespace puffinvane
