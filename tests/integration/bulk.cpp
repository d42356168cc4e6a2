// Integration tests of bodies that are too long to be buffered, on the whole program over loopback.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <fstream>
#include <thread>
#include <vector>

#include "testing/sidecar_process.h"

using namespace puffinvane;
using namespace puffinvane::test;

namespace {

const SidecarProcess::Options kSmallMemory{.limits = R"({"sockets":1024,"memory_mb":48})",
                                           .client_timeout = "20.0"};
constexpr std::size_t kLongBodyBytes = 8u << 20;

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
// The body with the header lines that frame it.
std::string framed(const std::string& body, bool in_chunks, std::size_t step) {
  if (in_chunks) return "transfer-encoding: Chunked\r\n\r\n" + chunked(body, step);
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
// Receives a complete message with a body of any length.
std::optional<HttpMessage> receive_long_message(TestConnection& connection, HttpReader::Side side) {
  return connection.receive_message(side, HttpReader::kMaxStreamedBodyBytes);
}

void long_response_is_streamed() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), kSmallMemory);
  std::string body = body_of(kLongBodyBytes);
  for (bool in_chunks : {false, true}) {
    TestConnection client(sidecar.listen);
    client.send_text(get_request("", in_chunks ? "c" : "l"));
    auto [attempt, request] = endpoint.accept_request();
    std::string all = "HTTP/1.1 200 OK\r\n" + framed(body, in_chunks, 50001);
    attempt.send_text(all.substr(0, 200000));
    assert(client.has_input_within(1));  // the first bytes arrive before the endpoint has sent the last
    std::thread rest([&, &connection = attempt] { assert(connection.send_text(all.substr(200000))); });
    auto answer = receive_long_message(client, HttpReader::Side::Response);
    rest.join();
    assert(answer && answer->status == 200 && answer->body.text() == body);
    // Both connections can be reused.
    wait_until_reusable();
    client.send_text(get_request("", in_chunks ? "c2" : "l2"));
    assert(attempt.receive_message(HttpReader::Side::Request));
    attempt.send_text(ok_response("x"));
    assert(client.response_status() == 200);
    attempt.disconnect();
    sleep_for(0.05);
  }
}

void truncated_long_response_is_never_completed() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), kSmallMemory);
  for (bool in_chunks : {false, true}) {
    TestConnection client(sidecar.listen);
    client.send_text(get_request("", in_chunks ? "c" : "l"));
    auto [attempt, request] = endpoint.accept_request();
    std::string all = "HTTP/1.1 200 OK\r\n" + framed(body_of(150000), in_chunks, 150000);
    attempt.send_and_close(
        all.substr(0, all.size() - 22));  // without the last chunk, or without as many bytes
    assert(!receive_long_message(client, HttpReader::Side::Response) && client.ends_within(1));
  }
}

void long_request_body_reaches_the_endpoint_complete(std::size_t size) {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), kSmallMemory);
  std::string body = body_of(size);
  for (bool in_chunks : {false, true}) {
    TestConnection client(sidecar.listen);
    std::string head = "POST /write HTTP/1.1\r\nX-Correlation-Id: " + std::to_string(in_chunks) + "\r\n";
    std::thread sends([&] { assert(client.send_text(head + framed(body, in_chunks, 30011))); });
    TestConnection attempt = endpoint.accept_connection();
    auto request = receive_long_message(attempt, HttpReader::Side::Request);
    sends.join();
    assert(request && request->body.text() == body);
    attempt.send_text(ok_response("done"));
    assert(client.response_status() == 200);
  }
}

