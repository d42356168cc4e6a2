#include "src/proxy/request_forwarder.h"

#include <algorithm>
#include <utility>

#include "src/http/headers.h"
#include "src/proxy/forwarder_events.h"

namespace puffinvane {

namespace {
constexpr double kSpareDelayShare = 0.5;  // of the connect timeout
// Seconds by which an attempt is told less than the time that remains. The loop doesn't notice stalls of up
// to that length, and one between reading the clock and writing the request may use up the whole tolerance
// for the time that was told.
constexpr double kTimeLeftMargin = 0.025;
constexpr double kDestroyDelay = 0.5;  // seconds, for callbacks put off to the next turn or timer check

bool may_have_run(Outcome outcome) {
  switch (outcome) {
    case Outcome::Refused:
    case Outcome::ConnectFailed:
    case Outcome::NotSent:
    case Outcome::Cancelled: return false;  // of a cancelled one its connection knows
    case Outcome::Delivered:
    case Outcome::Failed:
    case Outcome::TimedOut:
    case Outcome::Broken:
    case Outcome::Stale: return true;
  }
  return true;
}
}  // namespace

RequestForwarder::RequestForwarder(Loop& loop, ConnectionLimiter& limiter, Deployment deployment,
                                   std::uint64_t seed, PolicyFactory make, ForwarderOptions options)
    : loop_(loop),
      limiter_(limiter),
      deployment_(std::move(deployment)),
      options_(std::move(options)),
      directory_(loop.log(), *this),
      counters_(deployment_.request_classes.size()),
      policy_(make(loop.now(), deployment_, seed, *this)) {
  limiter_.add(*this);
  close_expired_idle();
}

RequestForwarder::~RequestForwarder() { limiter_.remove(*this); }

void RequestForwarder::begin_shutdown(double deadline) {
  shutdown_deadline_ = deadline;
  policy_->on_shutdown(loop_.now(), deadline);
}

void RequestForwarder::retire(const std::vector<RequestForwarder*>& successors) {
  retired_at_ = loop_.now();
  for (RequestForwarder* successor : successors)
    successors_.push_back({successor, successor->alive_.watch()});
  while (!spares_.empty()) close_spares(std::string(spares_.begin()->first));
  for (double since = idle_.oldest_idle_since(); !std::isinf(since); since = idle_.oldest_idle_since())
    hand_to_successor(idle_.take_oldest(since), since);
}

bool RequestForwarder::can_be_destroyed() const {
  // The timers of a request run until its client timeout, even if it has ended before.
  double longest = 0;
  for (const RequestClass& request_class : deployment_.request_classes)
    longest = std::max(longest, request_class.client_timeout_s);
  return retired_at_ && requests_.count() == 0 &&
         loop_.now() > std::max(*retired_at_, last_request_at_ + longest) + kDestroyDelay;
}

void RequestForwarder::log(std::string_view text) {
  if (options_.pool_name.empty()) loop_.log().info() << text;
  else loop_.log().event(Level::Info, "pool.report").with("pool", options_.pool_name).with("text", text);
}

// ---- Host: what the policy asks for

void RequestForwarder::start_attempt(RequestId id, std::string_view endpoint, const AttemptLimits& limits) {
  PendingRequest& request = *requests_.find(id);
  int number = int(request.attempts.size());
  double now = loop_.now();
  double deadline = limits.deadline > 0 ? std::min(limits.deadline, request.deadline) : request.deadline;
  request.attempts.push_back({std::string(endpoint), now, deadline, limits.send_deadline});
  log_attempt_started(loop_.log(), {client_id_of(request), number, endpoint}, directory_.index(),
                      now - directory_.confirmed_at_s());
  request.alarms.push_back(
      loop_.at(deadline, alive_.guard([this, id, number] { on_attempt_deadline(id, number); })));
  if (!std::isinf(limits.send_deadline)) {
    request.alarms.push_back(
        loop_.at(limits.send_deadline, alive_.guard([this, id, number] { on_send_deadline(id, number); })));
  }
  if (client_may_have_left(id)) return report_attempt_end_soon(id, number, Outcome::NotSent);
  // A body whose first part was sent and released can't be sent again. NotSent blames no endpoint for that.
  if (request.body_consumed) return report_attempt_end_soon(id, number, Outcome::NotSent);
  if (auto failure = send_attempt({id, number}, request.attempts.back().endpoint)) {
    report_attempt_end_soon(id, number, *failure);
  }
}

std::optional<Outcome> RequestForwarder::send_attempt(UpstreamConnection::AttemptId attempt,
                                                      const std::string& endpoint) {
  PendingRequest& request = *requests_.find(attempt.request);
  UpstreamConnection*& used = request.attempts[std::size_t(attempt.number)].upstream;
  bool is_head = request.message.method == "HEAD";
  if (std::unique_ptr<UpstreamConnection> reusable = take_reusable(attempt, endpoint)) {
    request.attempts[std::size_t(attempt.number)].reused_after_idle_s = reusable->idle_for(loop_.now());
    used = reusable.get();
    busy_[used] = std::move(reusable);
    used->assign_attempt(attempt, is_head);
    return {};
  }
  if (!directory_.address_of(endpoint)) return Outcome::ConnectFailed;
  // A shortage of descriptors here is not the endpoint's fault.
  if (!limiter_.make_room_for_attempt()) return Outcome::NotSent;
  std::unique_ptr<UpstreamConnection> fresh = open_connection(endpoint);
  if (!fresh) return Outcome::ConnectFailed;
  used = fresh.get();
  busy_[used] = std::move(fresh);
  used->assign_attempt(attempt, is_head);
  request.alarms.push_back(loop_.at(loop_.now() + kSpareDelayShare * deployment_.connect_timeout_s,
                                    alive_.guard([this, attempt] { open_spare(attempt); })));
  return {};
}

void RequestForwarder::cancel_attempt(RequestId id, int number) {
  UpstreamConnection* upstream = upstream_of(id, number);
  if (!upstream) return;
  detach_and_close(*upstream);
  report_attempt_end_soon(id, number, Outcome::Cancelled);
}

UpstreamConnection* RequestForwarder::upstream_of(RequestId id, int number) {
  PendingRequest* request = requests_.find(id);
  if (!request || number >= int(request->attempts.size())) return nullptr;
  return request->attempts[std::size_t(number)].upstream;
}

void RequestForwarder::reject_request(RequestId id, double retry_after_s) {
  std::string header = retry_after_s > 0 ? "Retry-After: " + format_retry_after(retry_after_s) + "\r\n" : "";
  conclude(id, 503, nullptr, header, "bounced: trying again does no harm\n");
}

void RequestForwarder::fail_request(RequestId id) {
  PendingRequest* request = requests_.find(id);
  // An endpoint's own error response tells the client more than a general one.
  if (request && request->error_response) {
    HttpMessage response = std::move(*request->error_response);
    return conclude(id, response.status, &response, "", "");
  }
  conclude(id, 502, nullptr, "", "errored: it may or may not have run\n");
}

void RequestForwarder::schedule_timer(double due_at, std::uint64_t token) {
  if (retired_at_ && requests_.count() == 0) return;  // the policy has nothing left to do
  loop_.at(due_at, alive_.guard([this, token] { policy_->on_timer(loop_.now(), token); }));
}

// Requests that have ended would keep a timer each until their deadlines otherwise, and a client that sends
// small requests at full speed would use up the memory.
void RequestForwarder::schedule_request_timer(RequestId id, double due_at, std::uint64_t token) {
  PendingRequest* request = requests_.find(id);
  if (!request) return;
  request->alarms.push_back(
      loop_.at(due_at, alive_.guard([this, token] { policy_->on_timer(loop_.now(), token); })));
}

void RequestForwarder::remove_if_finished(RequestId id) {
  const std::optional<PendingRequest> finished = requests_.take_if_finished(id);
  if (!finished) return;
  for (const AlarmId& alarm : finished->alarms) loop_.cancel(alarm);
  if (finished->upload_alarm) loop_.cancel(*finished->upload_alarm);
}

// Sends the final response to the client: `from` with `status`, or one made of `status`, `more_headers` and
// `text`.
void RequestForwarder::conclude(RequestId id, int status, const HttpMessage* from,
                                std::string_view more_headers, std::string_view text) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->concluded()) return;
  DownstreamConnection& downstream = *std::exchange(request->downstream, nullptr);
  downstream.open_request.reset();
  log_request_ended(loop_.log(), client_id_of(*request), status, request->attempts.size());
  counters_.record_outcome(index_of(*request->request_class),
                           status == 503 && !from   ? RequestOutcome::Rejected
                           : status == 502 && !from ? RequestOutcome::Failed
                           : status < 500           ? RequestOutcome::Delivered
                                                    : RequestOutcome::Failed);
  downstream.respond(status, from, more_headers, text, false);
  // Removed on the next turn only: the policy may be working on this request and still cancel attempts of it.
  loop_.post(alive_.guard([this, id] { remove_if_finished(id); }));
}

