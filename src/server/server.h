// A site from start to exit: several listeners, many pools, one version of it all at a time.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "src/discovery/discovery_watch.h"
#include "src/proxy/downstream_connections.h"
#include "src/proxy/request_forwarder.h"
#include "src/routing/routing.h"
#include "src/server/lifecycle.h"

namespace puffinvane::serving {

class Server final : public Lifecycle, DownstreamConnections::RequestHandler {
 public:
  // Reads the site anew; nothing if it can't be used, with `why` in a few words.
  using Read = std::function<std::optional<site::Site>(std::string& why)>;

  // killed_after: seconds from SIGTERM until whoever sent it kills.
  Server(Loop& loop, site::Site site, Read read, std::uint64_t seed, PolicyFactory make,
         double killed_after = kKillTimeoutSeconds);
  void start() override;

 private:
  // A pool at work. Its forwarder goes with its deployment: one that changes is replaced, its pending
  // requests end under the old one.
  struct Running : DiscoveryWatch::Owner {
    void on_endpoint_list(const EndpointList& list) override;
    EndpointList known() const;  // what discovery has said, all in all
    site::Pool pool;
    std::unique_ptr<RequestForwarder> forwarder;
    EndpointStarts starts;
    std::unique_ptr<DiscoveryWatch> watch;
    std::map<std::string, std::pair<ListEntry, std::string>> listed;  // by discovery, with addresses
    std::map<std::string, double> since;  // when a static endpoint joined; 0: with the pool itself
  };
  struct Opened {
    site::Listener configured;
    std::unique_ptr<Listener> listener;
  };

  void on_serving() override;
  void reload_settings() override;
  DrainLimits drain_limits() const override;
  void on_draining(double deadline_s) override;
  void stop_listening() override;
  void end_connections_after_response() override { downstream_.close_after_responses(true); }
  void close_idle_downstream() override { downstream_.close_idle(); }
  bool is_drained() const override {
    return downstream_.empty() &&
           std::ranges::all_of(listeners_, [](const Opened& one) { return one.listener->shut(); });
  }
  void on_stopped() override;
  void on_request(DownstreamConnection& downstream, HttpMessage request) override;

  void take(DownstreamConnection& downstream, HttpMessage request, const routing::Decision& decision);
  void open_listeners(const site::Site& site);  // throws, and has changed nothing
  void close_listeners(const site::Site& site);
  void set_pools(const site::Site& site);
  void list(Running& running, const site::Pool& pool, bool joins);
  void inherit(const std::vector<Running*>& fresh);
  void retire(std::unique_ptr<Running> running, const std::vector<Running*>& fresh);
  void look_at_retired();
  std::string_view listener_of(int listener) const;
  std::string new_request_id();

  Read read_;
  PolicyFactory make_;
  pcg64 chance_;
  routing::Router router_;
  std::string version_;
  const double killed_after_;
  std::optional<double> gone_;
  ConnectionLimiter limiter_;
  DownstreamConnections downstream_;
  std::vector<Opened> listeners_;
  int last_listener_ = 0;
  int tries_ = 0;  // in a row that a listener could not be opened for want of something on this machine
  std::map<std::string, std::unique_ptr<Running>> pools_, before_;  // before_: only while a version changes
  std::vector<Running*> by_place_;                                  // as the router numbers them
  std::vector<std::unique_ptr<Running>> retired_;
  std::vector<routing::HeaderField> fields_;
  LifetimeToken alive_;
};

// `puffinvane serve`. level: the log's; killed_after: seconds from SIGTERM until whoever sent it kills. What
// the program exits with: 1 where the site has faults.
int run_site(const std::string& file, const std::string& level, bool json_log, double killed_after);

}  // namespace puffinvane::serving
