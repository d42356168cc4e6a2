// Short tests of the whole program on loopback. The test itself stands in for clients, endpoints and
// discovery, step by step and with blocking sockets, so that each test is read from top to bottom.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <functional>

#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

const std::string kTurnedAway = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

void a_request_is_delivered_unchanged_and_the_connections_are_used_again() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  client.say(get("X-Time-Left: 400m\r\n"));
  auto [attempt, request] = endpoint.take_request();
  assert(request.method == "GET" && request.target == "/read/a?b" &&
         request.header("X-Correlation-Id") == "77");
  std::optional<double> left = parse_remaining_deadline(request.header("X-Time-Left"));
  assert(left && *left > 0.3 && *left <= 0.4);
  std::string large(65536, 'z');
  attempt.say(ok(large).substr(0, 30000));
  sleep_for(0.02);
  attempt.say(ok(large).substr(30000));
  auto answer = client.hear(HttpReader::Side::Response);
  assert(answer && answer->status == 200 && answer->body.text() == large);
  settle();
  client.say(post(large));
  auto second = attempt.hear(HttpReader::Side::Request);
  assert(second && second->body.text() == large && !endpoint.connection_waits(0));
  left = parse_remaining_deadline(second->header("X-Time-Left"));
  assert(left && *left > 0.9 && *left <= 1);  // none was told: the request class's client timeout
  attempt.say(ok("two"));
  assert(client.hear(HttpReader::Side::Response)->body.text() == "two");
}

void requests_sent_ahead_are_answered_in_turn() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  std::string ahead;
  for (int i = 0; i < 200; ++i) ahead += "GET /healthz HTTP/1.1\r\n\r\n";
  client.say(ahead + get() + "GET /healthz HTTP/1.1\r\n\r\n");
  for (int i = 0; i < 200; ++i) assert(client.answer_status() == 200);
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("x"));
  assert(client.hear(HttpReader::Side::Response)->body.text() == "x");
  assert(client.hear(HttpReader::Side::Response)->body.text() == "ready\n");
}

// Rule 2 as it shows on the wire: what each end of an attempt lets an unsafe request do.
void an_unsafe_request_is_retried_only_if_it_can_not_have_run() {
  struct Row {
    std::function<void(Line&)> act;
    bool again;
  };
  const Row rows[] = {
      {[](Line& attempt) { attempt.say(kTurnedAway); }, true},
      {[](Line& attempt) { attempt.reset(); }, false},
      {[](Line& attempt) { attempt.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), attempt.shut(); },
       false},
      {[](Line& attempt) { attempt.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); }, false},
      {[](Line& attempt) { attempt.say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"); }, false},
      {[](Line& attempt) { attempt.say("HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\nmore"); }, false},
      {[](Line& attempt) { attempt.say("nonsense\r\n\r\n"); }, false}};
  for (const Row& row : rows) {
    Listener one(2), other(3);
    Running sidecar(entry("a", one.address) + "," + entry("b", other.address));
    Line client(sidecar.listen);
    client.say(post("effect"));
    while (!one.connection_waits(0) && !other.connection_waits(0)) sleep_for(0.001);
    Listener& first = one.connection_waits(0) ? one : other;
    Listener& second = &first == &one ? other : one;
    auto [attempt, request] = first.take_request();
    row.act(attempt);
    if (row.again) {
      auto [again, same] = second.take_request();
      assert(same.body.text() == "effect" && same.header("X-Correlation-Id") == "78");
      again.say(ok("done"));
    }
    assert(client.answer_status() == (row.again ? 200 : 502) && !second.connection_waits(0.05));
  }
}

void an_endpoint_that_refuses_or_never_comes_up_costs_no_request() {
  Listener silent(12, 0),
      good(3);  // an address of its own: what never came up knocks there again after a second
  Line filler1(silent.address);  // its backlog is full now: further connections never come up
  Running sidecar(entry("down", here(4) + ":1") + "," + entry("silent", silent.address) + "," +
                  entry("c", good.address));
  std::thread fill([address = silent.address] { Line filler2(address); });
  for (int i = 0; i < 6; ++i) {
    Line client(sidecar.listen);
    double start = now();
    client.say(post("x"));
    auto [attempt, request] = good.take_request();
    attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(client.answer_status() == 200 && now() - start < 0.9);
    attempt.shut();
  }
  fill.detach();
}

