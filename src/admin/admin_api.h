// Where operators call: a listener, clients and descriptors of its own, so that neither a flood at the other
// listener nor somebody who holds a connection here keeps an order waiting.
#pragma once

#include <string>
#include <string_view>

#include "src/admin/operations.h"
#include "src/net/listener.h"
#include "src/proxy/downstream_connections.h"

namespace puffinvane {

class AdminApi final : DownstreamConnections::RequestHandler {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual bool ready() const = 0;
    virtual std::string telemetry() const = 0;
    virtual void on_override() = 0;                   // one was obeyed
    virtual std::string fleet() const { return {}; }  // as JSON; empty: it is part of none
  };

  AdminApi(Loop& loop, ConnectionLimiter& limiter, Operations& operations, Owner& owner);
  void open(std::string_view address) { listener_.open(address); }  // throws std::runtime_error
  bool shut() const { return listener_.shut(); }

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
  void say(DownstreamConnection& downstream, int status, std::string_view text,
           std::string_view more_headers = "");
  void obeyed(DownstreamConnection& downstream, bool yes);

  Loop& loop_;
  Operations& operations_;
  Owner& owner_;
  DownstreamConnections downstream_;
  Listener listener_;
};

}  // namespace puffinvane
