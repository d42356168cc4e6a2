// Integration tests of races: two events are made to happen in a fixed order or in the same event loop
// iteration, on real sockets.
#include <sys/socket.h>

#include <atomic>
#include <iostream>
#include <vector>

#include "src/proxy/request_forwarder.h"
#include "testing/sidecar_process.h"

using namespace puffinvane;
using namespace puffinvane::test;
using Side = HttpReader::Side;

namespace {

std::string list_line(int index, const std::string& entries, bool is_snapshot = true) {
  return http_chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" +
                    (is_snapshot ? "true" : "false") + R"(,"endpoints":[)" + entries + "]}\n");
}
const std::string kChunkedResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A response without a length ends with its connection. A reset used to be taken for that end, so that half a
// response was passed on as complete.
void response_without_length_is_complete_at_close_and_failed_at_reset() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  for (bool whole : {true, false}) {
    TestConnection client(sidecar.listen);
    client.send_text(post_request("x"));
    auto [attempt, request] = endpoint.accept_request();
    attempt.send_text("HTTP/1.1 200 OK\r\n\r\npart");
    whole ? attempt.disconnect() : attempt.reset();
    assert(client.response_status() == (whole ? 200 : 502));
  }
  // Stopped in between, the sidecar reads the bytes and the reset in one event loop iteration.
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  auto [attempt, request] = endpoint.accept_request();
  sidecar.while_stopped(
      [&connection = attempt] { connection.send_text("HTTP/1.1 200 OK\r\n\r\npart"), connection.reset(); });
  assert(client.response_status() == 502);
}

// The same for a response that is being streamed to the client. The client has to notice the truncation: by a
// missing last chunk, or, with HTTP/1.0, by a reset, since only the end of the connection ends a response
// there.
void reset_during_streamed_response_truncates_it_for_the_client() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  for (bool old : {false, true}) {
    for (bool whole : {true, false}) {
      TestConnection client(sidecar.listen);
      std::string text = get_request();
      if (old) text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0");
      client.send_text(text);
      auto [attempt, request] = endpoint.accept_request();
      attempt.send_text("HTTP/1.1 200 OK\r\n\r\nhalf");
      sleep_for(0.25);
      attempt.send_text("more");
      assert(client.receive_until("more", 1).find("half") != std::string::npos);
      whole ? attempt.disconnect() : attempt.reset();
      bool is_complete = old ? client.closes_within(1)
                             : client.receive_until("0\r\n\r\n", 1).find("0\r\n\r\n") != std::string::npos;
      assert(is_complete == whole);
    }
  }
}

// The client sends its request and disconnects while the sidecar is stopped, so the client is gone by the
// time the request is read.
void request_of_a_disconnected_client_is_not_forwarded() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection first(sidecar.listen);
  first.send_text(get_request());
  auto [kept, request] = endpoint.accept_request();
  kept.send_text(ok_response("x"));
  assert(first.response_status() == 200);
  sleep_for(0.1);  // until the connection may be reused
  for (bool reset : {false, true}) {
    TestConnection client(sidecar.listen);
    sidecar.while_stopped(
        [&] { client.send_text(post_request("x")), reset ? client.reset() : client.disconnect(); });
    assert(!kept.has_input_within(0.2) && !endpoint.has_connection_within(0));
  }
  first.send_text(get_request());  // later requests are served
  assert(kept.receive_message(Side::Request) && kept.send_text(ok_response("x")) &&
         first.response_status() == 200);
}

// The sidecar reads a response that allows a retry and the end of the client connection in the same event
// loop iteration, in that order.
void client_disconnect_in_the_same_loop_iteration_suppresses_the_retry() {
  Listener one(2), other(3);
  SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  for (double until = now() + 3; !one.has_connection_within(0) && !other.has_connection_within(0);)
    assert(now() < until);
  bool first = one.has_connection_within(0);
  auto [attempt, request] = (first ? one : other).accept_request();
  sidecar.while_stopped([&, &connection = attempt] {
    connection.send_text("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    client.disconnect();
  });
  assert(!(first ? other : one).has_connection_within(0.3) && !attempt.has_input_within(0));
}

// The client pipelines more than the sidecar reads ahead. The sidecar then stopped reading from it and did
// not notice the disconnect.
void disconnect_after_many_pipelined_requests_cancels_the_attempt() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.client_timeout = "3.0"});
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  std::string ahead;
  for (int i = 0; i < 400; ++i) ahead += get_request("", "a" + std::to_string(i));
  client.send_text(ahead);
  sleep_for(0.1);
  client.disconnect();
  assert(attempt.ends_within(1));
}

