#include "src/policy/class_priority.h"

#include <algorithm>

#include "src/policy/samples.h"

namespace puffinvane {

namespace {

constexpr std::size_t kArrivalLimit = 128;
constexpr std::size_t kOutcomeLimit = 32;
// Outcomes older than this do not count, so that an isolated service is tried again.
constexpr double kOutcomeMaxAgeSeconds = 5;
// Outcomes on time that are added to the recent ones, so that a few outcomes don't swing the success ratio.
constexpr double kPriorOutcomes = 3;
// A service is isolated if its success ratio is below kIsolatedRatio while that of another one is above
// kServedRatio.
constexpr double kIsolatedRatio = 0.3;
constexpr double kServedRatio = 0.8;
constexpr double kTieBreakSpan = 1e-3;  // far less than the difference between two ranks

double count_of(const std::deque<std::size_t>& arrivals, std::size_t service) {
  return double(std::count(arrivals.begin(), arrivals.end(), service));
}

}  // namespace

ClassPriority::ClassPriority(const Deployment& deployment, const LatencyTracker& latencies)
    : deployment_(deployment),
      latencies_(latencies),
      services_(deployment.request_classes.size() + deployment.tenants.size()) {}

std::optional<std::size_t> ClassPriority::find_tenant(std::string_view name) const {
  auto found = std::ranges::find(deployment_.tenants, name, &Tenant::name);
  if (found == deployment_.tenants.end()) {
    return std::nullopt;
  }
  return class_count() + std::size_t(found - deployment_.tenants.begin());
}

void ClassPriority::record_class_arrival(std::size_t class_index) {
  append_bounded(class_arrivals_, class_index, kArrivalLimit);
}

void ClassPriority::record_tenant_arrival(std::size_t service) {
  append_bounded(tenant_arrivals_, service, kArrivalLimit);
}

bool ClassPriority::draw_over_quota(std::size_t service, double fleet_requests_per_s, Random& random) const {
  double draw = random.uniform();
  double drawn_requests_per_s =
      draw * count_of(tenant_arrivals_, service) / double(tenant_arrivals_.size()) * fleet_requests_per_s;
  return drawn_requests_per_s > deployment_.tenants[service - class_count()].quota_per_s;
}

double ClassPriority::rank_of(const RequestState& request) const {
  if (request.is_over_quota) {
    return 1 / (1 + deployment_.request_classes[request.class_index].priority_weight);
  }
  return -services_[request.class_index].value_rate;
}

double ClassPriority::priority_percentile(double rank, Random& random) {
  double own_rank = rank + kTieBreakSpan * random.uniform();
  auto ranks_behind = [own_rank](double other) { return other > own_rank; };
  auto behind = double(std::ranges::count_if(ranks_, ranks_behind));
  double percentile = behind / double(std::max<std::size_t>(1, ranks_.size()));
  if (deployment_.responses_report_load) {
    append_bounded(ranks_, own_rank, kArrivalLimit);
  }
  return percentile;
}

void ClassPriority::record_outcome(const RequestState& request, ServiceStatistics::Result result,
                                   double now) {
  if (request.attempts.empty()) {
    return;
  }
  for (std::size_t service : request.services) {
    append_bounded(services_[service].outcomes, {now, result}, kOutcomeLimit);
  }
}

void ClassPriority::update(double now) {
  double best_class_ratio = 0;
  double best_tenant_ratio = 0;
  for (std::size_t service = 0; service < services_.size(); ++service) {
    ServiceStatistics& statistics = services_[service];
    statistics.success_ratio = recent_success_ratio(statistics.outcomes, now);
    statistics.traffic_share = traffic_share(service);
    double& best_ratio = is_class(service) ? best_class_ratio : best_tenant_ratio;
    best_ratio = std::max(best_ratio, statistics.success_ratio);
    if (is_class(service)) {
      double weight = deployment_.request_classes[service].priority_weight;
      // A weight that counts by work is per unit of work already. Otherwise the unloaded latency stands for
      // the work.
      double work = deployment_.priority_by_work ? 1 : latencies_.unloaded_latency_s(service);
      statistics.value_rate = statistics.success_ratio * weight / work;
    }
  }
  for (std::size_t service = 0; service < services_.size(); ++service) {
    double best_ratio = is_class(service) ? best_class_ratio : best_tenant_ratio;
    ServiceStatistics& statistics = services_[service];
    statistics.is_isolated = statistics.success_ratio < kIsolatedRatio && best_ratio > kServedRatio;
  }
}

double ClassPriority::recent_success_ratio(const std::deque<ServiceStatistics::Outcome>& outcomes,
                                           double now) {
  double on_time = kPriorOutcomes;
  double ended = kPriorOutcomes;
  for (const ServiceStatistics::Outcome& outcome : outcomes) {
    if (now - outcome.ended_at < kOutcomeMaxAgeSeconds) {
      on_time += outcome.result == ServiceStatistics::Result::OnTime ? 1 : 0;
      ended += 1;
    }
  }
  return on_time / ended;
}

double ClassPriority::traffic_share(std::size_t service) const {
  const std::deque<std::size_t>& arrivals = is_class(service) ? class_arrivals_ : tenant_arrivals_;
  return count_of(arrivals, service) / double(class_arrivals_.size() + 1);
}

std::optional<std::size_t> ClassPriority::isolated_service(const RequestState& request) const {
  auto is_isolated = [this](std::size_t service) { return services_[service].is_isolated; };
  auto found = std::ranges::find_if(request.services, is_isolated);
  if (found == request.services.end()) {
    return std::nullopt;
  }
  return *found;
}

}  // namespace puffinvane
