#include "src/admin/operations.h"

namespace puffinvane {

namespace {
// Seconds after the order. Clients hear of it some tenths late and open new connections until then, so an
// answer that parted at once would only be followed by a new connection here.
constexpr double kNoticed = 0.35;
// By then the busy ones have parted with an answer, and closing what is left crosses next to no request.
constexpr double kSettled = 1.2;
}  // namespace

const Transition<Operations, Operations::Drain, Operations::Input> Operations::kRows[] = {
    {Drain::Serving, Input::Evacuate, Drain::Telling, &Operations::nothing},
    {Drain::Telling, Input::Noticed, Drain::Parting, &Operations::part},
    {Drain::Telling, Input::Rejoin, Drain::Serving, &Operations::serve},
    {Drain::Parting, Input::Settled, Drain::Emptying, &Operations::nothing},
    {Drain::Parting, Input::Rejoin, Drain::Serving, &Operations::serve},
    {Drain::Emptying, Input::Rejoin, Drain::Serving, &Operations::serve},
};

void Operations::turn(Input input) { apply_transition(kRows, *this, drain_, input); }

bool Operations::exclude(double now, std::string_view endpoint) {
  if (out(endpoint)) return true;
  if (!host_.knows(endpoint) || out_.size() >= kMostOut) return false;
  out_.emplace(endpoint, now);
  host_.stop(endpoint);
  return true;
}

bool Operations::include(std::string_view endpoint) {
  auto found = out_.find(endpoint);
  if (found == out_.end()) return host_.knows(endpoint);
  auto [name, since] = *found;
  out_.erase(found);
  host_.use_again(name, since);
  return true;
}

void Operations::evacuate(double now) {
  if (!drains()) since_ = now;
  turn(Input::Evacuate);
}

void Operations::rejoin() { turn(Input::Rejoin); }

void Operations::take_over(const std::map<std::string, double, std::less<>>& out,
                           std::optional<double> drains_since) {
  for (auto mine = out_.begin(); mine != out_.end();) {
    auto [name, since] = *mine++;  // an include takes it out
    if (!out.contains(name)) include(name);
  }
  for (const auto& [name, since] : out) {
    if (out_.size() < kMostOut && out_.emplace(name, since).second) host_.stop(name);
  }
  drains_since ? evacuate(*drains_since) : rejoin();
}

void Operations::pass_time(double now) {
  if (drains() && now - since_ >= kNoticed) turn(Input::Noticed);
  if (drains() && now - since_ >= kSettled) turn(Input::Settled);
}

}  // namespace puffinvane
