// What is known of a member, and the messages that carry it. Plain values.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace puffinvane::fleet {

enum class Phase : std::uint8_t { Joining, Serving, Leaving };  // as a member says of itself
enum class MemberState : std::uint8_t {
  Alive,
  Suspect,
  Dead,
  Departed
};  // as others hold of it; later ones win

// A life is a start of the process under its name, later ones higher; within it a member raises its
// incarnation with whatever it says of itself anew, and to refute what is said of it.
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
  std::map<std::string, std::string> facts;  // a few small ones, of this version
  friend bool operator==(const Member&, const Member&) = default;
};

struct MembershipUpdate {
  Member member;
  MemberState state = MemberState::Alive;
  std::string by;  // who says so
};

// Text beyond these is foreign, and dropped.
constexpr std::size_t kMaxNameBytes = 64, kMaxFactCount = 4, kMaxFactBytes = 32;
bool is_valid(const Member& member);
std::size_t max_encoded_size(const MembershipUpdate& update);  // bytes of a datagram that it takes, at most

struct Message {
  // Ask: that another be pinged for the sender; Nothing: it was pinged, and is silent.
  enum class Kind : std::uint8_t { Ping, Ack, IndirectPing, Nack, Gossip, State };
  Kind kind = Kind::Gossip;
  std::uint32_t number = 0;
  std::string from, about;   // about: whom a ping is for, or whom an ask is about
  std::uint64_t digest = 0;  // of the live members as the sender knows them
  std::vector<MembershipUpdate> updates;
};

}  // namespace puffinvane::fleet
