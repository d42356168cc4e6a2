#include "src/net/tcp_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <span>
#include <utility>
#include <vector>

#include "src/net/system_calls.h"

namespace puffinvane {

namespace {

// The error of a connection attempt, or 0. If the call itself fails, the first send will report the error.
int connect_result(int descriptor) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : 0;
}

// Copies the last bytes of `unread` bytes of input into `tail` and leaves the input unread. Returns how many
// bytes it looked at, or -1. The system copies all bytes before them too, each part over the one before.
ssize_t peek_tail(int descriptor, std::size_t unread, std::span<char> tail) {
  static std::array<char, 64 * 1024> overwritten;
  std::vector<iovec> parts;
  for (std::size_t left = unread - tail.size(); left > 0; left -= parts.back().iov_len) {
    parts.push_back({overwritten.data(), std::min(left, overwritten.size())});
  }
  parts.push_back({tail.data(), tail.size()});
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return retry_on_eintr([&] { return recvmsg(descriptor, &message, MSG_PEEK | MSG_DONTWAIT); });
}

}  // namespace

Ref<GSocketAddress> parse_address(std::string_view address) {
  std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return {};
  std::string_view host = address.substr(0, colon), digits = address.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  unsigned short port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) return {};
  return Ref<GSocketAddress>(g_inet_socket_address_new_from_string(std::string(host).c_str(), port));
}

