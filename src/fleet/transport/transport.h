// Between members: datagrams for what is small, streams for whole states. It holds no rule of who is there.
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
    virtual void on_state(const Message& theirs) = 0;
    virtual Message state() const = 0;
  };
  struct Counts {
    std::uint64_t sent = 0, bytes_sent = 0, received = 0, bytes_received = 0;
    std::uint64_t malformed = 0, foreign = 0, version = 0, unsent = 0, pauses = 0, states = 0;
  };

  Transport(Loop& loop, Owner& owner, std::string key);
  ~Transport() override;
  void open(const std::string& address);  // throws std::runtime_error
  void send(const std::string& address, const Message& message);
  void sync(const std::string& address);
  void close();
  const Counts& counts() const { return counts_; }

 private:
  class PeerSession;
  void on_ready(std::uint32_t events) override;
  bool may_accept() override;
  void on_accepted(Ref<GSocket> socket, int listener, double waited) override;
  bool receive_one();
  void count(DecodeError error);
  void listen();
  void pause();
  void end(const PeerSession& session);
  void begin(std::unique_ptr<PeerSession> session);

  Loop& loop_;
  Owner& owner_;
  const std::string key_;
  Ref<GSocket> socket_;
  Listener listener_;
  std::map<const PeerSession*, std::unique_ptr<PeerSession>> sessions_;
  std::size_t asked_ = 0, answered_ = 0;  // of these
  std::string buffer_;
  double window_ = 0, spent_ = 0;  // since when, and how long was worked for peers since
  bool paused_ = false;
  Counts counts_;
  LifetimeToken alive_;
};

}  // namespace puffinvane::fleet
