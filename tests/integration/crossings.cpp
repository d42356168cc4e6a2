// Tests of two events that cross, on real sockets: the one is held until the other is under way.
#include <sys/socket.h>

#include <atomic>
#include <iostream>
#include <vector>

#include "src/proxy/request_forwarder.h"
#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;
using Side = HttpReader::Side;

namespace {

std::string list_of(int index, const std::string& entries, bool whole = true) {
  return chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
               R"(,"endpoints":[)" + entries + "]}\n");
}
const std::string kWatching = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// An answer that says no length ends with its connection. A reset under it was taken for that end, and half
// an answer for a whole one.
void an_answer_without_a_length_is_whole_at_an_end_and_a_part_at_a_reset() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  for (bool whole : {true, false}) {
    Line client(sidecar.listen);
    client.say(post("x"));
    auto [attempt, request] = endpoint.take_request();
    attempt.say("HTTP/1.1 200 OK\r\n\r\npart");
    whole ? attempt.shut() : attempt.reset();
    assert(client.answer_status() == (whole ? 200 : 502));
  }
  // Stopped meanwhile, the sidecar finds the bytes and the reset at once.
  Line client(sidecar.listen);
  client.say(post("x"));
  auto [attempt, request] = endpoint.take_request();
  sidecar.stall([&line = attempt] { line.say("HTTP/1.1 200 OK\r\n\r\npart"), line.reset(); });
  assert(client.answer_status() == 502);
}

// The same once it is passed on while it comes: its client has to see that it was cut, in chunks and, from
// HTTP/1.0, where nothing but the end of the connection ends an answer.
void an_answer_passed_on_and_reset_is_cut_for_its_client_too() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  for (bool old : {false, true}) {
    for (bool whole : {true, false}) {
      Line client(sidecar.listen);
      std::string asked = get();
      if (old) asked.replace(asked.find("HTTP/1.1"), 8, "HTTP/1.0");
      client.say(asked);
      auto [attempt, request] = endpoint.take_request();
      attempt.say("HTTP/1.1 200 OK\r\n\r\nhalf");
      sleep_for(0.25);
      attempt.say("more");
      assert(client.text_until("more", 1).find("half") != std::string::npos);
      whole ? attempt.shut() : attempt.reset();
      bool ends_well =
          old ? client.closed(1) : client.text_until("0\r\n\r\n", 1).find("0\r\n\r\n") != std::string::npos;
      assert(ends_well == whole);
    }
  }
}

// A client that sent its request and closed while the sidecar had no core: it has long gone when it is read.
void a_request_whose_client_has_gone_when_it_is_read_is_not_sent_on() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line first(sidecar.listen);
  first.say(get());
  auto [kept, request] = endpoint.take_request();
  kept.say(ok("x"));
  assert(first.answer_status() == 200);
  sleep_for(0.1);  // that connection may be used again
  for (bool reset : {false, true}) {
    Line client(sidecar.listen);
    sidecar.stall([&] { client.say(post("x")), reset ? client.reset() : client.shut(); });
    assert(!kept.anything(0.2) && !endpoint.connection_waits(0));
  }
  first.say(get());  // what comes after it is served
  assert(kept.hear(Side::Request) && kept.say(ok("x")) && first.answer_status() == 200);
}

// The answer that asks for a retry and the end of the client are found in one turn of the loop, in that
// order.
void a_retry_and_its_clients_end_in_one_turn_send_nothing() {
  Listener one(2), other(3);
  Running sidecar(entry("a", one.address) + "," + entry("b", other.address));
  Line client(sidecar.listen);
  client.say(get());
  for (double until = now() + 3; !one.connection_waits(0) && !other.connection_waits(0);)
    assert(now() < until);
  bool first = one.connection_waits(0);
  auto [attempt, request] = (first ? one : other).take_request();
  sidecar.stall([&, &line = attempt] {
    line.say("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    client.shut();
  });
  assert(!(first ? other : one).connection_waits(0.3) && !attempt.anything(0));
}

// More is sent ahead than is read ahead: a client that is not read from was no longer seen to leave.
void a_client_that_sent_much_ahead_and_left_is_seen_to_leave() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), Running::Options{.client_timeout = "3.0"});
  Line client(sidecar.listen);
  client.say(get());
  auto [attempt, request] = endpoint.take_request();
  std::string ahead;
  for (int i = 0; i < 400; ++i) ahead += get("", "a" + std::to_string(i));
  client.say(ahead);
  sleep_for(0.1);
  client.shut();
  assert(attempt.ended(1));
}

