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
  class Server {
   public:
    virtual ~Server() = default;
    virtual void on_request(DownstreamConnection& downstream, HttpMessage message) = 0;
  };

  // most: of them, whatever else is admitted; none: as many as there is room for.
  DownstreamConnections(Loop& loop, ConnectionLimiter& limiter, Server& server,
                        std::size_t most_body = HttpReader::kMostBody, std::size_t most = 0,
                        std::size_t most_streamed = 0);

  bool empty() const { return connections_.empty(); }
  std::size_t most() const { return most_; }
  void last_call(bool on) { last_call_ = on; }  // answers are the last on their connections from here on
  void longest_wait(double seconds) { longest_wait_ = seconds; }  // of a client for its answer
  void close_idle(double longer_than = 0);                        // seconds
  void close_listener(int listener);  // who came in by it gets the answer in hand, and that is the last

  // Those between two requests, to whoever takes them: `take` says whether it did.
  void hand_over(const std::function<bool(GSocket* client, bool asked)>& take);
  void take_over(Ref<GSocket> socket, bool asked);

  bool may_accept() override;
  void on_accepted(Ref<GSocket> socket, int listener, double waited) override;

 private:
  void on_request(DownstreamConnection& downstream, HttpMessage message) override;
  void on_left(DownstreamConnection& downstream) override;
  bool last_call() const override { return last_call_; }
  std::size_t most_held() const override { return limiter_.most_held(); }
  double longest_wait() const override { return longest_wait_; }
  void enter(Ref<GSocket> socket, int listener, double waited, bool asked);
  bool has_room();
  void make_room();
  void sweep();

  Loop& loop_;
  ConnectionLimiter& limiter_;
  Server& server_;
  const std::size_t most_body_, most_, most_streamed_;
  bool last_call_ = false;
  double longest_wait_ = 6, looked_ = 0;  // looked: for whom to shut
  std::unordered_map<const DownstreamConnection*, std::unique_ptr<DownstreamConnection>> connections_;
  LifetimeToken alive_;
};

}  // namespace puffinvane
