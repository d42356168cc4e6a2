#include "tools/load_test/loop/event_loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <stdexcept>

namespace load_test {

namespace {

constexpr double kBeat = 0.004;    // no wait is longer: what is found is dated to within this
constexpr double kStalled = 0.02;  // a turn that long after the one before had no core, or far too much to do

double monotonic() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return double(now.tv_sec) + double(now.tv_nsec) * 1e-9;
}

// One zero for all loops of a process: children that are forked count on from it.
double zero() {
  static const double kZero = monotonic();
  return kZero;
}

}  // namespace

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) throw std::runtime_error("no epoll");
  since_ = looked_ = woke_ = now();
  beat();
}

Loop::~Loop() {
  while (!buried_.empty()) std::exchange(buried_, {});
  close(epoll_);
}

double Loop::now() const { return monotonic() - zero(); }

void Loop::beat() {
  at(now() + kBeat, [this] { beat(); });
}

Loop::Timer Loop::at(double when, std::function<void()> what) {
  Timer timer{when, ++last_};
  timers_.emplace(timer, std::move(what));
  return timer;
}

void Loop::watch(int descriptor, std::uint32_t events, Watcher& watcher) {
  if (watched_.size() <= std::size_t(descriptor)) watched_.resize(std::size_t(descriptor) + 1);
  Watched& entry = watched_[std::size_t(descriptor)];
  if (entry.watcher == &watcher && entry.events == events) return;
  bool known = entry.watcher != nullptr;
  entry = {&watcher, events, known ? entry.turn : ++registrations_};
  epoll_event asked{};
  asked.events = events;
  asked.data.u64 = (std::uint64_t(entry.turn) << 32) | std::uint32_t(descriptor);
  epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &asked);
}

void Loop::unwatch(int descriptor) {
  if (descriptor < 0 || watched_.size() <= std::size_t(descriptor)) return;
  if (!watched_[std::size_t(descriptor)].watcher) return;
  watched_[std::size_t(descriptor)] = {};
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void Loop::turn() {
  std::array<epoll_event, 512> ready;
  // All that came before this is found by the call; what it returns after is no measure, as this process may
  // be stopped on its way back.
  double looked = now();
  double wait = timers_.empty() ? kBeat : std::clamp(timers_.begin()->first.first - looked, 0.0, kBeat);
  // To the nanosecond: at whole milliseconds an open loop's requests would all be late.
  timespec most{0, long(wait * 1e9)};
  int count = epoll_pwait2(epoll_, ready.data(), int(ready.size()), &most, nullptr);
  if (count < 0) return;  // interrupted: nothing was looked at, so nothing may be dated or timed out
  double woke = now(), idle = woke - std::exchange(woke_, woke);
  if (idle > kStalled) stalled_ += idle;
  for (int i = 0; i < count; ++i) {
    auto descriptor = std::size_t(ready[std::size_t(i)].data.u64 & 0xffffffffu);
    auto registered = std::uint32_t(ready[std::size_t(i)].data.u64 >> 32);
    // Closed, and perhaps opened again as something else, by what was handled before it in this turn.
    if (!watched_[descriptor].watcher || watched_[descriptor].turn != registered) continue;
    watched_[descriptor].watcher->on_ready(ready[std::size_t(i)].events);
  }
  std::exchange(buried_, {});
  if (count == int(ready.size())) return;  // there is more to find that came before
  // A time-out only falls due after a look at what had come by then: stopped for a while, the load test would
  // else call what lies there unread too late.
  while (!timers_.empty() && timers_.begin()->first.first <= looked) {
    auto due = timers_.extract(timers_.begin());
    due.mapped()();
  }
  // Two turns back: a connection is taken in at one turn and read at the next.
  since_ = std::exchange(looked_, looked);
  std::exchange(buried_, {});
}

void Loop::run(const std::function<bool()>& done) {
  while (!done()) turn();
}

}  // namespace load_test