// The connection of its attempt comes up, and then the client leaves, all before the sidecar looks again.
void a_connection_that_comes_up_when_its_client_has_left_carries_nothing() {
  Listener endpoint(2, 0);
  Line filling(
      endpoint.address);  // what knocks on a full backlog comes up when the system tries again, after 1 s
  Running sidecar(entry("a", endpoint.address),
                  Running::Options{.connect_timeout = "2.8", .client_timeout = "3.0"});
  Line client(sidecar.listen);
  client.say(post("x"));
  sleep_for(0.3);
  std::vector<Line> taken;
  sidecar.stall([&] {
    while (taken.size() < 2) taken.push_back(endpoint.take());
    client.shut();
  });
  assert(!taken.back().hear(Side::Request));
}

// The same with the end of the time for connecting, after a stall: what was decided that long ago is not
// sent.
void a_connection_found_up_after_its_time_is_over_carries_nothing() {
  Listener endpoint(2, 0);
  Line filling(endpoint.address);
  Running sidecar(entry("a", endpoint.address),
                  Running::Options{.connect_timeout = "0.6", .client_timeout = "3.0"});
  Line client(sidecar.listen);
  client.say(post("x"));
  sleep_for(0.3);
  std::vector<Line> taken;
  sidecar.stall([&] {
    while (taken.size() < 2) taken.push_back(endpoint.take());
  });
  assert(!taken.back().hear(Side::Request) && client.answer_status() == 503);  // it can't have run
}

// What knocks on a full backlog comes up when the system tries again, after 1 s. It was closed when its time
// was over, the next request began with a new one, and where many come up late all were given up like that.
void a_connection_that_comes_up_late_carries_the_next_request() {
  Listener endpoint(2, 0);
  Line filling(endpoint.address);
  Running sidecar(entry("a", endpoint.address), Running::Options{.connect_timeout = "0.3"});
  assert(sidecar.status_of(post("x")) == 503);
  endpoint.take();
  std::vector<Line> late;
  late.push_back(endpoint.take());  // and another one beside it, opened when it was not up by half its time
  late.push_back(endpoint.take());
  sleep_for(0.05);
  Line client(sidecar.listen);
  client.say(post("y"));
  assert(!endpoint.connection_waits(0.2));
  Line& used = late[0].anything(0.2) ? late[0] : late[1];
  assert(used.hear(Side::Request)->body.text() == "y" && used.say(ok("x")) && client.answer_status() == 200);
}

// The first connection hangs, and there is room at the endpoint again: a second one carries the request.
void a_request_whose_connection_does_not_come_up_goes_on_another() {
  Listener endpoint(2, 0);
  Line filling(endpoint.address);
  Running sidecar(entry("a", endpoint.address), Running::Options{.connect_timeout = "0.6"});
  Line client(sidecar.listen);
  double begun = now();
  client.say(post("x"));
  sleep_for(0.1);
  endpoint.take();
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("x"));
  assert(client.answer_status() == 200 && now() - begun < 0.55);
}

// What comes up late at an endpoint that is told to leave carries nothing any more.
void a_connection_that_comes_up_at_one_told_to_leave_is_closed() {
  Listener discovery(9), endpoint(2, 0);
  Line filling(endpoint.address);
  Running::Options options{.connect_timeout = "0.3"};
  options.discovery = &discovery, options.registry = "on_request";
  Running sidecar(entry("a", endpoint.address), options);
  Line watch = discovery.take_request().first;
  watch.say(kWatching + list_of(8, entry("a", endpoint.address)));
  assert(sidecar.status_of(post("x")) == 503);
  watch.say(list_of(9, entry("a", endpoint.address, "leaving"), false));
  sleep_for(0.05);
  endpoint.take();
  assert(!endpoint.connection_waits(1.2) || endpoint.take().ended(0.2));
}

