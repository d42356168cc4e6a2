#include "src/fleet/membership/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace puffinvane::fleet {

namespace {
constexpr int kMaxAwareness = 2;  // timeouts are stretched by up to 1 + this, as in Lifeguard
constexpr int kMaxFinalPings = 5;
constexpr std::size_t kMaxProxiedPings = 64;  // pending at the same time
// A proxied ping is answered with a Nack after this share of the time that the requester's probe interval
// leaves after the ack timeout: the Nack itself has to arrive within the interval.
constexpr double kProxyTimeoutShare = 0.6;
// A generation is a Unix time in microseconds, so this is not reached before the year 2255.
constexpr std::uint64_t kMaxGeneration = std::uint64_t{1} << 53;
}  // namespace

bool is_valid(const Member& member) {
  auto fits = [](const std::string& text, std::size_t max_bytes) { return text.size() <= max_bytes; };
  if (member.name.empty() || member.address.empty() || member.facts.size() > kMaxFactCount) return false;
  if (!fits(member.name, kMaxNameBytes) || !fits(member.address, kMaxNameBytes)) return false;
  if (!fits(member.zone, kMaxFactBytes) || !fits(member.build, kMaxFactBytes)) return false;
  if (member.version.generation == 0 || member.version.generation > kMaxGeneration ||
      member.phase > Phase::Leaving)
    return false;
  return std::all_of(member.facts.begin(), member.facts.end(), [&](const auto& fact) {
    return fits(fact.first, kMaxFactBytes) && fits(fact.second, kMaxFactBytes);
  });
}

std::size_t max_encoded_size(const MembershipUpdate& update) {
  const Member& member = update.member;
  std::size_t bytes = 40 + member.name.size() + member.address.size() + member.zone.size() +
                      member.build.size() + update.reporter.size();
  for (const auto& [key, value] : member.facts) bytes += 4 + key.size() + value.size();
  return bytes;
}

const Transition<Membership, Membership::Probe, Membership::Input> Membership::kProbeTransitions[] = {
    {Probe::Idle, Input::ProbeDue, Probe::AwaitingAck, &Membership::begin_probe},
    {Probe::AwaitingAck, Input::AckTimeout, Probe::AwaitingIndirectAck, &Membership::send_indirect_pings},
    {Probe::AwaitingAck, Input::Acked, Probe::Idle, &Membership::on_probe_acked},
    {Probe::AwaitingIndirectAck, Input::Acked, Probe::Idle, &Membership::on_probe_acked},
    {Probe::AwaitingAck, Input::PeriodEnded, Probe::Idle, &Membership::on_probe_failed},
    {Probe::AwaitingIndirectAck, Input::PeriodEnded, Probe::Idle, &Membership::on_probe_failed},
};

Membership::Membership(Member self, std::vector<std::string> seeds, const DetectorTiming& timing,
                       std::uint64_t seed, Host& host)
    : self_(std::move(self)), seeds_(std::move(seeds)), timing_(timing), rng_(seed), host_(host) {
  std::erase(seeds_, self_.address);
  digest_ = version_hash(self_);
}

void Membership::start(double now) {
  now_ = now;
  // The first probe and the first reconnect are delayed at random: members that were started together would
  // otherwise stay in step.
  next_probe_ = now + timing_.probe_interval * double(random(1000)) / 1000;
  next_reconnect_ = now + timing_.reconnect_interval * double(random(1000)) / 1000;
  next_forget_ = now + timing_.forget_after / 10;
  enqueue_update(self_.name);
  if (!seeds_.empty()) host_.request_sync(seeds_[random(seeds_.size())]);
  reschedule_timer();
}

