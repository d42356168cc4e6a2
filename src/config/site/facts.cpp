// A site as facts: what its version, its differences and its equality are made of.
#define XXH_INLINE_ALL  // one library less for the sidecar to load, at rest 100 KB
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

#include "src/config/site/site.h"

namespace puffinvane::site {

namespace {

std::string text(double value) {
  std::array<char, 32> digits{};
  auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  return std::string(digits.data(), end);
}
std::string seconds(double value) { return value < 1 ? text(value * 1000) + "ms" : text(value) + "s"; }
std::string share(double value) { return text(value * 100) + "%"; }
std::string flag(bool value) { return value ? "on" : "off"; }
std::string size(std::size_t value) {
  constexpr std::array<const char*, 4> kUnits{"B", "KiB", "MiB", "GiB"};
  std::size_t unit = 0;
  while (unit + 1 < kUnits.size() && value >= 1024 && value % 1024 == 0) value /= 1024, ++unit;
  return std::to_string(value) + kUnits[unit];
}
std::string quoted(const std::string& value) { return '"' + value + '"'; }

std::string name_of(Idempotency idempotency) {
  return idempotency == Idempotency::Safe    ? "read-like"
         : idempotency == Idempotency::Keyed ? "tagged"
                                             : "mutating";
}
std::string name_of(IdempotencyScope scope) {
  return scope == IdempotencyScope::All ? "all" : scope == IdempotencyScope::Zone ? "zone" : "cell";
}
std::string text(const Condition& condition) {
  constexpr std::array<const char*, 5> kTests{"is", "is-not", "starts", "present", "absent"};
  std::string said = condition.header + " " + kTests[std::size_t(condition.test)];
  return condition.value.empty() ? said : said + " " + quoted(condition.value);
}

// Sorted, as their order says nothing.
std::string list(std::vector<std::string> words) {
  std::sort(words.begin(), words.end());
  std::string all;
  for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
  return all;
}

class Flattener {
 public:
  explicit Flattener(const Site& site) : site_(site) {
    add("site", site.name);
    add("limits/descriptors", std::to_string(site.limits.descriptors));
    add("limits/memory", size(site.limits.memory));
    add("limits/body", size(site.limits.body));
    add("limits/instances", std::to_string(site.limits.instances));
    if (site.limits.requests > 0) add("limits/visits", text(site.limits.requests) + "/s");
    for (const Listener& one : site.listeners) add("listener " + one.name + "/address", one.address);
    for (const Pool& one : site.pools) pool(one);
    for (const RequestClass& one : site.request_classes) request_class(one);
    for (const Tenant& one : site.tenants) tenant(one);
    for (const Route& one : site.routes) route(one);
    order();
    std::sort(all_.begin(), all_.end(), [](const Property& a, const Property& b) {
      return a.subject != b.subject ? a.subject < b.subject : a.value < b.value;
    });
  }
  std::vector<Property> take() { return std::move(all_); }

