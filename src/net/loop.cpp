#include "src/net/loop.h"

#include <glib-unix.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <cmath>
#include <ctime>
#include <limits>
#include <stdexcept>

#include "src/net/system_calls.h"

namespace puffinvane {

namespace {

// Seconds between stall checks, hence the accuracy of a measured stall. Less than the tolerance of any rule.
constexpr double kStallCheckInterval = 0.02;
// Seconds for which a stall is reported after it ended: new connections are accepted first and read some
// iterations later.
constexpr double kStallReportTime = 0.02;
// Seconds. A loop that is merely busy is less late than this.
constexpr double kMinStall = 0.005;

constexpr double kBucketsPerSecond = 1000;

// Seconds between polls of sockets that epoll had no memory for.
constexpr double kUnregisteredPollInterval = 0.005;
// Removing a socket from epoll needs no memory, so it succeeds within a few tries.
constexpr int kMaxRemovalTries = 4;
constexpr gulong kPollPauseMicroseconds = 1000;

std::int64_t bucket_of(double when) { return std::int64_t(std::floor(when * kBucketsPerSecond)); }

double thread_cpu_seconds() {
  constexpr double kSecondsPerNanosecond = 1e-9;
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return double(used.tv_sec) + double(used.tv_nsec) * kSecondsPerNanosecond;
}

gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }

struct SourceCallback {
  Loop* loop;
  void (Loop::*method)();
};

// If poll fails, GLib logs a warning and polls again at once, for as long as memory is short. This function
// pauses instead and reports no events.
gint poll_with_pause(GPollFD* descriptors, guint count, gint timeout) {
  gint ready = g_poll(descriptors, count, timeout);
  if (ready >= 0 || errno == EINTR) return ready;
  for (guint i = 0; i < count; ++i) descriptors[i].revents = 0;
  g_usleep(kPollPauseMicroseconds);
  return 0;
}

// GLib aborts if it can't open its eventfd, so this first waits until one can be opened.
GMainContext* create_context() {
  int probe = retry_on_shortage([] { return eventfd(0, EFD_CLOEXEC); });
  if (probe < 0) throw std::runtime_error("can't create an eventfd for the main loop");
  ::close(probe);
  GMainContext* context = g_main_context_new();
  g_main_context_set_poll_func(context, poll_with_pause);
  return context;
}

}  // namespace

DescriptorBudget::DescriptorBudget(int configured) : limit_(configured) {
  rlimit system_limit{};
  if (getrlimit(RLIMIT_NOFILE, &system_limit) == 0)
    limit_ = int(std::min<rlim_t>(rlim_t(configured), system_limit.rlim_cur));
  limit_ -= std::min(kReserve, limit_ / 2);
}

Loop::Loop(Log& log, int descriptors)
    : log_(log),
      descriptors_(descriptors),
      context_(create_context()),
      loop_(g_main_loop_new(context_, FALSE)),
      epoll_(retry_on_shortage([] { return epoll_create1(EPOLL_CLOEXEC); })),
      alarm_source_(create_source(&Loop::run_due_alarms)),
      posted_source_(create_source(&Loop::run_posted)) {
  if (epoll_ < 0) throw std::runtime_error("can't create an epoll descriptor");
  auto ready = [](gint, GIOCondition, gpointer self) -> gboolean {
    static_cast<Loop*>(self)->sockets_ready();
    return G_SOURCE_CONTINUE;
  };
  GSource* sockets = g_unix_fd_source_new(epoll_, G_IO_IN);
  g_source_set_callback(sockets, G_SOURCE_FUNC(+ready), this, nullptr);
  g_source_attach(sockets, context_);
  socket_source_ = Source(sockets);
  next_alarm_ = std::numeric_limits<double>::infinity();
  schedule_stall_check();
}

