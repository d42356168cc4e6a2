// Which endpoints this instance sends to: its part of a consistent ring of the list, so that each endpoint is
// shared by a few instances that know it well.
#pragma once

#include <cstdint>
#include <vector>

#include "src/policy/endpoint_table.h"
#include "src/policy/slow_start.h"

namespace puffinvane {

class Subset {
 public:
  Subset(const Deployment& deployment, const SlowStart& slow_start)
      : deployment_(deployment), slow_start_(slow_start) {}

  // Takes over changes of the list.
  void update_ring(EndpointTable& endpoints);
  // From now on listed weights are this instance's shares, so that the ring is not cut into parts.
  void on_instance_shares_known();
  // Selects this instance's part of the ring again. `requests_per_s` widens it where responses report load.
  void select_members(const EndpointTable& endpoints, double requests_per_s, double now);

  const std::vector<EndpointIndex>& members() const { return members_; }
  // All listed endpoints, in the order of the ring.
  const std::vector<EndpointIndex>& ring() const { return ring_; }
  // The part of an endpoint's weight that belongs to this instance; 0 outside of the subset.
  double own_weight(EndpointIndex index) const { return slots_.at_or_default(index).own_weight; }
  // How many instances share each endpoint: one at least, as there are no more parts than instances.
  int sharing_instances() const { return deployment_.instance_count / part_count_; }

  void on_weight_changed() { ring_changed_ = true; }
  void on_endpoint_removed(EndpointIndex index);
  void on_slot_freed(EndpointIndex index) { slots_[index] = Slot(); }

 private:
  struct Slot {
    double own_weight = 0;
    std::uint64_t ring_order = 0;
    bool on_ring = false;
  };
  // A section of the ring, by weight.
  struct Section {
    double begin = 0;
    double end = 0;
  };

  void update_part_count(int listed);
  void insert_into_ring(const EndpointTable& endpoints, const std::set<EndpointIndex>& added);
  void measure_ring(const EndpointTable& endpoints);
  Section own_section(double requests_per_s) const;

  const Deployment& deployment_;
  const SlowStart& slow_start_;
  PerEndpoint<Slot> slots_;
  std::vector<EndpointIndex> ring_;
  std::vector<double>
      ring_starts_;  // where each endpoint of the ring begins, by weight, and where the last one ends
  std::vector<EndpointIndex> members_;
  std::uint64_t ring_seed_ = 0;  // instances with the same seed share one ring
  int part_count_ = 1;
  bool ring_changed_ = false;
  bool weights_are_shares_ = false;
};

}  // namespace puffinvane
