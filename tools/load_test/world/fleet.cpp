#include "tools/load_test/world/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace load_test {

namespace {

constexpr double kFrontHears = 0.3;    // until clients' front heeds that a sidecar leaves or has died
constexpr double kOldDiscovery = 1.5;  // after a move the old one closes its connections

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string settings_json(const Scenario& scenario, int tier, int me, int sidecars) {
  nlohmann::json request_classes = nlohmann::json::array(), tenants = nlohmann::json::array(),
                 tiers = nlohmann::json::array();
  static constexpr const char* kKinds[] = {"repeatable", "by_key", "once"};
  for (const ClassPlan& request_class : scenario.request_classes) {
    request_classes.push_back({{"Name", request_class.name},
                               {"Idempotency", kKinds[int(request_class.idempotency)]},
                               {"Group", request_class.grouped ? "cell" : "all"},
                               {"MemorySpanS", request_class.memory},
                               {"TargetLatencyS", request_class.latency_objective},
                               {"ClientTimeoutS", request_class.client_timeout},
                               {"Credit", request_class.credit}});
  }
  for (const CustomerPlan& tenant : scenario.tenants)
    tenants.push_back({{"Name", tenant.name}, {"QuotaPerS", tenant.share * scenario.clients.rate * 1.5}});
  for (const TierPlan& plan : scenario.tiers) tiers.push_back(plan.name);
  nlohmann::json settings = {
      {"Zone", "here"},
      {"Zones", {"here"}},
      {"Me", me},
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
        {"MaxRetryAfterS", scenario.longest_wait_advice},
        {"ConnectTimeoutS", scenario.connect_timeout},
        {"ConnIdleS", scenario.idle_time}}},
      {"Rules", {{"ColdShare", scenario.slow_start_share}, {"ColdS", scenario.warm_after}}}};
  return settings.dump();
}

std::string site_text(const Scenario& scenario, int version, const std::string& listen,
                      const std::string& second, const std::string& discovery, std::size_t instances) {
  enum Shape { OnePool, PoolEach, Shared, Unusable, OtherValues, OneMore, kShapes };
  auto shape = Shape(version % kShapes);
  std::ostringstream out;
  auto ms = [](double seconds) { return std::to_string(std::lround(seconds * 1000)) + "ms"; };
  out << "site rehearsed\nlimits { descriptors " << std::max(64, scenario.descriptors) << "; memory "
      << scenario.memory_mb << "MiB; instances " << instances << " }\nlistener main { address " << listen
      << " }\n";
  if (shape == OneMore) out << "listener second { address " << second << " }\n";
  static constexpr const char* kKinds[] = {"read-like", "tagged", "mutating"};
  for (const ClassPlan& request_class : scenario.request_classes) {
    out << "prefix " << request_class.name << " {\n  kind " << kKinds[int(request_class.idempotency)] << "\n";
    if (request_class.idempotency == Idempotency::Keyed)
      out << "  group " << (request_class.grouped ? "cell" : "all") << "\n  memory "
          << ms(request_class.memory) << "\n";
    out << "  target-latency " << ms(request_class.latency_objective) << "\n  client-timeout "
        << ms(request_class.client_timeout) << "\n  credit " << request_class.credit << "\n}\n";
  }
  for (const CustomerPlan& tenant : scenario.tenants)
    out << "customer " << tenant.name << " { quota "
        << std::max(0.001, tenant.share * scenario.clients.rate * 1.5) << "/s }\n";
  auto pool = [&](const std::string& name) {
    out << "pool " << name << " {\n  discovery " << discovery << "\n  zone here\n  max-fetches "
        << (shape == OtherValues ? std::max(1, scenario.max_attempts - 1) : scenario.max_attempts)
        << "\n  connect-timeout " << ms(scenario.connect_timeout) << "\n  idle-time "
        << ms(scenario.idle_time) << "\n  retry-after " << ms(scenario.longest_wait_advice)
        << "\n  cold-share " << scenario.slow_start_share * 100 << "%\n  warm-after "
        << ms(scenario.warm_after) << "\n}\n";
  };
  bool each = shape == PoolEach || shape == OneMore;
  if (each) {
    for (const ClassPlan& request_class : scenario.request_classes) pool("for-" + request_class.name);
  } else {
    pool("all");
    if (shape == Shared) pool("half");
  }
  for (const ClassPlan& request_class : scenario.request_classes) {
    out << "route " << request_class.name << " {\n  path /" << request_class.name << "\n  to ";
    if (each) out << "for-" << request_class.name;
    else if (shape == Shared) out << "all 50%, half 50%";
    else out << "all";
    out << "\n}\n";
  }
  if (shape == Unusable) out << "route broken { path /broken; to nowhere }\nlimits {\n";
  return out.str();
}

