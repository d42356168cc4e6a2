#include "tools/load_test/world/endpoint.h"

#include <algorithm>
#include <cstdlib>

namespace load_test {

bool TagMemory::seen(const std::string& key, double now, double memory) {
  while (!order_.empty() && order_.front().first < now - memory) {
    first_.erase(order_.front().second);
    order_.pop_front();
  }
  if (!first_.emplace(key, now).second) return true;
  order_.emplace_back(now, key);
  return false;
}

struct Endpoint::Job {
  Link* link = nullptr;  // none: given up
  std::string request, request_class, target, tenant, key;
  bool safe = true;
  double piece = 0;  // work of each of its two pieces
  double ends = 0;   // when its caller stops waiting
  int pieces = 0, calls = 0;
  std::uint64_t life = 0;
  std::string call;  // the one that is out
  bool working = false, effect = false;
};

class Endpoint::Link final : public Line::Owner {
 public:
  Link(Endpoint& endpoint, int sidecar)
      : endpoint(endpoint),
        sidecar(sidecar),
        line(endpoint.world_.loop, *this),
        reader(Reader::Of::Requests),
        used(endpoint.world_.loop.now()) {}

  void on_bytes(Line&, std::string_view bytes) override {
    used = endpoint.world_.loop.now();
    while (!bytes.empty() && line.open()) {
      bool begun = reader.begun();
      std::size_t count = reader.feed(bytes);
      bytes.remove_prefix(count);
      if (reader.bad()) return endpoint.let_go(*this);
      if (!begun) first_byte = {endpoint.world_.loop.now(), endpoint.world_.loop.since()};
      if (!reader.whole()) return;
      // Whatever comes before an answer is out would be answered out of turn: nobody sends it.
      if (job) return endpoint.let_go(*this);
      endpoint.take(*this, reader.take());
    }
  }
  void on_end(Line&, bool) override { endpoint.let_go(*this); }
  void on_written(Line&) override {
    if (last) line.finish_sending();
  }

