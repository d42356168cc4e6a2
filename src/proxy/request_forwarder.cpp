#include "src/proxy/request_forwarder.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_set>
#include <utility>

#include "src/http/headers.h"

namespace puffinvane {

namespace {
constexpr double kOthers = 1e-6;    // of an endpoint: so little that only depth beyond all bounds goes there
constexpr double kIdleShare = 0.7;  // of the time after which endpoints close: an attempt must not cross that
constexpr double kSweep = 0.25;
// An endpoint may say something more some milliseconds after its answer. On a connection that carries the
// next request by then it would be read as that one's answer.
constexpr double kSettled = 0.03;
constexpr double kHelpAfter = 0.5;         // of the time that a connection has to come up
constexpr std::size_t kMostRising = 4;     // connections to an endpoint that come up with nothing to carry
constexpr std::size_t kLately = 4096;      // endpoints that are known though no longer listed
constexpr std::size_t kInOne = 64 * 1024;  // of a body, written at a time
constexpr std::size_t kMostUnsent = 256 * 1024;  // of one that streams, before it has a connection
constexpr double kUploading = 1200;              // seconds: longer than any body takes at the least pace
constexpr double kBeforeEnd = 0.01;
constexpr double kStoppedLate = 0.2;  // seconds without a byte of a short answer whose request's time is over
constexpr double kLeastPace = 8 * 1024;  // bytes a second: a quarter of what clients keep to
constexpr double kNever = std::numeric_limits<double>::infinity();
// Seconds that an attempt is told less than is left: for so long the loop doesn't know that it was held up,
// and all of the slack on what is told may go by between the clock's reading and the writing.
constexpr double kUntold = 0.025;
constexpr double kAfterLast = 0.5;  // seconds, for what is put off to the next turn or the next tick
}  // namespace

RequestForwarder::RequestForwarder(Loop& loop, ConnectionLimiter& limiter, Deployment deployment,
                                   std::uint64_t seed, PolicyFactory make, ForwarderOptions options)
    : loop_(loop),
      limiter_(limiter),
      deployment_(std::move(deployment)),
      options_(std::move(options)),
      counters_(deployment_.request_classes.size()),
      policy_(make(loop.now(), deployment_, seed, *this)) {
  limiter_.add(*this);
  sweep();
}

RequestForwarder::~RequestForwarder() { limiter_.remove(*this); }

void RequestForwarder::begin_shutdown(double gone) {
  gone_ = gone;
  policy_->on_shutdown(loop_.now(), gone);
}

void RequestForwarder::retire(const std::vector<RequestForwarder*>& successors) {
  retired_ = loop_.now();
  for (RequestForwarder* successor : successors)
    successors_.push_back({successor, successor->alive_.watch()});
  while (!rising_.empty()) drop_rising(std::string(rising_.begin()->first));
  for (double since = idle_.oldest_idle_since(); !std::isinf(since); since = idle_.oldest_idle_since())
    pass_on(idle_.take_oldest(since), since);
}

// A new connection costs its endpoint a handshake: a version that only words things anew must not cost that.
void RequestForwarder::pass_on(std::unique_ptr<UpstreamConnection> idle, double since) {
  const std::string* address = addresses_.find(idle->endpoint());
  for (std::size_t i = 0; i < successors_.size(); ++i) {
    const Successor& successor = successors_[next_successor_++ % successors_.size()];
    if (successor.alive.expired() || successor.forwarder->retired_) continue;
    const std::string* theirs = successor.forwarder->addresses_.find(idle->endpoint());
    if (!address || !theirs || *theirs != *address) continue;
    idle->pass_to(*successor.forwarder);
    std::string endpoint = idle->endpoint();
    return successor.forwarder->idle_.add(endpoint, std::move(idle), since);
  }
  idle->give_up(), loop_.delete_later(std::move(idle));
}

bool RequestForwarder::can_be_destroyed() const {
  // Alarms of requests go on until their client timeouts: with none of those to come nobody asks for it.
  double longest = 0;
  for (const RequestClass& request_class : deployment_.request_classes)
    longest = std::max(longest, request_class.client_timeout_s);
  return retired_ && requests_.count() == 0 &&
         loop_.now() > std::max(*retired_, last_request_ + longest) + kAfterLast;
}

void RequestForwarder::log(std::string_view text) {
  if (options_.pool_name.empty()) loop_.log().info() << text;
  else loop_.log().event(Level::Info, "pool.report").with("pool", options_.pool_name).with("text", text);
}

// ---- what the module asks for

void RequestForwarder::start_attempt(RequestId id, std::string_view endpoint, double attempt_deadline) {
  PendingRequest& request = *requests_.find(id);
  int number = int(request.attempts.size());
  double now = loop_.now(),
         ends = attempt_deadline > 0 ? std::min(attempt_deadline, request.until) : request.until;
  request.attempts.push_back({std::string(endpoint), now, ends});
  loop_.at(ends, alive_.guard([this, id, number] { out_of_time(id, number); }));
  if (client_left(id)) return end_soon(id, number, Outcome::NotSent);
  // What was let go of its body can't be sent again: that is nobody's fault, and nothing has run.
  if (request.spent) return end_soon(id, number, Outcome::NotSent);
  if (auto fault = start({id, number}, request.attempts.back().endpoint)) end_soon(id, number, *fault);
}

std::unique_ptr<UpstreamConnection> RequestForwarder::take_kept(UpstreamConnection::AttemptId attempt,
                                                                const std::string& endpoint) {
  while (std::unique_ptr<UpstreamConnection> kept =
             idle_.take_most_recent(endpoint, loop_.now() - kSettled)) {
    double idle = kept->stood_idle(loop_.now());
    // Rule 2: an unsafe request that meets a dropped connection can only be failed. The others find out.
    if (requests_.find(attempt.request)->request_class->idempotency == Idempotency::Unsafe &&
        kept_uses_.likely_stale(idle)) {
      idle_.add(endpoint, std::move(kept), loop_.now() - idle);
      return {};
    }
    // The endpoint may have closed it in this very turn of the loop.
    if (kept->quiet()) return kept;
    kept->give_up(), loop_.delete_later(std::move(kept));
  }
  return {};
}

std::optional<Outcome> RequestForwarder::start(UpstreamConnection::AttemptId attempt,
                                               const std::string& endpoint) {
  PendingRequest& request = *requests_.find(attempt.request);
  UpstreamConnection*& used = request.attempts[std::size_t(attempt.number)].upstream;
  bool head = request.message.method == "HEAD";
  if (std::unique_ptr<UpstreamConnection> kept = take_kept(attempt, endpoint)) {
    request.attempts[std::size_t(attempt.number)].stood_idle = kept->stood_idle(loop_.now());
    used = kept.get();
    busy_[used] = std::move(kept);
    used->carry(attempt, head);
    return {};
  }
  if (!addresses_.find(endpoint)) return Outcome::ConnectFailed;
  if (!limiter_.make_room_for_attempt())
    return Outcome::NotSent;  // our own want: it says nothing of the endpoint
  std::unique_ptr<UpstreamConnection> fresh = open(endpoint);
  if (!fresh) return Outcome::ConnectFailed;
  used = fresh.get();
  busy_[used] = std::move(fresh);
  used->carry(attempt, head);
  loop_.at(loop_.now() + kHelpAfter * deployment_.connect_timeout_s,
           alive_.guard([this, attempt] { help(attempt); }));
  return {};
}

std::unique_ptr<UpstreamConnection> RequestForwarder::open(const std::string& endpoint) {
  auto fresh = std::make_unique<UpstreamConnection>(loop_, *this, endpoint, options_.max_body_bytes,
                                                    options_.stream_bodies);
  const std::string* address = addresses_.find(endpoint);
  bool begun = address && fresh->connect(*address, deployment_.connect_timeout_s);
  return begun ? std::move(fresh) : nullptr;
}

// A connection that is not up by half of its time may be one of those that come up late, or never: another
// one to the same endpoint may be up before it. Whichever is first carries the attempt, the other is kept.
void RequestForwarder::help(UpstreamConnection::AttemptId attempt) {
  PendingRequest* request = requests_.find(attempt.request);
  UpstreamConnection* waiting = request ? request->attempts[std::size_t(attempt.number)].upstream : nullptr;
  if (!waiting || !waiting->connecting() || retired_ || loop_.descriptors().available() <= 0) return;
  const std::string endpoint = waiting->endpoint();
  if (auto there = rising_.find(endpoint); there != rising_.end() && there->second.size() >= kMostRising)
    return;
  if (std::unique_ptr<UpstreamConnection> helper = open(endpoint)) {
    helper->rise();
    rising_[endpoint].push_back(std::move(helper));
  }
}

void RequestForwarder::on_risen(UpstreamConnection& upstream) {
  const std::string endpoint = upstream.endpoint();
  std::unique_ptr<UpstreamConnection> risen = no_longer_rising(upstream);
  auto waits = std::find_if(busy_.begin(), busy_.end(), [&](const auto& one) {
    return one.second->connecting() && one.second->endpoint() == endpoint;
  });
  if (retired_) return loop_.delete_later(std::move(risen));
  if (waits == busy_.end()) return idle_.add(endpoint, std::move(risen), loop_.now() - kSettled);
  std::unique_ptr<UpstreamConnection> waiting = std::move(busy_.extract(waits).mapped());
  const UpstreamConnection::AttemptId attempt = waiting->attempt_id();
  waiting->rise();
  rising_[endpoint].push_back(std::move(waiting));
  PendingRequest& request = *requests_.find(attempt.request);
  request.attempts[std::size_t(attempt.number)].upstream = &upstream;
  busy_[&upstream] = std::move(risen);
  upstream.carry(attempt, request.message.method == "HEAD");
}

std::unique_ptr<UpstreamConnection> RequestForwarder::no_longer_rising(const UpstreamConnection& upstream) {
  auto there = rising_.find(upstream.endpoint());
  if (there == rising_.end()) return {};
  auto at = std::find_if(there->second.begin(), there->second.end(),
                         [&](const auto& one) { return one.get() == &upstream; });
  if (at == there->second.end()) return {};
  std::unique_ptr<UpstreamConnection> taken = std::move(*at);
  there->second.erase(at);
  if (there->second.empty()) rising_.erase(there);
  return taken;
}

// Answers, alarms and a client's end that are found in one turn of the loop come in any order, and after a
// stall or a wait at the listener the end is an old one: it is looked for before anything is sent on.
bool RequestForwarder::client_left(RequestId id) {
  DownstreamConnection* downstream = requests_.find(id)->downstream;
  if (!downstream) return false;
  if (!downstream->check_client_closed())
    return downstream->client_close_undetectable();  // can't be told: nothing is sent for it meanwhile
  loop_.post(alive_.guard([this, id] {
    PendingRequest* left = requests_.find(id);
    if (left && left->downstream) left->downstream->close();
  }));
  return true;
}

void RequestForwarder::not_sent(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  UpstreamConnection* upstream = request ? request->attempts[std::size_t(number)].upstream : nullptr;
  if (!upstream) return;
  let_go(*upstream);
  ended(id, number, Outcome::NotSent, nullptr);
}

void RequestForwarder::cancel_attempt(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  if (!request || number >= int(request->attempts.size())) return;
  UpstreamConnection* upstream = request->attempts[std::size_t(number)].upstream;
  if (!upstream) return;
  let_go(*upstream);
  end_soon(id, number, Outcome::Cancelled);
}

void RequestForwarder::reject_request(RequestId id, double wait) {
  std::string advice = wait > 0 ? "Retry-After: " + format_retry_after(wait) + "\r\n" : "";
  conclude(id, 503, nullptr, advice, "bounced: trying again does no harm\n");
}

void RequestForwarder::fail_request(RequestId id) {
  PendingRequest* request = requests_.find(id);
  // Better what the endpoint itself said than that it said something.
  if (request && request->failed) {
    HttpMessage said = std::move(*request->failed);
    return conclude(id, said.status, &said, "", "");
  }
  conclude(id, 502, nullptr, "", "errored: it may or may not have run\n");
}

void RequestForwarder::schedule_timer(double at, std::uint64_t token) {
  if (retired_ && requests_.count() == 0) return;  // there is nothing left to be woken for
  loop_.at(at, alive_.guard([this, token] { policy_->on_timer(loop_.now(), token); }));
}

void RequestForwarder::conclude(RequestId id, int status, const HttpMessage* from,
                                std::string_view more_headers, std::string_view text) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->concluded()) return;
  DownstreamConnection& downstream = *std::exchange(request->downstream, nullptr);
  downstream.open_request.reset();
  counters_.record_outcome(index_of(*request->request_class),
                           status == 503 && !from   ? RequestOutcome::Rejected
                           : status == 502 && !from ? RequestOutcome::Failed
                           : status < 500           ? RequestOutcome::Delivered
                                                    : RequestOutcome::Failed);
  downstream.respond(status, from, more_headers, text, false);
  // Not forgotten here: the module may be in the middle of it, and ask for more cancels.
  loop_.post(alive_.guard([this, id] { requests_.forget_if_over(id); }));
}

