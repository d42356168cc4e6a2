#include "src/discovery/endpoint_start_times.h"

#include <algorithm>
#include <cmath>

namespace puffinvane {

namespace {

// An HTTP date has whole seconds and takes time to arrive. A wall clock within these limits of it is taken
// instead, as the finer of the two.
constexpr double kMaxWallBehindDateSeconds = 0.5;
constexpr double kMaxWallAheadOfDateSeconds = 2.5;
// Two readings of a wall clock that nobody steps differ by less: a stall between reading it and reading the
// monotonic clock.
constexpr double kMinClockStepSeconds = 0.5;
// Discovery lists a change up to this late. A start stated longer than that before its last message without
// it shows a wrong clock.
constexpr double kMaxListDelaySeconds = 6;
// A stated time inside bounds no further apart than this shows that the clocks agree. A quiet watch has a
// line every 2 s.
constexpr double kNarrowBoundsSeconds = 2.5;

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

void EndpointStartTimes::on_list(EndpointList& list, const ClockOffsets& offsets) {
  double offset_s = offset_of_stamps(list, list.received_at_s, offsets);
  Bounds known_names;
  known_names.absent_until_s = last_message_at_s_.value_or(known_names.absent_until_s);
  known_names.received_at_s = list.received_at_s;
  Bounds new_names{absent_until(list), list.received_at_s};
  set_start_times(list, known_names, new_names, offset_s);
  if (list.is_snapshot) unlist_missing();
  erase_oldest_unlisted();
  last_message_at_s_ = list.received_at_s;
  is_source_changed_ = false;
}

void EndpointStartTimes::on_unchanged(double now) {
  if (last_message_at_s_ && !is_source_changed_) last_message_at_s_ = now;
}

void EndpointStartTimes::set_cached_start_times(EndpointList& list, double now, const ClockOffsets& offsets) {
  double offset_s = offset_of_stamps(list, now, offsets);
  Bounds unbounded;
  unbounded.received_at_s = now;
  ++list_number_;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    ListEntry& entry = list.entries[i];
    entry.online_since_s =
        start_time_of(starts_[entry.endpoint], list.stated_start_ms[i], unbounded, offset_s);
  }
}

void EndpointStartTimes::import_start_times(const EndpointList& list) {
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    const ListEntry& entry = list.entries[i];
    Start start;
    start.stated_ms = list.stated_start_ms[i];
    start.started_at_s = entry.online_since_s;
    start.last_list_number = list_number_;
    starts_[entry.endpoint] = start;
  }
  if (list.received_at_s > 0) last_message_at_s_ = list.received_at_s;
}

void EndpointStartTimes::export_start_times(EndpointList& list) const {
  list.stated_start_ms.clear();
  for (const ListEntry& entry : list.entries) {
    auto found = starts_.find(entry.endpoint);
    list.stated_start_ms.push_back(found == starts_.end() ? 0 : found->second.stated_ms);
  }
  list.received_at_s = last_message_at_s_.value_or(0);
  list.has_start_times = true;
}

// An entry that a list repeats is a known name the second time.
void EndpointStartTimes::set_start_times(EndpointList& list, const Bounds& known_names,
                                         const Bounds& new_names, double offset_s) {
  ++list_number_;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    ListEntry& entry = list.entries[i];
    const Bounds& bounds = starts_.contains(entry.endpoint) ? known_names : new_names;
    Start& start = starts_[entry.endpoint];
    entry.online_since_s = start_time_of(start, list.stated_start_ms[i], bounds, offset_s);
    if (entry.state == ListedState::Removed) unlist(entry.endpoint, start);
  }
}

// The date of discovery's response comes from the clock that the stamps come from, and takes precedence over
// the wall clock of this machine where the two disagree.
double EndpointStartTimes::select_offset(const ClockOffsets& offsets) {
  double offset_s = offsets.wall_s;
  if (offsets.discovery_s) {
    double difference_s = offsets.wall_s - *offsets.discovery_s;
    bool agrees = difference_s >= -kMaxWallBehindDateSeconds && difference_s <= kMaxWallAheadOfDateSeconds;
    if (!agrees) offset_s = *offsets.discovery_s;
  }
  if (last_offset_s_ && std::abs(offset_s - *last_offset_s_) > kMinClockStepSeconds) {
    are_clocks_doubted_ = true;
  }
  last_offset_s_ = offset_s;
  return offset_s;
}

