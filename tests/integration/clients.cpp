// Tests of clients and their connections, on real sockets: clients that stop, leave or send ahead, and what
// becomes of the requests that they have sent.
#include <functional>
#include <vector>

#include "testing/answering.h"
#include "testing/faults/faults.h"
#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;
using Side = HttpReader::Side;

namespace {

std::string library;  // the path of testing/faults', from the command line

constexpr double kOwedWithin = 3;       // seconds that a bad client is owed its error or close within
constexpr double kRoomForStalls = 0.5;  // of them
constexpr double kSlowHead = 2;         // seconds that an honest client may take for its head

// Seconds until it hears something, or its connection's end.
double waits(Line& downstream, double since) {
  bool heard = downstream.anything(since + 4 - now());
  assert(heard);
  return now() - since;
}

// Each was told between 2.3 and 2.85 s after it had stopped: a stall on top was too much.
void a_client_that_stops_amid_its_request_is_told_with_time_to_spare() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  const std::string head = "POST /write HTTP/1.1\r\nX-Correlation-Id: 1\r\n";
  const std::string forms[] = {"",
                               "G",
                               "GET /read HT",
                               "GET /read HTTP/1.1\r\nX-Part",
                               "GET /read HTTP/1.1\r\nX-Correlation-Id: 1\r\n",
                               head + "Content-Length: 9\r\n\r\nhalf",
                               head + "Transfer-Encoding: chunked\r\n\r\n4\r\nha"};
  std::vector<Line> clients;
  for (const std::string& form : forms) {
    clients.emplace_back(sidecar.listen);
    clients.back().say(form);
  }
  Line resting(sidecar.listen);
  resting.say("GET /healthz HTTP/1.1\r\n\r\n");
  assert(resting.answer_status() == 200);
  resting.say("GET /read HT");
  double stopped = now();
  for (Line& downstream : clients) assert(waits(downstream, stopped) < kOwedWithin - kRoomForStalls);
  assert(waits(resting, stopped) < kOwedWithin - kRoomForStalls);
}

void a_client_that_takes_two_seconds_for_its_head_is_served() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line downstream(sidecar.listen);
  const std::string request = get();
  double begun = now();
  for (std::size_t i = 0; i < request.size(); ++i) {
    downstream.say(request.substr(i, 1));
    sleep_for(begun + kSlowHead * double(i + 1) / double(request.size()) - now());
  }
  endpoint.take_request().first.say(ok("x"));
  assert(downstream.answer_status() == 200);
}

// Many requests at once, each as long as that.
std::string many(int count, std::size_t each) {
  std::string all;
  for (int i = 0; i < count; ++i)
    all += get("X-Pad: " + std::string(each, 'p') + "\r\n", "m" + std::to_string(i));
  return all;
}

// More was sent ahead than the system holds unread, so that the end behind it had not come here yet: what
// followed, a retry or the next request, was sent on for nobody.
void an_end_behind_more_than_the_system_holds_keeps_attempts_back() {
  constexpr std::size_t kMuch = 2 << 20;
  for (bool retried : {true, false}) {
    Listener one(2), other(3);
    Running sidecar(entry("a", one.address) + "," + entry("b", other.address),
                    Running::Options{.client_timeout = "3.0"});
    Line downstream(sidecar.listen);
    downstream.say(get("", "first"));
    for (double until = now() + 3; !one.connection_waits(0) && !other.connection_waits(0);)
      assert(now() < until);
    bool at_one = one.connection_waits(0);
    auto [attempt, request] = (at_one ? one : other).take_request();
    std::string ahead = many(1000, 8000);
    assert(downstream.say_what_fits(ahead) < ahead.size());
    assert(ahead.size() > kMuch);
    downstream.shut();
    sleep_for(0.15);  // over the time that an attempt may still begin in
    attempt.say(retried ? "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n" : ok("x"));
    assert(!one.connection_waits(0.3) && !other.connection_waits(0.3) && !attempt.hear(Side::Request));
  }
}

// Who sends much ahead and stays gets an answer to each, if it is read ahead whole what it asked for.
void a_client_that_sends_much_ahead_and_stays_gets_an_answer_to_each() {
  for (int count : {20, 60}) {
    Answering endpoint(2);
    Running sidecar(entry("a", endpoint.listener.address), Running::Options{.client_timeout = "3.0"});
    Line downstream(sidecar.listen);
    std::thread saying([&] { downstream.say(many(count, 8000)); });
    for (int i = 0; i < count; ++i) {
      int status = downstream.answer_status();
      assert(status == 200 || (count > 30 && status == 503));
    }
    saying.join();
  }
}