// ---- what happens to attempts

double RequestForwarder::time_to_tell(const PendingRequest& request, const PendingAttempt& attempt) const {
  // Amid an upload its time counts from the last byte, which is yet to come, or lies unread.
  const bool whole = !request.streams || !request.coming;
  const double unread = request.downstream ? request.downstream->reading_paused_for() : 0;
  const double left =
      whole ? std::min(attempt.ends, request.until) - loop_.now() : request.time_left - unread;
  return std::max(left - kUntold, left / 2);
}

BufferChain RequestForwarder::on_ready(UpstreamConnection& upstream) {
  auto [id, number] = upstream.attempt_id();
  const PendingRequest& request = *requests_.find(id);
  const PendingAttempt& attempt = request.attempts[std::size_t(number)];
  const std::string* address = addresses_.find(attempt.endpoint);
  BufferChain out(loop_.pool());
  const double left = time_to_tell(request, attempt);
  std::optional<BodyFraming> parts;
  if (request.streams) parts = BodyFraming{request.length};
  else if (request.message.body.size() > kInOne) parts = BodyFraming{request.message.body.size()};
  write_request(out, request.message, address ? *address : attempt.endpoint, format_remaining_deadline(left),
                parts);
  // Last of all: after the clock was read this process may have been held up, and its client left meanwhile.
  if (!request.concluded() && !client_left(id)) return out;
  loop_.post(alive_.guard([this, id = id, number = number] { not_sent(id, number); }));
  out.clear();
  return out;
}

