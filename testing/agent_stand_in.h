// A stand-in for the discovery agent of a machine in pushed mode. It answers each call at once and sends
// later changes to the watches that are open.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <deque>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testing/endpoint_history.h"
#include "testing/sidecar_process.h"

namespace puffinvane::test {

class AgentStandIn {
 public:
  // How a change reaches the watches that are open: whole, not at all, or without its second half. Later
  // calls are answered with it in any case.
  enum class Delivery { Whole, Lost, CutOff };
  // How a call is answered: as it should be, not at all, by the response head alone, by a reset, with the
  // list before its last change, with the first half of the list, or with the list before its last change and
  // then that change. Only the last of these faulty calls, if it is a watch, receives later changes.
  enum class CallFault { None, Unanswered, HeadOnly, Reset, StaleList, CutOffList, ChangeAfterStaleList };
  // What a watch begins with: what differs from the index that was asked for, the whole list, or each change
  // after that index in turn. A call that is no watch is answered with the whole list in any case.
  enum class WatchAnswer { Changes, WholeList, EachChange };

  struct Options {
    std::vector<StatedEndpoint> endpoints;
    WatchAnswer watch_answer = WatchAnswer::Changes;
    std::size_t padding_bytes = 0;  // by which whole lists are longer
    double answer_delay_s = 0;
  };

  AgentStandIn(Listener& listener, const Options& options)
      : listener_(listener),
        watch_answer_(options.watch_answer),
        answer_delay_s_(options.answer_delay_s),
        history_(options.endpoints, options.padding_bytes),
        answering_([this] { run(); }) {}
  AgentStandIn(const AgentStandIn&) = delete;
  AgentStandIn& operator=(const AgentStandIn&) = delete;
  ~AgentStandIn() {
    is_over_ = true;
    answering_.join();
  }

  // The index of the list and its entries, for the configuration of the sidecar.
  int index() const {
    std::lock_guard lock(mutex_);
    return history_.index();
  }
  std::string entries() const {
    std::lock_guard lock(mutex_);
    return history_.entries_at(history_.index());
  }
  // While silent, calls are accepted and not answered; they are answered once the agent is no longer silent.
  void set_silent(bool silent) { is_silent_ = silent; }
  // The next calls that are answered have these faults, one each.
  void fault_next_calls(const std::vector<CallFault>& faults) {
    std::lock_guard lock(mutex_);
    next_faults_.assign(faults.begin(), faults.end());
  }
  // The endpoint with that position among the options' has that status from now on.
  void publish(std::size_t endpoint, EndpointStatus status, Delivery delivery) {
    std::lock_guard lock(mutex_);
    const int before = history_.index();
    history_.change(endpoint, status);
    if (delivery == Delivery::Lost) return;
    const std::string text = http_chunk(history_.changes_between(before, history_.index()));
    const std::size_t size = delivery == Delivery::CutOff ? text.size() / 2 : text.size();
    for (TestConnection& watch : watches_) watch.send_text(text.substr(0, size));
  }

 private:
  static constexpr double kPollSeconds = 0.002;
  static constexpr const char* kLastChunk = "0\r\n\r\n";

  struct Call {
    TestConnection connection;
    double due_at_s = 0;               // when it is answered at the earliest
    std::optional<int> watched_after;  // not set: the call asks for the whole list and is no watch
  };

  void run() {
    while (!is_over_) {
      if (listener_.has_connection_within(kPollSeconds)) accept_call();
      if (!is_silent_) answer_waiting();
    }
  }
  void accept_call() {
    Call call{listener_.accept_connection(), now() + answer_delay_s_, {}};
    const std::optional<HttpMessage> request = call.connection.receive_message(HttpReader::Side::Request);
    if (!request) return;  // the process was killed meanwhile
    const std::size_t after = request->target.find("after=");
    if (after != std::string::npos) call.watched_after = std::stoi(request->target.substr(after + 6));
    waiting_.push_back(std::move(call));
  }
  void answer_waiting() {
    std::lock_guard lock(mutex_);
    while (!waiting_.empty() && now() >= waiting_.front().due_at_s) {
      answer(waiting_.front(), take_fault());
      waiting_.pop_front();
    }
  }
  CallFault take_fault() {
    if (next_faults_.empty()) return CallFault::None;
    const CallFault fault = next_faults_.front();
    next_faults_.pop_front();
    return fault;
  }
  std::string list_for(const Call& call, int index) const {
    if (!call.watched_after || watch_answer_ == WatchAnswer::WholeList) return history_.whole_list_at(index);
    if (watch_answer_ == WatchAnswer::EachChange) {
      return history_.each_change_between(*call.watched_after, index);
    }
    return history_.changes_between(*call.watched_after, index);
  }
  void answer(Call& call, CallFault fault) {
    constexpr const char* kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string list = list_for(call, history_.index());
    switch (fault) {
      case CallFault::None:
        call.connection.send_text(kHead + http_chunk(list) + (call.watched_after ? "" : kLastChunk));
        (call.watched_after ? watches_ : ended_).push_back(std::move(call.connection));
        return;
      case CallFault::Unanswered: break;
      case CallFault::HeadOnly: call.connection.send_text(kHead); break;
      case CallFault::Reset: call.connection.reset(); break;
      case CallFault::StaleList:
        call.connection.send_text(kHead + http_chunk(list_for(call, history_.index_before_last_change())));
        break;
      case CallFault::CutOffList:
        call.connection.send_text(kHead + http_chunk(list.substr(0, list.size() / 2)));
        break;
      case CallFault::ChangeAfterStaleList: {
        const int before = history_.index_before_last_change();
        call.connection.send_text(kHead + http_chunk(list_for(call, before)));
        if (!call.watched_after) break;
        call.connection.send_text(http_chunk(history_.changes_between(before, history_.index())));
        watches_.push_back(std::move(call.connection));
        return;
      }
    }
    ended_.push_back(std::move(call.connection));
  }

  Listener& listener_;
  const WatchAnswer watch_answer_;
  const double answer_delay_s_;
  mutable std::mutex mutex_;
  EndpointHistory history_;
  std::list<Call> waiting_;
  std::list<TestConnection> watches_;
  std::list<TestConnection> ended_;  // calls that receive nothing more, kept open
  std::deque<CallFault> next_faults_;
  std::atomic<bool> is_silent_ = false;
  std::atomic<bool> is_over_ = false;
  std::thread answering_;
};

}  // namespace puffinvane::test
