#include "src/proxy/upstream_connection.h"

#include <algorithm>
#include <utility>

#include "src/http/headers.h"

namespace puffinvane {

namespace {
// Seconds without a byte in the middle of an answer: an endpoint writes it when its work is done, so what has
// begun and stops is lost, and the request has better uses for its time than to wait for its client timeout.
constexpr double kStopped = 0.3;
// The same in an answer that is passed on already: nothing better can be done with it.
constexpr double kCutOff = 5;
// Seconds for which want of something on this machine is waited out before the request goes elsewhere, and
// between two tries; each that fails doubles it.
constexpr double kWantPatience = 0.05, kFirstTry = 0.002;
constexpr double kLongInComing =
    0.15;  // an answer without a length goes on from here: it may be a slow long one
}  // namespace

// An answer may come before the request is written whole: it counts, but what is left of the request can't
// be taken back, so that connection carries nothing more.
const Transition<UpstreamConnection, UpstreamConnection::State, UpstreamConnection::Input>
    UpstreamConnection::kRows[] = {
        {State::Connecting, Input::Connected, State::Sending, &UpstreamConnection::write},
        {State::Connecting, Input::ConnectedLate, State::Over, &UpstreamConnection::report_not_sent},
        {State::Connecting, Input::LocalWant, State::Over, &UpstreamConnection::report_not_sent},
        {State::Connecting, Input::Ended, State::Over, &UpstreamConnection::report_unsent},
        {State::Connecting, Input::TimedOut, State::Rising, &UpstreamConnection::report_not_up},
        {State::Connecting, Input::Freed, State::Rising, &UpstreamConnection::nothing},
        {State::Rising, Input::Connected, State::Idle, &UpstreamConnection::report_risen},
        {State::Rising, Input::ConnectedLate, State::Idle, &UpstreamConnection::report_risen},
        {State::Rising, Input::Ended, State::Over, &UpstreamConnection::report_idle_end},
        {State::Rising, Input::LocalWant, State::Over, &UpstreamConnection::report_idle_end},
        {State::Rising, Input::Expired, State::Over, &UpstreamConnection::report_idle_end},
        {State::Idle, Input::Attempt, State::Sending, &UpstreamConnection::write},
        {State::Idle, Input::Ended, State::Over, &UpstreamConnection::report_idle_end},
        {State::Idle, Input::Nonsense, State::Over, &UpstreamConnection::report_idle_end},
        {State::Sending, Input::Written, State::Awaiting, &UpstreamConnection::note_sent},
        {State::Sending, Input::Answered, State::Over, &UpstreamConnection::report_answer},
        {State::Sending, Input::AnsweredLast, State::Over, &UpstreamConnection::report_answer},
        {State::Sending, Input::Nonsense, State::Over, &UpstreamConnection::report_nonsense},
        {State::Sending, Input::Ended, State::Over, &UpstreamConnection::report_unsent},
        {State::Awaiting, Input::Answered, State::Idle, &UpstreamConnection::report_answer},
        {State::Awaiting, Input::AnsweredLast, State::Over, &UpstreamConnection::report_answer},
        {State::Awaiting, Input::Nonsense, State::Over, &UpstreamConnection::report_nonsense},
        {State::Awaiting, Input::Stopped, State::Over, &UpstreamConnection::report_nonsense},
        {State::Awaiting, Input::Ended, State::Over, &UpstreamConnection::report_reset},
        {State::Awaiting, Input::Begun, State::Relaying, &UpstreamConnection::report_begun},
        {State::Relaying, Input::Answered, State::Idle, &UpstreamConnection::report_finished},
        {State::Relaying, Input::AnsweredLast, State::Over, &UpstreamConnection::report_finished},
        {State::Relaying, Input::Nonsense, State::Over, &UpstreamConnection::report_cut},
        {State::Relaying, Input::Stopped, State::Over, &UpstreamConnection::report_cut},
        {State::Relaying, Input::Ended, State::Over, &UpstreamConnection::report_cut},
};

UpstreamConnection::UpstreamConnection(Loop& loop, Owner& owner, std::string endpoint, std::size_t most_body,
                                       bool streams)
    : loop_(loop),
      owner_(&owner),
      endpoint_(std::move(endpoint)),
      tcp_(loop, *this),
      reader_(HttpReader::Side::Response, loop.pool(), most_body,
              streams ? HttpReader::kMaxStreamedBodyBytes : 0) {}

void UpstreamConnection::turn(Input input) { apply_transition(kRows, *this, state_, input); }

bool UpstreamConnection::connect(std::string_view address, double timeout) {
  TcpConnection::ConnectStart started = tcp_.connect(address);
  if (started == TcpConnection::ConnectStart::Refused) return false;
  if (started == TcpConnection::ConnectStart::LocalShortage)
    try_later(std::string(address), kFirstTry, loop_.now() + std::min(timeout, kWantPatience));
  timeout_ = timeout;
  loop_.at(loop_.now() + timeout,
           alive_.guard([this] { turn(tcp_.socket() ? Input::TimedOut : Input::LocalWant); }));
  loop_.at(loop_.now() + std::max(timeout, kLongestRise), alive_.guard([this] { turn(Input::Expired); }));
  return true;
}

void UpstreamConnection::try_later(const std::string& address, double pause, double until) {
  loop_.at(loop_.now() + pause, alive_.guard([=, this] {
    if (state_ != State::Connecting && state_ != State::Rising) return;
    TcpConnection::ConnectStart started = tcp_.connect(address);
    if (started == TcpConnection::ConnectStart::Refused) return turn(Input::Ended);
    if (started != TcpConnection::ConnectStart::LocalShortage) return;
    if (loop_.now() >= until) return turn(Input::LocalWant);
    try_later(address, 2 * pause, until);
  }));
}

void UpstreamConnection::carry(AttemptId attempt, bool head) {
  attempt_id_ = attempt;
  reader_.expect_no_body(head);
  kept_ = state_ == State::Idle;
  answering_ = false, sent_ = loop_.now();
  turn(Input::Attempt);
}

// After a stall its coming up and the end of its time are found at once. What was decided that long ago may
// be against the list, a keyed request's window or its client by now: it is decided anew.
void UpstreamConnection::on_connected() {
  turn(loop_.now() - sent_ > timeout_ ? Input::ConnectedLate : Input::Connected);
}

void UpstreamConnection::write() {
  BufferChain request = owner_->on_ready(*this);
  if (request.empty()) return;
  tcp_.send(std::move(request));
  push();
}

void UpstreamConnection::push() {
  while (state_ == State::Sending && tcp_.is_all_written()) {
    bool whole = false;
    BufferChain next = owner_->on_next(*this, whole);
    if (next.empty()) return whole ? turn(Input::Written) : void();
    tcp_.send(std::move(next));
  }
}

bool UpstreamConnection::too_long_to_hold() const {
  if (!reader_.is_streaming() || !reader_.in_body()) return false;
  if (reader_.content_length()) return *reader_.content_length() > HttpReader::kMaxBodyBytes;
  return reader_.body_bytes_received() > HttpReader::kMaxBodyBytes ||
         loop_.now() - answered_since_ > kLongInComing;
}

void UpstreamConnection::on_received(std::string_view bytes) {
  if (state_ == State::Idle) return turn(Input::Nonsense);  // nobody asked
  heard_ = loop_.now();
  bool first = !std::exchange(answering_, true);
  if (first) answered_since_ = heard_;
  std::size_t used = reader_.feed(bytes);
  if (reader_.fault() != HttpReader::Fault::None) return turn(Input::Nonsense);
  if (!reader_.is_complete()) {
    if (first) watch_answer(sent_);  // most come whole at once, and need no watching
    if (state_ == State::Relaying) {
      if (BufferChain part = reader_.take_body_part(); !part.empty()) owner_->on_more(*this, std::move(part));
    } else if (too_long_to_hold()) {
      // Before the request is written whole that is no answer to it. What it says then is not worth holding.
      if (state_ == State::Sending) return turn(Input::Nonsense);
      owner_->outcome_of(reader_.message()) == Outcome::Delivered ? turn(Input::Begun)
                                                                  : turn(Input::Nonsense);
    }
    return;
  }
  bool last = !reader_.message().keep_alive || used < bytes.size();
  turn(last ? Input::AnsweredLast : Input::Answered);
}

void UpstreamConnection::watch_answer(double of) {
  loop_.at(std::max(heard_ + kStopped / 2, loop_.now() + kStopped / 2), alive_.guard([this, of] {
    if (state_ == State::Idle || sent_ != of) return;  // that one came whole
    // Held back by its client it is not the endpoint that stopped.
    if (!tcp_.is_reading()) heard_ = loop_.now();
    if (state_ == State::Awaiting && too_long_to_hold() &&
        owner_->outcome_of(reader_.message()) == Outcome::Delivered)
      turn(Input::Begun);
    loop_.now() - heard_ >= (state_ == State::Relaying ? kCutOff : kStopped) ? turn(Input::Stopped)
                                                                             : watch_answer(of);
  }));
}

void UpstreamConnection::on_ended(TcpConnection::End end) {
  // An answer that says no length ends with its connection; a reset is no end, and what has come is a part.
  if (end == TcpConnection::End::Closed) reader_.end_of_input();
  if (end == TcpConnection::End::LocalShortage) return turn(Input::LocalWant);
  turn(reader_.is_complete() ? Input::AnsweredLast : Input::Ended);
}

void UpstreamConnection::report_answer() {
  Outcome outcome = owner_->outcome_of(reader_.message());
  if (state_ == State::Over) tcp_.close();
  idle_since_ = loop_.now();
  owner_->on_attempt_ended(*this, outcome, reader_.take());
}
void UpstreamConnection::report_begun() {
  std::optional<std::size_t> size = reader_.content_length();
  owner_->on_begun(*this, reader_.take_head(), size);
}
void UpstreamConnection::report_finished() {
  if (state_ == State::Over) tcp_.close();
  idle_since_ = loop_.now();
  BufferChain rest = reader_.take_body_part();
  reader_.take();
  owner_->on_finished(*this, std::move(rest));
}
void UpstreamConnection::report_cut() {
  tcp_.close();
  owner_->on_cut(*this);
}
void UpstreamConnection::report_nonsense() { report(Outcome::Failed); }
void UpstreamConnection::report_unsent() { report(outcome_of_disconnect(false)); }
void UpstreamConnection::report_reset() {
  // Sooner than a connection may take to come up, on one that was kept: it was dropped while it stood idle.
  bool dropped = kept_ && !answering_ && loop_.now() - sent_ < timeout_;
  report(dropped ? Outcome::Stale : outcome_of_disconnect(true));
}
void UpstreamConnection::report_not_up() {
  owner_->on_attempt_ended(*this, outcome_of_disconnect(false), HttpMessage(loop_.pool()));
}
void UpstreamConnection::report_risen() {
  idle_since_ = loop_.now();
  owner_->on_risen(*this);
}
void UpstreamConnection::report_idle_end() {
  tcp_.close();
  owner_->on_idle_end(*this);
}

void UpstreamConnection::report(Outcome outcome) {
  tcp_.close();
  owner_->on_attempt_ended(*this, outcome, HttpMessage(loop_.pool()));
}

}  // namespace puffinvane
