#include "src/admin/shadow_policy.h"

#include <algorithm>
#include <utility>

namespace puffinvane {

std::string write_differences(const Differences& counted) {
  static constexpr const char* kNames[] = {"endpoint", "copy", "ended", "aside", "over_share"};
  std::string text = "{\"visits\":" + std::to_string(counted.requests);
  text += ",\"fetches\":" + std::to_string(counted.attempts);
  for (std::size_t i = 0; i < counted.by_kind.size(); ++i)
    text.append(",\"").append(kNames[i]).append("\":") += std::to_string(counted.by_kind[i]);
  return text + "}\n";
}

class ShadowPolicy::Listener final : public Host {
 public:
  Listener(ShadowPolicy& owner, Side side) : owner_(owner), side_(side) {}
  void start_attempt(RequestId request, std::string_view endpoint, double attempt_deadline) override {
    owner_.attempted(side_, request, endpoint);
    if (side_ == Acting) owner_.host_.start_attempt(request, endpoint, attempt_deadline);
  }
  void cancel_attempt(RequestId request, int number) override {
    if (side_ == Acting) owner_.host_.cancel_attempt(request, number);
    else owner_.cancelled(request, number);
  }
  void reject_request(RequestId request, double wait) override {
    owner_.answered(side_, request);
    if (side_ == Acting) owner_.host_.reject_request(request, wait);
  }
  void fail_request(RequestId request) override {
    owner_.answered(side_, request);
    if (side_ == Acting) owner_.host_.fail_request(request);
  }
  void schedule_timer(double at, std::uint64_t token) override { owner_.wake(side_, at, token); }
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
                           Differences& counted, const PolicyFactory& make)
    : host_(host), counted_(counted), now_(now) {
  for (Side side : {Acting, Imagined}) {
    listeners_[side] = std::make_unique<Listener>(*this, side);
    sides_[side] = make(now, side == Acting ? acting : shadow, seed, *listeners_[side]);
  }
}

ShadowPolicy::~ShadowPolicy() = default;

// ---- what either asks for

void ShadowPolicy::attempted(Side side, RequestId request, std::string_view endpoint) {
  Compared& compared = requests_[request];
  std::vector<Attempt>& attempts = compared.attempts[side];
  if (std::any_of(attempts.begin(), attempts.end(), [](const Attempt& attempt) { return attempt.out; }))
    ++compared.hedges[side];
  attempts.push_back({std::string(endpoint), now_, true});
}

void ShadowPolicy::answered(Side side, RequestId request) {
  requests_[request].answered[side] = true;
  touched_.push_back(request);
}

void ShadowPolicy::cancelled(RequestId request, int number) { to_cancel_.emplace_back(request, number); }

// What both ask for at one time is one alarm: two would be heard at two times, and equal settings differ.
void ShadowPolicy::wake(Side side, double at, std::uint64_t token) {
  auto [known, fresh] = wakes_by_time_.try_emplace({at, token}, last_wake_ + 1);
  if (fresh) {
    wakes_[++last_wake_] = {at, token, {}};
    host_.schedule_timer(at, last_wake_);
  }
  wakes_.at(known->second).wanted[side] = true;
}

// ---- what happens

void ShadowPolicy::on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) {
  now_ = now;
  for (auto& side : sides_) side->on_endpoint_list(now, scope, entries);
  compare(now);
}

void ShadowPolicy::on_request(double now, const Request& request) {
  now_ = now;
  ++counted_.requests;
  requests_[request.id];
  for (auto& side : sides_) side->on_request(now, request);
  compare(now);
}

void ShadowPolicy::on_attempt_ended(double now, const AttemptEnd& end) {
  now_ = now;
  auto found = requests_.find(end.request);
  if (found != requests_.end())
    found->second.attempts[Acting].at(std::size_t(end.attempt_number)).out = false;
  sides_[Acting]->on_attempt_ended(now, end);
  if (found != requests_.end()) {
    end_imagined(now, end.request, end.attempt_number, &end);
    if (end.request_concluded) close(now, end.request);
    touched_.push_back(end.request);
  }
  compare(now);
}

