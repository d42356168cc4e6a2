// A continuous watch on the discovery service: makes calls, times them out and reports lists to its owner.
// A call is one HTTP request whose response is a stream of lists, one per line, and blank lines while nothing
// changes. ListCursor interprets the lines, CallTimeouts has the timeouts, CallBackoff the delays between
// calls, and EndpointStartTimes the start times of endpoints.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/transition_table.h"
#include "src/discovery/call_backoff.h"
#include "src/discovery/call_timeouts.h"
#include "src/discovery/discovery.h"
#include "src/discovery/discovery_events.h"
#include "src/discovery/endpoint_start_times.h"
#include "src/discovery/list_cursor.h"
#include "src/discovery/list_splitter.h"
#include "src/http/http.h"
#include "src/net/tcp_connection.h"

namespace puffinvane {

// How current a watch is, for the metrics.
struct DiscoveryStatus {
  double answer_age_s = 0;             // since discovery last answered or, before that, since the watch began
  std::uint64_t unanswered_calls = 0;  // since the start, including connections that were not established
};

// Keeps the endpoint list up to date. A call that ends, times out or has an invalid response is followed by
// another one. In pushed mode each call is also replaced by a new one periodically, so that a change is
// received in time even if a watch is alive but no longer sends lists, or is broken but looks idle. What the
// agent has counts as notified whether or not this process received it, so calls with short answers are
// renewed well within the grace of a drain. Owned by the proxy of a pool, on the event loop's thread. An
// error (discovery.call_failed, discovery.list_rejected) is logged unless one was already logged since the
// last valid list, and the current list stays in force.
class DiscoveryWatch final : TcpConnection::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // A new list, with start times. The owner may close the watch in this call, but not destroy it.
    virtual void on_endpoint_list(const EndpointList& list) = 0;
  };

  struct Options {
    std::string address;  // "127.0.0.1:5000"
    // Of a list from an earlier run or the predecessor.
    std::optional<std::int64_t> held_index = std::nullopt;
    DiscoveryMode mode = DiscoveryMode::Pushed;
    std::uint64_t backoff_seed = 0;
  };

  // `start_times` has the start times of the endpoints that this discovery service lists. The loop, the owner
  // and `start_times` must outlive the watch.
  DiscoveryWatch(Loop& loop, Owner& owner, EndpointStartTimes& start_times, const Options& options);

  // Begins the first call. To be called once.
  void start();
  // Discovery has moved to another address, where the next call goes at once. The current list stays in
  // force.
  void change_address(const std::string& address);
  // Ends the current call. Nothing is reported after that.
  void close();
  // A list that tells all endpoints, or the first list that they differ from.
  bool has_received_list() const { return has_received_list_; }
  DiscoveryStatus status() const;

 private:
  enum class State { BackingOff, Connecting, AwaitingResponse, Watching, Closed };
  enum class Event {
    BackoffElapsed,
    Connected,
    ResponseReceived,
    TimedOut,
    CallEnded,
    ListRejected,
    NextCallDue,
    AddressChanged
  };
  static const Transition<DiscoveryWatch, State, Event> kTransitions[];

  static std::string_view to_string(State state);
  static std::string_view to_string(Event event);

  void apply(Event event);
  LoggedCall logged_call() const;
  void connect();
  void reconnect();
  void send_request();
  void start_watching();
  void renew_call();
  void back_off();
  void back_off_after_unanswered_call();
  void record_unanswered_call();
  void back_off_and_resync();
  void back_off_after_timeout();

  void on_connected() override { apply(Event::Connected); }
  void on_received(std::string_view bytes) override;
  void on_ended(TcpConnection::End end) override;
  void on_response_body();
  void on_call_outcome(CallOutcome outcome);
  void on_list(EndpointList& list);
  void on_unchanged();
  void on_blank_line();
  void on_call_failed(const CallFailed& failure);
  void on_list_rejected(const ListError& error);
  void on_response_received();
  void on_bytes_processed();

  std::optional<CallFailed> response_failure() const;
  void dispatch_lines();
  void dispatch_line(const std::string& line);
  void dispatch_unterminated_line();
  void record_date();
  void reject_list_if_cut_off();
  void check_timeout_regularly();
  void check_timeout_at(double at_s);
  void check_timeout();
  void restart_timeout() { timeout_started_at_s_ = loop_.now(); }
  void renew_call_if_list_is_cut_off();
  double timeout_s() const;
  CallProgress progress() const;
  bool is_receiving() const { return state_ == State::AwaitingResponse || state_ == State::Watching; }
  bool is_pushed() const { return mode_ == DiscoveryMode::Pushed; }
  bool asks_for_changes() const { return cursor_.call_scope() == CallScope::Changes; }

  Loop& loop_;
  Owner& owner_;
  EndpointStartTimes& start_times_;
  std::string address_;
  const DiscoveryMode mode_;
  ListCursor cursor_;
  CallBackoff backoff_;
  CallTimeouts timeouts_;
  TcpConnection connection_;
  HttpReader response_;
  ListSplitter lines_;
  State state_ = State::BackingOff;
  // When the state was entered or, in on-request mode, the last line was received.
  double timeout_started_at_s_ = 0;
  double last_bytes_at_s_ = 0;
  double backoff_ends_at_s_ = 0;
  std::optional<double> date_offset_s_;  // Unix time by the Date header minus monotonic time
  bool has_received_list_ = false;
  double answered_at_s_ = 0;
  std::uint64_t unanswered_calls_ = 0;
  bool is_fault_logged_ = false;  // since the last valid list
  LifetimeToken alive_;
};

}  // namespace puffinvane
