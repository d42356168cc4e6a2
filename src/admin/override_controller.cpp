#include "src/admin/override_controller.h"

namespace puffinvane {

namespace {
// Seconds after the order. Clients learn of a drain some tenths of a second late and open new connections
// until then, so a connection closed earlier would only be replaced by another one here.
constexpr double kNoticeTime = 0.35;
// Seconds after the order. Busy connections have ended with a response by then, so closing the idle ones
// rarely meets a request on its way.
constexpr double kSettleTime = 1.2;
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

bool OverrideController::exclude(double now, std::string_view endpoint) {
  if (is_excluded(endpoint)) return true;
  if (!host_.knows_endpoint(endpoint) || excluded_since_.size() >= kMaxExcluded) return false;
  excluded_since_.emplace(endpoint, now);
  host_.exclude_endpoint(endpoint);
  return true;
}

bool OverrideController::include(std::string_view endpoint) {
  auto found = excluded_since_.find(endpoint);
  if (found == excluded_since_.end()) return host_.knows_endpoint(endpoint);
  auto [name, since] = *found;
  excluded_since_.erase(found);
  host_.include_endpoint(name, since);
  return true;
}

void OverrideController::evacuate(double now) {
  if (!is_draining()) draining_since_ = now;
  apply(Input::Evacuate);
}

void OverrideController::rejoin() { apply(Input::Rejoin); }

void OverrideController::replace_with(const std::map<std::string, double, std::less<>>& excluded_since,
                                      std::optional<double> draining_since) {
  for (auto own = excluded_since_.begin(); own != excluded_since_.end();) {
    auto [name, since] = *own++;  // moves on first, as include() erases the entry
    if (!excluded_since.contains(name)) include(name);
  }
  for (const auto& [name, since] : excluded_since) {
    if (excluded_since_.size() < kMaxExcluded && excluded_since_.emplace(name, since).second)
      host_.exclude_endpoint(name);
  }
  draining_since ? evacuate(*draining_since) : rejoin();
}

void OverrideController::advance(double now) {
  if (is_draining() && now - draining_since_ >= kNoticeTime) apply(Input::NoticeTimeElapsed);
  if (is_draining() && now - draining_since_ >= kSettleTime) apply(Input::SettleTimeElapsed);
}

}  // namespace puffinvane
