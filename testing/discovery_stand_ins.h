// Test doubles of discovery and of the owner of a discovery watch. The watch runs in this process; discovery
// runs in its own thread with blocking sockets.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <iostream>
#include <list>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/discovery/discovery_watch.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {

// Last part of the loopback address that discovery listens at.
constexpr int kDiscoveryHost = 9;

const inline std::string kResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A snapshot line that lists only endpoint "a".
inline std::string snapshot_line(int index) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":true,"endpoints":[)" +
         list_entry_json("a", "127.0.0.1:1") + "]}\n";
}

// A line with a change of endpoint "b".
inline std::string change_line(int index) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":false,"endpoints":[)" +
         list_entry_json("b", "127.0.0.1:" + std::to_string(index)) + "]}\n";
}

// An event loop that runs until a condition holds, or for a given time.
class EventLoop {
 public:
  explicit EventLoop(int descriptors = 64) : log_(std::cerr, Level::Error), loop_(log_, descriptors) {
    signal(SIGPIPE, SIG_IGN);
  }
  Loop& loop() { return loop_; }

  void run_for(double duration_s) {
    loop_.at(loop_.now() + duration_s, [this] { loop_.quit(); });
    loop_.run();
  }
  // Returns whether the condition held before the deadline; it is checked every 0.05 s.
  bool run_until(const std::function<bool()>& condition, double deadline_s) {
    double ends_at_s = loop_.now() + deadline_s;
    std::function<void()> check = [&] {
      if (condition() || loop_.now() > ends_at_s) loop_.quit();
      else loop_.at(loop_.now() + 0.05, check);
    };
    loop_.at(loop_.now(), check);
    loop_.run();
    return condition();
  }
  // Runs while `steps` play discovery in a thread, and 0.3 s longer to process what was sent last.
  void run_during(const std::function<void()>& steps) {
    std::atomic<bool> is_finished = false;
    std::thread discovery([&] {
      steps();
      is_finished = true;
    });
    EXPECT_TRUE(run_until([&] { return is_finished.load(); }, 60));
    run_for(0.3);
    discovery.join();
  }
  // Runs for the given time while `steps` play discovery in a thread.
  void run_beside(const std::function<void()>& steps, double duration_s) {
    std::thread discovery(steps);
    run_for(duration_s);
    discovery.join();
  }

 private:
  Log log_;
  Loop loop_;
};

// The owner of a watch; records what the watch has reported.
class WatchOwner final : DiscoveryWatch::Owner {
 public:
  WatchOwner(Loop& loop, const std::string& discovery, std::uint64_t seed, DiscoveryMode mode)
      : watch_(loop, *this, starts_, {.address = discovery, .mode = mode, .backoff_seed = seed}) {
    watch_.start();
  }
  // When each list was received, on the monotonic clock.
  const std::vector<double>& received_at_s() const { return received_at_s_; }
  // Start time of the first endpoint of the last list that was not empty.
  double first_started_at_s() const { return first_started_at_s_; }

 private:
  void on_endpoint_list(const EndpointList& list) override {
    received_at_s_.push_back(now());
    if (!list.entries.empty()) first_started_at_s_ = list.entries.front().online_since_s;
  }
  std::vector<double> received_at_s_;
  double first_started_at_s_ = 0;
  EndpointStartTimes starts_;
  DiscoveryWatch watch_;
};

// Accepts the next call, checks that it asks for changes after that index, and answers it.
inline TestConnection answer_call(Listener& discovery, const std::string& after, const std::string& chunks) {
  std::pair<TestConnection, HttpMessage> call = discovery.accept_request();
  EXPECT_EQ(call.second.target, "/v1/servers?watch=1&after=" + after);
  TestConnection connection = std::move(call.first);
  connection.send_text(kResponseHead + chunks);
  return connection;
}

// Accepts the next call and leaves it unanswered.
inline TestConnection take_call(Listener& discovery) { return discovery.accept_request().first; }

// Fills the backlog of a listener whose backlog is 1, so that the next connection is not established until
// 0.2 s after `call` has ended.
inline bool refuse_connection_after(Listener& discovery, TestConnection& call,
                                    double call_ends_within_s = 3) {
  TestConnection filling(discovery.address);
  bool has_ended = call.ends_within(call_ends_within_s);
  EXPECT_FALSE(filling.ends_within(0.2));
  discovery.accept_connection();
  return has_ended;
}

}  // namespace puffinvane::test
