// The load test's own loop: epoll and timers, apart from the program's GLib loop, so that nothing that is
// judged is judged by its own code. It knows what it can't have seen in time: see 'since'.
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
  virtual void on_ready(std::uint32_t events) = 0;  // EPOLLIN and the like
};

class Loop {
 public:
  using Timer = std::pair<double, std::uint64_t>;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  double now() const;  // seconds since the loop was made
  // What is found in this turn came after this: a turn that was late must not date what it finds too late.
  double since() const { return since_; }
  double stalled() const { return stalled_; }  // seconds, all in all, that this process had no core

  Timer at(double when, std::function<void()> what);
  void cancel(Timer timer) { timers_.erase(timer); }
  void watch(int descriptor, std::uint32_t events, Watcher& watcher);  // also to change the events
  void unwatch(int descriptor);
  void run(const std::function<bool()>& done);
  // An object whose own methods may still be running is let go after this turn.
  template <typename T>
  void bury(std::unique_ptr<T> dead) {
    if (dead) buried_.push_back(std::shared_ptr<T>(std::move(dead)));
  }

 private:
  struct Watched {
    Watcher* watcher = nullptr;
    std::uint32_t events = 0, turn = 0;
  };
  void beat();
  void turn();

  int epoll_;
  std::uint64_t last_ = 0;
  double since_ = 0, looked_ = 0, woke_ = 0, stalled_ = 0;
  std::map<Timer, std::function<void()>> timers_;
  std::vector<Watched> watched_;  // by descriptor
  std::uint32_t registrations_ = 0;
  std::vector<std::shared_ptr<void>> buried_;
};

}  // namespace load_test