// The upstream connection is established and then the client disconnects, both before the sidecar runs again.
void connection_established_after_client_disconnect_carries_no_request() {
  Listener endpoint(2, 0);
  // Fills the backlog: the kernel establishes further connections when it retries, after 1 s.
  TestConnection filling(endpoint.address);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "2.8", .client_timeout = "3.0"});
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  sleep_for(0.3);
  std::vector<TestConnection> accepted;
  sidecar.while_stopped([&] {
    while (accepted.size() < 2) accepted.push_back(endpoint.accept_connection());
    client.disconnect();
  });
  assert(!accepted.back().receive_message(Side::Request));
}

// The same with the connect timeout, which expires during a stall: the outdated decision to send is not
// carried out.
void connection_established_after_connect_timeout_carries_no_request() {
  Listener endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "0.6", .client_timeout = "3.0"});
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  sleep_for(0.3);
  std::vector<TestConnection> accepted;
  sidecar.while_stopped([&] {
    while (accepted.size() < 2) accepted.push_back(endpoint.accept_connection());
  });
  assert(!accepted.back().receive_message(Side::Request) &&
         client.response_status() == 503);  // the request cannot have run
}

// A connection that meets a full backlog is established when the kernel retries, after 1 s. It used to be
// closed at the connect timeout and the next request opened a new one, so that where many connections were
// slow none was ever used.
void connection_established_late_carries_the_next_request() {
  Listener endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "0.3"});
  assert(sidecar.status_of(post_request("x")) == 503);
  endpoint.accept_connection();
  std::vector<TestConnection> late;
  // Two: the second was opened when the first was not established after half the timeout.
  late.push_back(endpoint.accept_connection());
  late.push_back(endpoint.accept_connection());
  sleep_for(0.05);
  TestConnection client(sidecar.listen);
  client.send_text(post_request("y"));
  assert(!endpoint.has_connection_within(0.2));
  TestConnection& used = late[0].has_input_within(0.2) ? late[0] : late[1];
  assert(used.receive_message(Side::Request)->body.text() == "y" && used.send_text(ok_response("x")) &&
         client.response_status() == 200);
}

// The first connection hangs while the endpoint has room in its backlog again: a second one carries the
// request.
void request_moves_to_a_second_connection_while_the_first_hangs() {
  Listener endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "0.6"});
  TestConnection client(sidecar.listen);
  double started_at = now();
  client.send_text(post_request("x"));
  sleep_for(0.1);
  endpoint.accept_connection();
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));
  assert(client.response_status() == 200 && now() - started_at < 0.55);
}

// A connection that is established after its endpoint was listed as leaving carries no request.
void connection_established_late_to_a_leaving_endpoint_is_closed() {
  Listener discovery(9), endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess::Options options{.connect_timeout = "0.3"};
  options.discovery = &discovery, options.discovery_mode = "on_request";
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
  TestConnection watch = discovery.accept_request().first;
  watch.send_text(kChunkedResponseHead + list_line(8, list_entry_json("a", endpoint.address)));
  assert(sidecar.status_of(post_request("x")) == 503);
  watch.send_text(list_line(9, list_entry_json("a", endpoint.address, "leaving"), false));
  sleep_for(0.05);
  endpoint.accept_connection();
  assert(!endpoint.has_connection_within(1.2) || endpoint.accept_connection().ends_within(0.2));
}

// On a reused connection, a duplicate response that arrived some milliseconds late was taken for the response
// to the next request.
void duplicate_response_is_not_matched_to_the_next_request() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request("", "1") +
                   get_request("", "2"));  // the second is forwarded as soon as the first is answered
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("first"));
  assert(client.receive_message(Side::Response)->body.text() == "first" && endpoint.has_connection_within(1));
  attempt.send_text(ok_response("late"));
  auto [next, again] = endpoint.accept_request();
  next.send_text(ok_response("second"));
  assert(client.receive_message(Side::Response)->body.text() == "second");
}

