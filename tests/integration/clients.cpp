// Integration tests of client behaviour on real sockets: clients that stall, disconnect or pipeline, and what
// becomes of their requests.
#include <functional>
#include <vector>

#include "testing/answering_endpoint.h"
#include "testing/faults/faults.h"
#include "testing/sidecar_process.h"

using namespace puffinvane;
using namespace puffinvane::test;
using Side = HttpReader::Side;

namespace {

std::string library;  // path of the fault injection library, from the command line

constexpr double kRejectionLimitSeconds = 3;  // a bad client must get its error or close within this time
constexpr double kStallMarginSeconds = 0.5;   // kept free of that time for a stall
constexpr double kSlowHeadSeconds = 2;        // a well-behaved client may take this long for its head

// Seconds from `since` until the client receives data or the end of its connection.
double seconds_until_input(TestConnection& downstream, double since) {
  bool has_input = downstream.has_input_within(since + 4 - now());
  assert(has_input);
  return now() - since;
}

// The error used to come between 2.3 and 2.85 s after the client had stopped sending, so that a stall on top
// exceeded the 3 s limit.
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
  TestConnection idle(sidecar.listen);
  idle.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(idle.response_status() == 200);
  idle.send_text("GET /read HT");
  double stopped = now();
  for (TestConnection& downstream : clients)
    assert(seconds_until_input(downstream, stopped) < kRejectionLimitSeconds - kStallMarginSeconds);
  assert(seconds_until_input(idle, stopped) < kRejectionLimitSeconds - kStallMarginSeconds);
}

void client_that_sends_its_head_in_two_seconds_is_served() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection downstream(sidecar.listen);
  const std::string request = get_request();
  double started_at = now();
  for (std::size_t i = 0; i < request.size(); ++i) {
    downstream.send_text(request.substr(i, 1));
    sleep_for(started_at + kSlowHeadSeconds * double(i + 1) / double(request.size()) - now());
  }
  endpoint.accept_request().first.send_text(ok_response("x"));
  assert(downstream.response_status() == 200);
}

// That many requests in a row, each with a header line of that size.
std::string pipelined_requests(int count, std::size_t each) {
  std::string all;
  for (int i = 0; i < count; ++i)
    all += get_request("X-Pad: " + std::string(each, 'p') + "\r\n", "m" + std::to_string(i));
  return all;
}

// The client pipelines more than the kernel buffers, so that the end of its connection behind that data has
// not reached the sidecar yet. The next attempt, a retry or the next request, used to be sent for nobody.
void disconnect_behind_a_full_receive_buffer_prevents_further_attempts() {
  constexpr std::size_t kMinPipelinedBytes = 2 << 20;
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
    std::string ahead = pipelined_requests(1000, 8000);
    assert(downstream.send_what_fits(ahead) < ahead.size());
    assert(ahead.size() > kMinPipelinedBytes);
    downstream.disconnect();
    sleep_for(0.15);  // longer than a new attempt may still begin
    attempt.send_text(retried ? "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
                              : ok_response("x"));
    assert(!one.has_connection_within(0.3) && !other.has_connection_within(0.3) &&
           !attempt.receive_message(Side::Request));
  }
}

// A client that pipelines many requests and stays connected gets a response to each: 200, or 503 for some
// where they are too many to be read ahead.
void every_pipelined_request_of_a_connected_client_is_answered() {
  for (int count : {20, 60}) {
    AnsweringEndpoint endpoint(2);
    SidecarProcess sidecar(list_entry_json("a", endpoint.listener.address),
                           SidecarProcess::Options{.client_timeout = "3.0"});
    TestConnection downstream(sidecar.listen);
    std::thread saying([&] { downstream.send_text(pipelined_requests(count, 8000)); });
    for (int i = 0; i < count; ++i) {
      int status = downstream.response_status();
      assert(status == 200 || (count > 30 && status == 503));
    }
    saying.join();
  }
}

// A request was answered with the last response on its connection, and requests that had been read behind it
// were dropped.
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
  double terminated_at = now();
  sidecar.terminate();
  sleep_for(terminated_at + 0.9 - now());
  busy.send_text(get_request("", "1"));
  auto [attempt, request] = endpoint.accept_request();
  assert(idle.closes_within(3));  // from here on every response closes its connection
  busy.send_text(get_request("", "2"));
  sleep_for(0.05);
  attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  assert(busy.response_status() == 200);
  auto [second, asked] = endpoint.accept_request();
  second.send_text(ok_response("x"));
  auto answer = busy.receive_message(Side::Response);
  assert(answer && answer->status == 200 && !answer->keep_alive);
}

