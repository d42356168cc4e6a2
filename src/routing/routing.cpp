#include "src/routing/routing.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace puffinvane::routing {

using site::Condition;
using site::Route;

namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; }
bool same_name(std::string_view one, std::string_view other) {
  return one.size() == other.size() && std::equal(one.begin(), one.end(), other.begin(),
                                                  [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

// Without its port and the dot that may end it.
std::string_view bare_host(std::string_view host) {
  std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  if (host.ends_with('.')) host.remove_suffix(1);
  return host;
}

bool holds(const Condition& condition, std::span<const HeaderField> fields) {
  using Test = Condition::Test;
  const HeaderField* found = nullptr;
  bool equal = false, starts = false;
  for (const HeaderField& field : fields) {
    if (!same_name(field.name, condition.header)) continue;
    found = &field;
    equal = equal || field.value == condition.value;
    starts = starts || field.value.starts_with(condition.value);
  }
  switch (condition.test) {
    case Test::Is: return equal;
    case Test::IsNot: return !equal;
    case Test::Starts: return starts;
    case Test::Present: return found != nullptr;
    case Test::Absent: return found == nullptr;
  }
  return false;
}

bool listed(const std::vector<std::string>& all, std::string_view one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

// What is left once host and path have led to a route.
bool rest_holds(const Route& route, const RequestHead& request) {
  if (!route.listeners.empty() && !listed(route.listeners, request.listener)) return false;
  if (!route.methods.empty() && !listed(route.methods, request.method)) return false;
  return std::all_of(route.conditions.begin(), route.conditions.end(),
                     [&](const Condition& one) { return holds(one, request.fields); });
}

// What a path leaves behind its prefix, with the `/` it begins with; nothing where it isn't under it.
std::optional<std::string_view> under(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return {};
  std::string_view rest = path.substr(prefix.size());
  if (prefix.ends_with('/')) return path.substr(prefix.size() - 1);
  if (rest.empty() || rest.front() == '/') return rest;
  return {};
}

// A host's length tells how much of it was named: the longer, the sooner.
int host_rank(const Route& route, std::string_view host) {
  if (route.hosts.empty()) return 0;
  int best = -1;
  for (const std::string& one : route.hosts) {
    if (one.starts_with("*.")) {
      std::string_view rest = std::string_view(one).substr(1);
      bool under = host.size() > rest.size() && same_name(host.substr(host.size() - rest.size()), rest);
      if (under) best = std::max(best, int(rest.size()));
    } else if (same_name(one, host)) {
      best = 1 << 20;
    }
  }
  return best;
}

int path_rank(const Route& route, std::string_view path) {
  switch (route.match) {
    case Route::Path::Any: return 0;
    case Route::Path::Exact: return path == route.path ? 1 << 20 : -1;
    case Route::Path::Prefix: return under(route.path, path) ? int(route.path.size()) : -1;
  }
  return -1;
}

std::string rewritten(const Route& route, std::string_view target) {
  std::string_view path = path_of(target), query = target.substr(path.size());
  std::string out = route.rewrite;
  if (route.match == Route::Path::Prefix) {
    std::string_view rest = *under(route.path, path);
    if (out.ends_with('/') && rest.starts_with('/')) rest.remove_prefix(1);
    out += rest;
  }
  return out.append(query);
}

template <typename T>
std::unordered_map<std::string_view, int> places(const std::vector<T>& all) {
  std::unordered_map<std::string_view, int> by_name;
  for (std::size_t i = 0; i < all.size(); ++i) by_name.emplace(all[i].name, int(i));
  return by_name;
}

}  // namespace

bool has_dot_segments(std::string_view path) {
  path = path_of(path);
  // `.`, `..` and either with its dots written as %2e.
  for (std::size_t from = 0; from < path.size();) {
    std::size_t to = std::min(path.find('/', from), path.size());
    std::string_view part = path.substr(from, to - from);
    int dots = 0;
    while (!part.empty()) {
      std::size_t size = part.front() == '.'                                       ? 1
                         : part.size() >= 3 && same_name(part.substr(0, 3), "%2e") ? 3
                                                                                   : 0;
      if (size == 0) break;
      part.remove_prefix(size), ++dots;
    }
    if (part.empty() && (dots == 1 || dots == 2)) return true;
    from = to + 1;
  }
  return false;
}

// Hosts lead to a tree of path parts; each step is one look-up, so that the cost goes by the path's length
// and not by the number of routes.
class Router::Table {
 public:
  explicit Table(const site::Site& site) : site_(site) {
    auto pools = places(site.pools), classes = places(site.request_classes);
    leads_.reserve(site.routes.size());
    for (const Route& route : site.routes) {
      Lead lead;
      double share = 0;
      for (const site::Target& target : route.targets)
        lead.pools.push_back({share += target.share, pools.at(target.pool)});
      if (!route.targets.empty()) lead.request_class = classes.at(route.request_class);
      leads_.push_back(std::move(lead));
    }
    for (int i = 0; i < int(site.routes.size()); ++i) add(i);
    for (Place& place : places_) {
      for (Bucket* bucket : {&place.exact, &place.under, &place.below, &place.any})
        std::stable_sort(bucket->begin(), bucket->end(),
                         [&](int one, int other) { return before(one, other); });
    }
  }

  int find(const RequestHead& request) const {
    std::array<char, 256> space{};
    std::string_view host = bare_host(request.host);
    if (host.size() > space.size()) host = {};  // no host is longer; the routes for any host are left
    std::transform(host.begin(), host.end(), space.begin(), lower);
    host = {space.data(), host.size()};
    std::string_view path = path_of(request.target);
    if (!host.empty()) {
      if (int found = in_host(hosts_, host, path, request); found >= 0) return found;
      for (std::size_t dot = wildcards_.empty() ? host.npos : host.find('.'); dot != host.npos;
           dot = host.find('.', dot + 1)) {
        if (dot == 0) continue;
        if (int found = in_host(wildcards_, host.substr(dot), path, request); found >= 0) return found;
      }
    }
    return any_host_ < 0 ? -1 : in_tree(any_host_, path, request);
  }

  int pool(int route, double draw) const {
    const auto& pools = leads_[std::size_t(route)].pools;
    for (const auto& [until, pool] : pools) {
      if (draw < until) return pool;
    }
    return pools.back().second;
  }
  int request_class(int route) const { return leads_[std::size_t(route)].request_class; }

 private:
  using Bucket = std::vector<int>;
  struct Place {
    // exact: the path ends here. under: it ends here or goes on. below: it goes on with a `/`. any: of a
    // host's root, for routes that ask for no path.
    Bucket exact, under, below, any;
  };
  struct Lead {
    std::vector<std::pair<double, int>> pools;  // each up to its share, added up
    int request_class = -1;
  };
  struct Step {
    int from;
    std::string_view part;
    bool operator==(const Step&) const = default;
  };
  struct HashStep {
    std::size_t operator()(const Step& step) const {
      return std::hash<std::string_view>()(step.part) ^ (std::size_t(step.from) * 0x9e3779b97f4a7c15ULL);
    }
  };
  struct HashText {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  using Hosts = std::unordered_map<std::string, int, HashText, std::equal_to<>>;

  const Route& route(int i) const { return site_.routes[std::size_t(i)]; }
  bool before(int one, int other) const {
    const Route &a = route(one), &b = route(other);
    if (a.methods.empty() != b.methods.empty()) return b.methods.empty();
    if (a.conditions.size() != b.conditions.size()) return a.conditions.size() > b.conditions.size();
    return one < other;
  }

  void add(int i) {
    const Route& its = route(i);
    if (its.hosts.empty()) add_under(any_host_, i);
    for (const std::string& host : its.hosts) {
      bool wild = host.starts_with("*.");
      add_under((wild ? wildcards_ : hosts_).try_emplace(wild ? host.substr(1) : host, -1).first->second, i);
    }
  }
  int fresh() { return places_.emplace_back(), int(places_.size()) - 1; }
  void add_under(int& root, int i) {
    if (root < 0) root = fresh();
    const Route& its = route(i);
    if (its.match == Route::Path::Any) {
      places_[std::size_t(root)].any.push_back(i);
      return;
    }
    std::string_view path = its.path;
    bool prefix = its.match == Route::Path::Prefix, open = prefix && path.ends_with('/');
    if (open) path.remove_suffix(1);
    int at = root;
    for (std::size_t from = 1; from <= path.size() && !path.empty();) {
      std::size_t to = std::min(path.find('/', from), path.size());
      auto [step, is_new] = steps_.try_emplace({at, path.substr(from, to - from)}, -1);
      if (is_new) step->second = fresh();
      at = step->second;
      from = to + 1;
    }
    Place& place = places_[std::size_t(at)];
    Bucket& bucket = !prefix ? place.exact : open ? place.below : place.under;
    bucket.push_back(i);
  }
  int first_in(const Bucket& bucket, const RequestHead& request) const {
    for (int i : bucket) {
      if (rest_holds(route(i), request)) return i;
    }
    return -1;
  }
  int in_host(const Hosts& hosts, std::string_view host, std::string_view path,
              const RequestHead& request) const {
    auto found = hosts.find(host);
    return found == hosts.end() ? -1 : in_tree(found->second, path, request);
  }
  int in_tree(int root, std::string_view path, const RequestHead& request) const {
    // Down as far as the tree goes, then back up: the longest prefix is tried first.
    std::array<int, kDeepest> trail;
    std::size_t depth = 0, from = 1;
    bool whole = false;
    trail[depth++] = root;
    while (depth < trail.size() && !path.empty()) {
      std::size_t to = std::min(path.find('/', from), path.size());
      auto step = steps_.find({trail[depth - 1], path.substr(from, to - from)});
      if (step == steps_.end()) break;
      trail[depth++] = step->second;
      whole = to == path.size();
      from = to + 1;
      if (whole) break;
    }
    if (whole) {
      if (int found = first_in(places_[std::size_t(trail[depth - 1])].exact, request); found >= 0)
        return found;
    }
    for (std::size_t i = depth; i-- > 0;) {
      const Place& place = places_[std::size_t(trail[i])];
      bool goes_on = i + 1 < depth || !whole;
      if (goes_on) {
        if (int found = first_in(place.below, request); found >= 0) return found;
      }
      if (int found = first_in(place.under, request); found >= 0) return found;
    }
    return first_in(places_[std::size_t(root)].any, request);
  }

  static constexpr std::size_t kDeepest = site::kMostParts + 2;
  const site::Site& site_;
  std::vector<Lead> leads_;
  std::vector<Place> places_;
  std::unordered_map<Step, int, HashStep> steps_;
  Hosts hosts_, wildcards_;
  int any_host_ = -1;
};

Router::Router(std::shared_ptr<const site::Site> site)
    : site_(std::move(site)), table_(std::make_unique<const Table>(*site_)) {}
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;
Router::~Router() = default;

int Router::find(const RequestHead& request) const { return table_->find(request); }

Decision Router::decide(const RequestHead& request, double draw) const {
  Decision decision;
  if (has_dot_segments(request.target)) {
    decision.kind = Decision::Kind::BadTarget;
    return decision;
  }
  decision.route = table_->find(request);
  if (decision.route < 0) return decision;
  const Route& route = site_->routes[std::size_t(decision.route)];
  if (route.answer.status) {
    decision.kind = Decision::Kind::FixedResponse;
    return decision;
  }
  decision.kind = Decision::Kind::Forward;
  decision.pool = table_->pool(decision.route, draw);
  decision.request_class = table_->request_class(decision.route);
  if (!route.rewrite.empty()) decision.target = rewritten(route, request.target);
  return decision;
}

std::vector<RouteExplanation> explain(const site::Site& site, const RequestHead& request) {
  std::string_view host = bare_host(request.host), path = path_of(request.target);
  auto rank = [&](const Route& route) {
    return std::array<int, 4>{host_rank(route, host), path_rank(route, path), route.methods.empty() ? 0 : 1,
                              int(route.conditions.size())};
  };
  std::vector<RouteExplanation> all;
  int best = -1;
  std::array<int, 4> best_rank{};
  for (std::size_t i = 0; i < site.routes.size(); ++i) {
    const Route& route = site.routes[i];
    auto its = rank(route);
    RouteExplanation verdict{int(i), "", false};
    if (!route.listeners.empty() && !listed(route.listeners, request.listener))
      verdict.why_not = "is not open to listener " + std::string(request.listener);
    else if (its[0] < 0) verdict.why_not = "is for another host";
    else if (its[1] < 0) verdict.why_not = "is for another path";
    else if (!route.methods.empty() && !listed(route.methods, request.method))
      verdict.why_not = "is for other methods";
    else {
      verdict.matches = true;
      for (const Condition& one : route.conditions) {
        if (verdict.matches && !holds(one, request.fields))
          verdict.matches = false, verdict.why_not = "its condition on " + one.header + " does not hold";
      }
    }
    if (verdict.matches && (best < 0 || its > best_rank)) best = int(i), best_rank = its;
    all.push_back(std::move(verdict));
  }
  for (RouteExplanation& verdict : all) {
    if (!verdict.matches || verdict.route == best) continue;
    constexpr std::array<const char*, 4> kWhy{"names the host more closely", "names the path more closely",
                                              "names the method", "has more conditions on headers"};
    auto its = rank(site.routes[std::size_t(verdict.route)]);
    std::size_t differ = 0;
    while (differ < its.size() && its[differ] == best_rank[differ]) ++differ;
    const std::string& winner = site.routes[std::size_t(best)].name;
    verdict.why_not =
        "matches, but route " + winner +
        (differ < its.size() ? std::string(" ") + kWhy[differ] : std::string(" stands before it"));
  }
  return all;
}

}  // namespace puffinvane::routing
