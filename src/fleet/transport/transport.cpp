#include "src/fleet/transport/transport.h"

#include <sys/epoll.h>

#include <stdexcept>

namespace puffinvane::fleet {

namespace {
constexpr int kAtOnce = 16;       // datagrams a turn: then the requests have theirs
constexpr double kWindow = 0.05;  // of which peers get
constexpr double kShare = 0.1;    // this much of the loop; what comes beyond waits in the socket, or is lost
constexpr std::size_t kMostSessions = 4;  // of each kind: begun here, and by others
constexpr double kPatience = 3;           // for a whole state, there and back
constexpr std::size_t kLength = 4;

std::string text_of(GSocketAddress* address) {
  if (!address || !G_IS_INET_SOCKET_ADDRESS(address)) return {};
  auto* inet = G_INET_SOCKET_ADDRESS(address);
  GInetAddress* host = g_inet_socket_address_get_address(inet);
  char* text = g_inet_address_to_string(host);
  bool six = g_inet_address_get_family(host) == G_SOCKET_FAMILY_IPV6;
  std::string written = six ? "[" + std::string(text) + "]" : std::string(text);
  g_free(text);
  return written + ":" + std::to_string(g_inet_socket_address_get_port(inet));
}
}  // namespace

// A whole state each way over one stream: four bytes of length, highest first, and an encoded message.
class Transport::PeerSession final : TcpConnection::Owner {
 public:
  PeerSession(Transport& link, bool asks) : asks(asks), transport_(link), tcp_(link.loop_, *this) {}
  bool ask(const std::string& address) { return tcp_.connect(address) == TcpConnection::ConnectStart::Begun; }
  void answer(Ref<GSocket> socket) { tcp_.adopt(std::move(socket)); }
  const bool asks;

 private:
  void say() {
    std::string state = encode(transport_.owner_.state(), transport_.key_);
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8) frame += char(state.size() >> shift & 0xff);
    BufferChain chain(transport_.loop_.pool());
    chain.add(frame);
    chain.add(state);
    tcp_.send(std::move(chain));
  }
  void on_connected() override { say(); }
  void on_received(std::string_view bytes) override {
    if (over_) return;  // or who goes on sending would fill the memory
    heard_ += bytes;
    if (heard_.size() < kLength) return;
    std::size_t length = 0;
    for (std::size_t i = 0; i < kLength; ++i) length = length << 8 | std::uint8_t(heard_[i]);
    if (length > kMaxStateBytes) return ++transport_.counts_.malformed, transport_.end(*this);
    if (heard_.size() < kLength + length) return;
    DecodeError error;
    std::optional<Message> state =
        decode(std::string_view(heard_).substr(kLength, length), transport_.key_, error);
    over_ = true;
    if (!state) return transport_.count(error), transport_.end(*this);
    ++transport_.counts_.states;
    if (!asks) say();  // as it was: what the other says is its own to judge
    transport_.owner_.on_state(*state);
    if (asks) transport_.end(*this);  // who asked closes, once it has it all
  }
  void on_ended(TcpConnection::End) override { transport_.end(*this); }

  Transport& transport_;
  TcpConnection tcp_;
  std::string heard_;
  bool over_ = false;
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
  } catch (...) {  // tried again, it would count each time, and hold half of the address
    loop_.descriptors().closed();
    socket_.reset();
    throw;
  }
  listen();
}

void Transport::close() {
  if (!socket_) return;
  listener_.close();
  sessions_.clear();
  asked_ = answered_ = 0;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  loop_.descriptors().closed();
  socket_.reset();
}

void Transport::listen() {
  paused_ = false;
  if (socket_) loop_.watch(g_socket_get_fd(socket_.get()), EPOLLIN, *this);
}

// A flood may not hold up requests: what is over the share waits in the socket's buffer, and then is lost.
void Transport::pause() {
  paused_ = true;
  ++counts_.pauses;
  loop_.unwatch(g_socket_get_fd(socket_.get()));
  loop_.at(window_ + kWindow, alive_.guard([this] { listen(); }));
}

void Transport::on_ready(std::uint32_t) {
  double begun = loop_.now();
  if (begun > window_ + kWindow) window_ = begun, spent_ = 0;
  for (int i = 0; i < kAtOnce && receive_one(); ++i) {
  }
  spent_ += loop_.now() - begun;
  if (socket_ && !paused_ && spent_ > kShare * kWindow) pause();
}

bool Transport::receive_one() {
  GSocketAddress* raw_from = nullptr;
  GError* raw = nullptr;
  gssize got =
      socket_ ? g_socket_receive_from(socket_.get(), &raw_from, buffer_.data(), buffer_.size(), nullptr, &raw)
              : -1;
  Ref<GSocketAddress> from(raw_from);
  Error error(raw);
  if (got < 0) {
    // The system had no memory for it, say, and would tell that the socket is ready again and again.
    if (error && !g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) pause();
    return false;
  }
  ++counts_.received;
  counts_.bytes_received += std::uint64_t(got);
  DecodeError decode_error = DecodeError::Malformed;
  std::optional<Message> message;
  if (std::size_t(got) <= kMaxDatagramBytes)
    message = decode(std::string_view(buffer_).substr(0, std::size_t(got)), key_, decode_error);
  if (message) owner_.on_message(*message, text_of(from.get()));
  else count(decode_error);
  return true;
}

void Transport::count(DecodeError error) {
  counts_.malformed += error == DecodeError::Malformed;
  counts_.foreign += error == DecodeError::WrongKey;
  counts_.version += error == DecodeError::WrongVersion;
}

void Transport::send(const std::string& address, const Message& message) {
  Ref<GSocketAddress> to = parse_address(address);
  std::string bytes = encode(message, key_);
  bool fits = socket_ && to && bytes.size() <= kMaxDatagramBytes;
  // A buffer that is full loses it, as the network may.
  if (!fits || g_socket_send_to(socket_.get(), to.get(), bytes.data(), bytes.size(), nullptr, nullptr) < 0)
    return void(++counts_.unsent);
  ++counts_.sent;
  counts_.bytes_sent += bytes.size();
}

void Transport::sync(const std::string& address) {
  if (!socket_ || asked_ >= kMostSessions || loop_.descriptors().available() <= 0) return;
  auto session = std::make_unique<PeerSession>(*this, true);
  if (session->ask(address)) begin(std::move(session));
}

bool Transport::may_accept() { return answered_ < kMostSessions && loop_.descriptors().available() > 0; }

void Transport::on_accepted(Ref<GSocket> socket, int, double) {
  auto session = std::make_unique<PeerSession>(*this, false);
  session->answer(std::move(socket));
  begin(std::move(session));
}

void Transport::begin(std::unique_ptr<PeerSession> session) {
  const PeerSession* which = session.get();
  ++(session->asks ? asked_ : answered_);
  sessions_.emplace(which, std::move(session));
  // One that has ended may have left its address to another: that is ended a little early, at worst.
  loop_.at(loop_.now() + kPatience, alive_.guard([this, which] {
    if (sessions_.contains(which)) end(*which);
  }));
}

void Transport::end(const PeerSession& session) {
  auto which = sessions_.find(&session);
  if (which == sessions_.end()) return;
  --(session.asks ? asked_ : answered_);
  loop_.delete_later(std::move(which->second));
  sessions_.erase(which);
}

}  // namespace puffinvane::fleet