void an_idle_connection_that_its_endpoint_closed_carries_no_unsafe_request() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  for (int i = 0; i < 10; ++i) {
    client.say(post("x") +
               post("y"));  // the second follows on the first's answer, which brings the end along
    auto [attempt, request] = endpoint.take_request();
    attempt.say_last(ok("x"));
    auto [again, second] = endpoint.take_request();
    again.say_last(ok("y"));
    assert(second.body.text() == "y" && client.answer_status() == 200 && client.answer_status() == 200);
  }
}

// A network that drops idle connections without a word cost a fifth of the unsafe requests. Once a kept one
// was found dropped those take a new one; safe requests, which can be sent again, go on finding out.
void where_kept_connections_are_dropped_unsafe_requests_take_new_ones() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), R"({"sockets":1024})", "0.5");
  Line client(sidecar.listen);
  client.say(post("x"));
  Line kept = endpoint.take_request().first;
  kept.say(ok("x"));
  assert(client.answer_status() == 200);
  for (int i = 0; i < 2; ++i) {
    settle();
    client.say(get());
    assert(kept.hear(HttpReader::Side::Request));
    kept.reset();
    assert(client.answer_status() == 503);
    client.say(get());
    kept = endpoint.take_request().first;
    kept.say(ok("x"));
    assert(client.answer_status() == 200);
  }
  client.say(post("y"));
  auto [fresh, request] = endpoint.take_request();
  fresh.say(ok("y"));
  assert(request.body.text() == "y" && client.answer_status() == 200);
}

void idle_connections_are_closed_well_before_their_endpoint_does() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  client.say(get());
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("x"));
  assert(client.answer_status() == 200);
  double idle = now();
  assert(!attempt.ended(1) && attempt.ended(0.9) && now() - idle < 1.9);
}

void a_silent_endpoint_costs_the_request_but_not_its_answer() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  double start = now();
  client.say(post("x", "X-Time-Left: 300m\r\n"));
  auto [attempt, request] = endpoint.take_request();
  assert(client.answer_status() == 502 && now() - start > 0.25 && now() - start < 0.4);
  assert(attempt.ended(1));
}

// An answer that stopped short held its request until the client timeout, though it could be sent again.
void an_answer_that_stops_short_is_given_up_and_one_that_comes_slowly_is_not() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  client.say(post("x"));
  auto [attempt, request] = endpoint.take_request();
  for (char byte : std::string("HTTP/1.1 200 OK\r\n")) attempt.say({byte}), sleep_for(0.03);
  attempt.say("Content-Length: 1\r\n\r\nx");
  assert(client.answer_status() == 200);
  settle();
  double start = now();
  client.say(post("y"));
  assert(attempt.hear(HttpReader::Side::Request));
  attempt.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
  assert(client.answer_status() == 502 && now() - start > 0.2 && now() - start < 0.6 && attempt.ended(0.2));
}

// Without a length it is passed on while it comes, as it may be a long one. One that stopped held its client
// for 5 s, long past its request's time.
void a_short_answer_passed_on_that_stops_is_cut_once_its_time_is_over() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  double begun = now();
  client.say(post("x"));
  auto [attempt, request] = endpoint.take_request();
  attempt.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  sleep_for(0.25);
  attempt.say("4\r\nmore\r\n");
  assert(client.text_until("more", 1).find("half") != std::string::npos);
  assert(client.ended(3) && now() - begun > 0.9 && now() - begun < 1.5);  // client timeout 1 s, half after
}

// A sidecar that had no core for a while finds answers and overdue timers at once. Timers first, it took its
// endpoints for silent, though they had answered in time.
void after_a_stall_what_has_come_in_is_heard_before_what_is_due() {
  Listener one(2), other(3);
  Running sidecar(entry("a", one.address) + "," + entry("b", other.address));
  Line client(sidecar.listen);
  client.say(get());
  while (!one.connection_waits(0) && !other.connection_waits(0)) sleep_for(0.001);
  Listener& first = one.connection_waits(0) ? one : other;
  Listener& second = &first == &one ? other : one;
  auto [attempt, request] = first.take_request();
  sidecar.stall([&] {
    attempt.say(ok("in time"));
    sleep_for(0.7);  // two thresholds of half the latency objective each, after which a hedge would go out
  });
  assert(client.answer_status() == 200 && !second.connection_waits(0.05));
}

