// An endpoint for soaks: it remembers which requests came whole, and from some moment on takes them and never
// answers.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/proxy/pending_requests.h"
#include "testing/running.h"

namespace puffinvane::test {

// How often each request came whole to any endpoint, by its id. Used by many threads.
class ReceivedRequests {
 public:
  void record(const std::string& id) {
    std::lock_guard lock(mutex_);
    ++counts_[id];
  }
  int count(const std::string& id) const {
    std::lock_guard lock(mutex_);
    auto found = counts_.find(id);
    return found == counts_.end() ? 0 : found->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> counts_;
};

// Serves each connection on a thread of its own.
class SoakEndpoint {
 public:
  SoakEndpoint(int last, ReceivedRequests& received, double response_time_s)
      : listener_(last, 512),
        received_(received),
        response_time_s_(response_time_s),
        accepting_([this] { accept(); }) {}
  SoakEndpoint(const SoakEndpoint&) = delete;
  SoakEndpoint& operator=(const SoakEndpoint&) = delete;
  ~SoakEndpoint() {
    is_over_ = true;
    accepting_.join();
    for (std::thread& thread : serving_) thread.join();
  }
  const std::string& address() const { return listener_.address; }
  // From now on requests are taken and never answered.
  void hang() { is_hanging_ = true; }

 private:
  static constexpr double kPollSeconds = 0.02;

  void accept() {
    while (!is_over_) {
      if (!listener_.has_connection_within(kPollSeconds)) continue;
      serving_.emplace_back([this, line = listener_.accept_connection()]() mutable { serve(line); });
    }
  }
  void serve(TestConnection& line) {
    while (!is_over_) {
      if (!line.has_input_within(kPollSeconds)) continue;
      std::optional<HttpMessage> request = line.receive_message(HttpReader::Side::Request);
      if (!request) return;
      received_.record(std::string(request->header(kRequestIdHeader)));
      sleep_for(response_time_s_);
      if (!is_hanging_ && !line.send_text(ok_response("x"))) return;
    }
  }

  Listener listener_;
  ReceivedRequests& received_;
  const double response_time_s_;
  std::atomic<bool> is_over_ = false;
  std::atomic<bool> is_hanging_ = false;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

}  // namespace puffinvane::test
