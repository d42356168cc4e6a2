// The pending requests, each with what is needed to send it again and with its attempts.
#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "puffinvane/policy.h"
#include "src/http/headers.h"
#include "src/http/http.h"
#include "src/net/loop.h"

namespace puffinvane {

class DownstreamConnection;
class UpstreamConnection;

constexpr std::string_view kRequestIdHeader = "X-Correlation-Id";  // unique to each request of a client

// All times are seconds on the loop's clock.
struct PendingAttempt {
  std::string endpoint;
  double started_at = 0;
  double deadline = 0;
  double send_deadline = std::numeric_limits<double>::infinity();  // see AttemptLimits
  UpstreamConnection* upstream = nullptr;  // null once it has ended, even if the policy is not told yet
  bool reported = false;                   // the policy was told of its end
  bool is_permission_recheck_due = false;  // a timer will ask again whether it may be sent
  bool may_have_run = false;               // as of its end; while it is in flight its connection tells
  // Of a body that is held whole. For one that is forwarded in chunks while it arrives: 1 once the last chunk
  // was passed to the connection, else 0.
  std::size_t body_bytes_sent = 0;
  // If it reuses an idle connection: for how long that had been idle.
  std::optional<double> reused_after_idle_s = {};
};

struct PendingRequest {
  HttpMessage message;
  double deadline = 0;
  DownstreamConnection* downstream = nullptr;  // null once it is answered or its client has left
  UpstreamConnection* relay = nullptr;         // the connection whose response is being relayed to the client
  const RequestClass* request_class = nullptr;
  // The last error response of an endpoint, which the client gets if no attempt succeeds.
  std::optional<HttpMessage> error_response = {};
  std::vector<PendingAttempt> attempts = {};
  // Of a body that is forwarded while it arrives:
  bool streams_body = false;
  bool body_incomplete = false;      // more of it is to arrive
  bool body_consumed = false;        // some was sent and released, so the request can't be sent again
  std::size_t first_part_bytes = 0;  // read before the request became pending
  std::optional<std::size_t> body_length = {};  // as declared by the client; empty if it comes in chunks
  // Until the client timeout, counted from the arrival of the last byte of the request.
  double remaining_time_s = 0;

  // Timers that nobody needs once the request is removed.
  std::vector<AlarmId> alarms = {};
  std::optional<AlarmId> upload_alarm = {};  // for the deadline of an upload, which may be set anew often

  // Its response has been sent or is being relayed, or its client has left.
  bool concluded() const { return !downstream || relay; }
  // Its response has been sent or its client has left.
  bool client_is_done() const { return !downstream; }
};

// The id that the client gave it; empty if none.
inline std::string_view client_id_of(const PendingRequest& request) {
  return request.message.header(kRequestIdHeader);
}

class PendingRequests {
 public:
  // Whether a request with this client-assigned id is pending. Endpoints would take a second one for a repeat
  // of the first.
  bool has_client_id(std::string_view id) const { return client_ids_.contains(id); }
  RequestId add(PendingRequest request) {
    while (requests_.contains(++last_id_)) {
    }
    client_ids_.emplace(request.message.header(kRequestIdHeader));
    requests_.emplace(last_id_, std::move(request));
    return last_id_;
  }
  const PendingRequest* find(RequestId id) const {
    auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  PendingRequest* find(RequestId id) {
    auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // Takes the request out if its client is done and the policy knows of the end of each attempt.
  std::optional<PendingRequest> take_if_finished(RequestId id) {
    auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.client_is_done()) return {};
    for (const PendingAttempt& attempt : found->second.attempts) {
      if (!attempt.reported) return {};
    }
    PendingRequest finished = std::move(found->second);
    client_ids_.erase(std::string(finished.message.header(kRequestIdHeader)));
    requests_.erase(found);
    return finished;
  }
  std::size_t count() const { return requests_.size(); }
  const std::unordered_map<RequestId, PendingRequest>& all() const { return requests_; }
  // The requests that are neither answered nor abandoned by their clients.
  std::size_t active_count() const {
    return std::size_t(std::count_if(requests_.begin(), requests_.end(),
                                     [](const auto& one) { return !one.second.client_is_done(); }));
  }

 private:
  RequestId last_id_ = 0;
  std::unordered_map<RequestId, PendingRequest> requests_;
  std::set<std::string, std::less<>> client_ids_;
};

}  // namespace puffinvane