void Membership::on_timer(double now) {
  // Timers aren't cancelled: this is also called at times that were requested before and replaced by an
  // earlier one. If each such call scheduled another, their number would grow without bound.
  if (timer_at_ < 0 || now < timer_at_) return;
  // If the call is late, this process was stalled: timeouts that expired meanwhile say nothing about other
  // members.
  if (now > timer_at_ + timing_.ack_timeout) on_stall(now - timer_at_);
  now_ = now;
  timer_at_ = -1;
  if (departed_) return;
  if (!superseded_) {
    if (now >= ack_timeout_at_) apply_transition(kProbeTransitions, *this, probe_, Input::AckTimeout);
    if (now >= next_probe_) {
      apply_transition(kProbeTransitions, *this, probe_, Input::PeriodEnded);
      next_probe_ = now + timing_.probe_interval * (1 + awareness_);
      apply_transition(kProbeTransitions, *this, probe_, Input::ProbeDue);
    }
    send_due_nacks();
    check_suspicions();
    if (now >= next_gossip_) send_gossip();
  }
  if (now >= next_reconnect_) reconnect();
  if (now >= next_forget_) forget_dead_members();
  reschedule_timer();
}

void Membership::on_stall(double seconds) {
  ++counts_.stalls;
  adjust_awareness(1);
  probe_ = Probe::Idle;
  proxied_pings_.clear();
  for (auto& [name, suspicion] : suspicions_) suspicion.started_at += seconds;
}

void Membership::reschedule_timer() {
  if (departed_) return;
  double at = next_reconnect_;
  if (!superseded_) {
    at = std::min(at, next_probe_);
    if (probe_ == Probe::AwaitingAck) at = std::min(at, ack_timeout_at_);
    if (!update_queue_.empty()) at = std::min(at, next_gossip_);
    for (const auto& [name, suspicion] : suspicions_) at = std::min(at, suspicion_deadline(suspicion));
    for (const ProxiedPing& ping : proxied_pings_) at = std::min(at, ping.nack_at);
  }
  if (timer_at_ >= 0 && at >= timer_at_) return;
  host_.schedule_timer(timer_at_ = at);
}

// ---- failure detector

void Membership::begin_probe() {
  probe_target_.clear();
  for (int rounds = 0; rounds < 2 && probe_target_.empty(); ++rounds) {
    while (!probe_order_.empty() && probe_target_.empty()) {
      auto known = others_.find(probe_order_.back());
      if (known != others_.end() && is_live(known->second)) probe_target_ = known->first;
      probe_order_.pop_back();
    }
    if (!probe_target_.empty()) break;
    for (const auto& [name, entry] : others_) {
      if (is_live(entry)) probe_order_.push_back(name);
    }
    for (std::size_t i = probe_order_.size(); i > 1; --i)
      std::swap(probe_order_[i - 1], probe_order_[random(i)]);
  }
  if (probe_target_.empty()) return void(probe_ = Probe::Idle);
  probe_sequence_ = rng_();
  indirect_pings_sent_ = nacks_received_ = 0;
  ack_timeout_at_ = now_ + timing_.ack_timeout * (1 + awareness_);
  const Entry& target = others_.at(probe_target_);
  // A suspect is told of the suspicion first, so that it can refute it.
  send(target.member.address, {Message::Kind::Ping, probe_sequence_, {}, probe_target_, 0, {}},
       target.state == MemberState::Suspect ? probe_target_ : "");
}

void Membership::send_indirect_pings() {
  for (const std::string& name : random_live_members(std::size_t(timing_.indirect_pings), probe_target_)) {
    ++indirect_pings_sent_;
    send(others_.at(name).member.address,
         {Message::Kind::IndirectPing, probe_sequence_, {}, probe_target_, 0, {}});
  }
}

void Membership::on_probe_acked() { adjust_awareness(-1); }

void Membership::on_probe_failed() {
  // A member that was asked for an indirect ping answers with an Ack or a Nack. Each that sent neither is a
  // sign that this member itself misses messages.
  adjust_awareness(
      indirect_pings_sent_ > 0 ? indirect_pings_sent_ - std::min(indirect_pings_sent_, nacks_received_) : 1);
  auto known = others_.find(probe_target_);
  if (known == others_.end() || !is_live(known->second)) return;
  process_update({known->second.member, MemberState::Suspect, self_.name});
}

void Membership::adjust_awareness(int change) {
  awareness_ = std::clamp(awareness_ + change, 0, kMaxAwareness);
}

