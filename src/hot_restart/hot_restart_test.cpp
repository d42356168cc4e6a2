// HotRestart with stand-ins for both peers: which messages it sends in which order, and how it handles
// messages.
#include "src/hot_restart/hot_restart.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "src/hot_restart/control_address.h"
#include "src/hot_restart/control_folder.h"
#include "src/hot_restart/message_builders.h"
#include "src/hot_restart/message_decoder.h"
#include "src/hot_restart/socket_pair.h"
#include "src/hot_restart/unsent_request_ids.h"

namespace puffinvane {
namespace {

using test::connected_sockets;
using test::SocketPair;

constexpr double kDeadlineSeconds = 5;
constexpr int kDescriptorLimit = 64;

class RecordingOwner : public HotRestart::Owner {
 public:
  GSocket* listener_socket() override { return listener.get(); }
  EndpointList endpoint_list() const override { return test::endpoint_list_of(3); }
  OperatorOverrides operator_overrides() const override { return overrides; }
  LearnedState learned_state() const override { return learned; }
  void on_learned_state(const LearnedState& part) override { learned_parts.push_back(part); }
  void on_operator_overrides(const OperatorOverrides& received) override { overrides = received; }
  void on_operator_order(const OperatorOrder& order) override { orders.push_back(order); }
  void on_connection(Ref<GSocket>, ConnectionHistory history) override { connections.push_back(history); }
  void on_peer_presence(PeerPresence presence) override { presences.push_back(presence); }

  Ref<GSocket> listener;
  OperatorOverrides overrides;
  std::vector<OperatorOrder> orders;
  LearnedState learned = test::learned_state_of(2);
  std::vector<LearnedState> learned_parts;
  std::vector<ConnectionHistory> connections;
  std::vector<PeerPresence> presences;
};

// A stand-in for the predecessor or the successor: sends packets and records those that it receives.
class Peer : public Channel::Owner {
 public:
  Peer(Loop& loop, Ref<GSocket> socket) : channel_(loop, *this, std::move(socket)) {}
  void on_packet(Channel&, Packet packet) override { packets.push_back(std::move(packet)); }
  void on_channel_closed(Channel&) override { closed = true; }
  void send(const ControlMessage& message) { channel_.send(encode_message(message)); }
  void send_text(std::string text) { channel_.send(std::move(text)); }

  std::vector<std::string> texts() const {
    std::vector<std::string> texts;
    for (const Packet& packet : packets) texts.push_back(packet.text);
    return texts;
  }

  std::vector<Packet> packets;
  bool closed = false;

 private:
  Channel channel_;
};

// The ids of the next packet; empty if it is of another kind or none has arrived.
std::vector<std::uint64_t> receive_sent_requests(GSocket* socket) {
  const ReceiveResult result = receive_packet(socket);
  if (result.status != ReceiveStatus::Received) return {};
  Result<ControlMessage, DecodeError> decoded = decode_message(result.packet.text);
  const auto* sent = decoded ? std::get_if<SentRequestsMessage>(&decoded.value()) : nullptr;
  return sent ? sent->id_hashes : std::vector<std::uint64_t>();
}

class HotRestartTest : public testing::Test {  // NOLINT(cppcoreguidelines-virtual-class-destructor)
 protected:
  HotRestartTest() {
    SocketPair sockets = connected_sockets(SOCK_SEQPACKET);
    predecessor_ = std::make_unique<Peer>(loop_, std::move(sockets.first));
    hot_restart_ = std::make_unique<HotRestart>(loop_, owner_, path_, std::move(sockets.second));
    hot_restart_->on_serving();
  }
  std::unique_ptr<Peer> connect_successor() {
    Ref<GSocket> socket = create_control_socket();
    const ControlAddress address(path_);
    EXPECT_TRUE(g_socket_connect(socket.get(), address.address(), nullptr, nullptr));
    return std::make_unique<Peer>(loop_, std::move(socket));
  }
  // A successor that has received the snapshot and all learned state.
  std::unique_ptr<Peer> connect_up_to_date_successor() {
    std::unique_ptr<Peer> successor = connect_successor();
    EXPECT_TRUE(run_until(
        [&] { return hot_restart_->has_successor() && !hot_restart_->is_sending_learned_state(); }));
    EXPECT_TRUE(run_until([&] { return successor->packets.size() >= 4; }));
    successor->packets.clear();
    return successor;
  }

