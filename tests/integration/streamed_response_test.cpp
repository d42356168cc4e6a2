// Responses that are relayed while they arrive. One of more than 64 KiB is owed whole for as long as its
// endpoint writes it, also past the deadline of its request; one that its endpoint no longer writes is ended.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "testing/program_main.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {
namespace {

// The platform's terms: what is later than this after its time counts as never given, and each time limit is
// 50 ms longer on sockets.
constexpr double kLostAfterSeconds = 0.55;
constexpr double kClientTimeoutSeconds = 1.0;
// Seconds without a byte after which a long response is one that the endpoint no longer gives.
constexpr double kMaxSilenceSeconds = 2.0;
constexpr std::size_t kBodyBytes = 256'000;
constexpr std::size_t kFirstPieceBytes = 16'000;  // written with the head
constexpr std::size_t kPieceBytes = 32'000;
constexpr double kPauseSeconds = 0.5;  // between two pieces: 64 kB a second
constexpr double kWorkSeconds = 0.15;  // before the endpoint responds

std::string numbered_body(std::size_t size) {
  std::string body;
  for (int i = 0; body.size() < size; ++i) body += std::to_string(i) + ";";
  body.resize(size);
  return body;
}

enum class Framing { Length, Chunks, ToTheClose };

std::string response_head(Framing framing) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  switch (framing) {
    case Framing::Length: return status + "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
    case Framing::Chunks: return status + "Transfer-Encoding: chunked\r\n\r\n";
    case Framing::ToTheClose: return status + "Connection: close\r\n\r\n";
  }
  return status;
}

std::string piece_of(const std::string& body, std::size_t from, std::size_t count, Framing framing) {
  const std::string piece = body.substr(from, count);
  return framing == Framing::Chunks ? http_chunk(piece) : piece;
}

// Writes the first `size` bytes of the body in pieces.
void write_slowly(TestConnection& endpoint, const std::string& body, std::size_t size, Framing framing) {
  sleep_for(kWorkSeconds);
  std::size_t sent = std::min(size, kFirstPieceBytes);
  endpoint.send_text(response_head(framing) + piece_of(body, 0, sent, framing));
  while (sent < size) {
    sleep_for(kPauseSeconds);
    const std::size_t count = std::min(kPieceBytes, size - sent);
    if (!endpoint.send_text(piece_of(body, sent, count, framing))) return;
    sent += count;
  }
  if (size == body.size() && framing == Framing::Chunks) endpoint.send_text("0\r\n\r\n");
}

class StreamedResponse : public testing::TestWithParam<Framing> {
 protected:
  // Sends a request and has the endpoint receive it.
  void ask() {
    client_.send_text(get_request());
    asked_at_s_ = now();
    attempt_ = std::make_unique<TestConnection>(endpoint_.accept_request().first);
  }
  double elapsed_s() const { return now() - asked_at_s_; }

  Listener endpoint_{2};
  SidecarProcess sidecar_{list_entry_json("a", endpoint_.address)};
  TestConnection client_{sidecar_.listen};
  std::unique_ptr<TestConnection> attempt_;
  double asked_at_s_ = 0;
};

// Guards against: at the deadline a long response is reset of which less than 64 KiB have arrived so far.
TEST_P(StreamedResponse, IsPassedOnWholeIfItsEndpointWritesItInPiecesPastTheDeadline) {
  const std::string body = numbered_body(kBodyBytes);
  ask();

  std::thread writes([&] { write_slowly(*attempt_, body, body.size(), GetParam()); });
  const auto response = client_.receive_message(HttpReader::Side::Response, kBodyBytes);
  writes.join();

  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_TRUE(response->body.text() == body);
  EXPECT_GT(elapsed_s(), 3 * kClientTimeoutSeconds);
}

// Guards against: a response that its endpoint no longer writes is waited for without end.
TEST_P(StreamedResponse, IsResetInTimeIfItsEndpointStopsWriting) {
  constexpr std::size_t kWrittenBytes = kFirstPieceBytes + kPieceBytes;
  const std::string body = numbered_body(kBodyBytes);
  ask();

  write_slowly(*attempt_, body, kWrittenBytes, GetParam());
  const double last_written_at_s = elapsed_s();
  client_.receive_until("never", 6);
  const double ended_at_s = elapsed_s();

  EXPECT_GT(ended_at_s, kClientTimeoutSeconds - 0.1);
  if (GetParam() == Framing::Length) {
    EXPECT_LT(ended_at_s, last_written_at_s + kMaxSilenceSeconds + 0.5);
  } else {
    EXPECT_LT(ended_at_s, kClientTimeoutSeconds + kLostAfterSeconds);
  }
}

// Guards against: an endpoint holds its client for as long as it likes by a byte now and then.
TEST_P(StreamedResponse, IsResetInTimeIfItsEndpointWritesAByteNowAndThen) {
  constexpr double kPauseBetweenBytes = 0.05;
  ask();

  attempt_->send_text(response_head(GetParam()));
  while (elapsed_s() < 6 && attempt_->send_text(piece_of("x", 0, 1, GetParam())))
    sleep_for(kPauseBetweenBytes);

  EXPECT_LT(elapsed_s(), kClientTimeoutSeconds + kLostAfterSeconds);
}

struct Lumps {
  const char* name;
  Framing framing;
  std::size_t lump_bytes;
  double pause_s;
  double time_left_s;
};

class LumpedResponse : public testing::TestWithParam<Lumps> {};

