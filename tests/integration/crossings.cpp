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
  return http_chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
                    R"(,"endpoints":[)" + entries + "]}\n");
}
const std::string kWatching = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// An answer that says no length ends with its connection. A reset under it was taken for that end, and half
// an answer for a whole one.
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
  // Stopped meanwhile, the sidecar finds the bytes and the reset at once.
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  auto [attempt, request] = endpoint.accept_request();
  sidecar.while_stopped([&line = attempt] { line.send_text("HTTP/1.1 200 OK\r\n\r\npart"), line.reset(); });
  assert(client.response_status() == 502);
}

// The same once it is passed on while it comes: its client has to see that it was cut, in chunks and, from
// HTTP/1.0, where nothing but the end of the connection ends an answer.
void reset_during_streamed_response_truncates_it_for_the_client() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  for (bool old : {false, true}) {
    for (bool whole : {true, false}) {
      TestConnection client(sidecar.listen);
      std::string asked = get_request();
      if (old) asked.replace(asked.find("HTTP/1.1"), 8, "HTTP/1.0");
      client.send_text(asked);
      auto [attempt, request] = endpoint.accept_request();
      attempt.send_text("HTTP/1.1 200 OK\r\n\r\nhalf");
      sleep_for(0.25);
      attempt.send_text("more");
      assert(client.receive_until("more", 1).find("half") != std::string::npos);
      whole ? attempt.disconnect() : attempt.reset();
      bool ends_well = old ? client.closes_within(1)
                           : client.receive_until("0\r\n\r\n", 1).find("0\r\n\r\n") != std::string::npos;
      assert(ends_well == whole);
    }
  }
}

// A client that sent its request and closed while the sidecar had no core: it has long gone when it is read.
void request_of_a_disconnected_client_is_not_forwarded() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection first(sidecar.listen);
  first.send_text(get_request());
  auto [kept, request] = endpoint.accept_request();
  kept.send_text(ok_response("x"));
  assert(first.response_status() == 200);
  sleep_for(0.1);  // that connection may be used again
  for (bool reset : {false, true}) {
    TestConnection client(sidecar.listen);
    sidecar.while_stopped(
        [&] { client.send_text(post_request("x")), reset ? client.reset() : client.disconnect(); });
    assert(!kept.has_input_within(0.2) && !endpoint.has_connection_within(0));
  }
  first.send_text(get_request());  // what comes after it is served
  assert(kept.receive_message(Side::Request) && kept.send_text(ok_response("x")) &&
         first.response_status() == 200);
}

// The answer that asks for a retry and the end of the client are found in one turn of the loop, in that
// order.
void client_disconnect_in_the_same_loop_iteration_suppresses_the_retry() {
  Listener one(2), other(3);
  SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  for (double until = now() + 3; !one.has_connection_within(0) && !other.has_connection_within(0);)
    assert(now() < until);
  bool first = one.has_connection_within(0);
  auto [attempt, request] = (first ? one : other).accept_request();
  sidecar.while_stopped([&, &line = attempt] {
    line.send_text("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    client.disconnect();
  });
  assert(!(first ? other : one).has_connection_within(0.3) && !attempt.has_input_within(0));
}

// More is sent ahead than is read ahead: a client that is not read from was no longer seen to leave.
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

// The connection of its attempt comes up, and then the client leaves, all before the sidecar looks again.
void connection_established_after_client_disconnect_carries_no_request() {
  Listener endpoint(2, 0);
  TestConnection filling(
      endpoint.address);  // what knocks on a full backlog comes up when the system tries again, after 1 s
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "2.8", .client_timeout = "3.0"});
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  sleep_for(0.3);
  std::vector<TestConnection> taken;
  sidecar.while_stopped([&] {
    while (taken.size() < 2) taken.push_back(endpoint.accept_connection());
    client.disconnect();
  });
  assert(!taken.back().receive_message(Side::Request));
}

