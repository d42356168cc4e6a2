#include "src/proxy/request_forwarder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "src/http/headers.h"
#include "src/proxy/forwarder_events.h"

namespace puffinvane {

namespace {
// Share of the time after which endpoints close idle connections. They are closed here before that, so that
// no attempt is sent while the endpoint closes.
constexpr double kMaxIdleShare = 0.7;
constexpr double kIdleCheckInterval = 0.25;  // seconds
// Seconds for which a connection is not reused after a response. An endpoint may send stray bytes some
// milliseconds after its response, and they would be read as the response to the next request.
constexpr double kReuseDelay = 0.03;
constexpr double kSpareDelayShare = 0.5;             // of the connect timeout
constexpr std::size_t kMaxSparesPerEndpoint = 4;     // being established at a time
constexpr std::size_t kBodyPartBytes = 64 * 1024;    // of a body, written at a time
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;  // of an upload that no connection carries yet
constexpr double kMaxUploadTime = 1200;  // seconds: longer than any body takes at the lowest accepted rate
// Seconds before its deadline at which an uploaded request without a response is failed.
constexpr double kDeadlineMargin = 0.01;
constexpr double kRelayCheckInterval = 0.1;  // seconds, from the deadline of a request on
constexpr double kNever = std::numeric_limits<double>::infinity();
// Seconds by which an attempt is told less than the time that remains. The loop doesn't notice stalls of up
// to that length, and one between reading the clock and writing the request may use up the whole tolerance
// for the time that was told.
constexpr double kTimeLeftMargin = 0.025;
constexpr double kDestroyDelay = 0.5;  // seconds, for callbacks put off to the next turn or timer check

bool may_have_run(Outcome outcome) {
  switch (outcome) {
    case Outcome::Refused:
    case Outcome::ConnectFailed:
    case Outcome::NotSent:
    case Outcome::Cancelled: return false;  // of a cancelled one its connection knows
    case Outcome::Delivered:
    case Outcome::Failed:
    case Outcome::TimedOut:
    case Outcome::Broken:
    case Outcome::Stale: return true;
  }
  return true;
}

std::string_view client_id_of(const PendingRequest& request) {
  return request.message.header(kRequestIdHeader);
}
}  // namespace

RequestForwarder::RequestForwarder(Loop& loop, ConnectionLimiter& limiter, Deployment deployment,
                                   std::uint64_t seed, PolicyFactory make, ForwarderOptions options)
    : loop_(loop),
      limiter_(limiter),
      deployment_(std::move(deployment)),
      options_(std::move(options)),
      directory_(loop.log(), *this),
      counters_(deployment_.request_classes.size()),
      policy_(make(loop.now(), deployment_, seed, *this)) {
  limiter_.add(*this);
  close_expired_idle();
}

RequestForwarder::~RequestForwarder() { limiter_.remove(*this); }

void RequestForwarder::begin_shutdown(double deadline) {
  shutdown_deadline_ = deadline;
  policy_->on_shutdown(loop_.now(), deadline);
}

void RequestForwarder::retire(const std::vector<RequestForwarder*>& successors) {
  retired_at_ = loop_.now();
  for (RequestForwarder* successor : successors)
    successors_.push_back({successor, successor->alive_.watch()});
  while (!spares_.empty()) close_spares(std::string(spares_.begin()->first));
  for (double since = idle_.oldest_idle_since(); !std::isinf(since); since = idle_.oldest_idle_since())
    hand_to_successor(idle_.take_oldest(since), since);
}

// Each new connection costs its endpoint a handshake, so a mere change of settings must not close
// connections. A successor gets only connections to endpoints that it knows at the same address.
void RequestForwarder::hand_to_successor(std::unique_ptr<UpstreamConnection> idle, double idle_since) {
  const std::string* address = directory_.address_of(idle->endpoint());
  for (std::size_t i = 0; i < successors_.size(); ++i) {
    const Successor& successor = successors_[next_successor_++ % successors_.size()];
    if (successor.alive.expired() || successor.forwarder->retired_at_) continue;
    const std::string* theirs = successor.forwarder->directory_.address_of(idle->endpoint());
    if (!address || !theirs || *theirs != *address) continue;
    idle->set_owner(*successor.forwarder);
    std::string endpoint = idle->endpoint();
    return successor.forwarder->idle_.add(endpoint, std::move(idle), idle_since);
  }
  idle->close();
  loop_.delete_later(std::move(idle));
}

bool RequestForwarder::can_be_destroyed() const {
  // The timers of a request run until its client timeout, even if it has ended before.
  double longest = 0;
  for (const RequestClass& request_class : deployment_.request_classes)
    longest = std::max(longest, request_class.client_timeout_s);
  return retired_at_ && requests_.count() == 0 &&
         loop_.now() > std::max(*retired_at_, last_request_at_ + longest) + kDestroyDelay;
}

void RequestForwarder::log(std::string_view text) {
  if (options_.pool_name.empty()) loop_.log().info() << text;
  else loop_.log().event(Level::Info, "pool.report").with("pool", options_.pool_name).with("text", text);
}

// ---- Host: what the policy asks for

void RequestForwarder::start_attempt(RequestId id, std::string_view endpoint, double attempt_deadline) {
  PendingRequest& request = *requests_.find(id);
  int number = int(request.attempts.size());
  double now = loop_.now();
  double deadline = attempt_deadline > 0 ? std::min(attempt_deadline, request.deadline) : request.deadline;
  request.attempts.push_back({std::string(endpoint), now, deadline});
  log_attempt_started(loop_.log(), {client_id_of(request), number, endpoint}, directory_.index(),
                      now - directory_.confirmed_at_s());
  request.alarms.push_back(
      loop_.at(deadline, alive_.guard([this, id, number] { on_attempt_deadline(id, number); })));
  if (client_may_have_left(id)) return report_attempt_end_soon(id, number, Outcome::NotSent);
  // A body whose first part was sent and released can't be sent again. NotSent blames no endpoint for that.
  if (request.body_consumed) return report_attempt_end_soon(id, number, Outcome::NotSent);
  if (auto failure = send_attempt({id, number}, request.attempts.back().endpoint)) {
    report_attempt_end_soon(id, number, *failure);
  }
}

std::unique_ptr<UpstreamConnection> RequestForwarder::take_reusable(UpstreamConnection::AttemptId attempt,
                                                                    const std::string& endpoint) {
  while (std::unique_ptr<UpstreamConnection> reusable =
             idle_.take_most_recent(endpoint, loop_.now() - kReuseDelay)) {
    double idle_s = reusable->idle_for(loop_.now());
    // An Unsafe request may run once at most (rule 2). If it meets a dropped connection it can't be sent
    // again and fails. The other requests are retried, and show which connections are dropped.
    if (requests_.find(attempt.request)->request_class->idempotency == Idempotency::Unsafe &&
        idle_reuse_.likely_stale(idle_s)) {
      idle_.add(endpoint, std::move(reusable), loop_.now() - idle_s);
      return {};
    }
    // The endpoint may have closed it without the loop having reported that yet.
    if (reusable->has_nothing_to_read()) return reusable;
    reusable->close();
    loop_.delete_later(std::move(reusable));
  }
  return {};
}

std::optional<Outcome> RequestForwarder::send_attempt(UpstreamConnection::AttemptId attempt,
                                                      const std::string& endpoint) {
  PendingRequest& request = *requests_.find(attempt.request);
  UpstreamConnection*& used = request.attempts[std::size_t(attempt.number)].upstream;
  bool is_head = request.message.method == "HEAD";
  if (std::unique_ptr<UpstreamConnection> reusable = take_reusable(attempt, endpoint)) {
    request.attempts[std::size_t(attempt.number)].reused_after_idle_s = reusable->idle_for(loop_.now());
    used = reusable.get();
    busy_[used] = std::move(reusable);
    used->assign_attempt(attempt, is_head);
    return {};
  }
  if (!directory_.address_of(endpoint)) return Outcome::ConnectFailed;
  // A shortage of descriptors here is not the endpoint's fault.
  if (!limiter_.make_room_for_attempt()) return Outcome::NotSent;
  std::unique_ptr<UpstreamConnection> fresh = open_connection(endpoint);
  if (!fresh) return Outcome::ConnectFailed;
  used = fresh.get();
  busy_[used] = std::move(fresh);
  used->assign_attempt(attempt, is_head);
  request.alarms.push_back(loop_.at(loop_.now() + kSpareDelayShare * deployment_.connect_timeout_s,
                                    alive_.guard([this, attempt] { open_spare(attempt); })));
  return {};
}

std::unique_ptr<UpstreamConnection> RequestForwarder::open_connection(const std::string& endpoint) {
  auto fresh = std::make_unique<UpstreamConnection>(loop_, *this, endpoint, options_.max_body_bytes,
                                                    options_.stream_bodies);
  const std::string* address = directory_.address_of(endpoint);
  bool started = address && fresh->connect(*address, deployment_.connect_timeout_s);
  return started ? std::move(fresh) : nullptr;
}

// A connection that is not established within half of the connect timeout may be late or never be
// established, and another one to the same endpoint may be faster. Whichever is established first carries the
// attempt; the other one is kept for later attempts.
void RequestForwarder::open_spare(UpstreamConnection::AttemptId attempt) {
  PendingRequest* request = requests_.find(attempt.request);
  UpstreamConnection* waiting = request ? request->attempts[std::size_t(attempt.number)].upstream : nullptr;
  if (!waiting || !waiting->connecting() || retired_at_ || loop_.descriptors().available() <= 0) return;
  const std::string endpoint = waiting->endpoint();
  if (auto found = spares_.find(endpoint);
      found != spares_.end() && found->second.size() >= kMaxSparesPerEndpoint)
    return;
  if (std::unique_ptr<UpstreamConnection> spare = open_connection(endpoint)) {
    spare->become_spare();
    spares_[endpoint].push_back(std::move(spare));
  }
}

// The spare takes the attempt of a connection to the same endpoint that is still being established, if there
// is one; that connection becomes a spare in its place.
void RequestForwarder::on_spare_connected(UpstreamConnection& upstream) {
  const std::string endpoint = upstream.endpoint();
  std::unique_ptr<UpstreamConnection> spare = take_spare(upstream);
  auto found = std::find_if(busy_.begin(), busy_.end(), [&](const auto& one) {
    return one.second->connecting() && one.second->endpoint() == endpoint;
  });
  if (retired_at_) return loop_.delete_later(std::move(spare));
  // No response has arrived on it, so that it can be used without the delay.
  if (found == busy_.end()) return idle_.add(endpoint, std::move(spare), loop_.now() - kReuseDelay);
  std::unique_ptr<UpstreamConnection> waiting = std::move(busy_.extract(found).mapped());
  const UpstreamConnection::AttemptId attempt = waiting->attempt_id();
  waiting->become_spare();
  spares_[endpoint].push_back(std::move(waiting));
  PendingRequest& request = *requests_.find(attempt.request);
  request.attempts[std::size_t(attempt.number)].upstream = &upstream;
  busy_[&upstream] = std::move(spare);
  upstream.assign_attempt(attempt, request.message.method == "HEAD");
}

// Null if it is not a spare.
std::unique_ptr<UpstreamConnection> RequestForwarder::take_spare(const UpstreamConnection& upstream) {
  auto spares = spares_.find(upstream.endpoint());
  if (spares == spares_.end()) return {};
  auto found = std::find_if(spares->second.begin(), spares->second.end(),
                            [&](const auto& one) { return one.get() == &upstream; });
  if (found == spares->second.end()) return {};
  std::unique_ptr<UpstreamConnection> taken = std::move(*found);
  spares->second.erase(found);
  if (spares->second.empty()) spares_.erase(spares);
  return taken;
}

// Whether the client has left, or this can't be told because too much unread data precedes the end of its
// connection; nothing must be sent for it then. One turn of the loop may find responses, timers and the
// client's end in any order, and after a stall or a wait at the listener the client may have left long ago,
// so this is asked before each sending. If the client has left, its connection is ended on the next turn.
bool RequestForwarder::client_may_have_left(RequestId id) {
  DownstreamConnection* downstream = requests_.find(id)->downstream;
  if (!downstream) return false;
  if (!downstream->check_client_closed()) return downstream->client_close_undetectable();
  loop_.post(alive_.guard([this, id] {
    PendingRequest* left = requests_.find(id);
    if (left && left->downstream) left->downstream->close();
  }));
  return true;
}

void RequestForwarder::end_unsent_attempt(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  UpstreamConnection* upstream = request ? request->attempts[std::size_t(number)].upstream : nullptr;
  if (!upstream) return;
  detach_and_close(*upstream);
  report_attempt_end(id, number, Outcome::NotSent, nullptr);
}

void RequestForwarder::cancel_attempt(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  if (!request || number >= int(request->attempts.size())) return;
  UpstreamConnection* upstream = request->attempts[std::size_t(number)].upstream;
  if (!upstream) return;
  detach_and_close(*upstream);
  report_attempt_end_soon(id, number, Outcome::Cancelled);
}

void RequestForwarder::reject_request(RequestId id, double retry_after_s) {
  std::string header = retry_after_s > 0 ? "Retry-After: " + format_retry_after(retry_after_s) + "\r\n" : "";
  conclude(id, 503, nullptr, header, "bounced: trying again does no harm\n");
}

void RequestForwarder::fail_request(RequestId id) {
  PendingRequest* request = requests_.find(id);
  // An endpoint's own error response tells the client more than a general one.
  if (request && request->error_response) {
    HttpMessage response = std::move(*request->error_response);
    return conclude(id, response.status, &response, "", "");
  }
  conclude(id, 502, nullptr, "", "errored: it may or may not have run\n");
}

void RequestForwarder::schedule_timer(double due_at, std::uint64_t token) {
  if (retired_at_ && requests_.count() == 0) return;  // the policy has nothing left to do
  loop_.at(due_at, alive_.guard([this, token] { policy_->on_timer(loop_.now(), token); }));
}

// Requests that have ended would keep a timer each until their deadlines otherwise, and a client that sends
// small requests at full speed would use up the memory.
void RequestForwarder::schedule_request_timer(RequestId id, double due_at, std::uint64_t token) {
  PendingRequest* request = requests_.find(id);
  if (!request) return;
  request->alarms.push_back(
      loop_.at(due_at, alive_.guard([this, token] { policy_->on_timer(loop_.now(), token); })));
}

void RequestForwarder::remove_if_finished(RequestId id) {
  const std::optional<PendingRequest> finished = requests_.take_if_finished(id);
  if (!finished) return;
  for (const AlarmId& alarm : finished->alarms) loop_.cancel(alarm);
  if (finished->upload_alarm) loop_.cancel(*finished->upload_alarm);
}

// Sends the final response to the client: `from` with `status`, or one made of `status`, `more_headers` and
// `text`.
void RequestForwarder::conclude(RequestId id, int status, const HttpMessage* from,
                                std::string_view more_headers, std::string_view text) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->concluded()) return;
  DownstreamConnection& downstream = *std::exchange(request->downstream, nullptr);
  downstream.open_request.reset();
  log_request_ended(loop_.log(), client_id_of(*request), status, request->attempts.size());
  counters_.record_outcome(index_of(*request->request_class),
                           status == 503 && !from   ? RequestOutcome::Rejected
                           : status == 502 && !from ? RequestOutcome::Failed
                           : status < 500           ? RequestOutcome::Delivered
                                                    : RequestOutcome::Failed);
  downstream.respond(status, from, more_headers, text, false);
  // Removed on the next turn only: the policy may be working on this request and still cancel attempts of it.
  loop_.post(alive_.guard([this, id] { remove_if_finished(id); }));
}