BufferChain RequestForwarder::on_next(UpstreamConnection& upstream, bool& whole) {
  PendingRequest& request = *requests_.find(upstream.attempt_id().request);
  PendingAttempt& attempt = request.attempts[std::size_t(upstream.attempt_id().number)];
  BufferChain next(loop_.pool());
  BufferChain& body = request.message.body;
  if (request.streams) {
    request.spent = true;
    BufferChain part = std::exchange(body, BufferChain(loop_.pool()));
    if (request.downstream) request.downstream->pause_reading(false);
    if (request.length) next = std::move(part);
    else write_chunk(next, part);
    if (!request.coming && !request.length && !std::exchange(attempt.body_sent, 1)) write_last_chunk(next);
    whole = !request.coming && next.empty();
    return next;
  }
  whole = body.size() <= kInOne || attempt.body_sent == body.size();
  if (whole) return next;
  next.add(body, attempt.body_sent, kInOne);
  attempt.body_sent += next.size();
  return next;
}

void RequestForwarder::on_body_part(RequestId id, BufferChain bytes, bool whole) {
  PendingRequest& request = *requests_.find(id);
  request.message.body.add(bytes);
  request.coming = !whole;
  if (whole) {
    const double came = loop_.now() - loop_.stall_duration();
    request.until = std::min(came + request.time_left, gone_.value_or(kNever));
    loop_.at(request.until - kBeforeEnd, alive_.guard([this, id] { out_of_patience(id); }));
  }
  bool sends = false;
  for (PendingAttempt& attempt : request.attempts) {
    if (attempt.upstream) sends = true, attempt.upstream->push();
  }
  // Until it goes out, or where that is slower than it comes in, no more of it is read.
  if (!whole && request.downstream && request.message.body.size() > (sends ? kInOne : kMostUnsent))
    request.downstream->pause_reading(true);
}

