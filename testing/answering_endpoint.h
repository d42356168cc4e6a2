// Stand-ins for healthy endpoints.
#pragma once

#include <atomic>
#include <string>
#include <utility>

#include "testing/connection_threads.h"
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
        connections_(listener, [this](TestConnection& connection) { serve(connection); }) {}
  Listener listener;
  std::atomic<int> served = 0;
  std::atomic<int> open = 0;
  std::atomic<int> opened = 0;

 private:
  void serve(TestConnection& connection) {
    ++open;
    ++opened;
    while (answer_next(connection)) {
    }
    --open;
  }
  bool answer_next(TestConnection& connection) {
    if (!connections_.wait_for_input(connection)) return false;
    const auto request =
        connection.receive_message(HttpReader::Side::Request, HttpReader::kMaxStreamedBodyBytes);
    if (!request) return false;
    sleep_for(0.005);
    ++served;
    const bool wants_long = !long_answer_.empty() && request->target.find("long") != std::string::npos;
    return connection.send_text(wants_long ? long_answer_ : answer_);
  }
  const std::string answer_;
  const std::string long_answer_;
  ConnectionThreads connections_;
};

}  // namespace puffinvane::test
