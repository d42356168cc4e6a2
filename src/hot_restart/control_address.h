// The path of a sidecar's control socket, by which its processes find each other, and the socket file there.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/net/glib.h"

namespace puffinvane {

// The path of the control socket, in $TMPDIR, of the sidecar that serves clients at the address `listen`.
// Empty if $TMPDIR is not set or the address can't be part of a file name: then hot restart is disabled.
std::string control_socket_path(std::string_view listen);

// The address of a Unix socket at a path of any length. The system limits socket paths to 107 bytes, so the
// address refers to the folder by its open descriptor (/proc/self/fd/N/name), which this object keeps open.
class ControlAddress {
 public:
  explicit ControlAddress(const std::string& path);
  ControlAddress(const ControlAddress&) = delete;
  ControlAddress& operator=(const ControlAddress&) = delete;
  ~ControlAddress();

  GSocketAddress* address() const { return address_.get(); }
  // Whether the folder could not be opened because local resources were exhausted. A retry may succeed.
  bool is_temporarily_unavailable() const { return is_temporarily_unavailable_; }
  // The inode of the socket file at the path; 0 if there is no file or it is not a socket.
  std::uint64_t socket_inode() const;
  // Removes the file at the path if it is a socket. Other files do not belong to this program.
  void remove_socket_file() const;

 private:
  int folder_ = -1;
  bool is_temporarily_unavailable_ = false;
  std::string file_name_;
  Ref<GSocketAddress> address_;
};

}  // namespace puffinvane
