#include "tools/load_test/world/endpoint.h"

#include <algorithm>
#include <cstdlib>

namespace load_test {

bool IdempotencyMemory::check_and_record(const std::string& key, double now, double window) {
  while (!expiry_order_.empty() && expiry_order_.front().first < now - window) {
    first_seen_.erase(expiry_order_.front().second);
    expiry_order_.pop_front();
  }
  if (!first_seen_.emplace(key, now).second) return true;
  expiry_order_.emplace_back(now, key);
  return false;
}

struct Endpoint::Job {
  Session* session = nullptr;  // null once the attempt is cancelled
  std::string request, request_class, target, tenant, key;
  bool safe = true;
  double half_work = 0;  // the work is done in two halves, with the calls to the next tier in between
  double deadline = 0;   // when the client stops waiting
  int halves_done = 0, calls_left = 0;
  std::uint64_t generation = 0;
  std::string pending_call;  // id of the pending request to the next tier
  bool on_core = false, executed = false;
};

class Endpoint::Session final : public Connection::Owner {
 public:
  Session(Endpoint& endpoint, int sidecar)
      : endpoint(endpoint),
        sidecar(sidecar),
        connection(endpoint.context_.loop, *this),
        reader(HttpReader::Kind::Requests),
        last_used(endpoint.context_.loop.now()) {}

  void on_bytes(Connection&, std::string_view bytes) override {
    last_used = endpoint.context_.loop.now();
    while (!bytes.empty() && connection.is_open()) {
      bool started = reader.started();
      std::size_t count = reader.feed(bytes);
      bytes.remove_prefix(count);
      if (reader.invalid()) return endpoint.remove(*this);
      if (!started) first_byte = {endpoint.context_.loop.now(), endpoint.context_.loop.earliest_event_time()};
      if (!reader.complete()) return;
      // The sidecar does not pipeline requests: one that arrives before the response to the previous one is
      // an error.
      if (job) return endpoint.remove(*this);
      endpoint.handle_request(*this, reader.take());
    }
  }
  void on_end(Connection&, bool) override { endpoint.remove(*this); }
  void on_all_written(Connection&) override {
    if (close_after_write) connection.shutdown_write();
  }

