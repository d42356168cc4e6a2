// An endpoint for soak tests: it records which requests arrived completely, and can be made to hang.
#pragma once

#include <algorithm>
#include <atomic>
#include <iterator>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "src/proxy/pending_requests.h"
#include "testing/connection_threads.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {

// How often each request arrived completely at any endpoint, by its id. Thread-safe.
class ReceivedRequests {
 public:
  virtual ~ReceivedRequests() = default;
  virtual void record(const std::string& id) {
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

// Also records when requests arrived, on the monotonic clock.
class TimedRequests final : public ReceivedRequests {
 public:
  void record(const std::string& id) override {
    ReceivedRequests::record(id);
    std::lock_guard lock(times_mutex_);
    arrived_at_s_.push_back(now());
  }
  // When the requests after `begin_s` and before `end_s` arrived.
  std::vector<double> times_between(double begin_s, double end_s) const {
    std::lock_guard lock(times_mutex_);
    std::vector<double> times;
    std::ranges::copy_if(arrived_at_s_, std::back_inserter(times),
                         [&](double at_s) { return at_s > begin_s && at_s < end_s; });
    return times;
  }
  std::size_t count_between(double begin_s, double end_s) const {
    return times_between(begin_s, end_s).size();
  }

 private:
  mutable std::mutex times_mutex_;
  std::vector<double> arrived_at_s_;
};

// Serves each connection on its own thread.
class SoakEndpoint {
 public:
  SoakEndpoint(int last, ReceivedRequests& received, double response_time_s)
      : listener_(last, 512),
        received_(received),
        response_time_s_(response_time_s),
        connections_(listener_, [this](TestConnection& connection) { serve(connection); }) {}
  const std::string& address() const { return listener_.address; }
  // From now on, requests are received and never answered.
  void hang() { is_hanging_ = true; }

 private:
  void serve(TestConnection& connection) {
    while (connections_.wait_for_input(connection)) {
      std::optional<HttpMessage> request = connection.receive_message(HttpReader::Side::Request);
      if (!request) return;
      received_.record(std::string(request->header(kRequestIdHeader)));
      sleep_for(response_time_s_);
      if (!is_hanging_ && !connection.send_text(ok_response("x"))) return;
    }
  }

  Listener listener_;
  ReceivedRequests& received_;
  const double response_time_s_;
  std::atomic<bool> is_hanging_ = false;
  ConnectionThreads connections_;
};

}  // namespace puffinvane::test
