// Tests of the watch on a discovery that is one for all: it answers in turn, and what it refuses costs it
// work too. Watches run in this process, discovery in a thread of its own.
#include "src/discovery/discovery_watch.h"

#include <atomic>
#include <chrono>
#include <ctime>
#include <list>

#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

// Answers calls one after the other. Who would wait for longer than `patience` is refused at once.
class SlowDiscovery {
 public:
  struct Costs {  // seconds of its work
    double answered, refused, patience = 2;
  };
  explicit SlowDiscovery(const Costs& costs)
      : listener(9, 512), costs_(costs), working_([this] { work(); }) {}
  ~SlowDiscovery() {
    over_ = true;
    working_.join();
  }
  void reset_all() { resets_ = true; }  // every watch that stands
  Listener listener;
  std::atomic<int> refused = 0;

 private:
  struct Call {
    double due;  // its list, or the next empty line
    Line line;
    bool notified = false;
  };
  void work() {
    double busy_until = 0;
    std::list<Call> calls;
    while (!over_) {
      if (listener.connection_waits(0.002)) {
        auto [line, request] = listener.take_request();
        busy_until = std::max(busy_until, now());
        if (busy_until - now() > costs_.patience) {
          busy_until += costs_.refused, ++refused;
          line.say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        } else {
          busy_until += costs_.answered;
          calls.push_back({busy_until, std::move(line)});
        }
      }
      for (Call& call : calls) {
        if (now() < call.due) continue;
        call.due = now() + 2;
        if (std::exchange(call.notified, true)) {
          call.line.say(chunk("\n"));
          continue;
        }
        call.line.say(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
            chunk(R"({"index":1,"snapshot":true,"endpoints":[)" + entry("a", "127.0.0.1:1") + "]}\n"));
      }
      if (resets_.exchange(false))
        calls.remove_if([](Call& call) { return call.notified && (call.line.reset(), true); });
    }
  }
  const Costs costs_;
  std::atomic<bool> over_ = false, resets_ = false;
  std::thread working_;
};

struct Member final : DiscoveryWatch::Owner {
  Member(Loop& loop, const std::string& discovery, std::uint64_t seed,
         DiscoveryMode mode = DiscoveryMode::OnRequest)
      : watch(loop, *this, starts, {.address = discovery, .mode = mode, .backoff_seed = seed}) {
    watch.start();
  }
  void on_endpoint_list(const EndpointList& list) override {
    heard.push_back(now());
    if (!list.entries.empty()) started = list.entries.front().online_since_s;
  }
  std::vector<double> heard;
  double started = 0;  // the first endpoint of the last list
  EndpointStarts starts;
  DiscoveryWatch watch;
};

// All watches are reset at once, and all ask anew. Asked again every 0.15 s by each of them, discovery had
// more to refuse than it can, answered nobody for ever, and no change of the list was heard any more.
void watches_that_are_reset_at_once_have_all_heard_within_six_seconds() {
  SlowDiscovery discovery({.answered = 0.2, .refused = 0.04});
  Log log(std::cerr, Level::Error);
  Loop loop(log, 256);
  std::list<Member> members;
  for (std::uint64_t i = 0; i < 16; ++i) members.emplace_back(loop, discovery.listener.address, i);
  double from = now(), reset_at = from + 6;
  loop.at(loop.now() + 6, [&] { discovery.reset_all(); });
  loop.at(loop.now() + 12.5, [&] { loop.quit(); });
  loop.run();
  for (const Member& member : members) {
    assert(member.heard.size() >= 2 && member.heard.front() < reset_at);
    assert(member.heard.back() > reset_at && member.heard.back() < reset_at + 6);
  }
  assert(discovery.refused > 0);  // else it was never too much for it
}

