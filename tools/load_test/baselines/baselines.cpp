#include "tools/load_test/baselines/baselines.h"

#include <algorithm>
#include <pcg_random.hpp>
#include <unordered_map>

namespace load_test {

using namespace puffinvane;

namespace {

constexpr double kInTime = 0.02;  // seconds before its client timeout that a request gets its last answer

struct Endpoint {
  std::string name;
  int out = 0;
};
using Endpoints = std::vector<Endpoint>;

class Choice {
 public:
  virtual ~Choice() = default;
  virtual std::size_t among(const Endpoints& endpoints, const std::vector<std::size_t>& open) = 0;
};

class Random final : public Choice {
 public:
  explicit Random(std::uint64_t seed) : chance_(seed) {}
  std::size_t among(const Endpoints&, const std::vector<std::size_t>& open) override {
    return open[chance_(std::uint32_t(open.size()))];
  }

 private:
  pcg32 chance_;
};

class RoundRobin final : public Choice {
 public:
  explicit RoundRobin(std::uint64_t seed) : next_(std::size_t(seed % 97)) {}
  std::size_t among(const Endpoints&, const std::vector<std::size_t>& open) override {
    return open[next_++ % open.size()];
  }

 private:
  std::size_t next_;
};

class LeastOutstanding final : public Choice {
 public:
  explicit LeastOutstanding(std::uint64_t seed) : chance_(seed) {}
  std::size_t among(const Endpoints& endpoints, const std::vector<std::size_t>& open) override {
    int least = endpoints[open.front()].out;
    for (std::size_t one : open) least = std::min(least, endpoints[one].out);
    std::vector<std::size_t> tied;
    std::copy_if(open.begin(), open.end(), std::back_inserter(tied),
                 [&](std::size_t one) { return endpoints[one].out == least; });
    return tied[chance_(std::uint32_t(tied.size()))];
  }

 private:
  pcg32 chance_;
};

class TwoChoices final : public Choice {
 public:
  explicit TwoChoices(std::uint64_t seed) : chance_(seed) {}
  std::size_t among(const Endpoints& endpoints, const std::vector<std::size_t>& open) override {
    auto draw = [&] { return open[chance_(std::uint32_t(open.size()))]; };
    std::size_t one = draw(), other = draw();
    return endpoints[other].out < endpoints[one].out ? other : one;
  }

 private:
  pcg32 chance_;
};

class BaselinePolicy final : public Policy {
 public:
  BaselinePolicy(Deployment deployment, std::unique_ptr<Choice> choice, Host& host)
      : deployment_(std::move(deployment)), choice_(std::move(choice)), host_(host) {}

  void on_endpoint_list(double, ListScope scope, std::span<const ListEntry> entries) override {
    Endpoints fresh = scope == ListScope::Changes ? endpoints_ : Endpoints();
    for (const ListEntry& entry : entries) {
      std::erase_if(fresh, [&](const Endpoint& one) { return one.name == entry.endpoint; });
      if (entry.state != ListedState::Ready) continue;
      const Endpoint* known = find(entry.endpoint);
      fresh.push_back({entry.endpoint, known ? known->out : 0});
    }
    endpoints_ = std::move(fresh);
  }
  void on_request(double now, const Request& request) override {
    const RequestClass* request_class = nullptr;
    for (const RequestClass& one : deployment_.request_classes) {
      if (one.name == request.request_class) request_class = &one;
    }
    in_hand_[request.id] = {request_class, {}, false, 0, false};
    host_.schedule_timer(now + std::max(0.0, request.remaining_time_s - kInTime), request.id);
    attempt(now, request.id);
  }
  void on_attempt_ended(double now, const AttemptEnd& end) override {
    auto found = in_hand_.find(end.request);
    if (found == in_hand_.end()) return;
    InHand& request = found->second;
    const std::string& endpoint = request.endpoints[std::size_t(end.attempt_number)];
    if (Endpoint* one = find(endpoint)) --one->out;
    --request.out;
    if (end.request_concluded || request.over) return forget(found);
    bool never = end.outcome == Outcome::Refused || end.outcome == Outcome::ConnectFailed ||
                 end.outcome == Outcome::NotSent;
    request.may_have_run |= !never;
    bool again = !request.may_have_run || request.request_class->idempotency == Idempotency::Safe;
    if (again && int(request.endpoints.size()) < deployment_.max_attempts) return attempt(now, end.request);
    give_up(end.request);
  }
  void on_request_cancelled(double, RequestId id) override {
    auto found = in_hand_.find(id);
    if (found == in_hand_.end()) return;
    found->second.over = true;
    for (std::size_t i = 0; i < found->second.endpoints.size(); ++i) host_.cancel_attempt(id, int(i));
    forget(in_hand_.find(id));
  }
  void on_timer(double, std::uint64_t token) override {
    auto found = in_hand_.find(RequestId(token));
    if (found != in_hand_.end() && !found->second.over) give_up(RequestId(token));
  }

 private:
  struct InHand {
    const RequestClass* request_class = nullptr;
    std::vector<std::string> endpoints;  // of its attempts, in order
    bool may_have_run = false;
    int out = 0;
    bool over = false;
  };

  Endpoint* find(const std::string& name) {
    auto found = std::find_if(endpoints_.begin(), endpoints_.end(),
                              [&](const Endpoint& one) { return one.name == name; });
    return found == endpoints_.end() ? nullptr : &*found;
  }
  void attempt(double, RequestId id) {
    InHand& request = in_hand_[id];
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      if (std::find(request.endpoints.begin(), request.endpoints.end(), endpoints_[i].name) ==
          request.endpoints.end())
        open.push_back(i);
    }
    if (open.empty()) return give_up(id);
    Endpoint& endpoint = endpoints_[choice_->among(endpoints_, open)];
    ++endpoint.out;
    ++request.out;
    request.endpoints.push_back(endpoint.name);
    host_.start_attempt(id, endpoint.name, 0);
  }
  void give_up(RequestId id) {
    InHand& request = in_hand_[id];
    request.over = true;
    // One that is out may run yet: only what is known not to have run is rejected.
    if (request.out == 0 && !request.may_have_run) host_.reject_request(id, 0.2);
    else host_.fail_request(id);
    for (std::size_t i = 0; i < request.endpoints.size(); ++i) host_.cancel_attempt(id, int(i));
    forget(in_hand_.find(id));
  }
  void forget(std::unordered_map<RequestId, InHand>::iterator found) {
    if (found != in_hand_.end() && found->second.out <= 0) in_hand_.erase(found);
  }

  const Deployment deployment_;
  std::unique_ptr<Choice> choice_;
  Host& host_;
  Endpoints endpoints_;
  std::unordered_map<RequestId, InHand> in_hand_;
};

template <typename Chosen>
std::unique_ptr<Policy> make(double, Deployment deployment, std::uint64_t seed, Host& host) {
  return std::make_unique<BaselinePolicy>(std::move(deployment), std::make_unique<Chosen>(seed), host);
}

constexpr Baseline kBaselines[] = {{"random", make<Random>},
                                   {"round-robin", make<RoundRobin>},
                                   {"least-outstanding", make<LeastOutstanding>},
                                   {"two-choices", make<TwoChoices>}};

}  // namespace

std::span<const Baseline> baselines() { return kBaselines; }

}  // namespace load_test
