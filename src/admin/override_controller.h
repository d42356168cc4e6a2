// The overrides that operators order, apart from the connections that carry the orders: which endpoints are
// excluded, and whether the sidecar is being drained. An order holds until it is revoked, even if its
// endpoint leaves the list.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/transition_table.h"
#include "src/hot_restart/operator_orders.h"

namespace puffinvane {

class OverrideController {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    // Whether the endpoint is in the list, or was a short while ago.
    virtual bool knows_endpoint(std::string_view endpoint) const = 0;
    // No new attempts go to the endpoint from now on.
    virtual void exclude_endpoint(std::string_view endpoint) = 0;
    // Ends the exclusion; excluded_since: when it began.
    virtual void include_endpoint(std::string_view endpoint, double excluded_since) = 0;
    // While on, each response is the last on its connection.
    virtual void set_last_responses(bool on) = 0;
  };
  // An exclusion is kept after its endpoint has left the list, as the endpoint may come back under its id.
  // Only known endpoints can be excluded, and no more than this many, so that requests with arbitrary names
  // can't exhaust memory.
  static constexpr std::size_t kMaxExcluded = 1024;

  explicit OverrideController(Host& host) : host_(host) {}

  // Carries out an order that an operator gives to this process. Returns whether it was accepted. A repeated
  // order is accepted and changes nothing but the time of the latest order.
  bool accept(const OperatorOrder& order);
  // Carries out an order that another process of the same sidecar has accepted, unless a later one is known.
  void apply(const OperatorOrder& order);
  // Moves a drain on to the step that is due at that time.
  void advance(double now);
  // Replaces all overrides with those of another process of the same sidecar, for the time before it tells
  // its orders one by one.
  void replace_with(const std::map<std::string, double, std::less<>>& excluded_since,
                    std::optional<double> draining_since);

  bool is_excluded(std::string_view endpoint) const { return excluded_since_.contains(endpoint); }
  // The excluded endpoints, and when each was excluded.
  const std::map<std::string, double, std::less<>>& excluded_since() const { return excluded_since_; }
  std::optional<double> draining_since() const {
    return is_draining() ? std::optional(draining_since_) : std::nullopt;
  }
  bool is_draining() const { return drain_ != Drain::Serving; }
  bool closes_idle_connections() const { return drain_ == Drain::ClosingIdle; }

 private:
  enum class Drain {
    Serving,
    Announced,      // health checks fail; connections stay open
    LastResponses,  // each response ends its connection
    ClosingIdle,    // idle connections are closed as well
  };
  enum class Input { Evacuate, NoticeTimeElapsed, SettleTimeElapsed, Rejoin };
  static const Transition<OverrideController, Drain, Input> kTransitions[];
  void apply(Input input);
  bool is_outdated(const OperatorOrder& order) const;
  void exclude(double now, std::string_view endpoint);
  void include(std::string_view endpoint);
  void evacuate(double now);
  void rejoin() { apply(Input::Rejoin); }
  void forget_old_orders(double now);
  void do_nothing() {}
  void begin_last_responses() { host_.set_last_responses(true); }
  void end_last_responses() { host_.set_last_responses(false); }

  Host& host_;
  std::map<std::string, double, std::less<>> excluded_since_;
  // When the latest order was given, by endpoint and about the drain. Those about endpoints that are not
  // excluded are kept for a while, against orders of another process that arrive late.
  std::map<std::string, double, std::less<>> ordered_at_;
  double drain_ordered_at_ = 0;
  Drain drain_ = Drain::Serving;
  double draining_since_ = 0;
};

}  // namespace puffinvane
