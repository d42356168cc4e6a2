// The platform's sidecar: one pool, whose endpoints discovery lists, behind one listener.
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
                      Operations::Host,
                      AdminApi::Owner,
                      HotRestart::Owner,
                      fleet::Fleet::Owner {
 public:
  // takeover: from the process that it takes over from, if there is one.
  Sidecar(Loop& loop, SidecarConfig assignment, std::string assigned_in, PolicyFactory make,
          Takeover takeover = {});
  void start() override;

 private:
  void open_listeners();  // throws std::runtime_error
  void try_listeners();
  void on_serving() override;
  void reload_settings() override;
  DrainLimits drain_limits() const override;
  void on_draining(double deadline_s) override;
  void stop_listening() override { has_successor() ? listener_.let_go() : listener_.close(); }
  bool has_successor() const override { return hot_restart_ && hot_restart_->has_successor(); }
  void hand_over_connections() override;
  void end_connections_after_response() override { downstream_.close_after_responses(true); }
  void close_idle_downstream() override { downstream_.close_idle(); }
  bool is_drained() const override {
    return downstream_.empty() && listener_.shut() &&
           !(hot_restart_ && hot_restart_->is_sending_learned_state());
  }
  void on_stopped() override;
  void on_request(DownstreamConnection& downstream, HttpMessage request) override;

  bool knows(std::string_view endpoint) const override { return forwarder_.knows_endpoint(endpoint); }
  void stop(std::string_view endpoint) override;
  void use_again(std::string_view endpoint, double out_since) override;
  void last_answers(bool on) override { downstream_.close_after_responses(on); }
  bool ready() const override { return serving_; }
  std::string telemetry() const override;
  void on_override() override;
  std::string fleet() const override { return fleet_ ? fleet_->shown(part_) : ""; }
  void on_members() override { members_changed_ = true; }
  void look_at_shares();
  GSocket* listener_socket() override { return listener_.socket(); }
  EndpointList endpoint_list() const override;
  OperatorOverrides operator_overrides() const override {
    return {operations_.all_out(), operations_.drains_since()};
  }
  void on_operator_overrides(const OperatorOverrides& overrides) override;
  LearnedState learned_state() const override { return forwarder_.export_learned_state(); }
  void on_learned_state(const LearnedState& part) override { forwarder_.import_learned_state(part, 1); }
  void on_connection(Ref<GSocket> socket, ConnectionHistory history) override {
    downstream_.take_over(std::move(socket), history == ConnectionHistory::Used);
  }
  void on_peer_presence(PeerPresence presence) override {
    limiter_.share_limits(presence == PeerPresence::Present);
  }
  void look_at_drain();
  bool informed() const;

  SidecarConfig assignment_;
  const std::string assigned_in_;
  double started_ = 0;
  int unread_ = 0;  // tries in a row that its file could not be read for want of something here
  bool serving_ = false, leaving_ = false, looking_ = false, members_changed_ = false,
       has_predecessor_ = false;
  std::optional<fleet::Fleet::Part> part_;
  std::int64_t shared_list_ = -1;  // the list that its part was cut from
  Differences differences_;
  ConnectionLimiter limiter_;
  RequestForwarder forwarder_;
  DownstreamConnections downstream_;
  Listener listener_;
  EndpointStarts starts_;
  DiscoveryWatch watch_;
  Operations operations_;
  Takeover takeover_;
  std::optional<HotRestart> hot_restart_;  // none: with nobody to order it, nobody to follow it either
  std::optional<AdminApi> admin_;          // none: operators call nowhere
  std::optional<fleet::Fleet> fleet_;      // none: it shares nothing with other instances
  LifetimeToken alive_;
};

}  // namespace puffinvane
