// Tests of operator overrides without sockets, on a host that records its calls.
#undef NDEBUG
#include "src/admin/override_controller.h"

#include <cassert>
#include <set>
#include <string>
#include <vector>

using namespace puffinvane;

namespace {

struct FakeHost final : OverrideController::Host {
  bool knows_endpoint(std::string_view endpoint) const override {
    return known.contains(std::string(endpoint));
  }
  void exclude_endpoint(std::string_view endpoint) override {
    calls.push_back("exclude " + std::string(endpoint));
  }
  void include_endpoint(std::string_view endpoint, double since) override {
    calls.push_back("include " + std::string(endpoint) + " " + std::to_string(int(since)));
  }
  void set_last_responses(bool on) override { calls.push_back(on ? "last responses" : "keep connections"); }
  std::set<std::string> known{"a", "b"};
  std::vector<std::string> calls;
};

void a_repeated_order_acts_once() {
  FakeHost host;
  OverrideController overrides(host);
  assert(overrides.exclude(5, "a") && overrides.exclude(6, "a") && overrides.is_excluded("a"));
  assert(overrides.include("a") && overrides.include("a") && !overrides.is_excluded("a"));
  assert((host.calls == std::vector<std::string>{"exclude a", "include a 5"}));
}

void unknown_endpoints_are_rejected_and_orders_outlive_the_list() {
  FakeHost host;
  OverrideController overrides(host);
  assert(!overrides.exclude(1, "unknown") && !overrides.include("unknown") && overrides.exclude(1, "a"));
  host.known.clear();  // no longer in the list
  assert(overrides.is_excluded("a") && overrides.exclude(2, "a") && overrides.include("a"));
}

void the_number_of_exclusions_is_limited() {
  FakeHost host;
  for (std::size_t i = 0; i < 2 * OverrideController::kMaxExcluded; ++i) host.known.insert(std::to_string(i));
  OverrideController overrides(host);
  std::size_t accepted = 0;
  for (const std::string& name : host.known) accepted += overrides.exclude(1, name);
  assert(accepted == OverrideController::kMaxExcluded &&
         overrides.excluded_since().size() == OverrideController::kMaxExcluded);
}

void a_drain_is_announced_then_ends_connections_then_closes_idle_ones() {
  FakeHost host;
  OverrideController overrides(host);
  overrides.evacuate(10);
  assert(overrides.is_draining() && !overrides.closes_idle_connections() && host.calls.empty());
  overrides.advance(10.2);
  assert(host.calls.empty());
  overrides.evacuate(10.3);  // a repeated order keeps the first time
  overrides.advance(10.4);
  assert(host.calls == std::vector<std::string>{"last responses"} && !overrides.closes_idle_connections());
  overrides.advance(11.5);
  assert(overrides.closes_idle_connections());
  overrides.rejoin();
  overrides.rejoin();
  assert(!overrides.is_draining() && !overrides.closes_idle_connections() &&
         host.calls.back() == "keep connections" && host.calls.size() == 2);
}

void a_rejoin_ends_a_drain_in_any_step_and_is_harmless_without_one() {
  for (double at : {10.0, 10.4, 11.5}) {
    FakeHost host;
    OverrideController overrides(host);
    overrides.rejoin();
    overrides.evacuate(10);
    overrides.advance(at);
    overrides.rejoin();
    assert(!overrides.is_draining() && !overrides.draining_since());
    overrides.evacuate(20);
    overrides.advance(20.1);
    assert(overrides.draining_since() == 20.0 && !overrides.closes_idle_connections());
  }
}

void overrides_of_another_process_replace_the_own_ones() {
  FakeHost host;
  OverrideController overrides(host);
  overrides.exclude(1, "a");
  overrides.replace_with({{"b", 3.0}, {"not listed yet", 4.0}}, 7.0);
  assert(!overrides.is_excluded("a") && overrides.is_excluded("b") &&
         overrides.is_excluded("not listed yet") && overrides.draining_since() == 7.0);
  overrides.replace_with({}, std::nullopt);
  assert(overrides.excluded_since().empty() && !overrides.is_draining());
}

}  // namespace

int main() {
  a_repeated_order_acts_once();
  unknown_endpoints_are_rejected_and_orders_outlive_the_list();
  the_number_of_exclusions_is_limited();
  a_drain_is_announced_then_ends_connections_then_closes_idle_ones();
  a_rejoin_ends_a_drain_in_any_step_and_is_harmless_without_one();
  overrides_of_another_process_replace_the_own_ones();
}
