// What production adds, on real sockets: new configurations in a row, outages of discovery, endpoints that
// hang through a whole shutdown, a process that is held up. With a test's name after the program's, that one
// alone.
#include <filesystem>
#include <memory>
#include <thread>
#include <vector>

#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;
using Side = HttpReader::Side;

namespace {

constexpr double kHeldUp = 0.15;     // seconds that a process may be held up for, by the platform's terms
constexpr double kKilledBy = 0.7;    // SIGKILL after SIGTERM and the longest deadline, the same
constexpr double kLongest = 3;       // of a deadline, as far as SIGKILL waits for it
constexpr double kAgentKnows = 0.2;  // within which a list that lies ready is asked for and heard

const std::string kWatching = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kLast = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

std::string list_of(int index, const std::string& entries, bool whole = true) {
  return chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
               R"(,"endpoints":[)" + entries + "]}\n");
}

Running::Options priced() {
  Running::Options options;
  options.registry = "on_request";
  return options;
}

Line open_watch(Listener& discovery, const std::string& said) {
  Line watch = discovery.take_request().first;
  watch.say(kWatching + said);
  return watch;
}

bool goes_to(Listener& where, const Running& sidecar, const std::string& id) {
  Line client(sidecar.listen);
  client.say(get("", id));
  if (!where.connection_waits(1)) return false;
  Line attempt = where.take();
  return attempt.hear(Side::Request) && attempt.say(kLast) && client.answer_status() == 200;
}

// ---- new configurations

// The listener is another process's yet, as for 3.7 s at a restart. What SIGHUP told in that time was never
// read.
void a_new_configuration_is_followed_while_the_listener_is_anothers() {
  Listener endpoint(2), first(4), second(5);
  auto holds_the_door = std::make_unique<Listener>(1);
  Running::Options options = priced();
  options.number = 1;
  options.discovery = &first;
  Running sidecar(entry("a", endpoint.address), options);
  Line watch = open_watch(first, list_of(8, entry("a", endpoint.address)));
  sidecar.assign(second.address);
  sidecar.reload();
  assert(second.connection_waits(2));
  Line moved = open_watch(second, list_of(9, entry("a", endpoint.address)));
  assert(watch.ended(1));
  holds_the_door.reset();
  double until = now() + 3;
  while (sidecar.status_of("GET /healthz HTTP/1.1\r\n\r\n") != 200 && now() < until) sleep_for(0.01);
  assert(goes_to(endpoint, sidecar, "1"));
}

// Ten within some milliseconds, files of no use among them: the last one holds, and nothing is lost.
void of_new_configurations_in_quick_succession_the_last_one_holds() {
  Listener endpoint(2), fresh(3);
  std::vector<std::unique_ptr<Listener>> discoveries;
  for (int i = 0; i < 5; ++i) discoveries.push_back(std::make_unique<Listener>(20 + i));
  Running sidecar(entry("a", endpoint.address), priced());
  Line before = open_watch(sidecar.discovery(), list_of(8, entry("a", endpoint.address)));
  Line client(sidecar.listen);
  client.say(post("x"));
  auto [attempt, request] = endpoint.take_request();
  for (int round = 0; round < 2; ++round) {
    for (auto& discovery : discoveries) {
      sidecar.assign("half a file \"");
      sidecar.reload();
      sidecar.assign(discovery->address);
      sidecar.reload();
      sleep_for(0.001);
    }
  }
  Listener& last = *discoveries.back();
  std::optional<Line> watch;
  for (double until = now() + 2; now() < until && last.connection_waits(0.3);) {
    Line each = last.take();
    if (each.hear(Side::Request)) watch.emplace(std::move(each));
  }
  assert(watch && before.ended(1));
  watch->say(kWatching +
             list_of(9, entry("a", endpoint.address, "leaving") + "," + entry("b", fresh.address)));
  sleep_for(kAgentKnows);
  assert(goes_to(fresh, sidecar, "1") && !endpoint.connection_waits(0));
  attempt.say(ok("x"));
  assert(client.answer_status() == 200);
}

