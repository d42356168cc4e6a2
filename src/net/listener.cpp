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
constexpr int kBacklog = 4096;   // the front deals connections in bursts; what does not fit is refused
constexpr int kAtOnce = 64;      // then the requests already in hand have their turn
constexpr double kPause = 0.02;  // at the limit: a listening socket that stays readable would spin the loop

int listen_at(GSocket* socket, GSocketAddress* address) {
  sockaddr_storage native{};
  g_socket_address_to_native(address, &native, sizeof native, nullptr);
  const int descriptor = g_socket_get_fd(socket);
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
  int bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&native),
                     socklen_t(g_socket_address_get_native_size(address)));
  return bound < 0 ? bound : ::listen(descriptor, kBacklog);
}

[[noreturn]] void refuse_to_listen(std::string_view address, int error) {
  std::string why = "can't listen at " + std::string(address) + ": Error binding to address " +
                    std::string(address) + ": " + std::strerror(error);
  if (error == EADDRINUSE) throw Listener::InUse(why);
  if (is_short_of_memory(error) || is_short_of_descriptors(error)) throw Listener::LocalShortage(why);
  throw std::runtime_error(why);
}

}  // namespace

void Listener::open(std::string_view address, Beside beside) {
  Ref<GSocketAddress> at = parse_address(address);
  if (!at)
    throw std::runtime_error("can't listen at '" + std::string(address) + "': not an address and port");
  GError* raw = nullptr;
  socket_.reset(
      g_socket_new(g_socket_address_get_family(at.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &raw));
  if (!socket_) {
    Error error(raw);
    std::string why = "can't listen at " + std::string(address) + ": " + error->message;
    if (g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED)) throw std::runtime_error(why);
    throw LocalShortage(why);
  }
  g_socket_set_blocking(socket_.get(), FALSE);
  if (beside == Beside::Another) g_socket_set_option(socket_.get(), SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  if (listen_at(socket_.get(), at.get()) < 0) {
    const int error = errno;
    socket_.reset();
    refuse_to_listen(address, error);
  }
  loop_.descriptors().opened();
  listen();
}

void Listener::listen() {
  if (!socket_ || closing_) return;
  GSource* source = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(&Listener::connection_waits), this, nullptr);
  if (turn_ == Turn::First) g_source_set_priority(source, G_PRIORITY_HIGH);
  g_source_attach(source, loop_.context());
  source_ = Source(source);
}

void Listener::pause() {
  if (!held_since_) held_since_ = loop_.now();
  source_.reset();
  loop_.at(loop_.now() + kPause, alive_.guard([this] { listen(); }));
}

bool Listener::somebody_waits() const {
  // Asked first: making room for nobody would close a client's connection each time.
  pollfd one{g_socket_get_fd(socket_.get()), POLLIN, 0};
  return poll(&one, 1, 0) != 0;  // where that can't be told, accept tells it
}

Listener::Accepted Listener::take_one() {
  const int descriptor = retry_on_eintr(
      [this] { return accept4(g_socket_get_fd(socket_.get()), nullptr, nullptr, SOCK_CLOEXEC); });
  if (descriptor < 0) {
    if (errno == EAGAIN) return Accepted::None;
    loop_.log().debug() << "a connection could not be taken in: " << std::strerror(errno);
    bool want = errno == EINTR || is_short_of_memory(errno) || is_short_of_descriptors(errno);
    // Linux tells here what had befallen the connection itself, which is gone.
    return want ? Accepted::NotNow : Accepted::Lost;
  }
  Ref<GSocket> entered(g_socket_new_from_fd(descriptor, nullptr));
  if (!entered) {
    ::close(descriptor);
    return Accepted::Lost;
  }
  double lain = waited(entered.get());
  owner_.on_accepted(std::move(entered), number_, lain);
  return Accepted::One;
}

// Its time runs from when it was sent. The system may tell when the last of it came; else all that is known
// is that it came after the listener was last seen with nobody at it.
double Listener::waited(GSocket* entered) const {
  if (!held_since_) return 0;
  double longest = loop_.now() - *held_since_;
  tcp_info info{};
  socklen_t size = sizeof info;
  bool known = getsockopt(g_socket_get_fd(entered), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known && info.tcpi_state != 0 ? std::min(longest, info.tcpi_last_data_recv * 1e-3) : longest;
}

bool Listener::lets_in() {
  if (owner_.may_accept()) return true;
  if (!held_since_) held_since_ = loop_.now();
  return false;
}

gboolean Listener::connection_waits(GSocket*, GIOCondition, gpointer data) {
  auto& self = *static_cast<Listener*>(data);
  for (int i = 0; i < kAtOnce && self.somebody_waits(); ++i) {
    if (!self.lets_in()) return self.pause(), G_SOURCE_REMOVE;
    Accepted accepted = self.take_one();
    if (accepted == Accepted::NotNow) return self.pause(), G_SOURCE_REMOVE;
    if (accepted == Accepted::None) break;
  }
  if (!self.somebody_waits()) self.held_since_.reset();
  return G_SOURCE_CONTINUE;
}

void Listener::adopt(Ref<GSocket> listening) {
  socket_ = std::move(listening);
  g_socket_set_blocking(socket_.get(), FALSE);
  loop_.descriptors().opened();
  listen();
}

void Listener::let_go() {
  if (!socket_) return;
  source_.reset();
  g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  loop_.descriptors().closed();
}

Listener::~Listener() { let_go(); }

void Listener::close() {
  if (!socket_) return;
  source_.reset();
  closing_ = true;
  for (int i = 0; i < kBacklog; ++i) {
    if (somebody_waits() && !lets_in()) break;
    Accepted accepted = take_one();
    if (accepted == Accepted::None) return let_go();
    if (accepted == Accepted::NotNow) break;
  }
  // The system has taken the requests of who still waits, and would reset them.
  loop_.at(loop_.now() + kPause, alive_.guard([this] { close(); }));
}

}  // namespace puffinvane