// Discovery refuses whoever asks: it is asked less and less often, and often enough that what it has once it
// can be reached is heard in time.
void calls_that_are_refused_come_less_often_and_go_on() {
  SlowDiscovery discovery({.answered = 0, .refused = 0, .patience = -1});
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  Member member(loop, discovery.listener.address, 5);
  int early = 0;
  loop.at(loop.now() + 3, [&] { early = discovery.refused; });
  loop.at(loop.now() + 9, [&] { loop.quit(); });
  loop.run();
  int late = discovery.refused - early;
  assert(early >= 3 && early <= 6);
  assert(late >= 4 && late <= 8);
}

const std::string kAnswers = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
std::string list_of(int index) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":true,"endpoints":[)" +
         entry("a", "127.0.0.1:1") + "]}\n";
}

// Where asking is priced: the watch falls silent, the next connection never comes up, and the call on the one
// after that says nothing. Each by itself was borne; in a row they took 6.8 s, and a change counts after 6.
void a_silent_watch_a_connection_that_never_comes_up_and_a_silent_call_in_a_row() {
  Listener discovery(9, 0);
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  Member member(loop, discovery.address, 3);
  double silent_since = 0;
  bool held_back = false;
  std::thread answers([&] {
    Line watch = discovery.take_request().first;
    watch.say(kAnswers + chunk(list_of(1)));
    silent_since = now();
    Line filling(discovery.address);  // what knocks now is not let in
    // As long as the watch stands nobody knocks, and who does then is heard of only by the end of the watch.
    held_back = watch.ended(4);
    sleep_for(0.2);
    discovery.take();  // `filling`: the next one is let in
    Line wordless = discovery.take_request().first;
    assert(wordless.ended(3));
    Line last = discovery.take_request().first;
    last.say(kAnswers + chunk(list_of(2)));
    sleep_for(0.2);
  });
  loop.at(loop.now() + 7.5, [&] { loop.quit(); });
  loop.run();
  answers.join();
  assert(held_back && member.heard.size() == 2 && member.heard.back() < silent_since + 6);
}

// A list that comes in pieces over a longer time than one usually takes was cut there, asked for again, and
// cut again: it was never heard.
void a_list_that_comes_slowly_is_heard() {
  Listener discovery(9);
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  Member member(loop, discovery.address, 3, DiscoveryMode::Pushed);
  std::atomic<bool> over = false;
  std::thread answers([&] {
    while (!over) {
      if (!discovery.connection_waits(0.1)) continue;
      Line watch = discovery.take();
      if (!watch.hear(HttpReader::Side::Request)) continue;  // the test was over by then
      watch.say(kAnswers);
      std::string list = list_of(1);
      for (std::size_t at = 0; at < list.size(); at += list.size() / 12 + 1, sleep_for(0.1))
        watch.say(chunk(list.substr(at, list.size() / 12 + 1)));
      watch.ended(0.3);
    }
  });
  double from = now();
  std::function<void()> look = [&] {
    if (!member.heard.empty() || now() > from + 15) return loop.quit();
    loop.at(loop.now() + 0.05, look);
  };
  look();
  loop.run();
  over = true;
  answers.join();
  assert(!member.heard.empty());
}

// A silent agent tells what it has the moment that it can, and that counts at once: nobody was there then.
void a_call_that_says_nothing_is_followed_by_another_at_once() {
  Listener discovery(9);
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  Member member(loop, discovery.address, 3, DiscoveryMode::Pushed);
  bool there = false;
  std::thread answers([&] {
    Line silent = discovery.take_request().first;
    there = silent.ended(2) && discovery.connection_waits(0.1);
    discovery.take_request().first.say(kAnswers + chunk(list_of(1)));
    sleep_for(0.2);
  });
  loop.at(loop.now() + 2.5, [&] { loop.quit(); });
  loop.run();
  answers.join();
  assert(there && !member.heard.empty());
}

