#include "tools/load_test/world/clients.h"

#include <algorithm>
#include <cstdlib>

namespace load_test {

namespace {
// The work of a heavy request is up to this multiple of the usual work.
constexpr double kHeavyWorkFactor = 10;
// Seconds within which a client with an invalid request has to get an error or a close.
constexpr double kInvalidClientTimeout = 3;
constexpr double kInvalidClientSlack = 0.3;
}  // namespace

std::vector<Arrival> generate_arrivals(const Scenario& scenario, std::uint64_t seed) {
  RandomSource random(seed, 5);
  std::vector<Arrival> arrivals;
  auto rate_at = [&](double at) {
    double rate = scenario.clients.rate;
    for (const Fault& fault : scenario.faults) {
      if (fault.kind == FaultKind::Burst && at >= fault.at && at < fault.at + fault.duration)
        rate *= fault.factor;
    }
    return rate;
  };
  double highest = scenario.clients.rate;
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == FaultKind::Burst) highest *= fault.factor;
  }
  if (highest <= 0) return arrivals;
  for (double at = random.exponential(highest); at < scenario.length; at += random.exponential(highest)) {
    if (!random.with_probability(rate_at(at) / highest)) continue;
    Arrival arrival;
    arrival.at = at;
    arrival.request_class = int(random.weighted_index(
        scenario.request_classes, [](const ClassPlan& request_class) { return request_class.share; }));
    arrival.tenant =
        int(random.weighted_index(scenario.tenants, [](const TenantPlan& tenant) { return tenant.share; }));
    arrival.work = random.uniform_in(scenario.request_classes[std::size_t(arrival.request_class)].work);
    if (random.with_probability(scenario.clients.heavy_share))
      arrival.work *= kHeavyWorkFactor * random.uniform();
    if (random.with_probability(scenario.clients.leave_share))
      arrival.leaves_after =
          0.001 +
          random.uniform() * scenario.request_classes[std::size_t(arrival.request_class)].latency_objective;
    arrival.sidecar_choice = random.uniform();
    arrivals.push_back(arrival);
  }
  return arrivals;
}

std::uint64_t schedule_hash(const std::vector<Arrival>& arrivals, const Scenario& scenario) {
  std::uint64_t hash = 1469598103934665603u;  // FNV-1a
  auto add = [&](double value) {
    for (auto bits = std::uint64_t(value * 1e6); bits; bits >>= 8)
      hash = (hash ^ (bits & 255)) * 1099511628211u;
  };
  for (const Arrival& arrival : arrivals) {
    add(arrival.at);
    add(arrival.request_class);
    add(arrival.tenant);
    add(arrival.work);
    add(arrival.leaves_after);
    add(arrival.sidecar_choice);
  }
  for (const Fault& fault : scenario.faults) {
    add(int(fault.kind) + 1);
    add(fault.at);
    add(fault.duration);
    add(fault.factor);
    add(fault.share);
  }
  return hash;
}

struct Clients::Request {
  Arrival arrival;
  double due_at = 0;
  int tries = 0, unreachable = 0;
  std::string key, request;
  SidecarClient* sidecar_client = nullptr;
  bool concluded = false;
};

// ---- clients whose requests cannot be served

class Clients::InvalidClient final : Connection::Owner {
 public:
  InvalidClient(Clients& clients, const Address& to, int kind)
      : clients_(clients), connection_(clients.context_.loop, *this), reader_(HttpReader::Kind::Responses) {
    ++clients_.invalid_client_count_;
    if (!connection_.connect(to)) {  // a refused connection counts as handled
      loop().call_at(loop().now(), [this] { finish(true); });
      return;
    }
    timer_ =
        loop().call_at(loop().now() + kInvalidClientTimeout + kInvalidClientSlack, [this] { finish(false); });
    const std::string id = "X-Correlation-Id: " + clients_.context_.new_request_id() + "\r\n";
    static const std::vector<std::string> kInputs = {
        "\x16\x03\x01 hello\r\n\r\n",
        "GET /status/x HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /consent/x HTTP/1.1\r\nHost: x\r\nID"
        "Content-Length: -5\r\n\r\n",
        "POST /consent/x HTTP/1.1\r\nHost: x\r\nID"
        "Content-Length: 99999999\r\n\r\nabc",
        "POST /consent/x HTTP/1.1\r\nHost: x\r\nID"
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /nowhere/x HTTP/1.1\r\nHost: x\r\nID"
        "\r\n",
        "GET /status/x HTTP/1.1\r\nHost: x\r\nID"
        "X-Time-Left: soon\r\n\r\n",
        "GET /status/x HTTP/1.1\r\nHost: x\r\nX-Half",
        "POST /consent/x HTTP/1.1\r\nHost: x\r\nID"
        "Content-Length: 50\r\n\r\nhalf",
        "POST /consent/x HTTP/1.1\r\nHost: x\r\nID"
        "Content-Length: 50\r\n\r\nhalf, and it dies",
        ""};
    std::string input = kInputs[std::size_t(kind) % kInputs.size()];
    if (std::size_t at = input.find("ID"); at != std::string::npos) input.replace(at, 2, id);
    if (!input.empty()) connection_.send(input);
    // The client resets the connection before the last byte of its request, so the request must not run.
    if (input.ends_with("dies"))
      reset_timer_ = loop().call_at(loop().now() + 0.005, [this] {
        connection_.reset();
        finish(true);
      });
  }