// ---- attempts and responses

// The remaining time that the endpoint is told.
double RequestForwarder::time_left_to_send(const PendingRequest& request,
                                           const PendingAttempt& attempt) const {
  // The time of an upload counts from its last byte, which may have arrived already and be unread, or lie in
  // the send buffer of the client's machine because reading is paused.
  const bool has_arrived = !request.streams_body || !request.body_incomplete ||
                           (request.downstream && request.downstream->body_arrived_after());
  const double paused_s = request.downstream ? request.downstream->reading_paused_for() : 0;
  const double left = has_arrived ? std::min(attempt.deadline, request.deadline) - loop_.now()
                                  : request.remaining_time_s - paused_s;
  return std::max(left - kTimeLeftMargin, left / 2);
}

BufferChain RequestForwarder::on_ready_to_send(UpstreamConnection& upstream) {
  auto [id, number] = upstream.attempt_id();
  const PendingRequest& request = *requests_.find(id);
  const PendingAttempt& attempt = request.attempts[std::size_t(number)];
  const std::string* address = directory_.address_of(attempt.endpoint);
  BufferChain out(loop_.pool());
  const double left = time_left_to_send(request, attempt);
  std::optional<BodyFraming> framing;
  if (request.streams_body) framing = BodyFraming{request.body_length};
  else if (request.message.body.size() > kBodyPartBytes) framing = BodyFraming{request.message.body.size()};
  write_request(out, request.message, address ? *address : attempt.endpoint, format_remaining_deadline(left),
                framing);
  // Checked last: this process may have stalled since it read the clock, and the client left meanwhile.
  if (!request.concluded() && !client_may_have_left(id)) {
    log_attempt_writing(loop_.log(), {client_id_of(request), number, attempt.endpoint},
                        loop_.now() - attempt.started_at);
    if (on_request_written_) on_request_written_(AbandonedRequestIds::hash_of(client_id_of(request)));
    return out;
  }
  loop_.post(alive_.guard([this, id = id, number = number] { end_unsent_attempt(id, number); }));
  out.clear();
  return out;
}

