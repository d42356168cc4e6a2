// A stand-in for the discovery agent of a machine in pushed mode. It answers each call at once with the
// changes after the index that was asked for, and sends later changes to the calls that are open.
#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testing/sidecar_process.h"

namespace puffinvane::test {

class AgentStandIn {
 public:
  // How a change reaches the calls that are open: whole, not at all, or without its second half. Later calls
  // are answered with it in any case.
  enum class Delivery { Whole, Lost, CutOff };

  explicit AgentStandIn(Listener& listener) : listener_(listener), answering_([this] { run(); }) {}
  AgentStandIn(const AgentStandIn&) = delete;
  AgentStandIn& operator=(const AgentStandIn&) = delete;
  ~AgentStandIn() {
    is_over_ = true;
    answering_.join();
  }

  // While silent, calls are accepted and not answered; they are answered once the agent is no longer silent.
  void set_silent(bool silent) { is_silent_ = silent; }
  void publish(const std::string& entry, Delivery delivery) {
    std::lock_guard lock(mutex_);
    changes_.push_back(entry);
    if (delivery == Delivery::Lost) return;
    const std::string text = http_chunk(line_after(index() - 1));
    const std::size_t size = delivery == Delivery::CutOff ? text.size() / 2 : text.size();
    for (TestConnection& call : open_) call.send_text(text.substr(0, size));
  }

 private:
  static constexpr int kFirstIndex = 7;  // of the list in the sidecar's configuration
  static constexpr double kPollSeconds = 0.002;

  struct WaitingCall {
    TestConnection connection;
    int after = 0;
  };

  int index() const { return kFirstIndex + int(changes_.size()); }
  // The changes after that index, as one line.
  std::string line_after(int after) const {
    std::string entries;
    for (int i = std::max(0, after - kFirstIndex); i < int(changes_.size()); ++i) {
      entries += (entries.empty() ? "" : ",") + changes_[std::size_t(i)];
    }
    return R"({"index":)" + std::to_string(index()) + R"(,"snapshot":false,"endpoints":[)" + entries + "]}\n";
  }
  void run() {
    while (!is_over_) {
      if (listener_.has_connection_within(kPollSeconds)) accept_call();
      if (!is_silent_) answer_waiting();
    }
  }
  void accept_call() {
    std::pair<TestConnection, HttpMessage> call = listener_.accept_request();
    const std::string& target = call.second.target;
    const int after = std::stoi(target.substr(target.find("after=") + 6));
    waiting_.push_back({std::move(call.first), after});
  }
  void answer_waiting() {
    std::lock_guard lock(mutex_);
    for (WaitingCall& call : waiting_) {
      call.connection.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                http_chunk(line_after(call.after)));
      open_.push_back(std::move(call.connection));
    }
    waiting_.clear();
  }

  Listener& listener_;
  std::mutex mutex_;
  std::vector<std::string> changes_;
  std::list<WaitingCall> waiting_;
  std::list<TestConnection> open_;
  std::atomic<bool> is_silent_ = false;
  std::atomic<bool> is_over_ = false;
  std::thread answering_;
};

}  // namespace puffinvane::test