const Fleet::Row Fleet::kRows[] = {{Trouble::Slow, &Fleet::on_condition},
                                   {Trouble::Hang, &Fleet::on_condition},
                                   {Trouble::Errors, &Fleet::on_condition},
                                   {Trouble::Freeze, &Fleet::on_condition},
                                   {Trouble::ResetIn, &Fleet::on_condition},
                                   {Trouble::ResetOut, &Fleet::on_condition},
                                   {Trouble::Refuse, &Fleet::on_condition},
                                   {Trouble::Unreachable, &Fleet::on_condition},
                                   {Trouble::Spoil, &Fleet::on_condition},
                                   {Trouble::SharedSlow, &Fleet::on_condition},
                                   {Trouble::Crash, &Fleet::crash},
                                   {Trouble::RestartTogether, &Fleet::crash},
                                   {Trouble::Drop, &Fleet::drop},
                                   {Trouble::Burst, &Fleet::nothing},
                                   {Trouble::Drain, &Fleet::drain},
                                   {Trouble::Release, &Fleet::release},
                                   {Trouble::ListSilent, &Fleet::list},
                                   {Trouble::ListLate, &Fleet::list},
                                   {Trouble::ListOld, &Fleet::list},
                                   {Trouble::SidecarTerm, &Fleet::term},
                                   {Trouble::SidecarKill, &Fleet::kill},
                                   {Trouble::SidecarStop, &Fleet::stop},
                                   {Trouble::SidecarHup, &Fleet::hup},
                                   {Trouble::SiteReload, &Fleet::reload_site},
                                   {Trouble::SidecarUpgrade, &Fleet::upgrade},
                                   {Trouble::SidecarEmpty, &Fleet::empty},
                                   {Trouble::Exclude, &Fleet::exclude}};

Address Fleet::new_address() { return {host_, next_port_++}; }

