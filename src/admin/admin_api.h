// The admin API, with a listener, client limit and descriptors of its own: neither a flood at the main
// listener nor a client that keeps its connection open here delays an order.
#pragma once

#include <string>
#include <string_view>

#include "src/admin/override_controller.h"
#include "src/net/listener.h"
#include "src/proxy/downstream_connections.h"

namespace puffinvane {

class AdminApi final : DownstreamConnections::RequestHandler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // Whether the process accepts clients.
    virtual bool is_ready() const = 0;
    // All metrics, in the Prometheus exposition format.
    virtual std::string metrics() const = 0;
    // The order was accepted and carried out.
    virtual void on_override(const OperatorOrder& order) = 0;
    // The state of the fleet as JSON; empty if the process is not part of one.
    virtual std::string fleet_json() const { return {}; }
  };

  AdminApi(Loop& loop, ConnectionLimiter& limiter, OverrideController& overrides, Owner& owner);
  void open(std::string_view address) { listener_.open(address); }  // throws std::runtime_error
  bool is_closed() const { return listener_.is_closed(); }

 private:
  struct Call;
  static const Call kCalls[];
  void on_request(DownstreamConnection& downstream, HttpMessage request) override;
  void ready(DownstreamConnection& downstream, std::string_view body);
  void telemetry(DownstreamConnection& downstream, std::string_view body);
  void fleet(DownstreamConnection& downstream, std::string_view body);
  void exclude(DownstreamConnection& downstream, std::string_view body);
  void include(DownstreamConnection& downstream, std::string_view body);
  void evacuate(DownstreamConnection& downstream, std::string_view body);
  void rejoin(DownstreamConnection& downstream, std::string_view body);
  void respond(DownstreamConnection& downstream, int status, std::string_view text,
               std::string_view extra_headers = "");
  void give_order(DownstreamConnection& downstream, OperatorOrder::Action action, std::string_view endpoint);

  Loop& loop_;
  OverrideController& overrides_;
  Owner& owner_;
  DownstreamConnections downstream_;
  Listener listener_;
};

}  // namespace puffinvane