// The module was told of a time that no request reaches, as the client's own began only with the last byte.
void RequestForwarder::out_of_patience(RequestId id) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->concluded()) return;
  conclude(id, 502, nullptr, "", "errored: it may or may not have run\n");
  policy_->on_request_cancelled(loop_.now(), id);
}

void RequestForwarder::on_begun(UpstreamConnection& upstream, HttpMessage answer,
                                std::optional<std::size_t> size) {
  auto [id, number] = upstream.attempt_id();
  PendingRequest& request = *requests_.find(id);
  PendingAttempt& attempt = request.attempts[std::size_t(number)];
  double now = loop_.now();
  bool late = request.concluded() || attempt.reported;
  if (late) {
    let_go(upstream);
    return end_soon(id, number, Outcome::Cancelled);
  }
  attempt.upstream = nullptr, attempt.reported = true;
  if (attempt.stood_idle) kept_uses_.record(*attempt.stood_idle, false);
  request.relay = &upstream;
  Load load = parse_load(answer.header("X-Backend-Load"));
  loop_.at(request.until, alive_.guard([this, id] { look_at_relay(id); }));
  request.downstream->begin_response(answer, size);
  on_more(upstream, std::move(answer.body));
  policy_->on_attempt_ended(now, {id, number, Outcome::Delivered, true, now - attempt.sent, load});
}

