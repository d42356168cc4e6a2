// A soak test of restarts. Clients use their connections until SIGKILL, which comes at the earliest time that
// the platform allows, while signals arrive in series, the process stalls, endpoints hang, discovery is
// unavailable, operators evacuate the process or a successor takes over, and many idle connections are open.
//
//     restart_soak PROGRAM FIRST_SEED LAST_SEED
//
// Each seed determines one run. A run fails if a request that reached an endpoint, or was read, has no
// response in time, if an unsafe request reached endpoints twice, or if the process did not end by itself.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "testing/sidecar_process.h"
#include "testing/soak_client.h"
#include "testing/soak_endpoint.h"
#include "testing/soak_run.h"

namespace puffinvane::test {
namespace {

// The platform's terms: SIGKILL follows SIGTERM after the longest client timeout, of which at most 3 s count,
// plus 0.7 s; a process may stall for 0.15 s; a reply more than half a second after the client timeout is
// lost.
constexpr double kLongestCountedTimeoutSeconds = 3;
constexpr double kKillAfterTimeoutSeconds = 0.7;
constexpr double kMaxStallSeconds = 0.15;
constexpr double kLateReplySeconds = 0.5;

constexpr int kEndpoints = 3;
constexpr int kClients = 40;
constexpr int kCrowd = 400;
constexpr double kWarmUpSeconds = 0.4;

enum class Discovery { Listening, Silent, Refusing };
enum class Restart { Plain, AfterEvacuation, EvacuatedMeanwhile, WithSuccessor };

// The events of a run.
struct Plan {
  double client_timeout_s = 1;
  int hanging_endpoints = 0;
  double hang_at_s = 0;  // during the warm-up, which SIGTERM ends
  Discovery discovery = Discovery::Listening;
  Restart restart = Restart::Plain;
  bool has_idle_crowd = false;
  std::vector<double> reloads_s;     // times of SIGHUP after SIGTERM
  std::vector<double> terminates_s;  // times of further SIGTERMs
  double stall_at_s = -1;            // after SIGTERM; negative: none
  double stall_s = 0;

  double kill_after_s() const {
    return std::min(client_timeout_s, kLongestCountedTimeoutSeconds) + kKillAfterTimeoutSeconds;
  }
};

Plan random_plan(std::uint64_t seed) {
  constexpr double kTimeouts[] = {0.4, 1, 3, 8};
  RandomDraw draw(seed);
  Plan plan;
  plan.client_timeout_s = kTimeouts[draw.below(4)];
  plan.hanging_endpoints = draw.below(kEndpoints + 1);
  plan.hang_at_s = draw.uniform(0, kWarmUpSeconds);
  plan.discovery = Discovery(draw.below(3));
  plan.restart = Restart(draw.below(4));
  plan.has_idle_crowd = seed % 3 == 0;
  for (int i = draw.below(5); i > 0; --i) plan.reloads_s.push_back(draw.uniform(-0.1, plan.kill_after_s()));
  for (int i = draw.below(4); i > 0; --i) plan.terminates_s.push_back(draw.uniform(0, plan.kill_after_s()));
  if (draw.chance(0.7)) {
    plan.stall_s = draw.uniform(0.05, kMaxStallSeconds);
    const bool is_near_end = draw.chance(0.7);
    const double end_s = plan.kill_after_s() - kMaxStallSeconds;
    plan.stall_at_s = is_near_end ? draw.uniform(end_s - 0.25, end_s) : draw.uniform(0, 0.5);
  }
  return plan;
}

const char* name_of(Discovery discovery) {
  constexpr const char* kNames[] = {"listening", "silent", "refusing"};
  return kNames[int(discovery)];
}

const char* name_of(Restart restart) {
  constexpr const char* kNames[] = {"plain", "after evacuation", "evacuated meanwhile", "with successor"};
  return kNames[int(restart)];
}

// Discovery as the plan requires. Its list never changes and is the one in the configuration.
class DiscoveryStandIn {
 public:
  DiscoveryStandIn(Listener& listener, Discovery discovery, std::string list)
      : listener_(listener), discovery_(discovery), list_(std::move(list)), answering_([this] { run(); }) {}
  DiscoveryStandIn(const DiscoveryStandIn&) = delete;
  DiscoveryStandIn& operator=(const DiscoveryStandIn&) = delete;
  ~DiscoveryStandIn() {
    is_over_ = true;
    answering_.join();
  }

