// Idle connections by endpoint. The most recently used one is reused first, so that surplus connections stay
// idle until they are closed for their age.
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

  // Adds the connection as the most recently used one to its endpoint.
  void add(const std::string& endpoint, Owned connection, double idle_since) {
    by_endpoint_[endpoint].emplace_back(idle_since, std::move(connection));
  }
  // Takes the most recently used connection among those idle since `latest` or before.
  Owned take_most_recent(const std::string& endpoint,
                         double latest = std::numeric_limits<double>::infinity()) {
    auto found = by_endpoint_.find(endpoint);
    if (found == by_endpoint_.end()) return {};
    auto& list = found->second;
    auto match =
        std::find_if(list.rbegin(), list.rend(), [&](const auto& idle) { return idle.first <= latest; });
    return match == list.rend() ? Owned() : take_at(found, std::size_t(list.rend() - match) - 1);
  }
  Owned remove(const std::string& endpoint, const Connection& connection) {
    auto found = by_endpoint_.find(endpoint);
    if (found == by_endpoint_.end()) return {};
    auto& list = found->second;
    auto match = std::find_if(list.begin(), list.end(),
                              [&](const auto& idle) { return idle.second.get() == &connection; });
    return match == list.end() ? Owned() : take_at(found, std::size_t(match - list.begin()));
  }
  // Takes the connection that has been idle longest, over all endpoints, if that is since `latest` or before.
  Owned take_oldest(double latest) {
    auto oldest =
        std::min_element(by_endpoint_.begin(), by_endpoint_.end(), [](const auto& one, const auto& other) {
          return one.second.front().first < other.second.front().first;
        });
    if (oldest == by_endpoint_.end() || oldest->second.front().first > latest) return {};
    return take_at(oldest, 0);
  }
  // When the connection that has been idle longest became idle; infinity if there is none.
  double oldest_idle_since() const {
    double since = std::numeric_limits<double>::infinity();
    for (const auto& [endpoint, list] : by_endpoint_) since = std::min(since, list.front().first);
    return since;
  }
  std::size_t count(const std::string& endpoint) const {
    auto found = by_endpoint_.find(endpoint);
    return found == by_endpoint_.end() ? 0 : found->second.size();
  }

 private:
  using ByEndpoint = std::map<std::string, std::vector<std::pair<double, Owned>>>;
  Owned take_at(typename ByEndpoint::iterator list, std::size_t position) {
    Owned taken = std::move(list->second[position].second);
    list->second.erase(list->second.begin() + std::ptrdiff_t(position));
    if (list->second.empty()) by_endpoint_.erase(list);
    return taken;
  }
  // Each connection with the time since which it has been idle, in the order of adding: the first is taken to
  // have been idle longest. No list is empty.
  ByEndpoint by_endpoint_;
};

}  // namespace puffinvane
