// Short tests, one for each failure met. Run without arguments; a test that does not hold aborts.
#include <malloc.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <set>
#include <utility>

#include "testing/helpers.h"

using namespace puffinvane;
using namespace puffinvane::test;

// Bytes asked for so far: what work costs, whatever the machine.
static std::size_t allocated = 0;
[[gnu::noinline]] void* operator new(std::size_t size) {
  allocated += size;
  if (void* got = std::malloc(size)) return got;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* what) noexcept { std::free(what); }
[[gnu::noinline]] void operator delete(void* what, std::size_t) noexcept { std::free(what); }

namespace {

// Rule 2: what follows one attempt that ended, for each kind of request class.
void a_lost_attempt_goes_on_only_where_rule_two_lets_it() {
  struct Row {
    const char* request_class;
    Outcome outcome;
    bool again;
    bool rejected;
  };
  for (Row row :
       {Row{"read", Outcome::Failed, true, false}, Row{"read", Outcome::Refused, true, false},
        Row{"mutating", Outcome::Refused, true, false}, Row{"mutating", Outcome::ConnectFailed, true, false},
        Row{"mutating", Outcome::NotSent, true, false}, Row{"mutating", Outcome::Failed, false, false},
        Row{"mutating", Outcome::TimedOut, false, false}, Row{"mutating", Outcome::Broken, false, false},
        Row{"mutating", Outcome::Stale, false, false}, Row{"read", Outcome::Stale, true, false},
        Row{"tagged", Outcome::Refused, true, false}, Row{"tagged", Outcome::Broken, false, false},
        Row{"tagged-all", Outcome::Failed, true, false}, Row{"tagged-cell", Outcome::Broken, false, false}}) {
    FakeHost host(deployment());
    host.list({{"near", "here", 1, ListedState::Ready, 1, 0}, {"far", "there", 2, ListedState::Ready, 1, 0}});
    RequestId request = host.request(row.request_class);
    host.run(0.1);
    host.end(host.sent.at(0), row.outcome);
    host.run(0.01);
    assert((host.attempts(request) == 2) == row.again);
    if (row.again) assert(host.sent[1].endpoint != host.sent[0].endpoint);
    else assert(host.failed == std::vector<RequestId>{request});
    assert(host.rejected.empty());
  }
}

void a_keyed_request_that_may_have_run_stays_in_its_group_and_memory() {
  FakeHost host(deployment());
  host.list({{"a", "here", 1, ListedState::Ready, 1, 0},
             {"b", "here", 1, ListedState::Ready, 1, 0},
             {"c", "there", 2, ListedState::Ready, 1, 0},
             {"d", "there", 2, ListedState::Ready, 1, 0}});
  std::map<std::string, char> zone = {{"a", 'h'}, {"b", 'h'}, {"c", 't'}, {"d", 't'}};
  for (int i = 0; i < 20; ++i) {
    RequestId request = host.request("tagged");
    Sent first = host.sent.back();
    host.run(0.1);
    host.end(first, Outcome::TimedOut);
    assert(host.attempts(request) == 2 && zone[host.sent.back().endpoint] == zone[first.endpoint]);
    host.end(host.sent.back(), Outcome::Delivered);
  }
  RequestId late = host.request("tagged");
  host.run(1.2);  // the group remembers for 1 s
  host.end(host.sent.back(), Outcome::TimedOut);
  assert(host.attempts(late) == 1 && host.failed.back() == late);
}

// One spoilt answer in thirty cost the keyed requests as much as the unsafe ones: with fewer endpoints
// than two in a group there was none to go on to, though the one that had run the request drops its repeat.
void a_keyed_request_goes_back_to_the_only_endpoint_of_its_group() {
  FakeHost host(deployment());
  host.list({{"near", "here", 1, ListedState::Ready, 1, 0}, {"far", "there", 2, ListedState::Ready, 1, 0}});
  RequestId request = host.request("tagged");
  host.run(0.1);
  host.end(host.sent.at(0), Outcome::Failed);
  assert(host.attempts(request) == 2 && host.sent[1].endpoint == host.sent[0].endpoint);
  host.end(host.sent.at(1), Outcome::Refused);
  assert(host.attempts(request) == 3);  // that it was turned away there proves nothing of the first attempt
  host.list({{"a", "here", 1, ListedState::Ready, 1, 0}, {"b", "here", 1, ListedState::Ready, 1, 0}});
  for (int i = 0; i < 4; ++i) {  // with another in the group it goes there
    host.request("tagged");
    Sent first = host.sent.back();
    host.end(first, Outcome::Failed);
    assert(host.sent.back().number == 1 && host.sent.back().endpoint != first.endpoint);
    host.run(0.05);
    host.end(host.sent.back(), Outcome::Delivered);
    host.calm(8, 0.05);
  }
}

// A new id at the place of one that is gone: what a request did there must not be taken for the new one's.
void an_endpoint_in_the_place_of_one_that_is_gone_is_another() {
  FakeHost host(deployment());
  host.list({{"old", "here", 1, ListedState::Ready, 1, 0}});
  RequestId request = host.request("tagged");
  host.list({{"old", "here", 1, ListedState::Removed, 1, 0}}, ListScope::Changes);
  host.list({{"new", "there", 2, ListedState::Ready, 1, 0}}, ListScope::Changes);
  host.end(host.sent.at(0), Outcome::Failed);
  host.list({{"newer", "there", 2, ListedState::Ready, 1, 0}}, ListScope::Changes);  // in the place of old
  assert(host.attempts(request) == 1 && host.failed == std::vector<RequestId>{request});
  host.list({{"one", "here", 1, ListedState::Ready, 1, 0}});
  for (int i = 0; i < 20; ++i)
    host.request("read"), host.run(0.1), host.end(host.sent.back(), Outcome::Failed);
  host.list({{"two", "here", 1, ListedState::Ready, 1, 0}, {"three", "here", 1, ListedState::Ready, 1, 0}});
  std::size_t before = host.sent.size();
  for (int i = 0; i < 40; ++i)
    host.request("read"), host.run(0.01), host.end(host.sent.back(), Outcome::Delivered);
  assert(host.sent.size() == before + 40 && host.sent_to("two") > 1 && host.sent_to("three") > 1);
}

// On the long day ids are ever new: ten thousand of them must cost what ten do.
void endpoints_that_are_gone_leave_nothing_behind() {
  FakeHost host(deployment());
  host.ready(4);
  int born = 1;
  auto turn_over = [&](int times) {
    for (int i = 0; i < times; ++i, ++born) {
      host.list({{"x" + std::to_string(born), "here", 1, ListedState::Ready, 1, 0},
                 {"x" + std::to_string(born - 1), "here", 1, ListedState::Removed, 1, 0}},
                ListScope::Changes);
    }
    return mallinfo2().uordblks;
  };
  std::size_t few = turn_over(100), many = turn_over(10000);
  assert(many < few + 20000);
}

// A sidecar of a fleet as large as they come, whose traffic is that of one in a small fleet.
struct Fleet {
  int endpoints = 0, sidecars = 0;
};
constexpr Fleet kSmall{200, 56}, kLargest{3200, 900};
constexpr int kMostDealt = 16;  // endpoints of the subset of one such sidecar
Deployment one_of(const Fleet& fleet) {
  Deployment made = deployment();
  made.instance_count = fleet.sidecars, made.instance_index = fleet.sidecars / 2;
  return made;
}
std::size_t memory_in_use() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

// Acceptance: 4 MB more for each thousand endpoints, in the whole process. The module took 8.7 KB for each.
void a_long_list_costs_little_memory_but_for_the_endpoints_in_use() {
  auto kept = [](const Fleet& fleet) {
    std::size_t before = memory_in_use();
    FakeHost host(one_of(fleet));
    host.ready(fleet.endpoints);
    assert(host.endpoints_with_statistics() == 0);
    host.calm(200, 0.02);
    assert(host.endpoints_with_statistics() <= kMostDealt);
    return double(memory_in_use()) - double(before);
  };
  constexpr double kBytesEach = 1500;
  double few = kept(kSmall), many = kept(kLargest);
  assert(many < few + kBytesEach * (kLargest.endpoints - kSmall.endpoints));
}

// One change was a new sort of all that is listed.
void a_change_of_a_long_list_costs_what_it_changes() {
  FakeHost host(one_of(kLargest));
  host.ready(kLargest.endpoints);
  host.calm(50, 0.02);
  constexpr std::size_t kMostBytes = 4096, kChanges = 100;
  std::size_t before = allocated;
  for (std::size_t i = 0; i < kChanges; ++i) {
    host.list({{"b" + std::to_string(i), "here", 1, ListedState::Ready, 1, host.now}}, ListScope::Changes);
    host.list({{"a" + std::to_string(i), "here", 1, ListedState::Removed, 1, 0}}, ListScope::Changes);
  }
  assert(allocated - before < 2 * kChanges * kMostBytes);
}

// With the subset cold the others are sent to; what is learned of them isn't kept for ever.
void statistics_of_endpoints_out_of_the_subset_are_let_go_of() {
  FakeHost host(one_of(kSmall));
  host.ready(kSmall.endpoints);
  host.calm(200, 0.02);
  std::set<std::string> subset;
  for (const Sent& one : host.sent) subset.insert(one.endpoint);
  for (int i = 0; i < 40; ++i) {
    for (const std::string& name : subset)
      host.list({{name, "here", 1, ListedState::Ready, 1, host.now}}, ListScope::Changes);
    host.calm(2, 0.02);
  }
  assert(host.endpoints_with_statistics() > kMostDealt + 4);
  host.run(20);  // warm again
  host.calm(100, 0.02);
  host.run(65);
  assert(host.endpoints_with_statistics() <= kMostDealt);
}

void a_keyed_request_is_rejected_only_if_the_whole_fleet_drops_its_repeat() {
  FakeHost host(deployment());
  host.ready(1);
  RequestId all = host.request("tagged-all"), zone = host.request("tagged");
  host.run(0.1);
  for (Sent attempt : std::vector<Sent>(host.sent)) host.end(attempt, Outcome::Broken);
  host.run(5);
  assert(host.rejected == std::vector<RequestId>{all});
  assert(host.failed == std::vector<RequestId>{zone});
}

// Rule 1.
void each_request_gets_one_answer_though_outcomes_cross_and_come_late() {
  FakeHost host(deployment());
  host.ready(3);
  RequestId slow = host.request("mutating", 1);
  host.run(0.98);
  assert(host.failed.empty());
  host.run(0.02);
  assert(host.failed == std::vector<RequestId>{slow});
  assert(host.cancelled == (std::vector<std::pair<RequestId, int>>{{slow, 0}}));
  host.end(host.sent.at(0), Outcome::Delivered);  // the fake host aborts on a second answer
  host.end(host.sent.at(0), Outcome::Delivered);
  host.withdraw(slow);
  RequestId gone = host.request("read", 1);
  host.withdraw(gone);
  host.end(host.sent.back(), Outcome::Cancelled);
  host.run(3);
  assert(!host.ended(gone) && host.attempts(gone) == 1);
}

void a_request_without_any_endpoint_is_rejected_before_its_client_leaves() {
  FakeHost host(deployment());
  RequestId request = host.request("mutating", 4);
  host.run(1);
  assert(host.rejected == std::vector<RequestId>{request});
}

// Rule 3.
// Where only draining binds a list that lost an endpoint is not believed, until it fails as well.
void an_endpoint_missing_from_the_list_is_sent_to_where_only_draining_binds() {
  Deployment alone = deployment();
  alone.only_draining_binds = true;
  FakeHost binding(deployment()), host(alone);
  for (FakeHost* one : {&binding, &host}) one->ready(2), one->ready(1), one->calm(20, 0.01);
  assert(binding.sent_to("a1") == 0 && host.sent_to("a1") > 0);
  for (host.request(); host.sent.back().endpoint != "a1"; host.request())
    host.end(host.sent.back(), Outcome::Delivered);
  host.end(host.sent.back(), Outcome::ConnectFailed);
  host.end(host.sent.back(), Outcome::Delivered);  // sent again, at the other
  host.run(20);
  double since = host.now;
  host.calm(20, 0.01);
  assert(host.sent_to("a1", since) == 0);
  host.ready(2), host.list({{"a1", "here", 1, ListedState::Draining, 1, 0}}, ListScope::Changes);
  since = host.now, host.calm(20, 0.01);
  assert(host.sent_to("a1", since) == 0);
}

void with_all_endpoints_leaving_a_request_is_rejected_at_once() {
  FakeHost host(deployment());
  host.ready(2);
  host.list({{"a0", "here", 1, ListedState::Draining, 1, 0}, {"a1", "here", 1, ListedState::Draining, 1, 0}});
  RequestId late = host.request();
  assert(host.sent.empty() && host.rejected == std::vector<RequestId>{late});
}

void nothing_goes_to_an_endpoint_that_drains_or_is_missing() {
  FakeHost host(deployment());
  host.ready(3);
  host.list({{"a0", "here", 1, ListedState::Draining, 1, 0}}, ListScope::Changes);
  double reporting_load = host.now;
  host.calm(30, 0.01);
  assert(host.sent_to("a0", reporting_load) == 0 && host.sent_to("a1", reporting_load) > 0);
  host.list({{"a1", "here", 1, ListedState::Ready, 1, 0}});
  reporting_load = host.now;
  host.calm(30, 0.01);
  assert(host.sent_to("a2", reporting_load) == 0 && host.sent_to("a1", reporting_load) == 30);
}

void a_failed_list_call_is_asked_again_spread_and_ever_later_and_the_old_list_serves() {
  std::set<double> firsts;
  for (int me = 0; me < 4; ++me) {
    Deployment made = deployment();
    made.polls_endpoint_list = true;
    made.instance_index = me;
    made.instance_count = 4;
    FakeHost host(made, 40 + unsigned(me));
    host.ready(2);
    host.list({{"a0", "here", 1, ListedState::Ready, 1, 0}, {"a1", "here", 1, ListedState::Ready, 1, 0}},
              ListScope::Cached);
    std::vector<double> gaps;
    host.run(5);
    assert(host.asked.size() == 1);
    firsts.insert(host.asked[0]);
    for (int i = 0; i < 5; ++i) {
      host.list({}, ListScope::Failed);
      double failed = host.now;
      std::size_t before = host.asked.size();
      while (host.asked.size() == before) host.run(0.1);
      gaps.push_back(host.asked.back() - failed);
    }
    assert(gaps.back() > 3 * gaps.front() && gaps.back() <= made.list_poll_interval_s * 1.6);
    RequestId request = host.request();
    assert(host.attempts(request) == 1);
  }
  assert(firsts.size() == 4);
}

// Rule 4.
void all_sidecars_together_give_a_fresh_endpoint_less_than_a_warm_one_gets() {
  constexpr int kSidecars = 6;
  int in_first_second = 0, fresh = 0, warm = 0;
  for (int me = 0; me < kSidecars; ++me) {
    Deployment made = deployment();
    made.instance_index = me;
    made.instance_count = kSidecars;
    FakeHost host(made, unsigned(me));
    host.ready(4);
    host.calm(200, 0.02);
    host.list({{"a0", "here", 1, ListedState::Ready, 1, host.now}}, ListScope::Changes);
    double reporting_load = host.now;
    host.calm(50, 0.02);
    in_first_second += host.sent_to("a0", reporting_load);
    host.calm(50, 0.02);
    fresh += host.sent_to("a0", reporting_load);
    warm += host.sent_to("a1", reporting_load);
  }
  assert(fresh > 0 && fresh < warm * 0.45);  // cold share 0.2, grown to 0.36 after 2 of 10 s
  assert(in_first_second < warm / 2 * 0.45);
}

// ---- rule 4 for the sum of all sidecars, however many share an endpoint in slow start and whatever befalls
// them
enum class Befalls { Nothing, StaleNumbers, HandOvers, Restarts, HeavyWork };

struct ColdPlay {
  int sidecars = 1, endpoints = 7;
  double each = 8;   // requests a second of a warm endpoint
  double pause = 5;  // seconds between the start and the burst of all at once
  bool calm = true;  // in which nobody asks
  Befalls befalls = Befalls::Nothing;
  double share = 0.2, warm_after = 10;
};

class ColdFleet {
 public:
  static constexpr double kWindow = 1, kMultiple = 2, kStep = 0.02;  // the rule's tightest figures
  static constexpr double kWarmUp = 8, kBurst = 1.5;
  static constexpr double kAnswersIn = 0.1;