// Nor does the time that a request lay unread count as time that its client will still wait.
void a_request_that_came_during_a_stall_is_answered_in_what_is_left_of_its_time() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  for (double stalled : {0.1, 0.23, 0.31}) {
    Line client(sidecar.listen);
    double start = now();
    sidecar.stall([&] {
      client.say(post("x", "X-Time-Left: 500m\r\n"));
      sleep_for(stalled);
    });
    auto [attempt, request] = endpoint.take_request();
    assert(client.answer_status() == 502 && now() - start < 0.55);
  }
}

void a_client_that_leaves_withdraws_its_request() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  client.say(get());
  auto [attempt, request] = endpoint.take_request();
  client.shut();
  assert(attempt.ended(0.8));
}

// Watched settings are counted and never act: the same requests get the same answers with and without them.
void other_settings_are_shadowed_and_change_no_answer() {
  for (const std::string& shadow : {std::string(), Running::settings("3"), Running::settings("1")}) {
    Listener first(21), second(22);
    Running running(entry("e0", first.address) + "," + entry("e1", second.address),
                    R"({"sockets":1024,"memory_mb":192})", "0.1", shadow);
    for (int i = 0; i < 12; ++i) {
      Line client(running.listen);
      client.say(get("", std::to_string(1000 + i)));
      bool one = first.connection_waits(0.05) || !second.connection_waits(3);
      auto [line, request] = (one ? first : second).take_request();
      if (i % 3) line.say(ok("yes"));
      else line.say(kTurnedAway);
      if (i % 3 == 0) (one ? second : first).take_request().first.say(ok("yes"));
      assert(client.answer_status() == 200);
    }
    std::string counted = running.shadow();
    assert(counted.empty() == shadow.empty());
    if (shadow.empty()) continue;
    bool equal = shadow == Running::settings("3");
    assert(counted.find(R"("visits":12,"fetches":16)") != std::string::npos);
    assert((counted.find(R"("ended":4)") != std::string::npos) == !equal);
    assert(!equal ||
           counted.find(R"("endpoint":0,"copy":0,"ended":0,"aside":0,"over_share":0)") != std::string::npos);
  }
}

void what_can_not_be_used_is_answered_and_closed() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line other(sidecar.listen);
  other.say(get("", "open"));
  auto [attempt, request] = endpoint.take_request();
  struct Row {
    std::string request;
    int status;
  };
  for (const Row& row :
       {Row{"nonsense\r\n\r\n", 400}, Row{get("X-Time-Left: soon\r\n"), 400},
        Row{get("X-Time-Left:\r\n"), 400}, Row{get("X-Time-Left: 1m\r\nX-Time-Left: 2m\r\n"), 400},
        Row{get("X: " + std::string(40000, 'x')), 431}, Row{get("", ""), 400},
        Row{get("X-Correlation-Id: 76\r\n"), 400}, Row{get("", "open"), 400},
        Row{"GET /read HTTP/1.1\r\n\r\n", 400}, Row{post("x", "Transfer-Encoding: chunked\r\n"), 400},
        Row{post("x", "Content-Length: 1\r\n"), 400}, Row{post(std::string(60000000, 'x')), 413},
        Row{"HEAD /read HTTP/1.1\r\n\r\n", 405}, Row{"GET /other HTTP/1.1\r\n\r\n", 404}}) {
    Line client(sidecar.listen);
    assert(client.say(row.request));  // not cut off while it still sends: it would never read the answer
    assert(client.answer_status() == row.status && client.ended(0.3) && !endpoint.connection_waits(0));
  }
  attempt.say(ok("x"));
  assert(other.answer_status() == 200);
}

// Each held its place for ten seconds, or for good; crowds of them pushed clients out between two requests.
void who_never_sends_a_whole_request_is_told_and_closed_in_time() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), R"({"sockets":80,"memory_mb":64})");
  Line usual(sidecar.listen), silent(sidecar.listen), half(sidecar.listen), blank(sidecar.listen);
  double start = now();
  usual.say(get());
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("x"));
  assert(usual.answer_status() == 200);
  sleep_for(0.5);
  half.say("GET /read HT");
  for (int i = 0; i < 16; ++i) sleep_for(0.1), blank.say("\r\n"), half.say("X");
  assert(half.answer_status() == 408 && blank.answer_status() == 408 && silent.ended(1) &&
         now() - start < 2.9);
  std::vector<Line> crowd;
  for (int i = 0; i < 120; ++i) crowd.emplace_back(sidecar.listen), sleep_for(0.005);
  assert(!usual.anything(0.2));
  usual.say(get());
  endpoint.take_request().first.say(ok("y"));
  assert(usual.answer_status() == 200);
}