BufferChain RequestForwarder::on_body_wanted(UpstreamConnection& upstream, bool& complete) {
  PendingRequest& request = *requests_.find(upstream.attempt_id().request);
  PendingAttempt& attempt = request.attempts[std::size_t(upstream.attempt_id().number)];
  BufferChain next(loop_.pool());
  BufferChain& body = request.message.body;
  if (request.streams_body) {
    request.body_consumed = true;
    BufferChain part = std::exchange(body, BufferChain(loop_.pool()));
    if (request.downstream) request.downstream->pause_reading(false);
    if (request.body_length) next = std::move(part);
    else write_chunk(next, part);
    if (!request.body_incomplete && !request.body_length && !std::exchange(attempt.body_bytes_sent, 1))
      write_last_chunk(next);
    complete = !request.body_incomplete && next.empty();
    return next;
  }
  complete = body.size() <= kBodyPartBytes || attempt.body_bytes_sent == body.size();
  if (complete) return next;
  next.add(body, attempt.body_bytes_sent, kBodyPartBytes);
  attempt.body_bytes_sent += next.size();
  return next;
}

void RequestForwarder::on_body_part(RequestId id, BufferChain bytes, bool whole) {
  PendingRequest& request = *requests_.find(id);
  request.message.body.add(bytes);
  request.body_incomplete = !whole;
  if (whole && request.downstream) set_upload_deadline(id, request.downstream->last_byte_arrived_at());
  bool has_connection = false;
  for (PendingAttempt& attempt : request.attempts) {
    if (attempt.upstream) {
      has_connection = true;
      attempt.upstream->send_more_body();
    }
  }
  // Pauses reading from the client while too much of the body waits to be sent.
  if (!whole && request.downstream &&
      request.message.body.size() > max_waiting_body_bytes(request, has_connection))
    request.downstream->pause_reading(true);
}

