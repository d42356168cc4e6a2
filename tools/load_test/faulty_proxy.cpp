// A stand-in sidecar with one vice, to prove that the invariant checker catches it, and for its own rule
// only. Without a vice it keeps the rules: puffinvane_faulty_proxy VICE, told by BALANCER_CONFIG as the real
// one is.
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

constexpr int kOneIn = 20;        // requests that the vice falls upon, where not all of a kind
constexpr double kInTime = 0.06;  // before its client timeout a request gets its error
const std::set<std::string> kVices = {"honest",         "answers-twice",   "answers-late",
                                      "loses-one",      "reruns-mutating", "strays-tagged",
                                      "forgets-tagged", "ignores-drains",  "floods-cold"};

struct Target {
  std::string name, address;
  int group = 0, out = 0;
  bool ready = true;
  double since = 0;  // Unix seconds
};

struct Prefix {
  std::string kind;
  double timeout = 1, memory = 1;
};

class FaultyProxy;

class Attempt final : public Line::Owner {
 public:
  Attempt(FaultyProxy& proxy, std::shared_ptr<struct Request> request, Target& target);
  ~Attempt() override;
  Target& target;

 private:
  void on_bytes(Line&, std::string_view bytes) override;
  void on_end(Line&, bool) override;
  void over(int status, const std::string& body, bool never_ran);
  FaultyProxy& proxy_;
  std::shared_ptr<struct Request> request_;
  Line line_;
  Reader reader_;
};

class Caller final : public Line::Owner {
 public:
  Caller(FaultyProxy& proxy, int descriptor);
  void answer(int status, const std::string& body) {
    Message message;
    message.status = status;
    message.body = body;
    line.send(write(message));
  }
  Line line;
  std::shared_ptr<struct Request> request;

 private:
  void on_bytes(Line&, std::string_view bytes) override;
  void on_end(Line&, bool) override;
  FaultyProxy& proxy_;
  Reader reader_;
};

struct Request {
  Message message;
  Caller* caller = nullptr;
  std::string kind;
  double deadline = 0, memory = 0;
  int number = 0, attempts = 0;
  bool answered = false, may_have_run = false;
};

class FaultyProxy final : public Listener::Owner, public Line::Owner {
 public:
  FaultyProxy(const json& config, std::string vice)
      : vice_(std::move(vice)),
        watch_(loop, *this),
        listener_(loop, *this, read_address(config.at("listen").get<std::string>()), 0) {
    for (const json& request_class : config.at("settings").at("PathPrefixes"))
      prefixes_[request_class.at("Name")] = {request_class.at("Idempotency"),
                                             request_class.at("ClientTimeoutS"),
                                             request_class.at("MemorySpanS")};
    warm_after_ = config.at("settings").at("Rules").at("ColdS");
    note(config.at("known"));
    watch_.connect(read_address(config.at("discovery").get<std::string>()));
    watch_.send("GET /v1/servers?watch=1&after=0 HTTP/1.1\r\nHost: discovery\r\n\r\n");
  }
  void run() {
    loop.run([] { return false; });
  }
  void take(Caller& caller, Message message);
  void attempt(const std::shared_ptr<Request>& request, Target* target);
  void ended(const std::shared_ptr<Request>& request, int status, const std::string& body, bool never_ran);
  void answer(const std::shared_ptr<Request>& request, int status, const std::string& body);
  void let_go(Caller& caller) { bury(callers_, &caller); }
  void let_go(Attempt& attempt) { bury(attempts_, &attempt); }
  Loop loop;

 private:
  template <typename Map, typename Key>
  void bury(Map& map, Key* key) {
    auto found = map.extract(key);
    if (!found.empty()) loop.bury(std::move(found.mapped()));
  }
  bool vice(const char* name) const { return vice_ == name; }
  void on_accepted(Listener&, int descriptor) override {
    auto caller = std::make_unique<Caller>(*this, descriptor);
    Caller* key = caller.get();
    callers_.emplace(key, std::move(caller));
  }
  void on_bytes(Line&, std::string_view bytes) override;
  void on_end(Line&, bool) override {}
  void note(const json& list);
  Target* choose(const std::function<bool(const Target&)>& fits);