// Guards against: a response without a length whose endpoint pauses around the deadline is reset there. The
// endpoint goes on at 60 kB a second and more.
TEST_P(LumpedResponse, IsPassedOnWholeThoughAPauseCrossesTheDeadline) {
  constexpr int kLumps = 4;
  constexpr double kEndpointWorkSeconds = 0.06;
  const Lumps& lumps = GetParam();
  const std::string body = numbered_body(kLumps * lumps.lump_bytes);
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);

  client.send_text(get_request("X-Time-Left: " + std::to_string(int(lumps.time_left_s * 1000)) + "m\r\n"));
  TestConnection attempt = endpoint.accept_request().first;
  std::thread writes([&] {
    sleep_for(kEndpointWorkSeconds);
    attempt.send_text(response_head(lumps.framing));
    for (int i = 0; i < kLumps; ++i) {
      if (i > 0) sleep_for(lumps.pause_s);
      attempt.send_text(piece_of(body, std::size_t(i) * lumps.lump_bytes, lumps.lump_bytes, lumps.framing));
    }
    if (lumps.framing == Framing::Chunks) attempt.send_text("0\r\n\r\n");
    attempt.disconnect();
  });
  const auto response = client.receive_message(HttpReader::Side::Response, body.size());
  writes.join();

  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_TRUE(response->body.text() == body);
}

constexpr Lumps kLumpedResponses[] = {{"LargeInChunks", Framing::Chunks, 59'163, 0.83, 0.75},
                                      {"LargeToTheClose", Framing::ToTheClose, 53'944, 0.85, 0.75},
                                      {"SmallerInChunks", Framing::Chunks, 46'214, 0.76, 0.75},
                                      {"SmallerToTheClose", Framing::ToTheClose, 40'000, 0.6, 0.75},
                                      {"ShortDeadlineInChunks", Framing::Chunks, 60'012, 0.89, 0.3},
                                      {"ShortDeadlineToTheClose", Framing::ToTheClose, 60'012, 0.89, 0.3}};
INSTANTIATE_TEST_SUITE_P(Lumps, LumpedResponse, testing::ValuesIn(kLumpedResponses),
                         [](const auto& lumps) { return lumps.param.name; });

// Reads a response and discards its body.
class DiscardingReader {
 public:
  explicit DiscardingReader(const std::string& sidecar) : connection_(sidecar) {}
  void ask(const std::string& id) { connection_.send_text(get_request("", id)); }
  // Returns false once the response is whole or the connection is over.
  bool read_some(std::size_t at_most) {
    const std::optional<std::string> bytes = connection_.receive_some(at_most);
    if (!bytes) return false;
    reader_.feed(*bytes);
    reader_.take_body_part();
    return !reader_.is_complete();
  }
  bool is_complete() const { return reader_.is_complete(); }
  std::size_t body_bytes() const { return reader_.body_bytes_received(); }

 private:
  TestConnection connection_;
  BufferPool pool_;
  HttpReader reader_{HttpReader::Side::Response, pool_, HttpReader::kMaxBodyBytes,
                     HttpReader::kMaxStreamedBodyBytes};
};

// Guards against: a client that reads slowly loses the end of a long response some seconds after its endpoint
// is done, as no more can be written before a large part of the socket's send buffer is read. Which lengths
// end that way depends on the size of that buffer, so many are tried.
TEST(StreamedResponseToASlowClient, IsReadWholeLongAfterItsEndpointIsDone) {
  constexpr std::size_t kShortestBytes = 600'000;
  constexpr std::size_t kLongestBytes = 4'400'000;
  constexpr std::size_t kStepBytes = 64'000;
  constexpr double kReadsSlowlySeconds = 8;  // more than the client timeout and 4 s
  constexpr double kPauseBetweenReads = 0.1;
  constexpr std::size_t kReadBytes = 6'400;  // 64 kB a second
  Listener endpoint(2, 256);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  std::vector<std::unique_ptr<DiscardingReader>> clients;
  std::vector<std::thread> writers;
  for (std::size_t size = kShortestBytes; size <= kLongestBytes; size += kStepBytes) {
    clients.push_back(std::make_unique<DiscardingReader>(sidecar.listen));
    clients.back()->ask(std::to_string(size));
    writers.emplace_back([size, attempt = endpoint.accept_request().first]() mutable {
      attempt.send_text(ok_response(std::string(size, 'x')));
    });
  }

  for (const double until = now() + kReadsSlowlySeconds; now() < until; sleep_for(kPauseBetweenReads)) {
    for (auto& client : clients) client->read_some(kReadBytes);
  }
  for (auto& client : clients) {
    while (client->read_some(HttpReader::kMaxBodyBytes)) {
    }
  }
  for (std::thread& writer : writers) writer.join();

  for (std::size_t i = 0; i < clients.size(); ++i) {
    const std::size_t expected_bytes = kShortestBytes + i * kStepBytes;
    EXPECT_TRUE(clients[i]->is_complete())
        << clients[i]->body_bytes() << " of " << expected_bytes << " bytes";
  }
}

std::string framing_name(const testing::TestParamInfo<Framing>& info) {
  return info.param == Framing::Length ? "WithALength" : "InChunks";
}
INSTANTIATE_TEST_SUITE_P(Framings, StreamedResponse, testing::Values(Framing::Length, Framing::Chunks),
                         framing_name);

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) { return puffinvane::test::run_tests_of_program(count, words); }
