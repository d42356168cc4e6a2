// Messages as bytes: what was written is read, and what was not is dropped, whatever it is.
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
  update.member.name = "n" + std::to_string(number), update.member.address = "10.0.0.1:7";
  update.member.version = {std::uint64_t(1) << 52, 0xffffffff};
  update.member.phase = Phase::Leaving, update.member.zone = "a", update.member.build = "1.2",
  update.member.tier = 3;
  update.member.facts = {{"console", "10.0.0.1:9"}};
  update.state = MemberState::Suspect, update.by = "n9";
  return update;
}

Message message() {
  return {Message::Kind::IndirectPing, 0xfffffff0, "n1", "n2", ~0ull, {update_of(3), update_of(4)}};
}

bool same(const Message& one, const Message& other) {
  bool update = one.updates.size() == other.updates.size();
  for (std::size_t i = 0; update && i < one.updates.size(); ++i) {
    update = one.updates[i].member == other.updates[i].member &&
             one.updates[i].state == other.updates[i].state && one.updates[i].by == other.updates[i].by;
  }
  return update && one.kind == other.kind && one.number == other.number && one.from == other.from &&
         one.about == other.about && one.digest == other.digest;
}

void what_was_written_is_read() {
  for (const char* key : {"", "a key"}) {
    DecodeError error;
    auto back = decode(encode(message(), key), key, error);
    assert(back && same(*back, message()) && error == DecodeError::None);
  }
}

void with_a_key_no_byte_may_differ() {
  std::string bytes = encode(message(), "a key");
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string spoilt = bytes;
    spoilt[at] ^= 1;
    DecodeError error;
    assert(!decode(spoilt, "a key", error) && error != DecodeError::None);
    assert(!decode(bytes.substr(0, at), "a key", error));
  }
  DecodeError error;
  assert(!decode(bytes, "another", error) && error == DecodeError::WrongKey);
  assert(!decode(bytes, "", error) && error == DecodeError::WrongKey);
  assert(!decode(encode(message(), ""), "a key", error) && error == DecodeError::WrongKey);
  bytes[2] = 2;
  assert(!decode(bytes, "a key", error) && error == DecodeError::WrongVersion);
}

// Whatever is read of spoilt bytes is proper: names, lives and sizes within their bounds.
void without_a_key_nothing_improper_is_read(int turns) {
  pcg32 chance(1);
  const std::string whole = encode(message(), "");
  int read = 0;
  for (int turn = 0; turn < turns; ++turn) {
    std::string spoilt = whole;
    for (std::uint32_t i = 1 + chance(4); i > 0; --i) {
      std::size_t at = 4 + chance(std::uint32_t(spoilt.size() - 4));
      if (chance(3) == 0) spoilt.erase(at, 1 + chance(8));
      else if (chance(2) == 0) spoilt.insert(at, 1, char(chance()));
      else spoilt[at] = char(chance());
      if (spoilt.size() < 6) break;
    }
    DecodeError error;
    auto message = decode(spoilt, "", error);
    read += message.has_value();
    if (!message) continue;
    for (const MembershipUpdate& update : message->updates)
      assert(is_valid(update.member) && update.state <= MemberState::Departed);
  }
  assert(read > 0 && read < turns);
}

void a_megabyte_of_nested_arrays_is_dropped() {
  std::string deep = std::string("PV\1\0", 4) + std::string(kMaxStateBytes, char(0x81));
  DecodeError error;
  assert(!decode(deep, "", error) && error == DecodeError::Malformed);
  // A length that nothing follows, of more than there is memory for.
  std::string long_one = std::string("PV\1\0", 4) + "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
  assert(!decode(long_one, "", error));
}

void the_fullest_message_is_a_datagram() {
  MembershipUpdate update = update_of(1);
  update.member.name = std::string(kMaxNameBytes, 'x'),
  update.member.address = std::string(kMaxNameBytes, 'x');
  update.member.zone = update.member.build = std::string(kMaxFactBytes, 'x'),
  update.by = std::string(kMaxNameBytes, 'x');
  update.member.facts.clear();
  for (char each : {'a', 'b', 'c', 'd'})
    update.member.facts[std::string(kMaxFactBytes, each)] = std::string(kMaxFactBytes, 'x');
  assert(is_valid(update.member));
  Message full{
      Message::Kind::Ping, ~0u, std::string(kMaxNameBytes, 'x'), std::string(kMaxNameBytes, 'x'), ~0ull, {}};
  for (std::size_t bytes = 0; bytes + max_encoded_size(update) <= Membership::kMostBytes;
       bytes += max_encoded_size(update))
    full.updates.push_back(update);
  assert(!full.updates.empty() && encode(full, "a key").size() <= kMaxDatagramBytes);
}

}  // namespace

int main() {
  what_was_written_is_read();
  with_a_key_no_byte_may_differ();
  without_a_key_nothing_improper_is_read(200000);
  a_megabyte_of_nested_arrays_is_dropped();
  the_fullest_message_is_a_datagram();
  std::puts("codec: stories hold");
}
