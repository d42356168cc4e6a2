#include "src/proxy/downstream_connections.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace puffinvane {

namespace {
// Seconds between two checks of all timeouts. With a longer interval, the 408 of a client that has stopped
// would come later than clients are promised.
constexpr double kTimeoutCheckInterval = 0.05;
// Seconds that a connection without a whole request may be silent before it can be closed to make room:
// - if the number of connections is fixed, as whole requests take no longer there;
constexpr double kMaxSilenceAtFixedLimit = 0.02;
// - otherwise, if part of its first request has been read;
constexpr double kMaxSilenceWithinRequest = 0.3;
// - or if nothing has been read.
constexpr double kMaxSilenceBeforeRequest = 0.1;
// Seconds after which a response is taken to have reached its client.
constexpr double kResponseReadTime = 0.5;
// Seconds for input that is in transit when a connection is shut down.
constexpr double kMinLinger = 0.02;
// Seconds between two searches for connections to close.
constexpr double kReclaimInterval = 0.005;
// Connections freed ahead of need: the limit divided by kSpareDivisor, at most kMaxSpare.
constexpr std::size_t kSpareDivisor = 8;
constexpr std::size_t kMaxSpare = 64;
// Seconds between two log events of the same shortage of memory.
constexpr double kReliefLogInterval = 1;
}  // namespace

DownstreamConnections::DownstreamConnections(Loop& loop, ConnectionLimiter& limiter, RequestHandler& handler,
                                             std::size_t max_body, std::size_t max_connections,
                                             std::size_t max_streamed)
    : loop_(loop),
      limiter_(limiter),
      handler_(handler),
      max_body_(max_body),
      max_connections_(max_connections),
      max_streamed_(max_streamed) {
  check_all_timeouts();
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
  add(std::move(socket), listener, waited, false);
}

void DownstreamConnections::take_over(Ref<GSocket> socket, bool has_sent_request) {
  add(std::move(socket), 0, 0, has_sent_request);
}

void DownstreamConnections::add(Ref<GSocket> socket, int listener, double waited, bool has_sent_request) {
  auto downstream = std::make_unique<DownstreamConnection>(loop_, *this, std::move(socket), listener, waited,
                                                           max_body_, max_streamed_, has_sent_request);
  const DownstreamConnection* key = downstream.get();
  connections_.emplace(key, std::move(downstream));
}

