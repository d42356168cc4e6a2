#include <algorithm>
#include <cmath>

#include "tools/load_test/scenario/random_source.h"

namespace load_test {

namespace {

double rounded(double value) { return std::round(value * 100) / 100; }

// What an unlucky hour may hold, and how often it is drawn against the others.
struct Likely {
  Trouble kind;
  double weight;
  Span span;
  Span factor = {1, 1};
  Span share = {1, 1};
};

const std::vector<Likely>& likely() {
  static const std::vector<Likely> kLikely = {{Trouble::Slow, 3, {1, 4}, {3, 10}},
                                              {Trouble::Hang, 2, {1, 3}},
                                              {Trouble::Errors, 2, {1, 3}, {1, 1}, {0.2, 1}},
                                              {Trouble::Crash, 2, {0.5, 2}},
                                              {Trouble::Freeze, 2, {0.2, 1.5}},
                                              {Trouble::ResetIn, 1, {1, 3}, {1, 1}, {0.1, 0.6}},
                                              {Trouble::ResetOut, 1, {1, 3}, {1, 1}, {0.1, 0.6}},
                                              {Trouble::Refuse, 1, {1, 3}},
                                              {Trouble::Unreachable, 1, {1, 3}},
                                              {Trouble::Drop, 1, {1, 3}},
                                              {Trouble::Spoil, 1, {1, 3}, {1, 1}, {0.05, 0.4}},
                                              {Trouble::Burst, 2, {0.5, 2}, {1.5, 3}},
                                              {Trouble::SharedSlow, 1, {0.5, 2}, {1.5, 3}},
                                              {Trouble::Drain, 2, {0.8, 2}},
                                              {Trouble::Release, 1, {2, 4}},
                                              {Trouble::RestartTogether, 0.5, {0.3, 0.8}},
                                              {Trouble::ListSilent, 1, {1, 4}},
                                              {Trouble::ListLate, 1, {0.5, 2}},
                                              {Trouble::ListOld, 0.5, {1, 4}},
                                              {Trouble::SidecarTerm, 1, {0.2, 0.5}},
                                              {Trouble::SidecarKill, 1, {0.2, 1}},
                                              {Trouble::SidecarStop, 1, {0.1, 0.6}},
                                              {Trouble::SidecarHup, 1, {0.5, 1}}};
  return kLikely;
}

}  // namespace

Scenario draw_scenario(std::uint64_t seed) {
  Chance chance(seed, 77);
  Scenario made = default_scenario();
  made.name = "random-" + std::to_string(seed);
  made.length = 6;
  made.sidecars = 1 + chance.below(3);
  int tiers = 1 + chance.below(3);
  made.tiers.resize(std::size_t(tiers));
  double work_left = 0;
  for (TierPlan& tier : made.tiers) {
    tier.endpoints = 2 + chance.below(4);
    tier.speed = {rounded(0.5 + 0.3 * chance.uniform()), rounded(0.9 + 0.4 * chance.uniform())};
    tier.crowd = chance.happens(0.3) ? 6 : 0;
    tier.cancel_stops = chance.happens(0.7);
    tier.reports = chance.happens(0.8);
    work_left += tier.work_share;
  }
  // One tier alone does all of the work.
  for (TierPlan& tier : made.tiers) tier.work_share = rounded(tier.work_share / work_left);
  made.tiers.back().calls = 0;
  double narrowest = 1e9, mean_work = 0;
  for (const ClassPlan& request_class : made.request_classes)
    mean_work += request_class.share * (request_class.work.low + request_class.work.high) / 2;
  for (const TierPlan& tier : made.tiers)
    narrowest = std::min(narrowest, tier.endpoints * tier.cores * (tier.speed.low + tier.speed.high) / 2 /
                                        (tier.work_share * mean_work));
  made.clients.rate = std::min(160.0, std::round(narrowest * (0.25 + 0.45 * chance.uniform())));
  made.clients.retries = chance.below(3);
  made.clients.obeys = chance.happens(0.6);
  made.clients.heavy = rounded(0.05 * chance.uniform());
  made.clients.leaves = rounded(0.05 * chance.uniform());
  made.clients.bad_rate = chance.happens(0.25) ? 10 : 0;
  int troubles = 1 + chance.below(5);
  for (int i = 0; i < troubles; ++i) {
    const Likely& drawn = likely()[chance.pick(likely(), [](const Likely& one) { return one.weight; })];
    Fault fault;
    fault.kind = drawn.kind;
    fault.at = rounded(0.5 + 4 * chance.uniform());
    fault.span = rounded(chance.in(drawn.span));
    fault.factor = rounded(chance.in(drawn.factor));
    fault.share = rounded(chance.in(drawn.share));
    fault.bytes = chance.below(400);
    const TierPlan& tier = made.tiers[std::size_t(chance.below(tiers))];
    bool whole = drawn.kind == Trouble::SharedSlow || drawn.kind == Trouble::Release ||
                 drawn.kind == Trouble::RestartTogether;
    if (drawn.kind >= Trouble::ListSilent)
      fault.on = chance.happens(0.4) ? "*" : std::to_string(chance.below(made.sidecars));
    else if (drawn.kind != Trouble::Burst)
      fault.on = whole ? tier.name : tier.name + '/' + std::to_string(chance.below(tier.endpoints));
    made.faults.push_back(fault);
  }
  made.title = std::to_string(tiers) + " tiers, " + std::to_string(made.faults.size()) + " troubles, seed " +
               std::to_string(seed);
  check_scenario(made);
  return made;
}

}  // namespace load_test
