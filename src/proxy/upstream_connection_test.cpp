// What a connection to an endpoint sends, and what it leaves behind in the loop when it is closed.
#include "src/proxy/upstream_connection.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "testing/peers.h"

namespace puffinvane::test {
namespace {

// Gives each attempt the head and the body that a test sets, nothing by default.
class AttemptOwner final : public UpstreamConnection::Owner {
 public:
  explicit AttemptOwner(Loop& loop) : loop_(loop) {}
  UpstreamConnection::AttemptStart on_ready_to_send(UpstreamConnection&) override {
    return {permission, chain_of(head)};
  }
  bool may_send_more(UpstreamConnection&) override { return may_send; }
  BufferChain on_body_wanted(UpstreamConnection&, bool&) override {
    return chain_of(std::exchange(next_body_part, {}));
  }
  void on_response_started(UpstreamConnection&, HttpMessage, std::optional<std::size_t>) override {}
  void on_response_part(UpstreamConnection&, BufferChain) override {}
  void on_response_finished(UpstreamConnection&, BufferChain) override {}
  void on_response_aborted(UpstreamConnection&) override {}
  void on_request_sent() override {}
  Outcome outcome_of(const HttpMessage&) const override { return Outcome::Delivered; }
  void on_attempt_ended(UpstreamConnection&, Outcome, HttpMessage) override {}
  void on_spare_connected(UpstreamConnection&) override {}
  void on_unused_closed(UpstreamConnection&) override {}
  UpstreamConnection::SendPermission permission = UpstreamConnection::SendPermission::Granted;
  std::string head;
  std::string next_body_part;
  bool may_send = true;

 private:
  BufferChain chain_of(const std::string& text) {
    BufferChain chain(loop_.pool());
    chain.add(text);
    return chain;
  }
  Loop& loop_;
};

class UpstreamConnectionTest : public testing::Test {
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
  AttemptOwner owner_{loop_};
  Listener endpoint_{30};
};

class UpstreamConnectionAlarms : public UpstreamConnectionTest {};

class UpstreamConnectionSending : public UpstreamConnectionTest {
 protected:
  // A connection that is established and has got an attempt.
  std::unique_ptr<UpstreamConnection> begin_attempt() {
    auto upstream = std::make_unique<UpstreamConnection>(loop_, owner_, "a", 1024, false);
    EXPECT_TRUE(upstream->connect(endpoint_.address, kConnectTimeoutSeconds));
    upstream->assign_attempt({1, 0}, false);
    run_loop();
    return upstream;
  }
  // All bytes that reach the endpoint while the loop runs.
  std::string received_by(TestConnection& peer) {
    std::string received;
    while (true) {
      run_loop();
      if (!peer.has_input_within(0)) return received;
      const std::optional<std::string> bytes = peer.receive_some(kReadBytes);
      if (!bytes) return received;
      received += *bytes;
    }
  }
  static constexpr std::size_t kReadBytes = 4 << 20;
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

// Guards against: an endpoint gets the body of an upload without its head, and runs the request in it.
TEST_F(UpstreamConnectionSending, SendsNoBodyWithoutTheHeadThatMayNotBeSent) {
  owner_.permission = UpstreamConnection::SendPermission::Refused;
  const std::unique_ptr<UpstreamConnection> upstream = begin_attempt();
  TestConnection peer = endpoint_.accept_connection();

  owner_.next_body_part = "POST /consent/sign HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  upstream->send_more_body();

  EXPECT_EQ(received_by(peer), "");
}

TEST_F(UpstreamConnectionSending, SendsTheWholeAttemptOnceItMay) {
  owner_.permission = UpstreamConnection::SendPermission::NotYet;
  owner_.head = "head";
  owner_.next_body_part = "body";
  const std::unique_ptr<UpstreamConnection> upstream = begin_attempt();
  TestConnection peer = endpoint_.accept_connection();
  EXPECT_EQ(received_by(peer), "");

  owner_.permission = UpstreamConnection::SendPermission::Granted;
  upstream->send_more_body();

  EXPECT_EQ(received_by(peer), "headbody");
}

// Guards against: bytes that waited for the socket are written after the attempt has lost its permission.
TEST_F(UpstreamConnectionSending, WritesNothingMoreOnceItMayNot) {
  constexpr std::size_t kHeadBytes = 16 << 20;  // more than the machine holds
  owner_.head.assign(kHeadBytes, 'h');
  const std::unique_ptr<UpstreamConnection> upstream = begin_attempt();
  TestConnection peer = endpoint_.accept_connection();

  owner_.may_send = false;
  const std::size_t received = received_by(peer).size();
  owner_.may_send = true;
  owner_.next_body_part = "body";
  upstream->send_more_body();

  EXPECT_GT(received, 0U);
  EXPECT_LT(received, kHeadBytes);
  EXPECT_EQ(received_by(peer), "");
}

}  // namespace
}  // namespace puffinvane::test
