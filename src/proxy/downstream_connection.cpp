#include "src/proxy/downstream_connection.h"

#include <utility>

namespace puffinvane {

namespace {
constexpr double kLinger = 1;  // seconds that a client may say nothing in after its last answer
// For how long what it goes on sending is read: closed on unread bytes, it would never see that answer.
constexpr double kLongestLinger = 5.5;
// Seconds that a connection on which nothing was ever sent may stand, and a body that makes a pause.
constexpr double kHalf = 2.2;
// Half a head: some take two by right, and a client that stops there has to know within three, also where
// this process is held up for a while.
constexpr double kHalfHead = 2.35;
constexpr double kPace = 32 * 1024;  // bytes a second that a body has to make: half of what clients promise
constexpr double kUnreadPart = 60;   // an answer of which nothing more goes out: the system holds megabytes
// An answer that is not read, beyond the longest time that a client may have for it: cut sooner, it would be
// lost.
constexpr double kUnread = 4;
constexpr double kRead = 0.05;                     // seconds after it entered: what had come by then is read
constexpr std::size_t kAhead = BufferPool::kSize;  // of requests sent before the one in hand is answered
// The same where an end may lie behind it: read only when an attempt is about to begin, and less where
// buffers are scarce.
constexpr std::size_t kMostAhead = 16 * BufferPool::kSize;
}  // namespace

const Transition<DownstreamConnection, DownstreamConnection::State, DownstreamConnection::Input>
    DownstreamConnection::kRows[] = {
        {State::Reading, Input::Begun, State::Uploading, &DownstreamConnection::begin},
        {State::Uploading, Input::Request, State::Waiting, &DownstreamConnection::hand_over_rest},
        {State::Uploading, Input::Fault, State::Parting, &DownstreamConnection::refuse_rest},
        {State::Uploading, Input::Late, State::Over, &DownstreamConnection::leave},
        {State::Uploading, Input::Answer, State::Parting, &DownstreamConnection::nothing},
        {State::Uploading, Input::LastAnswer, State::Parting, &DownstreamConnection::nothing},
        {State::Uploading, Input::Ended, State::Over, &DownstreamConnection::leave},
        {State::Waiting, Input::Relay, State::Relaying, &DownstreamConnection::nothing},
        {State::Relaying, Input::Written, State::Relaying, &DownstreamConnection::drained},
        {State::Relaying, Input::Answer, State::Answering, &DownstreamConnection::nothing},
        {State::Relaying, Input::LastAnswer, State::Parting, &DownstreamConnection::nothing},
        {State::Relaying, Input::Cut, State::Over, &DownstreamConnection::leave_cut},
        {State::Relaying, Input::Ended, State::Over, &DownstreamConnection::leave},
        {State::Reading, Input::Request, State::Waiting, &DownstreamConnection::hand_over},
        {State::Reading, Input::Fault, State::Parting, &DownstreamConnection::refuse},
        {State::Reading, Input::Late, State::Parting, &DownstreamConnection::refuse},
        {State::Reading, Input::Drop, State::Lingering, &DownstreamConnection::linger},
        {State::Reading, Input::Ended, State::Over, &DownstreamConnection::leave},
        {State::Waiting, Input::Answer, State::Answering, &DownstreamConnection::nothing},
        {State::Waiting, Input::LastAnswer, State::Parting, &DownstreamConnection::nothing},
        {State::Waiting, Input::Ended, State::Over, &DownstreamConnection::leave},
        {State::Answering, Input::Written, State::Reading, &DownstreamConnection::read_on},
        {State::Answering, Input::Ended, State::Over, &DownstreamConnection::leave},
        {State::Parting, Input::Written, State::Lingering, &DownstreamConnection::linger},
        {State::Parting, Input::Ended, State::Over, &DownstreamConnection::leave},
        {State::Lingering, Input::Ended, State::Over, &DownstreamConnection::leave},
};

DownstreamConnection::DownstreamConnection(Loop& loop, Owner& owner, Ref<GSocket> socket, int listener,
                                           double waited, std::size_t most_body, std::size_t most_streamed,
                                           bool asked)
    : loop_(loop),
      owner_(owner),
      tcp_(loop, *this),
      reader_(HttpReader::Side::Request, loop.pool(), most_body, most_streamed),
      unread_(loop.pool()),
      asked_(asked),
      listener_(listener),
      used_(loop.now()),
      heard_(used_),
      came_(used_ - waited) {
  tcp_.report_end_while_paused();  // its leaving counts in every state, also while what it sends ahead is
                                   // left unread
  tcp_.deliver_after_close();
  tcp_.adopt(std::move(socket));
}

void DownstreamConnection::turn(Input input) { apply_transition(kRows, *this, state_, input); }

void DownstreamConnection::check_timeouts(double now) {
  if (state_ == State::Reading || state_ == State::Uploading) {
    end_if_overdue(now);
  } else if (state_ == State::Relaying) {
    if (now - used_ > kUnreadPart) turn(Input::Ended);
  } else if (state_ == State::Lingering) {
    if (now - heard_ > kLinger || now - used_ > kLongestLinger) turn(Input::Ended);
  } else if (state_ == State::Answering || state_ == State::Parting) {
    if (now - used_ > owner_.longest_client_timeout() + kUnread) turn(Input::Ended);
  }
}

// What lies unread is read first: it may be the rest of the request.
void DownstreamConnection::end_if_overdue(double now) {
  const bool is_overdue = reader_.started() ? slow(now) : !asked_ && now - used_ > kHalf;
  if (is_overdue && has_no_unread_input()) turn(reader_.started() ? Input::Late : Input::Drop);
}

// By its pace, not by its start alone: a byte now and then would else hold its place for ever.
bool DownstreamConnection::slow(double now) const {
  if (!reader_.in_body()) return now - used_ > kHalfHead;
  if (!tcp_.is_reading()) return false;  // it is we who don't read
  return now - heard_ > kHalf ||
         now - used_ > kHalfHead + kHalf + double(reader_.body_bytes_received()) / kPace;
}

void DownstreamConnection::on_received(std::string_view bytes) {
  heard_ = loop_.now();
  if (state_ == State::Lingering || state_ == State::Parting) return;
  // From its first byte: one that sends a byte now and then would else hold its place for ever. On a new
  // connection from its start, as one that waits and then sends half a request is owed no more time.
  if (state_ == State::Reading && asked_ && !reader_.started()) used_ = loop_.now();
  note_arrival();
  unread_.add(bytes);
  if (unread_.size() > kAhead && state_ != State::Reading && state_ != State::Uploading) {
    tcp_.set_reading(false);
    paused_ = true;
  }
  take_in();
  // Here too: of a client that sends all the time something lies unread whenever it is looked at.
  if (state_ == State::Reading || state_ == State::Uploading) end_if_overdue(heard_);
}

// What is read as soon as it has entered lay at the listener. What lies behind a request in hand came when
// the first of it did, or later: that is not told apart.
void DownstreamConnection::note_arrival() {
  bool entered = !asked_ && !reader_.started() && loop_.now() - used_ < kRead;
  bool behind = !unread_.empty() || std::exchange(paused_, false);
  if (!entered && !behind) came_ = loop_.now() - loop_.stall_duration();
}

bool DownstreamConnection::check_client_closed() {
  if (state_ == State::Waiting) read_ahead();
  return tcp_.has_ended();
}

void DownstreamConnection::read_ahead() {
  const std::size_t most = std::min(kMostAhead, owner_.max_buffered_body());
  while (unread_.size() < most && tcp_.input_may_hide_end()) {
    note_arrival();
    if (!tcp_.read_into(unread_)) return;
  }
}

void DownstreamConnection::take_in() {
  while ((state_ == State::Reading || state_ == State::Uploading) && !unread_.empty()) {
    unread_.drop(reader_.feed(unread_.front()));
    if (reader_.fault() != HttpReader::Fault::None) return turn(Input::Fault);
    if (reader_.is_complete()) return turn(Input::Request);
    if (state_ == State::Uploading) {
      if (open_request && reader_.in_body())
        open_request->owner->on_body_part(open_request->id, reader_.take_body_part(), false);
      continue;
    }
    if (reader_.is_streaming() && reader_.in_body() &&
        reader_.body_bytes_received() > owner_.max_buffered_body()) {
      turn(Input::Begun);
      continue;
    }
    if (reader_.in_body() && reader_.message().expects_continue && !std::exchange(continued_, true)) {
      BufferChain out(loop_.pool());
      out.add("HTTP/1.1 100 Continue\r\n\r\n");
      tcp_.send(std::move(out));
    }
  }
  if (parts_ && is_idle())
    close_gracefully();  // its last answer waited for what lay behind, and that was no request
}

void DownstreamConnection::begin() {
  HttpMessage message = reader_.take_head();
  keep_alive_ = message.keep_alive;
  to_head_ = false, old_ = message.old;
  asked_ = true;
  owner_.on_request(*this, std::move(message));
}

void DownstreamConnection::pause_reading(bool on) {
  double now = loop_.now();
  if (on && tcp_.is_reading()) held_since_ = now;
  if (!on && !tcp_.is_reading())
    used_ += now - held_since_, heard_ = now;  // it was not the client that paused
  tcp_.set_reading(!on);
}

void DownstreamConnection::hand_over_rest() {
  continued_ = false;
  BufferChain rest = reader_.take_body_part();
  reader_.take();
  if (open_request) open_request->owner->on_body_part(open_request->id, std::move(rest), true);
}

void DownstreamConnection::begin_response(const HttpMessage& from, std::optional<std::size_t> size) {
  if (state_ != State::Waiting) return;
  chunks_ = !size && !old_;
  bool its_own_word = !keep_alive_;
  keep_alive_ = keep_alive_ && (size || chunks_) && !ends_here(false);
  if (!keep_alive_) close_after(its_own_word);
  BufferChain out(loop_.pool());
  write_response_head(out, from, {size, !chunks_}, !keep_alive_);
  used_ = loop_.now();
  turn(Input::Relay);
  tcp_.send(std::move(out));
}

void DownstreamConnection::send_body_part(BufferChain bytes) {
  if (state_ != State::Relaying || bytes.empty()) return;
  BufferChain out(loop_.pool());
  chunks_ ? write_chunk(out, bytes) : void(out = std::move(bytes));
  used_ = loop_.now();
  tcp_.send(std::move(out));
}

void DownstreamConnection::end_response() {
  if (state_ != State::Relaying) return;
  used_ = loop_.now();
  turn(keep_alive_ ? Input::Answer : Input::LastAnswer);
  BufferChain out(loop_.pool());
  if (chunks_) write_last_chunk(out);
  tcp_.send(std::move(out));
  if (tcp_.is_all_written()) turn(Input::Written);
}

void DownstreamConnection::drained() {
  used_ = loop_.now();
  if (open_request) open_request->owner->on_response_drained(open_request->id);
}

void DownstreamConnection::hand_over() {
  HttpMessage message = reader_.take();
  old_ = message.old;
  keep_alive_ = message.keep_alive;
  to_head_ = message.method == "HEAD";
  continued_ = false, asked_ = true;
  owner_.on_request(*this, std::move(message));
}

// Its request can't become whole any more; what was sent on of it is given up.
void DownstreamConnection::refuse_rest() {
  if (std::optional<OpenRequest> given_up = std::exchange(open_request, {}))
    given_up->owner->on_client_disconnected(given_up->id);
  refuse();
}

void DownstreamConnection::refuse() {
  int status = reader_.fault() == HttpReader::Fault::HeadTooLarge   ? 431
               : reader_.fault() == HttpReader::Fault::BodyTooLarge ? 413
               : reader_.fault() == HttpReader::Fault::Malformed    ? 400
                                                                    : 408;
  used_ = loop_.now();
  reads_out_ = true;
  BufferChain out(loop_.pool());
  write_response(out, status, nullptr, "", "this request can't be read\n", true);
  tcp_.send(std::move(out));
  if (tcp_.is_all_written()) turn(Input::Written);
}

void DownstreamConnection::respond(int status, const HttpMessage* from, std::string_view more_headers,
                                   std::string_view text, bool last) {
  if (state_ != State::Waiting && state_ != State::Uploading) return;
  const bool its_own_word = state_ == State::Uploading || !keep_alive_;
  last = its_own_word || ends_here(last);
  if (last) close_after(its_own_word);
  BufferChain out(loop_.pool());
  write_response(out, status, from, more_headers, text, last, to_head_);
  used_ = loop_.now();
  turn(last ? Input::LastAnswer : Input::Answer);
  tcp_.send(std::move(out));
  if (tcp_.is_all_written()) turn(Input::Written);
}

void DownstreamConnection::read_on() {
  tcp_.set_reading(true);
  // Put off: each of many requests sent ahead would else be answered deeper within the call before.
  if (!unread_.empty()) loop_.post(alive_.guard([this] { take_in(); }));
}

// Whether the answer in hand is the last for our own reasons. What was sent behind its request has been
// taken: closed on, it would be lost.
bool DownstreamConnection::ends_here(bool asked_for) const {
  bool more_waits = !unread_.empty() || !has_no_unread_input();
  return (asked_for || parts_ || owner_.closes_after_response()) && !more_waits;
}

// its_own_word: the client said that it sends no more requests, or it is amid one that is read no further.
// Else what comes from here on crosses the end, and is left unread for it to send again elsewhere.
void DownstreamConnection::close_after(bool its_own_word) {
  reads_out_ = its_own_word;
  if (!reads_out_) tcp_.set_reading(false);
}

void DownstreamConnection::linger() {
  tcp_.shutdown_write();
  used_ = heard_ = loop_.now();
  // Closed at once with bytes still unread, the system would reset the connection and with it the answer.
  if (reads_out_) tcp_.read_in_bulk();
  tcp_.set_reading(reads_out_);
}

// Where neither a length nor chunks say so, only a reset tells the client that it has not got all.
void DownstreamConnection::leave_cut() {
  tcp_.reset();
  owner_.on_closed(*this);
}

void DownstreamConnection::leave() {
  tcp_.close();
  owner_.on_closed(*this);
}

}  // namespace puffinvane
