// What one process of a sidecar tells the next, word by word. No sockets here.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "puffinvane/learned.h"
#include "src/discovery/discovery.h"

namespace puffinvane {

struct OperatorOverrides {
  std::map<std::string, double, std::less<>> out;  // endpoints excluded, and since when
  std::optional<double> drains_since;
  friend bool operator==(const OperatorOverrides&, const OperatorOverrides&) = default;
};

// What a packet says; whatever it does not speak of is empty.
struct ControlMessage {
  enum class What { Listing, Overrides, Listener, Connection, Whole, Serving, Learned } what = What::Whole;
  EndpointList list;
  OperatorOverrides overrides;
  LearnedState learned;  // a part of it; empty where it can't be right
  bool asked = false;    // of a client: it has sent a whole request before
};

constexpr int kHandoverFormat = 1;

// Times are the system's monotonic clock, which both processes read, also those of endpoints' starts: a wall
// clock may be stepped between the two. What was stated of a start goes along as it was stated.
std::vector<std::string> write_listing(const EndpointList& list);
std::string write_overrides(const OperatorOverrides& overrides);
std::string write_listener();
std::string write_connection(bool asked);
std::string write_whole();
std::string write_serving();
// A packet of it, of the endpoints from `from` on, which it moves; all is told once that is their number.
std::string write_learned(const LearnedState& learned, std::size_t& from);
std::optional<ControlMessage> read_control_message(std::string_view packet);  // none: not to be understood

}  // namespace puffinvane