// A request was answered as the last one on its connection, and what had been read behind it was dropped.
void what_lies_behind_a_last_answer_is_answered_too() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line downstream(sidecar.listen);
  downstream.say("GET /other HTTP/1.1\r\n\r\n" + get());
  assert(downstream.answer_status() == 404);
  {
    auto [attempt, request] = endpoint.take_request();
    attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(downstream.answer_status() == 200);
  }
  Line idle(sidecar.listen), busy(sidecar.listen);
  for (Line* one : {&idle, &busy}) one->say("GET /healthz HTTP/1.1\r\n\r\n");
  for (Line* one : {&idle, &busy}) assert(one->answer_status() == 200);
  double told_to_end = now();
  sidecar.terminate();
  sleep_for(told_to_end + 0.9 - now());
  busy.say(get("", "1"));
  auto [attempt, request] = endpoint.take_request();
  assert(idle.closed(3));  // from here on each answer is the last
  busy.say(get("", "2"));
  sleep_for(0.05);
  attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  assert(busy.answer_status() == 200);
  auto [second, asked] = endpoint.take_request();
  second.say(ok("x"));
  auto answer = busy.hear(Side::Response);
  assert(answer && answer->status == 200 && !answer->keep_alive);
}

// New connections that had said nothing for a while were closed to make room, though their requests lay
// unread by then.
void a_new_connection_with_an_unread_request_makes_no_room() {
  constexpr int kPlaces = 20;  // half of the descriptors that are not kept out, or fewer
  Faults faults(library);
  Running sidecar(entry("a", here(4) + ":1"), Running::Options{.limits = R"({"sockets":64,"memory_mb":64})",
                                                               .environment = faults.environment()});
  faults.change("accept stall=0.3 only=tcp n=" + std::to_string(kPlaces / 2));
  std::vector<Line> clients;
  for (int i = 0; i < kPlaces + 1; ++i) clients.emplace_back(sidecar.listen);
  for (double until = now() + 3; faults.played("accept stall") == 0; sleep_for(0.01)) assert(now() < until);
  sleep_for(0.15);  // past the time that a new connection has when all is full
  for (std::size_t i = 0; i < clients.size(); ++i) clients[i].say(get("", "n" + std::to_string(i)));
  for (Line& downstream : clients) assert(downstream.answer_status() == 503);
}

// What crosses the end of a resting connection is never read: its client sends it again elsewhere.
bool ends_unread(Line& downstream) {
  if (!downstream.closed(4) || !downstream.say(get("", "crosses"))) return false;
  return downstream.was_reset(3);  // as a close over unread bytes does
}

void a_request_that_crosses_the_end_of_a_resting_connection_is_not_read() {
  Listener endpoint(2);
  {
    Running sidecar(entry("a", endpoint.address));
    Line fresh(sidecar.listen);  // says nothing for as long as it may
    assert(ends_unread(fresh));
  }
  Running sidecar(entry("a", endpoint.address));
  Line resting(sidecar.listen), fresh(sidecar.listen);
  resting.say("GET /healthz HTTP/1.1\r\n\r\n");
  assert(resting.answer_status() == 200);
  sidecar.terminate();
  std::thread other([&] { assert(ends_unread(fresh)); });
  assert(ends_unread(resting));
  other.join();
  assert(!endpoint.connection_waits(0));
}

// ---- the time that an attempt is told

constexpr double kSlack = 0.15;     // seconds that an attempt may be told more than is left
constexpr double kStall = 0.15;     // that a sidecar may be held up for between reading its clock and writing
constexpr double kToldLess = 0.02;  // so that the slack covers such a stall and what else goes by
double notified(const HttpMessage& request) {
  return parse_remaining_deadline(request.header("X-Time-Left")).value_or(9);
}

void an_attempt_is_told_less_than_is_left() {
  Listener endpoint(2);
  Faults faults(library);
  Running sidecar(entry("a", endpoint.address), Running::Options{.environment = faults.environment()});
  Line downstream(sidecar.listen);
  downstream.say(get("X-Time-Left: 900m\r\n"));
  auto [attempt, request] = endpoint.take_request();
  assert(notified(request) < 0.9 - kToldLess && notified(request) > 0.6);
  attempt.say(ok("x"));
  assert(downstream.answer_status() == 200);
  settle();
  faults.change("send stall=" + std::to_string(kStall) + " only=tcp");
  downstream.say(get("X-Time-Left: 900m\r\n"));
  auto stalled = attempt.hear(Side::Request);
  // By figures alone: the time that this test itself was held up is not the sidecar's.
  assert(stalled && faults.played("send stall") > 0 &&
         notified(*stalled) + kStall < 0.9 - kToldLess + kSlack);
}

