// A load test scenario: the simulated services and clients, their load, and the faults over time. All times
// are in seconds and all rates per second. Scenario files are TOML; docs/load-test.md lists every key.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "tools/load_test/invariants/invariant_checker.h"

namespace load_test {

// The message has the file, the line, the problem and what is expected.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Range {
  double low = 0, high = 0;
};

struct TierPlan {
  std::string name;
  int endpoints = 4;
  int cores = 1;
  Range speed{0.5, 0.9};  // seconds of work that a core does per second
  int queue = 24;         // requests that wait for a core before the endpoint refuses more
  int connections = 400;  // open at a time
  double connection_work = 0.001;
  int groups = 2;             // endpoints are assigned to the groups in turn
  int calls_per_request = 1;  // sequential calls to the next tier for each request
  double work_share = 1;      // share of a request's work that this tier does
  double overload_depth = 0;  // queued requests per core that slow the endpoint down; 0: none
  double overload_after = 1.5, overload_slowdown = 2.5, overload_duration = 3;
  bool cancel_frees_core = true;   // a cancelled attempt frees its core
  bool sends_load_reports = true;  // responses carry load reports
};

struct ClassPlan {
  std::string name;
  Idempotency idempotency = Idempotency::Safe;
  double share = 1;
  Range work{0.01, 0.02};
  double latency_objective = 0.25, client_timeout = 1, credit = 1;
  // Share of the credit that a response earns between latency objective and client timeout.
  double late_share = 0.2;
  double idempotency_window = 2;
  bool grouped = true;
};

struct TenantPlan {
  std::string name;
  double share = 1;
};

struct ClientPlan {
  double rate = 120;
  int retries = 1;
  double retry_pause = 0.1;          // before a retry without Retry-After
  bool obeys_retry_after = true;     // waits as long as Retry-After says
  double leave_share = 0.01;         // share of requests that the client cancels
  double heavy_share = 0.02;         // share of requests with up to ten times the work
  double invalid_rate = 0;           // clients that send requests that cannot be served, per second
  bool sends_remaining_time = true;  // requests carry X-Time-Left
};

enum class FaultKind {
  Slow,
  Hang,
  Errors,
  Crash,
  Freeze,
  ResetIn,
  ResetOut,
  Refuse,
  Unreachable,
  Drop,
  Spoil,
  Burst,
  SharedSlow,
  Drain,
  Release,
  RestartTogether,
  ListSilent,
  ListLate,
  ListOld,
  SidecarTerm,
  SidecarKill,
  SidecarStop,
  SidecarHup,
  SiteReload,
  SidecarUpgrade,
  SidecarEmpty,
  Exclude
};

struct Fault {
  FaultKind kind = FaultKind::Slow;
  double at = 0, duration = 1;
  std::string target;          // endpoints ("front/0", "front/*") or sidecars ("0", "*")
  double factor = 3;           // slowdown, or increase of the request rate
  double share = 1;            // share of the requests or connections that are affected
  int reset_after_bytes = 40;  // bytes until a connection is reset
  double interval = 0;         // between repetitions
  int repetitions = 1;         // in total
};

struct Scenario {
  std::string name, title;
  double length = 8;  // of the load; afterwards pending requests are awaited
  int sidecars = 2;   // of the first tier
  // Each sidecar serves a site with pools and routes instead of using the platform's settings.
  bool sites = false;
  int max_attempts = 3;
  int descriptors = 512;  // limit of each sidecar
  int memory_mb = 64;
  Range list_delay{0.1, 0.5};
  double grace = 0.5;
  double slow_start_initial_share = 0.3, slow_start_duration = 5, slow_start_multiple = 3,
         slow_start_window = 1;
  double connect_timeout = 0.15, idle_time = 3, max_retry_after = 1.5;
  double window = 1;  // width of the windows that metrics are computed for
  std::vector<TierPlan> tiers;
  std::vector<ClassPlan> request_classes;
  std::vector<TenantPlan> tenants;
  ClientPlan clients;
  std::vector<Fault> faults;

  // Whether faults use the admin API of the sidecars.
  bool uses_admin_api() const;
  Bounds bounds() const;
};

struct FaultKindInfo {
  FaultKind kind;
  const char* name;
  const char* description;
};
const std::vector<FaultKindInfo>& fault_kinds();
const char* name_of(FaultKind kind);

Scenario default_scenario();  // three tiers, three request classes, three tenants, no faults
Scenario read_scenario(const std::string& path);  // throws InvalidInput
Scenario read_scenario(const std::string& text, const std::string& path);
Scenario generate_scenario(std::uint64_t seed);  // with random overlapping faults
// Writes load, tiers and faults as TOML that read_scenario accepts.
std::string write_scenario(const Scenario& scenario);
void check_scenario(const Scenario& scenario);  // throws InvalidInput
// Multiplies all times by the factor and divides all rates by it.
void scale_times(Scenario& scenario, double factor);

}  // namespace load_test
