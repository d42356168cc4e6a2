#include "src/hot_restart/takeover.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <cerrno>
#include <iterator>
#include <utility>
#include <variant>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/control_address.h"
#include "src/hot_restart/message_decoder.h"
#include "src/net/system_calls.h"

namespace puffinvane {

namespace {

constexpr gulong kRetryPauseMicroseconds = 5000;

double monotonic_now_s() { return double(g_get_monotonic_time()) * 1e-6; }

enum class ConnectStatus { Connected, NoListener, TryLater };

// A connect to a Unix socket succeeds or fails immediately; it is never in progress.
ConnectStatus connect_once(const ControlAddress& address, Ref<GSocket>& socket) {
  if (!socket) socket = create_control_socket();
  if (!socket || address.is_temporarily_unavailable()) return ConnectStatus::TryLater;
  sockaddr_un native{};
  if (!g_socket_address_to_native(address.address(), &native, sizeof native, nullptr)) {
    return ConnectStatus::NoListener;
  }
  const auto size = socklen_t(g_socket_address_get_native_size(address.address()));
  const int connected = retry_on_eintr([&] {
    return ::connect(g_socket_get_fd(socket.get()), reinterpret_cast<const sockaddr*>(&native), size);
  });
  if (connected == 0 || errno == EISCONN) return ConnectStatus::Connected;
  return errno == EINTR || is_local_shortage(errno) ? ConnectStatus::TryLater : ConnectStatus::NoListener;
}

// Appends a part of the endpoint list to the parts received before.
void append_part(std::optional<EndpointList>& list, EndpointList part) {
  if (!list) {
    list = std::move(part);
    list->is_snapshot = true;
    return;
  }
  list->index = part.index;
  list->received_at_s = part.received_at_s;
  list->has_start_times = part.has_start_times;
  std::move(part.entries.begin(), part.entries.end(), std::back_inserter(list->entries));
  std::move(part.addresses.begin(), part.addresses.end(), std::back_inserter(list->addresses));
  list->stated_start_ms.insert(list->stated_start_ms.end(), part.stated_start_ms.begin(),
                               part.stated_start_ms.end());
}

// One takeover, from connecting to the predecessor to the last message of the snapshot. Blocks.
class TakeoverRequest {
 public:
  TakeoverRequest(const std::string& path, double timeout_s)
      : path_(path), deadline_s_(monotonic_now_s() + timeout_s) {}

  Result<Takeover, TakeoverError> run() {
    while (state_ == State::Connecting) connect();
    while (state_ == State::Receiving) receive();
    if (state_ == State::Failed) return error_;
    return std::move(takeover_);
  }

 private:
  enum class State { Connecting, Receiving, Complete, Failed };

  void move_to(State next) { state_ = next; }

  void fail(TakeoverError error) {
    error_ = error;
    move_to(State::Failed);
  }

  void connect() {
    switch (connect_once(ControlAddress(path_), takeover_.predecessor)) {
      case ConnectStatus::Connected: move_to(State::Receiving); return;
      case ConnectStatus::NoListener: fail(TakeoverError::NoPredecessor); return;
      case ConnectStatus::TryLater: break;
    }
    if (monotonic_now_s() < deadline_s_) {
      g_usleep(kRetryPauseMicroseconds);
    } else {
      fail(TakeoverError::Unreachable);
    }
  }

  void receive() {
    const double remaining_s = deadline_s_ - monotonic_now_s();
    if (remaining_s <= 0) {
      fail(TakeoverError::Silent);
      return;
    }
    if (!is_readable_within(remaining_s)) return;
    ReceiveResult received = receive_packet(takeover_.predecessor.get());
    switch (received.status) {
      case ReceiveStatus::Received: on_packet(std::move(received.packet)); break;
      case ReceiveStatus::WouldBlock: break;
      case ReceiveStatus::TryLater: g_usleep(kRetryPauseMicroseconds); break;
      case ReceiveStatus::Closed: fail(TakeoverError::Disconnected); break;
    }
  }

  bool is_readable_within(double timeout_s) const {
    pollfd polled{g_socket_get_fd(takeover_.predecessor.get()), POLLIN, 0};
    const int ready = poll(&polled, 1, int(timeout_s * 1000) + 1);
    // The call was interrupted by a signal, or the system is out of memory.
    if (ready < 0) g_usleep(kRetryPauseMicroseconds);
    return ready > 0;
  }

  void on_packet(Packet packet) {
    Result<ControlMessage, DecodeError> decoded = decode_message(packet.text);
    if (!decoded) {
      fail(TakeoverError::InvalidMessage);
      return;
    }
    auto handle = [&](auto& message) { on_message(message, packet); };
    std::visit(handle, decoded.value());
  }

  void on_message(EndpointListMessage& message, Packet&) {
    append_part(takeover_.list, std::move(message.list));
  }
  void on_message(OperatorOverridesMessage& message, Packet&) {
    takeover_.overrides = std::move(message.overrides);
  }
  void on_message(ListenerMessage&, Packet& packet) { takeover_.listener = std::move(packet.socket); }
  void on_message(SnapshotCompleteMessage&, Packet&) { move_to(State::Complete); }
  // Ignored: not part of the snapshot.
  void on_message(ConnectionMessage&, Packet&) {}
  void on_message(ServingMessage&, Packet&) {}
  void on_message(LearnedStateMessage&, Packet&) {}
  void on_message(SentRequestsMessage&, Packet&) {}
  void on_message(OperatorOrderMessage&, Packet&) {}

  const std::string& path_;
  const double deadline_s_;
  State state_ = State::Connecting;
  TakeoverError error_ = TakeoverError::NoPredecessor;
  Takeover takeover_;
};

}  // namespace

std::string_view to_string(TakeoverError error) {
  switch (error) {
    case TakeoverError::NoPredecessor: return "no_predecessor";
    case TakeoverError::Unreachable: return "unreachable";
    case TakeoverError::Silent: return "silent";
    case TakeoverError::Disconnected: return "disconnected";
    case TakeoverError::InvalidMessage: return "invalid_message";
  }
  return "unknown";
}

Result<Takeover, TakeoverError> request_takeover(const std::string& path, double timeout_s) {
  if (path.empty()) return TakeoverError::NoPredecessor;
  return TakeoverRequest(path, timeout_s).run();
}

}  // namespace puffinvane
