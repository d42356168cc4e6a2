// Everybody who is connected, whichever listener they came in by.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "src/net/listener.h"
#include "src/proxy/connection_limiter.h"
#include "src/proxy/downstream_connection.h"

namespace puffinvane {

class DownstreamConnections final : public DownstreamConnection::Owner, public Listener::Owner {
 public:
  class RequestHandler {
   public:
    virtual ~RequestHandler() = default;
    virtual void on_request(DownstreamConnection& downstream, HttpMessage message) = 0;
  };

  // most: of them, whatever else is admitted; none: as many as there is room for.
  DownstreamConnections(Loop& loop, ConnectionLimiter& limiter, RequestHandler& handler,
                        std::size_t most_body = HttpReader::kMaxBodyBytes, std::size_t most = 0,
                        std::size_t most_streamed = 0);

  bool empty() const { return connections_.empty(); }
  std::size_t max_connections() const { return max_connections_; }
  void close_after_responses(bool on) {
    close_after_responses_ = on;
  }  // answers are the last on their connections from here on
  void set_longest_client_timeout(double seconds) {
    longest_client_timeout_ = seconds;
  }                                         // of a client for its answer
  void close_idle(double longer_than = 0);  // seconds
  void close_listener(int listener);        // who came in by it gets the answer in hand, and that is the last

  // Those between two requests, to whoever takes them: `take` says whether it did.
  void hand_over(const std::function<bool(GSocket* client, bool asked)>& take);
  void take_over(Ref<GSocket> socket, bool asked);

  bool may_accept() override;
  void on_accepted(Ref<GSocket> socket, int listener, double waited) override;

 private:
  void on_request(DownstreamConnection& downstream, HttpMessage message) override;
  void on_closed(DownstreamConnection& downstream) override;
  bool closes_after_response() const override { return close_after_responses_; }
  std::size_t max_buffered_body() const override { return limiter_.max_buffered_body(); }
  double longest_client_timeout() const override { return longest_client_timeout_; }
  void enter(Ref<GSocket> socket, int listener, double waited, bool asked);
  bool has_room();
  void make_room();
  void sweep();

  Loop& loop_;
  ConnectionLimiter& limiter_;
  RequestHandler& handler_;
  const std::size_t most_body_, max_connections_, most_streamed_;
  bool close_after_responses_ = false;
  double longest_client_timeout_ = 6, looked_ = 0;  // looked: for whom to shut
  std::unordered_map<const DownstreamConnection*, std::unique_ptr<DownstreamConnection>> connections_;
  LifetimeToken alive_;
};

}  // namespace puffinvane
