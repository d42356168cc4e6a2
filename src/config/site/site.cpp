#include "src/config/site/site.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace puffinvane::site {

namespace {
constexpr double kRound = 0.005;  // seconds that an answer needs to get out
}

Deployment deployment_of(const Site& site, const Pool& pool) {
  Deployment deployment;
  // Only what its requests can be, in one order: another pool's prefix that comes or goes changes nothing
  // here.
  std::set<std::string> used;
  for (const Route& route : site.routes) {
    bool leads = std::any_of(route.targets.begin(), route.targets.end(),
                             [&](const Target& target) { return target.pool == pool.name; });
    if (leads) used.insert(route.request_class);
  }
  for (const RequestClass& request_class : site.request_classes) {
    if (used.contains(request_class.name)) deployment.request_classes.push_back(request_class);
  }
  auto by_name = [](const auto& one, const auto& other) { return one.name < other.name; };
  std::sort(deployment.request_classes.begin(), deployment.request_classes.end(), by_name);
  // Each pool's module counts as one sidecar of all that send to these endpoints: their small allowances
  // would else add up to a crowd there.
  int before = 0, sharing = 0;
  for (const Pool& other : site.pools) {
    if (!share_endpoints(pool, other)) continue;
    ++sharing, before += other.name < pool.name;
  }
  deployment.instance_count = site.limits.instances * sharing;
  deployment.instance_index = before;
  for (const Tenant& tenant : site.tenants) {
    double quota = tenant.quota.value_or(tenant.share.value_or(0) * site.limits.requests);
    deployment.tenants.push_back({tenant.name, quota * sharing});  // it may come by one pool only
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
  deployment.round_trip_s = kRound;
  return deployment;
}

bool share_endpoints(const Pool& one, const Pool& other) {
  if (!one.discovery.empty() || !other.discovery.empty()) return one.discovery == other.discovery;
  std::set<std::string> theirs;
  for (const Endpoint& endpoint : other.endpoints) theirs.insert(endpoint.address);
  return std::any_of(one.endpoints.begin(), one.endpoints.end(),
                     [&](const Endpoint& endpoint) { return theirs.contains(endpoint.address); });
}

std::string identity_of(const Endpoint& endpoint) { return endpoint.name + "@" + endpoint.address; }

std::string closest_name(const std::string& written, const std::vector<std::string>& known) {
  constexpr std::size_t kLongest = 64;  // of a name worth comparing: the cost is the product of both lengths
  std::string best;
  std::size_t least = std::max<std::size_t>(1, std::min<std::size_t>(2, written.size() / 3)) + 1;
  if (written.size() > kLongest) return best;
  for (const std::string& name : known) {
    if (name.size() > kLongest || name == written) continue;
    std::vector<std::size_t> row(written.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < name.size(); ++i) {
      std::size_t corner = std::exchange(row[0], i + 1);
      for (std::size_t j = 0; j < written.size(); ++j) {
        std::size_t changed = corner + (name[i] != written[j]);
        corner = std::exchange(row[j + 1], std::min({row[j] + 1, row[j + 1] + 1, changed}));
      }
    }
    if (row.back() < least) least = row.back(), best = name;
  }
  return best;
}

}  // namespace puffinvane::site
