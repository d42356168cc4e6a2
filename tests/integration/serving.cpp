// Short tests of the whole program on loopback. Each test plays clients, endpoints and discovery itself, step
// by step with blocking sockets, so that it reads from top to bottom.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <functional>

#include "testing/sidecar_process.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

const std::string kRejectedResponse = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

void request_is_forwarded_unchanged_and_connections_are_reused() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request("X-Time-Left: 400m\r\n"));
  auto [attempt, request] = endpoint.accept_request();
  assert(request.method == "GET" && request.target == "/read/a?b" &&
         request.header("X-Correlation-Id") == "77");
  std::optional<double> left = parse_remaining_deadline(request.header("X-Time-Left"));
  assert(left && *left > 0.3 && *left <= 0.4);
  std::string large(65536, 'z');
  attempt.send_text(ok_response(large).substr(0, 30000));
  sleep_for(0.02);
  attempt.send_text(ok_response(large).substr(30000));
  auto answer = client.receive_message(HttpReader::Side::Response);
  assert(answer && answer->status == 200 && answer->body.text() == large);
  wait_until_reusable();
  client.send_text(post_request(large));
  auto second = attempt.receive_message(HttpReader::Side::Request);
  assert(second && second->body.text() == large && !endpoint.has_connection_within(0));
  left = parse_remaining_deadline(second->header("X-Time-Left"));
  assert(left && *left > 0.9 &&
         *left <= 1);  // the client named none: the client timeout of the request class applies
  attempt.send_text(ok_response("two"));
  assert(client.receive_message(HttpReader::Side::Response)->body.text() == "two");
}

void pipelined_requests_are_answered_in_order() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  std::string ahead;
  for (int i = 0; i < 200; ++i) ahead += "GET /healthz HTTP/1.1\r\n\r\n";
  client.send_text(ahead + get_request() + "GET /healthz HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 200; ++i) assert(client.response_status() == 200);
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));
  assert(client.receive_message(HttpReader::Side::Response)->body.text() == "x");
  assert(client.receive_message(HttpReader::Side::Response)->body.text() == "ready\n");
}

