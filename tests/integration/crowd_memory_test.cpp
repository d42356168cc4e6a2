// Hundreds of clients at once, of the kinds that hold memory: the process stays under its limit, goes on
// running, and answers the clients that are sound.
#include <gtest/gtest.h>

#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testing/answering_endpoint.h"
#include "testing/crowd.h"
#include "testing/crowd_plans.h"
#include "testing/program_main.h"
#include "testing/sidecar_process.h"
#include "testing/soak_client.h"
#include "testing/temporary_folder.h"

namespace puffinvane::test {
namespace {

constexpr int kMemoryMegabytes = 32;  // the least that deployments give
constexpr int kDescriptors = 1024;
constexpr int kClients = 480;  // near half of the descriptors, which is what clients may hold
constexpr double kCrowdSeconds = 3.5;
constexpr int kSoundClients = 4;
constexpr double kClientTimeoutSeconds = 2.0;
// The platform's terms: an answer that is later than this after its time counts as never given.
constexpr double kLostAfterSeconds = 0.55;

struct CrowdKind {
  const char* name;
  std::size_t answer_bytes;  // of the requests of the crowd
  CrowdClientPlan (*plan)(int number);
};

class CrowdMemory : public testing::TestWithParam<CrowdKind> {
 protected:
  CrowdMemory() {
    sidecar_ = start_process(0);
    add_sound_clients();
  }
  void add_sound_clients() {
    for (int i = 0; i < kSoundClients; ++i) {
      sound_clients_.push_back(std::make_unique<SoakClient>(
          SoakClient::Options{.address = sidecar_->listen,
                              .name = "sound" + std::to_string(i),
                              .pause_s = 0.05,
                              .give_up_s = kClientTimeoutSeconds + kLostAfterSeconds,
                              .is_unsafe = i % 2 == 0}));
    }
  }
  static std::string admin_of(int number) {
    return loopback_address(3) + ":" + std::to_string(5100 + number);
  }
  // The number tells the processes of an upgrade apart.
  std::unique_ptr<SidecarProcess> start_process(int number) {
    SidecarProcess::Options options;
    options.limits = R"({"sockets":)" + std::to_string(kDescriptors) + R"(,"memory_mb":)" +
                     std::to_string(kMemoryMegabytes) + "}";
    options.client_timeout = std::to_string(kClientTimeoutSeconds);
    options.number = number;
    options.admin = admin_of(number);
    options.discovery = &discovery_;
    options.environment = {{"TMPDIR", control_sockets_.path()}};
    return std::make_unique<SidecarProcess>(
        list_entry_json("a", first_.listener.address) + "," + list_entry_json("b", second_.listener.address),
        options);
  }
  std::vector<CrowdClientPlan> plans() const {
    std::vector<CrowdClientPlan> all;
    for (int i = 0; i < kClients; ++i) all.push_back(GetParam().plan(i));
    return all;
  }
  void expect_sound_requests_answered() {
    int served = 0;
    int answered = 0;
    for (auto& client : sound_clients_) {
      client->stop();
      for (const SoakRequest& request : client->requests()) {
        const bool is_answered = request.reply.end == SoakConnection::End::Answered;
        EXPECT_TRUE(is_answered) << request.id << " got no answer in time";
        answered += is_answered ? 1 : 0;
        served += request.reply.status == 200 ? 1 : 0;
      }
    }
    std::printf("sound requests: %d answered, %d served\n", answered, served);
    EXPECT_GT(served, 0);
  }

