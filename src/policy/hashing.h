// Hashes of names. All instances must get the same values, which std::hash does not guarantee.
#pragma once

#include <cstdint>
#include <string_view>

namespace puffinvane {

constexpr std::uint64_t kHashMultiplier = 0xff51afd7ed558ccdULL;  // from the 64-bit finalizer of MurmurHash3

inline std::uint64_t hash_name(std::uint64_t seed, std::string_view name) {
  constexpr int kShift = 29;
  std::uint64_t hash = seed;
  for (char character : name) {
    hash = (hash ^ std::uint8_t(character)) * kHashMultiplier;
    hash ^= hash >> kShift;
  }
  return hash;
}

// Maps a hash to [0, 1).
inline double to_unit_interval(std::uint64_t hash) {
  constexpr int kDroppedBits = 11;
  constexpr auto kSteps = double(1ULL << 53U);  // a double has a 53-bit mantissa
  return double(hash >> kDroppedBits) / kSteps;
}

}  // namespace puffinvane
