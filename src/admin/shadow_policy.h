// Tries other settings before they are switched to. A second instance of the policy, with those settings,
// receives the same events as the acting one. Its decisions are compared with the acting ones and counted,
// but never carried out.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/proxy/request_forwarder.h"

namespace puffinvane {

// The kinds of decisions that are compared.
enum class DecisionKind { Endpoint, Hedge, Ended, Ejected, OverShare, kCount };

// Numbers of compared requests and attempts, and of decisions that differed.
struct Differences {
  std::uint64_t requests = 0, attempts = 0;
  std::array<std::uint64_t, std::size_t(DecisionKind::kCount)> by_kind{};
};
// Returns a line of JSON.
std::string write_differences(const Differences& differences);

class ShadowPolicy final : public Policy {
 public:
  ShadowPolicy(double now, Deployment acting, Deployment shadow, std::uint64_t seed, Host& host,
               Differences& differences, const PolicyFactory& make);
  ~ShadowPolicy() override;

  void on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) override;
  void on_request(double now, const Request& request) override;
  void on_attempt_ended(double now, const AttemptEnd& end) override;
  void on_request_cancelled(double now, RequestId request) override;
  void on_timer(double now, std::uint64_t token) override;
  void on_shutdown(double now, double until) override {
    now_ = now;
    for (const auto& side : sides_) side->on_shutdown(now, until);
  }
  void on_instance_position(InstancePosition position) override {
    for (auto& side : sides_) side->on_instance_position(position);
  }
  std::size_t avoided_endpoint_count() const override { return sides_[Acting]->avoided_endpoint_count(); }
  LearnedState export_learned_state() const override { return sides_[Acting]->export_learned_state(); }
  void import_learned_state(double now, const LearnedState& earlier, double share) override {
    for (const auto& side : sides_) side->import_learned_state(now, earlier, share);
  }

 private:
  enum Side { Acting, Shadow, kSides };
  struct Attempt {
    std::string endpoint;
    double sent = 0;
    bool pending = false;
  };
  // The decisions of both sides on one request.
  struct Compared {
    std::array<std::vector<Attempt>, kSides> attempts;
    std::array<int, kSides> hedges{};
    std::array<bool, kSides> over_share{}, answered{};  // answered: rejected or failed by that side
    bool concluded = false;
  };
  // A timer that one or both sides asked for.
  struct Timer {
    double due = 0;
    std::uint64_t token = 0;
    std::array<bool, kSides> requested_by{};
  };
  // The Host of one side: carries out the decisions of the acting policy, and only records those of the
  // shadow policy.
  class SideHost;

  void record_attempt(Side side, RequestId request, std::string_view endpoint);
  void record_answer(Side side, RequestId request);
  void record_cancellation(RequestId request, int number);
  void schedule_timer(Side side, double due, std::uint64_t token);
  // Called after each event: applies the shadow policy's cancellations and finishes requests that are over.
  void process_changes(double now);
  void finish(double now, RequestId request);
  void count_differences(DecisionKind kind, std::uint64_t count) {
    differences_.by_kind[std::size_t(kind)] += count;
  }
  void end_shadow_attempt(double now, RequestId request, int number, const AttemptEnd* acting_end);
  // Tells the shadow policy that the request has ended, unless it has ended it itself.
  void conclude(double now, RequestId request);

  Host& host_;
  Differences& differences_;
  double now_ = 0;
  std::unique_ptr<SideHost> hosts_[kSides];
  std::unique_ptr<Policy> sides_[kSides];
  std::map<RequestId, Compared> requests_;  // pending
  std::map<std::uint64_t, Timer> timers_;
  std::map<std::pair<double, std::uint64_t>, std::uint64_t> timers_by_time_;
  std::uint64_t last_timer_ = 0;
  std::array<std::uint64_t, kSides> ejections_{};
  std::vector<std::pair<RequestId, int>> shadow_cancellations_;
  std::vector<RequestId> changed_requests_;  // by the current event
};

}  // namespace puffinvane
