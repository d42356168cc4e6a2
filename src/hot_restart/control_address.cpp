#include "src/hot_restart/control_address.h"

#include <fcntl.h>
#include <gio/gunixsocketaddress.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "src/net/system_calls.h"

namespace puffinvane {

std::string control_socket_path(std::string_view listen) {
  const char* folder = std::getenv("TMPDIR");
  if (!folder || !*folder || listen.find('/') != std::string_view::npos) return {};
  return std::string(folder) + "/puffinvane-" + std::string(listen);
}

ControlAddress::ControlAddress(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string folder = path.substr(0, slash);
  folder_ = retry_on_eintr([&] { return ::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC); });
  // NOLINTNEXTLINE(cppcoreguidelines-prefer-member-initializer): needs errno of the call above
  is_temporarily_unavailable_ = folder_ < 0 && (errno == EINTR || is_local_shortage(errno));
  file_name_ = path.substr(slash + 1);
  const std::string short_path = "/proc/self/fd/" + std::to_string(folder_) + "/" + file_name_;
  address_.reset(g_unix_socket_address_new(short_path.c_str()));
}

ControlAddress::~ControlAddress() {
  if (folder_ >= 0) ::close(folder_);
}

std::uint64_t ControlAddress::socket_inode() const {
  struct stat status {};
  if (fstatat(folder_, file_name_.c_str(), &status, AT_SYMLINK_NOFOLLOW) != 0) return 0;
  return S_ISSOCK(status.st_mode) ? status.st_ino : 0;
}

void ControlAddress::remove_socket_file() const {
  if (socket_inode() != 0) unlinkat(folder_, file_name_.c_str(), 0);
}

}  // namespace puffinvane