void buffered_request_is_retried_and_streamed_one_is_not() {
  for (std::size_t size : {std::size_t{500000}, kLongBodyBytes}) {
    Listener one(2), other(4);
    SidecarProcess sidecar(list_entry_json("a", one.address) + "," + list_entry_json("b", other.address),
                           kSmallMemory);
    std::string body = body_of(size);
    TestConnection client(sidecar.listen);
    std::thread sends([&] { client.send_text(post_request(body)); });
    while (!one.has_connection_within(0) && !other.has_connection_within(0)) sleep_for(0.001);
    Listener& first = one.has_connection_within(0) ? one : other;
    Listener& second = &first == &one ? other : one;
    TestConnection attempt = first.accept_connection();
    assert(attempt.has_input_within(1));
    if (size > 4000000) {  // more than the kernel buffers for a connection
      attempt.receive_until("never", 0.1);
      attempt.reset();  // before the last byte was sent: the request cannot have run, but its body is no
                        // longer there to resend
      assert(client.response_status() == 503 && !second.has_connection_within(0.1));
    } else {
      assert(receive_long_message(attempt, HttpReader::Side::Request));
      attempt.send_text("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
      TestConnection again = second.accept_connection();
      auto request = receive_long_message(again, HttpReader::Side::Request);
      assert(request && request->body.text() == body);
      again.send_text(ok_response("done"));
      assert(client.response_status() == 200);
    }
    client.disconnect();
    sends.join();
  }
}

void slow_uploads_are_judged_by_their_rate() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), kSmallMemory);
  TestConnection slow(sidecar.listen), dripping(sidecar.listen);
  std::string head = "POST /write HTTP/1.1\r\nX-Correlation-Id: s\r\nContent-Length: 260000\r\n";
  slow.send_text(head.substr(0, 40));
  dripping.send_text("POST /write HTTP/1.1\r\nX-Correlation-Id: d\r\nContent-Length: 260000\r\n\r\n");
  double since = now();
  sleep_for(2);  // as long as a client may take for its head
  slow.send_text(head.substr(40) + "\r\n");
  bool cut = false;
  for (int i = 0; i < 40; ++i) {
    assert(slow.send_text(std::string(6500, 'x')));
    cut = cut || !dripping.send_text("x") || dripping.has_input_within(0);
    sleep_for(0.1);
  }
  TestConnection attempt = endpoint.accept_connection();
  auto request = receive_long_message(attempt, HttpReader::Side::Request);
  assert(request && request->body.size() == 260000 && now() - since > 5.5 && cut);
  attempt.send_text(ok_response("x"));
  assert(slow.response_status() == 200);
}

void unread_long_responses_stay_within_the_memory_limit(int count) {
  Listener endpoint(2, 256);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), kSmallMemory);
  const std::string piece = body_of(1u << 20);
  constexpr int kPieces = 32;
  std::vector<std::thread> all;
  std::thread accepts([&] {
    for (int i = 0; i < count; ++i) {
      all.emplace_back([connection = endpoint.accept_connection(), &piece]() mutable {
        if (!connection.receive_message(HttpReader::Side::Request)) return;
        connection.send_text("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * piece.size()) +
                             "\r\n\r\n");
        for (int k = 0; k < kPieces && connection.send_text(piece);) ++k;
      });
    }
  });
  std::vector<TestConnection> clients;
  for (int i = 0; i < count; ++i)
    clients.emplace_back(sidecar.listen).send_text(get_request("", std::to_string(i)));
  accepts.join();
  sleep_for(1);  // the responses stay unread
  std::size_t peak = resident_kb(sidecar.child());
  assert(sidecar.status_of("GET /healthz HTTP/1.1\r\n\r\n") == 200);
  clients.clear();
  for (std::thread& one : all) one.join();
  std::printf("%d answers of 32 MB under way and unread: %zu kB resident at the most\n", count, peak);
  assert(peak < 40 * 1024);
}

void long_response_split_at_any_byte_of_its_head_is_complete() {
  Listener endpoint(2);
  SidecarProcess sidecar(list_entry_json("a", endpoint.address), kSmallMemory);
  std::string body = body_of(70000);
  std::string all = "HTTP/1.1 200 OK\r\n" + framed(body, true, 69990);
  TestConnection client(sidecar.listen);
  std::optional<TestConnection> attempt;
  for (std::size_t cut = 1; cut < 90; ++cut) {
    if (attempt) wait_until_reusable();
    client.send_text(get_request("", std::to_string(cut)));
    if (!attempt) attempt = endpoint.accept_connection();
    assert(attempt->receive_message(HttpReader::Side::Request));
    attempt->send_text(all.substr(0, cut));
    sleep_for(0.002);
    std::thread rest([&] {
      attempt->send_text(all.substr(cut, all.size() - 2 * cut)), sleep_for(0.002),
          attempt->send_text(all.substr(all.size() - cut));
    });
    auto answer = receive_long_message(client, HttpReader::Side::Response);
    rest.join();
    assert(answer && answer->body.text() == body);
  }
}

}  // namespace

int main(int count, char** words) {
  assert(count == 2);
  program = words[1];
  long_response_is_streamed();
  truncated_long_response_is_never_completed();
  long_request_body_reaches_the_endpoint_complete(kLongBodyBytes);
  long_request_body_reaches_the_endpoint_complete(2u << 20);
  buffered_request_is_retried_and_streamed_one_is_not();
  slow_uploads_are_judged_by_their_rate();
  unread_long_responses_stay_within_the_memory_limit(64);
  long_response_split_at_any_byte_of_its_head_is_complete();
}
