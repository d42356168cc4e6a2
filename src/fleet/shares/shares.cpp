#include "src/fleet/shares/shares.h"

#include <xxhash.h>

#include <algorithm>

namespace puffinvane::fleet {

namespace {

constexpr int kMaxRounds = 40;            // of Sinkhorn's iteration; most assignments need fewer than ten
constexpr double kTargetOverload = 1.02;  // the iteration stops below this
constexpr int kMaxDoublings = 4;  // of the number of pairs, while the load can't be balanced with them
constexpr double kAcceptedOverload = 1.2;  // below the documented bound of 1.25

// The score of a pair from the hashes of its names; the mixing steps are those of splitmix64.
std::uint64_t pair_score(std::uint64_t one, std::uint64_t other) {
  std::uint64_t bits = one ^ (other * 0x9e3779b97f4a7c15u);
  bits = (bits ^ bits >> 30) * 0xbf58476d1ce4e5b9u;
  bits = (bits ^ bits >> 27) * 0x94d049bb133111ebu;
  return bits ^ bits >> 31;
}

std::vector<std::uint64_t> hashes(std::span<const Participant> participants, std::uint64_t seed) {
  std::vector<std::uint64_t> result;
  for (const Participant& one : participants) result.push_back(XXH64(one.name.data(), one.name.size(), seed));
  return result;
}

double total_weight(std::span<const Participant> participants) {
  double total = 0;
  for (const Participant& one : participants) total += one.weight;
  return total;
}

// Rendezvous hashing: each pair of a sidecar and an endpoint has a score, and each side selects its
// highest-scored partners. A participant that joins or leaves changes only its own pairs and those that it
// displaces.
class PairSelector {
 public:
  PairSelector(std::span<const Participant> sidecars, std::span<const Participant> endpoints)
      : rows_(hashes(sidecars, 1)), columns_(hashes(endpoints, 2)) {}

  std::vector<Pair> pairs(int sidecars_per_endpoint, int endpoints_per_sidecar) const {
    std::vector<Pair> all;
    select(rows_, columns_, endpoints_per_sidecar, [&](int row, int column) {
      all.push_back({row, column, 0});
    });
    select(columns_, rows_, sidecars_per_endpoint, [&](int column, int row) {
      all.push_back({row, column, 0});
    });
    auto key = [](const Pair& one) { return std::pair(one.sidecar, one.endpoint); };
    std::sort(all.begin(), all.end(),
              [&](const Pair& one, const Pair& other) { return key(one) < key(other); });
    all.erase(std::unique(all.begin(), all.end(),
                          [&](const Pair& one, const Pair& other) { return key(one) == key(other); }),
              all.end());
    return all;
  }

 private:
  // Calls `add` for each of `from` with the `count` highest-scored of `partners`.
  template <typename Add>
  void select(const std::vector<std::uint64_t>& from, const std::vector<std::uint64_t>& partners, int count,
              Add add) const {
    std::vector<std::pair<std::uint64_t, int>> scored(partners.size());
    auto selected = std::min(partners.size(), std::size_t(count));
    bool from_rows = &from == &rows_;
    for (std::size_t one = 0; one < from.size(); ++one) {
      for (std::size_t other = 0; other < partners.size(); ++other)
        scored[other] = {
            from_rows ? pair_score(from[one], partners[other]) : pair_score(partners[other], from[one]),
            int(other)};
      std::nth_element(scored.begin(),
                       scored.begin() + std::ptrdiff_t(selected == partners.size() ? selected - 1 : selected),
                       scored.end(), std::greater<>());
      for (std::size_t i = 0; i < selected; ++i) add(int(one), scored[i].second);
    }
  }
  std::vector<std::uint64_t> rows_, columns_;  // hashes of the names of sidecars and of endpoints
};

// Sets the loads of the pairs so that the loads of each sidecar and of each endpoint add up to its weight, by
// scaling rows (sidecars) and columns (endpoints) in turn (Sinkhorn's iteration). The last step scales the
// sidecars: their sums are exact, as a sidecar can't choose the load that it gets from its clients. Returns
// the highest ratio of an endpoint's load to what its weight entitles it to.
double balance_loads(std::vector<Pair>& pairs, std::span<const Participant> sidecars,
                     std::span<const Participant> endpoints) {
  const double sidecar_weight = total_weight(sidecars), endpoint_weight = total_weight(endpoints);
  std::vector<double> rows(sidecars.size()), columns(endpoints.size());
  for (Pair& one : pairs) one.load = 1;
  double max_overload = 1;
  for (int round = 0; round < kMaxRounds; ++round) {
    std::fill(columns.begin(), columns.end(), 0);
    for (const Pair& one : pairs) columns[std::size_t(one.endpoint)] += one.load;
    for (Pair& one : pairs)
      one.load *=
          endpoints[std::size_t(one.endpoint)].weight / endpoint_weight / columns[std::size_t(one.endpoint)];
    std::fill(rows.begin(), rows.end(), 0);
    for (const Pair& one : pairs) rows[std::size_t(one.sidecar)] += one.load;
    for (Pair& one : pairs)
      one.load *= sidecars[std::size_t(one.sidecar)].weight / sidecar_weight / rows[std::size_t(one.sidecar)];
    std::fill(columns.begin(), columns.end(), 0);
    for (const Pair& one : pairs) columns[std::size_t(one.endpoint)] += one.load;
    max_overload = 0;
    for (std::size_t i = 0; i < columns.size(); ++i)
      max_overload = std::max(max_overload, columns[i] / (endpoints[i].weight / endpoint_weight));
    if (max_overload < kTargetOverload) break;
  }
  return max_overload;
}

}  // namespace

Assignment assign_endpoints(std::span<const Participant> sidecars, std::span<const Participant> endpoints) {
  Assignment assignment;
  if (sidecars.empty() || endpoints.empty()) return assignment;
  PairSelector selector(sidecars, endpoints);
  for (int doublings = 0; doublings <= kMaxDoublings; ++doublings) {
    assignment.pairs =
        selector.pairs(kMinSidecarsPerEndpoint << doublings, kMinEndpointsPerSidecar << doublings);
    assignment.max_overload = balance_loads(assignment.pairs, sidecars, endpoints);
    if (assignment.max_overload < kAcceptedOverload) break;
  }
  return assignment;
}

double budget_share(const BudgetView& view) {
  // If members became unreachable through a network partition, they don't know of members that started after
  // it, and go on dividing the budget among those that they know: the new ones get no part of it.
  if (view.unreachable > 0 && view.is_recently_started) return 0;
  std::size_t sharing = view.live + view.unreachable - (view.unreachable > 0 ? view.recently_started : 0);
  return 1.0 / double(std::max({sharing, view.configured, std::size_t{1}}));
}

}  // namespace puffinvane::fleet
