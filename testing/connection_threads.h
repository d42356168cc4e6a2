// Serves each connection of a listener on a thread of its own, for stand-ins of endpoints.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <thread>
#include <utility>

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
    for (Serving& serving : serving_) serving.thread.join();
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
  struct Serving {
    std::thread thread;
    std::atomic<bool> has_ended = false;
  };

  void accept() {
    while (!is_stopping_) {
      join_ended();
      if (!listener_.has_connection_within(kPollSeconds)) continue;
      Serving& serving = serving_.emplace_back();
      serving.thread = std::thread([this, &serving, connection = listener_.accept_connection()]() mutable {
        serve_(connection);
        serving.has_ended = true;
      });
    }
  }
  // A thread that has ended keeps its stack until it is joined.
  void join_ended() {
    serving_.remove_if([](Serving& serving) {
      if (!serving.has_ended) return false;
      serving.thread.join();
      return true;
    });
  }

  Listener& listener_;
  const std::function<void(TestConnection&)> serve_;
  std::atomic<bool> is_stopping_ = false;
  std::list<Serving> serving_;
  std::thread accepting_;
};

}  // namespace puffinvane::test
