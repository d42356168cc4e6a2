#include <algorithm>
#include <cmath>

#include "tools/load_test/scenario/random_source.h"

namespace load_test {

namespace {

double rounded(double value) { return std::round(value * 100) / 100; }

// A fault that a random scenario may contain, its relative frequency, and the ranges of its parameters.
struct FaultTemplate {
  FaultKind kind;
  double weight;
  Range duration;
  Range factor = {1, 1};
  Range share = {1, 1};
};

const std::vector<FaultTemplate>& fault_templates() {
  static const std::vector<FaultTemplate> kTemplates = {{FaultKind::Slow, 3, {1, 4}, {3, 10}},
                                                        {FaultKind::Hang, 2, {1, 3}},
                                                        {FaultKind::Errors, 2, {1, 3}, {1, 1}, {0.2, 1}},
                                                        {FaultKind::Crash, 2, {0.5, 2}},
                                                        {FaultKind::Freeze, 2, {0.2, 1.5}},
                                                        {FaultKind::ResetIn, 1, {1, 3}, {1, 1}, {0.1, 0.6}},
                                                        {FaultKind::ResetOut, 1, {1, 3}, {1, 1}, {0.1, 0.6}},
                                                        {FaultKind::Refuse, 1, {1, 3}},
                                                        {FaultKind::Unreachable, 1, {1, 3}},
                                                        {FaultKind::Drop, 1, {1, 3}},
                                                        {FaultKind::Spoil, 1, {1, 3}, {1, 1}, {0.05, 0.4}},
                                                        {FaultKind::Burst, 2, {0.5, 2}, {1.5, 3}},
                                                        {FaultKind::SharedSlow, 1, {0.5, 2}, {1.5, 3}},
                                                        {FaultKind::Drain, 2, {0.8, 2}},
                                                        {FaultKind::Release, 1, {2, 4}},
                                                        {FaultKind::RestartTogether, 0.5, {0.3, 0.8}},
                                                        {FaultKind::ListSilent, 1, {1, 4}},
                                                        {FaultKind::ListLate, 1, {0.5, 2}},
                                                        {FaultKind::ListOld, 0.5, {1, 4}},
                                                        {FaultKind::SidecarTerm, 1, {0.2, 0.5}},
                                                        {FaultKind::SidecarKill, 1, {0.2, 1}},
                                                        {FaultKind::SidecarStop, 1, {0.1, 0.6}},
                                                        {FaultKind::SidecarHup, 1, {0.5, 1}}};
  return kTemplates;
}

}  // namespace

Scenario generate_scenario(std::uint64_t seed) {
  RandomSource random(seed, 77);
  Scenario scenario = default_scenario();
  scenario.name = "random-" + std::to_string(seed);
  scenario.length = 6;
  scenario.sidecars = 1 + random.uniform_below(3);
  int tier_count = 1 + random.uniform_below(3);
  scenario.tiers.resize(std::size_t(tier_count));
  double total_work_share = 0;
  for (TierPlan& tier : scenario.tiers) {
    tier.endpoints = 2 + random.uniform_below(4);
    tier.speed = {rounded(0.5 + 0.3 * random.uniform()), rounded(0.9 + 0.4 * random.uniform())};
    tier.overload_depth = random.with_probability(0.3) ? 6 : 0;
    tier.cancel_frees_core = random.with_probability(0.7);
    tier.sends_load_reports = random.with_probability(0.8);
    total_work_share += tier.work_share;
  }
  // The work shares of the tiers add up to 1, whatever their number.
  for (TierPlan& tier : scenario.tiers) tier.work_share = rounded(tier.work_share / total_work_share);
  scenario.tiers.back().calls_per_request = 0;
  double lowest_capacity = 1e9, mean_work = 0;
  for (const ClassPlan& request_class : scenario.request_classes)
    mean_work += request_class.share * (request_class.work.low + request_class.work.high) / 2;
  for (const TierPlan& tier : scenario.tiers)
    lowest_capacity =
        std::min(lowest_capacity, tier.endpoints * tier.cores * (tier.speed.low + tier.speed.high) / 2 /
                                      (tier.work_share * mean_work));
  scenario.clients.rate = std::min(160.0, std::round(lowest_capacity * (0.25 + 0.45 * random.uniform())));
  scenario.clients.retries = random.uniform_below(3);
  scenario.clients.obeys_retry_after = random.with_probability(0.6);
  scenario.clients.heavy_share = rounded(0.05 * random.uniform());
  scenario.clients.leave_share = rounded(0.05 * random.uniform());
  scenario.clients.invalid_rate = random.with_probability(0.25) ? 10 : 0;
  int fault_count = 1 + random.uniform_below(5);
  for (int i = 0; i < fault_count; ++i) {
    const FaultTemplate& chosen = fault_templates()[random.weighted_index(
        fault_templates(), [](const FaultTemplate& entry) { return entry.weight; })];
    Fault fault;
    fault.kind = chosen.kind;
    fault.at = rounded(0.5 + 4 * random.uniform());
    fault.duration = rounded(random.uniform_in(chosen.duration));
    fault.factor = rounded(random.uniform_in(chosen.factor));
    fault.share = rounded(random.uniform_in(chosen.share));
    fault.reset_after_bytes = random.uniform_below(400);
    const TierPlan& tier = scenario.tiers[std::size_t(random.uniform_below(tier_count))];
    bool targets_tier = chosen.kind == FaultKind::SharedSlow || chosen.kind == FaultKind::Release ||
                        chosen.kind == FaultKind::RestartTogether;
    if (chosen.kind >= FaultKind::ListSilent)
      fault.target =
          random.with_probability(0.4) ? "*" : std::to_string(random.uniform_below(scenario.sidecars));
    else if (chosen.kind != FaultKind::Burst)
      fault.target =
          targets_tier ? tier.name : tier.name + '/' + std::to_string(random.uniform_below(tier.endpoints));
    scenario.faults.push_back(fault);
  }
  scenario.title = std::to_string(tier_count) + " tiers, " + std::to_string(scenario.faults.size()) +
                   " troubles, seed " + std::to_string(seed);
  check_scenario(scenario);
  return scenario;
}

}  // namespace load_test
