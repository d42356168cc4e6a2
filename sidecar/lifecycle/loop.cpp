#include "sidecar/lifecycle/loop.h"

#include <cmath>

namespace puffinvane {

namespace {

constexpr double kBeat = 0.02;    // a stall is known to within this: less than the slack of any rule
constexpr double kHeeded = 0.02;  // after a stall: new connections are let in first and read some turns later
constexpr double kLate = 0.005;   // a loop that only has much to do is not that far behind

gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }

struct Due {
  Loop* loop;
  void (Loop::*what)();
};

}  // namespace

Loop::Loop(Log& log, int descriptors)
    : log_(log),
      descriptors_(descriptors),
      context_(g_main_context_new()),
      loop_(g_main_loop_new(context_, FALSE)),
      alarm_(own_source(&Loop::alarms_due)),
      next_turn_(own_source(&Loop::soon_due)) {
  beat();
}

Loop::~Loop() {
  while (!soon_.empty()) std::exchange(soon_, {});
  alarm_.reset(), next_turn_.reset();
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
  alarms_.push({when, ++turns_, std::move(what)});
  if (alarms_.top().turn == turns_) set_alarm();
}

void Loop::beat() {
  at(now() + kBeat, [this] { beat(); });
}

void Loop::set_alarm() {
  g_source_set_ready_time(alarm_.get(), std::max<gint64>(0, gint64(std::ceil(alarms_.top().when * 1e6))));
}

void Loop::alarms_due() {
  // Late means that this process had no core for a while. What has come in meanwhile is heard first, this
  // once: else answers that lie ready are taken for silence, and endpoints that were well set aside.
  put_off_ = !put_off_ && late() > kLate;
  if (put_off_) {
    stall_ = late(), stall_heeded_until_ = now() + kHeeded;
    return g_source_set_ready_time(alarm_.get(), 0);
  }
  // Alarms set by these are left to the next turn, or one that always asks for 'now' would hold the loop.
  std::uint64_t last = turns_;
  double until = now();
  std::vector<Alarm> next;
  while (!alarms_.empty() && alarms_.top().when <= until) {
    Alarm due = alarms_.top();
    alarms_.pop();
    if (due.turn > last) next.push_back(std::move(due));
    else due.what();
  }
  for (Alarm& alarm : next) alarms_.push(std::move(alarm));
  set_alarm();
}

void Loop::soon(std::function<void()> what) {
  soon_.push_back(std::move(what));
  if (soon_.size() == 1) g_source_set_ready_time(next_turn_.get(), 0);
}

void Loop::soon_due() {
  g_source_set_ready_time(next_turn_.get(), -1);
  for (auto& what : std::exchange(soon_, {})) what();
}

}  // namespace puffinvane