  ColdFleet(const ColdPlay& play, unsigned seed) : play_(play), seed_(seed), turn_(seed) {
    for (int me = 0; me < play.sidecars; ++me) processes_.push_back(process(me, 100));
  }

  // Steady traffic, the start of one endpoint, a calm, and then a burst that the warm answer nobody of.
  void play() {
    start();
    pass(play_.pause, play_.calm ? 0 : 0.9, true);
    if (play_.befalls == Befalls::HandOvers) hand_over();
    pass(kBurst, 0.9 * 8, false);
  }
  // The same with neither calm nor burst: how many attempts it gets while it is in slow start, of those it
  // should get.
  double share_served() {
    start();
    pass(play_.warm_after / 2, 0.9, true);
    double wanted = 0.9 * play_.each * (play_.share + (1 - play_.share) / 4) * play_.warm_after / 2;
    return double(to_cold().size()) / wanted;
  }
  // The most that any window holds beyond what is allowed there; below 0: all is well.
  double over() const {
    std::vector<std::pair<double, double>> got = to_cold();
    double worst = -1e9, sum = 0;
    for (std::size_t first = 0, last = 0; first < got.size(); sum -= got[first++].second) {
      while (last < got.size() && got[last].first < got[first].first + kWindow) sum += got[last++].second;
      double share = play_.share + (1 - play_.share) * (got[first].first - notified_) / play_.warm_after;
      double allowed = kMultiple * share * play_.each * kWindow, root = std::sqrt(allowed);
      worst = std::max(worst, sum - allowed - (allowed < 30 ? 3 * root + 3 : 2 * root + 2));
    }
    return worst;
  }

