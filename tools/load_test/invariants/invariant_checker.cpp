#include "tools/load_test/invariants/invariant_checker.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace load_test {

namespace {

// Seconds before a suspicion is decided: by then the sidecar's waits for a core are known.
constexpr double kSuspicionDelay = 0.25;
// Seconds that a request is kept after its end, so that a second response is still detected.
constexpr double kClosedRequestRetention = 8;
// Seconds for which the times when a sidecar was paused or had no core are kept.
constexpr double kUnavailabilityRetention = 12;
// Each breach carries its history, so a limit bounds the size of the result.
constexpr std::size_t kMaxBreaches = 50;

std::string format_seconds(double span) {
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

std::string format_event(const Event& event, double start) {
  char head[64];
  std::snprintf(head, sizeof head, "%9.4f  ", event.at - start);
  std::string line = std::string(head) + name_of(event.kind);
  if (event.endpoint >= 0)
    line += " endpoint " + std::to_string(event.endpoint) + " (group " + std::to_string(event.group) + ")";
  if (event.sidecar >= 0)
    line += (event.endpoint >= 0 ? " from sidecar " : " sidecar ") + std::to_string(event.sidecar);
  if (event.kind == Event::Kind::RequestSent)
    line += ", " + event.request_class + ", its caller waits " + format_seconds(event.value);
  if (event.status) line += ", " + std::to_string(event.status);
  if (event.kind == Event::Kind::ResponseReceived && event.status == 200 && !event.genuine)
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

const InvariantChecker::HandlerEntry InvariantChecker::kHandlers[] = {
    {Event::Kind::RequestSent, &InvariantChecker::on_request_sent},
    {Event::Kind::RequestCrossedClose, &InvariantChecker::on_request_crossed_close},
    {Event::Kind::ResponseReceived, &InvariantChecker::on_response_received},
    {Event::Kind::ConnectionLost, &InvariantChecker::on_connection_lost},
    {Event::Kind::Unreachable, &InvariantChecker::on_unreachable},
    {Event::Kind::RequestCancelled, &InvariantChecker::on_request_cancelled},
    {Event::Kind::AttemptFirstByte, &InvariantChecker::on_attempt_first_byte},
    {Event::Kind::AttemptReceived, &InvariantChecker::on_attempt_received},
    {Event::Kind::AttemptExecuted, &InvariantChecker::on_attempt_executed},
    {Event::Kind::AttemptRefused, &InvariantChecker::on_attempt_refused},
    {Event::Kind::AttemptResponded, &InvariantChecker::record_only},
    {Event::Kind::AttemptClosed, &InvariantChecker::record_only},
};

void InvariantChecker::observe(const Event& event) {
  for (const HandlerEntry& entry : kHandlers) {
    if (entry.kind != event.kind) continue;
    Request& request = requests_[event.request];
    request.history.push_back(event);
    (this->*entry.handler)(event, request);
    return;
  }
  event.kind == Event::Kind::Notified ? on_notified(event) : on_process_event(event);
}

const ClassRules& InvariantChecker::rules_for(const Request& request) const {
  static const ClassRules kUnknown;
  auto found = bounds_.request_classes.find(request.request_class);
  return found == bounds_.request_classes.end() ? kUnknown : found->second;
}

// ---- rule 1: one final response in time

void InvariantChecker::on_request_sent(const Event& event, Request& request) {
  request.sent_at = event.at;
  request.request_class = event.request_class;
  request.key = event.key;
  request.sidecar = event.sidecar;
  request.client_timeout = event.value;
  request.excused = request.overdue = false;
  timeouts_.emplace(event.at + event.value + bounds_.slack, event.request);
}

void InvariantChecker::on_request_crossed_close(const Event& event, Request& request) {
  // If the sidecar closed the connection before it read the request, the request is not lost: the client
  // sends it again. If there is an attempt, the sidecar did read it.
  if (!request.attempts.empty()) return on_connection_lost(event, request);
  request.sent_at.reset();
  request.excused = true;
}

void InvariantChecker::on_response_received(const Event& event, Request& request) {
  if (!request.sent_at) return;
  if (request.answered) return add_breach(Rule::OneResponse, event.at, event.request, "a second answer");
  request.answered = true;
  close(event.request, request, event.at);
  if (event.status == 200 && !event.genuine)
    return add_breach(Rule::OneResponse, event.at, event.request,
                      "delivered with what no endpoint made for it");
  double lateness = event.earliest - *request.sent_at - request.client_timeout - bounds_.slack;
  if (lateness > 0 && !request.overdue) {
    request.overdue = true;
    add_suspicion(Rule::OneResponse, *request.sent_at, event.at, lateness, request.sidecar, event.request,
                  "answered " + format_seconds(lateness + bounds_.slack) + " after its client timeout");
  }
  if (event.status == 429 || event.status == 503) {
    request.rejected = true;
    check_rejection(event, request);
  }
}

void InvariantChecker::on_connection_lost(const Event& event, Request& request) {
  if (!request.sent_at || request.answered || request.excused) return;
  request.excused = true;
  close(event.request, request, event.at);
  if (sidecars_[request.sidecar].down) return;
  add_breach(Rule::OneResponse, event.at, event.request, "its connection ended with no whole answer");
}

void InvariantChecker::on_unreachable(const Event& event, Request& request) {
  request.excused = true;
  close(event.request, request, event.at);
}

void InvariantChecker::on_request_cancelled(const Event& event, Request& request) {
  on_unreachable(event, request);
}

// ---- rules 2 and 3, as far as attempts show them

void InvariantChecker::on_attempt_first_byte(const Event& event, Request&) {
  auto& notified = sidecars_[event.sidecar].notified;
  auto found = notified.find(event.endpoint);
  if (found == notified.end()) return;
  double excess = event.earliest - found->second - bounds_.drain_grace - bounds_.slack;
  if (excess <= 0) return;
  add_suspicion(Rule::DrainsRespected, found->second, event.at, excess, event.sidecar, event.request,
                "sent to endpoint " + std::to_string(event.endpoint) + " " +
                    format_seconds(excess + bounds_.drain_grace + bounds_.slack) + " after sidecar " +
                    std::to_string(event.sidecar) + " was told that it drains or is gone");
}

void InvariantChecker::on_attempt_received(const Event& event, Request& request) {
  if (request.request_class.empty()) {
    request.request_class = event.request_class;
    request.key = event.key;
  }
  const ClassRules& rules = rules_for(request);
  for (const Attempt& earlier : request.attempts) {
    if (earlier.refused) continue;
    std::string before = "fetched again at endpoint " + std::to_string(event.endpoint) +
                         " though the one at " + std::to_string(earlier.endpoint);
    if (rules.idempotency == Idempotency::Unsafe) {
      add_breach(Rule::NoEffectTwice, event.at, event.request, before + " may have run");
      break;
    }
    if (rules.idempotency != Idempotency::Keyed) break;
    double age = event.earliest - earlier.received_at;
    if (rules.grouped && earlier.group != event.group) {
      add_breach(Rule::NoEffectTwice, event.at, event.request,
                 before + " may have run in group " + std::to_string(earlier.group));
      break;
    }
    if (age > rules.idempotency_window + bounds_.slack) {
      add_breach(Rule::NoEffectTwice, event.at, event.request,
                 before + " may have run " + format_seconds(age) + " earlier, longer than is remembered");
      break;
    }
  }
  request.attempts.push_back({event.endpoint, event.group, event.at});
  check_slow_start(event);
}

void InvariantChecker::on_attempt_executed(const Event& event, Request& request) {
  for (Attempt& attempt : request.attempts) {
    if (attempt.endpoint == event.endpoint) attempt.executed = true;
  }
  // A hedge was still queued at its endpoint when the request was rejected, and executed later. The rejection
  // was wrong even though the attempt had not been executed by then.
  if (request.rejected) check_rejection(event, request);
}

void InvariantChecker::on_attempt_refused(const Event& event, Request& request) {
  for (Attempt& attempt : request.attempts) {
    if (attempt.endpoint == event.endpoint && !attempt.executed) attempt.refused = true;
  }
  check_slow_start(event);  // work sent to the endpoint counts even if it refused it
}

void InvariantChecker::check_rejection(const Event& event, Request& request) {
  const ClassRules& rules = rules_for(request);
  if (rules.idempotency == Idempotency::Safe) return;
  // If all endpoints recognise repeats, the client can retry safely within the idempotency window.
  if (rules.idempotency == Idempotency::Keyed && !rules.grouped) return;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.refused) continue;
    return add_breach(Rule::NoEffectTwice, event.at, event.request,
                      std::string("bounced though the fetch at endpoint ") +
                          std::to_string(attempt.endpoint) +
                          (attempt.executed ? " has run" : " may have run"));
  }
}

// ---- drains, slow start and the state of the sidecars

void InvariantChecker::on_notified(const Event& event) {
  auto& notified = sidecars_[event.sidecar].notified;
  if (event.state == Event::State::Ready) notified.erase(event.endpoint);
  else notified.try_emplace(event.endpoint, event.at);
}

void InvariantChecker::check_slow_start(const Event& event) {
  auto found = slow_start_.find(event.endpoint);
  if (found == slow_start_.end()) return;
  SlowStartBudget& slow_start = found->second;
  if (slow_start.finished(event.at)) return void(slow_start_.erase(found));
  if (!slow_start.add_and_check(event.at, event.value)) return;
  add_breach(Rule::SlowStartLimit, event.at, event.request,
             "endpoint " + std::to_string(event.endpoint) + ", up for " +
                 format_seconds(slow_start.age(event.at)) + ", was sent " +
                 format_seconds(slow_start.recent_work()) + " of work within " +
                 format_seconds(bounds_.slow_start.window) + ", " +
                 format_seconds(slow_start.work_limit(event.at)) + " at most");
  slow_start_.erase(found);
}

void InvariantChecker::on_process_event(const Event& event) {
  using Kind = Event::Kind;
  if (event.kind == Kind::EndpointStarted) {
    slow_start_.insert_or_assign(event.endpoint, SlowStartBudget(bounds_.slow_start, event.at, event.value));
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
      // Clients retry the requests that a stopped sidecar had accepted.
      for (auto& [id, request] : requests_) {
        if (request.sidecar == event.sidecar && request.sent_at && !request.answered && !request.excused) {
          request.excused = true;
          close(id, request, event.at);
        }
      }
      return;
    case Kind::SidecarCrashed:
      return add_breach(Rule::Crash, event.at, "",
                        "sidecar " + std::to_string(event.sidecar) + " ended by itself, status " +
                            std::to_string(event.status));
    case Kind::SidecarPaused: sidecar.paused = event.at; return;
    case Kind::SidecarResumed:
      if (sidecar.paused) sidecar.unavailable.emplace_back(event.at, event.at - *sidecar.paused);
      sidecar.paused.reset();
      return;
    case Kind::SidecarCpuWait: sidecar.unavailable.emplace_back(event.at, event.value); return;
    default: return;
  }
}

double InvariantChecker::unavailable_time(const Sidecar& sidecar, double from, double to) const {
  double sum = 0;
  for (const auto& [end, duration] : sidecar.unavailable) {
    // The exact time of a wait within a sample is unknown, so the whole wait counts in the sidecar's favour.
    if (end >= from && end - duration <= to + kSuspicionDelay) sum += duration;
  }
  if (sidecar.paused) sum += std::max(0.0, to - std::max(*sidecar.paused, from));
  return sum;
}

// ---- breaches

void InvariantChecker::add_suspicion(Rule rule, double from, double to, double excess, int sidecar,
                                     const std::string& request, std::string text) {
  suspicions_.push_back({to + kSuspicionDelay, from, to, excess, sidecar, rule, request, std::move(text)});
}

void InvariantChecker::add_breach(Rule rule, double at, const std::string& request, std::string text) {
  if (breaches_.size() >= kMaxBreaches) return;
  Breach result{rule, at - start_, request, std::move(text), {}};
  auto found = requests_.find(request);
  if (found != requests_.end()) {
    for (const Event& event : found->second.history) result.history.push_back(format_event(event, start_));
  }
  breaches_.push_back(std::move(result));
}

void InvariantChecker::advance(double now) {
  while (!timeouts_.empty() && timeouts_.begin()->first < now - kSuspicionDelay) {
    auto [due, id] = *timeouts_.begin();
    timeouts_.erase(timeouts_.begin());
    auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    Request& request = found->second;
    if (!request.sent_at || request.answered || request.excused || request.overdue) continue;
    if (*request.sent_at + request.client_timeout + bounds_.slack > due + 1e-9) continue;  // sent again since
    request.overdue = true;
    close(id, request, now);
    add_suspicion(Rule::OneResponse, *request.sent_at, now, now - due, request.sidecar, id,
                  "no answer within its client timeout");
  }
  while (!suspicions_.empty() && suspicions_.front().decide_at <= now) {
    Suspicion suspicion = std::move(suspicions_.front());
    suspicions_.pop_front();
    auto found = requests_.find(suspicion.request);
    if (suspicion.rule == Rule::OneResponse && found != requests_.end() && found->second.excused) continue;
    if (unavailable_time(sidecars_[suspicion.sidecar], suspicion.from, suspicion.to) >= suspicion.excess)
      continue;
    add_breach(suspicion.rule, suspicion.to, suspicion.request, std::move(suspicion.text));
  }
  evict(now);
}

void InvariantChecker::close(const std::string& id, Request& request, double at) {
  if (std::exchange(request.closed_at, at)) return;
  closed_requests_.emplace_back(at, id);
}

void InvariantChecker::evict(double now) {
  while (!closed_requests_.empty() && closed_requests_.front().first < now - kClosedRequestRetention) {
    requests_.erase(closed_requests_.front().second);
    closed_requests_.pop_front();
  }
  for (auto& [number, sidecar] : sidecars_) {
    while (!sidecar.unavailable.empty() && sidecar.unavailable.front().first < now - kUnavailabilityRetention)
      sidecar.unavailable.pop_front();
  }
}

void InvariantChecker::finish(double now) {
  advance(now + 1000);
  advance(now + 2000);
}

}  // namespace load_test
