// Tests of the site model without the site language: checks, versions and differences, and the policy
// configuration of a pool.
#undef NDEBUG
#include "src/config/site/site.h"

#include <cassert>
#include <cstdio>

using namespace puffinvane;
using namespace puffinvane::site;

namespace {

Route route(std::string name, std::string path, std::string pool) {
  Route result;
  result.name = std::move(name);
  result.match = Route::Path::Prefix;
  result.path = std::move(path);
  result.request_class = "status";
  result.targets = {{std::move(pool), 1}};
  return result;
}

Site sample() {
  Site site;
  site.listeners = {{"main", "127.0.0.1:1"}, {"second", "127.0.0.1:2"}};
  site.request_classes = {{"status", Idempotency::Safe, IdempotencyScope::Cell, 0, 0.5, 1, 2},
                          {"consent", Idempotency::Unsafe, IdempotencyScope::Cell, 0, 0.5, 1, 2}};
  site.pools = {{"one", {{"a", "127.0.0.1:3"}, {"b", "127.0.0.1:4"}}}, {"two", {{"c", "127.0.0.1:5"}}}};
  site.tenants = {{"x", 0.25, {}}, {"y", {}, 10}};
  site.limits.requests = 100;
  site.routes = {route("r", "/a", "one"), route("s", "/b", "two")};
  return site;
}

bool has_finding(const Site& site, const std::string& subject, const std::string& text) {
  for (const Finding& finding : check(site)) {
    if (finding.subject == subject && finding.text.find(text) != std::string::npos) return true;
  }
  return false;
}

void a_valid_site_has_no_findings() { assert(check(sample()).empty()); }

void a_site_is_checked_without_the_site_language() {
  Site site = sample();
  site.routes[0].targets[0].pool = "onne";
  assert(has_finding(site, "route r/to onne", "no pool `onne`"));
  site = sample();
  site.tenants[0].share = 0.6;
  site.tenants[1] = {"y", 0.5, {}};
  assert(has_finding(site, "customer y/share", "110%, over 100%"));
  site = sample();
  site.request_classes[0].client_timeout_s = 0.4;
  assert(has_finding(site, "prefix status/client-timeout", "under the target latency"));
  site = sample();
  site.pools[1].endpoints[0].address = "127.0.0.1:5";
  site.pools[1].discovery = "127.0.0.1:9";
  assert(has_finding(site, "pool two/discovery", "one of them has to go"));
}

void order_without_meaning_makes_no_difference() {
  Site one = sample(), other = sample();
  std::swap(other.listeners[0], other.listeners[1]);
  std::swap(other.pools[0], other.pools[1]);
  std::swap(other.pools[1].endpoints[0], other.pools[1].endpoints[1]);
  std::swap(other.request_classes[0], other.request_classes[1]);
  std::swap(other.tenants[0], other.tenants[1]);
  std::swap(other.routes[0], other.routes[1]);
  assert(differences(one, other).empty() && version(one) == version(other));
  for (const Pool& pool : one.pools) {
    for (const Pool& same : other.pools) {
      if (pool.name == same.name) assert(deployment_of(one, pool) == deployment_of(other, same));
    }
  }
}

void the_order_of_overlapping_routes_of_equal_precedence_is_a_difference() {
  Site one = sample();
  one.routes[1].path = "/a";
  one.routes[0].conditions = {{"X", Condition::Test::Present, ""}};
  one.routes[1].conditions = {{"Y", Condition::Test::Present, ""}};
  Site other = one;
  std::swap(other.routes[0], other.routes[1]);
  assert(!differences(one, other).empty() && version(one) != version(other));
  // With different hosts no request matches both routes, so their order is no difference.
  one.routes[0].hosts = {"a.org"};
  one.routes[1].hosts = {"b.org"};
  other = one;
  std::swap(other.routes[0], other.routes[1]);
  assert(differences(one, other).empty());
}

void each_changed_value_is_one_difference() {
  Site before = sample(), after = sample();
  after.pools[0].endpoints[1].address = "127.0.0.1:6";
  after.request_classes[1].client_timeout_s = 1.5;
  after.routes.push_back(route("t", "/c", "two"));
  after.routes[2].conditions = {{"X", Condition::Test::Is, "1"}};
  after.pools[1].hedging = false;
  std::vector<std::string> actual;
  for (const Difference& one : differences(before, after)) {
    constexpr const char* kSigns[] = {"+", "-", "~"};
    actual.push_back(kSigns[int(one.kind)] + one.subject + " " + one.before + ">" + one.after);
  }
  const std::vector<std::string> expected = {"~pool one/endpoint b/address 127.0.0.1:4>127.0.0.1:6",
                                             "~pool two/copies on>off",
                                             "~prefix consent/client-timeout 2s>1.5s",
                                             "+route t >",
                                             "+route t/as >status",
                                             "+route t/header >X is \"1\"",
                                             "+route t/path >/c",
                                             "+route t/to two >100%"};
  assert(actual == expected);
  assert(version(before) != version(after));
}

void properties_with_equal_concatenations_are_told_apart() {
  Site one = sample(), other = sample();
  one.routes[0].conditions = {{"X", Condition::Test::Is, "a"}, {"X", Condition::Test::IsNot, "b"}};
  other.routes[0].conditions = {{"X", Condition::Test::Is, "a\" is-not \"b"}};
  assert(version(one) != version(other));
}

void a_request_class_of_another_pool_changes_nothing() {
  Site before = sample(), after = sample();
  after.routes[1].request_class = "consent";
  after.request_classes[1].client_timeout_s = 3;
  assert(deployment_of(before, before.pools[0]) == deployment_of(after, after.pools[0]));
  assert(!(deployment_of(before, before.pools[1]) == deployment_of(after, after.pools[1])));
  Deployment deployment = deployment_of(after, after.pools[0]);
  assert(deployment.request_classes.size() == 1 && deployment.tenants.size() == 2);
  assert(deployment.tenants[0].quota_per_s == 25 && deployment.tenants[1].quota_per_s == 10);
}

void an_endpoint_with_another_address_is_another_one() {
  assert(identity_of({"a", "127.0.0.1:1"}) != identity_of({"a", "127.0.0.1:2"}));
}

void the_closest_name_is_within_the_accepted_distance() {
  const std::vector<std::string> names{"status", "consent", "upload"};
  assert(closest_name("consnet", names) == "consent" && closest_name("statsu", names) == "status");
  assert(closest_name("payment", names).empty() && closest_name("consent", {"consent"}).empty());
  assert(closest_name("a", {"b"}) == "b");  // even for one letter a distance of 1 is accepted
  assert(closest_name(std::string(1 << 20, 'a'), names).empty());
}

}  // namespace

int main() {
  a_valid_site_has_no_findings();
  a_site_is_checked_without_the_site_language();
  order_without_meaning_makes_no_difference();
  the_order_of_overlapping_routes_of_equal_precedence_is_a_difference();
  each_changed_value_is_one_difference();
  properties_with_equal_concatenations_are_told_apart();
  a_request_class_of_another_pool_changes_nothing();
  an_endpoint_with_another_address_is_another_one();
  the_closest_name_is_within_the_accepted_distance();
  std::puts("site: all tests passed");
}
