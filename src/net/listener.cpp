#include "src/net/listener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

#include "src/net/system_calls.h"

namespace puffinvane {

namespace {
constexpr int kBacklog = 4096;  // clients connect in bursts; connections beyond the backlog are refused
constexpr int kMaxAcceptsPerIteration = 64;  // then the requests accepted before are handled
// Seconds. Without a pause, a listening socket that stays readable while there is no room would keep the loop
// busy.
constexpr double kPause = 0.02;

int listen_at(GSocket* socket, GSocketAddress* address) {
  sockaddr_storage native{};
  g_socket_address_to_native(address, &native, sizeof native, nullptr);
  const int descriptor = g_socket_get_fd(socket);
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
  int bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&native),
                     socklen_t(g_socket_address_get_native_size(address)));
  return bound < 0 ? bound : ::listen(descriptor, kBacklog);
}

[[noreturn]] void throw_listen_error(std::string_view address, int error) {
  std::string message = "can't listen at " + std::string(address) + ": Error binding to address " +
                        std::string(address) + ": " + std::strerror(error);
  if (error == EADDRINUSE) throw Listener::AddressInUse(message);
  if (is_short_of_memory(error) || is_short_of_descriptors(error)) throw Listener::LocalShortage(message);
  throw std::runtime_error(message);
}

}  // namespace

void Listener::open(std::string_view address, PortSharing sharing) {
  Ref<GSocketAddress> at = parse_address(address);
  if (!at)
    throw std::runtime_error("can't listen at '" + std::string(address) + "': not an address and port");
  GError* raw = nullptr;
  socket_.reset(
      g_socket_new(g_socket_address_get_family(at.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &raw));
  if (!socket_) {
    Error error(raw);
    std::string message = "can't listen at " + std::string(address) + ": " + error->message;
    if (g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED)) throw std::runtime_error(message);
    throw LocalShortage(message);
  }
  g_socket_set_blocking(socket_.get(), FALSE);
  if (sharing == PortSharing::Shared)
    g_socket_set_option(socket_.get(), SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  if (listen_at(socket_.get(), at.get()) < 0) {
    const int error = errno;
    socket_.reset();
    throw_listen_error(address, error);
  }
  loop_.descriptors().opened();
  listen();
}

void Listener::listen() {
  if (!socket_ || closing_) return;
  GSource* source = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(&Listener::on_readable), this, nullptr);
  if (priority_ == Priority::High) g_source_set_priority(source, G_PRIORITY_HIGH);
  g_source_attach(source, loop_.context());
  source_ = Source(source);
}

void Listener::pause() {
  if (!waiting_since_) waiting_since_ = loop_.now();
  source_.reset();
  loop_.at(loop_.now() + kPause, alive_.guard([this] { listen(); }));
}

bool Listener::has_waiting_connection() const {
  // Checked before may_accept(), which may close an idle connection to make room.
  pollfd polled{g_socket_get_fd(socket_.get()), POLLIN, 0};
  return poll(&polled, 1, 0) != 0;  // if poll fails, accept reports the error
}

Listener::AcceptResult Listener::accept_one() {
  const int descriptor = retry_on_eintr(
      [this] { return accept4(g_socket_get_fd(socket_.get()), nullptr, nullptr, SOCK_CLOEXEC); });
  if (descriptor < 0) {
    if (errno == EAGAIN) return AcceptResult::NoneWaiting;
    loop_.log().debug() << "accept failed: " << std::strerror(errno);
    bool is_shortage = errno == EINTR || is_short_of_memory(errno) || is_short_of_descriptors(errno);
    // Linux also returns errors of the new connection itself, which is gone then.
    return is_shortage ? AcceptResult::NotNow : AcceptResult::Lost;
  }
  Ref<GSocket> accepted(g_socket_new_from_fd(descriptor, nullptr));
  if (!accepted) {
    ::close(descriptor);
    return AcceptResult::Lost;
  }
  double waited = max_wait_of(accepted.get());
  owner_.on_accepted(std::move(accepted), id_, waited);
  return AcceptResult::Accepted;
}

// An upper bound for how long the client's first bytes have waited. The system may report when the last of
// them arrived; otherwise they arrived at some time after the backlog was last empty.
double Listener::max_wait_of(GSocket* accepted) const {
  if (!waiting_since_) return 0;
  double longest = loop_.now() - *waiting_since_;
  tcp_info info{};
  socklen_t size = sizeof info;
  bool known = getsockopt(g_socket_get_fd(accepted), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known && info.tcpi_state != 0 ? std::min(longest, info.tcpi_last_data_recv * 1e-3) : longest;
}

bool Listener::has_room() {
  if (owner_.may_accept()) return true;
  if (!waiting_since_) waiting_since_ = loop_.now();
  return false;
}

gboolean Listener::on_readable(GSocket*, GIOCondition, gpointer data) {
  auto& self = *static_cast<Listener*>(data);
  for (int i = 0; i < kMaxAcceptsPerIteration && self.has_waiting_connection(); ++i) {
    if (!self.has_room()) {
      self.pause();
      return G_SOURCE_REMOVE;
    }
    AcceptResult result = self.accept_one();
    if (result == AcceptResult::NotNow) {
      self.pause();
      return G_SOURCE_REMOVE;
    }
    if (result == AcceptResult::NoneWaiting) break;
  }
  if (!self.has_waiting_connection()) self.waiting_since_.reset();
  return G_SOURCE_CONTINUE;
}

void Listener::adopt(Ref<GSocket> listening) {
  socket_ = std::move(listening);
  g_socket_set_blocking(socket_.get(), FALSE);
  loop_.descriptors().opened();
  listen();
}

void Listener::abandon() {
  if (!socket_) return;
  source_.reset();
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  loop_.descriptors().closed();
}

Listener::~Listener() { abandon(); }

void Listener::close() {
  if (!socket_) return;
  source_.reset();
  closing_ = true;
  for (int i = 0; i < kBacklog; ++i) {
    if (has_waiting_connection() && !has_room()) break;
    AcceptResult result = accept_one();
    if (result == AcceptResult::NoneWaiting) return abandon();
    if (result == AcceptResult::NotNow) break;
  }
  // Closing now would reset the waiting connections, whose requests the system has received already.
  loop_.at(loop_.now() + kPause, alive_.guard([this] { close(); }));
}

}  // namespace puffinvane
