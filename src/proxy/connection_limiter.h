// Limits descriptors and buffer memory over all pools: decides whether a client may be accepted, and closes
// idle upstream connections to make room for attempts.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "src/http/http.h"
#include "src/net/loop.h"

namespace puffinvane {

class ConnectionLimiter {
 public:
  class ReclaimableConnections {  // idle upstream connections of one pool
   public:
    virtual ~ReclaimableConnections() = default;
    // Since when the longest idle connection has been idle; infinite: there is none.
    virtual double oldest_idle_since() const = 0;
    virtual void close_oldest_idle() = 0;
  };

  // max_buffer_bytes: for all buffers in use together.
  ConnectionLimiter(Loop& loop, std::size_t max_buffer_bytes)
      : loop_(loop), max_buffer_bytes_(max_buffer_bytes) {}
  void add(ReclaimableConnections& one) { reclaimable_.push_back(&one); }
  void remove(ReclaimableConnections& one) { std::erase(reclaimable_, &one); }

  // Half of the descriptors are kept for upstream connections: a request that is accepted without a
  // descriptor to forward it with is lost.
  std::size_t max_downstream_connections() const { return std::size_t(loop_.descriptors().limit() / 2); }
  // Closes idle upstream connections if no descriptor is left: with hundreds of endpoints they alone could
  // use up all descriptors, and clients would wait at the listener with their requests already sent.
  bool has_room_for_downstream(std::size_t clients) {
    return clients < max_downstream_connections() &&
           loop_.pool().in_use() * BufferPool::kSize < max_buffer_bytes_ / (shared_ ? 2 : 1) &&
           make_room_for_attempt();
  }
  // On while another process (predecessor or successor) runs under the same limits: each keeps to half.
  void share_limits(bool on) {
    shared_ = on;
    loop_.descriptors().set_shared(on);
    make_room_for_attempt();
  }
  // Bytes of a request body that may be buffered before the body is streamed in parts.
  std::size_t max_buffered_body() const {
    std::size_t limit = max_buffer_bytes_ / (shared_ ? 2 : 1);
    bool is_scarce = loop_.pool().in_use() * BufferPool::kSize > limit / 2;
    return is_scarce ? HttpReader::kMaxBodyBytes : std::max(HttpReader::kMaxBodyBytes, limit / 8);
  }
  // Closes the longest idle upstream connections until a descriptor is available; false if none becomes so.
  bool make_room_for_attempt() {
    while (loop_.descriptors().available() <= 0) {
      auto oldest =
          std::min_element(reclaimable_.begin(), reclaimable_.end(),
                           [](const ReclaimableConnections* one, const ReclaimableConnections* other) {
                             return one->oldest_idle_since() < other->oldest_idle_since();
                           });
      if (oldest == reclaimable_.end() || std::isinf((*oldest)->oldest_idle_since())) return false;
      (*oldest)->close_oldest_idle();
    }
    return true;
  }

 private:
  Loop& loop_;
  const std::size_t max_buffer_bytes_;
  std::vector<ReclaimableConnections*> reclaimable_;
  bool shared_ = false;
};

}  // namespace puffinvane