Fleet::Fleet(World& world, std::string command, std::string folder, std::uint64_t seed)
    : world_(world), command_(std::move(command)), folder_(std::move(folder)), seed_(seed) {
  // Runs side by side on one machine don't meet: each has a loopback address of its own.
  int mine = getpid();
  host_ = "127." + std::to_string(16 + mine / 40000 % 200) + "." + std::to_string(mine / 200 % 200) + "." +
          std::to_string(1 + mine % 200);
  const Scenario& scenario = world_.scenario;
  Chance chance(seed, 3);
  tiers_.resize(scenario.tiers.size());
  auto add_sidecar = [&](int tier, int me) {
    int number = int(processes_.size());
    processes_.push_back(std::make_unique<Process>(world_, *this, number, tier, command_, folder_));
    listens_.push_back(new_address());
    second_listens_.push_back(new_address());
    versions_.push_back(0);
    agents_.push_back(std::make_unique<Agent>(world_, number, new_address()));
    me_.push_back(me);
    of_tier_.push_back(tier);
    back_after_leaving_.push_back(true);
    tiers_[std::size_t(tier)].sidecars.push_back(number);
    return number;
  };
  for (int i = 0; i < scenario.sidecars; ++i) add_sidecar(0, i);
  for (std::size_t k = 0; k < scenario.tiers.size(); ++k) {
    const TierPlan& plan = scenario.tiers[k];
    Tier& tier = tiers_[k];
    bool calls = plan.calls > 0 && k + 1 < scenario.tiers.size();
    for (int g = 0; g < plan.groups; ++g) tier.memories.push_back(std::make_unique<TagMemory>());
    for (int i = 0; i < plan.endpoints; ++i) {
      Endpoint::Place place;
      place.tier = int(k);
      place.group = int(k) * 1000 + 1 + i % plan.groups;
      for (int sidecar : tier.sidecars) place.listeners.emplace_back(sidecar, new_address());
      auto key = std::make_pair(int(k), std::size_t(i));
      Caller* caller = nullptr;
      if (calls) {
        Below& below = below_[key];
        below.sidecar = add_sidecar(int(k) + 1, i);
        below.caller = std::make_unique<Caller>(world_, listens_[std::size_t(below.sidecar)], below.sidecar);
        caller = below.caller.get();
      }
      tier.endpoints.push_back(std::make_unique<Endpoint>(
          world_, place, next_endpoint_++, plan.name + "-" + std::to_string(i), chance.in(plan.speed),
          *tier.memories[std::size_t(i % plan.groups)], caller));
      states_[key] = Event::State::Ready;
    }
  }
}

Fleet::~Fleet() = default;

std::vector<Address> Fleet::front_addresses() const {
  return {listens_.begin(), listens_.begin() + world_.scenario.sidecars};
}

void Fleet::start() {
  for (Tier& tier : tiers_) {
    for (auto& endpoint : tier.endpoints) endpoint->start(false);
  }
  for (std::size_t s = 0; s < agents_.size(); ++s) {
    std::vector<Listed> all;
    Tier& tier = tiers_[std::size_t(of_tier_[s])];
    for (std::size_t i = 0; i < tier.endpoints.size(); ++i)
      all.push_back(entry(of_tier_[s], i, int(s), Event::State::Ready));
    agents_[s]->know(std::move(all));
  }
  for (auto& process : processes_) start(*process);
}

void Fleet::start(Process& process) {
  if (process.phase() != Process::Phase::Down) return;
  process.start(config_for(process.sidecar()));
  if (!world_.scenario.sites) agents_[std::size_t(process.sidecar())]->notified_at_start();
}

SidecarConfig Fleet::config_for(int sidecar) {
  auto at = std::size_t(sidecar);
  SidecarConfig assignment;
  assignment.name = "s" + std::to_string(sidecar);
  assignment.listen = listens_[at].text();
  assignment.discovery = agents_[at]->address().text();
  if (world_.scenario.sites) {
    assignment.site = site_text(world_.scenario, versions_[at], assignment.listen, second_listens_[at].text(),
                                assignment.discovery, tiers_[std::size_t(of_tier_[at])].sidecars.size());
    assignment.descriptors = world_.scenario.descriptors;
    return assignment;
  }
  assignment.known = agents_[at]->known_json();
  assignment.settings = settings_json(world_.scenario, of_tier_[at], me_[at],
                                      int(tiers_[std::size_t(of_tier_[at])].sidecars.size()));
  assignment.seed = seed_ * 1000003 + std::uint64_t(sidecar) * 101 + std::uint64_t(processes_[at]->starts());
  assignment.descriptors = world_.scenario.descriptors;
  assignment.memory_mb = world_.scenario.memory_mb;
  if (world_.scenario.operated()) assignment.admin = new_address().text();
  return assignment;
}

bool Fleet::ready() const {
  return std::all_of(processes_.begin(), processes_.end(),
                     [](const auto& process) { return process->phase() == Process::Phase::Ready; });
}

