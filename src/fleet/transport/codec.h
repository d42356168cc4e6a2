// A message as bytes, and back: docs/fleet-protocol.md has it byte by byte.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "src/fleet/membership/member.h"

namespace puffinvane::fleet {

constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxStateBytes = std::size_t{1} << 20;

// key: shared by all members; empty: none, and messages carry no code.
std::string encode(const Message& message, std::string_view key);

enum class DecodeError { None, Malformed, WrongKey, WrongVersion };  // Foreign: another key's, or none
std::optional<Message> decode(std::string_view bytes, std::string_view key, DecodeError& error);

}  // namespace puffinvane::fleet
