// When endpoints started, on the monotonic clock. Discovery states a start as Unix time, and a wall clock may
// be wrong or be stepped at any moment: what is stated names a start, and says when it was only inside the
// bounds that the monotonic clock knows (last heard of without this start, first heard of with it). No
// sockets and no clock of its own: lists come with when they were heard and with what the clocks said then.
#pragma once

#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/discovery/discovery.h"

namespace puffinvane {

/// Unix time less the monotonic clock, in seconds, as read at one moment.
struct ClockOffsets {
  double wall = 0;                       ///< by this machine's wall clock
  std::optional<double> discovery = {};  ///< by the date of discovery's answer; none: it told none
};

/// Turns the stated starts of one discovery's lists into monotonic times. A start that is told again keeps
/// its time, whatever the wall clock did in between; a start that is new is no earlier than the last word of
/// discovery without it.
class EndpointStarts {
 public:
  /// Endpoints that are listed no more and still known by their start: as many as operators may name.
  static constexpr std::size_t kRemembered = 4096;

  /// A list from discovery, heard at list.heard_at: sets online_since of its entries.
  void hear(EndpointList& list, const ClockOffsets& offsets);
  /// Discovery said that nothing has changed.
  void hear_no_change(double now);
  /// The list as it was had at some time before, nobody knows when: sets online_since of its entries.
  void recall(EndpointList& known, double now, const ClockOffsets& offsets);
  /// The predecessor's list, with its times on the monotonic clock, which both processes read.
  void take_over(const EndpointList& list);
  /// Adds to a list what the successor's take_over needs. online_since stays as it is.
  void annotate(EndpointList& list) const;
  /// What comes next is another discovery's list, and may name others than the last one.
  void change_source() { source_changed_ = true; }
  /// Endpoints whose start it knows: the listed ones, and kRemembered others at most.
  std::size_t known() const { return starts_.size(); }

 private:
  struct Start {
    double stated_ms = 0;   // names the start
    double earlier_ms = 0;  // the start before, which an old list may tell once more
    double started = 0;     // monotonic; 0: long ago
    std::uint64_t heard_in = 0;
    bool listed = true;
  };
  struct Bounds {
    double absent_until = -std::numeric_limits<double>::infinity();  // last heard of without the start
    double heard_at = 0;                                             // first heard of with it
  };
  double offset_of_stamps(const EndpointList& list, double heard_at, const ClockOffsets& offsets);
  double judge(const std::string& name, double stated_ms, const Bounds& bounds, double offset);
  double inside(double stated, const Bounds& bounds);
  double absent_until(const EndpointList& list) const;
  void unlist_missing();
  void forget_oldest();
  void unlist(const std::string& name, Start& start);

  std::unordered_map<std::string, Start> starts_;
  std::deque<std::string> unlisted_;  // the oldest first
  std::uint64_t lists_ = 0;
  std::optional<double> heard_at_;     // discovery's last word
  std::optional<double> last_offset_;  // that stamps were read by
  bool doubted_ = false;               // the clocks were seen to disagree, or to be stepped
  bool source_changed_ = false;
};

}  // namespace puffinvane
