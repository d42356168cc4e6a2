#include "src/fleet/transport/codec.h"

#include <glib.h>

#include <array>
#include <nlohmann/json.hpp>

namespace puffinvane::fleet {

namespace {

using nlohmann::json;

constexpr std::string_view kMagic = "PV";
constexpr char kVersion = 1;
constexpr std::size_t kHeaderBytes = 4;  // magic, version, flags
constexpr std::size_t kCodeBytes = 32;   // HMAC-SHA-256
constexpr int kMaxDepth = 4;             // message, list of updates, update, facts

std::array<std::uint8_t, kCodeBytes> authentication_code(std::string_view header, std::string_view body,
                                                         std::string_view key) {
  std::array<std::uint8_t, kCodeBytes> code{};
  gsize size = code.size();
  GHmac* hmac = g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()), key.size());
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(header.data()), gssize(header.size()));
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(body.data()), gssize(body.size()));
  g_hmac_get_digest(hmac, code.data(), &size);
  g_hmac_unref(hmac);
  return code;
}

// Checks the nesting depth and the types before the message is parsed: the parser recurses for each nested
// array, so a megabyte of them would overflow the stack.
struct StructureCheck : nlohmann::json_sax<json> {
  int depth = 0;
  bool enter() { return ++depth <= kMaxDepth; }
  bool null() override { return false; }
  bool boolean(bool) override { return false; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return false; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override {
    --depth;
    return true;
  }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override {
    --depth;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }
};

json to_json(const MembershipUpdate& update) {
  const Member& member = update.member;
  return json::array({int(update.state), update.reporter, member.name, member.address,
                      member.version.generation, member.version.incarnation, int(member.phase), member.zone,
                      member.build, member.tier, member.facts});
}

template <typename Integer>
bool read(const json& from, Integer& to, std::uint64_t max) {
  if (!from.is_number_unsigned() || from.get<std::uint64_t>() > max) return false;
  to = Integer(from.get<std::uint64_t>());
  return true;
}
bool read(const json& from, std::string& to) {
  if (!from.is_string()) return false;
  to = from.get<std::string>();
  return true;
}

bool read(const json& from, MembershipUpdate& update) {
  Member& member = update.member;
  if (!from.is_array() || from.size() != 11 || !from[10].is_object()) return false;
  for (const auto& [key, value] : from[10].items()) {
    if (!read(value, member.facts[key])) return false;
  }
  return read(from[0], update.state, std::uint64_t(MemberState::Departed)) &&
         read(from[1], update.reporter) && read(from[2], member.name) && read(from[3], member.address) &&
         read(from[4], member.version.generation, ~0ull) &&
         read(from[5], member.version.incarnation, 0xffffffff) &&
         read(from[6], member.phase, std::uint64_t(Phase::Leaving)) && read(from[7], member.zone) &&
         read(from[8], member.build) && read(from[9], member.tier, 1 << 20) && is_valid(member) &&
         update.reporter.size() <= kMaxNameBytes;
}

}  // namespace

std::string encode(const Message& message, std::string_view key) {
  json updates = json::array();
  for (const MembershipUpdate& one : message.updates) updates.push_back(to_json(one));
  std::string body;
  json::to_cbor(json::array({int(message.kind), message.sequence, message.from, message.target,
                             message.digest, updates}),
                body);
  std::string bytes(kMagic);
  bytes += kVersion;
  bytes += char(key.empty() ? 0 : 1);
  if (!key.empty()) {
    auto code = authentication_code(bytes, body, key);
    bytes.append(reinterpret_cast<const char*>(code.data()), code.size());
  }
  return bytes + body;
}

std::optional<Message> decode(std::string_view bytes, std::string_view key, DecodeError& error) {
  error = DecodeError::Malformed;
  if (bytes.size() < kHeaderBytes || bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  if (bytes[2] != kVersion) {
    error = DecodeError::WrongVersion;
    return std::nullopt;
  }
  std::string_view header = bytes.substr(0, kHeaderBytes), body = bytes.substr(kHeaderBytes);
  if ((bytes[3] == 1) == key.empty() || (bytes[3] & ~1)) {
    error = DecodeError::WrongKey;
    return std::nullopt;
  }
  if (!key.empty()) {
    if (body.size() < kCodeBytes) return std::nullopt;
    std::string_view received_code = body.substr(0, kCodeBytes);
    body.remove_prefix(kCodeBytes);
    auto code = authentication_code(header, body, key);
    // In constant time: a comparison that stops at the first difference would reveal its position.
    unsigned difference = 0;
    for (std::size_t i = 0; i < kCodeBytes; ++i)
      difference |= unsigned(std::uint8_t(received_code[i]) ^ code[i]);
    if (difference) {
      error = DecodeError::WrongKey;
      return std::nullopt;
    }
  }
  StructureCheck structure;
  if (!json::sax_parse(body, &structure, json::input_format_t::cbor)) return std::nullopt;
  json fields = json::from_cbor(body, true, false);
  Message message;
  if (!fields.is_array() || fields.size() != 6 || !fields[5].is_array()) return std::nullopt;
  if (!read(fields[0], message.kind, std::uint64_t(Message::Kind::State)) ||
      !read(fields[1], message.sequence, 0xffffffff) || !read(fields[2], message.from) ||
      !read(fields[3], message.target) || !read(fields[4], message.digest, ~0ull) ||
      message.from.size() > kMaxNameBytes || message.target.size() > kMaxNameBytes)
    return std::nullopt;
  for (const json& one : fields[5]) {
    if (!read(one, message.updates.emplace_back())) return std::nullopt;
  }
  error = DecodeError::None;
  return message;
}

}  // namespace puffinvane::fleet