// On a kept connection a second answer, some milliseconds late, was taken for that of the request which the
// connection carried by then.
void a_second_answer_that_comes_late_is_nobodys() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  client.say(get("", "1") + get("", "2"));  // the second is sent on in the moment that the first is answered
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("first"));
  assert(client.hear(Side::Response)->body.text() == "first" && endpoint.connection_waits(1));
  attempt.say(ok("late"));
  auto [next, again] = endpoint.take_request();
  next.say(ok("second"));
  assert(client.hear(Side::Response)->body.text() == "second");
}

// An upload that can't be read on was closed without a word.
void an_upload_that_turns_to_nonsense_is_told_so() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), R"({"sockets":1024,"memory_mb":32})");
  Line client(sidecar.listen);
  std::thread reading([&] { assert(!endpoint.take().hear(Side::Request, 8 << 20)); });
  client.say("POST /write HTTP/1.1\r\nX-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" +
             std::string(0x400000, 'x') + "\r\nnonsense\r\n");
  assert(client.answer_status() == 400);
  reading.join();
}

// A leaving process closes connections that rest. What their clients send in that moment is not sent on, and
// must not be answered by a reset, which takes with it what they have not read yet.
void a_resting_connection_is_shut_before_it_is_closed() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  client.say(get());
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("x"));
  assert(client.answer_status() == 200);
  sidecar.terminate();
  assert(client.closed(3) && client.say(get("", "2")));
  sleep_for(0.1);
  assert(client.closed(1) && !attempt.anything(0));
}

bool goes_to(Listener& where, const Running& sidecar, const std::string& id) {
  Line client(sidecar.listen);
  client.say(get("", id));
  if (!where.connection_waits(1)) return false;
  Line attempt = where.take();
  return attempt.hear(Side::Request) &&
         attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") &&
         client.answer_status() == 200;
}

// A watch that goes on without its entries, half lines and blanks on it, one that comes up and says nothing,
// one that is reset: the change is heard within 6 s of all that.
void a_change_is_heard_in_time_whatever_became_of_the_calls() {
  Listener old(2), fresh(3);
  Running sidecar(entry("a", old.address));
  Line watch = sidecar.discovery().take_request().first;
  double until = now() + 20;
  while (watch.ended(0.02) && now() < until)
    watch = sidecar.discovery().take_request().first;  // it was slow to be asked
  watch.say(kWatching + list_of(8, entry("a", old.address)));
  double changed = now();
  assert(goes_to(old, sidecar, "1"));
  while (!sidecar.discovery().connection_waits(0.2) && now() < changed + 6)
    watch.say(chunk(" ")) && watch.say(chunk("\n  {"));
  {
    Line silent = sidecar.discovery().take_request().first;
    silent.say(kWatching + chunk("\n\n"));
    assert(silent.ended(2));
  }
  sidecar.discovery().take_request().first.reset();
  Line last = sidecar.discovery().take_request().first;
  last.say(kWatching + list_of(9, entry("a", old.address, "leaving") + "," + entry("b", fresh.address)));
  sleep_for(0.05);
  assert(now() - changed < 6 && goes_to(fresh, sidecar, "2") && !old.connection_waits(0));
}

// A discovery that has lost its list, or its count of changes, tells nothing of who is there.
void an_index_that_goes_back_and_a_list_that_is_empty_are_asked_for_again() {
  Listener here(2), other(3);
  Running sidecar(entry("a", here.address), Running::Options{.registry = "on_request"});
  Line watch = sidecar.discovery().take_request().first;
  watch.say(kWatching + list_of(5, entry("b", other.address), false));
  assert(watch.ended(1));
  auto [again, asked] = sidecar.discovery().take_request();
  assert(asked.target.ends_with("after=0"));
  again.say(kWatching + list_of(1, ""));
  assert(again.ended(1) && goes_to(here, sidecar, "1") && !other.connection_waits(0));
  Line whole = sidecar.discovery().take_request().first;
  whole.say(kWatching + list_of(3, entry("b", other.address)));
  sleep_for(0.05);
  assert(goes_to(other, sidecar, "2") && !here.connection_waits(0));
}

