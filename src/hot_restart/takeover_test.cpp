// A successor's takeover from a stand-in for its predecessor, which sends given packets and then disconnects,
// or sends nothing.
#include "src/hot_restart/takeover.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/control_address.h"
#include "src/hot_restart/control_folder.h"
#include "src/hot_restart/message_builders.h"

namespace puffinvane {

void PrintTo(TakeoverError error, std::ostream* stream) { *stream << to_string(error); }

namespace {

constexpr double kTimeoutSeconds = 5;
constexpr double kShortTimeoutSeconds = 0.05;

Ref<GSocket> listen_at(const std::string& path) {
  Ref<GSocket> socket = create_control_socket();
  const ControlAddress address(path);
  EXPECT_TRUE(g_socket_bind(socket.get(), address.address(), FALSE, nullptr));
  EXPECT_TRUE(g_socket_listen(socket.get(), nullptr));
  return socket;
}

// Sends its packets to the first successor that connects and closes the connection.
class StandInPredecessor {
 public:
  StandInPredecessor(const std::string& path, std::vector<std::string> packets)
      : socket_(listen_at(path)), thread_([this, packets = std::move(packets)] { serve(packets); }) {}

 private:
  void serve(const std::vector<std::string>& packets) {
    g_socket_set_blocking(socket_.get(), TRUE);
    const Ref<GSocket> successor(g_socket_accept(socket_.get(), nullptr, nullptr));
    for (const std::string& packet : packets) {
      g_socket_send(successor.get(), packet.data(), packet.size(), nullptr, nullptr);
    }
  }

  Ref<GSocket> socket_;
  std::jthread thread_;
};

std::string snapshot_complete() { return encode_message(SnapshotCompleteMessage{}); }

class TakeoverTest : public testing::Test {
 protected:
  TakeoverError error_after(std::vector<std::string> packets) {
    const StandInPredecessor predecessor(folder_.path(), std::move(packets));
    const auto requested = request_takeover(folder_.path(), kTimeoutSeconds);
    EXPECT_FALSE(requested.has_value());
    return requested ? TakeoverError::NoPredecessor : requested.error();
  }

  test::ControlFolder folder_;
};

TEST_F(TakeoverTest, FindsNoPredecessorWithoutAPath) {
  const auto requested = request_takeover("", kTimeoutSeconds);

  ASSERT_FALSE(requested.has_value());
  EXPECT_EQ(requested.error(), TakeoverError::NoPredecessor);
}

TEST_F(TakeoverTest, FindsNoPredecessorIfNoProcessListens) {
  const auto requested = request_takeover(folder_.path(), kTimeoutSeconds);

  ASSERT_FALSE(requested.has_value());
  EXPECT_EQ(requested.error(), TakeoverError::NoPredecessor);
}

TEST_F(TakeoverTest, FindsNoPredecessorAtAFileThatIsNotASocket) {
  std::fclose(std::fopen(folder_.path().c_str(), "w"));

  const auto requested = request_takeover(folder_.path(), kTimeoutSeconds);

  ASSERT_FALSE(requested.has_value());
  EXPECT_EQ(requested.error(), TakeoverError::NoPredecessor);
}

TEST_F(TakeoverTest, TimesOutIfThePredecessorIsSilent) {
  const Ref<GSocket> predecessor = listen_at(folder_.path());

  const auto requested = request_takeover(folder_.path(), kShortTimeoutSeconds);

  ASSERT_FALSE(requested.has_value());
  EXPECT_EQ(requested.error(), TakeoverError::Silent);
}

TEST_F(TakeoverTest, FailsIfThePredecessorDisconnectsAtOnce) {
  EXPECT_EQ(error_after({}), TakeoverError::Disconnected);
}

TEST_F(TakeoverTest, FailsIfThePredecessorDisconnectsDuringTheSnapshot) {
  EXPECT_EQ(error_after(encode_endpoint_list(test::endpoint_list_of(3))), TakeoverError::Disconnected);
}

TEST_F(TakeoverTest, FailsOnAMessageOfAnotherFormat) {
  EXPECT_EQ(error_after({R"({"format":9,"say":"whole"})"}), TakeoverError::InvalidMessage);
}

TEST_F(TakeoverTest, JoinsTheListReceivedInParts) {
  const EndpointList sent = test::endpoint_list_of(1201);
  std::vector<std::string> packets = encode_endpoint_list(sent);
  ASSERT_GT(packets.size(), 1u);
  packets.push_back(snapshot_complete());
  const StandInPredecessor predecessor(folder_.path(), packets);

  const auto requested = request_takeover(folder_.path(), kTimeoutSeconds);

  ASSERT_TRUE(requested.has_value());
  ASSERT_TRUE(requested.value().list.has_value());
  const EndpointList& list = *requested.value().list;
  EXPECT_EQ(list.entries, sent.entries);
  EXPECT_EQ(list.addresses, sent.addresses);
  EXPECT_EQ(list.stated_start_ms, sent.stated_start_ms);
  EXPECT_EQ(list.index, 41);
  EXPECT_EQ(list.received_at_s, 99.5);
  EXPECT_TRUE(list.is_snapshot);
  EXPECT_TRUE(list.has_start_times);
}

TEST_F(TakeoverTest, ReturnsTheOperatorOverrides) {
  const OperatorOverridesMessage message{test::quoted_overrides()};
  const StandInPredecessor predecessor(folder_.path(), {encode_message(message), snapshot_complete()});

  const auto requested = request_takeover(folder_.path(), kTimeoutSeconds);

  ASSERT_TRUE(requested.has_value());
  EXPECT_EQ(requested.value().overrides, test::quoted_overrides());
  EXPECT_FALSE(requested.value().list.has_value());
  EXPECT_EQ(requested.value().listener, nullptr);
  EXPECT_NE(requested.value().predecessor, nullptr);
}

TEST_F(TakeoverTest, SkipsMessagesThatAreNotPartOfTheSnapshot) {
  const std::vector<std::string> packets = {encode_message(ServingMessage{}),
                                            encode_message(ConnectionMessage{}),
                                            encode_message(LearnedStateMessage{}), snapshot_complete()};
  const StandInPredecessor predecessor(folder_.path(), packets);

  const auto requested = request_takeover(folder_.path(), kTimeoutSeconds);

  EXPECT_TRUE(requested.has_value());
}

}  // namespace
}  // namespace puffinvane
