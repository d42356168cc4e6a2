// Clients that send requests in open loop: the arrivals are generated in advance from the seed and do not
// depend on responses. Other clients send invalid requests.
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
  double leaves_after = 0;    // seconds after which the client cancels the request; 0: never
  double sidecar_choice = 0;  // which of the available sidecars gets the request, from 0 to 1
};
std::vector<Arrival> generate_arrivals(const Scenario& scenario, std::uint64_t seed);
// Identifies a schedule of arrivals and faults.
std::uint64_t schedule_hash(const std::vector<Arrival>& arrivals, const Scenario& scenario);

// The outcome of a request, over all its tries.
struct RequestOutcome {
  enum class End { Delivered, Rejected, Failed, Unanswered, Left } end = End::Unanswered;
  double at = 0, duration = 0;  // 'duration' counts from the time when the request was due
  int request_class = 0, tenant = 0, tries = 0;
};

class Clients {
 public:
  using OutcomeCallback = std::function<void(const RequestOutcome&)>;
  Clients(RunContext& context, std::vector<Arrival> arrivals, OutcomeCallback on_outcome);
  ~Clients();
  void add_sidecar(const Address& address, int sidecar);
  void set_avoided(int sidecar, bool avoided);  // as the clients' load balancer sees it
  void start();
  bool done() const { return next_ == arrivals_.size() && unfinished_ == 0; }
  int invalid_clients() const { return invalid_client_count_; }
  // Clients with invalid requests that got neither an error nor a close in time.
  int invalid_unanswered() const { return invalid_unanswered_; }
  int invalid_served() const { return invalid_served_; }

 private:
  struct Request;
  class InvalidClient;
  void start_due_requests();
  void start_invalid_client();
  void send_try(const std::shared_ptr<Request>& request);
  void handle_result(const std::shared_ptr<Request>& request, SidecarClient::Result result,
                     const HttpMessage& response);
  void conclude(const std::shared_ptr<Request>& request, RequestOutcome::End end);
  SidecarClient* choose_sidecar(double sidecar_choice);

  RunContext& context_;
  const std::vector<Arrival> arrivals_;
  OutcomeCallback on_outcome_;
  RandomSource random_;
  std::vector<std::unique_ptr<SidecarClient>> sidecar_clients_;
  std::vector<Address> addresses_;
  std::vector<int> avoided_;
  std::size_t next_ = 0, unfinished_ = 0;
  double start_ = 0;
  int invalid_client_count_ = 0, invalid_unanswered_ = 0, invalid_served_ = 0;
  std::unordered_map<const InvalidClient*, std::unique_ptr<InvalidClient>> invalid_clients_;
};

}  // namespace load_test