  Endpoint& endpoint;
  const int sidecar;
  Connection connection;
  HttpReader reader;
  JobPtr job;
  double last_used;
  std::pair<double, double> first_byte;
  bool first_request = true, close_after_write = false, unusable = false;
};

Endpoint::Endpoint(RunContext& context, Placement placement, int number, std::string name, double speed,
                   IdempotencyMemory& memory, SidecarClient* next_tier)
    : context_(context),
      placement_(std::move(placement)),
      number_(number),
      name_(std::move(name)),
      speed_(speed),
      memory_(memory),
      next_tier_(next_tier) {
  for (const auto& [sidecar, address] : placement_.listeners) addresses_[sidecar] = address.text();
}

Endpoint::~Endpoint() { context_.loop.cancel(maintenance_timer_); }

// ---- start and stop

void Endpoint::start(bool slow_start) {
  if (collapsed_) return;
  up_ = true;
  ++generation_;
  slow_start_.reset();
  started_ = slow_start ? context_.loop.now() : -1e9;
  overloaded_since_ = -1;
  overload_until_ = 0;
  if (listeners_.empty()) {
    for (const auto& [sidecar, address] : placement_.listeners)
      listeners_.push_back(std::make_unique<Listener>(context_.loop, *this, address, sidecar));
  }
  update_listeners();
  if (slow_start) {
    Event event{Event::Kind::EndpointStarted};
    event.endpoint = number_;
    event.group = placement_.group;
    event.value = speed_ * plan().cores;
    context_.report_action(event);
  }
  context_.loop.cancel(maintenance_timer_);
  run_maintenance();
}

void Endpoint::crash() {
  up_ = false;
  ++generation_;
  for (auto& [key, session] : sessions_) session->connection.reset();
  stop();
}

void Endpoint::stop() {
  up_ = false;
  ++generation_;
  update_listeners();
  std::vector<Session*> all;
  for (auto& [key, session] : sessions_) all.push_back(session.get());
  for (Session* session : all) remove(*session);
  queue_.clear();
  frozen_jobs_.clear();
  busy_cores_ = accepted_ = 0;
}

void Endpoint::rename(int number, std::string name) {
  number_ = number;
  name_ = std::move(name);
}

void Endpoint::update_faults(const std::function<void(FaultState&)>& update) {
  update(fault_state_);
  update_listeners();
  for (auto& [key, session] : sessions_) {
    if (!session->unusable) session->connection.set_paused(fault_state_.frozen > 0);
  }
  if (fault_state_.frozen > 0) return;
  for (const JobPtr& job : std::exchange(frozen_jobs_, {})) {
    if (job->generation == generation_) finish_work(job);
  }
}

void Endpoint::update_listeners() {
  for (auto& listener : listeners_) {
    if (!up_ || fault_state_.refusing > 0) {
      listener->stop_listening();
    } else if (fault_state_.unreachable > 0) {
      listener->block_connects();
    } else {
      listener->open();
      listener->set_paused(fault_state_.frozen > 0);
    }
  }
}

void Endpoint::drop_connections() {
  for (auto& [key, session] : sessions_) {
    session->unusable = true;
    session->connection.set_paused(true);
  }
}

void Endpoint::run_maintenance() {
  double now = context_.loop.now();
  std::vector<Session*> idle;
  for (auto& [key, session] : sessions_) {
    if (!session->job && !session->unusable && fault_state_.frozen == 0 &&
        now - session->last_used > context_.scenario.idle_time)
      idle.push_back(session.get());
  }
  for (Session* session : idle) remove(*session);
  // A long queue slows the endpoint down, for a while longer than the queue lasts.
  int waiting = int(queue_.size());
  bool overloaded = plan().overload_depth > 0 && waiting > plan().overload_depth * plan().cores;
  if (!overloaded) overloaded_since_ = -1;
  else if (overloaded_since_ < 0) overloaded_since_ = now;
  if (overloaded && now - overloaded_since_ > plan().overload_after)
    overload_until_ = now + plan().overload_duration;
  maintenance_timer_ = context_.loop.call_at(now + 0.1, [this] { run_maintenance(); });
}

// ---- connections and requests

void Endpoint::on_accepted(Listener& listener, int descriptor) {
  auto session = std::make_unique<Session>(*this, listener.number());
  Session& accepted = *session;
  sessions_.emplace(&accepted, std::move(session));
  most_connections_ = std::max(most_connections_, sessions_.size());
  if (context_.random.with_probability(fault_state_.reset_in))
    accepted.connection.reset_after_reading(std::size_t(fault_state_.reset_after_bytes));
  if (context_.random.with_probability(fault_state_.reset_out))
    accepted.connection.reset_after_writing(std::size_t(fault_state_.reset_after_bytes));
  accepted.connection.attach(descriptor);
}

void Endpoint::remove(Session& session) {
  session.connection.close();
  if (JobPtr job = std::exchange(session.job, {})) {
    report(Event::Kind::AttemptClosed, session, job->request);
    job->session = nullptr;
    cancel_job(job);
  }
  auto found = sessions_.extract(&session);
  if (!found.empty()) context_.loop.delete_later(std::move(found.mapped()));
}

void Endpoint::report(Event::Kind kind, const Session& session, const std::string& request, double value) {
  Event event{kind};
  event.request = request;
  event.endpoint = number_;
  event.group = placement_.group;
  event.sidecar = session.sidecar;
  event.value = value;
  if (session.job) {
    event.request_class = session.job->request_class;
    event.key = session.job->key;
  }
  context_.report(event);
}

void Endpoint::handle_request(Session& session, const HttpMessage& incoming) {
  JobPtr job = std::make_shared<Job>();
  job->request = incoming.header("X-Correlation-Id");
  job->target = incoming.target;
  job->tenant = incoming.header("X-Account");
  job->key = incoming.header("Idempotency-Key");
  job->safe = incoming.method == "GET";
  std::size_t slash = incoming.target.find('/', 1);
  job->request_class = incoming.target.substr(1, slash == std::string::npos ? slash : slash - 1);
  if (job->request.empty()) {
    HttpMessage response;
    response.status = 404;
    response.close = true;
    session.close_after_write = true;
    return session.connection.send(serialize(response));
  }
  Event first{Event::Kind::AttemptFirstByte};
  first.request = job->request;
  first.endpoint = number_;
  first.group = placement_.group;
  first.sidecar = session.sidecar;
  first.at = session.first_byte.first;
  first.earliest = session.first_byte.second;
  context_.observer.observe(first);
  std::size_t at = incoming.target.find("work=");
  double work = at == std::string::npos ? 0.01 : std::atof(incoming.target.c_str() + at + 5);
  std::string_view remaining_header = incoming.header("X-Time-Left");
  double remaining =
      std::atof(std::string(remaining_header).c_str()) * (remaining_header.ends_with('m') ? 1e-3 : 1e-6);
  job->deadline = context_.loop.now() + (remaining_header.empty() ? 1 : remaining);
  work *= plan().work_share;
  check_slow_start(work);
  bool full = sessions_.size() > std::size_t(plan().connections);
  if (full || accepted_ >= plan().cores + plan().queue) return refuse(session, job->request, work);
  job->half_work = work / 2;
  job->generation = generation_;
  job->calls_left = next_tier_ ? plan().calls_per_request : 0;
  session.job = job;
  job->session = &session;
  report(Event::Kind::AttemptReceived, session, job->request, work);
  if (std::exchange(session.first_request, false)) job->half_work += plan().connection_work;
  ++accepted_;
  if (fault_state_.hang > 0) return void(--accepted_);
  if (context_.random.with_probability(fault_state_.errors)) {
    --accepted_;
    return respond(job, 500);
  }
  if (!job->key.empty()) {
    double window = 0;
    for (const ClassPlan& request_class : context_.scenario.request_classes) {
      if (request_class.name == job->request_class) window = request_class.idempotency_window;
    }
    // A repeat within the idempotency window gets a response without being executed again.
    if (memory_.check_and_record(job->key, context_.loop.now(), window)) {
      --accepted_;
      return respond(job, 200);
    }
  }
  queue_.push_back(job);
  start_queued_jobs();
}

// An endpoint in slow start that gets far more work than it can do stops and stays down.
void Endpoint::check_slow_start(double work) {
  if (!slow_start_) return;
  if (slow_start_->finished(context_.loop.now())) return slow_start_.reset();
  if (!slow_start_->add_and_check(context_.loop.now(), work)) return;
  // Deferred, as the caller still uses the connection.
  context_.loop.call_at(context_.loop.now(), [this, generation = generation_] {
    if (generation != generation_) return;
    Event event{Event::Kind::EndpointOverloaded};
    event.endpoint = number_;
    event.group = placement_.group;
    context_.report_action(event);
    collapsed_ = true;
    crash();
  });
}

void Endpoint::refuse(Session& session, const std::string& request, double work) {
  report(Event::Kind::AttemptRefused, session, request, work);
  HttpMessage response;
  response.status = 503;
  response.headers = {{"X-Unprocessed", "1"}};
  if (plan().sends_load_reports) response.headers.emplace_back("X-Backend-Load", load_report());
  session.connection.send(serialize(response));
}

// ---- work

double Endpoint::slow_start_fraction() const {
  double age = context_.loop.now() - started_, after = context_.scenario.slow_start_duration;
  double share = context_.scenario.slow_start_initial_share;
  return age >= after ? 1 : share + (1 - share) * age / after;
}

double Endpoint::current_speed() {
  double speed = speed_ * slow_start_fraction() / fault_state_.slow;
  return context_.loop.now() < overload_until_ ? speed / plan().overload_slowdown : speed;
}

std::string Endpoint::load_report() const {
  return "inflight=" + std::to_string(accepted_) + ",queue=" + std::to_string(queue_.size()) +
         ",util=" + std::to_string(double(busy_cores_) / plan().cores).substr(0, 4);
}

void Endpoint::start_queued_jobs() {
  while (busy_cores_ < plan().cores && !queue_.empty()) {
    JobPtr job = std::move(queue_.front());
    queue_.pop_front();
    start_work(job);
  }
}

void Endpoint::start_work(const JobPtr& job) {
  ++busy_cores_;
  job->on_core = true;
  if (!std::exchange(job->executed, true)) {
    ++effects_;
    if (job->session) report(Event::Kind::AttemptExecuted, *job->session, job->request);
  }
  double duration = job->half_work / current_speed();
  context_.loop.call_at(context_.loop.now() + duration, [this, job] {
    if (job->generation != generation_ || !job->on_core) return;
    if (fault_state_.frozen > 0) return frozen_jobs_.push_back(job);
    finish_work(job);
  });
}

void Endpoint::finish_work(const JobPtr& job) {
  if (!job->on_core) return;
  job->on_core = false;
  --busy_cores_;
  ++job->halves_done;
  work_done_ += job->half_work;
  advance(job);
  start_queued_jobs();
}

void Endpoint::advance(const JobPtr& job) {
  if (!job->session) return void(--accepted_);
  if (job->calls_left > 0) return call_next_tier(job);
  if (job->halves_done < 2) return queue_.push_back(job);
  --accepted_;
  respond(job, 200);
}

void Endpoint::call_next_tier(const JobPtr& job) {
  OutgoingRequest outgoing;
  outgoing.request = job->pending_call = context_.new_request_id();
  outgoing.request_class = job->request_class;
  outgoing.target = job->target;
  outgoing.tenant = job->tenant;
  // If the request is repeated, its calls have the same keys, so they are recognised as repeats too.
  if (!job->key.empty()) outgoing.key = job->key + "." + std::to_string(job->calls_left);
  outgoing.safe = job->safe;
  outgoing.client_timeout = std::max(0.001, job->deadline - context_.loop.now());
  next_tier_->send(outgoing, [this, job](SidecarClient::Result result, const HttpMessage& response) {
    job->pending_call.clear();
    if (job->generation != generation_) return;
    --job->calls_left;
    if (!job->session) return void(--accepted_);
    if (result == SidecarClient::Result::Responded && response.status == 200) {
      if (job->calls_left > 0) return call_next_tier(job);
      queue_.push_back(job);
      return start_queued_jobs();
    }
    --accepted_;
    respond(job, 500);
  });
}

void Endpoint::cancel_job(const JobPtr& job) {
  if (job->generation != generation_) return;
  if (!job->pending_call.empty()) {
    next_tier_->cancel(std::exchange(job->pending_call, {}));
    --accepted_;
    return;
  }
  auto waiting = std::find(queue_.begin(), queue_.end(), job);
  if (waiting != queue_.end()) {
    queue_.erase(waiting);
    --accepted_;
  } else if (job->on_core && plan().cancel_frees_core) {
    job->on_core = false;
    --busy_cores_;
    --accepted_;
    start_queued_jobs();
  }
}

void Endpoint::respond(const JobPtr& job, int status) {
  Session* session = std::exchange(job->session, nullptr);
  if (!session) return;
  HttpMessage message;
  message.status = status;
  if (plan().sends_load_reports) message.headers.emplace_back("X-Backend-Load", load_report());
  message.headers.emplace_back("X-Made-By", name_);
  message.body = "made for " + job->request + "\nby " + name_ + "\n";
  Event event{Event::Kind::AttemptResponded};
  event.request = job->request;
  event.endpoint = number_;
  event.group = placement_.group;
  event.sidecar = session->sidecar;
  event.status = status;
  context_.report(event);
  session->job.reset();
  session->last_used = context_.loop.now();
  std::string valid = serialize(message);
  if (!context_.random.with_probability(fault_state_.invalid_responses))
    return session->connection.send(valid);
  // Cases 0 to 3 are invalid responses, after which the connection stays open but is unusable. Case 4 adds an
  // interim response and case 5 sends the response twice.
  message.status = 200;
  switch (context_.random.uniform_below(6)) {
    case 0:
      session->unusable = true;
      return session->connection.send("\x01\x02 nothing that can be read\r\n\r\n");
    case 1:
      session->unusable = true;
      return session->connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore");
    case 2:
      session->unusable = true;
      return session->connection.send("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nmore");
    case 3:
      session->unusable = true;
      return session->connection.send("HTTP/1.1 200 OK\r\nX-Endless: " + std::string(40000, 'x'));
    case 4: return session->connection.send("HTTP/1.1 103 Hints\r\n\r\n" + valid);
    default: return session->connection.send(valid + valid);
  }
}

}  // namespace load_test