 private:
  struct Process {
    std::unique_ptr<FakeHost> host;
    std::size_t answered = 0;
    int me = 0;
  };

  // Told for half as many as there are, two of them have each number.
  Process process(int me, double at) {
    Deployment made = deployment();
    made.slow_start = {play_.share, play_.warm_after, kMultiple, kWindow};
    made.instance_count =
        play_.befalls == Befalls::StaleNumbers ? std::max(1, play_.sidecars / 2) : play_.sidecars;
    made.instance_index = me % made.instance_count;
    Process one{std::make_unique<FakeHost>(made, seed_ * 1000 + unsigned(me), at), 0, me};
    std::vector<ListEntry> list;
    for (int i = 0; i < play_.endpoints; ++i)
      list.push_back({"a" + std::to_string(i), "here", 1, ListedState::Ready, 1, i == 0 ? notified_ : 0});
    one.host->list(list);
    return one;
  }
  void start() {
    pass(kWarmUp, 0.9, true);
    notified_ = now();
    for (Process& each : processes_)
      each.host->list({{"a0", "here", 1, ListedState::Ready, 1, notified_}}, ListScope::Changes);
  }
  double now() const { return processes_[0].host->now; }
  unsigned draw() { return turn_ = turn_ * 1664525 + 1013904223; }
  // One in ten is six times as heavy as the others, which are two thirds of the mean.
  double work() { return play_.befalls != Befalls::HeavyWork ? 0 : draw() / 7 % 10 == 0 ? 4 : 2.0 / 3; }

