// What one member knows of another, and the messages in which members exchange it. Plain values.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace puffinvane::fleet {

// Announced by a member about itself.
enum class Phase : std::uint8_t { Joining, Serving, Leaving };
// What other members conclude about a member. Of two states of the same version the later enumerator wins.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Departed };

// Orders what is known of a member. The generation is the start of its process: each start under the same
// name has a higher one. Within a generation only the member itself raises the incarnation: with each change
// that it announces, and to refute a suspicion of it.
struct Version {
  std::uint64_t generation = 0;
  std::uint32_t incarnation = 0;
  friend auto operator<=>(const Version&, const Version&) = default;
};

struct Member {
  std::string name, address;
  Version version;
  Phase phase = Phase::Joining;
  std::string zone, build;
  int tier = 0;
  std::map<std::string, std::string> facts;  // a few short key-value pairs that the member announces
  friend bool operator==(const Member&, const Member&) = default;
};

struct MembershipUpdate {
  Member member;
  MemberState state = MemberState::Alive;
  std::string reporter;  // the member that reached this conclusion
};

// Members that exceed these limits are rejected.
constexpr std::size_t kMaxNameBytes = 64, kMaxFactCount = 4, kMaxFactBytes = 32;
bool is_valid(const Member& member);
// An upper bound of the bytes that the update takes in a datagram.
std::size_t max_encoded_size(const MembershipUpdate& update);

struct Message {
  // IndirectPing asks the receiver to ping `target` for the sender. Nack is its answer if `target` didn't.
  enum class Kind : std::uint8_t { Ping, Ack, IndirectPing, Nack, Gossip, State };
  Kind kind = Kind::Gossip;
  std::uint32_t sequence = 0;  // of a ping, repeated in the answer to it
  std::string from;
  std::string target;        // of Ping and IndirectPing: the member to be probed
  std::uint64_t digest = 0;  // over all members that the sender considers alive or suspect
  std::vector<MembershipUpdate> updates;
};

}  // namespace puffinvane::fleet
