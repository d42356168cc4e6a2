#include "src/fleet/membership/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace puffinvane::fleet {

namespace {
constexpr int kMostAwareness = 2;  // Lifeguard's: periods are stretched by up to this and one more
constexpr int kLastWords = 5;
constexpr std::size_t kMostHelp = 64;  // pings for others at a time
constexpr double kHelpShare = 0.6;     // of what the asker's period leaves: the answer has to travel
constexpr std::uint64_t kMostLife = std::uint64_t{1} << 53;
}  // namespace

bool is_valid(const Member& member) {
  auto text = [](const std::string& one, std::size_t most) { return one.size() <= most; };
  if (member.name.empty() || member.address.empty() || member.facts.size() > kMaxFactCount) return false;
  if (!text(member.name, kMaxNameBytes) || !text(member.address, kMaxNameBytes)) return false;
  if (!text(member.zone, kMaxFactBytes) || !text(member.build, kMaxFactBytes)) return false;
  if (member.version.generation == 0 || member.version.generation > kMostLife ||
      member.phase > Phase::Leaving)
    return false;
  return std::all_of(member.facts.begin(), member.facts.end(), [&](const auto& fact) {
    return text(fact.first, kMaxFactBytes) && text(fact.second, kMaxFactBytes);
  });
}

std::size_t max_encoded_size(const MembershipUpdate& update) {
  const Member& member = update.member;
  std::size_t all = 40 + member.name.size() + member.address.size() + member.zone.size() +
                    member.build.size() + update.by.size();
  for (const auto& [key, value] : member.facts) all += 4 + key.size() + value.size();
  return all;
}

const Transition<Membership, Membership::Probe, Membership::Input> Membership::kProbe[] = {
    {Probe::Idle, Input::Due, Probe::Asked, &Membership::begin_probe},
    {Probe::Asked, Input::Silent, Probe::Helped, &Membership::ask_for_help},
    {Probe::Asked, Input::Answered, Probe::Idle, &Membership::probe_answered},
    {Probe::Helped, Input::Answered, Probe::Idle, &Membership::probe_answered},
    {Probe::Asked, Input::Over, Probe::Idle, &Membership::probe_failed},
    {Probe::Helped, Input::Over, Probe::Idle, &Membership::probe_failed},
};

Membership::Membership(Member me, std::vector<std::string> seeds, const DetectorTiming& timing,
                       std::uint64_t seed, Host& host)
    : me_(std::move(me)), seeds_(std::move(seeds)), timing_(timing), chance_(seed), host_(host) {
  std::erase(seeds_, me_.address);
  digest_ = mark(me_);
}

void Membership::start(double now) {
  now_ = now;
  // Not all at once where all were started at once.
  next_probe_ = now + timing_.probe * double(random(1000)) / 1000;
  next_reconnect_ = now + timing_.reconnect * double(random(1000)) / 1000;
  next_forget_ = now + timing_.forget / 10;
  spread(me_.name);
  if (!seeds_.empty()) host_.sync(seeds_[random(seeds_.size())]);
  ask_to_wake();
}

void Membership::woken(double now) {
  // Each earlier one asked for comes too: answered by asking again they would only grow in number.
  if (asked_wake_ < 0 || now < asked_wake_) return;
  // Later than asked for, this process stood still: what is overdue says nothing of others.
  if (now > asked_wake_ + timing_.answer) stalled(now - asked_wake_);
  now_ = now, asked_wake_ = -1;
  if (departed_) return;
  if (!superseded_) {
    if (now >= next_step_) apply_transition(kProbe, *this, probe_, Input::Silent);
    if (now >= next_probe_) {
      apply_transition(kProbe, *this, probe_, Input::Over);
      next_probe_ = now + timing_.probe * (1 + awareness_);
      apply_transition(kProbe, *this, probe_, Input::Due);
    }
    help_due();
    suspicions_due();
    if (now >= next_gossip_) gossip();
  }
  if (now >= next_reconnect_) reconnect();
  if (now >= next_forget_) forget();
  ask_to_wake();
}

void Membership::stalled(double seconds) {
  ++counts_.stalls;
  aware(1);
  probe_ = Probe::Idle;
  helping_.clear();
  for (auto& [name, suspicion] : suspicions_) suspicion.from += seconds;
}

