// A connection to an endpoint. It carries one attempt at a time and is used again.
#pragma once

#include <optional>
#include <string>

#include "puffinvane/policy.h"
#include "puffinvane/transition_table.h"
#include "src/http/http.h"
#include "src/net/tcp_connection.h"

namespace puffinvane {

class UpstreamConnection final : TcpConnection::Owner {
 public:
  struct AttemptId {
    RequestId request = 0;
    int number = 0;
  };
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called when the connection is up: what to write, with the time that is left by then.
    // Nothing: nobody waits for its answer any more, and it is given up soon.
    virtual BufferChain on_ready(UpstreamConnection& upstream) = 0;
    // What comes next of a request's body, once all before is written; `whole`: after it there is no more.
    virtual BufferChain on_next(UpstreamConnection& upstream, bool& whole) = 0;
    // An answer too long to be held: its head with what there is of its body, and then the rest, part by
    // part.
    virtual void on_begun(UpstreamConnection& upstream, HttpMessage answer,
                          std::optional<std::size_t> size) = 0;
    virtual void on_more(UpstreamConnection& upstream, BufferChain bytes) = 0;
    virtual void on_finished(UpstreamConnection& upstream, BufferChain bytes) = 0;
    virtual void on_cut(UpstreamConnection& upstream) = 0;
    virtual void on_sent() = 0;  // a request's last byte was written
    virtual Outcome outcome_of(const HttpMessage& answer) const = 0;
    virtual void on_attempt_ended(UpstreamConnection& upstream, Outcome outcome, HttpMessage answer) = 0;
    virtual void on_risen(UpstreamConnection& upstream) = 0;     // up, with nothing to carry
    virtual void on_idle_end(UpstreamConnection& upstream) = 0;  // while it carries nothing
  };

  UpstreamConnection(Loop& loop, Owner& owner, std::string endpoint, std::size_t most_body, bool streams);
  // False: it can't even begin. Want of something on this machine is waited out for a while.
  bool connect(std::string_view address, double timeout);
  void carry(AttemptId attempt, bool head);  // once up, or at once on an idle connection
  void rise() { turn(Input::Freed); }        // goes on coming up, with nothing to carry
  void push();                               // more of the request's body has come
  void hold_back(bool on) { tcp_.set_reading(!on), heard_ = loop_.now(); }  // of its answer
  void give_up() { tcp_.close(), state_ = State::Over; }
  void pass_to(Owner& owner) { owner_ = &owner; }  // only while idle
  void stop() { turn(Input::Stopped); }            // its answer has stopped amid its bytes
  double silent() const { return tcp_.is_reading() ? loop_.now() - heard_ : 0; }
  bool is_long() const {
    return reader_.body_bytes_received() > HttpReader::kMaxBodyBytes;
  }  // its answer, so far
  // Its answer has gone on for a while, and by less than that many bytes a second.
  bool crawls(double least) const {
    double since = loop_.now() - answered_since_;
    return since > kWhile && double(reader_.body_bytes_received()) < least * since;
  }
  bool idle() const { return state_ == State::Idle; }
  bool connecting() const { return state_ == State::Connecting; }
  bool rising() const { return state_ == State::Rising; }
  bool quiet() const { return tcp_.has_nothing_to_read(); }
  // What it is to send was not all taken, for want of something on this machine.
  bool held_up() const {
    return (connecting() && !tcp_.socket()) || (state_ == State::Sending && tcp_.waits_for_memory());
  }
  const AttemptId& attempt_id() const { return attempt_id_; }
  const std::string& endpoint() const { return endpoint_; }
  double stood_idle(double now) const { return now - idle_since_; }

 private:
  static constexpr double kWhile = 0.3;      // seconds: one that has only begun says nothing of its pace
  static constexpr double kLongestRise = 2;  // seconds: the system's own second and third try are within
  enum class State { Connecting, Rising, Idle, Sending, Awaiting, Relaying, Over };
  enum class Input {
    Connected,
    ConnectedLate,
    Attempt,
    Written,
    Answered,
    AnsweredLast,
    Begun,
    Nonsense,
    Stopped,
    Ended,
    LocalWant,
    TimedOut,
    Freed,
    Expired
  };
  static const Transition<UpstreamConnection, State, Input> kRows[];
  void turn(Input input);
  void write();
  void note_sent() { owner_->on_sent(); }
  void report_answer();
  void report_begun();
  void report_finished();
  void report_cut();
  bool too_long_to_hold() const;
  void report_nonsense();
  void report_unsent();
  void report_not_up();
  void report_risen();
  void nothing() {}
  void report_not_sent() { report(Outcome::NotSent); }
  void try_later(const std::string& address, double pause, double until);
  void report_reset();
  void report_idle_end();
  void report(Outcome outcome);
  void watch_answer(double of);

  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_written() override { push(); }
  void on_ended(TcpConnection::End end) override;

  Loop& loop_;
  Owner* owner_;
  std::string endpoint_;
  TcpConnection tcp_;
  HttpReader reader_;
  State state_ = State::Connecting;
  AttemptId attempt_id_;
  double timeout_ = 0, sent_ = 0, heard_ = 0, answered_since_ = 0, idle_since_ = 0;
  bool kept_ = false, answering_ = false;  // kept: it has carried an attempt before this one
  LifetimeToken alive_;
};

}  // namespace puffinvane
