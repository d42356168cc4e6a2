#include "src/fleet/transport/transport.h"

#include <sys/epoll.h>

#include <stdexcept>

namespace puffinvane::fleet {

namespace {
constexpr int kMaxDatagramsPerTurn = 16;  // then the loop handles other events, such as requests
// Datagrams may take this share of the loop's time in each window (seconds). Beyond that they wait in the
// socket buffer and are lost once it is full.
constexpr double kWindow = 0.05;
constexpr double kMaxLoopShare = 0.1;
constexpr std::size_t kMaxSessions = 4;  // each of sessions initiated here and accepted from others
constexpr double kSessionTimeout = 3;    // seconds, for the exchange of full states
constexpr std::size_t kLengthBytes = 4;

std::string to_text(GSocketAddress* address) {
  if (!address || !G_IS_INET_SOCKET_ADDRESS(address)) return {};
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  GInetAddress* host = g_inet_socket_address_get_address(inet);
  char* text = g_inet_address_to_string(host);
  bool is_ipv6 = g_inet_address_get_family(host) == G_SOCKET_FAMILY_IPV6;
  std::string result = is_ipv6 ? "[" + std::string(text) + "]" : std::string(text);
  g_free(text);
  return result + ":" + std::to_string(g_inet_socket_address_get_port(inet));
}
}  // namespace

// Exchanges full states over one TCP connection. Each side sends a length of four bytes, big-endian, and an
// encoded message. The initiating side sends first and closes the connection after the answer.
class Transport::PeerSession final : TcpConnection::Owner {
 public:
  PeerSession(Transport& transport, bool initiates)
      : initiates(initiates), transport_(transport), tcp_(transport.loop_, *this) {}
  bool connect(const std::string& address) {
    return tcp_.connect(address) == TcpConnection::ConnectStart::Begun;
  }
  void accept(Ref<GSocket> socket) { tcp_.adopt(std::move(socket)); }
  const bool initiates;

 private:
  void send_state() {
    std::string state = encode(transport_.owner_.state(), transport_.key_);
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8) frame += char(state.size() >> shift & 0xff);
    BufferChain chain(transport_.loop_.pool());
    chain.add(frame);
    chain.add(state);
    tcp_.send(std::move(chain));
  }
  void on_connected() override { send_state(); }
  void on_received(std::string_view bytes) override {
    if (complete_) return;  // a peer that goes on sending must not fill the memory
    received_ += bytes;
    if (received_.size() < kLengthBytes) return;
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) length = length << 8 | std::uint8_t(received_[i]);
    if (length > kMaxStateBytes) {
      ++transport_.counts_.malformed;
      return transport_.end_session(*this);
    }
    if (received_.size() < kLengthBytes + length) return;
    DecodeError error;
    std::optional<Message> state =
        decode(std::string_view(received_).substr(kLengthBytes, length), transport_.key_, error);
    complete_ = true;
    if (!state) {
      transport_.count_error(error);
      return transport_.end_session(*this);
    }
    ++transport_.counts_.states_received;
    // The answer is the state before the merge: the peer merges this side's knowledge with its own itself.
    if (!initiates) send_state();
    transport_.owner_.on_state(*state);
    if (initiates) transport_.end_session(*this);
  }
  void on_ended(TcpConnection::End) override { transport_.end_session(*this); }

  Transport& transport_;
  TcpConnection tcp_;
  std::string received_;
  bool complete_ = false;  // the peer's state has been received
};

Transport::Transport(Loop& loop, Owner& owner, std::string key)
    : loop_(loop),
      owner_(owner),
      key_(std::move(key)),
      listener_(loop, *this),
      buffer_(kMaxDatagramBytes + 1, '\0') {}

Transport::~Transport() { close(); }

void Transport::open(const std::string& address) {
  Ref<GSocketAddress> at = parse_address(address);
  if (!at)
    throw std::runtime_error("can't listen for the fleet at '" + address + "': not an address and port");
  GError* raw = nullptr;
  socket_.reset(g_socket_new(g_socket_address_get_family(at.get()), G_SOCKET_TYPE_DATAGRAM,
                             G_SOCKET_PROTOCOL_UDP, &raw));
  if (!socket_ || !g_socket_bind(socket_.get(), at.get(), FALSE, &raw)) {
    Error error(raw);
    socket_.reset();
    throw std::runtime_error("can't listen for the fleet at " + address + ": " + error->message);
  }
  g_socket_set_blocking(socket_.get(), FALSE);
  loop_.descriptors().opened();
  try {
    listener_.open(address);
  } catch (...) {
    // The caller may retry: without this each attempt would count another descriptor, and the UDP half of the
    // address would stay bound.
    loop_.descriptors().closed();
    socket_.reset();
    throw;
  }
  resume();
}

