// A toy to try the sidecar with: three endpoints and the discovery that lists them, in one process on
// loopback. Endpoint toy-2 is slow now and then, so that copies and lowest depth have something to do.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sidecar/wire/http.h"

using namespace puffinvane;

namespace {

int listen_at(std::uint16_t port) {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), yes = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(port);
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(descriptor, 64) != 0) {
    std::perror("toy: can't listen");
    std::exit(1);
  }
  return descriptor;
}

bool say(int line, const std::string& text) {
  return send(line, text.data(), text.size(), MSG_NOSIGNAL) >= 0;
}

void pause_ms(int span) { std::this_thread::sleep_for(std::chrono::milliseconds(span)); }

// Reads requests on one connection and answers each with what 'answer' makes of it.
template <typename Answer>
void serve(int line, Answer answer) {
  Pool pool;
  HttpReader reader(HttpReader::Side::Request, pool);
  char bytes[4096];
  for (ssize_t count; (count = recv(line, bytes, sizeof bytes, 0)) > 0;) {
    reader.feed({bytes, std::size_t(count)});
    if (reader.whole() && !answer(reader.take())) break;
    if (reader.fault() != HttpReader::Fault::None) break;
  }
  close(line);
}

template <typename Answer>
void open_door(std::uint16_t port, Answer answer) {
  std::thread([listener = listen_at(port), answer] {
    while (true) {
      int line = accept(listener, nullptr, nullptr);
      if (line < 0) continue;
      std::thread([line, answer] {
        serve(line, [&](const HttpMessage& request) { return answer(line, request); });
      }).detach();
    }
  }).detach();
}

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return std::string(size).append(text).append("\r\n");
}

}  // namespace

int main() {
  constexpr int kEndpoints = 3, kFirstPort = 6000, kDiscoveryPort = 8500;
  std::string list;
  for (int i = 0; i < kEndpoints; ++i) {
    auto met = std::make_shared<std::atomic<int>>(0);
    std::string name = std::string("toy-").append(std::to_string(i));
    if (i > 0) list += ",";
    list.append(R"({"name":")").append(name);
    list.append(R"(","address":"127.0.0.1:)").append(std::to_string(kFirstPort + i));
    list.append(R"(","zone":"here","group":1,"status":"active","weight":1.0,"since_ms":0})");
    open_door(std::uint16_t(kFirstPort + i), [name, i, met](int line, const HttpMessage& request) {
      pause_ms(i == 2 && ++*met % 10 == 0 ? 600 : 30);
      std::string body = name + " answers " + request.method + " " + request.target + "\n";
      std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
      return say(line, head.append(std::to_string(body.size())).append("\r\n\r\n").append(body));
    });
  }
  open_door(kDiscoveryPort, [list](int line, const HttpMessage&) {
    say(line, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  chunk(R"({"index":1,"snapshot":true,"endpoints":[)" + list + "]}\n"));
    while (say(line, chunk("\n"))) pause_ms(2000);
    return false;
  });
  std::puts("toy endpoints at 127.0.0.1:6000 to 6002, discovery at 127.0.0.1:8500; end with Ctrl-C");
  pause();
}