void Membership::ask_to_wake() {
  if (departed_) return;
  double at = next_reconnect_;
  if (!superseded_) {
    at = std::min(at, next_probe_);
    if (probe_ == Probe::Asked) at = std::min(at, next_step_);
    if (!queue_.empty()) at = std::min(at, next_gossip_);
    for (const auto& [name, suspicion] : suspicions_) at = std::min(at, suspected_until(suspicion));
    for (const Helped& one : helping_) at = std::min(at, one.until);
  }
  if (asked_wake_ >= 0 && at >= asked_wake_) return;
  host_.wake(asked_wake_ = at);
}

// ---- the detector

void Membership::begin_probe() {
  target_.clear();
  for (int rounds = 0; rounds < 2 && target_.empty(); ++rounds) {
    while (!round_.empty() && target_.empty()) {
      auto known = others_.find(round_.back());
      if (known != others_.end() && live(known->second)) target_ = known->first;
      round_.pop_back();
    }
    if (!target_.empty()) break;
    for (const auto& [name, entry] : others_) {
      if (live(entry)) round_.push_back(name);
    }
    for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[random(i)]);
  }
  if (target_.empty()) return void(probe_ = Probe::Idle);
  number_ = chance_();
  helpers_ = silent_helpers_ = 0;
  next_step_ = now_ + timing_.answer * (1 + awareness_);
  const Entry& target = others_.at(target_);
  // Who is suspected hears of it first, and can say otherwise.
  send(target.member.address, {Message::Kind::Ping, number_, {}, target_, 0, {}},
       target.state == MemberState::Suspect ? target_ : "");
}

void Membership::ask_for_help() {
  for (const std::string& name : random_live(std::size_t(timing_.helpers), target_)) {
    ++helpers_;
    send(others_.at(name).member.address, {Message::Kind::IndirectPing, number_, {}, target_, 0, {}});
  }
}

void Membership::probe_answered() { aware(-1); }

void Membership::probe_failed() {
  // Helpers that did not even say that they heard nothing: it may be this one that does not hear.
  aware(helpers_ > 0 ? helpers_ - std::min(helpers_, silent_helpers_) : 1);
  auto known = others_.find(target_);
  if (known == others_.end() || !live(known->second)) return;
  hear({known->second.member, MemberState::Suspect, me_.name});
}

void Membership::aware(int change) { awareness_ = std::clamp(awareness_ + change, 0, kMostAwareness); }

void Membership::help_due() {
  std::erase_if(helping_, [this](const Helped& one) {
    if (now_ < one.until) return false;
    send(one.address, {Message::Kind::Nack, one.asked, {}, {}, 0, {}});
    return true;
  });
}

double Membership::log_size() const { return std::max(1.0, std::log10(double(living_.size() + 1))); }

double Membership::suspected_until(const Suspicion& suspicion) const {
  int possible = std::min(timing_.confirmations, int(living_.size()) - 1);
  if (possible < 1) return suspicion.from + suspicion.least;
  double heard = std::min(double(suspicion.accusers.size()) - 1, double(possible));
  double part = std::log(heard + 1) / std::log(possible + 1);
  return suspicion.from + suspicion.longest - (suspicion.longest - suspicion.least) * part;
}

void Membership::suspect(const std::string& name, const std::string& by) {
  double least = timing_.suspicion * log_size() * timing_.probe;
  suspicions_[name] = {now_, least, least * timing_.doubt, {by}, by, 0};
  ++counts_.suspected;
}

void Membership::confirm(const std::string& name, const std::string& by) {
  Suspicion& suspicion = suspicions_[name];
  if (int(suspicion.accusers.size()) > timing_.confirmations || !suspicion.accusers.insert(by).second) return;
  suspicion.latest = by;
  spread(name);
}