void a_client_that_asks_first_is_told_to_send_its_body() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line client(sidecar.listen);
  client.say(
      "POST /write HTTP/1.1\r\nX-Correlation-Id: 7\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  assert(client.anything(1));
  client.say("x");
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("y"));
  assert(client.answer_status() == 200);  // the reader skips the interim answer
}

// Where asking is priced one watch stands as long as it says something, so that a test can tell it what it
// likes.
const Running::Options kPriced{.registry = "on_request"};

Line open_watch(Listener& discovery, const std::string& after) {
  auto [watch, request] = discovery.take_request();
  assert(request.target == "/v1/servers?watch=1&after=" + after);
  watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return std::move(watch);
}

void the_list_is_followed_through_bad_lines_and_silence() {
  Listener old(2), fresh(3);
  Running sidecar(entry("a", old.address), kPriced);
  auto open = [&](const std::string& after) { return open_watch(sidecar.discovery(), after); };
  Line watch = open("7");
  std::string change = R"({"index":9,"snapshot":false,"endpoints":[)" + entry("a", old.address, "leaving") +
                       "," + entry("b", fresh.address) + "]}\n";
  watch.say(chunk(change.substr(0, 50)) + chunk(change.substr(50)) + chunk("\n"));
  sleep_for(0.1);
  Line client(sidecar.listen);
  for (int i = 0; i < 3; ++i) {
    client.say(post("x"));
    auto [attempt, request] = fresh.take_request();
    attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    assert(client.answer_status() == 200 && !old.connection_waits(0));
  }
  watch.say(chunk("{\"index\":10,\n"));
  assert(watch.ended(2));
  watch = open("0");  // whatever the bad line said: the whole list is asked for
  watch.say(chunk(R"({"index":12,"snapshot":true,"endpoints":[)" + entry("a", old.address) + "]}\n"));
  sleep_for(0.1);
  client.say(post("x"));
  old.take_request().first.say(ok(""));
  assert(client.answer_status() == 200);
  double silent = now();
  assert(watch.ended(3.5) && now() - silent > 2.2);  // empty lines come every 2 s
  watch = open("12");
}

// Lists of over a thousand endpoints, as the configuration has them, whole, indented over many lines, and as
// changes. An indented one was taken for a bad line each time, and the sidecar never heard the next list.
void a_list_of_a_thousand_is_read_in_every_form() {
  Listener old(2), fresh(3);
  auto list = [](int index, bool whole, const std::string& others, const std::string& last) {
    std::string text = R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" +
                       (whole ? "true" : "false") + R"(,"endpoints":[)";
    for (int i = 0; i < 1100; ++i)
      text += entry("e" + std::to_string(i),
                    "127.201." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":1", others) +
              ",";
    return text + last + "]}";
  };
  auto indented = [](std::string text) {
    for (std::size_t at = 0; (at = text.find_first_of(",{[", at)) != std::string::npos; ++at)
      text.insert(at + 1, "\n    ");
    return text;
  };
  std::string known = list(7, true, "leaving", entry("a", old.address));
  known = known.substr(known.find('[') + 1);
  Running sidecar(known.substr(0, known.size() - 2), kPriced);
  auto goes_to = [&](Listener& where) {
    Line client(sidecar.listen);
    client.say(post("x"));
    auto [attempt, request] = where.take_request();
    attempt.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return client.answer_status() == 200;
  };
  assert(goes_to(old));
  Line watch = open_watch(sidecar.discovery(), "7");
  watch.say(chunk(list(8, true, "leaving", entry("b", fresh.address)) + "\n\n"));
  sleep_for(0.2);
  assert(goes_to(fresh));
  watch.say(chunk(indented(list(9, true, "leaving", entry("a", old.address))) + "\n"));
  sleep_for(0.2);
  assert(goes_to(old));
  watch.say(chunk(list(10, false, "left", entry("a", old.address, "left") + "," + entry("b", fresh.address)) +
                  "\n"));
  sleep_for(0.2);
  assert(goes_to(fresh));
  watch.say(chunk(indented(list(11, true, "leaving", "")).substr(0, 5000)));
  assert(watch.ended(2));  // broken off amid its lines
  open_watch(sidecar.discovery(), "0");
}

