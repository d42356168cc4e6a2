// Thousands of members in one process: a seeded scheduler carries their messages, late, twice or never.
#pragma once

#undef NDEBUG
#include <cassert>
#include <functional>
#include <memory>
#include <queue>

#include "src/fleet/membership/membership.h"

namespace puffinvane::fleet::test {

class World {
 public:
  struct Links {
    double loss = 0, twice = 0, delay = 0.001, jitter = 0.004;
  };
  struct Node final : Membership::Host {
    Node(World& world, int index, Member me, std::vector<std::string> seeds, const DetectorTiming& timing,
         std::uint64_t seed)
        : world(world), index(index), membership(std::move(me), std::move(seeds), timing, seed, *this) {}
    void send(const std::string& address, const Message& message) override {
      ++world.messages;
      world.bytes += 60;
      for (const MembershipUpdate& update : message.updates) world.bytes += max_encoded_size(update);
      world.carry(*this, address, message);
    }
    void sync(const std::string& address) override { world.sync(*this, address); }
    void wake(double at) override {
      world.at(at, [this] { world.wake(*this); });
    }
    void changed(const Member& member, MemberState state) override {
      if (world.on_changed) world.on_changed(*this, member, state);
    }
    void superseded(bool yes, const std::string&) override { superseded_now = yes; }
    World& world;
    int index;
    bool up = true, superseded_now = false;
    double still_until = 0;  // it stands still: what comes waits
    Membership membership;
  };

  explicit World(std::uint64_t seed) : chance(seed) {}

  static std::string name_of(int index) { return "n" + std::to_string(index); }
  static std::string address_of(int index) { return "10.0.0.1:" + std::to_string(index); }

  // The process of that place; what was there before is gone.
  Node& start(int index, std::uint64_t life, std::vector<std::string> seeds = {address_of(0)},
              const std::string& name = "") {
    Member me;
    me.name = name.empty() ? name_of(index) : name;
    me.address = address_of(index);
    me.version.generation = life;
    me.phase = Phase::Serving;
    stop(index);
    auto node = std::make_unique<Node>(*this, index, me, std::move(seeds), timing, chance());
    Node& started = *node;
    by_address[me.address] = &started;
    all.push_back(std::move(node));
    started.membership.start(now);
    return started;
  }
  void stop(int index) {
    auto there = by_address.find(address_of(index));
    if (there == by_address.end()) return;
    there->second->up = false;
    by_address.erase(there);
  }
  Node& node(int index) { return *by_address.at(address_of(index)); }

  void run(double seconds) {
    double until = now + seconds;
    while (!events.empty() && events.top().at <= until) {
      auto what = events.top().what;
      now = std::max(now, events.top().at);
      events.pop();
      what();
    }
    now = until;
  }
  // For how long it took until all hold the same; negative: longer than that.
  double until_agreed(std::size_t members, double most) {
    for (double from = now; now < from + most; run(0.1)) {
      if (agreed(members)) return now - from;
    }
    return -1;
  }
  bool agreed(std::size_t members) const {
    std::uint64_t first = by_address.begin()->second->membership.digest();
    for (const auto& [address, node] : by_address) {
      if (node->superseded_now) continue;
      if (node->membership.live() != members || node->membership.digest() != first) return false;
    }
    return true;
  }
  std::size_t holding(const std::string& name, MemberState state) const {
    std::size_t count = 0;
    for (const auto& [address, node] : by_address) {
      auto known = node->membership.others().find(name);
      count += known != node->membership.others().end() && known->second.state == state;
    }
    return count;
  }

  void at(double when, std::function<void()> what) {
    events.push({std::max(when, now), ++turns, std::move(what)});
  }
  void wake(Node& node) {
    if (!node.up) return;
    if (now < node.still_until) return at(node.still_until + 1e-6, [this, &node] { wake(node); });
    node.membership.woken(now);
  }
  void deliver(Node& to, Message message, std::string source) {
    if (!to.up) return;
    if (now < to.still_until)
      return at(to.still_until, [this, &to, message, source] { deliver(to, message, source); });
    to.membership.receive(now, message, source);
  }
  double draw() { return double(chance()) / 4294967296.0; }
  void carry(Node& from, const std::string& address, const Message& message) {
    auto there = by_address.find(address);
    if (there == by_address.end() || (cut && cut(from.index, there->second->index))) return;
    for (int copies = 1 + (draw() < links.twice); copies > 0; --copies) {
      if (draw() < links.loss) continue;
      Node* to = there->second;
      at(now + links.delay + draw() * links.jitter,
         [this, to, message, source = address_of(from.index)] { deliver(*to, message, source); });
    }
  }
  void sync(Node& from, const std::string& address) {
    auto there = by_address.find(address);
    if (there == by_address.end() || there->second == &from) return;
    Node* to = there->second;
    if (cut && (cut(from.index, to->index) || cut(to->index, from.index))) return;
    at(now + 0.01, [this, to, &from] {
      if (!from.up || !to->up || now < to->still_until || now < from.still_until) return;
      Message mine = from.membership.state(), theirs = to->membership.state();
      synced += mine.updates.size() + theirs.updates.size();
      to->membership.exchange(now, mine);
      from.membership.exchange(now, theirs);
    });
  }

  struct Event {
    double at;
    std::uint64_t turn;
    std::function<void()> what;
    bool operator<(const Event& other) const { return std::pair(at, turn) > std::pair(other.at, other.turn); }
  };
  pcg32 chance;
  DetectorTiming timing;
  Links links;
  bool stalls = false;  // for whoever makes members stand still
  std::function<bool(int from, int to)> cut;
  std::function<void(Node&, const Member&, MemberState)> on_changed;
  double now = 0;
  std::uint64_t turns = 0, messages = 0, bytes = 0, synced = 0;
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<Node>> all;
  std::map<std::string, Node*> by_address;
};

}  // namespace puffinvane::fleet::test
