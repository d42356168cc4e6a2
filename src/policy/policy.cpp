// All decisions of puffinvane; the interface is include/puffinvane/policy.h. A host makes one Policy for a
// sidecar, calls it with each event and the time, and carries out what it asks of the Host within that call.
// Requests go through kVisitRows and endpoints through kHealthRows: state, input, next state, effect.
// docs/design.md says which part is the source's and which is a departure, and when each departure acts.
#include "puffinvane/policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <utility>

#include "puffinvane/table.h"
#include "src/policy/records.h"

namespace puffinvane {
namespace {

constexpr double kHedgePercentile = 0.95, kBoundShare = 0.85, kErrorGate = 0.01;  // the source's figures
constexpr double kFirstCapacity = 4;           // C before anything is learned, from the design page
constexpr std::size_t kLatencies = 128;        // kept for each request class: enough for a 95th percentile
constexpr std::size_t kFewLatencies = 20;      // below this a 95th percentile is the maximum and says nothing
constexpr std::size_t kEndpointSamples = 16;   // an endpoint's state changes within a dozen or two answers
constexpr double kSampleAge = 15;              // an endpoint's older answers tell of another time
constexpr double kHopeAge = 5;                 // seconds after which a request class is given a new try
constexpr double kSharedLate = 0.25;           // of the last requests: not one endpoint's doing
constexpr double kRoom = 0.6, kStretch = 1.9;  // of a latency objective, and of calm, that requests may spend
constexpr int kLeastSubset =
    4;  // endpoints a sidecar, and sidecars an endpoint, that a part must leave at least
constexpr double kFloor = 5, kFirstSeconds = 3;  // requests an endpoint, of all sidecars, that need no room
constexpr std::size_t kCalmSeconds = 40, kRateTicks = 80, kLeastTicks = 20, kPassTicks = 15;
constexpr double kLeastPatience = 0.2,
                 kMostPatience = 0.8;              // of the latency objective that a request may be held
constexpr double kSlowEndpoint = 1.5;              // times calm: lateness may be the endpoint's own
constexpr double kUnsuspected = 2, kHopeless = 2;  // thresholds: with nothing against the endpoint; for any
constexpr double kCrossing = 30;  // requests of depth that crossing zones counts for, times its price
constexpr double kKnownRate = 2, kWarm = 5, kHeaviest = 4;  // kWarm: depth that a key met lately is worth
constexpr double kBack = 100;  // and going back to the same endpoint: for want of any other
constexpr double kReportAge = 3, kFull = 0.9, kMend = 0.7, kFewLags = 4;
// Seconds without a request after which nothing is known of rates: as far as the recent one looks back.
constexpr double kQuiet = 8;
constexpr int kWholeTicks =
    5;  // of these, one looks at all that were sent to, the others at those of the subset
constexpr double kUnused = 60;  // seconds, four times the age of samples, after which they are let go of
// Of what the slow-start rule allows, and credit beyond an attempt: the rate of the warm may be more than
// they can do.
constexpr double kColdCare = 0.65, kMostSaved = 0.5;
constexpr double kDue = 4;           // depth of a warm endpoint that a cold one with credit goes before
constexpr double kMostColdCost = 8;  // attempts of mean work that one heavy request counts for
constexpr double kTick = 0.1, kStoodStill = 0.35, kFirstOfAll = -1e9;
constexpr double kFirstHold = 1, kLongestHold = 8;  // seconds ejected, doubling
constexpr int kRecoveryDone = 8;  // attempts at a time that a recovery ramp has to bear before it is over

enum class HealthEvent { Failing, HoldOver, Good, Restored, Listed, Unlisted };

enum class Input { Room, Late, Over, OneLost, Again, Reject, Fail };

class Module final : public Policy {
 public:
  Module(double now, Deployment deployment, std::uint64_t seed, Host& host)
      : deployment_(std::move(deployment)), host_(host), chance_(seed * 2 + 1), now_(now), started_(now) {
    std::size_t classes = deployment_.request_classes.size();
    latencies_.resize(classes), thresholds_.resize(classes), means_.resize(classes);
    services_.resize(classes + deployment_.tenants.size());
    weigh();
    double turn =
        (deployment_.instance_index % deployment_.instance_count + chance()) / deployment_.instance_count;
    if (deployment_.polls_endpoint_list) ask_at_ = now + turn * deployment_.list_poll_interval_s * 0.4;
    host_.schedule_timer(now + kTick * (0.5 + chance()), kTickToken);
  }

  void on_endpoint_list(double now, ListScope scope, std::span<const ListEntry> entries) override {
    pass_time(now);
    if (scope == ListScope::Failed) return ask_again_later();
    if (scope != ListScope::Cached) asked_until_ = 0, ask_back_off_ = 0.5;
    for (const ListEntry& entry : entries) note_listed(entry);
    if (scope != ListScope::Changes) note_left_out(entries);
    free_places();
    shuffle();
    cut_subset();
    pump();
  }

  void on_request(double now, const Request& request) override {
    pass_time(now);
    if (now - std::exchange(arrived_at_, now) > kQuiet) start_anew();
    RequestState accepted{request.id};
    while (accepted.class_index + 1 < int(means_.size()) && class_of(accepted).name != request.request_class)
      ++accepted.class_index;
    accepted.services = {&services_[accepted.class_index]};
    accepted.over_share = over_share(request.tenant, accepted);
    if (accepted.over_share) host_.on_observation(PolicyObservation::OverQuota, request.id);
    if (deployment_.has_key_affinity && !request.key.empty()) accepted.key = mixed(kMixer, request.key);
    accepted.heavy = std::clamp(4 * request.work_s / class_of(accepted).latency_objective_s, 1.0, kHeaviest);
    accepted.work = request.work_s;
    if (request.work_s > 0) keep(works_, request.work_s, kLatencies);
    accepted.until = now + request.remaining_time_s, accepted.lot = chance();
    accepted.held_until = now + std::min(patience(accepted), request.remaining_time_s / 2);
    keep(arrived_, accepted.class_index, kLatencies);
    accepted.place = {rank(accepted), ++turns_};
    double worse = 0, mine = accepted.place.first + 1e-3 * chance();
    for (double other : ranks_) worse += other > mine;
    accepted.standing = worse / double(std::max<std::size_t>(1, ranks_.size()));
    if (deployment_.responses_report_load) keep(ranks_, mine, kLatencies);
    held_.emplace(accepted.place, accepted.id);
    // Rule 1: the answer has to be out before the client timeout.
    host_.schedule_timer(std::max(now, accepted.until - 2 * deployment_.round_trip_s),
                         kUntilToken | accepted.id);
    // Behind more than can be sent in its patience it would only wait to be turned away: better at once.
    double ahead = double(std::distance(held_.begin(), held_.find(accepted.place)));
    bool hopeless = deployment_.responses_report_load ||
                    (recent_rate_ > 0 && ahead > recent_rate_ * (accepted.held_until - now));
    RequestState& held = requests_[request.id] = std::move(accepted);
    bool nobody = !endpoints_.empty() && listed() == 0;  // all leave, by order or list: nothing to wait for
    if (nobody || (hopeless && !room(held))) turn(held, gave_up(held)), requests_.erase(request.id);
    pump();
  }