// Asked for the whole list, a discovery that only goes on with empty lines has not answered.
void empty_lines_are_no_answer_to_who_has_no_list() {
  Listener discovery(9);
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  Member member(loop, discovery.address, 3);
  std::thread answers([&] {
    Line watch = discovery.take_request().first;
    watch.say(kAnswers);
    for (int i = 0; i < 30 && !discovery.connection_waits(0.1); ++i) watch.say(chunk("\n"));
    discovery.take_request().first.say(kAnswers + chunk(list_of(1)));
    sleep_for(0.2);
  });
  double from = now();
  loop.at(loop.now() + 3.5, [&] { loop.quit(); });
  loop.run();
  answers.join();
  assert(member.heard.size() == 1 && member.heard.front() < from + 3.3);
}

// A discovery that is played step by step beside a watch in this process.
struct Played {
  explicit Played(const std::function<void(Listener&)>& steps)
      : discovery(9, 0),
        log(std::cerr, Level::Error),
        loop(log, 64),
        member(loop, discovery.address, 3, DiscoveryMode::Pushed) {
    std::atomic<bool> played = false;
    std::thread playing([&] {
      steps(discovery);
      sleep_for(0.3);  // for what it said last
      played = true;
    });
    std::function<void()> look = [&] { played ? loop.quit() : loop.at(loop.now() + 0.05, look); };
    look();
    loop.run();
    playing.join();
  }
  Listener discovery;
  Log log;
  Loop loop;
  Member member;
};

// The next call, which has to ask for what came after that.
Line call(Listener& discovery, const std::string& after, const std::string& lines) {
  auto [line, request] = discovery.take_request();
  assert(request.target == "/v1/servers?watch=1&after=" + after);
  line.say(kAnswers + lines);
  return std::move(line);
}

std::string change_of(int index) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":false,"endpoints":[)" +
         entry("b", "127.0.0.1:" + std::to_string(index)) + "]}\n";
}

// The whole list was asked for every 2 s where asking is free: what that takes grows with the list, not with
// what changes. What a watch told is asked for once more, as nothing says that it told all.
void what_changed_is_asked_for_and_the_whole_list_only_at_the_start() {
  Played played([](Listener& discovery) {
    assert(call(discovery, "0", chunk(list_of(4))).ended());
    assert(call(discovery, "4", "").ended());  // its head is all that there is to say
    Line watch = call(discovery, "4",
                      chunk(R"({"index":4,"snapshot":false,"endpoints":[]})"
                            "\n"));
    watch.say(chunk(change_of(6)));
    assert(watch.ended());
    assert(call(discovery, "4", chunk(change_of(6))).ended());
    call(discovery, "6", "");
  });
  assert(played.member.heard.size() == 4);
}

// What nothing said was told is found all the same, and so is a discovery that has started to count anew.
void the_whole_list_is_asked_for_where_something_says_that_it_is_needed() {
  Played played([](Listener& discovery) {
    assert(call(discovery, "0", chunk(list_of(4))).ended());
    assert(discovery.take_request().first.ended());  // silent
    assert(call(discovery, "0", chunk(list_of(5))).ended());
    assert(call(discovery, "5", chunk(change_of(3))).ended(1));  // the index goes back
    assert(call(discovery, "0", chunk(list_of(3))).ended());
    assert(call(discovery, "3", chunk("{]\n")).ended(1));
    call(discovery, "0", chunk(list_of(3)));
  });
  assert(played.member.heard.size() == 4);
}

// Some discoveries answer each call with the whole list. As long as it is the one that is held there is
// nothing to do about it.
void a_whole_list_that_is_held_is_not_told_again() {
  Played played([](Listener& discovery) {
    assert(call(discovery, "0", chunk(list_of(4))).ended());
    Line watch = call(discovery, "4", chunk(list_of(4)));
    watch.say(chunk(change_of(5)));
    assert(watch.ended());
    call(discovery, "4", chunk(list_of(4)));  // as changed since: it takes back what came after it
  });
  assert(played.member.heard.size() == 3);
}

