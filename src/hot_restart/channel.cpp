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

constexpr int kAtOnce = 64;              // packets a turn: the requests have their turn too
constexpr double kPause = 0.01;          // seconds after a call for which the system had no memory
constexpr std::size_t kMostSockets = 4;  // that a packet may carry; one is taken, and the others are closed

// Room for the sockets that come with a packet, as the system wants it laid out.
struct alignas(cmsghdr) ControlRoom {
  std::array<char, CMSG_SPACE(kMostSockets * sizeof(int))> bytes{};
};

Ref<GSocket> socket_in(msghdr& message) {
  Ref<GSocket> found;
  for (cmsghdr* part = CMSG_FIRSTHDR(&message); part; part = CMSG_NXTHDR(&message, part)) {
    if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_RIGHTS) continue;
    std::size_t many = (part->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < many; ++i) {
      int descriptor = -1;
      std::memcpy(&descriptor, CMSG_DATA(part) + i * sizeof(int), sizeof descriptor);
      bool first = !found;
      if (first) found.reset(g_socket_new_from_fd(descriptor, nullptr));
      if (!first || !found) ::close(descriptor);
    }
  }
  return found;
}

}  // namespace

Ref<GSocket> handover_socket() {
  Ref<GSocket> made(
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_SEQPACKET, G_SOCKET_PROTOCOL_DEFAULT, nullptr));
  if (made) g_socket_set_blocking(made.get(), FALSE);
  return made;
}

Received receive_packet(GSocket* from, Packet& packet) {
  std::string text(kMostPacket, '\0');
  iovec into{text.data(), text.size()};
  ControlRoom room;
  msghdr message{};
  message.msg_iov = &into;
  message.msg_iovlen = 1;
  message.msg_control = room.bytes.data();
  message.msg_controllen = room.bytes.size();
  ssize_t size = uninterrupted(
      [&] { return recvmsg(g_socket_get_fd(from), &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT); });
  if (size < 0 && errno == EAGAIN) return Received::Nothing;
  if (size < 0 && (errno == EINTR || is_short_of_memory(errno))) return Received::NotNow;
  if (size <= 0) return Received::End;
  packet.socket = socket_in(message);
  text.resize(std::size_t(size));
  packet.text = std::move(text);
  return Received::Packet;
}

Channel::Channel(Loop& loop, Owner& owner, Ref<GSocket> socket)
    : loop_(loop), owner_(owner), socket_(std::move(socket)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), SOL_SOCKET, SO_SNDBUF, 2 * int(kMostPacket), nullptr);
  loop_.watch(g_socket_get_fd(socket_.get()), EPOLLIN, *this);
}

Channel::~Channel() {
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  g_socket_close(socket_.get(), nullptr);
}

bool Channel::write(const std::string& text, GSocket* socket) {
  iovec out{const_cast<char*>(text.data()), text.size()};
  ControlRoom room;
  msghdr message{};
  message.msg_iov = &out;
  message.msg_iovlen = 1;
  if (socket) {
    const int descriptor = g_socket_get_fd(socket);
    message.msg_control = room.bytes.data();
    message.msg_controllen = CMSG_SPACE(sizeof descriptor);
    cmsghdr* part = CMSG_FIRSTHDR(&message);
    part->cmsg_level = SOL_SOCKET;
    part->cmsg_type = SCM_RIGHTS;
    part->cmsg_len = CMSG_LEN(sizeof descriptor);
    std::memcpy(CMSG_DATA(part), &descriptor, sizeof descriptor);
  }
  return uninterrupted([&] {
           return sendmsg(g_socket_get_fd(socket_.get()), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
         }) >= 0;
}

void Channel::send(std::string text) {
  if (text.size() > kMostPacket)  // it could never go out, and all behind it would wait for ever
    return void(loop_.log().warning() << "the other process is not told " << text.size()
                                      << " bytes: a packet holds " << kMostPacket);
  waiting_.push_back(std::move(text));
  flush();
}

bool Channel::send(const std::string& text, GSocket* socket) {
  flush();
  return !over_ && waiting_.empty() && write(text, socket);
}

void Channel::flush() {
  if (paused_) return;
  bool written = true;
  while (!over_ && !waiting_.empty() && (written = write(waiting_.front(), nullptr))) waiting_.pop_front();
  bool full = !written && errno == EAGAIN;
  // Else the system would tell that the socket is ready, again and again.
  if (!written && (errno == EINTR || is_short_of_memory(errno))) return pause();
  // One that can't be written to at all ends, and the reading side tells it.
  loop_.watch(g_socket_get_fd(socket_.get()), EPOLLIN | (full ? std::uint32_t(EPOLLOUT) : 0u), *this);
}

void Channel::pause() {
  paused_ = true;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  loop_.at(loop_.now() + kPause, alive_.guard([this] {
    paused_ = false;
    if (!over_) flush();
  }));
}

void Channel::on_ready(std::uint32_t) {
  if (!waiting_.empty()) flush();
  for (int i = 0; i < kAtOnce && !over_; ++i) {
    Packet packet;
    Received what = receive_packet(socket_.get(), packet);
    if (what == Received::NotNow) return pause();
    if (what == Received::Nothing) break;
    over_ = what == Received::End;
    if (!over_) owner_.on_packet(*this, std::move(packet));
  }
  if (!over_) return;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  owner_.on_over(*this);
}

}  // namespace puffinvane