// Rule 2 on the wire: for each way that an attempt can end, whether an unsafe request may be retried.
void unsafe_request_is_retried_only_if_it_cannot_have_run() {
  struct Row {
    std::function<void(TestConnection&)> act;
    bool is_retried;
  };
  const Row rows[] = {
      {[](TestConnection& attempt) { attempt.send_text(kRejectedResponse); }, true},
      {[](TestConnection& attempt) { attempt.reset(); }, false},
      {[](TestConnection& attempt) {
         attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), attempt.disconnect();
       },
       false},
      {[](TestConnection& attempt) { attempt.send_text("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); },
       false},
      {[](TestConnection& attempt) { attempt.send_text("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); },
       false},
      {[](TestConnection& attempt) {
         attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\nmore");
       },
       false},
      {[](TestConnection& attempt) { attempt.send_text("nonsense\r\n\r\n"); }, false}};
  for (const Row& row : rows) {
    Listener one(2), other(3);
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
    TestConnection client(sidecar.listen);
    client.send_text(post_request("effect"));
    while (!one.has_connection_within(0) && !other.has_connection_within(0)) sleep_for(0.001);
    Listener& first = one.has_connection_within(0) ? one : other;
    Listener& second = &first == &one ? other : one;
    auto [attempt, request] = first.accept_request();
    row.act(attempt);
    if (row.is_retried) {
      auto [again, same] = second.accept_request();
      assert(same.body.text() == "effect" && same.header("X-Correlation-Id") == "78");
      again.send_text(ok_response("done"));
    }
    assert(client.response_status() == (row.is_retried ? 200 : 502) && !second.has_connection_within(0.05));
  }
}

void refusing_and_unreachable_endpoints_fail_no_request() {
  Listener silent(12, 0),
      good(3);  // a separate address: the kernel retries abandoned connections to the silent one after 1 s
  TestConnection filler1(silent.address);  // fills the backlog: further connections are never established
  SidecarProcess sidecar(list_entry_json("down", loopback_address(4) + ":1") + "," +
                         list_entry_json("silent", silent.address) + "," +
                         list_entry_json("c", good.address));
  std::thread fill([address = silent.address] { TestConnection filler2(address); });
  for (int i = 0; i < 6; ++i) {
    TestConnection client(sidecar.listen);
    double start = now();
    client.send_text(post_request("x"));
    auto [attempt, request] = good.accept_request();
    attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(client.response_status() == 200 && now() - start < 0.9);
    attempt.disconnect();
  }
  fill.detach();
}

void unsafe_request_is_not_sent_on_an_idle_connection_closed_by_the_endpoint() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  for (int i = 0; i < 10; ++i) {
    client.send_text(
        post_request("x") +
        post_request("y"));  // the second is sent as the first is answered and its connection closed
    auto [attempt, request] = endpoint.accept_request();
    attempt.send_and_close(ok_response("x"));
    auto [again, second] = endpoint.accept_request();
    again.send_and_close(ok_response("y"));
    assert(second.body.text() == "y" && client.response_status() == 200 && client.response_status() == 200);
  }
}

// A network that drops idle connections silently failed a fifth of the unsafe requests. Once an idle
// connection was found dropped, unsafe requests open new connections; safe requests, which can be retried,
// keep probing idle ones.
void unsafe_requests_open_new_connections_after_an_idle_one_was_dropped() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":1024})", "0.5");
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  TestConnection kept = endpoint.accept_request().first;
  kept.send_text(ok_response("x"));
  assert(client.response_status() == 200);
  for (int i = 0; i < 2; ++i) {
    wait_until_reusable();
    client.send_text(get_request());
    assert(kept.receive_message(HttpReader::Side::Request));
    kept.reset();
    assert(client.response_status() == 503);
    client.send_text(get_request());
    kept = endpoint.accept_request().first;
    kept.send_text(ok_response("x"));
    assert(client.response_status() == 200);
  }
  client.send_text(post_request("y"));
  auto [fresh, request] = endpoint.accept_request();
  fresh.send_text(ok_response("y"));
  assert(request.body.text() == "y" && client.response_status() == 200);
}

void idle_connections_are_closed_before_the_endpoint_closes_them() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));
  assert(client.response_status() == 200);
  double idle = now();
  assert(!attempt.ends_within(1) && attempt.ends_within(0.9) && now() - idle < 1.9);
}

void request_to_a_silent_endpoint_fails_at_its_deadline() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  double start = now();
  client.send_text(post_request("x", "X-Time-Left: 300m\r\n"));
  auto [attempt, request] = endpoint.accept_request();
  assert(client.response_status() == 502 && now() - start > 0.25 && now() - start < 0.4);
  assert(attempt.ends_within(1));
}

// A response that stopped halfway held its request until the client timeout, although the request could have
// been retried.
void stalled_response_is_cancelled_and_a_slow_one_is_not() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  auto [attempt, request] = endpoint.accept_request();
  for (char byte : std::string("HTTP/1.1 200 OK\r\n")) attempt.send_text({byte}), sleep_for(0.03);
  attempt.send_text("Content-Length: 1\r\n\r\nx");
  assert(client.response_status() == 200);
  wait_until_reusable();
  double start = now();
  client.send_text(post_request("y"));
  assert(attempt.receive_message(HttpReader::Side::Request));
  attempt.send_text("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  assert(client.response_status() == 502 && now() - start > 0.2 && now() - start < 0.6 &&
         attempt.ends_within(0.2));
}

// A response without a length is streamed, as it may be long. When it stopped, its client was kept waiting
// for 5 s, long past the deadline of the request.
void stalled_streamed_response_is_cut_off_after_the_client_timeout() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  double started_at = now();
  client.send_text(post_request("x"));
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  sleep_for(0.25);
  attempt.send_text("4\r\nmore\r\n");
  assert(client.receive_until("more", 1).find("half") != std::string::npos);
  assert(client.ends_within(3) && now() - started_at > 0.9 &&
         now() - started_at < 1.5);  // client timeout 1 s, 0.5 s after it
}

