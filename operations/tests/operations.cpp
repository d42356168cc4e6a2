// Stories of what operators ordered, without a socket: a host that writes down what it is asked for.
#undef NDEBUG
#include "operations/operations.h"

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
  Operations orders(host);
  assert(orders.exclude(5, "a") && orders.exclude(6, "a") && orders.out("a"));
  assert(orders.include("a") && orders.include("a") && !orders.out("a"));
  assert((host.said == std::vector<std::string>{"stop a", "use a 5"}));
}

void strangers_are_refused_and_orders_outlive_the_list() {
  FakeHost host;
  Operations orders(host);
  assert(!orders.exclude(1, "stranger") && !orders.include("stranger") && orders.exclude(1, "a"));
  host.known.clear();  // gone from the list, and long forgotten there
  assert(orders.out("a") && orders.exclude(2, "a") && orders.include("a"));
}

void names_can_not_fill_the_memory() {
  FakeHost host;
  for (std::size_t i = 0; i < 2 * Operations::kMostOut; ++i) host.known.insert(std::to_string(i));
  Operations orders(host);
  std::size_t taken = 0;
  for (const std::string& name : host.known) taken += orders.exclude(1, name);
  assert(taken == Operations::kMostOut && orders.all_out().size() == Operations::kMostOut);
}

void a_drain_tells_first_then_parts_then_closes_what_is_idle() {
  FakeHost host;
  Operations orders(host);
  orders.evacuate(10);
  assert(orders.drains() && !orders.closes_idle() && host.said.empty());
  orders.pass_time(10.2);
  assert(host.said.empty());
  orders.evacuate(10.3);  // again: its time goes on from the first
  orders.pass_time(10.4);
  assert(host.said == std::vector<std::string>{"part"} && !orders.closes_idle());
  orders.pass_time(11.5);
  assert(orders.closes_idle());
  orders.rejoin(), orders.rejoin();
  assert(!orders.drains() && !orders.closes_idle() && host.said.back() == "keep" && host.said.size() == 2);
}

void a_rejoin_is_right_at_any_moment_and_undrained_too() {
  for (double at : {10.0, 10.4, 11.5}) {
    FakeHost host;
    Operations orders(host);
    orders.rejoin();
    orders.evacuate(10), orders.pass_time(at), orders.rejoin();
    assert(!orders.drains() && !orders.drains_since());
    orders.evacuate(20), orders.pass_time(20.1);
    assert(orders.drains_since() == 20.0 && !orders.closes_idle());
  }
}

void what_another_process_was_ordered_takes_the_place_of_ones_own() {
  FakeHost host;
  Operations orders(host);
  orders.exclude(1, "a");
  orders.take_over({{"b", 3.0}, {"not listed yet", 4.0}}, 7.0);
  assert(!orders.out("a") && orders.out("b") && orders.out("not listed yet") && orders.drains_since() == 7.0);
  orders.take_over({}, std::nullopt);
  assert(orders.all_out().empty() && !orders.drains());
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
