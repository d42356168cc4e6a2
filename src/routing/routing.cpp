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

// The host without port and trailing dot.
std::string_view bare_host(std::string_view host) {
  std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  if (host.ends_with('.')) host.remove_suffix(1);
  return host;
}

bool is_met(const Condition& condition, std::span<const HeaderField> fields) {
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

bool contains(const std::vector<std::string>& values, std::string_view value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// Whether the criteria other than host and path match.
bool matches_rest(const Route& route, const RequestHead& request) {
  if (!route.listeners.empty() && !contains(route.listeners, request.listener)) return false;
  if (!route.methods.empty() && !contains(route.methods, request.method)) return false;
  return std::all_of(route.conditions.begin(), route.conditions.end(),
                     [&](const Condition& one) { return is_met(one, request.fields); });
}

// The rest of a path after a prefix, including its leading `/`; nothing if the prefix does not match.
std::optional<std::string_view> after_prefix(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return {};
  std::string_view rest = path.substr(prefix.size());
  if (prefix.ends_with('/')) return path.substr(prefix.size() - 1);
  if (rest.empty() || rest.front() == '/') return rest;
  return {};
}

constexpr int kExactMatch = 1 << 20;  // above the length of any wildcard or prefix

// How specifically a route names a host, for comparison between routes; -1: it does not match.
int host_rank(const Route& route, std::string_view host) {
  if (route.hosts.empty()) return 0;
  int best = -1;
  for (const std::string& one : route.hosts) {
    if (one.starts_with("*.")) {
      std::string_view rest = std::string_view(one).substr(1);
      bool is_subdomain =
          host.size() > rest.size() && same_name(host.substr(host.size() - rest.size()), rest);
      if (is_subdomain) best = std::max(best, int(rest.size()));
    } else if (same_name(one, host)) {
      best = kExactMatch;
    }
  }
  return best;
}

// The same for the path.
int path_rank(const Route& route, std::string_view path) {
  switch (route.match) {
    case Route::Path::Any: return 0;
    case Route::Path::Exact: return path == route.path ? kExactMatch : -1;
    case Route::Path::Prefix: return after_prefix(route.path, path) ? int(route.path.size()) : -1;
  }
  return -1;
}

// The target with the route's path or prefix replaced by its rewrite; the query stays.
std::string rewritten(const Route& route, std::string_view target) {
  std::string_view path = path_of(target), query = target.substr(path.size());
  std::string out = route.rewrite;
  if (route.match == Route::Path::Prefix) {
    std::string_view rest = *after_prefix(route.path, path);
    if (out.ends_with('/') && rest.starts_with('/')) rest.remove_prefix(1);
    out += rest;
  }
  return out.append(query);
}

template <typename T>
std::unordered_map<std::string_view, int> indexes_by_name(const std::vector<T>& items) {
  std::unordered_map<std::string_view, int> by_name;
  for (std::size_t i = 0; i < items.size(); ++i) by_name.emplace(items[i].name, int(i));
  return by_name;
}

}  // namespace

bool has_dot_segments(std::string_view path) {
  path = path_of(path);
  // A dot may also be written as %2e.
  for (std::size_t from = 0; from < path.size();) {
    std::size_t to = std::min(path.find('/', from), path.size());
    std::string_view segment = path.substr(from, to - from);
    int dots = 0;
    while (!segment.empty()) {
      std::size_t size = segment.front() == '.'                                          ? 1
                         : segment.size() >= 3 && same_name(segment.substr(0, 3), "%2e") ? 3
                                                                                         : 0;
      if (size == 0) break;
      segment.remove_prefix(size);
      ++dots;
    }
    if (segment.empty() && (dots == 1 || dots == 2)) return true;
    from = to + 1;
  }
  return false;
}

// The compiled routes: for each host a tree of path segments. Descending one level is one hash look-up, so
// that finding a route costs time by the number of path segments, and not by the number of routes.
class Router::Table {
 public:
  explicit Table(const site::Site& site) : site_(site) {
    const auto pools = indexes_by_name(site.pools);
    const auto classes = indexes_by_name(site.request_classes);
    destinations_.reserve(site.routes.size());
    for (const Route& route : site.routes) {
      Destination destination;
      double share = 0;
      for (const site::Target& target : route.targets) {
        share += target.share;
        destination.pools.push_back({share, pools.at(target.pool)});
      }
      if (!route.targets.empty()) destination.request_class = classes.at(route.request_class);
      destinations_.push_back(std::move(destination));
    }
    for (int i = 0; i < int(site.routes.size()); ++i) add(i);
    for (Node& node : nodes_) {
      for (Bucket* bucket : {&node.exact, &node.prefix, &node.below, &node.any})
        std::stable_sort(bucket->begin(), bucket->end(),
                         [&](int one, int other) { return takes_precedence(one, other); });
    }
  }

  int find(const RequestHead& request) const {
    std::array<char, 256> buffer{};
    std::string_view host = bare_host(request.host);
    // No valid host is longer; only the routes for any host are left.
    if (host.size() > buffer.size()) host = {};
    std::transform(host.begin(), host.end(), buffer.begin(), lower);
    host = {buffer.data(), host.size()};
    std::string_view path = path_of(request.target);
    if (!host.empty()) {
      if (int found = find_in_hosts(hosts_, host, path, request); found >= 0) return found;
      for (std::size_t dot = wildcards_.empty() ? host.npos : host.find('.'); dot != host.npos;
           dot = host.find('.', dot + 1)) {
        if (dot == 0) continue;
        if (int found = find_in_hosts(wildcards_, host.substr(dot), path, request); found >= 0) return found;
      }
    }
    return any_host_root_ < 0 ? -1 : find_in_tree(any_host_root_, path, request);
  }

  // The last pool also gets the draws above a sum of shares that is slightly less than one.
  int pool(int route, double draw) const {
    const auto& pools = destinations_[std::size_t(route)].pools;
    for (const auto& [share_sum, pool] : pools) {
      if (draw < share_sum) return pool;
    }
    return pools.back().second;
  }
  int request_class(int route) const { return destinations_[std::size_t(route)].request_class; }

 private:
  using Bucket = std::vector<int>;
  struct Node {
    Bucket exact;   // routes for exactly this path
    Bucket prefix;  // routes for this path as a prefix
    Bucket below;   // routes for this path with a trailing `/` as a prefix: only paths that go on match
    Bucket any;     // routes for any path; used at the root only
  };
  struct Destination {
    std::vector<std::pair<double, int>> pools;  // with the sum of the shares up to and including each
    int request_class = -1;
  };
  struct Edge {
    int parent;  // index into nodes_
    std::string_view segment;
    bool operator==(const Edge&) const = default;
  };
  struct HashEdge {
    std::size_t operator()(const Edge& edge) const {
      return std::hash<std::string_view>()(edge.segment) ^ (std::size_t(edge.parent) * 0x9e3779b97f4a7c15ULL);
    }
  };
  struct HashText {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
  };
  using Hosts = std::unordered_map<std::string, int, HashText, std::equal_to<>>;

  const Route& route(int i) const { return site_.routes[std::size_t(i)]; }
  bool takes_precedence(int one, int other) const {
    const Route &a = route(one), &b = route(other);
    if (a.methods.empty() != b.methods.empty()) return b.methods.empty();
    if (a.conditions.size() != b.conditions.size()) return a.conditions.size() > b.conditions.size();
    return one < other;
  }

  void add(int i) {
    const Route& added = route(i);
    if (added.hosts.empty()) add_to_tree(any_host_root_, i);
    for (const std::string& host : added.hosts) {
      bool wild = host.starts_with("*.");
      add_to_tree((wild ? wildcards_ : hosts_).try_emplace(wild ? host.substr(1) : host, -1).first->second,
                  i);
    }
  }
  int add_node() {
    nodes_.emplace_back();
    return int(nodes_.size()) - 1;
  }
  void add_to_tree(int& root, int i) {
    if (root < 0) root = add_node();
    const Route& added = route(i);
    if (added.match == Route::Path::Any) {
      nodes_[std::size_t(root)].any.push_back(i);
      return;
    }
    std::string_view path = added.path;
    const bool is_prefix = added.match == Route::Path::Prefix;
    const bool is_below = is_prefix && path.ends_with('/');
    if (is_below) path.remove_suffix(1);
    int node_index = root;
    for (std::size_t from = 1; from <= path.size() && !path.empty();) {
      std::size_t to = std::min(path.find('/', from), path.size());
      auto [edge, is_new] = edges_.try_emplace({node_index, path.substr(from, to - from)}, -1);
      if (is_new) edge->second = add_node();
      node_index = edge->second;
      from = to + 1;
    }
    Node& node = nodes_[std::size_t(node_index)];
    Bucket& bucket = !is_prefix ? node.exact : is_below ? node.below : node.prefix;
    bucket.push_back(i);
  }
  int first_match(const Bucket& bucket, const RequestHead& request) const {
    for (int i : bucket) {
      if (matches_rest(route(i), request)) return i;
    }
    return -1;
  }
  int find_in_hosts(const Hosts& hosts, std::string_view host, std::string_view path,
                    const RequestHead& request) const {
    auto found = hosts.find(host);
    return found == hosts.end() ? -1 : find_in_tree(found->second, path, request);
  }
  int find_in_tree(int root, std::string_view path, const RequestHead& request) const {
    // Descends as far as the tree matches, then goes back up, so that the longest prefix is tried first.
    std::array<int, kMaxDepth> visited;
    std::size_t depth = 0, from = 1;
    bool at_end = false;
    visited[depth++] = root;
    while (depth < visited.size() && !path.empty()) {
      std::size_t to = std::min(path.find('/', from), path.size());
      auto edge = edges_.find({visited[depth - 1], path.substr(from, to - from)});
      if (edge == edges_.end()) break;
      visited[depth++] = edge->second;
      at_end = to == path.size();
      from = to + 1;
      if (at_end) break;
    }
    if (at_end) {
      if (int found = first_match(nodes_[std::size_t(visited[depth - 1])].exact, request); found >= 0)
        return found;
    }
    for (std::size_t i = depth; i-- > 0;) {
      const Node& node = nodes_[std::size_t(visited[i])];
      const bool path_continues = i + 1 < depth || !at_end;
      if (path_continues) {
        if (int found = first_match(node.below, request); found >= 0) return found;
      }
      if (int found = first_match(node.prefix, request); found >= 0) return found;
    }
    return first_match(nodes_[std::size_t(root)].any, request);
  }

  static constexpr std::size_t kMaxDepth = site::kMostParts + 2;
  const site::Site& site_;
  std::vector<Destination> destinations_;
  std::vector<Node> nodes_;
  std::unordered_map<Edge, int, HashEdge> edges_;
  Hosts hosts_, wildcards_;
  int any_host_root_ = -1;
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
  // Compared like the order in routing.h; the position in the file decides between equal ranks.
  auto rank_of = [&](const Route& route) {
    return std::array<int, 4>{host_rank(route, host), path_rank(route, path), route.methods.empty() ? 0 : 1,
                              int(route.conditions.size())};
  };
  std::vector<RouteExplanation> all;
  int best = -1;
  std::array<int, 4> best_rank{};
  for (std::size_t i = 0; i < site.routes.size(); ++i) {
    const Route& route = site.routes[i];
    const auto rank = rank_of(route);
    RouteExplanation explanation{int(i), "", false};
    if (!route.listeners.empty() && !contains(route.listeners, request.listener))
      explanation.why_not = "is not open to listener " + std::string(request.listener);
    else if (rank[0] < 0) explanation.why_not = "is for another host";
    else if (rank[1] < 0) explanation.why_not = "is for another path";
    else if (!route.methods.empty() && !contains(route.methods, request.method))
      explanation.why_not = "is for other methods";
    else {
      explanation.matches = true;
      for (const Condition& one : route.conditions) {
        if (explanation.matches && !is_met(one, request.fields)) {
          explanation.matches = false;
          explanation.why_not = "its condition on " + one.header + " does not hold";
        }
      }
    }
    if (explanation.matches && (best < 0 || rank > best_rank)) {
      best = int(i);
      best_rank = rank;
    }
    all.push_back(std::move(explanation));
  }
  for (RouteExplanation& explanation : all) {
    if (!explanation.matches || explanation.route == best) continue;
    constexpr std::array<const char*, 4> kWhy{"names the host more closely", "names the path more closely",
                                              "names the method", "has more conditions on headers"};
    const auto rank = rank_of(site.routes[std::size_t(explanation.route)]);
    std::size_t index = 0;
    while (index < rank.size() && rank[index] == best_rank[index]) ++index;
    const std::string& winner = site.routes[std::size_t(best)].name;
    explanation.why_not =
        "matches, but route " + winner +
        (index < rank.size() ? std::string(" ") + kWhy[index] : std::string(" stands before it"));
  }
  return all;
}

}  // namespace puffinvane::routing
