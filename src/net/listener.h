// Where clients come in: a listening socket with a deep backlog, paused while there is no room for more.
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
    virtual bool may_accept() = 0;  // whether one more may come in
    // waited: seconds that what it sent may have lain unread at the listener.
    virtual void on_accepted(Ref<GSocket> socket, int listener, double waited) = 0;
  };

  enum class Turn { Usual, First };  // First: served before the others in each turn of the loop

  Listener(Loop& loop, Owner& owner, int number = 0, Turn turn = Turn::Usual)
      : loop_(loop), owner_(owner), number_(number), turn_(turn) {}
  ~Listener();
  int number() const { return number_; }  // told with each who enters
  enum class Beside { Nobody, Another };  // Another: a second process may listen there at the same time
  struct NotNow : std::runtime_error {    // a later try may succeed
    using std::runtime_error::runtime_error;
  };
  struct InUse : NotNow {  // somebody else listens there
    using NotNow::NotNow;
  };
  struct LocalShortage : NotNow {  // the system has no descriptor or no memory for it
    using NotNow::NotNow;
  };
  void open(std::string_view address, Beside beside = Beside::Nobody);  // throws std::runtime_error
  void adopt(Ref<GSocket> listening);  // another process's, which goes on with it or not
  void close();                        // takes in those who wait already, as soon as there is room for them
  bool shut() const { return !socket_; }
  void let_go();  // who waits is another process's
  GSocket* socket() const { return socket_.get(); }

 private:
  static gboolean connection_waits(GSocket*, GIOCondition, gpointer self);
  bool somebody_waits() const;
  // None: nobody waits. Lost: that one has gone, or can't be had; the next may. NotNow: for want of
  // something.
  enum class Accepted { One, None, Lost, NotNow };
  Accepted take_one();
  bool lets_in();
  double waited(GSocket* entered) const;
  void listen();
  void pause();

  Loop& loop_;
  Owner& owner_;
  const int number_;
  const Turn turn_;
  Ref<GSocket> socket_;
  Source source_;
  bool closing_ = false;
  std::optional<double> held_since_;  // that somebody has waited for room without a break
  LifetimeToken alive_;
};

}  // namespace puffinvane