  void on_attempt_ended(double now, const AttemptEnd& end) override {
    pass_time(now);
    auto found = requests_.find(end.request);
    if (found == requests_.end() || end.attempt_number >= int(found->second.attempts.size())) return;
    RequestState& request = found->second;
    Attempt& attempt = request.attempts[end.attempt_number];
    if (!std::exchange(attempt.out, false)) return;
    Endpoint& endpoint = endpoints_[attempt.endpoint];
    endpoint.out.erase({attempt.sent, key(request.id, end.attempt_number)});
    endpoint.by_class[request.class_index].out.erase({attempt.sent, key(request.id, end.attempt_number)});
    attempt.may_have_run = end.outcome != Outcome::Refused && end.outcome != Outcome::ConnectFailed &&
                           end.outcome != Outcome::NotSent;
    if (end.load.depth >= 0 || end.load.cpu_utilization >= 0)
      endpoint.load = end.load, endpoint.load_at = now;
    judge(endpoint, request, attempt, end);
    if (request.state != State::Done)
      turn(request, end.request_concluded ? Input::Over : after_loss(request));
    forget_if_over(found), pump();
  }

  void on_request_cancelled(double now, RequestId id) override {
    pass_time(now);
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    if (found->second.state != State::Done) turn(found->second, Input::Over);
    forget_if_over(found), pump();
  }

  void on_shutdown(double now, double until) override {
    pass_time(now);
    for (auto& [id, request] : requests_)
      if (request.until > until)
        host_.schedule_timer((request.until = until) - 2 * deployment_.round_trip_s, kUntilToken | id);
  }

  LearnedState export_learned_state() const override {
    LearnedState snapshot{{}, {}, late_, rates_, started_};
    for (std::size_t i = 0; i < latencies_.size(); ++i)
      snapshot.classes.push_back({deployment_.request_classes[i].name, latencies_[i], means_[i]});
    for (int i : known_) {
      const Endpoint& one = endpoints_[i];
      if (one.health == Health::Removed) continue;
      snapshot.endpoints.push_back(
          {one.name, one.online_since, one, {one.by_class.begin(), one.by_class.end()}});
    }
    return snapshot;
  }
  void import_learned_state(double now, const LearnedState& from, double share) override {
    pass_time(now);
    std::size_t shared = 0;  // request classes that both have, in the order of both
    for (; shared < std::min(from.classes.size(), latencies_.size()); ++shared) {
      const auto& [name, latencies, means] = from.classes[shared];
      if (name != deployment_.request_classes[shared].name) break;
      if (latencies.empty()) continue;
      latencies_[shared] = latencies, means_[shared] = means;
      thresholds_[shared] = percentile(latencies, kHedgePercentile);
    }
    for (const auto& [name, online_since, whole, by_class] : from.endpoints) {
      auto found = index_.find(name);
      if (found == index_.end()) continue;
      Endpoint& endpoint = endpoints_[found->second];
      if (online_since != endpoint.online_since) continue;
      if (endpoint.health == Health::Removed || whole.health == Health::Removed) continue;
      know(found->second);
      endpoint.used_at = now;
      Health before = endpoint.health;
      static_cast<EndpointStatistics&>(endpoint) = whole, endpoint.slow_until = 0;
      note_turned(endpoint, before);
      for (std::size_t k = 0; k < std::min(shared, by_class.size()); ++k)
        static_cast<EndpointStatistics&>(endpoint.by_class[k]) = by_class[k];
    }
    if (!from.completion_rates.empty()) inherited_at_ = now;
    if (!from.lateness.empty()) late_ = from.lateness;
    // Its first seconds are over: nobody knows less of the endpoints than a sidecar that has just started.
    if (from.started_at_s > 0) started_ = std::min(started_, from.started_at_s);
    while (rates_.size() < from.completion_rates.size()) rates_.push_front(0);
    for (std::size_t i = 1; i <= from.completion_rates.size(); ++i)
      rates_[rates_.size() - i] += share * from.completion_rates[from.completion_rates.size() - i];
    recent_rate_ = best_rate(kRateTicks), calm_rate_ = best_rate(rates_.size());
  }

  void on_instance_position(InstancePosition position) override {
    deployment_.instance_index = position.index;
    deployment_.instance_count = position.count;
    placed_ = true;
  }
  std::size_t avoided_endpoint_count() const override { return std::size_t(count(Health::Ejected)); }
  void on_timer(double now, std::uint64_t token) override {
    pass_time(now);
    if (token == kTickToken) return tick();
    auto found = requests_.find(static_cast<RequestId>(token));
    if (found == requests_.end()) return;
    RequestState& request = found->second;
    if (!(token & kUntilToken)) return request.state == State::Out ? consider_hedge(request) : void();
    turn(request, gave_up(request));
    forget_if_over(found), pump();
  }

 private:
  static constexpr std::uint64_t kUntilToken = 1ULL << 32, kLateToken = 1ULL << 33, kTickToken = 1ULL << 34;

  double chance() { return chance_(1u << 24) / double(1u << 24); }
  // A sidecar that stood still itself finds all late at once: that says nothing of who it waited for.
  void pass_time(double now) {
    if (now - std::exchange(now_, now) > kStoodStill) awake_ = now;
  }

  // After a long quiet time the rates say that nothing passes, and two in three were rejected until enough
  // had: what is let in goes by what a sidecar knows that has just started. What answers said of an endpoint
  // by then, and whether they were late, tells of another time.
  void start_anew() {
    started_ = now_;
    rates_.clear();
    late_.clear();
    arrivals_.clear();
    for (int i : known_) {
      Endpoint& endpoint = endpoints_[i];
      forget_old_answers(endpoint);
      for (ClassStatistics& statistics : endpoint.by_class) forget_old_answers(statistics);
    }
  }
  void forget_old_answers(ClassStatistics& statistics) const {
    if (!statistics.samples.empty() && now_ - statistics.samples.back().completed_at_s >= kSampleAge)
      forget_answers(statistics);
  }

  static const std::array<Transition<Module, State, Input, RequestState>, 13> kRequestRows;
  static const std::array<Transition<Module, Health, HealthEvent, ClassStatistics>, 10> kHealthRows;
  void turn(RequestState& request, Input input) {
    apply_transition(kRequestRows, *this, request.state, input, request);
  }
  void turn_health(ClassStatistics& statistics, HealthEvent event) {
    Health before = statistics.health;
    apply_transition(kHealthRows, *this, statistics.health, event, statistics);
    if (statistics.place >= 0 && statistics.health != before) note_turned(statistics, before);
  }
  // Counted as they change: a look at all endpoints for each request would cost what the list is long.
  void note_turned(const ClassStatistics& endpoint, Health before) {
    --healths_[std::size_t(before)];
    ++healths_[std::size_t(endpoint.health)];
    if (endpoint.health == Health::Removed) gone_.insert(endpoint.place);
    else if (before == Health::Removed) returned_.insert(endpoint.place);
  }
  // Statistics are kept of endpoints that were sent to (or inherited), not of all that are listed.
  void know(int at) {
    Endpoint& endpoint = endpoints_[at];
    if (!known_.insert(at).second) return;
    ClassStatistics fresh;
    fresh.health = endpoint.health == Health::Removed ? Health::Removed : Health::Healthy;
    fresh.ejection_s = kFirstHold;
    endpoint.by_class.assign(deployment_.request_classes.size(), fresh);
  }
  // What lies outside of the part and was long not sent to is as one that never was.
  void forget_unused() {
    for (auto next = known_.begin(); next != known_.end();) {
      Endpoint& endpoint = endpoints_[*next];
      auto steady = [](const ClassStatistics& statistics) { return statistics.health == Health::Healthy; };
      bool unused = endpoint.own_weight == 0 && endpoint.out.empty() && now_ > endpoint.used_at + kUnused &&
                    steady(endpoint) && std::ranges::all_of(endpoint.by_class, steady);
      next = unused ? known_.erase(next) : std::next(next);
      if (!unused) continue;
      endpoint.by_class = {};
      static_cast<EndpointStatistics&>(endpoint) =
          EndpointStatistics{.health = Health::Healthy, .ejection_s = kFirstHold};
      endpoint.slow_until = 0;
    }
  }
  void turn_all(Endpoint& endpoint, HealthEvent event) {
    turn_health(endpoint, event);
    for (ClassStatistics& statistics : endpoint.by_class) turn_health(statistics, event);
  }

