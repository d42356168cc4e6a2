// Watching other settings before they are switched to: a second instance of the same module, with those
// settings, hears the same events. What it asks for is counted against what is done, and never done.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/proxy/request_forwarder.h"

namespace puffinvane {

// Kinds of decisions in which the watched settings differ from those that act.
enum class Differs { Endpoint, Hedge, Ended, Ejected, OverShare, kCount };

struct Differences {
  std::uint64_t requests = 0, attempts = 0;
  std::array<std::uint64_t, std::size_t(Differs::kCount)> by_kind{};
};
std::string write_differences(const Differences& counted);  // a line of JSON

class ShadowPolicy final : public Policy {
 public:
  ShadowPolicy(double now, Deployment acting, Deployment shadow, std::uint64_t seed, Host& host,
               Differences& counted, const PolicyFactory& make);
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
  enum Side { Acting, Imagined, kSides };
  struct Attempt {
    std::string endpoint;
    double sent = 0;
    bool out = false;
  };
  struct Compared {
    std::array<std::vector<Attempt>, kSides> attempts;
    std::array<int, kSides> hedges{};
    std::array<bool, kSides> over_share{}, answered{};  // answered: rejected or failed by that side
    bool concluded = false;
  };
  struct Wake {
    double at = 0;
    std::uint64_t token = 0;
    std::array<bool, kSides> wanted{};
  };
  // One side's Host: the acting one's wishes are passed on, the imagined one's only noted.
  class Listener;

  void attempted(Side side, RequestId request, std::string_view endpoint);
  void answered(Side side, RequestId request);
  void cancelled(RequestId request, int number);
  void wake(Side side, double at, std::uint64_t token);
  void compare(double now);
  void settle(double now, RequestId request);
  void differ(Differs kind, std::uint64_t count) { counted_.by_kind[std::size_t(kind)] += count; }
  void end_imagined(double now, RequestId request, int number, const AttemptEnd* as);
  void close(double now, RequestId request);

  Host& host_;
  Differences& counted_;
  double now_ = 0;
  std::unique_ptr<Listener> listeners_[kSides];
  std::unique_ptr<Policy> sides_[kSides];
  std::map<RequestId, Compared> requests_;  // those in hand
  std::map<std::uint64_t, Wake> wakes_;
  std::map<std::pair<double, std::uint64_t>, std::uint64_t> wakes_by_time_;
  std::uint64_t last_wake_ = 0;
  std::array<std::uint64_t, kSides> ejections_{};
  std::vector<std::pair<RequestId, int>> to_cancel_;
  std::vector<RequestId> touched_;  // by this event
};

}  // namespace puffinvane
