// Carries messages between members: UDP datagrams for short messages, TCP connections for full states. It
// takes no decisions about the membership.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "src/fleet/transport/codec.h"
#include "src/net/listener.h"
#include "src/net/loop.h"
#include "src/net/tcp_connection.h"

namespace puffinvane::fleet {

class Transport final : SocketEventHandler, Listener::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_message(const Message& message, const std::string& source) = 0;
    virtual void on_state(const Message& state) = 0;
    // The full state of this member, to be sent to another.
    virtual Message state() const = 0;
  };
  struct Counts {
    std::uint64_t sent = 0, bytes_sent = 0, received = 0, bytes_received = 0;
    std::uint64_t malformed = 0, wrong_key = 0, wrong_version = 0, unsent = 0, pauses = 0,
                  states_received = 0;
  };

  Transport(Loop& loop, Owner& owner, std::string key);
  ~Transport() override;
  void open(const std::string& address);  // throws std::runtime_error
  // Lost without notice if the address is invalid, the message too long or the socket buffer full.
  void send(const std::string& address, const Message& message);
  // Exchanges full states with the member at this address.
  void sync(const std::string& address);
  void close();
  const Counts& counts() const { return counts_; }

 private:
  class PeerSession;
  void on_ready(std::uint32_t events) override;
  bool may_accept() override;
  void on_accepted(Ref<GSocket> socket, int listener, double waited) override;
  bool receive_datagram();
  void count_error(DecodeError error);
  void resume();
  void pause();
  void end_session(const PeerSession& session);
  void begin_session(std::unique_ptr<PeerSession> session);

  Loop& loop_;
  Owner& owner_;
  const std::string key_;
  Ref<GSocket> socket_;
  Listener listener_;
  std::map<const PeerSession*, std::unique_ptr<PeerSession>> sessions_;
  std::size_t initiated_sessions_ = 0, accepted_sessions_ = 0;  // in sessions_
  std::string buffer_;
  // The time spent on datagrams is limited per window.
  double window_start_ = 0, spent_ = 0;
  bool paused_ = false;  // no datagrams are read until the window ends
  Counts counts_;
  LifetimeToken alive_;
};

}  // namespace puffinvane::fleet
