#include "sidecar/lifecycle/sidecar.h"

#include <algorithm>
#include <utility>

namespace puffinvane {

namespace {
// Callers hear of a planned restart late: they are let in for this long after it was announced.
constexpr double kDoorTime = 0.42;
// SIGKILL comes 0.7 s after the longest client timeout at the earliest; being gone before costs nothing.
constexpr double kGoneBy = 0.6;
constexpr double kLook = 0.01;
constexpr std::size_t kBufferShare = 2;  // of the memory: the rest is for the module, GLib and the heap
}  // namespace

const Row<Sidecar, Sidecar::Phase, Sidecar::Event> Sidecar::kRows[] = {
    {Phase::Starting, Event::Opened, Phase::Serving, &Sidecar::serve},
    {Phase::Starting, Event::Terminate, Phase::Stopped, &Sidecar::quit},
    {Phase::Serving, Event::Terminate, Phase::Leaving, &Sidecar::leave},
    {Phase::Leaving, Event::DoorTime, Phase::Finishing, &Sidecar::finish},
    {Phase::Finishing, Event::Emptied, Phase::Stopped, &Sidecar::quit},
    {Phase::Finishing, Event::Overdue, Phase::Stopped, &Sidecar::quit},
};

Sidecar::Sidecar(Loop& loop, Assignment assignment, double clock_offset)
    : loop_(loop),
      assignment_(std::move(assignment)),
      carrier_(loop, assignment_.deployment, assignment_.seed, assignment_.memory / kBufferShare),
      door_(loop, carrier_),
      watch_(loop, carrier_, assignment_.discovery, clock_offset, assignment_.known.index) {}

void Sidecar::turn(Event event) { step(kRows, *this, phase_, event); }

void Sidecar::start() {
  carrier_.know(assignment_.known);
  watch_.open();
  door_.open(assignment_.listen);
  turn(Event::Opened);
}

void Sidecar::terminate() { turn(Event::Terminate); }

void Sidecar::serve() {
  loop_.log().info() << assignment_.name << " serves tier " << assignment_.deployment.tier << " at "
                     << assignment_.listen << ", " << assignment_.known.entries.size() << " endpoints known";
}

void Sidecar::leave() {
  loop_.log().info() << assignment_.name << " leaves";
  carrier_.leave();
  double longest = 0;
  for (const PathPrefix& prefix : assignment_.deployment.path_prefixes)
    longest = std::max(longest, prefix.client_timeout);
  loop_.at(loop_.now() + kDoorTime, [this] { turn(Event::DoorTime); });
  loop_.at(loop_.now() + longest + kGoneBy, [this] { turn(Event::Overdue); });
}

void Sidecar::finish() {
  door_.close();
  see_if_empty();
}

void Sidecar::see_if_empty() {
  carrier_.close_idle_clients();
  if (carrier_.empty()) return turn(Event::Emptied);
  loop_.at(loop_.now() + kLook, [this] { see_if_empty(); });
}

void Sidecar::quit() {
  loop_.log().info() << assignment_.name << " is gone";
  watch_.close();
  loop_.quit();
}

}  // namespace puffinvane
