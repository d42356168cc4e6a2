// A client's connection: one request at a time, read whole, answered whole.
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
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_request(DownstreamConnection& downstream, HttpMessage message) = 0;
    virtual void on_closed(
        DownstreamConnection& downstream) = 0;          // its connection is over; the owner lets go of it
    virtual bool closes_after_response() const = 0;     // answers are the last on their connections
    virtual std::size_t max_buffered_body() const = 0;  // of a body, before it is handed over in parts
    virtual double longest_client_timeout() const = 0;  // seconds that a client may have for its answer
  };
  class RequestOwner {  // who has its pending request
   public:
    virtual ~RequestOwner() = default;
    virtual void on_client_disconnected(std::uint32_t request) = 0;
    virtual void on_body_part(std::uint32_t request, BufferChain bytes,
                              bool whole) = 0;  // of its request's body
    virtual void on_response_drained(
        std::uint32_t request) = 0;  // its client has been sent all that there was
  };
  struct OpenRequest {
    RequestOwner* owner = nullptr;
    std::uint32_t id = 0;
  };

  // waited: seconds that what it sent may have lain at the listener. asked: it has sent a whole request on
  // this connection before.
  DownstreamConnection(Loop& loop, Owner& owner, Ref<GSocket> socket, int listener, double waited,
                       std::size_t most_body, std::size_t most_streamed, bool asked = false);

  // last: on this connection, unless more was sent behind its request, which is answered first.
  void respond(int status, const HttpMessage* from, std::string_view more_headers, std::string_view text,
               bool last);
  // An answer that goes on while it comes; nothing else is on its connection until its end, or until it is
  // cut, so that the client can tell.
  void begin_response(const HttpMessage& from, std::optional<std::size_t> size);
  void send_body_part(BufferChain bytes);
  void end_response();
  void abort_response() { turn(Input::Cut); }
  bool has_write_backlog() const {
    return tcp_.unsent_bytes() > kMostBehind;
  }  // it does not read as fast as that comes
  // Of a request handed over before its body was whole.
  bool is_uploading() const { return state_ == State::Uploading; }
  std::optional<std::size_t> content_length() const { return reader_.content_length(); }
  void pause_reading(bool on);
  // For how long it has been held back, if it is: its last byte may have come so long ago.
  double reading_paused_for() const { return tcp_.is_reading() ? 0 : loop_.now() - held_since_; }
  void close() { turn(Input::Ended); }
  // Between requests: says that it sends no more, and closes soon. What crosses that is never read.
  void close_gracefully() { turn(Input::Drop); }
  // It has closed its connection, whether that was read or not. What lies before that is read ahead, up to a
  // bound.
  bool check_client_closed();
  // More than that lies unread, and maybe its end. Amid an upload that is its body, without whose last byte
  // nothing begins.
  bool client_close_undetectable() const { return state_ == State::Waiting && tcp_.input_may_hide_end(); }
  // Between requests, with none on its way: closing crosses nothing that was read.
  bool is_idle() const { return between() && tcp_.has_nothing_to_read(); }
  bool has_sent_request() const { return asked_; }
  // Its connection, where nothing of a request was read and nothing of an answer is unwritten: what the
  // system holds goes over with it.
  GSocket* transferable_socket() const { return between() ? tcp_.socket() : nullptr; }
  void release_transferred_socket() {
    tcp_.release();
    close();
  }
  // For how long the request that is handed over may have lain, whole, at the listener or behind another one.
  double queueing_time() const { return std::max(0.0, loop_.now() - came_); }
  bool is_lingering() const { return state_ == State::Lingering; }  // it has its last answer
  bool awaits_first_request() const {
    return state_ == State::Reading && !asked_;
  }  // has not sent one whole request
  // Ends what has stood for longer than is owed to it: half a request, nothing at all, an answer unread.
  void check_timeouts(double now);
  bool has_no_unread_input() const {
    return tcp_.has_nothing_to_read();
  }  // nothing of what it has sent, nor its end, lies unread
  double last_progress() const { return used_; }
  double last_received() const { return heard_; }                 // when its last byte came, or it did
  bool has_partial_request() const { return reader_.started(); }  // some of a request has come
  int listener() const { return listener_; }                      // that it came in by
  void close_after_next_response() { parts_ = true; }             // the next answer is the last
  std::optional<OpenRequest> open_request;

 private:
  static constexpr std::size_t kMostBehind = 64 * 1024;
  enum class State { Reading, Uploading, Waiting, Relaying, Answering, Parting, Lingering, Over };
  enum class Input { Begun, Request, Fault, Late, Relay, Answer, LastAnswer, Written, Cut, Drop, Ended };
  static const Transition<DownstreamConnection, State, Input> kRows[];
  void turn(Input input);
  bool between() const { return state_ == State::Reading && !reader_.started() && unread_.empty(); }
  void nothing() {}
  void begin();
  void hand_over();
  void hand_over_rest();
  void drained();
  bool slow(double now) const;
  void end_if_overdue(double now);
  void refuse();
  void refuse_rest();
  void read_on();
  bool ends_here(bool asked_for) const;
  void close_after(bool its_own_word);
  void linger();
  void leave();
  void leave_cut();

  void on_received(std::string_view bytes) override;
  void on_written() override { turn(Input::Written); }
  void on_ended(TcpConnection::End) override { turn(Input::Ended); }
  void take_in();
  void note_arrival();
  void read_ahead();

  Loop& loop_;
  Owner& owner_;
  TcpConnection tcp_;
  HttpReader reader_;
  BufferChain unread_;
  State state_ = State::Reading;
  bool keep_alive_ = true, continued_ = false, asked_ = false, parts_ = false, to_head_ = false, old_ = false,
       chunks_ = false, paused_ = false;
  bool reads_out_ = false;  // what still comes is no request, and is read so that its end is no reset
  const int listener_;
  double used_, heard_, held_since_ = 0;
  double came_;  // when the last byte of what is read may have come, at the earliest
  LifetimeToken alive_;
};

}  // namespace puffinvane
