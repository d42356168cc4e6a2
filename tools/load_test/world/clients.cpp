#include "tools/load_test/world/clients.h"

#include <algorithm>
#include <cstdlib>

namespace load_test {

namespace {
constexpr double kHeavier = 10;   // times the usual work
constexpr double kOwedToBad = 3;  // seconds within which a caller that can't be served is told or closed
constexpr double kBadSlack = 0.3;
}  // namespace

std::vector<Arrival> draw_arrivals(const Scenario& scenario, std::uint64_t seed) {
  Chance chance(seed, 5);
  std::vector<Arrival> all;
  auto rate_at = [&](double at) {
    double rate = scenario.clients.rate;
    for (const Fault& fault : scenario.faults) {
      if (fault.kind == Trouble::Burst && at >= fault.at && at < fault.at + fault.span) rate *= fault.factor;
    }
    return rate;
  };
  double highest = scenario.clients.rate;
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == Trouble::Burst) highest *= fault.factor;
  }
  if (highest <= 0) return all;
  for (double at = chance.exponential(highest); at < scenario.length; at += chance.exponential(highest)) {
    if (!chance.happens(rate_at(at) / highest)) continue;
    Arrival one;
    one.at = at;
    one.request_class = int(chance.pick(scenario.request_classes,
                                        [](const ClassPlan& request_class) { return request_class.share; }));
    one.tenant = int(chance.pick(scenario.tenants, [](const CustomerPlan& who) { return who.share; }));
    one.work = chance.in(scenario.request_classes[std::size_t(one.request_class)].work);
    if (chance.happens(scenario.clients.heavy)) one.work *= kHeavier * chance.uniform();
    if (chance.happens(scenario.clients.leaves))
      one.leaves_after =
          0.001 +
          chance.uniform() * scenario.request_classes[std::size_t(one.request_class)].latency_objective;
    one.draw = chance.uniform();
    all.push_back(one);
  }
  return all;
}

std::uint64_t print_of(const std::vector<Arrival>& arrivals, const Scenario& scenario) {
  std::uint64_t print = 1469598103934665603u;  // FNV-1a
  auto add = [&](double value) {
    for (auto bits = std::uint64_t(value * 1e6); bits; bits >>= 8)
      print = (print ^ (bits & 255)) * 1099511628211u;
  };
  for (const Arrival& one : arrivals) {
    add(one.at);
    add(one.request_class);
    add(one.tenant);
    add(one.work);
    add(one.leaves_after);
    add(one.draw);
  }
  for (const Fault& fault : scenario.faults) {
    add(int(fault.kind) + 1);
    add(fault.at);
    add(fault.span);
    add(fault.factor);
    add(fault.share);
  }
  return print;
}

struct Clients::Request {
  Arrival arrival;
  double began = 0;
  int tries = 0, unreachable = 0;
  std::string key, request;
  Caller* caller = nullptr;
  bool over = false;
};

// ---- those that can't be served

class Clients::BadCaller final : Line::Owner {
 public:
  BadCaller(Clients& clients, const Address& to, int kind)
      : clients_(clients), line_(clients.world_.loop, *this), reader_(Reader::Of::Answers) {
    ++clients_.bad_;
    if (!line_.connect(to)) {  // refused: that is an answer
      loop().at(loop().now(), [this] { over(true); });
      return;
    }
    timer_ = loop().at(loop().now() + kOwedToBad + kBadSlack, [this] { over(false); });
    const std::string id = "X-Correlation-Id: " + clients_.world_.new_request_id() + "\r\n";
    static const std::vector<std::string> kSaid = {
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
    std::string said = kSaid[std::size_t(kind) % kSaid.size()];
    if (std::size_t at = said.find("ID"); at != std::string::npos) said.replace(at, 2, id);
    if (!said.empty()) line_.send(said);
    // Dead before its last byte: its request was never taken, and nothing of it may run.
    if (said.ends_with("dies"))
      death_ = loop().at(loop().now() + 0.005, [this] {
        line_.reset();
        over(true);
      });
  }

 private:
  Loop& loop() { return clients_.world_.loop; }
  void on_bytes(Line&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (!reader_.whole()) return;
    int status = reader_.take().status;
    if (status / 100 == 2) ++clients_.bad_served_;
    over(status >= 400);
  }
  void on_end(Line&, bool) override { over(true); }
  void over(bool notify) {
    if (!notify) ++clients_.bad_unanswered_;
    loop().cancel(timer_);
    loop().cancel(death_);
    line_.close();
    auto found = clients_.bad_callers_.extract(this);
    if (!found.empty()) loop().bury(std::move(found.mapped()));
  }
  Clients& clients_;
  Line line_;
  Reader reader_;
  Loop::Timer timer_{}, death_{};
};

Clients::Clients(World& world, std::vector<Arrival> arrivals, Notify notify)
    : world_(world),
      arrivals_(std::move(arrivals)),
      notify_(std::move(notify)),
      chance_(arrivals_.size() + 1, 9) {}

Clients::~Clients() = default;

void Clients::add_sidecar(const Address& address, int sidecar) {
  callers_.push_back(std::make_unique<Caller>(world_, address, sidecar));
  addresses_.push_back(address);
  avoided_.push_back(0);
}

void Clients::avoid(int sidecar, bool is) {
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    if (callers_[i]->sidecar() == sidecar) avoided_[i] = is ? 1 : 0;
  }
}

