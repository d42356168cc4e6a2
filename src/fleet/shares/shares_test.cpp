// Checks the bounds of the assignment at every small size and at random large ones, and what happens if
// sidecars know of different members.
#undef NDEBUG
#include "src/fleet/shares/shares.h"

#include <cassert>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <pcg_random.hpp>
#include <set>

using namespace puffinvane::fleet;

namespace {

struct Group {
  std::vector<std::string> names;
  std::vector<double> weights;
  std::vector<Participant> participants(const std::set<int>& without = {}) const {
    std::vector<Participant> result;
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (!without.contains(int(i))) result.push_back({names[i], weights[i]});
    }
    return result;
  }
};

Group random_group(const char* prefix, int count, pcg32& rng, double spread = 1) {
  Group group;
  for (int i = 0; i < count; ++i) {
    group.names.push_back(prefix + std::to_string(rng()) + "-" + std::to_string(i));
    group.weights.push_back(1 + (spread - 1) * double(rng(1000)) / 1000);
  }
  return group;
}

using NamedPairs = std::set<std::pair<std::string_view, std::string_view>>;
NamedPairs named_pairs(const Assignment& assignment, const std::vector<Participant>& sidecars,
                       const std::vector<Participant>& endpoints) {
  NamedPairs pairs;
  for (const Pair& one : assignment.pairs)
    pairs.insert({sidecars[std::size_t(one.sidecar)].name, endpoints[std::size_t(one.endpoint)].name});
  return pairs;
}

struct Worst {
  double overload = 0, moved = 0, moved_pairs = 0;
  int overload_n = 0, overload_m = 0, moved_n = 0, moved_m = 0;
  double pairs_over = 0, moved_sum = 0;
  int checks = 0, over_two = 0;
};

// Checks the minimum numbers of partners, the loads, and how many pairs change if one sidecar leaves. A join
// is the same change in reverse.
void check_size(int n, int m, pcg32& rng, double spread, Worst& worst) {
  Group sidecar_group = random_group("s", n, rng, spread), endpoint_group = random_group("e", m, rng, spread);
  auto sidecars = sidecar_group.participants(), endpoints = endpoint_group.participants();
  Assignment assignment = assign_endpoints(sidecars, endpoints);
  std::map<int, int> of_endpoint, of_sidecar;
  std::map<int, double> sidecar_load;
  for (const Pair& one : assignment.pairs) {
    assert(one.load > 0);
    ++of_endpoint[one.endpoint];
    ++of_sidecar[one.sidecar];
    sidecar_load[one.sidecar] += one.load;
  }
  for (int i = 0; i < m; ++i) assert(of_endpoint[i] >= std::min(n, kMinSidecarsPerEndpoint));
  for (int i = 0; i < n; ++i) assert(of_sidecar[i] >= std::min(m, kMinEndpointsPerSidecar));
  double total = 0;
  for (const Participant& one : sidecars) total += one.weight;
  for (int i = 0; i < n; ++i)
    assert(std::abs(sidecar_load[i] - sidecars[std::size_t(i)].weight / total) < 1e-9);
  if (assignment.max_overload > worst.overload) {
    worst.overload = assignment.max_overload;
    worst.overload_n = n;
    worst.overload_m = m;
  }
  worst.pairs_over = std::max(worst.pairs_over, double(assignment.pairs.size()) / (4.0 * (n + m)));
  if (n < 2) return;
  auto fewer = sidecar_group.participants({int(rng(std::uint32_t(n)))});
  NamedPairs before = named_pairs(assignment, sidecars, endpoints),
             after = named_pairs(assign_endpoints(fewer, endpoints), fewer, endpoints);
  // The pairs of the sidecar that left don't count: only those that others have now and did not have before.
  std::size_t moved = 0;
  for (const auto& pair : after) moved += !before.contains(pair);
  double part = double(moved) / double(before.size()) * n;
  worst.moved_sum += part;
  ++worst.checks;
  worst.over_two += part >= 2;
  if (part > worst.moved) {
    worst.moved = part;
    worst.moved_pairs = double(moved);
    worst.moved_n = n;
    worst.moved_m = m;
  }
}

void print(const char* what, const Worst& worst) {
  std::printf(
      "  %-34s worst overload %.3f (%d x %d), a leave moves %.2f/n at the mean, at most %.2f/n (%d x "
      "%d: "
      "%.0f pairs), %d of %d over 2/n, pairs at most %.2f x 4(n+m)\n",
      what, worst.overload, worst.overload_n, worst.overload_m, worst.moved_sum / std::max(1, worst.checks),
      worst.moved, worst.moved_n, worst.moved_m, worst.moved_pairs, worst.over_two, worst.checks,
      worst.pairs_over);
}

void bounds_hold_at_small_sizes(int max_size) {
  pcg32 rng(1);
  Worst even, uneven;
  for (int n = 1; n <= max_size; ++n) {
    for (int m = 1; m <= max_size; ++m) {
      check_size(n, m, rng, 1, even);
      check_size(n, m, rng, 2, uneven);
    }
  }
  print("all sizes, equal weights", even);
  print("all sizes, weights 1 to 2", uneven);
  assert(even.overload < 1.25 && uneven.overload < 1.25);
}

