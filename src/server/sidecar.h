// The platform's sidecar: one listener and one pool, whose endpoints come from discovery.
#pragma once

#include <string>

#include "src/admin/admin_api.h"
#include "src/admin/shadow_policy.h"
#include "src/discovery/discovery_watch.h"
#include "src/hot_restart/hot_restart.h"
#include "src/hot_restart/takeover.h"
#include "src/proxy/downstream_connections.h"
#include "src/proxy/request_forwarder.h"
#include "src/server/lifecycle.h"
#include "src/server/sidecar_config.h"

namespace puffinvane {

class Sidecar final : public Lifecycle,
                      DownstreamConnections::RequestHandler,
                      OverrideController::Host,
                      AdminApi::Owner,
                      HotRestart::Owner,
                      fleet::Fleet::Owner {
 public:
  // config_path: the file to read again on a reload. takeover: what the predecessor handed over, if there is
  // one.
  Sidecar(Loop& loop, SidecarConfig config, std::string config_path, PolicyFactory make,
          Takeover takeover = {});
  void start() override;

 private:
  void open_listeners();  // throws std::runtime_error
  void try_listeners();
  void on_serving() override;
  void reload_settings() override;
  DrainLimits drain_limits() const override;
  void on_draining(double deadline_s) override;
  void stop_listening() override { has_successor() ? listener_.abandon() : listener_.close(); }
  bool has_successor() const override { return hot_restart_ && hot_restart_->has_successor(); }
  void hand_over_connections() override;
  void end_connections_after_response() override { downstream_.close_after_responses(true); }
  void close_idle_downstream() override { downstream_.close_idle(); }
  bool is_drained() const override {
    const bool is_handing_over =
        hot_restart_ && (hot_restart_->is_sending_learned_state() || hot_restart_->has_unsent_messages());
    return downstream_.empty() && listener_.is_closed() && !is_handing_over;
  }
  void on_stopped() override;
  void on_request(DownstreamConnection& downstream, HttpMessage request) override;

  bool knows_endpoint(std::string_view endpoint) const override {
    return forwarder_.knows_endpoint(endpoint);
  }
  void exclude_endpoint(std::string_view endpoint) override;
  void include_endpoint(std::string_view endpoint, double excluded_since) override;
  void set_last_responses(bool on) override { downstream_.close_after_responses(on); }
  bool is_ready() const override { return serving_; }
  std::string metrics() const override;
  void on_override(const OperatorOrder& order) override;
  std::string fleet_json() const override { return fleet_ ? fleet_->to_json(part_) : ""; }
  void on_members_changed() override { members_changed_ = true; }
  // Divides the listed endpoints among the members of the fleet; checks for changes at an interval.
  void update_endpoint_shares();
  GSocket* listener_socket() override { return listener_.socket(); }
  EndpointList endpoint_list() const override;
  OperatorOverrides operator_overrides() const override {
    return {overrides_.excluded_since(), overrides_.draining_since()};
  }
  void on_operator_overrides(const OperatorOverrides& overrides) override;
  void on_operator_order(const OperatorOrder& order) override;
  LearnedState learned_state() const override { return forwarder_.export_learned_state(); }
  void on_learned_state(const LearnedState& part) override { forwarder_.import_learned_state(part, 1); }
  void on_connection(Ref<GSocket> socket, ConnectionHistory history) override {
    downstream_.take_over(std::move(socket), history == ConnectionHistory::Used);
  }
  std::vector<std::uint64_t> sent_requests() const override { return forwarder_.sent_request_hashes(); }
  void on_sent_requests(const std::vector<std::uint64_t>& id_hashes) override {
    forwarder_.on_sent_elsewhere(id_hashes);
  }
  void on_peer_presence(PeerPresence presence) override {
    limiter_.share_limits(presence == PeerPresence::Present);
  }
  // Carries out the steps of a drain that an operator ordered; repeats itself while the drain lasts.
  void update_drain();
  bool has_current_list() const;

  SidecarConfig config_;
  const std::string config_path_;
  double started_ = 0;
  int failed_reads_ = 0;  // consecutive reloads that failed for lack of a local resource
  bool serving_ = false;
  bool draining_ = false;
  bool drain_update_scheduled_ = false;
  bool members_changed_ = false;  // since the endpoints were divided last
  bool has_predecessor_ = false;
  std::optional<fleet::Fleet::Share> part_;
  std::int64_t shared_list_index_ = -1;  // the endpoint list that part_ was computed from
  Differences differences_;
  ConnectionLimiter limiter_;
  RequestForwarder forwarder_;
  DownstreamConnections downstream_;
  Listener listener_;
  EndpointStartTimes starts_;
  DiscoveryWatch watch_;
  OverrideController overrides_;
  Takeover takeover_;
  std::optional<HotRestart> hot_restart_;  // none without an admin API: nobody could order a restart
  std::optional<AdminApi> admin_;          // none: no address is configured
  std::optional<fleet::Fleet> fleet_;      // none: this process is not part of a fleet
  LifetimeToken alive_;
};

}  // namespace puffinvane
