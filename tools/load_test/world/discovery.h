// Discovery as one sidecar meets it: an agent on its own machine, told of changes late, now and then silent.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/load_test/loop/http.h"
#include "tools/load_test/world/run_context.h"

namespace load_test {

struct Listed {
  int endpoint = -1;  // its number in the run
  std::string name, address;
  int group = 0;
  Event::State state = Event::State::Ready;
  std::int64_t since_ms = 0;  // Unix time; 0: long ago
};

class Agent final : public Listener::Owner {
 public:
  Agent(World& world, int sidecar, const Address& at);
  ~Agent() override;

  void change(const Listed& entry);  // is told after a delay of its own
  void know(std::vector<Listed> entries);
  std::string known_json() const;  // what its sidecar starts with, and is told by it
  void notified_at_start();
  void silent(bool is);
  void late(double by) { late_ += by; }
  void old(bool is);
  void move(Address to, double old_closes_in);
  const Address& address() const { return listener_->address(); }

 private:
  class Link;
  void on_accepted(Listener& listener, int descriptor) override;
  void apply(const Listed& entry);
  void notify(Link& link, const std::vector<Listed>& entries, bool whole);
  std::vector<Listed> view() const;
  void let_go(Link& link);

  World& world_;
  const int sidecar_;
  std::unique_ptr<Listener> listener_;
  std::map<int, Listed> entries_;  // by endpoint
  std::vector<Listed> at_first_;
  std::vector<Listed> held_back_;  // while silent
  std::map<int, Event::State> notified_;
  int silent_ = 0, old_ = 0;
  double late_ = 0, notified_by_ = 0;
  std::int64_t index_ = 1;
  std::unordered_map<const Link*, std::unique_ptr<Link>> links_;
};

}  // namespace load_test
