// Many sidecars that divide the endpoints among the members of the fleet: what endpoints see of it before and
// after most sidecars are killed.
#include <algorithm>
#include <cstdio>

#include "testing/answering_endpoint.h"
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

struct Observation {
  double max_over_mean = 0;  // requests of the most loaded endpoint over the mean
  int fewest_requests = 0;   // requests of the least loaded endpoint
  int fewest_connections = 0, connections = 0;
  int lost_requests = 0;
};

// Runs clients of the sidecars from `first_sidecar` on, each sending one request at a time, and observes the
// second half of the time.
Observation run_clients(FleetProcesses& fleet, Endpoints& endpoints, int first_sidecar, double seconds) {
  std::atomic<bool> over = false;
  std::atomic<int> lost_requests = 0, ids = 0;
  std::vector<std::thread> clients;
  static std::atomic<int> phase_number = 0;
  std::string prefix = "t" + std::to_string(++phase_number) + "x";
  for (int i = first_sidecar * kClients; i < kSidecars * kClients; ++i) {
    clients.emplace_back([&, to = fleet.all[std::size_t(i / kClients)].listener()] {
      for (TestConnection connection(to); !over; sleep_for(0.002)) {
        connection.send_text(get_request("", prefix + std::to_string(++ids)));
        auto answer = connection.receive_message(HttpReader::Side::Response);
        lost_requests += !answer || answer->status != 200;
        if (!answer) return;
      }
    });
  }
  sleep_for(seconds / 2);
  std::vector<int> before;
  for (auto& one : endpoints.all) before.push_back(one->served);
  sleep_for(seconds / 2);
  Observation observation{0, 1 << 30, 1 << 30, 0, 0};
  double all = 0;
  for (std::size_t i = 0; i < endpoints.all.size(); ++i) {
    int served = endpoints.all[i]->served - before[i];
    observation.max_over_mean = std::max(observation.max_over_mean, double(served)),
    observation.fewest_requests = std::min(observation.fewest_requests, served), all += served;
    observation.connections += endpoints.all[i]->open;
    observation.fewest_connections = std::min(observation.fewest_connections, int(endpoints.all[i]->open));
  }
  observation.max_over_mean /= all / double(endpoints.all.size());
  over = true;
  for (std::thread& one : clients) one.join();
  observation.lost_requests = lost_requests;
  return observation;
}

void print(const char* what, const Observation& observation) {
  std::printf(
      "  %-28s max over mean %.2f, min %4d requests, connections %3d, min %d of an endpoint, lost %d\n", what,
      observation.max_over_mean, observation.fewest_requests, observation.connections,
      observation.fewest_connections, observation.lost_requests);
}

// Observes the load before and after 8 of 12 sidecars are killed; the remaining 4 then share all endpoints.
std::pair<Observation, Observation> measure_around_kill(bool joins) {
  Endpoints endpoints;
  FleetProcesses fleet(kSidecars, endpoints.known, joins);
  for (double until = now() + 10; joins && fleet.seconds_until_agreement(kSidecars, 1) < 0;)
    assert(now() < until);
  sleep_for(1);
  Observation before = run_clients(fleet, endpoints, 0, 4);
  for (int i = 0; i < 8; ++i) fleet.all[std::size_t(i)].kill();
  if (joins) assert(fleet.seconds_until_agreement(4, 40) >= 0);
  sleep_for(3);
  return {before, run_clients(fleet, endpoints, 8, 4)};
}

}  // namespace

int main(int, char** words) {
  program = words[1];
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  auto [alone, alone_after] = measure_around_kill(false);
  print("alone, 12 sidecars", alone);
  print("alone, 8 of them killed", alone_after);
  auto [joined, joined_after] = measure_around_kill(true);
  print("joined, 12 sidecars", joined);
  print("joined, 8 of them killed", joined_after);
  assert(joined.lost_requests == 0 && joined_after.lost_requests == 0);
  assert(joined.fewest_connections >= 2 && joined_after.fewest_requests > 0);
  assert(joined.connections < alone.connections);
  assert(joined.max_over_mean < 1.6 && joined_after.max_over_mean < 1.6);
  std::puts("fleet sharing: all tests passed");
}
