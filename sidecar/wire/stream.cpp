#include "sidecar/wire/stream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <charconv>

namespace puffinvane {

Ref<GSocketAddress> read_address(std::string_view address) {
  std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) return {};
  std::string_view host = address.substr(0, colon), digits = address.substr(colon + 1);
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  unsigned short port = 0;
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() || port == 0) return {};
  return Ref<GSocketAddress>(g_inet_socket_address_new_from_string(std::string(host).c_str(), port));
}

void Stream::prepare() {
  loop_.descriptors().opened();
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

bool Stream::connect(std::string_view address) {
  Ref<GSocketAddress> to = read_address(address);
  if (!to) return false;
  socket_.reset(g_socket_new(g_socket_address_get_family(to.get()), G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, nullptr));
  if (!socket_) return false;
  prepare();
  GError* raw = nullptr;
  if (!g_socket_connect(socket_.get(), to.get(), nullptr, &raw)) {
    Error error(raw);
    if (!g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_PENDING)) return close(), false;
  }
  connecting_ = true;
  out_source_ = watch(G_IO_OUT, writable);
  return true;
}

void Stream::adopt(Ref<GSocket> socket) {
  socket_ = std::move(socket);
  prepare();
  read(true);
}

Source Stream::watch(GIOCondition condition, gboolean (*callback)(GSocket*, GIOCondition, gpointer)) {
  GSource* source = g_socket_create_source(socket_.get(), condition, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(callback), this, nullptr);
  g_source_attach(source, loop_.context());
  return Source(source);
}

bool Stream::quiet() const {
  constexpr auto kAny = GIOCondition(G_IO_IN | G_IO_HUP | G_IO_ERR);
  return socket_ && g_socket_condition_check(socket_.get(), kAny) == 0;
}

void Stream::read(bool wanted) {
  if (!socket_ || wanted == bool(in_)) return;
  in_ = wanted ? watch(G_IO_IN, readable) : Source();
}

void Stream::send(Chain bytes) {
  if (out_.empty()) out_ = std::move(bytes);
  else out_.add(bytes);
  if (socket_ && !connecting_ && !out_source_) flush();
}

void Stream::flush() {
  while (!out_.empty() && !broken_) {
    std::string_view part = out_.front();
    GError* raw = nullptr;
    gssize sent = g_socket_send(socket_.get(), part.data(), part.size(), nullptr, &raw);
    Error error(raw);
    if (sent >= 0) {
      out_.drop(std::size_t(sent));
    } else if (g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      if (!out_source_) out_source_ = watch(G_IO_OUT, writable);
      return;
    } else {
      // The far end may have answered before it closed: what it said is read first, and the reading side
      // then reports the end.
      broken_ = true;
      read(true);
    }
  }
  if (broken_) out_source_.reset();
}

gboolean Stream::writable(GSocket*, GIOCondition, gpointer data) {
  auto& self = *static_cast<Stream*>(data);
  if (self.connecting_) {
    self.connecting_ = false;
    self.out_source_.reset();
    if (!g_socket_check_connect_result(self.socket_.get(), nullptr))
      return self.owner_.on_ended(), G_SOURCE_REMOVE;
    self.read(true);
    return self.owner_.on_connected(), G_SOURCE_REMOVE;
  }
  if (!self.out_.empty()) self.flush();
  if (self.broken_ || !self.out_.empty()) return G_SOURCE_CONTINUE;
  self.out_source_.reset();
  return self.owner_.on_written(), G_SOURCE_REMOVE;
}

gboolean Stream::readable(GSocket*, GIOCondition, gpointer data) {
  auto& self = *static_cast<Stream*>(data);
  for (int i = 0; self.receive() && i + 1 < self.reads_at_once_;) ++i;
  return G_SOURCE_CONTINUE;
}

bool Stream::receive() {
  Pool::Buffer buffer = loop_.pool().lend();
  GError* raw = nullptr;
  gssize count = g_socket_receive(socket_.get(), buffer->bytes.data(), Pool::kSize, nullptr, &raw);
  Error error(raw);
  if (count > 0) {
    owner_.on_received({buffer->bytes.data(), std::size_t(count)});
    return bool(in_);
  }
  if (count == 0 || !g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    in_.reset();
    owner_.on_ended();
  }
  return false;
}

void Stream::finish_sending() {
  if (socket_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

void Stream::close() {
  in_.reset(), out_source_.reset();
  if (!socket_) return;
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  loop_.descriptors().closed();
  out_.clear();
}

}  // namespace puffinvane
