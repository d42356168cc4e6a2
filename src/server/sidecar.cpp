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
constexpr double kDrainLook = 0.05;  // seconds
// What discovery's agent has counts as told from the first moment; it answers at once, unless discovery is
// down.
constexpr double kFirstList = 0.3;
constexpr double kShareLook = 0.25;
constexpr double kReadAgain = 0.05;  // seconds, where the system had no descriptor for it, say
constexpr double kListenRetry = 0.02;
constexpr double kFresh = 0.2;  // a connection younger than that may have its first request on the way
constexpr std::size_t kBufferShare = 2;  // of the memory: the rest is for the module, GLib and the heap

PolicyFactory watching(const std::optional<Deployment>& shadow, Differences& counted, PolicyFactory make) {
  if (!shadow) return make;
  return [&shadow, &counted, make](double now, Deployment acting, std::uint64_t seed, Host& host) {
    return std::make_unique<ShadowPolicy>(now, std::move(acting), *shadow, seed, host, counted, make);
  };
}
}  // namespace

Sidecar::Sidecar(Loop& loop, SidecarConfig assignment, std::string assigned_in, PolicyFactory make,
                 Takeover takeover)
    : Lifecycle(loop),
      assignment_(std::move(assignment)),
      assigned_in_(std::move(assigned_in)),
      limiter_(loop, assignment_.memory / kBufferShare),
      forwarder_(loop, limiter_, assignment_.deployment, assignment_.seed,
                 watching(assignment_.shadow, differences_, make),
                 ForwarderOptions{false, HttpReader::kMaxBodyBytes, "", true}),
      downstream_(loop, limiter_, *this, HttpReader::kMaxBodyBytes, 0, HttpReader::kMaxStreamedBodyBytes),
      listener_(loop, downstream_),
      watch_(loop, forwarder_, starts_,
             DiscoveryWatch::Options{.address = assignment_.discovery,
                                     .held_index = assignment_.known.index,
                                     .mode = assignment_.discovery_mode,
                                     .backoff_seed = assignment_.seed}),
      operations_(*this),
      takeover_(std::move(takeover)) {
  downstream_.set_longest_client_timeout(drain_limits().longest_client_timeout_s);
  if (assignment_.fleet)
    fleet_.emplace(loop, *assignment_.fleet, Loop::unix_offset(), assignment_.seed,
                   static_cast<fleet::Fleet::Owner&>(*this));
  if (assignment_.admin.empty()) return;
  has_predecessor_ = takeover_.predecessor != nullptr;
  if (has_predecessor_) limiter_.share_limits(true);
  hot_restart_.emplace(loop, static_cast<HotRestart::Owner&>(*this), control_path(assignment_.listen),
                       std::move(takeover_.predecessor));
  admin_.emplace(loop, limiter_, operations_, static_cast<AdminApi::Owner&>(*this));
}

void Sidecar::start() {
  started_ = loop().now();
  on_operator_overrides(takeover_.overrides);
  if (takeover_.list && takeover_.list->has_start_times) starts_.import_start_times(*takeover_.list);
  starts_.set_cached_start_times(assignment_.known, started_, {Loop::unix_offset(), {}});
  forwarder_.load_cached_list(assignment_.known);
  watch_.start();
  open_listeners();
}

// The process before this one may not be gone yet: told to end it stays until its SIGKILL, and of one that
// was killed the sockets are there for a moment more.
void Sidecar::open_listeners() {
  try {
    if (admin_ && admin_->shut()) admin_->open(assignment_.admin);
    if (takeover_.listener) listener_.adopt(std::move(takeover_.listener));
    else listener_.open(assignment_.listen, admin_ ? Listener::Beside::Another : Listener::Beside::Nobody);
  } catch (const Listener::NotNow&) {
    if (loop().now() > started_ + kKillTimeoutSeconds) throw;
    return loop().at(loop().now() + kListenRetry, alive_.guard([this] { try_listeners(); }));
  }
  if (fleet_) has_predecessor_ ? fleet_->open_in_turn() : fleet_->open(), look_at_shares();
  on_listeners_open();
  if (hot_restart_) hot_restart_->on_serving();
}

void Sidecar::try_listeners() {
  try {
    open_listeners();
  } catch (const std::runtime_error& fault) {
    fail(fault.what());  // the loop is no place to throw through
  }
}

void Sidecar::on_serving() {
  serving_ = true;
  if (fleet_) fleet_->serving();
  loop().log().info() << assignment_.name << " serves tier " << assignment_.deployment.tier << " at "
                      << assignment_.listen << ", " << assignment_.known.entries.size() << " endpoints known";
}

void Sidecar::reload_settings() {
  try {
    std::string discovery = load_sidecar_config(assigned_in_.c_str(), OnWant::Throw).discovery;
    // Asked for at what is no address nobody would answer, and the discovery that did was given up for it.
    if (!parse_address(discovery)) throw Malformed("'discovery' is not an address and port: " + discovery);
    loop().log().info() << assignment_.name << " reads its file anew, discovery at " << discovery;
    assignment_.discovery = discovery;
    watch_.change_address(discovery);
    unread_ = 0;
  } catch (const NotReadNow& fault) {
    if (unread_++ == 0)
      loop().log().warning() << assignment_.name << " reads its file later: " << fault.what();
    loop().at(loop().now() + kReadAgain, alive_.guard([this] { reload_settings(); }));
  } catch (const std::exception& fault) {
    unread_ = 0;
    // Whoever wrote it can't see that it was no use but here; the pending requests must not pay for it.
    loop().log().warning() << assignment_.name << " keeps what it had: " << fault.what();
  }
}

