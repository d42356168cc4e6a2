// A soak test of crowds and restarts: hundreds of clients that send or read slowly, stop half way or send
// much, while the process is killed, reloaded, terminated or upgraded, at the least memory that deployments
// give. The process ends by no fault of its own and stays under its memory limit; sound clients, which go on
// using their connections, are answered in time; nothing unsafe runs twice.
//
//     crowd_soak PROGRAM FIRST_SEED LAST_SEED
//
// Each seed determines one run.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "testing/answering_endpoint.h"
#include "testing/crowd.h"
#include "testing/sidecar_process.h"
#include "testing/soak_client.h"
#include "testing/soak_endpoint.h"
#include "testing/soak_run.h"
#include "testing/temporary_folder.h"
#include "tests/integration/crowd_soak_plan.h"

namespace puffinvane::test {
namespace {

constexpr int kSoundClients = 6;
constexpr double kWarmUpSeconds = 1.2;
// The platform's terms: an answer that is later than this after its time counts as never given, and SIGKILL
// comes this long after the longest client timeout, counted from SIGTERM.
constexpr double kLostAfterSeconds = 0.55;
constexpr double kKillAfterTimeoutSeconds = 0.7;

class Run {
 public:
  explicit Run(std::uint64_t seed) : seed_(seed), plan_(draw_crowd_soak_plan(seed)) {
    process_ = start_process();
    for (int i = 0; i < kSoundClients; ++i) {
      clients_.push_back(std::make_unique<SoakClient>(
          SoakClient::Options{.address = process_->listen,
                              .name = "s" + std::to_string(seed) + "-" + std::to_string(i),
                              .pause_s = 0.02 + 0.01 * i,
                              .give_up_s = plan_.client_timeout_s + kLostAfterSeconds + 0.3,
                              .is_unsafe = i % 2 == 0}));
    }
  }

  bool play() {
    {
      Crowd crowd(process_->listen, plan_.crowd);
      wait(kWarmUpSeconds);
      for (const Episode episode : plan_.episodes) {
        play_episode(episode);
        wait(0.6);
      }
      check_process();
    }
    for (auto& client : clients_) client->stop();
    for (auto& client : clients_) {
      for (const SoakRequest& request : client->requests()) check_request(request);
    }
    std::printf(
        "seed %llu: %d descriptors, timeout %.2f s, crowd of %zu, %s and %s: %d requests, %d served, "
        "%zu kB: %s\n",
        static_cast<unsigned long long>(seed_), plan_.descriptors, plan_.client_timeout_s, plan_.crowd.size(),
        to_string(plan_.episodes[0]), to_string(plan_.episodes[1]), requests_, served_, peak_bytes_ / 1024,
        has_failed_ ? "FAILED" : "passed");
    std::fflush(stdout);
    return !has_failed_;
  }

 private:
  static std::string admin_address(int number) {
    return loopback_address(3) + ":" + std::to_string(5100 + number);
  }

  std::unique_ptr<SidecarProcess> start_process() {
    SidecarProcess::Options options;
    options.limits = R"({"sockets":)" + std::to_string(plan_.descriptors) + R"(,"memory_mb":)" +
                     std::to_string(plan_.memory_mb) + "}";
    options.client_timeout = std::to_string(plan_.client_timeout_s);
    options.latency_objective = std::to_string(plan_.client_timeout_s / 2);
    options.discovery = &discovery_;
    options.number = number_;
    options.admin = admin_address(number_);
    options.environment = {{"TMPDIR", control_sockets_.path()}};
    return std::make_unique<SidecarProcess>(list_entry_json("a", first_.address()) + "," +
                                                list_entry_json("b", second_.address()) + "," +
                                                list_entry_json("c", long_.listener.address),
                                            options);
  }

  // Samples the memory of the processes meanwhile.
  void wait(double seconds) {
    for (const double until = now() + seconds; now() < until; sleep_for(0.01)) {
      std::size_t bytes = runs_program(process_->child()) ? resident_bytes(process_->child()) : 0;
      if (successor_ && runs_program(successor_->child())) bytes += resident_bytes(successor_->child());
      peak_bytes_ = std::max(peak_bytes_, bytes);
    }
  }
  void check_process() {
    if (process_->exit_code(0.002) != -1) fail("process", "has ended by itself");
    if (peak_bytes_ > std::size_t(plan_.memory_mb) << 20)
      fail("process", "needed " + std::to_string(peak_bytes_ >> 10) + " kB");
  }

