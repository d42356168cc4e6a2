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
double waits(TestConnection& downstream, double since) {
  bool heard = downstream.has_input_within(since + 4 - now());
  assert(heard);
  return now() - since;
}

// Each was told between 2.3 and 2.85 s after it had stopped: a stall on top was too much.
void incomplete_request_is_rejected_well_before_the_time_limit() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  const std::string head = "POST /write HTTP/1.1\r\nX-Correlation-Id: 1\r\n";
  const std::string forms[] = {"",
                               "G",
                               "GET /read HT",
                               "GET /read HTTP/1.1\r\nX-Part",
                               "GET /read HTTP/1.1\r\nX-Correlation-Id: 1\r\n",
                               head + "Content-Length: 9\r\n\r\nhalf",
                               head + "Transfer-Encoding: chunked\r\n\r\n4\r\nha"};
  std::vector<TestConnection> clients;
  for (const std::string& form : forms) {
    clients.emplace_back(sidecar.listen);
    clients.back().send_text(form);
  }
  TestConnection resting(sidecar.listen);
  resting.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(resting.response_status() == 200);
  resting.send_text("GET /read HT");
  double stopped = now();
  for (TestConnection& downstream : clients)
    assert(waits(downstream, stopped) < kOwedWithin - kRoomForStalls);
  assert(waits(resting, stopped) < kOwedWithin - kRoomForStalls);
}

void client_that_sends_its_head_in_two_seconds_is_served() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection downstream(sidecar.listen);
  const std::string request = get_request();
  double begun = now();
  for (std::size_t i = 0; i < request.size(); ++i) {
    downstream.send_text(request.substr(i, 1));
    sleep_for(begun + kSlowHead * double(i + 1) / double(request.size()) - now());
  }
  endpoint.accept_request().first.send_text(ok_response("x"));
  assert(downstream.response_status() == 200);
}

// Many requests at once, each as long as that.
std::string many(int count, std::size_t each) {
  std::string all;
  for (int i = 0; i < count; ++i)
    all += get_request("X-Pad: " + std::string(each, 'p') + "\r\n", "m" + std::to_string(i));
  return all;
}

// More was sent ahead than the system holds unread, so that the end behind it had not come here yet: what
// followed, a retry or the next request, was sent on for nobody.
void disconnect_behind_a_full_receive_buffer_prevents_further_attempts() {
  constexpr std::size_t kMuch = 2 << 20;
  for (bool retried : {true, false}) {
    Listener one(2), other(3);
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address),
                           SidecarProcess::Options{.client_timeout = "3.0"});
    TestConnection downstream(sidecar.listen);
    downstream.send_text(get_request("", "first"));
    for (double until = now() + 3; !one.has_connection_within(0) && !other.has_connection_within(0);)
      assert(now() < until);
    bool at_one = one.has_connection_within(0);
    auto [attempt, request] = (at_one ? one : other).accept_request();
    std::string ahead = many(1000, 8000);
    assert(downstream.send_what_fits(ahead) < ahead.size());
    assert(ahead.size() > kMuch);
    downstream.disconnect();
    sleep_for(0.15);  // over the time that an attempt may still begin in
    attempt.send_text(retried ? "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
                              : ok_response("x"));
    assert(!one.has_connection_within(0.3) && !other.has_connection_within(0.3) &&
           !attempt.receive_message(Side::Request));
  }
}

// Who sends much ahead and stays gets an answer to each, if it is read ahead whole what it asked for.
void every_pipelined_request_of_a_connected_client_is_answered() {
  for (int count : {20, 60}) {
    AnsweringEndpoint endpoint(2);
    SidecarProcess sidecar(list_entry_json("a", endpoint.listener.address),
                           SidecarProcess::Options{.client_timeout = "3.0"});
    TestConnection downstream(sidecar.listen);
    std::thread saying([&] { downstream.send_text(many(count, 8000)); });
    for (int i = 0; i < count; ++i) {
      int status = downstream.response_status();
      assert(status == 200 || (count > 30 && status == 503));
    }
    saying.join();
  }
}

