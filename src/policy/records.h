// What the module keeps: the last few samples, with figures worked out from them, and plain records of
// endpoints, requests and those it serves; policy.cpp decides.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <numeric>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "puffinvane/policy.h"

namespace puffinvane {

template <typename Samples>
void keep(Samples& samples, const typename Samples::value_type& sample, std::size_t most) {
  samples.push_back(sample);
  if (samples.size() > most) samples.erase(samples.begin());
}

inline double percentile(const std::deque<double>& samples, double share) {
  std::vector<double> sorted(samples.begin(), samples.end());
  auto at = sorted.begin() + static_cast<std::ptrdiff_t>(share * double(sorted.size() - 1));
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

template <typename Samples>
double mean(const Samples& samples) {
  return std::accumulate(samples.begin(), samples.end(), 0.0) / double(samples.size());
}

// A name spread over all numbers, alike wherever it is worked out.
constexpr std::uint64_t kMixer = 0xff51afd7ed558ccdULL;  // odd and well spread: parts names that look alike
inline std::uint64_t mixed(std::uint64_t at, std::string_view name) {
  for (char each : name) at = (at ^ std::uint8_t(each)) * kMixer, at ^= at >> 29;
  return at;
}
inline double to_share(std::uint64_t mixed) { return double(mixed >> 11) / double(1ULL << 53); }

// What is known and thought of an endpoint as a whole, and of one request class's requests there.
struct ClassStatistics : EndpointStatistics {
  std::set<std::pair<double, std::uint64_t>> out;  // by time of sending
  mutable double slow_until = 0, slow = 1;         // kept until then, or until an answer
  int place = -1;                                  // in the table, of an endpoint as a whole
};

struct Endpoint : ClassStatistics {
  std::string name, zone;
  std::int64_t cell = 0;
  double online_since = 0;
  double slow_start_tokens = 0;  // attempts that the slow-start rule still leaves this sidecar
  Load load;
  double load_at = -1e9;
  double units = 1, own_weight = 0;  // own_weight: the part of its units that is ours
  bool missing = false;              // from the list, or listed as gone
  double used_at = 0;                // when it was last sent to
  std::uint64_t order = 0;           // on the ring
  bool on_ring = false;
  std::vector<ClassStatistics> by_class;  // by request class; empty while nothing was sent to it
};

struct Attempt {
  int endpoint = 0, depth = 0;
  double sent = 0;
  bool out = true, may_have_run = true;
  std::string zone;  // and cell: kept here, as the endpoint's place may be another's by then
  std::int64_t cell = 0;
};

// How a request class, or a tenant, is served.
struct Service {
  std::deque<std::pair<double, double>> let_out;  // of those that were: when it ended, and as above
  double part = 0, hope = 1, earns = 0, load = 0, calm_load = 0;
  bool alone = false;
};

enum class State { Held, Out, Paired, Done };

using Held = std::pair<double, std::uint64_t>;  // rank and turn
struct RequestState {
  RequestId id = 0;
  int class_index = 0;
  std::vector<Service*> services{};  // its request class's, and its tenant's if known
  State state = State::Held;
  bool over_share = false, counted = false;
  double until = 0, held_until = 0, standing = 0, weight = 0, calm_weight = 0;
  std::uint64_t key = 0;  // 0: none that counts
  double lot = 0;         // where the room ends within a request: whether it still counts
  double heavy = 1;       // its work against a quarter of its latency objective, as far as told
  double work = 0;        // as told
  Held place{};
  std::vector<Attempt> attempts{};
};

inline double failures(const ClassStatistics& statistics) {
  return double(std::ranges::count_if(statistics.samples, &ResponseSample::failed));
}
inline double error_share(const ClassStatistics& statistics) {
  return failures(statistics) / std::max(1.0, double(statistics.samples.size()));
}
inline bool tried(const RequestState& request, int endpoint) {
  return std::ranges::any_of(request.attempts,
                             [&](const Attempt& attempt) { return attempt.endpoint == endpoint; });
}
// Whoever of its request class and its tenant is served apart from the others.
inline const Service* alone(const RequestState& request) {
  auto its = [](const Service* each) { return each->alone; };
  auto found = std::find_if(request.services.begin(), request.services.end(), its);
  return found == request.services.end() ? nullptr : *found;
}

}  // namespace puffinvane