  const std::string long_answer_ = ok_response(std::string(GetParam().answer_bytes, 'x'));
  const TemporaryFolder control_sockets_;
  Listener discovery_{9};
  AnsweringEndpoint first_{20, ok_response("x"), long_answer_};
  AnsweringEndpoint second_{21, ok_response("x"), long_answer_};
  std::unique_ptr<SidecarProcess> sidecar_;
  std::vector<std::unique_ptr<SoakClient>> sound_clients_;
};

// Guards against: a process is killed for its memory while hundreds of clients send or read slowly.
TEST_P(CrowdMemory, StaysUnderItsLimitAndSoundRequestsAreAnswered) {
  {
    Crowd crowd(sidecar_->listen, plans());
    sleep_for(kCrowdSeconds);
  }

  EXPECT_EQ(sidecar_->exit_code(0.02), -1) << "the process has ended";
  const std::size_t peak_bytes = peak_resident_bytes(sidecar_->child());
  std::printf("peak: %zu kB\n", peak_bytes / 1024);
  EXPECT_LT(peak_bytes, std::size_t{kMemoryMegabytes} << 20);
  expect_sound_requests_answered();
}

// Guards against: a process passes its limit soon after a restart, when all clients come at once.
TEST_P(CrowdMemory, AfterRestartsStaysUnderItsLimitAndSoundRequestsAreAnswered) {
  constexpr double kFirstKillAfterSeconds = 1.0;
  constexpr double kLaterKillAfterSeconds = 0.38;  // as in the incident
  std::size_t peak_bytes = 0;
  const auto kill_and_start = [&] {
    peak_bytes = std::max(peak_bytes, peak_resident_bytes(sidecar_->child()));
    sidecar_.reset();
    sidecar_ = start_process(0);
  };
  sound_clients_.clear();  // their requests at the time of a kill are lost
  {
    Crowd crowd(sidecar_->listen, plans());
    sleep_for(kFirstKillAfterSeconds);
    kill_and_start();
    sleep_for(kLaterKillAfterSeconds);
    kill_and_start();
    add_sound_clients();
    sleep_for(kCrowdSeconds);
  }

  EXPECT_EQ(sidecar_->exit_code(0.02), -1) << "the process has ended";
  peak_bytes = std::max(peak_bytes, peak_resident_bytes(sidecar_->child()));
  std::printf("peak: %zu kB\n", peak_bytes / 1024);
  EXPECT_LT(peak_bytes, std::size_t{kMemoryMegabytes} << 20);
  expect_sound_requests_answered();
}

// Guards against: an operator's order is not taken while clients use up the memory.
TEST_P(CrowdMemory, KeepsNoOperatorOut) {
  constexpr double kOrderAnswerSeconds = 1.0;
  constexpr double kBodyPauseSeconds = 0.05;
  constexpr int kOrders = 20;
  sound_clients_.clear();
  const Crowd crowd(sidecar_->listen, plans());
  sleep_for(1);

  const std::string body = "a";
  for (int order = 0; order < kOrders; ++order) {
    const double begun_at_s = now();
    TestConnection operator_connection(admin_of(0));
    ASSERT_TRUE(operator_connection.connected);
    operator_connection.send_text(
        "PUT /api/include HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    sleep_for(kBodyPauseSeconds);
    operator_connection.send_text(body);
    EXPECT_EQ(operator_connection.response_status(), 200);
    EXPECT_LT(now() - begun_at_s, kOrderAnswerSeconds);
    sleep_for(kBodyPauseSeconds);
  }
}

// Guards against: the two processes of an upgrade need more memory together than they may.
TEST_P(CrowdMemory, OfTwoProcessesOfAnUpgradeStaysUnderOneLimit) {
  constexpr double kUpgradeBeginsAfterSeconds = 2.5;
  Crowd crowd(sidecar_->listen, plans());
  sleep_for(kUpgradeBeginsAfterSeconds);

  std::unique_ptr<SidecarProcess> successor = start_process(1);
  std::size_t peak_bytes = 0;
  bool is_terminated = false;
  int exit_code = -1;
  for (const double until = now() + 8; now() < until && exit_code < 0; sleep_for(0.01)) {
    const std::size_t successor_bytes =
        runs_program(successor->child()) ? resident_bytes(successor->child()) : 0;
    peak_bytes = std::max(peak_bytes, resident_bytes(sidecar_->child()) + successor_bytes);
    if (!is_terminated && admin_api_is_ready(admin_of(1))) {
      sidecar_->terminate();
      is_terminated = true;
    }
    if (is_terminated) exit_code = sidecar_->exit_code(0.001);
  }

  EXPECT_EQ(exit_code, 0);
  EXPECT_EQ(successor->exit_code(0.02), -1) << "the successor has ended";
  std::printf("peak of both: %zu kB\n", peak_bytes / 1024);
  EXPECT_LT(peak_bytes, std::size_t{kMemoryMegabytes} << 20);
}

constexpr CrowdKind kKinds[] = {{"ManyFieldsWithoutEnd", 0, many_fields_without_end},
                                {"OneFieldWithoutEnd", 0, one_field_without_end},
                                {"ManyFieldsAndHalfABody", 0, many_fields_and_half_a_body},
                                {"ManyFieldsInWholeRequests", 0, many_fields_in_whole_requests},
                                {"HalfAnUpload", 0, half_an_upload},
                                {"HalfALargeUpload", 0, half_a_large_upload},
                                {"SlowUpload", 0, slow_upload},
                                {"SlowReaderOfLongAnswers", 1'000'000, slow_reader},
                                {"SlowReaderOfShortAnswers", 60'000, pipelined_requests},
                                {"PipelinedRequests", 1'000'000, pipelined_requests},
                                {"Mixed", 1'000'000, mixed}};
INSTANTIATE_TEST_SUITE_P(Kinds, CrowdMemory, testing::ValuesIn(kKinds),
                         [](const auto& kind) { return kind.param.name; });

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
