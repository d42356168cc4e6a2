#include "src/server/server.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <utility>

#include "src/config/language/read.h"
#include "src/http/headers.h"
#include "src/server/run.h"

namespace puffinvane::serving {

namespace {
constexpr double kFinishedPoolCheckInterval = 0.1;  // seconds
// A listener that can't be opened for lack of descriptors is retried at this interval for five seconds; the
// process has to be ready within ten.
constexpr double kOpenRetryInterval = 0.05;
constexpr int kMaxOpenTries = 100;

std::shared_ptr<const site::Site> make_shared_site(site::Site site) {
  return std::make_shared<const site::Site>(std::move(site));
}

EndpointList static_list(const site::Pool& pool, const std::map<std::string, double>& since) {
  EndpointList list;
  list.is_snapshot = true;
  for (const site::Endpoint& one : pool.endpoints) {
    std::string identity = site::identity_of(one);
    list.entries.push_back({identity, one.zone, one.cell, ListedState::Ready, one.size, since.at(identity)});
    list.addresses.push_back(one.address);
  }
  return list;
}
}  // namespace

void Server::RunningPool::on_endpoint_list(const EndpointList& list) {
  if (list.is_snapshot) listed.clear();
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const ListEntry& entry = list.entries[i];
    if (entry.state == ListedState::Removed) listed.erase(entry.endpoint);
    else listed.insert_or_assign(entry.endpoint, std::pair(entry, list.addresses[i]));
  }
  forwarder->on_endpoint_list(list);
}

EndpointList Server::RunningPool::known() const {
  EndpointList list;
  list.is_snapshot = true;
  for (const auto& [name, one] : listed) {
    list.entries.push_back(one.first);
    list.addresses.push_back(one.second);
  }
  return list;
}

Server::Server(Loop& loop, site::Site site, Read read, std::uint64_t seed, PolicyFactory make,
               double kill_timeout)
    : Lifecycle(loop),
      read_(std::move(read)),
      make_(make),
      random_(seed),
      router_(make_shared_site(std::move(site))),
      version_(site::version(router_.site())),
      kill_timeout_(kill_timeout),
      limiter_(loop, router_.site().limits.memory),
      downstream_(loop, limiter_, *this, router_.site().limits.body) {
  downstream_.set_longest_client_timeout(drain_limits().longest_client_timeout_s);
}

void Server::start() {
  try {
    open_listeners(router_.site());
  } catch (const std::runtime_error& error) {
    const bool is_shortage = dynamic_cast<const Listener::LocalShortage*>(&error) != nullptr;
    if (!is_shortage && open_tries_ == 0) throw;
    if (!is_shortage || ++open_tries_ > kMaxOpenTries)
      return fail(error.what());  // an exception must not leave a callback of the loop
    loop().at(loop().now() + kOpenRetryInterval, alive_.guard([this] { start(); }));
    return;
  }
  open_tries_ = 0;
  set_pools(router_.site());
  on_listeners_open();
}

void Server::on_serving() {
  for (const OpenListener& one : listeners_) {
    loop()
        .log()
        .event(Level::Info, "listener.opened")
        .with("listener", one.configured.name)
        .with("address", one.configured.address);
  }
  loop()
      .log()
      .event(Level::Info, "site.serving")
      .with("site", router_.site().name)
      .with("version", version_)
      .with("pools", router_.site().pools.size())
      .with("routes", router_.site().routes.size());
}

// ---- reloading

void Server::reload_settings() {
  std::string why;
  std::optional<site::Site> read = read_(why);
  try {
    if (!read) throw std::runtime_error(why);
    if (read->limits.descriptors != router_.site().limits.descriptors ||
        read->limits.memory != router_.site().limits.memory ||
        read->limits.body != router_.site().limits.body)
      throw std::runtime_error("the limits on descriptors, memory and body can only change with a restart");
    routing::Router next(make_shared_site(std::move(*read)));
    if (!drain_deadline_) open_listeners(next.site());  // the only step that can fail for external reasons
    std::string before = std::exchange(version_, site::version(next.site()));
    std::size_t changes = site::differences(router_.site(), next.site()).size();
    set_pools(next.site());
    if (!drain_deadline_)
      close_listeners(next.site());  // while draining, all listeners are closed already or soon will be
    router_ = std::move(next);
    downstream_.set_longest_client_timeout(drain_limits().longest_client_timeout_s);
    loop()
        .log()
        .event(Level::Info, "site.reloaded")
        .with("site", router_.site().name)
        .with("before", before)
        .with("version", version_)
        .with("changes", changes)
        .with("pools_ending", retired_.size());
    open_tries_ = 0;
  } catch (const std::exception& error) {
    if (dynamic_cast<const Listener::LocalShortage*>(&error) && ++open_tries_ <= kMaxOpenTries) {
      loop().at(loop().now() + kOpenRetryInterval, alive_.guard([this] { reload_settings(); }));
      return;
    }
    open_tries_ = 0;
    loop().log().event(Level::Warning, "site.kept").with("version", version_).with("why", error.what());
  }
}

