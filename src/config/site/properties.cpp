// Flattens a site into properties, the basis of its version and of differences between sites.
#define XXH_INLINE_ALL  // without the shared library a sidecar needs 100 KB less memory at rest
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

#include "src/config/site/site.h"

namespace puffinvane::site {

namespace {

std::string decimal(double value) {
  std::array<char, 32> digits{};
  auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  return std::string(digits.data(), end);
}
std::string seconds(double value) { return value < 1 ? decimal(value * 1000) + "ms" : decimal(value) + "s"; }
std::string share(double value) { return decimal(value * 100) + "%"; }
std::string flag(bool value) { return value ? "on" : "off"; }
std::string size(std::size_t value) {
  constexpr std::array<const char*, 4> kUnits{"B", "KiB", "MiB", "GiB"};
  std::size_t unit = 0;
  while (unit + 1 < kUnits.size() && value >= 1024 && value % 1024 == 0) {
    value /= 1024;
    ++unit;
  }
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
  std::string result = condition.header + " " + kTests[std::size_t(condition.test)];
  return condition.value.empty() ? result : result + " " + quoted(condition.value);
}

// Joins the words in sorted order, as their order in a site file has no meaning.
std::string list(std::vector<std::string> words) {
  std::sort(words.begin(), words.end());
  std::string joined;
  for (const std::string& word : words) joined += (joined.empty() ? "" : ", ") + word;
  return joined;
}

class Flattener {
 public:
  explicit Flattener(const Site& site) : site_(site) {
    add("site", site.name);
    add("limits/descriptors", std::to_string(site.limits.descriptors));
    add("limits/memory", size(site.limits.memory));
    add("limits/body", size(site.limits.body));
    add("limits/instances", std::to_string(site.limits.instances));
    if (site.limits.requests > 0) add("limits/visits", decimal(site.limits.requests) + "/s");
    for (const Listener& one : site.listeners) add("listener " + one.name + "/address", one.address);
    for (const Pool& one : site.pools) add_pool(one);
    for (const RequestClass& one : site.request_classes) add_request_class(one);
    for (const Tenant& one : site.tenants) add_tenant(one);
    for (const Route& one : site.routes) add_route(one);
    add_route_order();
    std::sort(properties_.begin(), properties_.end(), [](const Property& a, const Property& b) {
      return a.subject != b.subject ? a.subject < b.subject : a.value < b.value;
    });
  }
  std::vector<Property> take() { return std::move(properties_); }

