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
  return http_chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
                    R"(,"endpoints":[)" + entries + "]}\n");
}

SidecarProcess::Options priced() {
  SidecarProcess::Options options;
  options.registry = "on_request";
  return options;
}

TestConnection open_watch(Listener& discovery, const std::string& said) {
  TestConnection watch = discovery.accept_request().first;
  watch.send_text(kWatching + said);
  return watch;
}

bool goes_to(Listener& where, const SidecarProcess& sidecar, const std::string& id) {
  TestConnection client(sidecar.listen);
  client.send_text(get_request("", id));
  if (!where.has_connection_within(1)) return false;
  TestConnection attempt = where.accept_connection();
  return attempt.receive_message(Side::Request) && attempt.send_text(kLast) &&
         client.response_status() == 200;
}

// ---- new configurations

// The listener is another process's yet, as for 3.7 s at a restart. What SIGHUP told in that time was never
// read.
void configuration_is_reloaded_while_another_process_holds_the_listener() {
  Listener endpoint(2), first(4), second(5);
  auto holds_the_door = std::make_unique<Listener>(1);
  SidecarProcess::Options options = priced();
  options.number = 1;
  options.discovery = &first;
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
  TestConnection watch = open_watch(first, list_of(8, list_entry_json("a", endpoint.address)));
  sidecar.write_configuration(second.address);
  sidecar.reload();
  assert(second.has_connection_within(2));
  TestConnection moved = open_watch(second, list_of(9, list_entry_json("a", endpoint.address)));
  assert(watch.ends_within(1));
  holds_the_door.reset();
  double until = now() + 3;
  while (sidecar.status_of("GET /healthz HTTP/1.1\r\n\r\n") != 200 && now() < until) sleep_for(0.01);
  assert(goes_to(endpoint, sidecar, "1"));
}

// Ten within some milliseconds, files of no use among them: the last one holds, and nothing is lost.
void last_of_many_rapid_configuration_reloads_is_used() {
  Listener endpoint(2), fresh(3);
  std::vector<std::unique_ptr<Listener>> discoveries;
  for (int i = 0; i < 5; ++i) discoveries.push_back(std::make_unique<Listener>(20 + i));
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), priced());
  TestConnection before = open_watch(sidecar.discovery(), list_of(8, list_entry_json("a", endpoint.address)));
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  auto [attempt, request] = endpoint.accept_request();
  for (int round = 0; round < 2; ++round) {
    for (auto& discovery : discoveries) {
      sidecar.write_configuration("half a file \"");
      sidecar.reload();
      sidecar.write_configuration(discovery->address);
      sidecar.reload();
      sleep_for(0.001);
    }
  }
  Listener& last = *discoveries.back();
  std::optional<TestConnection> watch;
  for (double until = now() + 2; now() < until && last.has_connection_within(0.3);) {
    TestConnection each = last.accept_connection();
    if (each.receive_message(Side::Request)) watch.emplace(std::move(each));
  }
  assert(watch && before.ends_within(1));
  watch->send_text(kWatching + list_of(9, list_entry_json("a", endpoint.address, "leaving") + "," +
                                              list_entry_json("b", fresh.address)));
  sleep_for(kAgentKnows);
  assert(goes_to(fresh, sidecar, "1") && !endpoint.has_connection_within(0));
  attempt.send_text(ok_response("x"));
  assert(client.response_status() == 200);
}

// What can't be used changes nothing, and what could be used had come before stays: the watch stands, and the
// next good one is followed.
void invalid_configuration_changes_nothing() {
  Listener endpoint(2), second(4);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), priced());
  TestConnection watch = open_watch(sidecar.discovery(), list_of(8, list_entry_json("a", endpoint.address)));
  for (std::string file : {"half \"", "nowhere", "10.0.0.1:0", "10.0.0.1:99999", "[", ":", "\\u0000"}) {
    sidecar.write_configuration(file);
    sidecar.reload();
    assert(!watch.ends_within(0.1));
    watch.send_text(http_chunk("\n"));
  }
  sidecar.write_configuration(second.address);
  sidecar.reload();
  open_watch(second, list_of(9, list_entry_json("a", endpoint.address)));
  assert(watch.ends_within(1) && goes_to(endpoint, sidecar, "1"));
}

