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
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(std::uint16_t(address.port));
  if (inet_pton(AF_INET, address.host.c_str(), &result.sin_addr) != 1)
    throw std::invalid_argument(address.host + " is not an IPv4 address");
  return result;
}

int create_socket() {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error(std::string("cannot create a socket: ") + std::strerror(errno));
  return fd;
}

void disable_nagle(int fd) {
  int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

}  // namespace

Address parse_address(std::string_view text) {
  std::size_t colon = text.rfind(':');
  Address address;
  if (colon == std::string_view::npos) throw std::invalid_argument("expected an address HOST:PORT");
  address.host = std::string(text.substr(0, colon));
  auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), address.port);
  if (error != std::errc() || end != text.data() + text.size() || address.port < 1 || address.port > 65535)
    throw std::invalid_argument("the port in " + std::string(text) + " is not a number from 1 to 65535");
  if (address.host == "localhost") address.host = "127.0.0.1";
  // The load test sends load only to this machine, whatever address is configured.
  if (!address.host.starts_with("127."))
    throw std::invalid_argument("only loopback addresses (127.x.x.x) are accepted");
  socket_address(address);
  return address;
}

bool Connection::connect(const Address& to) {
  fd_ = create_socket();
  disable_nagle(fd_);
  sockaddr_in address = socket_address(to);
  int done = ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (done != 0 && errno != EINPROGRESS) {
    close();
    return false;
  }
  connecting_ = done != 0;
  update_events();
  return true;
}

void Connection::attach(int fd) {
  fd_ = fd;
  disable_nagle(fd_);
  update_events();
}

void Connection::update_events() {
  if (fd_ < 0) return;
  std::uint32_t events = paused_ ? 0u : std::uint32_t(EPOLLIN | EPOLLRDHUP);
  if (connecting_ || (!paused_ && !all_written())) events |= EPOLLOUT;
  loop_.watch(fd_, events, *this);
}

void Connection::send(std::string_view bytes) {
  if (fd_ < 0) return;
  if (all_written()) {
    out_.clear();
    sent_ = 0;
  }
  out_ += bytes;
  write_pending_ = true;
  if (!connecting_ && !paused_) flush();
}

void Connection::flush() {
  while (fd_ >= 0 && !all_written()) {
    std::size_t count = out_.size() - sent_;
    if (write_until_reset_) count = std::min(count, *write_until_reset_);
    if (write_until_reset_ && count == 0) {
      reset();
      return handle_end(true);
    }
    ssize_t done = ::send(fd_, out_.data() + sent_, count, MSG_NOSIGNAL);
    if (done < 0) {
      // The peer may have sent a response before it closed the connection; reading it comes first and then
      // reports the end.
      if (errno != EAGAIN) {
        sent_ = out_.size();
        write_pending_ = false;
      }
      break;
    }
    sent_ += std::size_t(done);
    if (write_until_reset_) *write_until_reset_ -= std::size_t(done);
  }
  if (write_until_reset_ && *write_until_reset_ == 0) {
    reset();
    return handle_end(true);
  }
  update_events();
  if (all_written() && std::exchange(write_pending_, false)) owner_.on_all_written(*this);
}

void Connection::read() {
  char bytes[16384];
  for (int i = 0; i < 4 && fd_ >= 0 && !paused_; ++i) {
    std::size_t limit = sizeof bytes;
    if (read_until_reset_) limit = std::min(limit, std::max<std::size_t>(*read_until_reset_, 1));
    ssize_t count = recv(fd_, bytes, limit, 0);
    if (count < 0 && errno == EAGAIN) return;
    if (count <= 0) return handle_end(count < 0);
    if (read_until_reset_) {
      *read_until_reset_ -= std::min(*read_until_reset_, std::size_t(count));
      if (*read_until_reset_ == 0) {
        reset();
        return handle_end(true);
      }
    }
    owner_.on_bytes(*this, {bytes, std::size_t(count)});
    if (std::size_t(count) < limit) return;
  }
}

void Connection::handle_end(bool reset) {
  if (fd_ >= 0) close();
  owner_.on_end(*this, reset);
}

void Connection::on_ready(std::uint32_t events) {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return handle_end(true);
    if (!(events & EPOLLOUT)) return;
    connecting_ = false;
    return flush();
  }
  if (paused_) {
    // epoll reports these events even if none were requested; without this the loop would spin.
    if (events & (EPOLLHUP | EPOLLERR)) loop_.unwatch(fd_);
    return;
  }
  if (events & EPOLLOUT) flush();
  if (fd_ >= 0 && (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP))) read();
}

bool Connection::has_no_input() const {
  char byte;
  return fd_ >= 0 && recv(fd_, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

void Connection::shutdown_write() {
  if (fd_ >= 0) shutdown(fd_, SHUT_WR);
}

void Connection::close() {
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(std::exchange(fd_, -1));
  connecting_ = false;
}

void Connection::reset() {
  if (fd_ < 0) return;
  linger discard{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  close();
}

void Connection::set_paused(bool paused) {
  if (paused_ == paused) return;
  paused_ = paused;
  update_events();
  if (!paused && !connecting_) flush();
}

Listener::Listener(EventLoop& loop, Owner& owner, const Address& at, int number)
    : loop_(loop), owner_(owner), address_(at), number_(number) {
  open();
}

void Listener::listen(int backlog) {
  if (fd_ < 0) {
    fd_ = create_socket();
    int enabled = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in at = socket_address(address_);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("cannot listen on " + address_.text() + ": " + std::strerror(errno));
  }
  if (::listen(fd_, backlog) != 0)
    throw std::runtime_error("cannot listen on " + address_.text() + ": " + std::strerror(errno));
}

void Listener::open() {
  for (int fd : std::exchange(backlog_fillers_, {})) ::close(fd);
  listen(1024);
  loop_.watch(fd_, EPOLLIN, *this);
}

void Listener::stop_listening() {
  for (int fd : std::exchange(backlog_fillers_, {})) ::close(fd);
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(std::exchange(fd_, -1));
}

void Listener::set_paused(bool paused) {
  if (fd_ >= 0) loop_.watch(fd_, paused ? 0u : std::uint32_t(EPOLLIN), *this);
}

void Listener::block_connects() {
  // With its backlog full, the kernel silently drops further connection requests.
  listen(0);
  loop_.watch(fd_, 0, *this);
  sockaddr_in at = socket_address(address_);
  for (int i = 0; i < 3; ++i) {
    backlog_fillers_.push_back(create_socket());
    (void)::connect(backlog_fillers_.back(), reinterpret_cast<sockaddr*>(&at), sizeof at);
  }
}

void Listener::on_ready(std::uint32_t) {
  for (int i = 0; i < 64 && fd_ >= 0; ++i) {
    int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    owner_.on_accepted(*this, fd);
  }
}

}  // namespace load_test
