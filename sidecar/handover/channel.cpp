#include "sidecar/handover/channel.h"

#include <gio/gunixfdmessage.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace puffinvane {

namespace {

constexpr int kAtOnce = 64;  // packets a turn: the visits have their turn too

Ref<GSocket> socket_in(GSocketControlMessage** messages, int count) {
  Ref<GSocket> found;
  for (int i = 0; i < count; ++i) {
    Ref<GSocketControlMessage> message(messages[i]);
    if (!G_IS_UNIX_FD_MESSAGE(message.get())) continue;
    int many = 0;
    int* descriptors = g_unix_fd_message_steal_fds(G_UNIX_FD_MESSAGE(message.get()), &many);
    for (int k = 0; k < many; ++k) {
      GError* raw = nullptr;
      if (!found) found.reset(g_socket_new_from_fd(descriptors[k], &raw));
      Error error(raw);
      if (error || k > 0) ::close(descriptors[k]);
    }
    g_free(descriptors);
  }
  g_free(messages);
  return found;
}

}  // namespace

Ref<GSocket> handover_socket() {
  Ref<GSocket> made(
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_SEQPACKET, G_SOCKET_PROTOCOL_DEFAULT, nullptr));
  if (made) g_socket_set_blocking(made.get(), FALSE);
  return made;
}

std::optional<Packet> receive_packet(GSocket* from, bool& over) {
  std::string text(kMostPacket, '\0');
  GInputVector into{text.data(), text.size()};
  GSocketControlMessage** messages = nullptr;
  int count = 0, flags = 0;
  GError* raw = nullptr;
  gssize size = g_socket_receive_message(from, nullptr, &into, 1, &messages, &count, &flags, nullptr, &raw);
  Error error(raw);
  over = size == 0 || (size < 0 && !g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK));
  Packet packet;
  if (messages) packet.socket = socket_in(messages, count);
  if (size <= 0) return {};
  text.resize(std::size_t(size));
  packet.text = std::move(text);
  return packet;
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
  GOutputVector out{text.data(), text.size()};
  Ref<GSocketControlMessage> with;
  if (socket) {
    with.reset(g_unix_fd_message_new());
    if (!g_unix_fd_message_append_fd(G_UNIX_FD_MESSAGE(with.get()), g_socket_get_fd(socket), nullptr))
      return false;
  }
  GSocketControlMessage* message = with.get();
  GError* raw = nullptr;
  gssize sent = g_socket_send_message(socket_.get(), nullptr, &out, 1, with ? &message : nullptr,
                                      with ? 1 : 0, 0, nullptr, &raw);
  Error error(raw);
  return sent >= 0;
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
  while (!over_ && !waiting_.empty() && write(waiting_.front(), nullptr)) waiting_.pop_front();
  loop_.watch(g_socket_get_fd(socket_.get()), EPOLLIN | (waiting_.empty() ? 0u : std::uint32_t(EPOLLOUT)),
              *this);
}

void Channel::on_ready(std::uint32_t) {
  if (!waiting_.empty()) flush();
  for (int i = 0; i < kAtOnce && !over_; ++i) {
    std::optional<Packet> packet = receive_packet(socket_.get(), over_);
    if (packet) owner_.on_packet(*this, std::move(*packet));
    else break;
  }
  if (!over_) return;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  owner_.on_over(*this);
}

}  // namespace puffinvane
