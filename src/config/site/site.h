// The model of a site: everything that one installation serves. It doesn't depend on the site language;
// importers and tests construct it too. Times are in seconds, rates per second, shares from 0 to 1, sizes in
// bytes.
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
  double size = 1;  // capacity relative to the other endpoints
};

struct Pool {
  std::string name;
  // Either a fixed list of endpoints or the address of a discovery service.
  std::vector<Endpoint> endpoints = {};
  std::string discovery = {};
  std::string zone = {};  // of this program, for pools with endpoints in several zones
  double connect_timeout = 0.25, idle_time = 10;
  int max_attempts = 3;
  bool hedging = true;       // send hedged requests
  bool cancel = true;        // cancel attempts whose result is no longer needed
  double retry_after = 1.5;  // the longest Retry-After; 0: none is sent
  double slow_start_share = 0.1, warm_after = 30;
};

struct Tenant {
  std::string name;
  std::optional<double> share;  // of limits.requests
  std::optional<double> quota;  // requests per second
};

// A condition on a request header.
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

// A fixed response, sent instead of forwarding the request.
struct Answer {
  int status = 0;  // 0: no fixed response
  std::string text, location;
};

constexpr std::size_t kMaxPathSegments = 64;  // of the path of a route

struct Route {
  enum class Path { Any, Exact, Prefix };
  std::string name;
  std::vector<std::string> listeners;  // empty: all
  std::vector<std::string> hosts;      // "api.example.org", "*.example.org"; empty: any
  Path match = Path::Any;
  std::string path;
  std::vector<std::string> methods;  // empty: any
  std::vector<Condition> conditions;
  std::string rewrite;        // replaces the matched path; empty: no rewriting
  std::string request_class;  // of the requests of this route
  std::vector<Target> targets;
  Answer answer;
};

struct Limits {
  int descriptors = 1024;
  std::size_t memory = std::size_t{192} << 20, body = std::size_t{64} << 10;
  double requests = 0;  // per second; the shares of tenants are relative to it
  int instances = 1;    // processes that serve this site in parallel
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

// A fault in a site. The subject names the faulty part: "pool status", "pool status/endpoint one/address",
// "route a/to x".
struct Finding {
  std::string subject, text;
  std::string fix;  // empty unless there is one likely fix
  // Something is missing or unused in the site as a whole. Such a finding is usually a consequence of other
  // faults.
  bool is_omission = false;
};
std::vector<Finding> check(const Site& site);

// A site as a sorted list of properties. Sites with the same meaning have the same properties: where order
// has no meaning, the order of the model has no effect.
struct Property {
  std::string subject, value;
  friend bool operator==(const Property&, const Property&) = default;
};
std::vector<Property> properties(const Site& site);
std::string version(const Site& site);  // a hash of the properties, 16 hexadecimal digits

struct Difference {
  enum class Kind { Added, Removed, Changed };
  Kind kind = Kind::Changed;
  std::string subject, before, after;
};
std::vector<Difference> differences(const Site& before, const Site& after);

// The configuration of the policy of one pool.
Deployment deployment_of(const Site& site, const Pool& pool);
// Whether requests to both pools can reach the same endpoint.
bool share_endpoints(const Pool& one, const Pool& other);
// Identifies an endpoint within its pool. With another address it is another endpoint.
std::string identity_of(const Endpoint& endpoint);

// The known name with the smallest edit distance to the misspelt one, or empty if none is close.
std::string closest_name(const std::string& misspelt, const std::vector<std::string>& known);

}  // namespace puffinvane::site
