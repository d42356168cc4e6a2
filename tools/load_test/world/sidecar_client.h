// Sends the requests of a client, or of an endpoint to its own sidecar, to one sidecar. Connections are
// reused and carry one request at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "tools/load_test/loop/http.h"
#include "tools/load_test/world/run_context.h"

namespace load_test {

struct OutgoingRequest {
  std::string request, request_class, target, tenant, key;
  bool safe = true, sends_remaining_time = true, is_retry = false;
  double client_timeout = 1;
};

class SidecarClient {
 public:
  enum class Result { Responded, ConnectionLost, Unreachable, TimedOut };
  using Callback = std::function<void(Result, const HttpMessage&)>;

  SidecarClient(RunContext& context, Address address, int sidecar);
  ~SidecarClient();
  void send(const OutgoingRequest& outgoing, Callback callback);
  void cancel(const std::string& request);  // the client closes the connection; the callback is not called
  void reset_connections();                 // without callbacks or events
  int sidecar() const { return sidecar_; }
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  void remove(Session& session);
  RunContext& context_;
  const Address address_;
  const int sidecar_;
  std::unordered_map<const Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace load_test