// SIGHUP ended the program, and with it all pending requests.
void a_new_configuration_is_read_while_requests_go_on() {
  Listener endpoint(2), fresh(3), second(4), third(5);
  Running sidecar(entry("a", endpoint.address), kPriced);
  Line first = open_watch(sidecar.discovery(), "7");
  first.say(chunk(R"({"index":9,"snapshot":false,"endpoints":[]})"
                  "\n"));
  Line client(sidecar.listen);
  client.say(get());
  auto [attempt, request] = endpoint.take_request();
  sidecar.assign("no JSON \"");
  sidecar.reload();
  assert(!first.ended(0.2));  // of no use: nothing changes
  sidecar.assign(second.address);
  sidecar.reload();
  Line moved = open_watch(second, "9");  // what was heard at the old address is not asked for again
  assert(first.ended(0.5));
  moved.say(chunk(R"({"index":10,"snapshot":false,"endpoints":[)" + entry("a", endpoint.address, "leaving") +
                  "," + entry("b", fresh.address) + "]}\n"));
  attempt.say(ok("through it all"));
  assert(client.answer_status() == 200);
  client.say(post("x"));
  fresh.take_request().first.say(ok("x"));
  assert(client.answer_status() == 200);
  sidecar.terminate();
  sidecar.assign(third.address);
  sidecar.reload();
  open_watch(third, "10");
  client.shut();
  assert(sidecar.exit_code(2) == 0);
}

// What a whole list leaves out was kept, with its connections, for good; so was what had lost its address.
void endpoints_that_go_without_a_word_keep_no_connection() {
  Listener moved(2), left_out(3);
  Running sidecar(entry("a", moved.address) + "," + entry("b", left_out.address), kPriced);
  Line watch = open_watch(sidecar.discovery(), "7"), client(sidecar.listen), other(sidecar.listen);
  client.say(get("", "1")), other.say(get("", "2"));
  Line to_a = moved.take_request().first, to_b = left_out.take_request().first;
  to_a.say(ok("a")), to_b.say(ok("b"));
  assert(client.answer_status() == 200 && other.answer_status() == 200);
  watch.say(chunk(R"({"index":8,"snapshot":false,"endpoints":[)" + entry("c", moved.address) + "]}\n"));
  assert(to_a.ended(0.5) && !to_b.ended(0.1));
  watch.say(chunk(R"({"index":9,"snapshot":true,"endpoints":[)" + entry("c", moved.address) + "]}\n"));
  assert(to_b.ended(0.5));
}

void a_connection_still_coming_up_is_given_up_once_its_endpoint_leaves() {
  Listener silent(2, 0), good(3);
  Line filler(silent.address);
  Running sidecar(entry("a", silent.address),
                  Running::Options{.connect_timeout = "5", .registry = "on_request"});
  Line watch = sidecar.discovery().take_request().first;
  watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  Line client(sidecar.listen);
  client.say(post("x"));
  sleep_for(0.1);
  watch.say(chunk(R"({"index":8,"snapshot":false,"endpoints":[)" + entry("a", silent.address, "leaving") +
                  "," + entry("b", good.address) + "]}\n"));
  good.take_request().first.say(ok("x"));
  assert(client.answer_status() == 200);
}

