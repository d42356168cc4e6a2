// The interface of a load balancing policy. An embedder (the proxy, or the simulator adapter) reports events
// to a Policy, and implements a Host, through which the Policy requests actions. All times are in seconds on
// one monotonic clock.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "puffinvane/learned_state.h"

namespace puffinvane {

using RequestId = std::uint32_t;

// How often a request may run. Safe: any number of times. Keyed: it has an idempotency key, and the endpoints
// of one IdempotencyScope suppress repetitions within the idempotency window. Unsafe: at most once.
enum class Idempotency { Safe, Keyed, Unsafe };
// Which endpoints share their record of idempotency keys: all, those of one zone, or those of one cell.
enum class IdempotencyScope { All, Zone, Cell };

// The requests of one path prefix.
struct RequestClass {
  std::string name;
  Idempotency idempotency = Idempotency::Unsafe;
  IdempotencyScope idempotency_scope = IdempotencyScope::Cell;
  double idempotency_window_s = 0;
  double latency_objective_s = 1;
  double priority_weight = 1;  // value of serving one request
  double client_timeout_s = 1;
  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

struct Tenant {
  std::string name;
  double quota_per_s = 0;
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

// The rate of requests that an endpoint can serve after its start: its share of the rate of a warm endpoint
// grows linearly from `initial_share` to 1 within `duration_s`. `overload_multiple` times that rate, measured
// over `overload_window_s`, overloads it. The defaults are the strictest values used in deployments.
struct SlowStartRule {
  double initial_share = 0.1;
  double duration_s = 30;
  double overload_multiple = 2;
  double overload_window_s = 1;
  friend bool operator==(const SlowStartRule&, const SlowStartRule&) = default;
};

// The settings of a deployment, and the position of this instance in it.
struct Deployment {
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  SlowStartRule slow_start;
  int instance_index = 0;
  int instance_count = 1;
  int tier = 0;
  bool last_tier = false;  // no tier behind the endpoints, so their errors are caused by themselves
  int max_attempts = 1;
  bool parallel_attempts = false;  // hedges are allowed
  // Responses report the load of their endpoint (see Load), caused by all instances together.
  bool responses_report_load = false;
  bool may_cancel = false;         // attempts may be cancelled
  bool sends_retry_after = false;  // rejected requests get a Retry-After header
  double connect_timeout_s = 0.25;
  double idle_timeout_s = 10;  // endpoints close connections that have been idle for longer
  bool polls_endpoint_list = false;
  // Endpoints that are listed as removed, or missing from a list, may still receive attempts until they fail;
  // those listed as draining may not.
  bool may_use_unlisted_endpoints = false;
  // Cost of sending every request to another zone, as a share of the served value.
  double cross_zone_price = 0;
  // Endpoints of a cell do less work for a key that one of them served recently.
  bool has_key_affinity = false;
  std::string zone;
  bool priority_by_work = false;  // priority_weight applies per unit of work, else per request
  double list_poll_interval_s = 10;
  double max_retry_after_s = 0;
  double round_trip_s = 0;
  friend bool operator==(const Deployment&, const Deployment&) = default;
};

enum class ListedState { Removed, Ready, Draining };

// One endpoint in an endpoint list from discovery.
struct ListEntry {
  std::string endpoint;
  std::string zone;
  std::int64_t cell = 0;
  ListedState state = ListedState::Ready;
  double weight = 1;          // capacity relative to the other endpoints
  double online_since_s = 0;  // start time; 0: it ran before this process first saw it
  friend bool operator==(const ListEntry&, const ListEntry&) = default;
};

// What a call of on_endpoint_list delivers. Changes: only the entries that changed. Cached: a complete list
// stored by an earlier run. Full: a complete list. Failed: the poll failed and there are no entries.
enum class ListScope { Changes, Cached, Full, Failed };

struct Request {
  RequestId id = 0;
  std::string_view request_class;
  std::string_view tenant;
  double remaining_time_s = 0;  // remaining deadline
  std::string_view key = {};    // identifies the data that the request is about; empty: unknown
  double work_s = 0;            // rough estimate, in seconds of a standard core; 0: unknown
};

// How an attempt ended. Refused: the endpoint declined it without running it. Broken: the connection was
// lost. Stale: the connection had been idle and was found closed; the request may have run, but this is no
// sign of a fault of the endpoint. NotSent: this process did not send the attempt.
enum class Outcome { Delivered, Failed, Refused, TimedOut, ConnectFailed, Broken, Stale, Cancelled, NotSent };

// The load of an endpoint as reported in a response. A negative field was not reported.
struct Load {
  double depth = -1;            // pending requests
  double requests_per_s = -1;   // rate of served requests
  double cpu_utilization = -1;  // 0 to 1
};

struct AttemptEnd {
  RequestId request = 0;
  int attempt_number = 0;  // 0 for the first attempt of the request
  Outcome outcome = Outcome::Failed;
  bool request_concluded = false;  // the client has got the final answer of the request
  double latency_s = 0;
  Load load;
};

// Events that a policy reports for statistics only; a shadow policy counts them.
enum class PolicyObservation { OverQuota, EndpointEjected };

// The position of one instance among all instances of a deployment.
struct InstancePosition {
  int index = 0;
  int count = 1;
};

// How long an attempt may take.
struct AttemptLimits {
  double deadline = 0;  // of its response; 0: the deadline of the request applies
  // The last byte of the request has to be at the endpoint's machine by then. What is still to be sent after
  // that must not be sent.
  double send_deadline = std::numeric_limits<double>::infinity();
};

// The actions that a Policy requests from its embedder. They are only called during a call of the Policy.
class Host {
 public:
  virtual ~Host() = default;
  virtual void start_attempt(RequestId request, std::string_view endpoint, const AttemptLimits& limits) = 0;
  virtual void cancel_attempt(RequestId request, int number) = 0;
  // Ends a request that can't have run, or that may safely run again. `retry_after_s`: when the client should
  // retry, 0 for no advice.
  virtual void reject_request(RequestId request, double retry_after_s) = 0;
  // Ends a request that may have run.
  virtual void fail_request(RequestId request) = 0;
  // The embedder must call Policy::on_timer with `token` at `due_at` or shortly after.
  virtual void schedule_timer(double due_at, std::uint64_t token) = 0;
  // The same for a timer that nobody needs once the request has ended: the embedder may drop it from then on.
  virtual void schedule_request_timer(RequestId /*request*/, double due_at, std::uint64_t token) {
    schedule_timer(due_at, token);
  }
  virtual void poll_endpoint_list() = 0;
  virtual void log(std::string_view text) = 0;
  virtual void on_observation(PolicyObservation, RequestId) {}
};

// Makes the load balancing decisions of one proxy. Every event carries the current time, `now`. No call
// blocks or throws.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) = 0;
  virtual void on_request(double now, const Request& request) = 0;
  virtual void on_attempt_ended(double now, const AttemptEnd& end) = 0;
  // The client has disconnected, or the request was answered without the policy.
  virtual void on_request_cancelled(double now, RequestId request) = 0;
  virtual void on_timer(double now, std::uint64_t token) = 0;
  // The process is about to exit: no pending request may take longer than until `deadline`.
  virtual void on_shutdown(double /*now*/, double /*deadline*/) {}
  // The instances have discovered each other; replaces the position from the settings. May be called at any
  // time. A count below 1 is treated as 1, and an index out of range as the nearest valid one. From now on
  // the weight of a ListEntry is this instance's share of the endpoint.
  virtual void on_instance_position(InstancePosition /*position*/) {}
  // How many listed endpoints currently receive no attempts, e.g. because they are ejected.
  virtual std::size_t avoided_endpoint_count() const { return 0; }
  // Contains only endpoints with statistics.
  virtual LearnedState export_learned_state() const { return {}; }
  // Imports what an earlier policy exported: the state of endpoints that both have, and of request classes up
  // to the first whose name differs. Its completion rates are multiplied by `share`, the fraction of its
  // requests that this policy now receives. May be called for several earlier policies, and for parts of a
  // state.
  virtual void import_learned_state(double /*now*/, const LearnedState& /*state*/, double /*share*/) {}
};

// Creates the policy described in docs/design.md. It is deterministic: the same seed and calls give the same
// decisions.
std::unique_ptr<Policy> make_policy(double now, Deployment deployment, std::uint64_t seed, Host& host);

}  // namespace puffinvane