void Membership::suspicions_due() {
  std::vector<std::string> due;
  for (auto& [name, suspicion] : suspicions_) {
    if (now_ < suspected_until(suspicion)) continue;
    if (suspicion.last_words == kLastWords) {
      due.push_back(name);
      continue;
    }
    // Its refutation may have been lost on the way to this one alone, which would bury it for all.
    ++suspicion.last_words;
    suspicion.from += timing_.probe / 4;
    send(others_.at(name).member.address, {Message::Kind::Ping, chance_(), {}, name, 0, {}}, name);
  }
  for (const std::string& name : due) {
    ++counts_.died;
    hear({others_.at(name).member, MemberState::Dead, me_.name});
  }
}

// ---- news

void Membership::hear(const MembershipUpdate& update) {
  if (!is_valid(update.member) || update.state > MemberState::Departed || update.by.size() > kMaxNameBytes)
    return void(++counts_.dropped);
  if (update.member.name == me_.name) return hear_of_me(update);
  auto known = others_.find(update.member.name);
  if (known == others_.end()) {
    if (update.state >= MemberState::Dead) return;
    if (others_.size() >= kMost) forget();
    if (others_.size() >= kMost) return void(++counts_.dropped);
    Entry& entry = others_[update.member.name];
    entry.state = MemberState::Departed;  // from which any news of a life is later
    entry.member.name = update.member.name;
    return apply(entry, update);
  }
  Entry& entry = known->second;
  if (std::pair(update.member.version, update.state) > std::pair(entry.member.version, entry.state))
    return apply(entry, update);
  if (update.state == MemberState::Suspect && entry.state == MemberState::Suspect &&
      update.member.version == entry.member.version)
    confirm(update.member.name, update.by);
}

void Membership::apply(Entry& entry, const MembershipUpdate& update) {
  if (live(entry)) count_out(entry);
  // Only a member itself says what it is; who accuses it can't move its address.
  if (update.member.version > entry.member.version) entry.member = update.member;
  if (entry.state != update.state) entry.since = now_;
  entry.state = update.state;
  if (live(entry)) count_in(entry);
  const std::string name = entry.member.name;
  if (entry.state == MemberState::Suspect) suspect(name, update.by);
  else suspicions_.erase(name);
  changed_at_ = now_;
  spread(name);
  host_.changed(entry.member, entry.state);
}

void Membership::hear_of_me(const MembershipUpdate& update) {
  const Version heard = update.member.version;
  if (heard.generation > me_.version.generation) return outlive(update);
  if (heard.generation < me_.version.generation || departed_) return;
  // Refuted long since, but whoever passes it on has not heard so, and may be about to bury this one.
  if (heard.incarnation < me_.version.incarnation)
    return update.state == MemberState::Alive ? void() : void(queue_.try_emplace(me_.name, 0));
  if (update.state == MemberState::Alive && update.member == me_) return;
  ++counts_.refuted;
  aware(1);
  bool last = heard.incarnation == std::numeric_limits<std::uint32_t>::max();
  renew(last ? Version{heard.generation + 1, 0} : Version{heard.generation, heard.incarnation + 1});
}

// A later life of this name. At this address it was one of this place's, by a clock that was ahead, and dead
// or gone it is over: this one lives after it. Elsewhere, alive, it is another process that was started
// later.
void Membership::outlive(const MembershipUpdate& update) {
  bool over = update.state >= MemberState::Dead || update.member.address == me_.address;
  if (over == superseded_ || !over) {
    bool before = std::exchange(superseded_, !over);
    if (over || !before) host_.superseded(superseded_, update.member.address);
  }
  if (over) renew({update.member.version.generation + 1, 0});
}

void Membership::renew(Version version) {
  digest_ ^= mark(me_);
  me_.version = version;
  digest_ ^= mark(me_);
  changed_at_ = now_;
  spread(me_.name);
}

void Membership::say(double now, Phase phase, std::map<std::string, std::string> facts) {
  if (me_.phase == phase && me_.facts == facts) return;
  now_ = now;
  me_.phase = phase, me_.facts = std::move(facts);
  renew({me_.version.generation, me_.version.incarnation + 1});
  ask_to_wake();
}

void Membership::depart(double now) {
  if (departed_) return;
  now_ = now;
  if (!superseded_) {
    departed_ = true;
    for (const std::string& name : random_live(std::size_t(timing_.fanout) * 2, ""))
      send(others_.at(name).member.address, {}, me_.name);
  }
  departed_ = true;
}

