// What a module has learned, as it is told to the one in its place and taken over from the one before.
#pragma once

#include <algorithm>
#include <deque>
#include <vector>

#include "records.h"

namespace puffinvane {

using Samples = std::vector<std::deque<double>>;  // by path prefix

inline std::vector<Learned::OfPrefix> tell(const Deployment& deployment, const Samples& latencies,
                                           const Samples& means) {
  std::vector<Learned::OfPrefix> told;
  for (std::size_t i = 0; i < latencies.size(); ++i)
    told.push_back({deployment.path_prefixes[i].name, latencies[i], means[i]});
  return told;
}

inline std::vector<Learned::OfEndpoint> tell(const std::vector<Endpoint>& endpoints) {
  std::vector<Learned::OfEndpoint> told;
  for (const Endpoint& one : endpoints) {
    std::vector<Repute> lanes(one.lanes.begin(), one.lanes.end());
    if (one.health != Health::Gone) told.push_back({one.name, one.online_since, one, lanes});
  }
  return told;
}

// Of endpoints and path prefixes that both have; what the earlier one does not tell stays.
inline void take_over(const Learned& from, const Deployment& deployment, Samples& latencies, Samples& means,
                      std::vector<Endpoint>& endpoints) {
  const auto& all = deployment.path_prefixes;
  std::vector<std::size_t> as;  // our number of each of theirs
  for (const auto& prefix : from.prefixes) {
    auto same = [&](const PathPrefix& one) { return one.name == prefix.name; };
    std::size_t i = std::size_t(std::find_if(all.begin(), all.end(), same) - all.begin());
    as.push_back(i);
    if (i < all.size() && !prefix.latencies.empty()) latencies[i] = prefix.latencies, means[i] = prefix.means;
  }
  for (Endpoint& endpoint : endpoints) {
    for (const auto& [name, online_since, whole, lanes] : from.endpoints) {
      bool same = name == endpoint.name && online_since == endpoint.online_since;
      if (!same || endpoint.health == Health::Gone || whole.health == Health::Gone) continue;
      static_cast<Repute&>(endpoint) = whole, endpoint.slow_until = 0;
      for (std::size_t k = 0; k < std::min(as.size(), lanes.size()); ++k)
        if (as[k] < all.size()) static_cast<Repute&>(endpoint.lanes[as[k]]) = lanes[k];
    }
  }
}

}  // namespace puffinvane
