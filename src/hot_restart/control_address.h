// Where the processes of one sidecar meet: the path of the control socket and the socket file there.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/net/glib.h"

namespace puffinvane {

// The path of the control socket of the sidecar that listens at that address, in $TMPDIR. Empty if $TMPDIR is
// not set or the address can't be a file name: then there is no hot restart.
std::string control_socket_path(std::string_view listen);

// The address of a Unix socket at a path of any length. Holds the folder open, as the system allows 107 bytes
// for a socket's name and the folder is named by its descriptor.
class ControlAddress {
 public:
  explicit ControlAddress(const std::string& path);
  ControlAddress(const ControlAddress&) = delete;
  ControlAddress& operator=(const ControlAddress&) = delete;
  ~ControlAddress();

  GSocketAddress* address() const { return address_.get(); }
  // The folder could not be opened for lack of a local resource; a later try may succeed.
  bool is_temporarily_unavailable() const { return is_temporarily_unavailable_; }
  // The inode of the socket file there; 0 if there is none, or a file of another kind.
  std::uint64_t socket_inode() const;
  // Leaves files of other kinds, which are not this program's.
  void remove_socket_file() const;

 private:
  int folder_ = -1;
  bool is_temporarily_unavailable_ = false;
  std::string file_name_;
  Ref<GSocketAddress> address_;
};

}  // namespace puffinvane
