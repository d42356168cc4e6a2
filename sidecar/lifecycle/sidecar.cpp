#include "sidecar/lifecycle/sidecar.h"

#include <algorithm>
#include <exception>
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
    {Phase::Serving, Event::Reload, Phase::Serving, &Sidecar::read_anew},
    {Phase::Serving, Event::Terminate, Phase::Leaving, &Sidecar::leave},
    {Phase::Leaving, Event::Reload, Phase::Leaving, &Sidecar::read_anew},
    {Phase::Leaving, Event::DoorTime, Phase::Staying, &Sidecar::stay},
    {Phase::Staying, Event::Reload, Phase::Staying, &Sidecar::read_anew},
    {Phase::Staying, Event::Emptied, Phase::Stopped, &Sidecar::quit},
    {Phase::Staying, Event::LastCall, Phase::Finishing, &Sidecar::finish},
    {Phase::Finishing, Event::Reload, Phase::Finishing, &Sidecar::read_anew},
    {Phase::Finishing, Event::Emptied, Phase::Stopped, &Sidecar::quit},
    {Phase::Finishing, Event::Overdue, Phase::Stopped, &Sidecar::quit},
};

Sidecar::Sidecar(Loop& loop, Assignment assignment, double clock_offset, std::string assigned_in,
                 PolicyMaker make)
    : loop_(loop),
      assignment_(std::move(assignment)),
      clock_offset_(clock_offset),
      assigned_in_(std::move(assigned_in)),
      carrier_(loop, assignment_.deployment, assignment_.seed, assignment_.memory / kBufferShare, make),
      door_(loop, carrier_),
      watch_(loop, carrier_, assignment_.discovery, clock_offset, assignment_.known.index) {}

void Sidecar::turn(Event event) { step(kRows, *this, phase_, event); }

void Sidecar::start() {
  carrier_.know(assignment_.known);
  watch_.open();
  door_.open(assignment_.listen);
  turn(Event::Opened);
}

void Sidecar::reload() { turn(Event::Reload); }
void Sidecar::terminate() { turn(Event::Terminate); }

void Sidecar::serve() {
  loop_.log().info() << assignment_.name << " serves tier " << assignment_.deployment.tier << " at "
                     << assignment_.listen << ", " << assignment_.known.entries.size() << " endpoints known";
}

void Sidecar::read_anew() {
  try {
    std::string discovery = load_assignment(assigned_in_.c_str(), clock_offset_).discovery;
    loop_.log().info() << assignment_.name << " reads its file anew, discovery at " << discovery;
    assignment_.discovery = discovery;
    watch_.move(discovery);
  } catch (const std::exception& fault) {
    // Whoever wrote it can't see that it was no use but here; the visits in hand must not pay for it.
    loop_.log().warning() << assignment_.name << " keeps what it had: " << fault.what();
  }
}

void Sidecar::leave() {
  loop_.log().info() << assignment_.name << " leaves";
  double longest = 0, target = 0;
  for (const PathPrefix& prefix : assignment_.deployment.path_prefixes) {
    longest = std::max(longest, prefix.client_timeout);
    target = std::max(target, prefix.target_latency);
  }
  double gone = loop_.now() + longest + kGoneBy;
  carrier_.leave(gone - kLook);
  loop_.at(loop_.now() + kDoorTime, [this] { turn(Event::DoorTime); });
  // The others may be away as well: who is connected here is served while an answer in time can be hoped for.
  loop_.at(gone - target, [this] { turn(Event::LastCall); });
  loop_.at(gone, [this] { turn(Event::Overdue); });
}

void Sidecar::stay() {
  door_.close();
  see_if_empty();
}

void Sidecar::finish() { carrier_.last_call(); }

void Sidecar::see_if_empty() {
  if (phase_ == Phase::Finishing) carrier_.close_idle_clients();
  if (carrier_.empty()) return turn(Event::Emptied);
  loop_.at(loop_.now() + kLook, [this] { see_if_empty(); });
}

void Sidecar::quit() {
  loop_.log().info() << assignment_.name << " is gone";
  watch_.close();
  loop_.quit();
}

}  // namespace puffinvane
