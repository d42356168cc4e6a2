// Pairs of connected sockets. Only for the tests of src/hot_restart.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>

#include "src/net/glib.h"

namespace puffinvane::test {

struct SocketPair {
  Ref<GSocket> first;
  Ref<GSocket> second;
};

// type: SOCK_STREAM or SOCK_SEQPACKET.
inline SocketPair connected_sockets(int type) {
  std::array<int, 2> descriptors{};
  EXPECT_EQ(socketpair(AF_UNIX, type | SOCK_CLOEXEC, 0, descriptors.data()), 0);
  return {Ref<GSocket>(g_socket_new_from_fd(descriptors[0], nullptr)),
          Ref<GSocket>(g_socket_new_from_fd(descriptors[1], nullptr))};
}

}  // namespace puffinvane::test
