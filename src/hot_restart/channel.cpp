#include "src/hot_restart/channel.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "src/net/system_calls.h"

namespace puffinvane {

namespace {

// Limits the time for which one channel occupies the event loop.
constexpr int kMaxPacketsPerWakeup = 64;
constexpr double kMemoryRetrySeconds = 0.01;
// If more sockets are attached to a packet, the system discards the excess ones.
constexpr std::size_t kMaxAttachedSockets = 4;

// A buffer for the descriptors attached to a packet, aligned as sendmsg and recvmsg require.
struct alignas(cmsghdr) AncillaryBuffer {
  std::array<char, CMSG_SPACE(kMaxAttachedSockets * sizeof(int))> bytes{};
};

bool is_temporary(int error) { return error == EINTR || is_short_of_memory(error); }

void attach_socket(msghdr& message, AncillaryBuffer& buffer, GSocket* socket) {
  const int descriptor = g_socket_get_fd(socket);
  message.msg_control = buffer.bytes.data();
  message.msg_controllen = CMSG_SPACE(sizeof descriptor);
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof descriptor);
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
}

// Stores the descriptor in `kept` unless that already holds a socket; otherwise closes it.
void keep_or_close(int descriptor, Ref<GSocket>& kept) {
  if (!kept) {
    kept.reset(g_socket_new_from_fd(descriptor, nullptr));
    if (kept) return;
  }
  ::close(descriptor);
}

Ref<GSocket> take_attached_socket(msghdr& message) {
  Ref<GSocket> kept;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int descriptor = -1;
      std::memcpy(&descriptor, CMSG_DATA(header) + i * sizeof(int), sizeof descriptor);
      keep_or_close(descriptor, kept);
    }
  }
  return kept;
}

}  // namespace

Ref<GSocket> create_control_socket() {
  Ref<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_SEQPACKET, G_SOCKET_PROTOCOL_DEFAULT, nullptr));
  if (socket) g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

ReceiveResult receive_packet(GSocket* socket) {
  std::string text(kMaxPacketBytes, '\0');
  iovec content{text.data(), text.size()};
  AncillaryBuffer buffer;
  msghdr message{};
  message.msg_iov = &content;
  message.msg_iovlen = 1;
  message.msg_control = buffer.bytes.data();
  message.msg_controllen = buffer.bytes.size();
  const auto receive = [&] {
    return recvmsg(g_socket_get_fd(socket), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  };
  ssize_t size = retry_on_eintr(receive);
  // A peer that closed its socket with unread packets causes this error once, ahead of what it had sent.
  if (size < 0 && errno == ECONNRESET) size = retry_on_eintr(receive);
  if (size < 0 && errno == EAGAIN) return {ReceiveStatus::WouldBlock, {}};
  if (size < 0 && is_temporary(errno)) return {ReceiveStatus::TryLater, {}};
  if (size <= 0) return {ReceiveStatus::Closed, {}};
  text.resize(std::size_t(size));
  Ref<GSocket> attached_socket = take_attached_socket(message);
  return {ReceiveStatus::Received, {std::move(text), std::move(attached_socket)}};
}

Channel::Channel(Loop& loop, Owner& owner, Ref<GSocket> socket)
    : loop_(loop), owner_(owner), socket_(std::move(socket)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), SOL_SOCKET, SO_SNDBUF, 2 * int(kMaxPacketBytes), nullptr);
  loop_.watch(g_socket_get_fd(socket_.get()), EPOLLIN, *this);
}

Channel::~Channel() {
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  g_socket_close(socket_.get(), nullptr);
}

void Channel::send(std::string text) {
  // The system would never accept it, and it would block all packets queued after it.
  if (text.size() > kMaxPacketBytes) {
    loop_.log()
        .event(Level::Warning, "hot_restart.message_too_large")
        .with("size_bytes", text.size())
        .with("limit_bytes", kMaxPacketBytes);
    return;
  }
  queued_packets_.push_back(std::move(text));
  flush();
}

bool Channel::try_send(const std::string& text, GSocket* attached_socket) {
  flush();
  if (state_ == State::Closed || !queued_packets_.empty()) return false;
  return write(text, attached_socket) == WriteStatus::Written;
}

Channel::WriteStatus Channel::write(const std::string& text, GSocket* attached_socket) {
  iovec content{const_cast<char*>(text.data()), text.size()};
  AncillaryBuffer buffer;
  msghdr message{};
  message.msg_iov = &content;
  message.msg_iovlen = 1;
  if (attached_socket) attach_socket(message, buffer, attached_socket);
  const ssize_t size = retry_on_eintr(
      [&] { return sendmsg(g_socket_get_fd(socket_.get()), &message, MSG_NOSIGNAL | MSG_DONTWAIT); });
  if (size >= 0) return WriteStatus::Written;
  if (errno == EAGAIN) return WriteStatus::WouldBlock;
  return is_temporary(errno) ? WriteStatus::TryLater : WriteStatus::Failed;
}

Channel::WriteStatus Channel::write_queued_packets() {
  while (!queued_packets_.empty()) {
    const WriteStatus status = write(queued_packets_.front(), nullptr);
    if (status != WriteStatus::Written) return status;
    queued_packets_.pop_front();
  }
  return WriteStatus::Written;
}

void Channel::flush() {
  if (state_ != State::Open) return;
  const WriteStatus status = write_queued_packets();
  if (status == WriteStatus::TryLater) {
    pause();
    return;
  }
  // After a permanent write failure nothing is done here: the next read finds the channel closed.
  const std::uint32_t writable = status == WriteStatus::WouldBlock ? std::uint32_t(EPOLLOUT) : 0u;
  loop_.watch(g_socket_get_fd(socket_.get()), EPOLLIN | writable, *this);
}

// The socket stays ready while the system is out of memory. It is not watched during the pause, as the event
// loop would spin.
void Channel::pause() {
  state_ = State::Paused;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  loop_.at(loop_.now() + kMemoryRetrySeconds, alive_.guard([this] { on_pause_elapsed(); }));
}

void Channel::on_pause_elapsed() {
  if (state_ != State::Paused) return;
  state_ = State::Open;
  flush();
}

void Channel::on_ready(std::uint32_t) {
  if (!queued_packets_.empty()) flush();
  receive_packets();
}

void Channel::receive_packets() {
  for (int i = 0; i < kMaxPacketsPerWakeup; ++i) {
    ReceiveResult received = receive_packet(socket_.get());
    switch (received.status) {
      case ReceiveStatus::Received: owner_.on_packet(*this, std::move(received.packet)); break;
      case ReceiveStatus::WouldBlock: return;
      case ReceiveStatus::TryLater: pause(); return;
      case ReceiveStatus::Closed: close(); return;
    }
  }
}

void Channel::close() {
  state_ = State::Closed;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  owner_.on_channel_closed(*this);
}

}  // namespace puffinvane
