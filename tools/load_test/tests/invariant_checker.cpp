// Short tests of what was seen, and of what the invariant checker makes of it.
#undef NDEBUG
#include "tools/load_test/invariants/invariant_checker.h"

#include <cassert>
#include <cstdio>

using namespace load_test;
using Kind = Event::Kind;

namespace {

Bounds bounds() {
  Bounds made;
  made.request_classes["read"] = {Idempotency::Safe, 0, true};
  made.request_classes["tagged"] = {Idempotency::Keyed, 1, true};
  made.request_classes["anywhere"] = {Idempotency::Keyed, 1, false};
  made.request_classes["mutating"] = {Idempotency::Unsafe, 0, true};
  made.slow_start = {0.25, 4, 2, 1};
  return made;
}

class History {
 public:
  History() : checker(bounds()) {}
  History& at(double when) {
    now = when;
    checker.advance(when);
    return *this;
  }
  History& offered(const char* request, const char* request_class = "read", double waits = 1) {
    Event event = made(Kind::Offered, request);
    event.sidecar = 0;
    event.request_class = request_class;
    event.figure = waits;
    return see(event);
  }
  History& answered(const char* request, int status = 200, bool genuine = true, double found_since = -1) {
    Event event = made(Kind::Answered, request);
    event.sidecar = 0;
    event.status = status;
    event.genuine = genuine;
    if (found_since >= 0) event.since = found_since;
    return see(event);
  }
  History& attempt(Kind kind, const char* request, int endpoint, int group = 1, double work = 0) {
    Event event = made(kind, request);
    event.sidecar = 0;
    event.endpoint = endpoint;
    event.group = group;
    event.figure = work;
    return see(event);
  }
  History& runs(const char* request, int endpoint, int group = 1) {
    attempt(Kind::FirstByte, request, endpoint, group);
    attempt(Kind::Begun, request, endpoint, group);
    return attempt(Kind::Ran, request, endpoint, group);
  }
  History& request_is(Kind kind, const char* request) {
    Event event = made(kind, request);
    event.sidecar = 0;
    return see(event);
  }
  History& sidecar(Kind kind, double figure = 0) {
    Event event = made(kind, "");
    event.sidecar = 0;
    event.figure = figure;
    return see(event);
  }
  History& notified(int endpoint, Event::State state) {
    Event event = made(Kind::Notified, "");
    event.sidecar = 0;
    event.endpoint = endpoint;
    event.state = state;
    return see(event);
  }
  History& start_fresh(int endpoint, double capacity) {
    Event event = made(Kind::Started, "");
    event.endpoint = endpoint;
    event.figure = capacity;
    return see(event);
  }
  Rule only() {
    checker.finish(now);
    if (checker.breaches().empty()) return Rule::None;
    for (const Breach& breach : checker.breaches()) assert(breach.rule == checker.breaches().front().rule);
    return checker.breaches().front().rule;
  }
  InvariantChecker checker;
  double now = 1;

