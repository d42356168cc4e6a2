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
constexpr std::size_t kBufferShare = 2;  // of the memory: the rest is for the modules, GLib and the heap
constexpr double kLookAtRetired = 0.1;
// For want of descriptors a listener is tried again so often, and for five seconds: one is ready within ten.
constexpr double kTryAgain = 0.05;
constexpr int kMostTries = 100;

std::shared_ptr<const site::Site> shared(site::Site site) {
  return std::make_shared<const site::Site>(std::move(site));
}

EndpointList list_of(const site::Pool& pool, const std::map<std::string, double>& since) {
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

void Server::Running::on_endpoint_list(const EndpointList& list) {
  if (list.is_snapshot) listed.clear();
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const ListEntry& entry = list.entries[i];
    if (entry.state == ListedState::Removed) listed.erase(entry.endpoint);
    else listed.insert_or_assign(entry.endpoint, std::pair(entry, list.addresses[i]));
  }
  forwarder->on_endpoint_list(list);
}

EndpointList Server::Running::known() const {
  EndpointList list;
  list.is_snapshot = true;
  for (const auto& [name, one] : listed)
    list.entries.push_back(one.first), list.addresses.push_back(one.second);
  return list;
}

Server::Server(Loop& loop, site::Site site, Read read, std::uint64_t seed, PolicyFactory make,
               double killed_after)
    : Lifecycle(loop),
      read_(std::move(read)),
      make_(make),
      chance_(seed),
      router_(shared(std::move(site))),
      version_(site::version(router_.site())),
      killed_after_(killed_after),
      limiter_(loop, router_.site().limits.memory / kBufferShare),
      downstream_(loop, limiter_, *this, router_.site().limits.body) {
  downstream_.set_longest_client_timeout(drain_limits().longest_client_timeout_s);
}

void Server::start() {
  try {
    open_listeners(router_.site());
  } catch (const std::runtime_error& fault) {
    const bool want = dynamic_cast<const Listener::LocalShortage*>(&fault) != nullptr;
    if (!want && tries_ == 0) throw;
    if (!want || ++tries_ > kMostTries) return fail(fault.what());  // the loop is no place to throw through
    return loop().at(loop().now() + kTryAgain, alive_.guard([this] { start(); }));
  }
  tries_ = 0;
  set_pools(router_.site());
  on_listeners_open();
}

