// The address that each endpoint listens at. The policy knows endpoints by name only.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace puffinvane {

class EndpointAddresses {
 public:
  // Assigns `address` to `endpoint`. Returns the endpoints whose connections lead nowhere from now on: this
  // one if it had another address, and the previous holder of `address`. Two processes can't listen at one
  // address, so the previous holder is gone, whether or not discovery has reported that.
  std::vector<std::string> assign(const std::string& endpoint, const std::string& address) {
    std::vector<std::string> stale;
    if (const std::string* known = find(endpoint)) {
      if (*known == address) return stale;
      stale.push_back(endpoint);
    }
    if (const std::string* previous = endpoint_at(address)) stale.push_back(*previous);
    for (const std::string& name : stale) erase(name);
    by_name_[endpoint] = address;
    by_address_[address] = endpoint;
    return stale;
  }
  // The endpoint that holds `address`; null if none does.
  const std::string* endpoint_at(const std::string& address) const {
    auto found = by_address_.find(address);
    return found == by_address_.end() ? nullptr : &found->second;
  }
  std::vector<std::string> not_listed_in(const std::set<std::string>& listed) const {
    std::vector<std::string> missing;
    for (const auto& [name, address] : by_name_) {
      if (!listed.contains(name)) missing.push_back(name);
    }
    return missing;
  }
  // The address of `endpoint`; null if it has none.
  const std::string* find(const std::string& endpoint) const {
    auto found = by_name_.find(endpoint);
    return found == by_name_.end() ? nullptr : &found->second;
  }
  void erase(const std::string& endpoint) {
    auto found = by_name_.find(endpoint);
    if (found == by_name_.end()) return;
    by_address_.erase(found->second);
    by_name_.erase(found);
  }

 private:
  std::map<std::string, std::string> by_name_, by_address_;
};

}  // namespace puffinvane