// What can't be used changes nothing, and what could be used had come before stays: the watch stands, and the
// next good one is followed.
void a_configuration_that_cannot_be_used_changes_nothing() {
  Listener endpoint(2), second(4);
  Running sidecar(entry("a", endpoint.address), priced());
  Line watch = open_watch(sidecar.discovery(), list_of(8, entry("a", endpoint.address)));
  for (std::string file : {"half \"", "nowhere", "10.0.0.1:0", "10.0.0.1:99999", "[", ":", "\\u0000"}) {
    sidecar.assign(file);
    sidecar.reload();
    assert(!watch.ended(0.1));
    watch.say(chunk("\n"));
  }
  sidecar.assign(second.address);
  sidecar.reload();
  open_watch(second, list_of(9, entry("a", endpoint.address)));
  assert(watch.ended(1) && goes_to(endpoint, sidecar, "1"));
}

// A process that has handed its listener over still has requests in hand, whose retries go by the list.
void a_new_configuration_is_followed_while_handing_over() {
  Listener discovery(9), moved(4), silent(2), fresh(3);
  Running::Options first, second;
  first.discovery = second.discovery = &discovery;
  first.registry = second.registry = "on_request";
  first.client_timeout = second.client_timeout = "3.0";
  first.admin = here(8) + ":5108";
  second.admin = here(8) + ":5109";
  second.number = 1;
  Running predecessor(entry("a", silent.address), first);
  Line watch = open_watch(discovery, list_of(8, entry("a", silent.address)));
  Line client(predecessor.listen);
  client.say(get("", "1"));
  auto [attempt, request] = silent.take_request();
  Running successor(entry("a", silent.address), second);
  Line other = open_watch(discovery, list_of(8, entry("a", silent.address)));
  auto ready = [&] {
    Line line(second.admin);
    return line.connected && line.say("GET /api/ready HTTP/1.1\r\n\r\n") && line.answer_status() == 200;
  };
  for (double until = now() + 5; !ready(); sleep_for(0.01)) assert(now() < until);
  sleep_for(0.1);
  predecessor.terminate();
  sleep_for(0.1);
  predecessor.assign(moved.address);
  predecessor.reload();
  assert(moved.connection_waits(2));
  Line heard =
      open_watch(moved, list_of(9, entry("b", fresh.address) + "," + entry("a", silent.address, "leaving")));
  sleep_for(kAgentKnows);
  attempt.reset();  // its retry goes by the new list
  auto [retry, again] = fresh.take_request();
  retry.say(ok("x"));
  assert(client.answer_status() == 200 && predecessor.exit_code(2) == 0);
}

// ---- discovery that is away

struct Asked {
  int calls = 0;
  double longest_pause = 0;
};

// All calls to it for so long, each ended at once by `act`.
template <typename Act>
Asked count_calls(Listener& discovery, double seconds, Act act) {
  Asked asked;
  std::vector<Line> silent;
  double last = now();
  for (double until = now() + seconds; now() < until;) {
    if (!discovery.connection_waits(0.02)) continue;
    Line line = discovery.take();
    asked.longest_pause = std::max(asked.longest_pause, now() - last);
    last = now();
    ++asked.calls;
    if (!act(line)) silent.push_back(std::move(line));
  }
  return asked;
}

// Its pace is the same after minutes as after seconds: rests grow to a bound and stay there. Served all the
// while by the list that is known, and heard at the return.
void a_discovery_that_is_away_is_asked_at_a_bounded_pace_and_heard_at_its_return() {
  struct Away {
    const char* registry;
    bool refuses;  // or says nothing
    double most_a_second, longest_pause;
  };
  // Pushed: rests of 0.15 s, or 0.85 s for an answer. Priced: 1.1 s and a quarter, or 2.25 s beside that.
  for (Away away : {Away{"pushed", true, 7.5, 1}, Away{"pushed", false, 2.5, 1.5},
                    Away{"on_request", true, 1.5, 1.8}, Away{"on_request", false, 1, 4.2}}) {
    Listener endpoint(2), fresh(3);
    Running::Options options;
    options.registry = away.registry;
    Running sidecar(entry("a", endpoint.address), options);
    auto act = [&](Line& line) {
      if (away.refuses) line.reset();
      return away.refuses;
    };
    count_calls(sidecar.discovery(), 3, act);  // the first rests are shorter
    constexpr double kOf = 6;
    Asked asked = count_calls(sidecar.discovery(), kOf, act);
    assert(asked.calls >= 1 && asked.calls <= away.most_a_second * kOf + 1);
    assert(asked.longest_pause < away.longest_pause);
    assert(goes_to(endpoint, sidecar, "1"));
    while (sidecar.discovery().connection_waits(0))
      sidecar.discovery().take();  // what was given up, or is now
    double back = now();
    Line watch = open_watch(sidecar.discovery(), list_of(9, entry("b", fresh.address) + "," +
                                                                entry("a", endpoint.address, "leaving")));
    sleep_for(kAgentKnows);
    assert(now() - back < 6 && goes_to(fresh, sidecar, "2") && !endpoint.connection_waits(0));
  }
}

