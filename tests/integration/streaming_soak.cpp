// A soak test of bodies that are streamed: uploads while an endpoint hangs, resets or reads slowly, and long
// responses that endpoints write in pieces, or stop writing. An upload that the sidecar's machine has
// accepted whole is answered in time; a long response is passed on whole for as long as its endpoint writes
// it, and ended soon after that if it is not whole; nothing unsafe runs twice; memory stays within its limit.
//
//     streaming_soak PROGRAM FIRST_SEED LAST_SEED
//
// Each seed determines one run.
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/proxy/pending_requests.h"
#include "testing/connection_threads.h"
#include "testing/crowd.h"
#include "testing/sidecar_process.h"
#include "testing/soak_endpoint.h"
#include "testing/soak_run.h"
#include "tests/integration/streaming_soak_plan.h"

namespace puffinvane::test {
namespace {

// The platform's terms: an answer that is later than this after its time counts as never given, and each time
// limit is 50 ms longer on sockets.
constexpr double kLostAfterSeconds = 0.55;
// Seconds without a byte after which a long response is one that its endpoint no longer gives: 5 once more
// than 64 KiB of it have arrived.
constexpr double kMaxSilenceSeconds = 2.0;
constexpr double kMaxSilenceWhenLongSeconds = 5.0;
constexpr std::size_t kLongBytes = HttpReader::kMaxBodyBytes;
constexpr double kSlowBytesPerSecond = 64'000;
constexpr double kLookSeconds = 9;
constexpr int kEndpoints = 3;
constexpr std::size_t kMaxBodyBytes = 32u << 20;

std::string body_of(const std::string& id, std::size_t size) {
  std::string body;
  body.reserve(size + id.size() + 8);
  for (int i = 0; body.size() < size; ++i) body += id + ":" + std::to_string(i) + ";";
  body.resize(size);
  return body;
}

std::string framed(const std::string& body, Framing framing) {
  constexpr std::size_t kChunkBytes = 50'000;
  if (framing == Framing::Length) return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string text = "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < body.size(); sent += kChunkBytes)
    text += http_chunk(body.substr(sent, kChunkBytes));
  return text + "0\r\n\r\n";
}

// Plays one endpoint: takes uploads, and writes each long response as its plan says.
class StreamingEndpoint {
 public:
  StreamingEndpoint(int last, const StreamingSoakPlan& plan, EndpointTrouble trouble,
                    ReceivedRequests& received)
      : listener_(last, 64),
        plan_(plan),
        trouble_(trouble),
        received_(received),
        connections_(listener_, [this](TestConnection& connection) { serve(connection); }) {}
  const std::string& address() const { return listener_.address; }
  void begin_trouble() { is_in_trouble_ = true; }

 private:
  static constexpr double kPollSeconds = 0.02;

  // Returns false if the process ends meanwhile.
  bool pause(double seconds) const {
    for (double until = now() + seconds; now() < until && !connections_.is_stopping();)
      sleep_for(std::min(kPollSeconds, seconds));
    return !connections_.is_stopping();
  }
  // Returns false if the connection is over.
  bool take_trouble(TestConnection& connection) {
    switch (trouble_) {
      case EndpointTrouble::None: return true;
      case EndpointTrouble::Hangs: return pause(plan_.hang_s);
      case EndpointTrouble::HangsForGood: return pause(2 * kLookSeconds) && false;
      case EndpointTrouble::Resets: connection.reset(); return false;
      case EndpointTrouble::ReadsSlowly:
        for (int i = 0; i < 30 && !connections_.is_stopping(); ++i) {
          connection.receive_some(std::size_t(kSlowBytesPerSecond / 10));
          sleep_for(0.1);
        }
        return true;
    }
    return true;
  }
  void serve(TestConnection& connection) {
    while (connections_.wait_for_input(connection)) {
      if (is_in_trouble_ && !take_trouble(connection)) return;
      const auto request = connection.receive_message(HttpReader::Side::Request, kMaxBodyBytes);
      if (!request) return;
      const std::string id(request->header(kRequestIdHeader));
      received_.record(id);
      if (!respond(connection, id)) return;
    }
  }
  bool respond(TestConnection& connection, const std::string& id) {
    for (const DownloadPlan& download : plan_.downloads) {
      if (download.id == id) return write_in_pieces(connection, download);
    }
    return pause(0.05) && connection.send_text(ok_response("stored " + id));
  }
  bool write_in_pieces(TestConnection& connection, const DownloadPlan& plan) {
    const std::string body = body_of(plan.id, plan.body_bytes);
    const bool has_length = plan.framing == Framing::Length;
    std::string text =
        std::string("HTTP/1.1 200 OK\r\n") +
        (has_length ? "Content-Length: " + std::to_string(body.size()) : "Transfer-Encoding: chunked") +
        "\r\n\r\n";
    for (std::size_t sent = 0; sent < plan.written_bytes; text.clear()) {
      const std::string piece = body.substr(sent, std::min(plan.piece_bytes, plan.written_bytes - sent));
      if (!connection.send_text(text + (has_length ? piece : http_chunk(piece)))) return false;
      sent += piece.size();
      if (sent < plan.written_bytes && !pause(plan.pause_s)) return false;
    }
    if (plan.written_bytes < body.size())
      return connection.send_text(text) && connection.ends_within(3 * kLookSeconds) && false;
    return has_length || connection.send_text("0\r\n\r\n");
  }

