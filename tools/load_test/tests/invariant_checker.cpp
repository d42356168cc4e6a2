// Tests of the invariant checker with sequences of events.
#undef NDEBUG
#include "tools/load_test/invariants/invariant_checker.h"

#include <cassert>
#include <cstdio>

using namespace load_test;
using Kind = Event::Kind;

namespace {

Bounds bounds() {
  Bounds result;
  result.request_classes["read"] = {Idempotency::Safe, 0, true};
  result.request_classes["tagged"] = {Idempotency::Keyed, 1, true};
  result.request_classes["anywhere"] = {Idempotency::Keyed, 1, false};
  result.request_classes["mutating"] = {Idempotency::Unsafe, 0, true};
  result.slow_start = {0.25, 4, 2, 1};
  return result;
}

class History {
 public:
  History() : checker(bounds()) {}
  History& at(double when) {
    now = when;
    checker.advance(when);
    return *this;
  }
  History& sent(const char* request, const char* request_class = "read", double client_timeout = 1) {
    Event event = make_event(Kind::RequestSent, request);
    event.sidecar = 0;
    event.request_class = request_class;
    event.value = client_timeout;
    return observe(event);
  }
  History& responded(const char* request, int status = 200, bool genuine = true, double earliest = -1) {
    Event event = make_event(Kind::ResponseReceived, request);
    event.sidecar = 0;
    event.status = status;
    event.genuine = genuine;
    if (earliest >= 0) event.earliest = earliest;
    return observe(event);
  }
  History& attempt(Kind kind, const char* request, int endpoint, int group = 1, double work = 0) {
    Event event = make_event(kind, request);
    event.sidecar = 0;
    event.endpoint = endpoint;
    event.group = group;
    event.value = work;
    return observe(event);
  }
  History& executed(const char* request, int endpoint, int group = 1) {
    attempt(Kind::AttemptFirstByte, request, endpoint, group);
    attempt(Kind::AttemptReceived, request, endpoint, group);
    return attempt(Kind::AttemptExecuted, request, endpoint, group);
  }
  History& request_event(Kind kind, const char* request) {
    Event event = make_event(kind, request);
    event.sidecar = 0;
    return observe(event);
  }
  History& sidecar(Kind kind, double value = 0) {
    Event event = make_event(kind, "");
    event.sidecar = 0;
    event.value = value;
    return observe(event);
  }
  History& notified(int endpoint, Event::State state) {
    Event event = make_event(Kind::Notified, "");
    event.sidecar = 0;
    event.endpoint = endpoint;
    event.state = state;
    return observe(event);
  }
  History& start_fresh(int endpoint, double capacity) {
    Event event = make_event(Kind::EndpointStarted, "");
    event.endpoint = endpoint;
    event.value = capacity;
    return observe(event);
  }
  Rule only_broken_rule() {
    checker.finish(now);
    if (checker.breaches().empty()) return Rule::None;
    for (const Breach& breach : checker.breaches()) assert(breach.rule == checker.breaches().front().rule);
    return checker.breaches().front().rule;
  }
  InvariantChecker checker;
  double now = 1;

