#include "src/fleet/fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace puffinvane::fleet {

namespace {
constexpr double kOpenRetryInterval = 0.1;  // seconds between attempts to bind an address that is still taken
constexpr const char* kStateNames[] = {"alive", "suspect", "dead", "departed"};  // by MemberState
constexpr const char* kPhaseNames[] = {"joining", "serving", "leaving"};         // by Phase

Member make_self(const FleetConfig& config, double unix_now) {
  Member self;
  self.name = config.name;
  self.address = config.advertise.empty() ? config.listen : config.advertise;
  // A restart has to get a higher generation than the process before it. If the clock was set back, the
  // others report the higher generation that they remember, and this member raises its own above it.
  self.version.generation = std::uint64_t(std::max(1.0, unix_now * 1e6));
  if (!config.admin.empty() && config.admin.size() <= kMaxFactBytes) self.facts["console"] = config.admin;
  self.zone = config.zone;
  self.build = config.build;
  self.tier = config.tier;
  return self;
}
}  // namespace

Fleet::Fleet(Loop& loop, const FleetConfig& config, double unix_offset, std::uint64_t seed, Owner& owner)
    : loop_(loop),
      owner_(owner),
      listen_(config.listen),
      transport_(loop, *this, config.key),
      membership_(make_self(config, loop.now() + unix_offset), config.seeds, DetectorTiming(), seed, *this) {}

void Fleet::open() {
  transport_.open(listen_);
  membership_.start(loop_.now());
}

void Fleet::open_with_retry() {
  if (closed_) return;
  try {
    open();
  } catch (const std::exception&) {
    loop_.at(loop_.now() + kOpenRetryInterval, alive_.guard([this] { open_with_retry(); }));
  }
}

void Fleet::close_without_departing() {
  closed_ = true;
  transport_.close();
}

void Fleet::close() {
  if (closed_) return;
  membership_.depart(loop_.now());
  close_without_departing();
}

void Fleet::schedule_timer(double at) {
  loop_.at(at, alive_.guard([this] {
    if (!closed_) membership_.on_timer(loop_.now());
  }));
}

void Fleet::on_member_changed(const Member& member, MemberState state) {
  has_seen_others_ = true;
  loop_.log().debug() << "fleet: " << member.name << " at " << member.address << " is "
                      << kStateNames[std::size_t(state)] << ", " << kPhaseNames[std::size_t(member.phase)];
  // A full state exchange changes many members at once: the owner is notified once for all of them.
  if (std::exchange(notification_pending_, true)) return;
  loop_.post(alive_.guard([this] {
    notification_pending_ = false;
    owner_.on_members_changed();
  }));
}

void Fleet::on_superseded(bool superseded, const std::string& by) {
  const std::string& name = membership_.self().name;
  if (superseded)
    loop_.log().warning() << "fleet: another process uses the member name " << name << ", at " << by
                          << ", and started later; this process is no member until that one is gone";
  else loop_.log().info() << "fleet: this process is the member " << name << " again";
}

void Fleet::on_message(const Message& message, const std::string& source) {
  membership_.receive(loop_.now(), message, source);
}

std::optional<Fleet::Share> Fleet::own_share(const std::vector<Participant>& endpoints) const {
  const Member& self = membership_.self();
  if (membership_.is_superseded() || (membership_.live_count() == 1 && !has_seen_others_))
    return std::nullopt;
  // This instance and all others of its tier that take requests, sorted by name: each of them computes the
  // same order.
  std::vector<Participant> sidecars{{self.name, 1}};
  for (const auto& [name, entry] : membership_.others()) {
    if (membership_.is_live(entry) && entry.member.tier == self.tier && entry.member.phase == Phase::Serving)
      sidecars.push_back({name, 1});
  }
  auto by_name = [](const Participant& one, const Participant& other) { return one.name < other.name; };
  std::sort(sidecars.begin(), sidecars.end(), by_name);
  auto own_position = std::lower_bound(sidecars.begin(), sidecars.end(), Participant{self.name, 1}, by_name);
  Share share{{}, int(own_position - sidecars.begin()), int(sidecars.size())};
  for (const Pair& pair : assign_endpoints(sidecars, endpoints).pairs) {
    if (pair.sidecar == share.instance_index)
      share.own_weights.emplace(endpoints[std::size_t(pair.endpoint)].name, pair.load * share.instance_count);
  }
  return share;
}

std::string Fleet::to_json(const std::optional<Share>& share) const {
  using nlohmann::json;
  auto member_json = [](const Member& member, const char* state, double age) {
    return json{{"name", member.name},
                {"address", member.address},
                {"belief", state},
                {"phase", kPhaseNames[std::size_t(member.phase)]},
                {"life", member.version.generation},
                {"incarnation", member.version.incarnation},
                {"zone", member.zone},
                {"tier", member.tier},
                {"build", member.build},
                {"for_s", age},
                {"facts", member.facts}};
  };
  json members = json::array();
  members.push_back(member_json(membership_.self(), membership_.is_superseded() ? "superseded" : "alive", 0));
  for (const auto& [name, entry] : membership_.others())
    members.push_back(
        member_json(entry.member, kStateNames[std::size_t(entry.state)], loop_.now() - entry.since));
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(membership_.digest()));
  json fleet = {{"me", membership_.self().name},
                {"live", membership_.live_count()},
                {"view", digest},
                {"members", members}};
  if (share)
    fleet["part"] = {{"place", share->instance_index},
                     {"sidecars", share->instance_count},
                     {"endpoints", share->own_weights}};
  return fleet.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::vector<Fleet::Metric> Fleet::metrics() const {
  const Transport::Counts& transport = transport_.counts();
  const Membership::Counts& membership = membership_.counts();
  return {
      {"members", "gauge", "Live members of the fleet, this one too.", membership_.live_count()},
      {"superseded", "gauge", "1 while a later process lives under this one's name.",
       membership_.is_superseded()},
      {"slowness", "gauge", "By how much this one doubts itself.", std::uint64_t(membership_.awareness())},
      {"messages_sent_total", "counter", "Datagrams sent.", transport.sent},
      {"bytes_sent_total", "counter", "Bytes of these.", transport.bytes_sent},
      {"messages_received_total", "counter", "Datagrams received, dropped ones too.", transport.received},
      {"malformed_total", "counter", "Dropped: can't be read.", transport.malformed},
      {"foreign_total", "counter", "Dropped: another key's, or none.", transport.wrong_key},
      {"version_total", "counter", "Dropped: another version of the protocol.", transport.wrong_version},
      {"unsent_total", "counter", "Not sent: the socket was full, or it was too long.", transport.unsent},
      {"pauses_total", "counter", "Times that peers had had their share of the loop.", transport.pauses},
      {"states_total", "counter", "Whole states received.", transport.states_received},
      {"refuted_total", "counter", "Times this one was held for dead, and said otherwise.",
       membership.refuted},
      {"suspected_total", "counter", "Suspicions of others.", membership.suspected},
      {"died_total", "counter", "Members buried by this one.", membership.declared_dead},
      {"dropped_total", "counter", "News that no member can be, or that there was no room for.",
       membership.dropped},
      {"syncs_total", "counter", "Whole states asked for, as views differed.", membership.syncs},
      {"stalls_total", "counter", "Times this process stood still.", membership.stalls},
  };
}

}  // namespace puffinvane::fleet