 private:
  void run() {
    std::vector<TestConnection> calls;
    while (!is_over_) {
      if (!listener_.has_connection_within(0.02)) continue;
      TestConnection call = listener_.accept_connection();
      if (discovery_ == Discovery::Refusing) {
        call.reset();
        continue;
      }
      if (discovery_ == Discovery::Listening) {
        call.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http_chunk(list_));
      }
      calls.push_back(std::move(call));
    }
  }

  Listener& listener_;
  const Discovery discovery_;
  const std::string list_;
  std::atomic<bool> is_over_ = false;
  std::thread answering_;
};

// The outcome of a run.
struct RunResult {
  int requests = 0;
  int answered = 0;
  int crossed = 0;  // crossed the end of their connection, unread
  std::vector<std::string> faults;
};

void check_request(const SoakRequest& request, const Plan& plan, const ReceivedRequests& received,
                   RunResult& result) {
  const double waited_s = request.ended_at_s - request.sent_at_s;
  const int arrivals = received.count(request.id);
  const std::string what = request.id + " after " + std::to_string(waited_s) + " s";
  ++result.requests;
  if (request.is_unsafe && arrivals > 1) result.faults.push_back("run twice: " + what);
  switch (request.reply.end) {
    case SoakConnection::End::Answered:
      ++result.answered;
      if (waited_s > plan.client_timeout_s + kLateReplySeconds) result.faults.push_back("late: " + what);
      return;
    case SoakConnection::End::Silent: result.faults.push_back("no reply: " + what); return;
    case SoakConnection::End::Closed:
    case SoakConnection::End::Reset: break;
  }
  // A request that was unread when its connection ended may be sent again elsewhere. Closing a connection
  // with unread data causes a reset.
  const bool was_unread =
      request.reply.end == SoakConnection::End::Reset || request.connection->was_reset_later();
  if (arrivals > 0) result.faults.push_back("forwarded and not answered: " + what);
  else if (!was_unread) result.faults.push_back("read and not answered: " + what);
  else ++result.crossed;
}

class Run {
 public:
  Run(std::uint64_t seed, const Plan& plan) : seed_(seed), plan_(plan), discovery_listener_(9) {
    std::string entries;
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(std::make_unique<SoakEndpoint>(20 + i, received_, 0.005 + 0.01 * i));
      entries += (i > 0 ? "," : "") + list_entry_json("e" + std::to_string(i), endpoints_.back()->address());
    }
    entries_ = entries;
    discovery_ =
        std::make_unique<DiscoveryStandIn>(discovery_listener_, plan.discovery,
                                           R"({"index":7,"snapshot":true,"endpoints":[)" + entries + "]}\n");
    sidecar_ = std::make_unique<SidecarProcess>(entries, options(0));
  }

  RunResult run_seed() {
    start_clients();
    if (plan_.has_idle_crowd) open_idle_connections();
    if (plan_.restart == Restart::AfterEvacuation) call_admin(0, "/api/evacuate");
    warm_up();
    if (plan_.restart == Restart::WithSuccessor) start_successor();
    const double terminated_at_s = now();
    sidecar_->terminate();
    if (plan_.restart == Restart::EvacuatedMeanwhile) call_admin(0, "/api/evacuate");
    send_signals(terminated_at_s);
    sleep_until(terminated_at_s + plan_.kill_after_s());
    kill(sidecar_->child(), SIGKILL);
    const int exit_code = sidecar_->exit_code(2);
    return result(exit_code);
  }

 private:
  struct Signal {
    double at_s;
    int number;
  };

  static void sleep_until(double at_s) { sleep_for(std::max(0.0, at_s - now())); }

  std::string admin(int number) const { return loopback_address(3) + ":" + std::to_string(5100 + number); }

  SidecarProcess::Options options(int number) {
    SidecarProcess::Options options;
    options.discovery = &discovery_listener_;
    options.admin = admin(number);
    options.number = number;
    options.client_timeout = std::to_string(plan_.client_timeout_s);
    options.latency_objective = std::to_string(plan_.client_timeout_s / 2);
    return options;
  }

  void start_clients() {
    RandomDraw draw(seed_ + 1'000'000);
    for (int i = 0; i < kClients; ++i) {
      SoakClient::Options client;
      client.address = sidecar_->listen;
      client.name = "s" + std::to_string(seed_) + "-c" + std::to_string(i);
      client.pause_s = draw.uniform(0.002, 0.06);
      client.give_up_s = plan_.client_timeout_s + kLateReplySeconds + 0.5;
      client.is_unsafe = i % 4 == 3;
      client.reconnects = i % 2 == 0;
      clients_.push_back(std::make_unique<SoakClient>(client));
    }
  }