// ---- attempts and responses

// The remaining time that the endpoint is told.
double RequestForwarder::time_left_to_send(const PendingRequest& request,
                                           const PendingAttempt& attempt) const {
  // The time of an upload counts from its last byte, which may have arrived already and be unread, or lie in
  // the send buffer of the client's machine because reading is paused.
  const bool has_arrived = !request.streams_body || !request.body_incomplete ||
                           (request.downstream && request.downstream->body_arrived_after());
  const double paused_s = request.downstream ? request.downstream->reading_paused_for() : 0;
  const double left = has_arrived ? std::min(attempt.deadline, request.deadline) - loop_.now()
                                  : request.remaining_time_s - paused_s;
  return std::max(left - kTimeLeftMargin, left / 2);
}

UpstreamConnection::AttemptStart RequestForwarder::on_ready_to_send(UpstreamConnection& upstream) {
  auto [id, number] = upstream.attempt_id();
  const PendingRequest& request = *requests_.find(id);
  const PendingAttempt& attempt = request.attempts[std::size_t(number)];
  const std::string* address = directory_.address_of(attempt.endpoint);
  UpstreamConnection::AttemptStart start{UpstreamConnection::SendPermission::Refused,
                                         BufferChain(loop_.pool())};
  const double left = time_left_to_send(request, attempt);
  std::optional<BodyFraming> framing;
  if (request.streams_body) framing = BodyFraming{request.body_length};
  else if (request.message.body.size() > kBodyPartBytes) framing = BodyFraming{request.message.body.size()};
  write_request(start.bytes, request.message, address ? *address : attempt.endpoint,
                format_remaining_deadline(left), framing);
  // Checked last: this process may have stalled since it read the clock, and the client left meanwhile.
  start.permission = permission_to_begin(id, number);
  if (start.permission == UpstreamConnection::SendPermission::Granted) {
    log_attempt_writing(loop_.log(), {client_id_of(request), number, attempt.endpoint},
                        loop_.now() - attempt.started_at);
    if (on_request_written_) on_request_written_(AbandonedRequestIds::hash_of(client_id_of(request)));
  }
  return start;
}