void Membership::send_due_nacks() {
  std::erase_if(proxied_pings_, [this](const ProxiedPing& ping) {
    if (now_ < ping.nack_at) return false;
    send(ping.requester, {Message::Kind::Nack, ping.requester_sequence, {}, {}, 0, {}});
    return true;
  });
}

double Membership::log_member_count() const {
  return std::max(1.0, std::log10(double(live_members_.size() + 1)));
}

double Membership::suspicion_deadline(const Suspicion& suspicion) const {
  int possible = std::min(timing_.max_confirmations, int(live_members_.size()) - 1);
  if (possible < 1) return suspicion.started_at + suspicion.min_duration;
  double confirmations = std::min(double(suspicion.accusers.size()) - 1, double(possible));
  double shortening = std::log(confirmations + 1) / std::log(possible + 1);
  return suspicion.started_at + suspicion.max_duration -
         (suspicion.max_duration - suspicion.min_duration) * shortening;
}

void Membership::start_suspicion(const std::string& name, const std::string& accuser) {
  double min_duration = timing_.suspicion_multiplier * log_member_count() * timing_.probe_interval;
  suspicions_[name] = {now_,      min_duration, min_duration * timing_.max_suspicion_factor,
                       {accuser}, accuser,      0};
  ++counts_.suspected;
}

void Membership::confirm_suspicion(const std::string& name, const std::string& accuser) {
  Suspicion& suspicion = suspicions_[name];
  if (int(suspicion.accusers.size()) > timing_.max_confirmations ||
      !suspicion.accusers.insert(accuser).second)
    return;
  suspicion.latest_accuser = accuser;
  enqueue_update(name);
}

void Membership::check_suspicions() {
  std::vector<std::string> dead;
  for (auto& [name, suspicion] : suspicions_) {
    if (now_ < suspicion_deadline(suspicion)) continue;
    if (suspicion.final_pings == kMaxFinalPings) {
      dead.push_back(name);
      continue;
    }
    // Its refutation may have been lost on the way to this member only, which would then declare it dead to
    // all.
    ++suspicion.final_pings;
    suspicion.started_at += timing_.probe_interval / 4;
    send(others_.at(name).member.address, {Message::Kind::Ping, rng_(), {}, name, 0, {}}, name);
  }
  for (const std::string& name : dead) {
    ++counts_.declared_dead;
    process_update({others_.at(name).member, MemberState::Dead, self_.name});
  }
}

// ---- updates

void Membership::process_update(const MembershipUpdate& update) {
  if (!is_valid(update.member) || update.state > MemberState::Departed ||
      update.reporter.size() > kMaxNameBytes)
    return void(++counts_.dropped);
  if (update.member.name == self_.name) return process_update_about_self(update);
  auto known = others_.find(update.member.name);
  if (known == others_.end()) {
    if (update.state >= MemberState::Dead) return;
    if (others_.size() >= kMaxMembers) forget_dead_members();
    if (others_.size() >= kMaxMembers) return void(++counts_.dropped);
    Entry& entry = others_[update.member.name];
    entry.state = MemberState::Departed;  // with generation 0, so that any update is newer
    entry.member.name = update.member.name;
    return accept_update(entry, update);
  }
  Entry& entry = known->second;
  if (std::pair(update.member.version, update.state) > std::pair(entry.member.version, entry.state))
    return accept_update(entry, update);
  if (update.state == MemberState::Suspect && entry.state == MemberState::Suspect &&
      update.member.version == entry.member.version)
    confirm_suspicion(update.member.name, update.reporter);
}

void Membership::accept_update(Entry& entry, const MembershipUpdate& update) {
  if (is_live(entry)) remove_live(entry);
  // Only the member itself raises its version, so an accuser can't change its address or its facts.
  if (update.member.version > entry.member.version) entry.member = update.member;
  if (entry.state != update.state) entry.since = now_;
  entry.state = update.state;
  if (is_live(entry)) add_live(entry);
  const std::string name = entry.member.name;
  if (entry.state == MemberState::Suspect) start_suspicion(name, update.reporter);
  else suspicions_.erase(name);
  last_change_at_ = now_;
  enqueue_update(name);
  host_.on_member_changed(entry.member, entry.state);
}