// A process that has handed its listener over still has requests in hand, whose retries go by the list.
void configuration_is_reloaded_by_the_predecessor_during_a_takeover() {
  Listener discovery(9), moved(4), silent(2), fresh(3);
  SidecarProcess::Options first, second;
  first.discovery = second.discovery = &discovery;
  first.registry = second.registry = "on_request";
  first.client_timeout = second.client_timeout = "3.0";
  first.admin = loopback_address(8) + ":5108";
  second.admin = loopback_address(8) + ":5109";
  second.number = 1;
  SidecarProcess predecessor(list_entry_json("a", silent.address), first);
  TestConnection watch = open_watch(discovery, list_of(8, list_entry_json("a", silent.address)));
  TestConnection client(predecessor.listen);
  client.send_text(get_request("", "1"));
  auto [attempt, request] = silent.accept_request();
  SidecarProcess successor(list_entry_json("a", silent.address), second);
  TestConnection other = open_watch(discovery, list_of(8, list_entry_json("a", silent.address)));
  auto ready = [&] {
    TestConnection line(second.admin);
    return line.connected && line.send_text("GET /api/ready HTTP/1.1\r\n\r\n") &&
           line.response_status() == 200;
  };
  for (double until = now() + 5; !ready(); sleep_for(0.01)) assert(now() < until);
  sleep_for(0.1);
  predecessor.terminate();
  sleep_for(0.1);
  predecessor.write_configuration(moved.address);
  predecessor.reload();
  assert(moved.has_connection_within(2));
  TestConnection heard = open_watch(moved, list_of(9, list_entry_json("b", fresh.address) + "," +
                                                          list_entry_json("a", silent.address, "leaving")));
  sleep_for(kAgentKnows);
  attempt.reset();  // its retry goes by the new list
  auto [retry, again] = fresh.accept_request();
  retry.send_text(ok_response("x"));
  assert(client.response_status() == 200 && predecessor.exit_code(2) == 0);
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
  std::vector<TestConnection> silent;
  double last = now();
  for (double until = now() + seconds; now() < until;) {
    if (!discovery.has_connection_within(0.02)) continue;
    TestConnection line = discovery.accept_connection();
    asked.longest_pause = std::max(asked.longest_pause, now() - last);
    last = now();
    ++asked.calls;
    if (!act(line)) silent.push_back(std::move(line));
  }
  return asked;
}

// Its pace is the same after minutes as after seconds: rests grow to a bound and stay there. Served all the
// while by the list that is known, and heard at the return.
void unavailable_discovery_is_retried_at_a_bounded_rate_and_used_on_return() {
  struct Away {
    const char* registry;
    bool refuses;  // or says nothing
    double most_a_second, longest_pause;
  };
  // Pushed: rests of 0.15 s, or 0.85 s for an answer. Priced: 1.1 s and a quarter, or 2.25 s beside that.
  for (Away away : {Away{"pushed", true, 7.5, 1}, Away{"pushed", false, 2.5, 1.5},
                    Away{"on_request", true, 1.5, 1.8}, Away{"on_request", false, 1, 4.2}}) {
    Listener endpoint(2), fresh(3);
    SidecarProcess::Options options;
    options.registry = away.registry;
    SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
    auto act = [&](TestConnection& line) {
      if (away.refuses) line.reset();
      return away.refuses;
    };
    count_calls(sidecar.discovery(), 3, act);  // the first rests are shorter
    constexpr double kOf = 6;
    Asked asked = count_calls(sidecar.discovery(), kOf, act);
    assert(asked.calls >= 1 && asked.calls <= away.most_a_second * kOf + 1);
    assert(asked.longest_pause < away.longest_pause);
    assert(goes_to(endpoint, sidecar, "1"));
    while (sidecar.discovery().has_connection_within(0))
      sidecar.discovery().accept_connection();  // what was given up, or is now
    double back = now();
    TestConnection watch =
        open_watch(sidecar.discovery(), list_of(9, list_entry_json("b", fresh.address) + "," +
                                                       list_entry_json("a", endpoint.address, "leaving")));
    sleep_for(kAgentKnows);
    assert(now() - back < 6 && goes_to(fresh, sidecar, "2") && !endpoint.has_connection_within(0));
  }
}

// Away for long, it has been moved meanwhile: the new one is asked at once, whatever rest the old one had led
// to.
void newly_configured_discovery_is_called_at_once_during_an_outage() {
  for (std::string registry : {"pushed", "on_request"}) {
    Listener endpoint(2), fresh(3), moved(4);
    SidecarProcess::Options options;
    options.registry = registry;
    SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
    count_calls(sidecar.discovery(), 3, [](TestConnection& line) {
      line.reset();
      return true;
    });
    sidecar.write_configuration(moved.address);
    double notified = now();
    sidecar.reload();
    assert(moved.has_connection_within(0.5));
    open_watch(moved, list_of(9, list_entry_json("b", fresh.address) + "," +
                                     list_entry_json("a", endpoint.address, "leaving")));
    sleep_for(kAgentKnows);
    assert(now() - notified < 4 && goes_to(fresh, sidecar, "1") && !endpoint.has_connection_within(0));
  }
}

