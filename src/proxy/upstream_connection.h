// A connection to an endpoint. It carries one attempt at a time and is reused for later ones.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "puffinvane/policy.h"
#include "puffinvane/transition_table.h"
#include "src/http/http.h"
#include "src/net/tcp_connection.h"
#include "src/proxy/overdue_relay.h"

namespace puffinvane {

class UpstreamConnection final : TcpConnection::Owner {
 public:
  struct AttemptId {
    RequestId request = 0;
    int number = 0;
  };
  enum class SendPermission {
    Granted,
    NotYet,  // the owner calls send_more_body once it may be
    Refused  // the attempt may not be sent any more, and the owner closes the connection soon
  };
  struct AttemptStart {
    SendPermission permission = SendPermission::Refused;
    BufferChain bytes;  // if granted: the first of the request, with the time that remains now in its header
  };
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called once the connection can carry its attempt, and again by send_more_body until it is decided.
    virtual AttemptStart on_ready_to_send(UpstreamConnection& upstream) = 0;
    // Asked before each later write of the request. If it returns false, nothing more is written, and the
    // owner closes the connection soon.
    virtual bool may_send_more(UpstreamConnection& upstream) = 0;
    // Called once all bytes sent so far are written. Returns the next part of the request's body. Empty: sets
    // `complete` if there is no more; else the owner calls send_more_body once more has arrived.
    virtual BufferChain on_body_wanted(UpstreamConnection& upstream, bool& complete) = 0;
    // The next four report a response that is relayed while it arrives: its head with the part of its body
    // that has arrived, then each further part, and at the end either the last part or that the rest was
    // lost.
    virtual void on_response_started(UpstreamConnection& upstream, HttpMessage response,
                                     std::optional<std::size_t> length) = 0;
    virtual void on_response_part(UpstreamConnection& upstream, BufferChain bytes) = 0;
    virtual void on_response_finished(UpstreamConnection& upstream, BufferChain bytes) = 0;
    virtual void on_response_aborted(UpstreamConnection& upstream) = 0;
    virtual void on_request_sent() = 0;  // the last byte of a request was written
    virtual Outcome outcome_of(const HttpMessage& response) const = 0;
    virtual void on_attempt_ended(UpstreamConnection& upstream, Outcome outcome, HttpMessage response) = 0;
    virtual void on_spare_connected(UpstreamConnection& upstream) = 0;  // established, without an attempt
    virtual void on_unused_closed(UpstreamConnection& upstream) = 0;    // closed while it had no attempt
  };

  // streams_response: a long body, of up to HttpReader::kMaxStreamedBodyBytes bytes, is relayed in parts.
  // Else bodies over max_body_bytes make a response invalid.
  UpstreamConnection(Loop& loop, Owner& owner, std::string endpoint, std::size_t max_body_bytes,
                     bool streams_response);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;
  ~UpstreamConnection() { cancel_connect_alarms(); }
  // Returns false if the connection can't be started. If this machine lacks a resource for it (a descriptor,
  // a port, memory), starting is retried for a short while.
  bool connect(std::string_view address, double timeout_s);
  // The attempt is sent once the connection is established, at once if it is idle. is_head: the request is a
  // HEAD, whose response has no body.
  void assign_attempt(AttemptId attempt, bool is_head);
  // Goes on connecting without an attempt, to be used by a later one.
  void become_spare() { handle(Input::AttemptWithdrawn); }
  // More of the request's body has arrived from the client, or the attempt may be sent now.
  void send_more_body();
  void pause_reading(bool paused) {
    tcp_.set_reading(!paused);
    last_byte_at_ = loop_.now();
  }
  void close() {
    close_socket();
    state_ = State::Closed;
  }
  void set_owner(Owner& owner) { owner_ = &owner; }  // only while idle
  void abort_response() { handle(Input::ResponseStalled); }
  // For how long no byte of the response has arrived; 0 while reading is paused.
  double silent_for() const { return tcp_.is_reading() ? loop_.now() - last_byte_at_ : 0; }
  // Of the response that is being relayed. deadline: of its request.
  RelayProgress relay_progress(double deadline) const;
  bool idle() const { return state_ == State::Idle; }
  bool connecting() const { return state_ == State::Connecting; }  // for an attempt
  // Established for an attempt, of which nothing may be written yet.
  bool is_ready() const { return state_ == State::Ready; }
  // An attempt is being written or has been written.
  bool has_begun_attempt() const { return state_ == State::Sending || may_have_run(); }
  bool connecting_as_spare() const { return state_ == State::ConnectingSpare; }
  // Neither unread bytes nor an unread end of the connection have arrived.
  bool has_nothing_to_read() const { return tcp_.has_nothing_to_read(); }
  // The attempt is not sent, or not all of it, because this machine lacks a resource such as a descriptor or
  // socket memory.
  bool blocked_locally() const {
    return (connecting() && !tcp_.socket()) || (state_ == State::Sending && tcp_.waits_for_memory());
  }
  const AttemptId& attempt_id() const { return attempt_id_; }
  const std::string& endpoint() const { return endpoint_; }
  const std::string& address() const { return address_; }  // that it was connected to
  // Whether the request of the current attempt was written whole, or its response has begun.
  bool may_have_run() const { return state_ == State::AwaitingResponse || state_ == State::Relaying; }
  // Whether the endpoint's machine has received the request of the current attempt whole.
  bool is_request_delivered() const { return may_have_run() && tcp_.is_all_delivered(); }
  double idle_for(double now) const { return now - idle_since_; }