// After a stall, the sidecar finds responses and overdue timers at the same time. Running the timers first
// made it treat its endpoints as silent although they had answered in time.
void received_responses_are_processed_before_overdue_timers_after_a_stall() {
  Listener one(2), other(3);
  SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  while (!one.has_connection_within(0) && !other.has_connection_within(0)) sleep_for(0.001);
  Listener& first = one.has_connection_within(0) ? one : other;
  Listener& second = &first == &one ? other : one;
  auto [attempt, request] = first.accept_request();
  sidecar.while_stopped([&] {
    attempt.send_text(ok_response("in time"));
    sleep_for(0.7);  // twice the delay (half the latency objective) after which a hedge is sent
  });
  assert(client.response_status() == 200 && !second.has_connection_within(0.05));
}

// Time that a request spent unread during a stall is subtracted from its deadline.
void request_received_during_a_stall_is_answered_within_its_deadline() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  for (double stalled : {0.1, 0.23, 0.31}) {
    TestConnection client(sidecar.listen);
    double start = now();
    sidecar.while_stopped([&] {
      client.send_text(post_request("x", "X-Time-Left: 500m\r\n"));
      sleep_for(stalled);
    });
    auto [attempt, request] = endpoint.accept_request();
    assert(client.response_status() == 502 && now() - start < 0.55);
  }
}

void client_disconnect_cancels_its_attempt() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  client.disconnect();
  assert(attempt.ends_within(0.8));
}

// The shadow policy is counted and never acts: the same requests get the same responses with and without it.
void shadow_policy_is_counted_and_changes_no_response() {
  for (const std::string& shadow :
       {std::string(), SidecarProcess::settings("3"), SidecarProcess::settings("1")}) {
    Listener first(21), second(22);
    SidecarProcess running(list_entry_json("e0", first.address) + "," + list_entry_json("e1", second.address),
                           R"({"sockets":1024,"memory_mb":192})", "0.1", shadow);
    for (int i = 0; i < 12; ++i) {
      TestConnection client(running.listen);
      client.send_text(get_request("", std::to_string(1000 + i)));
      bool one = first.has_connection_within(0.05) || !second.has_connection_within(3);
      auto [connection, request] = (one ? first : second).accept_request();
      if (i % 3) connection.send_text(ok_response("yes"));
      else connection.send_text(kRejectedResponse);
      if (i % 3 == 0) (one ? second : first).accept_request().first.send_text(ok_response("yes"));
      assert(client.response_status() == 200);
    }
    std::string counted = running.shadow_report();
    assert(counted.empty() == shadow.empty());
    if (shadow.empty()) continue;
    bool equal = shadow == SidecarProcess::settings("3");
    assert(counted.find(R"("visits":12,"fetches":16)") != std::string::npos);
    assert((counted.find(R"("ended":4)") != std::string::npos) == !equal);
    assert(!equal ||
           counted.find(R"("endpoint":0,"copy":0,"ended":0,"aside":0,"over_share":0)") != std::string::npos);
  }
}