 private:
  EventLoop& loop() { return clients_.context_.loop; }
  void on_bytes(Connection&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (!reader_.complete()) return;
    int status = reader_.take().status;
    if (status / 100 == 2) ++clients_.invalid_served_;
    finish(status >= 400);
  }
  void on_end(Connection&, bool) override { finish(true); }
  void finish(bool handled) {
    if (!handled) ++clients_.invalid_unanswered_;
    loop().cancel(timer_);
    loop().cancel(reset_timer_);
    connection_.close();
    auto found = clients_.invalid_clients_.extract(this);
    if (!found.empty()) loop().delete_later(std::move(found.mapped()));
  }
  Clients& clients_;
  Connection connection_;
  HttpReader reader_;
  EventLoop::Timer timer_{}, reset_timer_{};
};

Clients::Clients(RunContext& context, std::vector<Arrival> arrivals, OutcomeCallback on_outcome)
    : context_(context),
      arrivals_(std::move(arrivals)),
      on_outcome_(std::move(on_outcome)),
      random_(arrivals_.size() + 1, 9) {}

Clients::~Clients() = default;

void Clients::add_sidecar(const Address& address, int sidecar) {
  sidecar_clients_.push_back(std::make_unique<SidecarClient>(context_, address, sidecar));
  addresses_.push_back(address);
  avoided_.push_back(0);
}

void Clients::set_avoided(int sidecar, bool avoided) {
  for (std::size_t i = 0; i < sidecar_clients_.size(); ++i) {
    if (sidecar_clients_[i]->sidecar() == sidecar) avoided_[i] = avoided ? 1 : 0;
  }
}

void Clients::start() {
  start_ = context_.loop.now();
  if (!arrivals_.empty())
    context_.loop.call_at(start_ + arrivals_.front().at, [this] { start_due_requests(); });
  if (context_.scenario.clients.invalid_rate > 0)
    context_.loop.call_at(start_ + random_.exponential(context_.scenario.clients.invalid_rate),
                          [this] { start_invalid_client(); });
}

void Clients::start_invalid_client() {
  double now = context_.loop.now();
  if (now - start_ > context_.scenario.length) return;
  auto invalid = std::make_unique<InvalidClient>(
      *this, addresses_[std::size_t(random_.uniform_below(int(addresses_.size())))],
      random_.uniform_below(11));
  const InvalidClient* key = invalid.get();
  invalid_clients_.emplace(key, std::move(invalid));
  context_.loop.call_at(now + random_.exponential(context_.scenario.clients.invalid_rate),
                        [this] { start_invalid_client(); });
}

void Clients::start_due_requests() {
  double now = context_.loop.now();
  while (next_ < arrivals_.size() && start_ + arrivals_[next_].at <= now) {
    auto request = std::make_shared<Request>();
    request->arrival = arrivals_[next_++];
    // Latency counts from the time when the request was due, so that a delay of the load test does not hide a
    // slow response.
    request->due_at = start_ + request->arrival.at;
    ++unfinished_;
    if (context_.scenario.request_classes[std::size_t(request->arrival.request_class)].idempotency ==
        Idempotency::Keyed)
      request->key = "key-" + context_.new_request_id();
    if (request->arrival.leaves_after > 0) {
      context_.loop.call_at(now + request->arrival.leaves_after, [this, request] {
        if (request->concluded) return;
        if (request->sidecar_client) request->sidecar_client->cancel(request->request);
        conclude(request, RequestOutcome::End::Left);
      });
    }
    send_try(request);
  }
  if (next_ < arrivals_.size())
    context_.loop.call_at(start_ + arrivals_[next_].at, [this] { start_due_requests(); });
}

