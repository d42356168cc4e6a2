// Checks the consistency of a site, however it was constructed.
#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include "src/config/site/site.h"

namespace puffinvane::site {

namespace {

template <typename T>
std::set<std::string> names_of(const std::vector<T>& all) {
  std::set<std::string> names;
  for (const T& one : all) names.insert(one.name);
  return names;
}

std::string in_backticks(const std::string& name) { return "`" + name + "`"; }

std::string percent(double share) {
  std::string digits = std::to_string(share * 100);
  digits.erase(digits.find_last_not_of('0') + 1);
  if (digits.back() == '.') digits.pop_back();
  return digits + "%";
}

class Checker {
 public:
  explicit Checker(const Site& site)
      : site_(site),
        listener_names_(names_of(site.listeners)),
        pool_names_(names_of(site.pools)),
        request_class_names_(names_of(site.request_classes)) {}

  std::vector<Finding> run() {
    check_unique("listener", site_.listeners);
    check_unique("pool", site_.pools);
    check_unique("prefix", site_.request_classes);
    check_unique("customer", site_.tenants);
    check_unique("route", site_.routes);
    if (site_.listeners.empty()) add("site", "nothing listens: a site needs a `listener`", "", true);
    if (site_.routes.empty()) add("site", "nothing is routed: a site needs a `route`", "", true);
    check_listeners();
    check_request_classes();
    check_tenants();
    check_pools();
    for (const Route& one : site_.routes) check_route(one);
    find_unused();
    find_shadowed_routes();
    return std::move(findings_);
  }

 private:
  void add(std::string subject, std::string text, std::string fix = "", bool is_omission = false) {
    findings_.push_back({std::move(subject), std::move(text), std::move(fix), is_omission});
  }
  template <typename T>
  void check_unique(const std::string& what, const std::vector<T>& all) {
    std::map<std::string, int> seen;
    for (const T& one : all) {
      if (++seen[one.name] == 2)
        add(what + " " + one.name + "#2", "a second " + what + " " + in_backticks(one.name));
    }
  }
  // Whether the name is declared. Adds a finding if it isn't.
  bool check_declared(const std::string& subject, const std::string& what, const std::string& name,
                      const std::set<std::string>& names) {
    if (names.contains(name)) return true;
    std::string suggestion =
        ++suggestions_ > kMaxSuggestions ? "" : closest_name(name, {names.begin(), names.end()});
    add(subject, "no " + what + " " + in_backticks(name),
        suggestion.empty() ? "" : "did you mean " + in_backticks(suggestion) + "?");
    return false;
  }