// Away for long, it has been moved meanwhile: the new one is asked at once, whatever rest the old one had led
// to.
void a_new_discovery_is_asked_at_once_while_the_old_one_is_away() {
  for (std::string registry : {"pushed", "on_request"}) {
    Listener endpoint(2), fresh(3), moved(4);
    Running::Options options;
    options.registry = registry;
    Running sidecar(entry("a", endpoint.address), options);
    count_calls(sidecar.discovery(), 3, [](Line& line) {
      line.reset();
      return true;
    });
    sidecar.assign(moved.address);
    double notified = now();
    sidecar.reload();
    assert(moved.connection_waits(0.5));
    open_watch(moved, list_of(9, entry("b", fresh.address) + "," + entry("a", endpoint.address, "leaving")));
    sleep_for(kAgentKnows);
    assert(now() - notified < 4 && goes_to(fresh, sidecar, "1") && !endpoint.connection_waits(0));
  }
}

// Just after SIGHUP all ask at once: the first call is refused, the next waits for its turn and comes in
// pieces.
void a_discovery_that_is_crowded_just_after_a_new_configuration_is_heard_in_time() {
  Listener endpoint(2), fresh(3), moved(4);
  Running sidecar(entry("a", endpoint.address), priced());
  Line watch = open_watch(sidecar.discovery(), list_of(8, entry("a", endpoint.address)));
  sidecar.assign(moved.address);
  double notified = now();
  sidecar.reload();
  moved.take_request().first.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  Line next = moved.take_request().first;
  sleep_for(1.8);
  std::string whole = list_of(9, entry("b", fresh.address) + "," + entry("a", endpoint.address, "leaving"));
  next.say(kWatching + whole.substr(0, whole.size() / 2));
  sleep_for(0.15);  // a call has 2.2 s, of which 2 s are for its turn
  next.say(whole.substr(whole.size() / 2));
  sleep_for(kAgentKnows);
  assert(now() - notified < 4 && goes_to(fresh, sidecar, "1") && !endpoint.connection_waits(0));
}

// ---- shutdown

// A client that sends its next request on the same connection as soon as the last one is answered.
class Persistent {
 public:
  Persistent(const std::string& to, const std::string& name, bool once)
      : line_(to), sending_([this, name, once] { send(name, once); }) {}
  void join() { sending_.join(); }
  int answered = 0, lost = 0;

 private:
  void send(const std::string& name, bool once) {
    for (int i = 0; !line_.anything(0); ++i) {
      double begun = now();
      if (!line_.say(get("", name + "x" + std::to_string(i)))) return;
      std::optional<HttpMessage> answer = line_.hear(Side::Response);
      constexpr double kGivesUp = 2.9;  // a line's own limit for one reading is 3 s
      if (!answer && now() - begun > kGivesUp) answer = line_.hear(Side::Response);
      // An end that crosses the request comes at once; the request was not read then and is sent again.
      constexpr double kCrosses = 0.03;
      if (!answer && now() - begun > kCrosses) ++lost;
      if (!answer) return;
      ++answered;
      if (once || !answer->keep_alive) return;
      sleep_for(0.005);
    }
  }
  Line line_;
  std::thread sending_;
};

struct Shutdown {
  std::string client_timeout;
  double longest;  // of it, what SIGKILL waits for
};

constexpr int kBefore = 20;  // clients that are there when SIGTERM comes

