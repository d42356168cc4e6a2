// A relay between fleet members. Each member advertises an address of the relay, which forwards traffic to
// the member from the address that the sender advertises. The relay thus knows the sender and the receiver of
// each datagram and each state exchange, and can lose, corrupt, duplicate or delay it.
#pragma once

#include <atomic>
#include <cstring>
#include <functional>
#include <mutex>
#include <queue>
#include <random>
#include <thread>

#include "src/fleet/transport/codec.h"
#include "testing/peers.h"

namespace puffinvane::fleet::test {

using namespace puffinvane::test;

class Relay {
 public:
  struct Links {
    double loss = 0, duplication = 0, corruption = 0, delay = 0, jitter = 0;
    std::function<bool(int from, int to)> is_cut;  // empty: no link is cut
  };
  static std::string advertised(int member) {
    return loopback_address(200) + ":" + std::to_string(7000 + member);
  }
  static std::string own(int member) { return loopback_address(201) + ":" + std::to_string(7000 + member); }

  Relay(int members, unsigned seed) : random_(seed) {
    for (int i = 0; i < members; ++i) {
      sockaddr_in at = address_of(advertised(i));
      int receive_datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      int streams = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      assert(bind(receive_datagrams, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
      assert(bind(streams, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && listen(streams, 64) == 0);
      polled_.push_back({receive_datagrams, POLLIN, 0});
      polled_.push_back({streams, POLLIN, 0});
    }
    worker_ = std::thread([this] { work(); });
  }
  ~Relay() {
    is_stopping_ = true;
    worker_.join();
    for (std::thread& session : sessions_) session.join();
    for (pollfd& one : polled_) close(one.fd);
  }
  void set_links(Links links) {
    std::lock_guard lock(mutex_);
    links_ = std::move(links);
  }

 private:
  struct DelayedDatagram {
    double at;
    int from, to;
    std::string bytes;
    bool operator<(const DelayedDatagram& other) const { return at > other.at; }
  };
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Links links() {
    std::lock_guard lock(mutex_);
    return links_;
  }
  void work() {
    while (!is_stopping_) {
      poll(polled_.data(), polled_.size(), delayed_.empty() ? 10 : 1);
      Links links = this->links();
      for (std::size_t i = 0; i < polled_.size(); ++i) {
        if (!(polled_[i].revents & POLLIN)) continue;
        if (i % 2 == 0) receive_datagrams(int(i / 2), links);
        else if (int taken = accept4(polled_[i].fd, nullptr, nullptr, SOCK_CLOEXEC); taken >= 0)
          sessions_.emplace_back([this, to = int(i / 2), taken] { session(to, taken); });
      }
      for (; !delayed_.empty() && delayed_.top().at <= now(); delayed_.pop()) {
        sockaddr_in at = address_of(own(delayed_.top().to));
        sendto(polled_[std::size_t(delayed_.top().from) * 2].fd, delayed_.top().bytes.data(),
               delayed_.top().bytes.size(), 0, reinterpret_cast<sockaddr*>(&at), sizeof at);
      }
    }
  }
  void receive_datagrams(int to, const Links& links) {
    char bytes[2048];
    sockaddr_in source{};
    socklen_t size = sizeof source;
    ssize_t got;
    while ((got = recvfrom(polled_[std::size_t(to) * 2].fd, bytes, sizeof bytes, 0,
                           reinterpret_cast<sockaddr*>(&source), &size)) >= 0) {
      int from = ntohs(source.sin_port) - 7000;
      if (from < 0 || std::size_t(from) * 2 >= polled_.size() || (links.is_cut && links.is_cut(from, to)))
        continue;
      for (int copies = 1 + (draw() < links.duplication); copies > 0; --copies) {
        if (draw() < links.loss) continue;
        std::string datagram(bytes, std::size_t(got));
        if (draw() < links.corruption) datagram[std::size_t(draw() * double(got))] ^= char(1 + draw() * 254);
        delayed_.push({now() + links.delay + draw() * links.jitter, from, to, datagram});
      }
    }
  }
  static std::string receive_frame(int descriptor) {
    std::string bytes;
    char more[4096];
    for (std::size_t want = 4; bytes.size() < want;) {
      ssize_t got = recv(descriptor, more, std::min(sizeof more, want - bytes.size()), 0);
      if (got <= 0) return {};
      bytes.append(more, std::size_t(got));
      if (bytes.size() != 4) continue;
      for (std::size_t i = 0, length = 0; i < 4; ++i) {
        length = length << 8 | std::uint8_t(bytes[i]);
        want = 4 + length;
      }
    }
    return bytes;
  }
  // The state names its sender; the address of the connection does not identify it.
  void session(int to, int requester_fd) {
    timeval most{2, 0};
    int target_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    for (int one : {requester_fd, target_fd}) setsockopt(one, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
    std::string request = receive_frame(requester_fd), reply;
    DecodeError error;
    auto state = request.size() > 4 ? decode(std::string_view(request).substr(4), key, error) : std::nullopt;
    Links links = this->links();
    int from = state ? std::atoi(state->from.c_str() + 1) : -1;
    sockaddr_in at = address_of(own(to));
    if (state && !(links.is_cut && (links.is_cut(from, to) || links.is_cut(to, from))) &&
        connect(target_fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
        send(target_fd, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
        !(reply = receive_frame(target_fd)).empty())
      send(requester_fd, reply.data(), reply.size(), MSG_NOSIGNAL);
    close(target_fd), close(requester_fd);
  }

 public:
  std::string key = "a key";

 private:
  std::vector<pollfd> polled_;
  std::mutex mutex_;
  Links links_;
  std::mt19937 random_;
  std::priority_queue<DelayedDatagram> delayed_;
  std::atomic<bool> is_stopping_ = false;
  std::vector<std::thread> sessions_;
  std::thread worker_;
};

}  // namespace puffinvane::fleet::test
