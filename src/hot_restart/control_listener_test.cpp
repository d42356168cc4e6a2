// The control listener: passes connections to its owner, and retries while the path is occupied by another
// file.
#include "src/hot_restart/control_listener.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/control_address.h"
#include "src/hot_restart/control_folder.h"

namespace puffinvane {
namespace {

constexpr double kDeadlineSeconds = 5;
constexpr int kDescriptorLimit = 64;

class CountingOwner : public ControlListener::Owner {
 public:
  void on_control_connection(Ref<GSocket>) override { ++connections; }

  int connections = 0;
};

class ControlListenerTest : public testing::Test {
 protected:
  // Whether a control socket can connect to the path.
  bool try_connect() {
    const Ref<GSocket> socket = create_control_socket();
    const ControlAddress address(folder_.path());
    return g_socket_connect(socket.get(), address.address(), nullptr, nullptr);
  }
  // Runs the loop until the condition holds. Returns false if it doesn't within kDeadlineSeconds.
  template <typename Condition>
  bool run_until(Condition condition) {
    const double deadline = loop_.now() + kDeadlineSeconds;
    while (!condition() && loop_.now() < deadline) g_main_context_iteration(loop_.context(), FALSE);
    return condition();
  }
  std::size_t count_in_log(const std::string& text) const {
    const std::string log = log_text_.str();
    std::size_t count = 0;
    for (std::size_t i = log.find(text); i != std::string::npos; i = log.find(text, i + 1)) ++count;
    return count;
  }

  std::ostringstream log_text_;
  Log log_{log_text_, Level::Debug};
  Loop loop_{log_, kDescriptorLimit};
  test::ControlFolder folder_;
  CountingOwner owner_;
  ControlListener listener_{loop_, owner_, folder_.path()};
};

TEST_F(ControlListenerTest, PassesConnectionsToItsOwner) {
  listener_.open();

  ASSERT_TRUE(try_connect());
  ASSERT_TRUE(try_connect());

  EXPECT_TRUE(run_until([&] { return owner_.connections == 2; }));
}

TEST_F(ControlListenerTest, ReplacesAFormerListener) {
  ControlListener former(loop_, owner_, folder_.path());
  former.open();

  listener_.open();

  EXPECT_TRUE(try_connect());
  EXPECT_TRUE(run_until([&] { return owner_.connections == 1; }));
}

TEST_F(ControlListenerTest, LogsOnceThatThePathIsOccupied) {
  std::ofstream(folder_.path()) << "not a socket";
  const double opened_at = loop_.now();

  listener_.open();

  ASSERT_TRUE(run_until([&] { return loop_.now() > opened_at + 0.5; }));
  EXPECT_EQ(count_in_log("hot_restart.listen_failed path="), 1u) << log_text_.str();
  EXPECT_TRUE(std::filesystem::is_regular_file(folder_.path()));
}

TEST_F(ControlListenerTest, ListensOnceThePathIsFree) {
  std::ofstream(folder_.path()) << "not a socket";
  listener_.open();
  EXPECT_FALSE(try_connect());

  std::filesystem::remove(folder_.path());

  ASSERT_TRUE(run_until([&] { return try_connect(); }));
  EXPECT_TRUE(run_until([&] { return owner_.connections > 0; }));
}

}  // namespace
}  // namespace puffinvane
