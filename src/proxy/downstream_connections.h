// All downstream connections of a process, over all of its listeners.
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

  // max_connections: a fixed limit; 0: as many as the connection limiter allows.
  DownstreamConnections(Loop& loop, ConnectionLimiter& limiter, RequestHandler& handler,
                        std::size_t max_body = HttpReader::kMaxBodyBytes, std::size_t max_connections = 0,
                        std::size_t max_streamed = 0);

  bool empty() const { return connections_.empty(); }
  // Requests of which only a part had been read when memory was short.
  std::uint64_t rejected_for_memory() const { return rejected_for_memory_; }
  std::size_t max_connections() const { return max_connections_; }
  // While on, every connection is closed after its next response.
  void close_after_responses(bool on) { close_after_responses_ = on; }
  // The longest client timeout of any request class.
  void set_longest_client_timeout(double seconds) { longest_client_timeout_ = seconds; }
  // Closes the connections that have been idle for at least that many seconds.
  void close_idle(double longer_than = 0);
  // Closes the connections that this listener accepted: idle ones at once, the others after the response to
  // the request in flight.
  void close_listener(int listener);

  // Offers the socket of each connection that is between two requests to `take`, which returns whether it has
  // taken the socket over. Stops at the first refusal.
  void hand_over(const std::function<bool(GSocket* client, bool has_sent_request)>& take);
  // Adds a connection that a predecessor process has handed over.
  void take_over(Ref<GSocket> socket, bool has_sent_request);

  bool may_accept() override;
  void on_accepted(Ref<GSocket> socket, int listener, double waited) override;

 private:
  void on_request(DownstreamConnection& downstream, HttpMessage message) override;
  void on_closed(DownstreamConnection& downstream) override;
  bool closes_after_response() const override { return close_after_responses_; }
  std::size_t max_buffered_body() const override { return limiter_.max_buffered_body(); }
  bool saves_memory() const override { return max_connections_ == 0; }
  double longest_client_timeout() const override { return longest_client_timeout_; }
  void add(Ref<GSocket> socket, int listener, double waited, bool has_sent_request);
  bool has_room();
  void make_room();  // closes connections that have no request in flight, if few or none are left
  void check_all_timeouts();
  void relieve_memory();  // rejects partial requests while memory is short

  Loop& loop_;
  ConnectionLimiter& limiter_;
  RequestHandler& handler_;
  const std::size_t max_body_, max_connections_, max_streamed_;
  bool close_after_responses_ = false;
  double longest_client_timeout_ = 6;
  double last_reclaim_ = 0;  // when make_room last searched for connections to close
  double last_relief_logged_at_ = 0;
  std::uint64_t rejected_for_memory_ = 0;  // partial requests
  std::unordered_map<const DownstreamConnection*, std::unique_ptr<DownstreamConnection>> connections_;
  LifetimeToken alive_;
};

}  // namespace puffinvane
