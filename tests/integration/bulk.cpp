// Tests of bodies that are too long to be held, on the whole program over loopback.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <fstream>
#include <thread>
#include <vector>

#include "testing/running.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

const Running::Options kSmall{.limits = R"({"sockets":1024,"memory_mb":48})", .client_timeout = "20.0"};
constexpr std::size_t kLong = 8u << 20;

std::string body_of(std::size_t size) {
  std::string body(size, 'a');
  for (std::size_t i = 0; i < size; ++i) body[i] = char('a' + (i * 7 + i / 1000) % 26);
  return body;
}
std::string chunked(const std::string& body, std::size_t step) {
  std::string text;
  char size[32];
  for (std::size_t at = 0; at < body.size(); at += step) {
    std::string part = body.substr(at, step);
    std::snprintf(size, sizeof size, "%zX;by=test\r\n", part.size());
    text += size + part + "\r\n";
  }
  return text + "0\r\nX-Trailer: last\r\n\r\n";
}
std::size_t resident_kb(pid_t child) {
  std::ifstream status("/proc/" + std::to_string(child) + "/status");
  std::string all(std::istreambuf_iterator<char>(status), {});
  return std::stoul(all.substr(all.find("VmHWM:") + 6));
}
// A body behind the header lines that frame it.
std::string framed(const std::string& body, bool in_chunks, std::size_t step) {
  if (in_chunks) return "transfer-encoding: Chunked\r\n\r\n" + chunked(body, step);
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
// All of a message whose body may be as long as it likes.
std::optional<HttpMessage> hear_long(Line& line, HttpReader::Side side) {
  return line.hear(side, HttpReader::kMaxStreamedBodyBytes);
}

void a_long_answer_is_passed_on_while_it_comes() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), kSmall);
  std::string body = body_of(kLong);
  for (bool in_chunks : {false, true}) {
    Line client(sidecar.listen);
    client.say(get("", in_chunks ? "c" : "l"));
    auto [attempt, request] = endpoint.take_request();
    std::string all = "HTTP/1.1 200 OK\r\n" + framed(body, in_chunks, 50001);
    attempt.say(all.substr(0, 200000));
    assert(client.anything(1));  // its first bytes, before the endpoint has given the last
    std::thread rest([&, &line = attempt] { assert(line.say(all.substr(200000))); });
    auto answer = hear_long(client, HttpReader::Side::Response);
    rest.join();
    assert(answer && answer->status == 200 && answer->body.text() == body);
    // Both connections are good for more.
    settle();
    client.say(get("", in_chunks ? "c2" : "l2"));
    assert(attempt.hear(HttpReader::Side::Request));
    attempt.say(ok("x"));
    assert(client.answer_status() == 200);
    attempt.shut();
    sleep_for(0.05);
  }
}

void a_long_answer_that_breaks_is_never_taken_for_whole() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), kSmall);
  for (bool in_chunks : {false, true}) {
    Line client(sidecar.listen);
    client.say(get("", in_chunks ? "c" : "l"));
    auto [attempt, request] = endpoint.take_request();
    std::string all = "HTTP/1.1 200 OK\r\n" + framed(body_of(150000), in_chunks, 150000);
    attempt.say_last(all.substr(0, all.size() - 22));  // all but the last chunk, or as many bytes
    assert(!hear_long(client, HttpReader::Side::Response) && client.ended(1));
  }
}

void a_long_body_reaches_its_endpoint_whole(std::size_t size) {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), kSmall);
  std::string body = body_of(size);
  for (bool in_chunks : {false, true}) {
    Line client(sidecar.listen);
    std::string head = "POST /write HTTP/1.1\r\nX-Correlation-Id: " + std::to_string(in_chunks) + "\r\n";
    std::thread sends([&] { assert(client.say(head + framed(body, in_chunks, 30011))); });
    Line attempt = endpoint.take();
    auto request = hear_long(attempt, HttpReader::Side::Request);
    sends.join();
    assert(request && request->body.text() == body);
    attempt.say(ok("done"));
    assert(client.answer_status() == 200);
  }
}

