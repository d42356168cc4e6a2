// Integration tests of a fleet of processes: membership, partitions, stalls, packet loss and upgrades.
#undef NDEBUG
#include "tests/integration/fleet_processes.h"

#include <algorithm>

using namespace puffinvane;
using namespace puffinvane::fleet::test;
using puffinvane::fleet::Member;
using puffinvane::fleet::MembershipUpdate;
using puffinvane::fleet::Message;

namespace {

constexpr int kMembers = 20;

void print_duration(const char* what, double seconds) { std::printf("  %-44s %5.1f s\n", what, seconds); }

void members_discover_each_other_and_detect_deaths(FleetProcesses& fleet) {
  double elapsed_s = fleet.seconds_until_agreement(kMembers, 15);
  print_duration("20 started at once agree", elapsed_s);
  assert(elapsed_s >= 0);
  for (int i = 14; i < kMembers; ++i) fleet.all[std::size_t(i)].kill();
  elapsed_s = fleet.seconds_until_agreement(14, 30);
  print_duration("6 of 20 killed, the rest agree", elapsed_s);
  assert(elapsed_s >= 0);
  for (int i = 14; i < kMembers; ++i) fleet.all[std::size_t(i)].start();
  elapsed_s = fleet.seconds_until_agreement(kMembers, 15);
  print_duration("restarted, all agree", elapsed_s);
  assert(elapsed_s >= 0);
}

int fleet_show_exit_code(const std::string& admin) {
  std::string line = program + " fleet show " + admin + " >/dev/null 2>&1";
  return WEXITSTATUS(std::system(line.c_str()));
}

void fleet_show_distinguishes_a_partition_from_agreement(FleetProcesses& fleet) {
  assert(fleet_show_exit_code(fleet.all[3].admin()) == 0);
  assert(fleet_show_exit_code(loopback_address(250) + ":1") == 2);
  fleet.all[5].signal(SIGSTOP);  // it does not answer
  assert(fleet_show_exit_code(fleet.all[3].admin()) == 1);
  fleet.all[5].signal(SIGCONT);
  assert(fleet.seconds_until_agreement(kMembers, 20) >= 0);
}

// An update takes some tenths of a second to reach all members. A query in that time must not report a
// partition.
void fleet_show_reports_no_partition_while_updates_spread(FleetProcesses& fleet) {
  for (int i = 0; i < 6; ++i) {
    assert(!fleet.all[5].admin_call(i % 2 == 0 ? "/api/evacuate" : "/api/rejoin", "PUT").empty());
    assert(fleet_show_exit_code(fleet.all[3].admin()) == 0);
  }
}

// All values come from one member view: of two, the first may still reflect an earlier override.
void evacuated_member_leaves_its_share_to_others(FleetProcesses& fleet) {
  auto sees = [&](int sidecars, const char* phase) {
    auto view = fleet.all[3].view();
    for (const auto& member : view.at("members"))
      if (member.at("name") == "n5")
        return view.at("part").at("sidecars") == sidecars && member.at("belief") == "alive" &&
               member.at("phase") == phase;
    return false;
  };
  auto comes_to_see = [&](int sidecars, const char* phase) {
    for (double until = now() + 5; !sees(sidecars, phase); sleep_for(0.05)) assert(now() < until);
  };
  comes_to_see(kMembers, "serving");  // the overrides of the previous test have reached this member too
  assert(!fleet.all[5].admin_call("/api/evacuate", "PUT").empty());
  comes_to_see(kMembers - 1, "leaving");
  assert(!fleet.all[5].admin_call("/api/rejoin", "PUT").empty());
  comes_to_see(kMembers, "serving");
}

void terminated_member_departs_at_once(FleetProcesses& fleet) {
  Process& one = fleet.all[5];
  one.signal(SIGTERM);
  double from = now();
  while (fleet.all[9].state("n5") != "departed" && now() < from + 10) sleep_for(0.05);
  print_duration("terminated, seen departed by another", now() - from);
  assert(now() < from + 5);
  one.kill();
  one.start();
  assert(fleet.seconds_until_agreement(kMembers, 15) >= 0);
}

void partitioned_halves_agree_and_merge_after_healing(FleetProcesses& fleet) {
  auto even = [](int number) { return number % 2 == 0; };
  auto odd = [](int number) { return number % 2 == 1; };
  fleet.relay.set_links({0, 0, 0, 0, 0, [](int from, int to) { return from % 2 != to % 2; }});
  double elapsed_s = fleet.seconds_until_agreement(kMembers / 2, 60, even);
  assert(elapsed_s >= 0 && fleet.seconds_until_agreement(kMembers / 2, 30, odd) >= 0);
  print_duration("partitioned, each half agrees", elapsed_s);
  fleet.relay.set_links({});
  elapsed_s = fleet.seconds_until_agreement(kMembers, 30);
  print_duration("healed, all agree", elapsed_s);
  assert(elapsed_s >= 0);
}

void stopped_member_resumes_and_declares_nobody_dead(FleetProcesses& fleet) {
  std::vector<double> before;
  for (const Process& one : fleet.all) before.push_back(one.metric("died_total"));
  fleet.all[7].signal(SIGSTOP);
  double from = now();
  while (fleet.all[3].state("n7") != "dead" && now() < from + 25) sleep_for(0.1);
  print_duration("stopped, seen dead by another", now() - from);
  assert(fleet.all[3].state("n7") == "dead");
  fleet.all[7].signal(SIGCONT);
  double elapsed_s = fleet.seconds_until_agreement(kMembers, 20);
  print_duration("resumed, all agree", elapsed_s);
  assert(elapsed_s >= 0);
  assert(fleet.all[7].metric("stalls_total") > 0 && fleet.all[7].metric("died_total") == before[7]);
}

void packet_loss_corruption_and_duplication_kill_no_member(FleetProcesses& fleet) {
  double before = 0, after = 0, rejected = 0;
  for (const Process& one : fleet.all) before += one.metric("died_total");
  fleet.relay.set_links({0.2, 0.1, 0.05, 0.001, 0.02, nullptr});
  sleep_for(20);
  fleet.relay.set_links({});
  for (const Process& one : fleet.all)
    after += one.metric("died_total"), rejected += one.metric("foreign_total");
  assert(after == before && rejected > 0);
  double elapsed_s = fleet.seconds_until_agreement(kMembers, 20);
  print_duration("20% lost for 20 s, all agree after", elapsed_s);
  assert(elapsed_s >= 0);
}

void later_of_two_members_with_one_name_supersedes_the_earlier(FleetProcesses& fleet) {
  {
    Process twin(kMembers, fleet.discovery.address, "a key", 7);
    double from = now();
    while (fleet.all[7].metric("superseded") != 1 && now() < from + 10) sleep_for(0.05);
    assert(fleet.all[7].metric("superseded") == 1);
    sleep_for(1);
    assert(fleet.all[3].state("n7", "address") == Relay::advertised(kMembers));
  }
  double from = now();
  while (fleet.all[7].metric("superseded") != 0 && now() < from + 30) sleep_for(0.1);
  print_duration("second of one name killed, first is a member again", now() - from);
  assert(fleet.seconds_until_agreement(kMembers, 20) >= 0);
  assert(fleet.all[3].state("n7", "address") == Relay::advertised(7));
}

// A successor continues the membership with a later incarnation: other members never see it dead or departed.
void upgrade_keeps_the_member_alive(FleetProcesses& fleet) {
  std::string state;
  auto life_of_6 = [&] {
    const json view = fleet.all[3].view();
    for (const json& member : view.at("members")) {
      if (member.at("name") == "n6")
        return state = member.at("belief"), member.at("life").get<std::uint64_t>();
    }
    return std::uint64_t{0};
  };
  const std::uint64_t life = life_of_6();
  Process successor(kMembers, fleet.discovery.address, "a key", 6, "", true, 6);
  for (double until = now() + 6; successor.admin_call("/api/ready").empty(); sleep_for(0.01))
    assert(now() < until);
  double from = now();
  fleet.all[6].signal(SIGTERM);
  while (life_of_6() == life) {
    assert(state != "dead" && state != "departed" && now() < from + 8);
    sleep_for(0.05);
  }
  print_duration("taken over, seen with a later incarnation", now() - from);
  fleet.all[6].kill();
  assert(fleet.all[3].state("n6") == "alive");
  successor.kill();
  fleet.all[6].start();
  assert(fleet.seconds_until_agreement(kMembers, 20) >= 0);
}

void member_with_another_key_is_ignored(FleetProcesses& fleet) {
  Process stranger(kMembers + 1, fleet.discovery.address, "another");
  sleep_for(3);
  assert(stranger.view()["live"] == 1);
  assert(fleet.seconds_until_agreement(kMembers, 5) >= 0);
  assert(fleet.all[0].metric("foreign_total") + fleet.all[1].metric("foreign_total") > 0);
}

// Measured by health checks at the clients' listener.
void gossip_flood_does_not_delay_requests(FleetProcesses& fleet) {
  const Process& one = fleet.all[4];
  auto slowest = [&] {
    std::vector<double> elapsed_s;
    for (double until = now() + 2; now() < until; sleep_for(0.005)) {
      double from = now();
      TestConnection connection(one.listener());
      connection.send_text("GET /healthz HTTP/1.1\r\n\r\n");
      assert(connection.response_status() == 200);
      elapsed_s.push_back(now() - from);
    }
    std::sort(elapsed_s.begin(), elapsed_s.end());
    return std::pair(elapsed_s[elapsed_s.size() / 2], elapsed_s[elapsed_s.size() * 99 / 100]);
  };
  auto calm = slowest();
  std::atomic<bool> over = false;
  std::thread flood([&] {
    Message message;
    for (int i = 0; i < 8; ++i) {
      MembershipUpdate update;
      update.member.name = "x" + std::to_string(i), update.member.address = "127.0.0.1:1",
      update.member.version.generation = 1;
      update.state = fleet::MemberState::Dead;
      message.updates.push_back(update);
    }
    std::string bytes = puffinvane::fleet::encode(message, "a key");
    int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = address_of(Relay::own(4));
    while (!over) sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&at), sizeof at);
    close(socket);
  });
  auto flooded = slowest();
  over = true;
  flood.join();
  std::printf("  health checks, calm p50 %.2f p99 %.2f ms, flooded p50 %.2f p99 %.2f ms\n", calm.first * 1e3,
              calm.second * 1e3, flooded.first * 1e3, flooded.second * 1e3);
  assert(one.metric("pauses_total") > 0);
  assert(flooded.first < 0.02);
}

}  // namespace

int main(int, char** words) {
  program = words[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  FleetProcesses fleet(kMembers);
  members_discover_each_other_and_detect_deaths(fleet);
  fleet_show_distinguishes_a_partition_from_agreement(fleet);
  fleet_show_reports_no_partition_while_updates_spread(fleet);
  evacuated_member_leaves_its_share_to_others(fleet);
  terminated_member_departs_at_once(fleet);
  partitioned_halves_agree_and_merge_after_healing(fleet);
  stopped_member_resumes_and_declares_nobody_dead(fleet);
  packet_loss_corruption_and_duplication_kill_no_member(fleet);
  later_of_two_members_with_one_name_supersedes_the_earlier(fleet);
  upgrade_keeps_the_member_alive(fleet);
  member_with_another_key_is_ignored(fleet);
  gossip_flood_does_not_delay_requests(fleet);
  std::puts("fleet processes: all tests passed");
}