// Of an upload, read ahead of its endpoint. Without a declared length only its end tells that the client has
// written it whole, so as much is read as the client's machine may hold.
std::size_t RequestForwarder::max_waiting_body_bytes(const PendingRequest& request,
                                                     bool has_connection) const {
  if (loop_.pool().pressure() >= BufferPool::Pressure::Scarce) return BufferPool::kSize;
  if (!request.body_length && has_connection) return DownstreamConnection::kMaxClientSendBuffer;
  return has_connection ? kBodyPartBytes : kMaxUnsentBytes;
}

bool RequestForwarder::is_waiting_for_endpoint(RequestId id) const {
  return std::ranges::none_of(requests_.find(id)->attempts,
                              [](const PendingAttempt& attempt) { return attempt.upstream != nullptr; });
}

void RequestForwarder::on_body_arrival(RequestId id, std::optional<double> arrived_after) {
  if (arrived_after) return set_upload_deadline(id, *arrived_after);
  requests_.find(id)->deadline = loop_.now() + kMaxUploadTime;
}

// The policy was told kMaxUploadTime as the request's remaining time, as the client's own time only starts
// with the last byte of the body. So the deadline is kept here.
void RequestForwarder::set_upload_deadline(RequestId id, double arrived_at) {
  PendingRequest& request = *requests_.find(id);
  request.deadline = std::min(arrived_at + request.remaining_time_s, shutdown_deadline_.value_or(kNever));
  if (request.upload_alarm) loop_.cancel(*request.upload_alarm);
  request.upload_alarm =
      loop_.at(request.deadline - kDeadlineMargin, alive_.guard([this, id] { on_upload_deadline(id); }));
}