// An upload that became malformed used to be closed without a response.
void malformed_chunk_after_long_upload_is_answered_400() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":1024,"memory_mb":32})");
  TestConnection client(sidecar.listen);
  std::thread reading([&] { assert(!endpoint.accept_connection().receive_message(Side::Request, 8 << 20)); });
  client.send_text(
      "POST /write HTTP/1.1\r\nX-Correlation-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" +
      std::string(0x400000, 'x') + "\r\nnonsense\r\n");
  assert(client.response_status() == 400);
  reading.join();
}

// A process that shuts down closes idle connections. A request that arrives at that moment is not forwarded,
// and must not cause a reset, which would discard a response that the client has not read yet.
void idle_connection_is_half_closed_before_it_is_closed_at_shutdown() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));
  assert(client.response_status() == 200);
  sidecar.terminate();
  assert(client.closes_within(3) && client.send_text(get_request("", "2")));
  sleep_for(0.1);
  assert(client.closes_within(1) && !attempt.has_input_within(0));
}

bool request_reaches(Listener& where, const SidecarProcess& sidecar, const std::string& id) {
  TestConnection client(sidecar.listen);
  client.send_text(get_request("", id));
  if (!where.has_connection_within(1)) return false;
  TestConnection attempt = where.accept_connection();
  return attempt.receive_message(Side::Request) &&
         attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") &&
         client.response_status() == 200;
}

// Discovery fails in several ways in a row: a watch that sends only blanks and half lines, one that is
// accepted and stays silent, one that is reset. The change still has to arrive within 6 s.
void list_change_is_applied_within_6_s_despite_failing_discovery_calls() {
  Listener old(2), fresh(3);
  SidecarProcess sidecar(list_entry_json("a", old.address));
  TestConnection watch = sidecar.discovery().accept_request().first;
  double until = now() + 20;
  while (watch.ends_within(0.02) && now() < until)
    watch = sidecar.discovery()
                .accept_request()
                .first;  // the sidecar had given up this call before the test accepted it
  watch.send_text(kChunkedResponseHead + list_line(8, list_entry_json("a", old.address)));
  double changed = now();
  assert(request_reaches(old, sidecar, "1"));
  while (!sidecar.discovery().has_connection_within(0.2) && now() < changed + 6)
    watch.send_text(http_chunk(" ")) && watch.send_text(http_chunk("\n  {"));
  {
    TestConnection silent = sidecar.discovery().accept_request().first;
    silent.send_text(kChunkedResponseHead + http_chunk("\n\n"));
    assert(silent.ends_within(2));
  }
  sidecar.discovery().accept_request().first.reset();
  TestConnection last = sidecar.discovery().accept_request().first;
  last.send_text(kChunkedResponseHead + list_line(9, list_entry_json("a", old.address, "leaving") + "," +
                                                         list_entry_json("b", fresh.address)));
  sleep_for(0.05);
  assert(now() - changed < 6 && request_reaches(fresh, sidecar, "2") && !old.has_connection_within(0));
}

// Discovery that has lost its list, or restarted its index, says nothing about which endpoints exist.
void list_is_requested_again_after_index_regression_or_empty_snapshot() {
  Listener endpoint(2), other(3);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.discovery_mode = "on_request"});
  TestConnection watch = sidecar.discovery().accept_request().first;
  watch.send_text(kChunkedResponseHead + list_line(5, list_entry_json("b", other.address), false));
  assert(watch.ends_within(1));
  auto [again, text] = sidecar.discovery().accept_request();
  assert(text.target.ends_with("after=0"));
  again.send_text(kChunkedResponseHead + list_line(1, ""));
  assert(again.ends_within(1) && request_reaches(endpoint, sidecar, "1") && !other.has_connection_within(0));
  TestConnection last_watch = sidecar.discovery().accept_request().first;
  last_watch.send_text(kChunkedResponseHead + list_line(3, list_entry_json("b", other.address)));
  sleep_for(0.05);
  assert(request_reaches(other, sidecar, "2") && !endpoint.has_connection_within(0));
}