// New connections that had been silent for a while were closed to free descriptors, although their requests
// had arrived and were just not read yet.
void new_connection_with_an_unread_request_is_not_reclaimed() {
  constexpr int kDownstreamLimit = 20;  // half of the descriptors that are not reserved, or fewer
  Faults faults(library);
  SidecarProcess sidecar(list_entry_json("a", loopback_address(4) + ":1"),
                         SidecarProcess::Options{.limits = R"({"sockets":64,"memory_mb":64})",
                                                 .environment = faults.environment()});
  faults.change("accept stall=0.3 only=tcp n=" + std::to_string(kDownstreamLimit / 2));
  std::vector<TestConnection> clients;
  for (int i = 0; i < kDownstreamLimit + 1; ++i) clients.emplace_back(sidecar.listen);
  for (double until = now() + 3; faults.injected_count("accept stall") == 0; sleep_for(0.01))
    assert(now() < until);
  sleep_for(0.15);  // longer than a new connection is kept when descriptors are used up
  for (std::size_t i = 0; i < clients.size(); ++i)
    clients[i].send_text(get_request("", "n" + std::to_string(i)));
  for (TestConnection& downstream : clients) assert(downstream.response_status() == 503);
}

// A request that crosses the close of an idle connection is never read, so that its client may send it again
// elsewhere.
bool closes_without_reading(TestConnection& downstream) {
  if (!downstream.closes_within(4) || !downstream.send_text(get_request("", "crosses"))) return false;
  return downstream.is_reset_within(3);  // closing with unread data causes a reset
}

void request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
  Listener endpoint(2);
  {
    SidecarProcess sidecar(list_entry_json("a", endpoint.address));
    TestConnection fresh(sidecar.listen);  // silent until it is closed for that
    assert(closes_without_reading(fresh));
  }
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection idle(sidecar.listen), fresh(sidecar.listen);
  idle.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(idle.response_status() == 200);
  sidecar.terminate();
  std::thread other([&] { assert(closes_without_reading(fresh)); });
  assert(closes_without_reading(idle));
  other.join();
  assert(!endpoint.has_connection_within(0));
}

// ---- the deadline forwarded with an attempt

constexpr double kDeadlineSlackSeconds = 0.15;  // a forwarded deadline may exceed the remaining one by this
constexpr double kStallSeconds = 0.15;  // a sidecar may stall this long between reading its clock and sending
constexpr double kDeadlineMarginSeconds =
    0.02;  // subtracted, so that the slack covers such a stall and other delays
double forwarded_deadline(const HttpMessage& request) {
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
  assert(forwarded_deadline(request) < 0.9 - kDeadlineMarginSeconds && forwarded_deadline(request) > 0.6);
  attempt.send_text(ok_response("x"));
  assert(downstream.response_status() == 200);
  wait_until_reusable();
  faults.change("send stall=" + std::to_string(kStallSeconds) + " only=tcp");
  downstream.send_text(get_request("X-Time-Left: 900m\r\n"));
  auto stalled = attempt.receive_message(Side::Request);
  // Compares the numbers alone: time for which this test itself was delayed does not count against the
  // sidecar.
  assert(stalled && faults.injected_count("send stall") > 0 &&
         forwarded_deadline(*stalled) + kStallSeconds < 0.9 - kDeadlineMarginSeconds + kDeadlineSlackSeconds);
}

// The request was pipelined behind another one and arrived while the sidecar was stopped: that time was not
// subtracted from its deadline.
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
  assert(forwarded_deadline(endpoint.accept_request().second) < 0.9 - (now() - sent) + kDeadlineSlackSeconds);
}

// A streamed body was sent completely before an upstream connection was established: its time ran, yet the
// full deadline was forwarded.
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
           2.8 - (now() - sent) + kDeadlineSlackSeconds);
  }
}

// A retry after a rejected attempt, and a hedge of a request that an endpoint does not answer.
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
    assert(forwarded_deadline(again) < 0.95 - (now() - sent) + kDeadlineSlackSeconds);
    second.send_text(ok_response("x"));
    assert(downstream.response_status() == 200);
  }
}

// ---- final answers

