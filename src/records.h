// What the module keeps of endpoints, visits and those it serves: plain records; policy.cpp decides.
#pragma once

#include <algorithm>
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

enum class State { Held, Out, Paired, Done };

using Held = std::pair<double, std::uint64_t>;  // rank and turn
struct Taken {
  explicit Taken(VisitId visit = 0) : id(visit) {}
  VisitId id;
  int prefix = 0;
  std::vector<Service*> services;  // its path prefix's, and its customer's if known
  State state = State::Held;
  bool over_share = false, counted = false;
  double until = 0, held_until = 0, standing = 0, weight = 0, calm_weight = 0;
  std::uint64_t key = 0;  // 0: none that counts
  double lot = 0;         // where the room ends within a visit: whether it still counts
  double heavy = 1;       // its work against a quarter of its target latency, as far as told
  Held place;
  std::vector<Fetch> fetches;
};

inline double failures(const Lane& lane) {
  return double(std::count_if(lane.answers.begin(), lane.answers.end(),
                              [](const Answer& answer) { return answer.failed; }));
}
inline double error_share(const Lane& lane) {
  return failures(lane) / std::max(1.0, double(lane.answers.size()));
}
inline bool tried(const Taken& visit, int endpoint) {
  auto there = [&](const Fetch& fetch) { return fetch.endpoint == endpoint; };
  return std::any_of(visit.fetches.begin(), visit.fetches.end(), there);
}
// Whoever of its path prefix and its customer is served apart from the others.
inline const Service* alone(const Taken& visit) {
  auto its = [](const Service* each) { return each->alone; };
  auto found = std::find_if(visit.services.begin(), visit.services.end(), its);
  return found == visit.services.end() ? nullptr : *found;
}

}  // namespace puffinvane
