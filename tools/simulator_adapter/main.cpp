// Connects the policy to the simulator: reads one batch of events per line from standard input and writes the
// resulting actions as one line to standard output. Runs many independent policy instances, one for each
// simulated sidecar.
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "tools/simulator_adapter/codec.h"

namespace puffinvane::simulator_adapter {
namespace {

// Runs one policy and appends the actions that it requests to the reply's outbox, tagged with the instance's
// number.
class Instance final : public Host {
 public:
  Instance(std::uint64_t sidecar, std::string& out) : sidecar_(sidecar), out_(out) {}

  void start(double now, Deployment deployment, std::uint64_t seed) {
    policy_ = make_policy(now, std::move(deployment), seed, *this);
  }
  Policy& policy() { return *policy_; }

  void start_attempt(RequestId request, std::string_view endpoint, const AttemptLimits& limits) override {
    begin_action("CALL_OUT");
    add_field(request);
    add_field(endpoint);
    add_field(limits.deadline);
    end_action();
  }
  void cancel_attempt(RequestId request, int number) override {
    begin_action("REVOKE");
    add_field(request);
    add_field(static_cast<std::uint32_t>(number));
    end_action();
  }
  void reject_request(RequestId request, double retry_after) override {
    begin_action("DENY");
    add_field(request);
    add_field(retry_after);
    end_action();
  }
  void fail_request(RequestId request) override {
    begin_action("ERROR");
    add_field(request);
    end_action();
  }
  void schedule_timer(double at, std::uint64_t token) override {
    begin_action("REMIND");
    add_field(at);
    add_field(token);
    end_action();
  }
  void poll_endpoint_list() override {
    begin_action("LISTEN");
    out_ += ",true";
    end_action();
  }
  void log(std::string_view text) override {
    begin_action("EMIT");
    add_field(text);
    end_action();
  }
  // Reports an exception that the policy threw.
  void report_policy_error(std::string_view text) {
    begin_action("BUG");
    add_field(text);
    end_action();
  }

 private:
  void begin_action(std::string_view name) {
    if (out_.back() != '[') out_ += ',';
    out_ += "[\"";
    out_ += name;
    out_ += "\",";
    write_unsigned_integer(out_, sidecar_);
  }
  void add_field(std::uint64_t value) {
    out_ += ',';
    write_unsigned_integer(out_, value);
  }
  void add_field(std::uint32_t value) {
    out_ += ',';
    write_unsigned_integer(out_, value);
  }
  void add_field(double value) {
    out_ += ',';
    write_number(out_, value);
  }
  void add_field(std::string_view value) {
    out_ += ',';
    write_json_string(out_, value);
  }
  void add_field(const char* value) { add_field(std::string_view(value)); }
  void end_action() { out_ += ']'; }

  std::uint64_t sidecar_;
  std::string& out_;
  std::unique_ptr<Policy> policy_;
};

// Dispatches event batches to the instances and writes one reply for each batch.
class BatchProcessor {
 public:
  void process(simdjson::dom::element batch) {
    out_ = "{\"outbox\":[";
    simdjson::dom::array events;
    if (batch["TimeS"].get(now_)) throw Malformed("the batch: TimeS is missing or not a number");
    if (batch["events"].get(events)) throw Malformed("the batch: events is missing or not an array");
    for (simdjson::dom::element event : events) handle_event(EventMessage(event));
    out_ += "]}\n";
    std::fwrite(out_.data(), 1, out_.size(), stdout);
    std::fflush(stdout);
  }

 private:
  // Calls the policy of the event's sidecar; an event for a sidecar that does not run is ignored. Callers
  // parse the whole event first: invalid input has to stop the adapter, while an exception of a policy is
  // only reported.
  template <typename Call>
  void call_policy(const EventMessage& event, Call call) {
    auto found = instances_.find(event.unsigned_integer(1, "Sidecar"));
    if (found != instances_.end()) report_exceptions(*found->second, [&] { call(found->second->policy()); });
  }

  template <typename Call>
  void report_exceptions(Instance& instance, Call call) {
    try {
      call();
    } catch (const std::exception& error) {
      instance.report_policy_error(error.what());
    }
  }

