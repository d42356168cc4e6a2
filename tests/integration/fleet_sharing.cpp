// Many processes that cut their parts by who is there: what endpoints see of it, before and after most are
// gone.
#include <algorithm>
#include <cstdio>

#include "testing/answering.h"
#include "tests/integration/fleet_processes.h"

using namespace puffinvane;
using namespace puffinvane::fleet::test;

namespace {

constexpr int kSidecars = 12, kEndpoints = 12, kClients = 2;

struct Endpoints {
  Endpoints() {
    for (int i = 0; i < kEndpoints; ++i) {
      all.push_back(std::make_unique<AnsweringEndpoint>(20 + i));
      known += (i ? "," : "") + list_entry_json("e" + std::to_string(i), all.back()->listener.address);
    }
  }
  std::vector<std::unique_ptr<AnsweringEndpoint>> all;
  std::string known;
};

struct Seen {
  double uneven = 0;  // the most loaded endpoint over the mean
  int least = 0;      // requests of the least loaded
  int fewest = 0, connections = 0;
  int lost = 0;
};

// Clients of those sidecars for a while, one request at a time each; the second half is counted.
Seen played(Processes& fleet, Endpoints& endpoints, int from, double seconds) {
  std::atomic<bool> over = false;
  std::atomic<int> lost = 0, ids = 0;
  std::vector<std::thread> clients;
  static std::atomic<int> turn = 0;
  std::string prefix = "t" + std::to_string(++turn) + "x";
  for (int i = from * kClients; i < kSidecars * kClients; ++i) {
    clients.emplace_back([&, to = fleet.all[std::size_t(i / kClients)].listener()] {
      for (TestConnection line(to); !over; sleep_for(0.002)) {
        line.send_text(get_request("", prefix + std::to_string(++ids)));
        auto answer = line.receive_message(HttpReader::Side::Response);
        lost += !answer || answer->status != 200;
        if (!answer) return;
      }
    });
  }
  sleep_for(seconds / 2);
  std::vector<int> before;
  for (auto& one : endpoints.all) before.push_back(one->served);
  sleep_for(seconds / 2);
  Seen seen{0, 1 << 30, 1 << 30, 0, 0};
  double all = 0;
  for (std::size_t i = 0; i < endpoints.all.size(); ++i) {
    int served = endpoints.all[i]->served - before[i];
    seen.uneven = std::max(seen.uneven, double(served)), seen.least = std::min(seen.least, served),
    all += served;
    seen.connections += endpoints.all[i]->open;
    seen.fewest = std::min(seen.fewest, int(endpoints.all[i]->open));
  }
  seen.uneven /= all / double(endpoints.all.size());
  over = true;
  for (std::thread& one : clients) one.join();
  seen.lost = lost;
  return seen;
}

void print(const char* what, const Seen& seen) {
  std::printf(
      "  %-28s most over mean %.2f, least %4d visits, connections %3d, of an endpoint at least %d, lost %d\n",
      what, seen.uneven, seen.least, seen.connections, seen.fewest, seen.lost);
}

// 8 of 12 are killed: 4 are left, and have the endpoints of all.
std::pair<Seen, Seen> killed(bool joins) {
  Endpoints endpoints;
  Processes fleet(kSidecars, endpoints.known, joins);
  for (double until = now() + 10; joins && fleet.agreed(kSidecars, 1) < 0;) assert(now() < until);
  sleep_for(1);
  Seen before = played(fleet, endpoints, 0, 4);
  for (int i = 0; i < 8; ++i) fleet.all[std::size_t(i)].kill();
  if (joins) assert(fleet.agreed(4, 40) >= 0);
  sleep_for(3);
  return {before, played(fleet, endpoints, 8, 4)};
}

}  // namespace

int main(int, char** words) {
  program = words[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  auto [alone, alone_after] = killed(false);
  print("alone, 12 sidecars", alone);
  print("alone, 8 of them killed", alone_after);
  auto [joined, joined_after] = killed(true);
  print("joined, 12 sidecars", joined);
  print("joined, 8 of them killed", joined_after);
  assert(joined.lost == 0 && joined_after.lost == 0);
  assert(joined.fewest >= 2 && joined_after.least > 0);
  assert(joined.connections < alone.connections);
  assert(joined.uneven < 1.6 && joined_after.uneven < 1.6);
  std::puts("fleet sharing: stories hold");
}
