// Tests of who is there, played by a seeded scheduler: what a cut, a stall, a twin or a liar does to it.
#include <cstdio>

#include "src/fleet/membership/simulated_fleet.h"

using namespace puffinvane::fleet;
using namespace puffinvane::fleet::test;

namespace {

void begin(World& world, int members) {
  for (int i = 0; i < members; ++i) world.start(i, 1);
  assert(world.until_agreed(std::size_t(members), 30) >= 0);
}

void all_that_start_at_once_agree(std::uint64_t seed) {
  World world(seed);
  begin(world, 40);
}

void a_death_is_noticed_by_all_and_nobody_else_is_buried(std::uint64_t seed) {
  World world(seed);
  begin(world, 30);
  world.on_changed = [](World::Node&, const Member& member, MemberState state) {
    assert(state != MemberState::Dead || member.name == "n7");
  };
  world.stop(7);
  double took = world.until_agreed(29, 30);
  assert(took > 0);
}

void who_leaves_is_gone_at_once(std::uint64_t seed) {
  World world(seed);
  begin(world, 30);
  world.node(7).membership.depart(world.now);
  world.run(0.05);
  world.stop(7);
  double took = world.until_agreed(29, 5);
  assert(took >= 0 && took < 2);
  assert(world.holding("n7", MemberState::Departed) == 29);
}

void a_restart_faster_than_its_death_is_a_new_life(std::uint64_t seed) {
  World world(seed);
  begin(world, 20);
  bool buried = false;
  world.on_changed = [&](World::Node&, const Member&, MemberState state) {
    buried |= state >= MemberState::Dead;
  };
  world.start(7, 2);
  assert(world.until_agreed(20, 20) >= 0 && !buried);
  assert(world.node(3).membership.others().at("n7").member.version.generation == 2);
}

// Its clock was set back while it was down: what others remember of the name would hide it.
void a_restart_by_an_earlier_clock_outlives_what_is_remembered(std::uint64_t seed) {
  World world(seed);
  for (int i = 0; i < 20; ++i) world.start(i, 1000);
  assert(world.until_agreed(20, 20) >= 0);
  world.start(7, 5);
  assert(world.until_agreed(20, 20) >= 0);
  assert(world.node(3).membership.others().at("n7").member.version.generation == 1001);
  assert(!world.node(7).superseded_now);
}

void of_two_processes_of_a_name_the_later_counts_until_it_is_gone(std::uint64_t seed) {
  World world(seed);
  begin(world, 10);
  world.start(50, 9, {World::address_of(0)}, "n7");
  world.run(5);
  assert(world.node(7).superseded_now && !world.node(50).superseded_now);
  assert(world.node(3).membership.others().at("n7").member.address == World::address_of(50));
  std::uint32_t quarrel = world.node(50).membership.me().version.incarnation;
  world.run(20);
  assert(world.node(50).membership.me().version.incarnation == quarrel);  // settled, not fought over
  world.stop(50);
  world.run(30);
  assert(!world.node(7).superseded_now);
  assert(world.agreed(10));
}

void a_member_that_stood_still_comes_back_and_accuses_nobody(std::uint64_t seed) {
  World world(seed);
  begin(world, 30);
  world.on_changed = [](World::Node&, const Member& member, MemberState state) {
    assert(state != MemberState::Dead || member.name == "n7");
  };
  world.node(7).still_until = world.now + 40;  // longer than any suspicion
  world.run(39);
  assert(world.holding("n7", MemberState::Dead) == 29);
  world.run(1);
  assert(world.until_agreed(30, 20) >= 0);
  assert(world.node(7).membership.counts().stalls > 0);
}

void a_cut_in_three_heals(std::uint64_t seed) {
  World world(seed);
  begin(world, 30);
  world.cut = [](int from, int to) { return from % 3 != to % 3; };
  world.run(40);
  for (int i = 0; i < 3; ++i) assert(world.node(i).membership.live() == 10);
  world.cut = nullptr;
  // Each side holds the others for dead, and nobody is buried anew on its word.
  bool buried = false;
  world.on_changed = [&](World::Node&, const Member&, MemberState state) {
    buried |= state == MemberState::Dead;
  };
  double took = world.until_agreed(30, 40);
  assert(took >= 0 && !buried);
}

void a_cut_heals_where_no_seed_is_left(std::uint64_t seed) {
  World world(seed);
  begin(world, 20);
  world.stop(0);
  assert(world.until_agreed(19, 30) >= 0);
  world.cut = [](int from, int to) { return from % 2 != to % 2; };
  world.run(60);
  assert(world.node(1).membership.live() == 10 && world.node(2).membership.live() == 9);
  world.cut = nullptr;
  assert(world.until_agreed(19, 40) >= 0);
}

// Nothing reaches n7 from half of the others, but what it sends arrives: the other half's pings keep it
// alive.
void a_cut_of_one_way_buries_nobody_that_others_reach(std::uint64_t seed) {
  World world(seed);
  begin(world, 30);
  world.cut = [](int from, int to) { return to == 7 && from % 2 == 0; };
  bool dead = false;
  world.on_changed = [&](World::Node&, const Member&, MemberState state) {
    dead |= state == MemberState::Dead;
  };
  world.run(60);
  assert(!dead);
}

void most_killed_at_once_are_noticed_by_the_rest(std::uint64_t seed) {
  World world(seed);
  begin(world, 40);
  for (int i = 12; i < 40; ++i) world.stop(i);
  assert(world.until_agreed(12, 40) >= 0);
}

void a_fleet_that_doubles_agrees(std::uint64_t seed) {
  World world(seed);
  begin(world, 40);
  for (int i = 40; i < 80; ++i) {
    world.start(i, 1, {World::address_of(i % 40)});
    world.run(0.125);
  }
  assert(world.until_agreed(80, 10) >= 0);
}

void loss_for_minutes_buries_nobody(std::uint64_t seed) {
  World world(seed);
  begin(world, 30);
  world.links.loss = 0.2, world.links.twice = 0.05;
  bool dead = false;
  world.on_changed = [&](World::Node&, const Member&, MemberState state) {
    dead |= state == MemberState::Dead;
  };
  world.run(180);
  assert(!dead);
  world.links = {};
  assert(world.until_agreed(30, 20) >= 0);
}

// A liar accuses all, brings old lives back and claims the highest incarnation of others.
void one_that_accuses_all_buries_nobody(std::uint64_t seed) {
  World world(seed);
  begin(world, 20);
  bool dead = false;
  world.on_changed = [&](World::Node&, const Member&, MemberState state) {
    dead |= state == MemberState::Dead;
  };
  for (int turn = 0; turn < 200; ++turn) {
    for (int to = 1; to < 20; ++to) {
      Message lie;
      lie.from = "n0";
      for (int of = 1; of < 8; ++of) {
        MembershipUpdate update;
        update.member = world.node(of).membership.me();
        update.member.facts.clear();
        update.state = MemberState::Suspect;
        update.by = "n0";
        lie.updates.push_back(update);
      }
      MembershipUpdate old = lie.updates[0];
      old.member.version.generation = 1, old.member.address = "10.9.9.9:1", old.state = MemberState::Alive;
      lie.updates.push_back(old);
      world.carry(world.node(0), World::address_of(to), lie);
    }
    world.run(0.1);
  }
  assert(!dead);
  assert(world.until_agreed(20, 20) >= 0);
}

void the_highest_incarnation_is_outlived(std::uint64_t seed) {
  World world(seed);
  begin(world, 10);
  Message lie;
  MembershipUpdate update;
  update.member = world.node(3).membership.me();
  update.member.version.incarnation = 0xffffffff;
  update.state = MemberState::Dead;
  lie.updates.push_back(update);
  world.carry(world.node(0), World::address_of(5), lie);
  world.run(1);
  assert(world.until_agreed(10, 60) >= 0);
  assert(world.node(5).membership.others().at("n3").member.version.generation == 2);
}

void names_ever_seen_fill_nothing(std::uint64_t seed) {
  World world(seed);
  begin(world, 3);
  for (int name = 0; name < 6000; ++name) {
    Message flood;
    MembershipUpdate update;
    update.member.name = "x" + std::to_string(name), update.member.address = "10.9.9.9:1";
    update.member.version.generation = 1;
    flood.updates.push_back(update);
    world.node(1).membership.receive(world.now, flood, "10.9.9.9:1");
  }
  assert(world.node(1).membership.others().size() <= Membership::kMost);
  assert(world.node(1).membership.counts().dropped > 0);
  MembershipUpdate foreign;
  foreign.member.name = std::string(500, 'x'), foreign.member.address = "a:1",
  foreign.member.version.generation = 1;
  Message message;
  message.updates.push_back(foreign);
  std::size_t before = world.node(2).membership.others().size();
  world.node(2).membership.receive(world.now, message, "a:1");
  assert(world.node(2).membership.others().size() == before);
}

}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    all_that_start_at_once_agree(seed);
    a_death_is_noticed_by_all_and_nobody_else_is_buried(seed);
    who_leaves_is_gone_at_once(seed);
    a_restart_faster_than_its_death_is_a_new_life(seed);
    a_restart_by_an_earlier_clock_outlives_what_is_remembered(seed);
    of_two_processes_of_a_name_the_later_counts_until_it_is_gone(seed);
    a_member_that_stood_still_comes_back_and_accuses_nobody(seed);
    a_cut_in_three_heals(seed);
    a_cut_heals_where_no_seed_is_left(seed);
    a_cut_of_one_way_buries_nobody_that_others_reach(seed);
    most_killed_at_once_are_noticed_by_the_rest(seed);
    a_fleet_that_doubles_agrees(seed);
    loss_for_minutes_buries_nobody(seed);
    one_that_accuses_all_buries_nobody(seed);
    the_highest_incarnation_is_outlived(seed);
  }
  names_ever_seen_fill_nothing(1);
  std::puts("membership: stories hold");
}