void TcpConnection::configure_socket() {
  loop_.descriptors().opened();
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

TcpConnection::ConnectStart TcpConnection::connect(std::string_view address) {
  Ref<GSocketAddress> to = parse_address(address);
  sockaddr_storage native{};
  if (!to || !g_socket_address_to_native(to.get(), &native, sizeof native, nullptr))
    return ConnectStart::Refused;
  GError* raw = nullptr;
  socket_.reset(
      g_socket_new(g_socket_address_get_family(to.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &raw));
  Error error(raw);
  bool is_unsupported = g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED);  // the address family
  if (!socket_) return is_unsupported ? ConnectStart::Refused : ConnectStart::LocalShortage;
  configure_socket();
  int result = retry_on_eintr([&] {
    return ::connect(g_socket_get_fd(socket_.get()), reinterpret_cast<const sockaddr*>(&native),
                     socklen_t(g_socket_address_get_native_size(to.get())));
  });
  // A connect that a signal interrupted goes on in the background; the repeated call then fails with EALREADY
  // or EISCONN.
  if (result < 0 && errno != EINPROGRESS && errno != EALREADY && errno != EISCONN) {
    ConnectStart failed =
        is_local_shortage(errno) || errno == EINTR ? ConnectStart::LocalShortage : ConnectStart::Refused;
    close();
    return failed;
  }
  connecting_ = true;
  watch_for(reading_, true);
  return ConnectStart::Begun;
}

void TcpConnection::adopt(Ref<GSocket> socket) {
  socket_ = std::move(socket);
  configure_socket();
  set_reading(true);
}

void TcpConnection::watch_for(bool reading, bool writing) {
  reading_ = reading;
  writing_ = writing;
  if (!socket_) return;
  int descriptor = g_socket_get_fd(socket_.get());
  std::uint32_t events = 0;
  if (reading && !paused_) events |= EPOLLIN;
  if (writing && !paused_) events |= EPOLLOUT;
  if (!reading && reports_end_while_paused_) events |= EPOLLRDHUP;
  // Even with no events requested, epoll would report EPOLLHUP and EPOLLERR again and again.
  if (events == 0) return loop_.unwatch(descriptor);
  loop_.watch(descriptor, events, *this);
}

void TcpConnection::on_ready(std::uint32_t events) {
  constexpr std::uint32_t kEnded = EPOLLHUP | EPOLLERR;
  if (writing_ && (events & (EPOLLOUT | kEnded))) on_writable();
  if (reading_ && (events & (EPOLLIN | kEnded))) return on_readable();
  if (!reading_ && reports_end_while_paused_ && socket_ && (events & (EPOLLRDHUP | kEnded))) {
    loop_.unwatch(g_socket_get_fd(socket_.get()));  // reported once
    owner_.on_ended(End::Broken);
  }
}

bool TcpConnection::has_nothing_to_read() const {
  if (!socket_) return false;
  pollfd polled{g_socket_get_fd(socket_.get()), POLLIN, 0};
  return poll(&polled, 1, 0) == 0;  // if poll fails, there may be input
}

bool TcpConnection::has_ended() const {
  if (!socket_ || has_nothing_to_read()) return false;
  int descriptor = g_socket_get_fd(socket_.get());
  char next;
  ssize_t count = retry_on_eintr([&] { return recv(descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT); });
  bool is_undecided = count < 0 && (errno == EAGAIN || errno == EINTR || is_short_of_memory(errno));
  if (count == 0 || (count < 0 && !is_undecided)) return true;
  // Input is unread; the end may be behind it.
  pollfd end{descriptor, POLLRDHUP, 0};
  return count > 0 && poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

bool TcpConnection::input_may_hide_end() const {
  // With less unread input the receive buffer has room for all that the peer has sent, whatever its buffer
  // sizes.
  constexpr std::size_t kManyBytes = 4096;
  if (!socket_ || has_nothing_to_read()) return false;
  char next[kManyBytes];
  ssize_t count = recv(g_socket_get_fd(socket_.get()), next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
  return count == ssize_t(sizeof next);
}

std::size_t TcpConnection::unread_bytes() const {
  int count = 0;
  if (!socket_ || ioctl(g_socket_get_fd(socket_.get()), FIONREAD, &count) != 0) return 0;
  return std::size_t(std::max(0, count));
}

std::optional<std::string> TcpConnection::unread_tail(std::size_t max_bytes) const {
  const std::size_t unread = unread_bytes();
  std::string tail(std::min(unread, max_bytes), '\0');
  if (unread == 0) return tail;
  if (peek_tail(g_socket_get_fd(socket_.get()), unread, tail) != ssize_t(unread)) return {};
  return tail;
}

bool TcpConnection::read_into(BufferChain& into) {
  BufferPool::Buffer buffer = loop_.pool().acquire();
  ssize_t count = recv(g_socket_get_fd(socket_.get()), buffer->bytes.data(), BufferPool::kSize, MSG_DONTWAIT);
  if (count > 0) into.add({buffer->bytes.data(), std::size_t(count)});
  return count > 0;
}

void TcpConnection::set_reading(bool on) {
  if (socket_ && on != reading_) watch_for(on, writing_);
}

std::uint64_t TcpConnection::delivered_bytes() const {
  const std::uint64_t written_bytes = given_bytes_ - unsent_.size();
  return written_bytes - std::min<std::uint64_t>(written_bytes, unacknowledged_bytes());
}

// Of what the socket was given. 0 if the system doesn't tell.
std::size_t TcpConnection::unacknowledged_bytes() const {
  int count = 0;
  if (!socket_ || ioctl(g_socket_get_fd(socket_.get()), SIOCOUTQ, &count) != 0) return 0;
  return std::size_t(std::max(0, count));
}

void TcpConnection::send(BufferChain bytes) {
  given_bytes_ += bytes.size();
  if (unsent_.empty()) unsent_ = std::move(bytes);
  else unsent_.add(bytes);
  if (socket_ && !connecting_ && !writing_) flush();
}

void TcpConnection::flush() {
  while (!unsent_.empty() && !send_failed_) {
    std::string_view part = unsent_.front();
    ssize_t sent = retry_on_eintr([&] {
      return ::send(g_socket_get_fd(socket_.get()), part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    });
    if (sent >= 0) {
      unsent_.drop(std::size_t(sent));
      pause_ = kFirstPause;
    } else if (errno == EAGAIN) {
      if (!writing_) watch_for(reading_, true);
      return;
    } else if (errno == EINTR || is_short_of_memory(errno)) {
      writing_ = true;
      return pause();
    } else {
      on_send_failed();
    }
  }
  if (send_failed_ && writing_) watch_for(reading_, false);
}

// Stops watching the socket for a while: epoll would report it as ready again and again although no call
// succeeds.
void TcpConnection::pause() {
  if (std::exchange(paused_, true)) return;
  watch_for(reading_, writing_);
  loop_.at(loop_.now() + pause_, alive_.guard([this] {
    paused_ = false;
    watch_for(reading_, writing_);
  }));
  pause_ = std::min(2 * pause_, kMaxPause);
}

// The peer may have responded before it closed. Its response is read first, and the reading side then reports
// the end. If the peer keeps its side open, no end arrives; it is then reported once no input is left.
void TcpConnection::on_send_failed() {
  send_failed_ = true;
  set_reading(true);
  report_end_once_read();
}

void TcpConnection::report_end_once_read() {
  loop_.at(loop_.now() + kReadOutPollInterval, alive_.guard([this] {
    if (!socket_ || !send_failed_) return;
    if (!has_nothing_to_read()) return report_end_once_read();
    watch_for(false, false);
    owner_.on_ended(End::Broken);
  }));
}

void TcpConnection::on_writable() {
  if (connecting_) {
    connecting_ = false;
    watch_for(reading_, false);
    if (int error = connect_result(g_socket_get_fd(socket_.get())))
      return owner_.on_ended(is_short_of_memory(error) ? End::LocalShortage : End::Broken);
    set_reading(true);
    return owner_.on_connected();
  }
  if (!unsent_.empty() && !owner_.may_write()) return watch_for(reading_, false);
  if (!unsent_.empty()) flush();
  if (send_failed_ || !unsent_.empty()) return;
  watch_for(reading_, false);
  owner_.on_written();
}

void TcpConnection::on_readable() {
  for (int i = 0; receive() && i + 1 < max_reads_;) ++i;
}

bool TcpConnection::receive() {
  const std::size_t max_bytes = std::min(owner_.receive_limit(), BufferPool::kSize);
  if (max_bytes == 0) {
    pause();
    return false;
  }
  BufferPool::Buffer buffer = loop_.pool().acquire();
  ssize_t count = retry_on_eintr(
      [&] { return ::recv(g_socket_get_fd(socket_.get()), buffer->bytes.data(), max_bytes, MSG_DONTWAIT); });
  if (count > 0) {
    pause_ = kFirstPause;
    owner_.on_received({buffer->bytes.data(), std::size_t(count)});
    return reading_;
  }
  if (count < 0 && errno == EAGAIN) return false;
  if (count < 0 && (errno == EINTR || is_short_of_memory(errno))) {
    pause();
    return false;
  }
  watch_for(false, writing_);
  // The system reports a reset once, to whichever of send and recv comes first; after a failed send, recv
  // reports a normal end.
  owner_.on_ended(count == 0 && !send_failed_ ? End::Closed : End::Broken);
  return false;
}

void TcpConnection::shutdown_write() {
  if (!socket_) return;
  g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
  is_write_shut_ = true;
}

Ref<GSocket> TcpConnection::release() {
  if (socket_) {
    loop_.unwatch(g_socket_get_fd(socket_.get()));
    loop_.descriptors().closed();
  }
  reading_ = writing_ = connecting_ = send_failed_ = paused_ = is_write_shut_ = false;
  pause_ = kFirstPause;
  unsent_.clear();
  given_bytes_ = 0;
  return std::move(socket_);
}

void TcpConnection::reset() {
  linger discard_unsent{1, 0};
  if (socket_)
    setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof discard_unsent);
  close();
}

// Discards unread input if sent bytes are not delivered yet. If all are delivered, the input is left unread,
// so that closing resets the connection: the peer then knows that its input was not processed and can send it
// elsewhere.
void TcpConnection::discard_unread() {
  constexpr int kMaxReads = 64;
  const int descriptor = g_socket_get_fd(socket_.get());
  // The end of the stream counts as one byte, and it is often acknowledged only with the next data.
  const std::size_t end_of_stream = is_write_shut_ ? 1 : 0;
  if (unacknowledged_bytes() <= end_of_stream) return;
  BufferPool::Buffer buffer = loop_.pool().acquire();
  for (int i = 0; i < kMaxReads; ++i) {
    if (::recv(descriptor, buffer->bytes.data(), BufferPool::kSize, MSG_DONTWAIT) <= 0) return;
  }
}

void TcpConnection::close() {
  if (socket_ && delivers_after_close_) discard_unread();
  if (Ref<GSocket> released = release()) g_socket_close(released.get(), nullptr);
}

}  // namespace puffinvane