void Membership::process_update_about_self(const MembershipUpdate& update) {
  const Version reported = update.member.version;
  if (reported.generation > self_.version.generation) return resolve_name_conflict(update);
  if (reported.generation < self_.version.generation || departed_) return;
  // Refuted before, but the sender doesn't know it and may be about to declare this member dead: the
  // refutation is sent again.
  if (reported.incarnation < self_.version.incarnation)
    return update.state == MemberState::Alive ? void() : void(update_queue_.try_emplace(self_.name, 0));
  if (update.state == MemberState::Alive && update.member == self_) return;
  ++counts_.refuted;
  adjust_awareness(1);
  bool incarnations_exhausted = reported.incarnation == std::numeric_limits<std::uint32_t>::max();
  set_own_version(incarnations_exhausted ? Version{reported.generation + 1, 0}
                                         : Version{reported.generation, reported.incarnation + 1});
}

// Handles an update about a process with this member's name and a higher generation. If it had this member's
// address, it was an earlier process here whose clock was ahead. If it is dead or departed, it is gone. In
// both cases this member takes a generation above it. Otherwise it is another process, alive at another
// address: this member is superseded.
void Membership::resolve_name_conflict(const MembershipUpdate& update) {
  bool gone = update.state >= MemberState::Dead || update.member.address == self_.address;
  if (gone == superseded_ || !gone) {
    bool was_superseded = std::exchange(superseded_, !gone);
    if (gone || !was_superseded) host_.on_superseded(superseded_, update.member.address);
  }
  if (gone) set_own_version({update.member.version.generation + 1, 0});
}

void Membership::set_own_version(Version version) {
  digest_ ^= version_hash(self_);
  self_.version = version;
  digest_ ^= version_hash(self_);
  last_change_at_ = now_;
  enqueue_update(self_.name);
}

void Membership::announce(double now, Phase phase, std::map<std::string, std::string> facts) {
  if (self_.phase == phase && self_.facts == facts) return;
  now_ = now;
  self_.phase = phase;
  self_.facts = std::move(facts);
  set_own_version({self_.version.generation, self_.version.incarnation + 1});
  reschedule_timer();
}

void Membership::depart(double now) {
  if (departed_) return;
  now_ = now;
  if (!superseded_) {
    departed_ = true;
    for (const std::string& name : random_live_members(std::size_t(timing_.gossip_fanout) * 2, ""))
      send(others_.at(name).member.address, {}, self_.name);
  }
  departed_ = true;
}

std::optional<MembershipUpdate> Membership::update_of(const std::string& name) const {
  if (name == self_.name)
    return MembershipUpdate{self_, departed_ ? MemberState::Departed : MemberState::Alive, self_.name};
  auto known = others_.find(name);
  if (known == others_.end()) return std::nullopt;
  auto suspicion = suspicions_.find(name);
  return MembershipUpdate{known->second.member, known->second.state,
                          suspicion == suspicions_.end() ? self_.name : suspicion->second.latest_accuser};
}

