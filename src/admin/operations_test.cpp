// Tests of what operators ordered, without a socket: a host that writes down what it is asked for.
#undef NDEBUG
#include "src/admin/operations.h"

#include <cassert>
#include <set>
#include <string>
#include <vector>

using namespace puffinvane;

namespace {

struct FakeHost final : Operations::Host {
  bool knows(std::string_view endpoint) const override { return known.contains(std::string(endpoint)); }
  void stop(std::string_view endpoint) override { said.push_back("stop " + std::string(endpoint)); }
  void use_again(std::string_view endpoint, double since) override {
    said.push_back("use " + std::string(endpoint) + " " + std::to_string(int(since)));
  }
  void last_answers(bool on) override { said.push_back(on ? "part" : "keep"); }
  std::set<std::string> known{"a", "b"};
  std::vector<std::string> said;
};

void an_order_given_twice_acts_once() {
  FakeHost host;
  Operations overrides(host);
  assert(overrides.exclude(5, "a") && overrides.exclude(6, "a") && overrides.out("a"));
  assert(overrides.include("a") && overrides.include("a") && !overrides.out("a"));
  assert((host.said == std::vector<std::string>{"stop a", "use a 5"}));
}

void strangers_are_refused_and_orders_outlive_the_list() {
  FakeHost host;
  Operations overrides(host);
  assert(!overrides.exclude(1, "stranger") && !overrides.include("stranger") && overrides.exclude(1, "a"));
  host.known.clear();  // gone from the list, and long forgotten there
  assert(overrides.out("a") && overrides.exclude(2, "a") && overrides.include("a"));
}

void names_can_not_fill_the_memory() {
  FakeHost host;
  for (std::size_t i = 0; i < 2 * Operations::kMostOut; ++i) host.known.insert(std::to_string(i));
  Operations overrides(host);
  std::size_t taken = 0;
  for (const std::string& name : host.known) taken += overrides.exclude(1, name);
  assert(taken == Operations::kMostOut && overrides.all_out().size() == Operations::kMostOut);
}

void a_drain_tells_first_then_parts_then_closes_what_is_idle() {
  FakeHost host;
  Operations overrides(host);
  overrides.evacuate(10);
  assert(overrides.drains() && !overrides.closes_idle() && host.said.empty());
  overrides.pass_time(10.2);
  assert(host.said.empty());
  overrides.evacuate(10.3);  // again: its time goes on from the first
  overrides.pass_time(10.4);
  assert(host.said == std::vector<std::string>{"part"} && !overrides.closes_idle());
  overrides.pass_time(11.5);
  assert(overrides.closes_idle());
  overrides.rejoin(), overrides.rejoin();
  assert(!overrides.drains() && !overrides.closes_idle() && host.said.back() == "keep" &&
         host.said.size() == 2);
}

void a_rejoin_is_right_at_any_moment_and_undrained_too() {
  for (double at : {10.0, 10.4, 11.5}) {
    FakeHost host;
    Operations overrides(host);
    overrides.rejoin();
    overrides.evacuate(10), overrides.pass_time(at), overrides.rejoin();
    assert(!overrides.drains() && !overrides.drains_since());
    overrides.evacuate(20), overrides.pass_time(20.1);
    assert(overrides.drains_since() == 20.0 && !overrides.closes_idle());
  }
}

void what_another_process_was_ordered_takes_the_place_of_ones_own() {
  FakeHost host;
  Operations overrides(host);
  overrides.exclude(1, "a");
  overrides.take_over({{"b", 3.0}, {"not listed yet", 4.0}}, 7.0);
  assert(!overrides.out("a") && overrides.out("b") && overrides.out("not listed yet") &&
         overrides.drains_since() == 7.0);
  overrides.take_over({}, std::nullopt);
  assert(overrides.all_out().empty() && !overrides.drains());
}

}  // namespace

int main() {
  an_order_given_twice_acts_once();
  strangers_are_refused_and_orders_outlive_the_list();
  names_can_not_fill_the_memory();
  a_drain_tells_first_then_parts_then_closes_what_is_idle();
  a_rejoin_is_right_at_any_moment_and_undrained_too();
  what_another_process_was_ordered_takes_the_place_of_ones_own();
}