// What to subtract from a stated time, in seconds, to get the monotonic clock's. If most starts would lie in
// the future, the clock is behind: then the newest start is taken to be now, and the distances of the others
// to it hold by any clock.
double EndpointStartTimes::offset_of_stamps(const EndpointList& list, double received_at_s,
                                            const ClockOffsets& offsets) {
  double offset_s = select_offset(offsets);
  std::size_t stated_count = 0;
  std::size_t future_count = 0;
  double newest_s = 0;
  for (double stated_ms : list.stated_start_ms) {
    double stated_s = stated_ms / kMillisecondsPerSecond;
    if (stated_s <= 0) continue;
    ++stated_count;
    if (stated_s - offset_s > received_at_s) ++future_count;
    newest_s = std::max(newest_s, stated_s);
  }
  return 2 * future_count > stated_count ? newest_s - received_at_s : offset_s;
}

// A start that is stated again keeps its time. A delayed list may state the previous start again, or none:
// no start goes back.
double EndpointStartTimes::start_time_of(Start& start, double stated_ms, const Bounds& bounds,
                                         double offset_s) {
  start.last_list_number = list_number_;
  start.is_listed = true;
  bool is_known = stated_ms <= 0 || stated_ms == start.stated_ms || stated_ms == start.previous_stated_ms;
  if (is_known) return start.started_at_s;
  start.previous_stated_ms = start.stated_ms;
  start.stated_ms = stated_ms;
  double stated_s = stated_ms / kMillisecondsPerSecond - offset_s;
  start.started_at_s = std::max(0.0, clamp_to_bounds(stated_s, bounds));
  return start.started_at_s;
}

// A stated time outside of its bounds counts as the nearer bound, as discovery may list a start some seconds
// late. While the clocks are doubted the latest time within the bounds is taken: an endpoint taken for older
// than it is would get too much load.
double EndpointStartTimes::clamp_to_bounds(double stated_s, const Bounds& bounds) {
  if (std::isinf(bounds.absent_until_s)) return std::min(stated_s, bounds.received_at_s);
  bool is_too_early = stated_s < bounds.absent_until_s - kMaxListDelaySeconds;
  bool is_too_late = stated_s > bounds.received_at_s + kMinClockStepSeconds;
  if (is_too_early || is_too_late) are_clocks_doubted_ = true;
  double clamped_s = std::clamp(stated_s, bounds.absent_until_s, bounds.received_at_s);
  double started_at_s = are_clocks_doubted_ ? bounds.received_at_s : clamped_s;
  bool is_narrow = bounds.received_at_s - bounds.absent_until_s < kNarrowBoundsSeconds;
  if (clamped_s == stated_s && is_narrow) are_clocks_doubted_ = false;
  return started_at_s;
}

// Until when names that were not listed before are known not to have started. Another discovery may list
// endpoints that have run for long: only where at least half of its names are known are the others new.
double EndpointStartTimes::absent_until(const EndpointList& list) const {
  if (!last_message_at_s_) return Bounds().absent_until_s;
  if (!is_source_changed_) return *last_message_at_s_;
  auto is_known = [this](const ListEntry& entry) { return starts_.contains(entry.endpoint); };
  auto known_count = std::count_if(list.entries.begin(), list.entries.end(), is_known);
  bool are_mostly_known = 2 * std::size_t(known_count) >= list.entries.size();
  return are_mostly_known ? *last_message_at_s_ : Bounds().absent_until_s;
}

void EndpointStartTimes::unlist_missing() {
  for (auto& [name, start] : starts_) {
    if (start.is_listed && start.last_list_number != list_number_) unlist(name, start);
  }
}

void EndpointStartTimes::unlist(const std::string& name, Start& start) {
  start.is_listed = false;
  unlisted_.push_back(name);
}

void EndpointStartTimes::erase_oldest_unlisted() {
  while (unlisted_.size() > kMaxUnlistedEndpoints) {
    auto oldest = starts_.find(unlisted_.front());
    if (oldest != starts_.end() && !oldest->second.is_listed) starts_.erase(oldest);
    unlisted_.pop_front();
  }
}

}  // namespace puffinvane