  // ---- effects of the request table
  void nothing(RequestState&) {}
  void send_first(RequestState& request) { send(request, choose(request, false)); }
  void send_hedge(RequestState& request) { ++counts_["copies sent"], send(request, hedge_to_); }
  void queue_again(RequestState& request) {
    // Goes before all that wait: its client has waited longest, and work may already be spent on it.
    leave_count(request);
    request.place = {kFirstOfAll, ++turns_};
    request.held_until = std::max(request.held_until, now_ + patience(request));
    held_.emplace(request.place, request.id);
  }
  void finish(RequestState& request) {
    leave_count(request);
    held_.erase(request.place);
    for (std::size_t n = 0; deployment_.may_cancel && n < request.attempts.size(); ++n)
      if (request.attempts[n].out) host_.cancel_attempt(request.id, int(n));
  }
  void reject(RequestState& request) {
    double wait =
        request.over_share ? deployment_.max_retry_after_s : class_of(request).latency_objective_s / 4;
    note_served(request, false);
    host_.reject_request(request.id,
                         deployment_.sends_retry_after ? std::min(wait, deployment_.max_retry_after_s) : 0);
    finish(request);
  }
  void fail(RequestState& request) {
    note_served(request, false), host_.fail_request(request.id), finish(request);
  }

  // ---- effects of the health table
  void nothing(ClassStatistics&) {}
  void eject(ClassStatistics& statistics) {
    if (statistics.absent_since_s == 0) statistics.absent_since_s = now_;
    statistics.ejected_until_s = now_ + statistics.ejection_s * (0.75 + 0.5 * chance());
    statistics.ejection_s = std::clamp(statistics.ejection_s * 2, kFirstHold, kLongestHold);
    forget_answers(statistics), host_.on_observation(PolicyObservation::EndpointEjected, 0), stale_ = true;
    // What is lost there must not fill the room of the living until its client timeout.
    for (const auto& [sent, what] : statistics.out) leave_count(requests_.at(RequestId(what >> 8)));
  }
  void begin_recovery(ClassStatistics& statistics) {
    statistics.recovery_limit = 1, forget_answers(statistics);
  }
  void widen_recovery(ClassStatistics& statistics) { statistics.recovery_limit *= 2; }
  // Half of what its last absences lasted stands for its next return; a second while none is known.
  void restore(ClassStatistics& statistics) {
    if (statistics.absent_since_s > 0)
      keep(statistics.absences_s, now_ - std::exchange(statistics.absent_since_s, 0.0), std::size_t{4});
    statistics.ejection_s = statistics.absences_s.empty()
                                ? kFirstHold
                                : std::clamp(mean(statistics.absences_s) / 2, 0.5, kLongestHold);
  }

  const RequestClass& class_of(const RequestState& request) const {
    return deployment_.request_classes[request.class_index];
  }
  static std::uint64_t key(RequestId id, int number) { return std::uint64_t{id} << 8 | unsigned(number); }

  // ---- rule 2: the one place that says what may still be done with a request
  bool all_known_not_run(const RequestState& request) const {
    return std::none_of(request.attempts.begin(), request.attempts.end(),
                        [](const Attempt& attempt) { return attempt.out || attempt.may_have_run; });
  }
  bool may_attempt(const RequestState& request, const Endpoint& endpoint) const {
    const RequestClass& kind = class_of(request);
    if (int(request.attempts.size()) >= deployment_.max_attempts) return false;
    for (const Attempt& attempt : request.attempts) {
      if (attempt.out && !deployment_.parallel_attempts) return false;
      if (!attempt.out && !attempt.may_have_run) continue;
      if (kind.idempotency == Idempotency::Unsafe) return false;
      if (kind.idempotency == Idempotency::Safe) continue;
      // What goes out on a new connection may be written as late as that comes up.
      double latest = attempt.sent + kind.idempotency_window_s - deployment_.connect_timeout_s;
      if (now_ > latest - 2 * deployment_.round_trip_s) return false;
      if (kind.group == Group::Zone && attempt.zone != endpoint.zone) return false;
      if (kind.group == Group::Cell && attempt.cell != endpoint.cell) return false;
    }
    return true;
  }
  // A group may have no other endpoint, and what spoils one answer need not spoil the next.
  bool may_go_back(const RequestState& request) const {
    return class_of(request).idempotency == Idempotency::Keyed && !all_known_not_run(request);
  }
  bool may_reject(const RequestState& request) const {
    bool everywhere =
        class_of(request).idempotency == Idempotency::Keyed && class_of(request).group == Group::All;
    return everywhere || class_of(request).idempotency == Idempotency::Safe || all_known_not_run(request);
  }
  Input after_loss(const RequestState& request) const {
    if (request.state == State::Paired) return Input::OneLost;
    // What two endpoints lost may be what breaks them, or what lies behind both: a third would be the next.
    auto ran = [](const Attempt& attempt) { return attempt.may_have_run; };
    if (std::count_if(request.attempts.begin(), request.attempts.end(), ran) > 1) return gave_up(request);
    for (int i = 0; i < int(endpoints_.size()) && now_ < request.until - 2 * deployment_.round_trip_s; ++i) {
      bool usable = endpoints_[i].health == Health::Healthy &&
                    lane_health(endpoints_[i], request.class_index) == Health::Healthy &&
                    (!tried(request, i) || may_go_back(request));
      if (usable && may_attempt(request, endpoints_[i])) return Input::Again;
    }
    return gave_up(request);
  }
  Input gave_up(const RequestState& request) const {
    return may_reject(request) ? Input::Reject : Input::Fail;
  }

