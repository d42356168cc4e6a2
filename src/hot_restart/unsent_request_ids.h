// Hashes of the ids of requests of which a peer is not notified yet. A peer that stands still doesn't make
// them grow without end.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/message.h"
#include "src/hot_restart/message_encoder.h"

namespace puffinvane {

class UnsentRequestIds {
 public:
  // Beyond that many the oldest are dropped: their requests are the likeliest to have ended.
  static constexpr std::size_t kMaxIds = std::size_t{16} * 1024;

  bool empty() const { return ids_.empty(); }
  std::size_t size() const { return ids_.size(); }
  void clear() { ids_.clear(); }
  void add(std::uint64_t id_hash) {
    ids_.push_back(id_hash);
    if (ids_.size() > kMaxIds) ids_.pop_front();
  }
  // Sends what the channel takes at once and keeps the rest.
  void send_to(Channel& channel) {
    while (!ids_.empty() && !channel.has_backlog()) {
      const auto end = ids_.begin() + std::ptrdiff_t(std::min(ids_.size(), SentRequestsMessage::kMaxIds));
      channel.send(encode_message(SentRequestsMessage{{ids_.begin(), end}}));
      ids_.erase(ids_.begin(), end);
    }
  }

 private:
  std::deque<std::uint64_t> ids_;
};

}  // namespace puffinvane