  void handle_event(const EventMessage& event) {
    std::string_view name = event.name();
    if (name == "ORDER") {
      Request request{request_id(event),          event.string(3, "Profile"), event.optional_string(4),
                      event.number(6, "BudgetS"), event.optional_string(5),   event.optional_number(7)};
      call_policy(event, [&](Policy& policy) { policy.on_request(now_, request); });
    } else if (name == "ATTEMPT_END") {
      AttemptEnd end{request_id(event),
                     static_cast<int>(event.integer(5, "N")),
                     outcome_from_code(event.integer(6, "Result")),
                     event.boolean(3, "Finished"),
                     event.number(4, "CostTimeS"),
                     event.load_report(8)};
      event.string(7, "Endpoint");
      call_policy(event, [&](Policy& policy) { policy.on_attempt_ended(now_, end); });
    } else if (name == "TICK_DUE") {
      std::uint64_t token = event.unsigned_integer(2, "Name");
      call_policy(event, [&](Policy& policy) { policy.on_timer(now_, token); });
    } else if (name == "WITHDRAWN") {
      RequestId request = request_id(event);
      call_policy(event, [&](Policy& policy) { policy.on_request_cancelled(now_, request); });
    } else if (name == "CATALOG") {
      lists_[event.unsigned_integer(1, "Buffer")] = parse_list_entries(event.at(2, "Entries"));
    } else if (name == "REGISTRY") {
      handle_endpoint_list(event);
    } else if (name == "POWER_ON") {
      std::uint64_t sidecar = event.unsigned_integer(1, "Sidecar");
      std::uint64_t seed = event.unsigned_integer(2, "Nonce64");
      Deployment deployment = read_deployment(event.at(3, "Options"));
      auto instance = std::make_unique<Instance>(sidecar, out_);
      instances_.erase(sidecar);
      report_exceptions(*instance, [&] {
        instance->start(now_, std::move(deployment), seed);
        instances_[sidecar] = std::move(instance);
      });
    } else if (name == "CRASH_NOW") {
      instances_.erase(event.unsigned_integer(1, "Sidecar"));
    }
  }

  void handle_endpoint_list(const EventMessage& event) {
    static constexpr ListScope kScopes[] = {ListScope::Changes, ListScope::Cached, ListScope::Full,
                                            ListScope::Failed};
    std::uint64_t scope = event.unsigned_integer(2, "Scope");
    if (scope >= std::size(kScopes))
      throw Malformed("event REGISTRY: Scope " + std::to_string(scope) + " is unknown");
    std::vector<ListEntry> no_entries;
    const std::vector<ListEntry>* entries = &no_entries;
    if (kScopes[scope] != ListScope::Failed) {
      auto found = lists_.find(event.unsigned_integer(4, "Buffer"));
      if (found == lists_.end()) throw Malformed("event REGISTRY: no CATALOG event filled the Buffer");
      entries = &found->second;
    }
    call_policy(event, [&](Policy& policy) { policy.on_endpoint_list(now_, kScopes[scope], *entries); });
  }

  static RequestId request_id(const EventMessage& event) {
    std::uint64_t id = event.unsigned_integer(2, "MsgId");
    if (id > UINT32_MAX)
      throw Malformed("event " + std::string(event.name()) + ": MsgId " + std::to_string(id) +
                      " exceeds 32 bits");
    return static_cast<RequestId>(id);
  }

  double now_ = 0;
  std::string out_;
  std::map<std::uint64_t, std::vector<ListEntry>> lists_;         // by the Buffer that CATALOG named
  std::map<std::uint64_t, std::unique_ptr<Instance>> instances_;  // by Sidecar
};

int run() {
  std::ios::sync_with_stdio(false);
  simdjson::dom::parser parser;
  BatchProcessor processor;
  std::string line;
  for (std::uint64_t line_number = 1; std::getline(std::cin, line); ++line_number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    simdjson::dom::element parsed;
    if (auto error = parser.parse(line).get(parsed)) {
      std::cerr << "line " << line_number << " is not JSON: " << simdjson::error_message(error) << std::endl;
      return 1;
    }
    try {
      processor.process(parsed);
    } catch (const Malformed& error) {
      std::cerr << "line " << line_number << ": " << error.what() << std::endl;
      return 1;
    }
  }
  return 0;
}

}  // namespace
}  // namespace puffinvane::simulator_adapter

int main() { return puffinvane::simulator_adapter::run(); }
