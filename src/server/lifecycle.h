// The phases of a serving process, from start to exit, and the table of transitions between them. A subclass
// defines what is served and how connections are drained.
#pragma once

#include <string>
#include <utility>

#include "puffinvane/transition_table.h"
#include "src/net/loop.h"

namespace puffinvane {

// Base of a process that serves. Owned by run_program; everything runs on the event loop's thread. Errors at
// the start end the process: start() throws, fail() ends the loop.
class Lifecycle {
 public:
  // From SIGTERM to the platform's SIGKILL, which follows 0.7 s after the longest client timeout, of which
  // the platform counts 3 s at most.
  static constexpr double kKillTimeoutSeconds = 3.7;

  explicit Lifecycle(Loop& loop) : loop_(loop) {}
  virtual ~Lifecycle() = default;

  // Opens the listeners, now or within some seconds. Throws std::runtime_error if they can't be opened.
  virtual void start() = 0;
  // Why the process ended before it served; empty if it did not.
  const std::string& failure() const { return failure_; }
  // SIGTERM, SIGINT: drains and stops once every accepted request is answered.
  void on_terminate_signal();
  // SIGHUP: reads the settings again.
  void on_reload_signal();

 protected:
  // What bounds the time that draining may take.
  struct DrainLimits {
    double longest_client_timeout_s = 0;
    double longest_latency_objective_s = 0;
    double kill_timeout_s = kKillTimeoutSeconds;  // from SIGTERM to SIGKILL, however long requests may take
  };

  // The subclass calls these from its start(): all listeners are open; the process can't serve and ends.
  void on_listeners_open();
  void fail(std::string reason);
  Loop& loop() { return loop_; }
  const Loop& loop() const { return loop_; }
  const Log& log() const { return loop_.log(); }

  virtual void on_serving() = 0;
  // Reads the settings again. Keeps the previous settings if the new ones can't be used.
  virtual void reload_settings() = 0;
  virtual DrainLimits drain_limits() const = 0;
  // The drain begins. No request, including those accepted already, may run beyond the deadline (on the
  // loop's clock).
  virtual void on_draining(double deadline_s) = 0;
  virtual void stop_listening() = 0;
  // From here on each response is the last on its downstream connection.
  virtual void end_connections_after_response() = 0;
  virtual void close_idle_downstream() = 0;
  virtual bool is_drained() const = 0;
  virtual void on_stopped() = 0;
  // Whether a new process runs beside this one and takes over from it.
  virtual bool has_successor() const { return false; }
  // Gives the successor the connections that can be given to it now.
  virtual void hand_over_connections() {}

 private:
  enum class Phase {
    Starting,
    Serving,
    DrainingOpen,         // listeners still accept, as clients learn late of a planned restart
    DrainingClosed,       // listeners are closed; downstream connections are still kept
    DrainingFinal,        // responses end their connections, and idle connections are closed
    DrainingToSuccessor,  // listeners are the successor's; connections go to it as they become idle
    Stopped,
  };
  enum class Event {
    ListenersOpened,
    ReloadRequested,
    TerminateRequested,
    TerminateRequestedWithSuccessor,
    AcceptTimeElapsed,
    FinalResponsesDue,
    Drained,
    DeadlinePassed,
  };
  static const Transition<Lifecycle, Phase, Event> kTransitions[];

  void apply_event(Event event);
  void begin_serving() { on_serving(); }
  void reload() { reload_settings(); }
  void begin_draining();
  void begin_handing_over();
  void stop_accepting();
  void begin_final_responses() { end_connections_after_response(); }
  void stop();
  double start_drain_deadline(double signalled_at_s);
  void check_drained();

  Loop& loop_;
  Phase phase_ = Phase::Starting;
  std::string failure_;
};

}  // namespace puffinvane
