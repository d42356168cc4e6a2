#include "src/hot_restart/hot_restart.h"

#include <fcntl.h>
#include <gio/gunixsocketaddress.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <utility>

#include "src/net/system_calls.h"

namespace puffinvane {

namespace {

// A socket's name may have 107 bytes and $TMPDIR any number: the folder is named by a descriptor of it.
class Place {
 public:
  explicit Place(const std::string& path) {
    std::size_t slash = path.rfind('/');
    const std::string folder = path.substr(0, slash);
    folder_ = uninterrupted([&] { return ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC); });
    want_ = folder_ < 0 && (errno == EINTR || is_local_want(errno));
    name_ = path.substr(slash + 1);
    address_.reset(
        g_unix_socket_address_new(("/proc/self/fd/" + std::to_string(folder_) + "/" + name_).c_str()));
  }
  Place(const Place&) = delete;
  Place& operator=(const Place&) = delete;
  ~Place() {
    if (folder_ >= 0) ::close(folder_);
  }
  GSocketAddress* address() const { return address_.get(); }
  // The folder could not be opened for want of something here, and may be a little later.
  bool want() const { return want_; }
  // The socket file there; 0: none, or a file of another kind, which is somebody's and not ours to remove.
  std::uint64_t file() const {
    struct stat seen {};
    bool found = fstatat(folder_, name_.c_str(), &seen, AT_SYMLINK_NOFOLLOW) == 0 && S_ISSOCK(seen.st_mode);
    return found ? seen.st_ino : 0;
  }
  void clear() const {
    if (file() != 0) unlinkat(folder_, name_.c_str(), 0);
  }

 private:
  int folder_ = -1;
  bool want_ = false;
  std::string name_;
  Ref<GSocketAddress> address_;
};

constexpr gulong kClaimPause = 5000;   // microseconds between two tries to reach an older process
constexpr double kListenAgain = 0.1;   // seconds between two tries to be met by a newer one
constexpr int kMostRefused = 50;       // of these in a row
constexpr double kAcceptPause = 0.02;  // seconds after one that could not be let in

double now() { return double(g_get_monotonic_time()) * 1e-6; }

enum class Met { Yes, Nobody, NotNow };

// Unix sockets connect at once or not at all; EAGAIN: too many are waiting there.
Met meet(const Place& place, Ref<GSocket>& socket) {
  if (!socket) socket = handover_socket();
  if (!socket || place.want()) return Met::NotNow;
  sockaddr_un native{};
  if (!g_socket_address_to_native(place.address(), &native, sizeof native, nullptr)) return Met::Nobody;
  int met = uninterrupted([&] {
    return ::connect(g_socket_get_fd(socket.get()), reinterpret_cast<const sockaddr*>(&native),
                     socklen_t(g_socket_address_get_native_size(place.address())));
  });
  if (met == 0 || errno == EISCONN) return Met::Yes;
  return errno == EINTR || is_local_want(errno) ? Met::NotNow : Met::Nobody;
}

Met meet_within(const std::string& place, Ref<GSocket>& socket, double until) {
  Met met = meet(Place(place), socket);
  while (met == Met::NotNow && now() < until) {
    g_usleep(kClaimPause);
    met = meet(Place(place), socket);
  }
  return met;
}

}  // namespace

std::string control_path(std::string_view listen) {
  const char* folder = std::getenv("TMPDIR");
  if (!folder || !*folder || listen.find('/') != std::string_view::npos) return {};
  return std::string(folder) + "/puffinvane-" + std::string(listen);
}

std::optional<Takeover> request_takeover(const std::string& place, double within, std::string& why) {
  if (place.empty()) return {};
  Takeover left;
  const double until = now() + within;
  Met met = meet_within(place, left.predecessor, until);
  if (met == Met::NotNow) why = "it can't be reached";
  if (met != Met::Yes) return {};
  while (true) {
    double wait = until - now();
    if (wait <= 0) return why = "it is silent", std::nullopt;
    pollfd one{g_socket_get_fd(left.predecessor.get()), POLLIN, 0};
    int ready = poll(&one, 1, int(wait * 1000) + 1);
    if (ready < 0) g_usleep(kClaimPause);  // interrupted, or the system had no memory for it
    if (ready <= 0) continue;
    Packet packet;
    Received what = receive_packet(left.predecessor.get(), packet);
    if (what == Received::End) return why = "it ended amid its account", std::nullopt;
    if (what == Received::NotNow) g_usleep(kClaimPause);
    if (what != Received::Packet) continue;
    std::optional<ControlMessage> parsed = read_control_message(packet.text);
    if (!parsed) return why = "it speaks another format", std::nullopt;
    switch (parsed->what) {
      case ControlMessage::What::Listing:
        if (!left.list) left.list.emplace(), left.list->is_snapshot = true;
        left.list->index = parsed->list.index;
        left.list->received_at_s = parsed->list.received_at_s,
        left.list->has_start_times = parsed->list.has_start_times;
        for (ListEntry& entry : parsed->list.entries) left.list->entries.push_back(std::move(entry));
        for (std::string& address : parsed->list.addresses)
          left.list->addresses.push_back(std::move(address));
        for (double since_ms : parsed->list.stated_start_ms) left.list->stated_start_ms.push_back(since_ms);
        break;
      case ControlMessage::What::Overrides: left.overrides = std::move(parsed->overrides); break;
      case ControlMessage::What::Listener: left.listener = std::move(packet.socket); break;
      case ControlMessage::What::Whole: return left;
      default: break;
    }
  }
}

