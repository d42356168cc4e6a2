// Accepts connections of a successor at the control socket path. It does not interpret what they send.
#pragma once

#include <cstdint>
#include <string>

#include "src/net/loop.h"

namespace puffinvane {

// Belongs to its Owner; everything runs on the event loop's thread. If it can't listen, it logs that once,
// retries for some seconds and then gives up: this process keeps serving, and its successor starts without a
// predecessor.
class ControlListener {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_control_connection(Ref<GSocket> socket) = 0;
  };

  // If `path` is empty, the listener never listens.
  ControlListener(Loop& loop, Owner& owner, std::string path);
  ControlListener(const ControlListener&) = delete;
  ControlListener& operator=(const ControlListener&) = delete;
  // Removes the socket file unless another process has replaced it.
  ~ControlListener();

  // Starts to listen and replaces the socket file of any process that listened at the path before.
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
  std::uint64_t socket_inode_ = 0;  // of the socket file that this listener created; 0: none yet
  int failed_opens_ = 0;            // consecutive
  LifetimeToken alive_;
};

}  // namespace puffinvane