 private:
  void add(std::string subject, std::string value) {
    properties_.push_back({std::move(subject), std::move(value)});
  }
  void add_pool(const Pool& pool) {
    std::string subject = "pool " + pool.name;
    add(subject, "");
    for (const Endpoint& endpoint : pool.endpoints) {
      std::string endpoint_subject = subject + "/endpoint " + endpoint.name;
      add(endpoint_subject + "/address", endpoint.address);
      if (!endpoint.zone.empty()) add(endpoint_subject + "/zone", endpoint.zone);
      if (endpoint.cell != 0) add(endpoint_subject + "/cell", std::to_string(endpoint.cell));
      if (endpoint.size != 1) add(endpoint_subject + "/size", decimal(endpoint.size));
    }
    if (!pool.discovery.empty()) add(subject + "/discovery", pool.discovery);
    if (!pool.zone.empty()) add(subject + "/zone", pool.zone);
    add(subject + "/connect-timeout", seconds(pool.connect_timeout));
    add(subject + "/idle-time", seconds(pool.idle_time));
    add(subject + "/max-fetches", std::to_string(pool.max_attempts));
    add(subject + "/copies", flag(pool.hedging));
    add(subject + "/cancel", flag(pool.cancel));
    add(subject + "/retry-after", pool.retry_after > 0 ? seconds(pool.retry_after) : "off");
    add(subject + "/cold-share", share(pool.slow_start_share));
    add(subject + "/warm-after", seconds(pool.warm_after));
  }
  void add_request_class(const RequestClass& request_class) {
    std::string subject = "prefix " + request_class.name;
    add(subject + "/kind", name_of(request_class.idempotency));
    if (request_class.idempotency == Idempotency::Keyed) {
      add(subject + "/group", name_of(request_class.idempotency_scope));
      add(subject + "/memory", seconds(request_class.idempotency_window_s));
    }
    add(subject + "/target-latency", seconds(request_class.latency_objective_s));
    add(subject + "/client-timeout", seconds(request_class.client_timeout_s));
    add(subject + "/credit", decimal(request_class.priority_weight));
  }
  void add_tenant(const Tenant& tenant) {
    std::string subject = "customer " + tenant.name;
    add(subject, "");
    if (tenant.share) add(subject + "/share", share(*tenant.share));
    if (tenant.quota) add(subject + "/quota", decimal(*tenant.quota) + "/s");
  }
  void add_route(const Route& route) {
    std::string subject = "route " + route.name;
    add(subject, "");
    if (!route.listeners.empty()) add(subject + "/on", list(route.listeners));
    if (!route.hosts.empty()) add(subject + "/host", list(route.hosts));
    if (route.match != Route::Path::Any)
      add(subject + (route.match == Route::Path::Exact ? "/exact" : "/path"), route.path);
    if (!route.methods.empty()) add(subject + "/method", list(route.methods));
    for (const Condition& condition : route.conditions) add(subject + "/header", text(condition));
    if (!route.rewrite.empty()) add(subject + "/rewrite", route.rewrite);
    if (!route.request_class.empty()) add(subject + "/as", route.request_class);
    for (const Target& target : route.targets) add(subject + "/to " + target.pool, share(target.share));
    if (route.answer.status) {
      add(subject + "/answer", std::to_string(route.answer.status) +
                                   (route.answer.text.empty() ? "" : " " + quoted(route.answer.text)));
      if (!route.answer.location.empty()) add(subject + "/location", route.answer.location);
    }
  }
  // The order of two routes matters only if they have the same precedence and can match the same request.
  void add_route_order() {
    std::map<std::string, std::vector<const Route*>> by_precedence;
    for (const Route& route : site_.routes) {
      auto key = std::to_string(int(route.match)) + route.path +
                 (route.methods.empty() ? " any " : " named ") + std::to_string(route.conditions.size());
      by_precedence[key].push_back(&route);
    }
    for (const auto& [key, routes] : by_precedence) {
      for (std::size_t i = 1; i < routes.size(); ++i) {
        // Only the last kMaxCompared routes are considered: a route that moves past one further away also
        // moves past those between them, which is a difference already.
        for (std::size_t j = i > kMaxCompared ? i - kMaxCompared : 0; j < i; ++j) {
          if (can_overlap(*routes[j], *routes[i]))
            add("route " + routes[i]->name + "/after", routes[j]->name);
        }
      }
    }
  }
  static constexpr std::size_t kMaxCompared = 64;
  // Whether the lists have a common element. An empty list, which means any, only matches another empty one.
  static bool have_common(const std::vector<std::string>& one, const std::vector<std::string>& other) {
    if (one.empty() || other.empty()) return one.empty() && other.empty();
    return std::any_of(one.begin(), one.end(), [&](const std::string& word) {
      return std::find(other.begin(), other.end(), word) != other.end();
    });
  }
  static bool can_overlap(const Route& one, const Route& other) {
    bool listeners =
        one.listeners.empty() || other.listeners.empty() || have_common(one.listeners, other.listeners);
    return listeners && have_common(one.hosts, other.hosts) && have_common(one.methods, other.methods);
  }

  const Site& site_;
  std::vector<Property> properties_;
};

}  // namespace

std::vector<Property> properties(const Site& site) { return Flattener(site).take(); }

std::string version(const Site& site) {
  XXH3_state_t* state = XXH3_createState();
  XXH3_64bits_reset(state);
  for (const Property& property : properties(site)) {
    // Including the terminating null: otherwise two different lists could be the same when concatenated.
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
  // A subject can have several properties, such as the header conditions of a route. Those in both sites are
  // removed first, the others are paired in order.
  std::map<std::string, std::pair<std::vector<std::string>, std::vector<std::string>>> by_subject;
  for (Property& property : properties(before))
    by_subject[property.subject].first.push_back(std::move(property.value));
  for (Property& property : properties(after))
    by_subject[property.subject].second.push_back(std::move(property.value));
  std::vector<Difference> all;
  for (auto& [subject, values] : by_subject) {
    auto& [old_values, new_values] = values;
    for (auto value = old_values.begin(); value != old_values.end();) {
      auto same = std::find(new_values.begin(), new_values.end(), *value);
      if (same == new_values.end()) ++value;
      else {
        new_values.erase(same);
        value = old_values.erase(value);
      }
    }
    for (std::size_t i = 0; i < std::max(old_values.size(), new_values.size()); ++i) {
      if (i >= old_values.size()) all.push_back({Difference::Kind::Added, subject, "", new_values[i]});
      else if (i >= new_values.size()) all.push_back({Difference::Kind::Removed, subject, old_values[i], ""});
      else all.push_back({Difference::Kind::Changed, subject, old_values[i], new_values[i]});
    }
  }
  return all;
}

}  // namespace puffinvane::site