  const std::string vice_;
  Line watch_;
  Listener listener_;
  std::string heard_;
  std::map<std::string, Prefix> prefixes_;
  std::map<std::string, Target> targets_;
  std::map<const Caller*, std::unique_ptr<Caller>> callers_;
  std::map<const Attempt*, std::unique_ptr<Attempt>> attempts_;
  double warm_after_ = 5;
  int requests_ = 0;
};

Attempt::Attempt(FaultyProxy& proxy, std::shared_ptr<Request> request, Target& target)
    : target(target),
      proxy_(proxy),
      request_(std::move(request)),
      line_(proxy.loop, *this),
      reader_(Reader::Of::Answers) {
  ++target.out;
  Message message = request_->message;
  std::erase_if(message.headers, [](const auto& header) {
    return header.first == "X-Time-Left" || header.first == "Content-Length" || header.first == "Host";
  });
  double left = std::max(0.001, request_->deadline - proxy.loop.now());
  message.headers.emplace_back("X-Time-Left", std::to_string(long(left * 1e6)) + "u");
  if (!line_.connect(read_address(target.address))) {
    proxy.loop.at(proxy.loop.now(), [this] { over(502, "", true); });
    return;
  }
  line_.send(write(message));
}
Attempt::~Attempt() { --target.out; }

void Attempt::on_bytes(Line&, std::string_view bytes) {
  reader_.feed(bytes);
  if (reader_.bad()) return over(502, "", false);
  if (!reader_.whole()) return;
  Message answer = reader_.take();
  over(answer.status, answer.body, answer.header("X-Unprocessed") == "1");
}
void Attempt::on_end(Line&, bool) { over(502, "", !line_.written()); }
void Attempt::over(int status, const std::string& body, bool never_ran) {
  line_.close();
  proxy_.ended(request_, status, body, never_ran);
  proxy_.let_go(*this);
}

Caller::Caller(FaultyProxy& proxy, int descriptor)
    : line(proxy.loop, *this), proxy_(proxy), reader_(Reader::Of::Requests) {
  line.adopt(descriptor);
}
void Caller::on_bytes(Line&, std::string_view bytes) {
  reader_.feed(bytes);
  if (reader_.whole()) proxy_.take(*this, reader_.take());
}
void Caller::on_end(Line&, bool) {
  if (request) request->caller = nullptr;
  proxy_.let_go(*this);
}

void FaultyProxy::on_bytes(Line&, std::string_view bytes) {
  heard_ += bytes;
  for (std::size_t end; (end = heard_.find('\n')) != std::string::npos;) {
    std::string line = heard_.substr(0, end);
    heard_.erase(0, end + 1);
    if (line.starts_with('{')) note(json::parse(line));
  }
}

void FaultyProxy::note(const json& list) {
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
    target.since = entry.at("since_ms").get<double>() / 1000;
  }
  if (!list.at("snapshot").get<bool>()) return;
  for (auto& [name, target] : targets_) target.ready = target.ready && listed.contains(name);
}

Target* FaultyProxy::choose(const std::function<bool(const Target&)>& fits) {
  Target* best = nullptr;
  double now = double(time(nullptr));
  // An endpoint in slow start is chosen only where there is no other; the vice turns that round.
  auto rank = [&](const Target& target) {
    bool fresh = now - target.since < warm_after_ + 1;
    return std::make_pair(vice("floods-cold") ? !fresh : fresh, target.out);
  };
  for (auto& [name, target] : targets_) {
    if (!target.ready && !vice("ignores-drains")) continue;
    if (fits(target) && (!best || rank(target) < rank(*best))) best = &target;
  }
  return best;
}