// A restarted process begins with an old list: an endpoint that has left since must get no request.
void new_process_is_ready_after_the_first_list_or_a_discovery_timeout() {
  Listener discovery(9), old(2), fresh(3);
  SidecarProcess::Options options;
  options.discovery = &discovery;
  std::thread answers([&] {
    TestConnection watch = discovery.accept_request().first;
    sleep_for(0.1);
    watch.send_text(kChunkedResponseHead + list_line(8, list_entry_json("a", old.address, "leaving") + "," +
                                                            list_entry_json("b", fresh.address)));
    watch.ends_within(1);
  });
  SidecarProcess sidecar(list_entry_json("a", old.address), options);
  assert(request_reaches(fresh, sidecar, "1") && !old.has_connection_within(0));
  answers.join();
}

void check_idle_clients_block_nothing(const SidecarProcess::Options& options) {
  Listener old(2), fresh(3);
  SidecarProcess sidecar(list_entry_json("a", old.address), options);
  std::vector<TestConnection> idle;
  for (int i = 0; i < 150; ++i) idle.emplace_back(sidecar.listen);
  sleep_for(0.5);
  while (sidecar.discovery().has_connection_within(0)) sidecar.discovery().accept_connection();
  TestConnection watch = sidecar.discovery().accept_request().first;
  watch.send_text(kChunkedResponseHead + list_line(8, list_entry_json("a", old.address, "leaving") + "," +
                                                          list_entry_json("b", fresh.address)));
  sleep_for(0.05);
  for (int i = 0; i < 5; ++i) assert(request_reaches(fresh, sidecar, std::to_string(i)));
  assert(!old.has_connection_within(0) && sidecar.cpu_seconds() < 1);
}

// Idle clients use up the descriptors while discovery is unavailable. The endpoint list, the next client and
// its attempt still have to get through.
void idle_clients_at_the_descriptor_limit_block_nothing() {
  check_idle_clients_block_nothing(SidecarProcess::Options{.limits = R"({"sockets":64,"memory_mb":64})"});
}

// The system limit may be lower than the configured one. Clients used to take the last descriptors, so that
// neither discovery nor an endpoint could be reached.
void idle_clients_block_nothing_when_the_system_limit_is_lower_than_configured() {
  SidecarProcess::Options options;
  options.descriptor_limit = 64;
  check_idle_clients_block_nothing(options);
}

// A process starts while the previous one is shutting down and still holds the listener. It waits, also when
// it is told to end meanwhile, and gives up once the previous one would have been killed.
void restarted_process_waits_until_the_previous_one_releases_the_listener() {
  Listener endpoint(2);
  auto predecessor = std::make_unique<SidecarProcess>(list_entry_json("a", endpoint.address));
  SidecarProcess::Options options;
  options.number = 1, options.discovery = &predecessor->discovery();
  SidecarProcess next(list_entry_json("a", endpoint.address), options);
  Listener other(8);
  options.number = 2, options.discovery = &other;
  SidecarProcess terminated(list_entry_json("a", endpoint.address), options);
  assert(other.has_connection_within(5));  // a process opens its listener last, so this one is waiting for it
  terminated.terminate();
  assert(terminated.exit_code(3) == 0);
  predecessor->terminate();
  assert(predecessor->exit_code(2) == 0);
  double until = now() + 5;
  while (next.status_of("GET /healthz HTTP/1.1\r\n\r\n") != 200 && now() < until) sleep_for(0.01);
  assert(request_reaches(endpoint, next, "1"));
  SidecarProcess never(list_entry_json("a", endpoint.address), options);
  assert(never.exit_code(9) == 1);
}

// At the end of the period in which a process that shuts down accepts clients, no descriptor is free for a
// client that waits in the backlog. If the listener were closed then, the kernel would reset a request that
// it has already received.
void closing_listener_accepts_waiting_clients_when_descriptors_free_up() {
  SidecarProcess sidecar(list_entry_json("a", loopback_address(4) + ":1"),
                         R"({"sockets":64,"memory_mb":64})");
  std::vector<TestConnection> clients;
  for (int i = 0; i < 20; ++i) {  // half of the descriptors that are not reserved
    clients.emplace_back(sidecar.listen);
    clients.back().send_text("POST /write HTTP/1.1\r\nX-Correlation-Id: s" + std::to_string(i) +
                             "\r\nContent-Length: 20\r\n\r\n");
  }
  sidecar.terminate();
  sleep_for(0.1);
  TestConnection late(sidecar.listen);
  late.send_text(get_request());
  for (int i = 0; i < 20; ++i) {  // they stay active, so none is reclaimed
    for (TestConnection& client : clients) client.send_text("x");
    sleep_for(0.04);
  }
  for (TestConnection& client : clients) assert(client.response_status() == 503);
  assert(late.response_status() == 503 && sidecar.exit_code(4) == 0);
}