  void pass(double seconds, double load, bool answered) {
    for (double until = now() + seconds - kStep / 2; now() < until;) {
      for (due_ += load * play_.each * play_.endpoints * kStep; due_ > 0; due_ -= 1)
        processes_[draw() % processes_.size()].host->request("read", 1, "", "", work() * kMeanWork);
      if (play_.befalls == Befalls::Restarts && !answered) restart();
      for (Process& each : processes_) advance(each, answered);
    }
  }
  void advance(Process& each, bool answered) {
    FakeHost& host = *each.host;
    host.run(kStep);
    while (answered && each.answered < host.sent.size() &&
           host.sent[each.answered].at < host.now - kAnswersIn)
      host.end(Sent(host.sent[each.answered++]), Outcome::Delivered);
  }
  // All in turn within a second, and again: who starts knows nothing.
  void restart() {
    double due = kStep * double(processes_.size());
    for (restarts_ += due; restarts_ >= 1; restarts_ -= 1) {
      Process& old = processes_[restarted_++ % processes_.size()];
      Process fresh = process(old.me, old.host->now);
      ended_.push_back(std::move(old.host));
      old = std::move(fresh);
    }
  }
  // Of each sidecar two processes serve: the new one has learned what the old one knew.
  void hand_over() {
    for (std::size_t n = 0, all = processes_.size(); n < all; ++n) {
      Process fresh = process(processes_[n].me, now());
      fresh.host->inherit(*processes_[n].host, 1);
      processes_.push_back(std::move(fresh));
    }
  }
  std::vector<std::pair<double, double>> to_cold() const {
    std::vector<std::pair<double, double>> got;  // when, and how heavy against the mean
    auto add = [&](const FakeHost& host) {
      for (const Sent& one : host.sent)
        if (one.endpoint == "a0" && one.at >= notified_ && one.at < notified_ + play_.warm_after)
          got.emplace_back(one.at, host.work_of(one) / kMeanWork);
    };
    for (const Process& each : processes_) add(*each.host);
    for (const auto& each : ended_) add(*each);
    for (auto& [at, weight] : got) weight = weight > 0 ? weight : 1;
    std::sort(got.begin(), got.end());
    return got;
  }

