// How requests ended, by request class, and how many attempts were written whole, since the process started.
// Request classes are those of the settings: what strangers send makes no new figure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace puffinvane {

enum class RequestOutcome { Delivered, Rejected, Failed };

class RequestCounters {
 public:
  explicit RequestCounters(std::size_t request_classes) : ended_(request_classes) {}
  void record_outcome(std::size_t request_class, RequestOutcome how) {
    ++ended_[request_class][std::size_t(how)];
  }
  void record_attempt() { ++attempts_; }
  std::uint64_t count(std::size_t request_class, RequestOutcome how) const {
    return ended_[request_class][std::size_t(how)];
  }
  std::uint64_t attempts_sent() const { return attempts_; }

 private:
  std::vector<std::array<std::uint64_t, 3>> ended_;
  std::uint64_t attempts_ = 0;
};

}  // namespace puffinvane