std::optional<MembershipUpdate> Membership::update_of(const std::string& name) const {
  if (name == me_.name)
    return MembershipUpdate{me_, departed_ ? MemberState::Departed : MemberState::Alive, me_.name};
  auto known = others_.find(name);
  if (known == others_.end()) return std::nullopt;
  auto suspicion = suspicions_.find(name);
  return MembershipUpdate{known->second.member, known->second.state,
                          suspicion == suspicions_.end() ? me_.name : suspicion->second.latest};
}

void Membership::send(const std::string& address, Message message, const std::string& first) {
  message.from = me_.name;
  message.digest = digest_;
  std::size_t bytes = 0;
  if (std::optional<MembershipUpdate> one = first.empty() ? std::nullopt : update_of(first)) {
    bytes += max_encoded_size(*one);
    message.updates.push_back(std::move(*one));
  }
  // The least told first, as many as fit.
  std::vector<std::pair<int, const std::string*>> order;
  for (const auto& [name, passed_on] : queue_) {
    if (name != first) order.push_back({passed_on, &name});
  }
  std::size_t most = std::min<std::size_t>(order.size(), kMostBytes / 40);
  std::partial_sort(order.begin(), order.begin() + std::ptrdiff_t(most), order.end(),
                    [](const auto& one, const auto& other) {
                      return one.first != other.first ? one.first < other.first : *one.second < *other.second;
                    });
  const int enough = timing_.retransmit * int(std::ceil(std::log10(double(living_.size() + 2))));
  std::vector<std::string> passed_on;
  for (std::size_t i = 0; i < most; ++i) {
    std::optional<MembershipUpdate> one = update_of(*order[i].second);
    if (one && bytes + max_encoded_size(*one) > kMostBytes) break;
    passed_on.push_back(*order[i].second);
    if (one) bytes += max_encoded_size(*one), message.updates.push_back(std::move(*one));
  }
  for (const std::string& name : passed_on) {
    if (++queue_[name] >= enough) queue_.erase(name);
  }
  host_.send(address, message);
}

void Membership::gossip() {
  next_gossip_ = now_ + timing_.gossip;
  if (queue_.empty()) return;
  std::vector<std::string> to = random_live(std::size_t(timing_.fanout), "");
  if (to.empty()) queue_.clear();
  for (const std::string& name : to) {
    if (!queue_.empty()) send(others_.at(name).member.address, {});
  }
}

void Membership::count_in(Entry& entry) {
  digest_ ^= mark(entry.member);
  entry.place = living_.size();
  living_.push_back(&entry);
}

void Membership::count_out(Entry& entry) {
  digest_ ^= mark(entry.member);
  (living_[entry.place] = living_.back())->place = entry.place;
  living_.pop_back();
}

// Drawn anew where one was drawn already: a look at all members for each rumour is most of what it would
// cost.
std::vector<std::string> Membership::random_live(std::size_t count, const std::string& but) {
  std::vector<std::string> chosen;
  for (std::size_t tries = 8 * count; tries > 0 && !living_.empty() && chosen.size() < count; --tries) {
    const std::string& name = living_[random(living_.size())]->member.name;
    if (name != but && std::find(chosen.begin(), chosen.end(), name) == chosen.end()) chosen.push_back(name);
  }
  return chosen;
}

// ---- what comes

void Membership::receive(double now, const Message& message, const std::string& source) {
  now_ = now;
  if (departed_) return;
  for (const MembershipUpdate& update : message.updates) hear(update);
  // One that is superseded says nothing: its answers would be taken for the later process's.
  if (superseded_ || message.from == me_.name) return ask_to_wake();
  switch (message.kind) {
    case Message::Kind::Ping:
      if (message.about == me_.name) send(source, {Message::Kind::Ack, message.number, {}, {}, 0, {}});
      break;
    case Message::Kind::Ack: {
      if (probe_ != Probe::Idle && message.number == number_)
        apply_transition(kProbe, *this, probe_, Input::Answered);
      std::erase_if(helping_, [&](const Helped& one) {
        if (one.number != message.number) return false;
        send(one.address, {Message::Kind::Ack, one.asked, {}, {}, 0, {}});
        return true;
      });
      break;
    }
    case Message::Kind::IndirectPing: {
      auto known = others_.find(message.about);
      if (known == others_.end() || helping_.size() >= kMostHelp) break;
      double until = now + (timing_.probe - timing_.answer) * kHelpShare;
      helping_.push_back({source, chance_(), message.number, until});
      send(known->second.member.address,
           {Message::Kind::Ping, helping_.back().number, {}, message.about, 0, {}});
      break;
    }
    case Message::Kind::Nack:
      if (probe_ == Probe::Helped && message.number == number_) ++silent_helpers_;
      break;
    case Message::Kind::Gossip:
    case Message::Kind::State: break;
  }
  compare(message);
  ask_to_wake();
}

