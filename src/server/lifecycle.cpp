#include "src/server/lifecycle.h"

#include <algorithm>

namespace puffinvane {

namespace {

// Clients learn of a planned restart only some time after it was announced.
constexpr double kAcceptSeconds = 0.42;
// The platform sends SIGKILL this long after the longest client timeout, counted from SIGTERM.
constexpr double kKillAfterLongestTimeoutSeconds = 0.7;
// The platform may stall this process for that long between reading its clock and writing.
constexpr double kMaxStallSeconds = 0.15;
// For the turn of the loop after a stall.
constexpr double kLoopTurnSeconds = 0.02;
// The last responses are written this long before SIGKILL.
constexpr double kExitBeforeKillSeconds = kMaxStallSeconds + kLoopTurnSeconds;
constexpr double kExitAfterLongestTimeoutSeconds = kKillAfterLongestTimeoutSeconds - kExitBeforeKillSeconds;
constexpr double kDrainPollSeconds = 0.01;

}  // namespace

// A reload is handled in every phase until the stop: the start may take some seconds, while another process
// still uses the address of the listener.
const Transition<Lifecycle, Lifecycle::Phase, Lifecycle::Event> Lifecycle::kTransitions[] = {
    {Phase::Starting, Event::ListenersOpened, Phase::Serving, &Lifecycle::begin_serving},
    {Phase::Starting, Event::ReloadRequested, Phase::Starting, &Lifecycle::reload},
    {Phase::Starting, Event::TerminateRequested, Phase::Stopped, &Lifecycle::stop},
    {Phase::Serving, Event::ReloadRequested, Phase::Serving, &Lifecycle::reload},
    {Phase::Serving, Event::TerminateRequested, Phase::DrainingOpen, &Lifecycle::begin_draining},
    {Phase::Serving, Event::TerminateRequestedWithSuccessor, Phase::DrainingToSuccessor,
     &Lifecycle::begin_handing_over},
    {Phase::DrainingToSuccessor, Event::ReloadRequested, Phase::DrainingToSuccessor, &Lifecycle::reload},
    {Phase::DrainingToSuccessor, Event::Drained, Phase::Stopped, &Lifecycle::stop},
    {Phase::DrainingToSuccessor, Event::DeadlinePassed, Phase::Stopped, &Lifecycle::stop},
    {Phase::DrainingOpen, Event::ReloadRequested, Phase::DrainingOpen, &Lifecycle::reload},
    {Phase::DrainingOpen, Event::AcceptTimeElapsed, Phase::DrainingClosed, &Lifecycle::stop_accepting},
    {Phase::DrainingClosed, Event::ReloadRequested, Phase::DrainingClosed, &Lifecycle::reload},
    {Phase::DrainingClosed, Event::Drained, Phase::Stopped, &Lifecycle::stop},
    {Phase::DrainingClosed, Event::FinalResponsesDue, Phase::DrainingFinal,
     &Lifecycle::begin_final_responses},
    {Phase::DrainingClosed, Event::DeadlinePassed, Phase::Stopped, &Lifecycle::stop},
    {Phase::DrainingFinal, Event::ReloadRequested, Phase::DrainingFinal, &Lifecycle::reload},
    {Phase::DrainingFinal, Event::Drained, Phase::Stopped, &Lifecycle::stop},
    {Phase::DrainingFinal, Event::DeadlinePassed, Phase::Stopped, &Lifecycle::stop},
};

void Lifecycle::apply_event(Event event) { apply_transition(kTransitions, *this, phase_, event); }

void Lifecycle::on_listeners_open() { apply_event(Event::ListenersOpened); }

void Lifecycle::on_reload_signal() { apply_event(Event::ReloadRequested); }

void Lifecycle::on_terminate_signal() {
  apply_event(has_successor() ? Event::TerminateRequestedWithSuccessor : Event::TerminateRequested);
}

void Lifecycle::fail(std::string reason) {
  failure_ = std::move(reason);
  loop_.quit();
}

// Returns the time at which the process stops, drained or not.
double Lifecycle::start_drain_deadline(double signalled_at_s) {
  const DrainLimits limits = drain_limits();
  const double after_signal_s = std::min(limits.longest_client_timeout_s + kExitAfterLongestTimeoutSeconds,
                                         limits.kill_timeout_s - kExitBeforeKillSeconds);
  const double deadline_s = signalled_at_s + after_signal_s;
  on_draining(deadline_s - kDrainPollSeconds);
  loop_.at(deadline_s, [this] { apply_event(Event::DeadlinePassed); });
  return deadline_s;
}

void Lifecycle::begin_draining() {
  // SIGKILL counts from when SIGTERM was sent, also if this process was stalled then.
  const double signalled_at_s = loop_.now() - loop_.stall_duration();
  const double deadline_s = start_drain_deadline(signalled_at_s);
  const double accept_until_s = signalled_at_s + kAcceptSeconds;
  loop_.at(accept_until_s, [this] { apply_event(Event::AcceptTimeElapsed); });
  // Connected clients may have nowhere else to go: they are served while a response in time is possible.
  const double final_responses_at_s =
      std::max(deadline_s - drain_limits().longest_latency_objective_s, accept_until_s + kDrainPollSeconds);
  loop_.at(final_responses_at_s, [this] { apply_event(Event::FinalResponsesDue); });
}

void Lifecycle::begin_handing_over() {
  start_drain_deadline(loop_.now() - loop_.stall_duration());
  stop_accepting();
}

void Lifecycle::stop_accepting() {
  stop_listening();
  check_drained();
}

void Lifecycle::check_drained() {
  if (phase_ == Phase::DrainingFinal) close_idle_downstream();
  if (phase_ == Phase::DrainingToSuccessor) hand_over_connections();
  if (is_drained()) {
    apply_event(Event::Drained);
    return;
  }
  loop_.at(loop_.now() + kDrainPollSeconds, [this] { check_drained(); });
}

void Lifecycle::stop() {
  on_stopped();
  loop_.quit();
}

}  // namespace puffinvane
