// Figures of the detector at sizes that no machine has processes for: fleet_measure [SEED [MOST [LEAST]]]
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "src/fleet/membership/simulated_fleet.h"

using namespace puffinvane::fleet;
using namespace puffinvane::fleet::test;

namespace {

double at(std::vector<double> all, double share) {
  if (all.empty()) return -1;
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, std::size_t(share * double(all.size())))];
}

struct Setting {
  const char* name;
  double loss;
  bool stalls;
};

void begin(World& world, int members) {
  for (int i = 0; i < members; ++i) world.start(i, 1);
  if (world.until_agreed(std::size_t(members), 60) < 0) std::puts("  (never agreed at the start)");
}

// A tenth of the members stand still for 1 to 4 s, again and again.
void stall(World& world, int members) {
  world.at(world.now + 1, [&world, members] {
    for (int i = 0; i < members && world.stalls; i += 10) {
      if (world.draw() < 0.2) world.node(i).still_until = world.now + 1 + 3 * world.draw();
    }
    stall(world, members);
  });
}

void calm(int members, const Setting& setting, World& world) {
  double running = 0, still = 0;  // deaths of members that ran, and of some that stood still when it was said
  world.on_changed = [&](World::Node& at, const Member& of, MemberState state) {
    if (state != MemberState::Dead) return;
    bool stands = world.by_address.at(of.address)->still_until > world.now - 1;
    (stands ? still : running) += 1.0 / double(at.membership.live());
  };
  world.links.loss = setting.loss;
  world.stalls = setting.stalls;
  world.messages = world.bytes = world.synced = 0;
  double seconds = members > 500 ? 60 : 600;
  world.run(seconds);
  std::printf(
      "%5d %-16s false deaths an hour %6.1f, of still ones %7.1f   a second and member: %5.2f messages %6.0f "
      "bytes\n",
      members, setting.name, running * 3600 / seconds, still * 3600 / seconds,
      double(world.messages) / seconds / members,
      double(world.bytes + world.synced * 60) / seconds / members);
  std::fflush(stdout);
  world.links.loss = 0, world.stalls = false;
  world.run(30);
}

void deaths(int members, double loss, World& world, int& next) {
  std::vector<double> first, all;
  world.links.loss = loss;
  world.run(2);
  for (int turn = 0; turn < (members > 500 ? 10 : members / 10 + 2); ++turn) {
    int victim = next++;
    double died = world.now, heard = -1;
    world.on_changed = [&](World::Node&, const Member& member, MemberState state) {
      if (state != MemberState::Dead || member.name != World::name_of(victim)) return;
      if (heard < 0) heard = world.now - died;
      all.push_back(world.now - died);
    };
    world.stop(victim);
    world.run(25);
    if (heard >= 0) first.push_back(heard);
  }
  std::printf("%5d loss %2.0f%%  death known first %4.1f %4.1f  at each %4.1f %4.1f s (median, p99)\n",
              members, loss * 100, at(first, 0.5), at(first, 0.99), at(all, 0.5), at(all, 0.99));
  std::fflush(stdout);
}

void cuts(int members, int parts, std::uint64_t seed) {
  World world(seed);
  begin(world, members);
  world.cut = [parts](int from, int to) { return from % parts != to % parts; };
  double cut = world.until_agreed(std::size_t(members / parts), 0);
  double from = world.now;
  for (cut = -1; cut < 0 && world.now < from + 300; world.run(1)) {
    bool over = true;
    for (const auto& [address, node] : world.by_address)
      over &= node->membership.live() <= std::size_t(members / parts + 1);
    if (over) cut = world.now - from;
  }
  world.cut = nullptr;
  double healed = world.until_agreed(std::size_t(members), 120);
  std::printf("%5d cut in %d  known to all after %5.0f s, healed after %4.1f s\n", members, parts, cut,
              healed);
}

void killed(int members, std::uint64_t seed) {
  World world(seed);
  begin(world, members);
  int left = members * 3 / 10;
  for (int i = left; i < members; ++i) world.stop(i);
  std::printf("%5d 70%% killed  known to all after %5.1f s\n", members,
              world.until_agreed(std::size_t(left), 300));
}

}  // namespace

int main(int count, char** words) {
  std::uint64_t seed = count > 1 ? std::strtoull(words[1], nullptr, 10) : 1;
  int most = count > 2 ? std::atoi(words[2]) : 1000, least = count > 3 ? std::atoi(words[3]) : 0;
  constexpr Setting kSettings[] = {{"no loss", 0, false},
                                   {"loss 5%", 0.05, false},
                                   {"loss 20%", 0.2, false},
                                   {"stalls", 0, true},
                                   {"stalls, loss 5%", 0.05, true}};
  for (int members : {10, 100, 1000}) {
    if (members > most || members < least) continue;
    {
      World world(seed);
      begin(world, members);
      stall(world, members);
      for (const Setting& setting : kSettings) calm(members, setting, world);
    }
    World world(seed + 1);
    begin(world, members);
    int victim = 1;
    for (double loss : {0.0, 0.05, 0.2}) deaths(members, loss, world, victim);
    killed(members, seed);
    for (int parts : {2, 3}) cuts(members, parts, seed);
    std::fflush(stdout);
  }
}