// Where asking is free: a watch that goes on without its entries, a connection that never comes up, a call
// that says its head and nothing more, another that never comes up and one that says nothing.
void a_change_is_heard_in_time_after_a_call_of_which_only_the_head_came() {
  double changed = 0;
  Played played([&](Listener& discovery) {
    Line watch = call(discovery, "0", chunk(list_of(1)));
    changed = now();
    Line filling(discovery.address);  // what knocks now is not let in
    assert(watch.ended());
    sleep_for(0.2);
    discovery.take();
    Line head = call(discovery, "1", "");
    Line filling_again(discovery.address);
    assert(head.ended());
    sleep_for(0.2);
    discovery.take();
    assert(discovery.take_request().first.ended());
    call(discovery, "0", chunk(list_of(2))).ended(0.2);
  });
  assert(played.member.heard.size() == 2 && played.member.heard.back() < changed + 6);
}

// Unix time by a clock that this machine's is so many seconds ahead of.
double unix_time(double ahead) {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() - ahead;
}
std::string list_with_start(int index, double unix_started) {
  std::string list = list_of(index);
  std::string stated = std::to_string(std::int64_t(unix_started * 1000));
  return list.replace(list.find(R"("since_ms":0)"), 12, R"("since_ms":)" + stated);
}

// The empty lines of a quiet watch say that nobody has started. By a wall clock that is some seconds ahead
// the endpoint that starts after them would have started long before.
void a_start_after_a_quiet_watch_is_no_earlier_than_its_last_empty_line() {
  constexpr double kAhead = 3;
  Listener discovery(9);
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  Member member(loop, discovery.address, 6);
  double last_empty = 0;
  std::thread answers([&] {
    Line watch = discovery.take_request().first;
    watch.say(kAnswers + chunk(list_of(1)));
    for (int i = 0; i < 5; ++i) {
      sleep_for(1);
      last_empty = now();
      watch.say(chunk("\n"));
    }
    sleep_for(0.2);
    watch.say(chunk(list_with_start(2, unix_time(kAhead))));
    sleep_for(0.3);
    loop.quit();
  });
  loop.run();
  answers.join();
  assert(member.heard.size() == 2 && member.started >= last_empty && member.started <= member.heard.back());
}

// The wall clock is an hour ahead from the start, and the first list tells of a start of two seconds ago: the
// date of the answer, which is by the clock of the list's stamps, goes before it.
void the_date_of_the_answer_goes_before_a_wrong_wall_clock() {
  constexpr double kAhead = 3600, kAge = 2;
  Listener discovery(9);
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  Member member(loop, discovery.address, 7);
  std::thread answers([&] {
    Line watch = discovery.take_request().first;
    std::time_t seconds = std::time_t(unix_time(kAhead));
    char date[64];
    std::strftime(date, sizeof date, "%a, %d %b %Y %H:%M:%S GMT", std::gmtime(&seconds));
    std::string head = kAnswers;
    head.insert(head.find("\r\n") + 2, std::string("Date: ") + date + "\r\n");
    watch.say(head + chunk(list_with_start(1, unix_time(kAhead) - kAge)));
    sleep_for(0.3);
    loop.quit();
  });
  loop.run();
  answers.join();
  double age = member.heard.front() - member.started;
  assert(member.heard.size() == 1 && age > kAge - 1.1 && age < kAge + 0.5);
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  a_start_after_a_quiet_watch_is_no_earlier_than_its_last_empty_line();
  the_date_of_the_answer_goes_before_a_wrong_wall_clock();
  a_list_that_comes_slowly_is_heard();
  a_call_that_says_nothing_is_followed_by_another_at_once();
  empty_lines_are_no_answer_to_who_has_no_list();
  a_silent_watch_a_connection_that_never_comes_up_and_a_silent_call_in_a_row();
  what_changed_is_asked_for_and_the_whole_list_only_at_the_start();
  the_whole_list_is_asked_for_where_something_says_that_it_is_needed();
  a_whole_list_that_is_held_is_not_told_again();
  a_change_is_heard_in_time_after_a_call_of_which_only_the_head_came();
  calls_that_are_refused_come_less_often_and_go_on();
  watches_that_are_reset_at_once_have_all_heard_within_six_seconds();
  std::puts("watch: all stories hold");
}