Loop::~Loop() {
  while (!posted_.empty()) std::exchange(posted_, {});
  alarm_source_.reset();
  posted_source_.reset();
  socket_source_.reset();
  ::close(epoll_);
  g_main_loop_unref(loop_);
  g_main_context_unref(context_);
}

Source Loop::create_source(void (Loop::*callback)()) {
  static GSourceFuncs kFuncs = {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};
  GSource* source = g_source_new(&kFuncs, sizeof(GSource));
  auto call = [](gpointer data) -> gboolean {
    auto* target = static_cast<SourceCallback*>(data);
    (target->loop->*target->method)();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source, call, new SourceCallback{this, callback},
                        [](gpointer data) { delete static_cast<SourceCallback*>(data); });
  g_source_attach(source, context_);
  return Source(source);
}

double Loop::unix_offset() { return double(g_get_real_time() - g_get_monotonic_time()) * 1e-6; }

AlarmId Loop::at(double when, std::function<void()> callback) {
  alarms_[bucket_of(when)].push_back({when, ++last_sequence_, std::move(callback)});
  const AlarmId id{when, last_sequence_};
  if (when < next_alarm_) {
    next_alarm_ = when;
    set_alarm();
  }
  return id;
}

// If it was the next alarm, the loop wakes up once for nothing.
void Loop::cancel(const AlarmId& id) {
  auto bucket = alarms_.find(bucket_of(id.when));
  if (bucket == alarms_.end()) return;
  std::erase_if(bucket->second, [&](const Alarm& alarm) { return alarm.sequence == id.sequence; });
  if (bucket->second.empty()) alarms_.erase(bucket);
}

std::size_t Loop::alarm_count() const {
  std::size_t count = 0;
  for (const auto& [bucket, alarms] : alarms_) count += alarms.size();
  return count;
}

void Loop::schedule_stall_check() {
  cpu_at_last_check_s_ = thread_cpu_seconds();
  at(now() + kStallCheckInterval, [this] { schedule_stall_check(); });
}

// CPU time close to the stall means that this program was busy. CPU time close to zero means that it did not
// run, or was blocked in a system call.
void Loop::report_long_stall(double stall_s) {
  constexpr double kLongStallSeconds = 1;
  if (stall_s < kLongStallSeconds) return;
  log_.event(Level::Warning, "loop.stalled")
      .with("duration_s", stall_s)
      .with("cpu_s", thread_cpu_seconds() - cpu_at_last_check_s_);
}

void Loop::set_alarm() {
  g_source_set_ready_time(alarm_source_.get(), std::max<gint64>(0, gint64(std::ceil(next_alarm_ * 1e6))));
}

void Loop::find_next_alarm() {
  next_alarm_ = std::numeric_limits<double>::infinity();
  if (alarms_.empty()) return;
  for (const Alarm& alarm : alarms_.begin()->second) next_alarm_ = std::min(next_alarm_, alarm.when);
}

void Loop::run_due_alarms() {
  // Being this late means that the process did not run for a while. The sockets are read once before the
  // alarms: otherwise responses that have arrived already would count as missing, and healthy endpoints would
  // be ejected.
  deferred_for_sockets_ = !deferred_for_sockets_ && lateness() > kMinStall;
  if (deferred_for_sockets_) {
    stall_ = lateness();
    stall_reported_until_ = now() + kStallReportTime;
    report_long_stall(stall_);
    return g_source_set_ready_time(alarm_source_.get(), 0);
  }
  // Alarms set by these callbacks wait for the next iteration: one that always sets another for now() would
  // block the loop.
  double until = now();
  std::vector<Alarm> due;
  for (auto bucket = alarms_.begin(); bucket != alarms_.end() && bucket->first <= bucket_of(until);) {
    auto later = std::partition(bucket->second.begin(), bucket->second.end(),
                                [until](const Alarm& alarm) { return alarm.when > until; });
    std::move(later, bucket->second.end(), std::back_inserter(due));
    bucket->second.erase(later, bucket->second.end());
    bucket = bucket->second.empty() ? alarms_.erase(bucket) : std::next(bucket);
  }
  std::sort(due.begin(), due.end(), [](const Alarm& one, const Alarm& other) {
    return one.when != other.when ? one.when < other.when : one.sequence < other.sequence;
  });
  for (Alarm& alarm : due) alarm.callback();
  find_next_alarm();
  set_alarm();
}

