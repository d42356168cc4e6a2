// One client that sends small or unsound requests on one connection at full speed: other clients get their
// answers in time, and memory doesn't grow with the number of its requests.
#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "testing/answering_endpoint.h"
#include "testing/crowd.h"
#include "testing/program_main.h"
#include "testing/sidecar_process.h"
#include "testing/soak_client.h"

namespace puffinvane::test {
namespace {

constexpr double kNoiseSeconds = 4;
constexpr int kSoundClients = 3;
constexpr std::size_t kMaxPeakBytes = std::size_t{16} << 20;
constexpr double kClientTimeoutSeconds = 1.0;
// Connections to the endpoint beyond those that carried a request.
constexpr int kMaxUnusedConnections = 16;
// The platform's terms: an answer that is later than this after its time counts as never given.
constexpr double kLostAfterSeconds = 0.55;

struct Noise {
  const char* name;
  std::string (*request)(int number);
};

std::string unknown_class(int number) {
  return "GET /nowhere" + std::to_string(number) + " HTTP/1.1\r\nX-Correlation-Id: n" +
         std::to_string(number) + "\r\n\r\n";
}
std::string without_id(int) { return "GET /read/a HTTP/1.1\r\n\r\n"; }
std::string health_check(int) { return "GET /healthz HTTP/1.1\r\n\r\n"; }
std::string with(int number, const std::string& field) {
  return "GET /read/a HTTP/1.1\r\nX-Correlation-Id: n" + std::to_string(number) + "\r\n" + field + "\r\n\r\n";
}
std::string new_tenant(int number) { return with(number, "X-Account: tenant" + std::to_string(number)); }
std::string new_key(int number) { return with(number, "X-Facts: key=k" + std::to_string(number)); }
std::string no_time_left(int number) { return with(number, "X-Time-Left: 0m"); }
std::string unsound_time(int number) { return with(number, "X-Time-Left: soon"); }
std::string unsafe_upload(int number) {
  return "POST /write HTTP/1.1\r\nX-Correlation-Id: n" + std::to_string(number) +
         "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nu\r\n0\r\n\r\n";
}
std::string empty_line(int) { return "\r\n"; }

// Sends requests without waiting for answers, and reads and discards what comes. Connects again when its
// connection ends.
class NoisyClient {
 public:
  NoisyClient(std::string address, std::string (*request)(int))
      : address_(std::move(address)), request_(request), sending_([this] { run(); }) {}
  NoisyClient(const NoisyClient&) = delete;
  NoisyClient& operator=(const NoisyClient&) = delete;
  ~NoisyClient() {
    is_stopping_ = true;
    sending_.join();
  }
  int sent() const { return sent_; }

 private:
  static constexpr int kRequestsAtOnce = 500;

  void run() {
    while (!is_stopping_) {
      TestConnection connection(address_);
      bool is_open = connection.connected;
      while (is_open && !is_stopping_) is_open = send_and_read(connection);
    }
  }
  bool send_and_read(TestConnection& connection) {
    std::string text;
    for (int i = 0; i < kRequestsAtOnce; ++i) text += request_(sent_++);
    while (!text.empty() && !is_stopping_) {
      text.erase(0, connection.send_what_fits(text));
      while (connection.has_input_within(text.empty() ? 0 : 0.001)) {
        if (!connection.receive_some(64 * 1024)) return false;
      }
    }
    return true;
  }

  const std::string address_;
  std::string (*const request_)(int);
  std::atomic<int> sent_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::thread sending_;
};

class NoisyClientBeside : public testing::TestWithParam<Noise> {};

// Guards against: other clients wait behind the requests of one connection, and memory grows with each of
// them.
TEST_P(NoisyClientBeside, OthersAreAnsweredInTimeAndMemoryDoesNotGrow) {
  AnsweringEndpoint endpoint(20);
  SidecarProcess sidecar(list_entry_json("a", endpoint.listener.address));
  std::vector<std::unique_ptr<SoakClient>> others;
  for (int i = 0; i < kSoundClients; ++i) {
    others.push_back(std::make_unique<SoakClient>(
        SoakClient::Options{.address = sidecar.listen,
                            .name = "sound" + std::to_string(i),
                            .pause_s = 0.02,
                            .give_up_s = kClientTimeoutSeconds + kLostAfterSeconds}));
  }

  int sent = 0;
  {
    NoisyClient noise(sidecar.listen, GetParam().request);
    sleep_for(kNoiseSeconds);
    sent = noise.sent();
  }

  int served = 0;
  double longest_s = 0;
  for (auto& client : others) {
    client->stop();
    for (const SoakRequest& request : client->requests()) {
      EXPECT_EQ(request.reply.end, SoakConnection::End::Answered) << request.id;
      longest_s = std::max(longest_s, request.ended_at_s - request.sent_at_s);
      served += request.reply.status == 200 ? 1 : 0;
    }
  }
  const std::size_t peak_bytes = peak_resident_bytes(sidecar.child());
  std::printf(
      "%d requests, %d of all served on %d connections, peak %zu kB, others: %d served, longest %.3f s\n",
      sent, endpoint.served.load(), endpoint.opened.load(), peak_bytes / 1024, served, longest_s);
  EXPECT_GT(served, 0);
  EXPECT_LE(endpoint.opened, endpoint.served + kMaxUnusedConnections);
  EXPECT_LT(peak_bytes, kMaxPeakBytes);
}

constexpr Noise kNoises[] = {{"UnknownClass", unknown_class},
                             {"WithoutId", without_id},
                             {"HealthCheck", health_check},
                             {"NewTenant", new_tenant},
                             {"NewKey", new_key},
                             {"NoTimeLeft", no_time_left},
                             {"UnsoundTime", unsound_time},
                             {"UnsafeUpload", unsafe_upload},
                             {"EmptyLine", empty_line}};
INSTANTIATE_TEST_SUITE_P(Noises, NoisyClientBeside, testing::ValuesIn(kNoises),
                         [](const auto& noise) { return noise.param.name; });

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