// Who restarts has a list from before: what has left since must get nothing from it.
void a_new_process_is_ready_once_it_has_heard_the_list_or_found_discovery_silent() {
  Listener discovery(9), old(2), fresh(3);
  Running::Options options;
  options.discovery = &discovery;
  std::thread answers([&] {
    Line watch = discovery.take_request().first;
    sleep_for(0.1);
    watch.say(kWatching + list_of(8, entry("a", old.address, "leaving") + "," + entry("b", fresh.address)));
    watch.ended(1);
  });
  Running sidecar(entry("a", old.address), options);
  assert(goes_to(fresh, sidecar, "1") && !old.connection_waits(0));
  answers.join();
}

void idle_clients_keep_out_nothing(const Running::Options& options) {
  Listener old(2), fresh(3);
  Running sidecar(entry("a", old.address), options);
  std::vector<Line> idle;
  for (int i = 0; i < 150; ++i) idle.emplace_back(sidecar.listen);
  sleep_for(0.5);
  while (sidecar.discovery().connection_waits(0)) sidecar.discovery().take();
  Line watch = sidecar.discovery().take_request().first;
  watch.say(kWatching + list_of(8, entry("a", old.address, "leaving") + "," + entry("b", fresh.address)));
  sleep_for(0.05);
  for (int i = 0; i < 5; ++i) assert(goes_to(fresh, sidecar, std::to_string(i)));
  assert(!old.connection_waits(0) && sidecar.cpu_seconds() < 1);
}

// Idle clients that fill the descriptors while discovery is down keep out neither its list, nor the next
// client, nor what is sent for it.
void idle_clients_that_fill_the_descriptors_keep_out_nothing() {
  idle_clients_keep_out_nothing(Running::Options{.limits = R"({"sockets":64,"memory_mb":64})"});
}

// The system may let the process have fewer than it was told: clients took the last of them, and neither
// discovery nor an endpoint could be reached any more.
void fewer_descriptors_than_were_told_keep_out_nothing() {
  Running::Options options;
  options.system = 64;
  idle_clients_keep_out_nothing(options);
}

// A process is started again while the one before is on its way out, its listener not shut yet: it waits for
// it, also after it was told to end meanwhile, and gives up once that one would have been killed.
void a_process_that_is_started_again_waits_for_the_one_before() {
  Listener endpoint(2);
  auto predecessor = std::make_unique<Running>(entry("a", endpoint.address));
  Running::Options options;
  options.number = 1, options.discovery = &predecessor->discovery();
  Running next(entry("a", endpoint.address), options);
  Listener other(8);
  options.number = 2, options.discovery = &other;
  Running notified(entry("a", endpoint.address), options);
  assert(other.connection_waits(5));  // its listener is the last that it opens
  notified.terminate();
  assert(notified.exit_code(3) == 0);
  predecessor->terminate();
  assert(predecessor->exit_code(2) == 0);
  double until = now() + 5;
  while (next.status_of("GET /healthz HTTP/1.1\r\n\r\n") != 200 && now() < until) sleep_for(0.01);
  assert(goes_to(endpoint, next, "1"));
  Running never(entry("a", endpoint.address), options);
  assert(never.exit_code(9) == 1);
}

// At the end of the time in which a leaving process lets clients in there is no room for one who waits at its
// listener: shut over it, the system would reset a request that it has taken.
void a_listener_that_is_shut_lets_in_who_waits_there_once_there_is_room() {
  Running sidecar(entry("a", here(4) + ":1"), R"({"sockets":64,"memory_mb":64})");
  std::vector<Line> clients;
  for (int i = 0; i < 20; ++i) {  // half of the descriptors that are not kept out
    clients.emplace_back(sidecar.listen);
    clients.back().say("POST /write HTTP/1.1\r\nX-Correlation-Id: s" + std::to_string(i) +
                       "\r\nContent-Length: 20\r\n\r\n");
  }
  sidecar.terminate();
  sleep_for(0.1);
  Line late(sidecar.listen);
  late.say(get());
  for (int i = 0; i < 20; ++i) {  // a byte now and then: none of them makes room
    for (Line& client : clients) client.say("x");
    sleep_for(0.04);
  }
  for (Line& client : clients) assert(client.answer_status() == 503);
  assert(late.answer_status() == 503 && sidecar.exit_code(4) == 0);
}

