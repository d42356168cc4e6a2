// Tests of the membership on a simulated fleet: network partitions, stalls, packet loss, two processes with
// the same name and false reports.
#include <cstdio>

#include "src/fleet/membership/simulated_fleet.h"

using namespace puffinvane::fleet;
using namespace puffinvane::fleet::test;

namespace {

void start_members(SimulatedFleet& fleet, int members) {
  for (int i = 0; i < members; ++i) fleet.start(i, 1);
  assert(fleet.until_agreed(std::size_t(members), 30) >= 0);
}

void members_started_together_agree(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 40);
}

void only_the_stopped_member_is_declared_dead(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 30);
  fleet.on_changed = [](SimulatedFleet::Node&, const Member& member, MemberState state) {
    assert(state != MemberState::Dead || member.name == "n7");
  };
  fleet.stop(7);
  double took = fleet.until_agreed(29, 30);
  assert(took > 0);
}

void a_departing_member_is_removed_at_once(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 30);
  fleet.node(7).membership.depart(fleet.now);
  fleet.run(0.05);
  fleet.stop(7);
  double took = fleet.until_agreed(29, 5);
  assert(took >= 0 && took < 2);
  assert(fleet.count_seen_as("n7", MemberState::Departed) == 29);
}

void a_fast_restart_is_seen_as_a_new_generation_not_as_a_death(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 20);
  bool any_dead = false;
  fleet.on_changed = [&](SimulatedFleet::Node&, const Member&, MemberState state) {
    any_dead |= state >= MemberState::Dead;
  };
  fleet.start(7, 2);
  assert(fleet.until_agreed(20, 20) >= 0 && !any_dead);
  assert(fleet.node(3).membership.others().at("n7").member.version.generation == 2);
}

// If the clock is set back between two starts, the new process has a lower generation than the others
// remember for its name, and they would ignore it.
void a_restart_with_a_clock_set_back_raises_its_generation(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  for (int i = 0; i < 20; ++i) fleet.start(i, 1000);
  assert(fleet.until_agreed(20, 20) >= 0);
  fleet.start(7, 5);
  assert(fleet.until_agreed(20, 20) >= 0);
  assert(fleet.node(3).membership.others().at("n7").member.version.generation == 1001);
  assert(!fleet.node(7).superseded);
}

void of_two_processes_with_one_name_the_later_is_the_member_until_it_is_gone(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 10);
  fleet.start(50, 9, {SimulatedFleet::address_of(0)}, "n7");
  fleet.run(5);
  assert(fleet.node(7).superseded && !fleet.node(50).superseded);
  assert(fleet.node(3).membership.others().at("n7").member.address == SimulatedFleet::address_of(50));
  std::uint32_t incarnation = fleet.node(50).membership.self().version.incarnation;
  fleet.run(20);
  assert(fleet.node(50).membership.self().version.incarnation ==
         incarnation);  // the two don't keep refuting each other
  fleet.stop(50);
  fleet.run(30);
  assert(!fleet.node(7).superseded);
  assert(fleet.agreed(10));
}

void a_stalled_member_returns_and_accuses_nobody(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 30);
  fleet.on_changed = [](SimulatedFleet::Node&, const Member& member, MemberState state) {
    assert(state != MemberState::Dead || member.name == "n7");
  };
  fleet.node(7).stalled_until = fleet.now + 40;  // longer than any suspicion
  fleet.run(39);
  assert(fleet.count_seen_as("n7", MemberState::Dead) == 29);
  fleet.run(1);
  assert(fleet.until_agreed(30, 20) >= 0);
  assert(fleet.node(7).membership.counts().stalls > 0);
}

void a_partition_in_three_heals(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 30);
  fleet.is_blocked = [](int from, int to) { return from % 3 != to % 3; };
  fleet.run(40);
  for (int i = 0; i < 3; ++i) assert(fleet.node(i).membership.live_count() == 10);
  fleet.is_blocked = nullptr;
  // Each side has declared the others dead. When they meet again, no member is declared dead once more.
  bool any_dead = false;
  fleet.on_changed = [&](SimulatedFleet::Node&, const Member&, MemberState state) {
    any_dead |= state == MemberState::Dead;
  };
  double took = fleet.until_agreed(30, 40);
  assert(took >= 0 && !any_dead);
}

void a_partition_heals_without_a_running_seed(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 20);
  fleet.stop(0);
  assert(fleet.until_agreed(19, 30) >= 0);
  fleet.is_blocked = [](int from, int to) { return from % 2 != to % 2; };
  fleet.run(60);
  assert(fleet.node(1).membership.live_count() == 10 && fleet.node(2).membership.live_count() == 9);
  fleet.is_blocked = nullptr;
  assert(fleet.until_agreed(19, 40) >= 0);
}

// Messages of half of the members don't reach n7, but its own reach all: the pings of the other half keep it
// alive.
void a_one_way_partition_declares_nobody_dead(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 30);
  fleet.is_blocked = [](int from, int to) { return to == 7 && from % 2 == 0; };
  bool any_dead = false;
  fleet.on_changed = [&](SimulatedFleet::Node&, const Member&, MemberState state) {
    any_dead |= state == MemberState::Dead;
  };
  fleet.run(60);
  assert(!any_dead);
}

