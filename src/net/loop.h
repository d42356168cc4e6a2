// The event loop: a monotonic clock, alarms with microsecond resolution, posted callbacks, and socket events.
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

// Counts open sockets against the limit on descriptors. A reserve is kept for the log, the loop itself and
// discovery.
class DescriptorBudget {
 public:
  // The limit is the lower of the configured one and RLIMIT_NOFILE.
  explicit DescriptorBudget(int configured);
  void opened() { ++open_; }
  void closed() { --open_; }
  int open() const { return open_; }
  int available() const { return limit() - open_; }
  int limit() const { return shared_ ? limit_ / 2 : limit_; }
  // Lowers the limit by that many descriptors, for connections that are always accepted.
  void reserve(int more) { limit_ -= std::min(more, limit_ / 2); }
  // While shared, half of the limit applies: another process uses as many descriptors.
  void set_shared(bool on) { shared_ = on; }

 private:
  static constexpr int kReserve = 24;
  int limit_;
  int open_ = 0;
  bool shared_ = false;
};

// A member of an object that schedules callbacks: a guarded callback does nothing once the object is
// destroyed.
class LifetimeToken {
 public:
  std::weak_ptr<int> watch() const { return token_; }
  template <typename Callback>
  auto guard(Callback callback) const {
    return [token = watch(), callback = std::move(callback)] {
      if (!token.expired()) callback();
    };
  }

 private:
  std::shared_ptr<int> token_ = std::make_shared<int>(0);
};

// Receives the events of the sockets that it watches.
class SocketEventHandler {
 public:
  virtual ~SocketEventHandler() = default;
  // events: a mask of EPOLLIN, EPOLLOUT and so on.
  virtual void on_ready(std::uint32_t events) = 0;
};

struct AlarmId {
  double when = 0;  // on the loop's clock
  std::uint64_t sequence = 0;
};

class Loop {
 public:
  Loop(Log& log, int descriptors);
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  ~Loop();

  void run() { g_main_loop_run(loop_); }
  void quit() { g_main_loop_quit(loop_); }

  // Seconds on the monotonic clock.
  double now() const { return double(g_get_monotonic_time()) * 1e-6; }
  static double unix_offset();  // Unix time minus now()
  // Seconds for which the loop did not run just before now, accurate to one stall check; 0 if it ran in time.
  // Input read now may have arrived that long ago.
  double stall_duration() const { return std::max(lateness(), now() < stall_reported_until_ ? stall_ : 0); }
  // Calls the callback once, at that time of now().
  AlarmId at(double when, std::function<void()> callback);
  // Drops an alarm; does nothing if it has been called or dropped already.
  void cancel(const AlarmId& id);
  std::size_t alarm_count() const;  // that are neither called nor dropped yet
  // Calls the callback in the next iteration, never from within this call.
  void post(std::function<void()> callback);
  // Destroys the object in the next iteration, as its own methods may still be running.
  template <typename T>
  void delete_later(std::unique_ptr<T> object) {
    if (object) post([kept = std::shared_ptr<T>(std::move(object))] {});
  }

  // Watches a socket for these events, or replaces the events if it is watched already. All sockets share one
  // epoll descriptor, which is a single source of the GLib main loop: GLib walks through all of its sources
  // and descriptors in every iteration, which at a thousand connections would be most of the cost of a
  // request.
  void watch(int descriptor, std::uint32_t events, SocketEventHandler& handler);
  void unwatch(int descriptor);

  GMainContext* context() const { return context_; }
  BufferPool& pool() { return pool_; }
  DescriptorBudget& descriptors() { return descriptors_; }
  Log& log() { return log_; }

 private:
  struct Alarm {
    double when;
    std::uint64_t sequence;  // keeps alarms for the same time in the order in which they were set
    std::function<void()> callback;
  };
  struct Watched {
    SocketEventHandler* handler = nullptr;
    std::uint32_t events = 0;
    std::uint32_t registration = 0;  // tells a reused descriptor number from the one before
  };
  // Grouped by the millisecond in which they are due. Most never run, as their request ends long before;
  // keeping them in a heap would cost its depth in each iteration.
  using Alarms = std::map<std::int64_t, std::vector<Alarm>>;
  Source create_source(void (Loop::*callback)());
  void run_due_alarms();
  void schedule_stall_check();
  double lateness() const { return std::max(0.0, now() - next_alarm_); }
  void report_long_stall(double stall_s);
  void run_posted();
  void sockets_ready();
  bool register_with_epoll(int descriptor, bool is_registered);
  void poll_later(int descriptor);
  void poll_unregistered();
  void find_next_alarm();
  void set_alarm();

  Log& log_;
  BufferPool pool_;
  DescriptorBudget descriptors_;
  GMainContext* context_;
  GMainLoop* loop_;
  Alarms alarms_;
  double next_alarm_ = 0;
  int epoll_;                     // descriptor
  std::vector<Watched> watched_;  // by descriptor
  std::uint32_t last_registration_ = 0;
  std::vector<int> unregistered_;  // watched descriptors that epoll had no memory for
  std::vector<std::function<void()>> posted_;
  std::uint64_t last_sequence_ = 0;    // of the alarms set
  bool deferred_for_sockets_ = false;  // late alarms wait for one pass over the sockets
  double stall_ = 0;                   // seconds of the last stall
  double stall_reported_until_ = 0;
  double cpu_at_last_check_s_ = 0;  // CPU time of this thread at the last stall check
  Source alarm_source_, posted_source_, socket_source_;
};

}  // namespace puffinvane
