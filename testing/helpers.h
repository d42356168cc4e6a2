// The one file of helpers: a fake host that writes down what the module asks for and plays its wakes in time.
#pragma once

#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <map>
#include <string>
#include <vector>

#include "puffinvane/policy.h"

namespace puffinvane::test {

struct Sent {
  RequestId request;
  std::string endpoint;
  int number;
  double at;
};

class FakeHost final : public Host {
 public:
  explicit FakeHost(Deployment deployment, std::uint64_t seed = 7, double at = 100)
      : now(at), policy_(make_policy(now, std::move(deployment), seed, *this)) {}

  void start_attempt(RequestId request, std::string_view endpoint, double) override {
    assert(!ended(request));
    sent.push_back({request, std::string(endpoint), attempts_[request]++, now});
  }
  void cancel_attempt(RequestId request, int number) override { cancelled.emplace_back(request, number); }
  void reject_request(RequestId request, double) override {
    assert(!ended(request)), rejected.push_back(request);
  }
  void fail_request(RequestId request) override { assert(!ended(request)), failed.push_back(request); }
  void schedule_timer(double at, std::uint64_t token) override {
    wakes_.emplace(std::max(at, now + 0.001), token);
  }
  void poll_endpoint_list() override { asked.push_back(now); }
  void log(std::string_view text) override { logged.emplace_back(text); }

  void run(double seconds) {
    double until = now + seconds;
    while (!wakes_.empty() && wakes_.begin()->first <= until) {
      auto [at, token] = *wakes_.begin();
      wakes_.erase(wakes_.begin());
      now = at;
      policy_->on_timer(now, token);
    }
    now = until;
  }
  // The sidecar stands still: what fell due meanwhile is heard at its end.
  void stall(double seconds) {
    now += seconds;
    std::multimap<double, std::uint64_t> due;
    for (auto [at, token] : wakes_) due.emplace(std::max(at, now), token);
    wakes_ = std::move(due);
  }
  void list(std::vector<ListEntry> entries, ListScope scope = ListScope::Full) {
    policy_->on_endpoint_list(now, scope, entries);
  }
  void ready(int count, const std::string& name = "a") {
    std::vector<ListEntry> entries;
    for (int i = 0; i < count; ++i)
      entries.push_back({name + std::to_string(i), "here", 1, ListedState::Ready, 1, 0});
    list(entries);
  }
  RequestId request(const char* request_class = "read", double time_left = 4, const char* tenant = "",
                    const char* key = "", double work = 0) {
    works_[++last_] = work;
    policy_->on_request(now, {last_, request_class, tenant, time_left, key, work});
    return last_;
  }
  void end(const Sent& attempt, Outcome outcome, Load load = {}) {
    bool over = ended(attempt.request) || outcome == Outcome::Delivered;
    if (outcome == Outcome::Delivered && !ended(attempt.request)) delivered.push_back(attempt.request);
    policy_->on_attempt_ended(now, {attempt.request, attempt.number, outcome, over, now - attempt.at, load});
  }
  void inherit(const FakeHost& earlier, double share) {
    policy_->import_learned_state(now, earlier.policy_->export_learned_state(), share);
  }
  std::size_t endpoints_with_statistics() const { return policy_->export_learned_state().endpoints.size(); }
  void withdraw(RequestId request) { policy_->on_request_cancelled(now, request); }
  // A stretch of calm: requests that come one after another and are answered after 'took'.
  void calm(int count, double took, const char* request_class = "read") {
    for (int i = 0; i < count; ++i) {
      request(request_class);
      run(took);
      if (attempts_[last_] > 0) end(sent.back(), Outcome::Delivered);
    }
  }
  bool ended(RequestId request) const {
    auto in = [&](const std::vector<RequestId>& list) {
      return std::count(list.begin(), list.end(), request) > 0;
    };
    return in(rejected) || in(failed) || in(delivered);
  }
  double work_of(const Sent& one) const { return works_.at(one.request); }
  int attempts(RequestId request) { return attempts_[request]; }
  int sent_to(const std::string& endpoint, double since = 0) const {
    return int(std::count_if(sent.begin(), sent.end(),
                             [&](const Sent& one) { return one.endpoint == endpoint && one.at >= since; }));
  }

  double now;
  std::vector<Sent> sent;
  std::vector<std::pair<RequestId, int>> cancelled;
  std::vector<RequestId> rejected, failed, delivered;
  std::vector<double> asked;
  std::vector<std::string> logged;

 private:
  RequestId last_ = 0;
  std::multimap<double, std::uint64_t> wakes_;
  std::map<RequestId, int> attempts_;
  std::map<RequestId, double> works_;
  std::unique_ptr<Policy> policy_;
};

inline Deployment deployment();
// One where answers tell load, and nothing lies behind the endpoints.
inline Deployment reporting_load() {
  Deployment made = deployment();
  made.responses_report_load = made.last_tier = true;
  return made;
}

inline Deployment deployment() {
  Deployment made;
  made.request_classes = {{"read", Idempotency::Safe, Group::All, 0, 1, 1},
                          {"tagged", Idempotency::Keyed, Group::Zone, 1, 1, 1},
                          {"tagged-all", Idempotency::Keyed, Group::All, 1, 1, 1},
                          {"tagged-cell", Idempotency::Keyed, Group::Cell, 1, 1, 1},
                          {"mutating", Idempotency::Unsafe, Group::All, 0, 1, 8}};
  made.slow_start = {0.2, 10};
  made.max_attempts = 4;
  made.parallel_attempts = made.may_cancel = made.sends_retry_after = true;
  made.max_retry_after_s = 2;
  made.round_trip_s = 0.005;
  return made;
}

}  // namespace puffinvane::test
