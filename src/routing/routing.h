// Finds the route of a request, and what the route leads to. No I/O and no clock; random draws are passed in.
//
// Of the routes that match a request the first in this order wins:
//   1. host: an exact name, then the `*.` wildcard with the longest suffix, then any host;
//   2. path: exact, then the longest prefix, then any path;
//   3. method: listed, then any;
//   4. header conditions: more before fewer;
//   5. position in the file: earlier before later.
// A prefix matches whole path segments: /status matches /status, /status/7 and /status?x, but not /statuses.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/site/site.h"

namespace puffinvane::routing {

struct HeaderField {
  std::string_view name, value;
};

struct RequestHead {
  std::string_view listener, method, host, target;  // host: with or without port; target: path and query
  std::span<const HeaderField> fields;              // all headers
};

struct Decision {
  enum class Kind { Forward, FixedResponse, NoRoute, BadTarget };
  Kind kind = Kind::NoRoute;
  int route = -1, pool = -1, request_class = -1;  // indexes into the site's lists
  std::optional<std::string> target;              // the rewritten target, if the route rewrites it
};

// Whether a segment of the path is `.` or `..`, percent-encoded or not. Such a path is rejected: it would be
// routed by one path, and resolved by the endpoint to another.
bool has_dot_segments(std::string_view path);

class Router {
 public:
  // The site has to be validated already: every pool and request class that a route names must exist.
  explicit Router(std::shared_ptr<const site::Site> site);
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  ~Router();

  // draw: uniformly distributed in [0, 1); selects one of the route's pools by their shares.
  Decision decide(const RequestHead& request, double draw) const;
  int find(const RequestHead& request) const;  // the winning route, or -1
  const site::Site& site() const { return *site_; }

 private:
  class Table;
  std::shared_ptr<const site::Site> site_;
  std::unique_ptr<const Table> table_;
};

// Why a route wins or loses a request, for display to operators.
struct RouteExplanation {
  int route = -1;
  std::string why_not;  // the condition that fails or the route that takes precedence; empty: it wins
  bool matches = false;
};
// Explains every route of the site, in the order of the site.
std::vector<RouteExplanation> explain(const site::Site& site, const RequestHead& request);

}  // namespace puffinvane::routing
