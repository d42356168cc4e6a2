// All stand-ins of one run and the real sidecars between them, and the scenario's troubles done to them.
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

// How a program is told of its deployment: the platform's settings as JSON.
std::string settings_json(const Scenario& scenario, int tier, int me, int sidecars);
// The same as a site. Its versions differ in pools, routes, values and listeners; some can't be used.
std::string site_text(const Scenario& scenario, int version, const std::string& listen,
                      const std::string& second, const std::string& discovery, std::size_t instances);

class Fleet final : public Process::Owner {
 public:
  Fleet(World& world, std::string command, std::string folder, std::uint64_t seed);
  ~Fleet() override;

  void start();  // sidecars; until 'ready' nothing comes
  bool ready() const;
  void begin(Clients& clients);  // the scenario's troubles, from now on
  void look();
  const std::vector<std::unique_ptr<Process>>& sidecars() const { return processes_; }
  const std::vector<std::unique_ptr<Endpoint>>& endpoints(int tier) const {
    return tiers_[std::size_t(tier)].endpoints;
  }
  std::vector<Address> front_addresses() const;

 private:
  struct Tier {
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<int> sidecars;  // that send to it
    std::vector<std::unique_ptr<TagMemory>> memories;
  };
  struct Below {  // an endpoint's own sidecar
    int sidecar = -1;
    std::unique_ptr<Caller> caller;
  };
  using Act = void (Fleet::*)(const Fault& fault, bool begins);
  struct Row {
    Trouble kind;
    Act act;
  };
  static const Row kRows[];

  void schedule(const Fault& fault, double at);
  void on_condition(const Fault& fault, bool begins);
  void crash(const Fault& fault, bool begins);
  void drop(const Fault& fault, bool begins);
  void nothing(const Fault&, bool) {}
  void drain(const Fault& fault, bool begins);
  void release(const Fault& fault, bool begins);
  void list(const Fault& fault, bool begins);
  void term(const Fault& fault, bool begins);
  void kill(const Fault& fault, bool begins);
  void stop(const Fault& fault, bool begins);
  void hup(const Fault& fault, bool begins);
  void reload_site(const Fault& fault, bool begins);
  void upgrade(const Fault& fault, bool begins);
  void empty(const Fault& fault, bool begins);
  void exclude(const Fault& fault, bool begins);

  void on_ready(Process& process) override;
  void on_left(Process& process) override;

  int tier_of(const Fault& fault) const;
  std::vector<std::size_t> chosen(const Fault& fault) const;
  std::vector<int> chosen_sidecars(const Fault& fault) const;
  void take_down(int tier, std::size_t which);
  void bring_back(int tier, std::size_t which, bool replaced);
  void listed(int tier, std::size_t which, Event::State state);
  Listed entry(int tier, std::size_t which, int sidecar, Event::State state) const;
  void start(Process& process);
  SidecarConfig config_for(int sidecar);
  Address new_address();

  World& world_;
  const std::string command_, folder_;
  const std::uint64_t seed_;
  std::vector<Tier> tiers_;
  std::vector<std::unique_ptr<Process>> processes_;  // by sidecar
  std::vector<std::unique_ptr<Agent>> agents_;       // by sidecar
  std::vector<Address> listens_, second_listens_;
  std::vector<int> me_, of_tier_;  // by sidecar
  std::map<std::pair<int, std::size_t>, Below> below_;
  std::map<std::pair<int, std::size_t>, std::int64_t> since_ms_;
  std::map<std::pair<int, std::size_t>, Event::State> states_;
  std::vector<bool> back_after_leaving_;
  std::vector<int> versions_;  // of the site that each sidecar serves
  Clients* clients_ = nullptr;
  std::string host_;
  int next_port_ = 10000, next_endpoint_ = 0;
};

}  // namespace load_test
