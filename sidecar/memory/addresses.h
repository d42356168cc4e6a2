// Where an endpoint listens, by its name; the module knows names only.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace puffinvane {

class Addresses {
 public:
  // Returns the endpoints whose connections are of no more use: this one if it was known at another address,
  // and whoever had this address before. Two can't listen there, so that one is gone, told or not.
  std::vector<std::string> note(const std::string& endpoint, const std::string& address) {
    std::vector<std::string> stale;
    auto [found, is_new] = by_name_.try_emplace(endpoint, address);
    if (!is_new && found->second == address) return stale;
    for (auto& [name, at] : by_name_) {
      if ((name == endpoint) != (at == address)) stale.push_back(name);
    }
    found->second = address;
    for (const std::string& name : stale) {
      if (name != endpoint) by_name_.erase(name);
    }
    return stale;
  }
  std::vector<std::string> missing_from(const std::set<std::string>& listed) const {
    std::vector<std::string> missing;
    for (const auto& [name, address] : by_name_) {
      if (!listed.contains(name)) missing.push_back(name);
    }
    return missing;
  }
  const std::string* find(const std::string& endpoint) const {
    auto found = by_name_.find(endpoint);
    return found == by_name_.end() ? nullptr : &found->second;
  }
  void forget(const std::string& endpoint) { by_name_.erase(endpoint); }

 private:
  std::map<std::string, std::string> by_name_;
};

}  // namespace puffinvane
