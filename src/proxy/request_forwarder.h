// Carries requests: tells the module what happens on the sockets and does what it asks. It decides nothing
// but which connection to use, reuse and close.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "puffinvane/policy.h"
#include "src/discovery/discovery_watch.h"
#include "src/proxy/connection_limiter.h"
#include "src/proxy/downstream_connection.h"
#include "src/proxy/endpoint_addresses.h"
#include "src/proxy/idle_connections.h"
#include "src/proxy/idle_reuse_history.h"
#include "src/proxy/pending_requests.h"
#include "src/proxy/request_counters.h"
#include "src/proxy/upstream_connection.h"

namespace puffinvane {

// Who makes the decisions: puffinvane's module, or a baseline.
using PolicyFactory =
    std::function<std::unique_ptr<Policy>(double now, Deployment deployment, std::uint64_t seed, Host& host)>;

// How a pool's endpoints are talked to.
struct ForwarderOptions {
  bool relay_any_status = false;  // they are servers like any other: their statuses reach the clients
  std::size_t max_body_bytes = HttpReader::kMaxBodyBytes;
  std::string pool_name;       // its name in the log; none: there is but one
  bool stream_bodies = false;  // longer bodies go on in parts
};

class RequestForwarder final : public Host,
                               public DownstreamConnection::RequestOwner,
                               public UpstreamConnection::Owner,
                               public DiscoveryWatch::Owner,
                               public ConnectionLimiter::ReclaimableConnections {
 public:
  RequestForwarder(Loop& loop, ConnectionLimiter& limiter, Deployment deployment, std::uint64_t seed,
                   PolicyFactory make, ForwarderOptions options = {});
  ~RequestForwarder() override;

  void load_cached_list(const EndpointList& known);  // the list as it was had last
  void begin_shutdown(double gone);  // no request has time beyond that, also none of those in hand
  // Takes no more requests and keeps no connection: those that stand idle, and later those that still carry a
  // attempt, go to its successors in turn. Once can_be_destroyed() it may be let go of: nothing calls it any
  // more.
  void retire(const std::vector<RequestForwarder*>& successors);
  bool can_be_destroyed() const;
  // What an earlier one's module has learned, and that share of its rates.
  void import_learned_state(const LearnedState& earlier, double share) {
    policy_->import_learned_state(loop_.now(), earlier, share);
  }
  LearnedState export_learned_state() const { return policy_->export_learned_state(); }
  const Deployment& deployment() const { return deployment_; }
  const RequestClass* find_class(std::string_view name) const;
  std::size_t index_of(const RequestClass& request_class) const {
    return std::size_t(&request_class - deployment_.request_classes.data());
  }
  const RequestCounters& counters() const { return counters_; }
  std::size_t active_request_count() const;  // requests taken and not ended
  std::size_t listed_endpoint_count() const { return listed_.size(); }
  EndpointList endpoint_list() const;                 // as it was had last
  std::int64_t list_index() const { return index_; }  // of the list
  // Its part of each endpoint, by who is there: its place among so many.
  void set_endpoint_shares(std::map<std::string, double, std::less<>> parts, int place, int sidecars);
  std::size_t avoided_endpoint_count() const;            // of those
  bool knows_endpoint(std::string_view endpoint) const;  // it is listed, or was lately
  // Nothing new to it, whatever the list says, until it is used again. out_since: when that was ordered.
  void exclude_endpoint(std::string_view endpoint);
  void include_endpoint(std::string_view endpoint, double out_since);
  // A request that ended at the listener for what was wrong with it, before any decision.
  void record_invalid_request(const RequestClass& request_class) {
    counters_.record_outcome(index_of(request_class), RequestOutcome::Failed);
  }

  bool has_pending_request(std::string_view id) const {
    return requests_.open(id);
  }  // a request with its client's id is in hand
  // prefix: of this forwarder's deployment. time_left: seconds that its client still waits.
  void forward(DownstreamConnection& downstream, HttpMessage message, const RequestClass& request_class,
               double time_left);

  void on_endpoint_list(const EndpointList& notified) override;

 private:
  void start_attempt(RequestId request, std::string_view endpoint, double attempt_deadline) override;
  void cancel_attempt(RequestId request, int number) override;
  void reject_request(RequestId request, double wait) override;
  void fail_request(RequestId request) override;
  void schedule_timer(double at, std::uint64_t token) override;
  bool client_left(RequestId request);
  double time_to_tell(const PendingRequest& request, const PendingAttempt& attempt) const;
  void not_sent(RequestId request, int number);
  void poll_endpoint_list() override {}  // the watch always stands
  void log(std::string_view text) override;

  void on_client_disconnected(RequestId request) override;
  BufferChain on_ready(UpstreamConnection& upstream) override;
  void on_body_part(RequestId request, BufferChain bytes, bool whole) override;
  void on_response_drained(RequestId request) override;
  BufferChain on_next(UpstreamConnection& upstream, bool& whole) override;
  void on_begun(UpstreamConnection& upstream, HttpMessage answer, std::optional<std::size_t> size) override;
  void look_at_relay(RequestId id);
  void on_more(UpstreamConnection& upstream, BufferChain bytes) override;
  void on_finished(UpstreamConnection& upstream, BufferChain bytes) override;
  void on_cut(UpstreamConnection& upstream) override;
  void on_sent() override { counters_.record_attempt(); }
  Outcome outcome_of(const HttpMessage& answer) const override;
  void on_attempt_ended(UpstreamConnection& upstream, Outcome outcome, HttpMessage answer) override;
  void on_risen(UpstreamConnection& upstream) override;
  void on_idle_end(UpstreamConnection& upstream) override;
  double oldest_idle_since() const override { return rising_.empty() ? idle_.oldest_idle_since() : 0; }
  void close_oldest_idle() override;

  void pass_on(std::unique_ptr<UpstreamConnection> idle, double since);
  std::unique_ptr<UpstreamConnection> take_kept(UpstreamConnection::AttemptId attempt,
                                                const std::string& endpoint);
  void conclude(RequestId id, int status, const HttpMessage* from, std::string_view more_headers,
                std::string_view text);
  DownstreamConnection* end_relay(RequestId id, RequestOutcome how);
  void keep_or_close(std::unique_ptr<UpstreamConnection> upstream);
  std::unique_ptr<UpstreamConnection> no_longer_busy(const UpstreamConnection& upstream);
  void out_of_patience(RequestId id);
  void ended(RequestId id, int number, Outcome outcome, HttpMessage* answer);
  void end_soon(RequestId id, int number, Outcome outcome);
  void out_of_time(RequestId id, int number);
  std::optional<Outcome> start(UpstreamConnection::AttemptId attempt,
                               const std::string& endpoint);  // why it could not
  std::unique_ptr<UpstreamConnection> open(const std::string& endpoint);
  void help(UpstreamConnection::AttemptId attempt);
  std::unique_ptr<UpstreamConnection> no_longer_rising(const UpstreamConnection& upstream);
  void drop_connections(const std::string& endpoint);
  void drop_rising(const std::string& endpoint);
  UpstreamConnection::AttemptId let_go(UpstreamConnection& upstream);
  void note_entries(const EndpointList& list, ListScope scope);
  EndpointList news(const EndpointList& list) const;
  void add_left_out(const EndpointList& whole, EndpointList& changes) const;
  double latest_start(const ListEntry& entry) const;
  bool same_as_known(const ListEntry& entry, const std::string& address) const;
  struct ListedEndpoint : ListEntry {
    std::string address;
  };
  void note_listed(const ListEntry& entry, const std::string& address);
  void note_address(const ListedEndpoint& notified);
  void place(const ListedEndpoint& notified);
  void place_the_unplaced();
  void notify(const ListEntry& entry);
  ListEntry as_notified(ListEntry entry) const;
  void note_gone(const std::string& endpoint);
  void sweep();

  Loop& loop_;
  ConnectionLimiter& limiter_;
  const Deployment deployment_;
  const ForwarderOptions options_;
  struct Successor {
    RequestForwarder* forwarder;
    std::weak_ptr<int> alive;
  };
  std::optional<double> gone_, retired_;
  std::vector<Successor> successors_;
  std::size_t next_successor_ = 0;
  double last_request_ = 0;
  EndpointAddresses addresses_;
  std::map<std::string, ListedEndpoint, std::less<>> listed_;  // as discovery says
  std::set<std::string> unplaced_;                    // of those, with no address or one that is another's
  std::set<std::string, std::less<>> out_;            // by order
  std::map<std::string, double, std::less<>> parts_;  // none: the module deals by the numbers given
  std::deque<std::string> lately_;                    // listed no more
  std::int64_t index_ = 0;                            // of the list
  RequestCounters counters_;
  PendingRequests requests_;
  IdleConnections<UpstreamConnection> idle_;
  std::map<std::string, std::vector<std::unique_ptr<UpstreamConnection>>> rising_;  // by endpoint; none empty
  IdleReuseHistory kept_uses_;
  std::unordered_map<const UpstreamConnection*, std::unique_ptr<UpstreamConnection>> busy_;
  LifetimeToken alive_;
  std::unique_ptr<Policy> policy_;
};

}  // namespace puffinvane