void Fleet::look() {
  for (auto& process : processes_) process->look();
}

// ---- sidecars come and go

void Fleet::on_ready(Process& process) {
  if (clients_ && process.tier() == 0) clients_->avoid(process.sidecar(), false);
}

void Fleet::on_left(Process& process) {
  auto at = std::size_t(process.sidecar());
  if (process.tier() > 0 || !back_after_leaving_[at]) return;
  if (clients_)
    world_.loop.at(world_.loop.now() + kFrontHears, [this, at] {
      if (processes_[at]->phase() == Process::Phase::Down) clients_->avoid(int(at), true);
    });
  world_.loop.at(world_.loop.now() + 0.05, [this, at] {
    if (processes_[at]->phase() == Process::Phase::Down) start(*processes_[at]);
  });
}

// ---- endpoints come and go

Listed Fleet::entry(int tier, std::size_t which, int sidecar, Event::State state) const {
  const Endpoint& endpoint = *tiers_[std::size_t(tier)].endpoints[which];
  auto since = since_ms_.find({tier, which});
  return {endpoint.number(), endpoint.name(), endpoint.address_for(sidecar),
          endpoint.group(),  state,           since == since_ms_.end() ? 0 : since->second};
}

void Fleet::listed(int tier, std::size_t which, Event::State state) {
  states_[{tier, which}] = state;
  for (int sidecar : tiers_[std::size_t(tier)].sidecars)
    agents_[std::size_t(sidecar)]->change(entry(tier, which, sidecar, state));
}

void Fleet::take_down(int tier, std::size_t which) {
  Endpoint& endpoint = *tiers_[std::size_t(tier)].endpoints[which];
  auto below = below_.find({tier, which});
  if (below != below_.end()) {
    processes_[std::size_t(below->second.sidecar)]->kill();
    below->second.caller->vanish();
  }
  endpoint.crash();
}

void Fleet::bring_back(int tier, std::size_t which, bool replaced) {
  Endpoint& endpoint = *tiers_[std::size_t(tier)].endpoints[which];
  if (endpoint.up()) return;
  if (replaced) {
    int number = next_endpoint_++;
    endpoint.rename(number, world_.scenario.tiers[std::size_t(tier)].name + "-" + std::to_string(number));
  }
  auto below = below_.find({tier, which});
  since_ms_[{tier, which}] = unix_ms();
  endpoint.start(true);
  if (below == below_.end()) return listed(tier, which, Event::State::Ready);
  Process& process = *processes_[std::size_t(below->second.sidecar)];
  start(process);
  // It is listed once its own sidecar is ready: before that it could only fail.
  auto wait = std::make_shared<std::function<void()>>();
  *wait = [this, tier, which, &process, wait] {
    if (process.phase() == Process::Phase::Ready) {
      listed(tier, which, Event::State::Ready);
      world_.loop.at(world_.loop.now(), [wait] { *wait = nullptr; });
    } else {
      world_.loop.at(world_.loop.now() + 0.02, [wait] { (*wait)(); });
    }
  };
  (*wait)();
}

// ---- troubles

void Fleet::begin(Clients& clients) {
  clients_ = &clients;
  double now = world_.loop.now();
  for (const Fault& fault : world_.scenario.faults) {
    for (int i = 0; i < fault.times; ++i) schedule(fault, now + fault.at + i * fault.every);
  }
}

void Fleet::schedule(const Fault& fault, double at) {
  for (const Row& row : kRows) {
    if (row.kind != fault.kind) continue;
    world_.loop.at(at, [this, fault, act = row.act] { (this->*act)(fault, true); });
    world_.loop.at(at + fault.span, [this, fault, act = row.act] { (this->*act)(fault, false); });
  }
}

int Fleet::tier_of(const Fault& fault) const {
  std::string name = fault.on.substr(0, fault.on.find('/'));
  for (std::size_t k = 0; k < world_.scenario.tiers.size(); ++k) {
    if (world_.scenario.tiers[k].name == name) return int(k);
  }
  return 0;
}

