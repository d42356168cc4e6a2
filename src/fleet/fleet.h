// One instance's participation in the fleet: its membership state machine connected to its network transport.
// An instance has a Fleet only if its settings contain a `fleet` section.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/membership/membership.h"
#include "src/fleet/shares/shares.h"
#include "src/fleet/transport/transport.h"

namespace puffinvane::fleet {

struct FleetConfig {
  std::string name;
  std::string listen;     // the address to bind
  std::string advertise;  // the address that other members send to; empty: the same as `listen`
  std::vector<std::string> seeds;
  std::string key;  // shared by all members to authenticate messages; empty: no authentication
  std::string zone, build;
  std::string admin;  // the address of the admin API, announced to all members
  int tier = 0;
};

class Fleet final : Membership::Host, Transport::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // The set of members has changed, or what one of them announces.
    virtual void on_members_changed() = 0;
  };
  // unix_offset: Unix time minus the loop's clock, in seconds.
  Fleet(Loop& loop, const FleetConfig& config, double unix_offset, std::uint64_t seed, Owner& owner);
  void open();  // throws std::runtime_error if the address can't be bound
  // Opens once the address is free: during a hot restart the predecessor holds it until the takeover.
  void open_with_retry();
  void announce_serving() { membership_.announce(loop_.now(), Phase::Serving, membership_.self().facts); }
  void announce_leaving() { membership_.announce(loop_.now(), Phase::Leaving, membership_.self().facts); }
  // Tells other members that this one departs, then closes the sockets.
  void close();
  // Closes the sockets only. For a hot restart: the successor continues the membership under the same name,
  // so other members must not see a departure.
  void close_without_departing();
  // This instance's part of the fleet's load. own_weights has one entry for each endpoint that is assigned to
  // this instance: the fraction of the fleet's load that this instance sends to it, multiplied by
  // instance_count.
  struct Share {
    std::map<std::string, double, std::less<>> own_weights;
    int instance_index = 0, instance_count = 1;
  };
  // Empty until this instance has seen another member: until then the instance count of the settings applies,
  // and from then on the number of live members. Empty also while this instance is superseded.
  std::optional<Share> own_share(const std::vector<Participant>& endpoints) const;
  // The JSON that the admin API returns and `puffinvane fleet show` reads.
  std::string to_json(const std::optional<Share>& share) const;
  struct Metric {
    const char *name, *type, *help;
    std::uint64_t value;
  };
  std::vector<Metric> metrics() const;

 private:
  void send(const std::string& address, const Message& message) override {
    transport_.send(address, message);
  }
  void request_sync(const std::string& address) override { transport_.sync(address); }
  void schedule_timer(double at) override;
  void on_member_changed(const Member& member, MemberState state) override;
  void on_superseded(bool superseded, const std::string& by) override;
  void on_message(const Message& message, const std::string& source) override;
  void on_state(const Message& state) override { membership_.merge_state(loop_.now(), state); }
  Message state() const override { return membership_.state(); }

  Loop& loop_;
  Owner& owner_;
  const std::string listen_;
  Transport transport_;
  Membership membership_;
  bool notification_pending_ = false, closed_ = false;
  bool has_seen_others_ = false;
  LifetimeToken alive_;
};

}  // namespace puffinvane::fleet
