// Unit tests of the HTTP parser and headers, endpoint lists, settings, buffers, idle connections and the
// loop.
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <pcg_random.hpp>
#include <sstream>

#include "src/discovery/discovery.h"
#include "src/discovery/list_splitter.h"
#include "src/http/headers.h"
#include "src/http/http.h"
#include "src/net/loop.h"
#include "src/proxy/endpoint_addresses.h"
#include "src/proxy/idle_connections.h"
#include "src/proxy/idle_reuse_history.h"
#include "src/server/sidecar_config.h"
#include "testing/helpers.h"

using namespace puffinvane;
using Side = HttpReader::Side;
using Fault = HttpReader::Fault;

namespace {

// Feeds the bytes in two parts, split at each position in turn, and then byte by byte. The result must not
// depend on how the bytes are split.
template <typename Check>
void at_every_split(Side side, const std::string& bytes, Check check) {
  BufferPool pool;
  for (std::size_t split = 0; split <= bytes.size(); ++split) {
    HttpReader reader(side, pool);
    std::size_t used = reader.feed(std::string_view(bytes).substr(0, split));
    used += reader.feed(std::string_view(bytes).substr(used, bytes.size() - used));
    check(reader, used);
  }
  HttpReader reader(side, pool);
  std::size_t used = 0;
  for (char byte : bytes) used += reader.feed({&byte, 1});
  check(reader, used);
}

void a_request_is_parsed_the_same_wherever_it_is_split() {
  std::string request =
      "POST /checkout/a?b=c HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: 9b1f\r\nx-account:  acme \r\n"
      "Content-Length: 5\r\n\r\nhello";
  at_every_split(Side::Request, request + "GET /", [&](HttpReader& reader, std::size_t used) {
    assert(reader.is_complete() && used == request.size());
    HttpMessage message = reader.take();
    assert(message.method == "POST" && message.target == "/checkout/a?b=c" && message.keep_alive);
    assert(message.header("X-Account") == "acme" && message.header("x-correlation-id") == "9b1f");
    assert(message.body.text() == "hello" && !reader.started());
  });
}

void a_chunked_response_is_parsed_the_same_wherever_it_is_split() {
  std::string response =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: "
      "close\r\n\r\n"
      "4;x=y\r\nabcd\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
  at_every_split(Side::Response, response, [&](HttpReader& reader, std::size_t used) {
    assert(reader.is_complete() && used == response.size());
    HttpMessage message = reader.take();
    assert(message.status == 200 && message.body.text() == "abcd0123456789" && !message.keep_alive);
    assert(message.header("Trailer").empty());
  });
}

void the_end_of_the_connection_completes_only_a_response_without_a_length() {
  BufferPool pool;
  HttpReader unsized(Side::Response, pool);
  unsized.feed("HTTP/1.1 200 OK\r\n\r\npart");
  assert(!unsized.is_complete());
  unsized.end_of_input();
  assert(unsized.is_complete() && unsized.message().body.text() == "part" && !unsized.message().keep_alive);
  HttpReader truncated(Side::Response, pool);
  truncated.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  truncated.end_of_input();
  assert(!truncated.is_complete());
  HttpReader none(Side::Response, pool);
  none.feed("HTTP/1.1 204 No Content\r\n\r\n");
  assert(none.is_complete());
}

void malformed_and_ambiguous_messages_are_rejected() {
  for (const char* bad :
       {"nonsense\r\n\r\n", "GET  HTTP/1.1\r\n", "GET /a b HTTP/1.1\r\n", "GET /a HTTP/2.0\r\n",
        "GET a HTTP/1.1\r\n", "GET /a HTTP/1.1\r\nNo colon\r\n", "GET /a HTTP/1.1\r\nSpaced : x\r\n",
        "GET /a HTTP/1.1\r\nA: b\r\n folded\r\n", "GET /a HTTP/1.1\r\nA: b\rc\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: 5x\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 5, 5\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"}) {
    at_every_split(Side::Request, bad, [&](HttpReader& reader, std::size_t) {
      assert(reader.fault() == Fault::Malformed && !reader.is_complete());
    });
  }
  for (const char* bad : {"HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "ICY 200 OK\r\n", "HTTP/1.1 abc\r\n",
                          "HTTP/1.1 200 OHTTP/1.1 500 Oops\r\n"}) {
    at_every_split(Side::Response, bad,
                   [](HttpReader& reader, std::size_t) { assert(reader.fault() == Fault::Malformed); });
  }
}

void oversized_heads_and_bodies_are_rejected_before_they_are_buffered() {
  BufferPool pool;
  HttpReader head(Side::Request, pool);
  head.feed("GET /a HTTP/1.1\r\n");
  for (int i = 0; i < 100 && head.fault() == Fault::None; ++i)
    head.feed("H: " + std::string(1000, 'x') + "\r\n");
  assert(head.fault() == Fault::HeadTooLarge);
  HttpReader line(Side::Request, pool);
  line.feed("GET /" + std::string(20000, 'x'));
  assert(line.fault() == Fault::HeadTooLarge);
  HttpReader declared(Side::Request, pool);
  declared.feed("POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
  assert(declared.fault() == Fault::BodyTooLarge);
  HttpReader chunks(Side::Request, pool);
  chunks.feed("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 17; ++i) chunks.feed("1000\r\n" + std::string(4096, 'x') + "\r\n");
  assert(chunks.fault() == Fault::BodyTooLarge && pool.in_use() <= 5);
  HttpReader most(Side::Request, pool);
  most.feed("POST /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(65536, 'x'));
  assert(most.is_complete());
}

void endless_interim_responses_exceed_the_head_limit() {
  BufferPool pool;
  HttpReader reader(Side::Response, pool);
  for (int i = 0; i < 20 && reader.fault() == Fault::None; ++i) reader.feed("HTTP/1.1 103 Early\r\n\r\n");
  assert(reader.fault() == Fault::None);
  for (int i = 0; i < 2000 && reader.fault() == Fault::None; ++i) reader.feed("HTTP/1.1 103 Early\r\n\r\n");
  assert(reader.fault() == Fault::HeadTooLarge);
}

void a_request_counts_as_started_from_its_first_byte() {
  BufferPool pool;
  HttpReader reader(Side::Request, pool);
  reader.feed("\r\n");
  assert(!reader.started());  // an empty line after the body of the request before
  reader.feed("\r\n");
  assert(reader.started());
  reader.take();
  assert(!reader.started());
  reader.feed("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
  assert(reader.started());
}

void many_small_chunks_do_not_exceed_the_head_limit() {
  BufferPool pool;
  HttpReader reader(Side::Response, pool);
  reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 20000; ++i) {
    reader.feed("1\r\nx\r\n");
    reader.take_body_text();
  }
  assert(reader.fault() == Fault::None && reader.in_body());
}

void a_forwarded_request_loses_only_hop_by_hop_headers() {
  BufferPool pool;
  HttpReader reader(Side::Request, pool);
  reader.feed(
      "POST /a/b?c HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: 77\r\nIdempotency-Key: "
      "k\r\nX-Time-Left: 9m\r\n"
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  BufferChain out(pool);
  write_request(out, reader.message(), "10.0.0.1:80", format_remaining_deadline(0.25));
  assert(out.text() ==
         "POST /a/b?c HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: 77\r\nIdempotency-Key: k\r\n"
         "X-Time-Left: 250000u\r\nContent-Length: 2\r\n\r\nhi");
}

void a_forwarded_response_keeps_its_body_and_end_to_end_headers() {
  BufferPool pool;
  std::string body(40000, 'z');
  HttpReader reader(Side::Response, pool);
  reader.feed(
      "HTTP/1.1 200 OK\r\nContent-Type: t\r\nX-Backend-Load: inflight=1\r\nContent-Length: 40000\r\n\r\n" +
      body);
  BufferChain out(pool);
  write_response(out, 200, &reader.message(), "", "", true);
  HttpReader again(Side::Response, pool);
  again.feed(out.text());
  assert(again.is_complete() && again.message().body.text() == body && !again.message().keep_alive);
  assert(again.message().header("Content-Type") == "t" && again.message().header("X-Backend-Load").empty());
}

void header_values_are_parsed_or_rejected() {
  assert(parse_remaining_deadline("480m") == 0.48 && parse_remaining_deadline("1500u") == 0.0015 &&
         parse_remaining_deadline("0m") == 0.0);
  for (const char* bad : {"", "m", "480", "-1m", "1s", "nanm", "infu", "4 m", "1e999m", "1e2m", "0x9m"})
    assert(!parse_remaining_deadline(bad));
  assert(parse_remaining_deadline("99999999999m") == 3600.0);
  assert(request_class_of("/status/a") == "status" && request_class_of("/status?x") == "status");
  assert(request_class_of("/").empty() && request_class_of("").empty());
  assert(format_retry_after(0.25) == "0.250" && format_remaining_deadline(-1) == "0u");
  assert(parse_load("inflight=7,queue=2,util=0.61").depth == 7 && parse_load("util=1,queue=2").depth == 2);
  Load load = parse_load("qps=41.5,util=0.8,inflight=3");
  assert(load.requests_per_s == 41.5 && load.cpu_utilization == 0.8 && load.depth == 3 &&
         parse_load("util=7").cpu_utilization == 1);
  assert(parse_load("qps=-1,util=nan").requests_per_s < 0 &&
         parse_load("qps=-1,util=nan").cpu_utilization < 0);
  RequestFacts facts = parse_request_facts("size=3,key=track-7,hint=0.12");
  assert(facts.key == "track-7" && facts.work == 0.12 && parse_request_facts("hint=-2,=,key").work == 0);
  assert(parse_load("queue=2,inflight=7").depth == 7 && parse_load("nonsense,=,queue=x").depth < 0);
}

void the_outcome_follows_status_and_x_unprocessed() {
  auto outcome = [](const char* bytes) {
    BufferPool pool;
    HttpReader reader(Side::Response, pool);
    reader.feed(bytes);
    return outcome_of(reader.message());
  };
  assert(outcome("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") == Outcome::Delivered);
  assert(outcome("HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n") == Outcome::Failed);
  assert(outcome("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n") == Outcome::Refused);
  assert(outcome("HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n") == Outcome::Refused);
  assert(outcome("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") == Outcome::Failed);
  assert(outcome("HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n") == Outcome::Failed);
  assert(outcome_of_disconnect(false) == Outcome::ConnectFailed &&
         outcome_of_disconnect(true) == Outcome::Broken);
}

void an_endpoint_list_is_parsed_with_its_stated_start_times() {
  EndpointList list = parse_endpoint_list(
                          R"({"index":43,"snapshot":false,"endpoints":[
         {"name":"s-1","address":"10.1.0.18:5000","zone":"a","group":3,"status":"leaving","weight":1.5,
         "since_ms":5000},
        {"name":"s-2","address":"10.1.0.19:5000","zone":"b","group":4,"status":"active","weight":0,
         "since_ms":0},
        {"name":"s-3","status":"left","new":{"field":1}}]})")
                          .value();
  assert(list.index == 43 && !list.is_snapshot && list.entries.size() == 3 &&
         list.addresses[1] == "10.1.0.19:5000");
  assert(list.entries[0].state == ListedState::Draining && list.stated_start_ms[0] == 5000 &&
         list.entries[0].cell == 3);
  assert(list.entries[1].state == ListedState::Ready && list.entries[1].weight == 1 &&
         list.stated_start_ms[1] == 0);
  assert(list.entries[2].state == ListedState::Removed && list.addresses[2].empty() &&
         list.stated_start_ms[2] == 0);
}

template <typename Act>
std::string error_message(Act act) {
  try {
    act();
  } catch (const std::exception& fault) {
    return fault.what();
  }
  return "";
}

void a_malformed_list_or_assignment_yields_an_error_message() {
  for (const char* bad :
       {"", "{", "[]", "{}", R"({"index":1})", R"({"index":1,"endpoints":[{"status":"active"}]})",
        R"({"index":1,"endpoints":[{"name":"a","status":"asleep","address":"b"}]})",
        R"({"index":1,"endpoints":[{"name":"a","status":"active"}]})"})
    assert(!describe(parse_endpoint_list(bad).error()).empty());
  simdjson::dom::parser parser;
  auto assign = [&](std::string text) { return read_sidecar_config(parser.parse(text)); };
  std::string settings =
      R"({"PathPrefixes":[{"Name":"read","ClientTimeoutS":2.5}],"Limits":{"ConnectTimeoutS":0.12,)"
      R"("ConnIdleS":10.0},)"
      R"("Rules":{},"RegistryMode":"on_request"})";
  std::string rest = R"("name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2")";
  SidecarConfig good = assign(
      "{" + rest + R"(,"seed":"8c1f30d27a5be964","limits":{"sockets":64},"settings":)" + settings + "}");
  assert(good.seed == 0x8c1f30d27a5be964 && good.descriptors == 64 && good.deployment.idle_timeout_s == 10);
  assert(good.deployment.connect_timeout_s == 0.12 &&
         good.deployment.request_classes[0].client_timeout_s == 2.5);
  assert(!good.deployment.polls_endpoint_list);
  for (std::string bad :
       {std::string("[]"), "{" + rest + "}", "{" + rest + R"(,"seed":"xyz","settings":)" + settings + "}",
        "{" + rest + R"(,"seed":"1","settings":{}})", "{" + rest + R"(,"seed":"1"})"})
    assert(!error_message([&] { assign(bad); }).empty());
  assert(error_message([] { load_sidecar_config("/nowhere"); }).find("/nowhere") == 0);
  assert(error_message([] { load_sidecar_config(nullptr); }).find("BALANCER_CONFIG") != std::string::npos);
}

void the_list_splitter_returns_only_complete_lines() {
  ListSplitter lines;
  lines.append("one\ntw");
  assert(lines.take_line() == "one" && !lines.take_line());
  lines.append("o\n\n");
  assert(lines.take_line() == "two" && lines.take_line() == "" && !lines.take_line());
  // A list that spans several lines is complete where its braces close; braces within strings do not count.
  std::string indented = "{\n  \"a\": [\n    {\"b\": \"}]\\\"{\"}\n  ]\n}";
  lines.append(indented.substr(0, 20));
  assert(!lines.take_line() && lines.ends_inside_list());
  lines.append(indented.substr(20) + "\n\nnext\n");
  assert(lines.take_line() == indented && !lines.ends_inside_list());
  assert(lines.take_line() == "" && lines.take_line() == "next");
  // A string cannot span lines: the line ends here, and is malformed.
  lines.append("{\"no end\n}\n");
  assert(lines.take_line() && lines.take_line() == "}");
}

void freed_buffers_are_reused() {
  BufferPool pool;
  {
    BufferChain chain(pool);
    chain.add(std::string(40000, 'a') + "end");
    assert(pool.in_use() == 3 && chain.size() == 40003);
    chain.drop(39999);
    assert(pool.in_use() == 1 && chain.front() == "aend");
    BufferChain moved(std::move(chain)), copy(pool);
    copy.add(moved);
    copy.add(moved);
    assert(copy.text() == "aendaend" && chain.empty());
    moved = std::move(copy);
    assert(moved.size() == 8 && pool.in_use() == 1);
  }
  assert(pool.in_use() == 0 && pool.free_count() == 3);
  BufferPool::Buffer again = pool.acquire();
  assert(pool.free_count() == 2);
}

void idle_connections_are_taken_most_recent_first_and_closed_oldest_first() {
  IdleConnections<int> idle;
  for (int i = 0; i < 3; ++i) idle.add("a", std::make_unique<int>(i), 10 + i);
  idle.add("b", std::make_unique<int>(9), 10.5);
  assert(*idle.take_most_recent("a") == 2 && !idle.take_most_recent("c"));
  assert(!idle.take_oldest(9) && *idle.take_oldest(11) == 0 && *idle.take_oldest(11) == 9);
  auto one = std::make_unique<int>(5);
  const int& key = *one;
  idle.add("a", std::move(one), 13);
  assert(*idle.remove("a", key) == 5 && !idle.remove("a", key) && idle.count("a") == 1 &&
         idle.count("b") == 0);
}

void idle_times_after_which_connections_were_reset_are_likely_stale() {
  IdleReuseHistory uses;
  for (int i = 0; i < 200; ++i) uses.record(0.01, false), uses.record(0.3, i % 6 == 0);
  assert(uses.likely_stale(0.3) && uses.likely_stale(5) && !uses.likely_stale(0.02));
  for (int i = 0; i < 64; ++i) uses.record(0.3, i == 5);
  assert(!uses.likely_stale(0.3));  // a single reset may be chance
}

void an_endpoint_with_a_new_address_is_reported_as_stale() {
  EndpointAddresses addresses;
  using Names = std::vector<std::string>;
  assert(addresses.assign("a", "1:1").empty() && addresses.assign("a", "1:1").empty());
  assert(addresses.assign("a", "2:2") == Names{"a"} && *addresses.find("a") == "2:2" && !addresses.find("b"));
  assert(addresses.assign("b", "2:2") == Names{"a"} &&
         !addresses.find("a"));  // another endpoint now has this address
  assert(addresses.assign("c", "3:3").empty() && addresses.not_listed_in({"c", "d"}) == Names{"b"});
  addresses.erase("b");
  assert(!addresses.find("b") && addresses.not_listed_in({}) == Names{"c"});
}

void timers_run_in_order_and_posted_work_runs_in_the_next_turn() {
  std::ostringstream out;
  Log log(out, Level::Info);
  Loop loop(log, 100);
  std::string order;
  double start = loop.now();
  loop.at(start + 0.02, [&] {
    order += 'c';
    loop.quit();
  });
  loop.at(start + 0.01, [&] { order += 'b'; });
  loop.at(start - 1, [&] {
    order += 'a';
    loop.post([&] { order += '2'; });
    order += '1';
  });
  {
    LifetimeToken alive;
    loop.post(alive.guard([&] { order += 'x'; }));
  }
  loop.run();
  assert(order == "a12bc" && loop.now() >= start + 0.02);
}

// Two sockets are readable in the same loop turn. The handler that runs first replaces the other's socket by
// a new one with the same descriptor and no input. The event of the old socket must not be delivered for the
// new one.
struct DescriptorReuser final : SocketEventHandler {
  DescriptorReuser(Loop& loop, int& events) : loop(loop), events(events) {
    assert(socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
  }
  ~DescriptorReuser() override {
    loop.unwatch(ends[0]);
    close(ends[0]);
    close(ends[1]);
  }
  void on_ready(std::uint32_t) override {
    ++events;
    loop.unwatch(ends[0]);
    loop.unwatch(other->ends[0]);
    int fresh[2];
    assert(socketpair(AF_UNIX, SOCK_STREAM, 0, fresh) == 0);
    dup2(fresh[0], other->ends[0]);
    dup2(fresh[1], other->ends[1]);
    close(fresh[0]);
    close(fresh[1]);
    loop.watch(other->ends[0], EPOLLIN, *other);
  }
  Loop& loop;
  int& events;
  int ends[2];
  DescriptorReuser* other = nullptr;
};

void a_reused_descriptor_gets_no_event_of_the_closed_socket() {
  std::ostringstream text;
  Log log(text, Level::Error);
  Loop loop(log, 100);
  int events = 0;
  DescriptorReuser one(loop, events), other(loop, events);
  one.other = &other;
  other.other = &one;
  for (DescriptorReuser* each : {&one, &other}) {
    loop.watch(each->ends[0], EPOLLIN, *each);
    assert(write(each->ends[1], "x", 1) == 1);
  }
  loop.at(loop.now() + 0.02, [&] { loop.quit(); });
  loop.run();
  assert(events == 1);
}

void timers_run_in_order_over_many_milliseconds_and_new_ones_wait_a_turn() {
  std::ostringstream text;
  Log log(text, Level::Error);
  Loop loop(log, 100);
  std::vector<int> order;
  double now = loop.now();
  for (int i = 199; i >= 0; --i) loop.at(now + 0.0001 * i, [&order, i] { order.push_back(i); });
  // A timer that is due when it is set has to wait for the next turn, so that such timers cannot block the
  // loop.
  loop.at(now, [&] { loop.at(now, [&] { order.push_back(-1); }); });
  loop.at(now + 0.04, [&] { loop.quit(); });
  loop.run();
  assert(order.size() == 201);
  order.erase(std::find(order.begin(), order.end(), -1));
  assert(std::is_sorted(order.begin(), order.end()));
}

void log_lines_below_the_level_are_not_written() {
  std::ostringstream out;
  Log log(out, Level::Warning);
  log.info() << "a " << 1;
  log.warning() << "b " << 2;
  assert(out.str() == "warning: b 2\n" && parse_log_level("debug") == Level::Debug &&
         parse_log_level("?") == Level::Info);
}

// A setting with an unusable value is rejected with a message; it must not silently become the default.
void optional_settings_are_parsed_or_rejected() {
  auto read = [](const std::string& more) {
    simdjson::dom::parser parser;
    std::string text = R"({"PathPrefixes":[{"Name":"read"}],"Limits":{},"Rules":{})" + more + "}";
    return read_deployment(parser.parse(text));
  };
  Deployment plain = read("");
  assert(!plain.responses_report_load && !plain.last_tier && !plain.has_key_affinity &&
         plain.cross_zone_price == 0);
  Deployment with_options = read(R"(,"Report":{"Via":"piggyback"},"Tiers":["a","b"],"Layer":1,
                             "Extra":{"WarmKeys":true},"Fees":{"CrossZone":0.03})");
  assert(with_options.responses_report_load && with_options.last_tier && with_options.has_key_affinity &&
         with_options.cross_zone_price == 0.03);
  // A queue depth without the rate of served requests does not tell how full the fleet is.
  assert(read(R"(,"Report":{"Via":"piggyback","Fields":["busy_reqs","served_ps"]})").responses_report_load);
  assert(!read(R"(,"Report":{"Via":"piggyback","Fields":["busy_reqs","cpu_share"]})").responses_report_load);
  assert(!plain.may_use_unlisted_endpoints);
  for (const char* bad :
       {R"(,"Report":{"Via":"shout"})", R"(,"Report":{"Via":null})", R"(,"Report":{"Via":3})",
        R"(,"Extra":{"WarmKeys":"yes"})", R"(,"Extra":{"WarmKeys":null})", R"(,"Fees":{"CrossZone":-0.1})",
        R"(,"Fees":{"CrossZone":"much"})", R"(,"Fees":{"CrossZone":null})", R"(,"Tiers":[])",
        R"(,"Tiers":["a"],"Layer":1)", R"(,"Tiers":"a")", R"(,"Tiers":["a"],"Layer":-1)"}) {
    bool is_rejected = false;
    try {
      read(bad);
    } catch (const Malformed& fault) {
      is_rejected = std::string(fault.what()).size() > 8;
    }
    assert(is_rejected);
  }
}

void an_endless_response_whose_parts_are_taken_is_not_too_large() {
  BufferPool pool;
  HttpReader reader(HttpReader::Side::Response, pool, 1000);
  reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 50; ++i) {
    reader.feed("64\r\n" + std::string(100, 'x') + "\r\n");
    assert(reader.fault() == HttpReader::Fault::None && reader.take_body_text().size() == 100);
  }
}

// Randomly corrupted and randomly split input is parsed, rejected or awaited further, and every buffer is
// returned.
void corrupted_messages_and_lists_are_parsed_or_rejected() {
  const std::string valid_inputs[] = {
      "GET /read/a?b HTTP/1.1\r\nX-Correlation-Id: 77\r\n\r\n",
      "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nT: t\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\nuntil its end",
      R"({"index":9,"snapshot":true,"endpoints":[{"name":"a","address":"1.2.3.4:5","status":"leaving","since_ms":7}]})"
      "\n"};
  const std::string insertions[] = {
      "\r\n", "{", "}", "\"", "\\", "HTTP/1.1 ", "0", "-1", "ffffffff", "Content-Length: 1\r\n", "\n\n", "]"};
  BufferPool pool;
  pcg32 random(39);
  int complete = 0, rejected = 0, lists = 0;
  for (int round = 0; round < 20000; ++round) {
    std::size_t kind = random(5);
    std::string text = valid_inputs[kind];
    for (std::uint32_t i = random(4); i > 0; --i) {
      std::size_t at = random(std::uint32_t(text.size()));
      switch (random(4)) {
        case 0: text[at] = char(random(256)); break;
        case 1: text.insert(at, insertions[random(std::size(insertions))]); break;
        case 2: text.erase(at, random(8)); break;
        default: text += text.substr(at);
      }
      if (text.empty()) text = " ";
    }
    HttpReader reader(kind < 2 ? Side::Request : Side::Response, pool);
    ListSplitter lines;
    for (std::size_t at = 0; at < text.size();) {
      std::string_view part = std::string_view(text).substr(at, 1 + random(20));
      at += part.size();
      std::size_t used = reader.feed(part);
      assert(used <= part.size() && !(reader.is_complete() && reader.fault() != Fault::None));
      lines.append(part);
      while (std::optional<std::string> line = lines.take_line()) {
        assert(line->size() <= text.size());
        ListResult result = parse_endpoint_list(*line);
        if (result) lists += !result.value().entries.empty();
      }
    }
    complete += reader.is_complete();
    rejected += reader.fault() != Fault::None;
  }
  assert(complete > 2000 && rejected > 2000 && lists > 500 && pool.in_use() == 0);
}

}  // namespace

int main() {
  an_endless_response_whose_parts_are_taken_is_not_too_large();
  optional_settings_are_parsed_or_rejected();
  a_request_is_parsed_the_same_wherever_it_is_split();
  a_chunked_response_is_parsed_the_same_wherever_it_is_split();
  the_end_of_the_connection_completes_only_a_response_without_a_length();
  malformed_and_ambiguous_messages_are_rejected();
  oversized_heads_and_bodies_are_rejected_before_they_are_buffered();
  endless_interim_responses_exceed_the_head_limit();
  a_request_counts_as_started_from_its_first_byte();
  many_small_chunks_do_not_exceed_the_head_limit();
  a_forwarded_request_loses_only_hop_by_hop_headers();
  a_forwarded_response_keeps_its_body_and_end_to_end_headers();
  header_values_are_parsed_or_rejected();
  the_outcome_follows_status_and_x_unprocessed();
  an_endpoint_list_is_parsed_with_its_stated_start_times();
  a_malformed_list_or_assignment_yields_an_error_message();
  the_list_splitter_returns_only_complete_lines();
  freed_buffers_are_reused();
  idle_connections_are_taken_most_recent_first_and_closed_oldest_first();
  idle_times_after_which_connections_were_reset_are_likely_stale();
  an_endpoint_with_a_new_address_is_reported_as_stale();
  timers_run_in_order_and_posted_work_runs_in_the_next_turn();
  a_reused_descriptor_gets_no_event_of_the_closed_socket();
  timers_run_in_order_over_many_milliseconds_and_new_ones_wait_a_turn();
  log_lines_below_the_level_are_not_written();
  corrupted_messages_and_lists_are_parsed_or_rejected();
  std::puts("wire: all tests passed");
}
