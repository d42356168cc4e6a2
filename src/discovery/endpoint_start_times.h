// Start times of endpoints on the monotonic clock. Discovery states a start as Unix time, and a wall clock
// may be wrong or be stepped at any moment. A stated time therefore identifies a start, and says when it was
// only within the bounds that the monotonic clock gives. Sockets and clocks are not used here: lists come
// with the time at which they were received and with clock readings of that moment.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/discovery/discovery.h"

namespace puffinvane {

// Unix time less the monotonic clock, in seconds, as read at one moment.
struct ClockOffsets {
  double wall_s = 0;                       // by the wall clock of this machine
  std::optional<double> discovery_s = {};  // by the date of discovery's response; none: it had no date
};

// Turns the stated starts of one discovery's lists into monotonic times. A start that is listed again keeps
// its time, whatever the wall clock does in between; a new start is no earlier than discovery's last message
// without it. Owned by whoever owns the watch, on the event loop's thread; no function fails.
class EndpointStartTimes {
 public:
  // Endpoints that are no longer listed and whose start is still known; operators may name as many.
  static constexpr std::size_t kMaxUnlistedEndpoints = 4096;

  // Sets online_since_s of the entries of a list that came at list.received_at_s.
  void on_list(EndpointList& list, const ClockOffsets& offsets);
  // Discovery said at `now` that nothing has changed.
  void on_unchanged(double now);
  // The next list comes from another discovery and may name other endpoints.
  void on_source_changed() { is_source_changed_ = true; }
  // Sets online_since_s of the entries of a list that was received at an unknown time before `now`.
  void set_cached_start_times(EndpointList& list, double now, const ClockOffsets& offsets);
  // Takes the predecessor's list, with its times on the monotonic clock, which both processes read.
  void import_start_times(const EndpointList& list);
  // Adds to a list what import_start_times of the successor needs; online_since_s stays as it is.
  void export_start_times(EndpointList& list) const;
  // Endpoints with a known start: those listed and at most kMaxUnlistedEndpoints others.
  std::size_t known_endpoint_count() const { return starts_.size(); }

 private:
  struct Start {
    double stated_ms = 0;           // identifies the start
    double previous_stated_ms = 0;  // the start before it, which a delayed list may state again
    double started_at_s = 0;        // monotonic; 0: long ago
    std::uint64_t last_list_number = 0;
    bool is_listed = true;
  };
  // Between which times a start that is new in a list must lie.
  struct Bounds {
    double absent_until_s = -std::numeric_limits<double>::infinity();  // discovery's last message without it
    double received_at_s = 0;                                          // its first message with it
  };

  void set_start_times(EndpointList& list, const Bounds& known_names, const Bounds& new_names,
                       double offset_s);
  double select_offset(const ClockOffsets& offsets);
  double offset_of_stamps(const EndpointList& list, double received_at_s, const ClockOffsets& offsets);
  double start_time_of(Start& start, double stated_ms, const Bounds& bounds, double offset_s);
  double clamp_to_bounds(double stated_s, const Bounds& bounds);
  double absent_until(const EndpointList& list) const;
  void unlist_missing();
  void unlist(const std::string& name, Start& start);
  void erase_oldest_unlisted();

  std::unordered_map<std::string, Start> starts_;
  std::deque<std::string> unlisted_;  // the oldest first
  std::uint64_t list_number_ = 0;
  std::optional<double> last_message_at_s_;
  std::optional<double> last_offset_s_;
  bool are_clocks_doubted_ = false;  // the clocks were seen to disagree, or to be stepped
  bool is_source_changed_ = false;
};

}  // namespace puffinvane
