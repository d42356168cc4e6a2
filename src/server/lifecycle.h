// The phases of a program that serves, from start to exit: states, and the rows of a table that move it on.
// What it serves is somebody else's.
#pragma once

#include <string>
#include <utility>

#include "puffinvane/table.h"
#include "src/net/loop.h"

namespace puffinvane {

class Lifecycle {
 public:
  explicit Lifecycle(Loop& loop) : loop_(loop) {}
  virtual ~Lifecycle() = default;

  // The platform's SIGKILL comes 0.7 s after the longest client timeout, of which it counts 3 s at most.
  static constexpr double kKilledAfter = 3.7;

  virtual void start() = 0;                              // throws std::runtime_error if it can't listen
  const std::string& failed() const { return failed_; }  // why it ended before it served; empty: it did not
  void terminate();                                      // leaves once all that was taken is answered
  void reload();  // reads its file anew; one that can't be used changes nothing

 protected:
  struct Patience {
    double longest = 0, target = 0;      // seconds: the longest client timeout and latency objective
    double killed_after = kKilledAfter;  // SIGTERM to SIGKILL, however long requests were to have
  };
  void opened();
  void fail(std::string why) { failed_ = std::move(why), loop_.quit(); }
  Loop& loop() { return loop_; }
  const Loop& loop() const { return loop_; }

  virtual void serves() = 0;
  virtual void reads_anew() = 0;
  virtual Patience patience() const = 0;
  virtual void leaves(double gone) = 0;  // no request, also of those in hand, has time beyond that
  virtual void closes_listeners() = 0;
  virtual void last_call() = 0;
  virtual void close_idle_downstream() = 0;
  virtual bool empty() const = 0;
  virtual void ends() = 0;
  // Where a new process has come beside this one: whether it will take all over, and giving it what it can
  // take now.
  virtual bool has_successor() const { return false; }
  virtual void hands_over() {}

 private:
  enum class Phase { Starting, Serving, Leaving, Staying, Finishing, HandingOver, Stopped };
  enum class Event { Opened, Reload, Terminate, Succeeded, ListenTime, LastCall, Emptied, Overdue };
  static const Transition<Lifecycle, Phase, Event> kRows[];
  void turn(Event event);
  void serve() { serves(); }
  void read_anew() { reads_anew(); }
  double leave_until(double signalled);  // told: when SIGTERM came
  void leave();
  void hand_over();
  void stay();
  void finish() { last_call(); }
  void quit();
  void see_if_empty();

  Loop& loop_;
  Phase phase_ = Phase::Starting;
  std::string failed_;
};

}  // namespace puffinvane
