// The path of the control socket and the socket file there.
#include "src/hot_restart/control_address.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/control_folder.h"

namespace puffinvane {
namespace {

// Sets $TMPDIR, or unsets it if `value` is null, and restores it in the destructor.
class ScopedTemporaryFolder {
 public:
  explicit ScopedTemporaryFolder(const char* value) {
    if (const char* former = std::getenv("TMPDIR")) former_ = former;
    set(value);
  }
  ScopedTemporaryFolder(const ScopedTemporaryFolder&) = delete;
  ScopedTemporaryFolder& operator=(const ScopedTemporaryFolder&) = delete;
  ~ScopedTemporaryFolder() { set(former_ ? former_->c_str() : nullptr); }

 private:
  static void set(const char* value) {
    if (value) {
      setenv("TMPDIR", value, 1);
    } else {
      unsetenv("TMPDIR");
    }
  }
  std::optional<std::string> former_;
};

TEST(ControlSocketPath, IsInTheTemporaryFolder) {
  const ScopedTemporaryFolder folder("/somewhere");

  EXPECT_EQ(control_socket_path("127.0.0.1:5001"), "/somewhere/puffinvane-127.0.0.1:5001");
}

TEST(ControlSocketPath, IsEmptyWithoutATemporaryFolder) {
  const ScopedTemporaryFolder folder(nullptr);

  EXPECT_EQ(control_socket_path("127.0.0.1:5001"), "");
}

TEST(ControlSocketPath, IsEmptyForAnAddressThatIsNotAFileName) {
  const ScopedTemporaryFolder folder("/somewhere");

  EXPECT_EQ(control_socket_path("a/b"), "");
}

TEST(ControlAddress, FindsNoSocketIfThereIsNoFile) {
  const test::ControlFolder folder;

  EXPECT_EQ(ControlAddress(folder.path()).socket_inode(), 0u);
}

TEST(ControlAddress, RemovesASocketFile) {
  const test::ControlFolder folder;
  const ControlAddress address(folder.path());
  const Ref<GSocket> socket = create_control_socket();
  ASSERT_TRUE(g_socket_bind(socket.get(), address.address(), FALSE, nullptr));
  EXPECT_NE(address.socket_inode(), 0u);

  address.remove_socket_file();

  EXPECT_FALSE(std::filesystem::exists(folder.path()));
}

TEST(ControlAddress, KeepsAFileThatIsNotASocket) {
  const test::ControlFolder folder;
  std::ofstream(folder.path()) << "not a socket";
  const ControlAddress address(folder.path());
  EXPECT_EQ(address.socket_inode(), 0u);

  address.remove_socket_file();

  EXPECT_TRUE(std::filesystem::exists(folder.path()));
}

}  // namespace
}  // namespace puffinvane
