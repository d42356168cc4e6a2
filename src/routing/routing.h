// Which route a request takes, and where that leads. No I/O, no clock; chance is handed in.
//
// Of the routes that match in every respect the first in this order wins:
//   1. host: named whole, then `*.` with the longest rest, then any;
//   2. path: exact, then the longest prefix, then any;
//   3. method: named, then any;
//   4. header conditions: more before fewer;
//   5. place in the file: earlier before later.
// A prefix ends where a part of the path ends: /status takes /status, /status/7 and /status?x, not /statuses.
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
  std::string_view listener, method, host, target;  // host: with its port or without; target: path and query
  std::span<const HeaderField> fields;
};

struct Decision {
  enum class Kind { Forward, FixedResponse, NoRoute, BadTarget };
  Kind kind = Kind::NoRoute;
  int route = -1, pool = -1, request_class = -1;  // by their places in the site
  std::optional<std::string> target;              // rewritten
};

// A path that climbs (`..`, however it is written) would be routed by one name and read as another.
bool has_dot_segments(std::string_view path);

class Router {
 public:
  // The site has to be checked; what the routes lead to is looked up once, here.
  explicit Router(std::shared_ptr<const site::Site> site);
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  ~Router();

  // draw: from 0 up to 1, deals requests out by the shares of a route's pools.
  Decision decide(const RequestHead& request, double draw) const;
  int find(const RequestHead& request) const;  // the winning route, or -1
  const site::Site& site() const { return *site_; }

 private:
  class Table;
  std::shared_ptr<const site::Site> site_;
  std::unique_ptr<const Table> table_;
};

// For people: every route against one request, one after another.
struct RouteExplanation {
  int route = -1;
  std::string why_not;  // why it doesn't match or who goes before it; empty: it wins
  bool matches = false;
};
std::vector<RouteExplanation> explain(const site::Site& site, const RequestHead& request);

}  // namespace puffinvane::routing
