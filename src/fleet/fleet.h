// The fleet as one instance takes share in it: its membership on its link. Off unless the settings have it.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/membership/membership.h"
#include "src/fleet/shares/shares.h"
#include "src/fleet/transport/transport.h"

namespace puffinvane::fleet {

struct FleetConfig {                    // what the settings say
  std::string name, listen, advertise;  // advertise: where others reach it, if that is not where it listens
  std::vector<std::string> seeds;
  std::string key, zone, build, admin;  // admin: where operators ask it, told to all
  int tier = 0;
};

class Fleet final : Membership::Host, Transport::Owner {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_members_changed() = 0;  // who is there changed, or what they say
  };
  // offset: Unix time less the loop's clock.
  Fleet(Loop& loop, const FleetConfig& place, double offset, std::uint64_t seed, Owner& owner);
  void open();             // throws std::runtime_error
  void open_with_retry();  // after a predecessor, which has the address until it has handed over
  void announce_serving() { membership_.say(loop_.now(), Phase::Serving, membership_.me().facts); }
  void announce_leaving() { membership_.say(loop_.now(), Phase::Leaving, membership_.me().facts); }
  void close();
  void close_without_departing();  // to a successor, which is a later life of this place: nobody is told that
                                   // it departs
  // This one's share of the fleet's load on each endpoint that it has pairs with, times the sidecars. Nothing
  // until it has met another: the numbers in the settings hold till then, and live ones ever after.
  struct Share {
    std::map<std::string, double, std::less<>> own_weights;
    int instance_index = 0, instance_count = 1;
  };
  std::optional<Share> own_share(const std::vector<Participant>& endpoints) const;
  std::string to_json(const std::optional<Share>& share) const;  // JSON, as `puffinvane fleet show` reads it
  struct Metric {
    const char *name, *type, *help;
    std::uint64_t value;
  };
  std::vector<Metric> metrics() const;

 private:
  void send(const std::string& address, const Message& message) override {
    transport_.send(address, message);
  }
  void sync(const std::string& address) override { transport_.sync(address); }
  void wake(double at) override;
  void changed(const Member& member, MemberState state) override;
  void superseded(bool yes, const std::string& by) override;
  void on_message(const Message& message, const std::string& source) override;
  void on_state(const Message& theirs) override { membership_.exchange(loop_.now(), theirs); }
  Message state() const override { return membership_.state(); }

  Loop& loop_;
  Owner& owner_;
  const std::string listen_;
  Transport transport_;
  Membership membership_;
  bool notifying_ = false, closed_ = false, met_ = false;
  LifetimeToken alive_;
};

}  // namespace puffinvane::fleet