  static constexpr double kMeanWork = 0.05;  // seconds of a core
  ColdPlay play_;
  unsigned seed_ = 0, turn_ = 0;
  double notified_ = 0, due_ = 0, restarts_ = 0;
  std::size_t restarted_ = 0;
  std::vector<Process> processes_;
  std::vector<std::unique_ptr<FakeHost>> ended_;
};

// However many share it, and whatever they saved up in a calm: then all ask at once, and the warm endpoints
// answer nobody any more. In any window the fresh one gets no more work than the rule allows.
void the_sum_of_all_sidecars_never_pushes_a_fresh_endpoint_over() {
  struct Settings {
    int endpoints;
    double each, share, warm_after;
  };
  bool held = true;
  auto play = [&held](ColdPlay each, unsigned seed) {
    ColdFleet fleet(each, seed);
    fleet.play();
    if (fleet.over() <= 0) return;
    held = false;
    std::printf("%d sidecars, %d endpoints, befallen by %d, %.0f s %s: %.1f over\n", each.sidecars,
                each.endpoints, int(each.befalls), each.pause, each.calm ? "of calm" : "at work",
                fleet.over());
  };
  constexpr std::array kAll = {Befalls::Nothing, Befalls::StaleNumbers, Befalls::HandOvers, Befalls::Restarts,
                               Befalls::HeavyWork};
  constexpr std::array kSettings = {Settings{7, 50, 0.2, 10}, Settings{3, 60, 0.12, 23},
                                    Settings{40, 8, 0.2, 10}};
  for (Befalls befalls : kAll)
    for (const Settings& at : kSettings)
      for (int sidecars : {1, 5, 30, 100, 300, 900})
        for (bool calm : {true, false}) {
          double pause = calm ? 4 : 8;
          play({sidecars, at.endpoints, at.each, pause, calm, befalls, at.share, at.warm_after}, 8);
        }
  assert(held);
}

// What a calm can't save up must not be wanting in steady traffic.
void an_endpoint_in_slow_start_gets_its_share_however_thin_the_traffic() {
  struct Least {
    int sidecars;
    double share;
  };
  // With 56 requests a second over 300 most sidecars see none between two attempts that are theirs.
  for (Least least : {Least{1, 0.9}, Least{5, 0.9}, Least{30, 0.8}, Least{300, 0.08}}) {
    double served = 0;
    for (unsigned seed = 0; seed < 4; ++seed)
      served += ColdFleet({.sidecars = least.sidecars, .endpoints = 7, .each = 8}, seed).share_served() / 4;
    if (served < least.share) std::printf("%d sidecars: %.2f of its share\n", least.sidecars, served);
    assert(served >= least.share);
  }
}

// A repeat that was begun within the time that its group remembers the key, on a connection that came up
// after it, ran a second time.
void a_keyed_request_is_not_sent_again_where_its_connection_may_outlast_the_window() {
  for (bool in_time : {true, false}) {
    Deployment made = deployment();
    made.connect_timeout_s = 0.3;  // of a window of a second
    FakeHost host(made);
    host.ready(4);
    host.request("tagged");
    host.run(in_time ? 0.6 : 0.75);
    host.end(host.sent[0], Outcome::Broken);
    assert(host.sent.size() == (in_time ? 2 : 1) && host.failed.size() == (in_time ? 0 : 1));
  }
}

void a_sidecar_that_has_just_started_holds_to_the_slow_start_budget() {
  Deployment made = deployment();
  made.instance_count = 2;
  FakeHost host(made);
  host.list({{"warm", "here", 1, ListedState::Ready, 1, 0},
             {"cold", "here", 1, ListedState::Ready, 1, host.now - 0.5}});
  host.calm(50, 0.02);
  assert(host.sent_to("cold") < 0.45 * host.sent_to("warm"));
}

// The mechanism.
void first_attempts_go_to_the_lowest_depth_of_our_own_whatever_old_reports_say() {
  FakeHost host(reporting_load());
  host.ready(3);
  for (int i = 0; i < 3; ++i) host.request();
  std::set<std::string> met;
  for (const Sent& attempt : host.sent) met.insert(attempt.endpoint);
  assert(met.size() == 3);
  host.run(0.05);
  for (Sent attempt : std::vector<Sent>(host.sent))
    host.end(attempt, Outcome::Delivered, {attempt.endpoint == "a1" ? 0.0 : 9.0, 50, -1});
  double then = host.now;
  for (int i = 0; i < 3; ++i) host.request();
  assert(host.sent_to("a1", then) == 1);
}

// With nothing out anywhere all are as deep: the largest would get all of many sidecars' requests.
void idle_endpoints_are_drawn_by_size() {
  FakeHost host(reporting_load());
  host.list({{"small", "here", 1, ListedState::Ready, 1, 0}, {"large", "here", 1, ListedState::Ready, 3, 0}});
  host.calm(400, 0.02);
  assert(host.sent_to("small") > 60 && host.sent_to("large") > 240);
}

void heavy_requests_go_the_more_to_the_large() {
  FakeHost host(reporting_load());
  host.list({{"small", "here", 1, ListedState::Ready, 1, 0}, {"large", "here", 1, ListedState::Ready, 3, 0}});
  for (int i = 0; i < 100; ++i)
    host.request("read", 4, "", "", 1), host.run(0.02), host.end(host.sent.back(), Outcome::Delivered);
  assert(host.sent_to("small") < 8);
}

void a_key_goes_to_the_endpoint_that_met_it_at_every_sidecar_and_not_when_it_is_busy() {
  Deployment made = reporting_load();
  made.has_key_affinity = true;
  std::set<std::string> met, keys_met;
  for (std::uint64_t seed : {3, 4}) {
    FakeHost host(made, seed);
    host.ready(6);
    for (int i = 0; i < 5; ++i) {
      host.request("read", 4, "", "track-7"), host.run(0.25), met.insert(host.sent.back().endpoint);
      host.end(host.sent.back(), Outcome::Delivered);
    }
    for (const char* key : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
      host.request("read", 4, "", key), host.run(0.25), keys_met.insert(host.sent.back().endpoint);
      host.end(host.sent.back(), Outcome::Delivered);
    }
    host.run(0.1);
    for (int i = 0; i < 20; ++i) host.request("read", 4, "", "track-7");
    assert(host.sent_to(*met.begin(), host.now) < 18);
  }
  assert(met.size() == 1 && keys_met.size() > 2);
}

// Some of a fleet failed one request class and served the rest: as a whole none showed it.
void an_endpoint_that_fails_one_request_class_is_ejected_for_it_alone() {
  FakeHost host(reporting_load());
  host.ready(4);
  auto round = [&](const char* request_class) {
    RequestId request = host.request(request_class);
    host.run(0.02);
    while (!host.ended(request)) {
      Sent attempt = host.sent.back();
      bool fails = std::string(request_class) == "read" && attempt.endpoint != "a0";
      host.end(attempt, fails ? Outcome::Failed : Outcome::Delivered);
    }
  };
  for (int i = 0; i < 10; ++i) round("read"), round("mutating");
  std::size_t before = host.sent.size();
  double then = host.now;
  for (int i = 0; i < 8; ++i) round("read");
  assert(host.sent_to("a0", then) >= 7 && host.sent.size() - before <= 12);
  then = host.now;
  for (int i = 0; i < 30; ++i) round("mutating");
  assert(host.sent_to("a1", then) > 2 && host.sent_to("a2", then) > 2 && host.sent_to("a3", then) > 2);
}

// Full cores: low credit and over share are turned away, at once and with advice, and high credit goes on.
void in_a_crowd_that_is_told_low_credit_is_rejected_at_once_and_high_credit_goes() {
  Deployment made = reporting_load();
  made.priority_by_work = true;
  FakeHost host(made);
  host.ready(2);
  std::map<std::string, std::size_t> rejected;
  for (int i = 0; i < 300; ++i) {
    const char* request_class = i % 2 ? "read" : "mutating";
    std::size_t before = host.sent.size();
    double then = host.now;
    RequestId request = host.request(request_class);
    if (host.ended(request)) ++rejected[request_class];
    assert(host.now == then);
    host.run(0.05);
    // Full until some are turned away; from then on at the mark.
    Load load{-1, 40, host.rejected.size() < 20 ? 1 : 0.9};
    if (host.sent.size() > before) host.end(Sent(host.sent.back()), Outcome::Delivered, load);
  }
  assert(rejected["read"] > 40 && rejected["mutating"] < 10 && host.failed.empty());
}

// The sidecar itself stood still: what it finds late then says nothing of who it waited for.
void a_stall_of_its_own_ejects_no_endpoint_and_sends_no_hedge() {
  FakeHost host(reporting_load());
  host.ready(4);
  host.calm(60, 0.05);
  for (int i = 0; i < 4; ++i) host.request();
  std::size_t sent = host.sent.size();
  host.stall(1.2);
  host.run(0.04);
  assert(host.sent.size() == sent);
  for (std::size_t i = sent - 4; i < sent; ++i) host.end(Sent(host.sent[i]), Outcome::Delivered);
  double then = host.now;
  for (int i = 0; i < 8; ++i) host.request();
  for (const char* each : {"a0", "a1", "a2", "a3"}) assert(host.sent_to(each, then) == 2);
}

// Sets one endpoint up as suspect: it has answered slowly of late, while the rest answer in 0.05 s.
void make_suspect(FakeHost& host, const std::string& suspect, int answers = 40) {
  for (int i = 0; i < answers; ++i) {
    host.request();
    std::size_t first = host.sent.size() - 1;
    host.run(host.sent[first].endpoint == suspect ? 0.3 : 0.05);
    host.end(Sent(host.sent[first]), Outcome::Delivered);
    for (std::size_t copy = first + 1; copy < host.sent.size(); ++copy)
      host.end(Sent(host.sent[copy]), Outcome::Cancelled);
  }
}

// Keeps requests coming until one is out at the endpoint wanted; the others are answered at once.
Sent out_at(FakeHost& host, const std::string& wanted, const char* request_class = "read",
            const Load& reported = {}) {
  for (int i = 0; i < 400; ++i) {
    host.request(request_class);
    Sent attempt = host.sent.back();
    if (attempt.endpoint == wanted) return attempt;
    host.run(0.05);
    host.end(attempt, Outcome::Delivered, reported);
  }
  assert(!"no request went there");
  return {};
}

void a_late_request_at_a_suspect_endpoint_is_hedged_and_the_loser_cancelled() {
  FakeHost host(deployment());
  host.ready(2);
  make_suspect(host, "a0");
  Sent first = out_at(host, "a0");
  host.run(1);
  assert(host.attempts(first.request) == 2 && host.sent.back().endpoint == "a1");
  host.end(host.sent.back(), Outcome::Delivered);
  assert(host.cancelled.back() == std::make_pair(first.request, 0));
  host.run(1);
  assert(host.attempts(first.request) == 2);
}

void unsafe_and_keyed_requests_are_never_hedged() {
  for (const char* request_class : {"mutating", "tagged"}) {
    FakeHost host(deployment());
    host.ready(2);
    host.calm(60, 0.05, request_class);
    Sent first = out_at(host, "a0", request_class);
    host.run(1.5);
    assert(host.attempts(first.request) == 1);
  }
}

// Three tiers of waste: the 95th percentile is made of heavy requests, which are late anywhere.
void a_heavy_request_at_an_endpoint_that_answers_others_is_not_hedged() {
  FakeHost host(deployment());
  host.ready(2);
  host.calm(60, 0.05);
  Sent heavy = out_at(host, "a0");
  for (int i = 0; i < 20; ++i) {
    std::size_t first = host.sent.size();
    for (int light = 0; light < 3; ++light) host.request();
    host.run(0.04);
    for (std::size_t at = first; at < first + 3; ++at) host.end(Sent(host.sent[at]), Outcome::Delivered);
  }
  assert(host.sent_to("a0", heavy.at + 0.01) > 0 && host.attempts(heavy.request) == 1);
}

void no_hedge_goes_to_an_endpoint_as_deep_as_the_bound() {
  for (Load reported : {Load{2}, Load{60}}) {
    FakeHost host(deployment());
    host.ready(2);
    make_suspect(host, "a0");
    Sent other = out_at(host, "a1");
    host.run(0.05);
    host.end(other, Outcome::Delivered, reported);
    Sent first = out_at(host, "a0", "read", reported);
    host.run(0.9);
    assert(host.attempts(first.request) == (reported.depth < 3 ? 2 : 1));
  }
}

void no_hedge_goes_to_an_endpoint_with_errors() {
  for (Outcome last : {Outcome::Delivered, Outcome::Failed}) {
    FakeHost host(deployment());
    host.ready(2);
    host.calm(60, 0.05);
    host.end(out_at(host, "a1", "mutating"), last);
    Sent first = out_at(host, "a0");
    host.run(0.5);
    assert(host.attempts(first.request) == (last == Outcome::Failed ? 1 : 2));
  }
}

// Health.
void an_endpoint_that_answers_nothing_is_ejected_and_returns_by_a_doubling_recovery_ramp() {
  FakeHost host(reporting_load());
  host.ready(4);
  host.calm(60, 0.05);
  Sent hung = out_at(host, "a0", "mutating");
  host.calm(20, 0.05);
  double ejected = host.now;
  host.calm(4, 0.05);
  assert(host.sent_to("a0", ejected) == 0);
  host.end(hung, Outcome::Delivered);  // it answers after all
  for (int allowance : {1, 2, 4}) {
    std::size_t first = host.sent.size();
    double back = host.now;
    for (int i = 0; i < 20; ++i) host.request();
    assert(host.sent_to("a0", back) == allowance);
    host.run(0.05);
    bool doubled = false;  // one good answer doubles it once
    for (std::size_t at = first; at < first + 20; ++at) {
      bool recovering = host.sent[at].endpoint == "a0";
      if (!recovering || !std::exchange(doubled, true)) host.end(Sent(host.sent[at]), Outcome::Delivered);
    }
    for (std::size_t at = first; at < first + 20; ++at)
      if (host.sent[at].endpoint == "a0") host.end(Sent(host.sent[at]), Outcome::Cancelled);
  }
}

// One that fails and recovers by turns is tested when its last absences say that it may be back.
void an_endpoint_that_was_away_for_long_before_is_tested_later() {
  FakeHost host(deployment());
  host.ready(4);
  int tests[4] = {}, other = 0;
  auto serve = [&](double seconds, bool away, int* asked) {
    for (double until = host.now + seconds; host.now < until;) {
      RequestId request = host.request();
      for (int i = 0; i < 4 && !host.ended(request); ++i) {
        Sent attempt = host.sent.back();
        bool there = attempt.endpoint == "a0";
        *asked += there;
        host.run(0.02);
        host.end(attempt, there && away ? Outcome::ConnectFailed : Outcome::Delivered);
      }
      host.run(0.05);
    }
  };
  serve(5, false, &other);
  for (int& absence : tests) serve(3, true, &absence), serve(5, true, &other), serve(12, false, &other);
  assert(tests[0] >= 2 && tests[3] == 1);
}

// Days of dropped connections: each reset at a kept one ejected a healthy endpoint for a second and more.
void a_kept_connection_found_dropped_ejects_no_endpoint() {
  FakeHost host(deployment());
  host.ready(4);
  host.calm(40, 0.05);
  for (int i = 0; i < 40; ++i) {
    RequestId request = host.request();
    Sent first = host.sent.back();
    host.end(first, Outcome::Stale);
    assert(host.attempts(request) == 2);
    host.run(0.05);
    host.end(host.sent.back(), Outcome::Delivered);
  }
  std::size_t before = host.sent.size();
  host.calm(40, 0.05);
  std::set<std::string> used;
  for (std::size_t i = before; i < host.sent.size(); ++i) used.insert(host.sent[i].endpoint);
  assert(used.size() == 4);
}

void never_more_than_half_are_ejected() {
  FakeHost host(deployment());
  host.ready(4);
  for (int i = 0; i < 40; ++i) {
    host.request("mutating", 1);
    if (!host.sent.empty() && host.sent.back().at == host.now)
      host.end(Sent(host.sent.back()), Outcome::Broken);
    host.run(0.02);
  }
  std::set<std::string> met;
  for (const Sent& attempt : host.sent) met.insert(attempt.at > host.now - 0.5 ? attempt.endpoint : "");
  assert(met.size() >= 3);  // two of the four, and the empty name for the older ones
}

void errors_that_all_endpoints_show_come_from_behind_and_eject_none() {
  FakeHost host(deployment());
  host.ready(4);
  for (int i = 0; i < 80; ++i) {
    host.request("mutating");
    host.run(0.02);
    host.end(Sent(host.sent.back()), i % 2 ? Outcome::Failed : Outcome::Delivered);
  }
  double then = host.now;
  for (int i = 0; i < 4; ++i) host.request();
  for (const char* each : {"a0", "a1", "a2", "a3"}) assert(host.sent_to(each, then) == 1);
}

// Room.
void without_room_requests_are_rejected_promptly_and_none_waits_for_its_client_timeout() {
  FakeHost host(deployment());
  host.ready(2);
  host.calm(100, 0.05);
  std::size_t before = host.sent.size();
  for (int i = 0; i < 100; ++i) host.request();
  assert(host.sent.size() - before < 30);
  assert(host.rejected.size() > 30);  // those that would only wait to be turned away
  host.run(1);
  assert(host.rejected.size() > 70);
}

// Days in service: each restarted sidecar rejected a tenth of its first seconds, with its endpoints far from
// deep.
void a_sidecar_that_has_just_started_lets_out_twice_its_first_capacity() {
  Deployment two = deployment();
  two.instance_count = 2;
  FakeHost host(two);
  host.ready(4);
  for (int i = 0; i < 16; ++i) host.request();
  assert(host.sent.size() == 16);
  host.request();
  assert(host.sent.size() == 16);
}

void an_over_share_tenant_waits_behind_and_high_credit_goes_first() {
  Deployment made = deployment();
  made.tenants = {{"small", 0}, {"large", 1000}};
  made.priority_by_work = true;
  FakeHost host(made);
  host.ready(1);
  host.calm(100, 0.05);
  for (int i = 0; i < 30; ++i) host.request("read", 4, "large");
  std::size_t out = host.sent.size();
  RequestId over = 0;
  for (int i = 0; i < 12; ++i) over = host.request("mutating", 4, "small");
  RequestId dear = host.request("mutating", 4, "large");
  host.run(0.05);
  for (std::size_t at = out - 2; at < out; ++at) host.end(Sent(host.sent[at]), Outcome::Delivered);
  assert(host.attempts(dear) == 1 && host.attempts(over) == 0);
}

// Found by hunt ha15b40: requests that broke whatever took them were sent on to four endpoints in each tier.
void a_request_lost_at_two_endpoints_that_may_have_run_it_goes_to_no_third() {
  FakeHost host(deployment());
  host.ready(8);
  for (Outcome lost : {Outcome::Broken, Outcome::Failed}) {
    RequestId request = host.request();
    for (int i = 0; i < 2; ++i) host.end(Sent(host.sent.back()), lost);
    assert(host.attempts(request) == 2 && host.rejected.back() == request);
  }
  RequestId unheard = host.request();  // what never ran broke nothing
  for (int i = 0; i < 3; ++i) host.end(Sent(host.sent.back()), Outcome::Refused);
  assert(host.attempts(unheard) == 4);
}

// What waits at every endpoint is neither their fault nor a crowd: it is held to a part of the room, and the
// others keep theirs.
void who_is_slow_everywhere_leaves_the_others_their_room(const char* request_class, const char* tenant) {
  Deployment made = deployment();
  made.tenants = {{"dull", 1000}, {"keen", 1000}};
  FakeHost host(made);
  host.ready(2);
  host.calm(100, 0.02);
  std::set<RequestId> slow;
  std::size_t at = host.sent.size();
  int shed = 0, let_out = 0;
  for (int i = 0; i < 400; ++i) {
    slow.insert(host.request(request_class, 3, tenant));
    let_out += i >= 200 && host.attempts(*slow.rbegin()) > 0;
    RequestId read = host.request("read", 4, "keen");
    host.run(0.02);
    shed += i >= 200 && host.attempts(read) == 0;
    for (std::size_t k = at; k < host.sent.size(); ++k) {
      Sent attempt = host.sent[k];
      bool due = host.now - attempt.at >= (slow.contains(attempt.request) ? 1.5 : 0.01);
      if (due && !host.ended(attempt.request)) host.end(attempt, Outcome::Delivered);
    }
  }
  assert(shed < 10 && let_out < 100);
}

// Incident ib6ff54: half the fleet fell silent and what was lost there filled the room of the living.
void what_is_lost_at_an_endpoint_ejected_does_not_fill_the_room() {
  FakeHost host(deployment());
  host.ready(4);
  host.calm(100, 0.05);
  for (int i = 0; i < 8; ++i) host.request("mutating");
  std::vector<Sent> out(host.sent.end() - 8, host.sent.end());
  host.run(0.05);
  for (const Sent& attempt : out) {
    if (attempt.endpoint > "a1") host.end(attempt, Outcome::Delivered);  // a0 and a1 answer nothing any more
  }
  host.run(1.5);
  double then = host.now;
  for (int i = 0; i < 4; ++i) host.request();
  assert(host.sent_to("a2", then) + host.sent_to("a3", then) >= 3);
}

// Incident i6ac521: the first tier was enlarged, and the tier behind it was overrun by the new room.
// Silent connections: a few requests that were never answered filled the room of the rest for seconds.
void a_request_out_for_very_long_fills_no_room_unless_others_are_late_too() {
  auto let_out = [](bool hang, int late) {
    FakeHost host(deployment());
    host.ready(2);
    host.calm(150, 0.05);
    host.calm(late, 0.09);
    for (int i = 0; i < 6 && hang; ++i) host.request("mutating", 4);
    host.calm(22, 0.05);  // 1.1 s, and an unsafe request's threshold is 0.5 s here
    std::size_t before = host.sent.size();
    for (int i = 0; i < 300; ++i) host.request();
    return host.sent.size() - before;
  };
  assert(let_out(false, 0) >= 6 && let_out(true, 0) >= let_out(false, 0));
  // Where some tier behind has gone silent, who has gone round it comes late as well: that is no jam yet.
  assert(let_out(true, 6) >= let_out(false, 6));
}

// Split days: three in ten requests whose patience was over were rejected in the very tick that gave them
// room.
void a_held_request_goes_into_room_that_is_left_as_its_patience_ends() {
  FakeHost host(deployment());
  host.ready(2);
  host.calm(150, 0.05);
  for (int i = 0; i < 14; ++i) host.request("mutating", 4);
  host.run(0.301);
  RequestId held = host.request();
  assert(host.attempts(held) == 0);
  host.run(0.9);  // patience 0.7, and 1 s until an endpoint counts as silent
  assert(host.attempts(held) == 1);
}

// The first tier's traffic may rise while answers stay calm: that is no crowd.
void risen_traffic_at_calm_latencies_is_let_in_and_a_crowd_is_not() {
  auto let_out = [](double took) {
    FakeHost host(deployment());
    host.ready(1);
    host.calm(100, 0.05);
    for (int i = 0; i < 10; ++i) {
      std::size_t before = host.sent.size();
      for (int each = 0; each < 2; ++each) host.request();
      host.run(took);
      for (std::size_t at = before; at < host.sent.size(); ++at)
        host.end(Sent(host.sent[at]), Outcome::Delivered);
    }
    std::size_t before = host.sent.size();
    for (int i = 0; i < 60; ++i) host.request();
    return host.sent.size() - before;
  };
  assert(let_out(0.05) >= 2 && let_out(0.3) <= let_out(0.05));
}

// Incident i0a25af: small endpoints got as much as large ones and choked.
void a_small_endpoint_gets_less_than_a_large_one() {
  FakeHost host(deployment());
  host.list({{"large", "here", 1, ListedState::Ready, 3, 0}, {"small", "here", 1, ListedState::Ready, 1, 0}});
  for (int i = 0; i < 8; ++i) host.request();
  assert(host.sent_to("small") >= 1 && host.sent_to("large") > 2 * host.sent_to("small"));
}

// The grown fleets: everyone met everyone, and what each happened to use made some endpoints everyone's. Also
// incidents i51c0a0 and i35a2d0, where connections opened everywhere filled the tables.
void many_sidecars_have_even_subsets_that_last_while_the_list_changes() {
  constexpr int kSidecars = 48, kEndpoints = 32;
  std::map<std::string, int> users;
  int kept = 0, met_before = 0;
  for (int me = 0; me < kSidecars; ++me) {
    Deployment made = deployment();
    made.instance_index = me;
    made.instance_count = kSidecars;
    FakeHost host(made, unsigned(me));
    auto met = [&] {
      std::set<std::string> names;
      std::size_t before = host.sent.size();
      host.calm(60, 0.02, "mutating");
      for (std::size_t at = before; at < host.sent.size(); ++at) names.insert(host.sent[at].endpoint);
      return names;
    };
    host.ready(kEndpoints);
    std::set<std::string> before = met();
    assert(before.size() >= 3 && before.size() <= 6);
    for (const std::string& name : before) ++users[name];
    host.list({{"a7", "here", 1, ListedState::Removed, 1, 0}}, ListScope::Changes);
    for (const std::string& name : met()) kept += int(before.count(name));
    met_before += int(before.size());
  }
  assert(users.size() == kEndpoints && kept > met_before * 0.7);
  for (const auto& [name, count] : users)
    assert(count >= 3 && count <= 9);  // 6 each, as 8 parts are cut of whole endpoints
}

void a_subset_reaches_further_for_what_is_ejected() {
  Deployment made = deployment();
  made.instance_count = 48;
  FakeHost host(made);
  host.ready(32);
  host.calm(100, 0.02);
  std::set<std::string> part, later;
  for (const Sent& attempt : host.sent) part.insert(attempt.endpoint);
  for (int i = 0; i < 30; ++i) {  // one of the part refuses every connection
    host.request("mutating");
    Sent attempt = host.sent.back();
    host.run(0.02);
    host.end(attempt, attempt.endpoint == *part.begin() ? Outcome::ConnectFailed : Outcome::Delivered);
    later.insert(attempt.endpoint);
  }
  host.calm(60, 0.02);
  for (const Sent& attempt : host.sent) later.insert(attempt.endpoint);
  assert(later.size() > part.size());
}

void an_endpoint_slower_than_the_others_gets_little() {
  FakeHost host(deployment());
  host.ready(4);
  make_suspect(host, "a0", 60);
  double then = host.now;
  host.calm(40, 0.05);
  assert(host.sent_to("a0", then) < 5);
}

// Incident i88de38: crossings by chance cost more than they brought.
void priced_crossings_are_made_for_shorter_queues_only() {
  Deployment made = deployment();
  made.cross_zone_price = 0.02;
  made.zone = "here";
  FakeHost host(made);
  host.list({{"near", "here", 1, ListedState::Ready, 1, 0}, {"far", "there", 2, ListedState::Ready, 1, 0}});
  host.request(), host.request();
  assert(host.sent[0].endpoint == "near" && host.sent[1].endpoint == "far");
}

void a_fleet_that_is_in_slow_start_as_a_whole_is_still_sent_to() {
  FakeHost host(deployment());
  host.list({{"a0", "here", 1, ListedState::Ready, 1, host.now - 1},
             {"a1", "here", 1, ListedState::Ready, 1, host.now - 1}});
  for (int i = 0; i < 30; ++i) host.request(), host.run(0.1);
  assert(host.sent.size() >= 2 && host.sent.size() < 10);
}

}  // namespace