SidecarClient* Clients::choose_sidecar(double sidecar_choice) {
  std::vector<SidecarClient*> open;
  for (std::size_t i = 0; i < sidecar_clients_.size(); ++i) {
    if (!avoided_[i]) open.push_back(sidecar_clients_[i].get());
  }
  if (open.empty())
    return sidecar_clients_[std::size_t(sidecar_choice * double(sidecar_clients_.size()))].get();
  return open[std::size_t(sidecar_choice * double(open.size()))];
}

void Clients::send_try(const std::shared_ptr<Request>& request) {
  if (request->concluded) return;
  const ClassPlan& request_class =
      context_.scenario.request_classes[std::size_t(request->arrival.request_class)];
  OutgoingRequest outgoing;
  outgoing.request = request->request = context_.new_request_id();
  outgoing.request_class = request_class.name;
  outgoing.key = request->key;
  char work[32];
  std::snprintf(work, sizeof work, "%.5f", request->arrival.work);
  outgoing.target = "/" + request_class.name + "/visit?work=" + work;
  outgoing.tenant = context_.scenario.tenants[std::size_t(request->arrival.tenant)].name;
  outgoing.safe = request_class.idempotency == Idempotency::Safe;
  outgoing.client_timeout = request_class.client_timeout;
  outgoing.sends_remaining_time = context_.scenario.clients.sends_remaining_time;
  outgoing.is_retry = request->tries > 0;
  double sidecar_choice =
      request->tries + request->unreachable == 0 ? request->arrival.sidecar_choice : random_.uniform();
  request->sidecar_client = choose_sidecar(sidecar_choice);
  ++request->tries;
  request->sidecar_client->send(outgoing,
                                [this, request](SidecarClient::Result result, const HttpMessage& response) {
                                  handle_result(request, result, response);
                                });
}

void Clients::handle_result(const std::shared_ptr<Request>& request, SidecarClient::Result result,
                            const HttpMessage& response) {
  if (request->concluded) return;
  request->sidecar_client = nullptr;
  const ClientPlan& client_plan = context_.scenario.clients;
  const ClassPlan& request_class =
      context_.scenario.request_classes[std::size_t(request->arrival.request_class)];
  if (result == SidecarClient::Result::Unreachable && ++request->unreachable <= 3) {
    // The request was not sent, so another sidecar gets it, and this does not count as a retry.
    --request->tries;
    context_.loop.call_at(context_.loop.now() + 0.02, [this, request] { send_try(request); });
    return;
  }
  bool responded = result == SidecarClient::Result::Responded;
  if (responded && response.status == 200) return conclude(request, RequestOutcome::End::Delivered);
  bool rejected = responded && (response.status == 503 || response.status == 429);
  bool safe_to_retry = rejected || request_class.idempotency == Idempotency::Safe;
  if (safe_to_retry && request->tries <= client_plan.retries) {
    double pause = client_plan.retry_pause;
    std::string_view retry_after = response.header("Retry-After");
    if (!retry_after.empty() && client_plan.obeys_retry_after)
      pause = std::atof(std::string(retry_after).c_str());
    context_.loop.call_at(context_.loop.now() + pause, [this, request] { send_try(request); });
    return;
  }
  conclude(request, rejected    ? RequestOutcome::End::Rejected
                    : responded ? RequestOutcome::End::Failed
                                : RequestOutcome::End::Unanswered);
}

void Clients::conclude(const std::shared_ptr<Request>& request, RequestOutcome::End end) {
  request->concluded = true;
  --unfinished_;
  RequestOutcome outcome;
  outcome.end = end;
  outcome.at = request->arrival.at;
  outcome.duration = context_.loop.now() - request->due_at;
  outcome.request_class = request->arrival.request_class;
  outcome.tenant = request->arrival.tenant;
  outcome.tries = request->tries;
  on_outcome_(outcome);
}

}  // namespace load_test
