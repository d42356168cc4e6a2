#include "src/server/sidecar.h"

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <utility>

#include "src/admin/telemetry.h"
#include "src/hot_restart/control_address.h"
#include "src/http/headers.h"

namespace puffinvane {

namespace {
constexpr double kDrainUpdateInterval = 0.05;  // seconds
// Seconds after the start in which discovery's first list is awaited. Discovery counts an instance as
// notified from its start, and its agent answers at once unless discovery is down.
constexpr double kFirstListTimeout = 0.3;
constexpr double kShareUpdateInterval = 0.25;
// Seconds before the configuration file is read again, for example if the system was out of descriptors.
constexpr double kReloadRetryInterval = 0.05;
constexpr double kListenRetryInterval = 0.02;
// Seconds. The first request on a connection younger than this may be on its way.
constexpr double kMinIdleAge = 0.2;

std::optional<std::int64_t> index_if_listed(const EndpointList& known) {
  if (known.entries.empty()) return std::nullopt;
  return known.index;
}

// Wraps the policies that `make` creates in a shadow policy, if there are settings for one.
PolicyFactory with_shadow_policy(const std::optional<Deployment>& shadow, Differences& differences,
                                 PolicyFactory make) {
  if (!shadow) return make;
  return [&shadow, &differences, make](double now, Deployment acting, std::uint64_t seed, Host& host) {
    return std::make_unique<ShadowPolicy>(now, std::move(acting), *shadow, seed, host, differences, make);
  };
}
}  // namespace

Sidecar::Sidecar(Loop& loop, SidecarConfig config, std::string config_path, PolicyFactory make,
                 Takeover takeover)
    : Lifecycle(loop),
      config_(std::move(config)),
      config_path_(std::move(config_path)),
      limiter_(loop, config_.memory),
      forwarder_(loop, limiter_, config_.deployment, config_.seed,
                 with_shadow_policy(config_.shadow, differences_, make),
                 ForwarderOptions{false, HttpReader::kMaxBodyBytes, "", true}),
      downstream_(loop, limiter_, *this, HttpReader::kMaxBodyBytes, 0, HttpReader::kMaxStreamedBodyBytes),
      listener_(loop, downstream_),
      watch_(loop, forwarder_, starts_,
             DiscoveryWatch::Options{.address = config_.discovery,
                                     .held_index = index_if_listed(config_.known),
                                     .mode = config_.discovery_mode,
                                     .backoff_seed = config_.seed}),
      overrides_(*this),
      takeover_(std::move(takeover)) {
  downstream_.set_longest_client_timeout(drain_limits().longest_client_timeout_s);
  if (config_.fleet)
    fleet_.emplace(loop, *config_.fleet, Loop::unix_offset(), config_.seed,
                   static_cast<fleet::Fleet::Owner&>(*this));
  if (config_.admin.empty()) return;
  has_predecessor_ = takeover_.predecessor != nullptr;
  if (has_predecessor_) limiter_.share_limits(true);
  hot_restart_.emplace(loop, static_cast<HotRestart::Owner&>(*this), control_socket_path(config_.listen),
                       std::move(takeover_.predecessor));
  forwarder_.set_sent_request_observer(
      [this](std::uint64_t id_hash) { hot_restart_->note_sent_request(id_hash); });
  admin_.emplace(loop, limiter_, overrides_, static_cast<AdminApi::Owner&>(*this));
}

void Sidecar::start() {
  started_ = loop().now();
  on_operator_overrides(takeover_.overrides);
  if (takeover_.list && takeover_.list->has_start_times) starts_.import_start_times(*takeover_.list);
  starts_.set_cached_start_times(config_.known, started_, {Loop::unix_offset(), {}});
  forwarder_.load_cached_list(config_.known);
  watch_.start();
  open_listeners();
}

// Retries while the address is in use: a process that was told to end may run until its SIGKILL, and the
// sockets of a killed process exist for a moment longer.
void Sidecar::open_listeners() {
  try {
    if (admin_ && admin_->is_closed()) admin_->open(config_.admin);
    if (takeover_.listener) listener_.adopt(std::move(takeover_.listener));
    else
      listener_.open(config_.listen,
                     admin_ ? Listener::PortSharing::Shared : Listener::PortSharing::Exclusive);
  } catch (const Listener::NotAvailableNow&) {
    if (loop().now() > started_ + kKillTimeoutSeconds) throw;
    loop().at(loop().now() + kListenRetryInterval, alive_.guard([this] { try_listeners(); }));
    return;
  }
  if (fleet_) {
    has_predecessor_ ? fleet_->open_with_retry() : fleet_->open();
    update_endpoint_shares();
  }
  on_listeners_open();
  if (hot_restart_) hot_restart_->on_serving();
}

void Sidecar::try_listeners() {
  try {
    open_listeners();
  } catch (const std::runtime_error& error) {
    fail(error.what());  // an exception must not leave a callback of the loop
  }
}

void Sidecar::on_serving() {
  serving_ = true;
  if (fleet_) fleet_->announce_serving();
  loop().log().info() << config_.name << " serves tier " << config_.deployment.tier << " at "
                      << config_.listen << ", " << config_.known.entries.size() << " endpoints known";
}

void Sidecar::reload_settings() {
  try {
    std::string discovery = load_sidecar_config(config_path_.c_str(), OnShortage::Throw).discovery;
    // An invalid address would replace one at which discovery answers.
    if (!parse_address(discovery)) throw Malformed("'discovery' is not an address and port: " + discovery);
    loop().log().info() << config_.name << " reloads its configuration, discovery at " << discovery;
    config_.discovery = discovery;
    watch_.change_address(discovery);
    failed_reads_ = 0;
  } catch (const TemporarilyUnreadable& error) {
    if (failed_reads_++ == 0)
      loop().log().warning() << config_.name
                             << " can't read its configuration now and will retry: " << error.what();
    loop().at(loop().now() + kReloadRetryInterval, alive_.guard([this] { reload_settings(); }));
  } catch (const std::exception& error) {
    failed_reads_ = 0;
    // The process goes on with its previous configuration; this line is the only sign of the error.
    loop().log().warning() << config_.name << " keeps its previous configuration: " << error.what();
  }
}

Lifecycle::DrainLimits Sidecar::drain_limits() const {
  DrainLimits limits;
  for (const RequestClass& request_class : config_.deployment.request_classes) {
    limits.longest_client_timeout_s =
        std::max(limits.longest_client_timeout_s, request_class.client_timeout_s);
    limits.longest_latency_objective_s =
        std::max(limits.longest_latency_objective_s, request_class.latency_objective_s);
  }
  return limits;
}

void Sidecar::on_draining(double deadline_s) {
  loop().log().info() << config_.name << " is draining";
  draining_ = true;
  if (fleet_) has_successor() ? fleet_->close_without_departing() : fleet_->announce_leaving();
  forwarder_.begin_shutdown(deadline_s);
}

void Sidecar::on_stopped() {
  loop().log().info() << config_.name << " has stopped";
  watch_.close();
  if (fleet_) fleet_->close();
}

void Sidecar::exclude_endpoint(std::string_view endpoint) {
  loop().log().info() << "endpoint " << endpoint << " is excluded";
  forwarder_.exclude_endpoint(endpoint);
}

void Sidecar::include_endpoint(std::string_view endpoint, double excluded_since) {
  loop().log().info() << "endpoint " << endpoint << " is included again";
  forwarder_.include_endpoint(endpoint, excluded_since);
}

void Sidecar::on_override(const OperatorOrder& order) {
  update_drain();
  if (hot_restart_) hot_restart_->send_operator_order(order);
}

void Sidecar::on_operator_order(const OperatorOrder& order) {
  overrides_.apply(order);
  update_drain();
}

void Sidecar::on_operator_overrides(const OperatorOverrides& overrides) {
  overrides_.replace_with(overrides.excluded_since_s, overrides.evacuated_since_s);
  update_drain();
}

EndpointList Sidecar::endpoint_list() const {
  EndpointList list = forwarder_.endpoint_list();
  starts_.export_start_times(list);
  return list;
}

// Without a current list requests would go to endpoints known from before, which may be gone.
bool Sidecar::has_current_list() const {
  return watch_.has_received_list() || takeover_.list || loop().now() - started_ > kFirstListTimeout;
}

void Sidecar::hand_over_connections() {
  // The successor has ended before it received all connections. Clients are told to connect again, and the
  // platform routes them to other instances.
  if (!has_successor()) {
    downstream_.close_after_responses(true);
    downstream_.close_idle();
    return;
  }
  downstream_.hand_over([this](GSocket* connection, bool was_used) {
    const ConnectionHistory history = was_used ? ConnectionHistory::Used : ConnectionHistory::Unused;
    return hot_restart_->try_send_connection(connection, history);
  });
}

void Sidecar::update_drain() {
  overrides_.advance(loop().now());
  // A draining instance gets no new clients, so its share of the endpoints goes to the other members.
  if (fleet_ && serving_ && !draining_)
    overrides_.is_draining() ? fleet_->announce_leaving() : fleet_->announce_serving();
  if (overrides_.closes_idle_connections()) downstream_.close_idle(kMinIdleAge);
  if (drain_update_scheduled_ || !overrides_.is_draining()) return;
  drain_update_scheduled_ = true;
  loop().at(loop().now() + kDrainUpdateInterval, alive_.guard([this] {
    drain_update_scheduled_ = false;
    update_drain();
  }));
}

// Runs at an interval, so that several membership changes that arrive together cause one update.
void Sidecar::update_endpoint_shares() {
  loop().at(loop().now() + kShareUpdateInterval, alive_.guard([this] { update_endpoint_shares(); }));
  if (draining_ || (!members_changed_ && shared_list_index_ == forwarder_.list_index())) return;
  EndpointList list = forwarder_.endpoint_list();
  members_changed_ = false;
  shared_list_index_ = list.index;
  std::vector<fleet::Participant> endpoints;
  for (const ListEntry& entry : list.entries) {
    if (entry.state == ListedState::Ready) endpoints.push_back({entry.endpoint, entry.weight});
  }
  part_ = fleet_->own_share(endpoints);
  if (part_ && !part_->own_weights.empty())
    forwarder_.set_endpoint_shares(part_->own_weights, part_->instance_index, part_->instance_count);
}

std::string Sidecar::metrics() const {
  return write_telemetry(forwarder_.deployment().request_classes, forwarder_.counters(),
                         {forwarder_.active_request_count(), forwarder_.listed_endpoint_count(),
                          forwarder_.avoided_endpoint_count(), forwarder_.list_index(), watch_.status(),
                          limiter_.buffer_bytes(), downstream_.rejected_for_memory()},
                         log().dropped_lines()) +
         (fleet_ ? write_telemetry(fleet_->metrics()) : "");
}

void Sidecar::on_request(DownstreamConnection& downstream, HttpMessage request) {
  if (request.target == "/healthz" && request.method == "GET") {
    bool accepts = (!draining_ || has_successor()) && !overrides_.is_draining() && has_current_list();
    return downstream.respond(accepts ? 200 : 503, nullptr, "", accepts ? "ready\n" : "leaving\n", false);
  }
  if (request.target == "/watch" && request.method == "GET" && config_.shadow)
    return downstream.respond(200, nullptr, "", write_differences(differences_), false);
  if (request.method == "HEAD" || request.method == "CONNECT")
    return downstream.respond(405, nullptr, "Allow: GET, POST\r\n", "", true);
  const RequestClass* request_class = forwarder_.find_class(request_class_of(request.target));
  if (!request_class) return downstream.respond(404, nullptr, "", "no such path prefix\n", true);
  std::string_view id = request.header(kRequestIdHeader);
  std::optional<double> time_left = remaining_deadline_of(request, request_class->client_timeout_s);
  bool has_valid_id =
      !id.empty() && request.header_count(kRequestIdHeader) == 1 && !forwarder_.is_id_in_use(id);
  if (!has_valid_id || !time_left) forwarder_.record_invalid_request(*request_class);
  if (!has_valid_id)
    return downstream.respond(400, nullptr, "", "X-Correlation-Id has to be there, once and new\n", true);
  if (!time_left) return downstream.respond(400, nullptr, "", "X-Time-Left is no number with m or u\n", true);
  forwarder_.forward(downstream, std::move(request), *request_class, *time_left);
}

}  // namespace puffinvane
