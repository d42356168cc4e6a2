// Clients in open loop: what comes is drawn ahead from the seed and does not wait for answers. Bad callers
// come beside them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tools/load_test/world/sidecar_client.h"

namespace load_test {

struct Arrival {
  double at = 0;
  int request_class = 0, tenant = 0;
  double work = 0;
  double leaves_after = 0;  // 0: waits for its answer
  double draw = 0;          // which sidecar it comes to, as a share of those that are up
};
std::vector<Arrival> draw_arrivals(const Scenario& scenario, std::uint64_t seed);
std::uint64_t print_of(const std::vector<Arrival>& arrivals,
                       const Scenario& scenario);  // tells schedules apart

// What became of a request, all its tries together.
struct Fate {
  enum class End { Delivered, Rejected, Failed, Unanswered, Left } end = End::Unanswered;
  double at = 0, took = 0;  // from its first try
  int request_class = 0, tenant = 0, tries = 0;
};

class Clients {
 public:
  using Notify = std::function<void(const Fate&)>;
  Clients(World& world, std::vector<Arrival> arrivals, Notify notify);
  ~Clients();
  void add_sidecar(const Address& address, int sidecar);
  void avoid(int sidecar, bool is);  // as their front sees it
  void begin();
  bool done() const { return next_ == arrivals_.size() && open_ == 0; }
  int bad_callers() const { return bad_; }
  int bad_unanswered() const { return bad_unanswered_; }  // got neither an error nor a close in time
  int bad_served() const { return bad_served_; }

 private:
  struct Request;
  class BadCaller;
  void arrive();
  void bad_arrives();
  void attempt(const std::shared_ptr<Request>& request);
  void answered(const std::shared_ptr<Request>& request, Caller::End end, const Message& answer);
  void conclude(const std::shared_ptr<Request>& request, Fate::End end);
  Caller* choose(double draw);

  World& world_;
  const std::vector<Arrival> arrivals_;
  Notify notify_;
  Chance chance_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::vector<Address> addresses_;
  std::vector<int> avoided_;
  std::size_t next_ = 0, open_ = 0;
  double began_ = 0;
  int bad_ = 0, bad_unanswered_ = 0, bad_served_ = 0;
  std::unordered_map<const BadCaller*, std::unique_ptr<BadCaller>> bad_callers_;
};

}  // namespace load_test