 private:
  Event made(Kind kind, const char* request) {
    Event event{kind};
    event.at = event.since = now;
    event.request = request;
    return event;
  }
  History& see(const Event& event) {
    checker.observe(event);
    return *this;
  }
};

void one_answer_in_time_is_kept() {
  assert(History().offered("a").runs("a", 1).at(1.9).answered("a").only() == Rule::None);
  assert(History().offered("a").at(2.04).answered("a", 502).only() == Rule::None);  // within the slack
}
void a_second_answer_is_caught() {
  assert(History().offered("a").answered("a").at(1.1).answered("a").only() == Rule::OneAnswer);
}
void an_answer_after_its_time_is_caught() {
  assert(History().offered("a").at(2.2).answered("a").only() == Rule::OneAnswer);
  assert(History().offered("a").at(1.5).only() == Rule::OneAnswer);  // none at all
}
void a_late_load_test_blames_nobody() {
  // Found at 2.2, but the turn before ended at 2.0: it may have lain there since.
  assert(History().offered("a").at(2.2).answered("a", 200, true, 2.0).only() == Rule::None);
}
void a_sidecar_without_a_core_is_not_blamed() {
  History starved;
  starved.offered("a").at(2.2).answered("a").at(2.21).sidecar(Kind::SidecarStarved, 0.3);
  assert(starved.at(2.6).only() == Rule::None);
  History stopped;
  stopped.offered("a").at(1.5).sidecar(Kind::SidecarPaused).at(2.5).sidecar(Kind::SidecarResumed);
  assert(stopped.answered("a", 502).at(3).only() == Rule::None);
  History barely;  // away for less than it was late
  barely.offered("a").at(2.6).answered("a").sidecar(Kind::SidecarStarved, 0.1);
  assert(barely.at(3).only() == Rule::OneAnswer);
}
void an_ended_connection_loses_its_request() {
  assert(History().offered("a").request_is(Kind::Broken, "a").only() == Rule::OneAnswer);
  assert(History().offered("a").sidecar(Kind::SidecarDown).request_is(Kind::Broken, "a").only() ==
         Rule::None);
  assert(History().offered("a").request_is(Kind::Withdrawn, "a").at(3).only() == Rule::None);
}
void a_close_that_crossed_a_request_loses_it_only_if_it_was_read() {
  assert(History().offered("a").request_is(Kind::Crossed, "a").offered("a").answered("a").only() ==
         Rule::None);
  assert(History().offered("a").runs("a", 1).request_is(Kind::Crossed, "a").only() == Rule::OneAnswer);
}
void an_answer_that_no_endpoint_made_is_caught() {
  assert(History().offered("a").answered("a", 200, false).only() == Rule::OneAnswer);
}
void an_unsafe_request_runs_once() {
  assert(History().offered("a", "mutating").runs("a", 1).runs("a", 2).answered("a").only() ==
         Rule::NoEffectTwice);
  History turned_away;
  turned_away.offered("a", "mutating")
      .attempt(Kind::Begun, "a", 1)
      .attempt(Kind::TurnedAway, "a", 1)
      .runs("a", 2);
  assert(turned_away.answered("a").only() == Rule::None);
  assert(History().offered("a").runs("a", 1).runs("a", 2).answered("a").only() == Rule::None);  // safe
}
void what_may_have_run_is_not_rejected() {
  assert(History().offered("a", "mutating").runs("a", 1).answered("a", 503).only() == Rule::NoEffectTwice);
  assert(History().offered("a", "mutating").attempt(Kind::Begun, "a", 1).answered("a", 429).only() ==
         Rule::NoEffectTwice);
  History never;
  never.offered("a", "mutating")
      .attempt(Kind::Begun, "a", 1)
      .attempt(Kind::TurnedAway, "a", 1)
      .answered("a", 503);
  assert(never.only() == Rule::None);
  assert(History().offered("a", "mutating").runs("a", 1).answered("a", 502).only() == Rule::None);
  assert(History().offered("a", "anywhere").runs("a", 1).answered("a", 503).only() == Rule::None);
}
void an_answer_that_crosses_its_cancel_is_nobodys_fault() {
  History history;
  history.offered("a").runs("a", 1).runs("a", 2).answered("a").attempt(Kind::AttemptAnswered, "a", 1);
  assert(history.attempt(Kind::AttemptEnded, "a", 2).only() == Rule::None);
}
void a_request_whose_client_died_before_its_last_byte_was_never_taken() {
  assert(History().request_is(Kind::Unreachable, "a").at(5).only() == Rule::None);
  assert(History().offered("a").request_is(Kind::Withdrawn, "a").at(5).only() == Rule::None);
}
void a_keyed_request_stays_in_its_group_and_memory() {
  assert(History().offered("a", "tagged").runs("a", 1).runs("a", 2).answered("a").only() == Rule::None);
  assert(History().offered("a", "tagged").runs("a", 1).runs("a", 2, 7).answered("a").only() ==
         Rule::NoEffectTwice);
  assert(History().offered("a", "anywhere").runs("a", 1).runs("a", 2, 7).answered("a").only() == Rule::None);
  assert(History().offered("a", "tagged", 5).runs("a", 1).at(2.2).runs("a", 2).answered("a").only() ==
         Rule::NoEffectTwice);
}
void a_drain_is_kept_after_its_grace() {
  auto sent_at = [](double when) {
    History history;
    history.notified(3, Event::State::Draining).at(when).offered("a").runs("a", 3).answered("a");
    return history.at(when + 1).only();
  };
  assert(sent_at(1.5) == Rule::None);
  assert(sent_at(1.6) == Rule::DrainsKept);
  History back;  // listed again
  back.notified(3, Event::State::Gone)
      .at(1.2)
      .notified(3, Event::State::Ready)
      .at(4)
      .offered("a")
      .runs("a", 3);
  assert(back.answered("a").at(5).only() == Rule::None);
  History twice;  // told again: the grace counts from the first time
  twice.notified(3, Event::State::Draining)
      .at(1.4)
      .notified(3, Event::State::Gone)
      .at(1.6)
      .offered("a")
      .runs("a", 3);
  assert(twice.answered("a").at(3).only() == Rule::DrainsKept);
}
void an_endpoint_in_slow_start_is_not_pushed_over() {
  auto pushed = [](double work, double capacity) {
    History history;
    history.start_fresh(1, capacity);
    for (int i = 0; i < 10; ++i) {
      std::string id = "v" + std::to_string(i);
      history.at(1 + i * 0.05)
          .offered(id.c_str())
          .attempt(Kind::Begun, id.c_str(), 1, 1, work)
          .answered(id.c_str());
    }
    return history.only();
  };
  assert(pushed(0.05, 1) == Rule::None);  // 0.5 s, where 2 x 0.25 x 1 and some are allowed
  assert(pushed(0.15, 1) == Rule::SlowStartHeld);
  assert(pushed(0.15, 8) == Rule::None);
}
void a_crash_is_told() { assert(History().sidecar(Kind::SidecarCrashed).only() == Rule::Crash); }
void a_breach_brings_its_whole_history() {
  History history;
  history.offered("a", "mutating").runs("a", 1).runs("a", 2).answered("a");
  assert(history.checker.breaches().size() == 1 && history.checker.breaches()[0].history.size() >= 5);
  assert(history.checker.breaches()[0].request == "a");
}
void nothing_is_kept_of_requests_long_over() {
  History history;
  for (int i = 0; i < 5000; ++i) {
    std::string id = "v" + std::to_string(i);
    history.at(1 + i * 0.1).offered(id.c_str()).runs(id.c_str(), 1).answered(id.c_str());
  }
  assert(history.checker.held() < 200);
}

}  // namespace

int main() {
  one_answer_in_time_is_kept();
  a_second_answer_is_caught();
  an_answer_after_its_time_is_caught();
  a_late_load_test_blames_nobody();
  a_sidecar_without_a_core_is_not_blamed();
  an_ended_connection_loses_its_request();
  a_close_that_crossed_a_request_loses_it_only_if_it_was_read();
  an_answer_that_no_endpoint_made_is_caught();
  an_unsafe_request_runs_once();
  what_may_have_run_is_not_rejected();
  an_answer_that_crosses_its_cancel_is_nobodys_fault();
  a_request_whose_client_died_before_its_last_byte_was_never_taken();
  a_keyed_request_stays_in_its_group_and_memory();
  a_drain_is_kept_after_its_grace();
  an_endpoint_in_slow_start_is_not_pushed_over();
  a_crash_is_told();
  a_breach_brings_its_whole_history();
  nothing_is_kept_of_requests_long_over();
  std::puts("auditor: all stories hold");
}