// Just after SIGHUP all ask at once: the first call is refused, the next waits for its turn and comes in
// pieces.
void overloaded_discovery_is_read_in_time_after_a_reload() {
  Listener endpoint(2), fresh(3), moved(4);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), priced());
  TestConnection watch = open_watch(sidecar.discovery(), list_of(8, list_entry_json("a", endpoint.address)));
  sidecar.write_configuration(moved.address);
  double notified = now();
  sidecar.reload();
  moved.accept_request().first.send_text(
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  TestConnection next = moved.accept_request().first;
  sleep_for(1.8);
  std::string whole = list_of(
      9, list_entry_json("b", fresh.address) + "," + list_entry_json("a", endpoint.address, "leaving"));
  next.send_text(kWatching + whole.substr(0, whole.size() / 2));
  sleep_for(0.15);  // a call has 2.2 s, of which 2 s are for its turn
  next.send_text(whole.substr(whole.size() / 2));
  sleep_for(kAgentKnows);
  assert(now() - notified < 4 && goes_to(fresh, sidecar, "1") && !endpoint.has_connection_within(0));
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
    for (int i = 0; !line_.has_input_within(0); ++i) {
      double begun = now();
      if (!line_.send_text(get_request("", name + "x" + std::to_string(i)))) return;
      std::optional<HttpMessage> answer = line_.receive_message(Side::Response);
      constexpr double kGivesUp = 2.9;  // a line's own limit for one reading is 3 s
      if (!answer && now() - begun > kGivesUp) answer = line_.receive_message(Side::Response);
      // An end that crosses the request comes at once; the request was not read then and is sent again.
      constexpr double kCrosses = 0.03;
      if (!answer && now() - begun > kCrosses) ++lost;
      if (!answer) return;
      ++answered;
      if (once || !answer->keep_alive) return;
      sleep_for(0.005);
    }
  }
  TestConnection line_;
  std::thread sending_;
};

struct Shutdown {
  std::string client_timeout;
  double longest;  // of it, what SIGKILL waits for
};

constexpr int kBefore = 20;  // clients that are there when SIGTERM comes

// Each endpoint hangs from before SIGTERM on, which is read late; requests go on coming on all connections
// that stay open, and new ones until the listener shuts. All have their answer when SIGKILL comes.
void every_request_is_answered_when_endpoints_hang_during_shutdown() {
  for (Shutdown each : {Shutdown{"0.4", 0.4}, Shutdown{"1.0", 1}, Shutdown{"8.0", kLongest}}) {
    Listener one(2, 512), other(3, 512);  // they take connections, and say nothing
    SidecarProcess::Options options;
    options.client_timeout = each.client_timeout;
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address),
                           options);
    std::vector<std::unique_ptr<Persistent>> clients;
    auto come = [&](bool once) {
      std::string name = "c" + std::to_string(clients.size());
      clients.push_back(std::make_unique<Persistent>(sidecar.listen, name, once));
    };
    for (int i = 0; i < kBefore; ++i) come(i % 4 == 3);
    sleep_for(0.2);
    double notified = now();
    sidecar.while_stopped([&] {
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
void process_stalled_just_before_sigkill_has_already_answered() {
  Listener silent(2, 64);
  SidecarProcess sidecar(list_entry_json("a", silent.address));
  TestConnection last(sidecar.listen);
  last.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(last.response_status() == 200);
  double notified = now();
  sidecar.terminate();
  sleep_for(notified + 0.8 - now());
  assert(last.send_text(get_request("X-Time-Left: 1000m\r\n")));  // its time ends with the process's
  sleep_for(notified + 1 + kKilledBy - kHeldUp + 0.005 - now());
  sidecar.while_stopped([] { sleep_for(kHeldUp); });
  kill(sidecar.child(), SIGKILL);
  assert(last.response_status() >= 502);
}

// ---- a process that is held up, and an endpoint that drains

// The list that says so lies unread through the stall, and requests come after it: what was read from it
// counts for them, and for the retry whose cause was in hand by then.
void stalled_process_sends_nothing_to_an_endpoint_drained_meanwhile() {
  Listener old(2), fresh(3);
  SidecarProcess sidecar(list_entry_json("a", old.address), priced());
  TestConnection watch = open_watch(sidecar.discovery(), list_of(8, list_entry_json("a", old.address)));
  TestConnection first(sidecar.listen), second(sidecar.listen);
  first.send_text(get_request("", "1"));
  auto [attempt, request] = old.accept_request();
  sidecar.while_stopped([&, &line = attempt] {
    watch.send_text(list_of(
        9, list_entry_json("a", old.address, "leaving") + "," + list_entry_json("b", fresh.address), false));
    line.send_text("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    second.send_text(get_request("", "2"));
    sleep_for(kHeldUp);
  });
  for (int i = 0; i < 2; ++i) fresh.accept_request().first.send_text(kLast);
  assert(first.response_status() == 200 && second.response_status() == 200);
  assert(!old.has_connection_within(0.1) && !attempt.has_input_within(0));
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
      STORY(configuration_is_reloaded_while_another_process_holds_the_listener),
      STORY(last_of_many_rapid_configuration_reloads_is_used),
      STORY(invalid_configuration_changes_nothing),
      STORY(configuration_is_reloaded_by_the_predecessor_during_a_takeover),
      STORY(unavailable_discovery_is_retried_at_a_bounded_rate_and_used_on_return),
      STORY(newly_configured_discovery_is_called_at_once_during_an_outage),
      STORY(overloaded_discovery_is_read_in_time_after_a_reload),
      STORY(every_request_is_answered_when_endpoints_hang_during_shutdown),
      STORY(process_stalled_just_before_sigkill_has_already_answered),
      STORY(stalled_process_sends_nothing_to_an_endpoint_drained_meanwhile),
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
