// A stand-in for the sidecar that violates one rule on purpose, to test that the invariant checker reports a
// breach of that rule and of no other. Usage: puffinvane_faulty_proxy VICE, configured through
// BALANCER_CONFIG like the real sidecar. With the vice "honest" it violates nothing.
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "tools/load_test/loop/connection.h"
#include "tools/load_test/loop/http.h"

namespace load_test {
namespace {

using nlohmann::json;

// The vices that do not apply to every request apply to one in this many.
constexpr int kAffectedInterval = 20;
// Seconds before its client timeout at which an unanswered request gets an error response.
constexpr double kDeadlineMargin = 0.06;
const std::set<std::string> kVices = {"honest",         "answers-twice",   "answers-late",
                                      "loses-one",      "reruns-mutating", "strays-tagged",
                                      "forgets-tagged", "ignores-drains",  "floods-cold"};

struct Target {
  std::string name, address;
  int group = 0, pending = 0;
  bool ready = true;
  double listed_since = 0;  // Unix time, seconds
};

struct RequestClass {
  std::string idempotency;
  double timeout = 1, idempotency_window = 1;
};

class FaultyProxy;

class Attempt final : public Connection::Owner {
 public:
  Attempt(FaultyProxy& proxy, std::shared_ptr<struct Request> request, Target& target);
  ~Attempt() override;
  Target& target;

 private:
  void on_bytes(Connection&, std::string_view bytes) override;
  void on_end(Connection&, bool) override;
  void finish(int status, const std::string& body, bool not_executed);
  FaultyProxy& proxy_;
  std::shared_ptr<struct Request> request_;
  Connection connection_;
  HttpReader reader_;
};

class ClientConnection final : public Connection::Owner {
 public:
  ClientConnection(FaultyProxy& proxy, int descriptor);
  void send_response(int status, const std::string& body) {
    HttpMessage message;
    message.status = status;
    message.body = body;
    connection.send(serialize(message));
  }
  Connection connection;
  std::shared_ptr<struct Request> request;

 private:
  void on_bytes(Connection&, std::string_view bytes) override;
  void on_end(Connection&, bool) override;
  FaultyProxy& proxy_;
  HttpReader reader_;
};

struct Request {
  HttpMessage message;
  ClientConnection* client = nullptr;
  std::string idempotency;
  double deadline = 0, idempotency_window = 0;
  int number = 0, attempts = 0;
  bool responded = false, may_have_run = false;
};

class FaultyProxy final : public Listener::Owner, public Connection::Owner {
 public:
  FaultyProxy(const json& config, std::string vice)
      : vice_(std::move(vice)),
        discovery_(loop, *this),
        listener_(loop, *this, parse_address(config.at("listen").get<std::string>()), 0) {
    for (const json& request_class : config.at("settings").at("PathPrefixes"))
      request_classes_[request_class.at("Name")] = {request_class.at("Idempotency"),
                                                    request_class.at("ClientTimeoutS"),
                                                    request_class.at("MemorySpanS")};
    slow_start_duration_ = config.at("settings").at("Rules").at("ColdS");
    apply_list(config.at("known"));
    discovery_.connect(parse_address(config.at("discovery").get<std::string>()));
    discovery_.send("GET /v1/servers?watch=1&after=0 HTTP/1.1\r\nHost: discovery\r\n\r\n");
  }
  void run() {
    loop.run([] { return false; });
  }
  void handle_request(ClientConnection& client, HttpMessage message);
  void start_attempt(const std::shared_ptr<Request>& request, Target* target);
  void handle_attempt_end(const std::shared_ptr<Request>& request, int status, const std::string& body,
                          bool not_executed);
  void respond(const std::shared_ptr<Request>& request, int status, const std::string& body);
  void remove(ClientConnection& client) { erase_entry(clients_, &client); }
  void remove(Attempt& attempt) { erase_entry(attempts_, &attempt); }
  EventLoop loop;

 private:
  template <typename Map, typename Key>
  void erase_entry(Map& map, Key* key) {
    auto found = map.extract(key);
    if (!found.empty()) loop.delete_later(std::move(found.mapped()));
  }
  bool has_vice(const char* name) const { return vice_ == name; }
  void on_accepted(Listener&, int descriptor) override {
    auto client = std::make_unique<ClientConnection>(*this, descriptor);
    ClientConnection* key = client.get();
    clients_.emplace(key, std::move(client));
  }
  void on_bytes(Connection&, std::string_view bytes) override;
  void on_end(Connection&, bool) override {}
  void apply_list(const json& list);
  Target* choose_target(const std::function<bool(const Target&)>& eligible);

