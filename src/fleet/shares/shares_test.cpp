// The bounds of the cut, at every small size and by chance at large ones; what differing views do to it.
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

struct Side {
  std::vector<std::string> names;
  std::vector<double> sizes;
  std::vector<Participant> sharers(const std::set<int>& without = {}) const {
    std::vector<Participant> made;
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (!without.contains(int(i))) made.push_back({names[i], sizes[i]});
    }
    return made;
  }
};

Side side(const char* prefix, int count, pcg32& chance, double spread = 1) {
  Side made;
  for (int i = 0; i < count; ++i) {
    made.names.push_back(prefix + std::to_string(chance()) + "-" + std::to_string(i));
    made.sizes.push_back(1 + (spread - 1) * double(chance(1000)) / 1000);
  }
  return made;
}

using Named = std::set<std::pair<std::string_view, std::string_view>>;
Named named(const Assignment& assignment, const std::vector<Participant>& sidecars,
            const std::vector<Participant>& endpoints) {
  Named made;
  for (const Pair& one : assignment.pairs)
    made.insert({sidecars[std::size_t(one.sidecar)].name, endpoints[std::size_t(one.endpoint)].name});
  return made;
}

struct Worst {
  double uneven = 0, moved = 0, moved_pairs = 0;
  int uneven_n = 0, uneven_m = 0, moved_n = 0, moved_m = 0;
  double pairs_over = 0, moved_sum = 0;
  int looks = 0, over_two = 0;
};

// Fewest, loads and what one leave moves; a join is the same change seen the other way.
void look(int n, int m, pcg32& chance, double spread, Worst& worst) {
  Side ours = side("s", n, chance, spread), theirs = side("e", m, chance, spread);
  auto sidecars = ours.sharers(), endpoints = theirs.sharers();
  Assignment whole = assign_endpoints(sidecars, endpoints);
  std::map<int, int> of_endpoint, of_sidecar;
  std::map<int, double> brought;
  for (const Pair& one : whole.pairs) {
    assert(one.load > 0);
    ++of_endpoint[one.endpoint], ++of_sidecar[one.sidecar];
    brought[one.sidecar] += one.load;
  }
  for (int i = 0; i < m; ++i) assert(of_endpoint[i] >= std::min(n, kMinSidecarsPerEndpoint));
  for (int i = 0; i < n; ++i) assert(of_sidecar[i] >= std::min(m, kMinEndpointsPerSidecar));
  double all = 0;
  for (const Participant& one : sidecars) all += one.weight;
  for (int i = 0; i < n; ++i) assert(std::abs(brought[i] - sidecars[std::size_t(i)].weight / all) < 1e-9);
  if (whole.max_overload > worst.uneven)
    worst.uneven = whole.max_overload, worst.uneven_n = n, worst.uneven_m = m;
  worst.pairs_over = std::max(worst.pairs_over, double(whole.pairs.size()) / (4.0 * (n + m)));
  if (n < 2) return;
  auto fewer = ours.sharers({int(chance(std::uint32_t(n)))});
  Named before = named(whole, sidecars, endpoints),
        after = named(assign_endpoints(fewer, endpoints), fewer, endpoints);
  // The leaver's own pairs are gone with it: what moved is what others have now and had not.
  std::size_t moved = 0;
  for (const auto& pair : after) moved += !before.contains(pair);
  double part = double(moved) / double(before.size()) * n;
  worst.moved_sum += part, ++worst.looks, worst.over_two += part >= 2;
  if (part > worst.moved)
    worst.moved = part, worst.moved_pairs = double(moved), worst.moved_n = n, worst.moved_m = m;
}

void print(const char* what, const Worst& worst) {
  std::printf(
      "  %-34s worst load over due %.3f (%d x %d), one leave moves %.2f/n at the mean, at most %.2f/n (%d x "
      "%d: "
      "%.0f pairs), %d of %d over 2/n, pairs at most %.2f x 4(n+m)\n",
      what, worst.uneven, worst.uneven_n, worst.uneven_m, worst.moved_sum / std::max(1, worst.looks),
      worst.moved, worst.moved_n, worst.moved_m, worst.moved_pairs, worst.over_two, worst.looks,
      worst.pairs_over);
}

void each_bound_holds_at_small_sizes(int most) {
  pcg32 chance(1);
  Worst even, uneven;
  for (int n = 1; n <= most; ++n) {
    for (int m = 1; m <= most; ++m) look(n, m, chance, 1, even), look(n, m, chance, 2, uneven);
  }
  print("all sizes to the most, even", even);
  print("all sizes to the most, sizes 1 to 2", uneven);
  assert(even.uneven < 1.25 && uneven.uneven < 1.25);
}