// Clients that ask once and stay came faster than they were shut, one at a time and only once somebody
// knocked: who came next waited at the listener for seconds.
void a_crowd_that_asks_once_and_stays_holds_nobody_up_at_the_listener() {
  Running sidecar(entry("a", here(4) + ":1"), R"({"sockets":128,"memory_mb":64})");
  std::atomic<bool> over = false;
  std::thread crowding([&] {
    std::vector<Line> crowd;
    for (; !over; sleep_for(0.004)) {
      crowd.emplace_back(sidecar.listen);
      crowd.back().say("GET /healthz HTTP/1.1\r\n\r\n");
    }
    assert(crowd.size() > 300);
  });
  double longest = 0;
  for (double until = now() + 2; now() < until; sleep_for(0.02)) {
    double begun = now();
    assert(sidecar.status_of("GET /healthz HTTP/1.1\r\n\r\n") == 200);
    longest = std::max(longest, now() - begun);
  }
  over = true;
  crowding.join();
  assert(longest < 0.5);
}

double notified(const HttpMessage& request) {
  return parse_remaining_deadline(request.header("X-Time-Left")).value_or(9);
}

// What lay unread for a while has that much less time: its attempts told more than was left to its client.
void time_spent_at_the_listener_or_behind_another_request_is_not_told_again() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), R"({"sockets":64,"memory_mb":64})");
  {
    Line client(sidecar.listen);
    client.say(get("X-Time-Left: 900m\r\n", "1") + get("X-Time-Left: 900m\r\n", "2"));
    auto [attempt, request] = endpoint.take_request();
    assert(notified(request) > 0.5);
    sleep_for(0.4);
    attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(notified(endpoint.take_request().second) < 0.55);
  }
  std::vector<Line> clients;  // as many as there are places for, each with half an upload
  for (int i = 0; i < 20; ++i) {
    clients.emplace_back(sidecar.listen);
    clients.back().say("POST /write HTTP/1.1\r\nX-Correlation-Id: s" + std::to_string(i) +
                       "\r\nContent-Length: 200\r\n\r\n");
  }
  sleep_for(0.1);
  Line late(sidecar.listen);
  late.say(get("X-Time-Left: 900m\r\n"));
  for (int i = 0; i < 10; ++i) {  // a byte now and then: none of them makes room
    for (Line& client : clients) client.say("x");
    sleep_for(0.04);
  }
  clients.pop_back();
  assert(notified(endpoint.take_request().second) < 0.55);
}

// An answer that never ends, a few bytes at a time: its client waited for it for ever.
void an_answer_that_never_ends_is_cut_once_its_time_is_over() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  for (bool sized : {false, true}) {
    Line client(sidecar.listen);
    double begun = now();
    client.say(post("x"));
    auto [attempt, request] = endpoint.take_request();
    attempt.say(sized ? "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" : kWatching);
    while (attempt.say(sized ? "x" : chunk("x")) && now() < begun + 2.5) sleep_for(0.05);
    assert(now() - begun < 1.45 && client.ended(0.2));  // client timeout 1 s, half a second after it is lost
  }
}