void Membership::send(const std::string& address, Message message, const std::string& first_update) {
  message.from = self_.name;
  message.digest = digest_;
  std::size_t bytes = 0;
  if (std::optional<MembershipUpdate> update =
          first_update.empty() ? std::nullopt : update_of(first_update)) {
    bytes += max_encoded_size(*update);
    message.updates.push_back(std::move(*update));
  }
  // The updates that were sent least often come first, as many as fit.
  std::vector<std::pair<int, const std::string*>> order;
  for (const auto& [name, times_sent] : update_queue_) {
    if (name != first_update) order.push_back({times_sent, &name});
  }
  std::size_t candidates = std::min<std::size_t>(order.size(), kMaxUpdateBytes / 40);
  std::partial_sort(order.begin(), order.begin() + std::ptrdiff_t(candidates), order.end(),
                    [](const auto& one, const auto& other) {
                      return one.first != other.first ? one.first < other.first : *one.second < *other.second;
                    });
  const int max_sends =
      timing_.retransmit_multiplier * int(std::ceil(std::log10(double(live_members_.size() + 2))));
  std::vector<std::string> sent;
  for (std::size_t i = 0; i < candidates; ++i) {
    std::optional<MembershipUpdate> update = update_of(*order[i].second);
    if (update && bytes + max_encoded_size(*update) > kMaxUpdateBytes) break;
    sent.push_back(*order[i].second);
    if (!update) continue;
    bytes += max_encoded_size(*update);
    message.updates.push_back(std::move(*update));
  }
  for (const std::string& name : sent) {
    if (++update_queue_[name] >= max_sends) update_queue_.erase(name);
  }
  host_.send(address, message);
}

void Membership::send_gossip() {
  next_gossip_ = now_ + timing_.gossip_interval;
  if (update_queue_.empty()) return;
  std::vector<std::string> receivers = random_live_members(std::size_t(timing_.gossip_fanout), "");
  if (receivers.empty()) update_queue_.clear();
  for (const std::string& name : receivers) {
    if (!update_queue_.empty()) send(others_.at(name).member.address, {});
  }
}

void Membership::add_live(Entry& entry) {
  digest_ ^= version_hash(entry.member);
  entry.live_index = live_members_.size();
  live_members_.push_back(&entry);
}

void Membership::remove_live(Entry& entry) {
  digest_ ^= version_hash(entry.member);
  (live_members_[entry.live_index] = live_members_.back())->live_index = entry.live_index;
  live_members_.pop_back();
}

// Draws again on a duplicate, a limited number of times: copying and shuffling all members would dominate the
// cost of a round of gossip.
std::vector<std::string> Membership::random_live_members(std::size_t count, const std::string& excluded) {
  std::vector<std::string> chosen;
  for (std::size_t draws = 8 * count; draws > 0 && !live_members_.empty() && chosen.size() < count; --draws) {
    const std::string& name = live_members_[random(live_members_.size())]->member.name;
    if (name != excluded && std::find(chosen.begin(), chosen.end(), name) == chosen.end())
      chosen.push_back(name);
  }
  return chosen;
}

// ---- received messages

void Membership::receive(double now, const Message& message, const std::string& source) {
  now_ = now;
  if (departed_) return;
  for (const MembershipUpdate& update : message.updates) process_update(update);
  // A superseded member answers nothing: its answers would be taken for those of the process that replaced
  // it.
  if (superseded_ || message.from == self_.name) return reschedule_timer();
  switch (message.kind) {
    case Message::Kind::Ping:
      if (message.target == self_.name) send(source, {Message::Kind::Ack, message.sequence, {}, {}, 0, {}});
      break;
    case Message::Kind::Ack: {
      if (probe_ != Probe::Idle && message.sequence == probe_sequence_)
        apply_transition(kProbeTransitions, *this, probe_, Input::Acked);
      std::erase_if(proxied_pings_, [&](const ProxiedPing& ping) {
        if (ping.sequence != message.sequence) return false;
        send(ping.requester, {Message::Kind::Ack, ping.requester_sequence, {}, {}, 0, {}});
        return true;
      });
      break;
    }
    case Message::Kind::IndirectPing: {
      auto known = others_.find(message.target);
      if (known == others_.end() || proxied_pings_.size() >= kMaxProxiedPings) break;
      double nack_at = now + (timing_.probe_interval - timing_.ack_timeout) * kProxyTimeoutShare;
      proxied_pings_.push_back({source, rng_(), message.sequence, nack_at});
      send(known->second.member.address,
           {Message::Kind::Ping, proxied_pings_.back().sequence, {}, message.target, 0, {}});
      break;
    }
    case Message::Kind::Nack:
      if (probe_ == Probe::AwaitingIndirectAck && message.sequence == probe_sequence_) ++nacks_received_;
      break;
    case Message::Kind::Gossip:
    case Message::Kind::State: break;
  }
  compare_digest(message);
  reschedule_timer();
}