void RequestForwarder::on_upload_deadline(RequestId id) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->concluded()) return;
  // The last byte turned out not to have arrived when this timer was set.
  if (loop_.now() < request->deadline - kDeadlineMargin) return;
  const int attempt_count = int(request->attempts.size());
  if (attempt_count == 0) {
    reject_request(id, 0);
  } else {
    fail_request(id);
  }
  // Where the policy may not cancel attempts, they would be out until the time that it was told.
  for (int number = 0; number < attempt_count; ++number) on_attempt_deadline(id, number);
  policy_->on_request_cancelled(loop_.now(), id);
}

void RequestForwarder::on_response_started(UpstreamConnection& upstream, HttpMessage response,
                                           std::optional<std::size_t> length) {
  auto [id, number] = upstream.attempt_id();
  PendingRequest& request = *requests_.find(id);
  PendingAttempt& attempt = request.attempts[std::size_t(number)];
  double now = loop_.now();
  // Another attempt or a timeout may have ended the request or this attempt before.
  bool late = request.concluded() || attempt.reported;
  if (late) {
    detach_and_close(upstream);
    return report_attempt_end_soon(id, number, Outcome::Cancelled);
  }
  attempt.upstream = nullptr;
  attempt.reported = true;
  if (attempt.reused_after_idle_s) idle_reuse_.record(*attempt.reused_after_idle_s, false);
  request.relay = &upstream;
  Load load = parse_load(response.header("X-Backend-Load"));
  request.alarms.push_back(loop_.at(request.deadline, alive_.guard([this, id] { check_relay(id); })));
  request.downstream->begin_response(response, length);
  on_response_part(upstream, std::move(response.body));
  policy_->on_attempt_ended(now, {id, number, Outcome::Delivered, true, now - attempt.started_at, load});
}

// Called from the request's deadline on, which a long response may go past.
void RequestForwarder::check_relay(RequestId id) {
  PendingRequest* request = requests_.find(id);
  if (!request || !request->relay) return;
  const RelayProgress progress = request->relay->relay_progress(request->deadline);
  switch (judge_overdue_relay(progress)) {
    case RelayVerdict::Settled: return;
    case RelayVerdict::GiveUp:
      log_response_given_up(loop_.log(), client_id_of(*request), progress);
      return request->relay->abort_response();
    case RelayVerdict::Continue: break;
  }
  loop_.at(loop_.now() + kRelayCheckInterval, alive_.guard([this, id] { check_relay(id); }));
}

