// Start times of endpoints on the monotonic clock. Discovery states them in Unix time, but the wall clock of
// either machine may be wrong or be stepped at any time. A stated time therefore serves mainly to recognize a
// start; as a time it is trusted only within bounds known from the monotonic clock: when lists without and
// with that start were received. Reads no clocks or sockets: each list comes with its receipt time and the
// clock offsets read then.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/discovery/discovery.h"

namespace puffinvane {

// Unix time minus monotonic time, in seconds, by two clocks that were read at the same moment.
struct ClockOffsets {
  double wall_s = 0;                       // by this machine's wall clock
  std::optional<double> discovery_s = {};  // by the Date header of discovery's response, if any
};

// Converts the stated start times of one discovery service's lists into monotonic times. A start that is
// listed again keeps its time, even if the wall clock was stepped in between. A new start is not placed
// before discovery's last message without it. Belongs to the owner of the DiscoveryWatch, on the event loop's
// thread. No function fails.
class EndpointStartTimes {
 public:
  // How many endpoints that are no longer listed are remembered with their start. Operators may name as many
  // endpoints.
  static constexpr std::size_t kMaxUnlistedEndpoints = 4096;

  // Sets online_since_s of the entries of a list that was received at list.received_at_s.
  void on_list(EndpointList& list, const ClockOffsets& offsets);
  // Discovery has confirmed at `now` that nothing has changed.
  void on_unchanged(double now);
  // The next list comes from another discovery service and may have other endpoints.
  void on_source_changed() { is_source_changed_ = true; }
  // Sets online_since_s of the entries of a cached list, which was received at an unknown time before `now`.
  void set_cached_start_times(EndpointList& list, double now, const ClockOffsets& offsets);
  // Imports the predecessor's list with its start times. Both processes use the same monotonic clock.
  void import_start_times(const EndpointList& list);
  // Sets the fields of a list that the successor's import_start_times needs, except online_since_s, which has
  // to be set already.
  void export_start_times(EndpointList& list) const;
  // The number of remembered endpoints: those that are listed and at most kMaxUnlistedEndpoints others.
  std::size_t known_endpoint_count() const { return starts_.size(); }

 private:
  struct Start {
    double stated_ms = 0;           // identifies the start
    double previous_stated_ms = 0;  // of the start before, which a delayed list may state again
    double started_at_s = 0;        // monotonic; 0: long ago
    std::uint64_t last_list_number = 0;
    bool is_listed = true;
  };
  // The earliest and the latest possible time of a start that is new in a list.
  struct Bounds {
    double absent_until_s = -std::numeric_limits<double>::infinity();  // discovery's last message without it
    double received_at_s = 0;                                          // its first message with it
  };

  void set_start_times(EndpointList& list, const Bounds& known_bounds, const Bounds& new_bounds,
                       double offset_s);
  double select_clock_offset(const ClockOffsets& offsets);
  double stated_clock_offset(const EndpointList& list, double received_at_s, const ClockOffsets& offsets);
  double update_start_time(Start& start, double stated_ms, const Bounds& bounds, double offset_s);
  double clamp_to_bounds(double stated_s, const Bounds& bounds);
  double absent_until(const EndpointList& list) const;
  void mark_missing_unlisted();
  void mark_unlisted(const std::string& name, Start& start);
  void erase_oldest_unlisted();

  std::unordered_map<std::string, Start> starts_;
  std::deque<std::string> unlisted_;  // the oldest first
  std::uint64_t list_number_ = 0;
  std::optional<double> last_message_at_s_;
  std::optional<double> last_offset_s_;
  bool are_clocks_untrusted_ = false;  // a clock step or a disagreement was observed
  bool is_source_changed_ = false;
};

}  // namespace puffinvane