void invalid_requests_are_answered_and_closed() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection other(sidecar.listen);
  other.send_text(get_request("", "open"));
  auto [attempt, request] = endpoint.accept_request();
  struct Row {
    std::string request;
    int status;
  };
  for (const Row& row :
       {Row{"nonsense\r\n\r\n", 400}, Row{get_request("X-Time-Left: soon\r\n"), 400},
        Row{get_request("X-Time-Left:\r\n"), 400},
        Row{get_request("X-Time-Left: 1m\r\nX-Time-Left: 2m\r\n"), 400},
        Row{get_request("X: " + std::string(40000, 'x')), 431}, Row{get_request("", ""), 400},
        Row{get_request("X-Correlation-Id: 76\r\n"), 400}, Row{get_request("", "open"), 400},
        Row{"GET /read HTTP/1.1\r\n\r\n", 400}, Row{post_request("x", "Transfer-Encoding: chunked\r\n"), 400},
        Row{post_request("x", "Content-Length: 1\r\n"), 400},
        Row{post_request(std::string(60000000, 'x')), 413}, Row{"HEAD /read HTTP/1.1\r\n\r\n", 405},
        Row{"GET /other HTTP/1.1\r\n\r\n", 404}}) {
    TestConnection client(sidecar.listen);
    assert(client.send_text(row.request));  // the connection must stay open while the client sends, or it
                                            // never reads the response
    assert(client.response_status() == row.status && client.ends_within(0.3) &&
           !endpoint.has_connection_within(0));
  }
  attempt.send_text(ok_response("x"));
  assert(other.response_status() == 200);
}

// Such clients used to hold a connection for ten seconds, or for good; crowds of them caused other clients to
// be disconnected between two requests.
void incomplete_requests_are_answered_408_and_closed_in_time() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":80,"memory_mb":64})");
  TestConnection usual(sidecar.listen), silent(sidecar.listen), half(sidecar.listen), blank(sidecar.listen);
  double start = now();
  usual.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));
  assert(usual.response_status() == 200);
  sleep_for(0.5);
  half.send_text("GET /read HT");
  for (int i = 0; i < 16; ++i) sleep_for(0.1), blank.send_text("\r\n"), half.send_text("X");
  assert(half.response_status() == 408 && blank.response_status() == 408 && silent.ends_within(1) &&
         now() - start < 2.9);
  std::vector<TestConnection> crowd;
  for (int i = 0; i < 120; ++i) crowd.emplace_back(sidecar.listen), sleep_for(0.005);
  assert(!usual.has_input_within(0.2));
  usual.send_text(get_request());
  endpoint.accept_request().first.send_text(ok_response("y"));
  assert(usual.response_status() == 200);
}

void expect_100_continue_is_answered() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection client(sidecar.listen);
  client.send_text(
      "POST /write HTTP/1.1\r\nX-Correlation-Id: 7\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  assert(client.has_input_within(1));
  client.send_text("x");
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("y"));
  assert(client.response_status() == 200);  // the reader skips the interim answer
}

// In on-request mode, one watch stays open as long as it carries data, so that a test controls what the
// sidecar receives.
const SidecarProcess::Options kOnRequestMode{.discovery_mode = "on_request"};

TestConnection open_watch(Listener& discovery, const std::string& after) {
  auto [watch, request] = discovery.accept_request();
  assert(request.target == "/v1/servers?watch=1&after=" + after);
  watch.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return std::move(watch);
}

void endpoint_list_is_followed_despite_bad_lines_and_silence() {
  Listener old(2), fresh(3);
  SidecarProcess sidecar(list_entry_json("a", old.address), kOnRequestMode);
  auto open = [&](const std::string& after) { return open_watch(sidecar.discovery(), after); };
  TestConnection watch = open("7");
  std::string change = R"({"index":9,"snapshot":false,"endpoints":[)" +
                       list_entry_json("a", old.address, "leaving") + "," +
                       list_entry_json("b", fresh.address) + "]}\n";
  watch.send_text(http_chunk(change.substr(0, 50)) + http_chunk(change.substr(50)) + http_chunk("\n"));
  sleep_for(0.1);
  TestConnection client(sidecar.listen);
  for (int i = 0; i < 3; ++i) {
    client.send_text(post_request("x"));
    auto [attempt, request] = fresh.accept_request();
    attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(client.response_status() == 200 && !old.has_connection_within(0));
  }
  watch.send_text(http_chunk("{\"index\":10,\n"));
  assert(watch.ends_within(2));
  watch = open("0");  // after a bad line, the full list is requested
  watch.send_text(http_chunk(R"({"index":12,"snapshot":true,"endpoints":[)" +
                             list_entry_json("a", old.address) + "]}\n"));
  sleep_for(0.1);
  client.send_text(post_request("x"));
  old.accept_request().first.send_text(ok_response(""));
  assert(client.response_status() == 200);
  double silent = now();
  assert(watch.ends_within(3.5) && now() - silent > 2.2);  // discovery sends an empty line every 2 s
  watch = open("12");
}