  // ---- the ordinary path: lowest depth, the hedge threshold, the gated hedge
  double threshold(int class_index) const {
    const auto& samples = latencies_[class_index];
    // Too few answers make no percentile: until then half the latency objective stands in for it.
    if (samples.size() < kFewLatencies)
      return deployment_.request_classes[class_index].latency_objective_s / 2;
    return thresholds_[class_index];
  }
  // The lowest mean of the last while: one that moves with a jam would let it in.
  double calm(int class_index) const {
    const auto& means = means_[class_index];
    if (!means.empty()) return *std::min_element(means.begin(), means.end());
    return latencies_[class_index].empty() ? deployment_.request_classes[class_index].latency_objective_s / 4
                                           : mean(latencies_[class_index]);
  }
  // A request may be held for as long as a calm attempt would still end well within its latency objective.
  double patience(const RequestState& request) const {
    double target = class_of(request).latency_objective_s;
    return std::max(kLeastPatience * target, kMostPatience * target - 2 * calm(request.class_index));
  }
  // The gate's and C's: old as reports are, first attempts that followed them would all meet.
  double depth(const Endpoint& endpoint) const {
    return std::max(double(endpoint.out.size()),
                    now_ - endpoint.load_at < kReportAge ? endpoint.load.depth : 0);
  }
  static void note_answer(ClassStatistics& statistics, const ResponseSample& answer) {
    keep(statistics.samples, answer, kEndpointSamples), statistics.slow_until = 0;
  }
  static void forget_answers(ClassStatistics& statistics) {
    statistics.samples.clear(), statistics.slow_until = 0;
  }
  // Against calm: a usual that moves with a jam makes those in it look no worse than those left out of use.
  // Kept until an answer comes or one grows old: each choice asks it of every endpoint.
  double slowness(const Endpoint& endpoint) const {
    if (now_ < endpoint.slow_until) return endpoint.slow;
    double sum = 3, count = 3;
    endpoint.slow_until = now_ + kSampleAge;
    for (const ResponseSample& answer : endpoint.samples) {
      if (now_ - answer.completed_at_s >= kSampleAge || answer.failed) continue;
      sum += answer.latency_ratio, count += 1;
      endpoint.slow_until = std::min(endpoint.slow_until, answer.completed_at_s + kSampleAge);
    }
    return endpoint.slow = sum / count;
  }
  double learned_capacity(const Endpoint& endpoint) const {
    double least = kFirstCapacity, most = 1e9;
    for (const ResponseSample& answer : endpoint.samples) {
      if (answer.in_time) least = std::max(least, answer.depth + 1.0);
      int in_time = 0;
      for (const ResponseSample& other : endpoint.samples)
        in_time += other.depth < answer.depth ? 0 : other.in_time ? 1 : -1;
      if (in_time < 0) most = std::min(most, double(answer.depth));
    }
    return std::min(least, most);
  }
  bool in_slow_start(const Endpoint& endpoint) const {
    return endpoint.online_since > 0 && now_ < endpoint.online_since + deployment_.slow_start.duration_s;
  }
  static bool open(const ClassStatistics& statistics) {
    if (statistics.health == Health::Recovering)
      return int(statistics.out.size()) < statistics.recovery_limit;
    return statistics.health == Health::Healthy;
  }
  bool open_to(const Endpoint& endpoint, int class_index) const {
    if (!open(endpoint) || (!endpoint.by_class.empty() && !open(endpoint.by_class[class_index])))
      return false;
    return !in_slow_start(endpoint) || (endpoint.own_weight > 0 && endpoint.slow_start_tokens >= 1);
  }
  // Rule 4 in a calm: what this sidecar saves up is its part of what all that share the endpoint may spend at
  // once beside what comes in meanwhile. Past that an attempt is forfeited; the rest stays, as it is what
  // lets sidecars' attempts come in turn. With 'each' a second of N that are allowed in the window, see
  // docs/crossings.md.
  void add_credit(Endpoint& endpoint, double grown) {
    const SlowStartRule& rule = deployment_.slow_start;
    double each = grown / kTick * rule.overload_window_s, all = rings();
    double allowed = rule.overload_multiple * each * all;
    allowed = kColdCare * (allowed + 2 * std::sqrt(allowed) + 2);
    double most = 1 + std::clamp(allowed / all - each, 0.0, kMostSaved);
    endpoint.slow_start_tokens += grown;
    if (endpoint.slow_start_tokens <= most) return;
    // Who gains as much in a tick spends it in the next: there is nothing to take turns for.
    endpoint.slow_start_tokens =
        grown >= kMostSaved ? most
                            : endpoint.slow_start_tokens - std::ceil(endpoint.slow_start_tokens - most);
  }
  // A heavy request takes as much of the budget as it is heavier than the mean; a light one takes a whole.
  double cold_cost(double work) const {
    if (work <= 0 || works_.empty()) return 1;
    return std::clamp(work / mean(works_), 1.0, kMostColdCost);
  }
  // Of one that nothing is known of: as the endpoint's own.
  static Health lane_health(const Endpoint& endpoint, int class_index) {
    return endpoint.by_class.empty() ? endpoint.health : endpoint.by_class[class_index].health;
  }
  // With the whole list for many sidecars of few requests no endpoint is known to any. So a ring of the list,
  // shuffled alike at all, is cut evenly among as many sidecars as it gives parts; the next cut another ring.
  int rings() const { return deployment_.instance_count / parts_; }
  void shuffle() {
    // Cut anew only for a list that is clearly another: each new cut is a round of new connections for all.
    int parts = placed_ ? 1 : std::max(1, std::min(listed(), deployment_.instance_count) / kLeastSubset);
    if (parts > parts_ * 1.25 || parts < parts_ * 0.75) parts_ = parts;
    std::uint64_t cut = kMixer * std::uint64_t(deployment_.instance_index % rings() + 1);
    bool another = std::exchange(cut_, cut) != cut;
    if (another) begin_ring();
    if (!std::exchange(ring_stale_, false) && returned_.empty()) return;
    // What left goes out, and what came goes in at its place: a list of thousands changes by a few.
    std::erase_if(ring_, [&](int i) { return !endpoints_[i].on_ring; });
    auto old = std::ptrdiff_t(ring_.size());
    for (int i : std::exchange(returned_, {})) {
      Endpoint& endpoint = endpoints_[i];
      if (endpoint.health == Health::Removed || std::exchange(endpoint.on_ring, true)) continue;
      endpoint.order = mixed(cut, endpoint.name);
      ring_.push_back(i);
    }
    auto before = [this](int a, int b) {
      return std::pair(endpoints_[a].order, a) < std::pair(endpoints_[b].order, b);
    };
    std::sort(ring_.begin() + old, ring_.end(), before);
    std::inplace_merge(ring_.begin(), ring_.begin() + old, ring_.end(), before);
    measure_ring();
  }
  void begin_ring() {
    ring_.clear();
    for (const auto& [name, at] : index_) endpoints_[at].on_ring = false, returned_.insert(at);
  }
  // Where on the ring each begins, by units.
  void measure_ring() {
    double at = 0;
    starts_.clear();
    for (int i : ring_) starts_.push_back(at), at += endpoints_[i].units;
    starts_.push_back(at);
  }
  void cut_subset() {
    int turns = rings(), cuts = 1;
    if (parts_ > 1)
      cuts = (deployment_.instance_count - deployment_.instance_index % turns + turns - 1) / turns;
    for (int i : subset_) endpoints_[i].own_weight = 0;
    subset_.clear();
    if (ring_.empty()) return;
    double whole = starts_.back();
    double from = whole * (deployment_.instance_index / turns % cuts) / cuts, to = from + whole / cuts;
    // As wide as it can know: enough requests a second for each endpoint to keep its samples young.
    double known = deployment_.has_key_affinity ? 1 : recent_rate_ / kKnownRate / double(ring_.size() + 1);
    if (deployment_.responses_report_load) to = from + whole * std::clamp(known, 1.0 / cuts, 1.0);
    // Its part begins at the first that ends past 'from'.
    auto first = std::upper_bound(starts_.begin() + 1, starts_.end(), from) - (starts_.begin() + 1);
    std::size_t n = std::min(std::size_t(first), ring_.size());
    for (double at = starts_[n]; n < 2 * ring_.size() && at < to && subset_.size() < ring_.size(); ++n) {
      int i = ring_[n % ring_.size()];
      Endpoint& endpoint = endpoints_[i];
      double part = std::min(at + endpoint.units, to) - std::max(at, from);
      at += endpoint.units;
      if (part <= 0) continue;
      if (endpoint.own_weight == 0) subset_.push_back(i);
      endpoint.own_weight = part;
      // What is ejected or in slow start leaves its part to the next on the ring, not to the few others of
      // the subset.
      if (endpoint.health == Health::Ejected || in_slow_start(endpoint)) to += part;
    }
  }
  int choose(const RequestState& request, bool at_random) {
    int found = choose_among(request, at_random, subset_);
    return found < 0 && subset_.size() < ring_.size() ? choose_among(request, at_random, ring_) : found;
  }
  int choose_among(const RequestState& request, bool at_random, const std::vector<int>& among) {
    int found = -1;
    double lowest = 0;
    for (int i : among) {
      const Endpoint& endpoint = endpoints_[i];
      bool again = tried(request, i), reported = deployment_.responses_report_load;
      if ((again && !may_go_back(request)) || !open_to(endpoint, request.class_index) ||
          !may_attempt(request, endpoint))
        continue;
      // A recovery ramp is a test: an unsafe request, which could not be sent again, is no stake for it.
      if (endpoint.health == Health::Recovering && class_of(request).idempotency == Idempotency::Unsafe)
        continue;
      // A crossing is priced: zones are crossed for shorter queues, not by chance.
      double crossing = endpoint.zone == deployment_.zone ? 0 : kCrossing * deployment_.cross_zone_price;
      double weight = (endpoint.own_weight > 0 ? endpoint.own_weight : endpoint.units) / slowness(endpoint);
      // What the slow-start rule leaves is taken soon: saved up, it would be spent by all at once.
      if (in_slow_start(endpoint)) weight *= kDue;
      // A heavy request's own work is most of its latency: it goes the more to the fast.
      if (request.heavy > 1) weight = std::pow(weight, request.heavy);
      // Ties break at random, in proportion to what each can do (the least of such draws is so spread), and
      // parts that add up by that alone; with a key alike at all: who met it lately is worth some depth.
      double at = request.key ? to_share(mixed(request.key, endpoint.name)) : chance();
      double draw = reported || placed_ || at_random ? -std::log(1e-9 + at) : 0;
      double ahead =
          double(endpoint.out.size()) + (reported || placed_ ? 0 : 1) + crossing + (again ? kBack : 0);
      double tie = placed_ ? draw : reported ? (request.key ? kWarm : 0.01) * draw : ahead * 0.2 * chance();
      ahead = at_random ? draw : (ahead + tie) / weight;
      if (found < 0 || ahead < lowest) found = i, lowest = ahead;
    }
    return found;
  }
  void send(RequestState& request, int to) {
    know(to);
    Endpoint& endpoint = endpoints_[to];
    endpoint.used_at = now_;
    int number = int(request.attempts.size());
    request.attempts.push_back(
        {to, int(depth(endpoint)) + 1, now_, true, true, endpoint.zone, endpoint.cell});
    if (in_slow_start(endpoint)) endpoint.slow_start_tokens -= cold_cost(request.work);
    endpoint.out.insert({now_, key(request.id, number)});
    endpoint.by_class[request.class_index].out.insert({now_, key(request.id, number)});
    if (!std::exchange(request.counted, true)) {
      request.weight = 1 / (kRoom * class_of(request).latency_objective_s);
      request.calm_weight = 1 / calm(request.class_index);
      count_load(request, 1);
    }
    host_.start_attempt(request.id, endpoint.name, 0);
    if (class_of(request).idempotency == Idempotency::Safe && deployment_.parallel_attempts &&
        request.state == State::Out)
      host_.schedule_timer(now_ + threshold(request.class_index), kLateToken | request.id);
  }
  void consider_hedge(RequestState& request) {
    if (int(request.attempts.size()) >= deployment_.max_attempts || !request.attempts.back().out) return;
    // A wake of an earlier attempt of the same request is not this one's threshold.
    const Attempt& first = request.attempts.back();
    double due = threshold(request.class_index), waited = now_ - std::max(first.sent, awake_);
    if (waited < due - deployment_.round_trip_s) return;
    // A heavy request is late anywhere, and its hedge doubles the heaviest work on every tier behind: an
    // endpoint that answers what came later is believed, and one with nothing against it gets as long again.
    const Endpoint& at = endpoints_[first.endpoint];
    if (slowness(at) < kSlowEndpoint && (at.last_response_s > first.sent || waited < kUnsuspected * due)) {
      ++counts_["weight"];
      if (waited < 4 * due) host_.schedule_timer(now_ + due, kLateToken | request.id);
      return;
    }
    if (mean(late_) > kSharedLate && late_.size() >= kFewLatencies) return void(++counts_["shared lateness"]);
    hedge_to_ = choose(request, true);
    if (hedge_to_ < 0) return void(++counts_["no endpoint"]);
    const Endpoint& endpoint = endpoints_[hedge_to_];
    if (depth(endpoint) >= std::max(1.0, kBoundShare * learned_capacity(endpoint)))
      return void(++counts_["suppressed by depth"]);
    if (error_share(endpoint) >= kErrorGate) return void(++counts_["errors"]);
    turn(request, Input::Late);
  }