  // Runs the loop until the condition holds. Returns false if it doesn't within kDeadlineSeconds.
  template <typename Condition>
  bool run_until(Condition condition) {
    const double deadline = loop_.now() + kDeadlineSeconds;
    while (!condition() && loop_.now() < deadline) g_main_context_iteration(loop_.context(), FALSE);
    return condition();
  }

  std::ostringstream log_text_;
  Log log_{log_text_, Level::Debug};
  Loop loop_{log_, kDescriptorLimit};
  RecordingOwner owner_;
  test::ControlFolder folder_;
  const std::string path_ = folder_.path();
  std::unique_ptr<Peer> predecessor_;
  std::unique_ptr<HotRestart> hot_restart_;
};

TEST_F(HotRestartTest, NotifiesThePredecessorThatItServes) {
  ASSERT_TRUE(run_until([&] { return !predecessor_->packets.empty(); }));

  EXPECT_EQ(predecessor_->texts(), std::vector<std::string>{encode_message(ServingMessage{})});
}

TEST_F(HotRestartTest, SendsTheListenerThenTheSnapshotThenLearnedState) {
  owner_.listener = connected_sockets(SOCK_SEQPACKET).first;
  std::vector<std::string> expected = {encode_message(ListenerMessage{})};
  expected.push_back(encode_endpoint_list(owner_.endpoint_list())[0]);
  expected.push_back(encode_message(OperatorOverridesMessage{}));
  expected.push_back(encode_message(SnapshotCompleteMessage{}));
  expected.push_back(test::encode_learned_state(owner_.learned)[0]);

  const std::unique_ptr<Peer> successor = connect_successor();

  ASSERT_TRUE(run_until([&] { return successor->packets.size() >= expected.size(); }));
  EXPECT_EQ(successor->texts(), expected);
  EXPECT_NE(successor->packets[0].socket, nullptr);
  EXPECT_EQ(owner_.presences, std::vector<PeerPresence>{PeerPresence::Present});
  EXPECT_NE(log_text_.str().find("hot_restart.takeover_started"), std::string::npos);
}

TEST_F(HotRestartTest, SendsLearnedStateOnePacketPerLoopIteration) {
  owner_.learned = test::learned_state_of(1100);
  const std::vector<std::string> expected = test::encode_learned_state(owner_.learned);
  ASSERT_GT(expected.size(), 2u);

  const std::unique_ptr<Peer> successor = connect_successor();

  ASSERT_TRUE(run_until([&] { return hot_restart_->has_successor(); }));
  EXPECT_TRUE(hot_restart_->is_sending_learned_state());
  ASSERT_TRUE(run_until([&] { return !hot_restart_->is_sending_learned_state(); }));
  const std::size_t snapshot_packets = 3;
  ASSERT_TRUE(run_until([&] { return successor->packets.size() == snapshot_packets + expected.size(); }));
  std::vector<std::string> learned = successor->texts();
  learned.erase(learned.begin(), learned.begin() + snapshot_packets);
  EXPECT_EQ(learned, expected);
}

// Guards against: a peer that stands still makes the notices to it grow without end.
TEST_F(HotRestartTest, KeepsTheNewestRequestIdsForAPredecessorThatStandsStill) {
  constexpr std::uint64_t kIds = 100'000;
  constexpr std::uint64_t kIdsPerIteration = 100;
  SocketPair sockets = connected_sockets(SOCK_SEQPACKET);
  const Ref<GSocket> still = std::move(sockets.first);
  const test::ControlFolder folder;
  HotRestart sender(loop_, owner_, folder.path(), std::move(sockets.second));
  for (std::uint64_t id = 1; id <= kIds; ++id) {
    sender.note_sent_request(id);
    if (id % kIdsPerIteration == 0) g_main_context_iteration(loop_.context(), FALSE);
  }

  std::vector<std::uint64_t> received;
  EXPECT_TRUE(run_until([&] {
    for (const std::uint64_t id : receive_sent_requests(still.get())) received.push_back(id);
    return !received.empty() && received.back() == kIds;
  }));

  EXPECT_LT(received.size(), kIds) << "none was dropped";
}

TEST(UnsentRequestIds, KeepsOnlyTheNewest) {
  UnsentRequestIds ids;
  for (std::uint64_t id = 0; id < 3 * UnsentRequestIds::kMaxIds; ++id) ids.add(id);

  EXPECT_EQ(ids.size(), UnsentRequestIds::kMaxIds);
}

TEST_F(HotRestartTest, RefusesASecondSuccessor) {
  const std::unique_ptr<Peer> successor = connect_up_to_date_successor();

  const std::unique_ptr<Peer> second = connect_successor();

  ASSERT_TRUE(run_until([&] { return second->closed; }));
  EXPECT_TRUE(second->packets.empty());
  EXPECT_FALSE(successor->closed);
}

TEST_F(HotRestartTest, AcceptsAnotherSuccessorAfterADisconnection) {
  std::unique_ptr<Peer> successor = connect_up_to_date_successor();
  successor.reset();
  ASSERT_TRUE(run_until([&] { return !hot_restart_->has_successor(); }));

  successor = connect_up_to_date_successor();

  EXPECT_TRUE(hot_restart_->has_successor());
  EXPECT_NE(log_text_.str().find("hot_restart.peer_disconnected peer=successor"), std::string::npos);
}

TEST_F(HotRestartTest, IsAloneAfterBothPeersHaveDisconnected) {
  std::unique_ptr<Peer> successor = connect_up_to_date_successor();
  owner_.presences.clear();

  successor.reset();
  ASSERT_TRUE(run_until([&] { return owner_.presences.size() == 1; }));
  predecessor_.reset();
  ASSERT_TRUE(run_until([&] { return owner_.presences.size() == 2; }));

  EXPECT_EQ(owner_.presences, (std::vector<PeerPresence>{PeerPresence::Present, PeerPresence::Alone}));
  EXPECT_NE(log_text_.str().find("hot_restart.peer_disconnected peer=predecessor"), std::string::npos);
}

TEST_F(HotRestartTest, ForwardsOverridesToTheOtherPeerOnly) {
  const std::unique_ptr<Peer> successor = connect_up_to_date_successor();
  const OperatorOverridesMessage message{test::quoted_overrides()};
  const std::size_t packets_before = predecessor_->packets.size();

  predecessor_->send(message);

  ASSERT_TRUE(run_until([&] { return !successor->packets.empty(); }));
  EXPECT_EQ(owner_.overrides, test::quoted_overrides());
  EXPECT_EQ(successor->texts(), std::vector<std::string>{encode_message(message)});
  EXPECT_EQ(predecessor_->packets.size(), packets_before);
}

TEST_F(HotRestartTest, SendsAnOrderAndThenAllOverridesToBothPeers) {
  const std::unique_ptr<Peer> successor = connect_up_to_date_successor();
  predecessor_->packets.clear();
  owner_.overrides = test::quoted_overrides();
  const OperatorOrder order{OperatorOrder::Action::Exclude, "a \"quoted\"\n", 12.5};

  hot_restart_->send_operator_order(order);

  const std::vector<std::string> expected = {encode_message(OperatorOrderMessage{order}),
                                             encode_message(OperatorOverridesMessage{owner_.overrides})};
  for (const Peer* peer : {predecessor_.get(), successor.get()}) {
    ASSERT_TRUE(run_until([&] { return peer->packets.size() >= 2; }));
    EXPECT_EQ(peer->texts(), expected);
  }
}

// Guards against: the overrides of a peer that didn't know this process's latest order yet undo it.
TEST_F(HotRestartTest, IgnoresAllOverridesOfAPeerThatSendsItsOrders) {
  const std::unique_ptr<Peer> successor = connect_up_to_date_successor();
  const OperatorOrder order{OperatorOrder::Action::Include, "b", 3};
  const OperatorOverrides own = owner_.overrides;

  predecessor_->send(OperatorOrderMessage{order});
  predecessor_->send(OperatorOverridesMessage{test::quoted_overrides()});
  successor->send(OperatorOrderMessage{{OperatorOrder::Action::Evacuate, "", 4}});

  ASSERT_TRUE(run_until([&] { return owner_.orders.size() == 2; }));
  EXPECT_EQ(owner_.orders[0], order);
  EXPECT_EQ(owner_.overrides, own);
  ASSERT_TRUE(run_until([&] { return successor->packets.size() >= 2; }));
  EXPECT_EQ(successor->texts()[0], encode_message(OperatorOrderMessage{order}));
}

TEST_F(HotRestartTest, AcceptsLearnedStateFromThePredecessorOnly) {
  const std::unique_ptr<Peer> successor = connect_up_to_date_successor();

  successor->send(LearnedStateMessage{test::learned_state_of(1)});
  successor->send(OperatorOverridesMessage{test::quoted_overrides()});
  ASSERT_TRUE(run_until([&] { return owner_.overrides == test::quoted_overrides(); }));
  EXPECT_EQ(owner_.learned_parts.size(), 0u);

  predecessor_->send(LearnedStateMessage{test::learned_state_of(2)});
  ASSERT_TRUE(run_until([&] { return !owner_.learned_parts.empty(); }));
  EXPECT_EQ(owner_.learned_parts[0].endpoints, test::learned_state_of(2).endpoints);
}

TEST_F(HotRestartTest, SendsAConnectionToTheSuccessor) {
  const std::unique_ptr<Peer> successor = connect_up_to_date_successor();
  const Ref<GSocket> connection = connected_sockets(SOCK_SEQPACKET).first;

  ASSERT_TRUE(hot_restart_->try_send_connection(connection.get(), ConnectionHistory::Used));

  ASSERT_TRUE(run_until([&] { return !successor->packets.empty(); }));
  EXPECT_EQ(successor->packets[0].text, encode_message(ConnectionMessage{ConnectionHistory::Used}));
  EXPECT_NE(successor->packets[0].socket, nullptr);
}

TEST_F(HotRestartTest, KeepsAConnectionWithoutASuccessor) {
  const Ref<GSocket> connection = connected_sockets(SOCK_SEQPACKET).first;

  EXPECT_FALSE(hot_restart_->try_send_connection(connection.get(), ConnectionHistory::Used));
}

TEST_F(HotRestartTest, LogsAndDropsAMessageThatItCannotDecode) {
  predecessor_->send_text(R"({"format":1,"say":"unheard of"})");
  predecessor_->send(OperatorOverridesMessage{test::quoted_overrides()});

  ASSERT_TRUE(run_until([&] { return owner_.overrides == test::quoted_overrides(); }));
  EXPECT_NE(
      log_text_.str().find("hot_restart.message_rejected peer=predecessor reason=unknown_type field=say"),
      std::string::npos)
      << log_text_.str();
}

TEST_F(HotRestartTest, RemovesItsSocketFileOnDestruction) {
  EXPECT_TRUE(std::filesystem::exists(path_));

  hot_restart_.reset();

  EXPECT_FALSE(std::filesystem::exists(path_));
}

TEST_F(HotRestartTest, KeepsTheSocketFileOfAnotherProcess) {
  std::filesystem::remove(path_);
  const Ref<GSocket> other = create_control_socket();
  ASSERT_TRUE(g_socket_bind(other.get(), ControlAddress(path_).address(), FALSE, nullptr));

  hot_restart_.reset();

  EXPECT_TRUE(std::filesystem::exists(path_));
}

}  // namespace
}  // namespace puffinvane
