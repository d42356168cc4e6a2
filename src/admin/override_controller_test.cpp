// Tests of operator overrides without sockets, on a host that records its calls.
#undef NDEBUG
#include "src/admin/override_controller.h"

#include <cassert>
#include <set>
#include <string>
#include <utility>
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

bool give(OverrideController& overrides, OperatorOrder::Action action, double now,
          std::string endpoint = "") {
  return overrides.accept({action, std::move(endpoint), now});
}
bool exclude(OverrideController& overrides, double now, const std::string& endpoint) {
  return give(overrides, OperatorOrder::Action::Exclude, now, endpoint);
}
bool include(OverrideController& overrides, double now, const std::string& endpoint) {
  return give(overrides, OperatorOrder::Action::Include, now, endpoint);
}
void evacuate(OverrideController& overrides, double now) {
  assert(give(overrides, OperatorOrder::Action::Evacuate, now));
}
void rejoin(OverrideController& overrides, double now) {
  assert(give(overrides, OperatorOrder::Action::Rejoin, now));
}

void a_repeated_order_acts_once() {
  FakeHost host;
  OverrideController overrides(host);
  assert(exclude(overrides, 5, "a") && exclude(overrides, 6, "a") && overrides.is_excluded("a"));
  assert(include(overrides, 7, "a") && include(overrides, 8, "a") && !overrides.is_excluded("a"));
  assert((host.calls == std::vector<std::string>{"exclude a", "include a 5"}));
}

void unknown_endpoints_are_rejected_and_orders_outlive_the_list() {
  FakeHost host;
  OverrideController overrides(host);
  assert(!exclude(overrides, 1, "unknown") && !include(overrides, 1, "unknown") &&
         exclude(overrides, 1, "a"));
  host.known.clear();  // no longer in the list
  assert(overrides.is_excluded("a") && exclude(overrides, 2, "a") && include(overrides, 3, "a"));
}

void the_number_of_exclusions_is_limited() {
  FakeHost host;
  for (std::size_t i = 0; i < 2 * OverrideController::kMaxExcluded; ++i) host.known.insert(std::to_string(i));
  OverrideController overrides(host);
  std::size_t accepted = 0;
  for (const std::string& name : host.known) accepted += exclude(overrides, 1, name);
  assert(accepted == OverrideController::kMaxExcluded &&
         overrides.excluded_since().size() == OverrideController::kMaxExcluded);
}

void a_drain_is_announced_then_ends_connections_then_closes_idle_ones() {
  FakeHost host;
  OverrideController overrides(host);
  evacuate(overrides, 10);
  assert(overrides.is_draining() && !overrides.closes_idle_connections() && host.calls.empty());
  overrides.advance(10.2);
  assert(host.calls.empty());
  evacuate(overrides, 10.3);  // a repeated order keeps the first time
  overrides.advance(10.4);
  assert(host.calls == std::vector<std::string>{"last responses"} && !overrides.closes_idle_connections());
  overrides.advance(11.5);
  assert(overrides.closes_idle_connections());
  rejoin(overrides, 11.6);
  rejoin(overrides, 11.7);
  assert(!overrides.is_draining() && !overrides.closes_idle_connections() &&
         host.calls.back() == "keep connections" && host.calls.size() == 2);
}

void a_rejoin_ends_a_drain_in_any_step_and_is_harmless_without_one() {
  for (double at : {10.0, 10.4, 11.5}) {
    FakeHost host;
    OverrideController overrides(host);
    rejoin(overrides, 9);
    evacuate(overrides, 10);
    overrides.advance(at);
    rejoin(overrides, 12);
    assert(!overrides.is_draining() && !overrides.draining_since());
    evacuate(overrides, 20);
    overrides.advance(20.1);
    assert(overrides.draining_since() == 20.0 && !overrides.closes_idle_connections());
  }
}

void overrides_of_another_process_replace_the_own_ones() {
  FakeHost host;
  OverrideController overrides(host);
  exclude(overrides, 1, "a");
  overrides.replace_with({{"b", 3.0}, {"not listed yet", 4.0}}, 7.0);
  assert(!overrides.is_excluded("a") && overrides.is_excluded("b") &&
         overrides.is_excluded("not listed yet") && overrides.draining_since() == 7.0);
  overrides.replace_with({}, std::nullopt);
  assert(overrides.excluded_since().empty() && !overrides.is_draining());
}

// Guards against: an order of another process, given before this one's, undoes it.
void of_orders_that_cross_the_last_one_given_holds() {
  FakeHost host;
  OverrideController overrides(host);
  assert(exclude(overrides, 5, "a"));
  overrides.apply({OperatorOrder::Action::Exclude, "b", 4});
  assert(overrides.is_excluded("a") && overrides.is_excluded("b"));
  overrides.apply({OperatorOrder::Action::Include, "a", 4.5});
  assert(overrides.is_excluded("a"));
  assert(include(overrides, 6, "b"));
  overrides.apply({OperatorOrder::Action::Exclude, "b", 5});
  assert(!overrides.is_excluded("b"));
  overrides.apply({OperatorOrder::Action::Exclude, "b", 7});
  assert(overrides.is_excluded("b") && overrides.excluded_since().at("b") == 7);
  rejoin(overrides, 9);
  overrides.apply({OperatorOrder::Action::Evacuate, "", 8});
  assert(!overrides.is_draining());
}

// Guards against: an exclusion that was ordered again is ended by an order that was given in between.
void a_repeated_order_counts_as_the_last_one() {
  FakeHost host;
  OverrideController overrides(host);
  assert(exclude(overrides, 5, "a") && exclude(overrides, 8, "a"));
  overrides.apply({OperatorOrder::Action::Include, "a", 6});
  assert(overrides.is_excluded("a") && overrides.excluded_since().at("a") == 5);
  evacuate(overrides, 5);
  evacuate(overrides, 8);
  overrides.apply({OperatorOrder::Action::Rejoin, "", 6});
  assert(overrides.draining_since() == 5.0);
}

void orders_of_another_process_may_name_endpoints_that_are_not_listed_yet() {
  FakeHost host;
  OverrideController overrides(host);
  overrides.apply({OperatorOrder::Action::Exclude, "not listed yet", 4});
  assert(overrides.is_excluded("not listed yet"));
}

}  // namespace

int main() {
  a_repeated_order_acts_once();
  unknown_endpoints_are_rejected_and_orders_outlive_the_list();
  the_number_of_exclusions_is_limited();
  a_drain_is_announced_then_ends_connections_then_closes_idle_ones();
  a_rejoin_ends_a_drain_in_any_step_and_is_harmless_without_one();
  overrides_of_another_process_replace_the_own_ones();
  of_orders_that_cross_the_last_one_given_holds();
  a_repeated_order_counts_as_the_last_one();
  orders_of_another_process_may_name_endpoints_that_are_not_listed_yet();
}
