// Stand-ins for healthy endpoints.
#pragma once

#include <atomic>
#include <thread>
#include <vector>

#include "testing/sidecar_process.h"

namespace puffinvane::test {

// An endpoint that answers every request after 5 ms, with one thread per connection. Requests for a target
// with "long" in it get the long answer, if there is one.
class AnsweringEndpoint {
 public:
  explicit AnsweringEndpoint(int last, std::string answer = ok_response("x"), std::string long_answer = "")
      : listener(last, 512),
        answer_(std::move(answer)),
        long_answer_(std::move(long_answer)),
        accepting_([this] { accept(); }) {}
  ~AnsweringEndpoint() {
    is_stopping_ = true;
    accepting_.join();
    for (std::thread& thread : serving_) thread.join();
  }
  Listener listener;
  std::atomic<int> served = 0, open = 0, opened = 0;

 private:
  void accept() {
    while (!is_stopping_) {
      if (listener.has_connection_within(0.02))
        serving_.emplace_back(
            [this, connection = listener.accept_connection()]() mutable { serve(connection); });
    }
  }
  void serve(TestConnection& connection) {
    ++open, ++opened;
    while (answer_next(connection)) {
    }
    --open;
  }
  bool answer_next(TestConnection& connection) {
    for (;;) {
      if (is_stopping_) return false;
      if (!connection.has_input_within(0.02)) continue;
      const auto request =
          connection.receive_message(HttpReader::Side::Request, HttpReader::kMaxStreamedBodyBytes);
      if (!request) return false;
      sleep_for(0.005);
      ++served;
      const bool wants_long = !long_answer_.empty() && request->target.find("long") != std::string::npos;
      return connection.send_text(wants_long ? long_answer_ : answer_);
    }
  }
  const std::string answer_;
  const std::string long_answer_;
  std::atomic<bool> is_stopping_ = false;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace puffinvane::test
