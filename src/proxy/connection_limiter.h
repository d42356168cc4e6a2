// Descriptors and buffers over all pools: who may come in, and whose idle connection makes room for an
// attempt.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "src/http/http.h"
#include "src/net/loop.h"

namespace puffinvane {

class ConnectionLimiter {
 public:
  class ReclaimableConnections {  // somebody's idle connections
   public:
    virtual ~ReclaimableConnections() = default;
    virtual double oldest_idle_since() const = 0;  // since when it has been idle; infinite: there is none
    virtual void close_oldest_idle() = 0;
  };

  // most_bytes: of buffers lent.
  ConnectionLimiter(Loop& loop, std::size_t most_bytes) : loop_(loop), most_bytes_(most_bytes) {}
  void add(ReclaimableConnections& one) { reclaimable_.push_back(&one); }
  void remove(ReclaimableConnections& one) { std::erase(reclaimable_, &one); }

  // Half of the descriptors are kept for endpoints: a request taken without one to send it on with is lost.
  // Endpoints' idle connections make room: with hundreds of endpoints they alone would fill it, and whoever
  // comes would wait at the listener with a request that is taken already.
  std::size_t max_downstream_connections() const { return std::size_t(loop_.descriptors().limit() / 2); }
  bool has_room_for_downstream(std::size_t clients) {
    return clients < max_downstream_connections() &&
           loop_.pool().in_use() * BufferPool::kSize < most_bytes_ / (shared_ ? 2 : 1) &&
           make_room_for_attempt();
  }
  // Another process lives under the same limits: each keeps to half.
  void share_limits(bool on) {
    loop_.descriptors().set_shared(shared_ = on);
    make_room_for_attempt();
  }
  // Of a request's body, before it goes on in parts.
  std::size_t max_buffered_body() const {
    std::size_t most = most_bytes_ / (shared_ ? 2 : 1);
    bool scarce = loop_.pool().in_use() * BufferPool::kSize > most / 2;
    return scarce ? HttpReader::kMaxBodyBytes : std::max(HttpReader::kMaxBodyBytes, most / 8);
  }
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
  const std::size_t most_bytes_;
  std::vector<ReclaimableConnections*> reclaimable_;
  bool shared_ = false;
};

}  // namespace puffinvane
