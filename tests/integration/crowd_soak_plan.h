// What one run of the soak test of crowds and restarts does, drawn from its seed.
#pragma once

#include <cstdint>
#include <iterator>
#include <vector>

#include "testing/crowd_plans.h"
#include "testing/soak_run.h"

namespace puffinvane::test {

// What happens to the process while clients go on.
enum class Episode {
  Kills,      // SIGKILL, a start a second later, and the same once more 0.4 s after that
  Reloads,    // SIGHUP several times
  Terminate,  // SIGTERM, again some time later, and SIGKILL at the earliest time that the platform allows
  Upgrade     // a successor, then SIGTERM and SIGKILL as above
};

inline const char* to_string(Episode episode) {
  switch (episode) {
    case Episode::Kills: return "kills";
    case Episode::Reloads: return "reloads";
    case Episode::Terminate: return "terminate";
    case Episode::Upgrade: return "upgrade";
  }
  return "unknown";
}

struct CrowdSoakPlan {
  int memory_mb = 32;  // the least that deployments give
  int descriptors = 1024;
  double client_timeout_s = 1;
  std::vector<CrowdClientPlan> crowd;
  std::vector<Episode> episodes;
};

inline CrowdSoakPlan draw_crowd_soak_plan(std::uint64_t seed) {
  constexpr CrowdClientPlan (*kKinds[])(int) = {many_fields_without_end,
                                                one_field_without_end,
                                                many_fields_and_half_a_body,
                                                many_fields_in_whole_requests,
                                                half_an_upload,
                                                half_a_large_upload,
                                                slow_upload,
                                                slow_reader,
                                                pipelined_requests};
  constexpr int kLeastDescriptors = 256;
  constexpr int kMostDescriptors = 1024;
  constexpr double kTimeouts[] = {0.75, 1.2, 2.0};
  constexpr int kEpisodes = 2;
  RandomDraw draw(seed);
  CrowdSoakPlan plan;
  plan.descriptors = draw.chance(0.5) ? kMostDescriptors : kLeastDescriptors;
  plan.client_timeout_s = kTimeouts[draw.below(std::size(kTimeouts))];
  // Clients may hold half of the descriptors; the sound ones need some of them.
  const int most_clients = plan.descriptors == kMostDescriptors ? 460 : 90;
  const int crowd_size = draw.chance(0.2) ? 0 : int(draw.uniform(0.3, 1) * most_clients);
  const bool is_of_one_kind = draw.chance(0.5);
  const int one_kind = draw.below(std::size(kKinds));
  for (int i = 0; i < crowd_size; ++i) {
    const int kind = is_of_one_kind ? one_kind : draw.below(std::size(kKinds));
    plan.crowd.push_back(kKinds[kind](i));
    plan.crowd.back().first_send_after_s = draw.uniform(0, 0.5);
  }
  for (int i = 0; i < kEpisodes; ++i) plan.episodes.push_back(Episode(draw.below(4)));
  return plan;
}

}  // namespace puffinvane::test
