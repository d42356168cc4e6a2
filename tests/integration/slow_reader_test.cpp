// Clients that read their last answer slowly and have sent more by then: the answer has to come whole, though
// the connection is closed, or the process ends, over bytes that nobody reads.
#include <gtest/gtest.h>

#include <filesystem>
#include <string>

#include "testing/program_main.h"
#include "testing/running.h"

namespace puffinvane::test {
namespace {

// More than a client's receive buffer holds and less than a send buffer does.
constexpr std::size_t kAnswerBytes = 40'000;

class SlowReader : public testing::Test {
 protected:
  SlowReader() {
    Running::Options options;
    options.admin = here(3) + ":5003";
    sidecar_ = std::make_unique<Running>(entry("a", endpoint_.address), options);
  }
  void evacuate() const {
    Line line(here(3) + ":5003");
    line.say("PUT /api/evacuate HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(line.answer_status(), 200);
  }
  // Asks, has the endpoint answer after a while, and sends another request while the answer lies unread.
  void ask_and_send_more(Line& client, double response_time_s) {
    client.say(get("", "first"));
    auto [attempt, request] = endpoint_.take_request();
    sleep_for(response_time_s);
    attempt.say(ok(std::string(kAnswerBytes, 'x')));
    sleep_for(0.1);
    client.say(get("", "second"));
  }
  static std::size_t body_bytes(Line& client) {
    std::optional<HttpMessage> answer = client.hear(HttpReader::Side::Response, kAnswerBytes);
    return answer ? answer->body.size() : 0;
  }

  Listener endpoint_{2};
  std::unique_ptr<Running> sidecar_;
};

TEST_F(SlowReader, GetsTheWholeLastAnswerOfAnEvacuatedProcess) {
  constexpr double kAnswersAreLastAfterS = 0.5;
  constexpr double kConnectionIsClosedAfterS = 1.5;
  Line client(sidecar_->listen);
  evacuate();
  sleep_for(kAnswersAreLastAfterS);

  ask_and_send_more(client, 0);
  sleep_for(kConnectionIsClosedAfterS);

  EXPECT_EQ(body_bytes(client), kAnswerBytes);
}

TEST_F(SlowReader, GetsTheWholeAnswerOfAProcessThatHasEnded) {
  Line client(sidecar_->listen);
  client.say("GET /healthz HTTP/1.1\r\n\r\n");
  ASSERT_EQ(client.answer_status(), 200);

  sidecar_->terminate();
  sleep_for(0.85);
  ask_and_send_more(client, 0.3);  // it ends when answers are the last on their connections
  const int exit_code = sidecar_->exit_code(2);

  EXPECT_EQ(exit_code, 0);
  EXPECT_EQ(body_bytes(client), kAnswerBytes);
}

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