// Clients that sent one request and stayed connected arrived faster than idle connections were reclaimed (one
// at a time, and only when a client was waiting), so that new clients waited in the backlog for seconds.
void many_idle_connections_after_one_request_do_not_delay_new_clients() {
  SidecarProcess sidecar(list_entry_json("a", loopback_address(4) + ":1"),
                         R"({"sockets":128,"memory_mb":64})");
  std::atomic<bool> over = false;
  std::thread crowding([&] {
    std::vector<TestConnection> crowd;
    for (; !over; sleep_for(0.004)) {
      crowd.emplace_back(sidecar.listen);
      crowd.back().send_text("GET /healthz HTTP/1.1\r\n\r\n");
    }
    assert(crowd.size() > 300);
  });
  double longest = 0;
  for (double until = now() + 2; now() < until; sleep_for(0.02)) {
    double started_at = now();
    assert(sidecar.status_of("GET /healthz HTTP/1.1\r\n\r\n") == 200);
    longest = std::max(longest, now() - started_at);
  }
  over = true;
  crowding.join();
  assert(longest < 0.5);
}

double forwarded_deadline(const HttpMessage& request) {
  return parse_remaining_deadline(request.header("X-Time-Left")).value_or(9);
}

// Time that a request spends unread counts against its deadline. Attempts used to carry more time than the
// client had left.
void remaining_deadline_excludes_time_spent_unread() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":64,"memory_mb":64})");
  {
    TestConnection client(sidecar.listen);
    client.send_text(get_request("X-Time-Left: 900m\r\n", "1") + get_request("X-Time-Left: 900m\r\n", "2"));
    auto [attempt, request] = endpoint.accept_request();
    assert(forwarded_deadline(request) > 0.5);
    sleep_for(0.4);
    attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(forwarded_deadline(endpoint.accept_request().second) < 0.55);
  }
  std::vector<TestConnection> clients;  // as many as are admitted, each with half an upload
  for (int i = 0; i < 20; ++i) {
    clients.emplace_back(sidecar.listen);
    clients.back().send_text("POST /write HTTP/1.1\r\nX-Correlation-Id: s" + std::to_string(i) +
                             "\r\nContent-Length: 200\r\n\r\n");
  }
  sleep_for(0.1);
  TestConnection late(sidecar.listen);
  late.send_text(get_request("X-Time-Left: 900m\r\n"));
  for (int i = 0; i < 10; ++i) {  // they stay active, so none is reclaimed
    for (TestConnection& client : clients) client.send_text("x");
    sleep_for(0.04);
  }
  clients.pop_back();
  assert(forwarded_deadline(endpoint.accept_request().second) < 0.55);
}

// A response that never ends and arrives a few bytes at a time used to keep its client waiting forever.
void endless_response_is_cut_off_after_the_client_timeout() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  for (bool sized : {false, true}) {
    TestConnection client(sidecar.listen);
    double started_at = now();
    client.send_text(post_request("x"));
    auto [attempt, request] = endpoint.accept_request();
    attempt.send_text(sized ? "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" : kChunkedResponseHead);
    while (attempt.send_text(sized ? "x" : http_chunk("x")) && now() < started_at + 2.5) sleep_for(0.05);
    assert(now() - started_at < 1.45 &&
           client.ends_within(0.2));  // client timeout 1 s; responses later than 0.5 s after it are lost
  }
}

