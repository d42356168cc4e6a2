// A simulated fleet of up to thousands of members in one process. A seeded scheduler delivers their messages
// with delays and, as configured, with loss, duplication, network partitions and stalled members.
#pragma once

#undef NDEBUG
#include <cassert>
#include <functional>
#include <memory>
#include <queue>

#include "src/fleet/membership/membership.h"

namespace puffinvane::fleet::test {

class SimulatedFleet {
 public:
  struct Network {
    double loss = 0, duplication = 0;  // probabilities
    double delay = 0.001, jitter = 0.004;
  };
  struct Node final : Membership::Host {
    Node(SimulatedFleet& fleet, int index, Member self, std::vector<std::string> seeds,
         const DetectorTiming& timing, std::uint64_t seed)
        : fleet(fleet), index(index), membership(std::move(self), std::move(seeds), timing, seed, *this) {}
    void send(const std::string& address, const Message& message) override {
      ++fleet.messages;
      fleet.bytes += 60;
      for (const MembershipUpdate& update : message.updates) fleet.bytes += max_encoded_size(update);
      fleet.transmit(*this, address, message);
    }
    void request_sync(const std::string& address) override { fleet.sync(*this, address); }
    void schedule_timer(double at) override {
      fleet.at(at, [this] { fleet.on_timer(*this); });
    }
    void on_member_changed(const Member& member, MemberState state) override {
      if (fleet.on_changed) fleet.on_changed(*this, member, state);
    }
    void on_superseded(bool now_superseded, const std::string&) override { superseded = now_superseded; }
    SimulatedFleet& fleet;
    int index;
    bool running = true, superseded = false;
    double stalled_until = 0;  // timers and messages that are due earlier are handled then
    Membership membership;
  };

  explicit SimulatedFleet(std::uint64_t seed) : rng(seed) {}

  static std::string name_of(int index) { return "n" + std::to_string(index); }
  static std::string address_of(int index) { return "10.0.0.1:" + std::to_string(index); }

  // Starts a member at the address of that index, in place of one that runs there.
  Node& start(int index, std::uint64_t generation, std::vector<std::string> seeds = {address_of(0)},
              const std::string& name = "") {
    Member self;
    self.name = name.empty() ? name_of(index) : name;
    self.address = address_of(index);
    self.version.generation = generation;
    self.phase = Phase::Serving;
    stop(index);
    auto node = std::make_unique<Node>(*this, index, self, std::move(seeds), timing, rng());
    Node& started = *node;
    by_address[self.address] = &started;
    nodes.push_back(std::move(node));
    started.membership.start(now);
    return started;
  }
  void stop(int index) {
    auto found = by_address.find(address_of(index));
    if (found == by_address.end()) return;
    found->second->running = false;
    by_address.erase(found);
  }
  Node& node(int index) { return *by_address.at(address_of(index)); }

  void run(double seconds) {
    double until = now + seconds;
    while (!events.empty() && events.top().at <= until) {
      auto action = events.top().action;
      now = std::max(now, events.top().at);
      events.pop();
      action();
    }
    now = until;
  }
  // Runs until all members agree that there are this many. Returns the seconds that it took, or a negative
  // number after max_seconds.
  double until_agreed(std::size_t members, double max_seconds) {
    for (double from = now; now < from + max_seconds; run(0.1)) {
      if (agreed(members)) return now - from;
    }
    return -1;
  }
  bool agreed(std::size_t members) const {
    std::uint64_t first = by_address.begin()->second->membership.digest();
    for (const auto& [address, node] : by_address) {
      if (node->superseded) continue;
      if (node->membership.live_count() != members || node->membership.digest() != first) return false;
    }
    return true;
  }
  // The number of running members that have this one in that state.
  std::size_t count_seen_as(const std::string& name, MemberState state) const {
    std::size_t count = 0;
    for (const auto& [address, node] : by_address) {
      auto known = node->membership.others().find(name);
      count += known != node->membership.others().end() && known->second.state == state;
    }
    return count;
  }

  void at(double when, std::function<void()> action) {
    events.push({std::max(when, now), ++event_count, std::move(action)});
  }
  void on_timer(Node& node) {
    if (!node.running) return;
    if (now < node.stalled_until) return at(node.stalled_until + 1e-6, [this, &node] { on_timer(node); });
    node.membership.on_timer(now);
  }
  void deliver(Node& to, Message message, std::string source) {
    if (!to.running) return;
    if (now < to.stalled_until)
      return at(to.stalled_until, [this, &to, message, source] { deliver(to, message, source); });
    to.membership.receive(now, message, source);
  }
  double random_share() { return double(rng()) / 4294967296.0; }  // from 0 to 1
  void transmit(Node& from, const std::string& address, const Message& message) {
    auto found = by_address.find(address);
    if (found == by_address.end() || (is_blocked && is_blocked(from.index, found->second->index))) return;
    for (int copies = 1 + (random_share() < network.duplication); copies > 0; --copies) {
      if (random_share() < network.loss) continue;
      Node* to = found->second;
      at(now + network.delay + random_share() * network.jitter,
         [this, to, message, source = address_of(from.index)] { deliver(*to, message, source); });
    }
  }
  void sync(Node& from, const std::string& address) {
    auto found = by_address.find(address);
    if (found == by_address.end() || found->second == &from) return;
    Node* to = found->second;
    if (is_blocked && (is_blocked(from.index, to->index) || is_blocked(to->index, from.index))) return;
    at(now + 0.01, [this, to, &from] {
      if (!from.running || !to->running || now < to->stalled_until || now < from.stalled_until) return;
      Message from_state = from.membership.state(), to_state = to->membership.state();
      synced_updates += from_state.updates.size() + to_state.updates.size();
      to->membership.merge_state(now, from_state);
      from.membership.merge_state(now, to_state);
    });
  }

  struct Event {
    double at;
    std::uint64_t number;  // events of the same time run in the order in which they were scheduled
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  pcg32 rng;
  DetectorTiming timing;
  Network network;
  bool injects_stalls = false;                       // read by tests that schedule stalls, not used here
  std::function<bool(int from, int to)> is_blocked;  // a network partition; empty: none
  std::function<void(Node&, const Member&, MemberState)> on_changed;
  double now = 0;
  std::uint64_t event_count = 0, messages = 0, bytes = 0, synced_updates = 0;
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, Node*> by_address;
};

}  // namespace puffinvane::fleet::test
