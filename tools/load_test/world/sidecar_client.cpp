#include "tools/load_test/world/sidecar_client.h"

#include <optional>
#include <vector>

namespace load_test {

namespace {
constexpr double kLooksOn = 0.2;    // after its timeout a caller stays, to see an answer that comes too late
constexpr double kCrossing = 0.01;  // a close within this of the request may have crossed it
}  // namespace

class Caller::Link final : Line::Owner {
 public:
  Link(Caller& caller) : caller_(caller), line_(caller.world_.loop, *this), reader_(Reader::Of::Answers) {}
  ~Link() override { loop().cancel(timer_); }

  bool free() const { return !ask_ && !looking_on_ && line_.quiet(); }
  bool carries(const std::string& request) const { return ask_ && ask_->request == request; }
  bool connect() { return line_.connect(caller_.to_); }

  void carry(const Ask& ask, Done done) {
    kept_ = offered_ > 0;
    ask_ = ask;
    done_ = std::move(done);
    offered_ = 0;
    heard_ = false;
    Message message;
    message.method = ask.safe ? "GET" : "POST";
    message.target = ask.target;
    message.headers = {{"X-Correlation-Id", ask.request}};
    if (!ask.tenant.empty()) message.headers.emplace_back("X-Account", ask.tenant);
    if (!ask.key.empty()) message.headers.emplace_back("Idempotency-Key", ask.key);
    if (ask.repeat) message.headers.emplace_back("X-Repeat", "1");
    if (ask.tells_time)
      message.headers.emplace_back("X-Time-Left", std::to_string(long(ask.time_left * 1e6)) + "u");
    if (!ask.safe) message.body = "asked by " + ask.request + "\n";
    // A connection that never comes up is its caller's time too.
    timer_ = loop().at(loop().now() + ask.time_left, [this] { out_of_time(); });
    line_.send(write(message));
  }
  void withdraw() {
    if (offered_ > 0) see(Event::Kind::Withdrawn);
    ask_.reset();
    drop();
  }
  void vanish() { line_.reset(); }

 private:
  Loop& loop() { return caller_.world_.loop; }
  void see(Event::Kind kind, int status = 0, bool genuine = false) {
    Event event{kind};
    event.request = request_;
    event.sidecar = caller_.sidecar_;
    event.status = status;
    event.genuine = genuine;
    caller_.world_.see(event);
  }
  void on_written(Line&) override {
    if (!ask_) return;
    request_ = ask_->request;
    Event event{Event::Kind::Offered};
    event.request = request_;
    event.sidecar = caller_.sidecar_;
    event.request_class = ask_->request_class;
    event.key = ask_->key;
    event.figure = ask_->time_left;
    caller_.world_.did(event);
    offered_ = loop().now();
    loop().cancel(timer_);
    timer_ = loop().at(offered_ + ask_->time_left, [this] { out_of_time(); });
  }
  void on_bytes(Line&, std::string_view bytes) override {
    heard_ = true;
    while (!bytes.empty()) {
      bytes.remove_prefix(reader_.feed(bytes));
      if (reader_.bad()) return ended(End::Broken);
      if (!reader_.whole()) return;
      answered(reader_.take());
    }
  }
  void answered(const Message& answer) {
    // With nothing asked it is one answer more for the request before, and the invariant checker's to judge.
    see(Event::Kind::Answered, answer.status, answer.body.starts_with("made for " + request_ + "\n"));
    if (!ask_) {
      // Free again, and somebody's next: it isn't dropped under them.
      if (std::exchange(looking_on_, false)) loop().cancel(timer_);
      if (answer.close) drop();
      return;
    }
    loop().cancel(timer_);
    ask_.reset();
    Done done = std::move(done_);
    if (answer.close) drop();
    done(End::Answered, answer);
  }
  void on_end(Line&, bool) override {
    reader_.ended();
    if (reader_.whole()) {
      Message last = reader_.take();
      last.close = true;
      return answered(last);
    }
    ended(End::Broken);
  }
  void ended(End end) {
    std::optional<Ask> ask = std::exchange(ask_, {});
    Done done = std::move(done_);
    bool crossed = kept_ && !heard_ && offered_ > 0 && loop().now() - offered_ < kCrossing;
    if (ask && offered_ > 0) see(crossed ? Event::Kind::Crossed : Event::Kind::Broken);
    else if (looking_on_) see(Event::Kind::Broken);
    bool never = offered_ == 0;
    Caller& caller = caller_;
    drop();
    if (!ask) return;
    if (crossed) return caller.call(*ask, std::move(done));
    done(never ? End::Unreachable : end, Message());
  }
  void out_of_time() {
    if (!ask_) return drop();
    Done done = std::move(done_);
    bool never = offered_ == 0;
    ask_.reset();
    if (never) drop();
    else {
      looking_on_ = true;
      timer_ = loop().at(loop().now() + kLooksOn, [this] { drop(); });
    }
    done(never ? End::Unreachable : End::TimedOut, Message());
  }
  void drop() {
    loop().cancel(timer_);
    line_.close();
    caller_.let_go(*this);
  }

  Caller& caller_;
  Line line_;
  Reader reader_;
  std::optional<Ask> ask_;
  std::string request_;  // the last one written, for what comes after its end
  Done done_;
  Loop::Timer timer_{};
  double offered_ = 0;
  bool kept_ = false, heard_ = false, looking_on_ = false;
};

Caller::Caller(World& world, Address to, int sidecar)
    : world_(world), to_(std::move(to)), sidecar_(sidecar) {}
Caller::~Caller() = default;

void Caller::let_go(Link& link) {
  auto found = links_.extract(&link);
  if (!found.empty()) world_.loop.bury(std::move(found.mapped()));
}

void Caller::call(const Ask& ask, Done done) {
  for (auto& [key, link] : links_) {
    if (link->free()) return link->carry(ask, std::move(done));
  }
  auto fresh = std::make_unique<Link>(*this);
  if (!fresh->connect()) {
    world_.loop.at(world_.loop.now(), [done = std::move(done)] { done(End::Unreachable, Message()); });
    return;
  }
  Link& link = *fresh;
  links_.emplace(&link, std::move(fresh));
  link.carry(ask, std::move(done));
}

void Caller::withdraw(const std::string& request) {
  for (auto& [key, link] : links_) {
    if (link->carries(request)) return link->withdraw();
  }
}

void Caller::vanish() {
  for (auto& [key, link] : links_) link->vanish();
  links_.clear();
}

}  // namespace load_test
