#include "src/discovery/call_timeouts.h"

#include <algorithm>

namespace puffinvane {

namespace {

// A change must be received 6 s after discovery had it and could be reached, whatever became of the calls
// before. Each timeout is noticed up to 0.05 s late; the longest chains have one of each fault.
constexpr double kConnectSeconds = 0.4;

// Pushed mode: a call is renewed this long after it was sent, or after a full list came. A call for changes
// may have nothing to say, so its head is an answer; only a list answers a call for all endpoints. With a
// connection that never comes up, a call of which only the head comes and another connection that never comes
// up, a change is received after 2.05 + 0.45 + 1.65 + 0.85 + 0.45 = 5.45 s.
constexpr double kRenewalSeconds = 1.6;
constexpr double kFullListRenewalSeconds = 2;
constexpr double kPushedAnswerSeconds = 0.8;

// On request: a blank line comes every 2 s while nothing changes, also as the first line, and a call waits up
// to 2 s for its turn. With a connection that never comes up and a silent call after a watch that fell
// silent, a change is received after 2.45 + 0.45 + 2.25 + 0.5 = 5.65 s.
constexpr double kSilenceSeconds = 2.4;
constexpr double kOnRequestAnswerSeconds = 2.2;

// On request, a list of which bytes came within this time goes on arriving: a call that got its turn late
// would else be given up in the middle of its list, and the next one waits for its turn again.
constexpr double kListPauseSeconds = 0.2;

constexpr double kMaxListSeconds = 4;

}  // namespace

double CallTimeouts::connect_s() const { return kConnectSeconds; }

// A call on request waits for its turn, which says nothing of how long a list takes to arrive.
double CallTimeouts::response_s(const CallProgress& progress) const {
  bool awaits_full_list = mode_ == DiscoveryMode::Pushed && progress.scope == CallScope::FullList;
  bool awaits_list = awaits_full_list || progress.has_partial_list;
  double list_s = std::max(list_s_, arriving_list_s(progress));
  return awaits_list ? std::max(first_answer_s(), list_s) : first_answer_s();
}

double CallTimeouts::watch_s(const CallProgress& progress) const {
  if (mode_ == DiscoveryMode::OnRequest) return std::max(kSilenceSeconds, arriving_list_s(progress));
  bool had_full_list = progress.scope == CallScope::FullList || progress.has_full_list;
  double renewal_s = had_full_list ? kFullListRenewalSeconds : kRenewalSeconds;
  return progress.has_partial_list ? std::max(renewal_s, list_s_) : renewal_s;
}

void CallTimeouts::on_answer(double duration_s) { list_s_ = std::min(kMaxListSeconds, 2 * duration_s); }

void CallTimeouts::on_list_late_for_response() { extend_list_timeout(first_answer_s()); }

void CallTimeouts::on_list_late_for_renewal() { extend_list_timeout(kRenewalSeconds); }

double CallTimeouts::arriving_list_s(const CallProgress& progress) const {
  if (mode_ == DiscoveryMode::Pushed || !progress.has_partial_list) return 0;
  return std::min(kMaxListSeconds, progress.last_bytes_after_s + kListPauseSeconds);
}

double CallTimeouts::first_answer_s() const {
  return mode_ == DiscoveryMode::Pushed ? kPushedAnswerSeconds : kOnRequestAnswerSeconds;
}

void CallTimeouts::extend_list_timeout(double min_s) {
  list_s_ = std::min(kMaxListSeconds, 2 * std::max(min_s, list_s_));
}

}  // namespace puffinvane