// Lists of over a thousand endpoints: in the configuration, as a snapshot, indented over many lines, and as
// changes. An indented list used to be rejected as a bad line, and the sidecar never received another one.
void list_of_a_thousand_endpoints_is_read_in_every_format() {
  Listener old(2), fresh(3);
  auto list = [](int index, bool whole, const std::string& others, const std::string& last) {
    std::string text = R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" +
                       (whole ? "true" : "false") + R"(,"endpoints":[)";
    for (int i = 0; i < 1100; ++i)
      text += list_entry_json("e" + std::to_string(i),
                              "127.201." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":1",
                              others) +
              ",";
    return text + last + "]}";
  };
  auto indented = [](std::string text) {
    for (std::size_t at = 0; (at = text.find_first_of(",{[", at)) != std::string::npos; ++at)
      text.insert(at + 1, "\n    ");
    return text;
  };
  std::string known = list(7, true, "leaving", list_entry_json("a", old.address));
  known = known.substr(known.find('[') + 1);
  SidecarProcess sidecar(known.substr(0, known.size() - 2), kOnRequestMode);
  auto request_reaches = [&](Listener& where) {
    TestConnection client(sidecar.listen);
    client.send_text(post_request("x"));
    auto [attempt, request] = where.accept_request();
    attempt.send_text("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return client.response_status() == 200;
  };
  assert(request_reaches(old));
  TestConnection watch = open_watch(sidecar.discovery(), "7");
  watch.send_text(http_chunk(list(8, true, "leaving", list_entry_json("b", fresh.address)) + "\n\n"));
  sleep_for(0.2);
  assert(request_reaches(fresh));
  watch.send_text(http_chunk(indented(list(9, true, "leaving", list_entry_json("a", old.address))) + "\n"));
  sleep_for(0.2);
  assert(request_reaches(old));
  watch.send_text(
      http_chunk(list(10, false, "left",
                      list_entry_json("a", old.address, "left") + "," + list_entry_json("b", fresh.address)) +
                 "\n"));
  sleep_for(0.2);
  assert(request_reaches(fresh));
  watch.send_text(http_chunk(indented(list(11, true, "leaving", "")).substr(0, 5000)));
  assert(watch.ends_within(2));  // the list was cut off between two of its lines
  open_watch(sidecar.discovery(), "0");
}

// SIGHUP used to end the program and all pending requests with it.
void configuration_reload_does_not_interrupt_requests() {
  Listener endpoint(2), fresh(3), second(4), third(5);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), kOnRequestMode);
  TestConnection first = open_watch(sidecar.discovery(), "7");
  first.send_text(http_chunk(R"({"index":9,"snapshot":false,"endpoints":[]})"
                             "\n"));
  TestConnection client(sidecar.listen);
  client.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  sidecar.write_configuration("no JSON \"");
  sidecar.reload();
  assert(!first.ends_within(0.2));  // the file is invalid: nothing changes
  sidecar.write_configuration(second.address);
  sidecar.reload();
  TestConnection moved = open_watch(second, "9");  // continues after the last index, also at the new address
  assert(first.ends_within(0.5));
  moved.send_text(http_chunk(R"({"index":10,"snapshot":false,"endpoints":[)" +
                             list_entry_json("a", endpoint.address, "leaving") + "," +
                             list_entry_json("b", fresh.address) + "]}\n"));
  attempt.send_text(ok_response("through it all"));
  assert(client.response_status() == 200);
  client.send_text(post_request("x"));
  fresh.accept_request().first.send_text(ok_response("x"));
  assert(client.response_status() == 200);
  sidecar.terminate();
  sidecar.write_configuration(third.address);
  sidecar.reload();
  open_watch(third, "10");
  client.disconnect();
  assert(sidecar.exit_code(2) == 0);
}

