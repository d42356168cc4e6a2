// Between the members: each advertises an address of the relay's, which hands on what comes there, from the
// address that the sender advertises. So it knows of each datagram and each whole state from whom it is to
// whom, and can lose, spoil, double or hold it back.
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
    double loss = 0, twice = 0, spoilt = 0, delay = 0, jitter = 0;
    std::function<bool(int from, int to)> cut;  // none: nothing is
  };
  static std::string advertised(int member) {
    return loopback_address(200) + ":" + std::to_string(7000 + member);
  }
  static std::string own(int member) { return loopback_address(201) + ":" + std::to_string(7000 + member); }

  Relay(int members, unsigned seed) : chance_(seed) {
    for (int i = 0; i < members; ++i) {
      sockaddr_in at = address_of(advertised(i));
      int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      int streams = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      assert(bind(datagrams, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
      assert(bind(streams, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && listen(streams, 64) == 0);
      polled_.push_back({datagrams, POLLIN, 0});
      polled_.push_back({streams, POLLIN, 0});
    }
    works_ = std::thread([this] { work(); });
  }
  ~Relay() {
    over_ = true;
    works_.join();
    for (std::thread& session : sessions_) session.join();
    for (pollfd& one : polled_) close(one.fd);
  }
  void set(Links links) {
    std::lock_guard lock(mutex_);
    links_ = std::move(links);
  }

 private:
  struct Held {
    double at;
    int from, to;
    std::string bytes;
    bool operator<(const Held& other) const { return at > other.at; }
  };
  double draw() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
  Links links() {
    std::lock_guard lock(mutex_);
    return links_;
  }
  void work() {
    while (!over_) {
      poll(polled_.data(), polled_.size(), held_.empty() ? 10 : 1);
      Links links = this->links();
      for (std::size_t i = 0; i < polled_.size(); ++i) {
        if (!(polled_[i].revents & POLLIN)) continue;
        if (i % 2 == 0) datagrams(int(i / 2), links);
        else if (int taken = accept4(polled_[i].fd, nullptr, nullptr, SOCK_CLOEXEC); taken >= 0)
          sessions_.emplace_back([this, to = int(i / 2), taken] { session(to, taken); });
      }
      for (; !held_.empty() && held_.top().at <= now(); held_.pop()) {
        sockaddr_in at = address_of(own(held_.top().to));
        sendto(polled_[std::size_t(held_.top().from) * 2].fd, held_.top().bytes.data(),
               held_.top().bytes.size(), 0, reinterpret_cast<sockaddr*>(&at), sizeof at);
      }
    }
  }
  void datagrams(int to, const Links& links) {
    char bytes[2048];
    sockaddr_in source{};
    socklen_t size = sizeof source;
    ssize_t got;
    while ((got = recvfrom(polled_[std::size_t(to) * 2].fd, bytes, sizeof bytes, 0,
                           reinterpret_cast<sockaddr*>(&source), &size)) >= 0) {
      int from = ntohs(source.sin_port) - 7000;
      if (from < 0 || std::size_t(from) * 2 >= polled_.size() || (links.cut && links.cut(from, to))) continue;
      for (int copies = 1 + (draw() < links.twice); copies > 0; --copies) {
        if (draw() < links.loss) continue;
        std::string datagram(bytes, std::size_t(got));
        if (draw() < links.spoilt) datagram[std::size_t(draw() * double(got))] ^= char(1 + draw() * 254);
        held_.push({now() + links.delay + draw() * links.jitter, from, to, datagram});
      }
    }
  }
  static std::string frame(int descriptor) {
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
  // Who asks is told by the state itself: a connection's own address says nothing.
  void session(int to, int asker) {
    timeval most{2, 0};
    int asked = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    for (int one : {asker, asked}) setsockopt(one, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
    std::string asks = frame(asker), answers;
    DecodeError error;
    auto state = asks.size() > 4 ? decode(std::string_view(asks).substr(4), key, error) : std::nullopt;
    Links links = this->links();
    int from = state ? std::atoi(state->from.c_str() + 1) : -1;
    sockaddr_in at = address_of(own(to));
    if (state && !(links.cut && (links.cut(from, to) || links.cut(to, from))) &&
        connect(asked, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 &&
        send(asked, asks.data(), asks.size(), MSG_NOSIGNAL) > 0 && !(answers = frame(asked)).empty())
      send(asker, answers.data(), answers.size(), MSG_NOSIGNAL);
    close(asked), close(asker);
  }

 public:
  std::string key = "a key";

 private:
  std::vector<pollfd> polled_;
  std::mutex mutex_;
  Links links_;
  std::mt19937 chance_;
  std::priority_queue<Held> held_;
  std::atomic<bool> over_ = false;
  std::vector<std::thread> sessions_;
  std::thread works_;
};

}  // namespace puffinvane::fleet::test