// The same with the end of the time for connecting, after a stall: what was decided that long ago is not
// sent.
void connection_established_after_connect_timeout_carries_no_request() {
  Listener endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "0.6", .client_timeout = "3.0"});
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  sleep_for(0.3);
  std::vector<TestConnection> taken;
  sidecar.while_stopped([&] {
    while (taken.size() < 2) taken.push_back(endpoint.accept_connection());
  });
  assert(!taken.back().receive_message(Side::Request) &&
         client.response_status() == 503);  // it can't have run
}

// What knocks on a full backlog comes up when the system tries again, after 1 s. It was closed when its time
// was over, the next request began with a new one, and where many come up late all were given up like that.
void connection_established_late_carries_the_next_request() {
  Listener endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "0.3"});
  assert(sidecar.status_of(post_request("x")) == 503);
  endpoint.accept_connection();
  std::vector<TestConnection> late;
  late.push_back(
      endpoint.accept_connection());  // and another one beside it, opened when it was not up by half its time
  late.push_back(endpoint.accept_connection());
  sleep_for(0.05);
  TestConnection client(sidecar.listen);
  client.send_text(post_request("y"));
  assert(!endpoint.has_connection_within(0.2));
  TestConnection& used = late[0].has_input_within(0.2) ? late[0] : late[1];
  assert(used.receive_message(Side::Request)->body.text() == "y" && used.send_text(ok_response("x")) &&
         client.response_status() == 200);
}

// The first connection hangs, and there is room at the endpoint again: a second one carries the request.
void request_moves_to_a_second_connection_while_the_first_hangs() {
  Listener endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.connect_timeout = "0.6"});
  TestConnection client(sidecar.listen);
  double begun = now();
  client.send_text(post_request("x"));
  sleep_for(0.1);
  endpoint.accept_connection();
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));
  assert(client.response_status() == 200 && now() - begun < 0.55);
}

// What comes up late at an endpoint that is told to leave carries nothing any more.
void connection_established_late_to_a_leaving_endpoint_is_closed() {
  Listener discovery(9), endpoint(2, 0);
  TestConnection filling(endpoint.address);
  SidecarProcess::Options options{.connect_timeout = "0.3"};
  options.discovery = &discovery, options.registry = "on_request";
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), options);
  TestConnection watch = discovery.accept_request().first;
  watch.send_text(kWatching + list_of(8, list_entry_json("a", endpoint.address)));
  assert(sidecar.status_of(post_request("x")) == 503);
  watch.send_text(list_of(9, list_entry_json("a", endpoint.address, "leaving"), false));
  sleep_for(0.05);
  endpoint.accept_connection();
  assert(!endpoint.has_connection_within(1.2) || endpoint.accept_connection().ends_within(0.2));
}

// On a kept connection a second answer, some milliseconds late, was taken for that of the request which the
// connection carried by then.
void duplicate_response_is_not_matched_to_the_next_request() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request("", "1") +
                   get_request("", "2"));  // the second is sent on in the moment that the first is answered
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("first"));
  assert(client.receive_message(Side::Response)->body.text() == "first" && endpoint.has_connection_within(1));
  attempt.send_text(ok_response("late"));
  auto [next, again] = endpoint.accept_request();
  next.send_text(ok_response("second"));
  assert(client.receive_message(Side::Response)->body.text() == "second");
}

// An upload that can't be read on was closed without a word.
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

// A leaving process closes connections that rest. What their clients send in that moment is not sent on, and
// must not be answered by a reset, which takes with it what they have not read yet.
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

bool goes_to(Listener& where, const SidecarProcess& sidecar, const std::string& id) {
  TestConnection client(sidecar.listen);
  client.send_text(get_request("", id));
  if (!where.has_connection_within(1)) return false;
  TestConnection attempt = where.accept_connection();
  return attempt.receive_message(Side::Request) &&
         attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") &&
         client.response_status() == 200;
}

