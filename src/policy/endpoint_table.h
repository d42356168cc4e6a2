// The table of known endpoints: which are listed, and which have statistics. Ejection and selection are
// decided elsewhere.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/policy/endpoint.h"

namespace puffinvane {

class EndpointTable {
 public:
  using NameIndex = std::map<std::string, EndpointIndex, std::less<>>;

  struct Update {
    bool weight_changed = false;
    bool restarted = false;  // the start time differs from the one known before
  };
  struct Release {
    std::vector<EndpointIndex> removed;  // endpoints that are no longer listed
    std::vector<EndpointIndex> freed;    // those without attempts in flight, whose slots may be reused
  };

  explicit EndpointTable(std::size_t class_count) : class_count_(class_count) {}

  Endpoint& operator[](EndpointIndex index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const Endpoint& operator[](EndpointIndex index) const {
    return endpoints_[static_cast<std::size_t>(index)];
  }
  // All slots, including free ones, which have health Removed and an empty name.
  const std::vector<Endpoint>& slots() const { return endpoints_; }
  const NameIndex& by_name() const { return index_by_name_; }
  std::optional<EndpointIndex> find(std::string_view name) const;
  // Adds an endpoint with health Removed, in the lowest free slot, if the name is unknown.
  Endpoint& find_or_add(const std::string& name);

  // The number of endpoints with this health, and of all listed endpoints; both take constant time.
  int count(Health health) const { return counts_[static_cast<std::size_t>(health)]; }
  int listed_count() const;
  // Must be called after each change of an endpoint's health; `before` is the previous health.
  void on_health_changed(const Endpoint& endpoint, Health before);

  // Copies the fields of an endpoint that is listed as ready, and clears its samples if it has restarted.
  Update update_from_list(Endpoint& endpoint, const ListEntry& entry);
  // Frees the slots of removed endpoints that have no attempt in flight.
  Release release_removed();
  // Returns the endpoints that became listed since the last call.
  std::set<EndpointIndex> take_newly_listed();

  // Tracked endpoints have statistics: they received attempts, or their statistics were imported. An endpoint
  // that is not tracked is healthy or removed, as nothing is known that could have ejected it.
  const std::set<EndpointIndex>& tracked() const { return tracked_; }
  void track(EndpointIndex index);
  // Drops the statistics of a healthy, unused endpoint, which is then treated as new.
  void untrack(EndpointIndex index);

 private:
  void free_slot(EndpointIndex index);

  std::size_t class_count_;
  std::vector<Endpoint> endpoints_;
  NameIndex index_by_name_;
  std::set<EndpointIndex> free_slots_;
  std::set<EndpointIndex> removed_;       // removed endpoints whose slot is not free yet
  std::set<EndpointIndex> newly_listed_;  // since the last call of take_newly_listed
  std::set<EndpointIndex> tracked_;
  std::array<int, 4> counts_{};  // number of endpoints, indexed by Health
};

}  // namespace puffinvane