void RequestForwarder::on_response_part(UpstreamConnection& upstream, BufferChain bytes) {
  DownstreamConnection& downstream = *requests_.find(upstream.attempt_id().request)->downstream;
  downstream.send_body_part(std::move(bytes));
  if (downstream.has_write_backlog()) upstream.pause_reading(true);
}

// The client has been sent all that was relayed so far.
void RequestForwarder::on_response_drained(RequestId id) {
  PendingRequest* request = requests_.find(id);
  if (request && request->relay) request->relay->pause_reading(false);
}

// Ends a request whose response was relayed. Returns its downstream connection, which the caller still has to
// end the response on.
DownstreamConnection* RequestForwarder::end_relay(RequestId id, RequestOutcome outcome) {
  PendingRequest& request = *requests_.find(id);
  counters_.record_outcome(index_of(*request.request_class), outcome);
  request.relay = nullptr;
  DownstreamConnection* downstream = std::exchange(request.downstream, nullptr);
  downstream->open_request.reset();
  remove_if_finished(id);
  return downstream;
}

void RequestForwarder::on_response_finished(UpstreamConnection& upstream, BufferChain bytes) {
  DownstreamConnection* downstream = end_relay(upstream.attempt_id().request, RequestOutcome::Delivered);
  downstream->send_body_part(std::move(bytes));
  downstream->end_response();
  keep_or_close(take_busy(upstream));
}

void RequestForwarder::on_response_aborted(UpstreamConnection& upstream) {
  DownstreamConnection* downstream = end_relay(upstream.attempt_id().request, RequestOutcome::Failed);
  loop_.delete_later(take_busy(upstream));
  downstream->abort_response();
}

std::unique_ptr<UpstreamConnection> RequestForwarder::take_busy(const UpstreamConnection& upstream) {
  auto found = busy_.find(&upstream);
  std::unique_ptr<UpstreamConnection> taken = std::move(found->second);
  busy_.erase(found);
  return taken;
}

// While a connection was busy its endpoint may have moved or gone, and another process may be at its address
// by now.
bool RequestForwarder::leads_to_its_endpoint(const UpstreamConnection& upstream) const {
  const std::string* address = directory_.address_of(upstream.endpoint());
  return address && *address == upstream.address();
}

void RequestForwarder::keep_or_close(std::unique_ptr<UpstreamConnection> upstream) {
  if (!leads_to_its_endpoint(*upstream)) {
    upstream->close();
    return loop_.delete_later(std::move(upstream));
  }
  if (upstream->connecting_as_spare() && !retired_at_) {
    auto& spares = spares_[upstream->endpoint()];
    if (spares.size() < kMaxSparesPerEndpoint) return spares.push_back(std::move(upstream));
  }
  if (!upstream->idle()) {
    upstream->close();
    return loop_.delete_later(std::move(upstream));
  }
  if (retired_at_) return hand_to_successor(std::move(upstream), loop_.now());
  std::string endpoint = upstream->endpoint();
  idle_.add(endpoint, std::move(upstream), loop_.now());
}

void RequestForwarder::on_attempt_ended(UpstreamConnection& upstream, Outcome outcome, HttpMessage response) {
  auto [id, number] = upstream.attempt_id();
  keep_or_close(take_busy(upstream));
  PendingAttempt& attempt = requests_.find(id)->attempts[std::size_t(number)];
  attempt.upstream = nullptr;
  if (attempt.reused_after_idle_s) {
    idle_reuse_.record(*attempt.reused_after_idle_s, outcome == Outcome::Stale);
  }
  report_attempt_end(id, number, outcome, &response);
}

Outcome RequestForwarder::outcome_of(const HttpMessage& response) const {
  return options_.relay_any_status ? outcome_of_any_status(response) : puffinvane::outcome_of(response);
}

void RequestForwarder::on_unused_closed(UpstreamConnection& upstream) {
  std::unique_ptr<UpstreamConnection> spare = take_spare(upstream);
  loop_.delete_later(spare ? std::move(spare) : idle_.remove(upstream.endpoint(), upstream));
}

void RequestForwarder::on_attempt_deadline(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  if (!request) return;
  UpstreamConnection* upstream = request->attempts[std::size_t(number)].upstream;
  if (!upstream) return;
  Outcome outcome = upstream->blocked_locally() ? Outcome::NotSent : Outcome::TimedOut;
  detach_and_close(*upstream);
  report_attempt_end(id, number, outcome, nullptr);
}

void RequestForwarder::report_attempt_end_soon(RequestId id, int number, Outcome outcome) {
  loop_.post(alive_.guard([this, id, number, outcome] { report_attempt_end(id, number, outcome, nullptr); }));
}