void RequestForwarder::on_attempt_ended(UpstreamConnection& upstream, Outcome outcome, HttpMessage response) {
  auto [id, number] = upstream.attempt_id();
  keep_or_close(take_busy(upstream));
  PendingAttempt& attempt = requests_.find(id)->attempts[std::size_t(number)];
  attempt.upstream = nullptr;
  if (attempt.reused_after_idle_s) {
    idle_reuse_.record(*attempt.reused_after_idle_s, outcome == Outcome::Stale);
  }
  report_attempt_end(id, number, outcome, &response);
}

Outcome RequestForwarder::outcome_of(const HttpMessage& response) const {
  return options_.relay_any_status ? outcome_of_any_status(response) : puffinvane::outcome_of(response);
}

void RequestForwarder::on_attempt_deadline(RequestId id, int number) {
  UpstreamConnection* upstream = upstream_of(id, number);
  if (!upstream) return;
  const bool is_unsent = upstream->blocked_locally() || upstream->is_ready();
  const Outcome outcome = is_unsent ? Outcome::NotSent : Outcome::TimedOut;
  detach_and_close(*upstream);
  report_attempt_end(id, number, outcome, nullptr);
}

void RequestForwarder::report_attempt_end_soon(RequestId id, int number, Outcome outcome) {
  loop_.post(alive_.guard([this, id, number, outcome] { report_attempt_end(id, number, outcome, nullptr); }));
}

