#include "src/policy/learned_state.h"

#include <algorithm>

namespace puffinvane {

namespace {

EndpointStatistics export_target(const AttemptTarget& target) {
  EndpointStatistics statistics;
  statistics.health = target.ejection.health;
  statistics.next_ejection_s = target.ejection.next_ejection_s;
  statistics.ejected_until_s = target.ejection.ejected_until;
  statistics.last_response_s = target.responses.last_response_at();
  statistics.recovery_limit = target.ejection.recovery_limit;
  statistics.samples = target.responses.samples();
  statistics.outage_started_s = target.ejection.outage_started_at;
  statistics.outage_durations_s = target.ejection.outage_durations_s;
  return statistics;
}

void import_target(AttemptTarget& target, const EndpointStatistics& statistics) {
  target.ejection.health = statistics.health;
  target.ejection.next_ejection_s = statistics.next_ejection_s;
  target.ejection.ejected_until = statistics.ejected_until_s;
  target.ejection.recovery_limit = statistics.recovery_limit;
  target.ejection.outage_started_at = statistics.outage_started_s;
  target.ejection.outage_durations_s = statistics.outage_durations_s;
  target.responses.restore(statistics.samples, statistics.last_response_s);
}

// Returns the number of request classes before the first whose name differs.
std::size_t import_classes(const LearnedStateTargets& targets, const LearnedState& state) {
  std::size_t class_count = std::min(state.classes.size(), targets.latencies.class_count());
  for (std::size_t class_index = 0; class_index < class_count; ++class_index) {
    const LearnedState::RequestClassState& imported = state.classes[class_index];
    if (imported.name != targets.deployment.request_classes[class_index].name) {
      return class_index;
    }
    if (!imported.latencies.empty()) {
      targets.latencies.restore(class_index, imported.latencies, imported.means);
    }
  }
  return class_count;
}

void import_endpoint(const LearnedStateTargets& targets, const LearnedState::EndpointState& imported,
                     std::size_t class_count, double now) {
  std::optional<EndpointIndex> index = targets.endpoints.find(imported.name);
  if (!index) {
    return;
  }
  Endpoint& endpoint = targets.endpoints[*index];
  // After a restart of the endpoint, what was learned before does not apply.
  bool is_same_process = imported.online_since_s == endpoint.online_since;
  if (!is_same_process || endpoint.health() == Health::Removed || imported.whole.health == Health::Removed) {
    return;
  }
  targets.endpoints.track(*index);
  endpoint.last_used_at = now;
  Health before = endpoint.health();
  import_target(endpoint.whole, imported.whole);
  targets.endpoints.on_health_changed(endpoint, before);
  std::size_t shared_count = std::min(class_count, imported.by_class.size());
  for (std::size_t class_index = 0; class_index < shared_count; ++class_index) {
    import_target(endpoint.by_class[class_index], imported.by_class[class_index]);
  }
}

}  // namespace

LearnedState export_state(const LearnedStateSources& sources, double started_at) {
  LearnedState state;
  state.lateness = sources.hedging.lateness();
  state.completion_rates = sources.completions.responses_by_tick();
  state.started_at_s = started_at;
  for (std::size_t class_index = 0; class_index < sources.latencies.class_count(); ++class_index) {
    state.classes.push_back({sources.deployment.request_classes[class_index].name,
                             sources.latencies.latencies(class_index), sources.latencies.means(class_index)});
  }
  for (EndpointIndex index : sources.endpoints.tracked()) {
    const Endpoint& endpoint = sources.endpoints[index];
    if (endpoint.health() == Health::Removed) {
      continue;
    }
    LearnedState::EndpointState exported{
        endpoint.name, endpoint.online_since, export_target(endpoint.whole), {}};
    for (const AttemptTarget& target : endpoint.by_class) {
      exported.by_class.push_back(export_target(target));
    }
    state.endpoints.push_back(std::move(exported));
  }
  return state;
}

void import_state(const LearnedStateTargets& targets, const LearnedState& state, double rate_share,
                  double now) {
  std::size_t class_count = import_classes(targets, state);
  for (const LearnedState::EndpointState& endpoint : state.endpoints) {
    import_endpoint(targets, endpoint, class_count, now);
  }
  if (!state.lateness.empty()) {
    targets.hedging.restore_lateness(state.lateness);
  }
  targets.completions.add_imported(state.completion_rates, rate_share);
}

}  // namespace puffinvane
