#include "src/policy/subset.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/policy/hashing.h"

namespace puffinvane {

namespace {

constexpr int kMinSectionSize =
    4;  // minimum number of endpoints in a section, and of instances that share an endpoint
// The number of sections changes only if it would grow or shrink by more than these factors, as each change
// makes all instances open connections to other endpoints.
constexpr double kSectionCountGrowth = 1.25;
constexpr double kSectionCountShrinkage = 0.75;
// Where responses report load: the requests per second that an endpoint must receive for its samples to stay
// recent. The subset contains as many endpoints as receive this rate.
constexpr double kRequestsPerEndpointPerSecond = 2;

}  // namespace

// The section count is reset at once and not with the next list: the instance count may already have dropped
// below the old section count, and sharing_instances() must not become 0.
void Subset::on_instance_shares_known() {
  weights_are_shares_ = true;
  section_count_ = 1;
}

void Subset::update_ring(EndpointTable& endpoints) {
  update_section_count(endpoints.listed_count());
  std::set<EndpointIndex> added = endpoints.take_newly_listed();
  // The instances are spread evenly over the rings, which differ by their seed.
  int ring_number = deployment_.instance_index % sharing_instances() + 1;
  std::uint64_t seed = kHashMultiplier * std::uint64_t(ring_number);
  if (seed != ring_seed_) {
    ring_seed_ = seed;
    ring_.clear();
    for (const auto& [name, index] : endpoints.by_name()) {
      slots_[index].on_ring = false;
      added.insert(index);
    }
  }
  if (!ring_changed_ && added.empty()) {
    return;
  }
  ring_changed_ = false;
  insert_into_ring(endpoints, added);
  update_ring_offsets(endpoints);
}

void Subset::update_section_count(int listed) {
  int sections =
      weights_are_shares_ ? 1 : std::max(1, std::min(listed, deployment_.instance_count) / kMinSectionSize);
  if (sections > section_count_ * kSectionCountGrowth || sections < section_count_ * kSectionCountShrinkage) {
    section_count_ = sections;
  }
}

// Only the added endpoints are sorted and then merged into the ring, so that a small change of a long list is
// cheap.
void Subset::insert_into_ring(const EndpointTable& endpoints, const std::set<EndpointIndex>& added) {
  std::erase_if(ring_, [this](EndpointIndex index) { return !slots_[index].on_ring; });
  auto kept = std::ptrdiff_t(ring_.size());
  for (EndpointIndex index : added) {
    Slot& slot = slots_[index];
    if (endpoints[index].health() == Health::Removed || slot.on_ring) {
      continue;
    }
    slot.on_ring = true;
    slot.ring_order = hash_name(ring_seed_, endpoints[index].name);
    ring_.push_back(index);
  }
  auto precedes = [this](EndpointIndex left, EndpointIndex right) {
    return std::pair(slots_[left].ring_order, left) < std::pair(slots_[right].ring_order, right);
  };
  std::sort(ring_.begin() + kept, ring_.end(), precedes);
  std::inplace_merge(ring_.begin(), ring_.begin() + kept, ring_.end(), precedes);
}

void Subset::update_ring_offsets(const EndpointTable& endpoints) {
  double start = 0;
  ring_offsets_.clear();
  for (EndpointIndex index : ring_) {
    ring_offsets_.push_back(start);
    start += endpoints[index].weight;
  }
  ring_offsets_.push_back(start);
}

void Subset::on_endpoint_removed(EndpointIndex index) {
  if (slots_[index].on_ring) {
    slots_[index].on_ring = false;
    ring_changed_ = true;
  }
}

Subset::Section Subset::own_section(double requests_per_s) const {
  int rings = sharing_instances();
  int index = deployment_.instance_index;
  int sections = 1;
  if (section_count_ > 1) {
    sections = (deployment_.instance_count - index % rings + rings - 1) / rings;
  }
  double ring_weight = ring_offsets_.back();
  Section section;
  section.begin = ring_weight * (index / rings % sections) / sections;
  section.end = section.begin + ring_weight / sections;
  if (deployment_.responses_report_load) {
    // With key affinity every instance must be able to reach the endpoint that a key hashes to.
    double rate_share = requests_per_s / kRequestsPerEndpointPerSecond / double(ring_.size() + 1);
    double wanted_share = deployment_.has_key_affinity ? 1 : rate_share;
    section.end = section.begin + ring_weight * std::clamp(wanted_share, 1.0 / sections, 1.0);
  }
  return section;
}

void Subset::select_members(const EndpointTable& endpoints, double requests_per_s, double now) {
  for (EndpointIndex index : members_) {
    slots_[index].own_weight = 0;
  }
  members_.clear();
  if (ring_.empty()) {
    return;
  }
  Section section = own_section(requests_per_s);
  auto first_end = std::upper_bound(ring_offsets_.begin() + 1, ring_offsets_.end(), section.begin);
  std::size_t position = std::min(std::size_t(first_end - (ring_offsets_.begin() + 1)), ring_.size());
  double start = ring_offsets_[position];
  for (; position < 2 * ring_.size() && start < section.end && members_.size() < ring_.size(); ++position) {
    const Endpoint& endpoint = endpoints[ring_[position % ring_.size()]];
    double end = start + endpoint.weight;
    double part = std::min(end, section.end) - std::max(start, section.begin);
    start = end;
    if (part <= 0) {
      continue;
    }
    Slot& slot = slots_[endpoint.index];
    if (slot.own_weight == 0) {
      members_.push_back(endpoint.index);
    }
    slot.own_weight = part;
    // To replace an endpoint that is ejected or starting, the section is extended along the ring. Otherwise
    // the few remaining members would have to take its load.
    if (endpoint.health() == Health::Ejected || slow_start_.is_starting(endpoint, now)) {
      section.end += part;
    }
  }
}

}  // namespace puffinvane