void RequestForwarder::report_attempt_end(RequestId id, int number, Outcome outcome, HttpMessage* response) {
  PendingRequest* request = requests_.find(id);
  if (!request || request->attempts[std::size_t(number)].reported) return;
  PendingAttempt& attempt = request->attempts[std::size_t(number)];
  attempt.reported = true;
  attempt.may_have_run = attempt.may_have_run || may_have_run(outcome);
  double now = loop_.now();
  log_attempt_ended(loop_.log(), {client_id_of(*request), number, attempt.endpoint}, outcome,
                    now - attempt.started_at);
  if (outcome == Outcome::Delivered) {
    conclude(id, options_.relay_any_status ? response->status : 200, response, "", "");
  }
  Load load = response ? parse_load(response->header("X-Backend-Load")) : Load();
  if (options_.relay_any_status && outcome == Outcome::Failed && response && response->status > 0 &&
      !request->concluded())
    request->error_response = std::move(*response);
  policy_->on_attempt_ended(now, {id, number, outcome, request->concluded(), now - attempt.started_at, load});
  remove_if_finished(id);
}

// ---- clients

// Endpoints would run a request again that comes a second time under its id, from whomever.
void RequestForwarder::remember_if_it_may_have_run(const PendingRequest& request) {
  const bool may_have_run =
      request.relay || std::ranges::any_of(request.attempts, [](const auto& attempt) {
        return attempt.upstream ? attempt.upstream->may_have_run() : attempt.may_have_run;
      });
  if (may_have_run) abandoned_ids_.add(client_id_of(request), loop_.now());
}

bool RequestForwarder::is_id_in_use(std::string_view client_id) {
  const bool is_abandoned = abandoned_ids_.contains(client_id, loop_.now());
  if (is_abandoned) log_id_refused(loop_.log(), client_id);
  return is_abandoned || requests_.has_client_id(client_id);
}

std::vector<std::uint64_t> RequestForwarder::sent_request_hashes() const {
  const std::unordered_set<std::uint64_t>& abandoned = abandoned_ids_.hashes();
  std::vector<std::uint64_t> hashes(abandoned.begin(), abandoned.end());
  for (const auto& [id, request] : requests_.all()) {
    if (!request.attempts.empty()) hashes.push_back(AbandonedRequestIds::hash_of(client_id_of(request)));
  }
  return hashes;
}

void RequestForwarder::on_sent_elsewhere(const std::vector<std::uint64_t>& id_hashes) {
  for (const std::uint64_t hash : id_hashes) abandoned_ids_.add_hash(hash, loop_.now());
}

void RequestForwarder::on_client_disconnected(RequestId id) {
  PendingRequest& request = *requests_.find(id);
  remember_if_it_may_have_run(request);
  request.downstream = nullptr;
  if (UpstreamConnection* relay = std::exchange(request.relay, nullptr)) {
    relay->close();
    loop_.delete_later(take_busy(*relay));
    return remove_if_finished(id);
  }
  // The rest of the body will never come. Where the policy may not cancel attempts, they would wait for it.
  const int unfinishable_attempts = request.body_incomplete ? int(request.attempts.size()) : 0;
  for (int number = 0; number < unfinishable_attempts; ++number) end_unsent_attempt(id, number);
  policy_->on_request_cancelled(loop_.now(), id);
  remove_if_finished(id);
}

