#include "tools/load_test/baselines/baselines.h"

#include <algorithm>
#include <pcg_random.hpp>
#include <unordered_map>

namespace load_test {

using namespace puffinvane;

namespace {

// A request gets its final response this long before its client timeout expires, in seconds.
constexpr double kDeadlineMargin = 0.02;

struct Endpoint {
  std::string name;
  int pending = 0;
};
using Endpoints = std::vector<Endpoint>;

class EndpointSelector {
 public:
  virtual ~EndpointSelector() = default;
  virtual std::size_t select(const Endpoints& endpoints, const std::vector<std::size_t>& candidates) = 0;
};

class Random final : public EndpointSelector {
 public:
  explicit Random(std::uint64_t seed) : random_(seed) {}
  std::size_t select(const Endpoints&, const std::vector<std::size_t>& candidates) override {
    return candidates[random_(std::uint32_t(candidates.size()))];
  }

 private:
  pcg32 random_;
};

class RoundRobin final : public EndpointSelector {
 public:
  explicit RoundRobin(std::uint64_t seed) : next_(std::size_t(seed % 97)) {}
  std::size_t select(const Endpoints&, const std::vector<std::size_t>& candidates) override {
    return candidates[next_++ % candidates.size()];
  }

 private:
  std::size_t next_;
};

class LeastOutstanding final : public EndpointSelector {
 public:
  explicit LeastOutstanding(std::uint64_t seed) : random_(seed) {}
  std::size_t select(const Endpoints& endpoints, const std::vector<std::size_t>& candidates) override {
    int least = endpoints[candidates.front()].pending;
    for (std::size_t one : candidates) least = std::min(least, endpoints[one].pending);
    std::vector<std::size_t> tied;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(tied),
                 [&](std::size_t one) { return endpoints[one].pending == least; });
    return tied[random_(std::uint32_t(tied.size()))];
  }

 private:
  pcg32 random_;
};

class TwoChoices final : public EndpointSelector {
 public:
  explicit TwoChoices(std::uint64_t seed) : random_(seed) {}
  std::size_t select(const Endpoints& endpoints, const std::vector<std::size_t>& candidates) override {
    auto draw = [&] { return candidates[random_(std::uint32_t(candidates.size()))]; };
    std::size_t one = draw(), other = draw();
    return endpoints[other].pending < endpoints[one].pending ? other : one;
  }

 private:
  pcg32 random_;
};

class BaselinePolicy final : public Policy {
 public:
  BaselinePolicy(Deployment deployment, std::unique_ptr<EndpointSelector> selector, Host& host)
      : deployment_(std::move(deployment)), selector_(std::move(selector)), host_(host) {}

  void on_endpoint_list(double, ListScope scope, std::span<const ListEntry> entries) override {
    Endpoints updated = scope == ListScope::Changes ? endpoints_ : Endpoints();
    for (const ListEntry& entry : entries) {
      std::erase_if(updated, [&](const Endpoint& one) { return one.name == entry.endpoint; });
      if (entry.state != ListedState::Ready) continue;
      const Endpoint* known = find(entry.endpoint);
      updated.push_back({entry.endpoint, known ? known->pending : 0});
    }
    endpoints_ = std::move(updated);
  }
  void on_request(double now, const Request& request) override {
    const RequestClass* request_class = nullptr;
    for (const RequestClass& candidate : deployment_.request_classes) {
      if (candidate.name == request.request_class) request_class = &candidate;
    }
    requests_[request.id] = {request_class, {}, false, 0, false};
    host_.schedule_timer(now + std::max(0.0, request.remaining_time_s - kDeadlineMargin), request.id);
    start_attempt(now, request.id);
  }
  void on_attempt_ended(double now, const AttemptEnd& end) override {
    auto found = requests_.find(end.request);
    if (found == requests_.end()) return;
    PendingRequest& request = found->second;
    const std::string& endpoint = request.endpoints[std::size_t(end.attempt_number)];
    if (Endpoint* one = find(endpoint)) --one->pending;
    --request.pending;
    if (end.request_concluded || request.concluded) return erase_if_idle(found);
    bool not_executed = end.outcome == Outcome::Refused || end.outcome == Outcome::ConnectFailed ||
                        end.outcome == Outcome::NotSent;
    request.may_have_run |= !not_executed;
    bool may_retry = !request.may_have_run || request.request_class->idempotency == Idempotency::Safe;
    if (may_retry && int(request.endpoints.size()) < deployment_.max_attempts)
      return start_attempt(now, end.request);
    conclude_unserved(end.request);
  }
  void on_request_cancelled(double, RequestId id) override {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    found->second.concluded = true;
    for (std::size_t i = 0; i < found->second.endpoints.size(); ++i) host_.cancel_attempt(id, int(i));
    erase_if_idle(requests_.find(id));
  }
  void on_timer(double, std::uint64_t token) override {
    auto found = requests_.find(RequestId(token));
    if (found != requests_.end() && !found->second.concluded) conclude_unserved(RequestId(token));
  }

 private:
  struct PendingRequest {
    const RequestClass* request_class = nullptr;
    std::vector<std::string> endpoints;  // of its attempts, by attempt number
    bool may_have_run = false;
    int pending = 0;
    bool concluded = false;
  };

  Endpoint* find(const std::string& name) {
    auto found = std::find_if(endpoints_.begin(), endpoints_.end(),
                              [&](const Endpoint& one) { return one.name == name; });
    return found == endpoints_.end() ? nullptr : &*found;
  }
  void start_attempt(double, RequestId id) {
    PendingRequest& request = requests_[id];
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      if (std::find(request.endpoints.begin(), request.endpoints.end(), endpoints_[i].name) ==
          request.endpoints.end())
        candidates.push_back(i);
    }
    if (candidates.empty()) return conclude_unserved(id);
    Endpoint& endpoint = endpoints_[selector_->select(endpoints_, candidates)];
    ++endpoint.pending;
    ++request.pending;
    request.endpoints.push_back(endpoint.name);
    host_.start_attempt(id, endpoint.name, {});
  }
  void conclude_unserved(RequestId id) {
    PendingRequest& request = requests_[id];
    request.concluded = true;
    // An attempt that is still pending may run on the endpoint, so the request may be rejected only when it
    // is known not to have run.
    if (request.pending == 0 && !request.may_have_run) host_.reject_request(id, 0.2);
    else host_.fail_request(id);
    for (std::size_t i = 0; i < request.endpoints.size(); ++i) host_.cancel_attempt(id, int(i));
    erase_if_idle(requests_.find(id));
  }
  void erase_if_idle(std::unordered_map<RequestId, PendingRequest>::iterator found) {
    if (found != requests_.end() && found->second.pending <= 0) requests_.erase(found);
  }

  const Deployment deployment_;
  std::unique_ptr<EndpointSelector> selector_;
  Host& host_;
  Endpoints endpoints_;
  std::unordered_map<RequestId, PendingRequest> requests_;
};

template <typename Selector>
std::unique_ptr<Policy> create_policy(double, Deployment deployment, std::uint64_t seed, Host& host) {
  return std::make_unique<BaselinePolicy>(std::move(deployment), std::make_unique<Selector>(seed), host);
}

constexpr Baseline kBaselines[] = {{"random", create_policy<Random>},
                                   {"round-robin", create_policy<RoundRobin>},
                                   {"least-outstanding", create_policy<LeastOutstanding>},
                                   {"two-choices", create_policy<TwoChoices>}};

}  // namespace

std::span<const Baseline> baselines() { return kBaselines; }

}  // namespace load_test