void Clients::begin() {
  began_ = world_.loop.now();
  if (!arrivals_.empty()) world_.loop.at(began_ + arrivals_.front().at, [this] { arrive(); });
  if (world_.scenario.clients.bad_rate > 0)
    world_.loop.at(began_ + chance_.exponential(world_.scenario.clients.bad_rate), [this] { bad_arrives(); });
}

void Clients::bad_arrives() {
  double now = world_.loop.now();
  if (now - began_ > world_.scenario.length) return;
  auto bad = std::make_unique<BadCaller>(
      *this, addresses_[std::size_t(chance_.below(int(addresses_.size())))], chance_.below(11));
  const BadCaller* key = bad.get();
  bad_callers_.emplace(key, std::move(bad));
  world_.loop.at(now + chance_.exponential(world_.scenario.clients.bad_rate), [this] { bad_arrives(); });
}

void Clients::arrive() {
  double now = world_.loop.now();
  while (next_ < arrivals_.size() && began_ + arrivals_[next_].at <= now) {
    auto request = std::make_shared<Request>();
    request->arrival = arrivals_[next_++];
    // Its time counts from when it should have come: a late load test must not flatter the answer.
    request->began = began_ + request->arrival.at;
    ++open_;
    if (world_.scenario.request_classes[std::size_t(request->arrival.request_class)].idempotency ==
        Idempotency::Keyed)
      request->key = "key-" + world_.new_request_id();
    if (request->arrival.leaves_after > 0) {
      world_.loop.at(now + request->arrival.leaves_after, [this, request] {
        if (request->over) return;
        if (request->caller) request->caller->withdraw(request->request);
        conclude(request, Fate::End::Left);
      });
    }
    attempt(request);
  }
  if (next_ < arrivals_.size()) world_.loop.at(began_ + arrivals_[next_].at, [this] { arrive(); });
}

Caller* Clients::choose(double draw) {
  std::vector<Caller*> open;
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    if (!avoided_[i]) open.push_back(callers_[i].get());
  }
  if (open.empty()) return callers_[std::size_t(draw * double(callers_.size()))].get();
  return open[std::size_t(draw * double(open.size()))];
}

void Clients::attempt(const std::shared_ptr<Request>& request) {
  if (request->over) return;
  const ClassPlan& request_class =
      world_.scenario.request_classes[std::size_t(request->arrival.request_class)];
  Ask ask;
  ask.request = request->request = world_.new_request_id();
  ask.request_class = request_class.name;
  ask.key = request->key;
  char work[32];
  std::snprintf(work, sizeof work, "%.5f", request->arrival.work);
  ask.target = "/" + request_class.name + "/visit?work=" + work;
  ask.tenant = world_.scenario.tenants[std::size_t(request->arrival.tenant)].name;
  ask.safe = request_class.idempotency == Idempotency::Safe;
  ask.time_left = request_class.client_timeout;
  ask.tells_time = world_.scenario.clients.tells_time;
  ask.repeat = request->tries > 0;
  double draw = request->tries + request->unreachable == 0 ? request->arrival.draw : chance_.uniform();
  request->caller = choose(draw);
  ++request->tries;
  request->caller->call(
      ask, [this, request](Caller::End end, const Message& answer) { answered(request, end, answer); });
}

void Clients::answered(const std::shared_ptr<Request>& request, Caller::End end, const Message& answer) {
  if (request->over) return;
  request->caller = nullptr;
  const ClientPlan& plan = world_.scenario.clients;
  const ClassPlan& request_class =
      world_.scenario.request_classes[std::size_t(request->arrival.request_class)];
  if (end == Caller::End::Unreachable && ++request->unreachable <= 3) {
    // It never was taken: another sidecar gets it, and it is no retry.
    --request->tries;
    world_.loop.at(world_.loop.now() + 0.02, [this, request] { attempt(request); });
    return;
  }
  bool said = end == Caller::End::Answered;
  if (said && answer.status == 200) return conclude(request, Fate::End::Delivered);
  bool rejected = said && (answer.status == 503 || answer.status == 429);
  bool harmless = rejected || request_class.idempotency == Idempotency::Safe;
  if (harmless && request->tries <= plan.retries) {
    double pause = plan.pause;
    std::string_view advice = answer.header("Retry-After");
    if (!advice.empty() && plan.obeys) pause = std::atof(std::string(advice).c_str());
    world_.loop.at(world_.loop.now() + pause, [this, request] { attempt(request); });
    return;
  }
  conclude(request, rejected ? Fate::End::Rejected : said ? Fate::End::Failed : Fate::End::Unanswered);
}

void Clients::conclude(const std::shared_ptr<Request>& request, Fate::End end) {
  request->over = true;
  --open_;
  Fate fate;
  fate.end = end;
  fate.at = request->arrival.at;
  fate.took = world_.loop.now() - request->began;
  fate.request_class = request->arrival.request_class;
  fate.tenant = request->arrival.tenant;
  fate.tries = request->tries;
  notify_(fate);
}

}  // namespace load_test
