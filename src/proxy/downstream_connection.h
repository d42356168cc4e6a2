// A connection from a client. Handles one request at a time; pipelined requests wait until it is answered.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "puffinvane/transition_table.h"
#include "src/http/http.h"
#include "src/net/tcp_connection.h"

namespace puffinvane {

class DownstreamConnection final : TcpConnection::Owner {
 public:
  // Bytes that a client's machine holds for a connection at most: Linux's largest send buffer by default.
  static constexpr std::size_t kMaxClientSendBuffer = 4 * 1024 * 1024;
  // Bytes that lie unread on both machines at most, with Linux's largest receive buffer by default.
  static constexpr std::size_t kMaxUnreadBytes = kMaxClientSendBuffer + std::size_t{6} * 1024 * 1024;

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_request(DownstreamConnection& downstream, HttpMessage message) = 0;
    // The connection is over; the owner has to destroy the object, but not within this call.
    virtual void on_closed(DownstreamConnection& downstream) = 0;
    // Whether every connection is to be closed after its next response.
    virtual bool closes_after_response() const = 0;
    // Bytes of a request body that are buffered before the body is streamed in parts.
    virtual std::size_t max_buffered_body() const = 0;
    // Whether little is received while memory is short. Not for a few connections whose requests are small.
    virtual bool saves_memory() const = 0;
    // Seconds: the longest client timeout of any request class.
    virtual double longest_client_timeout() const = 0;
  };
  // Owns the pending request of this connection.
  class RequestOwner {
   public:
    virtual ~RequestOwner() = default;
    virtual void on_client_disconnected(std::uint32_t request) = 0;
    // The next part of a streamed request body; `whole`: it is the last part.
    virtual void on_body_part(std::uint32_t request, BufferChain bytes, bool whole) = 0;
    // Whether no connection carries the request, so that nothing of it has been sent.
    virtual bool is_waiting_for_endpoint(std::uint32_t request) const = 0;
    // What is known of the arrival of a streamed body's last byte has changed. `arrived_after`: all of the
    // body may have arrived, a part of it unread, but not before that time. Empty: a part of it has not
    // arrived.
    virtual void on_body_arrival(std::uint32_t request, std::optional<double> arrived_after) = 0;
    // All bytes of the streamed response so far have been written to the socket.
    virtual void on_response_drained(std::uint32_t request) = 0;
  };
  struct OpenRequest {
    RequestOwner* owner = nullptr;
    std::uint32_t id = 0;
  };

  // waited: seconds that received bytes may have been queued at the listener before the accept.
  // has_sent_request: the connection has already carried a whole request, in the process that it is taken
  // over from.
  DownstreamConnection(Loop& loop, Owner& owner, Ref<GSocket> socket, int listener, double waited,
                       std::size_t max_body, std::size_t max_streamed, bool has_sent_request = false);

  // Sends a whole response. last: closes the connection after it, unless pipelined input is pending, which
  // is handled first.
  void respond(int status, const HttpMessage* from, std::string_view more_headers, std::string_view text,
               bool last);
  // Streams a response: begin_response, any number of send_body_part, then end_response; or abort_response,
  // which resets the connection so that the client can tell that the response is incomplete.
  void begin_response(const HttpMessage& from, std::optional<std::size_t> size);
  void send_body_part(BufferChain bytes);
  void end_response();
  void abort_response() { apply(Input::Aborted); }
  // The client reads more slowly than the response arrives.
  bool has_write_backlog() const {
    const bool is_scarce = loop_.pool().pressure() >= BufferPool::Pressure::Scarce;
    return tcp_.unsent_bytes() > (is_scarce ? BufferPool::kSize : kMaxWriteBacklog);
  }
  // Bytes of memory that input holds which is no whole request yet.
  std::size_t held_input_bytes() const { return reader_.held_bytes() + unread_.size(); }
  // Answers 503 to a request of which a part has been read, releases that part and discards the rest.
  void reject_partial_request() { apply(Input::Rejected); }

  // The request was dispatched before its body was complete.
  bool is_uploading() const { return state_ == State::Uploading; }
  std::optional<std::size_t> content_length() const { return reader_.content_length(); }
  void pause_reading(bool on);
  // Seconds since reading was paused, 0 if it is not. The client may have written the last byte that long
  // ago.
  double reading_paused_for() const { return tcp_.is_reading() ? 0 : loop_.now() - paused_since_; }
  // See RequestOwner::on_body_arrival.
  std::optional<double> body_arrived_after() const { return body_arrived_after_; }
  // The earliest time at which the last byte of the request may have arrived, once it is read.
  double last_byte_arrived_at() const {
    return body_arrived_after_ ? std::min(*body_arrived_after_, arrived_at_) : arrived_at_;
  }

