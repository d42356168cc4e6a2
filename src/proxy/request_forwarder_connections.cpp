// The connections of a request forwarder to its endpoints: which are opened, reused, kept and closed.
#include <algorithm>
#include <limits>
#include <utility>

#include "src/proxy/request_forwarder.h"

namespace puffinvane {

namespace {
// Share of the time after which endpoints close idle connections. They are closed here before that, so that
// no attempt is sent while the endpoint closes.
constexpr double kMaxIdleShare = 0.7;
constexpr double kIdleCheckInterval = 0.25;  // seconds
// Seconds for which a connection is not reused after a response. An endpoint may send stray bytes some
// milliseconds after its response, and they would be read as the response to the next request.
constexpr double kReuseDelay = 0.03;
constexpr std::size_t kMaxSparesPerEndpoint = 4;  // being established at a time
}  // namespace

std::unique_ptr<UpstreamConnection> RequestForwarder::take_reusable(UpstreamConnection::AttemptId attempt,
                                                                    const std::string& endpoint) {
  while (std::unique_ptr<UpstreamConnection> reusable =
             idle_.take_most_recent(endpoint, loop_.now() - kReuseDelay)) {
    double idle_s = reusable->idle_for(loop_.now());
    // An Unsafe request may run once at most (rule 2). If it meets a dropped connection it can't be sent
    // again and fails. The other requests are retried, and show which connections are dropped.
    if (requests_.find(attempt.request)->request_class->idempotency == Idempotency::Unsafe &&
        idle_reuse_.likely_stale(idle_s)) {
      idle_.add(endpoint, std::move(reusable), loop_.now() - idle_s);
      return {};
    }
    // The endpoint may have closed it without the loop having reported that yet.
    if (reusable->has_nothing_to_read()) return reusable;
    reusable->close();
    loop_.delete_later(std::move(reusable));
  }
  return {};
}

std::unique_ptr<UpstreamConnection> RequestForwarder::open_connection(const std::string& endpoint) {
  auto fresh = std::make_unique<UpstreamConnection>(loop_, *this, endpoint, options_.max_body_bytes,
                                                    options_.stream_bodies);
  const std::string* address = directory_.address_of(endpoint);
  bool started = address && fresh->connect(*address, deployment_.connect_timeout_s);
  return started ? std::move(fresh) : nullptr;
}

// A connection that is not established within half of the connect timeout may be late or never be
// established, and another one to the same endpoint may be faster. Whichever is established first carries the
// attempt; the other one is kept for later attempts.
void RequestForwarder::open_spare(UpstreamConnection::AttemptId attempt) {
  const UpstreamConnection* waiting = upstream_of(attempt.request, attempt.number);
  if (!waiting || !waiting->connecting() || retired_at_ || loop_.descriptors().available() <= 0) return;
  const std::string endpoint = waiting->endpoint();
  if (auto found = spares_.find(endpoint);
      found != spares_.end() && found->second.size() >= kMaxSparesPerEndpoint)
    return;
  if (std::unique_ptr<UpstreamConnection> spare = open_connection(endpoint)) {
    spare->become_spare();
    spares_[endpoint].push_back(std::move(spare));
  }
}

// The spare takes the attempt of a connection to the same endpoint that is still being established, if there
// is one; that connection becomes a spare in its place.
void RequestForwarder::on_spare_connected(UpstreamConnection& upstream) {
  const std::string endpoint = upstream.endpoint();
  std::unique_ptr<UpstreamConnection> spare = take_spare(upstream);
  auto found = std::find_if(busy_.begin(), busy_.end(), [&](const auto& one) {
    return one.second->connecting() && one.second->endpoint() == endpoint;
  });
  if (retired_at_) return loop_.delete_later(std::move(spare));
  // No response has arrived on it, so that it can be used without the delay.
  if (found == busy_.end()) return idle_.add(endpoint, std::move(spare), loop_.now() - kReuseDelay);
  std::unique_ptr<UpstreamConnection> waiting = std::move(busy_.extract(found).mapped());
  const UpstreamConnection::AttemptId attempt = waiting->attempt_id();
  waiting->become_spare();
  spares_[endpoint].push_back(std::move(waiting));
  PendingRequest& request = *requests_.find(attempt.request);
  request.attempts[std::size_t(attempt.number)].upstream = &upstream;
  busy_[&upstream] = std::move(spare);
  upstream.assign_attempt(attempt, request.message.method == "HEAD");
}

// Null if it is not a spare.
std::unique_ptr<UpstreamConnection> RequestForwarder::take_spare(const UpstreamConnection& upstream) {
  auto spares = spares_.find(upstream.endpoint());
  if (spares == spares_.end()) return {};
  auto found = std::find_if(spares->second.begin(), spares->second.end(),
                            [&](const auto& one) { return one.get() == &upstream; });
  if (found == spares->second.end()) return {};
  std::unique_ptr<UpstreamConnection> taken = std::move(*found);
  spares->second.erase(found);
  if (spares->second.empty()) spares_.erase(spares);
  return taken;
}

std::unique_ptr<UpstreamConnection> RequestForwarder::take_busy(const UpstreamConnection& upstream) {
  auto found = busy_.find(&upstream);
  std::unique_ptr<UpstreamConnection> taken = std::move(found->second);
  busy_.erase(found);
  return taken;
}

// While a connection was busy its endpoint may have moved or gone, and another process may be at its address
// by now.
bool RequestForwarder::leads_to_its_endpoint(const UpstreamConnection& upstream) const {
  const std::string* address = directory_.address_of(upstream.endpoint());
  return address && *address == upstream.address();
}

void RequestForwarder::keep_or_close(std::unique_ptr<UpstreamConnection> upstream) {
  if (!leads_to_its_endpoint(*upstream)) {
    upstream->close();
    return loop_.delete_later(std::move(upstream));
  }
  if (upstream->connecting_as_spare() && !retired_at_) {
    auto& spares = spares_[upstream->endpoint()];
    if (spares.size() < kMaxSparesPerEndpoint) return spares.push_back(std::move(upstream));
  }
  if (!upstream->idle()) {
    upstream->close();
    return loop_.delete_later(std::move(upstream));
  }
  if (retired_at_) return hand_to_successor(std::move(upstream), loop_.now());
  std::string endpoint = upstream->endpoint();
  idle_.add(endpoint, std::move(upstream), loop_.now());
}

// Each new connection costs its endpoint a handshake, so a mere change of settings must not close
// connections. A successor gets only connections to endpoints that it knows at the same address.
void RequestForwarder::hand_to_successor(std::unique_ptr<UpstreamConnection> idle, double idle_since) {
  const std::string* address = directory_.address_of(idle->endpoint());
  for (std::size_t i = 0; i < successors_.size(); ++i) {
    const Successor& successor = successors_[next_successor_++ % successors_.size()];
    if (successor.alive.expired() || successor.forwarder->retired_at_) continue;
    const std::string* theirs = successor.forwarder->directory_.address_of(idle->endpoint());
    if (!address || !theirs || *theirs != *address) continue;
    idle->set_owner(*successor.forwarder);
    std::string endpoint = idle->endpoint();
    return successor.forwarder->idle_.add(endpoint, std::move(idle), idle_since);
  }
  idle->close();
  loop_.delete_later(std::move(idle));
}

void RequestForwarder::on_unused_closed(UpstreamConnection& upstream) {
  std::unique_ptr<UpstreamConnection> spare = take_spare(upstream);
  loop_.delete_later(spare ? std::move(spare) : idle_.remove(upstream.endpoint(), upstream));
}

void RequestForwarder::close_oldest_idle() {
  if (!spares_.empty()) return close_spares(std::string(spares_.begin()->first));
  std::unique_ptr<UpstreamConnection> oldest = idle_.take_oldest(std::numeric_limits<double>::infinity());
  if (oldest) {
    oldest->close();
    loop_.delete_later(std::move(oldest));
  }
}

void RequestForwarder::close_spares(const std::string& endpoint) {
  auto spares = spares_.extract(endpoint);
  if (spares.empty()) return;
  for (auto& spare : spares.mapped()) {
    spare->close();
    loop_.delete_later(std::move(spare));
  }
}

// Closes all connections to the endpoint but those that an attempt was sent on.
void RequestForwarder::close_connections(const std::string& endpoint) {
  close_spares(endpoint);
  while (std::unique_ptr<UpstreamConnection> idle = idle_.take_most_recent(endpoint)) {
    idle->close();
    loop_.delete_later(std::move(idle));
  }
  // A draining endpoint gets no attempts after a grace period (rule 3). The connect timeout may be longer
  // than that, and the attempt is only sent once the connection is established and the attempt permitted.
  std::vector<UpstreamConnection*> unsent;
  for (auto& [key, upstream] : busy_) {
    const bool is_unsent = upstream->connecting() || upstream->is_ready();
    if (is_unsent && upstream->endpoint() == endpoint) unsent.push_back(upstream.get());
  }
  for (UpstreamConnection* upstream : unsent) {
    auto [id, number] = detach_and_close(*upstream);
    report_attempt_end_soon(id, number, Outcome::ConnectFailed);
  }
}

// Closes a connection that has an attempt. Returns that attempt, whose end the caller has to report.
UpstreamConnection::AttemptId RequestForwarder::detach_and_close(UpstreamConnection& upstream) {
  UpstreamConnection::AttemptId attempt_id = upstream.attempt_id();
  PendingAttempt& attempt = requests_.find(attempt_id.request)->attempts[std::size_t(attempt_id.number)];
  attempt.may_have_run = upstream.may_have_run();
  attempt.upstream = nullptr;
  upstream.close();
  loop_.delete_later(std::move(busy_.extract(&upstream).mapped()));
  return attempt_id;
}

void RequestForwarder::close_expired_idle() {
  double now = loop_.now();
  while (std::unique_ptr<UpstreamConnection> expired =
             idle_.take_oldest(now - kMaxIdleShare * deployment_.idle_timeout_s)) {
    expired->close();
    loop_.delete_later(std::move(expired));
  }
  loop_.at(now + kIdleCheckInterval, alive_.guard([this] { close_expired_idle(); }));
}

}  // namespace puffinvane
