#include "src/proxy/downstream_connection.h"

#include <utility>

#include "src/http/chunked_end.h"

namespace puffinvane {

namespace {
// Seconds without input from the client after which a lingering connection is closed.
constexpr double kLingerTimeout = 1;
// Seconds for which a lingering connection goes on reading and discarding input. Closing while input is
// unread would reset the connection, and the client would never see the response.
constexpr double kMaxLinger = 5.5;
// Seconds that a new connection may send nothing at all, and that a request body may pause.
constexpr double kSilenceTimeout = 2.2;
// Seconds for the head of a request. Clients may take two; one that stops in between has to get its 408
// within three, even if this process stalls for a while.
constexpr double kHeadTimeout = 2.35;
// Bytes per second that an upload has to reach: half of what clients promise.
constexpr double kMinUploadRate = 32 * 1024;
// Seconds without any progress of a streamed response. Long, because the kernel buffers megabytes and a slow
// client may read from them for a while before more can be written.
constexpr double kStreamStallTimeout = 60;
// Seconds, beyond the longest client timeout, for which a client may read nothing of a response. Closing
// sooner would lose it.
constexpr double kUnreadResponseGrace = 4;
// Seconds after the accept within which everything read is taken to have arrived before the accept.
constexpr double kAcceptReadWindow = 0.05;
// Bytes of pipelined requests that are buffered while a request is in flight.
constexpr std::size_t kMaxPipelined = BufferPool::kSize;
// The same while looking for the end of the stream behind the pipelined input. This much is read only when an
// attempt is about to start, and less while buffers are scarce.
constexpr std::size_t kMaxReadAhead = 16 * BufferPool::kSize;
// Bytes of a request's head that are received even while memory is short, so that small requests are rejected
// rather than left unread.
constexpr std::size_t kMaxHeadWhileShort = 4 * 1024;
// Bytes at the end of an unread body in chunks that are looked at. A longer trailer is taken for the end.
constexpr std::size_t kBodyTailBytes = 256;
}  // namespace

const Transition<DownstreamConnection, DownstreamConnection::State, DownstreamConnection::Input>
    DownstreamConnection::kTransitions[] = {
        {State::ReadingRequest, Input::UploadStarted, State::Uploading,
         &DownstreamConnection::dispatch_upload},
        {State::Uploading, Input::RequestComplete, State::AwaitingResponse,
         &DownstreamConnection::finish_upload},
        {State::Uploading, Input::ParseError, State::WritingLastResponse,
         &DownstreamConnection::abandon_upload},
        {State::Uploading, Input::TimedOut, State::Closed, &DownstreamConnection::close_now},
        {State::Uploading, Input::ResponseComplete, State::WritingLastResponse,
         &DownstreamConnection::do_nothing},
        {State::Uploading, Input::LastResponseComplete, State::WritingLastResponse,
         &DownstreamConnection::do_nothing},
        {State::Uploading, Input::Ended, State::Closed, &DownstreamConnection::close_now},
        {State::AwaitingResponse, Input::ResponseStarted, State::StreamingResponse,
         &DownstreamConnection::do_nothing},
        {State::StreamingResponse, Input::Written, State::StreamingResponse,
         &DownstreamConnection::on_stream_written},
        {State::StreamingResponse, Input::ResponseComplete, State::WritingResponse,
         &DownstreamConnection::do_nothing},
        {State::StreamingResponse, Input::LastResponseComplete, State::WritingLastResponse,
         &DownstreamConnection::do_nothing},
        {State::StreamingResponse, Input::Aborted, State::Closed, &DownstreamConnection::reset_now},
        {State::StreamingResponse, Input::Ended, State::Closed, &DownstreamConnection::close_now},
        {State::ReadingRequest, Input::RequestComplete, State::AwaitingResponse,
         &DownstreamConnection::dispatch_request},
        {State::ReadingRequest, Input::ParseError, State::WritingLastResponse,
         &DownstreamConnection::respond_with_error},
        {State::ReadingRequest, Input::TimedOut, State::WritingLastResponse,
         &DownstreamConnection::respond_with_error},
        {State::ReadingRequest, Input::Rejected, State::WritingLastResponse,
         &DownstreamConnection::respond_unavailable},
        {State::ReadingRequest, Input::CloseRequested, State::Lingering,
         &DownstreamConnection::start_lingering},
        {State::ReadingRequest, Input::Ended, State::Closed, &DownstreamConnection::close_now},
        {State::AwaitingResponse, Input::ResponseComplete, State::WritingResponse,
         &DownstreamConnection::do_nothing},
        {State::AwaitingResponse, Input::LastResponseComplete, State::WritingLastResponse,
         &DownstreamConnection::do_nothing},
        {State::AwaitingResponse, Input::Ended, State::Closed, &DownstreamConnection::close_now},
        {State::WritingResponse, Input::Written, State::ReadingRequest,
         &DownstreamConnection::read_next_request},
        {State::WritingResponse, Input::Ended, State::Closed, &DownstreamConnection::close_now},
        {State::WritingLastResponse, Input::Written, State::Lingering,
         &DownstreamConnection::start_lingering},
        {State::WritingLastResponse, Input::Ended, State::Closed, &DownstreamConnection::close_now},
        {State::Lingering, Input::Ended, State::Closed, &DownstreamConnection::close_now},
};

DownstreamConnection::DownstreamConnection(Loop& loop, Owner& owner, Ref<GSocket> socket, int listener,
                                           double waited, std::size_t max_body, std::size_t max_streamed,
                                           bool has_sent_request)
    : loop_(loop),
      owner_(owner),
      tcp_(loop, *this),
      reader_(HttpReader::Side::Request, loop.pool(), max_body, max_streamed),
      unread_(loop.pool()),
      has_sent_request_(has_sent_request),
      listener_(listener),
      last_progress_(loop.now()),
      last_received_(last_progress_),
      arrived_at_(last_progress_ - waited) {
  // The end of the client's stream matters in every state, even while pipelined input is left unread.
  tcp_.report_end_while_paused();
  tcp_.deliver_after_close();
  tcp_.adopt(std::move(socket));
}

void DownstreamConnection::apply(Input input) { apply_transition(kTransitions, *this, state_, input); }

void DownstreamConnection::check_timeouts(double now) {
  if (state_ == State::ReadingRequest || state_ == State::Uploading) {
    check_body_arrival(now);
    enforce_request_timeout(now);
  } else if (state_ == State::StreamingResponse) {
    check_delivery(now);
    if (now - last_progress_ > kStreamStallTimeout) apply(Input::Ended);
  } else if (state_ == State::Lingering) {
    if (now - last_received_ > kLingerTimeout || now - last_progress_ > kMaxLinger) apply(Input::Ended);
  } else if (state_ == State::WritingResponse || state_ == State::WritingLastResponse) {
    check_delivery(now);
    if (now - last_progress_ > owner_.longest_client_timeout() + kUnreadResponseGrace) apply(Input::Ended);
  }
}

// A slow client makes progress long before the last byte can be written: the system takes more only once a
// part of its send buffer is free, which may hold megabytes.
void DownstreamConnection::check_delivery(double now) {
  const std::uint64_t delivered_bytes = tcp_.delivered_bytes();
  if (delivered_bytes != delivered_bytes_) last_progress_ = now;
  delivered_bytes_ = delivered_bytes;
}

// Does nothing while input is unread: it may contain the rest of the request.
void DownstreamConnection::enforce_request_timeout(double now) {
  const bool is_overdue =
      reader_.started() ? is_too_slow(now) : !has_sent_request_ && now - last_progress_ > kSilenceTimeout;
  if (is_overdue && has_no_unread_input()) apply(reader_.started() ? Input::TimedOut : Input::CloseRequested);
}

// A pause alone is not enough: a client that sends a byte now and then would hold its connection forever, so
// the average rate counts as well.
bool DownstreamConnection::is_too_slow(double now) const {
  if (!reader_.in_body()) return now - last_progress_ > kHeadTimeout;
  if (!tcp_.is_reading()) return false;  // this side has paused the upload
  return now - last_received_ > kSilenceTimeout ||
         now - last_progress_ >
             kHeadTimeout + kSilenceTimeout + double(reader_.body_bytes_received()) / kMinUploadRate;
}

// While memory is short nothing is received that would need more of it.
std::size_t DownstreamConnection::receive_limit() const {
  const bool is_discarded = state_ == State::Lingering || state_ == State::WritingLastResponse;
  const bool is_short = owner_.saves_memory() && loop_.pool().pressure() >= BufferPool::Pressure::Short;
  if (is_discarded || !is_short) return BufferPool::kSize;
  if (reader_.in_body()) return 0;
  return kMaxHeadWhileShort - std::min(kMaxHeadWhileShort, held_input_bytes());
}

void DownstreamConnection::on_received(std::string_view bytes) {
  last_received_ = loop_.now();
  if (state_ == State::Lingering || state_ == State::WritingLastResponse) return;
  // The head timeout runs from the first byte of a request and is not extended by later bytes: a client that
  // sends a byte now and then would hold its connection forever. On a new connection it runs from the accept,
  // so that waiting before the first byte gains no time.
  if (state_ == State::ReadingRequest && has_sent_request_ && !reader_.started())
    last_progress_ = loop_.now();
  update_arrival_time();
  unread_.add(bytes);
  if (unread_.size() > kMaxPipelined && state_ != State::ReadingRequest && state_ != State::Uploading) {
    tcp_.set_reading(false);
    read_ahead_full_ = true;
  }
  parse_input();
  // Also checked here: check_timeouts always finds unread input of a client that keeps sending.
  if (state_ == State::ReadingRequest || state_ == State::Uploading) enforce_request_timeout(last_received_);
}

// Bytes read right after the accept had been queued at the listener. Bytes behind a request in flight arrived
// at some time since the first of them; the exact time is unknown, so the earliest is kept.
void DownstreamConnection::update_arrival_time() {
  bool is_newly_accepted =
      !has_sent_request_ && !reader_.started() && loop_.now() - last_progress_ < kAcceptReadWindow;
  bool is_behind_request = !unread_.empty() || std::exchange(read_ahead_full_, false);
  if (!is_newly_accepted && !is_behind_request) arrived_at_ = loop_.now() - loop_.stall_duration();
}

// Whether the client may have written the last byte of the body, though it is unread. Input that is left
// unread keeps what follows on the client's machine, as far as that can hold it. Without a declared length
// only the end of the unread input tells. While nothing of the request has been sent, it can be rejected
// without harm if the guess is wrong.
bool DownstreamConnection::body_may_have_arrived() const {
  if (const std::optional<std::size_t> length = reader_.content_length()) {
    const bool is_unread = tcp_.unread_bytes() > 0;
    return is_unread ? upload_may_be_written_whole()
                     : reader_.body_bytes_received() + unread_.size() >= *length;
  }
  const bool is_waiting = state_ == State::Uploading && open_request &&
                          open_request->owner->is_waiting_for_endpoint(open_request->id);
  if (is_waiting && tcp_.unread_bytes() > 0) return true;
  const std::optional<std::string> tail = tcp_.unread_tail(kBodyTailBytes);
  return !tail || may_end_chunked_message(*tail);
}

bool DownstreamConnection::upload_may_be_written_whole() const {
  const std::optional<std::size_t> length = reader_.content_length();
  if (!length) return true;
  const std::size_t seen_bytes = reader_.body_bytes_received() + unread_.size() + tcp_.unread_bytes();
  return seen_bytes + kMaxClientSendBuffer >= *length;
}

// The client's timeout runs from the arrival of the last byte, which this side may leave unread for long: it
// reads no more of a body than it can pass on.
void DownstreamConnection::check_body_arrival(double now) {
  if (!reader_.in_body()) return;
  std::optional<double> arrived_after;
  if (body_may_have_arrived()) {
    arrived_after = body_incomplete_at_;
  } else {
    body_incomplete_at_ = now;
  }
  if (arrived_after == body_arrived_after_) return;
  body_arrived_after_ = arrived_after;
  if (state_ == State::Uploading && open_request)
    open_request->owner->on_body_arrival(open_request->id, arrived_after);
}

bool DownstreamConnection::check_client_closed() {
  if (state_ == State::AwaitingResponse) read_ahead();
  return tcp_.has_ended();
}

void DownstreamConnection::read_ahead() {
  const bool is_scarce = loop_.pool().pressure() >= BufferPool::Pressure::Scarce;
  const std::size_t limit = is_scarce ? kMaxPipelined : kMaxReadAhead;
  while (unread_.size() < limit && tcp_.input_may_hide_end()) {
    update_arrival_time();
    if (!tcp_.read_into(unread_)) return;
  }
}

void DownstreamConnection::parse_input() {
  while ((state_ == State::ReadingRequest || state_ == State::Uploading) && !unread_.empty()) {
    if (!reader_.in_body()) {
      body_incomplete_at_ = arrived_at_;
      body_arrived_after_.reset();
    }
    unread_.drop(reader_.feed(unread_.front()));
    if (is_reading_deferred_) resume_reading_if_drained();
    if (reader_.fault() != HttpReader::Fault::None) return apply(Input::ParseError);
    if (reader_.is_complete()) return apply(Input::RequestComplete);
    if (state_ == State::Uploading) {
      if (open_request && reader_.in_body())
        open_request->owner->on_body_part(open_request->id, reader_.take_body_part(), false);
      continue;
    }
    if (reader_.is_streaming() && reader_.in_body() &&
        reader_.body_bytes_received() > owner_.max_buffered_body()) {
      apply(Input::UploadStarted);
      continue;
    }
    if (reader_.in_body() && reader_.message().expects_continue && !std::exchange(continue_sent_, true)) {
      BufferChain out(loop_.pool());
      out.add("HTTP/1.1 100 Continue\r\n\r\n");
      tcp_.send(std::move(out));
    }
  }
  // The connection was kept open for input that followed the last request, and that was no request.
  if (closes_after_response_ && is_idle()) close_gracefully();
}

void DownstreamConnection::dispatch_upload() {
  HttpMessage message = reader_.take_head();
  keep_alive_ = message.keep_alive;
  is_head_request_ = false;
  is_http_1_0_ = message.is_http_1_0;
  has_sent_request_ = true;
  owner_.on_request(*this, std::move(message));
}

void DownstreamConnection::pause_reading(bool on) {
  double now = loop_.now();
  if (on && tcp_.is_reading()) paused_since_ = now;
  if (!on && !tcp_.is_reading()) {
    // The pause was made by this side and does not count against the client.
    last_progress_ += now - paused_since_;
    last_received_ = now;
  }
  tcp_.set_reading(!on);
}

void DownstreamConnection::finish_upload() {
  continue_sent_ = false;
  BufferChain rest = reader_.take_body_part();
  reader_.take();
  if (open_request) open_request->owner->on_body_part(open_request->id, std::move(rest), true);
}

void DownstreamConnection::begin_response(const HttpMessage& from, std::optional<std::size_t> size) {
  if (state_ != State::AwaitingResponse) return;
  chunks_response_ = !size && !is_http_1_0_;
  bool client_is_done = !keep_alive_;
  keep_alive_ = keep_alive_ && (size || chunks_response_) && !may_be_last_response(false);
  if (!keep_alive_) stop_reading_requests(client_is_done);
  BufferChain out(loop_.pool());
  write_response_head(out, from, {size, !chunks_response_}, !keep_alive_);
  last_progress_ = loop_.now();
  apply(Input::ResponseStarted);
  tcp_.send(std::move(out));
}

void DownstreamConnection::send_body_part(BufferChain bytes) {
  if (state_ != State::StreamingResponse || bytes.empty()) return;
  BufferChain out(loop_.pool());
  if (chunks_response_) {
    write_chunk(out, bytes);
  } else {
    out = std::move(bytes);
  }
  last_progress_ = loop_.now();
  tcp_.send(std::move(out));
}

void DownstreamConnection::end_response() {
  if (state_ != State::StreamingResponse) return;
  last_progress_ = loop_.now();
  apply(keep_alive_ ? Input::ResponseComplete : Input::LastResponseComplete);
  BufferChain out(loop_.pool());
  if (chunks_response_) write_last_chunk(out);
  tcp_.send(std::move(out));
  if (tcp_.is_all_written()) apply(Input::Written);
}

void DownstreamConnection::on_stream_written() {
  last_progress_ = loop_.now();
  if (open_request) open_request->owner->on_response_drained(open_request->id);
}

void DownstreamConnection::dispatch_request() {
  HttpMessage message = reader_.take();
  is_http_1_0_ = message.is_http_1_0;
  keep_alive_ = message.keep_alive;
  is_head_request_ = message.method == "HEAD";
  continue_sent_ = false;
  has_sent_request_ = true;
  owner_.on_request(*this, std::move(message));
}

// The rest of the request cannot be read any more: cancels the attempts that already stream it.
void DownstreamConnection::abandon_upload() {
  if (std::optional<OpenRequest> abandoned = std::exchange(open_request, {}))
    abandoned->owner->on_client_disconnected(abandoned->id);
  respond_with_error();
}

void DownstreamConnection::respond_with_error() {
  int status = reader_.fault() == HttpReader::Fault::HeadTooLarge   ? 431
               : reader_.fault() == HttpReader::Fault::BodyTooLarge ? 413
               : reader_.fault() == HttpReader::Fault::Malformed    ? 400
                                                                    : 408;
  end_unread_request(status, "this request can't be read\n");
}

void DownstreamConnection::respond_unavailable() { end_unread_request(503, "rejected: retrying is safe\n"); }

// Responds to a request that is not read to its end, and discards what has been and will be read.
void DownstreamConnection::end_unread_request(int status, std::string_view text) {
  last_progress_ = loop_.now();
  discards_input_ = true;
  unread_.clear();
  reader_.take();
  BufferChain out(loop_.pool());
  write_response(out, status, nullptr, "", text, true);
  tcp_.send(std::move(out));
  if (tcp_.is_all_written()) apply(Input::Written);
}

void DownstreamConnection::respond(int status, const HttpMessage* from, std::string_view more_headers,
                                   std::string_view text, bool last) {
  if (state_ != State::AwaitingResponse && state_ != State::Uploading) return;
  const bool client_is_done = state_ == State::Uploading || !keep_alive_;
  last = client_is_done || may_be_last_response(last);
  if (last) stop_reading_requests(client_is_done);
  BufferChain out(loop_.pool());
  write_response(out, status, from, more_headers, text, last, is_head_request_);
  last_progress_ = loop_.now();
  apply(last ? Input::LastResponseComplete : Input::ResponseComplete);
  tcp_.send(std::move(out));
  if (tcp_.is_all_written()) apply(Input::Written);
}

void DownstreamConnection::read_next_request() {
  resume_reading_if_drained();
  // Posted to the loop: otherwise each of many pipelined requests would be handled one call deeper in the
  // stack.
  if (!unread_.empty()) loop_.post(alive_.guard([this] { parse_input(); }));
}

// With each response more would be read than the next request takes off otherwise, and the pipelined input
// of one client would use up the memory.
void DownstreamConnection::resume_reading_if_drained() {
  is_reading_deferred_ = unread_.size() > kMaxPipelined;
  if (is_reading_deferred_) {
    read_ahead_full_ = true;
  } else {
    tcp_.set_reading(true);
  }
}

// Whether this side may close after the current response. Not while pipelined input is pending: it has been
// received already, and closing would lose the requests in it.
bool DownstreamConnection::may_be_last_response(bool last) const {
  bool has_more_input = !unread_.empty() || !has_no_unread_input();
  return (last || closes_after_response_ || owner_.closes_after_response()) && !has_more_input;
}

// client_is_done: the client announced that it sends no more requests, or it is within a request whose rest
// is not wanted; further input is read and discarded. Otherwise further input is a request that crosses the
// close: it stays unread, and the client can send it again on another connection.
void DownstreamConnection::stop_reading_requests(bool client_is_done) {
  discards_input_ = client_is_done;
  is_reading_deferred_ = false;
  if (!discards_input_) tcp_.set_reading(false);
}

void DownstreamConnection::start_lingering() {
  tcp_.shutdown_write();
  last_progress_ = loop_.now();
  last_received_ = last_progress_;
  // Closing while input is unread would reset the connection, and the response would be lost.
  if (discards_input_) tcp_.read_in_bulk();
  tcp_.set_reading(discards_input_);
}

// A reset tells the client that the response is incomplete, even where neither a Content-Length nor chunked
// encoding would show it.
void DownstreamConnection::reset_now() {
  tcp_.reset();
  owner_.on_closed(*this);
}

void DownstreamConnection::close_now() {
  tcp_.close();
  owner_.on_closed(*this);
}

}  // namespace puffinvane