void bounds_hold_at_large_sizes(int rounds) {
  pcg32 rng(2);
  Worst worst;
  for (int i = 0; i < rounds; ++i)
    check_size(1 + int(rng(1000)), 1 + int(rng(1000)), rng, i % 2 ? 2 : 1, worst);
  print("random sizes to 1,000", worst);
  assert(worst.overload < 1.25);
}

void equal_views_give_equal_assignments() {
  pcg32 rng(3);
  Group sidecar_group = random_group("s", 50, rng, 2), endpoint_group = random_group("e", 40, rng, 2);
  auto sidecars = sidecar_group.participants(), endpoints = endpoint_group.participants();
  Assignment one = assign_endpoints(sidecars, endpoints), other = assign_endpoints(sidecars, endpoints);
  assert(named_pairs(one, sidecars, endpoints) == named_pairs(other, sidecars, endpoints));
}

// Each sidecar misses a random set of others and still counts some dead ones as live. As long as these are
// fewer than the sidecars of an endpoint, every endpoint is used by at least one live sidecar.
void differing_views_leave_no_endpoint_unused(int rounds) {
  pcg32 rng(4);
  std::size_t unused = 0, endpoints_seen = 0, unused_beyond = 0;
  for (int round = 0; round < rounds; ++round) {
    int n = 5 + int(rng(40)), m = 1 + int(rng(40));
    Group sidecar_group = random_group("s", n, rng), endpoint_group = random_group("e", m, rng);
    auto endpoints = endpoint_group.participants();
    int dead = int(rng(std::uint32_t(n - 1)));
    bool within = dead < kMinSidecarsPerEndpoint;
    std::set<std::string_view> used;
    for (int self = dead; self < n; ++self) {
      std::set<int> missed;
      for (int other = 0; other < n; ++other) {
        if (other != self && rng(10) < 3) missed.insert(other);  // a missed dead one is known to be dead
      }
      auto view = sidecar_group.participants(missed);
      Assignment own = assign_endpoints(view, endpoints);
      for (const Pair& one : own.pairs) {
        if (view[std::size_t(one.sidecar)].name == sidecar_group.names[std::size_t(self)])
          used.insert(endpoints[std::size_t(one.endpoint)].name);
      }
    }
    endpoints_seen += std::size_t(m);
    (within ? unused : unused_beyond) += std::size_t(m) - used.size();
  }
  std::printf("  differing views: of %zu endpoints unused %zu with under %d dead counted in, %zu with more\n",
              endpoints_seen, unused, kMinSidecarsPerEndpoint, unused_beyond);
  assert(unused == 0);
}

// Sums the parts over all sides of a network partition. Members start on either side during it, and the
// settings may name too few members.
void a_budget_is_never_spent_twice_across_a_partition(int rounds) {
  pcg32 rng(5);
  double max_spent = 0;
  for (int round = 0; round < rounds; ++round) {
    std::size_t sides = 1 + rng(4), configured = 1 + rng(20);
    std::vector<std::size_t> members(sides), started(sides);
    std::size_t all = 0;
    for (std::size_t i = 0; i < sides; ++i) {
      all += members[i] = 1 + rng(30);
      started[i] = rng(30);
    }
    double spent = 0;
    for (std::size_t i = 0; i < sides; ++i) {
      std::size_t unreachable = all - members[i];
      BudgetView old{members[i] + started[i], unreachable, started[i], false, configured}, fresh = old;
      fresh.is_recently_started = true;
      spent += double(members[i]) * budget_share(old) + double(started[i]) * budget_share(fresh);
    }
    max_spent = std::max(max_spent, spent);
  }
  std::printf("  budget over all sides of a partition, at most %.3f of the whole\n", max_spent);
  assert(max_spent < 1 + 1e-9);
  assert(budget_share({1, 0, 0, false, 40}) == 1.0 / 40);  // sees nobody else, but the settings say 40
}

void time_of_an_assignment() {
  pcg32 rng(6);
  Group sidecar_group = random_group("s", 1000, rng, 2), endpoint_group = random_group("e", 1000, rng, 2);
  auto sidecars = sidecar_group.participants(), endpoints = endpoint_group.participants();
  auto started_at = std::chrono::steady_clock::now();
  assign_endpoints(sidecars, endpoints);
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - started_at;
  std::printf("  an assignment of 1,000 sidecars and 1,000 endpoints takes %.1f ms\n", took.count() * 1e3);
}

}  // namespace

int main(int argc, char** argv) {
  int max_size = argc > 1 ? std::atoi(argv[1]) : 40;
  int rounds = argc > 2 ? std::atoi(argv[2]) : 40;
  equal_views_give_equal_assignments();
  bounds_hold_at_small_sizes(max_size);
  bounds_hold_at_large_sizes(rounds);
  differing_views_leave_no_endpoint_unused(rounds * 10);
  a_budget_is_never_spent_twice_across_a_partition(100000);
  time_of_an_assignment();
  std::puts("shares: all tests passed");
}
