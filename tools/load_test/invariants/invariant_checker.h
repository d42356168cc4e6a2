// Checks the four rules that every sidecar has to keep, from events that were observed outside of it. The
// checker does no I/O, has no clock of its own and uses no information from the sidecar. A delay breaks no
// rule if it can be explained by the load test itself being late, or by the sidecar being paused by the
// scenario or having no core.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/load_test/invariants/event.h"
#include "tools/load_test/invariants/slow_start.h"

namespace load_test {

enum class Idempotency { Safe, Keyed, Unsafe };

struct ClassRules {
  Idempotency idempotency = Idempotency::Unsafe;
  // Seconds for which a group recognises a repeated keyed request and does not execute it again.
  double idempotency_window = 0;
  bool grouped = true;  // repeats have to go to the group that got the first attempt
};

struct Bounds {
  std::map<std::string, ClassRules> request_classes;
  // Seconds by which every time limit is extended, for the delay of the sockets.
  double slack = 0.05;
  // Seconds that a sidecar may still send to an endpoint after it was notified that the endpoint drains or is
  // gone.
  double drain_grace = 0.5;
  SlowStartBounds slow_start;
};

enum class Rule { None, OneResponse, NoEffectTwice, DrainsRespected, SlowStartLimit, Crash };
const char* name_of(Rule rule);

struct Breach {
  Rule rule = Rule::None;
  double at = 0;
  std::string request, text;
  std::vector<std::string> history;  // one line per event
};

class InvariantChecker final : public Observer {
 public:
  explicit InvariantChecker(Bounds bounds) : bounds_(std::move(bounds)) {}

  void set_start(double at) { start_ = at; }  // times in histories are relative to this
  void observe(const Event& event) override;
  // Decides due suspicions. All events before 'now' have to have been observed.
  void advance(double now);
  // Ends the run: requests that have no response yet will get none.
  void finish(double now);
  const std::vector<Breach>& breaches() const { return breaches_; }
  std::size_t tracked_requests() const { return requests_.size(); }

 private:
  struct Attempt {
    int endpoint = -1, group = 0;
    double received_at = 0;
    bool refused = false, executed = false;
  };
  struct Request {
    std::string request_class, key;
    int sidecar = -1;
    std::optional<double> sent_at, closed_at;
    double client_timeout = 0;
    bool answered = false, excused = false, overdue = false, rejected = false;
    std::vector<Attempt> attempts;
    std::vector<Event> history;
  };
  struct Sidecar {
    bool down = false;
    std::optional<double> paused;
    // (end, duration) of the times when it was paused or had no core.
    std::deque<std::pair<double, double>> unavailable;
    // By endpoint that drains or is gone: when the sidecar was notified of it.
    std::map<int, double> notified;
  };
  // A possible breach that is dropped if the sidecar turns out to have been unavailable for as long as the
  // delay.
  struct Suspicion {
    double decide_at, from, to, excess;
    int sidecar;
    Rule rule;
    std::string request, text;
  };
  using Handler = void (InvariantChecker::*)(const Event& event, Request& request);
  struct HandlerEntry {
    Event::Kind kind;
    Handler handler;
  };
  static const HandlerEntry kHandlers[];
  void on_request_sent(const Event& event, Request& request);
  void on_request_crossed_close(const Event& event, Request& request);
  void on_response_received(const Event& event, Request& request);
  void on_connection_lost(const Event& event, Request& request);
  void on_unreachable(const Event& event, Request& request);
  void on_request_cancelled(const Event& event, Request& request);
  void on_attempt_first_byte(const Event& event, Request& request);
  void on_attempt_received(const Event& event, Request& request);
  void on_attempt_executed(const Event& event, Request& request);
  void on_attempt_refused(const Event& event, Request& request);
  void record_only(const Event&, Request&) {}

  void on_process_event(const Event& event);
  void on_notified(const Event& event);
  void check_slow_start(const Event& event);
  void check_rejection(const Event& event, Request& request);
  const ClassRules& rules_for(const Request& request) const;
  double unavailable_time(const Sidecar& sidecar, double from, double to) const;
  void add_suspicion(Rule rule, double from, double to, double excess, int sidecar,
                     const std::string& request, std::string text);
  void add_breach(Rule rule, double at, const std::string& request, std::string text);
  void close(const std::string& id, Request& request, double at);
  void evict(double now);

  Bounds bounds_;
  double start_ = 0;
  std::unordered_map<std::string, Request> requests_;
  std::deque<std::pair<double, std::string>> closed_requests_;
  std::set<std::pair<double, std::string>> timeouts_;  // by the expiry of the client timeout
  std::map<int, Sidecar> sidecars_;
  std::map<int, SlowStartBudget> slow_start_;
  std::deque<Suspicion> suspicions_;
  std::vector<Breach> breaches_;
};

}  // namespace load_test