// A watch that goes on without its entries, half lines and blanks on it, one that comes up and says nothing,
// one that is reset: the change is heard within 6 s of all that.
void list_change_is_applied_within_6_s_despite_failing_discovery_calls() {
  Listener old(2), fresh(3);
  SidecarProcess sidecar(list_entry_json("a", old.address));
  TestConnection watch = sidecar.discovery().accept_request().first;
  double until = now() + 20;
  while (watch.ends_within(0.02) && now() < until)
    watch = sidecar.discovery().accept_request().first;  // it was slow to be asked
  watch.send_text(kWatching + list_of(8, list_entry_json("a", old.address)));
  double changed = now();
  assert(goes_to(old, sidecar, "1"));
  while (!sidecar.discovery().has_connection_within(0.2) && now() < changed + 6)
    watch.send_text(http_chunk(" ")) && watch.send_text(http_chunk("\n  {"));
  {
    TestConnection silent = sidecar.discovery().accept_request().first;
    silent.send_text(kWatching + http_chunk("\n\n"));
    assert(silent.ends_within(2));
  }
  sidecar.discovery().accept_request().first.reset();
  TestConnection last = sidecar.discovery().accept_request().first;
  last.send_text(kWatching + list_of(9, list_entry_json("a", old.address, "leaving") + "," +
                                            list_entry_json("b", fresh.address)));
  sleep_for(0.05);
  assert(now() - changed < 6 && goes_to(fresh, sidecar, "2") && !old.has_connection_within(0));
}

// A discovery that has lost its list, or its count of changes, tells nothing of who is there.
void list_is_requested_again_after_index_regression_or_empty_snapshot() {
  Listener endpoint(2), other(3);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address),
                         SidecarProcess::Options{.registry = "on_request"});
  TestConnection watch = sidecar.discovery().accept_request().first;
  watch.send_text(kWatching + list_of(5, list_entry_json("b", other.address), false));
  assert(watch.ends_within(1));
  auto [again, asked] = sidecar.discovery().accept_request();
  assert(asked.target.ends_with("after=0"));
  again.send_text(kWatching + list_of(1, ""));
  assert(again.ends_within(1) && goes_to(endpoint, sidecar, "1") && !other.has_connection_within(0));
  TestConnection whole = sidecar.discovery().accept_request().first;
  whole.send_text(kWatching + list_of(3, list_entry_json("b", other.address)));
  sleep_for(0.05);
  assert(goes_to(other, sidecar, "2") && !endpoint.has_connection_within(0));
}

// Who restarts has a list from before: what has left since must get nothing from it.
void new_process_is_ready_after_the_first_list_or_a_discovery_timeout() {
  Listener discovery(9), old(2), fresh(3);
  SidecarProcess::Options options;
  options.discovery = &discovery;
  std::thread answers([&] {
    TestConnection watch = discovery.accept_request().first;
    sleep_for(0.1);
    watch.send_text(kWatching + list_of(8, list_entry_json("a", old.address, "leaving") + "," +
                                               list_entry_json("b", fresh.address)));
    watch.ends_within(1);
  });
  SidecarProcess sidecar(list_entry_json("a", old.address), options);
  assert(goes_to(fresh, sidecar, "1") && !old.has_connection_within(0));
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
  watch.send_text(kWatching + list_of(8, list_entry_json("a", old.address, "leaving") + "," +
                                             list_entry_json("b", fresh.address)));
  sleep_for(0.05);
  for (int i = 0; i < 5; ++i) assert(goes_to(fresh, sidecar, std::to_string(i)));
  assert(!old.has_connection_within(0) && sidecar.cpu_seconds() < 1);
}

// Idle clients that fill the descriptors while discovery is down keep out neither its list, nor the next
// client, nor what is sent for it.
void idle_clients_at_the_descriptor_limit_block_nothing() {
  check_idle_clients_block_nothing(SidecarProcess::Options{.limits = R"({"sockets":64,"memory_mb":64})"});
}

// The system may let the process have fewer than it was told: clients took the last of them, and neither
// discovery nor an endpoint could be reached any more.
void idle_clients_block_nothing_when_the_system_limit_is_lower_than_configured() {
  SidecarProcess::Options options;
  options.system = 64;
  check_idle_clients_block_nothing(options);
}

