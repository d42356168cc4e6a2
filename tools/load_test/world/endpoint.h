// A stand-in endpoint: cores, a queue, a table of connections, slow starts, crowding, memory for tags, and
// whatever the scenario has go wrong with it. Every effect is seen by the invariant checker.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/load_test/invariants/slow_start.h"
#include "tools/load_test/world/sidecar_client.h"

namespace load_test {

// What a group of endpoints remembers of keyed requests, whoever of them ran one.
class TagMemory {
 public:
  bool seen(const std::string& key, double now, double memory);  // else it is remembered from now on
 private:
  std::unordered_map<std::string, double> first_;
  std::deque<std::pair<double, std::string>> order_;
};

// What the scenario has go wrong. Counts, as troubles overlap.
struct Condition {
  double slow = 1;
  int hang = 0, frozen = 0, refusing = 0, unreachable = 0;
  double errors = 0, spoil = 0, reset_in = 0, reset_out = 0;
  int bytes = 0;
};

class Endpoint final : public Listener::Owner {
 public:
  struct Place {
    int tier = 0, group = 0;
    std::vector<std::pair<int, Address>> listeners;  // one for each sidecar that may send here
  };
  Endpoint(World& world, Place place, int number, std::string name, double speed, TagMemory& memory,
           Caller* below);
  ~Endpoint() override;

  void start(bool fresh);
  bool fallen() const { return fallen_; }     // pushed over: stays down
  void crash();                               // resets everything
  void end();                                 // stops listening and ends its connections, in order
  void rename(int number, std::string name);  // a machine that replaces it, at its addresses
  void change(const std::function<void(Condition&)>& how);
  void drop_connections();  // those open go silent
  int number() const { return number_; }
  const std::string& name() const { return name_; }
  int group() const { return place_.group; }
  const std::string& address_for(int sidecar) const { return addresses_.at(sidecar); }
  bool up() const { return up_; }
  double work_done() const { return work_done_; }
  std::uint64_t effects() const { return effects_; }
  std::size_t connections() const { return links_.size(); }
  std::size_t most_connections() const { return most_connections_; }

 private:
  class Link;
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void on_accepted(Listener& listener, int descriptor) override;
  void take(Link& link, const Message& incoming);
  void turn_away(Link& link, const std::string& request, double work);
  void weigh(double work);
  void run_next();
  void work_on(const JobPtr& job);
  void piece_done(const JobPtr& job);
  void next_step(const JobPtr& job);
  void call_below(const JobPtr& job);
  void answer(const JobPtr& job, int status);
  void abandon(const JobPtr& job);
  void let_go(Link& link);
  void see(Event::Kind kind, const Link& link, const std::string& request, double figure = 0);
  void set_listeners();
  void sweep();
  double speed_now();
  double warmth() const;
  std::string report() const;
  const TierPlan& plan() const { return world_.scenario.tiers[std::size_t(place_.tier)]; }

  World& world_;
  const Place place_;
  int number_;
  std::string name_;
  const double speed_;
  TagMemory& memory_;
  Caller* below_;
  std::map<int, std::string> addresses_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<const Link*, std::unique_ptr<Link>> links_;
  std::deque<JobPtr> queue_;
  std::vector<JobPtr> held_;  // what fell due while it stood still
  Condition condition_;
  bool up_ = false;
  double started_ = -1e9, crowded_since_ = -1, slow_until_ = 0;
  int working_ = 0, in_hand_ = 0;
  std::uint64_t life_ = 0, effects_ = 0;
  double work_done_ = 0, busy_ = 0, busy_since_ = 0;
  std::size_t most_connections_ = 0;
  Loop::Timer sweep_{};
  std::optional<SlowStartBudget> slow_start_;
  bool fallen_ = false;
};

}  // namespace load_test