void Server::open_listeners(const site::Site& site) {
  std::vector<OpenListener> added;
  for (const site::Listener& configured : site.listeners) {
    auto same = std::find_if(listeners_.begin(), listeners_.end(), [&](const OpenListener& one) {
      return one.configured.address == configured.address;
    });
    if (same != listeners_.end()) continue;
    added.push_back({configured, std::make_unique<Listener>(loop(), downstream_,
                                                            last_listener_id_ + 1 + int(added.size()))});
    added.back().listener->open(configured.address);
  }
  last_listener_id_ += int(added.size());
  std::move(added.begin(), added.end(), std::back_inserter(listeners_));
}

void Server::close_listeners(const site::Site& site) {
  for (OpenListener& one : listeners_) {
    auto same = std::find_if(
        site.listeners.begin(), site.listeners.end(),
        [&](const site::Listener& configured) { return configured.address == one.configured.address; });
    if (same != site.listeners.end()) {
      one.configured = *same;
      continue;
    }
    loop()
        .log()
        .event(Level::Info, "listener.closed")
        .with("listener", one.configured.name)
        .with("address", one.configured.address);
    one.listener->close();
    downstream_.close_listener(one.listener->id());
    one.listener.reset();
  }
  std::erase_if(listeners_, [](const OpenListener& one) { return !one.listener; });
}

void Server::set_pools(const site::Site& site) {
  previous_pools_ = std::exchange(pools_, {});
  pools_by_index_.clear();
  std::vector<RunningPool*> added;
  for (const site::Pool& pool : site.pools) {
    Deployment deployment = site::deployment_of(site, pool);
    std::unique_ptr<RunningPool> running;
    auto old = previous_pools_.find(pool.name);
    bool stays = old != previous_pools_.end() && old->second->forwarder->deployment() == deployment;
    if (stays) {
      running = std::move(old->second);
    } else {
      running = std::make_unique<RunningPool>();
      ForwarderOptions options{true, site.limits.body, pool.name};
      running->forwarder =
          std::make_unique<RequestForwarder>(loop(), limiter_, deployment, random_(), make_, options);
      if (drain_deadline_) running->forwarder->begin_shutdown(*drain_deadline_);
    }
    set_endpoints(*running, pool, stays);
    RunningPool* placed = pools_.emplace(pool.name, std::move(running)).first->second.get();
    if (!stays) added.push_back(placed);
    pools_by_index_.push_back(placed);
  }
  inherit_learned_state(added);
  for (auto& [name, running] : previous_pools_) {
    if (running) retire(std::move(running), added);
  }
  previous_pools_.clear();
}