void RequestForwarder::report_attempt_end(RequestId id, int number, Outcome outcome, HttpMessage* response) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->attempts[std::size_t(number)].reported) return;
  PendingAttempt& attempt = request->attempts[std::size_t(number)];
  attempt.reported = true;
  attempt.may_have_run = attempt.may_have_run || may_have_run(outcome);
  double now = loop_.now();
  log_attempt_ended(loop_.log(), {client_id_of(*request), number, attempt.endpoint}, outcome,
                    now - attempt.started_at);
  if (outcome == Outcome::Delivered) {
    conclude(id, options_.relay_any_status ? response->status : 200, response, "", "");
  }
  Load load = response ? parse_load(response->header("X-Backend-Load")) : Load();
  if (options_.relay_any_status && outcome == Outcome::Failed && response && response->status > 0 &&
      !request->concluded())
    request->error_response = std::move(*response);
  policy_->on_attempt_ended(now, {id, number, outcome, request->concluded(), now - attempt.started_at, load});
  remove_if_finished(id);
}

// ---- clients

// Endpoints would run a request again that comes a second time under its id, from whomever.
void RequestForwarder::remember_if_it_may_have_run(const PendingRequest& request) {
  const bool may_have_run =
      request.relay || std::ranges::any_of(request.attempts, [](const auto& attempt) {
        return attempt.upstream ? attempt.upstream->may_have_run() : attempt.may_have_run;
      });
  if (may_have_run) abandoned_ids_.add(client_id_of(request), loop_.now());
}

bool RequestForwarder::is_id_in_use(std::string_view client_id) {
  const bool is_abandoned = abandoned_ids_.contains(client_id, loop_.now());
  if (is_abandoned) log_id_refused(loop_.log(), client_id);
  return is_abandoned || requests_.has_client_id(client_id);
}

std::vector<std::uint64_t> RequestForwarder::sent_request_hashes() const {
  const std::unordered_set<std::uint64_t>& abandoned = abandoned_ids_.hashes();
  std::vector<std::uint64_t> hashes(abandoned.begin(), abandoned.end());
  for (const auto& [id, request] : requests_.all()) {
    if (!request.attempts.empty()) hashes.push_back(AbandonedRequestIds::hash_of(client_id_of(request)));
  }
  return hashes;
}

void RequestForwarder::on_sent_elsewhere(const std::vector<std::uint64_t>& id_hashes) {
  for (const std::uint64_t hash : id_hashes) abandoned_ids_.add_hash(hash, loop_.now());
}

void RequestForwarder::on_client_disconnected(RequestId id) {
  PendingRequest& request = *requests_.find(id);
  remember_if_it_may_have_run(request);
  request.downstream = nullptr;
  if (UpstreamConnection* relay = std::exchange(request.relay, nullptr)) {
    relay->close();
    loop_.delete_later(take_busy(*relay));
    return remove_if_finished(id);
  }
  // The rest of the body will never come. Where the policy may not cancel attempts, they would wait for it.
  const int unfinishable_attempts = request.body_incomplete ? int(request.attempts.size()) : 0;
  for (int number = 0; number < unfinishable_attempts; ++number) end_unsent_attempt(id, number);
  policy_->on_request_cancelled(loop_.now(), id);
  remove_if_finished(id);
}

const RequestClass* RequestForwarder::find_class(std::string_view name) const {
  for (const RequestClass& request_class : deployment_.request_classes) {
    if (request_class.name == name) return &request_class;
  }
  return nullptr;
}

void RequestForwarder::forward(DownstreamConnection& downstream, HttpMessage message,
                               const RequestClass& request_class, double remaining_time_s) {
  if (loop_.pool().pressure() >= BufferPool::Pressure::Severe)
    return reject_for_memory(downstream, message, request_class);
  // The request may have waited unread, at the listener, behind another request or while this process was
  // stalled, and the client's timeout has been running meanwhile. That of an upload starts with its last
  // byte.
  double waited_s =
      downstream.is_uploading() ? 0 : std::max(loop_.stall_duration(), downstream.queueing_time());
  remaining_time_s = std::max(0.0, remaining_time_s - waited_s);
  double now = loop_.now();
  if (shutdown_deadline_) remaining_time_s = std::clamp(*shutdown_deadline_ - now, 0.0, remaining_time_s);
  last_request_at_ = now;
  std::string tenant(message.header("X-Account"));
  std::string facts_header(message.header("X-Facts"));
  RequestFacts facts = parse_request_facts(facts_header);
  PendingRequest request{std::move(message)};
  request.deadline = now + remaining_time_s;
  request.remaining_time_s = remaining_time_s;
  request.downstream = &downstream;
  request.request_class = &request_class;
  if (downstream.is_uploading()) {
    request.streams_body = true;
    request.body_incomplete = true;
    request.body_length = downstream.content_length();
    request.deadline = now + kMaxUploadTime;
    remaining_time_s = kMaxUploadTime;
  }
  RequestId id = requests_.add(std::move(request));
  downstream.open_request = {this, id};
  if (downstream.is_uploading() && downstream.body_arrived_after())
    set_upload_deadline(id, *downstream.body_arrived_after());
  policy_->on_request(now, {id, request_class.name, tenant, remaining_time_s, facts.key, facts.work});
}