void ShadowPolicy::on_request_cancelled(double now, RequestId request) {
  now_ = now;
  sides_[Acting]->on_request_cancelled(now, request);
  close(now, request);
  touched_.push_back(request);
  compare(now);
}

void ShadowPolicy::on_timer(double now, std::uint64_t token) {
  now_ = now;
  auto found = wakes_.find(token);
  if (found == wakes_.end()) return;
  Wake wake = found->second;
  wakes_by_time_.erase({wake.at, wake.token});
  wakes_.erase(found);
  for (Side side : {Acting, Imagined}) {
    if (wake.wanted[side]) sides_[side]->on_timer(now, wake.token);
  }
  compare(now);
}

// Nobody knows what an attempt would have met that was not made: it ends as called off, which says nothing of
// its endpoint. One to the same endpoint ends as the one that was made.
void ShadowPolicy::end_imagined(double now, RequestId request, int number, const AttemptEnd* as) {
  Compared& compared = requests_.at(request);
  if (number >= int(compared.attempts[Imagined].size())) return;
  Attempt& attempt = compared.attempts[Imagined][std::size_t(number)];
  if (!std::exchange(attempt.out, false)) return;
  AttemptEnd end{request, number, Outcome::Cancelled, false, now - attempt.sent, {}};
  if (as) end.request_concluded = as->request_concluded;
  if (as && attempt.endpoint == compared.attempts[Acting][std::size_t(number)].endpoint) end = *as;
  sides_[Imagined]->on_attempt_ended(now, end);
}

void ShadowPolicy::close(double now, RequestId request) {
  auto found = requests_.find(request);
  if (found == requests_.end()) return;
  if (!std::exchange(found->second.concluded, true) && !found->second.answered[Imagined])
    sides_[Imagined]->on_request_cancelled(now, request);
}

// Counts a request's differences and forgets it, once it has its answer and none of its attempts is out.
void ShadowPolicy::settle(double now, RequestId request) {
  auto found = requests_.find(request);
  if (found == requests_.end()) return;
  Compared& compared = found->second;
  const auto& [made, imagined] = compared.attempts;
  bool out = std::any_of(made.begin(), made.end(), [](const Attempt& attempt) { return attempt.out; });
  if (out || !(compared.concluded || compared.answered[Acting])) return;
  close(now, request);
  for (std::size_t n = 0; n < imagined.size(); ++n) end_imagined(now, request, int(n), nullptr);
  counted_.attempts += made.size();
  for (std::size_t n = 0; n < std::min(made.size(), imagined.size()); ++n)
    differ(Differs::Endpoint, made[n].endpoint != imagined[n].endpoint);
  differ(Differs::Hedge, compared.hedges[Acting] != compared.hedges[Imagined]);
  differ(Differs::Ended, compared.answered[Acting] != compared.answered[Imagined]);
  differ(Differs::OverShare, compared.over_share[Acting] != compared.over_share[Imagined]);
  requests_.erase(found);
}

void ShadowPolicy::compare(double now) {
  for (auto [request, number] : std::exchange(to_cancel_, {})) {
    auto found = requests_.find(request);
    if (found == requests_.end()) continue;
    const std::vector<Attempt>& made = found->second.attempts[Acting];
    bool same =
        number < int(made.size()) && made[std::size_t(number)].out &&
        made[std::size_t(number)].endpoint == found->second.attempts[Imagined][std::size_t(number)].endpoint;
    if (!same) end_imagined(now, request, number, nullptr);
  }
  for (std::size_t i = 0; i < touched_.size(); ++i) settle(now, touched_[i]);
  touched_.clear();
  auto [acting, imagined] = ejections_;
  differ(Differs::Ejected, acting > imagined ? acting - imagined : imagined - acting);
  ejections_ = {};
}

}  // namespace puffinvane
