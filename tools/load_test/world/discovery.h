// A stand-in for the discovery agent on a sidecar's machine: it delivers changes of the endpoint list with a
// delay and can be silent or out of date.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/load_test/loop/http.h"
#include "tools/load_test/world/run_context.h"

namespace load_test {

struct ListedEndpoint {
  int endpoint = -1;  // number of the endpoint in this run
  std::string name, address;
  int group = 0;
  Event::State state = Event::State::Ready;
  std::int64_t since_ms = 0;  // when it started, Unix time; 0: long ago
};

class DiscoveryAgent final : public Listener::Owner {
 public:
  DiscoveryAgent(RunContext& context, int sidecar, const Address& at);
  ~DiscoveryAgent() override;

  void change(const ListedEndpoint& entry);  // delivered after a random delay
  void set_initial_list(std::vector<ListedEndpoint> entries);
  std::string list_json() const;  // the current list, for the sidecar's configuration
  void report_initial_list();
  void set_silent(bool silent);
  void add_delay(double seconds) { extra_delay_ += seconds; }
  void set_stale(bool stale);
  void move_to(Address address, double close_old_after);
  const Address& address() const { return listener_->address(); }

 private:
  class Session;
  void on_accepted(Listener& listener, int descriptor) override;
  void apply(const ListedEndpoint& entry);
  void send_list(Session& session, const std::vector<ListedEndpoint>& entries, bool is_snapshot);
  std::vector<ListedEndpoint> current_list() const;
  void remove(Session& session);

  RunContext& context_;
  const int sidecar_;
  std::unique_ptr<Listener> listener_;
  std::map<int, ListedEndpoint> entries_;  // by endpoint
  std::vector<ListedEndpoint> initial_list_;
  std::vector<ListedEndpoint> withheld_;  // changes that wait until the silence ends
  std::map<int, Event::State> notified_;
  int silent_ = 0, stale_ = 0;
  double extra_delay_ = 0, last_delivery_ = 0;
  std::int64_t index_ = 1;
  std::unordered_map<const Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace load_test