  // ---- room: what may be out at once, measured in latency objectives
  // Over windows long enough for a few dozen answers: the best of a few handfuls is only their luck.
  double best_rate(std::size_t last) const {
    double best = 0, sum = 0;
    for (std::size_t i = rates_.size() - std::min(last, rates_.size()), n = 0; i < rates_.size(); ++i) {
      sum += rates_[i];
      if (++n > kRateTicks) sum -= rates_[i - kRateTicks];
      best = std::max(best, sum);
    }
    return best / (double(std::clamp(rates_.size(), kLeastTicks, kRateTicks)) * kTick);
  }
  int count(Health health) const { return healths_[std::size_t(health)]; }
  int listed() const { return count(Health::Healthy) + count(Health::Ejected) + count(Health::Recovering); }
  bool room(const RequestState& request) const {
    // The floor is shared: many sidecars' own small allowances would add up to a crowd on every endpoint.
    if (deployment_.tier > 0 || request.place.first == kFirstOfAll) return true;
    // What is told of all requests knows a crowd; the few requests of one sidecar only seem to.
    if (deployment_.responses_report_load) return request.standing >= 1 - pass_;
    // Before any rate is known twice C's first value: with C itself the first seconds rejected a tenth.
    double each = now_ < started_ + kFirstSeconds ? 2 * kFirstCapacity : kFloor;
    // Rounded up to a request for each of many sidecars a room is too wide: where it ends, and with it the
    // first request of all where few come in time, is drawn by lot.
    double floor = each * count(Health::Healthy) / deployment_.instance_count;
    if (in_flight_ + request.lot < std::max(2 * services_[request.class_index].hope, floor)) return true;
    // What is slow by itself would fill the others' room: it has one of its own, as large as its hope.
    if (const Service* own = alone(request)) return own->load < own->hope * own->part * recent_rate_;
    double load = 0, calm_load = 0;
    for (std::size_t i = 0; i < services_.size(); ++i) {
      // All requests are some request class's; those of a tenant apart are taken out of them.
      int sign = int(i < latencies_.size()) - int(services_[i].alone);
      load += sign * services_[i].load, calm_load += sign * services_[i].calm_load;
    }
    // Calm goes by the best rate of a long while: a recent one is lowered by the very limit that it sets.
    load += request.lot / (kRoom * class_of(request).latency_objective_s);
    return load < recent_rate_ && calm_load + request.lot / calm(request.class_index) < kStretch * calm_rate_;
  }
  void pump() {
    if (held_.empty()) return;
    // Request classes for which no endpoint is open to a first attempt: the others need not look at all
    // again.
    std::vector<bool> shut(latencies_.size(), false);
    for (auto next = held_.begin(); next != held_.end();) {
      RequestState& request = requests_.at(next->second);
      bool has_room = room(request);
      if (!has_room && !alone(request)) break;
      bool first = request.attempts.empty(), in_vain = first && shut[std::size_t(request.class_index)];
      bool goes = has_room && !in_vain && choose(request, false) >= 0;
      if (first && has_room && !goes) shut[std::size_t(request.class_index)] = true;
      next = goes ? held_.erase(next) : std::next(next);
      if (goes) turn(request, Input::Room);
    }
  }
  // Who waits longest, and is shed first: those over their tenant's share, then by what service counts for
  // the work: credit, and for the request class that is served worst its own part as well.
  double rank(const RequestState& request) const {
    return request.over_share ? 1 / (1 + class_of(request).priority_weight)
                              : -services_[request.class_index].earns;
  }
  // Worked out each tick, as it is asked for several times a request.
  void weigh() {
    const auto& all = deployment_.request_classes;
    double best[2] = {};
    for (std::size_t i = 0; i < services_.size(); ++i) {
      Service& each = services_[i];
      double good = 3, ended = 3;
      for (const auto& [at, well] : each.let_out)
        if (now_ - at < kHopeAge) good += well, ++ended;
      each.hope = good / ended;
      best[i < all.size()] = std::max(best[i < all.size()], each.hope);
      auto its = i < all.size() ? std::count(arrived_.begin(), arrived_.end(), int(i))
                                : std::count(tenants_.begin(), tenants_.end(), int(i - all.size()));
      each.part = double(its) / double(arrived_.size() + 1);
      if (i < all.size())
        each.earns = each.hope * all[i].priority_weight / (deployment_.priority_by_work ? 1 : calm(int(i)));
    }
    // Late everywhere while others come in time: neither the endpoints' fault nor a crowd.
    for (std::size_t i = 0; i < services_.size(); ++i)
      services_[i].alone = services_[i].hope < 0.3 && best[i < all.size()] > 0.8;
  }
  void note_served(const RequestState& request, bool well) {
    for (Service* each : request.services) {
      if (!request.attempts.empty()) keep(each->let_out, {now_, well ? 1.0 : 0.0}, kEndpointSamples * 2);
    }
  }
  void count_load(const RequestState& request, int sign) {
    in_flight_ += sign;
    for (Service* each : request.services)
      each->load += sign * request.weight, each->calm_load += sign * request.calm_weight;
  }
  void leave_count(RequestState& request) {
    if (!std::exchange(request.counted, false)) return;
    count_load(request, -1);
  }
  void forget_if_over(std::map<RequestId, RequestState>::iterator at) {
    const RequestState& request = at->second;
    bool out =
        std::any_of(request.attempts.begin(), request.attempts.end(), [](const Attempt& f) { return f.out; });
    if (request.state == State::Done && !out) requests_.erase(at);
  }
  // Sidecars' traffic is uneven but its mixture alike: a tenant's part of it here is that of the fleet.
  bool over_share(std::string_view name, RequestState& request) {
    keep(arrivals_, now_, kLatencies);
    const auto& all = deployment_.tenants;
    auto found = std::find_if(all.begin(), all.end(), [&](const Tenant& one) { return one.name == name; });
    if (found == all.end()) return false;
    int number = int(found - all.begin());
    keep(tenants_, number, kLatencies);
    request.services.push_back(&services_[latencies_.size() + std::size_t(number)]);
    auto its = std::count(tenants_.begin(), tenants_.end(), number);
    return chance() * double(its) / double(tenants_.size()) * fleet_rate_ > found->quota_per_s;
  }

