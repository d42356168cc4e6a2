#include "src/admin/shadow_policy.h"

#include <algorithm>
#include <utility>

namespace puffinvane {

std::string write_differences(const Differences& differences) {
  static constexpr const char* kNames[] = {"endpoint", "copy", "ended", "aside", "over_share"};
  std::string text = "{\"visits\":" + std::to_string(differences.requests);
  text += ",\"fetches\":" + std::to_string(differences.attempts);
  for (std::size_t i = 0; i < differences.by_kind.size(); ++i)
    text.append(",\"").append(kNames[i]).append("\":") += std::to_string(differences.by_kind[i]);
  return text + "}\n";
}

class ShadowPolicy::SideHost final : public Host {
 public:
  SideHost(ShadowPolicy& owner, Side side) : owner_(owner), side_(side) {}
  void start_attempt(RequestId request, std::string_view endpoint, const AttemptLimits& limits) override {
    owner_.record_attempt(side_, request, endpoint);
    if (side_ == Acting) owner_.host_.start_attempt(request, endpoint, limits);
  }
  void cancel_attempt(RequestId request, int number) override {
    if (side_ == Acting) owner_.host_.cancel_attempt(request, number);
    else owner_.record_cancellation(request, number);
  }
  void reject_request(RequestId request, double wait) override {
    owner_.record_answer(side_, request);
    if (side_ == Acting) owner_.host_.reject_request(request, wait);
  }
  void fail_request(RequestId request) override {
    owner_.record_answer(side_, request);
    if (side_ == Acting) owner_.host_.fail_request(request);
  }
  void schedule_timer(double at, std::uint64_t token) override { owner_.schedule_timer(side_, at, token); }
  void poll_endpoint_list() override {
    if (side_ == Acting) owner_.host_.poll_endpoint_list();
  }
  void log(std::string_view text) override {
    if (side_ == Acting) owner_.host_.log(text);
  }
  void on_observation(PolicyObservation what, RequestId request) override {
    if (what == PolicyObservation::EndpointEjected) ++owner_.ejections_[side_];
    else if (auto found = owner_.requests_.find(request); found != owner_.requests_.end())
      found->second.over_share[side_] = true;
  }

 private:
  ShadowPolicy& owner_;
  const Side side_;
};

ShadowPolicy::ShadowPolicy(double now, Deployment acting, Deployment shadow, std::uint64_t seed, Host& host,
                           Differences& differences, const PolicyFactory& make)
    : host_(host), differences_(differences), now_(now) {
  for (Side side : {Acting, Shadow}) {
    hosts_[side] = std::make_unique<SideHost>(*this, side);
    sides_[side] = make(now, side == Acting ? acting : shadow, seed, *hosts_[side]);
  }
}

ShadowPolicy::~ShadowPolicy() = default;

// ---- decisions of the policies

void ShadowPolicy::record_attempt(Side side, RequestId request, std::string_view endpoint) {
  Compared& compared = requests_[request];
  std::vector<Attempt>& attempts = compared.attempts[side];
  if (std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.pending; }))
    ++compared.hedges[side];
  attempts.push_back({std::string(endpoint), now_, true});
}

void ShadowPolicy::record_answer(Side side, RequestId request) {
  requests_[request].answered[side] = true;
  changed_requests_.push_back(request);
}

void ShadowPolicy::record_cancellation(RequestId request, int number) {
  shadow_cancellations_.emplace_back(request, number);
}

// Both policies share one timer if they ask for the same token at the same time: with two timers they would
// see different times, and equal settings would make different decisions.
void ShadowPolicy::schedule_timer(Side side, double due, std::uint64_t token) {
  auto [known, fresh] = timers_by_time_.try_emplace({due, token}, last_timer_ + 1);
  if (fresh) {
    timers_[++last_timer_] = {due, token, {}};
    host_.schedule_timer(due, last_timer_);
  }
  timers_.at(known->second).requested_by[side] = true;
}

// ---- events

void ShadowPolicy::on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) {
  now_ = now;
  for (auto& side : sides_) side->on_endpoint_list(now, scope, entries);
  process_changes(now);
}

void ShadowPolicy::on_request(double now, const Request& request) {
  now_ = now;
  ++differences_.requests;
  requests_[request.id];
  for (auto& side : sides_) side->on_request(now, request);
  process_changes(now);
}

