// Serves a site: several listeners and pools, from one version of the site at a time.
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
  // Reads the site again. Returns nothing if it can't be used and sets `why` to the reason.
  using Read = std::function<std::optional<site::Site>(std::string& why)>;

  // kill_timeout: seconds from SIGTERM to SIGKILL.
  Server(Loop& loop, site::Site site, Read read, std::uint64_t seed, PolicyFactory make,
         double kill_timeout = kKillTimeoutSeconds);
  void start() override;

 private:
  // A pool in use. Its forwarder has the settings of one version: if they change, a new pool replaces this
  // one, and the pending requests end in the old forwarder.
  struct RunningPool : DiscoveryWatch::Owner {
    void on_endpoint_list(const EndpointList& list) override;
    EndpointList known() const;  // the whole list, from all updates of discovery
    site::Pool pool;
    std::unique_ptr<RequestForwarder> forwarder;
    EndpointStartTimes starts;
    std::unique_ptr<DiscoveryWatch> watch;
    std::map<std::string, std::pair<ListEntry, std::string>> listed;  // by discovery: entry and address
    std::map<std::string, double> since;  // when each static endpoint was added; 0: together with the pool
  };
  struct OpenListener {
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
           std::ranges::all_of(listeners_, [](const OpenListener& one) { return one.listener->is_closed(); });
  }
  void on_stopped() override;
  void on_request(DownstreamConnection& downstream, HttpMessage request) override;

  void forward(DownstreamConnection& downstream, HttpMessage request, const routing::Decision& decision);
  void open_listeners(const site::Site& site);  // throws; nothing has changed then
  void close_listeners(const site::Site& site);
  // Starts new pools, keeps unchanged ones, and retires the others.
  void set_pools(const site::Site& site);
  void set_endpoints(RunningPool& running, const site::Pool& pool, bool was_running);
  void inherit_learned_state(const std::vector<RunningPool*>& added);
  // Lets the pending requests of a replaced pool end; its idle connections pass to the pools that replace it.
  void retire(std::unique_ptr<RunningPool> running, const std::vector<RunningPool*>& added);
  void delete_finished_pools();
  std::string_view listener_name(int id) const;
  std::string new_request_id();

  Read read_;
  PolicyFactory make_;
  pcg64 random_;
  routing::Router router_;
  std::string version_;
  const double kill_timeout_;
  std::optional<double> drain_deadline_;  // set once the process drains
  ConnectionLimiter limiter_;
  DownstreamConnections downstream_;
  std::vector<OpenListener> listeners_;
  int last_listener_id_ = 0;
  int open_tries_ = 0;  // consecutive failures to open a listener for lack of a local resource
  std::map<std::string, std::unique_ptr<RunningPool>> pools_;
  std::map<std::string, std::unique_ptr<RunningPool>> previous_pools_;  // only used within set_pools()
  std::vector<RunningPool*> pools_by_index_;                            // in the router's order
  std::vector<std::unique_ptr<RunningPool>> retired_;  // replaced pools with pending requests
  std::vector<routing::HeaderField> fields_;  // of the request being routed; reused to avoid allocations
  LifetimeToken alive_;
};

// Runs `puffinvane serve`. level: of the log. kill_timeout: seconds from SIGTERM to SIGKILL. Returns the exit
// code, which is 1 if the site has faults.
int run_site(const std::string& file, const std::string& level, bool json_log, double kill_timeout);

}  // namespace puffinvane::serving
