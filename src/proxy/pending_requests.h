// The pending requests, with what is needed to send them again and to know when nothing more can come of
// them.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "puffinvane/policy.h"
#include "src/http/http.h"

namespace puffinvane {

class DownstreamConnection;
class UpstreamConnection;

constexpr std::string_view kRequestIdHeader = "X-Correlation-Id";  // new with every request

struct PendingAttempt {
  std::string endpoint;
  double sent = 0, ends = 0;
  UpstreamConnection* upstream = nullptr;  // none: ended, though the module may not have been told yet
  bool reported = false;
  std::size_t body_sent = 0;
  std::optional<double> stood_idle = {};  // for how long its connection had, if it was kept
};

struct PendingRequest {
  HttpMessage message;
  double until = 0;
  DownstreamConnection* downstream = nullptr;  // none: answered or gone
  UpstreamConnection* relay = nullptr;         // its answer is being passed on from there
  const RequestClass* request_class = nullptr;
  std::optional<HttpMessage> failed = {};  // the last answer that was one and is no good
  std::vector<PendingAttempt> attempts = {};
  // Of a body that was not held whole: whether more is to come, and all its length, if that was told.
  bool streams = false, coming = false, spent = false;
  std::optional<std::size_t> length = {};
  double time_left = 0;  // of its client, once the last byte has come

  bool concluded() const { return !downstream || relay; }
  bool over() const { return !downstream; }
};

class PendingRequests {
 public:
  // Whether a request with its client's id is in hand: a second one would be taken for its repeat.
  bool open(std::string_view id) const { return open_.contains(id); }
  RequestId add(PendingRequest request) {
    while (in_hand_.contains(++last_)) {
    }
    open_.emplace(request.message.header(kRequestIdHeader));
    in_hand_.emplace(last_, std::move(request));
    return last_;
  }
  PendingRequest* find(RequestId id) {
    auto found = in_hand_.find(id);
    return found == in_hand_.end() ? nullptr : &found->second;
  }
  void forget_if_over(RequestId id) {
    auto found = in_hand_.find(id);
    if (found == in_hand_.end() || !found->second.over()) return;
    for (const PendingAttempt& attempt : found->second.attempts) {
      if (!attempt.reported) return;
    }
    open_.erase(std::string(found->second.message.header(kRequestIdHeader)));
    in_hand_.erase(found);
  }
  std::size_t count() const { return in_hand_.size(); }
  std::size_t under_way() const {  // neither answered nor given up by their clients
    return std::size_t(
        std::count_if(in_hand_.begin(), in_hand_.end(), [](const auto& one) { return !one.second.over(); }));
  }

 private:
  RequestId last_ = 0;
  std::unordered_map<RequestId, PendingRequest> in_hand_;
  std::set<std::string, std::less<>> open_;
};

}  // namespace puffinvane