// It was passed on as it is, or may be, a long one, which has time beyond the request's. If it is short by
// then and stops, or goes on by a few bytes at a time, its client must not wait for it any longer.
void RequestForwarder::look_at_relay(RequestId id) {
  PendingRequest* request = requests_.find(id);
  if (!request || !request->relay || request->relay->is_long()) return;
  if (request->relay->silent() >= kStoppedLate || request->relay->crawls(kLeastPace))
    return request->relay->stop();
  loop_.at(loop_.now() + kStoppedLate / 2, alive_.guard([this, id] { look_at_relay(id); }));
}

void RequestForwarder::on_more(UpstreamConnection& upstream, BufferChain bytes) {
  DownstreamConnection& downstream = *requests_.find(upstream.attempt_id().request)->downstream;
  downstream.send_body_part(std::move(bytes));
  if (downstream.has_write_backlog()) upstream.hold_back(true);
}

void RequestForwarder::on_response_drained(RequestId id) {
  PendingRequest* request = requests_.find(id);
  if (request && request->relay) request->relay->hold_back(false);
}

DownstreamConnection* RequestForwarder::end_relay(RequestId id, RequestOutcome how) {
  PendingRequest& request = *requests_.find(id);
  counters_.record_outcome(index_of(*request.request_class), how);
  request.relay = nullptr;
  DownstreamConnection* downstream = std::exchange(request.downstream, nullptr);
  downstream->open_request.reset();
  requests_.forget_if_over(id);
  return downstream;
}

void RequestForwarder::on_finished(UpstreamConnection& upstream, BufferChain bytes) {
  DownstreamConnection* downstream = end_relay(upstream.attempt_id().request, RequestOutcome::Delivered);
  downstream->send_body_part(std::move(bytes));
  downstream->end_response();
  keep_or_close(no_longer_busy(upstream));
}

void RequestForwarder::on_cut(UpstreamConnection& upstream) {
  DownstreamConnection* downstream = end_relay(upstream.attempt_id().request, RequestOutcome::Failed);
  loop_.delete_later(no_longer_busy(upstream));
  downstream->abort_response();
}

std::unique_ptr<UpstreamConnection> RequestForwarder::no_longer_busy(const UpstreamConnection& upstream) {
  auto at = busy_.find(&upstream);
  std::unique_ptr<UpstreamConnection> taken = std::move(at->second);
  busy_.erase(at);
  return taken;
}

void RequestForwarder::keep_or_close(std::unique_ptr<UpstreamConnection> upstream) {
  if (upstream->rising() && !retired_) {
    auto& there = rising_[upstream->endpoint()];
    if (there.size() < kMostRising) return there.push_back(std::move(upstream));
  }
  if (!upstream->idle()) return upstream->give_up(), loop_.delete_later(std::move(upstream));
  if (retired_) return pass_on(std::move(upstream), loop_.now());
  std::string endpoint = upstream->endpoint();
  idle_.add(endpoint, std::move(upstream), loop_.now());
}

void RequestForwarder::on_attempt_ended(UpstreamConnection& upstream, Outcome outcome, HttpMessage answer) {
  auto [id, number] = upstream.attempt_id();
  keep_or_close(no_longer_busy(upstream));
  PendingAttempt& attempt = requests_.find(id)->attempts[std::size_t(number)];
  attempt.upstream = nullptr;
  if (attempt.stood_idle) kept_uses_.record(*attempt.stood_idle, outcome == Outcome::Stale);
  ended(id, number, outcome, &answer);
}

Outcome RequestForwarder::outcome_of(const HttpMessage& answer) const {
  return options_.relay_any_status ? outcome_of_any_status(answer) : puffinvane::outcome_of(answer);
}

void RequestForwarder::on_idle_end(UpstreamConnection& upstream) {
  std::unique_ptr<UpstreamConnection> risen = no_longer_rising(upstream);
  loop_.delete_later(risen ? std::move(risen) : idle_.remove(upstream.endpoint(), upstream));
}

