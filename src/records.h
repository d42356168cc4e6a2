// What the module keeps of endpoints, fetches and those it serves: plain records, all decisions are policy.cpp's.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "puffinvane/policy.h"

namespace puffinvane {

// What is known and thought of an endpoint as a whole, and of one path prefix's visits there.
struct Lane : Repute {
  std::set<std::pair<double, std::uint64_t>> out;  // by time of sending
  mutable double slow_until = 0, slow = 1;         // kept until then, or until an answer
};

struct Endpoint : Lane {
  std::string name, zone;
  std::int64_t cell = 0;
  double online_since = 0;
  double cold_credit = 0;  // fetches that the cold rule still leaves this sidecar
  Load load;
  double load_at = -1e9;
  double units = 1, dealt = 0;  // dealt: the part of its units that is ours
  bool missing = false;         // from the list, or listed as gone
  std::vector<Lane> lanes;      // by path prefix
};

struct Fetch {
  int endpoint = 0, depth = 0;
  double sent = 0;
  bool out = true, may_have_run = true;
  std::string zone;  // and cell: kept here, as the endpoint's place may be another's by then
  std::int64_t cell = 0;
};

// How a path prefix, or a customer, is served.
struct Service {
  std::deque<double> served;                      // of the last: 1 in time, 0 not
  std::deque<std::pair<double, double>> let_out;  // of those that were: when it ended, and as above
  double part = 0, hope = 1, earns = 0, load = 0, calm_load = 0;
  bool alone = false;
};

}  // namespace puffinvane
