#include "src/policy/endpoint_table.h"

#include <utility>

#include "src/policy/outlier_ejection.h"

namespace puffinvane {

std::optional<EndpointIndex> EndpointTable::find(std::string_view name) const {
  auto found = index_by_name_.find(name);
  if (found == index_by_name_.end()) {
    return std::nullopt;
  }
  return found->second;
}

Endpoint& EndpointTable::find_or_add(const std::string& name) {
  auto [found, is_new] = index_by_name_.try_emplace(name, EndpointIndex{endpoints_.size()});
  if (!is_new) {
    return (*this)[found->second];
  }
  if (free_slots_.empty()) {
    endpoints_.emplace_back();
  } else {
    found->second = *free_slots_.begin();
    free_slots_.erase(free_slots_.begin());
  }
  Endpoint& endpoint = (*this)[found->second];
  endpoint.name = name;
  endpoint.index = found->second;
  ++counts_[static_cast<std::size_t>(Health::Removed)];
  removed_.insert(endpoint.index);
  return endpoint;
}

int EndpointTable::listed_count() const {
  return count(Health::Healthy) + count(Health::Ejected) + count(Health::Recovering);
}

void EndpointTable::on_health_changed(const Endpoint& endpoint, Health before) {
  --counts_[static_cast<std::size_t>(before)];
  ++counts_[static_cast<std::size_t>(endpoint.health())];
  if (endpoint.health() == Health::Removed) {
    removed_.insert(endpoint.index);
  } else if (before == Health::Removed) {
    newly_listed_.insert(endpoint.index);
  }
}

EndpointTable::Update EndpointTable::update_from_list(Endpoint& endpoint, const ListEntry& entry) {
  Update update;
  update.weight_changed = endpoint.weight != entry.weight;
  update.restarted = endpoint.online_since != entry.online_since_s;
  endpoint.is_missing = false;
  endpoint.zone = entry.zone;
  endpoint.cell = entry.cell;
  endpoint.weight = entry.weight;
  endpoint.online_since = entry.online_since_s;
  if (update.restarted) {
    endpoint.whole.responses.clear_samples();
    for (AttemptTarget& target : endpoint.by_class) {
      target.responses.clear_samples();
    }
  }
  return update;
}

EndpointTable::Release EndpointTable::release_removed() {
  Release release;
  // An endpoint that was listed again is only dropped from removed_.
  for (auto next = removed_.begin(); next != removed_.end();) {
    const Endpoint& endpoint = (*this)[*next];
    bool is_removed = endpoint.health() == Health::Removed;
    bool is_free = is_removed && endpoint.whole.in_flight.empty();
    if (is_removed) {
      release.removed.push_back(*next);
    }
    if (is_free) {
      release.freed.push_back(*next);
      free_slot(*next);
    }
    next = is_free || !is_removed ? removed_.erase(next) : std::next(next);
  }
  return release;
}

void EndpointTable::free_slot(EndpointIndex index) {
  --counts_[static_cast<std::size_t>(Health::Removed)];
  index_by_name_.erase((*this)[index].name);
  tracked_.erase(index);
  newly_listed_.erase(index);
  free_slots_.insert(index);
  (*this)[index] = Endpoint();
}

std::set<EndpointIndex> EndpointTable::take_newly_listed() {
  std::set<EndpointIndex> taken;
  taken.swap(newly_listed_);
  return taken;
}

void EndpointTable::track(EndpointIndex index) {
  if (!tracked_.insert(index).second) {
    return;
  }
  Endpoint& endpoint = (*this)[index];
  bool is_removed = endpoint.health() == Health::Removed;
  AttemptTarget target;
  target.ejection.health = is_removed ? Health::Removed : Health::Healthy;
  target.ejection.next_ejection_s = OutlierEjection::kFirstEjectionSeconds;
  endpoint.by_class.assign(class_count_, target);
}

void EndpointTable::untrack(EndpointIndex index) {
  tracked_.erase(index);
  Endpoint& endpoint = (*this)[index];
  endpoint.by_class.clear();
  endpoint.whole = AttemptTarget();
  endpoint.whole.ejection.health = Health::Healthy;
  endpoint.whole.ejection.next_ejection_s = OutlierEjection::kFirstEjectionSeconds;
}

}  // namespace puffinvane
