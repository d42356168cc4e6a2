// Whether a request forwarder may still send: asked when bytes are about to be written, as what was true when
// the policy decided the attempt may have changed since. The connection may have come up late, the endpoint
// may take the request slowly, and this process may have stalled.
#include "src/proxy/request_forwarder.h"

namespace puffinvane {

namespace {
// Seconds before its send deadline from which nothing more of an attempt is written: this process may be held
// up between the check and the write, and what the system has taken needs time to reach the endpoint.
constexpr double kSendMargin = 0.1;
}  // namespace

bool RequestForwarder::is_in_time_to_send(const PendingAttempt& attempt) const {
  return loop_.now() < attempt.send_deadline - kSendMargin;
}

bool RequestForwarder::may_send_more(UpstreamConnection& upstream) {
  auto [id, number] = upstream.attempt_id();
  if (is_in_time_to_send(requests_.find(id)->attempts[std::size_t(number)])) return true;
  end_unsent_attempt_soon(id, number);
  return false;
}

// The endpoint's machine has not received the request whole. What has been written and not received is
// discarded with the connection.
void RequestForwarder::on_send_deadline(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  UpstreamConnection* upstream = request ? request->attempts[std::size_t(number)].upstream : nullptr;
  if (!upstream || upstream->is_request_delivered()) return;
  const Outcome outcome = upstream->may_have_run() ? Outcome::TimedOut : Outcome::NotSent;
  detach_and_close(*upstream);
  report_attempt_end(id, number, outcome, nullptr);
}

void RequestForwarder::end_unsent_attempt(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  UpstreamConnection* upstream = request ? request->attempts[std::size_t(number)].upstream : nullptr;
  if (!upstream) return;
  detach_and_close(*upstream);
  report_attempt_end(id, number, Outcome::NotSent, nullptr);
}

void RequestForwarder::end_unsent_attempt_soon(RequestId id, int number) {
  loop_.post(alive_.guard([this, id, number] { end_unsent_attempt(id, number); }));
}

}  // namespace puffinvane