void RequestForwarder::out_of_time(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  if (!request) return;
  UpstreamConnection* upstream = request->attempts[std::size_t(number)].upstream;
  if (!upstream) return;
  Outcome outcome = upstream->held_up() ? Outcome::NotSent : Outcome::TimedOut;
  let_go(*upstream);
  ended(id, number, outcome, nullptr);
}

void RequestForwarder::end_soon(RequestId id, int number, Outcome outcome) {
  loop_.post(alive_.guard([this, id, number, outcome] { ended(id, number, outcome, nullptr); }));
}

void RequestForwarder::ended(RequestId id, int number, Outcome outcome, HttpMessage* answer) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->attempts[std::size_t(number)].reported) return;
  request->attempts[std::size_t(number)].reported = true;
  double now = loop_.now();
  if (outcome == Outcome::Delivered)
    conclude(id, options_.relay_any_status ? answer->status : 200, answer, "", "");
  Load load = answer ? parse_load(answer->header("X-Backend-Load")) : Load();
  if (options_.relay_any_status && outcome == Outcome::Failed && answer && answer->status > 0 &&
      !request->concluded())
    request->failed = std::move(*answer);
  policy_->on_attempt_ended(now, {id, number, outcome, request->concluded(),
                                  now - request->attempts[std::size_t(number)].sent, load});
  requests_.forget_if_over(id);
}

// ---- clients

void RequestForwarder::on_client_disconnected(RequestId id) {
  PendingRequest& request = *requests_.find(id);
  request.downstream = nullptr;
  if (UpstreamConnection* relay = std::exchange(request.relay, nullptr)) {
    relay->give_up();
    loop_.delete_later(no_longer_busy(*relay));
    return requests_.forget_if_over(id);
  }
  policy_->on_request_cancelled(loop_.now(), id);
  requests_.forget_if_over(id);
}

const RequestClass* RequestForwarder::find_class(std::string_view name) const {
  for (const RequestClass& request_class : deployment_.request_classes) {
    if (request_class.name == name) return &request_class;
  }
  return nullptr;
}

void RequestForwarder::forward(DownstreamConnection& downstream, HttpMessage message,
                               const RequestClass& request_class, double time_left) {
  // It may have lain unread for all of a stall, at the listener or behind another one; its client has counted
  // on meanwhile. An upload's time begins with its last byte.
  double lain = downstream.is_uploading() ? 0 : std::max(loop_.stall_duration(), downstream.queueing_time());
  time_left = std::max(0.0, time_left - lain);
  double now = loop_.now();
  if (gone_) time_left = std::clamp(*gone_ - now, 0.0, time_left);
  last_request_ = now;
  std::string tenant(message.header("X-Account"));
  std::string said(message.header("X-Facts"));
  RequestFacts facts = parse_request_facts(said);
  PendingRequest taken{std::move(message)};
  taken.until = now + time_left, taken.time_left = time_left;
  taken.downstream = &downstream, taken.request_class = &request_class;
  if (downstream.is_uploading()) {
    taken.streams = taken.coming = true, taken.length = downstream.content_length();
    taken.until = now + kUploading, time_left = kUploading;
  }
  RequestId id = requests_.add(std::move(taken));
  downstream.open_request = {this, id};
  policy_->on_request(now, {id, request_class.name, tenant, time_left, facts.key, facts.work});
}

// ---- endpoints and their list

void RequestForwarder::close_oldest_idle() {
  if (!rising_.empty()) return drop_rising(std::string(rising_.begin()->first));
  std::unique_ptr<UpstreamConnection> oldest = idle_.take_oldest(std::numeric_limits<double>::infinity());
  if (oldest) oldest->give_up(), loop_.delete_later(std::move(oldest));
}

void RequestForwarder::drop_rising(const std::string& endpoint) {
  auto there = rising_.extract(endpoint);
  if (there.empty()) return;
  for (auto& one : there.mapped()) one->give_up(), loop_.delete_later(std::move(one));
}

void RequestForwarder::drop_connections(const std::string& endpoint) {
  drop_rising(endpoint);
  while (std::unique_ptr<UpstreamConnection> kept = idle_.take_most_recent(endpoint))
    kept->give_up(), loop_.delete_later(std::move(kept));
  // Rule 3: a connect time-out may be longer than the grace, and the request is written at its end.
  std::vector<UpstreamConnection*> coming_up;
  for (auto& [key, upstream] : busy_) {
    if (upstream->connecting() && upstream->endpoint() == endpoint) coming_up.push_back(upstream.get());
  }
  for (UpstreamConnection* upstream : coming_up) {
    auto [id, number] = let_go(*upstream);
    end_soon(id, number, Outcome::ConnectFailed);
  }
}

