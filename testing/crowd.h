// Hundreds of clients at once, on one thread: each sends its text and reads at its own pace. Also the
// resident memory of a process.
#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "testing/sidecar_process.h"

namespace puffinvane::test {

// A field of /proc/PID/status, in bytes; 0 if the process has ended.
inline std::size_t process_status_bytes(pid_t process, const std::string& field) {
  constexpr std::size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  const std::string text(std::istreambuf_iterator<char>(status), {});
  const std::size_t found = text.find(field);
  return found == std::string::npos ? 0 : std::stoul(text.substr(found + field.size())) * kBytesPerKilobyte;
}

// Whether the process has begun to run the program under test; before that it is a copy of the test.
inline bool runs_program(pid_t process) {
  std::error_code error;
  const auto executable = std::filesystem::read_symlink("/proc/" + std::to_string(process) + "/exe", error);
  return !error && std::filesystem::equivalent(executable, program, error);
}

inline std::size_t resident_bytes(pid_t process) { return process_status_bytes(process, "VmRSS:"); }
// The highest so far.
inline std::size_t peak_resident_bytes(pid_t process) { return process_status_bytes(process, "VmHWM:"); }

struct CrowdClientPlan {
  static constexpr std::size_t kUnlimited = std::size_t{1} << 30;
  std::string text;                              // sent once on each connection
  std::size_t stops_after_bytes = kUnlimited;    // of the text
  std::size_t sent_bytes_per_turn = kUnlimited;  // at most
  std::size_t read_bytes_per_turn = 64 * 1024;   // at most
  double first_send_after_s = 0;                 // after the connection is up
  bool reconnects = true;                        // when its connection ends
};

// Plays all plans from its own thread until it is destroyed.
class Crowd {
 public:
  Crowd(std::string address, std::vector<CrowdClientPlan> plans) : address_(std::move(address)) {
    for (CrowdClientPlan& plan : plans) clients_.push_back(Client{.plan = std::move(plan)});
    playing_ = std::thread([this] { play(); });
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;
  ~Crowd() {
    is_stopping_ = true;
    playing_.join();
    for (Client& client : clients_) disconnect(client);
  }
  // Connections that are up now, as of the last turn.
  int connected_count() const { return connected_count_; }

 private:
  static constexpr double kTurnSeconds = 0.02;
  static constexpr double kReconnectPauseSeconds = 0.1;
  // A small receive buffer, so that what a client has not read stays with its peer.
  static constexpr int kReceiveBufferBytes = 4096;

  struct Client {
    CrowdClientPlan plan;
    int descriptor = -1;
    double acts_at_s = 0;  // when it connects, or begins to send
    std::size_t sent_bytes = 0;
  };

  void play() {
    while (!is_stopping_) {
      int connected = 0;
      for (Client& client : clients_) {
        take_turn(client);
        if (client.descriptor >= 0) ++connected;
      }
      connected_count_ = connected;
      sleep_for(kTurnSeconds);
    }
  }
  void take_turn(Client& client) {
    if (client.descriptor < 0) {
      if (now() >= client.acts_at_s) connect_now(client);
      return;
    }
    if (!read_some(client) || !send_some(client)) disconnect(client);
  }
  void connect_now(Client& client) {
    client.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
    sockaddr_in to = address_of(address_);
    client.sent_bytes = 0;
    client.acts_at_s = now() + client.plan.first_send_after_s;
    if (connect(client.descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
      disconnect(client);
  }
  static void disconnect(Client& client) {
    if (client.descriptor >= 0) close(std::exchange(client.descriptor, -1));
    client.acts_at_s = client.plan.reconnects ? now() + kReconnectPauseSeconds : now() + 1e9;
  }
  // Returns false once the connection is over.
  static bool read_some(const Client& client) {
    if (client.plan.read_bytes_per_turn == 0) return !has_failed(client);
    char bytes[64 * 1024];
    const ssize_t count =
        recv(client.descriptor, bytes, std::min(sizeof bytes, client.plan.read_bytes_per_turn), 0);
    return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN));
  }
  static bool has_failed(const Client& client) {
    pollfd polled{client.descriptor, 0, 0};
    return poll(&polled, 1, 0) > 0 && (polled.revents & POLLERR) != 0;
  }
  static bool send_some(Client& client) {
    const CrowdClientPlan& plan = client.plan;
    if (now() < client.acts_at_s) return true;
    const std::size_t wanted = std::min(plan.stops_after_bytes, plan.text.size());
    const std::size_t count = std::min(plan.sent_bytes_per_turn, wanted - client.sent_bytes);
    if (count == 0) return true;
    const ssize_t sent =
        send(client.descriptor, plan.text.data() + client.sent_bytes, count, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) client.sent_bytes += std::size_t(sent);
    return sent >= 0 || errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
  }

  const std::string address_;
  std::vector<Client> clients_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> connected_count_ = 0;
  std::thread playing_;
};

}  // namespace puffinvane::test
