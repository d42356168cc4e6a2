// Repeats of requests with an idempotency key: their endpoints recognize the key for a limited time, and a
// repeat whose last byte comes later runs a second time.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "testing/program_main.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {
namespace {

constexpr double kWindowSeconds = 1.0;
constexpr double kClientTimeoutSeconds = 3.0;
// The platform's terms: each time limit is 50 ms longer on sockets.
constexpr double kSlackSeconds = 0.05;
// And what is half a second late is lost.
constexpr double kLostAfterSeconds = 0.5;
// Past the window and the slack, so that also a busy machine has given the repeat up.
constexpr double kTakenLateSeconds = 0.3;
constexpr double kWorkSeconds = 0.3;  // of the first attempt, before its connection is reset
constexpr std::size_t kKilobyte = 1000;
constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1000 * kKilobyte;

std::string keyed_request(std::size_t body_bytes) {
  return "POST /book HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: b1\r\nIdempotency-Key: k1\r\n"
         "Content-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b');
}

// A sidecar with one endpoint, which runs a request and resets its connection before the response.
class RepeatSession {
 protected:
  explicit RepeatSession(const std::string& connect_timeout = "0.1", int backlog = 16)
      : endpoint_(2, backlog) {
    SidecarProcess::Options options;
    options.connect_timeout = connect_timeout;
    options.client_timeout = std::to_string(kClientTimeoutSeconds);
    options.more_classes = R"(,{"Name":"book","Idempotency":"by_key","Group":"all","MemorySpanS":)" +
                           std::to_string(kWindowSeconds) + R"(,"TargetLatencyS":1.0,"ClientTimeoutS":)" +
                           std::to_string(kClientTimeoutSeconds) + "}";
    sidecar_ = std::make_unique<SidecarProcess>(list_entry_json("a", endpoint_.address), options);
    client_ = std::make_unique<TestConnection>(sidecar_->listen);
  }

  // Plays the first attempt and returns the connection of the repeat, of which nothing has been read.
  TestConnection accept_repeat(std::size_t body_bytes) {
    std::thread sends([&] { client_->send_text(keyed_request(body_bytes)); });
    TestConnection first = endpoint_.accept_connection();
    EXPECT_TRUE(first.receive_message(HttpReader::Side::Request, kMaxBodyBytes));
    sends.join();
    window_end_s_ = now() + kWindowSeconds;
    sleep_for(kWorkSeconds);
    first.reset();
    return endpoint_.accept_connection();
  }
  // Reads until then, or until the connection is over. Returns the number of bytes.
  static std::size_t receive_until(TestConnection& connection, double until_s) {
    constexpr std::size_t kReadBytes = 64 * kKilobyte;
    std::size_t received = 0;
    while (now() < until_s) {
      if (!connection.has_input_within(0.01)) continue;
      const auto bytes = connection.receive_some(kReadBytes);
      if (!bytes) break;
      received += bytes->size();
    }
    return received;
  }

  Listener endpoint_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::unique_ptr<TestConnection> client_;
  double window_end_s_ = 0;  // of the first attempt; the sidecar may take it to be earlier
};

class RepeatWindow : public testing::TestWithParam<std::size_t>, protected RepeatSession {};
class RepeatWindowAfterAStall : public testing::Test, protected RepeatSession {};

// One connection at a time is established; the system asks for a further one again after a second.
class RepeatWindowOnALateConnection : public testing::Test, protected RepeatSession {
 protected:
  static constexpr double kConnectTimeoutSeconds = 0.8;
  RepeatWindowOnALateConnection() : RepeatSession(std::to_string(kConnectTimeoutSeconds), 0) {}
};

// Guards against: a repeat that is begun within the window is sent to its end after it, from the memory of
// the sidecar or from the send buffer of its machine, and runs a second time.
TEST_P(RepeatWindow, LeavesNoRepeatWholeThatIsTakenLater) {
  TestConnection repeat = accept_repeat(GetParam());

  sleep_for(window_end_s_ + kTakenLateSeconds - now());
  const std::size_t received = receive_until(repeat, now() + 1);

  EXPECT_GT(received, 0U);
  EXPECT_LT(received, GetParam());
}

// Guards against: a request that can't be sent again any more is answered only at the client timeout.
TEST_P(RepeatWindow, AnswersAtItsEnd) {
  TestConnection repeat = accept_repeat(GetParam());

  ASSERT_TRUE(client_->has_input_within(window_end_s_ + kLostAfterSeconds - now()));
  EXPECT_EQ(client_->response_status(), 503);
}

// Guards against: the limit ends repeats that their endpoint takes in time.
TEST_P(RepeatWindow, ServesARepeatThatIsTakenInTime) {
  TestConnection repeat = accept_repeat(GetParam());

  EXPECT_TRUE(repeat.receive_message(HttpReader::Side::Request, kMaxBodyBytes));
  sleep_for(window_end_s_ + 0.2 - now());
  repeat.send_text(ok_response("booked"));

  EXPECT_EQ(client_->response_status(), 200);
}

// Guards against: bytes that waited for the endpoint are written when the sidecar runs on after a stall, past
// the window.
TEST_F(RepeatWindowAfterAStall, LeavesNoRepeatWhole) {
  constexpr std::size_t kBodyBytes = 11'000 * kKilobyte;  // more than its machine holds
  constexpr double kStopBeforeEndSeconds = 0.25;
  TestConnection repeat = accept_repeat(kBodyBytes);

  sleep_for(window_end_s_ - kStopBeforeEndSeconds - now());
  std::size_t received = 0;
  sidecar_->while_stopped([&] { received = receive_until(repeat, window_end_s_ + kSlackSeconds + 0.1); });
  received += receive_until(repeat, now() + 1);

  EXPECT_GT(received, 0U);
  EXPECT_LT(received, kBodyBytes);
}

// Guards against: a second connection that comes up in a stall takes over the repeat, whenever that is.
TEST_F(RepeatWindowOnALateConnection, SendsNoRepeatAfterAStall) {
  constexpr double kSystemRetrySeconds = 1;
  client_->send_text(keyed_request(1));
  auto [first, request] = endpoint_.accept_request();
  const double first_received_s = now();
  TestConnection filling(endpoint_.address);
  first.reset();
  const double first_connection_retry_s = now() + kSystemRetrySeconds;
  const double second_connection_retry_s = first_connection_retry_s + kConnectTimeoutSeconds / 2;
  ASSERT_LT(now(), first_received_s + kWindowSeconds - kConnectTimeoutSeconds);

  sleep_for(0.6);
  std::unique_ptr<TestConnection> second;
  sidecar_->while_stopped([&] {
    sleep_for(first_connection_retry_s + 0.2 - now());
    endpoint_.accept_connection();  // the one that fills the backlog
    second = std::make_unique<TestConnection>(endpoint_.accept_connection());
  });

  EXPECT_GT(now(), second_connection_retry_s - 0.1);
  EXPECT_EQ(receive_until(*second, now() + 0.3), 0U);
  EXPECT_EQ(client_->response_status(), 503);
}

// Held in the send buffer of the sidecar's machine, in part and for the most part in the sidecar's memory.
INSTANTIATE_TEST_SUITE_P(BodyBytes, RepeatWindow,
                         testing::Values(400 * kKilobyte, 2000 * kKilobyte, 11'000 * kKilobyte));

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