UpstreamConnection::AttemptId RequestForwarder::let_go(UpstreamConnection& upstream) {
  UpstreamConnection::AttemptId attempt_id = upstream.attempt_id();
  requests_.find(attempt_id.request)->attempts[std::size_t(attempt_id.number)].upstream = nullptr;
  upstream.give_up();
  loop_.delete_later(std::move(busy_.extract(&upstream).mapped()));
  return attempt_id;
}

void RequestForwarder::load_cached_list(const EndpointList& known) { note_entries(known, ListScope::Cached); }

void RequestForwarder::on_endpoint_list(const EndpointList& notified) {
  if (listed_.empty())
    return note_entries(notified, notified.is_snapshot ? ListScope::Full : ListScope::Changes);
  EndpointList changes = news(notified);
  index_ = notified.index;
  if (!changes.entries.empty()) note_entries(changes, ListScope::Changes);
}

// No start goes back: one taken back by order is in slow start, though the list, told again, knows nothing of
// that.
double RequestForwarder::latest_start(const ListEntry& entry) const {
  auto known = listed_.find(entry.endpoint);
  return known == listed_.end() ? entry.online_since_s
                                : std::max(entry.online_since_s, known->second.online_since_s);
}

bool RequestForwarder::same_as_known(const ListEntry& entry, const std::string& address) const {
  auto known = listed_.find(entry.endpoint);
  if (known == listed_.end()) return entry.state == ListedState::Removed;
  return known->second == entry && (address.empty() || known->second.address == address);
}

// Of a list what is not known yet: what it holds comes again and again, and the module looks at each entry
// that it is told.
EndpointList RequestForwarder::news(const EndpointList& list) const {
  EndpointList changes;
  changes.index = list.index;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    ListEntry entry = list.entries[i];
    entry.online_since_s = latest_start(entry);
    if (same_as_known(entry, list.addresses[i])) continue;
    changes.entries.push_back(std::move(entry));
    changes.addresses.push_back(list.addresses[i]);
  }
  if (list.is_snapshot) add_left_out(list, changes);
  return changes;
}

// What a whole list leaves out is gone without a word.
void RequestForwarder::add_left_out(const EndpointList& whole, EndpointList& changes) const {
  std::unordered_set<std::string_view> there;
  for (const ListEntry& entry : whole.entries) there.insert(entry.endpoint);
  for (const auto& [name, notified] : listed_) {
    if (there.contains(name)) continue;
    changes.entries.push_back(notified);
    changes.entries.back().state = ListedState::Removed;
    changes.addresses.emplace_back();
  }
}

EndpointList RequestForwarder::endpoint_list() const {
  EndpointList list;
  list.index = index_, list.is_snapshot = true;
  for (const auto& [name, notified] : listed_)
    list.entries.push_back(notified), list.addresses.push_back(notified.address);
  return list;
}

std::size_t RequestForwarder::active_request_count() const { return requests_.under_way(); }

std::size_t RequestForwarder::avoided_endpoint_count() const {
  auto going = [this](const auto& one) {
    return one.second.state != ListedState::Ready || out_.contains(one.first);
  };
  return policy_->avoided_endpoint_count() +
         std::size_t(std::count_if(listed_.begin(), listed_.end(), going));
}

bool RequestForwarder::knows_endpoint(std::string_view endpoint) const {
  return listed_.contains(endpoint) || std::find(lately_.begin(), lately_.end(), endpoint) != lately_.end();
}

void RequestForwarder::exclude_endpoint(std::string_view endpoint) {
  std::string name(endpoint);
  out_.insert(name);
  drop_connections(name);
  if (auto found = listed_.find(endpoint); found != listed_.end()) notify(found->second);
}

void RequestForwarder::include_endpoint(std::string_view endpoint, double out_since) {
  out_.erase(std::string(endpoint));
  auto found = listed_.find(endpoint);
  if (found == listed_.end()) return;
  // It was taken out to be restarted. Where the list has not heard of that yet it is taken for fresh all the
  // same, from now: rule 4 costs a warm endpoint some seconds of little work, a fresh one everything.
  ListEntry& entry = found->second;
  if (entry.online_since_s < out_since) entry.online_since_s = loop_.now();
  notify(entry);
}

