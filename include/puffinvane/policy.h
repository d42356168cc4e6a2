// The policy of a load balancer and the types of its interface: what an embedder includes. The embedder (the
// proxy, or the simulator adapter) tells a Policy what happens and carries out what it asks through a Host.
// All times are seconds on one monotonic clock.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "puffinvane/learned_state.h"

namespace puffinvane {

using RequestId = std::uint32_t;

// Safe: may run any number of times. Keyed: endpoints of an IdempotencyScope drop repeats within a window.
// Unsafe: may run once at most.
enum class Idempotency { Safe, Keyed, Unsafe };
// Which endpoints share the memory of idempotency keys.
enum class IdempotencyScope { All, Zone, Cell };

// Requests of one path prefix.
struct RequestClass {
  std::string name;
  Idempotency idempotency = Idempotency::Unsafe;
  IdempotencyScope idempotency_scope = IdempotencyScope::Cell;
  double idempotency_window_s = 0;
  double latency_objective_s = 1;
  double priority_weight = 1;  // what serving one counts
  double client_timeout_s = 1;
  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

struct Tenant {
  std::string name;
  double quota_per_s = 0;
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

// What an endpoint that has just started can take: its share of a warm one's rate grows evenly from
// `initial_share` to 1 over `duration_s`. It is overloaded by `overload_multiple` of that over
// `overload_window_s`; the defaults are the strictest that deployments set.
struct SlowStartRule {
  double initial_share = 0.1;
  double duration_s = 30;
  double overload_multiple = 2;
  double overload_window_s = 1;
  friend bool operator==(const SlowStartRule&, const SlowStartRule&) = default;
};

// The settings of a deployment, and which of its instances this one is.
struct Deployment {
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  SlowStartRule slow_start;
  int instance_index = 0;
  int instance_count = 1;
  int tier = 0;
  bool last_tier = false;  // no tier behind its endpoints: their errors are their own
  int max_attempts = 1;
  bool parallel_attempts = false;
  // Responses report how many requests an endpoint serves, for all instances together, and how full it is.
  bool responses_report_load = false;
  bool may_cancel = false;
  bool sends_retry_after = false;
  double connect_timeout_s = 0.25;
  double idle_timeout_s = 10;  // an endpoint closes a connection that has been idle for longer
  bool polls_endpoint_list = false;
  bool may_use_unlisted_endpoints =
      false;                      // an endpoint listed as removed, or left out, may still be sent to
  double cross_zone_price = 0;    // share of the served value, if every request went to another zone
  bool has_key_affinity = false;  // endpoints of a cell do less work for a key that one of them met lately
  std::string zone;
  bool priority_by_work = false;  // priority_weight counts by work, else by request
  double list_poll_interval_s = 10;
  double max_retry_after_s = 0;
  double round_trip_s = 0;
  friend bool operator==(const Deployment&, const Deployment&) = default;
};

enum class ListedState { Removed, Ready, Draining };

// One endpoint in a list of discovery.
struct ListEntry {
  std::string endpoint;
  std::string zone;
  std::int64_t cell = 0;
  ListedState state = ListedState::Ready;
  double weight = 1;          // its size against the others'
  double online_since_s = 0;  // 0: before this process knew of it
  friend bool operator==(const ListEntry&, const ListEntry&) = default;
};

// What a call of on_endpoint_list holds: what changed, a list kept from an earlier run, a whole list, or
// nothing as the poll failed.
enum class ListScope { Changes, Cached, Full, Failed };

struct Request {
  RequestId id = 0;
  std::string_view request_class;
  std::string_view tenant;
  double remaining_time_s = 0;  // until its deadline
  std::string_view key = {};    // what it is about; empty: unknown
  double work_s = 0;            // expected, in seconds of a standard core, roughly; 0: unknown
};

// How an attempt ended. Stale: broken at once on a connection that had been idle; it may have run, but that
// says nothing of the endpoint.
enum class Outcome { Delivered, Failed, Refused, TimedOut, ConnectFailed, Broken, Stale, Cancelled, NotSent };

// What a response reports of its endpoint's load; a field below 0 was not reported.
struct Load {
  double depth = -1;            // pending requests
  double requests_per_s = -1;   // served
  double cpu_utilization = -1;  // 0 to 1
};

struct AttemptEnd {
  RequestId request = 0;
  int attempt_number = 0;
  Outcome outcome = Outcome::Failed;
  bool request_concluded = false;  // its final answer is out
  double latency_s = 0;
  Load load;
};

// What a policy finds out beside what it asks for; a shadow policy counts it.
enum class PolicyObservation { OverQuota, EndpointEjected };

// One instance among all that serve a deployment.
struct InstancePosition {
  int index = 0;
  int count = 1;
};

// What a Policy asks of its embedder. All calls come from within a call of the Policy.
class Host {
 public:
  virtual ~Host() = default;
  virtual void start_attempt(RequestId request, std::string_view endpoint, double attempt_deadline) = 0;
  virtual void cancel_attempt(RequestId request, int number) = 0;
  // Ends a request that can't have run, or may run again: `retry_after_s` 0 gives no advice.
  virtual void reject_request(RequestId request, double retry_after_s) = 0;
  // Ends a request that may have run.
  virtual void fail_request(RequestId request) = 0;
  // Policy::on_timer is to be called with `token` at `due_at`, or a little later.
  virtual void schedule_timer(double due_at, std::uint64_t token) = 0;
  virtual void poll_endpoint_list() = 0;
  virtual void log(std::string_view text) = 0;
  virtual void on_observation(PolicyObservation, RequestId) {}
};

// One instance decides for one proxy. Every call takes the time; none blocks, none throws.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) = 0;
  virtual void on_request(double now, const Request& request) = 0;
  virtual void on_attempt_ended(double now, const AttemptEnd& end) = 0;
  // Its client has left, or its answer came from elsewhere.
  virtual void on_request_cancelled(double now, RequestId request) = 0;
  virtual void on_timer(double now, std::uint64_t token) = 0;
  // The process ends: the deadline of every pending request is `deadline` at the latest.
  virtual void on_shutdown(double /*now*/, double /*deadline*/) {}
  // Instances know each other: takes the place of the position in the settings, at any time. A count below 1
  // counts as 1, and an index outside of the count as the nearest inside. From then on the weight of a
  // ListEntry is this instance's share of the endpoint.
  virtual void on_instance_position(InstancePosition /*position*/) {}
  // How many listed endpoints get no attempts: ejected, or about to leave.
  virtual std::size_t avoided_endpoint_count() const { return 0; }
  // What is known of endpoints that got attempts; nothing is known of the others.
  virtual LearnedState export_learned_state() const { return {}; }
  // Takes over what an earlier policy exported: of endpoints and, as far as their order is the same, of
  // request classes that both have; of its completion rates `share`, the part of its requests that come here.
  // May be called for each of several, and for parts of one.
  virtual void import_learned_state(double /*now*/, const LearnedState& /*state*/, double /*share*/) {}
};

// Decides as docs/design.md says. The same seed and the same calls give the same decisions.
std::unique_ptr<Policy> make_policy(double now, Deployment deployment, std::uint64_t seed, Host& host);

}  // namespace puffinvane