// Endpoints missing from a snapshot were kept forever with their connections, and so were those whose address
// was taken over by another name.
void endpoints_missing_from_the_list_keep_no_connections() {
  Listener moved(2), left_out(3);
  SidecarProcess sidecar(list_entry_json("a", moved.address) + "," + list_entry_json("b", left_out.address),
                         kOnRequestMode);
  TestConnection watch = open_watch(sidecar.discovery(), "7"), client(sidecar.listen), other(sidecar.listen);
  client.send_text(get_request("", "1")), other.send_text(get_request("", "2"));
  TestConnection to_a = moved.accept_request().first, to_b = left_out.accept_request().first;
  to_a.send_text(ok_response("a")), to_b.send_text(ok_response("b"));
  assert(client.response_status() == 200 && other.response_status() == 200);
  watch.send_text(http_chunk(R"({"index":8,"snapshot":false,"endpoints":[)" +
                             list_entry_json("c", moved.address) + "]}\n"));
  assert(to_a.ends_within(0.5) && !to_b.ends_within(0.1));
  watch.send_text(http_chunk(R"({"index":9,"snapshot":true,"endpoints":[)" +
                             list_entry_json("c", moved.address) + "]}\n"));
  assert(to_b.ends_within(0.5));
}

void connecting_attempt_is_abandoned_when_its_endpoint_leaves() {
  Listener silent(2, 0), good(3);
  TestConnection filler(silent.address);
  SidecarProcess sidecar(list_entry_json("a", silent.address),
                         SidecarProcess::Options{.connect_timeout = "5", .discovery_mode = "on_request"});
  TestConnection watch = sidecar.discovery().accept_request().first;
  watch.send_text("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  TestConnection client(sidecar.listen);
  client.send_text(post_request("x"));
  sleep_for(0.1);
  watch.send_text(http_chunk(R"({"index":8,"snapshot":false,"endpoints":[)" +
                             list_entry_json("a", silent.address, "leaving") + "," +
                             list_entry_json("b", good.address) + "]}\n"));
  good.accept_request().first.send_text(ok_response("x"));
  assert(client.response_status() == 200);
}

void sigterm_drains_accepted_and_late_requests() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address));
  TestConnection busy(sidecar.listen), idle(sidecar.listen), late(sidecar.listen);
  busy.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  late.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(late.response_status() == 200);
  sidecar.terminate();
  sleep_for(0.3);
  TestConnection latest(sidecar.listen);
  assert(latest.connected);
  latest.send_text(get_request("", "78")), late.send_text(get_request("", "79"));
  for (int i = 0; i < 2; ++i) {
    auto [next, asked] = endpoint.accept_request();
    next.send_text(ok_response("late"));
  }
  assert(latest.response_status() == 200 && late.response_status() == 200);
  attempt.send_text(ok_response("first"));
  assert(busy.receive_message(HttpReader::Side::Response)->body.text() == "first");
  late.disconnect(), busy.disconnect();
  // The listener is closed, but connected clients may have nowhere else to go: two overlapping restarts used
  // to fail a second of all requests.
  sleep_for(0.4);
  assert(!TestConnection(sidecar.listen).connected && sidecar.exit_code(0) == -1);
  latest.send_text(get_request("", "80"));
  auto last_request = attempt.receive_message(HttpReader::Side::Request);
  std::optional<double> left = parse_remaining_deadline(last_request->header("X-Time-Left"));
  assert(left &&
         *left < 0.95);  // client timeout 1 s, cut so that the request is answered before the process ends
  sleep_for(0.5);        // half a second (the latency objective) is left after the last accepted request
  attempt.send_text(ok_response("late"));
  auto answer = latest.receive_message(HttpReader::Side::Response);
  assert(answer && answer->status == 200 && !answer->keep_alive && idle.ends_within(0.2) &&
         latest.ends_within(0.2));
  latest.disconnect();
  assert(sidecar.exit_code(2) == 0);
}

