// The stand-ins and the real sidecars of one run, and the faults that the scenario applies to them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tools/load_test/world/clients.h"
#include "tools/load_test/world/discovery.h"
#include "tools/load_test/world/endpoint.h"
#include "tools/load_test/world/sidecar_process.h"

namespace load_test {

// The platform's settings for a sidecar, as JSON.
std::string settings_json(const Scenario& scenario, int tier, int instance_index, int sidecars);
// The same settings as a site. Versions differ in pools, routes, values and listeners, and some versions are
// invalid.
std::string site_text(const Scenario& scenario, int version, const std::string& listen,
                      const std::string& second_listen, const std::string& discovery, std::size_t instances);

class Fleet final : public SidecarProcess::Owner {
 public:
  Fleet(RunContext& context, std::string command, std::string folder, std::uint64_t seed);
  ~Fleet() override;

  void start();  // starts endpoints and sidecars; load has to wait for ready()
  bool ready() const;
  void start_faults(Clients& clients);  // schedules the scenario's faults from now on
  void poll();
  const std::vector<std::unique_ptr<SidecarProcess>>& sidecars() const { return processes_; }
  const std::vector<std::unique_ptr<Endpoint>>& endpoints(int tier) const {
    return tiers_[std::size_t(tier)].endpoints;
  }
  std::vector<Address> front_addresses() const;

 private:
  struct Tier {
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<int> sidecars;  // that send requests to this tier
    std::vector<std::unique_ptr<IdempotencyMemory>> idempotency_memories;
  };
  // The sidecar through which an endpoint calls the next tier.
  struct NextTierSidecar {
    int sidecar = -1;
    std::unique_ptr<SidecarClient> client;
  };
  using Handler = void (Fleet::*)(const Fault& fault, bool starts);
  struct FaultHandler {
    FaultKind kind;
    Handler handler;
  };
  static const FaultHandler kFaultHandlers[];

  void schedule(const Fault& fault, double at);
  void set_endpoint_fault(const Fault& fault, bool starts);
  void crash_endpoints(const Fault& fault, bool starts);
  void drop_endpoint_connections(const Fault& fault, bool starts);
  void no_action(const Fault&, bool) {}
  void drain_endpoints(const Fault& fault, bool starts);
  void replace_endpoints(const Fault& fault, bool starts);
  void set_discovery_fault(const Fault& fault, bool starts);
  void terminate_sidecars(const Fault& fault, bool starts);
  void kill_sidecars(const Fault& fault, bool starts);
  void pause_sidecars(const Fault& fault, bool starts);
  void move_discovery(const Fault& fault, bool starts);
  void reload_sites(const Fault& fault, bool starts);
  void upgrade_sidecars(const Fault& fault, bool starts);
  void evacuate_sidecars(const Fault& fault, bool starts);
  void exclude_endpoints(const Fault& fault, bool starts);

  void on_ready(SidecarProcess& process) override;
  void on_exited(SidecarProcess& process) override;

  int target_tier(const Fault& fault) const;
  std::vector<std::size_t> target_endpoints(const Fault& fault) const;
  std::vector<int> target_sidecars(const Fault& fault) const;
  void stop_endpoint(int tier, std::size_t index);
  void restart_endpoint(int tier, std::size_t index, bool new_identity);
  void announce(int tier, std::size_t index, Event::State state);
  ListedEndpoint list_entry(int tier, std::size_t index, int sidecar, Event::State state) const;
  void start(SidecarProcess& process);
  SidecarConfig config_for(int sidecar);
  Address new_address();

  RunContext& context_;
  const std::string command_, folder_;
  const std::uint64_t seed_;
  std::vector<Tier> tiers_;
  std::vector<std::unique_ptr<SidecarProcess>> processes_;         // by sidecar
  std::vector<std::unique_ptr<DiscoveryAgent>> discovery_agents_;  // by sidecar
  std::vector<Address> listen_addresses_, second_listen_addresses_;
  std::vector<int> instance_indexes_, sidecar_tiers_;  // by sidecar
  std::map<std::pair<int, std::size_t>, NextTierSidecar> next_tier_sidecars_;
  std::map<std::pair<int, std::size_t>, std::int64_t> since_ms_;
  std::map<std::pair<int, std::size_t>, Event::State> states_;
  std::vector<bool> restart_after_exit_;
  // Version of the site that each sidecar serves.
  std::vector<int> site_versions_;
  Clients* clients_ = nullptr;
  std::string host_;
  int next_port_ = 10000, next_endpoint_ = 0;
};

}  // namespace load_test