// was_running: the pool was in use before, so that its new endpoints may be in slow start (rule 4).
void Server::set_endpoints(RunningPool& running, const site::Pool& pool, bool was_running) {
  bool same_list =
      was_running && running.pool.discovery == pool.discovery &&
      std::equal(running.pool.endpoints.begin(), running.pool.endpoints.end(), pool.endpoints.begin(),
                 pool.endpoints.end(), [](const site::Endpoint& one, const site::Endpoint& other) {
                   return site::identity_of(one) == site::identity_of(other) && one.zone == other.zone &&
                          one.cell == other.cell && one.size == other.size;
                 });
  running.pool = pool;
  if (same_list) return;
  if (pool.discovery.empty()) {
    running.watch.reset();
    // If most endpoints are new, slow start would overload the few that stay, so it is not used then.
    auto stay = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [&](const site::Endpoint& one) {
      return running.since.contains(site::identity_of(one));
    });
    bool starts_slowly = was_running && 2 * std::size_t(stay) >= pool.endpoints.size();
    std::map<std::string, double> since;
    for (const site::Endpoint& one : pool.endpoints) {
      auto known = running.since.find(site::identity_of(one));
      since[site::identity_of(one)] = known != running.since.end() ? known->second
                                      : starts_slowly              ? loop().now()
                                                                   : 0;
    }
    running.since = std::move(since);
    running.forwarder->on_endpoint_list(static_list(pool, running.since));
    return;
  }
  running.since.clear();
  // Until discovery has answered, uses what it told another pool, so that requests don't have to wait.
  for (const auto* all : {&previous_pools_, &pools_}) {
    for (const auto& [name, other] : *all) {
      if (running.listed.empty() && other && other->pool.discovery == pool.discovery) {
        running.listed = other->listed;
        running.starts = other->starts;
      }
    }
  }
  if (!running.listed.empty()) running.forwarder->load_cached_list(running.known());
  if (was_running) running.starts.on_source_changed();
  DiscoveryWatch::Options options;
  options.address = pool.discovery;
  options.backoff_seed = random_();
  running.watch = std::make_unique<DiscoveryWatch>(loop(), running, running.starts, options);
  running.watch->start();
}

// Without the learned state, every change of a setting and every pool that is split or renamed would have to
// learn again which endpoints are unhealthy and how much load they take. The load that a replaced pool
// carried is divided evenly among the new pools that share endpoints with it.
void Server::inherit_learned_state(const std::vector<RunningPool*>& added) {
  for (const auto& [name, old] : previous_pools_) {
    if (!old) continue;
    auto successors = std::count_if(added.begin(), added.end(), [&](const RunningPool* one) {
      return site::share_endpoints(one->pool, old->pool);
    });
    for (RunningPool* one : added) {
      if (site::share_endpoints(one->pool, old->pool))
        one->forwarder->import_learned_state(old->forwarder->export_learned_state(),
                                             1.0 / double(successors));
    }
  }
}

void Server::retire(std::unique_ptr<RunningPool> running, const std::vector<RunningPool*>& added) {
  loop().log().event(Level::Info, "pool.ending").with("pool", running->pool.name);
  std::vector<RequestForwarder*> successors;
  for (RunningPool* one : added) {
    if (site::share_endpoints(one->pool, running->pool)) successors.push_back(one->forwarder.get());
  }
  running->forwarder->retire(successors);
  retired_.push_back(std::move(running));
  if (retired_.size() == 1) delete_finished_pools();
}

void Server::delete_finished_pools() {
  std::erase_if(retired_,
                [](const std::unique_ptr<RunningPool>& one) { return one->forwarder->can_be_destroyed(); });
  if (!retired_.empty())
    loop().at(loop().now() + kFinishedPoolCheckInterval, alive_.guard([this] { delete_finished_pools(); }));
}

// ---- draining

Lifecycle::DrainLimits Server::drain_limits() const {
  DrainLimits limits;
  limits.kill_timeout_s = kill_timeout_;
  for (const RequestClass& request_class : router_.site().request_classes) {
    limits.longest_client_timeout_s =
        std::max(limits.longest_client_timeout_s, request_class.client_timeout_s);
    limits.longest_latency_objective_s =
        std::max(limits.longest_latency_objective_s, request_class.latency_objective_s);
  }
  return limits;
}

void Server::on_draining(double deadline_s) {
  loop().log().event(Level::Info, "site.leaving").with("site", router_.site().name);
  drain_deadline_ = deadline_s;
  for (auto& [name, running] : pools_) running->forwarder->begin_shutdown(deadline_s);
  for (auto& running : retired_) running->forwarder->begin_shutdown(deadline_s);
}

void Server::stop_listening() {
  for (OpenListener& one : listeners_) one.listener->close();
}

void Server::on_stopped() {
  for (auto& [name, running] : pools_) {
    if (running->watch) running->watch->close();
  }
  loop().log().event(Level::Info, "site.gone").with("site", router_.site().name);
}

// ---- requests

std::string_view Server::listener_name(int id) const {
  for (const OpenListener& one : listeners_) {
    if (one.listener->id() == id) return one.configured.name;
  }
  return {};  // The listener is closed; its last requests only match routes that apply to any listener.
}

std::string Server::new_request_id() {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  for (int half = 0; half < 2; ++half) {
    std::uint64_t bits = random_();
    for (int i = 0; i < 16; ++i, bits >>= 4) id += kDigits[bits & 15];
  }
  return id;
}