// SIGKILL waits for at most 3 s of a client timeout. Requests with a longer deadline were lost, whether
// accepted before SIGTERM or while the process shut down.
void all_accepted_requests_are_answered_before_sigkill_despite_long_client_timeouts() {
  for (std::string client_timeout : {"3.4", "10"}) {
    Listener silent(2);
    SidecarProcess::Options options;
    options.client_timeout = client_timeout;
    SidecarProcess sidecar(list_entry_json("a", silent.address), options);
    std::vector<TestConnection> clients;
    for (int i = 0; i < 5; ++i) {
      clients.emplace_back(sidecar.listen);
      clients.back().send_text("GET /healthz HTTP/1.1\r\n\r\n");
      assert(clients.back().response_status() == 200);
    }
    double started_at = now();
    clients[0].send_text(post_request("before"));
    auto [attempt, request] = silent.accept_request();
    sidecar.terminate();
    const double came[] = {0, 0.02, 0.3, 1.2, 2.9};
    for (std::size_t i = 1; i < clients.size(); ++i) {
      sleep_for(started_at + came[i] - now());
      assert(clients[i].send_text(get_request("", "8" + std::to_string(i))));
    }
    sleep_for(started_at + 3.7 - now());
    kill(sidecar.child(), SIGKILL);
    for (TestConnection& client : clients) assert(client.response_status() >= 502);
    assert(sidecar.exit_code(1) == 0);  // it had ended by itself
  }
}

// The time until SIGKILL runs from SIGTERM, even if the process is stalled just then. It used to be still
// answering when SIGKILL came.
void stall_at_sigterm_loses_no_request() {
  Listener silent(2);
  SidecarProcess::Options options;
  options.client_timeout = "10";
  SidecarProcess sidecar(list_entry_json("a", silent.address), options);
  TestConnection before(sidecar.listen), later(sidecar.listen);
  before.send_text(post_request("x"));
  auto [attempt, request] = silent.accept_request();
  later.send_text("GET /healthz HTTP/1.1\r\n\r\n");
  assert(later.response_status() == 200);
  double signalled_at = now();
  sidecar.while_stopped([&] { sidecar.terminate(), sleep_for(0.4); });
  sleep_for(signalled_at + 1 - now());
  assert(later.send_text(get_request("", "79")));
  sleep_for(signalled_at + 3.7 - now());
  kill(sidecar.child(), SIGKILL);
  assert(before.response_status() >= 502 && later.response_status() >= 502);
  assert(sidecar.exit_code(1) == 0);
}

void incomplete_request_does_not_delay_exit_at_sigterm() {
  SidecarProcess sidecar("");
  TestConnection half(sidecar.listen);
  half.send_text("GET /read HT");
  sleep_for(0.05);
  sidecar.terminate();
  assert(sidecar.exit_code(2) == 0);  // client timeout 1 s plus 0.6 s
}

void clients_wait_without_busy_looping_at_the_descriptor_limit() {
  Listener endpoint(2, 256);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), R"({"sockets":80,"memory_mb":64})");
  std::vector<TestConnection> clients;
  for (int i = 0; i < 60; ++i) {
    clients.emplace_back(sidecar.listen);
    clients.back().send_text("GET /read HTTP/1.1\r\nX-Part: ");
  }
  double before = sidecar.cpu_seconds();
  sleep_for(0.5);
  assert(sidecar.cpu_seconds() - before < 0.1);
  TestConnection complete(
      sidecar.listen);  // behind all others: connections with half a request are reclaimed
  complete.send_text(get_request());
  auto [attempt, request] = endpoint.accept_request();
  attempt.send_text(ok_response("x"));
  assert(complete.response_status() == 200);
  clients.clear();
  for (int i = 0; i < 60; ++i) {  // idle connections are reclaimed for the next
    clients.emplace_back(sidecar.listen);
    clients.back().send_text("GET /healthz HTTP/1.1\r\n\r\n");
    assert(clients.back().response_status() == 200);
  }
}

