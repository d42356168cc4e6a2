// Hosts many instances of the decision module on the bench's wire: a line of events in, a line of actions
// out. The instances share nothing but this loop.
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "tools/simulator_adapter/codec.h"

namespace puffinvane::wire {
namespace {

class Instance final : public Host {
 public:
  Instance(std::uint64_t number, std::string& out) : number_(number), out_(out) {}

  void start(double now, Deployment deployment, std::uint64_t seed) {
    policy_ = make_policy(now, std::move(deployment), seed, *this);
  }
  Policy& policy() { return *policy_; }

  void start_attempt(RequestId request, std::string_view endpoint, double attempt_deadline) override {
    open("CALL_OUT"), add(request), add(endpoint), add(attempt_deadline), close();
  }
  void cancel_attempt(RequestId request, int number) override {
    open("REVOKE"), add(request), add(static_cast<std::uint32_t>(number)), close();
  }
  void reject_request(RequestId request, double wait) override {
    open("DENY"), add(request), add(wait), close();
  }
  void fail_request(RequestId request) override { open("ERROR"), add(request), close(); }
  void schedule_timer(double at, std::uint64_t token) override {
    open("REMIND"), add(at), add(token), close();
  }
  void poll_endpoint_list() override { open("LISTEN"), out_ += ",true", close(); }
  void log(std::string_view text) override { open("EMIT"), add(text), close(); }
  void fault(std::string_view text) { open("BUG"), add(text), close(); }

 private:
  void open(std::string_view name) {
    if (out_.back() != '[') out_ += ',';
    out_ += "[\"";
    out_ += name;
    out_ += "\",";
    write_whole(out_, number_);
  }
  void add(std::uint64_t value) { out_ += ',', write_whole(out_, value); }
  void add(std::uint32_t value) { out_ += ',', write_whole(out_, value); }
  void add(double value) { out_ += ',', write_number(out_, value); }
  void add(std::string_view value) { out_ += ',', write_text(out_, value); }
  void add(const char* value) { add(std::string_view(value)); }
  void close() { out_ += ']'; }

  std::uint64_t number_;
  std::string& out_;
  std::unique_ptr<Policy> policy_;
};

class Loop {
 public:
  void answer(simdjson::dom::element line) {
    out_ = "{\"outbox\":[";
    simdjson::dom::array events;
    if (line["TimeS"].get(now_)) throw Malformed("the batch has no TimeS");
    if (line["events"].get(events)) throw Malformed("the batch has no events");
    for (simdjson::dom::element event : events) take(Message(event));
    out_ += "]}\n";
    std::fwrite(out_.data(), 1, out_.size(), stdout);
    std::fflush(stdout);
  }

 private:
  // What an event asks of an instance is read in full before the instance is called, so that a fault of the
  // line stops the adapter and a fault of the instance stays the instance's.
  template <typename Call>
  void pass(const Message& event, Call call) {
    auto found = instances_.find(event.natural(1, "Sidecar"));
    if (found != instances_.end()) guard(*found->second, [&] { call(found->second->policy()); });
  }

  template <typename Call>
  void guard(Instance& instance, Call call) {
    try {
      call();
    } catch (const std::exception& fault) {
      instance.fault(fault.what());
    }
  }

  void take(const Message& event) {
    std::string_view name = event.name();
    if (name == "ORDER") {
      Request request{request_id(event),          event.text(3, "Profile"), event.text_or_none(4),
                      event.number(6, "BudgetS"), event.text_or_none(5),    event.number_or_none(7)};
      pass(event, [&](Policy& policy) { policy.on_request(now_, request); });
    } else if (name == "ATTEMPT_END") {
      AttemptEnd end{request_id(event),
                     static_cast<int>(event.whole(5, "N")),
                     read_outcome(event.whole(6, "Result")),
                     event.flag(3, "Finished"),
                     event.number(4, "CostTimeS"),
                     event.load(8)};
      event.text(7, "Endpoint");
      pass(event, [&](Policy& policy) { policy.on_attempt_ended(now_, end); });
    } else if (name == "TICK_DUE") {
      std::uint64_t token = event.natural(2, "Name");
      pass(event, [&](Policy& policy) { policy.on_timer(now_, token); });
    } else if (name == "WITHDRAWN") {
      RequestId request = request_id(event);
      pass(event, [&](Policy& policy) { policy.on_request_cancelled(now_, request); });
    } else if (name == "CATALOG") {
      lists_[event.natural(1, "Buffer")] = read_entries(event.at(2, "Entries"));
    } else if (name == "REGISTRY") {
      take_list(event);
    } else if (name == "POWER_ON") {
      std::uint64_t number = event.natural(1, "Sidecar"), seed = event.natural(2, "Nonce64");
      Deployment deployment = read_deployment(event.at(3, "Options"));
      auto instance = std::make_unique<Instance>(number, out_);
      instances_.erase(number);
      guard(*instance, [&] {
        instance->start(now_, std::move(deployment), seed);
        instances_[number] = std::move(instance);
      });
    } else if (name == "CRASH_NOW") {
      instances_.erase(event.natural(1, "Sidecar"));
    }
  }

  void take_list(const Message& event) {
    static constexpr ListScope kScopes[] = {ListScope::Changes, ListScope::Cached, ListScope::Full,
                                            ListScope::Failed};
    std::uint64_t scope = event.natural(2, "Scope");
    if (scope >= std::size(kScopes)) throw Malformed("event REGISTRY has no known Scope");
    std::vector<ListEntry> none;
    const std::vector<ListEntry>* entries = &none;
    if (kScopes[scope] != ListScope::Failed) {
      auto found = lists_.find(event.natural(4, "Buffer"));
      if (found == lists_.end()) throw Malformed("event REGISTRY names a Buffer that no CATALOG filled");
      entries = &found->second;
    }
    pass(event, [&](Policy& policy) { policy.on_endpoint_list(now_, kScopes[scope], *entries); });
  }

  static RequestId request_id(const Message& event) {
    std::uint64_t id = event.natural(2, "MsgId");
    if (id > UINT32_MAX) throw Malformed("a MsgId is out of range");
    return static_cast<RequestId>(id);
  }

  double now_ = 0;
  std::string out_;
  std::map<std::uint64_t, std::vector<ListEntry>> lists_;
  std::map<std::uint64_t, std::unique_ptr<Instance>> instances_;
};

int run() {
  std::ios::sync_with_stdio(false);
  simdjson::dom::parser parser;
  Loop loop;
  std::string line;
  for (std::uint64_t number = 1; std::getline(std::cin, line); ++number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    simdjson::dom::element parsed;
    if (auto fault = parser.parse(line).get(parsed)) {
      std::cerr << "line " << number << " is not JSON: " << simdjson::error_message(fault) << std::endl;
      return 1;
    }
    try {
      loop.answer(parsed);
    } catch (const Malformed& fault) {
      std::cerr << "line " << number << ": " << fault.what() << std::endl;
      return 1;
    }
  }
  return 0;
}

}  // namespace
}  // namespace puffinvane::wire

int main() { return puffinvane::wire::run(); }
