#include "tools/load_test/invariants/invariant_checker.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace load_test {

namespace {

constexpr double kDoubt = 0.25;  // until a sidecar's waits for a core are known
constexpr double kKept = 8;  // a request's history is kept that long after its end: a second answer may come
constexpr double kRemembered = 12;         // a sidecar's waits
constexpr std::size_t kMostBreaches = 50;  // each with its history; a thousandth says nothing new

std::string seconds(double span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s", span);
  return text;
}

const char* name_of(Event::Kind kind) {
  static constexpr const char* kNames[] = {
      "offered to",      "crossed a close of",  "answered by",    "broken off by",   "could not reach",
      "withdrawn from",  "first byte at",       "begun at",       "ran at",          "turned away by",
      "answered at",     "connection ended at", "told",           "started",         "fell over",
      "sidecar up",      "sidecar down",        "sidecar leaves", "sidecar crashed", "sidecar paused",
      "sidecar resumed", "sidecar starved"};
  return kNames[int(kind)];
}

std::string line_of(const Event& event, double began) {
  char head[64];
  std::snprintf(head, sizeof head, "%9.4f  ", event.at - began);
  std::string line = std::string(head) + name_of(event.kind);
  if (event.endpoint >= 0)
    line += " endpoint " + std::to_string(event.endpoint) + " (group " + std::to_string(event.group) + ")";
  if (event.sidecar >= 0)
    line += (event.endpoint >= 0 ? " from sidecar " : " sidecar ") + std::to_string(event.sidecar);
  if (event.kind == Event::Kind::Offered)
    line += ", " + event.request_class + ", its caller waits " + seconds(event.figure);
  if (event.status) line += ", " + std::to_string(event.status);
  if (event.kind == Event::Kind::Answered && event.status == 200 && !event.genuine)
    line += ", not made for it";
  return line;
}

}  // namespace

const char* name_of(Rule rule) {
  static constexpr const char* kNames[] = {"none",
                                           "rule 1, one final answer in time",
                                           "rule 2, no effect twice",
                                           "rule 3, drains kept",
                                           "rule 4, a cold endpoint is not pushed over",
                                           "a sidecar crashed"};
  return kNames[int(rule)];
}

const InvariantChecker::Row InvariantChecker::kRows[] = {
    {Event::Kind::Offered, &InvariantChecker::offered},
    {Event::Kind::Crossed, &InvariantChecker::crossed},
    {Event::Kind::Answered, &InvariantChecker::answered},
    {Event::Kind::Broken, &InvariantChecker::broken},
    {Event::Kind::Unreachable, &InvariantChecker::unreachable},
    {Event::Kind::Withdrawn, &InvariantChecker::withdrawn},
    {Event::Kind::FirstByte, &InvariantChecker::first_byte},
    {Event::Kind::Begun, &InvariantChecker::begun},
    {Event::Kind::Ran, &InvariantChecker::ran},
    {Event::Kind::TurnedAway, &InvariantChecker::turned_away},
    {Event::Kind::AttemptAnswered, &InvariantChecker::noted},
    {Event::Kind::AttemptEnded, &InvariantChecker::noted},
};

void InvariantChecker::observe(const Event& event) {
  for (const Row& row : kRows) {
    if (row.kind != event.kind) continue;
    Request& request = requests_[event.request];
    request.history.push_back(event);
    (this->*row.act)(event, request);
    return;
  }
  event.kind == Event::Kind::Notified ? notified(event) : of_sidecar(event);
}

const CheckedClass& InvariantChecker::class_of(const Request& request) const {
  static const CheckedClass kUnknown;
  auto found = bounds_.request_classes.find(request.request_class);
  return found == bounds_.request_classes.end() ? kUnknown : found->second;
}

// ---- rule 1

void InvariantChecker::offered(const Event& event, Request& request) {
  request.offered = event.at;
  request.request_class = event.request_class;
  request.key = event.key;
  request.sidecar = event.sidecar;
  request.waits = event.figure;
  request.excused = request.overdue = false;
  waiting_.emplace(event.at + event.figure + bounds_.slack, event.request);
}

void InvariantChecker::crossed(const Event& event, Request& request) {
  // A close that crosses a request is no loss as long as the sidecar has not read it. One that was sent
  // was.
  if (!request.attempts.empty()) return broken(event, request);
  request.offered.reset();
  request.excused = true;
}