void Loop::watch(int descriptor, std::uint32_t events, SocketEventHandler& handler) {
  if (watched_.size() <= std::size_t(descriptor)) watched_.resize(std::size_t(descriptor) + 1);
  Watched& entry = watched_[std::size_t(descriptor)];
  if (entry.handler == &handler && entry.events == events) return;
  bool is_registered = entry.handler != nullptr;
  entry = {&handler, events, is_registered ? entry.registration : ++last_registration_};
  if (!register_with_epoll(descriptor, is_registered)) poll_later(descriptor);
}

bool Loop::register_with_epoll(int descriptor, bool is_registered) {
  const Watched& entry = watched_[std::size_t(descriptor)];
  epoll_event event{};
  event.events = entry.events;
  event.data.u64 = std::uint64_t(entry.registration) << 32 | std::uint32_t(descriptor);
  if (epoll_ctl(epoll_, is_registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event) == 0) return true;
  // A failed earlier call may have left the descriptor in the other state.
  if (errno == ENOENT) return epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) == 0;
  return errno == EEXIST && epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event) == 0;
}

void Loop::poll_later(int descriptor) {
  if (std::find(unregistered_.begin(), unregistered_.end(), descriptor) != unregistered_.end()) return;
  unregistered_.push_back(descriptor);
  if (unregistered_.size() == 1) at(now() + kUnregisteredPollInterval, [this] { poll_unregistered(); });
}

// Retries the registrations that epoll had no memory for, and polls those sockets in the meantime.
void Loop::poll_unregistered() {
  for (int descriptor : std::exchange(unregistered_, {})) {
    const Watched entry = watched_[std::size_t(descriptor)];
    if (!entry.handler || register_with_epoll(descriptor, false)) continue;
    poll_later(descriptor);
    pollfd polled{descriptor, short(entry.events), 0};
    if (poll(&polled, 1, 0) > 0) entry.handler->on_ready(std::uint32_t(polled.revents));
  }
}

void Loop::unwatch(int descriptor) {
  if (descriptor < 0 || watched_.size() <= std::size_t(descriptor)) return;
  if (!std::exchange(watched_[std::size_t(descriptor)], {}).handler) return;
  for (int i = 0; i < kMaxRemovalTries; ++i) {
    if (epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr) == 0 || errno == ENOENT) return;
  }
}

void Loop::sockets_ready() {
  // After a stall all responses that have arrived must be handled before the alarms that would treat them as
  // missing, so one call takes many events. Any further ones are handled in the next iteration.
  std::array<epoll_event, 1024> ready;
  int count = epoll_wait(epoll_, ready.data(), int(ready.size()), 0);
  for (int i = 0; i < count; ++i) {
    auto descriptor = std::size_t(ready[std::size_t(i)].data.u64 & 0xffffffffu);
    auto registration = std::uint32_t(ready[std::size_t(i)].data.u64 >> 32);
    // A handler called before in this loop may have closed this descriptor and opened another with its
    // number.
    const Watched& entry = watched_[descriptor];
    if (entry.handler && entry.registration == registration)
      entry.handler->on_ready(ready[std::size_t(i)].events);
  }
}

void Loop::post(std::function<void()> callback) {
  posted_.push_back(std::move(callback));
  if (posted_.size() == 1) g_source_set_ready_time(posted_source_.get(), 0);
}

void Loop::run_posted() {
  g_source_set_ready_time(posted_source_.get(), -1);
  for (auto& callback : std::exchange(posted_, {})) callback();
}

}  // namespace puffinvane
