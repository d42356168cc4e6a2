#include "src/fleet/fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace puffinvane::fleet {

namespace {
constexpr double kInTurn = 0.1;  // between two tries for an address that a predecessor has
constexpr const char* kBeliefs[] = {"alive", "suspect", "dead", "departed"};
constexpr const char* kPhases[] = {"joining", "serving", "leaving"};

Member member_of(const FleetConfig& config, double unix_now) {
  Member me;
  me.name = config.name;
  me.address = config.advertise.empty() ? config.listen : config.advertise;
  me.version.generation =
      std::uint64_t(std::max(1.0, unix_now * 1e6));  // others' memory mends a clock set back
  if (!config.admin.empty() && config.admin.size() <= kMaxFactBytes) me.facts["console"] = config.admin;
  me.zone = config.zone, me.build = config.build, me.tier = config.tier;
  return me;
}
}  // namespace

Fleet::Fleet(Loop& loop, const FleetConfig& config, double offset, std::uint64_t seed, Owner& owner)
    : loop_(loop),
      owner_(owner),
      listen_(config.listen),
      transport_(loop, *this, config.key),
      membership_(member_of(config, loop.now() + offset), config.seeds, DetectorTiming(), seed, *this) {}

void Fleet::open() {
  transport_.open(listen_);
  membership_.start(loop_.now());
}

void Fleet::open_with_retry() {
  if (closed_) return;
  try {
    open();
  } catch (const std::exception&) {
    loop_.at(loop_.now() + kInTurn, alive_.guard([this] { open_with_retry(); }));
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

void Fleet::wake(double at) {
  loop_.at(at, alive_.guard([this] {
    if (!closed_) membership_.woken(loop_.now());
  }));
}

void Fleet::changed(const Member& member, MemberState state) {
  met_ = true;
  loop_.log().debug() << "fleet: " << member.name << " at " << member.address << " is "
                      << kBeliefs[std::size_t(state)] << ", " << kPhases[std::size_t(member.phase)];
  // A whole state changes many at once: they are told of once.
  if (std::exchange(notifying_, true)) return;
  loop_.post(alive_.guard([this] { notifying_ = false, owner_.on_members_changed(); }));
}

void Fleet::superseded(bool yes, const std::string& by) {
  if (yes)
    loop_.log().warning() << "fleet: " << membership_.me().name << " also lives at " << by
                          << ", started later; this one is no member until that one is gone";
  else loop_.log().info() << "fleet: " << membership_.me().name << " is a member again";
}

void Fleet::on_message(const Message& message, const std::string& source) {
  membership_.receive(loop_.now(), message, source);
}

std::optional<Fleet::Share> Fleet::own_share(const std::vector<Participant>& endpoints) const {
  const Member& me = membership_.me();
  if (membership_.is_superseded() || (membership_.live() == 1 && !met_)) return std::nullopt;
  // Of one tier, and taking requests: by name, as all of them see it.
  std::vector<Participant> sidecars{{me.name, 1}};
  for (const auto& [name, entry] : membership_.others()) {
    if (membership_.live(entry) && entry.member.tier == me.tier && entry.member.phase == Phase::Serving)
      sidecars.push_back({name, 1});
  }
  auto by_name = [](const Participant& one, const Participant& other) { return one.name < other.name; };
  std::sort(sidecars.begin(), sidecars.end(), by_name);
  auto mine = std::lower_bound(sidecars.begin(), sidecars.end(), Participant{me.name, 1}, by_name);
  Share share{{}, int(mine - sidecars.begin()), int(sidecars.size())};
  for (const Pair& pair : assign_endpoints(sidecars, endpoints).pairs) {
    if (pair.sidecar == share.instance_index)
      share.own_weights.emplace(endpoints[std::size_t(pair.endpoint)].name, pair.load * share.instance_count);
  }
  return share;
}

std::string Fleet::to_json(const std::optional<Share>& share) const {
  using nlohmann::json;
  auto row = [](const Member& member, const char* state, double age) {
    return json{{"name", member.name},
                {"address", member.address},
                {"belief", state},
                {"phase", kPhases[std::size_t(member.phase)]},
                {"life", member.version.generation},
                {"incarnation", member.version.incarnation},
                {"zone", member.zone},
                {"tier", member.tier},
                {"build", member.build},
                {"for_s", age},
                {"facts", member.facts}};
  };
  json members = json::array();
  members.push_back(row(membership_.me(), membership_.is_superseded() ? "superseded" : "alive", 0));
  for (const auto& [name, entry] : membership_.others())
    members.push_back(row(entry.member, kBeliefs[std::size_t(entry.state)], loop_.now() - entry.since));
  char view[17];
  std::snprintf(view, sizeof view, "%016llx", static_cast<unsigned long long>(membership_.digest()));
  json all = {
      {"me", membership_.me().name}, {"live", membership_.live()}, {"view", view}, {"members", members}};
  if (share)
    all["part"] = {{"place", share->instance_index},
                   {"sidecars", share->instance_count},
                   {"endpoints", share->own_weights}};
  return all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::vector<Fleet::Metric> Fleet::metrics() const {
  const Transport::Counts& link = transport_.counts();
  const Membership::Counts& counts = membership_.counts();
  return {
      {"members", "gauge", "Live members of the fleet, this one too.", membership_.live()},
      {"superseded", "gauge", "1 while a later process lives under this one's name.",
       membership_.is_superseded()},
      {"slowness", "gauge", "By how much this one doubts itself.", std::uint64_t(membership_.awareness())},
      {"messages_sent_total", "counter", "Datagrams sent.", link.sent},
      {"bytes_sent_total", "counter", "Bytes of these.", link.bytes_sent},
      {"messages_received_total", "counter", "Datagrams received, dropped ones too.", link.received},
      {"malformed_total", "counter", "Dropped: can't be read.", link.malformed},
      {"foreign_total", "counter", "Dropped: another key's, or none.", link.foreign},
      {"version_total", "counter", "Dropped: another version of the protocol.", link.version},
      {"unsent_total", "counter", "Not sent: the socket was full, or it was too long.", link.unsent},
      {"pauses_total", "counter", "Times that peers had had their share of the loop.", link.pauses},
      {"states_total", "counter", "Whole states received.", link.states},
      {"refuted_total", "counter", "Times this one was held for dead, and said otherwise.", counts.refuted},
      {"suspected_total", "counter", "Suspicions of others.", counts.suspected},
      {"died_total", "counter", "Members buried by this one.", counts.died},
      {"dropped_total", "counter", "News that no member can be, or that there was no room for.",
       counts.dropped},
      {"syncs_total", "counter", "Whole states asked for, as views differed.", counts.syncs},
      {"stalls_total", "counter", "Times this process stood still.", counts.stalls},
  };
}

}  // namespace puffinvane::fleet
