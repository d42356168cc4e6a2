#include "tools/load_test/world/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace load_test {

namespace {

constexpr double kEmptyLine = 2;  // seconds between them while nothing changes

nlohmann::json json_of(const std::vector<Listed>& entries, std::int64_t index, bool whole) {
  static constexpr const char* kStates[] = {"active", "leaving", "left"};
  nlohmann::json list = nlohmann::json::array();
  for (const Listed& entry : entries) {
    list.push_back({{"name", entry.name},
                    {"address", entry.address},
                    {"zone", "here"},
                    {"type", "stand-in"},
                    {"group", entry.group},
                    {"status", kStates[int(entry.state)]},
                    {"weight", 1.0},
                    {"since_ms", entry.since_ms}});
  }
  return {{"index", index}, {"snapshot", whole}, {"endpoints", list}};
}

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

class Agent::Link final : Line::Owner {
 public:
  Link(Agent& agent, int descriptor)
      : agent_(agent), line_(agent.world_.loop, *this), reader_(Reader::Of::Requests) {
    line_.adopt(descriptor);
  }
  ~Link() override { agent_.world_.loop.cancel(timer_); }
  void line(const std::string& text) {
    if (watching_) line_.send(chunk(text + "\n"));
  }
  void close() {
    line_.close();
    agent_.let_go(*this);
  }
  bool watching() const { return watching_; }

 private:
  void on_bytes(Line&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (reader_.bad()) return close();
    if (reader_.whole()) begin(reader_.take());
  }
  void on_end(Line&, bool) override { close(); }
  void begin(const Message& request) {
    if (agent_.silent_ > 0) return;  // asked and never answered; a later line still may come
    if (request.target.find("watch=1") == std::string::npos) {
      Message answer;
      answer.status = 200;
      answer.body = json_of(agent_.view(), agent_.index_, true).dump();
      line_.send(write(answer));
      return;
    }
    watching_ = true;
    line_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    agent_.notify(*this, agent_.view(), true);
    beat();
  }
  void beat() {
    timer_ = agent_.world_.loop.at(agent_.world_.loop.now() + kEmptyLine, [this] {
      if (agent_.silent_ == 0) line("");
      beat();
    });
  }
  Agent& agent_;
  Line line_;
  Reader reader_;
  Loop::Timer timer_{};
  bool watching_ = false;
};

Agent::Agent(World& world, int sidecar, const Address& at)
    : world_(world),
      sidecar_(sidecar),
      listener_(std::make_unique<Listener>(world.loop, *this, at, sidecar)) {}

Agent::~Agent() = default;

void Agent::know(std::vector<Listed> entries) {
  at_first_ = entries;
  for (Listed& entry : entries) entries_[entry.endpoint] = std::move(entry);
}

void Agent::on_accepted(Listener&, int descriptor) {
  auto link = std::make_unique<Link>(*this, descriptor);
  const Link* key = link.get();
  links_.emplace(key, std::move(link));
}

void Agent::let_go(Link& link) {
  auto found = links_.extract(&link);
  if (!found.empty()) world_.loop.bury(std::move(found.mapped()));
}

std::vector<Listed> Agent::view() const {
  if (old_ > 0) return at_first_;
  std::vector<Listed> all;
  for (const auto& [number, entry] : entries_) {
    if (entry.state != Event::State::Gone) all.push_back(entry);
  }
  return all;
}

std::string Agent::known_json() const { return json_of(view(), index_, true).dump(); }

void Agent::notified_at_start() {
  notified_.clear();
  for (const Listed& entry : view()) {
    notified_[entry.endpoint] = entry.state;
    Event event{Event::Kind::Notified};
    event.sidecar = sidecar_;
    event.endpoint = entry.endpoint;
    event.state = entry.state;
    world_.did(event);
  }
}

void Agent::change(const Listed& entry) {
  double delay = world_.chance.in(world_.scenario.list_delay) + late_;
  // In order: what is said of one endpoint later is never overtaken by what was said before.
  notified_by_ = std::max(notified_by_, world_.loop.now() + delay);
  world_.loop.at(notified_by_, [this, entry] { apply(entry); });
}

void Agent::apply(const Listed& entry) {
  if (silent_ > 0) return held_back_.push_back(entry);
  entries_[entry.endpoint] = entry;
  ++index_;
  std::vector<Link*> watching;
  for (auto& [key, link] : links_) {
    if (link->watching()) watching.push_back(link.get());
  }
  for (Link* link : watching) notify(*link, {entry}, false);
}

void Agent::notify(Link& link, const std::vector<Listed>& entries, bool whole) {
  link.line(json_of(entries, index_, whole).dump());
  std::map<int, Event::State> now = whole ? std::map<int, Event::State>() : notified_;
  for (const Listed& entry : entries) now[entry.endpoint] = entry.state;
  for (const auto& [endpoint, state] : notified_) {
    if (!now.contains(endpoint)) now[endpoint] = Event::State::Gone;  // left out of a whole list
  }
  for (const auto& [endpoint, state] : now) {
    auto before = notified_.find(endpoint);
    if (before != notified_.end() && before->second == state) continue;
    Event event{Event::Kind::Notified};
    event.sidecar = sidecar_;
    event.endpoint = endpoint;
    event.state = state;
    world_.did(event);
  }
  notified_ = std::move(now);
  std::erase_if(notified_, [](const auto& one) { return one.second == Event::State::Gone; });
}

void Agent::silent(bool is) {
  silent_ += is ? 1 : -1;
  if (silent_ > 0) return;
  for (const Listed& entry : std::exchange(held_back_, {})) apply(entry);
}

void Agent::old(bool is) {
  old_ += is ? 1 : -1;
  if (!is) return;
  // Who watches is cut off, so that it asks anew.
  std::vector<Link*> all;
  for (auto& [key, link] : links_) all.push_back(link.get());
  for (Link* link : all) link->close();
}

void Agent::move(Address to, double old_closes_in) {
  auto before = std::make_shared<std::unique_ptr<Listener>>(std::move(listener_));
  (*before)->shut();
  listener_ = std::make_unique<Listener>(world_.loop, *this, to, sidecar_);
  std::vector<const Link*> open;
  for (auto& [key, link] : links_) open.push_back(key);
  world_.loop.at(world_.loop.now() + old_closes_in, [this, open, before] {
    for (const Link* key : open) {
      auto found = links_.find(key);
      if (found != links_.end()) found->second->close();
    }
  });
}

}  // namespace load_test
