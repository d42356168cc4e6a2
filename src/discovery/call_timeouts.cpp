#include "src/discovery/call_timeouts.h"

#include <algorithm>
#include <cmath>

namespace puffinvane {

namespace {

// A change must be received within 6 s after discovery has it and can be reached, however the earlier calls
// failed. The worst cases below combine one fault of each kind. Each timeout is noticed up to 0.05 s late.
// In pushed mode the timeouts of connections and of short answers begin lower and grow to the values here.
constexpr double kConnectSeconds = 0.4;

// Pushed mode: a call is replaced by a new one this long after it was sent, or after its full list was
// received. A call for changes is answered by its response head, as there may be no changes to send; a call
// for all endpoints is answered only by a list. Worst case, in which a change is received after 2.05 + 0.45 +
// 1.65 + 0.85 + 0.45 = 5.45 s: a watch that no longer sends its lists, a connection that is never
// established, a call that gets only the response head, a silent call, and another connection that is never
// established.
constexpr double kRenewalSeconds = 1.6;
constexpr double kFullListRenewalSeconds = 2;
constexpr double kPushedAnswerSeconds = 0.8;

// On request: discovery sends a blank line every 2 s while nothing changes, possibly as the first line, and a
// call is queued there for up to 2 s. Worst case, in which a change is received after 2.45 + 0.45 + 2.25 +
// 0.5 = 5.65 s: a watch that falls silent, a connection that is never established, a silent call, and the
// backoff before the next call.
constexpr double kSilenceSeconds = 2.4;
constexpr double kOnRequestAnswerSeconds = 2.2;

// On request: while a list is being received, the timeout is extended to this long after the last byte.
// Otherwise a call that was queued for long would be abandoned in the middle of its list, and the next one
// would be queued again.
constexpr double kListPauseSeconds = 0.2;

constexpr double kMaxListSeconds = 4;

// Pushed mode: how long a list may pause at first.
constexpr double kFirstPartialListPauseSeconds = 0.1;

// Pushed mode: what the agent has counts as notified although a change that it sent may be lost without a
// sign. Where the answer is short, a call is therefore renewed so soon that the change is received within
// the grace of a drain although kFaultsWithinGrace calls in a row fail, each in any way.
constexpr double kCheapRenewalSeconds = 0.1;
constexpr double kFirstCheapAnswerSeconds = 0.1;
constexpr double kFirstPushedConnectSeconds = 0.1;
constexpr int kFaultsWithinGrace = 3;
// From then on each timeout is twice as long as the one before, for an agent that is slow.
constexpr int kMaxDoublings = 3;
// A call may take twice the time of the last answer, up to this.
constexpr double kMaxExpectedAnswerSeconds = 0.3;

}  // namespace

double CallTimeouts::connect_timeout_s() const {
  if (mode_ == DiscoveryMode::OnRequest) return kConnectSeconds;
  return retry_timeout_s(kFirstPushedConnectSeconds, kConnectSeconds);
}

// The response time of a call on request includes the time in discovery's queue, so it doesn't tell how long
// a list takes. Only the arrival of a list extends such a timeout.
double CallTimeouts::response_timeout_s(const CallProgress& progress) const {
  bool awaits_full_list = mode_ == DiscoveryMode::Pushed && progress.scope == CallScope::FullList;
  bool awaits_list = awaits_full_list || progress.has_partial_list;
  bool is_short = mode_ == DiscoveryMode::Pushed && progress.is_answer_cheap && !progress.has_partial_list;
  if (is_short) {
    double first_s = std::clamp(2 * last_answer_s_, kFirstCheapAnswerSeconds, kMaxExpectedAnswerSeconds);
    return retry_timeout_s(first_s, kPushedAnswerSeconds);
  }
  double list_s = std::max(list_timeout_s_, arriving_list_timeout_s(progress));
  return awaits_list ? std::max(min_response_timeout_s(), list_s) : min_response_timeout_s();
}

double CallTimeouts::watch_timeout_s(const CallProgress& progress) const {
  if (mode_ == DiscoveryMode::OnRequest) return std::max(kSilenceSeconds, arriving_list_timeout_s(progress));
  bool had_full_list = progress.scope == CallScope::FullList || progress.has_full_list;
  double renewal_s = had_full_list ? kFullListRenewalSeconds : kRenewalSeconds;
  if (progress.is_renewal_cheap && !progress.has_partial_list) return kCheapRenewalSeconds;
  return progress.has_partial_list ? std::max(renewal_s, list_timeout_s_) : renewal_s;
}

void CallTimeouts::on_call_unanswered() { ++unanswered_in_a_row_; }

void CallTimeouts::on_call_answered(double after_s) {
  unanswered_in_a_row_ = 0;
  last_answer_s_ = after_s;
}

void CallTimeouts::record_response_time(double duration_s) {
  list_timeout_s_ = std::min(kMaxListSeconds, 2 * duration_s);
}

void CallTimeouts::on_list_late_for_response() { extend_list_timeout(min_response_timeout_s()); }

void CallTimeouts::on_list_late_for_renewal() { extend_list_timeout(kRenewalSeconds); }

double CallTimeouts::partial_list_pause_s() const {
  return doubled_after_grace(kFirstPartialListPauseSeconds, kMaxListSeconds, cut_off_in_a_row_);
}

void CallTimeouts::on_list_cut_off() { ++cut_off_in_a_row_; }

void CallTimeouts::on_list_complete() { cut_off_in_a_row_ = 0; }

double CallTimeouts::arriving_list_timeout_s(const CallProgress& progress) const {
  if (mode_ == DiscoveryMode::Pushed || !progress.has_partial_list) return 0;
  return std::min(kMaxListSeconds, progress.last_bytes_after_s + kListPauseSeconds);
}

double CallTimeouts::min_response_timeout_s() const {
  return mode_ == DiscoveryMode::Pushed ? kPushedAnswerSeconds : kOnRequestAnswerSeconds;
}

double CallTimeouts::retry_timeout_s(double first_s, double max_s) const {
  return doubled_after_grace(first_s, max_s, unanswered_in_a_row_);
}

double CallTimeouts::doubled_after_grace(double first_s, double max_s, int faults_in_a_row) {
  int doublings = std::clamp(faults_in_a_row + 1 - kFaultsWithinGrace, 0, kMaxDoublings);
  return std::min(max_s, std::ldexp(first_s, doublings));
}

void CallTimeouts::extend_list_timeout(double min_s) {
  list_timeout_s_ = std::min(kMaxListSeconds, 2 * std::max(min_s, list_timeout_s_));
}

}  // namespace puffinvane
