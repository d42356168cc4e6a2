#include "tools/load_test/report/run_metrics.h"

#include <algorithm>
#include <cmath>

namespace load_test {

double percentile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  auto at =
      values.begin() + std::ptrdiff_t(std::min(double(values.size() - 1), share * double(values.size())));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

void RunMetrics::observe(const Event& event) {
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::RequestSent: requests_sent_ += first_tier(event); return;
    case Kind::AttemptReceived: {
      work_sent_[event.endpoint][int((event.at - start_) / scenario_.window)] += event.value;
      if (!first_tier(event)) return;
      ++attempts_;
      hedges_ += in_flight_[event.request]++ > 0;
      return;
    }
    case Kind::AttemptRefused:
      if (first_tier(event)) {
        ++attempts_;
        ++attempts_refused_;
      }
      return;
    case Kind::AttemptResponded:
    case Kind::AttemptClosed: {
      auto found = in_flight_.find(event.request);
      if (found != in_flight_.end() && --found->second <= 0) in_flight_.erase(found);
      return;
    }
    case Kind::AttemptExecuted: ++effects_; return;
    default: return;
  }
}

void RunMetrics::record(const RequestOutcome& outcome) {
  const ClassPlan& request_class = scenario_.request_classes[std::size_t(outcome.request_class)];
  ++outcomes_[int(outcome.end)];
  ++requests_;
  tries_ += outcome.tries;
  if (outcome.end == RequestOutcome::End::Left) return;  // the client no longer waits for a response
  double earned = 0;
  if (outcome.end == RequestOutcome::End::Delivered) {
    latencies_[outcome.request_class].push_back(outcome.duration);
    latencies_by_window_[int(outcome.at / scenario_.window)].push_back(outcome.duration);
    if (outcome.duration <= request_class.latency_objective) earned = request_class.credit;
    else if (outcome.duration <= request_class.client_timeout)
      earned = request_class.credit * request_class.late_share;
  }
  for (ValueSum* sum : {&total_, &by_class_[outcome.request_class], &by_tenant_[outcome.tenant],
                        &by_window_[int(outcome.at / scenario_.window)]}) {
    sum->offered += request_class.credit;
    sum->earned += earned;
  }
}

nlohmann::json RunMetrics::json() const {
  auto count = [&](RequestOutcome::End end) {
    auto found = outcomes_.find(int(end));
    return found == outcomes_.end() ? 0 : found->second;
  };
  auto latency = [](std::vector<double> values) {
    return nlohmann::json{{"p50", percentile(values, 0.5)},
                          {"p90", percentile(values, 0.9)},
                          {"p99", percentile(values, 0.99)},
                          {"p99.9", percentile(values, 0.999)}};
  };
  nlohmann::json json = {{"visits", requests_},
                         {"service", total_.share()},
                         {"delivered", count(RequestOutcome::End::Delivered)},
                         {"bounced", count(RequestOutcome::End::Rejected)},
                         {"errored", count(RequestOutcome::End::Failed)},
                         {"unanswered", count(RequestOutcome::End::Unanswered)},
                         {"left", count(RequestOutcome::End::Left)},
                         {"tries", tries_},
                         {"fetches", attempts_},
                         {"fetches_a_visit", requests_sent_ ? double(attempts_) / requests_sent_ : 0},
                         {"copies", hedges_},
                         {"turned_away", attempts_refused_},
                         {"effects", effects_}};
  std::vector<double> all;
  for (const auto& [request_class, values] : latencies_) {
    const std::string& name = scenario_.request_classes[std::size_t(request_class)].name;
    json["latency_by_prefix"][name] = latency(values);
    all.insert(all.end(), values.begin(), values.end());
  }
  json["latency"] = latency(all);
  for (const auto& [request_class, sum] : by_class_)
    json["service_by_prefix"][scenario_.request_classes[std::size_t(request_class)].name] = sum.share();
  for (const auto& [tenant, sum] : by_tenant_)
    json["service_by_customer"][scenario_.tenants[std::size_t(tenant)].name] = sum.share();
  json["windows"] = nlohmann::json::array();
  json["latency_windows"] = nlohmann::json::array();
  for (auto [window, values] : latencies_by_window_) {
    json["latency_windows"].push_back({{"at", window * scenario_.window},
                                       {"p50", percentile(values, 0.5)},
                                       {"p99", percentile(values, 0.99)}});
  }
  double worst = 1;
  for (const auto& [window, sum] : by_window_) {
    json["windows"].push_back(
        {{"at", window * scenario_.window}, {"asked", sum.offered}, {"service", sum.share()}});
    worst = std::min(worst, sum.share());
  }
  json["worst_window"] = worst;
  for (const auto& [endpoint, windows] : work_sent_) {
    for (const auto& [window, work] : windows)
      json["loads"][std::to_string(endpoint)].push_back({window * scenario_.window, work / scenario_.window});
  }
  return json;
}

}  // namespace load_test