// Whatever the endpoint does, and whatever other clients send, each request is answered within half a second
// of its deadline. Attempts with a short deadline that fail do not eject the endpoint.
void every_request_is_answered_in_time_whatever_the_endpoint_does() {
  Listener endpoint(2, 64);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":128,"memory_mb":64})");
  std::vector<TestConnection> others;
  for (int i = 0; i < 30; ++i) {
    others.emplace_back(sidecar.listen);
    others.back().send_text(i % 3 ? "GET /read HTTP/1.1\r\nX-Part: " : "nonsense\r\n\r\n");
  }
  const std::function<void(TestConnection&)> behaviours[] = {
      [](TestConnection& attempt) { attempt.reset(); },
      [](TestConnection& attempt) {
        attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), attempt.reset();
      },
      [](TestConnection& attempt) { attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"); },
      [](TestConnection& attempt) { attempt.send_text("nonsense\r\n\r\n"); },
      [](TestConnection& attempt) { attempt.send_text("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); },
      [](TestConnection&) {}};
  int number = 0;
  for (const auto& act : behaviours) {
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

// The idle connections were dropped silently, reset or closed, and the hedge or retry fails at once: the
// client gets one final response, after no more attempts than the settings allow.
void stale_idle_connections_leave_no_request_unanswered() {
  enum class ConnectionEnd { Dropped, Reset, Closed };
  for (ConnectionEnd end : {ConnectionEnd::Dropped, ConnectionEnd::Reset, ConnectionEnd::Closed}) {
    Listener one(2), other(3);
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
    std::vector<TestConnection> kept;
    std::vector<TestConnection> clients;
    for (int i = 0; i < 2; ++i) {  // in parallel, so that each endpoint gets one
      clients.emplace_back(sidecar.listen);
      clients.back().send_text(get_request("", "k" + std::to_string(i)));
    }
    kept.push_back(one.accept_request().first), kept.push_back(other.accept_request().first);
    for (TestConnection& attempt : kept) attempt.send_text(ok_response("x"));
    for (TestConnection& downstream : clients) assert(downstream.response_status() == 200);
    wait_until_reusable();
    double sent = now();
    if (end == ConnectionEnd::Reset)
      sidecar.while_stopped([&] { clients[0].send_text(get_request()), kept[0].reset(), kept[1].reset(); });
    else if (end == ConnectionEnd::Closed)
      sidecar.while_stopped(
          [&] { clients[0].send_text(get_request()), kept[0].disconnect(), kept[1].disconnect(); });
    else clients[0].send_text(get_request());
    int attempts = 0;
    std::vector<TestConnection> fresh;
    while (!clients[0].has_input_within(0.005)) {  // requests on new connections are reset at once
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
        get_request("", "after"));  // the next request is served if an endpoint answers by then
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

// Endpoints silently drop requests whose deadline is very short: the client is answered, and the endpoints
// stay in use.
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
  assert(one.has_connection_within(0.3) &&
         other.has_connection_within(0.3));  // least outstanding first: one at each
}

}  // namespace

// Arguments: the program under test, the fault injection library and, optionally, the name of the only test
// to run.
int main(int count, char** words) {
  assert(count == 3 || count == 4);
  program = words[1], library = words[2];
  signal(SIGPIPE, SIG_IGN);
  struct {
    const char* name;
    void (*run)();
  } const test_cases[] = {
#define TEST_CASE(name) {#name, name}
      TEST_CASE(incomplete_request_is_rejected_well_before_the_time_limit),
      TEST_CASE(client_that_sends_its_head_in_two_seconds_is_served),
      TEST_CASE(disconnect_behind_a_full_receive_buffer_prevents_further_attempts),
      TEST_CASE(every_pipelined_request_of_a_connected_client_is_answered),
      TEST_CASE(requests_pipelined_behind_a_closing_response_are_answered),
      TEST_CASE(new_connection_with_an_unread_request_is_not_reclaimed),
      TEST_CASE(request_that_crosses_the_close_of_an_idle_connection_is_not_read),
      TEST_CASE(forwarded_deadline_is_shorter_than_the_remaining_one),
      TEST_CASE(deadline_of_a_request_received_during_a_stall_excludes_the_stall),
      TEST_CASE(deadline_of_a_streamed_request_excludes_a_slow_connect),
      TEST_CASE(retries_and_hedged_requests_carry_the_remaining_deadline),
      TEST_CASE(every_request_is_answered_in_time_whatever_the_endpoint_does),
      TEST_CASE(stale_idle_connections_leave_no_request_unanswered),
      TEST_CASE(dropped_requests_with_a_short_deadline_are_answered_and_eject_no_endpoint),
#undef TEST_CASE
  };
  int run_count = 0;
  for (const auto& test_case : test_cases) {
    if (count == 4 && std::string(words[3]) != test_case.name) continue;
    test_case.run(), ++run_count;
  }
  assert(run_count > 0);
  std::printf("all %d tests passed\n", run_count);
}
