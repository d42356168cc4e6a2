#include "tools/load_test/world/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace load_test {

namespace {

constexpr double kEmptyLineInterval =
    2;  // seconds between the empty lines that keep an unchanged watch alive

nlohmann::json to_json(const std::vector<ListedEndpoint>& entries, std::int64_t index, bool is_snapshot) {
  static constexpr const char* kStates[] = {"active", "leaving", "left"};
  nlohmann::json list = nlohmann::json::array();
  for (const ListedEndpoint& entry : entries) {
    list.push_back({{"name", entry.name},
                    {"address", entry.address},
                    {"zone", "here"},
                    {"type", "stand-in"},
                    {"group", entry.group},
                    {"status", kStates[int(entry.state)]},
                    {"weight", 1.0},
                    {"since_ms", entry.since_ms}});
  }
  return {{"index", index}, {"snapshot", is_snapshot}, {"endpoints", list}};
}

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

class DiscoveryAgent::Session final : Connection::Owner {
 public:
  Session(DiscoveryAgent& agent, int descriptor)
      : agent_(agent), connection_(agent.context_.loop, *this), reader_(HttpReader::Kind::Requests) {
    connection_.attach(descriptor);
  }
  ~Session() override { agent_.context_.loop.cancel(timer_); }
  void send_line(const std::string& text) {
    if (watching_) connection_.send(chunk(text + "\n"));
  }
  void close() {
    connection_.close();
    agent_.remove(*this);
  }
  bool watching() const { return watching_; }

 private:
  void on_bytes(Connection&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (reader_.invalid()) return close();
    if (reader_.complete()) handle_request(reader_.take());
  }
  void on_end(Connection&, bool) override { close(); }
  void handle_request(const HttpMessage& request) {
    if (agent_.silent_ > 0) return;  // no response, as long as discovery is silent
    if (request.target.find("watch=1") == std::string::npos) {
      HttpMessage response;
      response.status = 200;
      response.body = to_json(agent_.current_list(), agent_.index_, true).dump();
      connection_.send(serialize(response));
      return;
    }
    watching_ = true;
    connection_.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    agent_.send_list(*this, agent_.current_list(), true);
    schedule_empty_line();
  }
  void schedule_empty_line() {
    timer_ = agent_.context_.loop.call_at(agent_.context_.loop.now() + kEmptyLineInterval, [this] {
      if (agent_.silent_ == 0) send_line("");
      schedule_empty_line();
    });
  }
  DiscoveryAgent& agent_;
  Connection connection_;
  HttpReader reader_;
  EventLoop::Timer timer_{};
  bool watching_ = false;
};

DiscoveryAgent::DiscoveryAgent(RunContext& context, int sidecar, const Address& at)
    : context_(context),
      sidecar_(sidecar),
      listener_(std::make_unique<Listener>(context.loop, *this, at, sidecar)) {}

DiscoveryAgent::~DiscoveryAgent() = default;

void DiscoveryAgent::set_initial_list(std::vector<ListedEndpoint> entries) {
  initial_list_ = entries;
  for (ListedEndpoint& entry : entries) entries_[entry.endpoint] = std::move(entry);
}

void DiscoveryAgent::on_accepted(Listener&, int descriptor) {
  auto session = std::make_unique<Session>(*this, descriptor);
  const Session* key = session.get();
  sessions_.emplace(key, std::move(session));
}

void DiscoveryAgent::remove(Session& session) {
  auto found = sessions_.extract(&session);
  if (!found.empty()) context_.loop.delete_later(std::move(found.mapped()));
}

std::vector<ListedEndpoint> DiscoveryAgent::current_list() const {
  if (stale_ > 0) return initial_list_;
  std::vector<ListedEndpoint> result;
  for (const auto& [number, entry] : entries_) {
    if (entry.state != Event::State::Gone) result.push_back(entry);
  }
  return result;
}

std::string DiscoveryAgent::list_json() const { return to_json(current_list(), index_, true).dump(); }

void DiscoveryAgent::report_initial_list() {
  notified_.clear();
  for (const ListedEndpoint& entry : current_list()) {
    notified_[entry.endpoint] = entry.state;
    Event event{Event::Kind::Notified};
    event.sidecar = sidecar_;
    event.endpoint = entry.endpoint;
    event.state = entry.state;
    context_.report_action(event);
  }
}

void DiscoveryAgent::change(const ListedEndpoint& entry) {
  double delay = context_.random.uniform_in(context_.scenario.list_delay) + extra_delay_;
  // Changes are delivered in the order in which they were made.
  last_delivery_ = std::max(last_delivery_, context_.loop.now() + delay);
  context_.loop.call_at(last_delivery_, [this, entry] { apply(entry); });
}

void DiscoveryAgent::apply(const ListedEndpoint& entry) {
  if (silent_ > 0) return withheld_.push_back(entry);
  entries_[entry.endpoint] = entry;
  ++index_;
  std::vector<Session*> watching;
  for (auto& [key, session] : sessions_) {
    if (session->watching()) watching.push_back(session.get());
  }
  for (Session* session : watching) send_list(*session, {entry}, false);
}

void DiscoveryAgent::send_list(Session& session, const std::vector<ListedEndpoint>& entries,
                               bool is_snapshot) {
  session.send_line(to_json(entries, index_, is_snapshot).dump());
  std::map<int, Event::State> now = is_snapshot ? std::map<int, Event::State>() : notified_;
  for (const ListedEndpoint& entry : entries) now[entry.endpoint] = entry.state;
  for (const auto& [endpoint, state] : notified_) {
    if (!now.contains(endpoint)) now[endpoint] = Event::State::Gone;  // missing in a full list
  }
  for (const auto& [endpoint, state] : now) {
    auto before = notified_.find(endpoint);
    if (before != notified_.end() && before->second == state) continue;
    Event event{Event::Kind::Notified};
    event.sidecar = sidecar_;
    event.endpoint = endpoint;
    event.state = state;
    context_.report_action(event);
  }
  notified_ = std::move(now);
  std::erase_if(notified_, [](const auto& entry) { return entry.second == Event::State::Gone; });
}

void DiscoveryAgent::set_silent(bool silent) {
  silent_ += silent ? 1 : -1;
  if (silent_ > 0) return;
  for (const ListedEndpoint& entry : std::exchange(withheld_, {})) apply(entry);
}

void DiscoveryAgent::set_stale(bool stale) {
  stale_ += stale ? 1 : -1;
  if (!stale) return;
  // Closes all watches, so that the sidecar requests the list again.
  std::vector<Session*> result;
  for (auto& [key, session] : sessions_) result.push_back(session.get());
  for (Session* session : result) session->close();
}

void DiscoveryAgent::move_to(Address address, double close_old_after) {
  auto old_listener = std::make_shared<std::unique_ptr<Listener>>(std::move(listener_));
  (*old_listener)->stop_listening();
  listener_ = std::make_unique<Listener>(context_.loop, *this, address, sidecar_);
  std::vector<const Session*> open;
  for (auto& [key, session] : sessions_) open.push_back(key);
  context_.loop.call_at(context_.loop.now() + close_old_after, [this, open, old_listener] {
    for (const Session* key : open) {
      auto found = sessions_.find(key);
      if (found != sessions_.end()) found->second->close();
    }
  });
}

}  // namespace load_test