void Transport::close() {
  if (!socket_) return;
  listener_.close();
  sessions_.clear();
  initiated_sessions_ = accepted_sessions_ = 0;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  loop_.descriptors().closed();
  socket_.reset();
}

void Transport::resume() {
  paused_ = false;
  if (socket_) loop_.watch(g_socket_get_fd(socket_.get()), EPOLLIN, *this);
}

// Stops reading datagrams until the window ends, so that a flood of them doesn't delay requests.
void Transport::pause() {
  paused_ = true;
  ++counts_.pauses;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  loop_.at(window_start_ + kWindow, alive_.guard([this] { resume(); }));
}

void Transport::on_ready(std::uint32_t) {
  double began = loop_.now();
  if (began > window_start_ + kWindow) {
    window_start_ = began;
    spent_ = 0;
  }
  for (int i = 0; i < kMaxDatagramsPerTurn && receive_datagram(); ++i) {
  }
  spent_ += loop_.now() - began;
  if (socket_ && !paused_ && spent_ > kMaxLoopShare * kWindow) pause();
}

bool Transport::receive_datagram() {
  GSocketAddress* raw_source = nullptr;
  GError* raw = nullptr;
  gssize size = socket_ ? g_socket_receive_from(socket_.get(), &raw_source, buffer_.data(), buffer_.size(),
                                                nullptr, &raw)
                        : -1;
  Ref<GSocketAddress> source(raw_source);
  Error error(raw);
  if (size < 0) {
    // After an error such as a lack of memory the socket is reported as readable again at once: pause, so
    // that the loop doesn't spin.
    if (error && !g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) pause();
    return false;
  }
  ++counts_.received;
  counts_.bytes_received += std::uint64_t(size);
  DecodeError decode_error = DecodeError::Malformed;
  std::optional<Message> message;
  if (std::size_t(size) <= kMaxDatagramBytes)
    message = decode(std::string_view(buffer_).substr(0, std::size_t(size)), key_, decode_error);
  if (message) owner_.on_message(*message, to_text(source.get()));
  else count_error(decode_error);
  return true;
}

void Transport::count_error(DecodeError error) {
  counts_.malformed += error == DecodeError::Malformed;
  counts_.wrong_key += error == DecodeError::WrongKey;
  counts_.wrong_version += error == DecodeError::WrongVersion;
}

void Transport::send(const std::string& address, const Message& message) {
  Ref<GSocketAddress> to = parse_address(address);
  std::string bytes = encode(message, key_);
  bool fits = socket_ && to && bytes.size() <= kMaxDatagramBytes;
  // The message is lost if the socket buffer is full, as it may be lost in the network.
  if (!fits || g_socket_send_to(socket_.get(), to.get(), bytes.data(), bytes.size(), nullptr, nullptr) < 0)
    return void(++counts_.unsent);
  ++counts_.sent;
  counts_.bytes_sent += bytes.size();
}

void Transport::sync(const std::string& address) {
  if (!socket_ || initiated_sessions_ >= kMaxSessions || loop_.descriptors().available() <= 0) return;
  auto session = std::make_unique<PeerSession>(*this, true);
  if (session->connect(address)) begin_session(std::move(session));
}

bool Transport::may_accept() {
  return accepted_sessions_ < kMaxSessions && loop_.descriptors().available() > 0;
}

void Transport::on_accepted(Ref<GSocket> socket, int, double) {
  auto session = std::make_unique<PeerSession>(*this, false);
  session->accept(std::move(socket));
  begin_session(std::move(session));
}

void Transport::begin_session(std::unique_ptr<PeerSession> session) {
  const PeerSession* key = session.get();
  ++(session->initiates ? initiated_sessions_ : accepted_sessions_);
  sessions_.emplace(key, std::move(session));
  // The pointer may have been reused: if this session has ended, a later one may be at its address. Then the
  // later one is ended before its own timeout, which costs one exchange of states.
  loop_.at(loop_.now() + kSessionTimeout, alive_.guard([this, key] {
    if (sessions_.contains(key)) end_session(*key);
  }));
}

void Transport::end_session(const PeerSession& session) {
  auto found = sessions_.find(&session);
  if (found == sessions_.end()) return;
  --(session.initiates ? initiated_sessions_ : accepted_sessions_);
  loop_.delete_later(std::move(found->second));
  sessions_.erase(found);
}

}  // namespace puffinvane::fleet
