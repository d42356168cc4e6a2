// Which endpoints exist, which of them are listed, and which have statistics. It holds no rule of ejection or
// selection.
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
    bool restarted = false;  // it has another start time
  };
  struct Release {
    std::vector<EndpointIndex> removed;  // no longer listed
    std::vector<EndpointIndex> freed;    // of those, slots without attempts in flight, which may be reused
  };

  explicit EndpointTable(std::size_t class_count) : class_count_(class_count) {}

  Endpoint& operator[](EndpointIndex index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const Endpoint& operator[](EndpointIndex index) const {
    return endpoints_[static_cast<std::size_t>(index)];
  }
  // All slots, free ones too: those have health Removed and no name.
  const std::vector<Endpoint>& slots() const { return endpoints_; }
  const NameIndex& by_name() const { return index_by_name_; }
  std::optional<EndpointIndex> find(std::string_view name) const;
  // Takes the lowest free slot for a name that is not known.
  Endpoint& find_or_add(const std::string& name);

  // Endpoints in `health`, and endpoints that are listed, in constant time.
  int count(Health health) const { return counts_[static_cast<std::size_t>(health)]; }
  int listed_count() const;
  // Has to be called after each change of an endpoint's health.
  void on_health_changed(const Endpoint& endpoint, Health before);

  // Takes over what a list says of an endpoint that is listed as ready.
  Update update_from_list(Endpoint& endpoint, const ListEntry& entry);
  // Frees what was removed and has no attempt in flight.
  Release release_removed();
  // Endpoints that were listed, or listed again, since the last call.
  std::set<EndpointIndex> take_relisted();

  // Endpoints with statistics: those that got attempts, or whose statistics were imported.
  const std::set<EndpointIndex>& tracked() const { return tracked_; }
  void track(EndpointIndex index);
  // Drops the statistics of a healthy endpoint that is not used; it counts as new.
  void untrack(EndpointIndex index);

 private:
  void free_slot(EndpointIndex index);

  std::size_t class_count_;
  std::vector<Endpoint> endpoints_;
  NameIndex index_by_name_;
  std::set<EndpointIndex> free_slots_;
  std::set<EndpointIndex> removed_;   // since the last release_removed
  std::set<EndpointIndex> relisted_;  // since the last take_relisted
  std::set<EndpointIndex> tracked_;
  std::array<int, 4> counts_{};  // by Health
};

}  // namespace puffinvane
