// Serves each connection of a listener on a thread of its own, for stand-ins of endpoints.
#pragma once

#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "testing/peers.h"

namespace puffinvane::test {

// Accepts until it is destroyed. `serve` plays one connection and has to return soon once is_stopping().
class ConnectionThreads {
 public:
  ConnectionThreads(Listener& listener, std::function<void(TestConnection&)> serve)
      : listener_(listener), serve_(std::move(serve)), accepting_([this] { accept(); }) {}
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;
  ~ConnectionThreads() { stop(); }

  bool is_stopping() const { return is_stopping_; }
  // Returns once all connections are over.
  void stop() {
    is_stopping_ = true;
    if (accepting_.joinable()) accepting_.join();
    for (std::thread& thread : serving_) thread.join();
    serving_.clear();
  }
  // Whether a request, or the end of the connection, has arrived. Returns false once is_stopping().
  bool wait_for_input(const TestConnection& connection) const {
    while (!is_stopping_) {
      if (connection.has_input_within(kPollSeconds)) return true;
    }
    return false;
  }

 private:
  static constexpr double kPollSeconds = 0.02;

  void accept() {
    while (!is_stopping_) {
      if (!listener_.has_connection_within(kPollSeconds)) continue;
      serving_.emplace_back(
          [this, connection = listener_.accept_connection()]() mutable { serve_(connection); });
    }
  }

  Listener& listener_;
  const std::function<void(TestConnection&)> serve_;
  std::atomic<bool> is_stopping_ = false;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace puffinvane::test
