// A stand-in for discovery that serves a list of any length to one sidecar, sends changes, and counts the
// bytes sent.
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
  ListServer(EventLoop& loop, const Address& at, std::vector<Address> endpoints);
  ~ListServer() override;
  std::string full_list() const;  // the current list as JSON
  void replace_endpoint();        // replaces the next endpoint by a new one at the same address
  std::size_t bytes_sent() const { return bytes_sent_; }
  int full_list_count() const { return full_list_count_; }
  const Address& address() const { return listener_.address(); }

 private:
  class Session;
  struct Change {
    std::int64_t index;
    std::string entries;
  };
  void on_accepted(Listener& listener, int descriptor) override;
  void remove(const Session& session);
  std::string entry_json(std::size_t endpoint, const char* status) const;
  std::string list_json(bool snapshot, const std::string& entries) const;
  std::string list_after(std::int64_t after);

  EventLoop& loop_;
  std::vector<Address> endpoints_;
  std::vector<int> replacements_;  // by endpoint: how often it was replaced
  std::vector<std::int64_t> since_ms_;
  std::vector<Change> changes_;
  std::int64_t index_ = 1;
  std::size_t next_ = 0, bytes_sent_ = 0;
  int full_list_count_ = 0;
  std::unordered_map<const Session*, std::unique_ptr<Session>> sessions_;
  Listener listener_;
};

}  // namespace load_test