void DownstreamConnections::hand_over(
    const std::function<bool(GSocket* client, bool has_sent_request)>& take) {
  std::vector<DownstreamConnection*> transferable;
  for (auto& [key, downstream] : connections_) {
    if (downstream->transferable_socket()) transferable.push_back(downstream.get());
  }
  for (DownstreamConnection* downstream : transferable) {
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

// Frees some connections ahead of need. An idle connection is first shut down and only closed once its
// remaining input is read; freeing one at a time, at the moment a client connects, delayed the clients queued
// behind.
void DownstreamConnections::make_room() {
  const std::size_t limit = max_connections_ > 0 ? max_connections_ : limiter_.max_downstream_connections();
  const std::size_t left = limit - std::min(limit, connections_.size());
  const std::size_t spare =
      max_connections_ > 0 ? 1 : std::clamp<std::size_t>(limit / kSpareDivisor, 1, kMaxSpare);
  const bool full = !has_room();
  const double now = loop_.now();
  if (!full && (left >= spare || now < last_reclaim_ + kReclaimInterval)) return;
  last_reclaim_ = now;
  // `full` with some connections left means that memory or descriptors have run out: one more has to go then.
  const std::size_t wanted = std::max(spare, full ? left + 1 : 0);
  // None of the candidates has a request in flight. Clients that never sent anything are closed first,
  // then lingering connections, then those that stopped within their first request, and idle ones last; the
  // longest silent first within each group. In any other order, crowds of clients that only connect would
  // displace clients that are merely slow or between two requests.
  enum Rank { Silent, LingeredEnough, Stalled, Idle };
  std::vector<std::tuple<Rank, double, DownstreamConnection*>> candidates;
  std::size_t free = left;
  for (auto& [key, downstream] : connections_) {
    if (downstream->awaits_first_request()) {
      if (!downstream->has_no_unread_input()) continue;  // its input is not read yet
      double max_silence = max_connections_ > 0                ? kMaxSilenceAtFixedLimit
                           : downstream->has_partial_request() ? kMaxSilenceWithinRequest
                                                               : kMaxSilenceBeforeRequest;
      if (now - downstream->last_received() > max_silence)
        candidates.emplace_back(downstream->has_partial_request() ? Stalled : Silent,
                                downstream->last_received(), downstream.get());
    } else if (downstream->is_lingering()) {
      if (now - downstream->last_progress() > kMinLinger)
        candidates.emplace_back(LingeredEnough, downstream->last_progress(), downstream.get());
      else ++free;
    } else if (downstream->is_idle() && (full || now - downstream->last_progress() > kResponseReadTime)) {
      candidates.emplace_back(Idle, downstream->last_progress(), downstream.get());
    }
  }
  std::sort(candidates.begin(), candidates.end());
  for (auto& [rank, since, downstream] : candidates) {
    if (free >= wanted) return;
    // If a request crosses the close of an idle connection, the connection is reset and a response that the
    // client has not read yet is lost. So it is closed at once only after time enough to read the response.
    bool close_at_once = rank != Idle || (!has_room() && now - since > kResponseReadTime);
    if (close_at_once) {
      downstream->close();
    } else {
      downstream->close_gracefully();
    }
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
  std::vector<DownstreamConnection*> accepted;
  for (auto& [key, downstream] : connections_) {
    if (downstream->listener() == listener) accepted.push_back(downstream.get());
  }
  for (DownstreamConnection* downstream : accepted) {
    if (downstream->is_idle()) {
      downstream->close_gracefully();
    } else {
      downstream->close_after_next_response();
    }
  }
}

// Without this, requests that stop half way would keep the memory that others wait for. Those that have been
// silent are rejected first, then those that hold most, until memory is no longer short.
void DownstreamConnections::relieve_memory() {
  const BufferPool& pool = loop_.pool();
  if (!saves_memory() || pool.pressure() < BufferPool::Pressure::Short) return;
  struct Candidate {
    bool is_silent;
    std::size_t held_bytes;
    DownstreamConnection* downstream;
  };
  std::vector<Candidate> candidates;
  for (auto& [key, downstream] : connections_) {
    if (!downstream->is_reading_request() || !downstream->has_partial_request()) continue;
    const bool is_silent = loop_.now() - downstream->last_received() > kMaxSilenceWithinRequest &&
                           downstream->has_no_unread_input();
    candidates.push_back({is_silent, downstream->held_input_bytes(), downstream.get()});
  }
  std::ranges::sort(candidates, [](const Candidate& one, const Candidate& other) {
    return std::tie(one.is_silent, one.held_bytes) > std::tie(other.is_silent, other.held_bytes);
  });
  for (const Candidate& candidate : candidates) {
    if (pool.pressure() < BufferPool::Pressure::Short) break;
    candidate.downstream->reject_partial_request();
    ++rejected_for_memory_;
  }
  if (loop_.now() < last_relief_logged_at_ + kReliefLogInterval) return;
  last_relief_logged_at_ = loop_.now();
  loop_.log()
      .event(Level::Warning, "memory.short")
      .with("bytes_in_use", pool.bytes_in_use())
      .with("limit_bytes", pool.limit())
      .with("connections", connections_.size())
      .with("rejected_partial_requests", rejected_for_memory_);
}

void DownstreamConnections::check_all_timeouts() {
  double now = loop_.now();
  std::vector<DownstreamConnection*> all;
  for (auto& [key, downstream] : connections_) all.push_back(downstream.get());
  for (DownstreamConnection* downstream : all) downstream->check_timeouts(now);
  relieve_memory();
  loop_.at(now + kTimeoutCheckInterval, alive_.guard([this] { check_all_timeouts(); }));
}

}  // namespace puffinvane
