// Stand-ins for endpoints that are well.
#pragma once

#include <atomic>
#include <thread>
#include <vector>

#include "testing/running.h"

namespace puffinvane::test {

// An endpoint that answers all that comes, from a thread for each connection.
class Answering {
 public:
  explicit Answering(int last, std::string answer = ok("x"))
      : listener(last, 512), answer_(std::move(answer)), accepting_([this] { accept(); }) {}
  ~Answering() {
    over_ = true;
    accepting_.join();
    for (std::thread& one : serving_) one.join();
  }
  Listener listener;
  std::atomic<int> served = 0, open = 0, opened = 0;

 private:
  void accept() {
    while (!over_) {
      if (listener.connection_waits(0.02))
        serving_.emplace_back([this, line = listener.take()]() mutable { serve(line); });
    }
  }
  void serve(Line& line) {
    ++open, ++opened;
    while (answer(line)) {
    }
    --open;
  }
  bool answer(Line& line) {
    for (;;) {
      if (over_) return false;
      if (!line.anything(0.02)) continue;
      if (!line.hear(HttpReader::Side::Request)) return false;
      sleep_for(0.005);
      ++served;
      return line.say(answer_);
    }
  }
  const std::string answer_;
  std::atomic<bool> over_ = false;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace puffinvane::test
