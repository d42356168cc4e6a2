// A load test as it is written down: who stands there, what comes, and what goes wrong when. All times are
// seconds, all rates per second; a scenario's file is TOML (docs/load-test.md lists every key).
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "tools/load_test/invariants/invariant_checker.h"

namespace load_test {

// Message: file, line, what is wrong, what is expected.
struct Unusable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Span {
  double low = 0, high = 0;
};

struct TierPlan {
  std::string name;
  int endpoints = 4;
  int cores = 1;
  Span speed{0.5, 0.9};   // work done in a second by one core
  int queue = 24;         // requests beyond those on cores before it turns away
  int connections = 400;  // open ones at a time
  double connection_work = 0.001;
  int groups = 2;         // endpoints are dealt to them in turn
  int calls = 1;          // to the next tier for a request, one after another
  double work_share = 1;  // of a request's work
  double crowd = 0;       // requests waiting for each core that make it slow; 0: never
  double crowd_after = 1.5, crowd_factor = 2.5, crowd_span = 3;
  bool cancel_stops = true;  // an attempt given up frees its core
  bool reports = true;       // answers carry load reports
};

struct ClassPlan {
  std::string name;
  Idempotency idempotency = Idempotency::Safe;
  double share = 1;
  Span work{0.01, 0.02};
  double latency_objective = 0.25, client_timeout = 1, credit = 1;
  double late_credit = 0.2;  // of its credit, for an answer between the two
  double memory = 2;
  bool grouped = true;
};

struct CustomerPlan {
  std::string name;
  double share = 1;
};

struct ClientPlan {
  double rate = 120;
  int retries = 1;
  double pause = 0.1;      // before a retry that nobody advised
  bool obeys = true;       // waits for as long as Retry-After says
  double leaves = 0.01;    // share of requests whose client goes before its answer
  double heavy = 0.02;     // share of requests with ten times the work
  double bad_rate = 0;     // callers that can't be served
  bool tells_time = true;  // X-Time-Left
};

enum class Trouble {
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
  Trouble kind = Trouble::Slow;
  double at = 0, span = 1;
  std::string on;     // "front/0", "front/*", "dossier/2"; of sidecars "0" or "*"
  double factor = 3;  // of slowness or of a burst
  double share = 1;   // of the requests that it meets
  int bytes = 40;     // until a reset
  double every = 0;   // again after so long,
  int times = 1;      // so often in all
};

struct Scenario {
  std::string name, title;
  double length = 8;   // of load; after it all that is out is waited for
  int sidecars = 2;    // before the first tier
  bool sites = false;  // sidecars serve sites of their own, with pools and routes, in the platform's place
  int max_attempts = 3;
  int descriptors = 512;  // of each sidecar
  int memory_mb = 64;
  Span list_delay{0.1, 0.5};
  double grace = 0.5;
  double slow_start_share = 0.3, warm_after = 5, slow_start_multiple = 3, slow_start_window = 1;
  double connect_timeout = 0.15, idle_time = 3, longest_wait_advice = 1.5;
  double window = 1;  // of service by time
  std::vector<TierPlan> tiers;
  std::vector<ClassPlan> request_classes;
  std::vector<CustomerPlan> tenants;
  ClientPlan clients;
  std::vector<Fault> faults;

  bool operated() const;  // operators call its sidecars
  Bounds bounds() const;
};

struct TroubleName {
  Trouble kind;
  const char* name;
  const char* does;
};
const std::vector<TroubleName>& trouble_names();
const char* name_of(Trouble kind);

Scenario default_scenario();  // three tiers, three request classes, three tenants, no faults
Scenario read_scenario(const std::string& path);  // throws Unusable
Scenario read_scenario(const std::string& text, const std::string& path);
Scenario draw_scenario(std::uint64_t seed);            // random overlapping troubles
std::string write_scenario(const Scenario& scenario);  // its faults and load as TOML that read_scenario takes
void check_scenario(const Scenario& scenario);         // throws Unusable
void stretch(Scenario& scenario, double scale);        // all its times by that factor, its rates against it

}  // namespace load_test
