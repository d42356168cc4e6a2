#include "src/proxy/upstream_connection.h"

#include <algorithm>
#include <utility>

#include "src/http/headers.h"

namespace puffinvane {

namespace {
// Seconds without a byte in the middle of a response. An endpoint writes its response once its work is done,
// so one that stalls is lost, and the time until the client timeout is better spent on another attempt.
constexpr double kStallTimeout = 0.3;
// Seconds without a byte of a response that is being relayed already: another attempt can't replace it.
constexpr double kRelayStallTimeout = 5;
// Seconds for which an endpoint may take nothing of a request that is being written. Endpoints that hang go
// on after 24 s at most.
constexpr double kRequestStallTimeout = 30;
constexpr double kRequestCheckInterval = 1;  // seconds
// Seconds for which a connection that this machine lacks a resource for is retried, before the request is
// tried elsewhere; and the first pause between two tries, which doubles each time.
constexpr double kLocalRetryPeriod = 0.05;
constexpr double kFirstRetryPause = 0.002;
// Seconds after which a response without a declared length is relayed: it may be a long one that arrives
// slowly.
constexpr double kMaxBufferingTime = 0.15;
}  // namespace

// A response may arrive before the request is written whole. It counts, but the rest of the request can't be
// taken back, so the connection is closed.
const Transition<UpstreamConnection, UpstreamConnection::State, UpstreamConnection::Input>
    UpstreamConnection::kTransitions[] = {
        {State::Connecting, Input::Connected, State::Ready, &UpstreamConnection::send_request},
        {State::Connecting, Input::ConnectedLate, State::Closed, &UpstreamConnection::report_not_sent},
        {State::Connecting, Input::LocalShortage, State::Closed, &UpstreamConnection::report_not_sent},
        {State::Connecting, Input::ConnectionEnded, State::Closed,
         &UpstreamConnection::report_lost_before_sent},
        {State::Connecting, Input::ConnectTimedOut, State::ConnectingSpare,
         &UpstreamConnection::report_connect_timeout},
        {State::Connecting, Input::AttemptWithdrawn, State::ConnectingSpare, &UpstreamConnection::no_action},
        {State::ConnectingSpare, Input::Connected, State::Idle, &UpstreamConnection::report_spare_connected},
        {State::ConnectingSpare, Input::ConnectedLate, State::Idle,
         &UpstreamConnection::report_spare_connected},
        {State::ConnectingSpare, Input::ConnectionEnded, State::Closed,
         &UpstreamConnection::report_unused_closed},
        {State::ConnectingSpare, Input::LocalShortage, State::Closed,
         &UpstreamConnection::report_unused_closed},
        {State::ConnectingSpare, Input::SpareTimedOut, State::Closed,
         &UpstreamConnection::report_unused_closed},
        {State::Idle, Input::AttemptAssigned, State::Ready, &UpstreamConnection::send_request},
        {State::Idle, Input::ConnectionEnded, State::Closed, &UpstreamConnection::report_unused_closed},
        {State::Idle, Input::InvalidResponse, State::Closed, &UpstreamConnection::report_unused_closed},
        {State::Ready, Input::SendingGranted, State::Sending, &UpstreamConnection::no_action},
        {State::Ready, Input::SendingRefused, State::Withheld, &UpstreamConnection::no_action},
        {State::Ready, Input::InvalidResponse, State::Closed, &UpstreamConnection::report_lost_before_sent},
        {State::Ready, Input::ConnectionEnded, State::Closed, &UpstreamConnection::report_lost_before_sent},
        {State::Sending, Input::SendingRefused, State::Withheld, &UpstreamConnection::no_action},
        {State::Withheld, Input::ConnectionEnded, State::Closed,
         &UpstreamConnection::report_lost_before_sent},
        {State::Sending, Input::RequestWritten, State::AwaitingResponse,
         &UpstreamConnection::report_request_sent},
        {State::Sending, Input::RequestStalled, State::Closed, &UpstreamConnection::report_lost_before_sent},
        {State::Sending, Input::Response, State::Closed, &UpstreamConnection::report_response},
        {State::Sending, Input::LastResponse, State::Closed, &UpstreamConnection::report_response},
        {State::Sending, Input::InvalidResponse, State::Closed, &UpstreamConnection::report_invalid_response},
        {State::Sending, Input::ConnectionEnded, State::Closed, &UpstreamConnection::report_lost_before_sent},
        {State::AwaitingResponse, Input::Response, State::Idle, &UpstreamConnection::report_response},
        {State::AwaitingResponse, Input::LastResponse, State::Closed, &UpstreamConnection::report_response},
        {State::AwaitingResponse, Input::InvalidResponse, State::Closed,
         &UpstreamConnection::report_invalid_response},
        {State::AwaitingResponse, Input::ResponseStalled, State::Closed,
         &UpstreamConnection::report_invalid_response},
        {State::AwaitingResponse, Input::ConnectionEnded, State::Closed,
         &UpstreamConnection::report_lost_after_sent},
        {State::AwaitingResponse, Input::ResponseStarted, State::Relaying,
         &UpstreamConnection::report_response_started},
        {State::Relaying, Input::Response, State::Idle, &UpstreamConnection::report_response_finished},
        {State::Relaying, Input::LastResponse, State::Closed, &UpstreamConnection::report_response_finished},
        {State::Relaying, Input::InvalidResponse, State::Closed,
         &UpstreamConnection::report_response_aborted},
        {State::Relaying, Input::ResponseStalled, State::Closed,
         &UpstreamConnection::report_response_aborted},
        {State::Relaying, Input::ConnectionEnded, State::Closed,
         &UpstreamConnection::report_response_aborted},
};

UpstreamConnection::UpstreamConnection(Loop& loop, Owner& owner, std::string endpoint,
                                       std::size_t max_body_bytes, bool streams_response)
    : loop_(loop),
      owner_(&owner),
      endpoint_(std::move(endpoint)),
      tcp_(loop, *this),
      reader_(HttpReader::Side::Response, loop.pool(), max_body_bytes,
              streams_response ? HttpReader::kMaxStreamedBodyBytes : 0) {}

void UpstreamConnection::handle(Input input) { apply_transition(kTransitions, *this, state_, input); }

bool UpstreamConnection::connect(std::string_view address, double timeout_s) {
  address_ = address;
  TcpConnection::ConnectStart started = tcp_.connect(address);
  if (started == TcpConnection::ConnectStart::Refused) return false;
  if (started == TcpConnection::ConnectStart::LocalShortage)
    retry_connect(std::string(address), kFirstRetryPause,
                  loop_.now() + std::min(timeout_s, kLocalRetryPeriod));
  connect_timeout_s_ = timeout_s;
  connect_alarms_ = {loop_.at(loop_.now() + timeout_s, alive_.guard([this] {
                       handle(tcp_.socket() ? Input::ConnectTimedOut : Input::LocalShortage);
                     })),
                     loop_.at(loop_.now() + std::max(timeout_s, kMaxSpareConnectTime),
                              alive_.guard([this] { handle(Input::SpareTimedOut); }))};
  return true;
}

void UpstreamConnection::cancel_connect_alarms() {
  for (const AlarmId& alarm : connect_alarms_) loop_.cancel(alarm);
  connect_alarms_.clear();
}

void UpstreamConnection::retry_connect(const std::string& address, double pause_s, double retry_until) {
  loop_.at(loop_.now() + pause_s, alive_.guard([=, this] {
    if (state_ != State::Connecting && state_ != State::ConnectingSpare) return;
    TcpConnection::ConnectStart started = tcp_.connect(address);
    if (started == TcpConnection::ConnectStart::Refused) return handle(Input::ConnectionEnded);
    if (started != TcpConnection::ConnectStart::LocalShortage) return;
    if (loop_.now() >= retry_until) return handle(Input::LocalShortage);
    retry_connect(address, 2 * pause_s, retry_until);
  }));
}

void UpstreamConnection::assign_attempt(AttemptId attempt, bool is_head) {
  attempt_id_ = attempt;
  reader_.expect_no_body(is_head);
  reused_ = state_ == State::Idle;
  response_started_ = false;
  is_request_watched_ = false;
  assigned_at_ = loop_.now();
  handle(Input::AttemptAssigned);
}

// After a stall of this process the loop may find the connection established only once its timeout is due
// too. By then the endpoint may be draining, a Keyed request's idempotency window over or the client gone, so
// the attempt is reported as not sent and the policy decides again.
void UpstreamConnection::on_connected() {
  cancel_connect_alarms();
  handle(loop_.now() - assigned_at_ > connect_timeout_s_ ? Input::ConnectedLate : Input::Connected);
}

void UpstreamConnection::send_request() {
  AttemptStart start = owner_->on_ready_to_send(*this);
  switch (start.permission) {
    case SendPermission::NotYet: return;
    case SendPermission::Refused: return handle(Input::SendingRefused);
    case SendPermission::Granted: break;
  }
  handle(Input::SendingGranted);
  tcp_.send(std::move(start.bytes));
  send_more_body();
}

bool UpstreamConnection::ask_to_send_more() {
  if (owner_->may_send_more(*this)) return true;
  handle(Input::SendingRefused);
  return false;
}

bool UpstreamConnection::may_write() {
  if (state_ == State::Sending) return ask_to_send_more();
  return state_ != State::Withheld;
}

void UpstreamConnection::send_more_body() {
  if (state_ == State::Ready) return send_request();
  while (state_ == State::Sending && tcp_.is_all_written()) {
    bool complete = false;
    BufferChain next = owner_->on_body_wanted(*this, complete);
    if (next.empty()) return complete ? handle(Input::RequestWritten) : void();
    if (!ask_to_send_more()) return;
    tcp_.send(std::move(next));
  }
  if (state_ == State::Sending && !tcp_.is_all_written() && !is_request_watched_) start_watching_request();
}

void UpstreamConnection::start_watching_request() {
  is_request_watched_ = true;
  delivered_bytes_ = tcp_.delivered_bytes();
  last_delivery_at_ = loop_.now();
  watch_request(assigned_at_);
}

// Checks regularly whether the endpoint has stopped taking the request of the attempt that was assigned at
// `assigned_at`. While all that has come from the client is written, the endpoint isn't waited for.
void UpstreamConnection::watch_request(double assigned_at) {
  loop_.at(loop_.now() + kRequestCheckInterval, alive_.guard([this, assigned_at] {
    if (state_ != State::Sending || assigned_at_ != assigned_at) return;
    const std::uint64_t delivered_bytes = tcp_.delivered_bytes();
    if (delivered_bytes != delivered_bytes_ || tcp_.is_all_written()) last_delivery_at_ = loop_.now();
    delivered_bytes_ = delivered_bytes;
    if (loop_.now() - last_delivery_at_ >= kRequestStallTimeout) return handle(Input::RequestStalled);
    watch_request(assigned_at);
  }));
}

// Whether the response, of which a part has arrived, is or may become too long to be buffered whole.
bool UpstreamConnection::must_relay_response() const {
  if (!reader_.is_streaming() || !reader_.in_body()) return false;
  const bool is_scarce = loop_.pool().pressure() >= BufferPool::Pressure::Scarce;
  if (reader_.content_length())
    return *reader_.content_length() > (is_scarce ? BufferPool::kSize : HttpReader::kMaxBodyBytes);
  return reader_.body_bytes_received() > HttpReader::kMaxBodyBytes ||
         loop_.now() - response_started_at_ > kMaxBufferingTime;
}

std::size_t UpstreamConnection::receive_limit() const {
  return loop_.pool().pressure() < BufferPool::Pressure::Exhausted ? BufferPool::kSize : 0;
}

void UpstreamConnection::on_received(std::string_view bytes) {
  // There is no request to respond to.
  if (state_ == State::Idle || state_ == State::Ready) return handle(Input::InvalidResponse);
  last_byte_at_ = loop_.now();
  bool first = !std::exchange(response_started_, true);
  if (first) response_started_at_ = last_byte_at_;
  std::size_t used = reader_.feed(bytes);
  if (reader_.fault() != HttpReader::Fault::None) return handle(Input::InvalidResponse);
  if (!reader_.is_complete()) {
    if (first) watch_response(assigned_at_);  // most responses arrive whole at once and need no timer
    if (state_ == State::Relaying) {
      if (BufferChain part = reader_.take_body_part(); !part.empty()) {
        owner_->on_response_part(*this, std::move(part));
      }
    } else if (must_relay_response()) {
      // A long response is not relayed while the request is still being written, nor one that reports an
      // error: the attempt fails instead.
      if (state_ == State::Sending) return handle(Input::InvalidResponse);
      owner_->outcome_of(reader_.message()) == Outcome::Delivered ? handle(Input::ResponseStarted)
                                                                  : handle(Input::InvalidResponse);
    }
    return;
  }
  bool last = !reader_.message().keep_alive || used < bytes.size();
  handle(last ? Input::LastResponse : Input::Response);
}

RelayProgress UpstreamConnection::relay_progress(double deadline) const {
  RelayProgress progress;
  progress.declared_bytes = reader_.content_length();
  progress.received_bytes = reader_.body_bytes_received();
  progress.elapsed_s = loop_.now() - response_started_at_;
  progress.silent_s = silent_for();
  progress.overdue_s = loop_.now() - deadline;
  return progress;
}

// Checks regularly whether the response to the attempt that was assigned at `assigned_at` has stalled or has
// to be relayed.
void UpstreamConnection::watch_response(double assigned_at) {
  loop_.at(std::max(last_byte_at_ + kStallTimeout / 2, loop_.now() + kStallTimeout / 2),
           alive_.guard([this, assigned_at] {
             if (state_ == State::Idle || assigned_at_ != assigned_at) return;  // that response is complete
             // While reading is paused for a slow client, silence is not the endpoint's fault.
             if (!tcp_.is_reading()) last_byte_at_ = loop_.now();
             if (state_ == State::AwaitingResponse && must_relay_response() &&
                 owner_->outcome_of(reader_.message()) == Outcome::Delivered)
               handle(Input::ResponseStarted);
             const double timeout_s = state_ == State::Relaying ? kRelayStallTimeout : kStallTimeout;
             loop_.now() - last_byte_at_ >= timeout_s ? handle(Input::ResponseStalled)
                                                      : watch_response(assigned_at);
           }));
}

void UpstreamConnection::on_ended(TcpConnection::End end) {
  // A response without a declared length ends with its connection; after a reset it is incomplete.
  if (end == TcpConnection::End::Closed) reader_.end_of_input();
  if (end == TcpConnection::End::LocalShortage) return handle(Input::LocalShortage);
  handle(reader_.is_complete() ? Input::LastResponse : Input::ConnectionEnded);
}

void UpstreamConnection::report_response() {
  Outcome outcome = owner_->outcome_of(reader_.message());
  if (state_ == State::Closed) tcp_.close();
  idle_since_ = loop_.now();
  owner_->on_attempt_ended(*this, outcome, reader_.take());
}
void UpstreamConnection::report_response_started() {
  std::optional<std::size_t> length = reader_.content_length();
  owner_->on_response_started(*this, reader_.take_head(), length);
}
void UpstreamConnection::report_response_finished() {
  if (state_ == State::Closed) tcp_.close();
  idle_since_ = loop_.now();
  BufferChain rest = reader_.take_body_part();
  reader_.take();
  owner_->on_response_finished(*this, std::move(rest));
}
void UpstreamConnection::report_response_aborted() {
  tcp_.close();
  owner_->on_response_aborted(*this);
}
void UpstreamConnection::report_invalid_response() { close_and_report(Outcome::Failed); }
void UpstreamConnection::report_lost_before_sent() { close_and_report(outcome_of_disconnect(false)); }
void UpstreamConnection::report_lost_after_sent() {
  // A reused connection that breaks this soon and without a byte of the response was dropped while idle.
  bool was_stale = reused_ && !response_started_ && loop_.now() - assigned_at_ < connect_timeout_s_;
  close_and_report(was_stale ? Outcome::Stale : outcome_of_disconnect(true));
}
// The attempt ends here; the connection goes on connecting as a spare.
void UpstreamConnection::report_connect_timeout() {
  owner_->on_attempt_ended(*this, outcome_of_disconnect(false), HttpMessage(loop_.pool()));
}
void UpstreamConnection::report_spare_connected() {
  idle_since_ = loop_.now();
  owner_->on_spare_connected(*this);
}
void UpstreamConnection::report_unused_closed() {
  tcp_.close();
  owner_->on_unused_closed(*this);
}

// The system would go on sending what the endpoint has not taken yet after an ordinary close, however late
// that is, and the endpoint would run the request.
void UpstreamConnection::close_socket() {
  if (tcp_.is_all_delivered()) {
    tcp_.close();
  } else {
    tcp_.reset();
  }
}

void UpstreamConnection::close_and_report(Outcome outcome) {
  close_socket();
  owner_->on_attempt_ended(*this, outcome, HttpMessage(loop_.pool()));
}

}  // namespace puffinvane