// Want of descriptors of its own was put down to the endpoints, and one of them left out for it.
void want_of_descriptors_blames_no_endpoint() {
  std::vector<std::unique_ptr<Listener>> endpoints;
  std::string list;
  for (int i = 0; i < 4; ++i) {
    endpoints.push_back(std::make_unique<Listener>(100 + i));
    list += (i ? "," : "") + entry("e" + std::to_string(i), endpoints.back()->address);
  }
  // With time enough that nobody is taken for silent meanwhile, on a busy machine either.
  Running sidecar(list, Running::Options{.limits = R"({"sockets":64,"memory_mb":64})",
                                         .client_timeout = "20",
                                         .latency_objective = "10"});
  std::vector<Line> clients, attempts;
  auto ask = [&](const std::string& id) {
    clients.emplace_back(sidecar.listen);
    clients.back().say("POST /write HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
  };
  for (int i = 0; i < 20; ++i)
    ask("d" + std::to_string(i));  // more than there are descriptors to send all on
  for (auto& each : endpoints) {
    while (each->connection_waits(0.02)) attempts.push_back(each->take());
  }
  assert(attempts.size() > 10 && attempts.size() < 20);
  clients.clear();  // they leave, and with them all that was out
  for (Line& attempt : attempts) assert(attempt.ended(1));
  for (int i = 0; i < 4; ++i) ask("e" + std::to_string(i));
  for (auto& each : endpoints) assert(each->connection_waits(0.3));  // by depth: one at each
}

// A discovery that tells whoever asks one whole list, the same to each.
class Agent {
 public:
  Agent(Listener& listener, std::string entries)
      : listener_(listener), entries_(std::move(entries)), serving_([this] { serve(); }) {}
  ~Agent() {
    over_ = true;
    serving_.join();
  }
  int notified() const { return notified_; }
  void wait_for(int more) const {
    int before = notified_;
    for (double until = now() + 6; notified_ < before + more && now() < until;) sleep_for(0.02);
    assert(notified_ >= before + more);
  }

 private:
  void serve() {
    std::vector<Line> watches;
    while (!over_) {
      if (!listener_.connection_waits(0.05)) continue;
      watches.push_back(listener_.take());
      if (watches.back().hear(Side::Request))
        watches.back().say(kWatching + list_of(8, entries_)), ++notified_;
    }
  }
  Listener& listener_;
  const std::string entries_;
  std::atomic<int> notified_ = 0;
  std::atomic<bool> over_ = false;
  std::thread serving_;
};

// An old name is still listed, leaving or not known to be gone, at the address that a new one has taken. Each
// time that the list came the address was passed to and fro, and the new one's connections were closed.
void two_names_at_one_address_do_not_take_it_from_each_other() {
  for (const char* status : {"leaving", "active"}) {
    Listener discovery(9), endpoint(2);
    Running::Options options;
    options.discovery = &discovery;
    std::string fresh = entry("new", endpoint.address);
    fresh.replace(fresh.find(R"("since_ms":0)"), 12, R"("since_ms":1700000000000)");
    Agent agent(discovery, fresh + "," + entry("old", endpoint.address, status));
    Running sidecar(entry("new", endpoint.address), options);
    auto ask = [&](const std::string& id, Line& attempt) {
      Line client(sidecar.listen);
      client.say(get("", id));
      if (!attempt.anything(1)) return false;
      return attempt.hear(Side::Request) && attempt.say(ok("x")) && client.answer_status() == 200;
    };
    Line first(sidecar.listen);
    first.say(get("", "0"));
    auto [attempt, request] = endpoint.take_request();
    attempt.say(ok("x"));
    assert(first.answer_status() == 200);
    for (int i = 1, until = agent.notified() + 2; agent.notified() < until; ++i) {
      sleep_for(0.3);
      assert(i < 20 && ask(std::to_string(i), attempt));
    }
    assert(!endpoint.connection_waits(0));
  }
}

// Taken back by order it is in slow start from then on. The list, which comes again and again and knows
// nothing of that, made it warm, and half of all went there at once.
void an_endpoint_taken_back_stays_in_slow_start_though_the_list_comes_again() {
  Listener discovery(9), one(2), other(3);
  Running::Options options;
  options.discovery = &discovery, options.admin = here(8) + ":5008";
  const std::string entries = entry("a", one.address) + "," + entry("b", other.address);
  Agent agent(discovery, entries);
  Running sidecar(entries, options);
  auto order = [&](const std::string& what) {
    Line line(options.admin);
    line.say("PUT /api/" + what + " HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
    return line.answer_status() == 200;
  };
  assert(order("exclude") && order("include"));
  agent.wait_for(2);
  int there = 0;
  for (int i = 0; i < 40; ++i) {
    Line client(sidecar.listen);
    client.say(get("", std::to_string(i)));
    while (!one.connection_waits(0.001) && !other.connection_waits(0.001)) {
    }
    bool at_one = one.connection_waits(0);
    Line attempt = (at_one ? one : other).take();
    assert(attempt.hear(Side::Request) &&
           attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") &&
           client.answer_status() == 200);
    there += at_one;
  }
  assert(there < 12);  // a cold one's share is a tenth at first
}

// A pool that has ended is let go of in the turn that finds its last alarms overdue as well, after a stall:
// they ran on what was no longer there, and the process was gone with all requests in hand.
void alarms_that_a_stall_has_made_late_touch_no_pool_that_is_gone() {
  simdjson::dom::parser parser;
  const std::string settings = Running::settings("3");
  Log log(std::cerr, Level::Error);
  Loop loop(log, 64);
  ConnectionLimiter limiter(loop, 1 << 20);
  std::size_t ended = 0;
  std::vector<std::unique_ptr<RequestForwarder>> pools;
  for (unsigned i = 0; i < 50; ++i)
    pools.push_back(std::make_unique<RequestForwarder>(loop, limiter, read_deployment(parser.parse(settings)),
                                                       i, make_policy));
  loop.at(loop.now() + 0.02, [&] {
    for (auto& pool : pools) pool->retire({});
    sleep_for(2.1);
    for (auto& pool : pools) ended += pool->can_be_destroyed();
    pools.clear();
  });
  loop.at(loop.now() + 2.5, [&] { loop.quit(); });
  loop.run();
  assert(ended == 50);
}

}  // namespace

// With a test's name after the program's, that one alone.
int main(int count, char** words) {
  assert(count == 2 || count == 3);
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  struct {
    const char* name;
    void (*serve)();
  } const test_cases[] = {
#define TEST_CASE(name) {#name, name}
      TEST_CASE(an_answer_without_a_length_is_whole_at_an_end_and_a_part_at_a_reset),
      TEST_CASE(an_answer_passed_on_and_reset_is_cut_for_its_client_too),
      TEST_CASE(a_request_whose_client_has_gone_when_it_is_read_is_not_sent_on),
      TEST_CASE(a_retry_and_its_clients_end_in_one_turn_send_nothing),
      TEST_CASE(a_client_that_sent_much_ahead_and_left_is_seen_to_leave),
      TEST_CASE(a_connection_that_comes_up_when_its_client_has_left_carries_nothing),
      TEST_CASE(a_connection_found_up_after_its_time_is_over_carries_nothing),
      TEST_CASE(a_connection_that_comes_up_late_carries_the_next_request),
      TEST_CASE(a_request_whose_connection_does_not_come_up_goes_on_another),
      TEST_CASE(a_connection_that_comes_up_at_one_told_to_leave_is_closed),
      TEST_CASE(a_second_answer_that_comes_late_is_nobodys),
      TEST_CASE(an_upload_that_turns_to_nonsense_is_told_so),
      TEST_CASE(a_resting_connection_is_shut_before_it_is_closed),
      TEST_CASE(a_change_is_heard_in_time_whatever_became_of_the_calls),
      TEST_CASE(an_index_that_goes_back_and_a_list_that_is_empty_are_asked_for_again),
      TEST_CASE(a_new_process_is_ready_once_it_has_heard_the_list_or_found_discovery_silent),
      TEST_CASE(idle_clients_that_fill_the_descriptors_keep_out_nothing),
      TEST_CASE(fewer_descriptors_than_were_told_keep_out_nothing),
      TEST_CASE(a_process_that_is_started_again_waits_for_the_one_before),
      TEST_CASE(alarms_that_a_stall_has_made_late_touch_no_pool_that_is_gone),
      TEST_CASE(a_listener_that_is_shut_lets_in_who_waits_there_once_there_is_room),
      TEST_CASE(a_crowd_that_asks_once_and_stays_holds_nobody_up_at_the_listener),
      TEST_CASE(time_spent_at_the_listener_or_behind_another_request_is_not_told_again),
      TEST_CASE(an_answer_that_never_ends_is_cut_once_its_time_is_over),
      TEST_CASE(want_of_descriptors_blames_no_endpoint),
      TEST_CASE(two_names_at_one_address_do_not_take_it_from_each_other),
      TEST_CASE(an_endpoint_taken_back_stays_in_slow_start_though_the_list_comes_again),
#undef TEST_CASE
  };
  int notified = 0;
  for (const auto& test_case : test_cases) {
    if (count == 3 && std::string(words[2]) != test_case.name) continue;
    test_case.serve(), ++notified;
  }
  assert(notified > 0);
  std::printf("all %d stories hold\n", notified);
}
