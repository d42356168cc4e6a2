// Tokens of the policy's timers. A token holds the kind of the timer, as one of the bits above the lower 32,
// and, except for the tick timer, the id of its request in the lower 32 bits.
#pragma once

#include <cstdint>

#include "puffinvane/policy.h"

namespace puffinvane {

constexpr std::uint64_t kDeadlineBit = 1ULL << 32U;
constexpr std::uint64_t kHedgeBit = 1ULL << 33U;
constexpr std::uint64_t kTickTimer = 1ULL << 34U;

constexpr std::uint64_t deadline_timer(RequestId request) { return kDeadlineBit | request; }
constexpr std::uint64_t hedge_timer(RequestId request) { return kHedgeBit | request; }
constexpr bool is_deadline_timer(std::uint64_t token) { return (token & kDeadlineBit) != 0; }
constexpr RequestId request_of(std::uint64_t token) { return static_cast<RequestId>(token); }

}  // namespace puffinvane