  void play_episode(Episode episode) {
    check_process();
    switch (episode) {
      case Episode::Kills: return play_kills();
      case Episode::Reloads: return play_reloads();
      case Episode::Terminate: return play_termination();
      case Episode::Upgrade: return play_upgrade();
    }
  }
  void play_kills() {
    constexpr double kStartsAfterSeconds = 1;
    constexpr double kKilledAgainAfterSeconds = 0.38;
    for (int i = 0; i < 2; ++i) {
      kill_now();
      sleep_for(kStartsAfterSeconds);
      process_ = start_process();
      wait_until_ready();
      wait(kKilledAgainAfterSeconds);
      check_process();
    }
  }
  void play_reloads() {
    for (int i = 0; i < 5; ++i) {
      process_->reload();
      wait(0.15);
    }
  }
  void play_termination() {
    terminate_and_kill();
    process_.reset();
    killed_at_s_.push_back(now());
    process_ = start_process();
    wait_until_ready();
  }
  void wait_until_ready() {
    for (const double until = now() + 6; !admin_api_is_ready(admin_address(number_)) && now() < until;)
      wait(0.01);
    if (!admin_api_is_ready(admin_address(number_))) fail("process", "is not ready");
  }
  void play_upgrade() {
    ++number_;
    successor_ = start_process();
    wait_until_ready();
    terminate_and_kill();
    process_ = std::move(successor_);
  }
  // What the process has not answered when it is killed is lost, as that comes at the earliest allowed time.
  void terminate_and_kill() {
    const double kill_at_s = now() + plan_.client_timeout_s + kKillAfterTimeoutSeconds;
    process_->terminate();
    wait(0.3);
    if (process_->child() > 0) process_->terminate();
    wait(kill_at_s - now());
    kill(process_->child(), SIGKILL);
    const int exit_code = process_->exit_code(1);
    if (exit_code != 0) fail("process", "exit code " + std::to_string(exit_code) + " after SIGTERM");
  }
  void kill_now() {
    kill(process_->child(), SIGKILL);
    killed_at_s_.push_back(now());
    process_.reset();
  }
  void check_request(const SoakRequest& request) {
    constexpr double kSeenLaterSeconds = 0.1;
    ++requests_;
    served_ += request.reply.status == 200 ? 1 : 0;
    const int arrivals = received_.count(request.id);
    if (request.is_unsafe && arrivals > 1) fail(request.id, "ran twice");
    const bool met_a_kill = std::ranges::any_of(killed_at_s_, [&](double at_s) {
      return request.sent_at_s <= at_s + kSeenLaterSeconds && request.ended_at_s >= at_s - kSeenLaterSeconds;
    });
    if (met_a_kill) return;
    const double took_s = request.ended_at_s - request.sent_at_s;
    if (request.reply.end == SoakConnection::End::Answered) {
      if (took_s > plan_.client_timeout_s + kLostAfterSeconds)
        fail(request.id, "was answered after " + std::to_string(took_s) + " s");
      return;
    }
    // One that crosses the end of a connection, unread, may be sent again. Closing over it causes a reset.
    const bool was_unread =
        request.reply.end == SoakConnection::End::Reset || request.connection->was_reset_later();
    if (arrivals > 0 || !was_unread)
      fail(request.id, std::string(request.reply.end == SoakConnection::End::Silent ? "got no answer"
                                                                                    : "lost its connection") +
                           " after " + std::to_string(took_s) + " s, arrived " + std::to_string(arrivals) +
                           " times");
  }
  void fail(const std::string& who, const std::string& what) {
    constexpr int kShownFaults = 10;
    has_failed_ = true;
    if (++faults_ <= kShownFaults)
      std::printf("seed %llu: %s: %s\n", static_cast<unsigned long long>(seed_), who.c_str(), what.c_str());
  }

  const std::uint64_t seed_;
  const CrowdSoakPlan plan_;
  const TemporaryFolder control_sockets_;
  Listener discovery_{9, 64};
  ReceivedRequests received_;
  SoakEndpoint first_{20, received_, 0.005};
  SoakEndpoint second_{21, received_, 0.01};
  AnsweringEndpoint long_{22, ok_response("x"), ok_response(std::string(300'000, 'x'))};
  int number_ = 0;
  std::unique_ptr<SidecarProcess> process_;
  std::unique_ptr<SidecarProcess> successor_;
  std::vector<std::unique_ptr<SoakClient>> clients_;
  std::vector<double> killed_at_s_;
  std::size_t peak_bytes_ = 0;
  int requests_ = 0;
  int served_ = 0;
  int faults_ = 0;
  bool has_failed_ = false;
};

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) {
  return puffinvane::test::run_seeds(count, words,
                                     [](std::uint64_t seed) { return puffinvane::test::Run(seed).play(); });
}
