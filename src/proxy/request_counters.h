// Counts how requests ended, by request class, and how many attempts were written whole, since the process
// started. Only configured request classes are counted, so clients can't create counters by sending unknown
// paths.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace puffinvane {

enum class RequestOutcome { Delivered, Rejected, Failed };

class RequestCounters {
 public:
  explicit RequestCounters(std::size_t request_classes) : outcomes_(request_classes) {}
  void record_outcome(std::size_t request_class, RequestOutcome outcome) {
    ++outcomes_[request_class][std::size_t(outcome)];
  }
  void record_attempt() { ++attempts_; }
  std::uint64_t count(std::size_t request_class, RequestOutcome outcome) const {
    return outcomes_[request_class][std::size_t(outcome)];
  }
  std::uint64_t attempts_sent() const { return attempts_; }

 private:
  std::vector<std::array<std::uint64_t, 3>> outcomes_;  // by request class, then by RequestOutcome
  std::uint64_t attempts_ = 0;
};

}  // namespace puffinvane