  // ---- health: what an outcome, or none, says of its endpoint
  void judge(Endpoint& endpoint, const RequestState& request, const Attempt& attempt, const AttemptEnd& end) {
    ResponseSample answer{now_, end.latency_s / calm(request.class_index), attempt.depth,
                          end.latency_s <= threshold(request.class_index), false};
    double whole = now_ - request.attempts.front().sent;
    ClassStatistics& statistics = endpoint.by_class[request.class_index];
    bool slept = attempt.sent < awake_, reported = deployment_.responses_report_load && !slept;
    if (reported && (end.outcome == Outcome::Delivered || end.outcome == Outcome::TimedOut))
      keep(lags_, {now_, end.latency_s / class_of(request).latency_objective_s}, kEndpointSamples);
    switch (end.outcome) {
      case Outcome::Delivered:
        endpoint.last_response_s = statistics.last_response_s = now_;
        if (!slept) note_answer(endpoint, answer), note_answer(statistics, answer);
        if (request.state != State::Done)
          note_served(request, whole <= class_of(request).latency_objective_s);
        if (request.state != State::Done && !slept) {
          keep(late_, whole > threshold(request.class_index) ? 1.0 : 0.0, std::size_t{40});
          keep(latencies_[request.class_index], whole, kLatencies);
          // Worked out here, once: it is asked for several times a request, and was a tenth of a request's
          // cost.
          thresholds_[request.class_index] = percentile(latencies_[request.class_index], kHedgePercentile);
        }
        ++answers_;
        for (ClassStatistics* each : {static_cast<ClassStatistics*>(&endpoint), &statistics}) {
          turn_health(*each, HealthEvent::Good);
          if (each->recovery_limit >= kRecoveryDone) turn_health(*each, HealthEvent::Restored);
        }
        return;
      case Outcome::Failed:
        endpoint.last_response_s = statistics.last_response_s = now_;
        answer.failed = true;
        note_answer(endpoint, answer), note_answer(statistics, answer);
        // With nothing behind it an error is the endpoint's own, and may be this request class's alone.
        if (deployment_.last_tier) note_failing(endpoint, request.class_index);
        if (fails_alone(endpoint)) note_failing(endpoint);
        return;
      case Outcome::ConnectFailed:
      case Outcome::Broken: return note_failing(endpoint);
      default: return;
    }
  }
  bool fails_alone(const Endpoint& endpoint) const {
    // An error may come from behind the endpoint: then its neighbours show as many.
    double failed = -failures(endpoint), all = -double(endpoint.samples.size());
    for (int i : known_) failed += failures(endpoints_[i]), all += double(endpoints_[i].samples.size());
    return failures(endpoint) >= 3 && error_share(endpoint) > 0.2 + 2 * failed / std::max(1.0, all);
  }
  // As a whole, or for one request class. With most of them failing the trouble is shared or behind them, and
  // the rest would be pushed over.
  void note_failing(Endpoint& endpoint, int class_index = -1) {
    auto statistics = [&](Endpoint& of) -> ClassStatistics& {
      return class_index < 0 ? of : of.by_class[class_index];
    };
    auto ejected = std::ranges::count_if(known_, [&](int i) {
      Endpoint& other = endpoints_[i];
      return other.health != Health::Removed && statistics(other).health == Health::Ejected;
    });
    ClassStatistics& failing = statistics(endpoint);
    double most =
        class_index < 0 ? 0.5 : 0.75;  // of one request class most may fail at once: a quarter is left
    if (failing.health == Health::Recovering || double(ejected + 1) <= most * listed())
      turn_health(failing, HealthEvent::Failing);
  }
  bool silent(const ClassStatistics& statistics) const {
    int overdue = 0;
    for (const auto& [sent, what] : statistics.out) {
      auto request = requests_.find(RequestId(what >> 8));
      if (request == requests_.end() || sent <= statistics.last_response_s) continue;
      double late = (now_ - std::max(sent, awake_)) / threshold(request->second.class_index);
      if (late > 2) return true;
      overdue += late > 1;
    }
    return overdue >= 2;
  }

