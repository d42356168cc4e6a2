#include "sidecar/wire/callers.h"

#include <utility>
#include <vector>

namespace puffinvane {

namespace {
constexpr double kSweep = 0.25;
constexpr double kAtOnce = 0.02;   // where only so many may come: whole calls take no longer
constexpr double kStopped = 0.3;   // and one that has begun it, for its next byte
constexpr double kRead = 0.5;      // after which an answer has reached its caller
constexpr double kReadOut = 0.02;  // for what is on its way when a connection is shut
constexpr double kNewcomer = 0.1;  // seconds that a new connection has for its first request when all is full
}  // namespace

Callers::Callers(Loop& loop, Admission& admission, Server& server, std::size_t most_body, std::size_t most,
                 std::size_t most_streamed)
    : loop_(loop),
      admission_(admission),
      server_(server),
      most_body_(most_body),
      most_(most),
      most_streamed_(most_streamed) {
  sweep();
}

bool Callers::on_knock() {
  bool room = most_ > 0 ? clients_.size() < most_ : admission_.room_for_caller(clients_.size());
  return room || drop_one();
}

void Callers::on_entered(Ref<GSocket> socket, int door) { enter(std::move(socket), door, false); }
void Callers::take_over(Ref<GSocket> socket, bool asked) { enter(std::move(socket), 0, asked); }

void Callers::enter(Ref<GSocket> socket, int door, bool asked) {
  auto client =
      std::make_unique<Client>(loop_, *this, std::move(socket), door, most_body_, most_streamed_, asked);
  const Client* key = client.get();
  clients_.emplace(key, std::move(client));
}

void Callers::hand_over(const std::function<bool(GSocket* caller, bool asked)>& take) {
  std::vector<Client*> between;
  for (auto& [key, client] : clients_) {
    if (client->to_hand_over()) between.push_back(client.get());
  }
  for (Client* client : between) {
    if (!take(client->to_hand_over(), client->asked())) return;
    client->handed_over();
  }
}

void Callers::on_request(Client& client, HttpMessage request) {
  server_.on_request(client, std::move(request));
}

void Callers::on_left(Client& client) {
  std::unique_ptr<Client> owned = std::move(clients_.extract(&client).mapped());
  if (std::optional<Client::InHand> visit = std::exchange(client.visit, {}))
    visit->by->on_caller_left(visit->visit);
  loop_.bury(std::move(owned));
}

bool Callers::drop_one() {
  // Nothing was taken from any of them. Those that never said a word go first, then those that stopped amid
  // their first request, by how long they have been silent: crowds that only connect would else push out
  // callers that are slow by right, or between two visits.
  double now = loop_.now();
  auto rank = [](const Client& one) { return one.lingers() ? 1 : !one.newcomer() ? 3 : one.begun() ? 2 : 0; };
  auto before = [rank](const Client& one, const Client& other) {
    if (rank(one) != rank(other)) return rank(one) < rank(other);
    return one.newcomer() ? one.heard() < other.heard() : one.used() < other.used();
  };
  Client* oldest = nullptr;
  for (auto& [key, client] : clients_) {
    if (oldest && !before(*client, *oldest)) continue;
    double silent = most_ > 0 ? kAtOnce : client->begun() ? kStopped : kNewcomer;
    bool spare = client->newcomer()  ? now - client->heard() > silent
                 : client->lingers() ? now - client->used() > kReadOut
                                     : client->idle();
    if (spare) oldest = client.get();
  }
  if (!oldest) return false;
  // Closed over a request that crosses, its answer of just now would be lost with the connection: it makes
  // room when it has had time to be read.
  bool at_once = oldest->newcomer() || oldest->lingers() || now - oldest->used() > kRead;
  at_once ? oldest->part() : oldest->drop();
  return at_once;
}

void Callers::close_idle(double longer_than) {
  std::vector<Client*> idle;
  for (auto& [key, client] : clients_) {
    if (client->idle() && loop_.now() - client->used() >= longer_than) idle.push_back(client.get());
  }
  for (Client* client : idle) client->drop();
}

void Callers::close_door(int door) {
  std::vector<Client*> theirs;
  for (auto& [key, client] : clients_) {
    if (client->door() == door) theirs.push_back(client.get());
  }
  for (Client* client : theirs) client->idle() ? client->drop() : client->part_soon();
}

void Callers::sweep() {
  double now = loop_.now();
  std::vector<Client*> all;
  for (auto& [key, client] : clients_) all.push_back(client.get());
  for (Client* client : all) client->look(now);
  loop_.at(now + kSweep, alive_.guard([this] { sweep(); }));
}

}  // namespace puffinvane