void FaultyProxy::take(Caller& caller, Message message) {
  if (message.target == "/healthz") return caller.answer(200, "ready\n");
  auto request_class = prefixes_.find(message.target.substr(1, message.target.find('/', 1) - 1));
  if (request_class == prefixes_.end() || message.header("X-Correlation-Id").empty())
    return caller.answer(404, "");
  auto request = std::make_shared<Request>();
  double left = std::atof(std::string(message.header("X-Time-Left")).c_str()) * 1e-6;
  request->deadline =
      loop.now() + (left > 0 ? std::min(left, request_class->second.timeout) : request_class->second.timeout);
  request->kind = request_class->second.kind;
  request->memory = request_class->second.memory;
  request->message = std::move(message);
  request->caller = &caller;
  request->number = ++requests_;
  caller.request = request;
  bool falls = request->number % kOneIn == 0;
  if (falls && vice("loses-one")) {
    loop.at(loop.now() + 0.03, [this, request] {
      if (request->answered || !request->caller) return;
      Caller& caller = *std::exchange(request->caller, nullptr);
      caller.line.close();
      let_go(caller);
    });
    return;
  }
  Target* target = choose([](const Target&) { return true; });
  if (!target) return answer(request, 503, "");
  double end = request->deadline - kInTime;
  loop.at(end, [this, request] { answer(request, 502, "out of time\n"); });
  attempt(request, target);
  Target* other = nullptr;
  if (request->kind == "once" && falls && vice("reruns-mutating"))
    other = choose([&](const Target& one) { return &one != target; });
  if (request->kind == "by_key" && falls && vice("strays-tagged"))
    other = choose([&](const Target& one) { return one.group != target->group; });
  if (other) loop.at(loop.now() + 0.002, [this, request, other] { attempt(request, other); });
  if (request->kind == "by_key" && falls && vice("forgets-tagged"))
    loop.at(loop.now() + request->memory + 0.15, [this, request, target] { attempt(request, target); });
}

void FaultyProxy::attempt(const std::shared_ptr<Request>& request, Target* target) {
  ++request->attempts;
  auto made = std::make_unique<Attempt>(*this, request, *target);
  Attempt* key = made.get();
  attempts_.emplace(key, std::move(made));
}

void FaultyProxy::ended(const std::shared_ptr<Request>& request, int status, const std::string& body,
                        bool never_ran) {
  if (request->answered) return;
  request->may_have_run |= !never_ran;
  if (status == 200) return answer(request, 200, body);
  answer(request, request->may_have_run ? 502 : 503, "");
}

void FaultyProxy::answer(const std::shared_ptr<Request>& request, int status, const std::string& body) {
  if (request->answered || !request->caller) return;
  if (vice("answers-late") && request->number % kOneIn == 0 && loop.now() < request->deadline + 0.1) {
    loop.at(request->deadline + 0.12, [this, request, status, body] { answer(request, status, body); });
    return;
  }
  request->answered = true;
  Caller* caller = request->caller;
  caller->answer(status, body);
  if (vice("answers-twice") && request->number % kOneIn == 0) caller->answer(status, body);
}

}  // namespace
}  // namespace load_test

int main(int count, char** words) {
  using namespace load_test;
  std::signal(SIGPIPE, SIG_IGN);
  if (count != 2 || !kVices.contains(words[1])) {
    std::cerr << "puffinvane_faulty_proxy VICE, one of:";
    for (const std::string& vice : kVices) std::cerr << " " << vice;
    std::cerr << std::endl;
    return 2;
  }
  const char* file = std::getenv("BALANCER_CONFIG");
  std::ifstream in(file ? file : "");
  try {
    FaultyProxy(nlohmann::json::parse(in), words[1]).run();
  } catch (const std::exception& fault) {
    std::cerr << fault.what() << std::endl;
    return 1;
  }
}
