// Membership of the fleet and its failure detector, after SWIM (Das, Gupta, Motivala 2002) and Lifeguard
// (Dadgar, Phillips, Currey 2018): each member probes random others, and findings spread by gossip. It has
// neither sockets nor a clock: the caller passes in the time and the received messages, and a Host sends
// messages and learns of changes. docs/fleet-design.md lists what differs from the papers.
#pragma once

#include <optional>
#include <pcg_random.hpp>
#include <set>

#include "puffinvane/transition_table.h"
#include "src/fleet/membership/member.h"

namespace puffinvane::fleet {

// Times in seconds. Operators can't set these: they only configure names, addresses and seeds.
struct DetectorTiming {
  double probe_interval = 0.5;  // one member is probed in each interval
  double ack_timeout = 0.2;     // for the direct ack; the rest of the interval is left for indirect pings
  double gossip_interval = 0.1;
  int gossip_fanout = 3;      // members that each round of gossip is sent to
  int indirect_pings = 3;     // members asked to ping a target that hasn't answered
  int max_confirmations = 3;  // accusers beyond the first that shorten a suspicion to its minimum
  // The minimum duration of a suspicion is this * log10(members) * probe_interval.
  double suspicion_multiplier = 4;
  double max_suspicion_factor = 3;  // maximum duration of a suspicion / its minimum
  int retransmit_multiplier = 4;    // each update is sent this * log10(members) times
  double reconnect_interval = 1;    // between attempts to reach a dead member or an absent seed
  double sync_interval = 5;         // between full state exchanges that this member starts
  double settle_time = 2;           // digests are compared only after this long without a change
  double forget_after = 600;        // dead and departed members are forgotten after this
};

class Membership {
 public:
  class Host {
   public:
    virtual ~Host() = default;
    virtual void send(const std::string& address, const Message& message) = 0;
    // Starts a full state exchange: each side then gets merge_state with the state() of the other.
    virtual void request_sync(const std::string& address) = 0;
    // Calls on_timer at this time. A call doesn't cancel earlier ones: on_timer ignores superfluous calls.
    virtual void schedule_timer(double at) = 0;
    virtual void on_member_changed(const Member& member, MemberState state) = 0;
    // Another process with this member's name has a higher generation. While that one is alive this member
    // takes no part in the fleet.
    virtual void on_superseded(bool superseded, const std::string& by) = 0;
  };
  struct Entry {
    Member member;
    MemberState state = MemberState::Alive;
    double since = 0;            // when the state last changed
    std::size_t live_index = 0;  // into live_members_, if alive or suspect
  };
  struct Counts {
    std::uint64_t refuted = 0, suspected = 0, declared_dead = 0, dropped = 0, syncs = 0, stalls = 0;
  };
  // Members that are remembered at most. Dead and departed ones are forgotten first to make room.
  static constexpr std::size_t kMaxMembers = 4096;
  static constexpr std::size_t kMaxUpdateBytes = 1150;  // of updates in one datagram

  // self.version.generation: from the clock. It is raised if other members remember a higher one.
  Membership(Member self, std::vector<std::string> seeds, const DetectorTiming& timing, std::uint64_t seed,
             Host& host);

  void start(double now);
  void on_timer(double now);
  void receive(double now, const Message& message, const std::string& source);
  // For a full state exchange. The side that answers takes its state() before it merges the other's.
  Message state() const;
  void merge_state(double now, const Message& theirs);
  void announce(double now, Phase phase, std::map<std::string, std::string> facts);
  void depart(double now);  // tells others that this member departs, and takes no further part

  const Member& self() const { return self_; }
  const std::map<std::string, Entry>& others() const { return others_; }
  bool is_live(const Entry& entry) const { return entry.state <= MemberState::Suspect; }
  std::size_t live_count() const { return live_members_.size() + 1; }  // this member included
  std::uint64_t digest() const { return digest_; }
  bool is_superseded() const { return superseded_; }
  int awareness() const { return awareness_; }
  const Counts& counts() const { return counts_; }

 private:
  enum class Probe { Idle, AwaitingAck, AwaitingIndirectAck };
  enum class Input { ProbeDue, AckTimeout, Acked, PeriodEnded };
  static const Transition<Membership, Probe, Input> kProbeTransitions[];
  struct Suspicion {
    double started_at = 0, min_duration = 0, max_duration = 0;
    std::set<std::string> accusers;
    std::string latest_accuser;
    int final_pings = 0;  // sent to the suspect after the deadline, before it is declared dead
  };
  // A ping sent on behalf of another member, which asked for it with an IndirectPing.
  struct ProxiedPing {
    std::string requester;  // its address
    std::uint32_t sequence = 0, requester_sequence = 0;
    double nack_at = 0;
  };

  void begin_probe();
  void send_indirect_pings();
  void on_probe_acked();
  void on_probe_failed();

  void process_update(const MembershipUpdate& update);
  void process_update_about_self(const MembershipUpdate& update);
  void accept_update(Entry& entry, const MembershipUpdate& update);
  void start_suspicion(const std::string& name, const std::string& accuser);
  void set_own_version(Version version);
  void resolve_name_conflict(const MembershipUpdate& update);
  void enqueue_update(const std::string& name) { update_queue_[name] = 0; }
  void confirm_suspicion(const std::string& name, const std::string& accuser);
  double suspicion_deadline(const Suspicion& suspicion) const;
  void check_suspicions();
  void send_gossip();
  void reconnect();
  void forget_dead_members();
  void compare_digest(const Message& message);
  void reschedule_timer();
  // Adds queued updates to the message, the one about `first_update` before all others.
  void send(const std::string& address, Message message, const std::string& first_update = "");
  std::optional<MembershipUpdate> update_of(const std::string& name) const;
  void add_live(Entry& entry);
  void remove_live(Entry& entry);
  std::uint64_t version_hash(const Member& member) const;
  double log_member_count() const;
  std::size_t random(std::size_t below) { return std::size_t(rng_(std::uint32_t(below))); }
  std::vector<std::string> random_live_members(std::size_t count, const std::string& excluded);
  void on_stall(double seconds);
  void send_due_nacks();
  void adjust_awareness(int change);

  Member self_;
  std::vector<std::string> seeds_;
  DetectorTiming timing_;
  pcg32 rng_;
  Host& host_;
  std::map<std::string, Entry> others_;
  std::vector<Entry*> live_members_;  // the live ones of others_, in no particular order
  std::uint64_t digest_ = 0;
  std::map<std::string, int> update_queue_;  // members whose update is to be sent, and how often it was
  std::map<std::string, Suspicion> suspicions_;
  std::vector<std::string> probe_order_;  // what is left of a random permutation of the live members
  Probe probe_ = Probe::Idle;
  std::string probe_target_;
  std::uint32_t probe_sequence_ = 0;
  int indirect_pings_sent_ = 0, nacks_received_ = 0;  // for the current probe
  std::vector<ProxiedPing> proxied_pings_;
  double now_ = 0, next_probe_ = 0, ack_timeout_at_ = 0, next_gossip_ = 0, next_reconnect_ = 0,
         next_forget_ = 0;
  double timer_at_ = -1;  // the earliest time that schedule_timer was called for; negative: none is pending
  double last_change_at_ = 0, last_sync_at_ = -1e9;
  int awareness_ =
      0;  // Lifeguard's local health: higher if this member itself may be slow; stretches timeouts
  bool superseded_ = false, departed_ = false;
  std::string superseded_by_;  // never set
  Counts counts_;
};

}  // namespace puffinvane::fleet
