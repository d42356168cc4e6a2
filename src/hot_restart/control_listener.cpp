#include "src/hot_restart/control_listener.h"

#include <utility>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/control_address.h"

namespace puffinvane {

namespace {

constexpr double kOpenRetrySeconds = 0.1;
constexpr int kMaxFailedOpens = 50;
constexpr double kAcceptRetrySeconds = 0.02;

}  // namespace

ControlListener::ControlListener(Loop& loop, Owner& owner, std::string path)
    : loop_(loop), owner_(owner), path_(std::move(path)) {}

ControlListener::~ControlListener() {
  if (socket_inode_ == 0) return;
  const ControlAddress address(path_);
  if (address.socket_inode() == socket_inode_) address.remove_socket_file();
}

void ControlListener::open() {
  if (path_.empty()) return;
  const ControlAddress address(path_);
  address.remove_socket_file();
  source_.reset();
  socket_ = create_control_socket();
  if (!socket_) {
    on_open_failed("cannot create a socket");
    return;
  }
  GError* raw_error = nullptr;
  if (!g_socket_bind(socket_.get(), address.address(), FALSE, &raw_error) ||
      !g_socket_listen(socket_.get(), &raw_error)) {
    const Error error(raw_error);
    on_open_failed(error->message);
    return;
  }
  failed_opens_ = 0;
  socket_inode_ = address.socket_inode();
  watch_for_connections();
}

void ControlListener::on_open_failed(const char* reason) {
  socket_.reset();
  if (failed_opens_ == 0) {
    loop_.log().event(Level::Warning, "hot_restart.listen_failed").with("path", path_).with("reason", reason);
  }
  ++failed_opens_;
  if (failed_opens_ >= kMaxFailedOpens) return;
  loop_.at(loop_.now() + kOpenRetrySeconds, alive_.guard([this] { open(); }));
}

void ControlListener::watch_for_connections() {
  if (!socket_) return;
  GSource* source = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
  g_source_set_callback(source, G_SOURCE_FUNC(&ControlListener::on_connection_waiting), this, nullptr);
  g_source_set_priority(source, G_PRIORITY_HIGH);
  g_source_attach(source, loop_.context());
  source_ = Source(source);
}

gboolean ControlListener::on_connection_waiting(GSocket*, GIOCondition, gpointer self) {
  return static_cast<ControlListener*>(self)->accept_connection();
}

gboolean ControlListener::accept_connection() {
  Ref<GSocket> connection(g_socket_accept(socket_.get(), nullptr, nullptr));
  if (!connection) {
    // The connection stays pending. If the source remained attached, it would fire continuously.
    loop_.at(loop_.now() + kAcceptRetrySeconds, alive_.guard([this] { watch_for_connections(); }));
    return G_SOURCE_REMOVE;
  }
  owner_.on_control_connection(std::move(connection));
  return G_SOURCE_CONTINUE;
}

}  // namespace puffinvane