void Server::on_serving() {
  for (const Opened& one : listeners_) {
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

// ---- versions

void Server::reload_settings() {
  std::string why;
  std::optional<site::Site> read = read_(why);
  try {
    if (!read) throw std::runtime_error(why);
    if (read->limits.descriptors != router_.site().limits.descriptors ||
        read->limits.memory != router_.site().limits.memory ||
        read->limits.body != router_.site().limits.body)
      throw std::runtime_error("descriptors, memory and body are taken at the start only");
    routing::Router next(shared(std::move(*read)));
    if (!gone_) open_listeners(next.site());  // the one step that others can make fail
    std::string before = std::exchange(version_, site::version(next.site()));
    std::size_t changes = site::differences(router_.site(), next.site()).size();
    set_pools(next.site());
    if (!gone_) close_listeners(next.site());  // once it leaves, all of them are closed or about to be
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
    tries_ = 0;
  } catch (const std::exception& fault) {
    if (dynamic_cast<const Listener::LocalShortage*>(&fault) && ++tries_ <= kMostTries)
      return loop().at(loop().now() + kTryAgain, alive_.guard([this] { reload_settings(); }));
    tries_ = 0;
    loop().log().event(Level::Warning, "site.kept").with("version", version_).with("why", fault.what());
  }
}

void Server::open_listeners(const site::Site& site) {
  std::vector<Opened> fresh;
  for (const site::Listener& configured : site.listeners) {
    auto same = std::find_if(listeners_.begin(), listeners_.end(),
                             [&](const Opened& one) { return one.configured.address == configured.address; });
    if (same != listeners_.end()) continue;
    fresh.push_back({configured, std::make_unique<Listener>(loop(), downstream_,
                                                            last_listener_ + 1 + int(fresh.size()))});
    fresh.back().listener->open(configured.address);
  }
  last_listener_ += int(fresh.size());
  std::move(fresh.begin(), fresh.end(), std::back_inserter(listeners_));
}

void Server::close_listeners(const site::Site& site) {
  for (Opened& one : listeners_) {
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
    downstream_.close_listener(one.listener->number());
    one.listener.reset();
  }
  std::erase_if(listeners_, [](const Opened& one) { return !one.listener; });
}

void Server::set_pools(const site::Site& site) {
  before_ = std::exchange(pools_, {});
  by_place_.clear();
  std::vector<Running*> fresh;
  for (const site::Pool& pool : site.pools) {
    Deployment deployment = site::deployment_of(site, pool);
    std::unique_ptr<Running> running;
    auto old = before_.find(pool.name);
    bool stays = old != before_.end() && old->second->forwarder->deployment() == deployment;
    if (stays) {
      running = std::move(old->second);
    } else {
      running = std::make_unique<Running>();
      ForwarderOptions options{true, site.limits.body, pool.name};
      running->forwarder =
          std::make_unique<RequestForwarder>(loop(), limiter_, deployment, chance_(), make_, options);
      if (gone_) running->forwarder->begin_shutdown(*gone_);
    }
    list(*running, pool, stays);
    Running* placed = pools_.emplace(pool.name, std::move(running)).first->second.get();
    if (!stays) fresh.push_back(placed);
    by_place_.push_back(placed);
  }
  inherit(fresh);
  for (auto& [name, running] : before_) {
    if (running) retire(std::move(running), fresh);
  }
  before_.clear();
}

// joins: to a pool that is at work already, whose new endpoints may be in slow start (rule 4).
void Server::list(Running& running, const site::Pool& pool, bool joins) {
  bool same_list =
      joins && running.pool.discovery == pool.discovery &&
      std::equal(running.pool.endpoints.begin(), running.pool.endpoints.end(), pool.endpoints.begin(),
                 pool.endpoints.end(), [](const site::Endpoint& one, const site::Endpoint& other) {
                   return site::identity_of(one) == site::identity_of(other) && one.zone == other.zone &&
                          one.cell == other.cell && one.size == other.size;
                 });
  running.pool = pool;
  if (same_list) return;
  if (pool.discovery.empty()) {
    running.watch.reset();
    // With fewer that stay than are new, those few would be pushed over in the place of the fresh.
    auto stay = std::count_if(pool.endpoints.begin(), pool.endpoints.end(), [&](const site::Endpoint& one) {
      return running.since.contains(site::identity_of(one));
    });
    bool fresh = joins && 2 * std::size_t(stay) >= pool.endpoints.size();
    std::map<std::string, double> since;
    for (const site::Endpoint& one : pool.endpoints) {
      auto known = running.since.find(site::identity_of(one));
      since[site::identity_of(one)] = known != running.since.end() ? known->second : fresh ? loop().now() : 0;
    }
    running.since = std::move(since);
    running.forwarder->on_endpoint_list(list_of(pool, running.since));
    return;
  }
  running.since.clear();
  // Until discovery has answered, what it told another pool holds: requests needn't wait for it.
  for (const auto* all : {&before_, &pools_}) {
    for (const auto& [name, other] : *all) {
      if (running.listed.empty() && other && other->pool.discovery == pool.discovery)
        running.listed = other->listed, running.starts = other->starts;
    }
  }
  if (!running.listed.empty()) running.forwarder->load_cached_list(running.known());
  if (joins) running.starts.on_source_changed();
  DiscoveryWatch::Options options;
  options.address = pool.discovery;
  options.backoff_seed = chance_();
  running.watch = std::make_unique<DiscoveryWatch>(loop(), running, running.starts, options);
  running.watch->start();
}

// Else every change of a value, and every pool that is split or renamed, would find out anew who is ill and
// how much is too much. What an ending pool carried is dealt evenly to the new ones that share its endpoints.
void Server::inherit(const std::vector<Running*>& fresh) {
  for (const auto& [name, old] : before_) {
    if (!old) continue;
    auto successors = std::count_if(fresh.begin(), fresh.end(), [&](const Running* one) {
      return site::share_endpoints(one->pool, old->pool);
    });
    for (Running* one : fresh) {
      if (site::share_endpoints(one->pool, old->pool))
        one->forwarder->import_learned_state(old->forwarder->export_learned_state(),
                                             1.0 / double(successors));
    }
  }
}

void Server::retire(std::unique_ptr<Running> running, const std::vector<Running*>& fresh) {
  loop().log().event(Level::Info, "pool.ending").with("pool", running->pool.name);
  std::vector<RequestForwarder*> successors;
  for (Running* one : fresh) {
    if (site::share_endpoints(one->pool, running->pool)) successors.push_back(one->forwarder.get());
  }
  running->forwarder->retire(successors);
  retired_.push_back(std::move(running));
  if (retired_.size() == 1) look_at_retired();
}

void Server::look_at_retired() {
  std::erase_if(retired_,
                [](const std::unique_ptr<Running>& one) { return one->forwarder->can_be_destroyed(); });
  if (!retired_.empty())
    loop().at(loop().now() + kLookAtRetired, alive_.guard([this] { look_at_retired(); }));
}

// ---- leaving

Lifecycle::DrainLimits Server::drain_limits() const {
  DrainLimits limits;
  limits.kill_timeout_s = killed_after_;
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
  gone_ = deadline_s;
  for (auto& [name, running] : pools_) running->forwarder->begin_shutdown(deadline_s);
  for (auto& running : retired_) running->forwarder->begin_shutdown(deadline_s);
}

void Server::stop_listening() {
  for (Opened& one : listeners_) one.listener->close();
}

void Server::on_stopped() {
  for (auto& [name, running] : pools_) {
    if (running->watch) running->watch->close();
  }
  loop().log().event(Level::Info, "site.gone").with("site", router_.site().name);
}

// ---- requests

std::string_view Server::listener_of(int listener) const {
  for (const Opened& one : listeners_) {
    if (one.listener->number() == listener) return one.configured.name;
  }
  return {};  // closed since: its last requests take the routes that any listener may take
}

std::string Server::new_request_id() {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  for (int half = 0; half < 2; ++half) {
    std::uint64_t bits = chance_();
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
  for (const Header& header : request.headers) fields_.push_back({header.name, header.value});
  routing::RequestHead asked{listener_of(downstream.listener()), request.method, request.header("Host"),
                             request.target, fields_};
  routing::Decision decision = router_.decide(asked, double(chance_() >> 11) * 0x1p-53);
  using Kind = routing::Decision::Kind;
  switch (decision.kind) {
    case Kind::BadTarget:
      return downstream.respond(400, nullptr, "", "a path with . or .. is not served\n", true);
    case Kind::NoRoute:
      if (request.target == "/healthz" && request.method == "GET")
        return downstream.respond(gone_ ? 503 : 200, nullptr, "", gone_ ? "leaving\n" : "ready\n", false);
      return downstream.respond(404, nullptr, "", "no route leads there\n", false);
    case Kind::FixedResponse: {
      const site::Answer& answer = router_.site().routes[std::size_t(decision.route)].answer;
      std::string headers = answer.location.empty() ? "" : "Location: " + answer.location + "\r\n";
      return downstream.respond(answer.status, nullptr, headers,
                                answer.text.empty() ? "" : answer.text + "\n", false);
    }
    case Kind::Forward: return take(downstream, std::move(request), decision);
  }
}

void Server::take(DownstreamConnection& downstream, HttpMessage request, const routing::Decision& decision) {
  RequestForwarder& forwarder = *by_place_[std::size_t(decision.pool)]->forwarder;
  const RequestClass& request_class =
      *forwarder.find_class(router_.site().request_classes[std::size_t(decision.request_class)].name);
  int ids = request.header_count(kRequestIdHeader);
  // Clients that know nothing of ids get one: endpoints tell requests apart by it.
  if (ids == 0) request.headers.push_back({std::string(kRequestIdHeader), new_request_id()});
  std::string_view id = request.header(kRequestIdHeader);
  if (id.empty() || ids > 1 || forwarder.has_pending_request(id))
    return downstream.respond(400, nullptr, "", "X-Correlation-Id has to be new, if it is there\n", true);
  std::optional<double> time_left = remaining_deadline_of(request, request_class.client_timeout_s);
  if (!time_left) return downstream.respond(400, nullptr, "", "X-Time-Left is no number with m or u\n", true);
  if (decision.target) request.target = *decision.target;
  forwarder.forward(downstream, std::move(request), request_class, *time_left);
}

// ---- the program

int run_site(const std::string& file, const std::string& level, bool json_log, double killed_after) {
  ProcessLog process_log(STDOUT_FILENO, parse_log_level(level),
                         json_log ? LogFormat::Json : LogFormat::Plain);
  Log& log = process_log.log();
  auto read = [file, &log](std::string& why) -> std::optional<site::Site> {
    language::Disk disk;
    language::Reading reading = language::read_site(file, disk);
    if (!reading.found) return why = file + ": can't be read", std::nullopt;
    if (reading.messages.none()) return std::move(reading.site);
    for (const language::Message& message : reading.messages.in_order()) {
      log.event(Level::Error, "site.fault")
          .with("file", reading.sources.path(message.place.file))
          .with("line", message.place.line)
          .with("column", message.place.column)
          .with("text", message.text)
          .with("fix", message.fix);
    }
    why = file + " has " + std::to_string(reading.messages.count()) +
          (reading.messages.count() == 1 ? " fault" : " faults");
    return std::nullopt;
  };
  return run_program(process_log, [&](std::unique_ptr<Loop>& loop) -> std::unique_ptr<Lifecycle> {
    std::string why;
    std::optional<site::Site> site = read(why);
    if (!site) throw std::runtime_error(why);
    loop = std::make_unique<Loop>(log, site->limits.descriptors);
    return std::make_unique<Server>(*loop, std::move(*site), read, std::random_device()(), make_policy,
                                    killed_after);
  });
}

}  // namespace puffinvane::serving
