// Event loop with epoll and timers. The load test does not use the event loop of the program under test, so
// that a fault in that one cannot hide itself. It also tracks how late an event may have been observed, see
// earliest_event_time().
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace load_test {

class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void on_ready(std::uint32_t events) = 0;  // EPOLLIN and other epoll events
};

class EventLoop {
 public:
  using Timer = std::pair<double, std::uint64_t>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  double now() const;  // seconds since the first loop of the process tree was created
  // Events that are handled in this iteration happened after this time. Time limits are compared with it, so
  // that a late iteration does not make an event appear late.
  double earliest_event_time() const { return earliest_event_time_; }
  // Total time that this process had no core or an iteration took too long.
  double stalled_seconds() const { return stalled_seconds_; }

  Timer call_at(double when, std::function<void()> callback);
  void cancel(Timer timer) { timers_.erase(timer); }
  // Also changes the events of a descriptor that is already watched.
  void watch(int fd, std::uint32_t events, Watcher& watcher);
  void unwatch(int fd);
  void run(const std::function<bool()>& done);
  // Destroys the object after this iteration, as one of its methods may still be running.
  template <typename T>
  void delete_later(std::unique_ptr<T> object) {
    if (object) pending_deletes_.push_back(std::shared_ptr<T>(std::move(object)));
  }

 private:
  struct Watched {
    Watcher* watcher = nullptr;
    std::uint32_t events = 0, registration = 0;
  };
  void schedule_heartbeat();
  void run_once();

  int epoll_;
  std::uint64_t last_timer_id_ = 0;
  double earliest_event_time_ = 0, last_poll_time_ = 0, last_wake_time_ = 0, stalled_seconds_ = 0;
  std::map<Timer, std::function<void()>> timers_;
  std::vector<Watched> watched_;  // indexed by descriptor
  std::uint32_t registrations_ = 0;
  std::vector<std::shared_ptr<void>> pending_deletes_;
};

}  // namespace load_test