void the_rest_notice_that_most_were_killed_at_once(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 40);
  for (int i = 12; i < 40; ++i) fleet.stop(i);
  assert(fleet.until_agreed(12, 40) >= 0);
}

void a_fleet_that_doubles_in_size_agrees(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 40);
  for (int i = 40; i < 80; ++i) {
    fleet.start(i, 1, {SimulatedFleet::address_of(i % 40)});
    fleet.run(0.125);
  }
  assert(fleet.until_agreed(80, 10) >= 0);
}

void minutes_of_packet_loss_declare_nobody_dead(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 30);
  fleet.network.loss = 0.2;
  fleet.network.duplication = 0.05;
  bool any_dead = false;
  fleet.on_changed = [&](SimulatedFleet::Node&, const Member&, MemberState state) {
    any_dead |= state == MemberState::Dead;
  };
  fleet.run(180);
  assert(!any_dead);
  fleet.network = {};
  assert(fleet.until_agreed(30, 20) >= 0);
}

// One member keeps sending suspicions of seven others, and an update of an earlier generation that moves a
// member to another address.
void false_accusations_declare_nobody_dead(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 20);
  bool any_dead = false;
  fleet.on_changed = [&](SimulatedFleet::Node&, const Member&, MemberState state) {
    any_dead |= state == MemberState::Dead;
  };
  for (int turn = 0; turn < 200; ++turn) {
    for (int to = 1; to < 20; ++to) {
      Message forged;
      forged.from = "n0";
      for (int of = 1; of < 8; ++of) {
        MembershipUpdate update;
        update.member = fleet.node(of).membership.self();
        update.member.facts.clear();
        update.state = MemberState::Suspect;
        update.reporter = "n0";
        forged.updates.push_back(update);
      }
      MembershipUpdate old = forged.updates[0];
      old.member.version.generation = 1;
      old.member.address = "10.9.9.9:1";
      old.state = MemberState::Alive;
      forged.updates.push_back(old);
      fleet.transmit(fleet.node(0), SimulatedFleet::address_of(to), forged);
    }
    fleet.run(0.1);
  }
  assert(!any_dead);
  assert(fleet.until_agreed(20, 20) >= 0);
}

void the_highest_incarnation_is_refuted_with_a_new_generation(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 10);
  Message forged;
  MembershipUpdate update;
  update.member = fleet.node(3).membership.self();
  update.member.version.incarnation = 0xffffffff;
  update.state = MemberState::Dead;
  forged.updates.push_back(update);
  fleet.transmit(fleet.node(0), SimulatedFleet::address_of(5), forged);
  fleet.run(1);
  assert(fleet.until_agreed(10, 60) >= 0);
  assert(fleet.node(5).membership.others().at("n3").member.version.generation == 2);
}

void a_flood_of_names_is_bounded(std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, 3);
  for (int name = 0; name < 6000; ++name) {
    Message flood;
    MembershipUpdate update;
    update.member.name = "x" + std::to_string(name);
    update.member.address = "10.9.9.9:1";
    update.member.version.generation = 1;
    flood.updates.push_back(update);
    fleet.node(1).membership.receive(fleet.now, flood, "10.9.9.9:1");
  }
  assert(fleet.node(1).membership.others().size() <= Membership::kMaxMembers);
  assert(fleet.node(1).membership.counts().dropped > 0);
  MembershipUpdate oversized;
  oversized.member.name = std::string(500, 'x');
  oversized.member.address = "a:1";
  oversized.member.version.generation = 1;
  Message message;
  message.updates.push_back(oversized);
  std::size_t before = fleet.node(2).membership.others().size();
  fleet.node(2).membership.receive(fleet.now, message, "a:1");
  assert(fleet.node(2).membership.others().size() == before);
}

}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    members_started_together_agree(seed);
    only_the_stopped_member_is_declared_dead(seed);
    a_departing_member_is_removed_at_once(seed);
    a_fast_restart_is_seen_as_a_new_generation_not_as_a_death(seed);
    a_restart_with_a_clock_set_back_raises_its_generation(seed);
    of_two_processes_with_one_name_the_later_is_the_member_until_it_is_gone(seed);
    a_stalled_member_returns_and_accuses_nobody(seed);
    a_partition_in_three_heals(seed);
    a_partition_heals_without_a_running_seed(seed);
    a_one_way_partition_declares_nobody_dead(seed);
    the_rest_notice_that_most_were_killed_at_once(seed);
    a_fleet_that_doubles_in_size_agrees(seed);
    minutes_of_packet_loss_declare_nobody_dead(seed);
    false_accusations_declare_nobody_dead(seed);
    the_highest_incarnation_is_refuted_with_a_new_generation(seed);
  }
  a_flood_of_names_is_bounded(1);
  std::puts("membership: all tests passed");
}
