// A stand-in for a discovery server that answers calls one after another; refused calls cost it time too.
#pragma once

#include <algorithm>
#include <atomic>
#include <list>
#include <string>
#include <thread>
#include <utility>

#include "testing/discovery_stand_ins.h"

namespace puffinvane::test {

class QueueingDiscovery {
 public:
  struct Costs {
    double answer_s = 0;     // working time per answered call
    double refusal_s = 0;    // working time per refused call
    double max_queue_s = 2;  // calls that would wait longer are refused at once
  };

  explicit QueueingDiscovery(const Costs& costs)
      : listener_(kDiscoveryHost, 512), costs_(costs), worker_([this] { work(); }) {}
  ~QueueingDiscovery() {
    is_stopping_ = true;
    worker_.join();
  }
  QueueingDiscovery(const QueueingDiscovery&) = delete;

  const std::string& address() const { return listener_.address; }
  int refused_count() const { return refused_count_; }
  // Resets the connection of every open watch.
  void reset_watches() { is_reset_wanted_ = true; }

 private:
  static constexpr double kBlankLineIntervalSeconds = 2;

  struct Call {
    double due_at_s;  // when its list, or its next blank line, is due
    TestConnection connection;
    bool has_list = false;
  };

  void work() {
    while (!is_stopping_) {
      if (listener_.has_connection_within(0.002)) queue_or_refuse(take_call(listener_));
      for (Call& call : calls_) {
        if (now() >= call.due_at_s) send_line(call);
      }
      if (is_reset_wanted_.exchange(false)) reset_calls_with_list();
    }
  }
  void queue_or_refuse(TestConnection connection) {
    busy_until_s_ = std::max(busy_until_s_, now());
    if (busy_until_s_ - now() > costs_.max_queue_s) {
      busy_until_s_ += costs_.refusal_s;
      ++refused_count_;
      connection.send_text(
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      return;
    }
    busy_until_s_ += costs_.answer_s;
    calls_.push_back({busy_until_s_, std::move(connection)});
  }
  void send_line(Call& call) {
    call.due_at_s = now() + kBlankLineIntervalSeconds;
    if (call.has_list) call.connection.send_text(http_chunk("\n"));
    else call.connection.send_text(kResponseHead + http_chunk(snapshot_line(1)));
    call.has_list = true;
  }
  void reset_calls_with_list() {
    for (Call& call : calls_) {
      if (call.has_list) call.connection.reset();
    }
    calls_.remove_if([](const Call& call) { return call.has_list; });
  }

  Listener listener_;
  const Costs costs_;
  std::list<Call> calls_;
  double busy_until_s_ = 0;
  std::atomic<int> refused_count_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<bool> is_reset_wanted_ = false;
  std::thread worker_;
};

}  // namespace puffinvane::test
