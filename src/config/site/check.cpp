// What a site has to hold, whoever made it.
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

std::string shown(const std::string& name) { return "`" + name + "`"; }

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
        prefix_names_(names_of(site.request_classes)) {}

  std::vector<Finding> run() {
    no_doubles("listener", site_.listeners);
    no_doubles("pool", site_.pools);
    no_doubles("prefix", site_.request_classes);
    no_doubles("customer", site_.tenants);
    no_doubles("route", site_.routes);
    if (site_.listeners.empty()) say("site", "nothing listens: a site needs a `listener`", "", true);
    if (site_.routes.empty()) say("site", "nothing is routed: a site needs a `route`", "", true);
    listeners(), request_classes(), tenants(), pools();
    for (const Route& one : site_.routes) route(one);
    unused(), never();
    return std::move(findings_);
  }

 private:
  void say(std::string subject, std::string text, std::string fix = "", bool is_omission = false) {
    findings_.push_back({std::move(subject), std::move(text), std::move(fix), is_omission});
  }
  template <typename T>
  void no_doubles(const std::string& what, const std::vector<T>& all) {
    std::map<std::string, int> seen;
    for (const T& one : all) {
      if (++seen[one.name] == 2)
        say(what + " " + one.name + "#2", "a second " + what + " " + shown(one.name));
    }
  }
  // Says what is wrong where a name stands for something that isn't there.
  bool known(const std::string& subject, const std::string& what, const std::string& name,
             const std::set<std::string>& names) {
    if (names.contains(name)) return true;
    std::string meant = ++guesses_ > kMostGuesses ? "" : closest_name(name, {names.begin(), names.end()});
    say(subject, "no " + what + " " + shown(name), meant.empty() ? "" : "did you mean " + shown(meant) + "?");
    return false;
  }

  void listeners() {
    std::map<std::string, std::string> at;
    for (const Listener& one : site_.listeners) {
      if (one.address.empty()) continue;
      auto [found, fresh] = at.emplace(one.address, one.name);
      if (!fresh && found->second != one.name)
        say("listener " + one.name + "/address",
            "listener " + shown(found->second) + " listens at " + one.address + " already");
    }
  }
  void request_classes() {
    for (const RequestClass& one : site_.request_classes) {
      std::string of = "prefix " + one.name;
      if (one.client_timeout_s < one.latency_objective_s)
        say(of + "/client-timeout", "the client timeout is under the target latency");
      if (one.idempotency == Idempotency::Keyed && one.idempotency_window_s <= 0)
        say(of + "/kind", "a tagged prefix needs a `memory`: for how long endpoints know their tags");
      if (one.idempotency != Idempotency::Keyed && one.idempotency_window_s > 0)
        say(of + "/memory", "only a tagged prefix has a memory");
    }
  }
  void tenants() {
    double shares = 0;
    for (const Tenant& one : site_.tenants) {
      std::string of = "customer " + one.name;
      if (one.share && one.quota) say(of + "/quota", "a share and a quota: one of them has to go");
      if (!one.share && !one.quota) say(of, "a customer needs a `share` or a `quota`");
      if (one.share && site_.limits.requests <= 0)
        say(of + "/share", "a share of what? `limits` has no `visits`, as in `visits 500/s`");
      double before = shares;
      shares += one.share.value_or(0);
      if (before <= kWhole && shares > kWhole)
        say(of + "/share", "the customers' shares come to " + percent(shares) + ", over 100%");
    }
  }
  void pools() {
    for (const Pool& one : site_.pools) {
      std::string of = "pool " + one.name;
      if (one.endpoints.empty() && one.discovery.empty())
        say(of, "a pool needs an `endpoint` or a `discovery`");
      if (!one.endpoints.empty() && !one.discovery.empty())
        say(of + "/discovery", "endpoints and a discovery: one of them has to go");
      std::map<std::string, std::string> at;
      std::set<std::string> names;
      for (const Endpoint& endpoint : one.endpoints) {
        std::string its = of + "/endpoint " + endpoint.name;
        if (!names.insert(endpoint.name).second)
          say(its + "#2", "a second endpoint " + shown(endpoint.name) + " in pool " + shown(one.name));
        else if (auto [found, fresh] = at.emplace(endpoint.address, endpoint.name);
                 !fresh && !endpoint.address.empty())
          say(its + "/address",
              "endpoint " + shown(found->second) + " stands at " + endpoint.address + " already");
      }
    }
  }
  void route(const Route& one) {
    std::string of = "route " + one.name;
    for (const std::string& name : one.listeners)
      known(of + "/on " + name, "listener", name, listener_names_);
    double shares = 0;
    std::set<std::string> aims;
    for (const Target& target : one.targets) {
      known(of + "/to " + target.pool, "pool", target.pool, pool_names_);
      if (!aims.insert(target.pool).second)
        say(of + "/to " + target.pool + "#2", "pool " + shown(target.pool) + " twice");
      shares += target.share;
    }
    if (!one.targets.empty() && (shares > kWhole || shares < 2 - kWhole))
      say(of + "/to " + one.targets.back().pool, "the shares come to " + percent(shares) + ", not to 100%");
    if (one.targets.empty() && !one.answer.status) say(of, "a route needs a `to` or an `answer`");
    if (!one.targets.empty() && one.answer.status)
      say(of + "/answer", "a `to` and an `answer`: one of them has to go");
    if (!one.rewrite.empty() && one.match == Route::Path::Any)
      say(of + "/rewrite", "nothing to rewrite: the route has no `path` or `exact`");
    if (!one.rewrite.empty() && one.answer.status) say(of + "/rewrite", "an answer is not rewritten");
    if (!one.answer.location.empty() && one.answer.status / 100 != 3)
      say(of + "/location", "a `location` goes with an answer from 300 to 399");
    if (one.answer.status / 100 == 3 && one.answer.status != 304 && one.answer.location.empty())
      say(of + "/answer", "an answer of " + std::to_string(one.answer.status) + " needs a `location`");
    if (!one.targets.empty()) class_of(one);
    contradictions(one);
  }
  void class_of(const Route& one) {
    std::string of = "route " + one.name;
    if (!one.request_class.empty()) known(of + "/as", "prefix", one.request_class, prefix_names_);
    else if (site_.request_classes.empty()) say(of, "its visits have no `prefix`: the site declares none");
    else say(of, "whose kind and times do its visits have? add `as` and the name of a prefix");
  }
  void contradictions(const Route& one) {
    using Test = Condition::Test;
    for (std::size_t i = 0; i < one.conditions.size(); ++i) {
      const Condition& late = one.conditions[i];
      for (std::size_t j = 0; j < i; ++j) {
        const Condition& early = one.conditions[j];
        if (!std::equal(early.header.begin(), early.header.end(), late.header.begin(), late.header.end(),
                        [](char a, char b) { return (a | 32) == (b | 32); }))
          continue;
        bool absent = (early.test == Test::Absent) != (late.test == Test::Absent) &&
                      early.test != Test::IsNot && late.test != Test::IsNot;
        bool two = early.test == Test::Is && late.test == Test::Is && early.value != late.value;
        bool same = early.test == late.test && early.value == late.value;
        std::string its = "route " + one.name + "/header " + std::to_string(i);
        if (absent || two)
          say(its, "the route can never match: this can't hold with what is asked of " + shown(early.header) +
                       " before");
        else if (same) say(its, "the same condition twice");
      }
    }
  }
  void unused() {
    std::set<std::string> pools, listeners;
    bool all = false;
    for (const Route& one : site_.routes) {
      for (const Target& target : one.targets) pools.insert(target.pool);
      listeners.insert(one.listeners.begin(), one.listeners.end());
      all = all || one.listeners.empty();
    }
    for (const Pool& one : site_.pools) {
      if (!pools.contains(one.name))
        say("pool " + one.name, "no route leads to pool " + shown(one.name), "", true);
    }
    for (const Listener& one : site_.listeners) {
      if (!all && !site_.routes.empty() && !listeners.contains(one.name))
        say("listener " + one.name, "no route is open to listener " + shown(one.name), "", true);
    }
  }
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
  // Whatever goes before another by its host, path, methods or count of conditions matches less than it: only
  // an earlier one that is alike in all of them can leave it nothing.
  void never() {
    std::map<std::string, std::vector<const Route*>> alike;
    for (const Route& one : site_.routes) {
      std::string key = std::to_string(int(one.match)) + one.path + (one.methods.empty() ? " any" : " named");
      for (const std::string& condition : conditions_of(one)) key += "\n" + condition;
      std::vector<const Route*>& before = alike[key];
      std::size_t looked = 0;
      for (const Route* early : before) {
        if (++looked > kMostLooked) break;
        bool methods = early->methods.empty() || covers(early->methods, one.methods);
        bool hosts = early->hosts.empty() == one.hosts.empty() && covers(early->hosts, one.hosts);
        if (!methods || !hosts || !covers(early->listeners, one.listeners)) continue;
        say("route " + one.name,
            "the route can never match: route " + shown(early->name) + " before it takes all that it would");
        break;
      }
      before.push_back(&one);
    }
  }

  static constexpr double kWhole = 1 + 1e-9;
  static constexpr std::size_t kMostLooked = 256;
  static constexpr int kMostGuesses = 100;  // each is compared with every name
  const Site& site_;
  const std::set<std::string> listener_names_, pool_names_, prefix_names_;
  int guesses_ = 0;
  std::vector<Finding> findings_;
};

}  // namespace

std::vector<Finding> check(const Site& site) { return Checker(site).run(); }

}  // namespace puffinvane::site
