#include "src/discovery/endpoint_starts.h"

#include <algorithm>
#include <cmath>

namespace puffinvane {

namespace {
// A date is told in whole seconds, and has been on its way; a wall clock that fits it is the finer one.
constexpr double kDateEarly = 0.5, kDateLate = 2.5;
// Two readings of one wall clock differ by a stall between its reading and the monotonic one's, at most 0.15
// s.
constexpr double kStep = 0.5;
// What discovery has to tell comes up to 6 s late (the protocol page): a start stated longer than that before
// discovery was last heard without it is the sign of a wrong clock.
constexpr double kLatestTold = 6;
// Bounds no further apart than that show that the clocks agree: a quiet watch has a line every 2 s.
constexpr double kNarrow = 2.5;
}  // namespace

void EndpointStarts::hear(EndpointList& list, const ClockOffsets& offsets) {
  double offset = offset_of_stamps(list, list.received_at_s, offsets);
  Bounds known_names{heard_at_.value_or(Bounds().absent_until), list.received_at_s};
  Bounds new_names{absent_until(list), list.received_at_s};
  ++lists_;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    ListEntry& entry = list.entries[i];
    const Bounds& bounds = starts_.contains(entry.endpoint) ? known_names : new_names;
    entry.online_since_s = judge(entry.endpoint, list.stated_start_ms[i], bounds, offset);
    if (entry.state == ListedState::Removed) unlist(entry.endpoint, starts_[entry.endpoint]);
  }
  if (list.is_snapshot) unlist_missing();
  forget_oldest();
  heard_at_ = list.received_at_s;
  source_changed_ = false;
}

void EndpointStarts::hear_no_change(double now) {
  if (heard_at_ && !source_changed_) heard_at_ = now;
}

void EndpointStarts::recall(EndpointList& known, double now, const ClockOffsets& offsets) {
  double offset = offset_of_stamps(known, now, offsets);
  Bounds open{Bounds().absent_until, now};
  ++lists_;
  for (std::size_t i = 0; i < known.entries.size(); ++i)
    known.entries[i].online_since_s =
        judge(known.entries[i].endpoint, known.stated_start_ms[i], open, offset);
}

void EndpointStarts::take_over(const EndpointList& list) {
  for (std::size_t i = 0; i < list.entries.size(); ++i)
    starts_[list.entries[i].endpoint] = {list.stated_start_ms[i], 0, list.entries[i].online_since_s, lists_,
                                         true};
  if (list.received_at_s > 0) heard_at_ = list.received_at_s;
}

void EndpointStarts::annotate(EndpointList& list) const {
  list.stated_start_ms.clear();
  for (const ListEntry& entry : list.entries) {
    auto found = starts_.find(entry.endpoint);
    list.stated_start_ms.push_back(found == starts_.end() ? 0 : found->second.stated_ms);
  }
  list.received_at_s = heard_at_.value_or(0);
  list.has_start_times = true;
}

// What to take from a stated time to get the monotonic clock's. Discovery's own date is told by the clock
// that the stamps are of, and goes before this machine's clock.
double EndpointStarts::offset_of_stamps(const EndpointList& list, double heard_at,
                                        const ClockOffsets& offsets) {
  double offset = offsets.wall;
  if (offsets.discovery) {
    double apart = offsets.wall - *offsets.discovery;
    if (apart < -kDateEarly || apart > kDateLate) offset = *offsets.discovery;
  }
  if (last_offset_ && std::abs(offset - *last_offset_) > kStep) doubted_ = true;
  last_offset_ = offset;
  // Where most starts lie ahead, the clock is behind: the newest was now, at the earliest reading that it
  // leaves, and how far the others lie before it is known whatever the clock.
  std::size_t stamped = 0, ahead = 0;
  double newest = 0;
  for (double stated_ms : list.stated_start_ms) {
    double stated = stated_ms / 1000;
    stamped += stated > 0;
    ahead += stated > 0 && stated - offset > heard_at;
    newest = std::max(newest, stated);
  }
  return 2 * ahead > stamped ? newest - heard_at : offset;
}

// The same start keeps its time. An old list may tell the start before once more, or none: no start goes
// back.
double EndpointStarts::judge(const std::string& name, double stated_ms, const Bounds& bounds, double offset) {
  auto [found, unheard] = starts_.try_emplace(name);
  Start& start = found->second;
  start.heard_in = lists_;
  start.listed = true;
  bool again = stated_ms <= 0 || stated_ms == start.stated_ms || stated_ms == start.earlier_ms;
  if (again) return start.started;
  start.earlier_ms = start.stated_ms;
  start.stated_ms = stated_ms;
  start.started = std::max(0.0, inside(stated_ms / 1000 - offset, bounds));
  return start.started;
}

// A stated time outside of its bounds counts as the nearer one, as discovery may tell a start some seconds
// late. Where it can't be trusted the careful reading is the latest time that they leave.
double EndpointStarts::inside(double stated, const Bounds& bounds) {
  if (std::isinf(bounds.absent_until)) return std::min(stated, bounds.heard_at);
  bool fits = stated >= bounds.absent_until && stated <= bounds.heard_at;
  if (stated < bounds.absent_until - kLatestTold || stated > bounds.heard_at + kStep) doubted_ = true;
  double started = doubted_ ? bounds.heard_at : std::clamp(stated, bounds.absent_until, bounds.heard_at);
  bool narrow = bounds.heard_at - bounds.absent_until < kNarrow;
  if (fits && narrow) doubted_ = false;
  return started;
}

// Of names that were not listed before. Another discovery may list others that have been there for long: only
// where it names mostly the same is what it names besides new.
double EndpointStarts::absent_until(const EndpointList& list) const {
  if (!heard_at_) return Bounds().absent_until;
  if (!source_changed_) return *heard_at_;
  auto known = std::count_if(list.entries.begin(), list.entries.end(),
                             [&](const ListEntry& entry) { return starts_.contains(entry.endpoint); });
  bool same = 2 * std::size_t(known) >= list.entries.size();
  return same ? *heard_at_ : Bounds().absent_until;
}

void EndpointStarts::unlist_missing() {
  for (auto& [name, start] : starts_) {
    if (start.listed && start.heard_in != lists_) unlist(name, start);
  }
}

void EndpointStarts::forget_oldest() {
  while (unlisted_.size() > kRemembered) {
    auto oldest = starts_.find(unlisted_.front());
    if (oldest != starts_.end() && !oldest->second.listed) starts_.erase(oldest);
    unlisted_.pop_front();
  }
}

void EndpointStarts::unlist(const std::string& name, Start& start) {
  start.listed = false;
  unlisted_.push_back(name);
}

}  // namespace puffinvane