// A request was answered as the last one on its connection, and what had been read behind it was dropped.
void requests_pipelined_behind_a_closing_response_are_answered() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection downstream(sidecar.listen);
  downstream.send_text("GET /other HTTP/1.1\r\n\r\n" + get_request());
  assert(downstream.response_status() == 404);
  {
    auto [attempt, request] = endpoint.accept_request();
    attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(downstream.response_status() == 200);
  }
  TestConnection idle(sidecar.listen), busy(sidecar.listen);
  for (TestConnection* one : {&idle, &busy}) one->send_text("GET /healthz HTTP/1.1\r\n\r\n");
  for (TestConnection* one : {&idle, &busy}) assert(one->response_status() == 200);
  double told_to_end = now();
  sidecar.terminate();
  sleep_for(told_to_end + 0.9 - now());
  busy.send_text(get_request("", "1"));
  auto [attempt, request] = endpoint.accept_request();
  assert(idle.closes_within(3));  // from here on each answer is the last
  busy.send_text(get_request("", "2"));
  sleep_for(0.05);
  attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  assert(busy.response_status() == 200);
  auto [second, asked] = endpoint.accept_request();
  second.send_text(ok_response("x"));
  auto answer = busy.receive_message(Side::Response);
  assert(answer && answer->status == 200 && !answer->keep_alive);
}

// New connections that had said nothing for a while were closed to make room, though their requests lay
// unread by then.
void new_connection_with_an_unread_request_is_not_reclaimed() {
  constexpr int kPlaces = 20;  // half of the descriptors that are not kept out, or fewer
  Faults faults(library);
  SidecarProcess sidecar(list_entry_json("a", loopback_address(4) + ":1"),
                         SidecarProcess::Options{.limits = R"({"sockets":64,"memory_mb":64})",
                                                 .environment = faults.environment()});
  faults.change("accept stall=0.3 only=tcp n=" + std::to_string(kPlaces / 2));
  std::vector<TestConnection> clients;
  for (int i = 0; i < kPlaces + 1; ++i) clients.emplace_back(sidecar.listen);
  for (double until = now() + 3; faults.played("accept stall") == 0; sleep_for(0.01)) assert(now() < until);
  sleep_for(0.15);  // past the time that a new connection has when all is full
  for (std::size_t i = 0; i < clients.size(); ++i)
    clients[i].send_text(get_request("", "n" + std::to_string(i)));
  for (TestConnection& downstream : clients) assert(downstream.response_status() == 503);
}

// What crosses the end of a resting connection is never read: its client sends it again elsewhere.
bool ends_unread(TestConnection& downstream) {
  if (!downstream.closes_within(4) || !downstream.send_text(get_request("", "crosses"))) return false;
  return downstream.is_reset_within(3);  // as a close over unread bytes does
}

void request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
  Listener endpoint(2);
  {
    SidecarProcess sidecar(list_entry_json("a", endpoint.address));
    TestConnection fresh(sidecar.listen);  // says nothing for as long as it may
    assert(ends_unread(fresh));
  }
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection resting(sidecar.listen), fresh(sidecar.listen);
  resting.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(resting.response_status() == 200);
  sidecar.terminate();
  std::thread other([&] { assert(ends_unread(fresh)); });
  assert(ends_unread(resting));
  other.join();
  assert(!endpoint.has_connection_within(0));
}

// ---- the time that an attempt is told

constexpr double kSlack = 0.15;     // seconds that an attempt may be told more than is left
constexpr double kStall = 0.15;     // that a sidecar may be held up for between reading its clock and writing
constexpr double kToldLess = 0.02;  // so that the slack covers such a stall and what else goes by
double notified(const HttpMessage& request) {
  return parse_remaining_deadline(request.header("X-Time-Left")).value_or(9);
}

void forwarded_deadline_is_shorter_than_the_remaining_one() {
  Listener endpoint(2);
  Faults faults(library);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.environment = faults.environment()});
  TestConnection downstream(sidecar.listen);
  downstream.send_text(get_request("X-Time-Left: 900m\r\n"));
  auto [attempt, request] = endpoint.accept_request();
  assert(notified(request) < 0.9 - kToldLess && notified(request) > 0.6);
  attempt.send_text(ok_response("x"));
  assert(downstream.response_status() == 200);
  wait_until_reusable();
  faults.change("send stall=" + std::to_string(kStall) + " only=tcp");
  downstream.send_text(get_request("X-Time-Left: 900m\r\n"));
  auto stalled = attempt.receive_message(Side::Request);
  // By figures alone: the time that this test itself was held up is not the sidecar's.
  assert(stalled && faults.played("send stall") > 0 &&
         notified(*stalled) + kStall < 0.9 - kToldLess + kSlack);
}

// It lay behind another one, and came while the sidecar had no core: of that time nothing was taken off.
void deadline_of_a_request_received_during_a_stall_excludes_the_stall() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection downstream(sidecar.listen);
  downstream.send_text(get_request("X-Time-Left: 900m\r\n", "1"));
  auto [attempt, request] = endpoint.accept_request();
  double sent = now();
  sidecar.while_stopped(
      [&] { downstream.send_text(get_request("X-Time-Left: 900m\r\n", "2")), sleep_for(0.3); });
  sleep_for(0.1);
  attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  assert(notified(endpoint.accept_request().second) < 0.9 - (now() - sent) + kSlack);
}