// A request that is begun needs memory until it ends, and there is little left for those that have begun.
void RequestForwarder::reject_for_memory(DownstreamConnection& downstream, const HttpMessage& message,
                                         const RequestClass& request_class) {
  const double retry_after_s = deployment_.sends_retry_after ? deployment_.max_retry_after_s : 0;
  const std::string header =
      retry_after_s > 0 ? "Retry-After: " + format_retry_after(retry_after_s) + "\r\n" : "";
  counters_.record_outcome(index_of(request_class), RequestOutcome::Rejected);
  log_request_ended(loop_.log(), message.header(kRequestIdHeader), 503, 0);
  downstream.respond(503, nullptr, header, "rejected: retrying is safe\n", false);
}

// ---- connections to endpoints

void RequestForwarder::close_oldest_idle() {
  if (!spares_.empty()) return close_spares(std::string(spares_.begin()->first));
  std::unique_ptr<UpstreamConnection> oldest = idle_.take_oldest(std::numeric_limits<double>::infinity());
  if (oldest) {
    oldest->close();
    loop_.delete_later(std::move(oldest));
  }
}

void RequestForwarder::close_spares(const std::string& endpoint) {
  auto spares = spares_.extract(endpoint);
  if (spares.empty()) return;
  for (auto& spare : spares.mapped()) {
    spare->close();
    loop_.delete_later(std::move(spare));
  }
}

// Closes all connections to the endpoint but those that an attempt was sent on.
void RequestForwarder::close_connections(const std::string& endpoint) {
  close_spares(endpoint);
  while (std::unique_ptr<UpstreamConnection> idle = idle_.take_most_recent(endpoint)) {
    idle->close();
    loop_.delete_later(std::move(idle));
  }
  // A draining endpoint gets no attempts after a grace period (rule 3). The connect timeout may be longer
  // than that, and the attempt is only sent once the connection is established.
  std::vector<UpstreamConnection*> connecting;
  for (auto& [key, upstream] : busy_) {
    if (upstream->connecting() && upstream->endpoint() == endpoint) connecting.push_back(upstream.get());
  }
  for (UpstreamConnection* upstream : connecting) {
    auto [id, number] = detach_and_close(*upstream);
    report_attempt_end_soon(id, number, Outcome::ConnectFailed);
  }
}

// Closes a connection that has an attempt. Returns that attempt, whose end the caller has to report.
UpstreamConnection::AttemptId RequestForwarder::detach_and_close(UpstreamConnection& upstream) {
  UpstreamConnection::AttemptId attempt_id = upstream.attempt_id();
  PendingAttempt& attempt = requests_.find(attempt_id.request)->attempts[std::size_t(attempt_id.number)];
  attempt.may_have_run = upstream.may_have_run();
  attempt.upstream = nullptr;
  upstream.close();
  loop_.delete_later(std::move(busy_.extract(&upstream).mapped()));
  return attempt_id;
}

void RequestForwarder::close_expired_idle() {
  double now = loop_.now();
  while (std::unique_ptr<UpstreamConnection> expired =
             idle_.take_oldest(now - kMaxIdleShare * deployment_.idle_timeout_s)) {
    expired->close();
    loop_.delete_later(std::move(expired));
  }
  loop_.at(now + kIdleCheckInterval, alive_.guard([this] { close_expired_idle(); }));
}

// ---- the endpoint list

void RequestForwarder::load_cached_list(const EndpointList& cached) { directory_.load_cached(cached); }

void RequestForwarder::on_endpoint_list(const EndpointList& list) { directory_.on_list(list, loop_.now()); }

void RequestForwarder::on_endpoint_unusable(const std::string& endpoint) { close_connections(endpoint); }

void RequestForwarder::on_entries_changed(ListScope scope, std::span<const ListEntry> entries) {
  policy_->on_endpoint_list(loop_.now(), scope, entries);
}

std::size_t RequestForwarder::active_request_count() const { return requests_.active_count(); }

std::size_t RequestForwarder::avoided_endpoint_count() const {
  return policy_->avoided_endpoint_count() + directory_.unavailable_count();
}

void RequestForwarder::include_endpoint(std::string_view endpoint, double excluded_at) {
  directory_.include(endpoint, excluded_at, loop_.now());
}

void RequestForwarder::set_endpoint_shares(std::map<std::string, double, std::less<>> shares,
                                           int instance_index, int instance_count) {
  policy_->on_instance_position({instance_index, instance_count});
  directory_.set_shares(std::move(shares));
}

}  // namespace puffinvane
