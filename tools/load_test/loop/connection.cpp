#include "tools/load_test/loop/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>

namespace load_test {

namespace {

sockaddr_in socket_address(const Address& address) {
  sockaddr_in made{};
  made.sin_family = AF_INET;
  made.sin_port = htons(std::uint16_t(address.port));
  if (inet_pton(AF_INET, address.host.c_str(), &made.sin_addr) != 1)
    throw std::invalid_argument(address.host + " is no IPv4 address");
  return made;
}

int new_socket() {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) throw std::runtime_error(std::string("no socket: ") + std::strerror(errno));
  return descriptor;
}

void no_delay(int descriptor) {
  int yes = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
}

}  // namespace

Address read_address(std::string_view text) {
  std::size_t colon = text.rfind(':');
  Address read;
  if (colon == std::string_view::npos) throw std::invalid_argument("an address is HOST:PORT");
  read.host = std::string(text.substr(0, colon));
  auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), read.port);
  if (error != std::errc() || end != text.data() + text.size() || read.port < 1 || read.port > 65535)
    throw std::invalid_argument("the port in " + std::string(text) + " is no number from 1 to 65535");
  if (read.host == "localhost") read.host = "127.0.0.1";
  // Load goes nowhere but to this machine, whatever is typed.
  if (!read.host.starts_with("127.")) throw std::invalid_argument("only loopback addresses (127.x.x.x)");
  socket_address(read);
  return read;
}

bool Line::connect(const Address& to) {
  descriptor_ = new_socket();
  no_delay(descriptor_);
  sockaddr_in address = socket_address(to);
  int done = ::connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (done != 0 && errno != EINPROGRESS) {
    close();
    return false;
  }
  connecting_ = done != 0;
  ask();
  return true;
}

void Line::adopt(int descriptor) {
  descriptor_ = descriptor;
  no_delay(descriptor_);
  ask();
}

void Line::ask() {
  if (descriptor_ < 0) return;
  std::uint32_t events = deaf_ ? 0u : std::uint32_t(EPOLLIN | EPOLLRDHUP);
  if (connecting_ || (!deaf_ && !written())) events |= EPOLLOUT;
  loop_.watch(descriptor_, events, *this);
}

void Line::send(std::string_view bytes) {
  if (descriptor_ < 0) return;
  if (written()) {
    out_.clear();
    sent_ = 0;
  }
  out_ += bytes;
  unwritten_ = true;
  if (!connecting_ && !deaf_) flush();
}

void Line::flush() {
  while (descriptor_ >= 0 && !written()) {
    std::size_t count = out_.size() - sent_;
    if (cut_out_) count = std::min(count, *cut_out_);
    if (cut_out_ && count == 0) {
      reset();
      return end(true);
    }
    ssize_t done = ::send(descriptor_, out_.data() + sent_, count, MSG_NOSIGNAL);
    if (done < 0) {
      // What the far end said before it closed is read first; the reading side then reports the end.
      if (errno != EAGAIN) {
        sent_ = out_.size();
        unwritten_ = false;
      }
      break;
    }
    sent_ += std::size_t(done);
    if (cut_out_) *cut_out_ -= std::size_t(done);
  }
  if (cut_out_ && *cut_out_ == 0) {
    reset();
    return end(true);
  }
  ask();
  if (written() && std::exchange(unwritten_, false)) owner_.on_written(*this);
}

void Line::read() {
  char bytes[16384];
  for (int i = 0; i < 4 && descriptor_ >= 0 && !deaf_; ++i) {
    std::size_t most = sizeof bytes;
    if (cut_in_) most = std::min(most, std::max<std::size_t>(*cut_in_, 1));
    ssize_t count = recv(descriptor_, bytes, most, 0);
    if (count < 0 && errno == EAGAIN) return;
    if (count <= 0) return end(count < 0);
    if (cut_in_) {
      *cut_in_ -= std::min(*cut_in_, std::size_t(count));
      if (*cut_in_ == 0) {
        reset();
        return end(true);
      }
    }
    owner_.on_bytes(*this, {bytes, std::size_t(count)});
    if (std::size_t(count) < most) return;
  }
}

void Line::end(bool reset) {
  if (descriptor_ >= 0) close();
  owner_.on_end(*this, reset);
}

void Line::on_ready(std::uint32_t events) {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return end(true);
    if (!(events & EPOLLOUT)) return;
    connecting_ = false;
    return flush();
  }
  if (deaf_) {
    // Its end is always told by epoll; a machine that hears nothing must not spin on it.
    if (events & (EPOLLHUP | EPOLLERR)) loop_.unwatch(descriptor_);
    return;
  }
  if (events & EPOLLOUT) flush();
  if (descriptor_ >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP))) read();
}

bool Line::quiet() const {
  char byte;
  return descriptor_ >= 0 && recv(descriptor_, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

void Line::finish_sending() {
  if (descriptor_ >= 0) shutdown(descriptor_, SHUT_WR);
}

void Line::close() {
  if (descriptor_ < 0) return;
  loop_.unwatch(descriptor_);
  ::close(std::exchange(descriptor_, -1));
  connecting_ = false;
}

void Line::reset() {
  if (descriptor_ < 0) return;
  linger hard{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close();
}

void Line::deaf(bool is) {
  if (deaf_ == is) return;
  deaf_ = is;
  ask();
  if (!is && !connecting_) flush();
}

Listener::Listener(Loop& loop, Owner& owner, const Address& at, int number)
    : loop_(loop), owner_(owner), address_(at), number_(number) {
  open();
}

void Listener::listen(int backlog) {
  if (descriptor_ < 0) {
    descriptor_ = new_socket();
    int yes = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at = socket_address(address_);
    if (bind(descriptor_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("can't listen at " + address_.text() + ": " + std::strerror(errno));
  }
  if (::listen(descriptor_, backlog) != 0)
    throw std::runtime_error("can't listen at " + address_.text() + ": " + std::strerror(errno));
}

void Listener::open() {
  for (int filler : std::exchange(fillers_, {})) ::close(filler);
  listen(1024);
  loop_.watch(descriptor_, EPOLLIN, *this);
}

void Listener::shut() {
  for (int filler : std::exchange(fillers_, {})) ::close(filler);
  if (descriptor_ < 0) return;
  loop_.unwatch(descriptor_);
  ::close(std::exchange(descriptor_, -1));
}

void Listener::deaf(bool is) {
  if (descriptor_ >= 0) loop_.watch(descriptor_, is ? 0u : std::uint32_t(EPOLLIN), *this);
}

void Listener::block() {
  // A backlog of one that is full: the kernel then drops what knocks, without a word.
  listen(0);
  loop_.watch(descriptor_, 0, *this);
  sockaddr_in at = socket_address(address_);
  for (int i = 0; i < 3; ++i) {
    fillers_.push_back(new_socket());
    (void)::connect(fillers_.back(), reinterpret_cast<sockaddr*>(&at), sizeof at);
  }
}

void Listener::on_ready(std::uint32_t) {
  for (int i = 0; i < 64 && descriptor_ >= 0; ++i) {
    int descriptor = accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) return;
    owner_.on_accepted(*this, descriptor);
  }
}

}  // namespace load_test
