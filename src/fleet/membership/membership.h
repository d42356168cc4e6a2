// Who is there: a failure detector by random probes and a rumour that carries its findings, as published for
// SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018). No sockets, no clock of its
// own: `now` and messages in, messages and changes out. docs/fleet-design.md says what was kept and changed.
#pragma once

#include <optional>
#include <pcg_random.hpp>
#include <set>

#include "puffinvane/transition_table.h"
#include "src/fleet/membership/member.h"

namespace puffinvane::fleet {

// Times in seconds. A detector's own: what an operator sets is whom to ask and under which name.
struct DetectorTiming {
  double probe = 0.5;   // a member a period
  double answer = 0.2;  // how long a direct answer is waited for; the rest of the period is for others' help
  double gossip = 0.1;
  int fanout = 3;         // members told at a time
  int helpers = 3;        // asked to ping for this one
  int confirmations = 3;  // of other accusers, that shorten a suspicion to its least
  double suspicion = 4;   // its least: times log10 of the members, times a period
  double doubt = 3;       // its longest, times the least
  int retransmit = 4;     // a piece of news, times log10 of the members
  double reconnect = 1;   // how often one that is gone, or a seed, is tried
  double sync = 5;        // between two whole states that this member asks for
  double settle = 2;      // for how long nothing is new before views are compared
  double forget = 600;    // the dead, after that
};

class Membership {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    virtual void send(const std::string& address, const Message& message) = 0;
    virtual void sync(const std::string& address) = 0;  // whole states are exchanged: `exchange` at both
    virtual void wake(double at) = 0;                   // the earliest asked for counts
    virtual void changed(const Member& member, MemberState state) = 0;
    // Another process lives under this one's name, later: this one is no member until that one is gone.
    virtual void superseded(bool yes, const std::string& by) = 0;
  };
  struct Entry {
    Member member;
    MemberState state = MemberState::Alive;
    double since = 0;       // of the belief
    std::size_t place = 0;  // among the live ones
  };
  struct Counts {
    std::uint64_t refuted = 0, suspected = 0, died = 0, dropped = 0, syncs = 0, stalls = 0;
  };
  static constexpr std::size_t kMost = 4096;       // members, dead ones too: they go first
  static constexpr std::size_t kMostBytes = 1150;  // of news in a datagram

  // me.version.generation: by the clock; what others remember of the name may raise it.
  Membership(Member me, std::vector<std::string> seeds, const DetectorTiming& timing, std::uint64_t seed,
             Host& host);

  void start(double now);
  void woken(double now);
  void receive(double now, const Message& message, const std::string& source);
  // Whole states: this one's before it has heard theirs.
  Message state() const;
  void exchange(double now, const Message& theirs);
  void say(double now, Phase phase, std::map<std::string, std::string> facts);
  void depart(double now);  // its last word

  const Member& me() const { return me_; }
  const std::map<std::string, Entry>& others() const { return others_; }
  bool live(const Entry& entry) const { return entry.state <= MemberState::Suspect; }
  std::size_t live() const { return living_.size() + 1; }  // with itself
  std::uint64_t digest() const { return digest_; }
  bool is_superseded() const { return superseded_; }
  int awareness() const { return awareness_; }
  const Counts& counts() const { return counts_; }

 private:
  enum class Probe { Idle, Asked, Helped };
  enum class Input { Due, Silent, Answered, Over };
  static const Transition<Membership, Probe, Input> kProbe[];
  struct Suspicion {
    double from = 0, least = 0, longest = 0;
    std::set<std::string> accusers;
    std::string latest;
    int last_words = 0;  // asked for, of who is about to be buried
  };
  struct Helped {  // a ping sent for another
    std::string address;
    std::uint32_t number = 0, asked = 0;
    double until = 0;
  };

  void begin_probe();
  void ask_for_help();
  void probe_answered();
  void probe_failed();

  void hear(const MembershipUpdate& update);
  void hear_of_me(const MembershipUpdate& update);
  void apply(Entry& entry, const MembershipUpdate& update);
  void suspect(const std::string& name, const std::string& by);
  void renew(Version version);
  void outlive(const MembershipUpdate& update);
  void spread(const std::string& name) { queue_[name] = 0; }
  void confirm(const std::string& name, const std::string& by);
  double suspected_until(const Suspicion& suspicion) const;
  void suspicions_due();
  void gossip();
  void reconnect();
  void forget();
  void compare(const Message& message);
  void ask_to_wake();
  void send(const std::string& address, Message message, const std::string& first = "");
  std::optional<MembershipUpdate> update_of(const std::string& name) const;
  void count_in(Entry& entry);
  void count_out(Entry& entry);
  std::uint64_t mark(const Member& member) const;
  double log_size() const;
  std::size_t random(std::size_t below) { return std::size_t(chance_(std::uint32_t(below))); }
  std::vector<std::string> random_live(std::size_t count, const std::string& but);
  void stalled(double seconds);
  void help_due();
  void aware(int change);

  Member me_;
  std::vector<std::string> seeds_;
  DetectorTiming timing_;
  pcg32 chance_;
  Host& host_;
  std::map<std::string, Entry> others_;
  std::vector<Entry*> living_;  // of the others, in no order
  std::uint64_t digest_ = 0;
  std::map<std::string, int> queue_;  // news by name, and how often they were passed on
  std::map<std::string, Suspicion> suspicions_;
  std::vector<std::string> round_;  // whom to probe, in an order drawn anew each time round
  Probe probe_ = Probe::Idle;
  std::string target_;
  std::uint32_t number_ = 0;
  int helpers_ = 0, silent_helpers_ = 0;  // asked, and those of them that heard nothing either
  std::vector<Helped> helping_;
  double now_ = 0, next_probe_ = 0, next_step_ = 0, next_gossip_ = 0, next_reconnect_ = 0, next_forget_ = 0;
  double asked_wake_ = -1;
  double changed_at_ = 0, synced_at_ = -1e9;
  int awareness_ = 0;
  bool superseded_ = false, departed_ = false;
  std::string twin_;  // the address of the later process
  Counts counts_;
};

}  // namespace puffinvane::fleet
