#include "src/admin/override_controller.h"

namespace puffinvane {

namespace {
// Seconds after the order. Clients learn of a drain some tenths of a second late and open new connections
// until then, so a connection closed earlier would only be replaced by another one here.
constexpr double kNoticeTime = 0.35;
// Seconds after the order. Busy connections have ended with a response by then, so closing the idle ones
// rarely meets a request on its way.
constexpr double kSettleTime = 1.2;
// Seconds after which no order of another process is still on its way: a process that stands still for that
// long has been ended.
constexpr double kOrderMemoryTime = 60;
}  // namespace

const Transition<OverrideController, OverrideController::Drain, OverrideController::Input>
    OverrideController::kTransitions[] = {
        {Drain::Serving, Input::Evacuate, Drain::Announced, &OverrideController::do_nothing},
        {Drain::Announced, Input::NoticeTimeElapsed, Drain::LastResponses,
         &OverrideController::begin_last_responses},
        {Drain::Announced, Input::Rejoin, Drain::Serving, &OverrideController::end_last_responses},
        {Drain::LastResponses, Input::SettleTimeElapsed, Drain::ClosingIdle, &OverrideController::do_nothing},
        {Drain::LastResponses, Input::Rejoin, Drain::Serving, &OverrideController::end_last_responses},
        {Drain::ClosingIdle, Input::Rejoin, Drain::Serving, &OverrideController::end_last_responses},
};

void OverrideController::apply(Input input) { apply_transition(kTransitions, *this, drain_, input); }

bool OverrideController::accept(const OperatorOrder& order) {
  const bool is_exclusion = order.action == OperatorOrder::Action::Exclude;
  const bool is_inclusion = order.action == OperatorOrder::Action::Include;
  const bool is_known = is_excluded(order.endpoint) || host_.knows_endpoint(order.endpoint);
  if ((is_exclusion || is_inclusion) && !is_known) return false;
  if (is_exclusion && !is_excluded(order.endpoint) && excluded_since_.size() >= kMaxExcluded) return false;
  apply(order);
  return true;
}

void OverrideController::apply(const OperatorOrder& order) {
  if (is_outdated(order)) return;
  switch (order.action) {
    case OperatorOrder::Action::Exclude: exclude(order.given_at_s, order.endpoint); break;
    case OperatorOrder::Action::Include: include(order.endpoint); break;
    case OperatorOrder::Action::Evacuate: evacuate(order.given_at_s); break;
    case OperatorOrder::Action::Rejoin: rejoin(); break;
  }
  if (order.endpoint.empty()) {
    drain_ordered_at_ = order.given_at_s;
  } else {
    ordered_at_[order.endpoint] = order.given_at_s;
    forget_old_orders(order.given_at_s);
  }
}

// Of two orders that were given at the same time, the one that takes something out of service holds.
bool OverrideController::is_outdated(const OperatorOrder& order) const {
  const auto found = ordered_at_.find(order.endpoint);
  const double endpoint_ordered_at = found == ordered_at_.end() ? 0 : found->second;
  switch (order.action) {
    case OperatorOrder::Action::Exclude: return order.given_at_s < endpoint_ordered_at;
    case OperatorOrder::Action::Include: return order.given_at_s <= endpoint_ordered_at;
    case OperatorOrder::Action::Evacuate: return order.given_at_s < drain_ordered_at_;
    case OperatorOrder::Action::Rejoin: return order.given_at_s <= drain_ordered_at_;
  }
  return false;
}

void OverrideController::exclude(double now, std::string_view endpoint) {
  if (is_excluded(endpoint) || excluded_since_.size() >= kMaxExcluded) return;
  excluded_since_.emplace(endpoint, now);
  host_.exclude_endpoint(endpoint);
}

void OverrideController::include(std::string_view endpoint) {
  auto found = excluded_since_.find(endpoint);
  if (found == excluded_since_.end()) return;
  auto [name, since] = *found;
  excluded_since_.erase(found);
  host_.include_endpoint(name, since);
}

void OverrideController::evacuate(double now) {
  if (!is_draining()) draining_since_ = now;
  apply(Input::Evacuate);
}

void OverrideController::forget_old_orders(double now) {
  std::erase_if(ordered_at_, [&](const auto& entry) {
    return !is_excluded(entry.first) && entry.second < now - kOrderMemoryTime;
  });
}

void OverrideController::replace_with(const std::map<std::string, double, std::less<>>& excluded_since,
                                      std::optional<double> draining_since) {
  for (auto own = excluded_since_.begin(); own != excluded_since_.end();) {
    auto [name, since] = *own++;  // moves on first, as include() erases the entry
    if (!excluded_since.contains(name)) include(name);
  }
  for (const auto& [name, since] : excluded_since) exclude(since, name);
  draining_since ? evacuate(*draining_since) : rejoin();
}

void OverrideController::advance(double now) {
  if (is_draining() && now - draining_since_ >= kNoticeTime) apply(Input::NoticeTimeElapsed);
  if (is_draining() && now - draining_since_ >= kSettleTime) apply(Input::SettleTimeElapsed);
}

}  // namespace puffinvane
