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
    virtual double oldest_idle() const = 0;  // since when it has been idle; infinite: there is none
    virtual void drop_oldest_idle() = 0;
  };

  // most_bytes: of buffers lent.
  ConnectionLimiter(Loop& loop, std::size_t most_bytes) : loop_(loop), most_bytes_(most_bytes) {}
  void join(ReclaimableConnections& one) { reclaimable_.push_back(&one); }
  void leave(ReclaimableConnections& one) { std::erase(reclaimable_, &one); }

  // Half of the descriptors are kept for endpoints: a request taken without one to send it on with is lost.
  // Endpoints' idle connections make room: with hundreds of endpoints they alone would fill it, and whoever
  // comes would wait at the listener with a request that is taken already.
  std::size_t places_for_downstream() const { return std::size_t(loop_.descriptors().limit() / 2); }
  bool room_for_downstream(std::size_t clients) {
    return clients < places_for_downstream() &&
           loop_.pool().in_use() * BufferPool::kSize < most_bytes_ / (shared_ ? 2 : 1) && room_for_attempt();
  }
  // Another process lives under the same limits: each keeps to half.
  void share(bool on) {
    loop_.descriptors().set_shared(shared_ = on);
    room_for_attempt();
  }
  // Of a request's body, before it goes on in parts.
  std::size_t most_held() const {
    std::size_t most = most_bytes_ / (shared_ ? 2 : 1);
    bool scarce = loop_.pool().in_use() * BufferPool::kSize > most / 2;
    return scarce ? HttpReader::kMostBody : std::max(HttpReader::kMostBody, most / 8);
  }
  bool room_for_attempt() {
    while (loop_.descriptors().available() <= 0) {
      auto oldest =
          std::min_element(reclaimable_.begin(), reclaimable_.end(),
                           [](const ReclaimableConnections* one, const ReclaimableConnections* other) {
                             return one->oldest_idle() < other->oldest_idle();
                           });
      if (oldest == reclaimable_.end() || std::isinf((*oldest)->oldest_idle())) return false;
      (*oldest)->drop_oldest_idle();
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
