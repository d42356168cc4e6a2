// Peers of a program under test: tests play clients, endpoints and discovery themselves, step by step with
// blocking sockets.
#pragma once

#undef NDEBUG
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "src/http/http.h"

namespace puffinvane::test {

inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline void sleep_for(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

// Waits until an upstream connection may be reused: the sidecar first makes sure that nothing follows the
// response.
inline void wait_until_reusable() { sleep_for(0.05); }

inline sockaddr_in address_of(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  std::size_t colon = text.find(':');
  address.sin_port = htons(std::uint16_t(std::stoi(text.substr(colon + 1))));
  assert(inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1);
  return address;
}

// A connection on a blocking socket, with a read timeout of three seconds.
class TestConnection {
 public:
  explicit TestConnection(int descriptor) : descriptor_(descriptor) {
    timeval timeout{3, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  explicit TestConnection(const std::string& to)
      : TestConnection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = address_of(to);
    int buffer_bytes = 4096;  // so that a response of 64 KiB cannot be written at once
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    connected = connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  }
  TestConnection(TestConnection&& other) noexcept
      : connected(other.connected),
        descriptor_(std::exchange(other.descriptor_, -1)),
        unparsed_(std::move(other.unparsed_)) {}
  TestConnection& operator=(TestConnection&& other) noexcept {
    std::swap(descriptor_, other.descriptor_), std::swap(unparsed_, other.unparsed_);
    return *this;
  }
  ~TestConnection() { disconnect(); }

  void disconnect() {
    if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
  }
  void reset() {
    linger reset_on_close{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    disconnect();
  }
  bool send_text(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      ssize_t count = send(descriptor_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += std::size_t(count);
    }
    return true;
  }
  // Returns whether the kernel has accepted all of the text within that time.
  bool send_within(const std::string& text, double within) {
    std::size_t sent = 0;
    pollfd polled{descriptor_, POLLOUT, 0};
    for (const double until = now() + within; sent < text.size() && now() < until;) {
      ssize_t count = send(descriptor_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno != EAGAIN && errno != EINTR) return false;
      if (count > 0) sent += std::size_t(count);
      else poll(&polled, 1, 10);
    }
    return sent == text.size();
  }
  // Some of the bytes that have arrived, none if that takes over three seconds. Empty: the connection is
  // over.
  std::optional<std::string> receive_some(std::size_t at_most) {
    std::string bytes(at_most, '\0');
    ssize_t count = -1;
    do {
      count = recv(descriptor_, bytes.data(), bytes.size(), 0);
    } while (count < 0 && errno == EINTR);
    if (count == 0 || (count < 0 && errno != EAGAIN)) return {};
    bytes.resize(std::size_t(std::max<ssize_t>(0, count)));
    return bytes;
  }
  // Sends as much as the kernel accepts without blocking, and returns the number of bytes.
  std::size_t send_what_fits(const std::string& text) {
    std::size_t sent = 0;
    for (ssize_t count = 1; count > 0 && sent<text.size(); sent += count> 0 ? std::size_t(count) : 0)
      count = send(descriptor_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent;
  }
  // Whether the peer's machine acknowledges all bytes sent so far.
  bool is_delivered_within(double within) const {
    int undelivered_bytes = 1;
    for (double until = now() + within; now() < until; sleep_for(0.001)) {
      if (ioctl(descriptor_, SIOCOUTQ, &undelivered_bytes) == 0 && undelivered_bytes == 0) return true;
    }
    return false;
  }
  // Sends the text and closes, so that both arrive in one packet.
  void send_and_close(const std::string& text) {
    int yes = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_CORK, &yes, sizeof yes);
    send_text(text);
    disconnect();
  }
  // The next complete message, if one comes.
  std::optional<HttpMessage> receive_message(HttpReader::Side side,
                                             std::size_t max_body_bytes = HttpReader::kMaxBodyBytes) {
    HttpReader reader(side, pool(), max_body_bytes);
    while (true) {
      unparsed_.erase(0, reader.feed(unparsed_));
      if (reader.is_complete()) return reader.take();
      char bytes[65536];
      ssize_t count = recv(descriptor_, bytes, sizeof bytes, 0);
      if (count < 0 && errno == EINTR) continue;  // SIGCHLD: a child was stopped or continued
      if (count < 0) return {};
      if (count == 0) reader.end_of_input();
      if (reader.is_complete()) return reader.take();
      if (count == 0) return {};
      unparsed_.append(bytes, std::size_t(count));
    }
  }
  // The status of the next response, 0 if none comes.
  int response_status() {
    auto answer = receive_message(HttpReader::Side::Response);
    return answer ? answer->status : 0;
  }
  // Everything received until it contains `word`, the connection ends or the time is over.
  std::string receive_until(const std::string& word, double within) {
    std::string text = std::exchange(unparsed_, {});
    for (double until = now() + within; text.find(word) == std::string::npos && now() < until;) {
      char bytes[4096];
      ssize_t count = recv(descriptor_, bytes, sizeof bytes, 0);
      if (count <= 0) break;
      text.append(bytes, std::size_t(count));
    }
    return text;
  }
  // Whether the connection ends, in either way.
  bool ends_within(double within = 3) {
    pollfd polled{descriptor_, POLLIN, 0};
    char byte;
    double until = now() + within;
    while (now() < until) {
      if (poll(&polled, 1, int((until - now()) * 1000) + 1) > 0 && recv(descriptor_, &byte, 1, 0) <= 0)
        return true;
    }
    return false;
  }
  // Whether the connection ends, and not by a reset.
  bool closes_within(double within) {
    pollfd polled{descriptor_, POLLIN, 0};
    char byte;
    for (double until = now() + within; now() < until;) {
      if (poll(&polled, 1, int((until - now()) * 1000) + 1) <= 0) continue;
      if (ssize_t count = recv(descriptor_, &byte, 1, 0); count <= 0) return count == 0;
    }
    return false;
  }
  // Whether the connection is reset; an orderly end does not count.
  bool is_reset_within(double within) const {
    pollfd polled{descriptor_, 0, 0};
    return poll(&polled, 1, int(within * 1000)) > 0 && (polled.revents & (POLLERR | POLLHUP));
  }
  // Whether data or the end of the connection arrives.
  bool has_input_within(double within) const {
    pollfd polled{descriptor_, POLLIN, 0};
    return poll(&polled, 1, int(within * 1000)) > 0;
  }
  bool connected = false;

 private:
  static BufferPool& pool() {
    static thread_local BufferPool pool;
    return pool;
  }
  int descriptor_;
  std::string unparsed_;
};

inline std::string loopback_address(int last) {
  int process_id = getpid();  // differs between test runs, so that they can run in parallel
  return "127." + std::to_string(1 + process_id / 250 % 250) + "." + std::to_string(process_id % 250) + "." +
         std::to_string(last);
}

class Listener {
 public:
  explicit Listener(int last, int backlog = 16)
      : address(loopback_address(last) + ":" + std::to_string(5000 + last)) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at = address_of(address);
    assert(bind(descriptor_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
           listen(descriptor_, backlog) == 0);
  }
  ~Listener() { close(descriptor_); }
  Listener(const Listener&) = delete;
  bool has_connection_within(double within) const {
    pollfd polled{descriptor_, POLLIN, 0};
    return poll(&polled, 1, int(within * 1000)) > 0;
  }
  TestConnection accept_connection() {
    assert(has_connection_within(3));
    return TestConnection(accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
  }
  // Accepts a connection and receives a request on it.
  std::pair<TestConnection, HttpMessage> accept_request() {
    TestConnection connection = accept_connection();
    auto request = connection.receive_message(HttpReader::Side::Request);
    assert(request);
    return {std::move(connection), std::move(*request)};
  }
  const std::string address;

 private:
  int descriptor_;
};

}  // namespace puffinvane::test