void at_sigterm_what_was_taken_is_answered_and_latecomers_too() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address));
  Line busy(sidecar.listen), idle(sidecar.listen), late(sidecar.listen);
  busy.say(get());
  auto [attempt, request] = endpoint.take_request();
  late.say("GET /healthz HTTP/1.1\r\n\r\n");
  assert(late.answer_status() == 200);
  sidecar.terminate();
  sleep_for(0.3);
  Line latest(sidecar.listen);
  assert(latest.connected);
  latest.say(get("", "78")), late.say(get("", "79"));
  for (int i = 0; i < 2; ++i) {
    auto [next, asked] = endpoint.take_request();
    next.say(ok("late"));
  }
  assert(latest.answer_status() == 200 && late.answer_status() == 200);
  attempt.say(ok("first"));
  assert(busy.hear(HttpReader::Side::Response)->body.text() == "first");
  late.shut(), busy.shut();
  // Its listener is shut, but who is connected may have nobody else to go to: two restarts that overlapped
  // cost a second of all requests.
  sleep_for(0.4);
  assert(!Line(sidecar.listen).connected && sidecar.exit_code(0) == -1);
  latest.say(get("", "80"));
  auto asked = attempt.hear(HttpReader::Side::Request);
  std::optional<double> left = parse_remaining_deadline(asked->header("X-Time-Left"));
  assert(left && *left < 0.95);  // of 1: it must be answered before the program has to be gone
  sleep_for(0.5);                // past the last call, with half a second, the latency objective, left
  attempt.say(ok("late"));
  auto answer = latest.hear(HttpReader::Side::Response);
  assert(answer && answer->status == 200 && !answer->keep_alive && idle.ended(0.2) && latest.ended(0.2));
  latest.shut();
  assert(sidecar.exit_code(2) == 0);
}

// SIGKILL counts no more than 3 s of a client timeout. Requests that were to have longer were lost: those
// taken before as well as those that came while it left.
void all_that_was_taken_is_answered_before_sigkill_whatever_time_the_settings_allow() {
  for (std::string client_timeout : {"3.4", "10"}) {
    Listener silent(2);
    Running::Options options;
    options.client_timeout = client_timeout;
    Running sidecar(entry("a", silent.address), options);
    std::vector<Line> clients;
    for (int i = 0; i < 5; ++i) {
      clients.emplace_back(sidecar.listen);
      clients.back().say("GET /healthz HTTP/1.1\r\n\r\n");
      assert(clients.back().answer_status() == 200);
    }
    double begun = now();
    clients[0].say(post("before"));
    auto [attempt, request] = silent.take_request();
    sidecar.terminate();
    const double came[] = {0, 0.02, 0.3, 1.2, 2.9};
    for (std::size_t i = 1; i < clients.size(); ++i) {
      sleep_for(begun + came[i] - now());
      assert(clients[i].say(get("", "8" + std::to_string(i))));
    }
    sleep_for(begun + 3.7 - now());
    kill(sidecar.child(), SIGKILL);
    for (Line& client : clients) assert(client.answer_status() >= 502);
    assert(sidecar.exit_code(1) == 0);  // gone by itself
  }
}

// Whoever sent SIGTERM counts from there, also where the program had no core just then: it was still
// answering when SIGKILL came.
void a_stall_at_sigterm_loses_no_request() {
  Listener silent(2);
  Running::Options options;
  options.client_timeout = "10";
  Running sidecar(entry("a", silent.address), options);
  Line before(sidecar.listen), later(sidecar.listen);
  before.say(post("x"));
  auto [attempt, request] = silent.take_request();
  later.say("GET /healthz HTTP/1.1\r\n\r\n");
  assert(later.answer_status() == 200);
  double notified = now();
  sidecar.stall([&] { sidecar.terminate(), sleep_for(0.4); });
  sleep_for(notified + 1 - now());
  assert(later.say(get("", "79")));
  sleep_for(notified + 3.7 - now());
  kill(sidecar.child(), SIGKILL);
  assert(before.answer_status() >= 502 && later.answer_status() >= 502);
  assert(sidecar.exit_code(1) == 0);
}

void at_sigterm_a_client_that_never_finishes_does_not_hold_the_exit() {
  Running sidecar("");
  Line half(sidecar.listen);
  half.say("GET /read HT");
  sleep_for(0.05);
  sidecar.terminate();
  assert(sidecar.exit_code(2) == 0);  // client timeout 1 s, and 0.6
}

void at_the_limit_of_descriptors_clients_wait_and_nothing_spins() {
  Listener endpoint(2, 256);
  Running sidecar(entry("a", endpoint.address), R"({"sockets":80,"memory_mb":64})");
  std::vector<Line> clients;
  for (int i = 0; i < 60; ++i) {
    clients.emplace_back(sidecar.listen);
    clients.back().say("GET /read HTTP/1.1\r\nX-Part: ");
  }
  double before = sidecar.cpu_seconds();
  sleep_for(0.5);
  assert(sidecar.cpu_seconds() - before < 0.1);
  Line whole(sidecar.listen);  // behind them all: those that hold a place with half a request give way
  whole.say(get());
  auto [attempt, request] = endpoint.take_request();
  attempt.say(ok("x"));
  assert(whole.answer_status() == 200);
  clients.clear();
  for (int i = 0; i < 60; ++i) {  // idle ones give way to the next
    clients.emplace_back(sidecar.listen);
    clients.back().say("GET /healthz HTTP/1.1\r\n\r\n");
    assert(clients.back().answer_status() == 200);
  }
}