Message Membership::state() const {
  Message whole{Message::Kind::State, 0, me_.name, {}, digest_, {}};
  if (!superseded_) whole.updates.push_back(*update_of(me_.name));
  for (const auto& [name, entry] : others_) whole.updates.push_back(*update_of(name));
  return whole;
}

void Membership::exchange(double now, const Message& theirs) {
  now_ = now;
  if (departed_) return;
  for (MembershipUpdate update : theirs.updates) {
    // Across a cut each side holds the other for dead. It is asked first: one that lives has time to say so.
    auto known = others_.find(update.member.name);
    if (update.state == MemberState::Dead && known != others_.end() && live(known->second)) {
      update.state = MemberState::Suspect;
      update.by = theirs.from;
    }
    hear(update);
  }
  ask_to_wake();
}

// Views that still differ when there is nothing new are compared whole: news was lost, or a cut has healed.
void Membership::compare(const Message& message) {
  if (message.digest == digest_ || !queue_.empty() || now_ < changed_at_ + timing_.settle) return;
  auto known = others_.find(message.from);
  if (now_ < synced_at_ + timing_.sync || known == others_.end()) return;
  synced_at_ = now_;
  ++counts_.syncs;
  host_.sync(known->second.member.address);
}

void Membership::reconnect() {
  next_reconnect_ = now_ + timing_.reconnect * (0.5 + double(random(1000)) / 1000);
  std::vector<const Entry*> lost;
  std::set<std::string> reached;
  for (const auto& [name, entry] : others_) {
    if (entry.state == MemberState::Dead) lost.push_back(&entry);
    if (live(entry)) reached.insert(entry.member.address);
  }
  if (superseded_ && !reached.empty()) {  // the later process's end is heard of by asking
    auto any = reached.begin();
    std::advance(any, random(reached.size()));
    return host_.sync(*any);
  }
  // So that each one lost is tried as often whatever the number of those who could.
  auto turn = [this](std::size_t lost) {
    return double(random(1000)) / 1000 < 2 * double(lost) / double(living_.size() + 1);
  };
  if (!lost.empty() && !superseded_ && turn(lost.size())) {
    const Member& one = lost[random(lost.size())]->member;
    send(one.address, {Message::Kind::Ping, chance_(), {}, one.name, 0, {}}, one.name);
  }
  std::vector<std::string> away;
  for (const std::string& seed : seeds_) {
    if (!reached.contains(seed)) away.push_back(seed);
  }
  if (!away.empty() && turn(away.size())) host_.sync(away[random(away.size())]);
}

void Membership::forget() {
  next_forget_ = now_ + timing_.forget / 10;
  bool full = others_.size() >= kMost;
  auto oldest = others_.end();
  for (auto at = others_.begin(); at != others_.end();) {
    bool gone = !live(at->second);
    if (gone && now_ > at->second.since + timing_.forget) {
      queue_.erase(at->first);
      at = others_.erase(at);
      continue;
    }
    if (gone && (oldest == others_.end() || at->second.since < oldest->second.since)) oldest = at;
    ++at;
  }
  if (full && others_.size() >= kMost && oldest != others_.end())
    queue_.erase(oldest->first), others_.erase(oldest);
}

std::uint64_t Membership::mark(const Member& member) const {
  std::uint64_t seed =
      XXH64(&member.version.generation, sizeof member.version.generation, member.version.incarnation);
  return XXH64(member.name.data(), member.name.size(), seed);
}

}  // namespace puffinvane::fleet