std::vector<std::size_t> Fleet::chosen(const Fault& fault) const {
  std::size_t slash = fault.on.find('/');
  std::string which = slash == std::string::npos ? "*" : fault.on.substr(slash + 1);
  if (which != "*") return {std::size_t(std::stoul(which))};
  std::vector<std::size_t> all(tiers_[std::size_t(tier_of(fault))].endpoints.size());
  for (std::size_t i = 0; i < all.size(); ++i) all[i] = i;
  return all;
}

std::vector<int> Fleet::chosen_sidecars(const Fault& fault) const {
  if (fault.on != "*") return {std::stoi(fault.on)};
  return tiers_[0].sidecars;
}

void Fleet::on_condition(const Fault& fault, bool begins) {
  int count = begins ? 1 : -1;
  double share = begins ? fault.share : 0;
  for (std::size_t which : chosen(fault)) {
    tiers_[std::size_t(tier_of(fault))].endpoints[which]->change([&](Condition& now) {
      switch (fault.kind) {
        case Trouble::Slow:
        case Trouble::SharedSlow: now.slow *= begins ? fault.factor : 1 / fault.factor; return;
        case Trouble::Hang: now.hang += count; return;
        case Trouble::Errors: now.errors = share; return;
        case Trouble::Freeze: now.frozen += count; return;
        case Trouble::ResetIn:
          now.reset_in = share;
          now.bytes = fault.bytes;
          return;
        case Trouble::ResetOut:
          now.reset_out = share;
          now.bytes = fault.bytes;
          return;
        case Trouble::Refuse: now.refusing += count; return;
        case Trouble::Unreachable: now.unreachable += count; return;
        case Trouble::Spoil: now.spoil = share; return;
        default: return;
      }
    });
  }
}

void Fleet::crash(const Fault& fault, bool begins) {
  int tier = tier_of(fault);
  for (std::size_t which : chosen(fault)) {
    if (!begins) {
      bring_back(tier, which, false);
    } else if (tiers_[std::size_t(tier)].endpoints[which]->up()) {
      take_down(tier, which);
      listed(tier, which, Event::State::Gone);
    }
  }
}

void Fleet::drop(const Fault& fault, bool begins) {
  if (!begins) return;
  for (std::size_t which : chosen(fault))
    tiers_[std::size_t(tier_of(fault))].endpoints[which]->drop_connections();
}

void Fleet::drain(const Fault& fault, bool begins) {
  int tier = tier_of(fault);
  for (std::size_t which : chosen(fault)) {
    if (begins) listed(tier, which, Event::State::Draining);
    else {
      listed(tier, which, Event::State::Gone);
      take_down(tier, which);
    }
  }
}

void Fleet::release(const Fault& fault, bool begins) {
  if (!begins) return;
  int tier = tier_of(fault);
  std::vector<std::size_t> all = chosen(fault);
  double each = fault.span / double(all.size()), now = world_.loop.now();
  for (std::size_t i = 0; i < all.size(); ++i) {
    std::size_t which = all[i];
    world_.loop.at(now + double(i) * each,
                   [this, tier, which] { listed(tier, which, Event::State::Draining); });
    // Long enough after for all to have heard of it and ended what they had there.
    double down = now + double(i) * each + world_.scenario.list_delay.high + world_.scenario.grace + 0.3;
    world_.loop.at(down, [this, tier, which] {
      listed(tier, which, Event::State::Gone);
      take_down(tier, which);
    });
    world_.loop.at(down + 0.1, [this, tier, which] { bring_back(tier, which, true); });
  }
}

