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

  // memory_bytes: the limit of the process.
  ConnectionLimiter(Loop& loop, std::size_t memory_bytes) : loop_(loop), memory_bytes_(memory_bytes) {
    share_limits(false);
  }
  void add(ReclaimableConnections& one) { reclaimable_.push_back(&one); }
  void remove(ReclaimableConnections& one) { std::erase(reclaimable_, &one); }

  // Half of the descriptors are kept for upstream connections: a request that is accepted without a
  // descriptor to forward it with is lost.
  std::size_t max_downstream_connections() const { return std::size_t(loop_.descriptors().limit() / 2); }
  // Closes idle upstream connections if no descriptor is left: with hundreds of endpoints they alone could
  // use up all descriptors, and clients would wait at the listener with their requests already sent.
  bool has_room_for_downstream(std::size_t clients) {
    return clients < max_downstream_connections() &&
           loop_.pool().pressure() < BufferPool::Pressure::Exhausted && make_room_for_attempt();
  }
  // On while another process (predecessor or successor) runs under the same limits: each keeps to half of the
  // descriptors, and to less of the buffers, as each also needs the rest of a process's memory.
  void share_limits(bool on) {
    shared_ = on;
    loop_.pool().set_limit(std::size_t((on ? kSharedBufferShare : kBufferShare) * double(memory_bytes_)));
    loop_.descriptors().set_shared(on);
    make_room_for_attempt();
    if (on && !is_returning_memory_) return_free_memory();
  }
  std::size_t buffer_bytes() const { return loop_.pool().bytes_in_use(); }
  // Bytes of a request body that may be buffered before the body is streamed in parts.
  std::size_t max_buffered_body() const {
    if (loop_.pool().pressure() >= BufferPool::Pressure::Scarce) return HttpReader::kMaxBodyBytes;
    return std::max(
        HttpReader::kMaxBodyBytes,
        std::size_t((shared_ ? kBufferedBodyShare / 2 : kBufferedBodyShare) * double(memory_bytes_)));
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
  // Repeats itself while another process needs the memory too.
  void return_free_memory() {
    is_returning_memory_ = shared_;
    if (!shared_) return;
    loop_.pool().return_free_memory();
    loop_.at(loop_.now() + kReturnInterval, alive_.guard([this] { return_free_memory(); }));
  }

  static constexpr double kReturnInterval = 0.1;  // seconds
  // Shares of the memory limit: of all buffers, the rest being for the program, the policy and the heap; of
  // those of each of two processes; and of the buffered part of one body.
  static constexpr double kBufferShare = 1.0 / 4;
  static constexpr double kSharedBufferShare = 1.0 / 16;
  static constexpr double kBufferedBodyShare = 1.0 / 16;
  Loop& loop_;
  const std::size_t memory_bytes_;
  bool shared_ = false;
  bool is_returning_memory_ = false;
  LifetimeToken alive_;
  std::vector<ReclaimableConnections*> reclaimable_;
};

}  // namespace puffinvane