// One that stands in an earlier one's place sends nothing at first to whom that had ejected, and knows its
// percentiles: a late request has its hedge at once.
void what_was_learned_passes_to_the_successor() {
  FakeHost before(deployment()), successor(deployment()), stranger(deployment());
  before.ready(4);
  before.calm(40, 0.01);
  for (int i = 0; i < 8; ++i) before.request();
  for (std::size_t i = before.sent.size() - 8, end = before.sent.size(); i < end; ++i) {
    Sent attempt = before.sent[i];
    before.end(attempt, attempt.endpoint == "a0" ? Outcome::Broken : Outcome::Delivered);
  }
  assert(before.sent_to("a0", before.now) > 0);
  successor.now = stranger.now = before.now;
  successor.ready(4), stranger.ready(4);
  successor.inherit(before, 1);
  auto first_ones = [](FakeHost& host) {
    for (int i = 0; i < 8; ++i) host.request();
    int there = host.sent_to("a0");
    for (int i = 0; i < 8; ++i) host.end(host.sent[std::size_t(i)], Outcome::Delivered);
    return there;
  };
  assert(first_ones(successor) == 0 && first_ones(stranger) > 0);
  for (FakeHost* host : {&successor, &stranger}) host->request(), host->run(0.1);
  assert(successor.attempts(9) == 2 && stranger.attempts(9) == 1);
}

