// Stories of many processes of the program, and of what happens to them and between them.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

#include "fleet/tests/relay.h"
#include "tests/running.h"

using namespace puffinvane;
using namespace puffinvane::fleet::test;
using nlohmann::json;
using puffinvane::fleet::Member;
using puffinvane::fleet::Message;
using puffinvane::fleet::News;

namespace {

// One of many: no endpoints, a door, a console and its place in the fleet.
class Process {
 public:
  Process(int number, const std::string& discovery, const std::string& key = "a key", int as = -1)
      : number(number),
        file_("/tmp/puffinvane-fleet-" + std::to_string(getpid()) + "-" + std::to_string(number)) {
    int name = as < 0 ? number : as;
    std::ofstream(file_) << R"({"name":"n)" << name << R"(","listen":")" << here(202) << ":" << 6000 + number
                         << R"(","discovery":")" << discovery << R"(","console":")" << console()
                         << R"(","seed":"1f","limits":{"sockets":256,"memory_mb":32},"settings":)"
                         << Running::settings("3") << R"(,"fleet":{"listen":")" << Relay::own(number)
                         << R"(","advertise":")" << Relay::advertised(number) << R"(","key":")" << key
                         << R"(","seeds":[")" << Relay::advertised(0) << R"(",")" << Relay::advertised(1)
                         << R"("]}})";
    start();
  }
  Process(Process&& other) noexcept
      : number(other.number), file_(std::exchange(other.file_, "")), child_(std::exchange(other.child_, 0)) {}
  ~Process() {
    kill();
    if (!file_.empty()) std::remove(file_.c_str());
  }
  void start() {
    child_ = fork();
    if (child_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BALANCER_CONFIG", file_.c_str(), 1);
    setenv("PUFFINVANE_LOG", "warning", 1);
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(127);
  }
  void signal(int which) const { ::kill(child_, which); }
  void kill() {
    if (child_ > 0) ::kill(child_, SIGKILL), waitpid(child_, nullptr, 0), child_ = 0;
  }
  bool up() const { return child_ > 0; }
  std::string console() const { return here(203) + ":" + std::to_string(6000 + number); }
  std::string door() const { return here(202) + ":" + std::to_string(6000 + number); }
  std::string ask(const std::string& path) const {
    Line line(console());
    if (!line.connected) return {};
    line.say("GET " + path + " HTTP/1.1\r\n\r\n");
    auto answer = line.hear(HttpReader::Side::Answer);
    return answer && answer->status == 200 ? answer->body.text() : "";
  }
  json view() const { return json::parse(ask("/api/fleet"), nullptr, false); }
  double figure(const std::string& name) const {
    std::string text = ask("/api/telemetry"), line = "\nsidecar_fleet_" + name + " ";
    std::size_t at = text.find(line);
    return at == std::string::npos ? -1 : std::stod(text.substr(at + line.size()));
  }
  std::string belief(const std::string& name, const std::string& field = "belief") const {
    const json seen = view();
    for (const json& member : seen.at("members")) {
      if (member.at("name") == name) return member.at(field).get<std::string>();
    }
    return "unknown";
  }
  const int number;

 private:
  std::string file_;
  pid_t child_ = 0;
};

constexpr int kMembers = 20;
struct Processes {
  explicit Processes(int count = kMembers) : relay(count + 2, 7) {
    for (int i = 0; i < count; ++i) all.emplace_back(i, discovery.address);
  }
  // Whether those hold one view of so many live members, within that time.
  double agreed(
      std::size_t members, double within, std::function<bool(int)> who = [](int) { return true; }) {
    for (double from = now(); now() < from + within; sleep_for(0.1)) {
      std::set<std::string> views;
      bool right = true;
      for (const Process& one : all) {
        if (!one.up() || !who(one.number)) continue;
        json view = one.view();
        right = right && view.is_object() && view["live"] == members;
        if (right) views.insert(view["view"].get<std::string>());
      }
      if (right && views.size() == 1) return now() - from;
    }
    return -1;
  }
  Listener discovery{9};
  Relay relay;
  std::vector<Process> all;
};

void say(const char* what, double seconds) { std::printf("  %-44s %5.1f s\n", what, seconds); }

void they_find_each_other_and_a_death_is_known_to_all(Processes& fleet) {
  double took = fleet.agreed(kMembers, 15);
  say("20 started at once agree", took);
  assert(took >= 0);
  for (int i = 14; i < kMembers; ++i) fleet.all[std::size_t(i)].kill();
  took = fleet.agreed(14, 30);
  say("6 of 20 killed, the rest agree", took);
  assert(took >= 0);
  for (int i = 14; i < kMembers; ++i) fleet.all[std::size_t(i)].start();
  took = fleet.agreed(kMembers, 15);
  say("started again, all agree", took);
  assert(took >= 0);
}

void who_is_told_to_end_is_gone_at_once(Processes& fleet) {
  Process& one = fleet.all[5];
  one.signal(SIGTERM);
  double from = now();
  while (fleet.all[9].belief("n5") != "departed" && now() < from + 10) sleep_for(0.05);
  say("told to end, departed for another", now() - from);
  assert(now() < from + 5);
  one.kill();
  one.start();
  assert(fleet.agreed(kMembers, 15) >= 0);
}