 private:
  void add(std::string subject, std::string value) { all_.push_back({std::move(subject), std::move(value)}); }
  void pool(const Pool& pool) {
    std::string of = "pool " + pool.name;
    add(of, "");
    for (const Endpoint& endpoint : pool.endpoints) {
      std::string its = of + "/endpoint " + endpoint.name;
      add(its + "/address", endpoint.address);
      if (!endpoint.zone.empty()) add(its + "/zone", endpoint.zone);
      if (endpoint.cell != 0) add(its + "/cell", std::to_string(endpoint.cell));
      if (endpoint.size != 1) add(its + "/size", text(endpoint.size));
    }
    if (!pool.discovery.empty()) add(of + "/discovery", pool.discovery);
    if (!pool.zone.empty()) add(of + "/zone", pool.zone);
    add(of + "/connect-timeout", seconds(pool.connect_timeout));
    add(of + "/idle-time", seconds(pool.idle_time));
    add(of + "/max-fetches", std::to_string(pool.max_attempts));
    add(of + "/copies", flag(pool.hedging));
    add(of + "/cancel", flag(pool.cancel));
    add(of + "/retry-after", pool.retry_after > 0 ? seconds(pool.retry_after) : "off");
    add(of + "/cold-share", share(pool.slow_start_share));
    add(of + "/warm-after", seconds(pool.warm_after));
  }
  void request_class(const RequestClass& request_class) {
    std::string of = "prefix " + request_class.name;
    add(of + "/kind", name_of(request_class.idempotency));
    if (request_class.idempotency == Idempotency::Keyed) {
      add(of + "/group", name_of(request_class.idempotency_scope));
      add(of + "/memory", seconds(request_class.idempotency_window_s));
    }
    add(of + "/target-latency", seconds(request_class.latency_objective_s));
    add(of + "/client-timeout", seconds(request_class.client_timeout_s));
    add(of + "/credit", text(request_class.priority_weight));
  }
  void tenant(const Tenant& tenant) {
    std::string of = "customer " + tenant.name;
    add(of, "");
    if (tenant.share) add(of + "/share", share(*tenant.share));
    if (tenant.quota) add(of + "/quota", text(*tenant.quota) + "/s");
  }
  void route(const Route& route) {
    std::string of = "route " + route.name;
    add(of, "");
    if (!route.listeners.empty()) add(of + "/on", list(route.listeners));
    if (!route.hosts.empty()) add(of + "/host", list(route.hosts));
    if (route.match != Route::Path::Any)
      add(of + (route.match == Route::Path::Exact ? "/exact" : "/path"), route.path);
    if (!route.methods.empty()) add(of + "/method", list(route.methods));
    for (const Condition& condition : route.conditions) add(of + "/header", text(condition));
    if (!route.rewrite.empty()) add(of + "/rewrite", route.rewrite);
    if (!route.request_class.empty()) add(of + "/as", route.request_class);
    for (const Target& target : route.targets) add(of + "/to " + target.pool, share(target.share));
    if (route.answer.status) {
      add(of + "/answer", std::to_string(route.answer.status) +
                              (route.answer.text.empty() ? "" : " " + quoted(route.answer.text)));
      if (!route.answer.location.empty()) add(of + "/location", route.answer.location);
    }
  }
  // The order of routes says something only between those that nothing else tells apart.
  void order() {
    std::map<std::string, std::vector<const Route*>> alike;
    for (const Route& route : site_.routes) {
      auto key = std::to_string(int(route.match)) + route.path +
                 (route.methods.empty() ? " any " : " named ") + std::to_string(route.conditions.size());
      alike[key].push_back(&route);
    }
    for (const auto& [key, routes] : alike) {
      for (std::size_t i = 1; i < routes.size(); ++i) {
        // Among very many the nearest stand for all: who swaps two that are far apart passes those between.
        for (std::size_t j = i > kNear ? i - kNear : 0; j < i; ++j) {
          if (meet(*routes[j], *routes[i])) add("route " + routes[i]->name + "/after", routes[j]->name);
        }
      }
    }
  }
  static constexpr std::size_t kNear = 64;
  static bool share_one(const std::vector<std::string>& one, const std::vector<std::string>& other) {
    if (one.empty() || other.empty()) return one.empty() && other.empty();
    return std::any_of(one.begin(), one.end(), [&](const std::string& word) {
      return std::find(other.begin(), other.end(), word) != other.end();
    });
  }
  static bool meet(const Route& one, const Route& other) {
    bool listeners =
        one.listeners.empty() || other.listeners.empty() || share_one(one.listeners, other.listeners);
    return listeners && share_one(one.hosts, other.hosts) && share_one(one.methods, other.methods);
  }

  const Site& site_;
  std::vector<Property> all_;
};

}  // namespace

std::vector<Property> properties(const Site& site) { return Flattener(site).take(); }

std::string version(const Site& site) {
  XXH3_state_t* state = XXH3_createState();
  XXH3_64bits_reset(state);
  for (const Property& property : properties(site)) {
    // With their ends, so that no two facts run into one another.
    XXH3_64bits_update(state, property.subject.c_str(), property.subject.size() + 1);
    XXH3_64bits_update(state, property.value.c_str(), property.value.size() + 1);
  }
  std::uint64_t hash = XXH3_64bits_digest(state);
  XXH3_freeState(state);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex(16, '0');
  for (std::size_t i = 16; i-- > 0; hash >>= 4) hex[i] = kDigits[hash & 15];
  return hex;
}

std::vector<Difference> differences(const Site& before, const Site& after) {
  // Flattener of one subject (a route's headers) stand side by side: what both have is taken out first.
  std::map<std::string, std::pair<std::vector<std::string>, std::vector<std::string>>> by_subject;
  for (Property& property : properties(before))
    by_subject[property.subject].first.push_back(std::move(property.value));
  for (Property& property : properties(after))
    by_subject[property.subject].second.push_back(std::move(property.value));
  std::vector<Difference> all;
  for (auto& [subject, values] : by_subject) {
    auto& [was, is] = values;
    for (auto value = was.begin(); value != was.end();) {
      auto same = std::find(is.begin(), is.end(), *value);
      if (same == is.end()) ++value;
      else is.erase(same), value = was.erase(value);
    }
    for (std::size_t i = 0; i < std::max(was.size(), is.size()); ++i) {
      if (i >= was.size()) all.push_back({Difference::Kind::Added, subject, "", is[i]});
      else if (i >= is.size()) all.push_back({Difference::Kind::Removed, subject, was[i], ""});
      else all.push_back({Difference::Kind::Changed, subject, was[i], is[i]});
    }
  }
  return all;
}

}  // namespace puffinvane::site
