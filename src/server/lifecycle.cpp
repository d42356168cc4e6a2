#include "src/server/lifecycle.h"

#include <algorithm>

namespace puffinvane {

namespace {
// Clients hear of a planned restart late: they are let in for this long after it was announced.
constexpr double kListenTime = 0.42;
// The platform's SIGKILL comes this many seconds after the longest client timeout, counted from SIGTERM.
constexpr double kKilledBy = 0.7;
// Seconds that this process may be held up for between reading its clock and writing (the platform's terms),
// and for the turn of the loop after it: the last answers are written this long before SIGKILL.
constexpr double kHeldUp = 0.15, kTurn = 0.02;
constexpr double kBeforeKill = kHeldUp + kTurn, kGoneBy = kKilledBy - kBeforeKill;
constexpr double kLook = 0.01;
}  // namespace

const Transition<Lifecycle, Lifecycle::Phase, Lifecycle::Event> Lifecycle::kRows[] = {
    {Phase::Starting, Event::Opened, Phase::Serving, &Lifecycle::serve},
    // The listener may be another's yet for some seconds, and a reload that came then was lost.
    {Phase::Starting, Event::Reload, Phase::Starting, &Lifecycle::read_anew},
    {Phase::Starting, Event::Terminate, Phase::Stopped, &Lifecycle::quit},
    {Phase::Serving, Event::Reload, Phase::Serving, &Lifecycle::read_anew},
    {Phase::Serving, Event::Terminate, Phase::Leaving, &Lifecycle::leave},
    {Phase::Serving, Event::Succeeded, Phase::HandingOver, &Lifecycle::hand_over},
    {Phase::HandingOver, Event::Reload, Phase::HandingOver, &Lifecycle::read_anew},
    {Phase::HandingOver, Event::Emptied, Phase::Stopped, &Lifecycle::quit},
    {Phase::HandingOver, Event::Overdue, Phase::Stopped, &Lifecycle::quit},
    {Phase::Leaving, Event::Reload, Phase::Leaving, &Lifecycle::read_anew},
    {Phase::Leaving, Event::ListenTime, Phase::Staying, &Lifecycle::stay},
    {Phase::Staying, Event::Reload, Phase::Staying, &Lifecycle::read_anew},
    {Phase::Staying, Event::Emptied, Phase::Stopped, &Lifecycle::quit},
    {Phase::Staying, Event::LastCall, Phase::Finishing, &Lifecycle::finish},
    {Phase::Staying, Event::Overdue, Phase::Stopped, &Lifecycle::quit},
    {Phase::Finishing, Event::Reload, Phase::Finishing, &Lifecycle::read_anew},
    {Phase::Finishing, Event::Emptied, Phase::Stopped, &Lifecycle::quit},
    {Phase::Finishing, Event::Overdue, Phase::Stopped, &Lifecycle::quit},
};

void Lifecycle::turn(Event event) { apply_transition(kRows, *this, phase_, event); }
void Lifecycle::opened() { turn(Event::Opened); }
void Lifecycle::reload() { turn(Event::Reload); }
void Lifecycle::terminate() { turn(has_successor() ? Event::Succeeded : Event::Terminate); }

double Lifecycle::leave_until(double signalled) {
  Patience has = patience();
  double gone = signalled + std::min(has.longest + kGoneBy, has.killed_after - kBeforeKill);
  leaves(gone - kLook);
  loop_.at(gone, [this] { turn(Event::Overdue); });
  return gone;
}

void Lifecycle::leave() {
  // SIGKILL counts from when SIGTERM came, also where this process had no core just then.
  double signalled = loop_.now() - loop_.stalled(), gone = leave_until(signalled),
         shut = signalled + kListenTime;
  loop_.at(shut, [this] { turn(Event::ListenTime); });
  // The others may be away as well: who is connected here is served while an answer in time can be hoped for.
  double last_call = std::max(gone - patience().target, shut + kLook);
  loop_.at(last_call, [this] { turn(Event::LastCall); });
}

void Lifecycle::hand_over() {
  leave_until(loop_.now() - loop_.stalled());
  closes_listeners();
  see_if_empty();
}

void Lifecycle::stay() {
  closes_listeners();
  see_if_empty();
}

void Lifecycle::see_if_empty() {
  if (phase_ == Phase::Finishing) close_idle_downstream();
  if (phase_ == Phase::HandingOver) hands_over();
  if (empty()) return turn(Event::Emptied);
  loop_.at(loop_.now() + kLook, [this] { see_if_empty(); });
}

void Lifecycle::quit() {
  ends();
  loop_.quit();
}

}  // namespace puffinvane