// Each request leaves a connection at another endpoint. The next client found no room until one of those had
// grown old, and its request, taken by then, was lost.
void idle_connections_to_many_endpoints_leave_clients_their_room() {
  std::vector<std::unique_ptr<Listener>> endpoints;
  std::vector<Line> kept;
  std::string list;
  for (int i = 0; i < 100; ++i) {
    endpoints.push_back(std::make_unique<Listener>(100 + i));
    list += (i ? "," : "") + entry("e" + std::to_string(i), endpoints.back()->address);
  }
  Running sidecar(list, R"({"sockets":80,"memory_mb":64})");
  auto asked = [&](Line& line) { return line.anything(0) && line.hear(HttpReader::Side::Request); };
  auto attempted = [&](double within) -> Line* {
    for (double until = now() + within; now() < until;) {
      for (auto& one : endpoints) {
        if (one->connection_waits(0)) kept.push_back(one->take());
      }
      auto found = std::find_if(kept.begin(), kept.end(), asked);
      if (found != kept.end()) return &*found;
    }
    return nullptr;
  };
  Line client(sidecar.listen);
  for (int i = 0; i < 70; ++i) {
    client.say(post("x"));
    Line* attempt = attempted(1);
    sleep_for(0.002 + 0.0002 * i);  // each a little slower than the last: those not met yet look better
    assert(attempt && attempt->say(ok("x")) && client.answer_status() == 200);
  }
  assert(kept.size() > 56);  // as many as there are descriptors
  client.say(post("x"));
  assert(attempted(1));  // in hand: no client's own connection can make room
  Line next(sidecar.listen);
  next.say(get());
  Line* attempt = attempted(0.5);
  assert(attempt && attempt->say(ok("x")) && next.answer_status() == 200);
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2);
  program = words[1];
  signal(SIGPIPE, SIG_IGN);
  a_request_is_delivered_unchanged_and_the_connections_are_used_again();
  requests_sent_ahead_are_answered_in_turn();
  an_unsafe_request_is_retried_only_if_it_can_not_have_run();
  an_endpoint_that_refuses_or_never_comes_up_costs_no_request();
  an_idle_connection_that_its_endpoint_closed_carries_no_unsafe_request();
  where_kept_connections_are_dropped_unsafe_requests_take_new_ones();
  idle_connections_are_closed_well_before_their_endpoint_does();
  a_silent_endpoint_costs_the_request_but_not_its_answer();
  an_answer_that_stops_short_is_given_up_and_one_that_comes_slowly_is_not();
  a_short_answer_passed_on_that_stops_is_cut_once_its_time_is_over();
  after_a_stall_what_has_come_in_is_heard_before_what_is_due();
  a_request_that_came_during_a_stall_is_answered_in_what_is_left_of_its_time();
  a_client_that_leaves_withdraws_its_request();
  other_settings_are_shadowed_and_change_no_answer();
  what_can_not_be_used_is_answered_and_closed();
  who_never_sends_a_whole_request_is_told_and_closed_in_time();
  a_client_that_asks_first_is_told_to_send_its_body();
  the_list_is_followed_through_bad_lines_and_silence();
  a_list_of_a_thousand_is_read_in_every_form();
  a_new_configuration_is_read_while_requests_go_on();
  endpoints_that_go_without_a_word_keep_no_connection();
  a_connection_still_coming_up_is_given_up_once_its_endpoint_leaves();
  at_sigterm_what_was_taken_is_answered_and_latecomers_too();
  all_that_was_taken_is_answered_before_sigkill_whatever_time_the_settings_allow();
  a_stall_at_sigterm_loses_no_request();
  at_sigterm_a_client_that_never_finishes_does_not_hold_the_exit();
  at_the_limit_of_descriptors_clients_wait_and_nothing_spins();
  idle_connections_to_many_endpoints_leave_clients_their_room();
  std::puts("all stories hold");
}
