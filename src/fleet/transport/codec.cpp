#include "src/fleet/transport/codec.h"

#include <glib.h>

#include <array>
#include <nlohmann/json.hpp>

namespace puffinvane::fleet {

namespace {

using nlohmann::json;

constexpr std::string_view kMagic = "PV";
constexpr char kVersion = 1;
constexpr std::size_t kHead = 4, kCode = 32;  // SHA-256's
constexpr int kDeepest = 4;                   // message, news, one of them, its facts

std::array<std::uint8_t, kCode> code_of(std::string_view head, std::string_view body, std::string_view key) {
  std::array<std::uint8_t, kCode> code{};
  gsize size = code.size();
  GHmac* made = g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()), key.size());
  g_hmac_update(made, reinterpret_cast<const guchar*>(head.data()), gssize(head.size()));
  g_hmac_update(made, reinterpret_cast<const guchar*>(body.data()), gssize(body.size()));
  g_hmac_get_digest(made, code.data(), &size);
  g_hmac_unref(made);
  return code;
}

// Gone through before anything is built: the library's reader calls itself for each nested array, and a
// megabyte of them would end the stack.
struct Shallow : nlohmann::json_sax<json> {
  int depth = 0;
  bool enter() { return ++depth <= kDeepest; }
  bool null() override { return false; }
  bool boolean(bool) override { return false; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return false; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth, true; }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return --depth, true; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }
};

json written(const MembershipUpdate& update) {
  const Member& of = update.member;
  return json::array({int(update.state), update.by, of.name, of.address, of.version.generation,
                      of.version.incarnation, int(of.phase), of.zone, of.build, of.tier, of.facts});
}

template <typename Whole>
bool read(const json& from, Whole& to, std::uint64_t most) {
  if (!from.is_number_unsigned() || from.get<std::uint64_t>() > most) return false;
  to = Whole(from.get<std::uint64_t>());
  return true;
}
bool read(const json& from, std::string& to) {
  if (!from.is_string()) return false;
  to = from.get<std::string>();
  return true;
}

bool read(const json& from, MembershipUpdate& update) {
  Member& of = update.member;
  if (!from.is_array() || from.size() != 11 || !from[10].is_object()) return false;
  for (const auto& [key, value] : from[10].items()) {
    if (!read(value, of.facts[key])) return false;
  }
  return read(from[0], update.state, std::uint64_t(MemberState::Departed)) && read(from[1], update.by) &&
         read(from[2], of.name) && read(from[3], of.address) && read(from[4], of.version.generation, ~0ull) &&
         read(from[5], of.version.incarnation, 0xffffffff) &&
         read(from[6], of.phase, std::uint64_t(Phase::Leaving)) && read(from[7], of.zone) &&
         read(from[8], of.build) && read(from[9], of.tier, 1 << 20) && is_valid(of) &&
         update.by.size() <= kMaxNameBytes;
}

}  // namespace

std::string encode(const Message& message, std::string_view key) {
  json updates = json::array();
  for (const MembershipUpdate& one : message.updates) updates.push_back(written(one));
  std::string body;
  json::to_cbor(
      json::array({int(message.kind), message.number, message.from, message.about, message.digest, updates}),
      body);
  std::string bytes(kMagic);
  bytes += kVersion;
  bytes += char(key.empty() ? 0 : 1);
  if (!key.empty()) {
    auto code = code_of(bytes, body, key);
    bytes.append(reinterpret_cast<const char*>(code.data()), code.size());
  }
  return bytes + body;
}

std::optional<Message> decode(std::string_view bytes, std::string_view key, DecodeError& error) {
  error = DecodeError::Malformed;
  if (bytes.size() < kHead || bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  if (bytes[2] != kVersion) return error = DecodeError::WrongVersion, std::nullopt;
  std::string_view head = bytes.substr(0, kHead), body = bytes.substr(kHead);
  if ((bytes[3] == 1) == key.empty() || (bytes[3] & ~1)) return error = DecodeError::WrongKey, std::nullopt;
  if (!key.empty()) {
    if (body.size() < kCode) return std::nullopt;
    std::string_view fields = body.substr(0, kCode);
    body.remove_prefix(kCode);
    auto code = code_of(head, body, key);
    unsigned differs = 0;  // all of it is compared, so that the time taken tells nothing of where they part
    for (std::size_t i = 0; i < kCode; ++i) differs |= unsigned(std::uint8_t(fields[i]) ^ code[i]);
    if (differs) return error = DecodeError::WrongKey, std::nullopt;
  }
  Shallow shallow;
  if (!json::sax_parse(body, &shallow, json::input_format_t::cbor)) return std::nullopt;
  json fields = json::from_cbor(body, true, false);
  Message message;
  if (!fields.is_array() || fields.size() != 6 || !fields[5].is_array()) return std::nullopt;
  if (!read(fields[0], message.kind, std::uint64_t(Message::Kind::State)) ||
      !read(fields[1], message.number, 0xffffffff) || !read(fields[2], message.from) ||
      !read(fields[3], message.about) || !read(fields[4], message.digest, ~0ull) ||
      message.from.size() > kMaxNameBytes || message.about.size() > kMaxNameBytes)
    return std::nullopt;
  for (const json& one : fields[5]) {
    if (!read(one, message.updates.emplace_back())) return std::nullopt;
  }
  error = DecodeError::None;
  return message;
}

}  // namespace puffinvane::fleet
