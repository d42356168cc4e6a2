// Whether a request forwarder may still send: asked when bytes are about to be written, as what was true when
// the policy decided the attempt may have changed since. The connection may have come up late, the endpoint
// may take the request slowly, and this process may have stalled.
#include <utility>

#include "src/proxy/request_forwarder.h"

namespace puffinvane {

namespace {
// Seconds before its send deadline from which nothing more of an attempt is written: this process may be held
// up between the check and the write, and what the system has taken needs time to reach the endpoint.
constexpr double kSendMargin = 0.1;
constexpr double kPermissionRecheckInterval = 0.05;  // seconds
}  // namespace

// Whether the client has closed its connection. One turn of the loop may find responses, timers and the
// client's end in any order, and after a stall or a wait at the listener the client may have left long ago,
// so this is asked before each write. If the client has left, its connection is ended on the next turn.
bool RequestForwarder::has_client_left(RequestId id) {
  DownstreamConnection* downstream = requests_.find(id)->downstream;
  if (!downstream || !downstream->check_client_closed()) return false;
  loop_.post(alive_.guard([this, id] {
    PendingRequest* left = requests_.find(id);
    if (left && left->downstream) left->downstream->close();
  }));
  return true;
}

// Also true if so much input is unread that the end of its connection can't be detected: nothing must be
// begun for it then.
bool RequestForwarder::client_may_have_left(RequestId id) {
  if (has_client_left(id)) return true;
  const DownstreamConnection* downstream = requests_.find(id)->downstream;
  return downstream && downstream->client_close_undetectable();
}

// Whether more of an upload has to be read before an attempt may begin, as its client may have written it
// whole and left. Where memory is scarce the attempt begins, and its last part is held back if the client has
// left by then.
bool RequestForwarder::must_look_for_close(const PendingRequest& request) const {
  return request.downstream->upload_may_hide_close() &&
         request.message.body.size() < max_unsent_body_bytes(request);
}

UpstreamConnection::SendPermission RequestForwarder::permission_to_begin(RequestId id, int number) {
  const PendingRequest& request = *requests_.find(id);
  const bool is_in_time = is_in_time_to_send(request.attempts[std::size_t(number)]);
  if (!is_in_time || request.concluded() || client_may_have_left(id)) {
    end_unsent_attempt_soon(id, number);
    return UpstreamConnection::SendPermission::Refused;
  }
  if (!must_look_for_close(request)) return UpstreamConnection::SendPermission::Granted;
  request.downstream->pause_reading(false);
  recheck_permission_later(id, number);
  return UpstreamConnection::SendPermission::NotYet;
}

// For the time in which no part of the body is read, as memory is short. Each part that is read asks again
// too.
void RequestForwarder::recheck_permission_later(RequestId id, int number) {
  PendingRequest& request = *requests_.find(id);
  PendingAttempt& attempt = request.attempts[std::size_t(number)];
  if (std::exchange(attempt.is_permission_recheck_due, true)) return;
  const double due_at = loop_.now() + kPermissionRecheckInterval;
  request.alarms.push_back(loop_.at(due_at, alive_.guard([this, id, number] {
    UpstreamConnection* waiting = upstream_of(id, number);
    if (!waiting) return;
    requests_.find(id)->attempts[std::size_t(number)].is_permission_recheck_due = false;
    waiting->send_more_body();
  })));
}

bool RequestForwarder::is_in_time_to_send(const PendingAttempt& attempt) const {
  return loop_.now() < attempt.send_deadline - kSendMargin;
}

// An upload whose rest has not been read can't run, whether or not its client is still there.
bool RequestForwarder::may_send_more(UpstreamConnection& upstream) {
  auto [id, number] = upstream.attempt_id();
  const PendingRequest& request = *requests_.find(id);
  const bool is_in_time = is_in_time_to_send(request.attempts[std::size_t(number)]);
  const bool is_wanted = !request.concluded() && (request.body_incomplete || !has_client_left(id));
  if (is_in_time && is_wanted) return true;
  end_unsent_attempt_soon(id, number);
  return false;
}

// The endpoint's machine has not received the request whole. What has been written and not received is
// discarded with the connection.
void RequestForwarder::on_send_deadline(RequestId id, int number) {
  UpstreamConnection* upstream = upstream_of(id, number);
  if (!upstream || upstream->is_request_delivered()) return;
  const Outcome outcome = upstream->may_have_run() ? Outcome::TimedOut : Outcome::NotSent;
  detach_and_close(*upstream);
  report_attempt_end(id, number, outcome, nullptr);
}

void RequestForwarder::end_unsent_attempt(RequestId id, int number) {
  UpstreamConnection* upstream = upstream_of(id, number);
  if (!upstream) return;
  detach_and_close(*upstream);
  report_attempt_end(id, number, Outcome::NotSent, nullptr);
}

void RequestForwarder::end_unsent_attempt_soon(RequestId id, int number) {
  loop_.post(alive_.guard([this, id, number] { end_unsent_attempt(id, number); }));
}

}  // namespace puffinvane