// A body that went on in parts and was sent whole before a connection was up: its time ran, and the full
// time was told.
void deadline_of_a_streamed_request_excludes_a_slow_connect() {
  for (std::size_t size : {std::size_t{100}, std::size_t{(2 << 20) + 100000}}) {
    Listener endpoint(2, 0);
    TestConnection filling(endpoint.address);
    SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                           SidecarProcess::Options{.limits = R"({"sockets":1024,"memory_mb":32})",
                                                   .connect_timeout = "2.8",
                                                   .client_timeout = "3.0"});
    TestConnection downstream(sidecar.listen);
    downstream.send_text(post_request(std::string(size, 'x'), "X-Time-Left: 2800m\r\n"));
    double sent = now();
    sleep_for(0.3);
    endpoint.accept_connection();
    std::string head = endpoint.accept_connection().receive_until("\r\n\r\n", 2);
    std::size_t at = head.find("X-Time-Left: ") + 13;
    assert(now() - sent > 0.5 && at > 13);
    assert(parse_remaining_deadline(head.substr(at, head.find("\r\n", at) - at)).value_or(9) <
           2.8 - (now() - sent) + kSlack);
  }
}

// A retry after a refusal, and a hedge of a request that an endpoint sits on.
void retries_and_hedged_requests_carry_the_remaining_deadline() {
  for (bool hedged : {false, true}) {
    Listener one(2), other(3);
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
    TestConnection downstream(sidecar.listen);
    double sent = now();
    downstream.send_text(get_request("X-Time-Left: 950m\r\n"));
    for (double until = now() + 3; !one.has_connection_within(0) && !other.has_connection_within(0);)
      assert(now() < until);
    bool at_one = one.has_connection_within(0);
    auto [first, request] = (at_one ? one : other).accept_request();
    if (!hedged) sleep_for(0.4);
    if (!hedged) first.send_text("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    auto [second, again] = (at_one ? other : one).accept_request();
    assert(notified(again) < 0.95 - (now() - sent) + kSlack);
    second.send_text(ok_response("x"));
    assert(downstream.response_status() == 200);
  }
}

// ---- final answers

// Whatever endpoints do, and whoever else comes in, each request has its answer by half a second after its
// time, and an endpoint that drops what has little time left is not put down for it.
void every_request_is_answered_in_time_whatever_the_endpoint_does() {
  Listener endpoint(2, 64);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":128,"memory_mb":64})");
  std::vector<TestConnection> others;
  for (int i = 0; i < 30; ++i) {
    others.emplace_back(sidecar.listen);
    others.back().send_text(i % 3 ? "GET /read HTTP/1.1\r\nX-Part: " : "nonsense\r\n\r\n");
  }
  const std::function<void(TestConnection&)> manners[] = {
      [](TestConnection& attempt) { attempt.reset(); },
      [](TestConnection& attempt) {
        attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), attempt.reset();
      },
      [](TestConnection& attempt) { attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); },
      [](TestConnection& attempt) { attempt.send_text("nonsense\r\n\r\n"); },
      [](TestConnection& attempt) { attempt.send_text("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); },
      [](TestConnection&) {}};
  int number = 0;
  for (const auto& act : manners) {
    for (const char* time : {"20m", "600m"}) {
      TestConnection downstream(sidecar.listen);
      double sent = now();
      downstream.send_text(
          get_request("X-Time-Left: " + std::string(time) + "\r\n", "t" + std::to_string(++number)));
      std::vector<TestConnection> attempts;
      while (!downstream.has_input_within(0.005)) {
        if (endpoint.has_connection_within(0)) {
          attempts.push_back(endpoint.accept_connection());
          if (attempts.back().receive_message(Side::Request)) act(attempts.back());
        }
        assert(now() - sent < *parse_remaining_deadline(time) + 0.45);
      }
      int status = downstream.response_status();
      assert(status == 502 || status == 503);
    }
  }
}

