// A client for soak tests: it sends one request after another on each connection that stays open, and records
// how each ended.
#pragma once

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/http/http.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {

// A connection that distinguishes an orderly end from a reset, which TestConnection does not.
class SoakConnection {
 public:
  enum class End { Answered, Closed, Reset, Silent };
  struct Reply {
    End end = End::Silent;
    int status = 0;
    bool keeps_alive = false;
  };

  explicit SoakConnection(const std::string& address)
      : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in to = address_of(address);
    is_connected_ = connect(descriptor_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
  }
  SoakConnection(const SoakConnection&) = delete;
  SoakConnection& operator=(const SoakConnection&) = delete;
  ~SoakConnection() { close(descriptor_); }

  bool is_connected() const { return is_connected_; }
  // Whether the connection has ended or received unexpected data.
  bool has_ended() const {
    pollfd polled{descriptor_, POLLIN, 0};
    return poll(&polled, 1, 0) > 0;
  }
  bool send_text(const std::string& text) const {
    return send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL) == ssize_t(text.size());
  }
  Reply receive_reply(double deadline_s) {
    static thread_local BufferPool pool;
    HttpReader reader(HttpReader::Side::Response, pool);
    std::string held;
    while (now() < deadline_s) {
      pollfd polled{descriptor_, POLLIN, 0};
      if (poll(&polled, 1, 20) <= 0) continue;
      char bytes[4096];
      const ssize_t count = recv(descriptor_, bytes, sizeof bytes, 0);
      if (count < 0) return {End::Reset};
      if (count == 0) return {End::Closed};
      held.append(bytes, std::size_t(count));
      held.erase(0, reader.feed(held));
      if (!reader.is_complete()) continue;
      HttpMessage reply = reader.take();
      return {End::Answered, reply.status, reply.keep_alive};
    }
    return {End::Silent};
  }
  // After an orderly end: whether a reset followed, which means that the last data sent was never read.
  bool was_reset_later() const {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    return error != 0;
  }

 private:
  int descriptor_;
  bool is_connected_ = false;
};

// One request of a client and its outcome.
struct SoakRequest {
  std::string id;
  bool is_unsafe = false;
  double sent_at_s = 0;
  double ended_at_s = 0;
  SoakConnection::Reply reply;
  std::shared_ptr<SoakConnection> connection;  // set if there was no response
};

// Sends requests from its own thread until it is stopped, or until the address accepts no connection.
class SoakClient {
 public:
  struct Options {
    std::string address;
    std::string name;
    double pause_s = 0;    // between a reply and the next request
    double give_up_s = 0;  // how long to wait for a reply
    bool is_unsafe = false;
    bool reconnects = true;  // when its connection ends; else the client stops
  };
  explicit SoakClient(Options options) : options_(std::move(options)), sending_([this] { run(); }) {}
  SoakClient(const SoakClient&) = delete;
  SoakClient& operator=(const SoakClient&) = delete;
  ~SoakClient() { stop(); }

  // Returns once the last request has ended.
  void stop() {
    is_stopping_ = true;
    if (sending_.joinable()) sending_.join();
  }
  // Valid after stop().
  const std::vector<SoakRequest>& requests() const { return requests_; }

 private:
  static constexpr double kReconnectPauseSeconds = 0.02;

  void run() {
    while (!is_stopping_) {
      auto connection = std::make_shared<SoakConnection>(options_.address);
      if (connection->is_connected()) use(connection);
      if (!options_.reconnects) return;
      sleep_for(kReconnectPauseSeconds);
    }
  }
  void use(const std::shared_ptr<SoakConnection>& connection) {
    bool is_reusable = true;
    while (is_reusable && !is_stopping_ && !connection->has_ended()) {
      is_reusable = request_once(connection);
      sleep_for(options_.pause_s);
    }
  }
  // Returns whether the connection may be reused.
  bool request_once(const std::shared_ptr<SoakConnection>& connection) {
    SoakRequest request;
    request.id = options_.name + "-" + std::to_string(requests_.size());
    request.is_unsafe = options_.is_unsafe;
    request.sent_at_s = now();
    const std::string head = (request.is_unsafe ? "POST /write" : "GET /read/a") +
                             std::string(" HTTP/1.1\r\nHost: soak\r\nX-Correlation-Id: ") + request.id +
                             "\r\n";
    const std::string text = head + (request.is_unsafe ? "Content-Length: 1\r\n\r\nx" : "\r\n");
    if (!connection->send_text(text))
      return false;  // the connection had ended: the request was never accepted
    request.reply = connection->receive_reply(request.sent_at_s + options_.give_up_s);
    request.ended_at_s = now();
    const bool is_answered = request.reply.end == SoakConnection::End::Answered;
    if (!is_answered) request.connection = connection;
    requests_.push_back(request);
    return is_answered && request.reply.keeps_alive;
  }

  const Options options_;
  std::vector<SoakRequest> requests_;
  std::atomic<bool> is_stopping_ = false;
  std::thread sending_;
};

}  // namespace puffinvane::test
