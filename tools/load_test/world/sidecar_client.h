// One party's calls to one sidecar: a client's, or an endpoint's to the sidecar of its own. Connections are
// kept and used again; one request at a time on each.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "tools/load_test/loop/http.h"
#include "tools/load_test/world/run_context.h"

namespace load_test {

struct Ask {
  std::string request, request_class, target, tenant, key;
  bool safe = true, tells_time = true, repeat = false;
  double time_left = 1;
};

class Caller {
 public:
  enum class End { Answered, Broken, Unreachable, TimedOut };
  using Done = std::function<void(End, const Message&)>;

  Caller(World& world, Address to, int sidecar);
  ~Caller();
  void call(const Ask& ask, Done done);
  void withdraw(const std::string& request);  // its caller goes; 'done' is not called
  void vanish();                              // all connections are reset, nothing is told to anybody
  int sidecar() const { return sidecar_; }
  std::size_t connections() const { return links_.size(); }

 private:
  class Link;
  void let_go(Link& link);
  World& world_;
  const Address to_;
  const int sidecar_;
  std::unordered_map<const Link*, std::unique_ptr<Link>> links_;
};

}  // namespace load_test