// It lay behind another one, and came while the sidecar had no core: of that time nothing was taken off.
void what_came_in_a_stall_behind_another_request_is_told_what_is_left() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line downstream(sidecar.listen);
  downstream.say(get("X-Time-Left: 900m\r\n", "1"));
  auto [attempt, request] = endpoint.take_request();
  double sent = now();
  sidecar.stall([&] { downstream.say(get("X-Time-Left: 900m\r\n", "2")), sleep_for(0.3); });
  sleep_for(0.1);
  attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  assert(notified(endpoint.take_request().second) < 0.9 - (now() - sent) + kSlack);
}

// A body that went on in parts and was sent whole before a connection was up: its time ran, and the full
// time was told.
void a_streamed_request_whose_connection_comes_up_late_is_told_what_is_left() {
  for (std::size_t size : {std::size_t{100}, std::size_t{(2 << 20) + 100000}}) {
    Listener endpoint(2, 0);
    Line filling(endpoint.address);
    Running sidecar(entry("a", endpoint.address),
                    Running::Options{.limits = R"({"sockets":1024,"memory_mb":32})",
                                     .connect_timeout = "2.8",
                                     .client_timeout = "3.0"});
    Line downstream(sidecar.listen);
    downstream.say(post(std::string(size, 'x'), "X-Time-Left: 2800m\r\n"));
    double sent = now();
    sleep_for(0.3);
    endpoint.take();
    std::string head = endpoint.take().text_until("\r\n\r\n", 2);
    std::size_t at = head.find("X-Time-Left: ") + 13;
    assert(now() - sent > 0.5 && at > 13);
    assert(parse_remaining_deadline(head.substr(at, head.find("\r\n", at) - at)).value_or(9) <
           2.8 - (now() - sent) + kSlack);
  }
}

// A retry after a refusal, and a hedge of a request that an endpoint sits on.
void retries_and_hedged_requests_are_told_what_is_left() {
  for (bool hedged : {false, true}) {
    Listener one(2), other(3);
    Running sidecar(entry("a", one.address) + "," + entry("b", other.address));
    Line downstream(sidecar.listen);
    double sent = now();
    downstream.say(get("X-Time-Left: 950m\r\n"));
    for (double until = now() + 3; !one.connection_waits(0) && !other.connection_waits(0);)
      assert(now() < until);
    bool at_one = one.connection_waits(0);
    auto [first, request] = (at_one ? one : other).take_request();
    if (!hedged) sleep_for(0.4);
    if (!hedged) first.say("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    auto [second, again] = (at_one ? other : one).take_request();
    assert(notified(again) < 0.95 - (now() - sent) + kSlack);
    second.say(ok("x"));
    assert(downstream.answer_status() == 200);
  }
}

// ---- final answers

// Whatever endpoints do, and whoever else comes in, each request has its answer by half a second after its
// time, and an endpoint that drops what has little time left is not put down for it.
void trouble_at_endpoints_and_with_others_frees_no_request_of_its_answer() {
  Listener endpoint(2, 64);
  Running sidecar(entry("a", endpoint.address), R"({"sockets":128,"memory_mb":64})");
  std::vector<Line> others;
  for (int i = 0; i < 30; ++i) {
    others.emplace_back(sidecar.listen);
    others.back().say(i % 3 ? "GET /read HTTP/1.1\r\nX-Part: " : "nonsense\r\n\r\n");
  }
  const std::function<void(Line&)> manners[] = {
      [](Line& attempt) { attempt.reset(); },
      [](Line& attempt) { attempt.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), attempt.reset(); },
      [](Line& attempt) { attempt.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); },
      [](Line& attempt) { attempt.say("nonsense\r\n\r\n"); },
      [](Line& attempt) { attempt.say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); },
      [](Line&) {}};
  int number = 0;
  for (const auto& act : manners) {
    for (const char* time : {"20m", "600m"}) {
      Line downstream(sidecar.listen);
      double sent = now();
      downstream.say(get("X-Time-Left: " + std::string(time) + "\r\n", "t" + std::to_string(++number)));
      std::vector<Line> attempts;
      while (!downstream.anything(0.005)) {
        if (endpoint.connection_waits(0)) {
          attempts.push_back(endpoint.take());
          if (attempts.back().hear(Side::Request)) act(attempts.back());
        }
        assert(now() - sent < *parse_remaining_deadline(time) + 0.45);
      }
      int status = downstream.answer_status();
      assert(status == 502 || status == 503);
    }
  }
}

