#include "tools/load_test/loop/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <stdexcept>

namespace load_test {

namespace {

// Longest wait for events, in seconds: it bounds the error of the time at which an event is observed.
constexpr double kMaxWait = 0.004;
// If the time between two wake-ups exceeds this, the process had no core or far too much work.
constexpr double kStallThreshold = 0.02;

double monotonic_seconds() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return double(now.tv_sec) + double(now.tv_nsec) * 1e-9;
}

// All event loops of a process, and of processes that it forks, have the same time origin.
double process_start() {
  static const double kStart = monotonic_seconds();
  return kStart;
}

}  // namespace

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::runtime_error("epoll_create1 failed");
  earliest_event_time_ = last_poll_time_ = last_wake_time_ = now();
  schedule_heartbeat();
}

EventLoop::~EventLoop() {
  while (!pending_deletes_.empty()) std::exchange(pending_deletes_, {});
  close(epoll_);
}

double EventLoop::now() const { return monotonic_seconds() - process_start(); }

void EventLoop::schedule_heartbeat() {
  call_at(now() + kMaxWait, [this] { schedule_heartbeat(); });
}

EventLoop::Timer EventLoop::call_at(double when, std::function<void()> callback) {
  Timer timer{when, ++last_timer_id_};
  timers_.emplace(timer, std::move(callback));
  return timer;
}

void EventLoop::watch(int fd, std::uint32_t events, Watcher& watcher) {
  if (watched_.size() <= std::size_t(fd)) watched_.resize(std::size_t(fd) + 1);
  Watched& entry = watched_[std::size_t(fd)];
  if (entry.watcher == &watcher && entry.events == events) return;
  bool registered = entry.watcher != nullptr;
  entry = {&watcher, events, registered ? entry.registration : ++registrations_};
  epoll_event event{};
  event.events = events;
  event.data.u64 = (std::uint64_t(entry.registration) << 32) | std::uint32_t(fd);
  epoll_ctl(epoll_, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::unwatch(int fd) {
  if (fd < 0 || watched_.size() <= std::size_t(fd)) return;
  if (!watched_[std::size_t(fd)].watcher) return;
  watched_[std::size_t(fd)] = {};
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::run_once() {
  std::array<epoll_event, 512> ready;
  // epoll_pwait2 finds everything that arrived before this time. The time after it returns is no bound, as
  // the process may be descheduled before it continues.
  double poll_time = now();
  double wait =
      timers_.empty() ? kMaxWait : std::clamp(timers_.begin()->first.first - poll_time, 0.0, kMaxWait);
  // With a resolution of milliseconds, requests in open loop would be sent late.
  timespec timeout{0, long(wait * 1e9)};
  int count = epoll_pwait2(epoll_, ready.data(), int(ready.size()), &timeout, nullptr);
  // Interrupted: nothing was polled, so no timer may run and no time is updated.
  if (count < 0) return;
  double wake_time = now(), since_last_wake = wake_time - std::exchange(last_wake_time_, wake_time);
  if (since_last_wake > kStallThreshold) stalled_seconds_ += since_last_wake;
  for (int i = 0; i < count; ++i) {
    auto fd = std::size_t(ready[std::size_t(i)].data.u64 & 0xffffffffu);
    auto registration = std::uint32_t(ready[std::size_t(i)].data.u64 >> 32);
    // An earlier handler in this iteration may have closed the descriptor and a new one may have its number.
    if (!watched_[fd].watcher || watched_[fd].registration != registration) continue;
    watched_[fd].watcher->on_ready(ready[std::size_t(i)].events);
  }
  std::exchange(pending_deletes_, {});
  if (count == int(ready.size())) return;  // more events are pending
  // Timers run only after all events up to their due time were handled. Otherwise, after the load test had
  // been descheduled, a timeout would fire although the response is already in the socket buffer.
  while (!timers_.empty() && timers_.begin()->first.first <= poll_time) {
    auto due = timers_.extract(timers_.begin());
    due.mapped()();
  }
  // The time before the previous poll: a connection is accepted in one iteration and read in the next.
  earliest_event_time_ = std::exchange(last_poll_time_, poll_time);
  std::exchange(pending_deletes_, {});
}

void EventLoop::run(const std::function<bool()>& done) {
  while (!done()) run_once();
}

}  // namespace load_test
