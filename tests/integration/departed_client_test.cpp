// Clients that leave: nothing more is sent for them, and what may have run for one of them doesn't run again
// under its id.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "testing/program_main.h"
#include "testing/sidecar_process.h"
#include "testing/soak_endpoint.h"
#include "testing/temporary_folder.h"

namespace puffinvane::test {
namespace {

// The platform's terms: no attempt begins later than this after the close.
constexpr double kAttemptMayBeginSeconds = 0.1;
constexpr double kLookSeconds = 0.6;

std::string unsafe_request(const std::string& id, std::size_t body_bytes = 1) {
  return "POST /write HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'u');
}

enum class Departure { Close, Reset };

struct PipelinedLoad {
  const char* name;
  int requests;
  std::size_t body_bytes;
  Departure departure;
};

class DepartedClient : public testing::TestWithParam<PipelinedLoad> {};

// Guards against: requests that a client had pipelined are sent on after it has closed its connection.
TEST_P(DepartedClient, HasNothingSentForItThatItHadPipelined) {
  constexpr double kWorkSeconds = 0.02;
  TimedRequests received;
  SoakEndpoint endpoint(2, received, kWorkSeconds);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address()));
  std::string text;
  for (int i = 0; i < GetParam().requests; ++i)
    text += unsafe_request("p" + std::to_string(i), GetParam().body_bytes);
  TestConnection client(sidecar.listen);

  client.send_what_fits(text);
  sleep_for(0.15);
  GetParam().departure == Departure::Close ? client.disconnect() : client.reset();
  const double left_at_s = now();
  sleep_for(kLookSeconds);

  EXPECT_GT(received.count_between(0, left_at_s), 0U);
  EXPECT_EQ(received.count_between(left_at_s + kAttemptMayBeginSeconds, now()), 0U);
}

constexpr PipelinedLoad kLoads[] = {
    {"FewClose", 30, 1, Departure::Close},         {"FewReset", 30, 1, Departure::Reset},
    {"ManyClose", 2000, 1, Departure::Close},      {"ManyReset", 2000, 1, Departure::Reset},
    {"FloodClose", 60'000, 1, Departure::Close},   {"FloodReset", 60'000, 1, Departure::Reset},
    {"LargeClose", 300, 8000, Departure::Close},   {"LargeReset", 300, 8000, Departure::Reset},
    {"LongerClose", 40, 60'000, Departure::Close}, {"LongerReset", 40, 60'000, Departure::Reset}};
INSTANTIATE_TEST_SUITE_P(Loads, DepartedClient, testing::ValuesIn(kLoads),
                         [](const auto& load) { return load.param.name; });

class ReturningId : public testing::TestWithParam<Departure> {};

// Guards against: an id runs twice when it comes again after its client has left.
TEST_P(ReturningId, DoesNotRunAgainIfItMayHaveRun) {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection first(sidecar.listen);
  first.send_text(unsafe_request("twice"));
  auto [attempt, request] = endpoint.accept_request();

  GetParam() == Departure::Close ? first.disconnect() : first.reset();
  sleep_for(0.2);
  TestConnection second(sidecar.listen);
  second.send_text(unsafe_request("twice"));

  EXPECT_EQ(second.response_status(), 400);
  EXPECT_FALSE(endpoint.has_connection_within(0.1));
}

// Guards against: an id runs twice when it comes again at the other process of an upgrade.
TEST_P(ReturningId, DoesNotRunAgainAtTheOtherProcessOfAnUpgrade) {
  const TemporaryFolder control_sockets;
  Listener discovery(9);
  Listener endpoint(2);
  auto admin_of = [](int number) { return loopback_address(3) + ":" + std::to_string(5100 + number); };
  auto start_process = [&](int number) {
    SidecarProcess::Options options;
    options.admin = admin_of(number);
    options.number = number;
    options.discovery = &discovery;
    options.environment = {{"TMPDIR", control_sockets.path()}};
    return std::make_unique<SidecarProcess>(list_entry_json("a", endpoint.address), options);
  };
  const auto predecessor = start_process(0);
  TestConnection first(predecessor->listen);
  first.send_text(unsafe_request("before"));
  auto [attempt, request] = endpoint.accept_request();

  const auto successor = start_process(1);
  for (const double until = now() + 6; !admin_api_is_ready(admin_of(1)) && now() < until;) sleep_for(0.01);
  sleep_for(0.05);
  GetParam() == Departure::Close ? first.disconnect() : first.reset();
  // Each new connection reaches either of the two processes.
  for (int i = 0; i < 6; ++i) {
    TestConnection again(successor->listen);
    again.send_text(unsafe_request("before"));
    EXPECT_EQ(again.response_status(), 400);
  }

  EXPECT_FALSE(endpoint.has_connection_within(0.1));
}

// A client may send a request again that was read and not sent to any endpoint.
TEST_P(ReturningId, IsServedIfItCanNotHaveRun) {
  Listener endpoint(2, 1);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection first(sidecar.listen);
  first.send_text("POST /write HTTP/1.1\r\nX-Correlation-Id: again\r\nContent-Length: 9\r\n\r\nhalf");
  sleep_for(0.1);
  GetParam() == Departure::Close ? first.disconnect() : first.reset();
  TestConnection second(sidecar.listen);
  second.send_text(unsafe_request("again"));
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));

  EXPECT_EQ(second.response_status(), 200);
}

INSTANTIATE_TEST_SUITE_P(Departures, ReturningId, testing::Values(Departure::Close, Departure::Reset),
                         [](const auto& one) { return one.param == Departure::Close ? "Close" : "Reset"; });

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
