// Clients that read their last response slowly and have sent another request meanwhile: the response has to
// arrive complete, although the connection is closed, or the process ends, with unread data.
#include <gtest/gtest.h>

#include <filesystem>
#include <string>

#include "testing/program_main.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {
namespace {

// More than the receive buffer of a client holds, and less than a send buffer does.
constexpr std::size_t kAnswerBytes = 40'000;

class SlowReader : public testing::Test {
 protected:
  SlowReader() {
    SidecarProcess::Options options;
    options.admin = loopback_address(3) + ":5003";
    sidecar_ = std::make_unique<SidecarProcess>(list_entry_json("a", endpoint_.address), options);
  }
  void evacuate() const {
    TestConnection connection(loopback_address(3) + ":5003");
    connection.send_text("PUT /api/evacuate HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(connection.response_status(), 200);
  }
  // Sends a request, has the endpoint answer after that time, and sends another request while the response is
  // unread.
  void ask_and_send_more(TestConnection& client, double response_time_s) {
    client.send_text(get_request("", "first"));
    auto [attempt, request] = endpoint_.accept_request();
    sleep_for(response_time_s);
    attempt.send_text(ok_response(std::string(kAnswerBytes, 'x')));
    sleep_for(0.1);
    client.send_text(get_request("", "second"));
  }
  static std::size_t body_bytes(TestConnection& client) {
    std::optional<HttpMessage> answer = client.receive_message(HttpReader::Side::Response, kAnswerBytes);
    return answer ? answer->body.size() : 0;
  }

  Listener endpoint_{2};
  std::unique_ptr<SidecarProcess> sidecar_;
};

TEST_F(SlowReader, GetsTheWholeLastAnswerOfAnEvacuatedProcess) {
  constexpr double kAnswersAreLastAfterS = 0.5;
  constexpr double kConnectionIsClosedAfterS = 1.5;
  TestConnection client(sidecar_->listen);
  evacuate();
  sleep_for(kAnswersAreLastAfterS);

  ask_and_send_more(client, 0);
  sleep_for(kConnectionIsClosedAfterS);

  EXPECT_EQ(body_bytes(client), kAnswerBytes);
}

TEST_F(SlowReader, GetsTheWholeAnswerOfAProcessThatHasEnded) {
  TestConnection client(sidecar_->listen);
  client.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  ASSERT_EQ(client.response_status(), 200);

  sidecar_->terminate();
  sleep_for(0.85);
  ask_and_send_more(client,
                    0.3);  // the process ends in the phase in which every response closes its connection
  const int exit_code = sidecar_->exit_code(2);

  EXPECT_EQ(exit_code, 0);
  EXPECT_EQ(body_bytes(client), kAnswerBytes);
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