Message Membership::state() const {
  Message state{Message::Kind::State, 0, self_.name, {}, digest_, {}};
  if (!superseded_) state.updates.push_back(*update_of(self_.name));
  for (const auto& [name, entry] : others_) state.updates.push_back(*update_of(name));
  return state;
}

void Membership::merge_state(double now, const Message& theirs) {
  now_ = now;
  if (departed_) return;
  for (MembershipUpdate update : theirs.updates) {
    // After a network partition each side believes the other dead. A member that is alive here is only
    // suspected on such a report, which leaves it time to refute it.
    auto known = others_.find(update.member.name);
    if (update.state == MemberState::Dead && known != others_.end() && is_live(known->second)) {
      update.state = MemberState::Suspect;
      update.reporter = theirs.from;
    }
    process_update(update);
  }
  reschedule_timer();
}

// Starts a full state exchange if the sender's digest differs although nothing has changed for a while:
// updates were lost, or a network partition has healed.
void Membership::compare_digest(const Message& message) {
  if (message.digest == digest_ || !update_queue_.empty() || now_ < last_change_at_ + timing_.settle_time)
    return;
  auto known = others_.find(message.from);
  if (now_ < last_sync_at_ + timing_.sync_interval || known == others_.end()) return;
  last_sync_at_ = now_;
  ++counts_.syncs;
  host_.request_sync(known->second.member.address);
}

void Membership::reconnect() {
  next_reconnect_ = now_ + timing_.reconnect_interval * (0.5 + double(random(1000)) / 1000);
  std::vector<const Entry*> dead;
  std::set<std::string> live_addresses;
  for (const auto& [name, entry] : others_) {
    if (entry.state == MemberState::Dead) dead.push_back(&entry);
    if (is_live(entry)) live_addresses.insert(entry.member.address);
  }
  if (superseded_ && !live_addresses.empty()) {
    // Nobody sends updates to a superseded member: it has to ask whether the other process is gone.
    auto any = live_addresses.begin();
    std::advance(any, random(live_addresses.size()));
    return host_.request_sync(*any);
  }
  // Each absent member is tried at the same rate whatever the number of live members that try.
  auto is_own_turn = [this](std::size_t absent) {
    return double(random(1000)) / 1000 < 2 * double(absent) / double(live_members_.size() + 1);
  };
  if (!dead.empty() && !superseded_ && is_own_turn(dead.size())) {
    const Member& member = dead[random(dead.size())]->member;
    send(member.address, {Message::Kind::Ping, rng_(), {}, member.name, 0, {}}, member.name);
  }
  std::vector<std::string> absent_seeds;
  for (const std::string& seed : seeds_) {
    if (!live_addresses.contains(seed)) absent_seeds.push_back(seed);
  }
  if (!absent_seeds.empty() && is_own_turn(absent_seeds.size()))
    host_.request_sync(absent_seeds[random(absent_seeds.size())]);
}

void Membership::forget_dead_members() {
  next_forget_ = now_ + timing_.forget_after / 10;
  bool full = others_.size() >= kMaxMembers;
  auto oldest = others_.end();
  for (auto it = others_.begin(); it != others_.end();) {
    bool gone = !is_live(it->second);
    if (gone && now_ > it->second.since + timing_.forget_after) {
      update_queue_.erase(it->first);
      it = others_.erase(it);
      continue;
    }
    if (gone && (oldest == others_.end() || it->second.since < oldest->second.since)) oldest = it;
    ++it;
  }
  if (full && others_.size() >= kMaxMembers && oldest != others_.end()) {
    update_queue_.erase(oldest->first);
    others_.erase(oldest);
  }
}

std::uint64_t Membership::version_hash(const Member& member) const {
  std::uint64_t seed =
      XXH64(&member.version.generation, sizeof member.version.generation, member.version.incarnation);
  return XXH64(member.name.data(), member.name.size(), seed);
}

}  // namespace puffinvane::fleet
