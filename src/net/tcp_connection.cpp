#include "src/net/tcp_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

#include "src/net/system_calls.h"

namespace puffinvane {

namespace {

// Tells what became of a connection attempt; a call that can't tell leaves it to the first send.
int connect_result(int descriptor) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : 0;
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

void TcpConnection::prepare() {
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
  bool unknown = g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED);  // such addresses, here
  if (!socket_) return unknown ? ConnectStart::Refused : ConnectStart::LocalShortage;
  prepare();
  int begun = retry_on_eintr([&] {
    return ::connect(g_socket_get_fd(socket_.get()), reinterpret_cast<const sockaddr*>(&native),
                     socklen_t(g_socket_address_get_native_size(to.get())));
  });
  // Interrupted, it goes on: asked again it says that it does, or that it is done.
  if (begun < 0 && errno != EINPROGRESS && errno != EALREADY && errno != EISCONN) {
    ConnectStart failed =
        is_local_shortage(errno) || errno == EINTR ? ConnectStart::LocalShortage : ConnectStart::Refused;
    close();
    return failed;
  }
  connecting_ = true;
  want(wants_in_, true);
  return ConnectStart::Begun;
}

void TcpConnection::adopt(Ref<GSocket> socket) {
  socket_ = std::move(socket);
  prepare();
  set_reading(true);
}

void TcpConnection::want(bool in, bool out) {
  wants_in_ = in, wants_out_ = out;
  if (!socket_) return;
  int descriptor = g_socket_get_fd(socket_.get());
  std::uint32_t events = 0;
  if (in && !paused_) events |= EPOLLIN;
  if (out && !paused_) events |= EPOLLOUT;
  if (!in && heeds_end_) events |= EPOLLRDHUP;
  // Asked for nothing, epoll would still tell of its end, again and again.
  if (events == 0) return loop_.unwatch(descriptor);
  loop_.watch(descriptor, events, *this);
}

void TcpConnection::on_ready(std::uint32_t events) {
  constexpr std::uint32_t kOver = EPOLLHUP | EPOLLERR;
  if (wants_out_ && (events & (EPOLLOUT | kOver))) writable();
  if (wants_in_ && (events & (EPOLLIN | kOver))) return readable();
  if (!wants_in_ && heeds_end_ && socket_ && (events & (EPOLLRDHUP | kOver))) {
    loop_.unwatch(g_socket_get_fd(socket_.get()));  // told once
    owner_.on_ended(End::Broken);
  }
}

bool TcpConnection::has_nothing_to_read() const {
  if (!socket_) return false;
  pollfd one{g_socket_get_fd(socket_.get()), POLLIN, 0};
  return poll(&one, 1, 0) == 0;  // where that can't be told, something may have come
}

bool TcpConnection::has_ended() const {
  if (!socket_ || has_nothing_to_read()) return false;
  int descriptor = g_socket_get_fd(socket_.get());
  char next;
  ssize_t count = retry_on_eintr([&] { return recv(descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT); });
  bool unknown = count < 0 && (errno == EAGAIN || errno == EINTR || is_short_of_memory(errno));
  if (count == 0 || (count < 0 && !unknown)) return true;
  // Bytes lie before it.
  pollfd end{descriptor, POLLRDHUP, 0};
  return count > 0 && poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

bool TcpConnection::input_may_hide_end() const {
  // Less leaves the system room for all that the far end has under way, whatever its buffers are.
  constexpr std::size_t kMuch = 4096;
  if (!socket_ || has_nothing_to_read()) return false;
  char next[kMuch];
  ssize_t count = recv(g_socket_get_fd(socket_.get()), next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
  return count == ssize_t(sizeof next);
}

bool TcpConnection::read_into(BufferChain& into) {
  BufferPool::Buffer buffer = loop_.pool().acquire();
  ssize_t count = recv(g_socket_get_fd(socket_.get()), buffer->bytes.data(), BufferPool::kSize, MSG_DONTWAIT);
  if (count > 0) into.add({buffer->bytes.data(), std::size_t(count)});
  return count > 0;
}

void TcpConnection::set_reading(bool wanted) {
  if (socket_ && wanted != wants_in_) want(wanted, wants_out_);
}

void TcpConnection::send(BufferChain bytes) {
  if (out_.empty()) out_ = std::move(bytes);
  else out_.add(bytes);
  if (socket_ && !connecting_ && !wants_out_) flush();
}

void TcpConnection::flush() {
  while (!out_.empty() && !broken_) {
    std::string_view part = out_.front();
    ssize_t sent = retry_on_eintr([&] {
      return ::send(g_socket_get_fd(socket_.get()), part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    });
    if (sent >= 0) {
      out_.drop(std::size_t(sent));
      pause_ = kFirstPause;
    } else if (errno == EAGAIN) {
      if (!wants_out_) want(wants_in_, true);
      return;
    } else if (errno == EINTR || is_short_of_memory(errno)) {
      wants_out_ = true;
      return pause();
    } else {
      break_off();
    }
  }
  if (broken_ && wants_out_) want(wants_in_, false);
}

// Nothing is asked of the system for a while: it would tell that the socket is ready, again and again.
void TcpConnection::pause() {
  if (std::exchange(paused_, true)) return;
  want(wants_in_, wants_out_);
  loop_.at(loop_.now() + pause_, alive_.guard([this] {
    paused_ = false;
    want(wants_in_, wants_out_);
  }));
  pause_ = std::min(2 * pause_, kLongestPause);
}

// The far end may have answered before it closed: what it said is read first, and the reading side then
// reports the end. Where it reports none, as the far end lives on, nothing more can come of it all the same.
void TcpConnection::break_off() {
  broken_ = true;
  set_reading(true);
  end_once_read();
}

void TcpConnection::end_once_read() {
  loop_.at(loop_.now() + kReadOutLook, alive_.guard([this] {
    if (!socket_ || !broken_) return;
    if (!has_nothing_to_read()) return end_once_read();
    want(false, false);
    owner_.on_ended(End::Broken);
  }));
}

void TcpConnection::writable() {
  if (connecting_) {
    connecting_ = false;
    want(wants_in_, false);
    if (int error = connect_result(g_socket_get_fd(socket_.get())))
      return owner_.on_ended(is_short_of_memory(error) ? End::LocalShortage : End::Broken);
    set_reading(true);
    return owner_.on_connected();
  }
  if (!out_.empty()) flush();
  if (broken_ || !out_.empty()) return;
  want(wants_in_, false);
  owner_.on_written();
}

void TcpConnection::readable() {
  for (int i = 0; receive() && i + 1 < reads_at_once_;) ++i;
}

bool TcpConnection::receive() {
  BufferPool::Buffer buffer = loop_.pool().acquire();
  ssize_t count = retry_on_eintr([&] {
    return ::recv(g_socket_get_fd(socket_.get()), buffer->bytes.data(), BufferPool::kSize, MSG_DONTWAIT);
  });
  if (count > 0) {
    pause_ = kFirstPause;
    owner_.on_received({buffer->bytes.data(), std::size_t(count)});
    return wants_in_;
  }
  if (count < 0 && errno == EAGAIN) return false;
  if (count < 0 && (errno == EINTR || is_short_of_memory(errno))) return pause(), false;
  want(false, wants_out_);
  // A reset is told once, to the sending side if that meets it first: what is read after it looks like an
  // end.
  owner_.on_ended(count == 0 && !broken_ ? End::Closed : End::Broken);
  return false;
}

void TcpConnection::shutdown_write() {
  if (socket_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

Ref<GSocket> TcpConnection::release() {
  if (socket_) loop_.unwatch(g_socket_get_fd(socket_.get())), loop_.descriptors().closed();
  wants_in_ = wants_out_ = connecting_ = broken_ = paused_ = false;
  pause_ = kFirstPause;
  out_.clear();
  return std::move(socket_);
}

void TcpConnection::reset() {
  linger at_once{1, 0};
  if (socket_) setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

// Only where it has to be: what is left unread, its sender knows for not taken and sends again elsewhere.
void TcpConnection::discard_unread() {
  constexpr int kMostReads = 64;
  int undelivered_bytes = 0;
  const int descriptor = g_socket_get_fd(socket_.get());
  if (ioctl(descriptor, SIOCOUTQ, &undelivered_bytes) != 0 || undelivered_bytes == 0) return;
  BufferPool::Buffer buffer = loop_.pool().acquire();
  for (int i = 0; i < kMostReads; ++i) {
    if (::recv(descriptor, buffer->bytes.data(), BufferPool::kSize, MSG_DONTWAIT) <= 0) return;
  }
}

void TcpConnection::close() {
  if (socket_ && delivers_after_close_) discard_unread();
  if (Ref<GSocket> released = release()) g_socket_close(released.get(), nullptr);
}

}  // namespace puffinvane
