// Waits at the control path for a successor to connect. It does not know the messages on the connection.
#pragma once

#include <cstdint>
#include <string>

#include "src/net/loop.h"

namespace puffinvane {

// Owned by its Owner; everything runs on the event loop's thread. If it can't listen it logs that once, tries
// again for some seconds and gives up: the process serves, and its successor starts alone.
class ControlListener {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_control_connection(Ref<GSocket> socket) = 0;
  };

  // An empty path: it never listens.
  ControlListener(Loop& loop, Owner& owner, std::string path);
  ControlListener(const ControlListener&) = delete;
  ControlListener& operator=(const ControlListener&) = delete;
  // Removes the socket file unless another process has put its own there.
  ~ControlListener();

  // Listens, in place of any process that listened at the path before.
  void open();

 private:
  static gboolean on_connection_waiting(GSocket*, GIOCondition, gpointer self);
  gboolean accept_connection();
  void on_open_failed(const char* reason);
  void watch_for_connections();

  Loop& loop_;
  Owner& owner_;
  const std::string path_;
  Ref<GSocket> socket_;
  Source source_;
  std::uint64_t socket_inode_ = 0;  // of the file that this listener has made; 0: none yet
  int failed_opens_ = 0;            // in a row
  LifetimeToken alive_;
};

}  // namespace puffinvane
