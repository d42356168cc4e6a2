// One sidecar from start to exit. Its phases are states; what moves it on are the rows of a table.
#pragma once

#include <string>

#include "sidecar/lifecycle/start.h"
#include "sidecar/loop/loop.h"
#include "sidecar/loop/table.h"
#include "sidecar/wire/carrier.h"
#include "sidecar/wire/door.h"
#include "sidecar/wire/watch.h"

namespace puffinvane {

class Sidecar {
 public:
  Sidecar(Loop& loop, Assignment assignment, double clock_offset, std::string assigned_in, PolicyMaker make);

  void start();      // throws std::runtime_error if it can't listen
  void terminate();  // leaves once all that was taken is answered
  void reload();     // reads its file anew; one that can't be used changes nothing

 private:
  enum class Phase { Starting, Serving, Leaving, Staying, Finishing, Stopped };
  enum class Event { Opened, Reload, Terminate, DoorTime, LastCall, Emptied, Overdue };
  static const Row<Sidecar, Phase, Event> kRows[];
  void turn(Event event);
  void serve();
  void read_anew();
  void leave();
  void stay();
  void finish();
  void quit();
  void see_if_empty();

  Loop& loop_;
  Assignment assignment_;
  const double clock_offset_;
  const std::string assigned_in_;
  Phase phase_ = Phase::Starting;
  Carrier carrier_;
  Door door_;
  Watch watch_;
};

}  // namespace puffinvane
