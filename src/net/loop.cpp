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

constexpr double kBeat = 0.02;    // a stall is known to within this: less than the slack of any rule
constexpr double kHeeded = 0.02;  // after a stall: new connections are let in first and read some turns later
constexpr double kLate = 0.005;   // a loop that only has much to do is not that far behind

constexpr double kBucketsASecond = 1000;

constexpr double kUntoldLook =
    0.005;                           // seconds: a socket that epoll would not take is asked itself that often
constexpr int kMostRemovals = 4;     // tries: nothing is needed to let go of a socket
constexpr gulong kPollPause = 1000;  // microseconds

std::int64_t bucket_of(double when) { return std::int64_t(std::floor(when * kBucketsASecond)); }

double thread_cpu_seconds() {
  constexpr double kSecondsPerNanosecond = 1e-9;
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return double(used.tv_sec) + double(used.tv_nsec) * kSecondsPerNanosecond;
}

gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }

struct Due {
  Loop* loop;
  void (Loop::*what)();
};

// GLib would warn of want of memory and ask again at once, for as long as it lasts.
gint poll_patiently(GPollFD* descriptors, guint count, gint timeout) {
  gint ready = g_poll(descriptors, count, timeout);
  if (ready >= 0 || errno == EINTR) return ready;
  for (guint i = 0; i < count; ++i) descriptors[i].revents = 0;
  g_usleep(kPollPause);
  return 0;
}

// GLib ends the program where it finds no descriptor for its own: there has to be one first.
GMainContext* new_context() {
  int one = retry_on_shortage([] { return eventfd(0, EFD_CLOEXEC); });
  if (one < 0) throw std::runtime_error("no descriptor for the main loop");
  ::close(one);
  GMainContext* context = g_main_context_new();
  g_main_context_set_poll_func(context, poll_patiently);
  return context;
}

}  // namespace

DescriptorBudget::DescriptorBudget(int configured) : limit_(configured) {
  rlimit system{};
  if (getrlimit(RLIMIT_NOFILE, &system) == 0)
    limit_ = int(std::min<rlim_t>(rlim_t(configured), system.rlim_cur));
  limit_ -= std::min(kReserve, limit_ / 2);
}

Loop::Loop(Log& log, int descriptors)
    : log_(log),
      descriptors_(descriptors),
      context_(new_context()),
      loop_(g_main_loop_new(context_, FALSE)),
      epoll_(retry_on_shortage([] { return epoll_create1(EPOLL_CLOEXEC); })),
      alarm_(own_source(&Loop::alarms_due)),
      next_turn_(own_source(&Loop::run_posted)) {
  if (epoll_ < 0) throw std::runtime_error("no epoll");
  auto ready = [](gint, GIOCondition, gpointer self) -> gboolean {
    static_cast<Loop*>(self)->sockets_ready();
    return G_SOURCE_CONTINUE;
  };
  GSource* sockets = g_unix_fd_source_new(epoll_, G_IO_IN);
  g_source_set_callback(sockets, G_SOURCE_FUNC(+ready), this, nullptr);
  g_source_attach(sockets, context_);
  sockets_ = Source(sockets);
  next_alarm_ = std::numeric_limits<double>::infinity();
  beat();
}

Loop::~Loop() {
  while (!posted_.empty()) std::exchange(posted_, {});
  alarm_.reset(), next_turn_.reset(), sockets_.reset();
  ::close(epoll_);
  g_main_loop_unref(loop_);
  g_main_context_unref(context_);
}

Source Loop::own_source(void (Loop::*due)()) {
  static GSourceFuncs kFuncs = {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};
  GSource* source = g_source_new(&kFuncs, sizeof(GSource));
  auto call = [](gpointer data) -> gboolean {
    auto* due = static_cast<Due*>(data);
    (due->loop->*due->what)();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source, call, new Due{this, due},
                        [](gpointer data) { delete static_cast<Due*>(data); });
  g_source_attach(source, context_);
  return Source(source);
}

double Loop::unix_offset() { return double(g_get_real_time() - g_get_monotonic_time()) * 1e-6; }

void Loop::at(double when, std::function<void()> what) {
  alarms_[bucket_of(when)].push_back({when, ++turns_, std::move(what)});
  if (when < next_alarm_) next_alarm_ = when, set_alarm();
}

void Loop::beat() {
  cpu_at_last_beat_s_ = thread_cpu_seconds();
  at(now() + kBeat, [this] { beat(); });
}

// Processor time close to the stall: this program was busy. Close to none: it did not run, or waited in a
// call.
void Loop::report_long_stall(double stall_s) {
  constexpr double kLongStallSeconds = 1;
  if (stall_s < kLongStallSeconds) return;
  log_.event(Level::Warning, "loop.stalled")
      .with("duration_s", stall_s)
      .with("cpu_s", thread_cpu_seconds() - cpu_at_last_beat_s_);
}

