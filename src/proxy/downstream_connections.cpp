#include "src/proxy/downstream_connections.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace puffinvane {

namespace {
constexpr double kSweep = 0.05;    // seconds: what clients that stop are owed at the latest leaves no more
constexpr double kAtOnce = 0.02;   // where only so many may come: whole calls take no longer
constexpr double kStopped = 0.3;   // and one that has begun it, for its next byte
constexpr double kRead = 0.5;      // after which an answer has reached its client
constexpr double kReadOut = 0.02;  // for what is on its way when a connection is shut
constexpr double kNewcomer = 0.1;  // seconds that a new connection has for its first request when all is full
constexpr double kBetweenLooks = 0.005;
constexpr std::size_t kPart = 8,
                      kMostSpare = 64;  // of the places for clients, that are made free ahead of need
}  // namespace

DownstreamConnections::DownstreamConnections(Loop& loop, ConnectionLimiter& limiter, RequestHandler& handler,
                                             std::size_t most_body, std::size_t most,
                                             std::size_t most_streamed)
    : loop_(loop),
      limiter_(limiter),
      handler_(handler),
      most_body_(most_body),
      max_connections_(most),
      most_streamed_(most_streamed) {
  sweep();
}

bool DownstreamConnections::has_room() {
  return max_connections_ > 0 ? connections_.size() < max_connections_
                              : limiter_.has_room_for_downstream(connections_.size());
}

bool DownstreamConnections::may_accept() {
  make_room();
  return has_room();
}

void DownstreamConnections::on_accepted(Ref<GSocket> socket, int listener, double waited) {
  enter(std::move(socket), listener, waited, false);
}
void DownstreamConnections::take_over(Ref<GSocket> socket, bool asked) {
  enter(std::move(socket), 0, 0, asked);
}

void DownstreamConnections::enter(Ref<GSocket> socket, int listener, double waited, bool asked) {
  auto downstream = std::make_unique<DownstreamConnection>(loop_, *this, std::move(socket), listener, waited,
                                                           most_body_, most_streamed_, asked);
  const DownstreamConnection* key = downstream.get();
  connections_.emplace(key, std::move(downstream));
}

void DownstreamConnections::hand_over(const std::function<bool(GSocket* client, bool asked)>& take) {
  std::vector<DownstreamConnection*> between;
  for (auto& [key, downstream] : connections_) {
    if (downstream->transferable_socket()) between.push_back(downstream.get());
  }
  for (DownstreamConnection* downstream : between) {
    if (!take(downstream->transferable_socket(), downstream->has_sent_request())) return;
    downstream->release_transferred_socket();
  }
}

void DownstreamConnections::on_request(DownstreamConnection& downstream, HttpMessage message) {
  handler_.on_request(downstream, std::move(message));
}

void DownstreamConnections::on_closed(DownstreamConnection& downstream) {
  std::unique_ptr<DownstreamConnection> owned = std::move(connections_.extract(&downstream).mapped());
  if (std::optional<DownstreamConnection::OpenRequest> request = std::exchange(downstream.open_request, {}))
    request->owner->on_client_disconnected(request->id);
  loop_.delete_later(std::move(owned));
}

// Some places are made free ahead of need: a connection that rests is shut first and closed once it was read
// out, and made free one by one at the moment that somebody knocks, that held up whoever waited behind.
void DownstreamConnections::make_room() {
  const std::size_t places = max_connections_ > 0 ? max_connections_ : limiter_.max_downstream_connections();
  const std::size_t left = places - std::min(places, connections_.size());
  const std::size_t spare = max_connections_ > 0 ? 1 : std::clamp<std::size_t>(places / kPart, 1, kMostSpare);
  const bool full = !has_room();
  const double now = loop_.now();
  if (!full && (left >= spare || now < looked_ + kBetweenLooks)) return;
  looked_ = now;
  const std::size_t wanted = std::max(spare, full ? left + 1 : 0);  // full for want of memory, say
  // Nothing was taken from any of them. Those that never said a word go first, then those that stopped amid
  // their first request, by how long they have been silent: crowds that only connect would else push out
  // clients that are slow by right, or between two requests.
  enum Rank { Silent, ReadOut, Stopped, Resting };
  std::vector<std::tuple<Rank, double, DownstreamConnection*>> ripe;
  std::size_t free = left;
  for (auto& [key, downstream] : connections_) {
    if (downstream->awaits_first_request()) {
      if (!downstream->has_no_unread_input()) continue;  // what it has sent was only not read yet
      double silent = max_connections_ > 0                ? kAtOnce
                      : downstream->has_partial_request() ? kStopped
                                                          : kNewcomer;
      if (now - downstream->last_received() > silent)
        ripe.emplace_back(downstream->has_partial_request() ? Stopped : Silent, downstream->last_received(),
                          downstream.get());
    } else if (downstream->is_lingering()) {
      if (now - downstream->last_progress() > kReadOut)
        ripe.emplace_back(ReadOut, downstream->last_progress(), downstream.get());
      else ++free;
    } else if (downstream->is_idle() && (full || now - downstream->last_progress() > kRead)) {
      ripe.emplace_back(Resting, downstream->last_progress(), downstream.get());
    }
  }
  std::sort(ripe.begin(), ripe.end());
  for (auto& [rank, since, downstream] : ripe) {
    if (free >= wanted) return;
    // Closed over a request that crosses, its answer of just now would be lost with the connection: it makes
    // room when it has had time to be read.
    bool at_once = rank != Resting || (!has_room() && now - since > kRead);
    at_once ? downstream->close() : downstream->close_gracefully();
    ++free;
  }
}

void DownstreamConnections::close_idle(double longer_than) {
  std::vector<DownstreamConnection*> idle;
  for (auto& [key, downstream] : connections_) {
    if (downstream->is_idle() && loop_.now() - downstream->last_progress() >= longer_than)
      idle.push_back(downstream.get());
  }
  for (DownstreamConnection* downstream : idle) downstream->close_gracefully();
}

void DownstreamConnections::close_listener(int listener) {
  std::vector<DownstreamConnection*> theirs;
  for (auto& [key, downstream] : connections_) {
    if (downstream->listener() == listener) theirs.push_back(downstream.get());
  }
  for (DownstreamConnection* downstream : theirs)
    downstream->is_idle() ? downstream->close_gracefully() : downstream->close_after_next_response();
}

void DownstreamConnections::sweep() {
  double now = loop_.now();
  std::vector<DownstreamConnection*> all;
  for (auto& [key, downstream] : connections_) all.push_back(downstream.get());
  for (DownstreamConnection* downstream : all) downstream->check_timeouts(now);
  loop_.at(now + kSweep, alive_.guard([this] { sweep(); }));
}

}  // namespace puffinvane
