// Benchmarks route lookup with 10 to 10,000 routes that differ by path, by host, or only by header
// conditions. The last is the worst case: routes with the same host and path are searched one by one.
#include <benchmark/benchmark.h>

#include <random>

#include "src/routing/routing.h"

using namespace puffinvane;
using namespace puffinvane::routing;

namespace {

site::Route route_to(int i) {
  site::Route route;
  route.name = "r" + std::to_string(i);
  route.request_class = "p";
  route.targets = {{"one", 1}};
  return route;
}

enum class Shape { Paths, Hosts, Headers };

std::shared_ptr<const site::Site> site_of(Shape shape, int routes) {
  auto site = std::make_shared<site::Site>();
  site->request_classes = {{"p", Idempotency::Safe}};
  site->pools = {{"one", {{"a", "127.0.0.1:1"}}}};
  for (int i = 0; i < routes; ++i) {
    site::Route route = route_to(i);
    route.match = site::Route::Path::Prefix;
    route.path = shape == Shape::Paths
                     ? "/service-" + std::to_string(i / 8) + "/part-" + std::to_string(i % 8)
                     : "/api";
    if (shape == Shape::Hosts) route.hosts = {"host-" + std::to_string(i) + ".example.org"};
    if (shape == Shape::Headers)
      route.conditions = {{"X-Tenant", site::Condition::Test::Is, std::to_string(i)}};
    site->routes.push_back(std::move(route));
  }
  return site;
}

void find(benchmark::State& state, Shape shape) {
  int routes = int(state.range(0));
  Router router(site_of(shape, routes));
  std::mt19937 random(1);
  std::vector<std::string> targets, hosts, tenants;
  for (int k = 0; k < 256; ++k) {
    int i = int(random() % unsigned(routes));
    targets.push_back(shape == Shape::Paths ? "/service-" + std::to_string(i / 8) + "/part-" +
                                                  std::to_string(i % 8) + "/item/7?q=1"
                                            : "/api/item/7?q=1");
    hosts.push_back("host-" + std::to_string(i) + ".example.org");
    tenants.push_back(std::to_string(i));
  }
  std::size_t index = 0;
  for (auto _ : state) {
    index = (index + 1) % targets.size();
    HeaderField fields[] = {{"Accept", "*/*"}, {"X-Tenant", tenants[index]}};
    int found = router.find({"main", "GET", hosts[index], targets[index], fields});
    if (found < 0) state.SkipWithError("no route");
    benchmark::DoNotOptimize(found);
  }
}

BENCHMARK_CAPTURE(find, paths, Shape::Paths)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK_CAPTURE(find, hosts, Shape::Hosts)->RangeMultiplier(10)->Range(10, 10000);
BENCHMARK_CAPTURE(find, headers, Shape::Headers)->RangeMultiplier(10)->Range(10, 10000);

void compile(benchmark::State& state) {
  auto site = site_of(Shape::Paths, int(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(Router(site).find({"main", "GET", "", "/", {}}));
}
BENCHMARK(compile)->Arg(10000)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
