// A stand-in for an endpoint with cores, a queue, a limit of connections, slow start, slowdown under
// overload, an idempotency window and injected faults. It reports every execution to the invariant checker.
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

// The idempotency keys that a group of endpoints has seen; all endpoints of the group share it.
class IdempotencyMemory {
 public:
  // True if the key was seen within the idempotency window; otherwise records it.
  bool check_and_record(const std::string& key, double now, double window);

 private:
  std::unordered_map<std::string, double> first_seen_;
  std::deque<std::pair<double, std::string>> expiry_order_;
};

// Faults that are active at the endpoint. Faults may overlap, so some are counted.
struct FaultState {
  double slow = 1;
  int hang = 0, frozen = 0, refusing = 0, unreachable = 0;
  double errors = 0, invalid_responses = 0, reset_in = 0, reset_out = 0;
  int reset_after_bytes = 0;
};

class Endpoint final : public Listener::Owner {
 public:
  struct Placement {
    int tier = 0, group = 0;
    std::vector<std::pair<int, Address>> listeners;  // one for each sidecar that sends to this endpoint
  };
  Endpoint(RunContext& context, Placement placement, int number, std::string name, double speed,
           IdempotencyMemory& memory, SidecarClient* next_tier);
  ~Endpoint() override;

  void start(bool slow_start);
  bool collapsed() const { return collapsed_; }  // overloaded during slow start; never starts again
  void crash();                                  // resets all connections
  void stop();                                   // stops listening and closes all connections
  void rename(int number, std::string name);     // a new machine takes over the addresses
  void update_faults(const std::function<void(FaultState&)>& update);
  void drop_connections();  // open connections stop reading and writing
  int number() const { return number_; }
  const std::string& name() const { return name_; }
  int group() const { return placement_.group; }
  const std::string& address_for(int sidecar) const { return addresses_.at(sidecar); }
  bool up() const { return up_; }
  double work_done() const { return work_done_; }
  std::uint64_t effects() const { return effects_; }
  std::size_t connections() const { return sessions_.size(); }
  std::size_t most_connections() const { return most_connections_; }

 private:
  class Session;
  struct Job;
  using JobPtr = std::shared_ptr<Job>;

  void on_accepted(Listener& listener, int descriptor) override;
  void handle_request(Session& session, const HttpMessage& incoming);
  void refuse(Session& session, const std::string& request, double work);
  void check_slow_start(double work);
  void start_queued_jobs();
  void start_work(const JobPtr& job);
  void finish_work(const JobPtr& job);
  void advance(const JobPtr& job);
  void call_next_tier(const JobPtr& job);
  void respond(const JobPtr& job, int status);
  void cancel_job(const JobPtr& job);
  void remove(Session& session);
  void report(Event::Kind kind, const Session& session, const std::string& request, double value = 0);
  void update_listeners();
  void run_maintenance();
  double current_speed();
  double slow_start_fraction() const;
  std::string load_report() const;
  const TierPlan& plan() const { return context_.scenario.tiers[std::size_t(placement_.tier)]; }

  RunContext& context_;
  const Placement placement_;
  int number_;
  std::string name_;
  const double speed_;
  IdempotencyMemory& memory_;
  SidecarClient* next_tier_;
  std::map<int, std::string> addresses_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<const Session*, std::unique_ptr<Session>> sessions_;
  std::deque<JobPtr> queue_;
  std::vector<JobPtr> frozen_jobs_;  // work that was due while the endpoint was frozen
  FaultState fault_state_;
  bool up_ = false;
  double started_ = -1e9, overloaded_since_ = -1, overload_until_ = 0;
  int busy_cores_ = 0, accepted_ = 0;
  std::uint64_t generation_ = 0, effects_ = 0;
  double work_done_ = 0, busy_ = 0, busy_since_ = 0;
  std::size_t most_connections_ = 0;
  EventLoop::Timer maintenance_timer_{};
  std::optional<SlowStartBudget> slow_start_;
  bool collapsed_ = false;
};

}  // namespace load_test
