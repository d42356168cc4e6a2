// What a run of drain_soak does, drawn from its seed, and the text that describes it.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "testing/agent_stand_in.h"
#include "testing/soak_run.h"

namespace puffinvane::test {

// The state that the change of the endpoint list meets. Isolated: the agent is silent, and has the change
// once it is no longer so. Restarted: the process starts with the list before the change.
enum class DrainSituation { Steady, AgentSilent, Restarted, Terminating, Isolated };

struct DrainSoakPlan {
  DrainSituation situation = DrainSituation::Steady;
  AgentStandIn::Delivery delivery = AgentStandIn::Delivery::Whole;
  // Of the first calls of the restarted process, else of the first calls after the change.
  std::vector<AgentStandIn::CallFault> call_faults;
  AgentStandIn::WatchAnswer watch_answer = AgentStandIn::WatchAnswer::Changes;
  bool is_removed = false;    // else it drains
  bool joined_later = false;  // the endpoint that changes is not in the first list
  double change_after_s = 0;  // after the restart, recovery or SIGTERM
  double silent_s = 0;
  double stall_s = 0;
  std::vector<double> reloads_s;  // times of SIGHUP after the change
  bool has_idle_crowd = false;
  bool has_long_lists = false;  // as long as those of some 250 endpoints
  double answer_delay_s = 0;    // of the agent
};

// Half of the runs have the agents that the platform has.
constexpr std::array kWatchAnswers = {AgentStandIn::WatchAnswer::Changes, AgentStandIn::WatchAnswer::Changes,
                                      AgentStandIn::WatchAnswer::WholeList,
                                      AgentStandIn::WatchAnswer::EachChange};

inline DrainSoakPlan random_drain_plan(std::uint64_t seed) {
  constexpr int kSituations = 5;
  constexpr int kDeliveries = 3;
  constexpr int kCallFaults = 7;
  constexpr int kMaxCallFaults = 3;
  constexpr double kMaxStallSeconds = 0.15;
  constexpr double kMaxAnswerDelaySeconds = 0.15;
  RandomDraw draw(seed);
  DrainSoakPlan plan;
  plan.situation = DrainSituation(draw.below(kSituations));
  plan.delivery = AgentStandIn::Delivery(draw.below(kDeliveries));
  plan.is_removed = draw.below(2) == 0;
  plan.joined_later = draw.below(2) == 0;
  plan.change_after_s = draw.uniform(0, 0.1);
  plan.silent_s = draw.uniform(0.3, 1.8);
  plan.stall_s = draw.below(3) == 0 ? draw.uniform(0.05, kMaxStallSeconds) : 0;
  for (int i = draw.below(4); i > 0; --i) plan.reloads_s.push_back(draw.uniform(0, 0.6));
  std::ranges::sort(plan.reloads_s);
  plan.has_idle_crowd = seed % 3 == 0;
  for (int i = 1 + draw.below(kMaxCallFaults); i > 0; --i) {
    plan.call_faults.push_back(AgentStandIn::CallFault(draw.below(kCallFaults)));
  }
  plan.watch_answer = kWatchAnswers[std::size_t(draw.below(int(kWatchAnswers.size())))];
  plan.has_long_lists = draw.below(4) == 0;
  const bool is_agent_slow = draw.below(5) == 0;
  if (is_agent_slow) {
    plan.answer_delay_s = draw.uniform(0.05, kMaxAnswerDelaySeconds);
    plan.call_faults.clear();  // a slow agent is a fault of each call
    plan.stall_s = 0;
  }
  return plan;
}

inline const char* name_of(DrainSituation situation) {
  constexpr const char* kNames[] = {"steady", "agent silent", "restarted", "terminating", "isolated"};
  return kNames[int(situation)];
}

inline const char* name_of(AgentStandIn::Delivery delivery) {
  constexpr const char* kNames[] = {"whole", "lost", "cut off"};
  return kNames[int(delivery)];
}

inline const char* name_of(AgentStandIn::CallFault fault) {
  constexpr const char* kNames[] = {"answered", "unanswered", "answered by a head", "reset",
                                    "stale",    "cut off",    "stale, then changed"};
  return kNames[int(fault)];
}

inline const char* name_of(AgentStandIn::WatchAnswer answer) {
  constexpr const char* kNames[] = {"changes", "whole lists", "each change"};
  return kNames[int(answer)];
}

inline std::string describe(const DrainSoakPlan& plan) {
  std::string faults;
  for (AgentStandIn::CallFault fault : plan.call_faults) {
    faults += (faults.empty() ? "" : ", ") + std::string(name_of(fault));
  }
  const bool is_silent =
      plan.situation == DrainSituation::AgentSilent || plan.situation == DrainSituation::Isolated;
  char times[160];
  std::snprintf(times, sizeof times,
                "after %.3f s, silent %.2f s, stall %.2f s, answers after %.2f s, %zu reloads",
                plan.change_after_s, is_silent ? plan.silent_s : 0, plan.stall_s, plan.answer_delay_s,
                plan.reloads_s.size());
  return std::string(name_of(plan.situation)) + ", change " + name_of(plan.delivery) + " " + times +
         ", calls (" + faults + "), watches begin with " + name_of(plan.watch_answer) +
         (plan.has_long_lists ? " (long)" : "") +
         (plan.joined_later ? ", joined later" : ", of the first list") +
         (plan.is_removed ? ", removed" : ", draining") + (plan.has_idle_crowd ? ", crowd" : "");
}

}  // namespace puffinvane::test