void Fleet::list(const Fault& fault, bool begins) {
  for (int sidecar : chosen_sidecars(fault)) {
    Agent& agent = *agents_[std::size_t(sidecar)];
    if (fault.kind == Trouble::ListSilent) agent.silent(begins);
    else if (fault.kind == Trouble::ListLate) agent.late(begins ? fault.span : -fault.span);
    else agent.old(begins);
  }
}

void Fleet::term(const Fault& fault, bool begins) {
  if (!begins) return;
  for (int sidecar : chosen_sidecars(fault)) {
    processes_[std::size_t(sidecar)]->terminate();
    world_.loop.at(world_.loop.now() + kFrontHears, [this, sidecar] {
      if (processes_[std::size_t(sidecar)]->phase() != Process::Phase::Ready) clients_->avoid(sidecar, true);
    });
  }
}

void Fleet::kill(const Fault& fault, bool begins) {
  for (int sidecar : chosen_sidecars(fault)) {
    auto at = std::size_t(sidecar);
    back_after_leaving_[at] = !begins;
    if (begins) {
      processes_[at]->kill();
      world_.loop.at(world_.loop.now() + kFrontHears, [this, at] {
        if (processes_[at]->phase() == Process::Phase::Down) clients_->avoid(int(at), true);
      });
    } else {
      start(*processes_[at]);
    }
  }
}

void Fleet::stop(const Fault& fault, bool begins) {
  if (!begins) return;
  for (int sidecar : chosen_sidecars(fault)) processes_[std::size_t(sidecar)]->pause(fault.span);
}

void Fleet::hup(const Fault& fault, bool begins) {
  if (!begins) return;
  for (int sidecar : chosen_sidecars(fault)) {
    auto at = std::size_t(sidecar);
    if (processes_[at]->phase() != Process::Phase::Ready) continue;
    agents_[at]->move(new_address(), kOldDiscovery);
    SidecarConfig assignment = config_for(sidecar);
    processes_[at]->write_file(assignment);
    processes_[at]->hang_up();
  }
}

void Fleet::upgrade(const Fault& fault, bool begins) {
  if (!begins) return;
  for (int sidecar : chosen_sidecars(fault)) processes_[std::size_t(sidecar)]->succeed(config_for(sidecar));
}

void Fleet::empty(const Fault& fault, bool begins) {
  for (int sidecar : chosen_sidecars(fault)) {
    processes_[std::size_t(sidecar)]->call(
        begins ? "evacuate" : "rejoin", "", [this, sidecar, begins](int status) {
          if (status != 200) return;
          world_.loop.at(world_.loop.now() + kFrontHears,
                         [this, sidecar, begins] { clients_->avoid(sidecar, begins); });
        });
  }
}

// What operators say binds as discovery's word does, from the yes on.
void Fleet::exclude(const Fault& fault, bool begins) {
  int tier = tier_of(fault);
  for (std::size_t which : chosen(fault)) {
    for (int sidecar : tiers_[std::size_t(tier)].sidecars) {
      auto notify = [this, tier, which, sidecar](Event::State state) {
        Event event{Event::Kind::Notified};
        event.sidecar = sidecar;
        event.state = state;
        event.endpoint = tiers_[std::size_t(tier)].endpoints[which]->number();
        world_.did(event);
      };
      if (!begins) notify(Event::State::Ready);
      processes_[std::size_t(sidecar)]->call(begins ? "exclude" : "include",
                                             entry(tier, which, sidecar, Event::State::Ready).name,
                                             [notify, begins](int status) {
                                               if (begins && status == 200) notify(Event::State::Draining);
                                             });
    }
  }
}

void Fleet::reload_site(const Fault& fault, bool begins) {
  if (!begins) return;
  for (int sidecar : chosen_sidecars(fault)) {
    auto at = std::size_t(sidecar);
    if (processes_[at]->phase() != Process::Phase::Ready) continue;
    ++versions_[at];
    processes_[at]->write_file(config_for(sidecar));
    processes_[at]->hang_up();
  }
}

}  // namespace load_test