void Loop::set_alarm() {
  g_source_set_ready_time(alarm_.get(), std::max<gint64>(0, gint64(std::ceil(next_alarm_ * 1e6))));
}

void Loop::find_next_alarm() {
  next_alarm_ = std::numeric_limits<double>::infinity();
  if (alarms_.empty()) return;
  for (const Alarm& alarm : alarms_.begin()->second) next_alarm_ = std::min(next_alarm_, alarm.when);
}

void Loop::alarms_due() {
  // Late means that this process had no core for a while. What has come in meanwhile is heard first, this
  // once: else answers that lie ready are taken for silence, and endpoints that were well ejected.
  put_off_ = !put_off_ && late() > kLate;
  if (put_off_) {
    stall_ = late();
    stall_heeded_until_ = now() + kHeeded;
    report_long_stall(stall_);
    return g_source_set_ready_time(alarm_.get(), 0);
  }
  // Alarms set by these are left to the next turn, or one that always asks for 'now' would hold the loop.
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
    return one.when != other.when ? one.when < other.when : one.turn < other.turn;
  });
  for (Alarm& alarm : due) alarm.what();
  find_next_alarm();
  set_alarm();
}

void Loop::watch(int descriptor, std::uint32_t events, SocketEventHandler& handler) {
  if (watched_.size() <= std::size_t(descriptor)) watched_.resize(std::size_t(descriptor) + 1);
  Watched& entry = watched_[std::size_t(descriptor)];
  if (entry.handler == &handler && entry.events == events) return;
  bool known = entry.handler != nullptr;
  entry = {&handler, events, known ? entry.turn : ++registrations_};
  if (!tell_epoll(descriptor, known)) look_at_untold(descriptor);
}

bool Loop::tell_epoll(int descriptor, bool known) {
  const Watched& entry = watched_[std::size_t(descriptor)];
  epoll_event asked{};
  asked.events = entry.events;
  asked.data.u64 = std::uint64_t(entry.turn) << 32 | std::uint32_t(descriptor);
  if (epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &asked) == 0) return true;
  // An earlier call that failed has left it the other way.
  if (errno == ENOENT) return epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &asked) == 0;
  return errno == EEXIST && epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &asked) == 0;
}

void Loop::look_at_untold(int descriptor) {
  if (std::find(untold_.begin(), untold_.end(), descriptor) != untold_.end()) return;
  untold_.push_back(descriptor);
  if (untold_.size() == 1) at(now() + kUntoldLook, [this] { look_at_all_untold(); });
}

// Epoll had no memory for them: what is asked for is kept, told again, and meanwhile looked for.
void Loop::look_at_all_untold() {
  for (int descriptor : std::exchange(untold_, {})) {
    const Watched entry = watched_[std::size_t(descriptor)];
    if (!entry.handler || tell_epoll(descriptor, false)) continue;
    look_at_untold(descriptor);
    pollfd one{descriptor, short(entry.events), 0};
    if (poll(&one, 1, 0) > 0) entry.handler->on_ready(std::uint32_t(one.revents));
  }
}

void Loop::unwatch(int descriptor) {
  if (descriptor < 0 || watched_.size() <= std::size_t(descriptor)) return;
  if (!std::exchange(watched_[std::size_t(descriptor)], {}).handler) return;
  for (int i = 0; i < kMostRemovals; ++i) {
    if (epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr) == 0 || errno == ENOENT) return;
  }
}

void Loop::sockets_ready() {
  // All that are ready, as after a stall answers must be heard before the alarms that would take them for
  // missing; what is beyond this many has its turn at once again.
  std::array<epoll_event, 1024> ready;
  int count = epoll_wait(epoll_, ready.data(), int(ready.size()), 0);
  for (int i = 0; i < count; ++i) {
    auto descriptor = std::size_t(ready[std::size_t(i)].data.u64 & 0xffffffffu);
    auto turn = std::uint32_t(ready[std::size_t(i)].data.u64 >> 32);
    // One handled before it in this turn may have closed it, and opened another by the same number.
    const Watched& entry = watched_[descriptor];
    if (entry.handler && entry.turn == turn) entry.handler->on_ready(ready[std::size_t(i)].events);
  }
}

void Loop::post(std::function<void()> what) {
  posted_.push_back(std::move(what));
  if (posted_.size() == 1) g_source_set_ready_time(next_turn_.get(), 0);
}

void Loop::run_posted() {
  g_source_set_ready_time(next_turn_.get(), -1);
  for (auto& what : std::exchange(posted_, {})) what();
}

}  // namespace puffinvane