ListEntry RequestForwarder::as_notified(ListEntry entry) const {
  if (out_.contains(entry.endpoint) && entry.state == ListedState::Ready) entry.state = ListedState::Draining;
  if (parts_.empty()) return entry;
  // One that is others' is not shut: it is what there is when all of its own are out.
  auto part = parts_.find(entry.endpoint);
  entry.weight = part == parts_.end() ? kOthers : std::max(kOthers, part->second);
  return entry;
}

void RequestForwarder::set_endpoint_shares(std::map<std::string, double, std::less<>> parts, int place,
                                           int sidecars) {
  parts_ = std::move(parts);
  policy_->on_instance_position({place, sidecars});
  std::vector<ListEntry> notified;
  for (const auto& [name, entry] : listed_) notified.push_back(as_notified(entry));
  policy_->on_endpoint_list(loop_.now(), ListScope::Changes, notified);
}

void RequestForwarder::notify(const ListEntry& entry) {
  ListEntry notified = as_notified(entry);
  policy_->on_endpoint_list(loop_.now(), ListScope::Changes, {&notified, 1});
}

void RequestForwarder::note_listed(const ListEntry& entry, const std::string& address) {
  if (entry.state == ListedState::Removed) return note_gone(entry.endpoint);
  auto& notified = listed_[entry.endpoint];
  static_cast<ListEntry&>(notified) = entry;
  if (!address.empty()) notified.address = address;
}

// Two may be listed at one address for a while, the old one not yet known to be gone, or on its way out. Only
// one can listen there: who is ready, and of those who started last. The list comes again and again, and must
// not pass it to and fro.
void RequestForwarder::note_address(const ListedEndpoint& notified) {
  if (notified.state != ListedState::Ready || notified.address.empty()) return;
  if (const std::string* has = addresses_.endpoint_at(notified.address); has && *has != notified.endpoint) {
    auto owner = listed_.find(*has);
    bool ready = owner != listed_.end() && owner->second.state == ListedState::Ready;
    if (ready && owner->second.online_since_s > notified.online_since_s) return;
  }
  for (const std::string& stale : addresses_.assign(notified.endpoint, notified.address)) {
    drop_connections(stale);
    if (listed_.contains(stale)) unplaced_.insert(stale);
  }
  unplaced_.erase(notified.endpoint);
}

void RequestForwarder::place(const ListedEndpoint& notified) {
  note_address(notified);
  if (!addresses_.find(notified.endpoint)) unplaced_.insert(notified.endpoint);
}

// Who had the address of one of them may have just left it.
void RequestForwarder::place_the_unplaced() {
  for (const std::string& name : std::set<std::string>(unplaced_)) note_address(listed_.at(name));
}

void RequestForwarder::note_gone(const std::string& endpoint) {
  unplaced_.erase(endpoint);
  if (listed_.erase(endpoint) == 0) return;
  if (std::find(lately_.begin(), lately_.end(), endpoint) == lately_.end()) lately_.push_back(endpoint);
  if (lately_.size() > kLately) lately_.pop_front();
}

void RequestForwarder::note_entries(const EndpointList& list, ListScope scope) {
  std::set<std::string> listed;
  index_ = list.index;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const ListEntry& entry = list.entries[i];
    listed.insert(entry.endpoint);
    note_listed(entry, list.addresses[i]);
    if (entry.state != ListedState::Ready) drop_connections(entry.endpoint);
    if (entry.state == ListedState::Removed) addresses_.erase(entry.endpoint);
    else place(listed_.at(entry.endpoint));
  }
  if (list.is_snapshot) {  // what a whole list leaves out is gone without a word
    for (const std::string& gone : addresses_.not_listed_in(listed))
      drop_connections(gone), addresses_.erase(gone), note_gone(gone);
  }
  place_the_unplaced();
  std::vector<ListEntry> notified = list.entries;
  for (ListEntry& entry : notified) entry = as_notified(std::move(entry));
  policy_->on_endpoint_list(loop_.now(), scope, notified);
}

void RequestForwarder::sweep() {
  double now = loop_.now();
  while (std::unique_ptr<UpstreamConnection> old =
             idle_.take_oldest(now - kIdleShare * deployment_.idle_timeout_s))
    old->give_up(), loop_.delete_later(std::move(old));
  loop_.at(now + kSweep, alive_.guard([this] { sweep(); }));
}

}  // namespace puffinvane
