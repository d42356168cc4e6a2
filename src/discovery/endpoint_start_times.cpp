#include "src/discovery/endpoint_start_times.h"

#include <algorithm>
#include <cmath>

namespace puffinvane {

namespace {

// An HTTP date is truncated to seconds and arrives with a delay. If this machine's wall clock agrees with it
// within these limits, the wall clock is used, as it is more precise.
constexpr double kMaxWallBehindDateSeconds = 0.5;
constexpr double kMaxWallAheadOfDateSeconds = 2.5;
// A larger change of the offset between the clocks is taken for a step of the wall clock. Smaller changes
// occur if the process stalls between reading the two clocks.
constexpr double kMinClockStepSeconds = 0.5;
// Discovery lists a change with up to this delay. If a start is stated to be earlier than discovery's last
// message without it by more than this, a clock is wrong.
constexpr double kMaxListDelaySeconds = 6;
// A stated time within bounds closer together than this shows that the clocks agree. An idle watch receives a
// line every 2 s.
constexpr double kNarrowBoundsSeconds = 2.5;

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

void EndpointStartTimes::on_list(EndpointList& list, const ClockOffsets& offsets) {
  double offset_s = stated_clock_offset(list, list.received_at_s, offsets);
  Bounds known_bounds;
  known_bounds.absent_until_s = last_message_at_s_.value_or(known_bounds.absent_until_s);
  known_bounds.received_at_s = list.received_at_s;
  Bounds new_bounds{absent_until(list), list.received_at_s};
  set_start_times(list, known_bounds, new_bounds, offset_s);
  if (list.is_snapshot) mark_missing_unlisted();
  erase_oldest_unlisted();
  last_message_at_s_ = list.received_at_s;
  is_source_changed_ = false;
}

void EndpointStartTimes::on_unchanged(double now) {
  if (last_message_at_s_ && !is_source_changed_) last_message_at_s_ = now;
}

void EndpointStartTimes::set_cached_start_times(EndpointList& list, double now, const ClockOffsets& offsets) {
  double offset_s = stated_clock_offset(list, now, offsets);
  Bounds unbounded;
  unbounded.received_at_s = now;
  ++list_number_;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    ListEntry& entry = list.entries[i];
    entry.online_since_s =
        update_start_time(starts_[entry.endpoint], list.stated_start_ms[i], unbounded, offset_s);
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

// If a list repeats an entry, the second one counts as a known endpoint.
void EndpointStartTimes::set_start_times(EndpointList& list, const Bounds& known_bounds,
                                         const Bounds& new_bounds, double offset_s) {
  ++list_number_;
  for (std::size_t i = 0; i < list.entries.size(); ++i) {
    ListEntry& entry = list.entries[i];
    const Bounds& bounds = starts_.contains(entry.endpoint) ? known_bounds : new_bounds;
    Start& start = starts_[entry.endpoint];
    entry.online_since_s = update_start_time(start, list.stated_start_ms[i], bounds, offset_s);
    if (entry.state == ListedState::Removed) mark_unlisted(entry.endpoint, start);
  }
}

// The date of discovery's response is by the same clock as the stated start times, so it takes precedence
// over this machine's wall clock if the two disagree.
double EndpointStartTimes::select_clock_offset(const ClockOffsets& offsets) {
  double offset_s = offsets.wall_s;
  if (offsets.discovery_s) {
    double difference_s = offsets.wall_s - *offsets.discovery_s;
    bool agrees = difference_s >= -kMaxWallBehindDateSeconds && difference_s <= kMaxWallAheadOfDateSeconds;
    if (!agrees) offset_s = *offsets.discovery_s;
  }
  if (last_offset_s_ && std::abs(offset_s - *last_offset_s_) > kMinClockStepSeconds) {
    are_clocks_untrusted_ = true;
  }
  last_offset_s_ = offset_s;
  return offset_s;
}

// The offset in seconds to subtract from a stated Unix time to get monotonic time. If most of the starts
// would be in the future, the wall clock is behind. Then the newest start is assumed to be now; the intervals
// between the starts are valid by any clock.
double EndpointStartTimes::stated_clock_offset(const EndpointList& list, double received_at_s,
                                               const ClockOffsets& offsets) {
  double offset_s = select_clock_offset(offsets);
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

// A start that is stated again keeps its time. If a delayed list states the previous start, or none, the
// later start is kept.
double EndpointStartTimes::update_start_time(Start& start, double stated_ms, const Bounds& bounds,
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

// A stated time outside of its bounds is replaced by the nearer bound, as discovery may list a start some
// seconds late. While the clocks are untrusted the later bound is used: an endpoint believed to be older than
// it is would get too much load.
double EndpointStartTimes::clamp_to_bounds(double stated_s, const Bounds& bounds) {
  if (std::isinf(bounds.absent_until_s)) return std::min(stated_s, bounds.received_at_s);
  bool is_too_early = stated_s < bounds.absent_until_s - kMaxListDelaySeconds;
  bool is_too_late = stated_s > bounds.received_at_s + kMinClockStepSeconds;
  if (is_too_early || is_too_late) are_clocks_untrusted_ = true;
  double clamped_s = std::clamp(stated_s, bounds.absent_until_s, bounds.received_at_s);
  double started_at_s = are_clocks_untrusted_ ? bounds.received_at_s : clamped_s;
  bool is_narrow = bounds.received_at_s - bounds.absent_until_s < kNarrowBoundsSeconds;
  if (clamped_s == stated_s && is_narrow) are_clocks_untrusted_ = false;
  return started_at_s;
}

// The earliest possible start of endpoints that are listed for the first time: discovery's last message.
// Another discovery service may list endpoints that have run for long, so after a change of the source this
// holds only if at least half of the listed endpoints are known.
double EndpointStartTimes::absent_until(const EndpointList& list) const {
  if (!last_message_at_s_) return Bounds().absent_until_s;
  if (!is_source_changed_) return *last_message_at_s_;
  auto is_known = [this](const ListEntry& entry) { return starts_.contains(entry.endpoint); };
  auto known_count = std::count_if(list.entries.begin(), list.entries.end(), is_known);
  bool are_mostly_known = 2 * std::size_t(known_count) >= list.entries.size();
  return are_mostly_known ? *last_message_at_s_ : Bounds().absent_until_s;
}

void EndpointStartTimes::mark_missing_unlisted() {
  for (auto& [name, start] : starts_) {
    if (start.is_listed && start.last_list_number != list_number_) mark_unlisted(name, start);
  }
}

void EndpointStartTimes::mark_unlisted(const std::string& name, Start& start) {
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