 private:
  // Seconds. Long enough for the second and third connection request (SYN) of the operating system.
  static constexpr double kMaxSpareConnectTime = 2;
  enum class State {
    Connecting,
    ConnectingSpare,
    Idle,
    Ready,  // established, and nothing of its attempt may be written yet
    Sending,
    Withheld,  // the attempt may not be sent any more, and the owner closes the connection soon
    AwaitingResponse,
    Relaying,
    Closed
  };
  enum class Input {
    Connected,
    ConnectedLate,  // after the connect timeout
    AttemptAssigned,
    SendingGranted,
    SendingRefused,
    RequestWritten,
    Response,         // complete, and the connection can be reused
    LastResponse,     // complete, and the connection can't be reused
    ResponseStarted,  // to be relayed while it arrives
    InvalidResponse,  // malformed, too large, without a request, or a long one that must not be relayed
    ResponseStalled,
    RequestStalled,  // the endpoint takes nothing more of it
    ConnectionEnded,
    LocalShortage,  // this machine lacks a resource
    ConnectTimedOut,
    AttemptWithdrawn,  // it is sent on another connection
    SpareTimedOut
  };
  static const Transition<UpstreamConnection, State, Input> kTransitions[];
  void handle(Input input);
  void send_request();
  bool ask_to_send_more();
  void report_request_sent() { owner_->on_request_sent(); }
  void report_response();
  void report_response_started();
  void report_response_finished();
  void report_response_aborted();
  bool must_relay_response() const;
  void report_invalid_response();
  void report_lost_before_sent();
  void report_connect_timeout();
  void report_spare_connected();
  void no_action() {}
  void report_not_sent() { close_and_report(Outcome::NotSent); }
  void retry_connect(const std::string& address, double pause_s, double retry_until);
  void cancel_connect_alarms();
  void report_lost_after_sent();
  void report_unused_closed();
  void close_socket();
  void close_and_report(Outcome outcome);
  void watch_response(double assigned_at);
  void start_watching_request();
  void watch_request(double assigned_at);

  void on_connected() override;
  std::size_t receive_limit() const override;
  void on_received(std::string_view bytes) override;
  bool may_write() override;
  void on_written() override { send_more_body(); }
  void on_ended(TcpConnection::End end) override;

  Loop& loop_;
  Owner* owner_;
  std::string endpoint_;
  std::string address_;
  TcpConnection tcp_;
  HttpReader reader_;
  State state_ = State::Connecting;
  AttemptId attempt_id_;
  double connect_timeout_s_ = 0;
  double assigned_at_ = 0;          // when it got its current attempt
  double last_byte_at_ = 0;         // of the response; also when reading was last paused or resumed
  double response_started_at_ = 0;  // when the first byte of the response arrived
  double idle_since_ = 0;
  bool reused_ = false;  // it was established before it got its current attempt
  bool is_request_watched_ = false;
  std::vector<AlarmId> connect_alarms_;  // needed until it is established
  std::uint64_t delivered_bytes_ = 0;    // to the endpoint's machine, as last checked
  double last_delivery_at_ = 0;
  bool response_started_ = false;  // a byte of the response to the current attempt has arrived
  LifetimeToken alive_;
};

}  // namespace puffinvane