// Each endpoint hangs from before SIGTERM on, which is read late; requests go on coming on all connections
// that stay open, and new ones until the listener shuts. All have their answer when SIGKILL comes.
void endpoints_that_hang_through_a_whole_shutdown_leave_nobody_without_an_answer() {
  for (Shutdown each : {Shutdown{"0.4", 0.4}, Shutdown{"1.0", 1}, Shutdown{"8.0", kLongest}}) {
    Listener one(2, 512), other(3, 512);  // they take connections, and say nothing
    Running::Options options;
    options.client_timeout = each.client_timeout;
    Running sidecar(entry("a", one.address) + "," + entry("b", other.address), options);
    std::vector<std::unique_ptr<Persistent>> clients;
    auto come = [&](bool once) {
      std::string name = "c" + std::to_string(clients.size());
      clients.push_back(std::make_unique<Persistent>(sidecar.listen, name, once));
    };
    for (int i = 0; i < kBefore; ++i) come(i % 4 == 3);
    sleep_for(0.2);
    double notified = now();
    sidecar.stall([&] {
      sidecar.terminate();
      sleep_for(kHeldUp);
    });
    for (int i = 0; i < 8; ++i) {  // the listener stays open for 0.42 s
      come(false);
      sleep_for(0.01);
    }
    sleep_for(notified + each.longest + kKilledBy - now());
    kill(sidecar.child(), SIGKILL);
    assert(sidecar.exit_code(1) == 0);  // gone by itself
    int answered = 0, lost = 0;
    for (auto& client : clients) {
      client->join();
      answered += client->answered;
      lost += client->lost;
    }
    assert(lost == 0 && answered >= kBefore);
  }
}

// Held up just before the last answers are due it wrote them when SIGKILL had come.
void a_process_held_up_at_the_end_of_its_time_has_answered_before() {
  Listener silent(2, 64);
  Running sidecar(entry("a", silent.address));
  Line last(sidecar.listen);
  last.say("GET /healthz HTTP/1.1\r\n\r\n");
  assert(last.answer_status() == 200);
  double notified = now();
  sidecar.terminate();
  sleep_for(notified + 0.8 - now());
  assert(last.say(get("X-Time-Left: 1000m\r\n")));  // its time ends with the process's
  sleep_for(notified + 1 + kKilledBy - kHeldUp + 0.005 - now());
  sidecar.stall([] { sleep_for(kHeldUp); });
  kill(sidecar.child(), SIGKILL);
  assert(last.answer_status() >= 502);
}

// ---- a process that is held up, and an endpoint that drains

// The list that says so lies unread through the stall, and requests come after it: what was read from it
// counts for them, and for the retry whose cause was in hand by then.
void a_process_held_up_sends_nothing_to_who_was_told_to_drain_meanwhile() {
  Listener old(2), fresh(3);
  Running sidecar(entry("a", old.address), priced());
  Line watch = open_watch(sidecar.discovery(), list_of(8, entry("a", old.address)));
  Line first(sidecar.listen), second(sidecar.listen);
  first.say(get("", "1"));
  auto [attempt, request] = old.take_request();
  sidecar.stall([&, &line = attempt] {
    watch.say(list_of(9, entry("a", old.address, "leaving") + "," + entry("b", fresh.address), false));
    line.say("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    second.say(get("", "2"));
    sleep_for(kHeldUp);
  });
  for (int i = 0; i < 2; ++i) fresh.take_request().first.say(kLast);
  assert(first.answer_status() == 200 && second.answer_status() == 200);
  assert(!old.connection_waits(0.1) && !attempt.anything(0));
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2 || count == 3);
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = "/tmp/puffinvane-production-" + std::to_string(getpid());
  std::filesystem::create_directory(folder);
  setenv("TMPDIR", folder.c_str(), 1);  // where two processes of one sidecar meet
  struct {
    const char* name;
    void (*tell)();
  } const stories[] = {
#define STORY(name) {#name, name}
      STORY(a_new_configuration_is_followed_while_the_listener_is_anothers),
      STORY(of_new_configurations_in_quick_succession_the_last_one_holds),
      STORY(a_configuration_that_cannot_be_used_changes_nothing),
      STORY(a_new_configuration_is_followed_while_handing_over),
      STORY(a_discovery_that_is_away_is_asked_at_a_bounded_pace_and_heard_at_its_return),
      STORY(a_new_discovery_is_asked_at_once_while_the_old_one_is_away),
      STORY(a_discovery_that_is_crowded_just_after_a_new_configuration_is_heard_in_time),
      STORY(endpoints_that_hang_through_a_whole_shutdown_leave_nobody_without_an_answer),
      STORY(a_process_held_up_at_the_end_of_its_time_has_answered_before),
      STORY(a_process_held_up_sends_nothing_to_who_was_told_to_drain_meanwhile),
#undef STORY
  };
  int notified = 0;
  for (const auto& story : stories) {
    if (count == 3 && std::string(words[2]) != story.name) continue;
    story.tell();
    ++notified;
  }
  assert(notified > 0);
  std::filesystem::remove_all(folder);
  std::printf("all %d stories hold\n", notified);
}