  // ---- the list
  // The lowest place that is free, or a new one.
  int place_of(const std::string& name) {
    auto [found, fresh] = index_.try_emplace(name, int(endpoints_.size()));
    if (!fresh) return found->second;
    if (free_.empty()) {
      endpoints_.emplace_back();
    } else {
      found->second = *free_.begin();
      free_.erase(free_.begin());
    }
    Endpoint& endpoint = endpoints_[found->second];
    endpoint.name = name;
    endpoint.place = found->second;
    ++healths_[std::size_t(Health::Removed)];
    gone_.insert(endpoint.place);
    return endpoint.place;
  }
  // Names are ever new on long days: what is gone leaves its place to the next once nothing is out there.
  void free_places() {
    for (auto next = gone_.begin(); next != gone_.end();) {
      Endpoint& endpoint = endpoints_[*next];
      bool gone = endpoint.health == Health::Removed, over = gone && endpoint.out.empty();
      if (gone && std::exchange(endpoint.on_ring, false)) ring_stale_ = true;
      if (over) free_place(*next);
      next = over || !gone ? gone_.erase(next) : std::next(next);
    }
  }
  void free_place(int at) {
    --healths_[std::size_t(Health::Removed)];
    index_.erase(endpoints_[at].name);
    known_.erase(at);
    returned_.erase(at);
    free_.insert(at);
    endpoints_[at] = Endpoint();
  }
  void note_left_out(std::span<const ListEntry> entries) {
    std::set<std::string_view> seen;
    for (const ListEntry& entry : entries) seen.insert(entry.endpoint);
    for (const auto& [name, at] : index_)
      if (!seen.contains(name)) note_missing(endpoints_[at]);
  }
  void note_listed(const ListEntry& entry) {
    Endpoint& endpoint = endpoints_[place_of(entry.endpoint)];
    if (entry.state == ListedState::Removed) return note_missing(endpoint);
    if (entry.state == ListedState::Draining) return turn_all(endpoint, HealthEvent::Unlisted);
    endpoint.missing = false;
    endpoint.zone = entry.zone, endpoint.cell = entry.cell;
    if (std::exchange(endpoint.units, entry.weight) != entry.weight) ring_stale_ = true;
    if (entry.online_since_s != endpoint.online_since) {
      // Restarted: nothing learned holds. Rule 4: by their numbers sidecars' first attempts come in turn.
      endpoint.online_since = entry.online_since_s;
      forget_answers(endpoint);
      for (ClassStatistics& statistics : endpoint.by_class) forget_answers(statistics);
      endpoint.slow_start_tokens =
          double(deployment_.instance_index % deployment_.instance_count) / deployment_.instance_count;
      turn_all(endpoint, HealthEvent::Unlisted);
    }
    turn_all(endpoint, HealthEvent::Listed);
  }
  // Where such a list does not bind, what is missing from it is gone once own attempts find it failing, too.
  void note_missing(Endpoint& endpoint) {
    endpoint.missing = true;
    if (!deployment_.only_draining_binds || endpoint.health == Health::Ejected)
      turn_all(endpoint, HealthEvent::Unlisted);
  }
  void ask_again_later() {
    // The list service is one for all: without spread and back-off every sidecar would knock at once.
    asked_until_ = 0;
    ask_at_ = now_ + ask_back_off_ * (0.5 + chance());
    ask_back_off_ = std::min(ask_back_off_ * 2, deployment_.list_poll_interval_s);
  }

  // How full the fleet is against how full it may be, as told: by its cores' use, or by Little's law from how
  // long requests stay there. What passes now is what passed when that was so, mended by it.
  void hear_crowd() {
    if (arrivals_.empty()) return;
    double served = 0, busy = 0, heard = 0;
    if (!deployment_.responses_report_load)
      return void(fleet_rate_ = double(arrivals_.size()) / std::max(2.0, now_ - arrivals_.front()) *
                                deployment_.instance_count);
    std::deque<double> stays;  // the median counts: one released from a hang shows all that it held
    for (int i : known_) {
      const Endpoint& endpoint = endpoints_[i];
      if (now_ - endpoint.load_at > kReportAge) continue;
      served += endpoint.load.requests_per_s, busy += endpoint.load.cpu_utilization, ++heard;
      if (endpoint.load.requests_per_s > 0)
        stays.push_back(endpoint.load.depth / endpoint.load.requests_per_s);
    }
    double use = busy / std::max(1.0, heard) / kFull, sum = 0, count = 0;
    if (!stays.empty()) {
      for (const auto& each : latencies_)
        sum += std::accumulate(each.begin(), each.end(), 0.0), count += double(each.size());
      for (std::size_t i = 0; i < latencies_.size(); ++i) {
        if (latencies_[i].empty()) continue;
        double own = mean(latencies_[i]), stay = percentile(stays, 0.5) * own / (sum / count);
        // Rates that have only begun to be counted tell of a jam that is none.
        if (now_ < started_ + kFirstSeconds) stay = std::min(stay, own);
        use = std::max(use, stay / (kRoom * deployment_.request_classes[i].latency_objective_s));
      }
    }
    // Full cores can't tell of the queue behind them; own answers do.
    double lag = 0, lags = 0;
    for (const auto& [at, share] : lags_)
      if (now_ - at < kReportAge) lag += share, ++lags;
    if (lags >= kFewLags) use = std::max(use, lag / lags / kRoom);
    double passed = passes_.empty() ? 1 : mean(passes_);
    pass_ = std::clamp(passed * std::clamp(1 + kMend * (1 - use), 0.5, 1.3), 0.1, 1.0);
    keep(passes_, pass_, kPassTicks);
    if (heard > 0) fleet_rate_ = served / heard * listed() / passed;
  }
  void tick() {
    host_.schedule_timer(now_ + kTick, kTickToken);
    hear_crowd();
    if (deployment_.tier == 0 && turns_ != std::exchange(weighed_, turns_)) weigh();  // else nothing is shed
    if (ask_at_ > 0 && now_ >= ask_at_) {
      ask_at_ = 0;
      asked_until_ = now_ + deployment_.list_poll_interval_s;
      host_.poll_endpoint_list();
    }
    if (asked_until_ > 0 && now_ > asked_until_) ask_again_later();
    keep(rates_, std::exchange(answers_, 0.0), std::size_t(kCalmSeconds / kTick));
    recent_rate_ = best_rate(kRateTicks), calm_rate_ = best_rate(rates_.size());
    if (now_ >= means_at_) {
      means_at_ = now_ + 1;
      forget_unused();
      for (std::size_t i = 0; i < latencies_.size(); ++i)
        if (latencies_[i].size() >= kFewLatencies) keep(means_[i], mean(latencies_[i]), kCalmSeconds);
    }
    // With hundreds of endpoints a look at each, every tick, was most of what a sidecar cost.
    bool whole = ++ticks_ % kWholeTicks == 0 || deployment_.responses_report_load;
    if (whole || std::exchange(stale_, false)) cut_subset();
    double warm = 0;
    for (int i : subset_)
      if (endpoints_[i].health == Health::Healthy && !in_slow_start(endpoints_[i]))
        warm += endpoints_[i].own_weight;
    // A fresh one gets the slow-start share, growing evenly, of a warm one's; with none warm, an attempt a
    // second. What was inherited the process before may still be at.
    double rate = recent_rate_ * std::clamp((now_ - inherited_at_) / (kRateTicks * kTick), 0.0, 1.0);
    double pace = std::max(warm > 0 ? rate * kTick / warm : 0, kTick / rings());
    double late = mean(late_);
    // The others were never sent to, and get no credit: nothing can be due there.
    std::vector<int> looked_at = subset_;
    if (whole) {
      looked_at.insert(looked_at.end(), known_.begin(), known_.end());
      std::sort(looked_at.begin(), looked_at.end());
      looked_at.erase(std::unique(looked_at.begin(), looked_at.end()), looked_at.end());
    }
    for (int at : looked_at) {
      Endpoint& endpoint = endpoints_[at];
      if (in_slow_start(endpoint)) {
        double warmth = (now_ - endpoint.online_since) / deployment_.slow_start.duration_s;
        double share = deployment_.slow_start.initial_share +
                       (1 - deployment_.slow_start.initial_share) * std::clamp(warmth, 0.0, 1.0);
        add_credit(endpoint, pace * share * endpoint.own_weight);
      }
      if (endpoint.missing && endpoint.health == Health::Ejected) turn_all(endpoint, HealthEvent::Unlisted);
      if (now_ >= endpoint.ejected_until_s) turn_health(endpoint, HealthEvent::HoldOver);
      // Lost with its connection rather than late, it would fill the room until its client timeout.
      for (const auto& [sent, what] : endpoint.out) {
        RequestState& request = requests_.at(RequestId(what >> 8));
        bool lost = now_ - sent > kHopeless * threshold(request.class_index);
        if (lost && !(late > kSharedLate)) leave_count(request);
      }
      if (silent(endpoint)) note_failing(endpoint);
      for (std::size_t k = 0; k < endpoint.by_class.size(); ++k) {
        ClassStatistics& statistics = endpoint.by_class[k];
        if (now_ >= statistics.ejected_until_s) turn_health(statistics, HealthEvent::HoldOver);
        if (deployment_.last_tier && !(late > kSharedLate) && silent(statistics))
          note_failing(endpoint, int(k));
      }
    }
    pump();  // into what has just been left, before those whose patience is over are given up
    for (auto next = held_.begin(); next != held_.end();) {
      RequestState& request = requests_.at((next++)->second);
      if (now_ >= request.held_until)
        turn(request, gave_up(request)), forget_if_over(requests_.find(request.id));
    }
    pump();
    // The source's diagnosis rests on both counts; one sidecar a tier is enough to see them.
    if (now_ < report_at_ || deployment_.instance_index != 0) return;
    report_at_ = now_ + 10;
    std::string line = "tier " + std::to_string(deployment_.tier);
    for (const auto& [what, count] : counts_) line.append(", ").append(what) += " " + std::to_string(count);
    host_.log(line);
  }