void two_sides_of_a_cut_agree_and_are_one_again(Processes& fleet) {
  auto even = [](int number) { return number % 2 == 0; };
  auto odd = [](int number) { return number % 2 == 1; };
  fleet.relay.set({0, 0, 0, 0, 0, [](int from, int to) { return from % 2 != to % 2; }});
  double took = fleet.agreed(kMembers / 2, 60, even);
  assert(took >= 0 && fleet.agreed(kMembers / 2, 30, odd) >= 0);
  say("cut in two, each side agrees", took);
  fleet.relay.set({});
  took = fleet.agreed(kMembers, 30);
  say("healed, all agree", took);
  assert(took >= 0);
}

void who_stood_still_comes_back_and_accuses_nobody(Processes& fleet) {
  std::vector<double> before;
  for (const Process& one : fleet.all) before.push_back(one.figure("died_total"));
  fleet.all[7].signal(SIGSTOP);
  double from = now();
  while (fleet.all[3].belief("n7") != "dead" && now() < from + 25) sleep_for(0.1);
  say("stands still, dead for another", now() - from);
  assert(fleet.all[3].belief("n7") == "dead");
  fleet.all[7].signal(SIGCONT);
  double took = fleet.agreed(kMembers, 20);
  say("goes on, all agree", took);
  assert(took >= 0);
  assert(fleet.all[7].figure("stalls_total") > 0 && fleet.all[7].figure("died_total") == before[7]);
}

void what_is_lost_spoilt_and_doubled_buries_nobody(Processes& fleet) {
  double before = 0, after = 0, spoilt = 0;
  for (const Process& one : fleet.all) before += one.figure("died_total");
  fleet.relay.set({0.2, 0.1, 0.05, 0.001, 0.02, nullptr});
  sleep_for(20);
  fleet.relay.set({});
  for (const Process& one : fleet.all)
    after += one.figure("died_total"), spoilt += one.figure("foreign_total");
  assert(after == before && spoilt > 0);
  double took = fleet.agreed(kMembers, 20);
  say("20% lost for 20 s, all agree after", took);
  assert(took >= 0);
}

void of_two_of_one_name_the_later_counts(Processes& fleet) {
  {
    Process twin(kMembers, fleet.discovery.address, "a key", 7);
    double from = now();
    while (fleet.all[7].figure("superseded") != 1 && now() < from + 10) sleep_for(0.05);
    assert(fleet.all[7].figure("superseded") == 1);
    sleep_for(1);
    assert(fleet.all[3].belief("n7", "address") == Relay::advertised(kMembers));
  }
  double from = now();
  while (fleet.all[7].figure("superseded") != 0 && now() < from + 30) sleep_for(0.1);
  say("a twin killed, the first is a member again", now() - from);
  assert(fleet.agreed(kMembers, 20) >= 0);
  assert(fleet.all[3].belief("n7", "address") == Relay::advertised(7));
}

void who_has_another_key_is_nobody(Processes& fleet) {
  Process stranger(kMembers + 1, fleet.discovery.address, "another");
  sleep_for(3);
  assert(stranger.view()["live"] == 1);
  assert(fleet.agreed(kMembers, 5) >= 0);
  assert(fleet.all[0].figure("foreign_total") + fleet.all[1].figure("foreign_total") > 0);
}

// What a flood costs visits, by the health check's answers at the visits' own door.
void a_flood_from_peers_does_not_hold_up_visits(Processes& fleet) {
  const Process& one = fleet.all[4];
  auto slowest = [&] {
    std::vector<double> took;
    for (double until = now() + 2; now() < until; sleep_for(0.005)) {
      double from = now();
      Line line(one.door());
      line.say("GET /healthz HTTP/1.1\r\n\r\n");
      assert(line.answer_status() == 200);
      took.push_back(now() - from);
    }
    std::sort(took.begin(), took.end());
    return std::pair(took[took.size() / 2], took[took.size() * 99 / 100]);
  };
  auto calm = slowest();
  std::atomic<bool> over = false;
  std::thread flood([&] {
    Message message;
    for (int i = 0; i < 8; ++i) {
      News news;
      news.member.name = "x" + std::to_string(i), news.member.address = "127.0.0.1:1",
      news.member.version.life = 1;
      news.belief = fleet::Belief::Dead;
      message.news.push_back(news);
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
  assert(one.figure("pauses_total") > 0);
  assert(flooded.first < 0.02);
}

}  // namespace

int main(int, char** words) {
  program = words[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  Processes fleet;
  they_find_each_other_and_a_death_is_known_to_all(fleet);
  who_is_told_to_end_is_gone_at_once(fleet);
  two_sides_of_a_cut_agree_and_are_one_again(fleet);
  who_stood_still_comes_back_and_accuses_nobody(fleet);
  what_is_lost_spoilt_and_doubled_buries_nobody(fleet);
  of_two_of_one_name_the_later_counts(fleet);
  who_has_another_key_is_nobody(fleet);
  a_flood_from_peers_does_not_hold_up_visits(fleet);
  std::puts("fleet processes: stories hold");
}