  // Opens connections that stay silent or send half a request.
  void open_idle_connections() {
    for (int i = 0; i < kCrowd; ++i) {
      idle_connections_.emplace_back(sidecar_->listen);
      if (i % 2 == 1) idle_connections_.back().send_text("GET /read/a HTTP/1.1\r\nX-Corr");
    }
  }

  void warm_up() {
    sleep_for(plan_.hang_at_s);
    for (int i = 0; i < plan_.hanging_endpoints; ++i) endpoints_[std::size_t(i)]->hang();
    sleep_for(kWarmUpSeconds - plan_.hang_at_s);
  }

  int call_admin(int number, const std::string& path) const {
    TestConnection connection(admin(number));
    if (!connection.connected) return 0;
    connection.send_text("PUT " + path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    return connection.response_status();
  }

  void start_successor() {
    successor_ = std::make_unique<SidecarProcess>(entries_, options(1));
    for (double until = now() + 5; !admin_api_is_ready(admin(1)) && now() < until;) sleep_for(0.01);
  }

  // Sends the signals of the plan, including those of the stall, in order.
  void send_signals(double terminated_at_s) {
    std::vector<Signal> signals;
    for (double at_s : plan_.reloads_s) signals.push_back({at_s, SIGHUP});
    for (double at_s : plan_.terminates_s) signals.push_back({at_s, SIGTERM});
    if (plan_.stall_at_s >= 0) {
      signals.push_back({plan_.stall_at_s, SIGSTOP});
      signals.push_back({plan_.stall_at_s + plan_.stall_s, SIGCONT});
    }
    std::ranges::stable_sort(signals, {}, &Signal::at_s);
    for (const Signal& signal : signals) {
      sleep_until(terminated_at_s + signal.at_s);
      kill(sidecar_->child(), signal.number);
    }
  }

  RunResult result(int exit_code) {
    for (auto& client : clients_) client->stop();
    // The successor serves until all clients have ended, and is not checked.
    successor_.reset();
    RunResult result;
    if (exit_code != 0) result.faults.push_back("exit code " + std::to_string(exit_code));
    for (auto& client : clients_) {
      for (const SoakRequest& request : client->requests()) {
        check_request(request, plan_, received_, result);
      }
    }
    return result;
  }

  const std::uint64_t seed_;
  const Plan plan_;
  ReceivedRequests received_;
  std::vector<std::unique_ptr<SoakEndpoint>> endpoints_;
  std::string entries_;
  Listener discovery_listener_;
  std::unique_ptr<DiscoveryStandIn> discovery_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::unique_ptr<SidecarProcess> successor_;
  std::vector<TestConnection> idle_connections_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
};

bool run_seed(std::uint64_t seed) {
  constexpr std::size_t kShownFaults = 10;
  const Plan plan = random_plan(seed);
  const RunResult result = Run(seed, plan).run_seed();
  std::printf(
      "seed %llu: timeout %.1f s, %d of %d endpoints hang, discovery %s, restart %s, %s, %zu reloads, "
      "%zu terminates, stall %.2f s at %.2f s: %d requests, %d answered, %d crossed, %zu faults\n",
      static_cast<unsigned long long>(seed), plan.client_timeout_s, plan.hanging_endpoints, kEndpoints,
      name_of(plan.discovery), name_of(plan.restart), plan.has_idle_crowd ? "crowd" : "no crowd",
      plan.reloads_s.size(), plan.terminates_s.size(), plan.stall_s, plan.stall_at_s, result.requests,
      result.answered, result.crossed, result.faults.size());
  for (std::size_t i = 0; i < std::min(kShownFaults, result.faults.size()); ++i) {
    std::printf("  %s\n", result.faults[i].c_str());
  }
  std::fflush(stdout);
  return result.faults.empty();
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) {
  const std::string folder = "/tmp/puffinvane-soak-" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  setenv("TMPDIR", folder.c_str(), 1);  // where a predecessor and its successor find their control socket
  const int exit_code = puffinvane::test::run_seeds(count, words, puffinvane::test::run_seed);
  std::filesystem::remove_all(folder);
  return exit_code;
}