  Endpoint& endpoint;
  const int sidecar;
  Line line;
  Reader reader;
  JobPtr job;
  double used;
  std::pair<double, double> first_byte;
  bool fresh = true, last = false, ruined = false;
};

Endpoint::Endpoint(World& world, Place place, int number, std::string name, double speed, TagMemory& memory,
                   Caller* below)
    : world_(world),
      place_(std::move(place)),
      number_(number),
      name_(std::move(name)),
      speed_(speed),
      memory_(memory),
      below_(below) {
  for (const auto& [sidecar, address] : place_.listeners) addresses_[sidecar] = address.text();
}

Endpoint::~Endpoint() { world_.loop.cancel(sweep_); }

// ---- life

void Endpoint::start(bool fresh) {
  if (fallen_) return;
  up_ = true;
  ++life_;
  slow_start_.reset();
  started_ = fresh ? world_.loop.now() : -1e9;
  crowded_since_ = -1;
  slow_until_ = 0;
  if (listeners_.empty()) {
    for (const auto& [sidecar, address] : place_.listeners)
      listeners_.push_back(std::make_unique<Listener>(world_.loop, *this, address, sidecar));
  }
  set_listeners();
  if (fresh) {
    Event event{Event::Kind::Started};
    event.endpoint = number_;
    event.group = place_.group;
    event.figure = speed_ * plan().cores;
    world_.did(event);
  }
  world_.loop.cancel(sweep_);
  sweep();
}

void Endpoint::crash() {
  up_ = false;
  ++life_;
  for (auto& [key, link] : links_) link->line.reset();
  end();
}

void Endpoint::end() {
  up_ = false;
  ++life_;
  set_listeners();
  std::vector<Link*> all;
  for (auto& [key, link] : links_) all.push_back(link.get());
  for (Link* link : all) let_go(*link);
  queue_.clear();
  held_.clear();
  working_ = in_hand_ = 0;
}

void Endpoint::rename(int number, std::string name) {
  number_ = number;
  name_ = std::move(name);
}

void Endpoint::change(const std::function<void(Condition&)>& how) {
  how(condition_);
  set_listeners();
  for (auto& [key, link] : links_) {
    if (!link->ruined) link->line.deaf(condition_.frozen > 0);
  }
  if (condition_.frozen > 0) return;
  for (const JobPtr& job : std::exchange(held_, {})) {
    if (job->life == life_) piece_done(job);
  }
}

void Endpoint::set_listeners() {
  for (auto& listener : listeners_) {
    if (!up_ || condition_.refusing > 0) listener->shut();
    else if (condition_.unreachable > 0) listener->block();
    else {
      listener->open();
      listener->deaf(condition_.frozen > 0);
    }
  }
}

void Endpoint::drop_connections() {
  for (auto& [key, link] : links_) {
    link->ruined = true;
    link->line.deaf(true);
  }
}

void Endpoint::sweep() {
  double now = world_.loop.now();
  std::vector<Link*> idle;
  for (auto& [key, link] : links_) {
    if (!link->job && !link->ruined && condition_.frozen == 0 && now - link->used > world_.scenario.idle_time)
      idle.push_back(link.get());
  }
  for (Link* link : idle) let_go(*link);
  // A crowd makes it slow, and it stays so for a while after.
  int waiting = int(queue_.size());
  bool crowded = plan().crowd > 0 && waiting > plan().crowd * plan().cores;
  if (!crowded) crowded_since_ = -1;
  else if (crowded_since_ < 0) crowded_since_ = now;
  if (crowded && now - crowded_since_ > plan().crowd_after) slow_until_ = now + plan().crowd_span;
  sweep_ = world_.loop.at(now + 0.1, [this] { sweep(); });
}

// ---- connections and requests

void Endpoint::on_accepted(Listener& listener, int descriptor) {
  auto link = std::make_unique<Link>(*this, listener.number());
  Link& fresh = *link;
  links_.emplace(&fresh, std::move(link));
  most_connections_ = std::max(most_connections_, links_.size());
  if (world_.chance.happens(condition_.reset_in)) fresh.line.cut_in(std::size_t(condition_.bytes));
  if (world_.chance.happens(condition_.reset_out)) fresh.line.cut_out(std::size_t(condition_.bytes));
  fresh.line.adopt(descriptor);
}

void Endpoint::let_go(Link& link) {
  link.line.close();
  if (JobPtr job = std::exchange(link.job, {})) {
    see(Event::Kind::AttemptEnded, link, job->request);
    job->link = nullptr;
    abandon(job);
  }
  auto found = links_.extract(&link);
  if (!found.empty()) world_.loop.bury(std::move(found.mapped()));
}

void Endpoint::see(Event::Kind kind, const Link& link, const std::string& request, double figure) {
  Event event{kind};
  event.request = request;
  event.endpoint = number_;
  event.group = place_.group;
  event.sidecar = link.sidecar;
  event.figure = figure;
  if (link.job) {
    event.request_class = link.job->request_class;
    event.key = link.job->key;
  }
  world_.see(event);
}

void Endpoint::take(Link& link, const Message& incoming) {
  JobPtr job = std::make_shared<Job>();
  job->request = incoming.header("X-Correlation-Id");
  job->target = incoming.target;
  job->tenant = incoming.header("X-Account");
  job->key = incoming.header("Idempotency-Key");
  job->safe = incoming.method == "GET";
  std::size_t slash = incoming.target.find('/', 1);
  job->request_class = incoming.target.substr(1, slash == std::string::npos ? slash : slash - 1);
  if (job->request.empty()) {
    Message none;
    none.status = 404;
    none.close = true;
    link.last = true;
    return link.line.send(write(none));
  }
  Event first{Event::Kind::FirstByte};
  first.request = job->request;
  first.endpoint = number_;
  first.group = place_.group;
  first.sidecar = link.sidecar;
  first.at = link.first_byte.first;
  first.since = link.first_byte.second;
  world_.observer.observe(first);
  std::size_t at = incoming.target.find("work=");
  double work = at == std::string::npos ? 0.01 : std::atof(incoming.target.c_str() + at + 5);
  std::string_view given = incoming.header("X-Time-Left");
  double left = std::atof(std::string(given).c_str()) * (given.ends_with('m') ? 1e-3 : 1e-6);
  job->ends = world_.loop.now() + (given.empty() ? 1 : left);
  work *= plan().work_share;
  weigh(work);
  bool full = links_.size() > std::size_t(plan().connections);
  if (full || in_hand_ >= plan().cores + plan().queue) return turn_away(link, job->request, work);
  job->piece = work / 2;
  job->life = life_;
  job->calls = below_ ? plan().calls : 0;
  link.job = job;
  job->link = &link;
  see(Event::Kind::Begun, link, job->request, work);
  if (std::exchange(link.fresh, false)) job->piece += plan().connection_work;
  ++in_hand_;
  if (condition_.hang > 0) return void(--in_hand_);
  if (world_.chance.happens(condition_.errors)) {
    --in_hand_;
    return answer(job, 500);
  }
  if (!job->key.empty()) {
    double memory = 0;
    for (const ClassPlan& request_class : world_.scenario.request_classes) {
      if (request_class.name == job->request_class) memory = request_class.memory;
    }
    // A repeat within the group's memory is answered without running again.
    if (memory_.seen(job->key, world_.loop.now(), memory)) return --in_hand_, answer(job, 200);
  }
  queue_.push_back(job);
  run_next();
}

// An endpoint in slow start that is sent far more than it can do falls over and stays down.
void Endpoint::weigh(double work) {
  if (!slow_start_) return;
  if (slow_start_->warm(world_.loop.now())) return slow_start_.reset();
  if (!slow_start_->overrun(world_.loop.now(), work)) return;
  // Only after what is being read now: its connection is still in use.
  world_.loop.at(world_.loop.now(), [this, life = life_] {
    if (life != life_) return;
    Event event{Event::Kind::FellOver};
    event.endpoint = number_;
    event.group = place_.group;
    world_.did(event);
    fallen_ = true;
    crash();
  });
}

void Endpoint::turn_away(Link& link, const std::string& request, double work) {
  see(Event::Kind::TurnedAway, link, request, work);
  Message answer;
  answer.status = 503;
  answer.headers = {{"X-Unprocessed", "1"}};
  if (plan().reports) answer.headers.emplace_back("X-Backend-Load", report());
  link.line.send(write(answer));
}

// ---- work

double Endpoint::warmth() const {
  double age = world_.loop.now() - started_, after = world_.scenario.warm_after;
  double share = world_.scenario.slow_start_share;
  return age >= after ? 1 : share + (1 - share) * age / after;
}

double Endpoint::speed_now() {
  double speed = speed_ * warmth() / condition_.slow;
  return world_.loop.now() < slow_until_ ? speed / plan().crowd_factor : speed;
}

std::string Endpoint::report() const {
  return "inflight=" + std::to_string(in_hand_) + ",queue=" + std::to_string(queue_.size()) +
         ",util=" + std::to_string(double(working_) / plan().cores).substr(0, 4);
}

void Endpoint::run_next() {
  while (working_ < plan().cores && !queue_.empty()) {
    JobPtr job = std::move(queue_.front());
    queue_.pop_front();
    work_on(job);
  }
}

void Endpoint::work_on(const JobPtr& job) {
  ++working_;
  job->working = true;
  if (!std::exchange(job->effect, true)) {
    ++effects_;
    if (job->link) see(Event::Kind::Ran, *job->link, job->request);
  }
  double takes = job->piece / speed_now();
  world_.loop.at(world_.loop.now() + takes, [this, job] {
    if (job->life != life_ || !job->working) return;
    if (condition_.frozen > 0) return held_.push_back(job);
    piece_done(job);
  });
}

void Endpoint::piece_done(const JobPtr& job) {
  if (!job->working) return;
  job->working = false;
  --working_;
  ++job->pieces;
  work_done_ += job->piece;
  next_step(job);
  run_next();
}

void Endpoint::next_step(const JobPtr& job) {
  if (!job->link) return void(--in_hand_);
  if (job->calls > 0) return call_below(job);
  if (job->pieces < 2) return queue_.push_back(job);
  --in_hand_;
  answer(job, 200);
}

void Endpoint::call_below(const JobPtr& job) {
  Ask ask;
  ask.request = job->call = world_.new_request_id();
  ask.request_class = job->request_class;
  ask.target = job->target;
  ask.tenant = job->tenant;
  // A repeat's calls are repeats as well, by the same keys.
  if (!job->key.empty()) ask.key = job->key + "." + std::to_string(job->calls);
  ask.safe = job->safe;
  ask.time_left = std::max(0.001, job->ends - world_.loop.now());
  below_->call(ask, [this, job](Caller::End end, const Message& answered) {
    job->call.clear();
    if (job->life != life_) return;
    --job->calls;
    if (!job->link) return void(--in_hand_);
    if (end == Caller::End::Answered && answered.status == 200) {
      if (job->calls > 0) return call_below(job);
      queue_.push_back(job);
      return run_next();
    }
    --in_hand_;
    answer(job, 500);
  });
}

void Endpoint::abandon(const JobPtr& job) {
  if (job->life != life_) return;
  if (!job->call.empty()) {
    below_->withdraw(std::exchange(job->call, {}));
    --in_hand_;
    return;
  }
  auto waiting = std::find(queue_.begin(), queue_.end(), job);
  if (waiting != queue_.end()) {
    queue_.erase(waiting);
    --in_hand_;
  } else if (job->working && plan().cancel_stops) {
    job->working = false;
    --working_;
    --in_hand_;
    run_next();
  }
}

void Endpoint::answer(const JobPtr& job, int status) {
  Link* link = std::exchange(job->link, nullptr);
  if (!link) return;
  Message message;
  message.status = status;
  if (plan().reports) message.headers.emplace_back("X-Backend-Load", report());
  message.headers.emplace_back("X-Made-By", name_);
  message.body = "made for " + job->request + "\nby " + name_ + "\n";
  Event event{Event::Kind::AttemptAnswered};
  event.request = job->request;
  event.endpoint = number_;
  event.group = place_.group;
  event.sidecar = link->sidecar;
  event.status = status;
  world_.see(event);
  link->job.reset();
  link->used = world_.loop.now();
  std::string good = write(message);
  if (!world_.chance.happens(condition_.spoil)) return link->line.send(good);
  // After a spoilt answer the connection stays open and is of no further use; some are good with more to
  // them.
  message.status = 200;
  switch (world_.chance.below(6)) {
    case 0: link->ruined = true; return link->line.send("\x01\x02 nothing that can be read\r\n\r\n");
    case 1:
      link->ruined = true;
      return link->line.send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore");
    case 2: link->ruined = true; return link->line.send("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\nmore");
    case 3:
      link->ruined = true;
      return link->line.send("HTTP/1.1 200 OK\r\nX-Endless: " + std::string(40000, 'x'));
    case 4: return link->line.send("HTTP/1.1 103 Hints\r\n\r\n" + good);
    default: return link->line.send(good + good);
  }
}

}  // namespace load_test