void Server::on_request(DownstreamConnection& downstream, HttpMessage request) {
  if (request.method == "CONNECT")
    return downstream.respond(405, nullptr, "", "CONNECT is not served\n", true);
  if (request.header_count("Host") > 1)
    return downstream.respond(400, nullptr, "", "one Host, not two\n", true);
  fields_.clear();
  for (const HeaderField& header : request.headers) fields_.push_back({header.name, header.value});
  routing::RequestHead head{listener_name(downstream.listener()), request.method, request.header("Host"),
                            request.target, fields_};
  routing::Decision decision = router_.decide(head, double(random_() >> 11) * 0x1p-53);
  using Kind = routing::Decision::Kind;
  switch (decision.kind) {
    case Kind::BadTarget:
      return downstream.respond(400, nullptr, "", "a path with . or .. is not served\n", true);
    case Kind::NoRoute:
      if (request.target == "/healthz" && request.method == "GET")
        return downstream.respond(drain_deadline_ ? 503 : 200, nullptr, "",
                                  drain_deadline_ ? "leaving\n" : "ready\n", false);
      return downstream.respond(404, nullptr, "", "no route leads there\n", false);
    case Kind::FixedResponse: {
      const site::Answer& answer = router_.site().routes[std::size_t(decision.route)].answer;
      std::string headers = answer.location.empty() ? "" : "Location: " + answer.location + "\r\n";
      return downstream.respond(answer.status, nullptr, headers,
                                answer.text.empty() ? "" : answer.text + "\n", false);
    }
    case Kind::Forward: return forward(downstream, std::move(request), decision);
  }
}

void Server::forward(DownstreamConnection& downstream, HttpMessage request,
                     const routing::Decision& decision) {
  RequestForwarder& forwarder = *pools_by_index_[std::size_t(decision.pool)]->forwarder;
  const RequestClass& request_class =
      *forwarder.find_class(router_.site().request_classes[std::size_t(decision.request_class)].name);
  int ids = request.header_count(kRequestIdHeader);
  // Endpoints tell requests apart by their id, so a request without one gets one.
  if (ids == 0) request.headers.add(kRequestIdHeader, new_request_id());
  std::string_view id = request.header(kRequestIdHeader);
  if (id.empty() || ids > 1 || forwarder.is_id_in_use(id))
    return downstream.respond(400, nullptr, "", "X-Correlation-Id has to be new, if it is there\n", true);
  std::optional<double> time_left = remaining_deadline_of(request, request_class.client_timeout_s);
  if (!time_left) return downstream.respond(400, nullptr, "", "X-Time-Left is no number with m or u\n", true);
  if (decision.target) request.target = *decision.target;
  forwarder.forward(downstream, std::move(request), request_class, *time_left);
}

// ---- the program

int run_site(const std::string& file, const std::string& level, bool json_log, double kill_timeout) {
  ProcessLog process_log(STDOUT_FILENO, parse_log_level(level),
                         json_log ? LogFormat::Json : LogFormat::Plain);
  Log& log = process_log.log();
  auto read = [file, &log](std::string& why) -> std::optional<site::Site> {
    language::DiskFileSource disk;
    language::ReadResult reading = language::read_site(file, disk);
    if (!reading.found) {
      why = file + ": can't be read";
      return std::nullopt;
    }
    if (reading.diagnostics.empty()) return std::move(reading.site);
    for (const language::Diagnostic& message : reading.diagnostics.sorted()) {
      log.event(Level::Error, "site.fault")
          .with("file", reading.sources.path(message.location.file))
          .with("line", message.location.line)
          .with("column", message.location.column)
          .with("text", message.text)
          .with("fix", message.fix);
    }
    why = file + " has " + std::to_string(reading.diagnostics.count()) +
          (reading.diagnostics.count() == 1 ? " fault" : " faults");
    return std::nullopt;
  };
  return run_program(process_log, [&](std::unique_ptr<Loop>& loop) -> std::unique_ptr<Lifecycle> {
    std::string why;
    std::optional<site::Site> site = read(why);
    if (!site) throw std::runtime_error(why);
    loop = std::make_unique<Loop>(log, site->limits.descriptors);
    return std::make_unique<Server>(*loop, std::move(*site), read, std::random_device()(), make_policy,
                                    kill_timeout);
  });
}

}  // namespace puffinvane::serving