 private:
  Event make_event(Kind kind, const char* request) {
    Event event{kind};
    event.at = event.earliest = now;
    event.request = request;
    return event;
  }
  History& observe(const Event& event) {
    checker.observe(event);
    return *this;
  }
};

void response_in_time_breaks_no_rule() {
  assert(History().sent("a").executed("a", 1).at(1.9).responded("a").only_broken_rule() == Rule::None);
  assert(History().sent("a").at(2.04).responded("a", 502).only_broken_rule() ==
         Rule::None);  // within the slack
}
void second_response_is_a_breach() {
  assert(History().sent("a").responded("a").at(1.1).responded("a").only_broken_rule() == Rule::OneResponse);
}
void late_or_missing_response_is_a_breach() {
  assert(History().sent("a").at(2.2).responded("a").only_broken_rule() == Rule::OneResponse);
  assert(History().sent("a").at(1.5).only_broken_rule() == Rule::OneResponse);  // no response
}
void late_load_test_reports_no_breach() {
  // Observed at 2.2, but the previous iteration of the loop ended at 2.0: the response may have arrived then.
  assert(History().sent("a").at(2.2).responded("a", 200, true, 2.0).only_broken_rule() == Rule::None);
}
void unavailable_sidecar_is_excused() {
  History cpu_starved;
  cpu_starved.sent("a").at(2.2).responded("a").at(2.21).sidecar(Kind::SidecarCpuWait, 0.3);
  assert(cpu_starved.at(2.6).only_broken_rule() == Rule::None);
  History stopped;
  stopped.sent("a").at(1.5).sidecar(Kind::SidecarPaused).at(2.5).sidecar(Kind::SidecarResumed);
  assert(stopped.responded("a", 502).at(3).only_broken_rule() == Rule::None);
  History barely;  // unavailable for less than the delay
  barely.sent("a").at(2.6).responded("a").sidecar(Kind::SidecarCpuWait, 0.1);
  assert(barely.at(3).only_broken_rule() == Rule::OneResponse);
}
void lost_connection_is_a_breach_unless_excused() {
  assert(History().sent("a").request_event(Kind::ConnectionLost, "a").only_broken_rule() ==
         Rule::OneResponse);
  assert(History()
             .sent("a")
             .sidecar(Kind::SidecarDown)
             .request_event(Kind::ConnectionLost, "a")
             .only_broken_rule() == Rule::None);
  assert(History().sent("a").request_event(Kind::RequestCancelled, "a").at(3).only_broken_rule() ==
         Rule::None);
}
void crossed_close_is_a_breach_only_if_request_was_read() {
  assert(History()
             .sent("a")
             .request_event(Kind::RequestCrossedClose, "a")
             .sent("a")
             .responded("a")
             .only_broken_rule() == Rule::None);
  assert(
      History().sent("a").executed("a", 1).request_event(Kind::RequestCrossedClose, "a").only_broken_rule() ==
      Rule::OneResponse);
}
void response_made_by_no_endpoint_is_a_breach() {
  assert(History().sent("a").responded("a", 200, false).only_broken_rule() == Rule::OneResponse);
}
void unsafe_request_executed_twice_is_a_breach() {
  assert(
      History().sent("a", "mutating").executed("a", 1).executed("a", 2).responded("a").only_broken_rule() ==
      Rule::NoEffectTwice);
  History turned_away;
  turned_away.sent("a", "mutating")
      .attempt(Kind::AttemptReceived, "a", 1)
      .attempt(Kind::AttemptRefused, "a", 1)
      .executed("a", 2);
  assert(turned_away.responded("a").only_broken_rule() == Rule::None);
  assert(History().sent("a").executed("a", 1).executed("a", 2).responded("a").only_broken_rule() ==
         Rule::None);  // safe
}
void rejection_after_possible_execution_is_a_breach() {
  assert(History().sent("a", "mutating").executed("a", 1).responded("a", 503).only_broken_rule() ==
         Rule::NoEffectTwice);
  assert(History()
             .sent("a", "mutating")
             .attempt(Kind::AttemptReceived, "a", 1)
             .responded("a", 429)
             .only_broken_rule() == Rule::NoEffectTwice);
  History never;
  never.sent("a", "mutating")
      .attempt(Kind::AttemptReceived, "a", 1)
      .attempt(Kind::AttemptRefused, "a", 1)
      .responded("a", 503);
  assert(never.only_broken_rule() == Rule::None);
  assert(History().sent("a", "mutating").executed("a", 1).responded("a", 502).only_broken_rule() ==
         Rule::None);
  assert(History().sent("a", "anywhere").executed("a", 1).responded("a", 503).only_broken_rule() ==
         Rule::None);
}
void response_that_crosses_its_cancellation_is_no_breach() {
  History history;
  history.sent("a").executed("a", 1).executed("a", 2).responded("a").attempt(Kind::AttemptResponded, "a", 1);
  assert(history.attempt(Kind::AttemptClosed, "a", 2).only_broken_rule() == Rule::None);
}
void request_of_a_lost_client_needs_no_response() {
  assert(History().request_event(Kind::Unreachable, "a").at(5).only_broken_rule() == Rule::None);
  assert(History().sent("a").request_event(Kind::RequestCancelled, "a").at(5).only_broken_rule() ==
         Rule::None);
}
void keyed_request_stays_in_its_group_and_window() {
  assert(History().sent("a", "tagged").executed("a", 1).executed("a", 2).responded("a").only_broken_rule() ==
         Rule::None);
  assert(
      History().sent("a", "tagged").executed("a", 1).executed("a", 2, 7).responded("a").only_broken_rule() ==
      Rule::NoEffectTwice);
  assert(History()
             .sent("a", "anywhere")
             .executed("a", 1)
             .executed("a", 2, 7)
             .responded("a")
             .only_broken_rule() == Rule::None);
  assert(History()
             .sent("a", "tagged", 5)
             .executed("a", 1)
             .at(2.2)
             .executed("a", 2)
             .responded("a")
             .only_broken_rule() == Rule::NoEffectTwice);
}
void attempt_after_drain_grace_is_a_breach() {
  auto sent_at = [](double when) {
    History history;
    history.notified(3, Event::State::Draining).at(when).sent("a").executed("a", 3).responded("a");
    return history.at(when + 1).only_broken_rule();
  };
  assert(sent_at(1.5) == Rule::None);
  assert(sent_at(1.6) == Rule::DrainsRespected);
  History back;  // the endpoint is listed again
  back.notified(3, Event::State::Gone)
      .at(1.2)
      .notified(3, Event::State::Ready)
      .at(4)
      .sent("a")
      .executed("a", 3);
  assert(back.responded("a").at(5).only_broken_rule() == Rule::None);
  History twice;  // notified twice: the grace period starts with the first notification
  twice.notified(3, Event::State::Draining)
      .at(1.4)
      .notified(3, Event::State::Gone)
      .at(1.6)
      .sent("a")
      .executed("a", 3);
  assert(twice.responded("a").at(3).only_broken_rule() == Rule::DrainsRespected);
}
void overloading_a_slow_start_is_a_breach() {
  auto pushed = [](double work, double capacity) {
    History history;
    history.start_fresh(1, capacity);
    for (int i = 0; i < 10; ++i) {
      std::string id = "v" + std::to_string(i);
      history.at(1 + i * 0.05)
          .sent(id.c_str())
          .attempt(Kind::AttemptReceived, id.c_str(), 1, 1, work)
          .responded(id.c_str());
    }
    return history.only_broken_rule();
  };
  assert(pushed(0.05, 1) == Rule::None);  // 0.5 s of work; 2 x 0.25 x 1 s and a tolerance are allowed
  assert(pushed(0.15, 1) == Rule::SlowStartLimit);
  assert(pushed(0.15, 8) == Rule::None);
}
void crash_is_reported() {
  assert(History().sidecar(Kind::SidecarCrashed).only_broken_rule() == Rule::Crash);
}
void breach_contains_its_whole_history() {
  History history;
  history.sent("a", "mutating").executed("a", 1).executed("a", 2).responded("a");
  assert(history.checker.breaches().size() == 1 && history.checker.breaches()[0].history.size() >= 5);
  assert(history.checker.breaches()[0].request == "a");
}
void finished_requests_are_evicted() {
  History history;
  for (int i = 0; i < 5000; ++i) {
    std::string id = "v" + std::to_string(i);
    history.at(1 + i * 0.1).sent(id.c_str()).executed(id.c_str(), 1).responded(id.c_str());
  }
  assert(history.checker.tracked_requests() < 200);
}

}  // namespace

int main() {
  response_in_time_breaks_no_rule();
  second_response_is_a_breach();
  late_or_missing_response_is_a_breach();
  late_load_test_reports_no_breach();
  unavailable_sidecar_is_excused();
  lost_connection_is_a_breach_unless_excused();
  crossed_close_is_a_breach_only_if_request_was_read();
  response_made_by_no_endpoint_is_a_breach();
  unsafe_request_executed_twice_is_a_breach();
  rejection_after_possible_execution_is_a_breach();
  response_that_crosses_its_cancellation_is_no_breach();
  request_of_a_lost_client_needs_no_response();
  keyed_request_stays_in_its_group_and_window();
  attempt_after_drain_grace_is_a_breach();
  overloading_a_slow_start_is_a_breach();
  crash_is_reported();
  breach_contains_its_whole_history();
  finished_requests_are_evicted();
  std::puts("invariant checker: all tests passed");
}