Lifecycle::DrainLimits Sidecar::drain_limits() const {
  DrainLimits limits;
  for (const RequestClass& request_class : assignment_.deployment.request_classes) {
    limits.longest_client_timeout_s =
        std::max(limits.longest_client_timeout_s, request_class.client_timeout_s);
    limits.longest_latency_objective_s =
        std::max(limits.longest_latency_objective_s, request_class.latency_objective_s);
  }
  return limits;
}

void Sidecar::on_draining(double deadline_s) {
  loop().log().info() << assignment_.name << " leaves";
  leaving_ = true;
  if (fleet_) has_successor() ? fleet_->let_go() : fleet_->leaving();
  forwarder_.begin_shutdown(deadline_s);
}

void Sidecar::on_stopped() {
  loop().log().info() << assignment_.name << " is gone";
  watch_.close();
  if (fleet_) fleet_->close();
}

void Sidecar::stop(std::string_view endpoint) {
  loop().log().info() << "endpoint " << endpoint << " is excluded";
  forwarder_.exclude_endpoint(endpoint);
}

void Sidecar::use_again(std::string_view endpoint, double out_since) {
  loop().log().info() << "endpoint " << endpoint << " is included again";
  forwarder_.include_endpoint(endpoint, out_since);
}

void Sidecar::on_override() {
  look_at_drain();
  if (hot_restart_) hot_restart_->send_operator_overrides();
}

void Sidecar::on_operator_overrides(const OperatorOverrides& overrides) {
  operations_.take_over(overrides.excluded_since_s, overrides.evacuated_since_s);
  look_at_drain();
}

EndpointList Sidecar::endpoint_list() const {
  EndpointList list = forwarder_.endpoint_list();
  starts_.export_start_times(list);
  return list;
}

// Until then it would send by the list that it knows from before, to who may have left since.
bool Sidecar::informed() const {
  return watch_.has_received_list() || takeover_.list || loop().now() - started_ > kFirstList;
}

void Sidecar::hand_over_connections() {
  // It died before it had all: the front finds the others, and who is connected hears that this was the last.
  if (!has_successor()) return downstream_.close_after_responses(true), downstream_.close_idle();
  downstream_.hand_over([this](GSocket* connection, bool asked) {
    const ConnectionHistory history = asked ? ConnectionHistory::Used : ConnectionHistory::Unused;
    return hot_restart_->try_send_connection(connection, history);
  });
}

void Sidecar::look_at_drain() {
  operations_.pass_time(loop().now());
  // Nobody comes to it: its part of the endpoints is the others'.
  if (fleet_ && serving_ && !leaving_) operations_.drains() ? fleet_->leaving() : fleet_->serving();
  if (operations_.closes_idle()) downstream_.close_idle(kFresh);
  if (looking_ || !operations_.drains()) return;
  looking_ = true;
  loop().at(loop().now() + kDrainLook, alive_.guard([this] { looking_ = false, look_at_drain(); }));
}

// Not at each change: what comes in one rumour is cut for once.
void Sidecar::look_at_shares() {
  loop().at(loop().now() + kShareLook, alive_.guard([this] { look_at_shares(); }));
  if (leaving_ || (!members_changed_ && shared_list_ == forwarder_.list_index())) return;
  EndpointList list = forwarder_.endpoint_list();
  members_changed_ = false, shared_list_ = list.index;
  std::vector<fleet::Sharer> endpoints;
  for (const ListEntry& entry : list.entries) {
    if (entry.state == ListedState::Ready) endpoints.push_back({entry.endpoint, entry.weight});
  }
  part_ = fleet_->part(endpoints);
  if (part_ && !part_->endpoints.empty())
    forwarder_.set_endpoint_shares(part_->endpoints, part_->place, part_->sidecars);
}

std::string Sidecar::telemetry() const {
  return write_telemetry(forwarder_.deployment().request_classes, forwarder_.counters(),
                         {forwarder_.active_request_count(), forwarder_.listed_endpoint_count(),
                          forwarder_.avoided_endpoint_count()},
                         log().dropped_lines()) +
         (fleet_ ? write_telemetry(fleet_->figures()) : "");
}

void Sidecar::on_request(DownstreamConnection& downstream, HttpMessage request) {
  if (request.target == "/healthz" && request.method == "GET") {
    bool takes = (!leaving_ || has_successor()) && !operations_.drains() && informed();
    return downstream.respond(takes ? 200 : 503, nullptr, "", takes ? "ready\n" : "leaving\n", false);
  }
  if (request.target == "/watch" && request.method == "GET" && assignment_.shadow)
    return downstream.respond(200, nullptr, "", write_differences(differences_), false);
  if (request.method == "HEAD" || request.method == "CONNECT")
    return downstream.respond(405, nullptr, "Allow: GET, POST\r\n", "", true);
  const RequestClass* request_class = forwarder_.find_class(request_class_of(request.target));
  if (!request_class) return downstream.respond(404, nullptr, "", "no such path prefix\n", true);
  std::string_view id = request.header(kRequestIdHeader);
  std::optional<double> time_left = remaining_deadline_of(request, request_class->client_timeout_s);
  bool named =
      !id.empty() && request.header_count(kRequestIdHeader) == 1 && !forwarder_.has_pending_request(id);
  if (!named || !time_left) forwarder_.record_invalid_request(*request_class);
  if (!named)
    return downstream.respond(400, nullptr, "", "X-Correlation-Id has to be there, once and new\n", true);
  if (!time_left) return downstream.respond(400, nullptr, "", "X-Time-Left is no number with m or u\n", true);
  forwarder_.forward(downstream, std::move(request), *request_class, *time_left);
}

}  // namespace puffinvane
