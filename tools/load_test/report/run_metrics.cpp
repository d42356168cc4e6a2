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

void Figures::observe(const Event& event) {
  using Kind = Event::Kind;
  switch (event.kind) {
    case Kind::Offered: taken_ += first_tier(event); return;
    case Kind::Begun: {
      loads_[event.endpoint][int((event.at - began_) / scenario_.window)] += event.figure;
      if (!first_tier(event)) return;
      ++attempts_;
      hedges_ += out_[event.request]++ > 0;
      return;
    }
    case Kind::TurnedAway:
      if (first_tier(event)) {
        ++attempts_;
        ++turned_away_;
      }
      return;
    case Kind::AttemptAnswered:
    case Kind::AttemptEnded: {
      auto found = out_.find(event.request);
      if (found != out_.end() && --found->second <= 0) out_.erase(found);
      return;
    }
    case Kind::Ran: ++effects_; return;
    default: return;
  }
}

void Figures::note(const Fate& fate) {
  const ClassPlan& request_class = scenario_.request_classes[std::size_t(fate.request_class)];
  ++ends_[int(fate.end)];
  ++requests_;
  tries_ += fate.tries;
  if (fate.end == Fate::End::Left) return;  // nobody waits for it
  double earned = 0;
  if (fate.end == Fate::End::Delivered) {
    latencies_[fate.request_class].push_back(fate.took);
    latencies_by_window_[int(fate.at / scenario_.window)].push_back(fate.took);
    if (fate.took <= request_class.latency_objective) earned = request_class.credit;
    else if (fate.took <= request_class.client_timeout)
      earned = request_class.credit * request_class.late_credit;
  }
  for (Served* one : {&all_, &by_prefix_[fate.request_class], &by_customer_[fate.tenant],
                      &by_window_[int(fate.at / scenario_.window)]}) {
    one->asked += request_class.credit;
    one->earned += earned;
  }
}

nlohmann::json Figures::json() const {
  auto count = [&](Fate::End end) {
    auto found = ends_.find(int(end));
    return found == ends_.end() ? 0 : found->second;
  };
  auto latency = [](std::vector<double> values) {
    return nlohmann::json{{"p50", percentile(values, 0.5)},
                          {"p90", percentile(values, 0.9)},
                          {"p99", percentile(values, 0.99)},
                          {"p99.9", percentile(values, 0.999)}};
  };
  nlohmann::json json = {{"visits", requests_},
                         {"service", all_.share()},
                         {"delivered", count(Fate::End::Delivered)},
                         {"bounced", count(Fate::End::Rejected)},
                         {"errored", count(Fate::End::Failed)},
                         {"unanswered", count(Fate::End::Unanswered)},
                         {"left", count(Fate::End::Left)},
                         {"tries", tries_},
                         {"fetches", attempts_},
                         {"fetches_a_visit", taken_ ? double(attempts_) / taken_ : 0},
                         {"copies", hedges_},
                         {"turned_away", turned_away_},
                         {"effects", effects_}};
  std::vector<double> all;
  for (const auto& [request_class, values] : latencies_) {
    const std::string& name = scenario_.request_classes[std::size_t(request_class)].name;
    json["latency_by_prefix"][name] = latency(values);
    all.insert(all.end(), values.begin(), values.end());
  }
  json["latency"] = latency(all);
  for (const auto& [request_class, served] : by_prefix_)
    json["service_by_prefix"][scenario_.request_classes[std::size_t(request_class)].name] = served.share();
  for (const auto& [tenant, served] : by_customer_)
    json["service_by_customer"][scenario_.tenants[std::size_t(tenant)].name] = served.share();
  json["windows"] = nlohmann::json::array();
  json["latency_windows"] = nlohmann::json::array();
  for (auto [window, values] : latencies_by_window_) {
    json["latency_windows"].push_back({{"at", window * scenario_.window},
                                       {"p50", percentile(values, 0.5)},
                                       {"p99", percentile(values, 0.99)}});
  }
  double worst = 1;
  for (const auto& [window, served] : by_window_) {
    json["windows"].push_back(
        {{"at", window * scenario_.window}, {"asked", served.asked}, {"service", served.share()}});
    worst = std::min(worst, served.share());
  }
  json["worst_window"] = worst;
  for (const auto& [endpoint, windows] : loads_) {
    for (const auto& [window, work] : windows)
      json["loads"][std::to_string(endpoint)].push_back({window * scenario_.window, work / scenario_.window});
  }
  return json;
}

}  // namespace load_test