// A process is started again while the one before is on its way out, its listener not shut yet: it waits for
// it, also after it was told to end meanwhile, and gives up once that one would have been killed.
void restarted_process_waits_until_the_previous_one_releases_the_listener() {
  Listener endpoint(2);
  auto predecessor = std::make_unique<SidecarProcess>(list_entry_json("a", endpoint.address));
  SidecarProcess::Options options;
  options.number = 1, options.discovery = &predecessor->discovery();
  SidecarProcess next(list_entry_json("a", endpoint.address), options);
  Listener other(8);
  options.number = 2, options.discovery = &other;
  SidecarProcess notified(list_entry_json("a", endpoint.address), options);
  assert(other.has_connection_within(5));  // its listener is the last that it opens
  notified.terminate();
  assert(notified.exit_code(3) == 0);
  predecessor->terminate();
  assert(predecessor->exit_code(2) == 0);
  double until = now() + 5;
  while (next.status_of("GET /healthz HTTP/1.1\r\n\r\n") != 200 && now() < until) sleep_for(0.01);
  assert(goes_to(endpoint, next, "1"));
  SidecarProcess never(list_entry_json("a", endpoint.address), options);
  assert(never.exit_code(9) == 1);
}

// At the end of the time in which a leaving process lets clients in there is no room for one who waits at its
// listener: shut over it, the system would reset a request that it has taken.
void closing_listener_accepts_waiting_clients_when_descriptors_free_up() {
  SidecarProcess sidecar(list_entry_json("a", loopback_address(4) + ":1"),
                         R"({"sockets":64,"memory_mb":64})");
  std::vector<TestConnection> clients;
  for (int i = 0; i < 20; ++i) {  // half of the descriptors that are not kept out
    clients.emplace_back(sidecar.listen);
    clients.back().send_text("POST /write HTTP/1.1\r\nX-Correlation-Id: s" + std::to_string(i) +
                             "\r\nContent-Length: 20\r\n\r\n");
  }
  sidecar.terminate();
  sleep_for(0.1);
  TestConnection late(sidecar.listen);
  late.send_text(get_request());
  for (int i = 0; i < 20; ++i) {  // a byte now and then: none of them makes room
    for (TestConnection& client : clients) client.send_text("x");
    sleep_for(0.04);
  }
  for (TestConnection& client : clients) assert(client.response_status() == 503);
  assert(late.response_status() == 503 && sidecar.exit_code(4) == 0);
}

// Clients that ask once and stay came faster than they were shut, one at a time and only once somebody
// knocked: who came next waited at the listener for seconds.
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
void remaining_deadline_excludes_time_spent_unread() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":64,"memory_mb":64})");
  {
    TestConnection client(sidecar.listen);
    client.send_text(get_request("X-Time-Left: 900m\r\n", "1") + get_request("X-Time-Left: 900m\r\n", "2"));
    auto [attempt, request] = endpoint.accept_request();
    assert(notified(request) > 0.5);
    sleep_for(0.4);
    attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(notified(endpoint.accept_request().second) < 0.55);
  }
  std::vector<TestConnection> clients;  // as many as there are places for, each with half an upload
  for (int i = 0; i < 20; ++i) {
    clients.emplace_back(sidecar.listen);
    clients.back().send_text("POST /write HTTP/1.1\r\nX-Correlation-Id: s" + std::to_string(i) +
                             "\r\nContent-Length: 200\r\n\r\n");
  }
  sleep_for(0.1);
  TestConnection late(sidecar.listen);
  late.send_text(get_request("X-Time-Left: 900m\r\n"));
  for (int i = 0; i < 10; ++i) {  // a byte now and then: none of them makes room
    for (TestConnection& client : clients) client.send_text("x");
    sleep_for(0.04);
  }
  clients.pop_back();
  assert(notified(endpoint.accept_request().second) < 0.55);
}