// A shortage of descriptors in the sidecar itself was blamed on endpoints, and one of them was ejected for
// it.
void descriptor_exhaustion_ejects_no_endpoint() {
  std::vector<std::unique_ptr<Listener>> endpoints;
  std::string list;
  for (int i = 0; i < 4; ++i) {
    endpoints.push_back(std::make_unique<Listener>(100 + i));
    list += (i ? "," : "") + list_entry_json("e" + std::to_string(i), endpoints.back()->address);
  }
  // Timeouts long enough that no endpoint counts as silent, even on a busy machine.
  SidecarProcess sidecar(list, SidecarProcess::Options{.limits = R"({"sockets":64,"memory_mb":64})",
                                                       .client_timeout = "20",
                                                       .latency_objective = "10"});
  std::vector<TestConnection> clients, attempts;
  auto ask = [&](const std::string& id) {
    clients.emplace_back(sidecar.listen);
    clients.back().send_text("POST /write HTTP/1.1\r\nX-Correlation-Id: " + id +
                             "\r\nContent-Length: 0\r\n\r\n");
  };
  for (int i = 0; i < 20; ++i)
    ask("d" + std::to_string(i));  // more than can be forwarded with the descriptors there are
  for (auto& each : endpoints) {
    while (each->has_connection_within(0.02)) attempts.push_back(each->accept_connection());
  }
  assert(attempts.size() > 10 && attempts.size() < 20);
  clients.clear();  // the clients disconnect, which cancels their attempts
  for (TestConnection& attempt : attempts) assert(attempt.ends_within(1));
  for (int i = 0; i < 4; ++i) ask("e" + std::to_string(i));
  for (auto& each : endpoints)
    assert(each->has_connection_within(0.3));  // least outstanding first: one at each
}

// Discovery that sends the same snapshot on every call.
class SnapshotDiscovery {
 public:
  SnapshotDiscovery(Listener& listener, std::string entries)
      : listener_(listener), entries_(std::move(entries)), serving_([this] { serve(); }) {}
  ~SnapshotDiscovery() {
    over_ = true;
    serving_.join();
  }
  int sent_count() const { return sent_count_; }
  void wait_for_more(int more) const {
    int before = sent_count_;
    for (double until = now() + 6; sent_count_ < before + more && now() < until;) sleep_for(0.02);
    assert(sent_count_ >= before + more);
  }

 private:
  void serve() {
    std::vector<TestConnection> watches;
    while (!over_) {
      if (!listener_.has_connection_within(0.05)) continue;
      watches.push_back(listener_.accept_connection());
      if (watches.back().receive_message(Side::Request))
        watches.back().send_text(kChunkedResponseHead + list_line(8, entries_)), ++sent_count_;
    }
  }
  Listener& listener_;
  const std::string entries_;
  std::atomic<int> sent_count_ = 0;
  std::atomic<bool> over_ = false;
  std::thread serving_;
};

// An old name is still listed, as leaving or as active, at the address that a new one has taken over. Each
// list used to hand the address from one name to the other, which closed the connections of the new one.
void two_endpoints_listed_at_one_address_do_not_close_its_connections() {
  for (const char* status : {"leaving", "active"}) {
    Listener discovery(9), endpoint(2);
    SidecarProcess::Options options;
    options.discovery = &discovery;
    std::string fresh = list_entry_json("new", endpoint.address);
    fresh.replace(fresh.find(R"("since_ms":0)"), 12, R"("since_ms":1700000000000)");
    SnapshotDiscovery snapshots(discovery, fresh + "," + list_entry_json("old", endpoint.address, status));
    SidecarProcess sidecar(list_entry_json("new", endpoint.address), options);
    auto ask = [&](const std::string& id, TestConnection& attempt) {
      TestConnection client(sidecar.listen);
      client.send_text(get_request("", id));
      if (!attempt.has_input_within(1)) return false;
      return attempt.receive_message(Side::Request) && attempt.send_text(ok_response("x")) &&
             client.response_status() == 200;
    };
    TestConnection first(sidecar.listen);
    first.send_text(get_request("", "0"));
    auto [attempt, request] = endpoint.accept_request();
    attempt.send_text(ok_response("x"));
    assert(first.response_status() == 200);
    for (int i = 1, until = snapshots.sent_count() + 2; snapshots.sent_count() < until; ++i) {
      sleep_for(0.3);
      assert(i < 20 && ask(std::to_string(i), attempt));
    }
    assert(!endpoint.has_connection_within(0));
  }
}