// Each request leaves an idle connection at another endpoint. The next client got no descriptor until one of
// those had expired, and its request, already accepted, was lost.
void idle_upstream_connections_make_room_for_clients() {
  std::vector<std::unique_ptr<Listener>> endpoints;
  std::vector<TestConnection> kept;
  std::string list;
  for (int i = 0; i < 100; ++i) {
    endpoints.push_back(std::make_unique<Listener>(100 + i));
    list += (i ? "," : "") + list_entry_json("e" + std::to_string(i), endpoints.back()->address);
  }
  SidecarProcess sidecar(list, R"({"sockets":80,"memory_mb":64})");
  auto received_request = [&](TestConnection& connection) {
    return connection.has_input_within(0) && connection.receive_message(HttpReader::Side::Request);
  };
  auto attempted = [&](double within) -> TestConnection* {
    for (double until = now() + within; now() < until;) {
      for (auto& one : endpoints) {
        if (one->has_connection_within(0)) kept.push_back(one->accept_connection());
      }
      auto found = std::find_if(kept.begin(), kept.end(), received_request);
      if (found != kept.end()) return &*found;
    }
    return nullptr;
  };
  TestConnection client(sidecar.listen);
  for (int i = 0; i < 70; ++i) {
    client.send_text(post_request("x"));
    TestConnection* attempt = attempted(1);
    sleep_for(0.002 +
              0.0002 * i);  // each is a little slower than the last, so that unused endpoints look better
    assert(attempt && attempt->send_text(ok_response("x")) && client.response_status() == 200);
  }
  assert(kept.size() > 56);  // as many as there are descriptors for
  client.send_text(post_request("x"));
  assert(attempted(1));  // pending, so that the connection of this client cannot be reclaimed
  TestConnection next(sidecar.listen);
  next.send_text(get_request());
  TestConnection* attempt = attempted(0.5);
  assert(attempt && attempt->send_text(ok_response("x")) && next.response_status() == 200);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2);
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  request_is_forwarded_unchanged_and_connections_are_reused();
  pipelined_requests_are_answered_in_order();
  unsafe_request_is_retried_only_if_it_cannot_have_run();
  refusing_and_unreachable_endpoints_fail_no_request();
  unsafe_request_is_not_sent_on_an_idle_connection_closed_by_the_endpoint();
  unsafe_requests_open_new_connections_after_an_idle_one_was_dropped();
  idle_connections_are_closed_before_the_endpoint_closes_them();
  request_to_a_silent_endpoint_fails_at_its_deadline();
  stalled_response_is_cancelled_and_a_slow_one_is_not();
  stalled_streamed_response_is_cut_off_after_the_client_timeout();
  received_responses_are_processed_before_overdue_timers_after_a_stall();
  request_received_during_a_stall_is_answered_within_its_deadline();
  client_disconnect_cancels_its_attempt();
  shadow_policy_is_counted_and_changes_no_response();
  invalid_requests_are_answered_and_closed();
  incomplete_requests_are_answered_408_and_closed_in_time();
  expect_100_continue_is_answered();
  endpoint_list_is_followed_despite_bad_lines_and_silence();
  list_of_a_thousand_endpoints_is_read_in_every_format();
  configuration_reload_does_not_interrupt_requests();
  endpoints_missing_from_the_list_keep_no_connections();
  connecting_attempt_is_abandoned_when_its_endpoint_leaves();
  sigterm_drains_accepted_and_late_requests();
  all_accepted_requests_are_answered_before_sigkill_despite_long_client_timeouts();
  stall_at_sigterm_loses_no_request();
  incomplete_request_does_not_delay_exit_at_sigterm();
  clients_wait_without_busy_looping_at_the_descriptor_limit();
  idle_upstream_connections_make_room_for_clients();
  std::puts("all tests passed");
}