void ShadowPolicy::on_attempt_ended(double now, const AttemptEnd& end) {
  now_ = now;
  auto found = requests_.find(end.request);
  if (found != requests_.end())
    found->second.attempts[Acting].at(std::size_t(end.attempt_number)).pending = false;
  sides_[Acting]->on_attempt_ended(now, end);
  if (found != requests_.end()) {
    end_shadow_attempt(now, end.request, end.attempt_number, &end);
    if (end.request_concluded) conclude(now, end.request);
    changed_requests_.push_back(end.request);
  }
  process_changes(now);
}

void ShadowPolicy::on_request_cancelled(double now, RequestId request) {
  now_ = now;
  sides_[Acting]->on_request_cancelled(now, request);
  conclude(now, request);
  changed_requests_.push_back(request);
  process_changes(now);
}

void ShadowPolicy::on_timer(double now, std::uint64_t token) {
  now_ = now;
  auto found = timers_.find(token);
  if (found == timers_.end()) return;
  Timer timer = found->second;
  timers_by_time_.erase({timer.due, timer.token});
  timers_.erase(found);
  for (Side side : {Acting, Shadow}) {
    if (timer.requested_by[side]) sides_[side]->on_timer(now, timer.token);
  }
  process_changes(now);
}

// Ends an attempt that the shadow policy started. If the acting policy sent the same attempt to the same
// endpoint, it ends in the same way. Otherwise its outcome is unknown, so it ends as cancelled, which says
// nothing about its endpoint.
void ShadowPolicy::end_shadow_attempt(double now, RequestId request, int number,
                                      const AttemptEnd* acting_end) {
  Compared& compared = requests_.at(request);
  if (number >= int(compared.attempts[Shadow].size())) return;
  Attempt& attempt = compared.attempts[Shadow][std::size_t(number)];
  if (!std::exchange(attempt.pending, false)) return;
  AttemptEnd end{request, number, Outcome::Cancelled, false, now - attempt.sent, {}};
  if (acting_end) end.request_concluded = acting_end->request_concluded;
  if (acting_end && attempt.endpoint == compared.attempts[Acting][std::size_t(number)].endpoint)
    end = *acting_end;
  sides_[Shadow]->on_attempt_ended(now, end);
}

void ShadowPolicy::conclude(double now, RequestId request) {
  auto found = requests_.find(request);
  if (found == requests_.end()) return;
  if (!std::exchange(found->second.concluded, true) && !found->second.answered[Shadow])
    sides_[Shadow]->on_request_cancelled(now, request);
}

// Counts the differences of a request and forgets it, once it is answered and has no pending attempts.
void ShadowPolicy::finish(double now, RequestId request) {
  auto found = requests_.find(request);
  if (found == requests_.end()) return;
  Compared& compared = found->second;
  const auto& [acting, shadow] = compared.attempts;
  bool has_pending =
      std::any_of(acting.begin(), acting.end(), [](const Attempt& attempt) { return attempt.pending; });
  if (has_pending || !(compared.concluded || compared.answered[Acting])) return;
  conclude(now, request);
  for (std::size_t n = 0; n < shadow.size(); ++n) end_shadow_attempt(now, request, int(n), nullptr);
  differences_.attempts += acting.size();
  for (std::size_t n = 0; n < std::min(acting.size(), shadow.size()); ++n)
    count_differences(DecisionKind::Endpoint, acting[n].endpoint != shadow[n].endpoint);
  count_differences(DecisionKind::Hedge, compared.hedges[Acting] != compared.hedges[Shadow]);
  count_differences(DecisionKind::Ended, compared.answered[Acting] != compared.answered[Shadow]);
  count_differences(DecisionKind::OverShare, compared.over_share[Acting] != compared.over_share[Shadow]);
  requests_.erase(found);
}

void ShadowPolicy::process_changes(double now) {
  for (auto [request, number] : std::exchange(shadow_cancellations_, {})) {
    auto found = requests_.find(request);
    if (found == requests_.end()) continue;
    const std::vector<Attempt>& acting = found->second.attempts[Acting];
    bool same =
        number < int(acting.size()) && acting[std::size_t(number)].pending &&
        acting[std::size_t(number)].endpoint == found->second.attempts[Shadow][std::size_t(number)].endpoint;
    if (!same) end_shadow_attempt(now, request, number, nullptr);
  }
  for (std::size_t i = 0; i < changed_requests_.size(); ++i) finish(now, changed_requests_[i]);
  changed_requests_.clear();
  auto [acting, shadow] = ejections_;
  count_differences(DecisionKind::Ejected, acting > shadow ? acting - shadow : shadow - acting);
  ejections_ = {};
}

}  // namespace puffinvane
