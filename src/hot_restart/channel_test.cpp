// A control channel over a socket pair: packets arrive complete and in order, with their attached sockets,
// and the disconnection of the peer is reported.
#include "src/hot_restart/channel.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "src/hot_restart/socket_pair.h"

namespace puffinvane {
namespace {

using test::connected_sockets;
using test::SocketPair;

constexpr double kDeadlineSeconds = 5;
constexpr int kDescriptorLimit = 64;

class RecordingOwner : public Channel::Owner {
 public:
  void on_packet(Channel&, Packet packet) override { packets.push_back(std::move(packet)); }
  void on_channel_closed(Channel&) override { ++closed; }

  std::vector<Packet> packets;
  int closed = 0;
};

class ChannelTest : public testing::Test {
 protected:
  ChannelTest() {
    SocketPair sockets = connected_sockets(SOCK_SEQPACKET);
    sender_ = std::make_unique<Channel>(loop_, sender_owner_, std::move(sockets.first));
    receiver_ = std::make_unique<Channel>(loop_, receiver_owner_, std::move(sockets.second));
  }

  // Runs the loop until the condition holds. Returns false if it doesn't within kDeadlineSeconds.
  template <typename Condition>
  bool run_until(Condition condition) {
    const double deadline = loop_.now() + kDeadlineSeconds;
    while (!condition() && loop_.now() < deadline) g_main_context_iteration(loop_.context(), FALSE);
    return condition();
  }
  bool receive(std::size_t count) {
    return run_until([&] { return receiver_owner_.packets.size() >= count; });
  }

  std::ostringstream log_text_;
  Log log_{log_text_, Level::Debug};
  Loop loop_{log_, kDescriptorLimit};
  RecordingOwner sender_owner_;
  RecordingOwner receiver_owner_;
  std::unique_ptr<Channel> sender_;
  std::unique_ptr<Channel> receiver_;
};

TEST_F(ChannelTest, DeliversAPacket) {
  sender_->send("hello");

  ASSERT_TRUE(receive(1));
  EXPECT_EQ(receiver_owner_.packets[0].text, "hello");
  EXPECT_EQ(receiver_owner_.packets[0].socket, nullptr);
}

TEST_F(ChannelTest, DeliversMorePacketsThanTheSocketHoldsInOrder) {
  constexpr std::size_t kPackets = 200;
  for (std::size_t i = 0; i < kPackets; ++i) {
    std::string text = std::to_string(i);
    text.resize(std::size_t{48} * 1024, '.');
    sender_->send(std::move(text));
  }

  ASSERT_TRUE(receive(kPackets));

  for (std::size_t i = 0; i < kPackets; ++i) {
    const std::string& text = receiver_owner_.packets[i].text;
    EXPECT_EQ(text.size(), 48u * 1024);
    EXPECT_EQ(text.substr(0, text.find('.')), std::to_string(i));
  }
}

TEST_F(ChannelTest, DeliversAPacketOfTheLargestSize) {
  sender_->send(std::string(kMaxPacketBytes, 'x'));

  ASSERT_TRUE(receive(1));
  EXPECT_EQ(receiver_owner_.packets[0].text.size(), kMaxPacketBytes);
}

TEST_F(ChannelTest, DropsAndLogsAPacketThatIsTooLarge) {
  sender_->send(std::string(kMaxPacketBytes + 1, 'x'));
  sender_->send("next");

  ASSERT_TRUE(receive(1));
  EXPECT_EQ(receiver_owner_.packets[0].text, "next");
  EXPECT_NE(log_text_.str().find("hot_restart.message_too_large size_bytes=131073 limit_bytes=131072"),
            std::string::npos)
      << log_text_.str();
}

TEST_F(ChannelTest, DeliversAnAttachedSocket) {
  SocketPair attached = connected_sockets(SOCK_STREAM);

  ASSERT_TRUE(sender_->try_send("socket", attached.second.get()));

  ASSERT_TRUE(receive(1));
  GSocket* received = receiver_owner_.packets[0].socket.get();
  ASSERT_NE(received, nullptr);
  ASSERT_EQ(::write(g_socket_get_fd(received), "x", 1), 1);
  char byte = 0;
  EXPECT_EQ(::read(g_socket_get_fd(attached.first.get()), &byte, 1), 1);
  EXPECT_EQ(byte, 'x');
}

TEST_F(ChannelTest, RefusesASocketWhilePacketsAreQueued) {
  SocketPair attached = connected_sockets(SOCK_STREAM);
  constexpr std::size_t kPackets = 200;
  for (std::size_t i = 0; i < kPackets; ++i) sender_->send(std::string(std::size_t{48} * 1024, 'x'));

  EXPECT_FALSE(sender_->try_send("socket", attached.second.get()));

  ASSERT_TRUE(receive(kPackets));
  EXPECT_EQ(receiver_owner_.packets.size(), kPackets);
}

TEST_F(ChannelTest, ReportsTheDisconnectionOfItsPeerOnce) {
  sender_.reset();

  ASSERT_TRUE(run_until([&] { return receiver_owner_.closed > 0; }));
  g_main_context_iteration(loop_.context(), FALSE);
  EXPECT_EQ(receiver_owner_.closed, 1);
}

TEST_F(ChannelTest, DeliversPacketsSentBeforeTheDisconnectionOfItsPeer) {
  sender_->send("last");
  sender_.reset();

  ASSERT_TRUE(run_until([&] { return receiver_owner_.closed > 0; }));
  ASSERT_EQ(receiver_owner_.packets.size(), 1u);
  EXPECT_EQ(receiver_owner_.packets[0].text, "last");
}

TEST_F(ChannelTest, SendsNothingToADisconnectedPeer) {
  SocketPair attached = connected_sockets(SOCK_STREAM);
  receiver_.reset();
  ASSERT_TRUE(run_until([&] { return sender_owner_.closed > 0; }));

  EXPECT_FALSE(sender_->try_send("socket", attached.second.get()));
}

TEST(ReceivePacket, WouldBlockIfNothingWasSent) {
  SocketPair sockets = connected_sockets(SOCK_SEQPACKET);

  const ReceiveResult received = receive_packet(sockets.first.get());

  EXPECT_EQ(received.status, ReceiveStatus::WouldBlock);
}

// Guards against: the connections that a process passes on just before it ends are lost if a packet to that
// process was still unread.
TEST(ReceivePacket, ReceivesWhatThePeerSentBeforeItClosedItsSocketWithUnreadPackets) {
  SocketPair sockets = connected_sockets(SOCK_SEQPACKET);
  const std::string sent = "sent before";
  ASSERT_EQ(write(g_socket_get_fd(sockets.first.get()), sent.data(), sent.size()), ssize_t(sent.size()));
  ASSERT_EQ(write(g_socket_get_fd(sockets.second.get()), "unread", 6), 6);
  sockets.first.reset();

  const ReceiveResult received = receive_packet(sockets.second.get());

  EXPECT_EQ(received.status, ReceiveStatus::Received);
  EXPECT_EQ(received.packet.text, sent);
  EXPECT_EQ(receive_packet(sockets.second.get()).status, ReceiveStatus::Closed);
}

TEST(ReceivePacket, ReportsThatThePeerClosedItsSocket) {
  SocketPair sockets = connected_sockets(SOCK_SEQPACKET);
  sockets.second.reset();

  const ReceiveResult received = receive_packet(sockets.first.get());

  EXPECT_EQ(received.status, ReceiveStatus::Closed);
}

}  // namespace
}  // namespace puffinvane
