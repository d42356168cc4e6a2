#include "src/config/site/site.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace puffinvane::site {

namespace {
// Seconds that are reserved for a response to reach the client.
constexpr double kRoundTrip = 0.005;
}  // namespace

Deployment deployment_of(const Site& site, const Pool& pool) {
  Deployment deployment;
  // Only the request classes that routes send to this pool, sorted by name: adding or removing a class of
  // another pool doesn't change this pool's policy.
  std::set<std::string> used_classes;
  for (const Route& route : site.routes) {
    bool targets_pool = std::any_of(route.targets.begin(), route.targets.end(),
                                    [&](const Target& target) { return target.pool == pool.name; });
    if (targets_pool) used_classes.insert(route.request_class);
  }
  for (const RequestClass& request_class : site.request_classes) {
    if (used_classes.contains(request_class.name)) deployment.request_classes.push_back(request_class);
  }
  auto by_name = [](const auto& one, const auto& other) { return one.name < other.name; };
  std::sort(deployment.request_classes.begin(), deployment.request_classes.end(), by_name);
  // The policies of pools with common endpoints count as separate instances, so that they divide what one of
  // them may send. Otherwise the total of their limits could overload the endpoints.
  int index = 0, sharing = 0;
  for (const Pool& other : site.pools) {
    if (!share_endpoints(pool, other)) continue;
    ++sharing;
    index += other.name < pool.name;
  }
  deployment.instance_count = site.limits.instances * sharing;
  deployment.instance_index = index;
  for (const Tenant& tenant : site.tenants) {
    double quota = tenant.quota.value_or(tenant.share.value_or(0) * site.limits.requests);
    deployment.tenants.push_back({tenant.name, quota * sharing});  // all its requests may go to one pool
  }
  std::sort(deployment.tenants.begin(), deployment.tenants.end(), by_name);
  deployment.slow_start = {pool.slow_start_share, pool.warm_after};
  deployment.max_attempts = pool.max_attempts;
  deployment.parallel_attempts = pool.hedging;
  deployment.may_cancel = pool.cancel;
  deployment.sends_retry_after = pool.retry_after > 0;
  deployment.max_retry_after_s = pool.retry_after;
  deployment.connect_timeout_s = pool.connect_timeout;
  deployment.idle_timeout_s = pool.idle_time;
  deployment.zone = pool.zone;
  deployment.round_trip_s = kRoundTrip;
  return deployment;
}

bool share_endpoints(const Pool& one, const Pool& other) {
  if (!one.discovery.empty() || !other.discovery.empty()) return one.discovery == other.discovery;
  std::set<std::string> addresses;
  for (const Endpoint& endpoint : other.endpoints) addresses.insert(endpoint.address);
  return std::any_of(one.endpoints.begin(), one.endpoints.end(),
                     [&](const Endpoint& endpoint) { return addresses.contains(endpoint.address); });
}

std::string identity_of(const Endpoint& endpoint) { return endpoint.name + "@" + endpoint.address; }

std::string closest_name(const std::string& misspelt, const std::vector<std::string>& known) {
  constexpr std::size_t kMaxLength = 64;  // the cost is the product of both lengths
  std::string best;
  // The largest accepted distance is a third of the length, but at least 1 and at most 2.
  std::size_t best_distance = std::max<std::size_t>(1, std::min<std::size_t>(2, misspelt.size() / 3)) + 1;
  if (misspelt.size() > kMaxLength) return best;
  for (const std::string& name : known) {
    if (name.size() > kMaxLength || name == misspelt) continue;
    // Levenshtein distance, one row of the matrix at a time.
    std::vector<std::size_t> row(misspelt.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < name.size(); ++i) {
      std::size_t diagonal = std::exchange(row[0], i + 1);
      for (std::size_t j = 0; j < misspelt.size(); ++j) {
        std::size_t substituted = diagonal + (name[i] != misspelt[j]);
        diagonal = std::exchange(row[j + 1], std::min({row[j] + 1, row[j + 1] + 1, substituted}));
      }
    }
    if (row.back() < best_distance) {
      best_distance = row.back();
      best = name;
    }
  }
  return best;
}

}  // namespace puffinvane::site