void InvariantChecker::answered(const Event& event, Request& request) {
  if (!request.offered) return;
  if (request.answered) return breach(Rule::OneAnswer, event.at, event.request, "a second answer");
  request.answered = true;
  close(event.request, request, event.at);
  if (event.status == 200 && !event.genuine)
    return breach(Rule::OneAnswer, event.at, event.request, "delivered with what no endpoint made for it");
  double late = event.since - *request.offered - request.waits - bounds_.slack;
  if (late > 0 && !request.overdue) {
    request.overdue = true;
    suspect(Rule::OneAnswer, *request.offered, event.at, late, request.sidecar, event.request,
            "answered " + seconds(late + bounds_.slack) + " after its client timeout");
  }
  if (event.status == 429 || event.status == 503) {
    request.rejected = true;
    rejected_after_run(event, request);
  }
}

void InvariantChecker::broken(const Event& event, Request& request) {
  if (!request.offered || request.answered || request.excused) return;
  request.excused = true;
  close(event.request, request, event.at);
  if (sidecars_[request.sidecar].down) return;
  breach(Rule::OneAnswer, event.at, event.request, "its connection ended with no whole answer");
}

void InvariantChecker::unreachable(const Event& event, Request& request) {
  request.excused = true;
  close(event.request, request, event.at);
}

void InvariantChecker::withdrawn(const Event& event, Request& request) { unreachable(event, request); }

// ---- rule 2

void InvariantChecker::first_byte(const Event& event, Request&) {
  auto& notified = sidecars_[event.sidecar].notified;
  auto found = notified.find(event.endpoint);
  if (found == notified.end()) return;
  double over = event.since - found->second - bounds_.grace - bounds_.slack;
  if (over <= 0) return;
  suspect(Rule::DrainsKept, found->second, event.at, over, event.sidecar, event.request,
          "sent to endpoint " + std::to_string(event.endpoint) + " " +
              seconds(over + bounds_.grace + bounds_.slack) + " after sidecar " +
              std::to_string(event.sidecar) + " was told that it drains or is gone");
}

void InvariantChecker::begun(const Event& event, Request& request) {
  if (request.request_class.empty()) {
    request.request_class = event.request_class;
    request.key = event.key;
  }
  const CheckedClass& request_class = class_of(request);
  for (const Attempt& earlier : request.attempts) {
    if (earlier.turned_away) continue;
    std::string before = "fetched again at endpoint " + std::to_string(event.endpoint) +
                         " though the one at " + std::to_string(earlier.endpoint);
    if (request_class.idempotency == Idempotency::Unsafe) {
      breach(Rule::NoEffectTwice, event.at, event.request, before + " may have run");
      break;
    }
    if (request_class.idempotency != Idempotency::Keyed) break;
    double age = event.since - earlier.begun;
    if (request_class.grouped && earlier.group != event.group) {
      breach(Rule::NoEffectTwice, event.at, event.request,
             before + " may have run in group " + std::to_string(earlier.group));
      break;
    }
    if (age > request_class.memory + bounds_.slack) {
      breach(Rule::NoEffectTwice, event.at, event.request,
             before + " may have run " + seconds(age) + " earlier, longer than is remembered");
      break;
    }
  }
  request.attempts.push_back({event.endpoint, event.group, event.at});
  slow_start_work(event);
}

void InvariantChecker::ran(const Event& event, Request& request) {
  for (Attempt& attempt : request.attempts) {
    if (attempt.endpoint == event.endpoint) attempt.ran = true;
  }
  // A hedge still queued when its request was rejected: the rejection was wrong, though it was not yet to be
  // seen.
  if (request.rejected) rejected_after_run(event, request);
}

void InvariantChecker::turned_away(const Event& event, Request& request) {
  for (Attempt& attempt : request.attempts) {
    if (attempt.endpoint == event.endpoint && !attempt.ran) attempt.turned_away = true;
  }
  slow_start_work(event);  // sent all the same
}

void InvariantChecker::rejected_after_run(const Event& event, Request& request) {
  const CheckedClass& request_class = class_of(request);
  if (request_class.idempotency == Idempotency::Safe) return;
  // Where repeats are dropped everywhere, its caller's retry comes to no harm within their memory.
  if (request_class.idempotency == Idempotency::Keyed && !request_class.grouped) return;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.turned_away) continue;
    return breach(Rule::NoEffectTwice, event.at, event.request,
                  std::string("bounced though the fetch at endpoint ") + std::to_string(attempt.endpoint) +
                      (attempt.ran ? " has run" : " may have run"));
  }
}

// ---- rules 3 and 4, and who is up

void InvariantChecker::notified(const Event& event) {
  auto& notified = sidecars_[event.sidecar].notified;
  if (event.state == Event::State::Ready) notified.erase(event.endpoint);
  else notified.try_emplace(event.endpoint, event.at);
}

