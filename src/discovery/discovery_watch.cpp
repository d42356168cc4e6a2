#include "src/discovery/discovery_watch.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "src/discovery/discovery_events.h"

namespace puffinvane {

namespace {

constexpr double kTimeoutCheckSeconds = 0.05;
// A pretty-printed list that stops at the end of a line counts as cut off if nothing follows within this
// time.
constexpr double kCutOffTimeoutSeconds = 0.5;
constexpr std::size_t kMaxUnreadBodyBytes = 8 << 20;
constexpr double kNoTimeout = std::numeric_limits<double>::infinity();

bool is_blank(std::string_view line) { return line.find_first_not_of(" \t\r") == std::string_view::npos; }

}  // namespace

const Transition<DiscoveryWatch, DiscoveryWatch::State, DiscoveryWatch::Event>
    DiscoveryWatch::kTransitions[] = {
        {State::BackingOff, Event::BackoffElapsed, State::Connecting, &DiscoveryWatch::connect},
        {State::BackingOff, Event::AddressChanged, State::Connecting, &DiscoveryWatch::connect},
        {State::Connecting, Event::AddressChanged, State::Connecting, &DiscoveryWatch::connect},
        {State::AwaitingResponse, Event::AddressChanged, State::Connecting, &DiscoveryWatch::connect},
        {State::Watching, Event::AddressChanged, State::Connecting, &DiscoveryWatch::connect},
        {State::Connecting, Event::Connected, State::AwaitingResponse, &DiscoveryWatch::send_request},
        {State::Connecting, Event::TimedOut, State::Connecting, &DiscoveryWatch::reconnect},
        {State::Connecting, Event::CallEnded, State::BackingOff,
         &DiscoveryWatch::back_off_after_unanswered_call},
        {State::AwaitingResponse, Event::ResponseReceived, State::Watching, &DiscoveryWatch::start_watching},
        {State::AwaitingResponse, Event::TimedOut, State::BackingOff,
         &DiscoveryWatch::back_off_after_timeout},
        {State::AwaitingResponse, Event::CallEnded, State::BackingOff,
         &DiscoveryWatch::back_off_after_unanswered_call},
        {State::AwaitingResponse, Event::ListRejected, State::BackingOff,
         &DiscoveryWatch::back_off_and_resync},
        {State::Watching, Event::TimedOut, State::Connecting, &DiscoveryWatch::renew_call},
        {State::Watching, Event::NextCallDue, State::Connecting, &DiscoveryWatch::connect},
        {State::Watching, Event::CallEnded, State::BackingOff, &DiscoveryWatch::back_off},
        {State::Watching, Event::ListRejected, State::BackingOff, &DiscoveryWatch::back_off_and_resync},
};

DiscoveryWatch::DiscoveryWatch(Loop& loop, Owner& owner, EndpointStartTimes& start_times,
                               const Options& options)
    : loop_(loop),
      owner_(owner),
      start_times_(start_times),
      address_(options.address),
      mode_(options.mode),
      cursor_(options.mode, options.held_index),
      backoff_(options.mode, options.backoff_seed),
      timeouts_(options.mode),
      connection_(loop, *this),
      response_(HttpReader::Side::Response, loop.pool(), kMaxUnreadBodyBytes),
      answered_at_s_(loop.now()) {
  check_timeout_regularly();
}

void DiscoveryWatch::start() {
  state_ = State::Connecting;
  connect();
}

void DiscoveryWatch::change_address(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  start_times_.on_source_changed();
  cursor_.on_source_changed();
  apply(Event::AddressChanged);
}

void DiscoveryWatch::close() {
  state_ = State::Closed;
  connection_.close();
}

DiscoveryStatus DiscoveryWatch::status() const { return {loop_.now() - answered_at_s_, unanswered_calls_}; }

void DiscoveryWatch::apply(Event event) {
  log_call_event(loop_.log(), logged_call(), to_string(event), to_string(state_));
  apply_transition(kTransitions, *this, state_, event);
  check_timeout_at(timeout_started_at_s_ + timeout_s());
}

LoggedCall DiscoveryWatch::logged_call() const {
  return {address_, cursor_.held_index(), loop_.now() - timeout_started_at_s_};
}

std::string_view DiscoveryWatch::to_string(State state) {
  switch (state) {
    case State::BackingOff: return "backing_off";
    case State::Connecting: return "connecting";
    case State::AwaitingResponse: return "awaiting_response";
    case State::Watching: return "watching";
    case State::Closed: return "closed";
  }
  return "unknown";
}

std::string_view DiscoveryWatch::to_string(Event event) {
  switch (event) {
    case Event::BackoffElapsed: return "backoff_elapsed";
    case Event::Connected: return "connected";
    case Event::ResponseReceived: return "response_received";
    case Event::TimedOut: return "timed_out";
    case Event::CallEnded: return "call_ended";
    case Event::ListRejected: return "list_rejected";
    case Event::NextCallDue: return "next_call_due";
    case Event::AddressChanged: return "address_changed";
  }
  return "unknown";
}

void DiscoveryWatch::connect() {
  restart_timeout();
  connection_.close();
  response_.take();
  lines_ = ListSplitter();
  date_offset_s_.reset();
  if (connection_.connect(address_) != TcpConnection::ConnectStart::Begun) apply(Event::CallEnded);
}

void DiscoveryWatch::reconnect() {
  record_unanswered_call();
  timeouts_.on_call_unanswered();
  connect();
}

void DiscoveryWatch::send_request() {
  restart_timeout();
  std::int64_t after = cursor_.begin_call(loop_.now());
  std::string target = "/v1/servers";
  if (cursor_.is_watch()) target += "?watch=1&after=" + std::to_string(after);
  log_call_sent(loop_.log(), logged_call(), cursor_.call_scope(), target);
  BufferChain request(loop_.pool());
  request.add("GET " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n");
  connection_.send(std::move(request));
}

void DiscoveryWatch::start_watching() {
  answered_at_s_ = loop_.now();
  backoff_.on_call_answered(answered_at_s_);
  timeouts_.on_call_answered(answered_at_s_ - timeout_started_at_s_);
  // In pushed mode a call for changes is renewed a fixed time after it was sent, not after it was answered.
  if (is_pushed() && asks_for_changes()) return;
  timeouts_.record_response_time(loop_.now() - timeout_started_at_s_);
  restart_timeout();
}

void DiscoveryWatch::renew_call() {
  if (is_pushed()) {
    if (lines_.has_partial_list()) {
      timeouts_.on_list_late_for_renewal();
    } else if (asks_for_changes() && !cursor_.has_received_line()) {
      // A response head without any line: nothing had changed when the call was sent.
      start_times_.on_unchanged(timeout_started_at_s_);
    }
  }
  connect();
}

void DiscoveryWatch::back_off() {
  connection_.close();
  double now = loop_.now();
  backoff_ends_at_s_ = now + backoff_.next_delay_s(now);
  loop_.at(backoff_ends_at_s_, alive_.guard([this, ends_at_s = backoff_ends_at_s_] {
    // A change of address may have cut this delay short, and a later one may be running.
    if (ends_at_s == backoff_ends_at_s_) apply(Event::BackoffElapsed);
  }));
}

void DiscoveryWatch::record_unanswered_call() {
  ++unanswered_calls_;
  log_call_unanswered(loop_.log(), logged_call(), to_string(state_));
}

void DiscoveryWatch::back_off_after_unanswered_call() {
  record_unanswered_call();
  cursor_.on_call_unanswered();
  back_off();
}

// A rejected list may have contained any changes, so the next call asks for all endpoints.
void DiscoveryWatch::back_off_and_resync() {
  cursor_.reset();
  back_off();
}

void DiscoveryWatch::back_off_after_timeout() {
  if (lines_.has_partial_list()) {
    timeouts_.on_list_late_for_response();
  } else {
    record_unanswered_call();
    cursor_.on_call_unanswered();
    timeouts_.on_call_unanswered();
  }
  // An agent that was unresponsive sends its changes to the calls that are open when it recovers, and then
  // considers them delivered. So the next call must be open by then.
  if (is_pushed()) {
    apply(Event::BackoffElapsed);
  } else {
    back_off();
  }
}

void DiscoveryWatch::on_received(std::string_view bytes) {
  last_bytes_at_s_ = loop_.now();
  response_.feed(bytes);
  if (std::optional<CallFailed> failure = response_failure()) return on_call_outcome(*failure);
  if (response_.in_body() || response_.is_complete()) on_response_body();
  dispatch_lines();
  if (is_receiving()) on_bytes_processed();
}

std::optional<CallFailed> DiscoveryWatch::response_failure() const {
  if (response_.fault() != HttpReader::Fault::None) return CallFailed{CallFailed::Reason::InvalidHttp, 0};
  int status = response_.message().status;
  bool has_head = response_.in_body() || response_.is_complete();
  if (has_head && status != 200) return CallFailed{CallFailed::Reason::HttpStatus, status};
  return std::nullopt;
}

void DiscoveryWatch::on_response_body() {
  record_date();
  if (is_pushed() && asks_for_changes()) apply(Event::ResponseReceived);
  lines_.append(response_.take_body_text());
}

// Uses only the first read of a response, as the date is that of its beginning.
void DiscoveryWatch::record_date() {
  if (date_offset_s_) return;
  std::optional<double> date_s = parse_http_date(response_.message().header("Date"));
  if (date_s) date_offset_s_ = *date_s - loop_.now();
}

void DiscoveryWatch::dispatch_lines() {
  while (is_receiving()) {
    std::optional<std::string> line = lines_.take_line();
    if (!line) break;
    dispatch_line(*line);
  }
  if (response_.is_complete()) dispatch_unterminated_line();
}

void DiscoveryWatch::dispatch_line(const std::string& line) {
  if (is_blank(line)) {
    on_blank_line();
  } else {
    on_call_outcome(cursor_.on_line(line, loop_.now()));
  }
}

// The last line of a response that has ended may lack its line feed.
void DiscoveryWatch::dispatch_unterminated_line() {
  if (!is_receiving()) return;
  std::string line = lines_.take_rest();
  if (!is_blank(line)) dispatch_line(line);
}

// A whole list without a declared length ends with its connection.
void DiscoveryWatch::on_ended(TcpConnection::End end) {
  if (end == TcpConnection::End::Closed && is_receiving() && !cursor_.is_watch()) {
    response_.end_of_input();
    if (response_.is_complete()) return on_received("");
  }
  apply(Event::CallEnded);
}

void DiscoveryWatch::on_bytes_processed() {
  if (lines_.exceeds_size_limit()) return on_call_outcome(ListError{ListFault::TooLong, ""});
  if (cursor_.is_next_call_due()) return apply(Event::NextCallDue);
  if (response_.is_complete()) return apply(Event::CallEnded);
  if (lines_.ends_inside_list()) reject_list_if_cut_off();
  if (is_pushed() && lines_.has_partial_list()) {
    check_timeout_at(last_bytes_at_s_ + timeouts_.partial_list_pause_s());
  }
}

void DiscoveryWatch::reject_list_if_cut_off() {
  loop_.at(last_bytes_at_s_ + kCutOffTimeoutSeconds, alive_.guard([this, bytes_at_s = last_bytes_at_s_] {
    bool is_cut_off = bytes_at_s == last_bytes_at_s_ && lines_.ends_inside_list();
    if (is_cut_off) on_call_outcome(ListError{ListFault::CutOff, ""});
  }));
}

void DiscoveryWatch::on_call_outcome(CallOutcome outcome) {
  if (EndpointList* list = std::get_if<EndpointList>(&outcome)) return on_list(*list);
  if (std::holds_alternative<ListUnchanged>(outcome)) return on_unchanged();
  if (CallFailed* failure = std::get_if<CallFailed>(&outcome)) return on_call_failed(*failure);
  on_list_rejected(std::get<ListError>(outcome));
}

void DiscoveryWatch::on_list(EndpointList& list) {
  if (!cursor_.lacks_whole_list()) has_received_list_ = true;
  is_fault_logged_ = false;
  list.received_at_s = loop_.now();
  log_list_received(loop_.log(), logged_call(), list);
  start_times_.on_list(list, ClockOffsets{Loop::unix_offset(), date_offset_s_});
  timeouts_.on_list_complete();
  owner_.on_endpoint_list(list);
  on_response_received();
}

void DiscoveryWatch::on_unchanged() {
  is_fault_logged_ = false;
  start_times_.on_unchanged(loop_.now());
  on_response_received();
}

// Only complete lines show that discovery is alive. In on-request mode a blank line does so too, except as
// the first line of the response to a call for all endpoints, which has to be a list.
void DiscoveryWatch::on_blank_line() {
  bool is_answer = !is_pushed() && (state_ == State::Watching || cursor_.holds_list());
  if (is_answer || state_ == State::Watching) start_times_.on_unchanged(loop_.now());
  if (is_answer) on_response_received();
}

void DiscoveryWatch::on_response_received() {
  answered_at_s_ = loop_.now();
  apply(Event::ResponseReceived);
  if (!is_pushed()) restart_timeout();
}

void DiscoveryWatch::on_call_failed(const CallFailed& failure) {
  if (!is_fault_logged_) log_call_failed(loop_.log(), address_, failure);
  is_fault_logged_ = true;
  apply(Event::CallEnded);
}

void DiscoveryWatch::on_list_rejected(const ListError& error) {
  if (!is_fault_logged_) log_list_rejected(loop_.log(), address_, error);
  is_fault_logged_ = true;
  apply(Event::ListRejected);
}

// If this process has stalled, the loop handles the bytes that wait in the sockets before this late timer, so
// the stall isn't mistaken for silence of discovery.
void DiscoveryWatch::check_timeout() {
  if (loop_.now() >= timeout_started_at_s_ + timeout_s()) apply(Event::TimedOut);
  renew_call_if_list_is_cut_off();
}

// Timeouts change while a list arrives.
void DiscoveryWatch::check_timeout_regularly() {
  check_timeout();
  loop_.at(loop_.now() + kTimeoutCheckSeconds, alive_.guard([this] { check_timeout_regularly(); }));
}

void DiscoveryWatch::check_timeout_at(double at_s) {
  if (at_s == kNoTimeout) return;
  loop_.at(at_s, alive_.guard([this] { check_timeout(); }));
}

// The rest of a list that stopped in the middle may never arrive, while the call looks alive.
void DiscoveryWatch::renew_call_if_list_is_cut_off() {
  bool is_arriving = is_pushed() && is_receiving() && lines_.has_partial_list();
  if (!is_arriving || loop_.now() < last_bytes_at_s_ + timeouts_.partial_list_pause_s()) return;
  timeouts_.on_list_cut_off();
  lines_ = ListSplitter();
  apply(Event::TimedOut);
}

double DiscoveryWatch::timeout_s() const {
  switch (state_) {
    case State::Connecting: return timeouts_.connect_timeout_s();
    case State::AwaitingResponse: return timeouts_.response_timeout_s(progress());
    case State::Watching: return timeouts_.watch_timeout_s(progress());
    case State::BackingOff:
    case State::Closed: return kNoTimeout;
  }
  return kNoTimeout;
}

CallProgress DiscoveryWatch::progress() const {
  CallProgress progress;
  progress.scope = cursor_.call_scope();
  progress.has_partial_list = lines_.has_partial_list();
  progress.has_full_list = cursor_.full_list_at() >= timeout_started_at_s_;
  progress.is_answer_cheap = cursor_.is_call_cheap();
  progress.is_renewal_cheap = cursor_.is_next_call_cheap();
  progress.last_bytes_after_s = std::max(0.0, last_bytes_at_s_ - timeout_started_at_s_);
  return progress;
}

}  // namespace puffinvane
