// What an installation serves, whoever described it: the language, an importer, a test. Plain values; times
// in seconds, rates a second, shares from 0 to 1, sizes in bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "puffinvane/policy.h"

namespace puffinvane::site {

struct Listener {
  std::string name, address;  // "127.0.0.1:5001", "[::1]:5001"
};

struct Endpoint {
  std::string name, address, zone = {};
  std::int64_t cell = 0;
  double size = 1;  // against the others'
};

struct Pool {
  std::string name;
  std::vector<Endpoint> endpoints = {};  // a list that holds; or
  std::string discovery = {};            // the address of who lists them
  std::string zone = {};                 // of this program, for pools over several
  double connect_timeout = 0.25, idle_time = 10;
  int max_attempts = 3;
  bool hedging = true, cancel = true;
  double retry_after = 1.5;  // longest advice; 0: none is given
  double slow_start_share = 0.1, warm_after = 30;
};

struct Tenant {
  std::string name;
  std::optional<double> share, quota;  // of limits.requests, or requests a second
};

struct Condition {
  enum class Test { Is, IsNot, Starts, Present, Absent };
  std::string header;
  Test test = Test::Present;
  std::string value;
};

struct Target {
  std::string pool;
  double share = 1;
};

struct Answer {
  int status = 0;  // 0: none
  std::string text, location;
};

constexpr std::size_t kMaxPathSegments = 64;  // of a route's path, between its slashes

struct Route {
  enum class Path { Any, Exact, Prefix };
  std::string name;
  std::vector<std::string> listeners;  // none: all
  std::vector<std::string> hosts;      // "api.example.org", "*.example.org"; none: any
  Path match = Path::Any;
  std::string path;
  std::vector<std::string> methods;  // none: any
  std::vector<Condition> conditions;
  std::string rewrite;        // stands in the place of the path; empty: nothing is rewritten
  std::string request_class;  // whose kind, times and credit its requests have
  std::vector<Target> targets;
  Answer answer;
};

struct Limits {
  int descriptors = 1024;
  std::size_t memory = std::size_t{192} << 20, body = std::size_t{64} << 10;
  double requests = 0;  // a second; what the customers' shares are of
  int instances = 1;    // of this program that serve the site side by side
};

struct Site {
  std::string name = "site";
  Limits limits;
  std::vector<Listener> listeners;
  std::vector<Pool> pools;
  std::vector<RequestClass> request_classes;
  std::vector<Tenant> tenants;
  std::vector<Route> routes;
};

// One thing that is wrong, and of what: "pool status", "pool status/endpoint one/address", "route a/to x".
struct Finding {
  std::string subject, text, fix;  // fix: empty unless it is sure
  bool is_omission = false;  // that nothing else does something, as use it: worth little beside other faults
};
std::vector<Finding> check(const Site& site);

// Everything that a site says, by subject, in one order: two sites that mean the same have the same facts,
// however they were written down. What has no order has none here either.
struct Property {
  std::string subject, value;
  friend bool operator==(const Property&, const Property&) = default;
};
std::vector<Property> properties(const Site& site);
std::string version(const Site& site);  // sixteen hexadecimal digits, of the facts

struct Difference {
  enum class Kind { Added, Removed, Changed };
  Kind kind = Kind::Changed;
  std::string subject, before, after;
};
std::vector<Difference> differences(const Site& before, const Site& after);

// What the decision module of one pool is told.
Deployment deployment_of(const Site& site, const Pool& pool);
bool share_endpoints(const Pool& one, const Pool& other);
// An endpoint's name within its pool: one that moved to another address is another endpoint.
std::string identity_of(const Endpoint& endpoint);

// The name among these that was most likely meant, or empty.
std::string closest_name(const std::string& written, const std::vector<std::string>& known);

}  // namespace puffinvane::site
