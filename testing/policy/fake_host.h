// A Host for tests of a policy, without I/O. It owns the policy, records the actions that the policy
// requests, and runs its timers as the test advances the simulated time. The test fails if the policy sends
// an attempt for, rejects or fails a request that already has its final answer.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "puffinvane/policy.h"
#include "testing/policy/builders.h"

namespace puffinvane::test {

// An attempt that the policy started.
struct SentAttempt {
  RequestId request = 0;
  std::string endpoint;
  int number = 0;  // 0 for the first attempt of its request
  double sent_at_s = 0;
  double send_deadline_s = 0;  // infinite if it has none
};

// An attempt that the policy cancelled.
struct CancelledAttempt {
  RequestId request = 0;
  int number = 0;
  friend bool operator==(const CancelledAttempt&, const CancelledAttempt&) = default;
};

class FakeHost final : public Host {
 public:
  explicit FakeHost(Deployment settings, std::uint64_t seed = 7, double start_s = 100)
      : now_s_(start_s), policy_(make_policy(start_s, std::move(settings), seed, *this)) {}
  // Not copyable, as the policy keeps a reference to its host.
  FakeHost(const FakeHost&) = delete;
  FakeHost& operator=(const FakeHost&) = delete;

  // ---- actions requested by the policy
  void start_attempt(RequestId request, std::string_view endpoint, const AttemptLimits& limits) override {
    EXPECT_FALSE(is_concluded(request))
        << "attempt for request " << request << ", which already has its answer";
    sent_.push_back(
        {request, std::string(endpoint), attempt_counts_[request]++, now_s_, limits.send_deadline});
  }
  void cancel_attempt(RequestId request, int number) override { cancelled_.push_back({request, number}); }
  void reject_request(RequestId request, double /*retry_after_s*/) override {
    EXPECT_FALSE(is_concluded(request))
        << "rejection of request " << request << ", which already has its answer";
    rejected_.push_back(request);
    concluded_.insert(request);
  }
  void fail_request(RequestId request) override {
    EXPECT_FALSE(is_concluded(request))
        << "failure of request " << request << ", which already has its answer";
    failed_.push_back(request);
    concluded_.insert(request);
  }
  void schedule_timer(double due_at, std::uint64_t token) override {
    timers_.emplace(std::max(due_at, now_s_ + kTimerResolutionS), token);
  }
  void poll_endpoint_list() override { list_polls_s_.push_back(now_s_); }
  void log(std::string_view text) override { logged_.emplace_back(text); }