  void check_listeners() {
    std::map<std::string, std::string> name_by_address;
    for (const Listener& one : site_.listeners) {
      if (one.address.empty()) continue;
      auto [found, is_new] = name_by_address.emplace(one.address, one.name);
      if (!is_new && found->second != one.name)
        add("listener " + one.name + "/address",
            "listener " + in_backticks(found->second) + " listens at " + one.address + " already");
    }
  }
  void check_request_classes() {
    for (const RequestClass& one : site_.request_classes) {
      std::string subject = "prefix " + one.name;
      if (one.client_timeout_s < one.latency_objective_s)
        add(subject + "/client-timeout", "the client timeout is under the target latency");
      if (one.idempotency == Idempotency::Keyed && one.idempotency_window_s <= 0)
        add(subject + "/kind", "a tagged prefix needs a `memory`: for how long endpoints know their tags");
      if (one.idempotency != Idempotency::Keyed && one.idempotency_window_s > 0)
        add(subject + "/memory", "only a tagged prefix has a memory");
    }
  }
  void check_tenants() {
    double shares = 0;
    for (const Tenant& one : site_.tenants) {
      std::string subject = "customer " + one.name;
      if (one.share && one.quota) add(subject + "/quota", "a share and a quota: one of them has to go");
      if (!one.share && !one.quota) add(subject, "a customer needs a `share` or a `quota`");
      if (one.share && site_.limits.requests <= 0)
        add(subject + "/share", "a share of what? `limits` has no `visits`, as in `visits 500/s`");
      double before = shares;
      shares += one.share.value_or(0);
      if (before <= kMaxTotalShare && shares > kMaxTotalShare)
        add(subject + "/share", "the customers' shares come to " + percent(shares) + ", over 100%");
    }
  }
  void check_pools() {
    for (const Pool& one : site_.pools) {
      std::string subject = "pool " + one.name;
      if (one.endpoints.empty() && one.discovery.empty())
        add(subject, "a pool needs an `endpoint` or a `discovery`");
      if (!one.endpoints.empty() && !one.discovery.empty())
        add(subject + "/discovery", "endpoints and a discovery: one of them has to go");
      std::map<std::string, std::string> name_by_address;
      std::set<std::string> names;
      for (const Endpoint& endpoint : one.endpoints) {
        std::string endpoint_subject = subject + "/endpoint " + endpoint.name;
        if (!names.insert(endpoint.name).second)
          add(endpoint_subject + "#2",
              "a second endpoint " + in_backticks(endpoint.name) + " in pool " + in_backticks(one.name));
        else if (auto [found, is_new] = name_by_address.emplace(endpoint.address, endpoint.name);
                 !is_new && !endpoint.address.empty())
          add(endpoint_subject + "/address",
              "endpoint " + in_backticks(found->second) + " stands at " + endpoint.address + " already");
      }
    }
  }
  void check_route(const Route& one) {
    std::string subject = "route " + one.name;
    for (const std::string& name : one.listeners)
      check_declared(subject + "/on " + name, "listener", name, listener_names_);
    double shares = 0;
    std::set<std::string> targeted_pools;
    for (const Target& target : one.targets) {
      check_declared(subject + "/to " + target.pool, "pool", target.pool, pool_names_);
      if (!targeted_pools.insert(target.pool).second)
        add(subject + "/to " + target.pool + "#2", "pool " + in_backticks(target.pool) + " twice");
      shares += target.share;
    }
    if (!one.targets.empty() && (shares > kMaxTotalShare || shares < 2 - kMaxTotalShare))
      add(subject + "/to " + one.targets.back().pool,
          "the shares come to " + percent(shares) + ", not to 100%");
    if (one.targets.empty() && !one.answer.status) add(subject, "a route needs a `to` or an `answer`");
    if (!one.targets.empty() && one.answer.status)
      add(subject + "/answer", "a `to` and an `answer`: one of them has to go");
    if (!one.rewrite.empty() && one.match == Route::Path::Any)
      add(subject + "/rewrite", "nothing to rewrite: the route has no `path` or `exact`");
    if (!one.rewrite.empty() && one.answer.status) add(subject + "/rewrite", "an answer is not rewritten");
    if (!one.answer.location.empty() && one.answer.status / 100 != 3)
      add(subject + "/location", "a `location` goes with an answer from 300 to 399");
    if (one.answer.status / 100 == 3 && one.answer.status != 304 && one.answer.location.empty())
      add(subject + "/answer", "an answer of " + std::to_string(one.answer.status) + " needs a `location`");
    if (!one.targets.empty()) check_request_class(one);
    check_contradictions(one);
  }
  void check_request_class(const Route& one) {
    std::string subject = "route " + one.name;
    if (!one.request_class.empty())
      check_declared(subject + "/as", "prefix", one.request_class, request_class_names_);
    else if (site_.request_classes.empty())
      add(subject, "its visits have no `prefix`: the site declares none");
    else add(subject, "whose kind and times do its visits have? add `as` and the name of a prefix");
  }
  void check_contradictions(const Route& one) {
    using Test = Condition::Test;
    for (std::size_t i = 0; i < one.conditions.size(); ++i) {
      const Condition& second = one.conditions[i];
      for (std::size_t j = 0; j < i; ++j) {
        const Condition& first = one.conditions[j];
        if (!std::equal(first.header.begin(), first.header.end(), second.header.begin(), second.header.end(),
                        [](char a, char b) { return (a | 32) == (b | 32); }))
          continue;
        bool absent_contradicts = (first.test == Test::Absent) != (second.test == Test::Absent) &&
                                  first.test != Test::IsNot && second.test != Test::IsNot;
        bool values_contradict =
            first.test == Test::Is && second.test == Test::Is && first.value != second.value;
        bool same = first.test == second.test && first.value == second.value;
        std::string subject = "route " + one.name + "/header " + std::to_string(i);
        if (absent_contradicts || values_contradict)
          add(subject, "the route can never match: this can't hold with what is asked of " +
                           in_backticks(first.header) + " before");
        else if (same) add(subject, "the same condition twice");
      }
    }
  }
  void find_unused() {
    std::set<std::string> pools, listeners;
    bool any_for_all_listeners = false;
    for (const Route& one : site_.routes) {
      for (const Target& target : one.targets) pools.insert(target.pool);
      listeners.insert(one.listeners.begin(), one.listeners.end());
      any_for_all_listeners = any_for_all_listeners || one.listeners.empty();
    }
    for (const Pool& one : site_.pools) {
      if (!pools.contains(one.name))
        add("pool " + one.name, "no route leads to pool " + in_backticks(one.name), "", true);
    }
    for (const Listener& one : site_.listeners) {
      if (!any_for_all_listeners && !site_.routes.empty() && !listeners.contains(one.name))
        add("listener " + one.name, "no route is open to listener " + in_backticks(one.name), "", true);
    }
  }
  // Whether `one` contains all of `other`. An empty list stands for everything.
  static bool covers(const std::vector<std::string>& one, const std::vector<std::string>& other) {
    if (one.empty() || other.empty()) return one.empty();
    return std::all_of(other.begin(), other.end(), [&](const std::string& word) {
      return std::find(one.begin(), one.end(), word) != one.end();
    });
  }
  static std::set<std::string> conditions_of(const Route& route) {
    std::set<std::string> all;
    for (const Condition& one : route.conditions) {
      std::string header = one.header;
      for (char& c : header) c = c >= 'A' && c <= 'Z' ? char(c + 32) : c;
      all.insert(header + ":" + std::to_string(int(one.test)) + one.value);
    }
    return all;
  }
  // Reports routes that an earlier one leaves no requests. A route that has precedence by its host, path,
  // methods or number of conditions is more specific, so it never matches all requests of another. That
  // leaves earlier routes that are equal in all of these.
  void find_shadowed_routes() {
    std::map<std::string, std::vector<const Route*>> by_precedence;
    for (const Route& one : site_.routes) {
      std::string key = std::to_string(int(one.match)) + one.path + (one.methods.empty() ? " any" : " named");
      for (const std::string& condition : conditions_of(one)) key += "\n" + condition;
      std::vector<const Route*>& earlier_routes = by_precedence[key];
      std::size_t compared = 0;
      for (const Route* earlier : earlier_routes) {
        if (++compared > kMaxCompared) break;
        bool methods = earlier->methods.empty() || covers(earlier->methods, one.methods);
        bool hosts = earlier->hosts.empty() == one.hosts.empty() && covers(earlier->hosts, one.hosts);
        if (!methods || !hosts || !covers(earlier->listeners, one.listeners)) continue;
        add("route " + one.name, "the route can never match: route " + in_backticks(earlier->name) +
                                     " before it takes all that it would");
        break;
      }
      earlier_routes.push_back(&one);
    }
  }

  static constexpr double kMaxTotalShare = 1 + 1e-9;  // 100%, with a margin for rounding
  static constexpr std::size_t kMaxCompared = 256;    // earlier routes that each one is compared with
  static constexpr int kMaxSuggestions = 100;         // each compares the unknown name with all declared ones
  const Site& site_;
  const std::set<std::string> listener_names_, pool_names_, request_class_names_;
  int suggestions_ = 0;
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Finding> check(const Site& site) { return Checker(site).run(); }

}  // namespace puffinvane::site