  Listener listener_;
  const StreamingSoakPlan& plan_;
  const EndpointTrouble trouble_;
  ReceivedRequests& received_;
  std::atomic<bool> is_in_trouble_ = false;
  ConnectionThreads connections_;
};

class Run {
 public:
  explicit Run(std::uint64_t seed) : seed_(seed), plan_(draw_streaming_soak_plan(seed)) {
    constexpr int kFirstEndpointHost = 20;
    std::string listed;
    for (int i = 0; i < kEndpoints; ++i) {
      const EndpointTrouble trouble = i == 0 ? plan_.trouble : EndpointTrouble::None;
      endpoints_.push_back(
          std::make_unique<StreamingEndpoint>(kFirstEndpointHost + i, plan_, trouble, received_));
      listed +=
          (i > 0 ? "," : "") + list_entry_json(std::string(1, char('a' + i)), endpoints_.back()->address());
    }
    SidecarProcess::Options options;
    options.limits = R"({"sockets":1024,"memory_mb":)" + std::to_string(plan_.memory_mb) + "}";
    options.client_timeout = std::to_string(kClientTimeoutSeconds);
    sidecar_ = std::make_unique<SidecarProcess>(listed, options);
  }

  bool play() {
    play_all(plan_.downloads, &Run::download);
    for (auto& endpoint : endpoints_) endpoint->begin_trouble();
    play_all(plan_.uploads, &Run::upload);
    for (const UploadPlan& one : plan_.uploads) {
      if (one.is_unsafe && received_.count(one.id) > 1) fail(one.id, "ran twice");
    }
    if (peak_resident_bytes(sidecar_->child()) > std::size_t(plan_.memory_mb) << 20)
      fail("process", "is over its memory limit");
    std::printf("seed %llu: memory %d MB, trouble: %s, hang %.1f s: %s\n",
                static_cast<unsigned long long>(seed_), plan_.memory_mb, to_string(plan_.trouble),
                plan_.hang_s, has_failed_ ? "FAILED" : "passed");
    std::fflush(stdout);
    return !has_failed_;
  }

 private:
  template <typename Plan>
  void play_all(const std::vector<Plan>& plans, void (Run::*play)(const Plan&)) {
    std::vector<std::thread> clients;
    for (const Plan& one : plans) {
      clients.emplace_back([this, play, &one] {
        sleep_for(one.begins_after_s);
        (this->*play)(one);
      });
    }
    for (std::thread& client : clients) client.join();
  }

  void upload(const UploadPlan& plan) {
    TestConnection client(sidecar_->listen);
    const std::string request = std::string("POST /") + (plan.is_unsafe ? "write" : "read") +
                                " HTTP/1.1\r\nHost: origin.svc\r\n" + headers(plan.id, plan.time_left_s) +
                                framed(body_of(plan.id, plan.body_bytes), plan.framing);
    if (!client.send_within(request, kLookSeconds) || !client.is_delivered_within(1)) return;  // never taken
    const double sent_at_s = now();
    const bool is_answered = client.has_input_within(kLookSeconds);
    const double answered_after_s = now() - sent_at_s;
    const int status = is_answered ? client.response_status() : 0;
    if (status == 0 || answered_after_s > plan.time_left_s + kLostAfterSeconds) {
      fail(plan.id, "status " + std::to_string(status) + " after " + std::to_string(answered_after_s) +
                        " of " + std::to_string(plan.time_left_s) + " s");
    }
  }