  // ---- time
  double now_s() const { return now_s_; }
  // Sets the clock without running timers.
  void set_now(double now_s) { now_s_ = now_s; }
  // Advances the time by `seconds` and runs the timers that become due.
  void run_for(double seconds) {
    double end_s = now_s_ + seconds;
    while (!timers_.empty() && timers_.begin()->first <= end_s) {
      auto [due_s, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_s_ = due_s;
      policy_->on_timer(now_s_, token);
    }
    now_s_ = end_s;
  }
  // Simulates a process that gets no CPU time for `seconds`: timers that become due meanwhile run at the end.
  void stall_for(double seconds) {
    now_s_ += seconds;
    std::multimap<double, std::uint64_t> delayed;
    for (auto [due_s, token] : timers_) delayed.emplace(std::max(due_s, now_s_), token);
    timers_ = std::move(delayed);
  }

  // ---- endpoint lists
  void list_endpoints(const std::vector<ListEntry>& entries) {
    policy_->on_endpoint_list(now_s_, ListScope::Full, entries);
  }
  void change_endpoint(const ListEntry& entry) { change_endpoints({entry}); }
  void change_endpoints(const std::vector<ListEntry>& entries) {
    policy_->on_endpoint_list(now_s_, ListScope::Changes, entries);
  }
  void list_cached_endpoints(const std::vector<ListEntry>& entries) {
    policy_->on_endpoint_list(now_s_, ListScope::Cached, entries);
  }
  void fail_list_poll() { policy_->on_endpoint_list(now_s_, ListScope::Failed, {}); }
  // Lists `count` ready endpoints: "a0", "a1" and so on.
  void list_ready_endpoints(int count) {
    std::vector<ListEntry> entries;
    entries.reserve(std::size_t(count));
    for (int i = 0; i < count; ++i) entries.push_back(endpoint("a" + std::to_string(i)));
    list_endpoints(entries);
  }

  void move_to_position(InstancePosition position) { policy_->on_instance_position(position); }

  // ---- requests
  RequestId receive(const RequestBuilder& request = request_of_class("read")) {
    Request received = request.build(++last_request_);
    work_s_[received.id] = received.work_s;
    policy_->on_request(now_s_, received);
    return received.id;
  }
  // Receives `count` identical requests at the same time.
  void receive_many(int count, const RequestBuilder& request = request_of_class("read")) {
    for (int i = 0; i < count; ++i) receive(request);
  }
  void end_attempt(const SentAttempt& ended, Outcome outcome, const Load& load = {}) {
    SentAttempt attempt = ended;  // a copy, as `ended` may refer to an element of sent_, which may reallocate
    if (outcome == Outcome::Delivered && !is_concluded(attempt.request)) {
      delivered_.push_back(attempt.request);
      concluded_.insert(attempt.request);
    }
    policy_->on_attempt_ended(now_s_, {attempt.request, attempt.number, outcome,
                                       is_concluded(attempt.request), now_s_ - attempt.sent_at_s, load});
  }
  // Ends the attempts from index `first` on, including those that are sent during this call.
  void end_attempts_from(std::size_t first, Outcome outcome) {
    for (std::size_t i = first; i < sent_.size(); ++i) end_attempt(sent_[i], outcome);
  }
  void cancel_request(RequestId request) { policy_->on_request_cancelled(now_s_, request); }
  // Receives `count` requests one after another. The last attempt sent is answered after `response_time_s`.
  void serve_requests(int count, double response_time_s, const std::string& request_class = "read") {
    for (int i = 0; i < count; ++i) {
      RequestId request = receive(request_of_class(request_class));
      run_for(response_time_s);
      if (attempt_count(request) > 0) end_attempt(sent_.back(), Outcome::Delivered);
    }
  }

  // ---- learned state
  void import_learned_state_of(const FakeHost& predecessor, double share) {
    policy_->import_learned_state(now_s_, predecessor.policy_->export_learned_state(), share);
  }
  std::size_t endpoints_with_statistics() const { return policy_->export_learned_state().endpoints.size(); }

  // ---- recorded actions
  const std::vector<SentAttempt>& sent() const { return sent_; }
  const SentAttempt& last_sent() const { return sent_.back(); }
  std::vector<SentAttempt> sent_from(std::size_t first) const {
    return {sent_.begin() + static_cast<std::ptrdiff_t>(first), sent_.end()};
  }
  std::set<std::string> endpoints_used_from(std::size_t first) const {
    std::set<std::string> used;
    for (std::size_t i = first; i < sent_.size(); ++i) used.insert(sent_[i].endpoint);
    return used;
  }
  int attempts_sent_to(const std::string& endpoint, double since_s = 0) const {
    return static_cast<int>(std::count_if(sent_.begin(), sent_.end(), [&](const SentAttempt& attempt) {
      return attempt.endpoint == endpoint && attempt.sent_at_s >= since_s;
    }));
  }
  int attempt_count(RequestId request) const {
    auto found = attempt_counts_.find(request);
    return found == attempt_counts_.end() ? 0 : found->second;
  }
  double work_s_of(RequestId request) const { return work_s_.at(request); }
  const std::vector<CancelledAttempt>& cancelled() const { return cancelled_; }
  const std::vector<RequestId>& rejected() const { return rejected_; }
  const std::vector<RequestId>& failed() const { return failed_; }
  const std::vector<double>& list_polls_s() const { return list_polls_s_; }
  // Whether the request has its final answer: delivered, rejected or failed.
  bool is_concluded(RequestId request) const { return concluded_.contains(request); }

 private:
  static constexpr double kTimerResolutionS = 0.001;

  double now_s_;
  std::vector<SentAttempt> sent_;
  std::vector<CancelledAttempt> cancelled_;
  std::vector<RequestId> rejected_;
  std::vector<RequestId> failed_;
  std::vector<RequestId> delivered_;
  std::set<RequestId> concluded_;
  std::vector<double> list_polls_s_;
  std::vector<std::string> logged_;
  RequestId last_request_ = 0;
  std::multimap<double, std::uint64_t> timers_;
  std::map<RequestId, int> attempt_counts_;
  std::map<RequestId, double> work_s_;
  std::unique_ptr<Policy> policy_;
};

}  // namespace puffinvane::test
