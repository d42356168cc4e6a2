#include "tools/load_test/world/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace load_test {

namespace {

// Seconds until the clients' load balancer notices that a sidecar leaves or has died.
constexpr double kFrontDelay = 0.3;
// Seconds after discovery has moved until the connections to its old address are closed.
constexpr double kOldDiscoveryLifetime = 1.5;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string settings_json(const Scenario& scenario, int tier, int instance_index, int sidecars) {
  nlohmann::json request_classes = nlohmann::json::array(), tenants = nlohmann::json::array(),
                 tiers = nlohmann::json::array();
  static constexpr const char* kKinds[] = {"repeatable", "by_key", "once"};
  for (const ClassPlan& request_class : scenario.request_classes) {
    request_classes.push_back({{"Name", request_class.name},
                               {"Idempotency", kKinds[int(request_class.idempotency)]},
                               {"Group", request_class.grouped ? "cell" : "all"},
                               {"MemorySpanS", request_class.idempotency_window},
                               {"TargetLatencyS", request_class.latency_objective},
                               {"ClientTimeoutS", request_class.client_timeout},
                               {"Credit", request_class.credit}});
  }
  for (const TenantPlan& tenant : scenario.tenants)
    tenants.push_back({{"Name", tenant.name}, {"QuotaPerS", tenant.share * scenario.clients.rate * 1.5}});
  for (const TierPlan& plan : scenario.tiers) tiers.push_back(plan.name);
  nlohmann::json settings = {
      {"Zone", "here"},
      {"Zones", {"here"}},
      {"Me", instance_index},
      {"PeersTotal", sidecars},
      {"Layer", tier},
      {"Tiers", tiers},
      {"PathPrefixes", request_classes},
      {"Customers", tenants},
      {"RoundS", 0.005},
      {"Limits",
       {{"MaxBackendFetches", scenario.max_attempts},
        {"ParallelTries", true},
        {"MayCancel", true},
        {"RetryAfter", true},
        {"MaxRetryAfterS", scenario.max_retry_after},
        {"ConnectTimeoutS", scenario.connect_timeout},
        {"ConnIdleS", scenario.idle_time}}},
      {"Rules", {{"ColdShare", scenario.slow_start_initial_share}, {"ColdS", scenario.slow_start_duration}}}};
  return settings.dump();
}

std::string site_text(const Scenario& scenario, int version, const std::string& listen,
                      const std::string& second_listen, const std::string& discovery, std::size_t instances) {
  enum Shape { OnePool, PoolPerClass, TwoPools, Invalid, FewerAttempts, SecondListener, kShapeCount };
  auto shape = Shape(version % kShapeCount);
  std::ostringstream out;
  auto ms = [](double seconds) { return std::to_string(std::lround(seconds * 1000)) + "ms"; };
  out << "site rehearsed\nlimits { descriptors " << std::max(64, scenario.descriptors) << "; memory "
      << scenario.memory_mb << "MiB; instances " << instances << " }\nlistener main { address " << listen
      << " }\n";
  if (shape == SecondListener) out << "listener second { address " << second_listen << " }\n";
  static constexpr const char* kKinds[] = {"read-like", "tagged", "mutating"};
  for (const ClassPlan& request_class : scenario.request_classes) {
    out << "prefix " << request_class.name << " {\n  kind " << kKinds[int(request_class.idempotency)] << "\n";
    if (request_class.idempotency == Idempotency::Keyed)
      out << "  group " << (request_class.grouped ? "cell" : "all") << "\n  memory "
          << ms(request_class.idempotency_window) << "\n";
    out << "  target-latency " << ms(request_class.latency_objective) << "\n  client-timeout "
        << ms(request_class.client_timeout) << "\n  credit " << request_class.credit << "\n}\n";
  }
  for (const TenantPlan& tenant : scenario.tenants)
    out << "customer " << tenant.name << " { quota "
        << std::max(0.001, tenant.share * scenario.clients.rate * 1.5) << "/s }\n";
  auto pool = [&](const std::string& name) {
    out << "pool " << name << " {\n  discovery " << discovery << "\n  zone here\n  max-fetches "
        << (shape == FewerAttempts ? std::max(1, scenario.max_attempts - 1) : scenario.max_attempts)
        << "\n  connect-timeout " << ms(scenario.connect_timeout) << "\n  idle-time "
        << ms(scenario.idle_time) << "\n  retry-after " << ms(scenario.max_retry_after) << "\n  cold-share "
        << scenario.slow_start_initial_share * 100 << "%\n  warm-after " << ms(scenario.slow_start_duration)
        << "\n}\n";
  };
  bool pool_per_class = shape == PoolPerClass || shape == SecondListener;
  if (pool_per_class) {
    for (const ClassPlan& request_class : scenario.request_classes) pool("for-" + request_class.name);
  } else {
    pool("all");
    if (shape == TwoPools) pool("half");
  }
  for (const ClassPlan& request_class : scenario.request_classes) {
    out << "route " << request_class.name << " {\n  path /" << request_class.name << "\n  to ";
    if (pool_per_class) out << "for-" << request_class.name;
    else if (shape == TwoPools) out << "all 50%, half 50%";
    else out << "all";
    out << "\n}\n";
  }
  if (shape == Invalid) out << "route broken { path /broken; to nowhere }\nlimits {\n";
  return out.str();
}

const Fleet::FaultHandler Fleet::kFaultHandlers[] = {{FaultKind::Slow, &Fleet::set_endpoint_fault},
                                                     {FaultKind::Hang, &Fleet::set_endpoint_fault},
                                                     {FaultKind::Errors, &Fleet::set_endpoint_fault},
                                                     {FaultKind::Freeze, &Fleet::set_endpoint_fault},
                                                     {FaultKind::ResetIn, &Fleet::set_endpoint_fault},
                                                     {FaultKind::ResetOut, &Fleet::set_endpoint_fault},
                                                     {FaultKind::Refuse, &Fleet::set_endpoint_fault},
                                                     {FaultKind::Unreachable, &Fleet::set_endpoint_fault},
                                                     {FaultKind::Spoil, &Fleet::set_endpoint_fault},
                                                     {FaultKind::SharedSlow, &Fleet::set_endpoint_fault},
                                                     {FaultKind::Crash, &Fleet::crash_endpoints},
                                                     {FaultKind::RestartTogether, &Fleet::crash_endpoints},
                                                     {FaultKind::Drop, &Fleet::drop_endpoint_connections},
                                                     {FaultKind::Burst, &Fleet::no_action},
                                                     {FaultKind::Drain, &Fleet::drain_endpoints},
                                                     {FaultKind::Release, &Fleet::replace_endpoints},
                                                     {FaultKind::ListSilent, &Fleet::set_discovery_fault},
                                                     {FaultKind::ListLate, &Fleet::set_discovery_fault},
                                                     {FaultKind::ListOld, &Fleet::set_discovery_fault},
                                                     {FaultKind::SidecarTerm, &Fleet::terminate_sidecars},
                                                     {FaultKind::SidecarKill, &Fleet::kill_sidecars},
                                                     {FaultKind::SidecarStop, &Fleet::pause_sidecars},
                                                     {FaultKind::SidecarHup, &Fleet::move_discovery},
                                                     {FaultKind::SiteReload, &Fleet::reload_sites},
                                                     {FaultKind::SidecarUpgrade, &Fleet::upgrade_sidecars},
                                                     {FaultKind::SidecarEmpty, &Fleet::evacuate_sidecars},
                                                     {FaultKind::Exclude, &Fleet::exclude_endpoints}};

Address Fleet::new_address() { return {host_, next_port_++}; }

Fleet::Fleet(RunContext& context, std::string command, std::string folder, std::uint64_t seed)
    : context_(context), command_(std::move(command)), folder_(std::move(folder)), seed_(seed) {
  // Each run has its own loopback address, so that parallel runs do not interfere.
  int pid = getpid();
  host_ = "127." + std::to_string(16 + pid / 40000 % 200) + "." + std::to_string(pid / 200 % 200) + "." +
          std::to_string(1 + pid % 200);
  const Scenario& scenario = context_.scenario;
  RandomSource random(seed, 3);
  tiers_.resize(scenario.tiers.size());
  auto add_sidecar = [&](int tier, int instance_index) {
    int number = int(processes_.size());
    processes_.push_back(std::make_unique<SidecarProcess>(context_, *this, number, tier, command_, folder_));
    listen_addresses_.push_back(new_address());
    second_listen_addresses_.push_back(new_address());
    site_versions_.push_back(0);
    discovery_agents_.push_back(std::make_unique<DiscoveryAgent>(context_, number, new_address()));
    instance_indexes_.push_back(instance_index);
    sidecar_tiers_.push_back(tier);
    restart_after_exit_.push_back(true);
    tiers_[std::size_t(tier)].sidecars.push_back(number);
    return number;
  };
  for (int i = 0; i < scenario.sidecars; ++i) add_sidecar(0, i);
  for (std::size_t k = 0; k < scenario.tiers.size(); ++k) {
    const TierPlan& plan = scenario.tiers[k];
    Tier& tier = tiers_[k];
    bool calls = plan.calls_per_request > 0 && k + 1 < scenario.tiers.size();
    for (int g = 0; g < plan.groups; ++g)
      tier.idempotency_memories.push_back(std::make_unique<IdempotencyMemory>());
    for (int i = 0; i < plan.endpoints; ++i) {
      Endpoint::Placement placement;
      placement.tier = int(k);
      placement.group = int(k) * 1000 + 1 + i % plan.groups;
      for (int sidecar : tier.sidecars) placement.listeners.emplace_back(sidecar, new_address());
      auto key = std::make_pair(int(k), std::size_t(i));
      SidecarClient* client = nullptr;
      if (calls) {
        NextTierSidecar& next_tier = next_tier_sidecars_[key];
        next_tier.sidecar = add_sidecar(int(k) + 1, i);
        next_tier.client = std::make_unique<SidecarClient>(
            context_, listen_addresses_[std::size_t(next_tier.sidecar)], next_tier.sidecar);
        client = next_tier.client.get();
      }
      tier.endpoints.push_back(std::make_unique<Endpoint>(
          context_, placement, next_endpoint_++, plan.name + "-" + std::to_string(i),
          random.uniform_in(plan.speed), *tier.idempotency_memories[std::size_t(i % plan.groups)], client));
      states_[key] = Event::State::Ready;
    }
  }
}

Fleet::~Fleet() = default;

std::vector<Address> Fleet::front_addresses() const {
  return {listen_addresses_.begin(), listen_addresses_.begin() + context_.scenario.sidecars};
}

void Fleet::start() {
  for (Tier& tier : tiers_) {
    for (auto& endpoint : tier.endpoints) endpoint->start(false);
  }
  for (std::size_t s = 0; s < discovery_agents_.size(); ++s) {
    std::vector<ListedEndpoint> all;
    Tier& tier = tiers_[std::size_t(sidecar_tiers_[s])];
    for (std::size_t i = 0; i < tier.endpoints.size(); ++i)
      all.push_back(list_entry(sidecar_tiers_[s], i, int(s), Event::State::Ready));
    discovery_agents_[s]->set_initial_list(std::move(all));
  }
  for (auto& process : processes_) start(*process);
}

void Fleet::start(SidecarProcess& process) {
  if (process.phase() != SidecarProcess::Phase::Down) return;
  process.start(config_for(process.sidecar()));
  if (!context_.scenario.sites) discovery_agents_[std::size_t(process.sidecar())]->report_initial_list();
}

SidecarConfig Fleet::config_for(int sidecar) {
  auto at = std::size_t(sidecar);
  SidecarConfig config;
  config.name = "s" + std::to_string(sidecar);
  config.listen = listen_addresses_[at].text();
  config.discovery = discovery_agents_[at]->address().text();
  if (context_.scenario.sites) {
    config.site =
        site_text(context_.scenario, site_versions_[at], config.listen, second_listen_addresses_[at].text(),
                  config.discovery, tiers_[std::size_t(sidecar_tiers_[at])].sidecars.size());
    config.descriptors = context_.scenario.descriptors;
    return config;
  }
  config.known = discovery_agents_[at]->list_json();
  config.settings = settings_json(context_.scenario, sidecar_tiers_[at], instance_indexes_[at],
                                  int(tiers_[std::size_t(sidecar_tiers_[at])].sidecars.size()));
  config.seed = seed_ * 1000003 + std::uint64_t(sidecar) * 101 + std::uint64_t(processes_[at]->starts());
  config.descriptors = context_.scenario.descriptors;
  config.memory_mb = context_.scenario.memory_mb;
  if (context_.scenario.uses_admin_api()) config.admin = new_address().text();
  return config;
}

bool Fleet::ready() const {
  return std::all_of(processes_.begin(), processes_.end(),
                     [](const auto& process) { return process->phase() == SidecarProcess::Phase::Ready; });
}

void Fleet::poll() {
  for (auto& process : processes_) process->poll();
}

// ---- start and exit of sidecars

void Fleet::on_ready(SidecarProcess& process) {
  if (clients_ && process.tier() == 0) clients_->set_avoided(process.sidecar(), false);
}

void Fleet::on_exited(SidecarProcess& process) {
  auto at = std::size_t(process.sidecar());
  if (process.tier() > 0 || !restart_after_exit_[at]) return;
  if (clients_)
    context_.loop.call_at(context_.loop.now() + kFrontDelay, [this, at] {
      if (processes_[at]->phase() == SidecarProcess::Phase::Down) clients_->set_avoided(int(at), true);
    });
  context_.loop.call_at(context_.loop.now() + 0.05, [this, at] {
    if (processes_[at]->phase() == SidecarProcess::Phase::Down) start(*processes_[at]);
  });
}

// ---- start and stop of endpoints

ListedEndpoint Fleet::list_entry(int tier, std::size_t index, int sidecar, Event::State state) const {
  const Endpoint& endpoint = *tiers_[std::size_t(tier)].endpoints[index];
  auto since = since_ms_.find({tier, index});
  return {endpoint.number(), endpoint.name(), endpoint.address_for(sidecar),
          endpoint.group(),  state,           since == since_ms_.end() ? 0 : since->second};
}

void Fleet::announce(int tier, std::size_t index, Event::State state) {
  states_[{tier, index}] = state;
  for (int sidecar : tiers_[std::size_t(tier)].sidecars)
    discovery_agents_[std::size_t(sidecar)]->change(list_entry(tier, index, sidecar, state));
}

void Fleet::stop_endpoint(int tier, std::size_t index) {
  Endpoint& endpoint = *tiers_[std::size_t(tier)].endpoints[index];
  auto next_tier = next_tier_sidecars_.find({tier, index});
  if (next_tier != next_tier_sidecars_.end()) {
    processes_[std::size_t(next_tier->second.sidecar)]->kill();
    next_tier->second.client->reset_connections();
  }
  endpoint.crash();
}

void Fleet::restart_endpoint(int tier, std::size_t index, bool new_identity) {
  Endpoint& endpoint = *tiers_[std::size_t(tier)].endpoints[index];
  if (endpoint.up()) return;
  if (new_identity) {
    int number = next_endpoint_++;
    endpoint.rename(number, context_.scenario.tiers[std::size_t(tier)].name + "-" + std::to_string(number));
  }
  auto next_tier = next_tier_sidecars_.find({tier, index});
  since_ms_[{tier, index}] = unix_ms();
  endpoint.start(true);
  if (next_tier == next_tier_sidecars_.end()) return announce(tier, index, Event::State::Ready);
  SidecarProcess& process = *processes_[std::size_t(next_tier->second.sidecar)];
  start(process);
  // Listed only after its own sidecar is ready, as its requests would fail before.
  auto announce_when_ready = std::make_shared<std::function<void()>>();
  *announce_when_ready = [this, tier, index, &process, announce_when_ready] {
    if (process.phase() == SidecarProcess::Phase::Ready) {
      announce(tier, index, Event::State::Ready);
      context_.loop.call_at(context_.loop.now(), [announce_when_ready] { *announce_when_ready = nullptr; });
    } else {
      context_.loop.call_at(context_.loop.now() + 0.02, [announce_when_ready] { (*announce_when_ready)(); });
    }
  };
  (*announce_when_ready)();
}

// ---- faults

void Fleet::start_faults(Clients& clients) {
  clients_ = &clients;
  double now = context_.loop.now();
  for (const Fault& fault : context_.scenario.faults) {
    for (int i = 0; i < fault.repetitions; ++i) schedule(fault, now + fault.at + i * fault.interval);
  }
}

void Fleet::schedule(const Fault& fault, double at) {
  for (const FaultHandler& entry : kFaultHandlers) {
    if (entry.kind != fault.kind) continue;
    context_.loop.call_at(at, [this, fault, handler = entry.handler] { (this->*handler)(fault, true); });
    context_.loop.call_at(at + fault.duration,
                          [this, fault, handler = entry.handler] { (this->*handler)(fault, false); });
  }
}

int Fleet::target_tier(const Fault& fault) const {
  std::string name = fault.target.substr(0, fault.target.find('/'));
  for (std::size_t k = 0; k < context_.scenario.tiers.size(); ++k) {
    if (context_.scenario.tiers[k].name == name) return int(k);
  }
  return 0;
}

std::vector<std::size_t> Fleet::target_endpoints(const Fault& fault) const {
  std::size_t slash = fault.target.find('/');
  std::string index = slash == std::string::npos ? "*" : fault.target.substr(slash + 1);
  if (index != "*") return {std::size_t(std::stoul(index))};
  std::vector<std::size_t> all(tiers_[std::size_t(target_tier(fault))].endpoints.size());
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
  return all;
}

std::vector<int> Fleet::target_sidecars(const Fault& fault) const {
  if (fault.target != "*") return {std::stoi(fault.target)};
  return tiers_[0].sidecars;
}

void Fleet::set_endpoint_fault(const Fault& fault, bool starts) {
  int count = starts ? 1 : -1;
  double share = starts ? fault.share : 0;
  for (std::size_t index : target_endpoints(fault)) {
    tiers_[std::size_t(target_tier(fault))].endpoints[index]->update_faults([&](FaultState& now) {
      switch (fault.kind) {
        case FaultKind::Slow:
        case FaultKind::SharedSlow: now.slow *= starts ? fault.factor : 1 / fault.factor; return;
        case FaultKind::Hang: now.hang += count; return;
        case FaultKind::Errors: now.errors = share; return;
        case FaultKind::Freeze: now.frozen += count; return;
        case FaultKind::ResetIn:
          now.reset_in = share;
          now.reset_after_bytes = fault.reset_after_bytes;
          return;
        case FaultKind::ResetOut:
          now.reset_out = share;
          now.reset_after_bytes = fault.reset_after_bytes;
          return;
        case FaultKind::Refuse: now.refusing += count; return;
        case FaultKind::Unreachable: now.unreachable += count; return;
        case FaultKind::Spoil: now.invalid_responses = share; return;
        default: return;
      }
    });
  }
}

void Fleet::crash_endpoints(const Fault& fault, bool starts) {
  int tier = target_tier(fault);
  for (std::size_t index : target_endpoints(fault)) {
    if (!starts) {
      restart_endpoint(tier, index, false);
    } else if (tiers_[std::size_t(tier)].endpoints[index]->up()) {
      stop_endpoint(tier, index);
      announce(tier, index, Event::State::Gone);
    }
  }
}

void Fleet::drop_endpoint_connections(const Fault& fault, bool starts) {
  if (!starts) return;
  for (std::size_t index : target_endpoints(fault))
    tiers_[std::size_t(target_tier(fault))].endpoints[index]->drop_connections();
}

void Fleet::drain_endpoints(const Fault& fault, bool starts) {
  int tier = target_tier(fault);
  for (std::size_t index : target_endpoints(fault)) {
    if (starts) announce(tier, index, Event::State::Draining);
    else {
      announce(tier, index, Event::State::Gone);
      stop_endpoint(tier, index);
    }
  }
}

void Fleet::replace_endpoints(const Fault& fault, bool starts) {
  if (!starts) return;
  int tier = target_tier(fault);
  std::vector<std::size_t> all = target_endpoints(fault);
  double each = fault.duration / double(all.size()), now = context_.loop.now();
  for (std::size_t i = 0; i < all.size(); ++i) {
    std::size_t index = all[i];
    context_.loop.call_at(now + double(i) * each,
                          [this, tier, index] { announce(tier, index, Event::State::Draining); });
    // Leaves time until all sidecars know and have finished their requests to the endpoint.
    double down = now + double(i) * each + context_.scenario.list_delay.high + context_.scenario.grace + 0.3;
    context_.loop.call_at(down, [this, tier, index] {
      announce(tier, index, Event::State::Gone);
      stop_endpoint(tier, index);
    });
    context_.loop.call_at(down + 0.1, [this, tier, index] { restart_endpoint(tier, index, true); });
  }
}

void Fleet::set_discovery_fault(const Fault& fault, bool starts) {
  for (int sidecar : target_sidecars(fault)) {
    DiscoveryAgent& agent = *discovery_agents_[std::size_t(sidecar)];
    if (fault.kind == FaultKind::ListSilent) agent.set_silent(starts);
    else if (fault.kind == FaultKind::ListLate) agent.add_delay(starts ? fault.duration : -fault.duration);
    else agent.set_stale(starts);
  }
}

void Fleet::terminate_sidecars(const Fault& fault, bool starts) {
  if (!starts) return;
  for (int sidecar : target_sidecars(fault)) {
    processes_[std::size_t(sidecar)]->terminate();
    context_.loop.call_at(context_.loop.now() + kFrontDelay, [this, sidecar] {
      if (processes_[std::size_t(sidecar)]->phase() != SidecarProcess::Phase::Ready)
        clients_->set_avoided(sidecar, true);
    });
  }
}

void Fleet::kill_sidecars(const Fault& fault, bool starts) {
  for (int sidecar : target_sidecars(fault)) {
    auto at = std::size_t(sidecar);
    restart_after_exit_[at] = !starts;
    if (starts) {
      processes_[at]->kill();
      context_.loop.call_at(context_.loop.now() + kFrontDelay, [this, at] {
        if (processes_[at]->phase() == SidecarProcess::Phase::Down) clients_->set_avoided(int(at), true);
      });
    } else {
      start(*processes_[at]);
    }
  }
}

void Fleet::pause_sidecars(const Fault& fault, bool starts) {
  if (!starts) return;
  for (int sidecar : target_sidecars(fault)) processes_[std::size_t(sidecar)]->pause(fault.duration);
}

void Fleet::move_discovery(const Fault& fault, bool starts) {
  if (!starts) return;
  for (int sidecar : target_sidecars(fault)) {
    auto at = std::size_t(sidecar);
    if (processes_[at]->phase() != SidecarProcess::Phase::Ready) continue;
    discovery_agents_[at]->move_to(new_address(), kOldDiscoveryLifetime);
    SidecarConfig config = config_for(sidecar);
    processes_[at]->write_config(config);
    processes_[at]->send_sighup();
  }
}

void Fleet::upgrade_sidecars(const Fault& fault, bool starts) {
  if (!starts) return;
  for (int sidecar : target_sidecars(fault))
    processes_[std::size_t(sidecar)]->start_successor(config_for(sidecar));
}

void Fleet::evacuate_sidecars(const Fault& fault, bool starts) {
  for (int sidecar : target_sidecars(fault)) {
    processes_[std::size_t(sidecar)]->call_admin_api(
        starts ? "evacuate" : "rejoin", "", [this, sidecar, starts](int status) {
          if (status != 200) return;
          context_.loop.call_at(context_.loop.now() + kFrontDelay,
                                [this, sidecar, starts] { clients_->set_avoided(sidecar, starts); });
        });
  }
}

// An operator's override counts like a notification of discovery, from the moment when the sidecar accepts
// it.
void Fleet::exclude_endpoints(const Fault& fault, bool starts) {
  int tier = target_tier(fault);
  for (std::size_t index : target_endpoints(fault)) {
    for (int sidecar : tiers_[std::size_t(tier)].sidecars) {
      auto report_notified = [this, tier, index, sidecar](Event::State state) {
        Event event{Event::Kind::Notified};
        event.sidecar = sidecar;
        event.state = state;
        event.endpoint = tiers_[std::size_t(tier)].endpoints[index]->number();
        context_.report_action(event);
      };
      if (!starts) report_notified(Event::State::Ready);
      processes_[std::size_t(sidecar)]->call_admin_api(
          starts ? "exclude" : "include", list_entry(tier, index, sidecar, Event::State::Ready).name,
          [report_notified, starts](int status) {
            if (starts && status == 200) report_notified(Event::State::Draining);
          });
    }
  }
}

void Fleet::reload_sites(const Fault& fault, bool starts) {
  if (!starts) return;
  for (int sidecar : target_sidecars(fault)) {
    auto at = std::size_t(sidecar);
    if (processes_[at]->phase() != SidecarProcess::Phase::Ready) continue;
    ++site_versions_[at];
    processes_[at]->write_config(config_for(sidecar));
    processes_[at]->send_sighup();
  }
}

}  // namespace load_test
