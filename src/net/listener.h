// A listening socket with a deep backlog. It stops accepting while its owner has no room for another
// connection.
#pragma once

#include <optional>
#include <stdexcept>
#include <string_view>

#include "src/net/tcp_connection.h"

namespace puffinvane {

class Listener {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // Whether there is room for another connection.
    virtual bool may_accept() = 0;
    // listener: the id of the listener. waited: seconds for which the client's input may have waited to be
    // accepted.
    virtual void on_accepted(Ref<GSocket> socket, int listener, double waited) = 0;
  };

  // High: handled before the other sources in each iteration of the loop.
  enum class Priority { Normal, High };

  Listener(Loop& loop, Owner& owner, int id = 0, Priority priority = Priority::Normal)
      : loop_(loop), owner_(owner), id_(id), priority_(priority) {}
  ~Listener();
  int id() const { return id_; }
  // Shared: another process may listen at the same address at the same time (SO_REUSEPORT).
  enum class PortSharing { Exclusive, Shared };
  // The address can't be opened now, but a later try may succeed.
  struct NotAvailableNow : std::runtime_error {
    using std::runtime_error::runtime_error;
  };
  // Another process listens at the address.
  struct AddressInUse : NotAvailableNow {
    using NotAvailableNow::NotAvailableNow;
  };
  // The system is out of descriptors or memory.
  struct LocalShortage : NotAvailableNow {
    using NotAvailableNow::NotAvailableNow;
  };
  // Throws std::runtime_error.
  void open(std::string_view address, PortSharing sharing = PortSharing::Exclusive);
  // Uses a listening socket of another process, which may go on using it too.
  void adopt(Ref<GSocket> listening);
  // Accepts the connections that wait already, as room becomes available, and then closes the socket.
  void close();
  bool is_closed() const { return !socket_; }
  // Closes the socket at once and leaves the waiting connections to the other process that listens on it.
  void abandon();
  GSocket* socket() const { return socket_.get(); }

 private:
  static gboolean on_readable(GSocket*, GIOCondition, gpointer self);
  bool has_waiting_connection() const;
  // NoneWaiting: no connection waits. Lost: that connection is gone or can't be used; the next one may be.
  // NotNow: accepting failed for lack of a resource.
  enum class AcceptResult { Accepted, NoneWaiting, Lost, NotNow };
  AcceptResult accept_one();
  bool has_room();
  double max_wait_of(GSocket* accepted) const;
  void listen();
  void pause();

  Loop& loop_;
  Owner& owner_;
  const int id_;
  const Priority priority_;
  Ref<GSocket> socket_;
  Source source_;
  bool closing_ = false;
  std::optional<double> waiting_since_;  // connections have waited continuously since then
  LifetimeToken alive_;
};

}  // namespace puffinvane