// An answer that never ends, a few bytes at a time: its client waited for it for ever.
void endless_response_is_cut_off_after_the_client_timeout() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  for (bool sized : {false, true}) {
    TestConnection client(sidecar.listen);
    double begun = now();
    client.send_text(post_request("x"));
    auto [attempt, request] = endpoint.accept_request();
    attempt.send_text(sized ? "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" : kWatching);
    while (attempt.send_text(sized ? "x" : http_chunk("x")) && now() < begun + 2.5) sleep_for(0.05);
    assert(now() - begun < 1.45 &&
           client.ends_within(0.2));  // client timeout 1 s, half a second after it is lost
  }
}

// Want of descriptors of its own was put down to the endpoints, and one of them left out for it.
void descriptor_exhaustion_ejects_no_endpoint() {
  std::vector<std::unique_ptr<Listener>> endpoints;
  std::string list;
  for (int i = 0; i < 4; ++i) {
    endpoints.push_back(std::make_unique<Listener>(100 + i));
    list += (i ? "," : "") + list_entry_json("e" + std::to_string(i), endpoints.back()->address);
  }
  // With time enough that nobody is taken for silent meanwhile, on a busy machine either.
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
    ask("d" + std::to_string(i));  // more than there are descriptors to send all on
  for (auto& each : endpoints) {
    while (each->has_connection_within(0.02)) attempts.push_back(each->accept_connection());
  }
  assert(attempts.size() > 10 && attempts.size() < 20);
  clients.clear();  // they leave, and with them all that was out
  for (TestConnection& attempt : attempts) assert(attempt.ends_within(1));
  for (int i = 0; i < 4; ++i) ask("e" + std::to_string(i));
  for (auto& each : endpoints) assert(each->has_connection_within(0.3));  // by depth: one at each
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
    std::vector<TestConnection> watches;
    while (!over_) {
      if (!listener_.has_connection_within(0.05)) continue;
      watches.push_back(listener_.accept_connection());
      if (watches.back().receive_message(Side::Request))
        watches.back().send_text(kWatching + list_of(8, entries_)), ++notified_;
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
void two_endpoints_listed_at_one_address_do_not_close_its_connections() {
  for (const char* status : {"leaving", "active"}) {
    Listener discovery(9), endpoint(2);
    SidecarProcess::Options options;
    options.discovery = &discovery;
    std::string fresh = list_entry_json("new", endpoint.address);
    fresh.replace(fresh.find(R"("since_ms":0)"), 12, R"("since_ms":1700000000000)");
    Agent agent(discovery, fresh + "," + list_entry_json("old", endpoint.address, status));
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
    for (int i = 1, until = agent.notified() + 2; agent.notified() < until; ++i) {
      sleep_for(0.3);
      assert(i < 20 && ask(std::to_string(i), attempt));
    }
    assert(!endpoint.has_connection_within(0));
  }
}

// Taken back by order it is in slow start from then on. The list, which comes again and again and knows
// nothing of that, made it warm, and half of all went there at once.
void included_endpoint_stays_in_slow_start_when_the_list_is_repeated() {
  Listener discovery(9), one(2), other(3);
  SidecarProcess::Options options;
  options.discovery = &discovery, options.admin = loopback_address(8) + ":5008";
  const std::string entries = list_entry_json("a", one.address) + "," + list_entry_json("b", other.address);
  Agent agent(discovery, entries);
  SidecarProcess sidecar(entries, options);
  auto order = [&](const std::string& what) {
    TestConnection line(options.admin);
    line.send_text("PUT /api/" + what + " HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
    return line.response_status() == 200;
  };
  assert(order("exclude") && order("include"));
  agent.wait_for(2);
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
  assert(there < 12);  // a cold one's share is a tenth at first
}

// A pool that has ended is let go of in the turn that finds its last alarms overdue as well, after a stall:
// they ran on what was no longer there, and the process was gone with all requests in hand.
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
  int notified = 0;
  for (const auto& test_case : test_cases) {
    if (count == 3 && std::string(words[2]) != test_case.name) continue;
    test_case.serve(), ++notified;
  }
  assert(notified > 0);
  std::printf("all %d stories hold\n", notified);
}