void each_bound_holds_at_large_sizes(int turns) {
  pcg32 chance(2);
  Worst worst;
  for (int i = 0; i < turns; ++i)
    look(1 + int(chance(1000)), 1 + int(chance(1000)), chance, i % 2 ? 2 : 1, worst);
  print("drawn sizes to 1,000", worst);
  assert(worst.uneven < 1.25);
}

void all_who_hold_one_view_cut_alike() {
  pcg32 chance(3);
  Side ours = side("s", 50, chance, 2), theirs = side("e", 40, chance, 2);
  auto sidecars = ours.sharers(), endpoints = theirs.sharers();
  Assignment one = assign_endpoints(sidecars, endpoints), other = assign_endpoints(sidecars, endpoints);
  assert(named(one, sidecars, endpoints) == named(other, sidecars, endpoints));
}

// Each sidecar misses some others and counts some dead ones in, as chance has it: no endpoint is left alone,
// as long as fewer are falsely counted in than an endpoint has sidecars.
void views_that_differ_leave_no_endpoint_alone(int turns) {
  pcg32 chance(4);
  std::size_t alone = 0, endpoints_seen = 0, alone_beyond = 0;
  for (int turn = 0; turn < turns; ++turn) {
    int n = 5 + int(chance(40)), m = 1 + int(chance(40));
    Side ours = side("s", n, chance), theirs = side("e", m, chance);
    auto endpoints = theirs.sharers();
    int dead = int(chance(std::uint32_t(n - 1)));
    bool within = dead < kMinSidecarsPerEndpoint;
    std::set<std::string_view> covered;
    for (int me = dead; me < n; ++me) {
      std::set<int> missed;
      for (int other = 0; other < n; ++other) {
        if (other != me && chance(10) < 3) missed.insert(other);  // of dead ones: known to be dead
      }
      auto view = ours.sharers(missed);
      Assignment mine = assign_endpoints(view, endpoints);
      for (const Pair& one : mine.pairs) {
        if (view[std::size_t(one.sidecar)].name == ours.names[std::size_t(me)])
          covered.insert(endpoints[std::size_t(one.endpoint)].name);
      }
    }
    endpoints_seen += std::size_t(m);
    (within ? alone : alone_beyond) += std::size_t(m) - covered.size();
  }
  std::printf("  differing views: of %zu endpoints alone %zu with under %d dead counted in, %zu with more\n",
              endpoints_seen, alone, kMinSidecarsPerEndpoint, alone_beyond);
  assert(alone == 0);
}

// Over all sides of a cut, with members that come on either side during it, and settings that give too few.
void a_budget_is_never_spent_twice_across_a_cut(int turns) {
  pcg32 chance(5);
  double most = 0;
  for (int turn = 0; turn < turns; ++turn) {
    std::size_t sides = 1 + chance(4), given = 1 + chance(20);
    std::vector<std::size_t> members(sides), come(sides);
    std::size_t all = 0;
    for (std::size_t i = 0; i < sides; ++i) all += members[i] = 1 + chance(30), come[i] = chance(30);
    double spent = 0;
    for (std::size_t i = 0; i < sides; ++i) {
      std::size_t unheard = all - members[i];
      BudgetView old{members[i] + come[i], unheard, come[i], false, given}, fresh = old;
      fresh.newcomer = true;
      spent += double(members[i]) * budget_share(old) + double(come[i]) * budget_share(fresh);
    }
    most = std::max(most, spent);
  }
  std::printf("  budget over all sides of a cut, at most %.3f of the rule\n", most);
  assert(most < 1 + 1e-9);
  assert(budget_share({1, 0, 0, false, 40}) == 1.0 / 40);  // alone by its view, one of forty by the settings
}

void time_of_a_cut() {
  pcg32 chance(6);
  Side ours = side("s", 1000, chance, 2), theirs = side("e", 1000, chance, 2);
  auto sidecars = ours.sharers(), endpoints = theirs.sharers();
  auto from = std::chrono::steady_clock::now();
  assign_endpoints(sidecars, endpoints);
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::printf("  a cut of 1,000 sidecars and 1,000 endpoints takes %.1f ms\n", took.count() * 1e3);
}

}  // namespace

int main(int count, char** words) {
  int most = count > 1 ? std::atoi(words[1]) : 40;
  int turns = count > 2 ? std::atoi(words[2]) : 40;
  all_who_hold_one_view_cut_alike();
  each_bound_holds_at_small_sizes(most);
  each_bound_holds_at_large_sizes(turns);
  views_that_differ_leave_no_endpoint_alone(turns * 10);
  a_budget_is_never_spent_twice_across_a_cut(100000);
  time_of_a_cut();
  std::puts("shares: bounds hold");
}
