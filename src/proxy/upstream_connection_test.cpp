// What a connection to an endpoint leaves behind in the loop when it is closed.
#include "src/proxy/upstream_connection.h"

#include <gtest/gtest.h>

#include <sstream>

#include "testing/peers.h"

namespace puffinvane::test {
namespace {

// Gives each attempt nothing to send.
class IdleOwner final : public UpstreamConnection::Owner {
 public:
  explicit IdleOwner(Loop& loop) : loop_(loop) {}
  BufferChain on_ready_to_send(UpstreamConnection&) override { return BufferChain(loop_.pool()); }
  bool may_send_more(UpstreamConnection&) override { return true; }
  BufferChain on_body_wanted(UpstreamConnection&, bool&) override { return BufferChain(loop_.pool()); }
  void on_response_started(UpstreamConnection&, HttpMessage, std::optional<std::size_t>) override {}
  void on_response_part(UpstreamConnection&, BufferChain) override {}
  void on_response_finished(UpstreamConnection&, BufferChain) override {}
  void on_response_aborted(UpstreamConnection&) override {}
  void on_request_sent() override {}
  Outcome outcome_of(const HttpMessage&) const override { return Outcome::Delivered; }
  void on_attempt_ended(UpstreamConnection&, Outcome, HttpMessage) override {}
  void on_spare_connected(UpstreamConnection&) override {}
  void on_unused_closed(UpstreamConnection&) override {}

 private:
  Loop& loop_;
};

class UpstreamConnectionAlarms : public testing::Test {
 protected:
  static constexpr double kConnectTimeoutSeconds = 0.5;
  static constexpr double kConnectSeconds = 0.05;

  UpstreamConnection connection() { return UpstreamConnection(loop_, owner_, "a", 1024, false); }
  void run_loop() {
    loop_.at(loop_.now() + kConnectSeconds, [this] { loop_.quit(); });
    loop_.run();
  }

  std::ostringstream text_;
  Log log_{text_, Level::Error};
  Loop loop_{log_, 100};
  IdleOwner owner_{loop_};
  Listener endpoint_{30};
};

// Guards against: each connection leaves its connect timers behind, and a client whose requests each open one
// uses up the memory.
TEST_F(UpstreamConnectionAlarms, AreDroppedOnceItIsEstablished) {
  const std::size_t others = loop_.alarm_count();
  UpstreamConnection upstream = connection();
  ASSERT_TRUE(upstream.connect(endpoint_.address, kConnectTimeoutSeconds));

  run_loop();

  EXPECT_EQ(loop_.alarm_count(), others);
}

TEST_F(UpstreamConnectionAlarms, AreDroppedIfItIsClosedBefore) {
  const std::size_t others = loop_.alarm_count();
  {
    UpstreamConnection upstream = connection();
    ASSERT_TRUE(upstream.connect(endpoint_.address, kConnectTimeoutSeconds));
    upstream.close();
  }

  EXPECT_EQ(loop_.alarm_count(), others);
}

}  // namespace
}  // namespace puffinvane::test