int main() {
  what_was_learned_passes_to_the_successor();
  a_lost_attempt_goes_on_only_where_rule_two_lets_it();
  a_keyed_request_that_may_have_run_stays_in_its_group_and_memory();
  a_keyed_request_goes_back_to_the_only_endpoint_of_its_group();
  an_endpoint_in_the_place_of_one_that_is_gone_is_another();
  endpoints_that_are_gone_leave_nothing_behind();
  a_long_list_costs_little_memory_but_for_the_endpoints_in_use();
  a_change_of_a_long_list_costs_what_it_changes();
  statistics_of_endpoints_out_of_the_subset_are_let_go_of();
  a_keyed_request_is_rejected_only_if_the_whole_fleet_drops_its_repeat();
  each_request_gets_one_answer_though_outcomes_cross_and_come_late();
  a_request_without_any_endpoint_is_rejected_before_its_client_leaves();
  an_endpoint_missing_from_the_list_is_sent_to_where_only_draining_binds();
  with_all_endpoints_leaving_a_request_is_rejected_at_once();
  nothing_goes_to_an_endpoint_that_drains_or_is_missing();
  a_failed_list_call_is_asked_again_spread_and_ever_later_and_the_old_list_serves();
  all_sidecars_together_give_a_fresh_endpoint_less_than_a_warm_one_gets();
  the_sum_of_all_sidecars_never_pushes_a_fresh_endpoint_over();
  an_endpoint_in_slow_start_gets_its_share_however_thin_the_traffic();
  a_keyed_request_is_not_sent_again_where_its_connection_may_outlast_the_window();
  a_sidecar_that_has_just_started_holds_to_the_slow_start_budget();
  first_attempts_go_to_the_lowest_depth_of_our_own_whatever_old_reports_say();
  idle_endpoints_are_drawn_by_size();
  heavy_requests_go_the_more_to_the_large();
  a_key_goes_to_the_endpoint_that_met_it_at_every_sidecar_and_not_when_it_is_busy();
  an_endpoint_that_fails_one_request_class_is_ejected_for_it_alone();
  in_a_crowd_that_is_told_low_credit_is_rejected_at_once_and_high_credit_goes();
  a_stall_of_its_own_ejects_no_endpoint_and_sends_no_hedge();
  a_late_request_at_a_suspect_endpoint_is_hedged_and_the_loser_cancelled();
  unsafe_and_keyed_requests_are_never_hedged();
  a_heavy_request_at_an_endpoint_that_answers_others_is_not_hedged();
  no_hedge_goes_to_an_endpoint_as_deep_as_the_bound();
  no_hedge_goes_to_an_endpoint_with_errors();
  an_endpoint_that_answers_nothing_is_ejected_and_returns_by_a_doubling_recovery_ramp();
  an_endpoint_that_was_away_for_long_before_is_tested_later();
  a_kept_connection_found_dropped_ejects_no_endpoint();
  never_more_than_half_are_ejected();
  errors_that_all_endpoints_show_come_from_behind_and_eject_none();
  without_room_requests_are_rejected_promptly_and_none_waits_for_its_client_timeout();
  a_sidecar_that_has_just_started_lets_out_twice_its_first_capacity();
  an_over_share_tenant_waits_behind_and_high_credit_goes_first();
  who_is_slow_everywhere_leaves_the_others_their_room("tagged", "keen");
  who_is_slow_everywhere_leaves_the_others_their_room("read", "dull");
  a_request_lost_at_two_endpoints_that_may_have_run_it_goes_to_no_third();
  what_is_lost_at_an_endpoint_ejected_does_not_fill_the_room();
  a_request_out_for_very_long_fills_no_room_unless_others_are_late_too();
  a_held_request_goes_into_room_that_is_left_as_its_patience_ends();
  risen_traffic_at_calm_latencies_is_let_in_and_a_crowd_is_not();
  a_small_endpoint_gets_less_than_a_large_one();
  many_sidecars_have_even_subsets_that_last_while_the_list_changes();
  a_subset_reaches_further_for_what_is_ejected();
  an_endpoint_slower_than_the_others_gets_little();
  priced_crossings_are_made_for_shorter_queues_only();
  a_fleet_that_is_in_slow_start_as_a_whole_is_still_sent_to();
  std::puts("all stories hold");
}