void what_was_held_whole_is_retried_and_what_streamed_is_not() {
  for (std::size_t size : {std::size_t{500000}, kLong}) {
    Listener one(2), other(4);
    Running sidecar(entry("a", one.address) + "," + entry("b", other.address), kSmall);
    std::string body = body_of(size);
    Line client(sidecar.listen);
    std::thread sends([&] { client.say(post(body)); });
    while (!one.connection_waits(0) && !other.connection_waits(0)) sleep_for(0.001);
    Listener& first = one.connection_waits(0) ? one : other;
    Listener& second = &first == &one ? other : one;
    Line attempt = first.take();
    assert(attempt.anything(1));
    if (size > 4000000) {  // more than the system holds for a connection
      attempt.text_until("never", 0.1);
      attempt.reset();  // before its last byte was written: it can't have run, but it is gone
      assert(client.answer_status() == 503 && !second.connection_waits(0.1));
    } else {
      assert(hear_long(attempt, HttpReader::Side::Request));
      attempt.say("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
      Line again = second.take();
      auto request = hear_long(again, HttpReader::Side::Request);
      assert(request && request->body.text() == body);
      again.say(ok("done"));
      assert(client.answer_status() == 200);
    }
    client.shut();
    sends.join();
  }
}

void slow_clients_are_judged_by_their_pace() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), kSmall);
  Line slow(sidecar.listen), dripping(sidecar.listen);
  std::string head = "POST /write HTTP/1.1\r\nX-Correlation-Id: s\r\nContent-Length: 260000\r\n";
  slow.say(head.substr(0, 40));
  dripping.say("POST /write HTTP/1.1\r\nX-Correlation-Id: d\r\nContent-Length: 260000\r\n\r\n");
  double since = now();
  sleep_for(2);  // by right
  slow.say(head.substr(40) + "\r\n");
  bool cut = false;
  for (int i = 0; i < 40; ++i) {
    assert(slow.say(std::string(6500, 'x')));
    cut = cut || !dripping.say("x") || dripping.anything(0);
    sleep_for(0.1);
  }
  Line attempt = endpoint.take();
  auto request = hear_long(attempt, HttpReader::Side::Request);
  assert(request && request->body.size() == 260000 && now() - since > 5.5 && cut);
  attempt.say(ok("x"));
  assert(slow.answer_status() == 200);
}

void many_long_bodies_and_slow_readers_stay_within_the_memory(int count) {
  Listener endpoint(2, 256);
  Running sidecar(entry("a", endpoint.address), kSmall);
  const std::string piece = body_of(1u << 20);
  constexpr int kPieces = 32;
  std::vector<std::thread> all;
  std::thread accepts([&] {
    for (int i = 0; i < count; ++i) {
      all.emplace_back([line = endpoint.take(), &piece]() mutable {
        if (!line.hear(HttpReader::Side::Request)) return;
        line.say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * piece.size()) + "\r\n\r\n");
        for (int k = 0; k < kPieces && line.say(piece);) ++k;
      });
    }
  });
  std::vector<Line> clients;
  for (int i = 0; i < count; ++i) clients.emplace_back(sidecar.listen).say(get("", std::to_string(i)));
  accepts.join();
  sleep_for(1);  // nobody reads
  std::size_t peak = resident_kb(sidecar.child());
  assert(sidecar.status_of("GET /healthz HTTP/1.1\r\n\r\n") == 200);
  clients.clear();
  for (std::thread& one : all) one.join();
  std::printf("%d answers of 32 MB under way and unread: %zu kB resident at the most\n", count, peak);
  assert(peak < 40 * 1024);
}

void a_long_answer_cut_at_any_byte_of_its_head_comes_whole() {
  Listener endpoint(2);
  Running sidecar(entry("a", endpoint.address), kSmall);
  std::string body = body_of(70000);
  std::string all = "HTTP/1.1 200 OK\r\n" + framed(body, true, 69990);
  Line client(sidecar.listen);
  std::optional<Line> attempt;
  for (std::size_t cut = 1; cut < 90; ++cut) {
    if (attempt) settle();
    client.say(get("", std::to_string(cut)));
    if (!attempt) attempt = endpoint.take();
    assert(attempt->hear(HttpReader::Side::Request));
    attempt->say(all.substr(0, cut));
    sleep_for(0.002);
    std::thread rest([&] {
      attempt->say(all.substr(cut, all.size() - 2 * cut)), sleep_for(0.002),
          attempt->say(all.substr(all.size() - cut));
    });
    auto answer = hear_long(client, HttpReader::Side::Response);
    rest.join();
    assert(answer && answer->body.text() == body);
  }
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2);
  program = words[1];
  a_long_answer_is_passed_on_while_it_comes();
  a_long_answer_that_breaks_is_never_taken_for_whole();
  a_long_body_reaches_its_endpoint_whole(kLong);
  a_long_body_reaches_its_endpoint_whole(2u << 20);
  what_was_held_whole_is_retried_and_what_streamed_is_not();
  slow_clients_are_judged_by_their_pace();
  many_long_bodies_and_slow_readers_stay_within_the_memory(64);
  a_long_answer_cut_at_any_byte_of_its_head_comes_whole();
}
