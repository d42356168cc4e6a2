// The standing watch on the discovery service: opens calls, times them out and reports lists to its owner.
// What a line means is ListCursor's, how long a call may take CallTimeouts', how long to wait before the next
// CallBackoff's, start times EndpointStartTimes'.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "puffinvane/transition_table.h"
#include "src/discovery/call_backoff.h"
#include "src/discovery/call_timeouts.h"
#include "src/discovery/discovery.h"
#include "src/discovery/endpoint_start_times.h"
#include "src/discovery/list_cursor.h"
#include "src/discovery/list_splitter.h"
#include "src/http/http.h"
#include "src/net/tcp_connection.h"

namespace puffinvane {

// Follows the endpoint list. A call that ends, is silent or can't be read is followed by another one. In
// pushed mode changes are also asked for anew all the time, so that neither a watch that goes on without its
// lists nor a broken one that looks quiet delays a change. Owned by the proxy of a pool, on the event loop's
// thread. Errors are logged (discovery.call_failed, discovery.list_rejected), once until a list is received,
// and leave the list in force as it is.
class DiscoveryWatch final : TcpConnection::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // A list that differs from the last one, with start times. The watch may be closed from here, not
    // destroyed.
    virtual void on_endpoint_list(const EndpointList& list) = 0;
  };

  struct Options {
    std::string address;          // "127.0.0.1:5000"
    std::int64_t held_index = 0;  // of a list from before; 0: none
    DiscoveryMode mode = DiscoveryMode::Pushed;
    std::uint64_t backoff_seed = 0;
  };

  // starts: of the endpoints that this discovery lists. Loop, owner and starts outlive the watch.
  DiscoveryWatch(Loop& loop, Owner& owner, EndpointStartTimes& starts, const Options& options);

  // Opens the first call. Called once.
  void start();
  // Discovery has moved: what is held stays in force, and what came since is asked for at the new address.
  void change_address(const std::string& address);
  // Ends the call; nothing is reported any more.
  void close();
  bool has_received_list() const { return has_received_list_; }

 private:
  enum class State { BackingOff, Connecting, AwaitingResponse, Watching, Closed };
  enum class Event {
    BackoffElapsed,
    Connected,
    ResponseReceived,
    TimedOut,
    CallEnded,
    ListRejected,
    AddressChanged
  };
  static const Transition<DiscoveryWatch, State, Event> kTransitions[];

  void apply(Event event);
  void connect();
  void send_request();
  void start_watching();
  void renew_call();
  void back_off();
  void back_off_unanswered();
  void back_off_and_resync();
  void back_off_after_timeout();

  void on_connected() override { apply(Event::Connected); }
  void on_received(std::string_view bytes) override;
  void on_ended(TcpConnection::End) override { apply(Event::CallEnded); }
  void on_response_body();
  void on_poll_result(PollResult result);
  void on_list(EndpointList& list);
  void on_unchanged();
  void on_blank_line();
  void on_call_failed(const CallFailed& failure);
  void on_list_rejected(const ListError& error);
  void on_answer();
  void on_bytes_processed();

  std::optional<CallFailed> response_failure() const;
  void dispatch_lines();
  void record_date();
  void reject_list_if_cut_off();
  void check_timeout();
  void restart_timeout() { timeout_from_s_ = loop_.now(); }
  double timeout_s() const;
  CallProgress progress() const;
  bool is_receiving() const { return state_ == State::AwaitingResponse || state_ == State::Watching; }
  bool is_pushed() const { return mode_ == DiscoveryMode::Pushed; }
  bool asks_for_changes() const { return cursor_.call_scope() == CallScope::Changes; }

  Loop& loop_;
  Owner& owner_;
  EndpointStartTimes& starts_;
  std::string address_;
  const DiscoveryMode mode_;
  ListCursor cursor_;
  CallBackoff backoff_;
  CallTimeouts timeouts_;
  TcpConnection connection_;
  HttpReader response_;
  ListSplitter lines_;
  State state_ = State::BackingOff;
  double timeout_from_s_ = 0;  // when the state began, or when a watch's last line came
  double last_bytes_at_s_ = 0;
  double backoff_ends_at_s_ = 0;
  std::optional<double> date_offset_s_;  // Unix time less the monotonic clock, by the response's date
  bool has_received_list_ = false;
  bool is_fault_logged_ = false;  // since the last list
  LifetimeToken alive_;
};

}  // namespace puffinvane