  Deployment deployment_;
  Host& host_;
  pcg32 chance_;  // same seed, same choices
  double now_, started_, awake_ = kFirstOfAll, inherited_at_ = kFirstOfAll;
  double arrived_at_ = now_;  // the last request
  std::vector<Endpoint> endpoints_;
  std::map<std::string, int, std::less<>> index_;  // endpoints_ by name
  // Places in it: without a name, of some that have gone, that came or came back, with statistics.
  std::set<int> free_, gone_, returned_, known_;
  std::array<int, 4> healths_{};    // how many endpoints there are in each
  std::vector<int> ring_, subset_;  // the listed endpoints in this sidecar's order, and its part of them
  std::vector<double> starts_;      // where on the ring each begins, by units, and where the last ends
  std::uint64_t cut_ = 0;           // which ring it is
  bool ring_stale_ = false;         // somebody left it, or has another size
  std::map<RequestId, RequestState> requests_;
  std::map<Held, RequestId> held_;
  std::vector<std::deque<double>> latencies_, means_;
  std::vector<Service> services_;      // request classes, then tenants
  std::deque<int> arrived_, tenants_;  // of the last: which request class, and which tenant if known
  std::vector<double> thresholds_;     // by request class, of latencies_
  std::deque<double> late_;            // 1: a request past its threshold, 0: one within
  std::deque<double> rates_;
  double pass_ = 1, fleet_rate_ = 0;
  std::deque<std::pair<double, double>> lags_;  // of the last answers: when, and latency against target
  std::deque<double> passes_, ranks_, arrivals_;
  std::deque<double> works_;  // of the last requests whose work was told
  double answers_ = 0, recent_rate_ = 0, calm_rate_ = 0;
  int in_flight_ = 0, hedge_to_ = -1, parts_ = 1;
  double ask_at_ = 0, asked_until_ = 0, ask_back_off_ = 0.5, report_at_ = 0, means_at_ = 0;
  std::uint64_t turns_ = 0, weighed_ = 0, ticks_ = 0;
  bool stale_ = false;                                // the subset, as one of it was ejected
  bool placed_ = false;                               // by who is there, not by the numbers given
  std::map<std::string_view, std::uint64_t> counts_;  // of hedges sent, and of what kept one back
};

const std::array<Transition<Module, State, Input, RequestState>, 13> Module::kRequestRows = {{
    {State::Held, Input::Room, State::Out, &Module::send_first},
    {State::Held, Input::Reject, State::Done, &Module::reject},
    {State::Held, Input::Fail, State::Done, &Module::fail},
    {State::Held, Input::Over, State::Done, &Module::finish},
    {State::Out, Input::Late, State::Paired, &Module::send_hedge},
    {State::Out, Input::Again, State::Held, &Module::queue_again},
    {State::Out, Input::Reject, State::Done, &Module::reject},
    {State::Out, Input::Fail, State::Done, &Module::fail},
    {State::Out, Input::Over, State::Done, &Module::finish},
    {State::Paired, Input::OneLost, State::Out, &Module::nothing},
    {State::Paired, Input::Reject, State::Done, &Module::reject},
    {State::Paired, Input::Fail, State::Done, &Module::fail},
    {State::Paired, Input::Over, State::Done, &Module::finish},
}};

const std::array<Transition<Module, Health, HealthEvent, ClassStatistics>, 10> Module::kHealthRows = {{
    {Health::Removed, HealthEvent::Listed, Health::Healthy, &Module::restore},
    {Health::Healthy, HealthEvent::Failing, Health::Ejected, &Module::eject},
    {Health::Healthy, HealthEvent::Unlisted, Health::Removed, &Module::nothing},
    {Health::Ejected, HealthEvent::HoldOver, Health::Recovering, &Module::begin_recovery},
    {Health::Ejected, HealthEvent::Good, Health::Recovering, &Module::begin_recovery},
    {Health::Ejected, HealthEvent::Unlisted, Health::Removed, &Module::nothing},
    {Health::Recovering, HealthEvent::Good, Health::Recovering, &Module::widen_recovery},
    {Health::Recovering, HealthEvent::Restored, Health::Healthy, &Module::restore},
    {Health::Recovering, HealthEvent::Failing, Health::Ejected, &Module::eject},
    {Health::Recovering, HealthEvent::Unlisted, Health::Removed, &Module::nothing},
}};

}  // namespace

std::unique_ptr<Policy> make_policy(double now, Deployment deployment, std::uint64_t seed, Host& host) {
  return std::make_unique<Module>(now, std::move(deployment), seed, host);
}

}  // namespace puffinvane
