// The subset of the listed endpoints that this instance sends to. The endpoints are ordered on consistent
// rings. Each ring is divided into sections of equal weight, one for each of its instances, and there are as
// many rings as instances are to share an endpoint. So an endpoint is used by a few instances only, which
// receive enough responses to judge it.
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

  // Updates the ring after changes of the endpoint list or of the instance count.
  void update_ring(EndpointTable& endpoints);
  // From now on the listed weights are this instance's shares of the endpoints, so every listed endpoint is
  // used: the ring has a single section.
  void on_instance_shares_known();
  // Recomputes the members: the endpoints in this instance's section of the ring. Where responses report
  // load, the section grows with `requests_per_s`, the rate at which this instance completes requests.
  void select_members(const EndpointTable& endpoints, double requests_per_s, double now);

  const std::vector<EndpointIndex>& members() const { return members_; }
  // All listed endpoints, in ring order.
  const std::vector<EndpointIndex>& ring() const { return ring_; }
  // The part of an endpoint's weight that belongs to this instance; 0 for endpoints outside of the subset.
  double own_weight(EndpointIndex index) const { return slots_.at_or_default(index).own_weight; }
  // How many instances share each endpoint; at least 1, as there are never more sections than instances.
  int sharing_instances() const { return deployment_.instance_count / section_count_; }

  void on_weight_changed() { ring_changed_ = true; }
  void on_endpoint_removed(EndpointIndex index);
  void on_slot_freed(EndpointIndex index) { slots_[index] = Slot(); }

 private:
  struct Slot {
    double own_weight = 0;
    std::uint64_t ring_order = 0;
    bool on_ring = false;
  };
  // A section of the ring; positions are cumulative weights.
  struct Section {
    double begin = 0;
    double end = 0;
  };

  void update_section_count(int listed);
  void insert_into_ring(const EndpointTable& endpoints, const std::set<EndpointIndex>& added);
  void update_ring_offsets(const EndpointTable& endpoints);
  Section own_section(double requests_per_s) const;

  const Deployment& deployment_;
  const SlowStart& slow_start_;
  PerEndpoint<Slot> slots_;
  std::vector<EndpointIndex> ring_;
  // Cumulative weights: where each endpoint of the ring begins, and at last where the ring ends.
  std::vector<double> ring_offsets_;
  std::vector<EndpointIndex> members_;
  std::uint64_t ring_seed_ = 0;  // instances with the same seed have the same ring
  int section_count_ = 1;        // target number of sections of each ring
  bool ring_changed_ = false;    // a weight changed or an endpoint was removed since the last update_ring
  bool weights_are_shares_ = false;
};

}  // namespace puffinvane
