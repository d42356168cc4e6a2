// Compares the router with a simple reference matcher, and checks rewriting, shares and the explanations.
#undef NDEBUG
#include "src/routing/routing.h"

#include <rapidcheck.h>

#include <cassert>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>

using namespace puffinvane;
using namespace puffinvane::routing;
using site::Condition;
using site::Route;
using site::Site;

namespace {

// ---- The reference matcher: a linear search written from the order in routing.h; shares no code with the
// router.

bool reference_is_prefix(const std::string& prefix, const std::string& path) {
  if (path.rfind(prefix, 0) != 0) return false;
  return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

// How a route ranks for a request, compared lexicographically; nothing if it does not match.
std::optional<std::vector<long>> reference_rank(const Route& route, const RequestHead& request, long index) {
  std::string host(request.host), path(request.target);
  if (std::size_t colon = host.find(':'); colon != std::string::npos) host.resize(colon);
  for (char& c : host) c = char(std::tolower(c));
  if (std::size_t query = path.find('?'); query != std::string::npos) path.resize(query);
  long host_rank = route.hosts.empty() ? 0 : -1;
  for (const std::string& one : route.hosts) {
    std::string rest = one.substr(1);
    if (one == host) host_rank = 1000;
    else if (one[0] == '*' && host.size() > rest.size() && host.substr(host.size() - rest.size()) == rest)
      host_rank = std::max(host_rank, long(rest.size()));
  }
  long path_rank = route.match == Route::Path::Any                           ? 0
                   : route.match == Route::Path::Exact && path == route.path ? 1000
                   : route.match == Route::Path::Prefix && reference_is_prefix(route.path, path)
                       ? long(route.path.size())
                       : -1;
  auto has = [](const std::vector<std::string>& all, std::string_view one) {
    for (const std::string& it : all) {
      if (it == one) return true;
    }
    return all.empty();
  };
  if (host_rank < 0 || path_rank < 0 || !has(route.listeners, request.listener) ||
      !has(route.methods, request.method))
    return {};
  for (const Condition& one : route.conditions) {
    bool present = false, is = false, starts = false;
    for (const HeaderField& field : request.fields) {
      if (strcasecmp(std::string(field.name).c_str(), one.header.c_str()) != 0) continue;
      present = true;
      is = is || field.value == one.value;
      starts = starts || std::string(field.value).rfind(one.value, 0) == 0;
    }
    bool holds[] = {is, !is, starts, present, !present};
    if (!holds[int(one.test)]) return {};
  }
  return std::vector<long>{host_rank, path_rank, !route.methods.empty(), long(route.conditions.size()),
                           -index};
}

int reference_find(const Site& site, const RequestHead& request) {
  int best = -1;
  std::vector<long> best_rank;
  for (std::size_t i = 0; i < site.routes.size(); ++i) {
    auto rank = reference_rank(site.routes[i], request, long(i));
    if (rank && (best < 0 || *rank > best_rank)) {
      best = int(i);
      best_rank = *rank;
    }
  }
  return best;
}

// ---- Random sites and requests from a small vocabulary, so that many routes overlap.

template <typename T>
const T& pick(const std::vector<T>& all, std::mt19937_64& random) {
  return all[random() % all.size()];
}

const std::vector<std::string> kHosts{"a.org", "b.a.org", "c.b.a.org", "d.net"};
const std::vector<std::string> kWild{"*.a.org", "*.b.a.org", "*.org", "*.net"};
const std::vector<std::string> kMethods{"GET", "POST", "PUT"};
const std::vector<std::string> kHeaders{"X-A", "X-B"};
const std::vector<std::string> kListeners{"main", "second"};

std::string random_path(std::mt19937_64& random, bool slash) {
  static const std::vector<std::string> kParts{"a", "b", "ab", "c", ""};
  std::string made;
  for (std::size_t i = random() % 4; i > 0; --i) made += "/" + pick(kParts, random);
  if (made.empty() || (slash && random() % 4 == 0)) made += "/";
  return made;
}

Site random_site(std::mt19937_64& random, std::size_t routes) {
  Site site;
  site.listeners = {{"main", "127.0.0.1:1"}, {"second", "127.0.0.1:2"}};
  site.request_classes.push_back({"p", Idempotency::Safe});
  site.pools.push_back({"one", {{"a", "127.0.0.1:3"}}});
  for (std::size_t i = 0; i < routes; ++i) {
    Route route;
    route.name = "r" + std::to_string(i);
    for (std::size_t k = random() % 3; k > 0; --k)
      route.hosts.push_back(pick(random() % 2 ? kHosts : kWild, random));
    route.match = Route::Path(random() % 3);
    if (route.match != Route::Path::Any) route.path = random_path(random, true);
    for (std::size_t k = random() % 3; k > 0; --k) route.methods.push_back(pick(kMethods, random));
    for (std::size_t k = random() % 3; k > 0; --k)
      route.conditions.push_back(
          {pick(kHeaders, random), Condition::Test(random() % 5), random() % 2 ? "1" : "12"});
    if (random() % 4 == 0) route.listeners.push_back(pick(kListeners, random));
    route.targets.push_back({"one", 1});
    route.request_class = "p";
    site.routes.push_back(std::move(route));
  }
  return site;
}

struct TestRequest {
  std::string listener, method, host, target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::vector<HeaderField> fields = {};
  RequestHead head() {
    fields.clear();
    for (const auto& [name, value] : headers) fields.push_back({name, value});
    return {listener, method, host, target, fields};
  }
};

TestRequest random_request(std::mt19937_64& random) {
  TestRequest request{
      pick(kListeners, random), pick(kMethods, random), pick(kHosts, random), random_path(random, true), {}};
  if (random() % 4 == 0) request.host = "x." + request.host;
  if (random() % 4 == 0) request.host += ":8080";
  if (random() % 4 == 0) request.host[0] = char(std::toupper(request.host[0]));
  if (random() % 8 == 0) request.host.clear();
  if (random() % 4 == 0) request.target += "?a=/b";
  for (std::size_t k = random() % 3; k > 0; --k)
    request.headers.emplace_back(random() % 2 ? pick(kHeaders, random) : "x-a", random() % 2 ? "1" : "12");
  return request;
}

void a_million_requests_take_the_routes_of_the_reference_matcher() {
  std::mt19937_64 random(15);
  long compared = 0, routed = 0;
  for (int i = 0; i < 2000; ++i) {
    auto site = std::make_shared<const Site>(random_site(random, 1 + random() % 40));
    Router router(site);
    for (int k = 0; k < 500; ++k, ++compared) {
      TestRequest request = random_request(random);
      int found = router.find(request.head()), expected = reference_find(*site, request.head());
      if (found != expected)
        std::fprintf(stderr, "%s %s%s: found route %d, expected %d\n", request.method.c_str(),
                     request.host.c_str(), request.target.c_str(), found, expected);
      assert(found == expected);
      routed += found >= 0;
    }
  }
  std::printf("%ld requests compared, %ld of them routed\n", compared, routed);
  assert(compared == 1'000'000 && routed > 300'000 && routed < 990'000);
}

void explain_reports_the_route_that_the_router_finds() {
  assert(rc::check(
      "the route that explain reports as winner is the one that the router finds", [](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        Site site = random_site(random, 1 + random() % 20);
        Router router(std::make_shared<const Site>(site));
        TestRequest request = random_request(random);
        const RequestHead head = request.head();
        int winner = -1;
        for (const RouteExplanation& explanation : explain(site, head)) {
          if (explanation.why_not.empty()) {
            RC_ASSERT(winner == -1);
            winner = explanation.route;
          }
          RC_ASSERT(explanation.matches ==
                    reference_rank(site.routes[std::size_t(explanation.route)], head, 0).has_value());
        }
        RC_ASSERT(winner == router.find(head));
      }));
}

Site minimal_site() {
  Site site;
  site.listeners = {{"main", "127.0.0.1:1"}};
  site.request_classes = {{"p", Idempotency::Safe}};
  site.pools = {{"one", {{"a", "127.0.0.1:3"}}}, {"two", {{"a", "127.0.0.1:4"}}}};
  return site;
}
Route route(std::string name, Route::Path match, std::string path) {
  Route made;
  made.name = std::move(name);
  made.match = match;
  made.path = std::move(path);
  made.request_class = "p";
  made.targets = {{"one", 1}};
  return made;
}

void requests_are_distributed_over_pools_by_their_shares() {
  Site site = minimal_site();
  site.routes = {route("a", Route::Path::Any, "")};
  site.routes[0].targets = {{"one", 0.9}, {"two", 0.1}};
  Router router(std::make_shared<const Site>(site));
  int second = 0;
  for (int i = 0; i < 1000; ++i) second += router.decide({"main", "GET", "", "/", {}}, i / 1000.0).pool == 1;
  assert(second == 100);
  // Shares that add up to slightly less than one in floating point still select a pool for every draw.
  site.pools.push_back({"three", {{"a", "127.0.0.1:5"}}});
  site.routes[0].targets = {{"one", 0.7}, {"two", 0.2}, {"three", 0.1}};
  double last = std::nextafter(1.0, 0.0);
  assert(0.7 + 0.2 + 0.1 <= last);
  assert(Router(std::make_shared<const Site>(site)).decide({"main", "GET", "", "/", {}}, last).pool == 2);
}

void a_rewrite_replaces_the_prefix_and_keeps_rest_and_query() {
  Site site = minimal_site();
  site.routes = {route("a", Route::Path::Prefix, "/old"), route("b", Route::Path::Prefix, "/dir/"),
                 route("c", Route::Path::Exact, "/x"), route("d", Route::Path::Prefix, "/top")};
  site.routes[0].rewrite = "/new";
  site.routes[1].rewrite = "/";
  site.routes[2].rewrite = "/y/z";
  site.routes[3].rewrite = "/";
  Router router(std::make_shared<const Site>(site));
  auto target = [&](std::string_view of) {
    return router.decide({"main", "GET", "", of, {}}, 0).target.value();
  };
  assert(target("/old") == "/new" && target("/old/a?b=/old") == "/new/a?b=/old" &&
         target("/old?q") == "/new?q");
  assert(target("/dir/a/b") == "/a/b" && target("/dir/") == "/" && target("/x?q") == "/y/z?q");
  assert(target("/top/a") == "/a" && target("/top") == "/");
}

void a_path_with_dot_segments_is_rejected() {
  for (const char* path : {"/a/../b", "/..", "/a/.", "/./a", "/%2e%2E/a", "/a/.%2e", "/a/..?x"})
    assert(has_dot_segments(path));
  for (const char* path : {"/a/...", "/a..b", "/.a", "/a?../b", "/%2e%2e%2e", "/", "/a/%2ex"})
    assert(!has_dot_segments(path));
  Site site = minimal_site();
  site.routes = {route("a", Route::Path::Any, "")};
  Router router(std::make_shared<const Site>(site));
  assert(router.decide({"main", "GET", "", "/a/../b", {}}, 0).kind == Decision::Kind::BadTarget);
}

// The lookup records visited nodes in an array of fixed size, and hosts in one of 256 bytes: longer input
// must neither overflow them nor lose the match.
void a_path_deeper_than_any_route_is_matched_by_its_prefix() {
  Site site = minimal_site();
  site.routes = {route("a", Route::Path::Prefix, "/a"),
                 route("b", Route::Path::Prefix, std::string("/a/a/a"))};
  Router router(std::make_shared<const Site>(site));
  std::string deep;
  for (int i = 0; i < 10000; ++i) deep += "/a";
  assert(router.find({"main", "GET", "", deep, {}}) == 1);
  assert(router.find({"main", "GET", std::string(5000, 'a'), "/a", {}}) == 0);
}

void of_two_equally_specific_routes_the_earlier_wins() {
  Site site = minimal_site();
  site.routes = {route("a", Route::Path::Prefix, "/x"), route("b", Route::Path::Prefix, "/x")};
  site.routes[0].conditions = {{"A", Condition::Test::Present, ""}};
  site.routes[1].conditions = {{"B", Condition::Test::Present, ""}};
  HeaderField both[] = {{"a", "1"}, {"b", "1"}}, second[] = {{"B", "1"}};
  Router router(std::make_shared<const Site>(site));
  assert(router.find({"main", "GET", "", "/x", both}) == 0 &&
         router.find({"main", "GET", "", "/x", second}) == 1);
}

}  // namespace

int main() {
  setenv("RC_PARAMS", "seed=15 max_success=1000", 1);  // reproducible
  a_million_requests_take_the_routes_of_the_reference_matcher();
  explain_reports_the_route_that_the_router_finds();
  requests_are_distributed_over_pools_by_their_shares();
  a_rewrite_replaces_the_prefix_and_keeps_rest_and_query();
  a_path_with_dot_segments_is_rejected();
  a_path_deeper_than_any_route_is_matched_by_its_prefix();
  of_two_equally_specific_routes_the_earlier_wins();
  std::puts("routing: all tests passed");
}
