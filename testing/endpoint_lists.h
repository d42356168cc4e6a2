// Builders for endpoint lists as discovery states them. Discovery has its own clock, which is right.
#pragma once

#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "src/discovery/discovery.h"

namespace puffinvane::test {

// Unix time minus the monotonic clock, by the clock of discovery.
constexpr double kStatedClockOffsetSeconds = 1.7e9;

class EndpointBuilder {
 public:
  explicit EndpointBuilder(std::string name) { entry_.endpoint = std::move(name); }
  // On the monotonic clock. If it is not called, the list states no start time.
  EndpointBuilder& started_at(double started_at_s) {
    stated_start_ms_ = std::round((started_at_s + kStatedClockOffsetSeconds) * 1000);
    return *this;
  }
  EndpointBuilder& removed() {
    entry_.state = ListedState::Removed;
    return *this;
  }
  void add_to(EndpointList& list) const {
    list.entries.push_back(entry_);
    list.addresses.emplace_back("127.0.0.1:1");
    list.stated_start_ms.push_back(stated_start_ms_);
  }

 private:
  ListEntry entry_;
  double stated_start_ms_ = 0;
};

inline EndpointBuilder endpoint(std::string name) { return EndpointBuilder(std::move(name)); }

inline EndpointList changes_at(double received_at_s, const std::vector<EndpointBuilder>& endpoints) {
  EndpointList list;
  list.index = 1;
  list.received_at_s = received_at_s;
  for (const EndpointBuilder& endpoint : endpoints) endpoint.add_to(list);
  return list;
}

inline EndpointList snapshot_at(double received_at_s, const std::vector<EndpointBuilder>& endpoints) {
  EndpointList list = changes_at(received_at_s, endpoints);
  list.is_snapshot = true;
  return list;
}

}  // namespace puffinvane::test
