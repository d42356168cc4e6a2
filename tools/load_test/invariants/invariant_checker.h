// Judges the four rules by what was seen from outside. It does no I/O, has no clock of its own, and knows
// nothing of what the sidecar thinks. What only lateness could explain (of the load test, of a sidecar that
// had no core or was stopped by the scenario) breaks nothing.
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

struct CheckedClass {
  Idempotency idempotency = Idempotency::Unsafe;
  double memory = 0;    // seconds that a group drops repeats of a keyed request for
  bool grouped = true;  // repeats only within the first one's group
};

struct Bounds {
  std::map<std::string, CheckedClass> request_classes;
  double slack = 0.05;  // seconds that each time limit is longer on sockets
  double grace = 0.5;   // seconds from being told that an endpoint drains or is gone
  SlowStartBounds slow_start;
};

enum class Rule { None, OneAnswer, NoEffectTwice, DrainsKept, SlowStartHeld, Crash };
const char* name_of(Rule rule);

struct Breach {
  Rule rule = Rule::None;
  double at = 0;
  std::string request, text;
  std::vector<std::string> history;  // a line an event
};

class InvariantChecker final : public Observer {
 public:
  explicit InvariantChecker(Bounds bounds) : bounds_(std::move(bounds)) {}

  void begin(double at) { began_ = at; }  // what histories count from
  void observe(const Event& event) override;
  void advance(double now);  // judges what has waited long enough; all that came before 'now' was observed
  void finish(double now);   // the run is over: what has no answer by now never gets one
  const std::vector<Breach>& breaches() const { return breaches_; }
  std::size_t held() const { return requests_.size(); }

 private:
  struct Attempt {
    int endpoint = -1, group = 0;
    double begun = 0;
    bool turned_away = false, ran = false;
  };
  struct Request {
    std::string request_class, key;
    int sidecar = -1;
    std::optional<double> offered, over;
    double waits = 0;
    bool answered = false, excused = false, overdue = false, rejected = false;
    std::vector<Attempt> attempts;
    std::vector<Event> history;
  };
  struct Sidecar {
    bool down = false;
    std::optional<double> paused;
    std::deque<std::pair<double, double>> away;  // until, for how long
    std::map<int, double> notified;              // endpoints that drain or are gone, since when
  };
  struct Suspicion {  // may yet be explained by a sidecar that was away
    double judged_at, from, to, over_by;
    int sidecar;
    Rule rule;
    std::string request, text;
  };
  using Act = void (InvariantChecker::*)(const Event& event, Request& request);
  struct Row {
    Event::Kind kind;
    Act act;
  };
  static const Row kRows[];
  void offered(const Event& event, Request& request);
  void crossed(const Event& event, Request& request);
  void answered(const Event& event, Request& request);
  void broken(const Event& event, Request& request);
  void unreachable(const Event& event, Request& request);
  void withdrawn(const Event& event, Request& request);
  void first_byte(const Event& event, Request& request);
  void begun(const Event& event, Request& request);
  void ran(const Event& event, Request& request);
  void turned_away(const Event& event, Request& request);
  void noted(const Event&, Request&) {}

  void of_sidecar(const Event& event);
  void notified(const Event& event);
  void slow_start_work(const Event& event);
  void rejected_after_run(const Event& event, Request& request);
  const CheckedClass& class_of(const Request& request) const;
  double away(const Sidecar& sidecar, double from, double to) const;
  void suspect(Rule rule, double from, double to, double over_by, int sidecar, const std::string& request,
               std::string text);
  void breach(Rule rule, double at, const std::string& request, std::string text);
  void close(const std::string& id, Request& request, double at);
  void forget(double now);

  Bounds bounds_;
  double began_ = 0;
  std::unordered_map<std::string, Request> requests_;
  std::deque<std::pair<double, std::string>> over_;
  std::set<std::pair<double, std::string>> waiting_;  // by the end of their client timeouts
  std::map<int, Sidecar> sidecars_;
  std::map<int, SlowStartBudget> slow_start_;
  std::deque<Suspicion> suspicions_;
  std::vector<Breach> breaches_;
};

}  // namespace load_test
