// The types and the interface of puffinvane's decision module. Whoever carries its requests (the sidecar, or
// the adapter of the simulator's wire) tells a Policy what happens and does what it asks through a Host.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "puffinvane/learned.h"

namespace puffinvane {

using RequestId = std::uint32_t;

enum class Idempotency { Safe, Keyed, Unsafe };
enum class Group { All, Zone, Cell };

struct RequestClass {
  std::string name;
  Idempotency idempotency = Idempotency::Unsafe;
  Group group = Group::Cell;
  double idempotency_window_s = 0;
  double latency_objective_s = 1;
  double priority_weight = 1;
  double client_timeout_s = 1;
  friend bool operator==(const RequestClass&, const RequestClass&) = default;
};

struct Tenant {
  std::string name;
  double quota_per_s = 0;
  friend bool operator==(const Tenant&, const Tenant&) = default;
};

struct SlowStartRule {
  double initial_share = 0.1;
  double duration_s = 30;
  // It falls at that multiple of what it can do, over so many seconds; not told: the tightest known.
  double overload_multiple = 2;
  double overload_window_s = 1;
  friend bool operator==(const SlowStartRule&, const SlowStartRule&) = default;
};

struct Deployment {
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  SlowStartRule slow_start;
  int instance_index = 0;
  int instance_count = 1;
  int tier = 0;
  bool last_tier = false;  // nothing behind its endpoints: what they fail is their own doing
  int max_attempts = 1;
  bool parallel_attempts = false;
  // Endpoints report with answers what they serve and how full they are, so it holds all sidecars' attempts.
  bool responses_report_load = false;
  bool may_cancel = false;
  bool sends_retry_after = false;
  double connect_timeout_s = 0.25;
  double idle_timeout_s = 10;  // an endpoint closes a connection that has stood idle for longer
  bool polls_endpoint_list = false;
  bool only_draining_binds = false;  // listed as gone, or left out, an endpoint may still run and be sent to
  double cross_zone_price = 0;       // of the whole service, were each request sent into another zone
  bool has_key_affinity = false;     // endpoints of a cell do less work for a key that one of them met lately
  std::string zone;
  bool priority_by_work = false;  // else by request
  double list_poll_interval_s = 10;
  double max_retry_after_s = 0;
  double round_trip_s = 0;
  friend bool operator==(const Deployment&, const Deployment&) = default;
};

enum class ListedState { Removed, Ready, Draining };

struct ListEntry {
  std::string endpoint;
  std::string zone;
  std::int64_t cell = 0;
  ListedState state = ListedState::Ready;
  double weight = 1;          // its size against the others'
  double online_since_s = 0;  // 0: a long time back
  friend bool operator==(const ListEntry&, const ListEntry&) = default;
};

enum class ListScope { Changes, Cached, Full, Failed };

struct Request {
  RequestId id = 0;
  std::string_view request_class;
  std::string_view tenant;
  double remaining_time_s = 0;
  std::string_view key = {};  // what it is about; empty: not told
  double work_s = 0;          // expected, in seconds of a standard core, roughly; 0: not told
};

// Stale: broken at once on a connection that had stood idle. It may have run, but it says nothing of the
// endpoint.
enum class Outcome { Delivered, Failed, Refused, TimedOut, ConnectFailed, Broken, Stale, Cancelled, NotSent };

// What an answer says of its endpoint's load; below 0: not reported.
struct Load {
  double depth = -1;            // pending requests
  double requests_per_s = -1;   // requests a second
  double cpu_utilization = -1;  // share of its cores that work
};

struct AttemptEnd {
  RequestId request = 0;
  int attempt_number = 0;
  Outcome outcome = Outcome::Failed;
  bool request_concluded = false;
  double latency_s = 0;
  Load load;
};

// What a module thinks of a request or an endpoint beside what it asks for; who watches may count it.
enum class PolicyObservation { OverQuota, EndpointEjected };

class Host {
 public:
  virtual ~Host() = default;
  virtual void start_attempt(RequestId request, std::string_view endpoint, double abandon_at) = 0;
  virtual void cancel_attempt(RequestId request, int number) = 0;
  virtual void reject_request(RequestId request, double wait) = 0;
  virtual void fail_request(RequestId request) = 0;
  virtual void schedule_timer(double at, std::uint64_t token) = 0;
  virtual void poll_endpoint_list(bool want) = 0;
  virtual void log(std::string_view text) = 0;
  virtual void on_observation(PolicyObservation, RequestId) {}
};

// One instance decides for one sidecar. Every call says what time it is; none blocks.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) = 0;
  virtual void on_request(double now, const Request& request) = 0;
  virtual void on_attempt_ended(double now, const AttemptEnd& end) = 0;
  virtual void on_request_cancelled(double now, RequestId request) = 0;
  virtual void on_timer(double now, std::uint64_t token) = 0;
  // The program leaves: no pending request has longer than that, whatever its client's time.
  virtual void on_shutdown(double /*now*/, double /*until*/) {}
  // Who is there now, where members tell each other: this one's place among so many, in place of the numbers
  // given. From then on an entry's units are this one's part of the endpoint.
  virtual void on_instance_position(int /*me*/, int /*sidecars*/) {}
  // How many listed endpoints it avoids: ejected, or listed as going.
  virtual std::size_t avoided_endpoint_count() const { return 0; }
  // What is known of endpoints that were sent to; of the others there is nothing to tell.
  // inherit takes over what an earlier one has learned: of endpoints and, as far as their order is the same,
  // request classes that both have, and of its rates the share that this one's requests will be. May be
  // called once for each of several, and for parts.
  virtual LearnedState export_learned_state() const { return {}; }
  virtual void import_learned_state(double, const LearnedState&, double /*share*/) {}
};

std::unique_ptr<Policy> make_policy(double now, Deployment deployment, std::uint64_t seed, Host& host);

}  // namespace puffinvane