HotRestart::HotRestart(Loop& loop, Owner& owner, std::string place, Ref<GSocket> predecessor)
    : loop_(loop), owner_(owner), place_(std::move(place)) {
  loop_.descriptors().reserve(3);
  if (predecessor)
    predecessor_ =
        std::make_unique<Channel>(loop_, static_cast<Channel::Owner&>(*this), std::move(predecessor));
}

HotRestart::~HotRestart() {
  // A successor's stands there in its place, also one that could not ask us.
  if (Place place(place_); file_ != 0 && place.file() == file_) place.clear();
}

void HotRestart::serving() {
  if (predecessor_) predecessor_->send(write_serving());
  listen();
}

void HotRestart::listen() {
  if (place_.empty()) return;
  Place place(place_);
  place.clear();
  socket_ = handover_socket();
  GError* raw = nullptr;
  if (!socket_ || !g_socket_bind(socket_.get(), place.address(), FALSE, &raw) ||
      !g_socket_listen(socket_.get(), &raw)) {
    Error error(raw);
    if (!std::exchange(complained_, true))
      loop_.log().warning() << "no handover at " << place_ << ": " << (error ? error->message : "no socket");
    socket_.reset();
    if (++refused_ < kMostRefused) loop_.at(loop_.now() + kListenAgain, alive_.guard([this] { listen(); }));
    return;
  }
  complained_ = false;
  refused_ = 0;
  file_ = place.file();
  accept();
}

void HotRestart::accept() {
  if (!socket_) return;
  GSource* source = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(&HotRestart::connection_waits), this, nullptr);
  g_source_set_priority(source, G_PRIORITY_HIGH);
  g_source_attach(source, loop_.context());
  source_ = Source(source);
}

gboolean HotRestart::connection_waits(GSocket*, GIOCondition, gpointer data) {
  auto& self = *static_cast<HotRestart*>(data);
  Ref<GSocket> entered(g_socket_accept(self.socket_.get(), nullptr, nullptr));
  if (!entered) {  // it waits there, and the system would tell of it again and again
    self.loop_.at(self.loop_.now() + kAcceptPause, self.alive_.guard([&self] { self.accept(); }));
    return G_SOURCE_REMOVE;
  }
  if (self.successor_) return G_SOURCE_CONTINUE;
  self.loop_.log().info() << "a new process of this sidecar takes over";
  self.successor_ =
      std::make_unique<Channel>(self.loop_, static_cast<Channel::Owner&>(self), std::move(entered));
  // First, as it goes at once or not at all: behind a long list there was no room for it, and the successor
  // could not listen.
  if (GSocket* listener = self.owner_.listener()) self.successor_->send(write_listener(), listener);
  for (std::string& packet : write_listing(self.owner_.listing())) self.successor_->send(std::move(packet));
  self.successor_->send(write_overrides(self.owner_.overrides()));
  self.successor_->send(write_whole());
  // After the account is whole: a successor of an earlier build takes no harm, and none waits for it.
  self.transfer_ = Transfer{self.owner_.learned()};
  self.send_learned();
  self.owner_.on_company(true);
  return G_SOURCE_CONTINUE;
}

void HotRestart::send_overrides(const Channel* but) {
  if (!predecessor_ && !successor_) return;
  std::string said = write_overrides(owner_.overrides());
  if (predecessor_ && predecessor_.get() != but) predecessor_->send(said);
  if (successor_ && successor_.get() != but) successor_->send(said);
}

// A packet a turn: a thousand endpoints in one would hold the requests up for 50 ms.
void HotRestart::send_learned() {
  if (!transfer_) return;
  if (successor_) successor_->send(write_learned(transfer_->learned, transfer_->sent));
  if (!successor_ || transfer_->sent == transfer_->learned.endpoints.size()) return transfer_.reset();
  loop_.soon(alive_.guard([this] { send_learned(); }));
}

bool HotRestart::hand_over(GSocket* client, bool asked) {
  return successor_ && successor_->send(write_connection(asked), client);
}

void HotRestart::on_packet(Channel& from, Packet packet) {
  std::optional<ControlMessage> parsed = read_control_message(packet.text);
  if (!parsed) return void(loop_.log().warning() << "a word of the other process was not understood");
  if (parsed->what == ControlMessage::What::Connection && packet.socket)
    owner_.on_connection(std::move(packet.socket), parsed->asked);
  if (parsed->what == ControlMessage::What::Learned && &from == predecessor_.get())
    owner_.on_learned(parsed->learned);
  if (parsed->what == ControlMessage::What::Overrides)
    owner_.on_overrides(parsed->overrides), send_overrides(&from);
}

void HotRestart::on_over(Channel& channel) {
  bool successor = &channel == successor_.get();
  loop_.log().info() << (successor ? "the new" : "the old") << " process of this sidecar is gone";
  loop_.bury(std::move(successor ? successor_ : predecessor_));
  owner_.on_company(predecessor_ || successor_);
  if (successor) listen();
}

}  // namespace puffinvane
