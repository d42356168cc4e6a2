#include "src/fleet/shares/shares.h"

#include <xxhash.h>

#include <algorithm>

namespace puffinvane::fleet {

namespace {

constexpr int kRounds = 40;      // of scaling rows and columns in turn; most cuts are even after ten
constexpr double kEven = 1.02;   // then it stops
constexpr int kMostWider = 4;    // times that pairs are added where the few can't be made even
constexpr double kUneven = 1.2;  // under the bound of 1.25 that is promised

std::uint64_t mixed(std::uint64_t one, std::uint64_t other) {
  std::uint64_t bits = one ^ (other * 0x9e3779b97f4a7c15u);
  bits = (bits ^ bits >> 30) * 0xbf58476d1ce4e5b9u;
  bits = (bits ^ bits >> 27) * 0x94d049bb133111ebu;
  return bits ^ bits >> 31;
}

std::vector<std::uint64_t> hashes(std::span<const Participant> all, std::uint64_t seed) {
  std::vector<std::uint64_t> made;
  for (const Participant& one : all) made.push_back(XXH64(one.name.data(), one.name.size(), seed));
  return made;
}

double sum(std::span<const Participant> all) {
  double whole = 0;
  for (const Participant& one : all) whole += one.weight;
  return whole;
}

// Each sidecar's favourites among the endpoints and each endpoint's among the sidecars, by one score of the
// pair: whoever comes or goes changes only pairs of its own, and of those that it displaces.
class Favourites {
 public:
  Favourites(std::span<const Participant> sidecars, std::span<const Participant> endpoints)
      : rows_(hashes(sidecars, 1)), columns_(hashes(endpoints, 2)) {}

  std::vector<Pair> pairs(int of_endpoint, int of_sidecar) const {
    std::vector<Pair> all;
    pick(rows_, columns_, of_sidecar, [&](int row, int column) { all.push_back({row, column, 0}); });
    pick(columns_, rows_, of_endpoint, [&](int column, int row) { all.push_back({row, column, 0}); });
    auto key = [](const Pair& one) { return std::pair(one.sidecar, one.endpoint); };
    std::sort(all.begin(), all.end(),
              [&](const Pair& one, const Pair& other) { return key(one) < key(other); });
    all.erase(std::unique(all.begin(), all.end(),
                          [&](const Pair& one, const Pair& other) { return key(one) == key(other); }),
              all.end());
    return all;
  }

 private:
  template <typename Take>
  void pick(const std::vector<std::uint64_t>& from, const std::vector<std::uint64_t>& of, int count,
            Take take) const {
    std::vector<std::pair<std::uint64_t, int>> scored(of.size());
    auto most = std::min(of.size(), std::size_t(count));
    bool rows = &from == &rows_;
    for (std::size_t one = 0; one < from.size(); ++one) {
      for (std::size_t other = 0; other < of.size(); ++other)
        scored[other] = {rows ? mixed(from[one], of[other]) : mixed(of[other], from[one]), int(other)};
      std::nth_element(scored.begin(), scored.begin() + std::ptrdiff_t(most == of.size() ? most - 1 : most),
                       scored.end(), std::greater<>());
      for (std::size_t i = 0; i < most; ++i) take(int(one), scored[i].second);
    }
  }
  std::vector<std::uint64_t> rows_, columns_;
};

// Loads so that each sidecar brings what its size is and each endpoint gets what its is: rows and columns are
// scaled in turn (Sinkhorn's iteration). It ends with the sidecars exact, as what they bring is not theirs to
// choose, and returns how far the worst endpoint is over what it is due.
double even_out(std::vector<Pair>& pairs, std::span<const Participant> sidecars,
                std::span<const Participant> endpoints) {
  const double brought = sum(sidecars), due = sum(endpoints);
  std::vector<double> rows(sidecars.size()), columns(endpoints.size());
  for (Pair& one : pairs) one.load = 1;
  double worst = 1;
  for (int round = 0; round < kRounds; ++round) {
    std::fill(columns.begin(), columns.end(), 0);
    for (const Pair& one : pairs) columns[std::size_t(one.endpoint)] += one.load;
    for (Pair& one : pairs)
      one.load *= endpoints[std::size_t(one.endpoint)].weight / due / columns[std::size_t(one.endpoint)];
    std::fill(rows.begin(), rows.end(), 0);
    for (const Pair& one : pairs) rows[std::size_t(one.sidecar)] += one.load;
    for (Pair& one : pairs)
      one.load *= sidecars[std::size_t(one.sidecar)].weight / brought / rows[std::size_t(one.sidecar)];
    std::fill(columns.begin(), columns.end(), 0);
    for (const Pair& one : pairs) columns[std::size_t(one.endpoint)] += one.load;
    worst = 0;
    for (std::size_t i = 0; i < columns.size(); ++i)
      worst = std::max(worst, columns[i] / (endpoints[i].weight / due));
    if (worst < kEven) break;
  }
  return worst;
}

}  // namespace

Assignment assign_endpoints(std::span<const Participant> sidecars, std::span<const Participant> endpoints) {
  Assignment made;
  if (sidecars.empty() || endpoints.empty()) return made;
  Favourites favourites(sidecars, endpoints);
  for (int wider = 0; wider <= kMostWider; ++wider) {
    made.pairs = favourites.pairs(kMinSidecarsPerEndpoint << wider, kMinEndpointsPerSidecar << wider);
    made.max_overload = even_out(made.pairs, sidecars, endpoints);
    if (made.max_overload < kUneven) break;
  }
  return made;
}

double budget_share(const BudgetView& census) {
  // Who came while others are silent is unknown across the cut, if it is one: it has no part of what they
  // hold.
  if (census.unheard > 0 && census.newcomer) return 0;
  std::size_t old = census.live + census.unheard - (census.unheard > 0 ? census.newcomers : 0);
  return 1.0 / double(std::max({old, census.given, std::size_t{1}}));
}

}  // namespace puffinvane::fleet
