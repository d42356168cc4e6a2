// Carries visits: tells the module what happens on the sockets and does what it asks. It decides nothing but
// which connection to use, reuse and close.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "puffinvane/policy.h"
#include "sidecar/memory/addresses.h"
#include "sidecar/memory/idle.h"
#include "sidecar/memory/kept_uses.h"
#include "sidecar/memory/visits.h"
#include "sidecar/wire/backend.h"
#include "sidecar/wire/client.h"
#include "sidecar/wire/door.h"
#include "sidecar/wire/watch.h"

namespace puffinvane {

// Who makes the decisions: puffinvane's module, or a baseline.
using PolicyMaker = std::unique_ptr<Policy> (*)(double now, Deployment deployment, std::uint64_t seed,
                                                Host& host);

class Carrier final : public Host,
                      public Client::Owner,
                      public Backend::Owner,
                      public Watch::Owner,
                      public Door::Owner {
 public:
  Carrier(Loop& loop, Deployment deployment, std::uint64_t seed, std::size_t most_bytes, PolicyMaker make);
  ~Carrier() override;

  void know(const EndpointList& known);      // the list as it was had last
  void leave(double gone) { gone_ = gone; }  // no visit is given time beyond that
  void last_call() { last_call_ = true; }    // answers are the last on their connections from here on
  void close_idle_clients();
  bool empty() const { return clients_.empty(); }

  void on_list(const EndpointList& list) override;
  bool on_knock() override;
  void on_entered(Ref<GSocket> socket) override;

 private:
  void fetch(VisitId visit, std::string_view endpoint, double abandon_at) override;
  void cancel(VisitId visit, int number) override;
  void bounce(VisitId visit, double wait) override;
  void error(VisitId visit) override;
  void wake(double at, std::uint64_t token) override;
  void follow_list(bool) override {}  // the watch always stands
  void log(std::string_view text) override { loop_.log().info() << text; }

  void on_request(Client& client, HttpMessage request) override;
  void on_left(Client& client) override;
  Chain on_ready(Backend& backend) override;
  void on_fetched(Backend& backend, Outcome outcome, HttpMessage answer) override;
  void on_idle_end(Backend& backend) override;

  const PathPrefix* find_prefix(std::string_view name) const;
  std::unique_ptr<Backend> take_kept(Backend::Carried fetch, const std::string& endpoint);
  void take_visit(Client& client, HttpMessage request);
  void conclude(VisitId id, int status, const HttpMessage* from, std::string_view more_headers,
                std::string_view text);
  void ended(VisitId id, int number, Outcome outcome, const HttpMessage* answer);
  void end_soon(VisitId id, int number, Outcome outcome);
  void out_of_time(VisitId id, int number);
  bool start(Backend::Carried fetch, const std::string& endpoint);
  bool room_for_connection();
  bool drop_one_client();
  void drop_connections(const std::string& endpoint);
  Backend::Carried let_go(Backend& backend);
  void note_entries(const EndpointList& list, ListScope scope);
  void sweep();

  Loop& loop_;
  const Deployment deployment_;
  const std::size_t most_bytes_;
  std::optional<double> gone_;
  bool last_call_ = false;
  Addresses addresses_;
  Visits visits_;
  Idle<Backend> idle_;
  KeptUses kept_uses_;
  std::unordered_map<const Client*, std::unique_ptr<Client>> clients_;
  std::unordered_map<const Backend*, std::unique_ptr<Backend>> busy_;
  Alive alive_;
  std::unique_ptr<Policy> policy_;
};

}  // namespace puffinvane
