// Connections that stand idle, by endpoint: the last used goes out first, so that the rest grow old and
// close.
#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace puffinvane {

template <typename Connection>
class IdleConnections {
 public:
  using Owned = std::unique_ptr<Connection>;

  void add(const std::string& endpoint, Owned connection, double now) {
    kept_[endpoint].emplace_back(now, std::move(connection));
  }
  // The last used, of those that have been idle since 'before' or longer.
  Owned take_most_recent(const std::string& endpoint,
                         double before = std::numeric_limits<double>::infinity()) {
    auto found = kept_.find(endpoint);
    if (found == kept_.end()) return {};
    auto& list = found->second;
    auto at =
        std::find_if(list.rbegin(), list.rend(), [&](const auto& kept) { return kept.first <= before; });
    return at == list.rend() ? Owned() : take_at(found, std::size_t(list.rend() - at) - 1);
  }
  Owned remove(const std::string& endpoint, const Connection& one) {
    auto found = kept_.find(endpoint);
    if (found == kept_.end()) return {};
    auto& list = found->second;
    auto at =
        std::find_if(list.begin(), list.end(), [&](const auto& kept) { return kept.second.get() == &one; });
    return at == list.end() ? Owned() : take_at(found, std::size_t(at - list.begin()));
  }
  // The longest idle of all, if it has been so since 'before' or longer.
  Owned take_oldest(double before) {
    auto oldest = std::min_element(kept_.begin(), kept_.end(), [](const auto& one, const auto& other) {
      return one.second.front().first < other.second.front().first;
    });
    if (oldest == kept_.end() || oldest->second.front().first > before) return {};
    return take_at(oldest, 0);
  }
  double oldest_idle_since()
      const {  // since when the longest idle of all has been so; infinite: there is none
    double since = std::numeric_limits<double>::infinity();
    for (const auto& [endpoint, list] : kept_) since = std::min(since, list.front().first);
    return since;
  }
  std::size_t count(const std::string& endpoint) const {
    auto found = kept_.find(endpoint);
    return found == kept_.end() ? 0 : found->second.size();
  }

 private:
  using Kept = std::map<std::string, std::vector<std::pair<double, Owned>>>;
  Owned take_at(typename Kept::iterator list, std::size_t place) {
    Owned taken = std::move(list->second[place].second);
    list->second.erase(list->second.begin() + std::ptrdiff_t(place));
    if (list->second.empty()) kept_.erase(list);
    return taken;
  }
  Kept kept_;  // each list by time, oldest first; none empty
};

}  // namespace puffinvane
