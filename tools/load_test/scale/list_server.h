// Discovery for one sidecar with a list of any length: it tells changes, and counts the bytes that it says.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/load_test/loop/connection.h"
#include "tools/load_test/loop/http.h"

namespace load_test {

class ListServer final : public Listener::Owner {
 public:
  ListServer(Loop& loop, const Address& at, std::vector<Address> endpoints);
  ~ListServer() override;
  std::string whole() const;  // the list as it is
  void replace_one();         // an endpoint by a new one at its address
  std::size_t bytes() const { return bytes_; }
  int whole_lists() const { return whole_lists_; }
  const Address& address() const { return listener_.address(); }

 private:
  class Link;
  struct Change {
    std::int64_t index;
    std::string entries;
  };
  void on_accepted(Listener& listener, int descriptor) override;
  void let_go(const Link& link);
  std::string entry(std::size_t endpoint, const char* status) const;
  std::string list(bool whole, const std::string& entries) const;
  std::string answer(std::int64_t after);

  Loop& loop_;
  std::vector<Address> endpoints_;
  std::vector<int> lives_;  // how many have been at each address
  std::vector<std::int64_t> since_ms_;
  std::vector<Change> changes_;
  std::int64_t index_ = 1;
  std::size_t next_ = 0, bytes_ = 0;
  int whole_lists_ = 0;
  std::unordered_map<const Link*, std::unique_ptr<Link>> links_;
  Listener listener_;
};

}  // namespace load_test