  void download(const DownloadPlan& plan) {
    TestConnection client(sidecar_->listen);
    client.send_text("GET /read HTTP/1.1\r\nHost: origin.svc\r\n" + headers(plan.id, plan.time_left_s) +
                     "\r\n");
    const double asked_at_s = now();
    HttpReader reader(HttpReader::Side::Response, pool(), kMaxBodyBytes);
    double last_byte_at_s = asked_at_s;
    std::string received;
    while (!reader.is_complete() && now() < last_byte_at_s + kLookSeconds) {
      const std::size_t at_most = plan.client_reads_slowly ? std::size_t(kSlowBytesPerSecond / 10) : 65536;
      const std::optional<std::string> bytes = client.receive_some(at_most);
      if (!bytes) break;
      if (!bytes->empty()) last_byte_at_s = now();
      reader.feed(*bytes);
      if (plan.client_reads_slowly) sleep_for(0.1);
    }
    const double ended_at_s = now();
    const bool is_whole = reader.is_complete();
    const std::size_t body_bytes = reader.body_bytes_received();
    const HttpMessage response = reader.take();
    const std::string body = body_of(plan.id, plan.body_bytes);
    if (response.status != 200) return check_unserved(plan, response.status, ended_at_s - asked_at_s);
    if (response.body.text() != body.substr(0, body_bytes)) fail(plan.id, "has bytes of another response");
    const bool is_given_whole = plan.written_bytes == plan.body_bytes;
    if (is_given_whole != is_whole) {
      fail(plan.id, std::to_string(body_bytes) + " of " + std::to_string(plan.body_bytes) + " bytes, " +
                        (is_whole ? "ended as whole" : "cut off") + " after " +
                        std::to_string(ended_at_s - asked_at_s) + " s, " + std::to_string(plan.pause_s) +
                        " s between pieces, of " + std::to_string(plan.time_left_s) + " s");
    }
    if (!is_given_whole && !plan.client_reads_slowly) {
      const double max_silence_s = body_bytes > kLongBytes ? kMaxSilenceWhenLongSeconds : kMaxSilenceSeconds;
      const double due_at_s = std::max(asked_at_s + plan.time_left_s, last_byte_at_s + max_silence_s);
      if (ended_at_s > due_at_s + kLostAfterSeconds)
        fail(plan.id, "ended " + std::to_string(ended_at_s - due_at_s) + " s late");
    }
  }
  void check_unserved(const DownloadPlan& plan, int status, double after_s) {
    if (status == 0 || after_s > plan.time_left_s + kLostAfterSeconds) {
      fail(plan.id, "status " + std::to_string(status) + " after " + std::to_string(after_s) + " of " +
                        std::to_string(plan.time_left_s) + " s");
    }
  }

  static std::string headers(const std::string& id, double time_left_s) {
    return "X-Correlation-Id: " + id + "\r\nX-Time-Left: " + std::to_string(int(time_left_s * 1000)) +
           "m\r\n";
  }
  static BufferPool& pool() {
    static thread_local BufferPool pool;
    return pool;
  }
  void fail(const std::string& who, const std::string& what) {
    std::lock_guard lock(mutex_);
    has_failed_ = true;
    std::printf("seed %llu: %s: %s\n", static_cast<unsigned long long>(seed_), who.c_str(), what.c_str());
  }

  const std::uint64_t seed_;
  const StreamingSoakPlan plan_;
  ReceivedRequests received_;
  std::vector<std::unique_ptr<StreamingEndpoint>> endpoints_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::mutex mutex_;
  bool has_failed_ = false;
};

}  // namespace
}  // namespace puffinvane::test

int main(int count, char** words) {
  return puffinvane::test::run_seeds(count, words,
                                     [](std::uint64_t seed) { return puffinvane::test::Run(seed).play(); });
}