  const std::string vice_;
  Connection discovery_;
  Listener listener_;
  std::string received_;
  std::map<std::string, RequestClass> request_classes_;
  std::map<std::string, Target> targets_;
  std::map<const ClientConnection*, std::unique_ptr<ClientConnection>> clients_;
  std::map<const Attempt*, std::unique_ptr<Attempt>> attempts_;
  double slow_start_duration_ = 5;
  int requests_ = 0;
};

Attempt::Attempt(FaultyProxy& proxy, std::shared_ptr<Request> request, Target& target)
    : target(target),
      proxy_(proxy),
      request_(std::move(request)),
      connection_(proxy.loop, *this),
      reader_(HttpReader::Kind::Responses) {
  ++target.pending;
  HttpMessage message = request_->message;
  std::erase_if(message.headers, [](const auto& header) {
    return header.first == "X-Time-Left" || header.first == "Content-Length" || header.first == "Host";
  });
  double remaining = std::max(0.001, request_->deadline - proxy.loop.now());
  message.headers.emplace_back("X-Time-Left", std::to_string(long(remaining * 1e6)) + "u");
  if (!connection_.connect(parse_address(target.address))) {
    proxy.loop.call_at(proxy.loop.now(), [this] { finish(502, "", true); });
    return;
  }
  connection_.send(serialize(message));
}
Attempt::~Attempt() { --target.pending; }

void Attempt::on_bytes(Connection&, std::string_view bytes) {
  reader_.feed(bytes);
  if (reader_.invalid()) return finish(502, "", false);
  if (!reader_.complete()) return;
  HttpMessage response = reader_.take();
  finish(response.status, response.body, response.header("X-Unprocessed") == "1");
}
void Attempt::on_end(Connection&, bool) { finish(502, "", !connection_.all_written()); }
void Attempt::finish(int status, const std::string& body, bool not_executed) {
  connection_.close();
  proxy_.handle_attempt_end(request_, status, body, not_executed);
  proxy_.remove(*this);
}

ClientConnection::ClientConnection(FaultyProxy& proxy, int descriptor)
    : connection(proxy.loop, *this), proxy_(proxy), reader_(HttpReader::Kind::Requests) {
  connection.attach(descriptor);
}
void ClientConnection::on_bytes(Connection&, std::string_view bytes) {
  reader_.feed(bytes);
  if (reader_.complete()) proxy_.handle_request(*this, reader_.take());
}
void ClientConnection::on_end(Connection&, bool) {
  if (request) request->client = nullptr;
  proxy_.remove(*this);
}

void FaultyProxy::on_bytes(Connection&, std::string_view bytes) {
  received_ += bytes;
  for (std::size_t end; (end = received_.find('\n')) != std::string::npos;) {
    std::string text = received_.substr(0, end);
    received_.erase(0, end + 1);
    if (text.starts_with('{')) apply_list(json::parse(text));
  }
}

void FaultyProxy::apply_list(const json& list) {
  std::set<std::string> listed;
  for (const json& entry : list.at("endpoints")) {
    std::string name = entry.at("name"), status = entry.at("status");
    listed.insert(name);
    if (status != "active" && !targets_.contains(name)) continue;
    Target& target = targets_[name];
    target.name = name;
    target.address = entry.at("address");
    target.group = entry.at("group");
    target.ready = status == "active";
    target.listed_since = entry.at("since_ms").get<double>() / 1000;
  }
  if (!list.at("snapshot").get<bool>()) return;
  for (auto& [name, target] : targets_) target.ready = target.ready && listed.contains(name);
}

Target* FaultyProxy::choose_target(const std::function<bool(const Target&)>& eligible) {
  Target* best = nullptr;
  double now = double(time(nullptr));
  // Endpoints in slow start are chosen only if there is no other; the vice "floods-cold" prefers them.
  auto rank = [&](const Target& target) {
    bool in_slow_start = now - target.listed_since < slow_start_duration_ + 1;
    return std::make_pair(has_vice("floods-cold") ? !in_slow_start : in_slow_start, target.pending);
  };
  for (auto& [name, target] : targets_) {
    if (!target.ready && !has_vice("ignores-drains")) continue;
    if (eligible(target) && (!best || rank(target) < rank(*best))) best = &target;
  }
  return best;
}

void FaultyProxy::handle_request(ClientConnection& client, HttpMessage message) {
  if (message.target == "/healthz") return client.send_response(200, "ready\n");
  auto request_class = request_classes_.find(message.target.substr(1, message.target.find('/', 1) - 1));
  if (request_class == request_classes_.end() || message.header("X-Correlation-Id").empty())
    return client.send_response(404, "");
  auto request = std::make_shared<Request>();
  double remaining = std::atof(std::string(message.header("X-Time-Left")).c_str()) * 1e-6;
  request->deadline = loop.now() + (remaining > 0 ? std::min(remaining, request_class->second.timeout)
                                                  : request_class->second.timeout);
  request->idempotency = request_class->second.idempotency;
  request->idempotency_window = request_class->second.idempotency_window;
  request->message = std::move(message);
  request->client = &client;
  request->number = ++requests_;
  client.request = request;
  bool affected = request->number % kAffectedInterval == 0;
  if (affected && has_vice("loses-one")) {
    loop.call_at(loop.now() + 0.03, [this, request] {
      if (request->responded || !request->client) return;
      ClientConnection& client = *std::exchange(request->client, nullptr);
      client.connection.close();
      remove(client);
    });
    return;
  }
  Target* target = choose_target([](const Target&) { return true; });
  if (!target) return respond(request, 503, "");
  double respond_by = request->deadline - kDeadlineMargin;
  loop.call_at(respond_by, [this, request] { respond(request, 502, "out of time\n"); });
  start_attempt(request, target);
  Target* second_target = nullptr;
  if (request->idempotency == "once" && affected && has_vice("reruns-mutating"))
    second_target = choose_target([&](const Target& candidate) { return &candidate != target; });
  if (request->idempotency == "by_key" && affected && has_vice("strays-tagged"))
    second_target = choose_target([&](const Target& candidate) { return candidate.group != target->group; });
  if (second_target)
    loop.call_at(loop.now() + 0.002,
                 [this, request, second_target] { start_attempt(request, second_target); });
  if (request->idempotency == "by_key" && affected && has_vice("forgets-tagged"))
    loop.call_at(loop.now() + request->idempotency_window + 0.15,
                 [this, request, target] { start_attempt(request, target); });
}

void FaultyProxy::start_attempt(const std::shared_ptr<Request>& request, Target* target) {
  ++request->attempts;
  auto attempt = std::make_unique<Attempt>(*this, request, *target);
  Attempt* key = attempt.get();
  attempts_.emplace(key, std::move(attempt));
}

void FaultyProxy::handle_attempt_end(const std::shared_ptr<Request>& request, int status,
                                     const std::string& body, bool not_executed) {
  if (request->responded) return;
  request->may_have_run |= !not_executed;
  if (status == 200) return respond(request, 200, body);
  respond(request, request->may_have_run ? 502 : 503, "");
}

void FaultyProxy::respond(const std::shared_ptr<Request>& request, int status, const std::string& body) {
  if (request->responded || !request->client) return;
  if (has_vice("answers-late") && request->number % kAffectedInterval == 0 &&
      loop.now() < request->deadline + 0.1) {
    loop.call_at(request->deadline + 0.12, [this, request, status, body] { respond(request, status, body); });
    return;
  }
  request->responded = true;
  ClientConnection* client = request->client;
  client->send_response(status, body);
  if (has_vice("answers-twice") && request->number % kAffectedInterval == 0)
    client->send_response(status, body);
}

}  // namespace
}  // namespace load_test

int main(int argc, char** argv) {
  using namespace load_test;
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 2 || !kVices.contains(argv[1])) {
    std::cerr << "puffinvane_faulty_proxy VICE, one of:";
    for (const std::string& vice : kVices) std::cerr << " " << vice;
    std::cerr << std::endl;
    return 2;
  }
  const char* file = std::getenv("BALANCER_CONFIG");
  std::ifstream in(file ? file : "");
  try {
    FaultyProxy(nlohmann::json::parse(in), argv[1]).run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 1;
  }
}