  void close() { apply(Input::Ended); }
  // Only between requests: shuts down the write side and closes shortly after. A request that arrives
  // meanwhile is not read.
  void close_gracefully() { apply(Input::CloseRequested); }
  // Whether the client has closed its side. Reads pipelined input ahead, up to a limit, because the close is
  // only visible behind it.
  bool check_client_closed();
  // Whether so much input is still unread that a close could be hidden behind it. During an upload the
  // unread input is the rest of the body; see upload_may_hide_close.
  bool client_close_undetectable() const {
    return state_ == State::AwaitingResponse && tcp_.input_may_hide_end();
  }
  // Whether the client may have written the rest of its upload and left, so that its close follows input that
  // is unread.
  bool upload_may_hide_close() const {
    return state_ == State::Uploading && tcp_.input_may_hide_end() && upload_may_be_written_whole();
  }
  // Whether the client's machine may hold all of the upload that has not arrived.
  bool upload_may_be_written_whole() const;
  // Between requests with no unread input: closing loses no bytes that have arrived.
  bool is_idle() const { return is_between_requests() && tcp_.has_nothing_to_read(); }
  bool has_sent_request() const { return has_sent_request_; }
  // The socket, if it can be handed over to a successor process: no part of a request has been read from it,
  // and no response is unwritten. Unread input in the kernel goes with the socket. Null otherwise.
  GSocket* transferable_socket() const { return is_between_requests() ? tcp_.socket() : nullptr; }
  void release_transferred_socket() {
    tcp_.release();
    close();
  }
  // Seconds, at most, that the dispatched request was queued at the listener or behind an earlier request
  // after its last byte had arrived.
  double queueing_time() const { return std::max(0.0, loop_.now() - last_byte_arrived_at()); }
  // The last response is written; the connection only waits for the client to close.
  bool is_lingering() const { return state_ == State::Lingering; }
  bool awaits_first_request() const { return state_ == State::ReadingRequest && !has_sent_request_; }
  // Closes the connection, or answers 408, if the timeout of its state has passed.
  void check_timeouts(double now);
  // Neither bytes nor the end of the stream are unread.
  bool has_no_unread_input() const { return tcp_.has_nothing_to_read(); }
  // When the connection last changed its state or made progress in it; timeouts are measured from here.
  double last_progress() const { return last_progress_; }
  // When the last byte was received, or else when the connection was accepted.
  double last_received() const { return last_received_; }
  bool has_partial_request() const { return reader_.started(); }
  bool is_reading_request() const { return state_ == State::ReadingRequest; }
  int listener() const { return listener_; }  // the number of the listener that accepted it
  void close_after_next_response() { closes_after_response_ = true; }
  std::optional<OpenRequest> open_request;

 private:
  static constexpr std::size_t kMaxWriteBacklog = 64 * 1024;
  enum class State {
    ReadingRequest,
    Uploading,  // the request is dispatched, its body still arrives
    AwaitingResponse,
    StreamingResponse,
    WritingResponse,
    WritingLastResponse,
    Lingering,
    Closed
  };
  enum class Input {
    UploadStarted,
    RequestComplete,
    ParseError,
    TimedOut,
    Rejected,
    ResponseStarted,
    ResponseComplete,
    LastResponseComplete,
    Written,
    Aborted,
    CloseRequested,
    Ended
  };
  static const Transition<DownstreamConnection, State, Input> kTransitions[];
  void apply(Input input);
  bool is_between_requests() const {
    return state_ == State::ReadingRequest && !reader_.started() && unread_.empty();
  }
  void do_nothing() {}
  void dispatch_upload();
  void dispatch_request();
  void finish_upload();
  void on_stream_written();
  bool is_too_slow(double now) const;
  void enforce_request_timeout(double now);
  void respond_with_error();
  void respond_unavailable();
  void end_unread_request(int status, std::string_view text);
  void abandon_upload();
  void read_next_request();
  void resume_reading_if_drained();
  bool may_be_last_response(bool last) const;
  void stop_reading_requests(bool client_is_done);
  void start_lingering();
  void close_now();
  void reset_now();

  std::size_t receive_limit() const override;
  void on_received(std::string_view bytes) override;
  void on_written() override { apply(Input::Written); }
  void on_ended(TcpConnection::End) override { apply(Input::Ended); }
  void parse_input();
  void update_arrival_time();
  bool body_may_have_arrived() const;
  void check_body_arrival(double now);
  void check_delivery(double now);
  void read_ahead();

  Loop& loop_;
  Owner& owner_;
  TcpConnection tcp_;
  HttpReader reader_;
  BufferChain unread_;  // received, but not yet parsed
  State state_ = State::ReadingRequest;
  bool keep_alive_ = true;
  bool continue_sent_ = false;
  bool has_sent_request_ = false;
  bool closes_after_response_ = false;
  bool is_head_request_ = false;
  bool is_http_1_0_ = false;
  bool chunks_response_ = false;
  bool read_ahead_full_ = false;      // reading was stopped because enough pipelined input is buffered
  bool is_reading_deferred_ = false;  // until less pipelined input is buffered
  // Further input is not a request. It is read and discarded, so that closing does not reset the connection.
  bool discards_input_ = false;
  const int listener_;
  double last_progress_;
  double last_received_;
  double paused_since_ = 0;
  double arrived_at_;  // the earliest time at which the last byte read may have arrived
  // When a part of the body in hand had certainly not arrived yet, as last checked.
  double body_incomplete_at_ = 0;
  std::uint64_t delivered_bytes_ = 0;         // to the client's machine, as last checked
  std::optional<double> body_arrived_after_;  // see RequestOwner::on_body_arrival
  LifetimeToken alive_;
};

}  // namespace puffinvane
