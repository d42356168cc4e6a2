// Forwards the requests of one pool: reports what happens on the connections to the policy and carries out
// what the policy asks for. Of its own it decides only which connections to use, reuse and close.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "puffinvane/policy.h"
#include "src/discovery/discovery_watch.h"
#include "src/proxy/abandoned_request_ids.h"
#include "src/proxy/connection_limiter.h"
#include "src/proxy/downstream_connection.h"
#include "src/proxy/endpoint_directory.h"
#include "src/proxy/idle_connections.h"
#include "src/proxy/idle_reuse_history.h"
#include "src/proxy/pending_requests.h"
#include "src/proxy/request_counters.h"
#include "src/proxy/upstream_connection.h"

namespace puffinvane {

// Makes the policy that decides: the product's own, or a baseline that it is compared with.
using PolicyFactory =
    std::function<std::unique_ptr<Policy>(double now, Deployment deployment, std::uint64_t seed, Host& host)>;

// How a pool's endpoints are talked to.
struct ForwarderOptions {
  // Endpoints are ordinary HTTP servers: clients get their status codes. Else a delivered response is sent on
  // as 200.
  bool relay_any_status = false;
  std::size_t max_body_bytes = HttpReader::kMaxBodyBytes;  // of a response
  std::string pool_name;                                   // for the log; empty if there is only one pool
  bool stream_bodies = false;                              // longer responses are relayed while they arrive
};

class RequestForwarder final : public Host,
                               public DownstreamConnection::RequestOwner,
                               public UpstreamConnection::Owner,
                               public DiscoveryWatch::Owner,
                               public EndpointDirectory::Owner,
                               public ConnectionLimiter::ReclaimableConnections {
 public:
  RequestForwarder(Loop& loop, ConnectionLimiter& limiter, Deployment deployment, std::uint64_t seed,
                   PolicyFactory make, ForwarderOptions options = {});
  ~RequestForwarder() override;

  // Uses a list that was kept from earlier, until discovery answers.
  void load_cached_list(const EndpointList& cached);
  // From now on every request has to end by `deadline`, those that are pending already included.
  void begin_shutdown(double deadline);
  // To be called once no more requests are forwarded to it. Distributes its idle connections over the
  // successors, and busy ones as soon as their attempts end.
  void retire(const std::vector<RequestForwarder*>& successors);
  bool can_be_destroyed() const;  // retired, with no request and no timer of a request left
  // Takes over what another forwarder's policy has learned. rate_share: the part of that one's requests that
  // comes here from now on.
  void import_learned_state(const LearnedState& earlier, double rate_share) {
    policy_->import_learned_state(loop_.now(), earlier, rate_share);
  }
  LearnedState export_learned_state() const { return policy_->export_learned_state(); }
  const Deployment& deployment() const { return deployment_; }
  const RequestClass* find_class(std::string_view name) const;
  // request_class: of this forwarder's deployment, here and below.
  std::size_t index_of(const RequestClass& request_class) const {
    return std::size_t(&request_class - deployment_.request_classes.data());
  }
  const RequestCounters& counters() const { return counters_; }
  std::size_t active_request_count() const;  // requests neither answered nor abandoned by their clients
  std::size_t listed_endpoint_count() const { return directory_.size(); }
  EndpointList endpoint_list() const { return directory_.snapshot(); }  // the endpoints listed now
  std::int64_t list_index() const { return directory_.index(); }
  // Sets this instance's share of each endpoint, which the policy takes for the endpoint's weight, and its
  // position among all instances.
  void set_endpoint_shares(std::map<std::string, double, std::less<>> shares, int instance_index,
                           int instance_count);
  // Listed endpoints that get no attempts.
  std::size_t avoided_endpoint_count() const;
  // Whether it is listed or was so recently.
  bool knows_endpoint(std::string_view endpoint) const { return directory_.knows(endpoint); }
  // Sends the endpoint no more attempts, whatever discovery lists, until include_endpoint is called.
  void exclude_endpoint(std::string_view endpoint) { directory_.exclude(endpoint); }
  // Undoes exclude_endpoint. Unless the endpoint is listed as started since `excluded_at`, it is taken to
  // start now and so gets a slow start.
  void include_endpoint(std::string_view endpoint, double excluded_at);
  // Counts a request that was refused as invalid and so is not forwarded.
  void record_invalid_request(const RequestClass& request_class) {
    counters_.record_outcome(index_of(request_class), RequestOutcome::Failed);
  }

  // Whether a request with this client-assigned id is pending, or its client has left and it may have run.
  bool is_id_in_use(std::string_view client_id);
  // Hashes of the ids of requests that were sent to endpoints and may still run.
  std::vector<std::uint64_t> sent_request_hashes() const;
  // Another process of this sidecar has sent these.
  void on_sent_elsewhere(const std::vector<std::uint64_t>& id_hashes);
  // Called with such a hash before an attempt is written.
  void set_sent_request_observer(std::function<void(std::uint64_t)> observer) {
    on_request_written_ = std::move(observer);
  }
  // Makes a pending request of it and tells the policy. remaining_time_s: for how long the client still
  // waits.
  void forward(DownstreamConnection& downstream, HttpMessage message, const RequestClass& request_class,
               double remaining_time_s);

  void on_endpoint_list(const EndpointList& list) override;

 private:
  static constexpr std::size_t kBodyPartBytes = 64 * 1024;  // of a body, written at a time
  static constexpr double kMaxUploadTime =
      1200;  // seconds: longer than any body takes at the lowest accepted rate

  struct Successor {
    RequestForwarder* forwarder;
    std::weak_ptr<int> alive;
  };

  // Host, called by the policy.
  void start_attempt(RequestId id, std::string_view endpoint, const AttemptLimits& limits) override;
  void cancel_attempt(RequestId id, int number) override;
  void reject_request(RequestId id, double retry_after_s) override;
  void fail_request(RequestId id) override;
  void schedule_timer(double due_at, std::uint64_t token) override;
  void schedule_request_timer(RequestId id, double due_at, std::uint64_t token) override;
  void poll_endpoint_list() override {}  // the discovery watch never stops
  void log(std::string_view text) override;

  // DownstreamConnection::RequestOwner
  void on_client_disconnected(RequestId id) override;
  void on_body_part(RequestId id, BufferChain bytes, bool whole) override;
  bool is_waiting_for_endpoint(RequestId id) const override;
  void on_body_arrival(RequestId id, std::optional<double> arrived_after) override;
  void on_response_drained(RequestId id) override;

  // UpstreamConnection::Owner
  UpstreamConnection::AttemptStart on_ready_to_send(UpstreamConnection& upstream) override;
  bool may_send_more(UpstreamConnection& upstream) override;
  BufferChain on_body_wanted(UpstreamConnection& upstream, bool& complete) override;
  void on_response_started(UpstreamConnection& upstream, HttpMessage response,
                           std::optional<std::size_t> length) override;
  void on_response_part(UpstreamConnection& upstream, BufferChain bytes) override;
  void on_response_finished(UpstreamConnection& upstream, BufferChain bytes) override;
  void on_response_aborted(UpstreamConnection& upstream) override;
  void on_request_sent() override { counters_.record_attempt(); }
  Outcome outcome_of(const HttpMessage& response) const override;
  void on_attempt_ended(UpstreamConnection& upstream, Outcome outcome, HttpMessage response) override;
  void on_spare_connected(UpstreamConnection& upstream) override;
  void on_unused_closed(UpstreamConnection& upstream) override;

  // EndpointDirectory::Owner
  void on_endpoint_unusable(const std::string& endpoint) override;
  void on_entries_changed(ListScope scope, std::span<const ListEntry> entries) override;

  // ConnectionLimiter::ReclaimableConnections. Spares are reclaimed before idle connections.
  double oldest_idle_since() const override { return spares_.empty() ? idle_.oldest_idle_since() : 0; }
  void close_oldest_idle() override;

  // Requests
  void remove_if_finished(RequestId id);
  void remember_if_it_may_have_run(const PendingRequest& request);
  bool has_client_left(RequestId id);
  bool client_may_have_left(RequestId id);
  double time_left_to_send(const PendingRequest& request, const PendingAttempt& attempt) const;
  void conclude(RequestId id, int status, const HttpMessage* from, std::string_view more_headers,
                std::string_view text);
  void check_relay(RequestId id);
  void reject_for_memory(DownstreamConnection& downstream, const HttpMessage& message,
                         const RequestClass& request_class);
  static bool has_begun_attempt(const PendingRequest& request);
  std::size_t max_waiting_body_bytes(const PendingRequest& request) const;
  std::size_t max_unsent_body_bytes(const PendingRequest& request) const;
  DownstreamConnection* end_relay(RequestId id, RequestOutcome outcome);
  void set_upload_deadline(RequestId id, double arrived_at);
  void on_upload_deadline(RequestId id);

  // Attempts. upstream_of: the connection that carries the attempt; null if none does any more. Both report
  // functions tell the policy, the second one on the next turn of the loop.
  UpstreamConnection* upstream_of(RequestId id, int number);
  bool is_in_time_to_send(const PendingAttempt& attempt) const;
  UpstreamConnection::SendPermission permission_to_begin(RequestId id, int number);
  bool must_look_for_close(const PendingRequest& request) const;
  void recheck_permission_later(RequestId id, int number);
  void end_unsent_attempt(RequestId id, int number);
  void end_unsent_attempt_soon(RequestId id, int number);
  void on_attempt_deadline(RequestId id, int number);
  void on_send_deadline(RequestId id, int number);
  void report_attempt_end(RequestId id, int number, Outcome outcome, HttpMessage* response);
  void report_attempt_end_soon(RequestId id, int number, Outcome outcome);

  // Connections
  std::optional<Outcome> send_attempt(UpstreamConnection::AttemptId attempt,
                                      const std::string& endpoint);  // returns why it could not
  std::unique_ptr<UpstreamConnection> open_connection(const std::string& endpoint);
  std::unique_ptr<UpstreamConnection> take_reusable(UpstreamConnection::AttemptId attempt,
                                                    const std::string& endpoint);
  void open_spare(UpstreamConnection::AttemptId attempt);
  std::unique_ptr<UpstreamConnection> take_busy(const UpstreamConnection& upstream);
  std::unique_ptr<UpstreamConnection> take_spare(const UpstreamConnection& upstream);
  bool leads_to_its_endpoint(const UpstreamConnection& upstream) const;
  void keep_or_close(std::unique_ptr<UpstreamConnection> upstream);
  void hand_to_successor(std::unique_ptr<UpstreamConnection> idle, double idle_since);
  void close_connections(const std::string& endpoint);
  void close_spares(const std::string& endpoint);
  UpstreamConnection::AttemptId detach_and_close(UpstreamConnection& upstream);
  void close_expired_idle();

  Loop& loop_;
  ConnectionLimiter& limiter_;
  const Deployment deployment_;
  const ForwarderOptions options_;
  std::optional<double> shutdown_deadline_, retired_at_;
  std::vector<Successor> successors_;
  std::size_t next_successor_ = 0;
  double last_request_at_ = 0;
  EndpointDirectory directory_;
  RequestCounters counters_;
  PendingRequests requests_;
  AbandonedRequestIds abandoned_ids_;
  std::function<void(std::uint64_t)> on_request_written_;  // empty: nobody wants to know
  IdleConnections<UpstreamConnection> idle_;
  // Connections being established without an attempt, by endpoint. No list is empty.
  std::map<std::string, std::vector<std::unique_ptr<UpstreamConnection>>> spares_;
  IdleReuseHistory idle_reuse_;
  // Connections that carry an attempt or are being established for one.
  std::unordered_map<const UpstreamConnection*, std::unique_ptr<UpstreamConnection>> busy_;
  LifetimeToken alive_;
  std::unique_ptr<Policy> policy_;
};

}  // namespace puffinvane
