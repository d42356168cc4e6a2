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
  return {Message::Kind::Ask, 0xfffffff0, "n1", "n2", ~0ull, {update_of(3), update_of(4)}};
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
    Fault fault;
    auto back = decode(encode(message(), key), key, fault);
    assert(back && same(*back, message()) && fault == Fault::None);
  }
}

void with_a_key_no_byte_may_differ() {
  std::string bytes = encode(message(), "a key");
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string spoilt = bytes;
    spoilt[at] ^= 1;
    Fault fault;
    assert(!decode(spoilt, "a key", fault) && fault != Fault::None);
    assert(!decode(bytes.substr(0, at), "a key", fault));
  }
  Fault fault;
  assert(!decode(bytes, "another", fault) && fault == Fault::Foreign);
  assert(!decode(bytes, "", fault) && fault == Fault::Foreign);
  assert(!decode(encode(message(), ""), "a key", fault) && fault == Fault::Foreign);
  bytes[2] = 2;
  assert(!decode(bytes, "a key", fault) && fault == Fault::Version);
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
    Fault fault;
    auto message = decode(spoilt, "", fault);
    read += message.has_value();
    if (!message) continue;
    for (const MembershipUpdate& update : message->updates)
      assert(proper(update.member) && update.state <= MemberState::Departed);
  }
  assert(read > 0 && read < turns);
}

void a_megabyte_of_nested_arrays_is_dropped() {
  std::string deep = std::string("PV\1\0", 4) + std::string(kMostState, char(0x81));
  Fault fault;
  assert(!decode(deep, "", fault) && fault == Fault::Malformed);
  // A length that nothing follows, of more than there is memory for.
  std::string long_one = std::string("PV\1\0", 4) + "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
  assert(!decode(long_one, "", fault));
}

void the_fullest_message_is_a_datagram() {
  MembershipUpdate update = update_of(1);
  update.member.name = std::string(kMostName, 'x'), update.member.address = std::string(kMostName, 'x');
  update.member.zone = update.member.build = std::string(kMostFact, 'x'),
  update.by = std::string(kMostName, 'x');
  update.member.facts.clear();
  for (char each : {'a', 'b', 'c', 'd'})
    update.member.facts[std::string(kMostFact, each)] = std::string(kMostFact, 'x');
  assert(proper(update.member));
  Message full{Message::Kind::Ping, ~0u, std::string(kMostName, 'x'), std::string(kMostName, 'x'), ~0ull, {}};
  for (std::size_t bytes = 0; bytes + weight(update) <= Membership::kMostBytes; bytes += weight(update))
    full.updates.push_back(update);
  assert(!full.updates.empty() && encode(full, "a key").size() <= kMostDatagram);
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
