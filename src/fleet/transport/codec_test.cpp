// Tests that encoded messages are decoded unchanged and that corrupted or oversized ones are rejected.
#undef NDEBUG
#include "src/fleet/transport/codec.h"

#include <cassert>
#include <cstdio>
#include <pcg_random.hpp>

#include "src/fleet/membership/membership.h"

using namespace puffinvane::fleet;

namespace {

MembershipUpdate update_of(int number) {
  MembershipUpdate update;
  update.member.name = "n" + std::to_string(number);
  update.member.address = "10.0.0.1:7";
  update.member.version = {std::uint64_t(1) << 52, 0xffffffff};
  update.member.phase = Phase::Leaving;
  update.member.zone = "a";
  update.member.build = "1.2";
  update.member.tier = 3;
  update.member.facts = {{"console", "10.0.0.1:9"}};
  update.state = MemberState::Suspect;
  update.reporter = "n9";
  return update;
}

Message message() {
  return {Message::Kind::IndirectPing, 0xfffffff0, "n1", "n2", ~0ull, {update_of(3), update_of(4)}};
}

bool same(const Message& one, const Message& other) {
  bool same_updates = one.updates.size() == other.updates.size();
  for (std::size_t i = 0; same_updates && i < one.updates.size(); ++i) {
    same_updates = one.updates[i].member == other.updates[i].member &&
                   one.updates[i].state == other.updates[i].state &&
                   one.updates[i].reporter == other.updates[i].reporter;
  }
  return same_updates && one.kind == other.kind && one.sequence == other.sequence && one.from == other.from &&
         one.target == other.target && one.digest == other.digest;
}

void encoded_messages_are_decoded_unchanged() {
  for (const char* key : {"", "a key"}) {
    DecodeError error;
    auto decoded = decode(encode(message(), key), key, error);
    assert(decoded && same(*decoded, message()) && error == DecodeError::None);
  }
}

void with_a_key_any_changed_byte_is_rejected() {
  std::string bytes = encode(message(), "a key");
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string corrupted = bytes;
    corrupted[at] ^= 1;
    DecodeError error;
    assert(!decode(corrupted, "a key", error) && error != DecodeError::None);
    assert(!decode(bytes.substr(0, at), "a key", error));
  }
  DecodeError error;
  assert(!decode(bytes, "another", error) && error == DecodeError::WrongKey);
  assert(!decode(bytes, "", error) && error == DecodeError::WrongKey);
  assert(!decode(encode(message(), ""), "a key", error) && error == DecodeError::WrongKey);
  bytes[2] = 2;
  assert(!decode(bytes, "a key", error) && error == DecodeError::WrongVersion);
}

// Without a key some corrupted messages can be decoded. Their names, generations and sizes are still within
// the limits.
void without_a_key_only_valid_members_are_decoded(int rounds) {
  pcg32 rng(1);
  const std::string encoded = encode(message(), "");
  int decoded = 0;
  for (int round = 0; round < rounds; ++round) {
    std::string corrupted = encoded;
    for (std::uint32_t i = 1 + rng(4); i > 0; --i) {
      std::size_t at = 4 + rng(std::uint32_t(corrupted.size() - 4));
      if (rng(3) == 0) corrupted.erase(at, 1 + rng(8));
      else if (rng(2) == 0) corrupted.insert(at, 1, char(rng()));
      else corrupted[at] = char(rng());
      if (corrupted.size() < 6) break;
    }
    DecodeError error;
    auto message = decode(corrupted, "", error);
    decoded += message.has_value();
    if (!message) continue;
    for (const MembershipUpdate& update : message->updates)
      assert(is_valid(update.member) && update.state <= MemberState::Departed);
  }
  assert(decoded > 0 && decoded < rounds);
}

void a_megabyte_of_nested_arrays_is_rejected() {
  std::string deep = std::string("PV\1\0", 4) + std::string(kMaxStateBytes, char(0x81));
  DecodeError error;
  assert(!decode(deep, "", error) && error == DecodeError::Malformed);
  // An array whose declared length is larger than the memory, without any elements.
  std::string long_array = std::string("PV\1\0", 4) + "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
  assert(!decode(long_array, "", error));
}

void the_largest_message_fits_a_datagram() {
  MembershipUpdate update = update_of(1);
  update.member.name = std::string(kMaxNameBytes, 'x'),
  update.member.address = std::string(kMaxNameBytes, 'x');
  update.member.zone = update.member.build = std::string(kMaxFactBytes, 'x'),
  update.reporter = std::string(kMaxNameBytes, 'x');
  update.member.facts.clear();
  for (char each : {'a', 'b', 'c', 'd'})
    update.member.facts[std::string(kMaxFactBytes, each)] = std::string(kMaxFactBytes, 'x');
  assert(is_valid(update.member));
  Message full{
      Message::Kind::Ping, ~0u, std::string(kMaxNameBytes, 'x'), std::string(kMaxNameBytes, 'x'), ~0ull, {}};
  for (std::size_t bytes = 0; bytes + max_encoded_size(update) <= Membership::kMaxUpdateBytes;
       bytes += max_encoded_size(update))
    full.updates.push_back(update);
  assert(!full.updates.empty() && encode(full, "a key").size() <= kMaxDatagramBytes);
}

}  // namespace

int main() {
  encoded_messages_are_decoded_unchanged();
  with_a_key_any_changed_byte_is_rejected();
  without_a_key_only_valid_members_are_decoded(200000);
  a_megabyte_of_nested_arrays_is_rejected();
  the_largest_message_fits_a_datagram();
  std::puts("codec: all tests passed");
}