// Idle connections that were dropped without a word, reset or closed, and the hedge or retry failing at once:
// one final answer, and no attempt beyond what the settings allow.
void stale_idle_connections_leave_no_request_unanswered() {
  enum class Gone { Forgotten, Reset, Closed };
  for (Gone gone : {Gone::Forgotten, Gone::Reset, Gone::Closed}) {
    Listener one(2), other(3);
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
    std::vector<TestConnection> kept;
    std::vector<TestConnection> clients;
    for (int i = 0; i < 2; ++i) {  // both at once: one at each
      clients.emplace_back(sidecar.listen);
      clients.back().send_text(get_request("", "k" + std::to_string(i)));
    }
    kept.push_back(one.accept_request().first), kept.push_back(other.accept_request().first);
    for (TestConnection& attempt : kept) attempt.send_text(ok_response("x"));
    for (TestConnection& downstream : clients) assert(downstream.response_status() == 200);
    wait_until_reusable();
    double sent = now();
    if (gone == Gone::Reset)
      sidecar.while_stopped([&] { clients[0].send_text(get_request()), kept[0].reset(), kept[1].reset(); });
    else if (gone == Gone::Closed)
      sidecar.while_stopped(
          [&] { clients[0].send_text(get_request()), kept[0].disconnect(), kept[1].disconnect(); });
    else clients[0].send_text(get_request());
    int attempts = 0;
    std::vector<TestConnection> fresh;
    while (!clients[0].has_input_within(0.005)) {  // what comes on a new connection is reset at once
      for (Listener* at : {&one, &other}) {
        if (!at->has_connection_within(0)) continue;
        fresh.push_back(at->accept_connection());
        if (fresh.back().receive_message(Side::Request)) ++attempts, fresh.back().reset();
      }
      assert(now() - sent < 1.45);
    }
    int status = clients[0].response_status();
    assert((status == 502 || status == 503) && attempts <= 3);
    for (TestConnection& attempt : kept) attempt.disconnect();
    fresh.clear();
    clients[1].send_text(
        get_request("", "after"));  // and the next one is served, if an endpoint does by then
    while (!clients[1].has_input_within(0.005)) {
      for (Listener* at : {&one, &other}) {
        if (!at->has_connection_within(0)) continue;
        fresh.push_back(at->accept_connection());
        if (fresh.back().receive_message(Side::Request)) fresh.back().send_text(ok_response("x"));
      }
    }
    assert(clients[1].response_status() == 200);
  }
}

// Endpoints drop without a word what has very little time left: it has its answer, and they stay in use.
void dropped_requests_with_a_short_deadline_are_answered_and_eject_no_endpoint() {
  Listener one(2, 64), other(3, 64);
  SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
  std::vector<TestConnection> dropped;
  for (int i = 0; i < 30; ++i) {
    TestConnection downstream(sidecar.listen);
    double sent = now();
    downstream.send_text(
        get_request("X-Time-Left: " + std::to_string(i % 6) + "m\r\n", "l" + std::to_string(i)));
    while (!downstream.has_input_within(0.001)) {
      for (Listener* at : {&one, &other}) {
        if (at->has_connection_within(0)) dropped.push_back(at->accept_connection());
      }
      assert(now() - sent < 0.3);
    }
    int status = downstream.response_status();
    assert(status == 502 || status == 503);
  }
  dropped.clear();
  while (one.has_connection_within(0)) one.accept_connection();
  while (other.has_connection_within(0)) other.accept_connection();
  std::vector<TestConnection> clients;
  for (int i = 0; i < 2; ++i) {
    clients.emplace_back(sidecar.listen);
    clients.back().send_text(get_request("", "u" + std::to_string(i)));
  }
  assert(one.has_connection_within(0.3) && other.has_connection_within(0.3));  // by depth: one at each
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
      STORY(incomplete_request_is_rejected_well_before_the_time_limit),
      STORY(client_that_sends_its_head_in_two_seconds_is_served),
      STORY(disconnect_behind_a_full_receive_buffer_prevents_further_attempts),
      STORY(every_pipelined_request_of_a_connected_client_is_answered),
      STORY(requests_pipelined_behind_a_closing_response_are_answered),
      STORY(new_connection_with_an_unread_request_is_not_reclaimed),
      STORY(request_that_crosses_the_close_of_an_idle_connection_is_not_read),
      STORY(forwarded_deadline_is_shorter_than_the_remaining_one),
      STORY(deadline_of_a_request_received_during_a_stall_excludes_the_stall),
      STORY(deadline_of_a_streamed_request_excludes_a_slow_connect),
      STORY(retries_and_hedged_requests_carry_the_remaining_deadline),
      STORY(every_request_is_answered_in_time_whatever_the_endpoint_does),
      STORY(stale_idle_connections_leave_no_request_unanswered),
      STORY(dropped_requests_with_a_short_deadline_are_answered_and_eject_no_endpoint),
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
