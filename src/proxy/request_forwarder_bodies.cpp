// Bodies that a request forwarder passes on while they arrive: uploads and relayed responses.
#include <algorithm>
#include <limits>
#include <utility>

#include "src/http/headers.h"
#include "src/proxy/forwarder_events.h"
#include "src/proxy/request_forwarder.h"

namespace puffinvane {

namespace {
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;  // of an upload that no connection carries yet
// Seconds before its deadline at which an uploaded request without a response is failed.
constexpr double kDeadlineMargin = 0.01;
constexpr double kRelayCheckInterval = 0.1;  // seconds, from the deadline of a request on
constexpr double kNever = std::numeric_limits<double>::infinity();
}  // namespace

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
  for (PendingAttempt& attempt : request.attempts) {
    if (attempt.upstream) attempt.upstream->send_more_body();
  }
  // Pauses reading from the client while too much of the body waits to be sent.
  if (!whole && request.downstream && request.message.body.size() > max_waiting_body_bytes(request))
    request.downstream->pause_reading(true);
}

bool RequestForwarder::has_begun_attempt(const PendingRequest& request) {
  return std::ranges::any_of(request.attempts, [](const PendingAttempt& attempt) {
    return attempt.upstream && attempt.upstream->has_begun_attempt();
  });
}

// Of an upload, read ahead of its endpoint. Without a declared length only its end tells that the client has
// written it whole, so as much is read as the client's machine may hold.
std::size_t RequestForwarder::max_waiting_body_bytes(const PendingRequest& request) const {
  if (!has_begun_attempt(request)) return max_unsent_body_bytes(request);
  if (loop_.pool().pressure() >= BufferPool::Pressure::Scarce) return BufferPool::kSize;
  return request.body_length ? kBodyPartBytes : DownstreamConnection::kMaxClientSendBuffer;
}

// The same while no attempt has begun. If the client may have written the upload whole, it may have left too,
// and only the end of its input tells. For that an upload may use memory that others leave.
std::size_t RequestForwarder::max_unsent_body_bytes(const PendingRequest& request) const {
  const BufferPool& pool = loop_.pool();
  const bool has_memory = pool.pressure() < BufferPool::Pressure::Short &&
                          pool.pressure_without(request.message.body.size()) < BufferPool::Pressure::Scarce;
  if (has_memory && request.downstream->upload_may_be_written_whole())
    return request.first_part_bytes + DownstreamConnection::kMaxUnreadBytes;
  return pool.pressure() >= BufferPool::Pressure::Scarce ? BufferPool::kSize : kMaxUnsentBytes;
}

bool RequestForwarder::is_waiting_for_endpoint(RequestId id) const {
  return std::ranges::none_of(requests_.find(id)->attempts,
                              [](const PendingAttempt& attempt) { return attempt.upstream != nullptr; });
}

void RequestForwarder::on_body_arrival(RequestId id, std::optional<double> arrived_after) {
  if (arrived_after) return set_upload_deadline(id, *arrived_after);
  requests_.find(id)->deadline = loop_.now() + kMaxUploadTime;
}

// The policy knows kMaxUploadTime as the request's remaining time, as the client's own time only starts
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
  // Where the policy may not cancel attempts, they would be out until the time that it knows.
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

}  // namespace puffinvane