const RequestClass* RequestForwarder::find_class(std::string_view name) const {
  for (const RequestClass& request_class : deployment_.request_classes) {
    if (request_class.name == name) return &request_class;
  }
  return nullptr;
}

void RequestForwarder::forward(DownstreamConnection& downstream, HttpMessage message,
                               const RequestClass& request_class, double remaining_time_s) {
  if (loop_.pool().pressure() >= BufferPool::Pressure::Severe)
    return reject_for_memory(downstream, message, request_class);
  // The request may have waited unread, at the listener, behind another request or while this process was
  // stalled, and the client's timeout has been running meanwhile. That of an upload starts with its last
  // byte.
  double waited_s =
      downstream.is_uploading() ? 0 : std::max(loop_.stall_duration(), downstream.queueing_time());
  remaining_time_s = std::max(0.0, remaining_time_s - waited_s);
  double now = loop_.now();
  if (shutdown_deadline_) remaining_time_s = std::clamp(*shutdown_deadline_ - now, 0.0, remaining_time_s);
  last_request_at_ = now;
  std::string tenant(message.header("X-Account"));
  std::string facts_header(message.header("X-Facts"));
  RequestFacts facts = parse_request_facts(facts_header);
  PendingRequest request{std::move(message)};
  request.deadline = now + remaining_time_s;
  request.remaining_time_s = remaining_time_s;
  request.downstream = &downstream;
  request.request_class = &request_class;
  if (downstream.is_uploading()) {
    request.streams_body = true;
    request.body_incomplete = true;
    request.body_length = downstream.content_length();
    request.first_part_bytes = request.message.body.size();
    request.deadline = now + kMaxUploadTime;
    remaining_time_s = kMaxUploadTime;
  }
  RequestId id = requests_.add(std::move(request));
  downstream.open_request = {this, id};
  if (downstream.is_uploading() && downstream.body_arrived_after())
    set_upload_deadline(id, *downstream.body_arrived_after());
  policy_->on_request(now, {id, request_class.name, tenant, remaining_time_s, facts.key, facts.work});
}

// A request that is begun needs memory until it ends, and there is little left for those that have begun.
void RequestForwarder::reject_for_memory(DownstreamConnection& downstream, const HttpMessage& message,
                                         const RequestClass& request_class) {
  const double retry_after_s = deployment_.sends_retry_after ? deployment_.max_retry_after_s : 0;
  const std::string header =
      retry_after_s > 0 ? "Retry-After: " + format_retry_after(retry_after_s) + "\r\n" : "";
  counters_.record_outcome(index_of(request_class), RequestOutcome::Rejected);
  log_request_ended(loop_.log(), message.header(kRequestIdHeader), 503, 0);
  downstream.respond(503, nullptr, header, "rejected: retrying is safe\n", false);
}

// ---- the endpoint list

void RequestForwarder::load_cached_list(const EndpointList& cached) { directory_.load_cached(cached); }

void RequestForwarder::on_endpoint_list(const EndpointList& list) { directory_.on_list(list, loop_.now()); }

void RequestForwarder::on_endpoint_unusable(const std::string& endpoint) { close_connections(endpoint); }

void RequestForwarder::on_entries_changed(ListScope scope, std::span<const ListEntry> entries) {
  policy_->on_endpoint_list(loop_.now(), scope, entries);
}

std::size_t RequestForwarder::active_request_count() const { return requests_.active_count(); }

std::size_t RequestForwarder::avoided_endpoint_count() const {
  return policy_->avoided_endpoint_count() + directory_.unavailable_count();
}

void RequestForwarder::include_endpoint(std::string_view endpoint, double excluded_at) {
  directory_.include(endpoint, excluded_at, loop_.now());
}

void RequestForwarder::set_endpoint_shares(std::map<std::string, double, std::less<>> shares,
                                           int instance_index, int instance_count) {
  policy_->on_instance_position({instance_index, instance_count});
  directory_.set_shares(std::move(shares));
}

}  // namespace puffinvane