// Idle connections that were dropped without a word, reset or closed, and the hedge or retry failing at once:
// one final answer, and no attempt beyond what the settings allow.
void kept_connections_that_are_gone_cost_no_request_its_answer() {
  enum class Gone { Forgotten, Reset, Closed };
  for (Gone gone : {Gone::Forgotten, Gone::Reset, Gone::Closed}) {
    Listener one(2), other(3);
    Running sidecar(entry("a", one.address) + "," + entry("b", other.address));
    std::vector<Line> kept;
    std::vector<Line> clients;
    for (int i = 0; i < 2; ++i) {  // both at once: one at each
      clients.emplace_back(sidecar.listen);
      clients.back().say(get("", "k" + std::to_string(i)));
    }
    kept.push_back(one.take_request().first), kept.push_back(other.take_request().first);
    for (Line& attempt : kept) attempt.say(ok("x"));
    for (Line& downstream : clients) assert(downstream.answer_status() == 200);
    settle();
    double sent = now();
    if (gone == Gone::Reset) sidecar.stall([&] { clients[0].say(get()), kept[0].reset(), kept[1].reset(); });
    else if (gone == Gone::Closed)
      sidecar.stall([&] { clients[0].say(get()), kept[0].shut(), kept[1].shut(); });
    else clients[0].say(get());
    int attempts = 0;
    std::vector<Line> fresh;
    while (!clients[0].anything(0.005)) {  // what comes on a new connection is reset at once
      for (Listener* at : {&one, &other}) {
        if (!at->connection_waits(0)) continue;
        fresh.push_back(at->take());
        if (fresh.back().hear(Side::Request)) ++attempts, fresh.back().reset();
      }
      assert(now() - sent < 1.45);
    }
    int status = clients[0].answer_status();
    assert((status == 502 || status == 503) && attempts <= 3);
    for (Line& attempt : kept) attempt.shut();
    fresh.clear();
    clients[1].say(get("", "after"));  // and the next one is served, if an endpoint does by then
    while (!clients[1].anything(0.005)) {
      for (Listener* at : {&one, &other}) {
        if (!at->connection_waits(0)) continue;
        fresh.push_back(at->take());
        if (fresh.back().hear(Side::Request)) fresh.back().say(ok("x"));
      }
    }
    assert(clients[1].answer_status() == 200);
  }
}

// Endpoints drop without a word what has very little time left: it has its answer, and they stay in use.
void requests_with_little_time_left_that_are_dropped_have_their_answer() {
  Listener one(2, 64), other(3, 64);
  Running sidecar(entry("a", one.address) + "," + entry("b", other.address));
  std::vector<Line> dropped;
  for (int i = 0; i < 30; ++i) {
    Line downstream(sidecar.listen);
    double sent = now();
    downstream.say(get("X-Time-Left: " + std::to_string(i % 6) + "m\r\n", "l" + std::to_string(i)));
    while (!downstream.anything(0.001)) {
      for (Listener* at : {&one, &other}) {
        if (at->connection_waits(0)) dropped.push_back(at->take());
      }
      assert(now() - sent < 0.3);
    }
    int status = downstream.answer_status();
    assert(status == 502 || status == 503);
  }
  dropped.clear();
  while (one.connection_waits(0)) one.take();
  while (other.connection_waits(0)) other.take();
  std::vector<Line> clients;
  for (int i = 0; i < 2; ++i) {
    clients.emplace_back(sidecar.listen);
    clients.back().say(get("", "u" + std::to_string(i)));
  }
  assert(one.connection_waits(0.3) && other.connection_waits(0.3));  // by depth: one at each
}

}  // namespace

// With a test's name after the program's and the library's, that one alone.
int main(int count, char** words) {
  assert(count == 3 || count == 4);
  program = words[1], library = words[2];
  signal(SIGPIPE, SIG_IGN);
  struct {
    const char* name;
    void (*tell)();
  } const stories[] = {
#define STORY(name) {#name, name}
      STORY(a_client_that_stops_amid_its_request_is_told_with_time_to_spare),
      STORY(a_client_that_takes_two_seconds_for_its_head_is_served),
      STORY(an_end_behind_more_than_the_system_holds_keeps_attempts_back),
      STORY(a_client_that_sends_much_ahead_and_stays_gets_an_answer_to_each),
      STORY(what_lies_behind_a_last_answer_is_answered_too),
      STORY(a_new_connection_with_an_unread_request_makes_no_room),
      STORY(a_request_that_crosses_the_end_of_a_resting_connection_is_not_read),
      STORY(an_attempt_is_told_less_than_is_left),
      STORY(what_came_in_a_stall_behind_another_request_is_told_what_is_left),
      STORY(a_streamed_request_whose_connection_comes_up_late_is_told_what_is_left),
      STORY(retries_and_hedged_requests_are_told_what_is_left),
      STORY(trouble_at_endpoints_and_with_others_frees_no_request_of_its_answer),
      STORY(kept_connections_that_are_gone_cost_no_request_its_answer),
      STORY(requests_with_little_time_left_that_are_dropped_have_their_answer),
#undef STORY
  };
  int notified = 0;
  for (const auto& story : stories) {
    if (count == 4 && std::string(words[3]) != story.name) continue;
    story.tell(), ++notified;
  }
  assert(notified > 0);
  std::printf("all %d stories hold\n", notified);
}
