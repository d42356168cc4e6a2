// The main loop as the rest sees it: one clock, alarms at microseconds, and work put off to the next turn.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "src/net/buffers.h"
#include "src/net/glib.h"
#include "src/net/log.h"

namespace puffinvane {

// Open sockets against the limit. Some stay free for the log, the loop itself and discovery.
class DescriptorBudget {
 public:
  explicit DescriptorBudget(int configured);  // what the system allows counts as well, where that is less
  void opened() { ++open_; }
  void closed() { --open_; }
  int open() const { return open_; }
  int available() const { return limit() - open_; }
  int limit() const { return shared_ ? limit_ / 2 : limit_; }
  void reserve(int more) { limit_ -= std::min(more, limit_ / 2); }  // for what is never kept out
  void set_shared(bool on) { shared_ = on; }  // another process holds as many under the same limit

 private:
  static constexpr int kReserve = 24;
  int limit_, open_ = 0;
  bool shared_ = false;
};

// What was put off by an object that is gone by then is dropped.
class LifetimeToken {
 public:
  std::weak_ptr<int> watch() const { return life_; }
  template <typename What>
  auto guard(What what) const {
    return [life = watch(), what = std::move(what)] {
      if (!life.expired()) what();
    };
  }

 private:
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
};

// Told of a socket that it has asked for.
class SocketEventHandler {
 public:
  virtual ~SocketEventHandler() = default;
  virtual void on_ready(std::uint32_t events) = 0;  // EPOLLIN and the like
};

class Loop {
 public:
  Loop(Log& log, int descriptors);
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  ~Loop();

  void run() { g_main_loop_run(loop_); }
  void quit() { g_main_loop_quit(loop_); }

  double now() const { return double(g_get_monotonic_time()) * 1e-6; }
  static double unix_offset();  // Unix time less this clock
  // For how long this process had no core just now, but for one beat: what is read may have come that long
  // ago.
  double stall_duration() const { return std::max(late(), now() < stall_heeded_until_ ? stall_ : 0); }
  void at(double when, std::function<void()> what);
  void post(std::function<void()> what);  // on the next turn: never within the caller's own call
  // An object whose own methods may still be running is only let go on the next turn.
  template <typename T>
  void delete_later(std::unique_ptr<T> dead) {
    if (dead) post([kept = std::shared_ptr<T>(std::move(dead))] {});
  }

  // Sockets are watched by one epoll that is itself one source of the main loop: GLib goes through all of its
  // sources and descriptors at every turn, which at a thousand connections is most of what a request costs.
  void watch(int descriptor, std::uint32_t events, SocketEventHandler& handler);  // also to change the events
  void unwatch(int descriptor);

  GMainContext* context() const { return context_; }
  BufferPool& pool() { return pool_; }
  DescriptorBudget& descriptors() { return descriptors_; }
  Log& log() { return log_; }

 private:
  struct Alarm {
    double when;
    std::uint64_t turn;
    std::function<void()> what;
  };
  struct Watched {
    SocketEventHandler* handler = nullptr;
    std::uint32_t events = 0, turn = 0;
  };
  // By the millisecond that they fall due in. Most are never due: their request has ended long before, and a
  // heap of them costs its depth at each turn.
  using Alarms = std::map<std::int64_t, std::vector<Alarm>>;
  Source own_source(void (Loop::*due)());
  void alarms_due();
  void beat();
  double late() const { return std::max(0.0, now() - next_alarm_); }
  void report_long_stall(double stall_s);
  void run_posted();
  void sockets_ready();
  bool tell_epoll(int descriptor, bool known);
  void look_at_untold(int descriptor);
  void look_at_all_untold();
  void find_next_alarm();
  void set_alarm();

  Log& log_;
  BufferPool pool_;
  DescriptorBudget descriptors_;
  GMainContext* context_;
  GMainLoop* loop_;
  Alarms alarms_;
  double next_alarm_ = 0;
  int epoll_;
  std::vector<Watched> watched_;  // by descriptor
  std::uint32_t registrations_ = 0;
  std::vector<int> untold_;  // descriptors that epoll would not take as they are asked for
  std::vector<std::function<void()>> posted_;
  std::uint64_t turns_ = 0;
  bool put_off_ = false;
  double stall_ = 0, stall_heeded_until_ = 0;
  double cpu_at_last_beat_s_ = 0;  // processor time that this thread had used by then
  Source alarm_, next_turn_, sockets_;
};

}  // namespace puffinvane
