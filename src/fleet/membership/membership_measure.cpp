// Measures the failure detector on simulated fleets of 10 to 1,000 members: false deaths, detection times and
// traffic. Usage: fleet_measure [SEED [MOST [LEAST]]], where MOST and LEAST limit the sizes of the fleets.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "src/fleet/membership/simulated_fleet.h"

using namespace puffinvane::fleet;
using namespace puffinvane::fleet::test;

namespace {

double percentile(std::vector<double> samples, double share) {
  if (samples.empty()) return -1;
  std::sort(samples.begin(), samples.end());
  return samples[std::min(samples.size() - 1, std::size_t(share * double(samples.size())))];
}

struct Disturbance {
  const char* name;
  double loss;
  bool stalls;
};

void start_members(SimulatedFleet& fleet, int members) {
  for (int i = 0; i < members; ++i) fleet.start(i, 1);
  if (fleet.until_agreed(std::size_t(members), 60) < 0) std::puts("  (never agreed at the start)");
}

// Repeatedly stalls a tenth of the members for 1 to 4 s.
void schedule_stalls(SimulatedFleet& fleet, int members) {
  fleet.at(fleet.now + 1, [&fleet, members] {
    for (int i = 0; i < members && fleet.injects_stalls; i += 10) {
      if (fleet.random_share() < 0.2) fleet.node(i).stalled_until = fleet.now + 1 + 3 * fleet.random_share();
    }
    schedule_stalls(fleet, members);
  });
}

void measure_false_deaths(int members, const Disturbance& disturbance, SimulatedFleet& fleet) {
  double running = 0, stalled = 0;  // false deaths of members that ran, and of members that were stalled
  fleet.on_changed = [&](SimulatedFleet::Node& observer, const Member& member, MemberState state) {
    if (state != MemberState::Dead) return;
    bool was_stalled = fleet.by_address.at(member.address)->stalled_until > fleet.now - 1;
    (was_stalled ? stalled : running) += 1.0 / double(observer.membership.live_count());
  };
  fleet.network.loss = disturbance.loss;
  fleet.injects_stalls = disturbance.stalls;
  fleet.messages = fleet.bytes = fleet.synced_updates = 0;
  double seconds = members > 500 ? 60 : 600;
  fleet.run(seconds);
  std::printf(
      "%5d %-16s false deaths per hour %6.1f, of stalled members %7.1f   per second and member: %5.2f "
      "messages %6.0f "
      "bytes\n",
      members, disturbance.name, running * 3600 / seconds, stalled * 3600 / seconds,
      double(fleet.messages) / seconds / members,
      double(fleet.bytes + fleet.synced_updates * 60) / seconds / members);
  std::fflush(stdout);
  fleet.network.loss = 0;
  fleet.injects_stalls = false;
  fleet.run(30);
}

void measure_detection(int members, double loss, SimulatedFleet& fleet, int& next) {
  std::vector<double> first_detection, detection;
  fleet.network.loss = loss;
  fleet.run(2);
  for (int round = 0; round < (members > 500 ? 10 : members / 10 + 2); ++round) {
    int victim = next++;
    double died = fleet.now, detected = -1;
    fleet.on_changed = [&](SimulatedFleet::Node&, const Member& member, MemberState state) {
      if (state != MemberState::Dead || member.name != SimulatedFleet::name_of(victim)) return;
      if (detected < 0) detected = fleet.now - died;
      detection.push_back(fleet.now - died);
    };
    fleet.stop(victim);
    fleet.run(25);
    if (detected >= 0) first_detection.push_back(detected);
  }
  std::printf("%5d loss %2.0f%%  death known first %4.1f %4.1f  at each %4.1f %4.1f s (median, p99)\n",
              members, loss * 100, percentile(first_detection, 0.5), percentile(first_detection, 0.99),
              percentile(detection, 0.5), percentile(detection, 0.99));
  std::fflush(stdout);
}

void measure_partition(int members, int parts, std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, members);
  fleet.is_blocked = [parts](int from, int to) { return from % parts != to % parts; };
  double partition_known = fleet.until_agreed(std::size_t(members / parts), 0);
  double from = fleet.now;
  for (partition_known = -1; partition_known < 0 && fleet.now < from + 300; fleet.run(1)) {
    bool all_know = true;
    for (const auto& [address, node] : fleet.by_address)
      all_know &= node->membership.live_count() <= std::size_t(members / parts + 1);
    if (all_know) partition_known = fleet.now - from;
  }
  fleet.is_blocked = nullptr;
  double healed = fleet.until_agreed(std::size_t(members), 120);
  std::printf("%5d partitioned in %d  known to all after %5.0f s, healed after %4.1f s\n", members, parts,
              partition_known, healed);
}

void measure_mass_kill(int members, std::uint64_t seed) {
  SimulatedFleet fleet(seed);
  start_members(fleet, members);
  int survivors = members * 3 / 10;
  for (int i = survivors; i < members; ++i) fleet.stop(i);
  std::printf("%5d 70%% killed  known to all after %5.1f s\n", members,
              fleet.until_agreed(std::size_t(survivors), 300));
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  int most = argc > 2 ? std::atoi(argv[2]) : 1000, least = argc > 3 ? std::atoi(argv[3]) : 0;
  constexpr Disturbance kDisturbances[] = {{"no loss", 0, false},
                                           {"loss 5%", 0.05, false},
                                           {"loss 20%", 0.2, false},
                                           {"stalls", 0, true},
                                           {"stalls, loss 5%", 0.05, true}};
  for (int members : {10, 100, 1000}) {
    if (members > most || members < least) continue;
    {
      SimulatedFleet fleet(seed);
      start_members(fleet, members);
      schedule_stalls(fleet, members);
      for (const Disturbance& disturbance : kDisturbances) measure_false_deaths(members, disturbance, fleet);
    }
    SimulatedFleet fleet(seed + 1);
    start_members(fleet, members);
    int victim = 1;
    for (double loss : {0.0, 0.05, 0.2}) measure_detection(members, loss, fleet, victim);
    measure_mass_kill(members, seed);
    for (int parts : {2, 3}) measure_partition(members, parts, seed);
    std::fflush(stdout);
  }
}