void InvariantChecker::slow_start_work(const Event& event) {
  auto found = slow_start_.find(event.endpoint);
  if (found == slow_start_.end()) return;
  SlowStartBudget& slow_start = found->second;
  if (slow_start.warm(event.at)) return void(slow_start_.erase(found));
  if (!slow_start.overrun(event.at, event.figure)) return;
  breach(Rule::SlowStartHeld, event.at, event.request,
         "endpoint " + std::to_string(event.endpoint) + ", up for " + seconds(slow_start.age(event.at)) +
             ", was sent " + seconds(slow_start.sent()) + " of work within " +
             seconds(bounds_.slow_start.window) + ", " + seconds(slow_start.most(event.at)) + " at most");
  slow_start_.erase(found);
}

void InvariantChecker::of_sidecar(const Event& event) {
  using Kind = Event::Kind;
  if (event.kind == Kind::Started) {
    slow_start_.insert_or_assign(event.endpoint, SlowStartBudget(bounds_.slow_start, event.at, event.figure));
    return;
  }
  if (event.sidecar < 0) return;
  Sidecar& sidecar = sidecars_[event.sidecar];
  switch (event.kind) {
    case Kind::SidecarUp: sidecar.down = false; return;
    case Kind::SidecarDown:
      sidecar.down = true;
      sidecar.paused.reset();
      sidecar.notified.clear();
      // What a sidecar held when it was killed is its callers' to retry.
      for (auto& [id, request] : requests_) {
        if (request.sidecar == event.sidecar && request.offered && !request.answered && !request.excused) {
          request.excused = true;
          close(id, request, event.at);
        }
      }
      return;
    case Kind::SidecarCrashed:
      return breach(Rule::Crash, event.at, "",
                    "sidecar " + std::to_string(event.sidecar) + " ended by itself, status " +
                        std::to_string(event.status));
    case Kind::SidecarPaused: sidecar.paused = event.at; return;
    case Kind::SidecarResumed:
      if (sidecar.paused) sidecar.away.emplace_back(event.at, event.at - *sidecar.paused);
      sidecar.paused.reset();
      return;
    case Kind::SidecarStarved: sidecar.away.emplace_back(event.at, event.figure); return;
    default: return;
  }
}

double InvariantChecker::away(const Sidecar& sidecar, double from, double to) const {
  double sum = 0;
  for (const auto& [until, span] : sidecar.away) {
    // What is known only to within a sample counts in full: nobody is blamed for it.
    if (until >= from && until - span <= to + kDoubt) sum += span;
  }
  if (sidecar.paused) sum += std::max(0.0, to - std::max(*sidecar.paused, from));
  return sum;
}

// ---- judging

void InvariantChecker::suspect(Rule rule, double from, double to, double over_by, int sidecar,
                               const std::string& request, std::string text) {
  suspicions_.push_back({to + kDoubt, from, to, over_by, sidecar, rule, request, std::move(text)});
}

void InvariantChecker::breach(Rule rule, double at, const std::string& request, std::string text) {
  if (breaches_.size() >= kMostBreaches) return;
  Breach made{rule, at - began_, request, std::move(text), {}};
  auto found = requests_.find(request);
  if (found != requests_.end()) {
    for (const Event& event : found->second.history) made.history.push_back(line_of(event, began_));
  }
  breaches_.push_back(std::move(made));
}

void InvariantChecker::advance(double now) {
  while (!waiting_.empty() && waiting_.begin()->first < now - kDoubt) {
    auto [due, id] = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    Request& request = found->second;
    if (!request.offered || request.answered || request.excused || request.overdue) continue;
    if (*request.offered + request.waits + bounds_.slack > due + 1e-9) continue;  // offered anew since
    request.overdue = true;
    close(id, request, now);
    suspect(Rule::OneAnswer, *request.offered, now, now - due, request.sidecar, id,
            "no answer within its client timeout");
  }
  while (!suspicions_.empty() && suspicions_.front().judged_at <= now) {
    Suspicion one = std::move(suspicions_.front());
    suspicions_.pop_front();
    auto found = requests_.find(one.request);
    if (one.rule == Rule::OneAnswer && found != requests_.end() && found->second.excused) continue;
    if (away(sidecars_[one.sidecar], one.from, one.to) >= one.over_by) continue;
    breach(one.rule, one.to, one.request, std::move(one.text));
  }
  forget(now);
}

void InvariantChecker::close(const std::string& id, Request& request, double at) {
  if (std::exchange(request.over, at)) return;
  over_.emplace_back(at, id);
}

void InvariantChecker::forget(double now) {
  while (!over_.empty() && over_.front().first < now - kKept) {
    requests_.erase(over_.front().second);
    over_.pop_front();
  }
  for (auto& [number, sidecar] : sidecars_) {
    while (!sidecar.away.empty() && sidecar.away.front().first < now - kRemembered) sidecar.away.pop_front();
  }
}

void InvariantChecker::finish(double now) {
  advance(now + 1000);
  advance(now + 2000);
}

}  // namespace load_test
