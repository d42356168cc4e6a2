// Stand-ins for endpoints that are well.
#pragma once

#include <atomic>
#include <thread>
#include <vector>

#include "testing/running.h"

namespace puffinvane::test {

// An endpoint that answers all that comes, from a thread for each connection.
class AnsweringEndpoint {
 public:
  explicit AnsweringEndpoint(int last, std::string answer = ok_response("x"))
      : listener(last, 512), answer_(std::move(answer)), accepting_([this] { accept(); }) {}
  ~AnsweringEndpoint() {
    over_ = true;
    accepting_.join();
    for (std::thread& one : serving_) one.join();
  }
  Listener listener;
  std::atomic<int> served = 0, open = 0, opened = 0;

 private:
  void accept() {
    while (!over_) {
      if (listener.has_connection_within(0.02))
        serving_.emplace_back([this, line = listener.accept_connection()]() mutable { serve(line); });
    }
  }
  void serve(TestConnection& line) {
    ++open, ++opened;
    while (answer(line)) {
    }
    --open;
  }
  bool answer(TestConnection& line) {
    for (;;) {
      if (over_) return false;
      if (!line.has_input_within(0.02)) continue;
      if (!line.receive_message(HttpReader::Side::Request)) return false;
      sleep_for(0.005);
      ++served;
      return line.send_text(answer_);
    }
  }
  const std::string answer_;
  std::atomic<bool> over_ = false;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace puffinvane::test