// An endpoint that an operator includes again starts in slow start. The list, which repeats and knows nothing
// of it, used to end slow start, and half of all requests went there at once.
void included_endpoint_stays_in_slow_start_when_the_list_is_repeated() {
  Listener discovery(9), one(2), other(3);
  SidecarProcess::Options options;
  options.discovery = &discovery, options.admin = loopback_address(8) + ":5008";
  const std::string entries = list_entry_json("a", one.address) + "," + list_entry_json("b", other.address);
  SnapshotDiscovery snapshots(discovery, entries);
  SidecarProcess sidecar(entries, options);
  auto order = [&](const std::string& what) {
    TestConnection connection(options.admin);
    connection.send_text("PUT /api/" + what + " HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
    return connection.response_status() == 200;
  };
  assert(order("exclude") && order("include"));
  snapshots.wait_for_more(2);
  int there = 0;
  for (int i = 0; i < 40; ++i) {
    TestConnection client(sidecar.listen);
    client.send_text(get_request("", std::to_string(i)));
    while (!one.has_connection_within(0.001) && !other.has_connection_within(0.001)) {
    }
    bool at_one = one.has_connection_within(0);
    TestConnection attempt = (at_one ? one : other).accept_connection();
    assert(attempt.receive_message(Side::Request) &&
           attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") &&
           client.response_status() == 200);
    there += at_one;
  }
  assert(there < 12);  // in slow start the share is a tenth at first
}

// After a stall, a retired pool is destroyed in the same event loop iteration in which its last timers are
// overdue. The timers used to run on the destroyed pool, which crashed the process.
void timers_overdue_after_a_stall_do_not_touch_destroyed_pools() {
  simdjson::dom::parser parser;
  const std::string settings = SidecarProcess::settings("3");
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

// Arguments: the program under test and, optionally, the name of the only test to run.
int main(int count, char** words) {
  assert(count == 2 || count == 3);
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  struct {
    const char* name;
    void (*run)();
  } const test_cases[] = {
#define TEST_CASE(name) {#name, name}
      TEST_CASE(response_without_length_is_complete_at_close_and_failed_at_reset),
      TEST_CASE(reset_during_streamed_response_truncates_it_for_the_client),
      TEST_CASE(request_of_a_disconnected_client_is_not_forwarded),
      TEST_CASE(client_disconnect_in_the_same_loop_iteration_suppresses_the_retry),
      TEST_CASE(disconnect_after_many_pipelined_requests_cancels_the_attempt),
      TEST_CASE(connection_established_after_client_disconnect_carries_no_request),
      TEST_CASE(connection_established_after_connect_timeout_carries_no_request),
      TEST_CASE(connection_established_late_carries_the_next_request),
      TEST_CASE(request_moves_to_a_second_connection_while_the_first_hangs),
      TEST_CASE(connection_established_late_to_a_leaving_endpoint_is_closed),
      TEST_CASE(duplicate_response_is_not_matched_to_the_next_request),
      TEST_CASE(malformed_chunk_after_long_upload_is_answered_400),
      TEST_CASE(idle_connection_is_half_closed_before_it_is_closed_at_shutdown),
      TEST_CASE(list_change_is_applied_within_6_s_despite_failing_discovery_calls),
      TEST_CASE(list_is_requested_again_after_index_regression_or_empty_snapshot),
      TEST_CASE(new_process_is_ready_after_the_first_list_or_a_discovery_timeout),
      TEST_CASE(idle_clients_at_the_descriptor_limit_block_nothing),
      TEST_CASE(idle_clients_block_nothing_when_the_system_limit_is_lower_than_configured),
      TEST_CASE(restarted_process_waits_until_the_previous_one_releases_the_listener),
      TEST_CASE(timers_overdue_after_a_stall_do_not_touch_destroyed_pools),
      TEST_CASE(closing_listener_accepts_waiting_clients_when_descriptors_free_up),
      TEST_CASE(many_idle_connections_after_one_request_do_not_delay_new_clients),
      TEST_CASE(remaining_deadline_excludes_time_spent_unread),
      TEST_CASE(endless_response_is_cut_off_after_the_client_timeout),
      TEST_CASE(descriptor_exhaustion_ejects_no_endpoint),
      TEST_CASE(two_endpoints_listed_at_one_address_do_not_close_its_connections),
      TEST_CASE(included_endpoint_stays_in_slow_start_when_the_list_is_repeated),
#undef TEST_CASE
  };
  int run_count = 0;
  for (const auto& test_case : test_cases) {
    if (count == 3 && std::string(words[2]) != test_case.name) continue;
    test_case.run(), ++run_count;
  }
  assert(run_count > 0);
  std::printf("all %d tests passed\n", run_count);
}
