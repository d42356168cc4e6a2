// Where an endpoint listens, by its name; the module knows names only.
#pragma once

#include <map>
#include <string>

namespace puffinvane {

class Addresses {
 public:
  // True if the endpoint was known at another address: what is connected there is of no more use.
  bool note(const std::string& endpoint, const std::string& address) {
    auto [found, is_new] = by_name_.try_emplace(endpoint, address);
    if (is_new || found->second == address) return false;
    found->second = address;
    return true;
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
