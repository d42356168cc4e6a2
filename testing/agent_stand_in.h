// A stand-in for the discovery agent of a machine in pushed mode. It answers each call at once, with the
// changes after the index that was asked for or with the whole list, and sends later changes to the calls
// that are open.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <list>
#include <mutex>
#include <optional>
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
  // How a call is answered: as it should be, not at all, by the response head alone, by a reset, with the
  // list before its last change, or with the first half of the list. A call with a fault receives no later
  // change either.
  enum class CallFault { None, Unanswered, HeadOnly, Reset, StaleList, CutOffList };

  struct Options {
    std::vector<std::string> entries;  // of the list in the sidecar's configuration
    // A call is answered with all entries except those that have changed: a whole list leaves out endpoints
    // that drain.
    bool answers_with_whole_lists = false;
  };

  AgentStandIn(Listener& listener, Options options)
      : listener_(listener), options_(std::move(options)), answering_([this] { run(); }) {}
  AgentStandIn(const AgentStandIn&) = delete;
  AgentStandIn& operator=(const AgentStandIn&) = delete;
  ~AgentStandIn() {
    is_over_ = true;
    answering_.join();
  }

  // While silent, calls are accepted and not answered; they are answered once the agent is no longer silent.
  void set_silent(bool silent) { is_silent_ = silent; }
  // The next call that is answered has this fault.
  void fault_next_call(CallFault fault) { next_fault_ = fault; }
  // The endpoint with that position among the entries drains or is removed.
  void publish(std::size_t endpoint, const std::string& entry, Delivery delivery) {
    std::lock_guard lock(mutex_);
    changes_.push_back({endpoint, entry});
    if (delivery == Delivery::Lost) return;
    const std::string text = http_chunk(changes_between(index() - 1, index()));
    const std::size_t size = delivery == Delivery::CutOff ? text.size() / 2 : text.size();
    for (TestConnection& call : open_) call.send_text(text.substr(0, size));
  }

 private:
  static constexpr int kFirstIndex = 7;  // of the list in the sidecar's configuration
  static constexpr double kPollSeconds = 0.002;

  struct Change {
    std::size_t endpoint = 0;
    std::string entry;
  };
  struct WaitingCall {
    TestConnection connection;
    int after = 0;
  };

  int index() const { return kFirstIndex + int(changes_.size()); }
  // The changes after one index up to another, as one line.
  std::string changes_between(int after, int last) const {
    std::vector<std::string> entries;
    for (int i = std::max(0, after - kFirstIndex); i < last - kFirstIndex; ++i) {
      entries.push_back(changes_[std::size_t(i)].entry);
    }
    return list_line(last, false, entries);
  }
  // The list as it was at an index, as one line.
  std::string whole_list_at(int last) const {
    std::vector<std::string> entries = options_.entries;
    for (int i = 0; i < last - kFirstIndex; ++i) entries[changes_[std::size_t(i)].endpoint].clear();
    std::erase(entries, "");
    return list_line(last, true, entries);
  }
  std::string answer_to(int after, int last) const {
    return options_.answers_with_whole_lists ? whole_list_at(last) : changes_between(after, last);
  }
  static std::string list_line(int index, bool is_snapshot, const std::vector<std::string>& entries) {
    std::string joined;
    for (const std::string& entry : entries) joined += (joined.empty() ? "" : ",") + entry;
    return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (is_snapshot ? "true" : "false") +
           R"(,"endpoints":[)" + joined + "]}\n";
  }
  void run() {
    while (!is_over_) {
      if (listener_.has_connection_within(kPollSeconds)) accept_call();
      if (!is_silent_) answer_waiting();
    }
  }
  void accept_call() {
    TestConnection call = listener_.accept_connection();
    const std::optional<HttpMessage> request = call.receive_message(HttpReader::Side::Request);
    if (!request) return;  // the process was killed meanwhile
    const int after = std::stoi(request->target.substr(request->target.find("after=") + 6));
    waiting_.push_back({std::move(call), after});
  }
  void answer_waiting() {
    std::lock_guard lock(mutex_);
    for (WaitingCall& call : waiting_) answer(call, next_fault_.exchange(CallFault::None));
    waiting_.clear();
  }
  void answer(WaitingCall& call, CallFault fault) {
    constexpr const char* kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const int before_last = std::max(kFirstIndex, index() - 1);
    const std::string list = answer_to(call.after, index());
    switch (fault) {
      case CallFault::None:
        call.connection.send_text(kHead + http_chunk(list));
        open_.push_back(std::move(call.connection));
        return;
      case CallFault::Unanswered: break;
      case CallFault::HeadOnly: call.connection.send_text(kHead); break;
      case CallFault::Reset: call.connection.reset(); break;
      case CallFault::StaleList:
        call.connection.send_text(kHead + http_chunk(answer_to(call.after, before_last)));
        break;
      case CallFault::CutOffList:
        call.connection.send_text(kHead + http_chunk(list.substr(0, list.size() / 2)));
        break;
    }
    faulty_.push_back(std::move(call.connection));
  }

  Listener& listener_;
  const Options options_;
  std::mutex mutex_;
  std::vector<Change> changes_;
  std::list<WaitingCall> waiting_;
  std::list<TestConnection> open_;
  std::list<TestConnection> faulty_;
  std::atomic<CallFault> next_fault_ = CallFault::None;
  std::atomic<bool> is_silent_ = false;
  std::atomic<bool> is_over_ = false;
  std::thread answering_;
};

}  // namespace puffinvane::test
