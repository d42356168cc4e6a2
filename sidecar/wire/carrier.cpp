#include "sidecar/wire/carrier.h"

#include <algorithm>
#include <set>
#include <utility>

#include "sidecar/wire/headers.h"

namespace puffinvane {

namespace {
constexpr double kIdleShare = 0.7;  // of the time after which endpoints close: a fetch must not cross that
constexpr double kSweep = 0.25;
constexpr double kNewcomer = 0.1;  // seconds that a new connection has for its first request when all is full
}  // namespace

Carrier::Carrier(Loop& loop, Deployment deployment, std::uint64_t seed, std::size_t most_bytes,
                 PolicyMaker make)
    : loop_(loop),
      deployment_(std::move(deployment)),
      most_bytes_(most_bytes),
      policy_(make(loop.now(), deployment_, seed, *this)) {
  sweep();
}

Carrier::~Carrier() = default;

// ---- what the module asks for

void Carrier::fetch(VisitId id, std::string_view endpoint, double abandon_at) {
  VisitInHand& visit = *visits_.find(id);
  int number = int(visit.fetches.size());
  double now = loop_.now(), ends = abandon_at > 0 ? std::min(abandon_at, visit.until) : visit.until;
  visit.fetches.push_back({std::string(endpoint), now, ends});
  loop_.at(ends, [this, id, number] { out_of_time(id, number); });
  if (!start({id, number}, visit.fetches.back().endpoint)) end_soon(id, number, Outcome::ConnectFailed);
}

std::unique_ptr<Backend> Carrier::take_kept(Backend::Carried fetch, const std::string& endpoint) {
  while (std::unique_ptr<Backend> kept = idle_.take(endpoint)) {
    double idle = kept->stood_idle(loop_.now());
    const PathPrefix* prefix = find_prefix(path_prefix_of(visits_.find(fetch.visit)->request.target));
    // Rule 2: a mutating visit that meets a dropped connection can only be errored. The others find out.
    if (prefix->kind == Kind::Mutating && kept_uses_.doubtful(idle)) {
      idle_.put(endpoint, std::move(kept), loop_.now() - idle);
      return {};
    }
    // The endpoint may have closed it in this very turn of the loop.
    if (kept->quiet()) return kept;
    kept->give_up(), loop_.bury(std::move(kept));
  }
  return {};
}

bool Carrier::start(Backend::Carried fetch, const std::string& endpoint) {
  Backend*& used = visits_.find(fetch.visit)->fetches[std::size_t(fetch.number)].backend;
  if (std::unique_ptr<Backend> kept = take_kept(fetch, endpoint)) {
    visits_.find(fetch.visit)->fetches[std::size_t(fetch.number)].stood_idle = kept->stood_idle(loop_.now());
    used = kept.get();
    busy_[used] = std::move(kept);
    used->carry(fetch);
    return true;
  }
  const std::string* address = addresses_.find(endpoint);
  if (!address || !room_for_connection()) return false;
  auto fresh = std::make_unique<Backend>(loop_, *this, endpoint);
  if (!fresh->connect(*address, deployment_.connect_timeout)) return false;
  used = fresh.get();
  busy_[used] = std::move(fresh);
  used->carry(fetch);
  return true;
}

void Carrier::cancel(VisitId id, int number) {
  VisitInHand* visit = visits_.find(id);
  if (!visit || number >= int(visit->fetches.size())) return;
  Backend* backend = visit->fetches[std::size_t(number)].backend;
  if (!backend) return;
  let_go(*backend);
  end_soon(id, number, Outcome::Cancelled);
}

void Carrier::bounce(VisitId id, double wait) {
  std::string advice = wait > 0 ? "Retry-After: " + write_wait(wait) + "\r\n" : "";
  conclude(id, 503, nullptr, advice, "bounced: trying again does no harm\n");
}

void Carrier::error(VisitId id) { conclude(id, 502, nullptr, "", "errored: it may or may not have run\n"); }

void Carrier::wake(double at, std::uint64_t token) {
  loop_.at(at, [this, token] { policy_->woken(loop_.now(), token); });
}

void Carrier::conclude(VisitId id, int status, const HttpMessage* from, std::string_view more_headers,
                       std::string_view text) {
  VisitInHand* visit = visits_.find(id);
  if (!visit || visit->concluded()) return;
  Client& client = *std::exchange(visit->client, nullptr);
  client.visit.reset();
  client.answer(status, from, more_headers, text, last_call_);
  // Not forgotten here: the module may be in the middle of it, and ask for more cancels.
  loop_.soon([this, id] { visits_.forget_if_over(id); });
}

// ---- what happens to fetches

Chain Carrier::on_ready(Backend& backend) {
  const VisitInHand& visit = *visits_.find(backend.carried().visit);
  const FetchInHand& fetch = visit.fetches[std::size_t(backend.carried().number)];
  const std::string* address = addresses_.find(fetch.endpoint);
  Chain out(loop_.pool());
  write_request(out, visit.request, address ? *address : fetch.endpoint,
                write_time_left(fetch.ends - loop_.now()));
  return out;
}

void Carrier::on_fetched(Backend& backend, Outcome outcome, HttpMessage answer) {
  auto [id, number] = backend.carried();
  std::unique_ptr<Backend> owned = std::move(busy_.extract(&backend).mapped());
  if (backend.idle()) idle_.put(backend.endpoint(), std::move(owned), loop_.now());
  else loop_.bury(std::move(owned));
  FetchInHand& fetch = visits_.find(id)->fetches[std::size_t(number)];
  fetch.backend = nullptr;
  if (fetch.stood_idle) kept_uses_.note(*fetch.stood_idle, outcome == Outcome::Stale);
  ended(id, number, outcome, &answer);
}

void Carrier::on_idle_end(Backend& backend) { loop_.bury(idle_.take(backend.endpoint(), backend)); }

void Carrier::out_of_time(VisitId id, int number) {
  VisitInHand* visit = visits_.find(id);
  if (!visit) return;
  Backend* backend = visit->fetches[std::size_t(number)].backend;
  if (!backend) return;
  let_go(*backend);
  ended(id, number, Outcome::TimedOut, nullptr);
}

void Carrier::end_soon(VisitId id, int number, Outcome outcome) {
  loop_.soon([this, id, number, outcome] { ended(id, number, outcome, nullptr); });
}

void Carrier::ended(VisitId id, int number, Outcome outcome, const HttpMessage* answer) {
  VisitInHand* visit = visits_.find(id);
  if (!visit || visit->fetches[std::size_t(number)].reported) return;
  visit->fetches[std::size_t(number)].reported = true;
  double now = loop_.now();
  if (outcome == Outcome::Delivered) conclude(id, 200, answer, "", "");
  Load load = answer ? read_load(answer->header("X-Backend-Load")) : Load();
  policy_->fetch_ended(
      now, {id, number, outcome, visit->concluded(), now - visit->fetches[std::size_t(number)].sent, load});
  visits_.forget_if_over(id);
}

// ---- callers

bool Carrier::on_knock() {
  // Half of the descriptors are kept for endpoints: a visit taken without one to fetch it with is lost.
  bool room = int(clients_.size()) < loop_.descriptors().limit() / 2 && loop_.descriptors().left() > 0 &&
              loop_.pool().lent() * Pool::kSize < most_bytes_;
  return room || drop_one_client();
}

void Carrier::on_entered(Ref<GSocket> socket) {
  auto client = std::make_unique<Client>(loop_, *this, std::move(socket));
  const Client* key = client.get();
  clients_.emplace(key, std::move(client));
}

void Carrier::on_left(Client& client) {
  std::unique_ptr<Client> owned = std::move(clients_.extract(&client).mapped());
  if (client.visit) {
    VisitId id = *client.visit;
    visits_.find(id)->client = nullptr;
    policy_->withdrawn(loop_.now(), id);
    visits_.forget_if_over(id);
  }
  loop_.bury(std::move(owned));
}

const PathPrefix* Carrier::find_prefix(std::string_view name) const {
  for (const PathPrefix& prefix : deployment_.path_prefixes) {
    if (prefix.name == name) return &prefix;
  }
  return nullptr;
}

void Carrier::on_request(Client& client, HttpMessage request) {
  if (request.target == "/healthz" && request.method == "GET")
    return client.answer(gone_ ? 503 : 200, nullptr, "", gone_ ? "leaving\n" : "ready\n", last_call_);
  if (request.method == "HEAD" || request.method == "CONNECT")
    return client.answer(405, nullptr, "Allow: GET, POST\r\n", "", true);
  if (!find_prefix(path_prefix_of(request.target)))
    return client.answer(404, nullptr, "", "no such path prefix\n", true);
  std::string_view id = request.header(kVisitHeader);
  if (id.empty() || request.count(kVisitHeader) > 1 || visits_.open(id))
    return client.answer(400, nullptr, "", "X-Correlation-Id has to be there, once and new\n", true);
  take_visit(client, std::move(request));
}

void Carrier::take_visit(Client& client, HttpMessage request) {
  std::string prefix(path_prefix_of(request.target)), customer(request.header("X-Account"));
  double time_left = find_prefix(prefix)->client_timeout;
  if (int told = request.count("X-Time-Left"); told > 0) {
    std::optional<double> read = read_time_left(request.header("X-Time-Left"));
    if (!read || told > 1)
      return client.answer(400, nullptr, "", "X-Time-Left is no number with m or u\n", true);
    // No caller waits longer than its path prefix lets it: a visit of a year would be kept for as long.
    time_left = std::min(time_left, *read);
  }
  // It may have lain here unread for all of a stall; its caller has counted on meanwhile.
  time_left = std::max(0.0, time_left - loop_.stalled());
  double now = loop_.now();
  if (gone_) time_left = std::clamp(*gone_ - now, 0.0, time_left);
  VisitId id = visits_.add({std::move(request), now + time_left, &client});
  client.visit = id;
  policy_->arrive(now, {id, prefix, customer, time_left});
}

bool Carrier::drop_one_client() {
  // Nothing was taken from any of them. Those that never sent a whole request go first: crowds that only
  // connect would else push out callers between two visits.
  double now = loop_.now();
  auto before = [](const Client& one, const Client& other) {
    if (one.newcomer() != other.newcomer()) return one.newcomer();
    return one.used() < other.used();
  };
  Client* oldest = nullptr;
  for (auto& [key, client] : clients_) {
    if (oldest && !before(*client, *oldest)) continue;
    bool spare = client->newcomer() ? now - client->used() > kNewcomer : client->idle();
    if (spare) oldest = client.get();
  }
  if (oldest) oldest->part();
  return oldest != nullptr;
}

void Carrier::close_idle_clients() {
  std::vector<Client*> idle;
  for (auto& [key, client] : clients_) {
    if (client->idle()) idle.push_back(client.get());
  }
  for (Client* client : idle) client->part();
}

// ---- endpoints and their list

bool Carrier::room_for_connection() {
  while (loop_.descriptors().left() <= 0) {
    std::unique_ptr<Backend> oldest = idle_.take_oldest(loop_.now());
    if (!oldest) return false;
    oldest->give_up(), loop_.bury(std::move(oldest));
  }
  return true;
}

void Carrier::drop_connections(const std::string& endpoint) {
  while (std::unique_ptr<Backend> kept = idle_.take(endpoint)) kept->give_up(), loop_.bury(std::move(kept));
  // Rule 3: a connect time-out may be longer than the grace, and the request is written at its end.
  std::vector<Backend*> coming_up;
  for (auto& [key, backend] : busy_) {
    if (backend->connecting() && backend->endpoint() == endpoint) coming_up.push_back(backend.get());
  }
  for (Backend* backend : coming_up) {
    auto [id, number] = let_go(*backend);
    end_soon(id, number, Outcome::ConnectFailed);
  }
}

Backend::Carried Carrier::let_go(Backend& backend) {
  Backend::Carried carried = backend.carried();
  visits_.find(carried.visit)->fetches[std::size_t(carried.number)].backend = nullptr;
  backend.give_up();
  loop_.bury(std::move(busy_.extract(&backend).mapped()));
  return carried;
}

void Carrier::know(const EndpointList& known) { note_entries(known, ListScope::Cached); }

void Carrier::on_list(const EndpointList& list) {
  note_entries(list, list.whole ? ListScope::Full : ListScope::Changes);
}

void Carrier::note_entries(const EndpointList& list, ListScope scope) {
  std::set<std::string> listed;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const ListEntry& entry = list.entries[i];
    listed.insert(entry.endpoint);
    if (entry.state != Listed::Ready) drop_connections(entry.endpoint);
    if (entry.state == Listed::Gone) addresses_.forget(entry.endpoint);
    else if (!list.addresses[i].empty()) {
      for (const std::string& stale : addresses_.note(entry.endpoint, list.addresses[i]))
        drop_connections(stale);
    }
  }
  if (list.whole) {  // what a whole list leaves out is gone without a word
    for (const std::string& gone : addresses_.missing_from(listed))
      drop_connections(gone), addresses_.forget(gone);
  }
  policy_->list(loop_.now(), scope, list.entries);
}

void Carrier::sweep() {
  double now = loop_.now();
  while (std::unique_ptr<Backend> old = idle_.take_oldest(now - kIdleShare * deployment_.idle_time))
    old->give_up(), loop_.bury(std::move(old));
  std::vector<Client*> all;
  for (auto& [key, client] : clients_) all.push_back(client.get());
  for (Client* client : all) client->look(now);
  loop_.at(now + kSweep, alive_.guard([this] { sweep(); }));
}

}  // namespace puffinvane
