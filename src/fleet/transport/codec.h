// Encodes and decodes messages. docs/fleet-protocol.md has the format byte by byte.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "src/fleet/membership/member.h"

namespace puffinvane::fleet {

constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kMaxStateBytes = std::size_t{1} << 20;  // of a full state, sent over TCP

// key: shared by all members; if it is empty, messages carry no authentication code.
std::string encode(const Message& message, std::string_view key);

// WrongKey: authenticated with another key, or with none though a key is set, or the other way round.
enum class DecodeError { None, Malformed, WrongKey, WrongVersion };
std::optional<Message> decode(std::string_view bytes, std::string_view key, DecodeError& error);

}  // namespace puffinvane::fleet
