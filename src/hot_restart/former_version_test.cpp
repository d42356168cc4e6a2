// Compatibility with former versions: this version decodes the packets that a former one has encoded
// (testdata/format_1_packets.txt, one per line), and encodes the same messages as the same bytes.
#include <gtest/gtest.h>

#include <fstream>
#include <ostream>
#include <string>
#include <vector>

#include "src/hot_restart/message_builders.h"
#include "src/hot_restart/message_decoder.h"

namespace puffinvane {
namespace {

struct FormerPacket {
  std::string name;
  std::size_t line;  // in the file, counted from 0
  ControlMessage message;
};

void PrintTo(const FormerPacket& packet, std::ostream* stream) { *stream << packet.name; }

std::vector<std::string> read_packets() {
  std::ifstream file(PUFFINVANE_HOT_RESTART_TESTDATA "/format_1_packets.txt");
  std::vector<std::string> packets;
  for (std::string line; std::getline(file, line);) packets.push_back(line);
  return packets;
}

std::string packet_at(std::size_t line) {
  const std::vector<std::string> packets = read_packets();
  EXPECT_LT(line, packets.size());
  return line < packets.size() ? packets[line] : "";
}

void expect_equal(const EndpointListMessage& actual, const EndpointListMessage& expected) {
  EXPECT_EQ(actual.list.index, expected.list.index);
  EXPECT_EQ(actual.list.is_snapshot, expected.list.is_snapshot);
  EXPECT_EQ(actual.list.received_at_s, expected.list.received_at_s);
  EXPECT_EQ(actual.list.has_start_times, expected.list.has_start_times);
  EXPECT_EQ(actual.list.entries, expected.list.entries);
  EXPECT_EQ(actual.list.addresses, expected.list.addresses);
  EXPECT_EQ(actual.list.stated_start_ms, expected.list.stated_start_ms);
}

void expect_equal(const OperatorOverridesMessage& actual, const OperatorOverridesMessage& expected) {
  EXPECT_EQ(actual.overrides.excluded_since_s, expected.overrides.excluded_since_s);
  EXPECT_EQ(actual.overrides.evacuated_since_s, expected.overrides.evacuated_since_s);
}

void expect_equal(const ConnectionMessage& actual, const ConnectionMessage& expected) {
  EXPECT_EQ(actual.history, expected.history);
}

void expect_equal(const LearnedStateMessage& actual, const LearnedStateMessage& expected) {
  EXPECT_EQ(actual.state.classes, expected.state.classes);
  EXPECT_EQ(actual.state.endpoints, expected.state.endpoints);
  EXPECT_EQ(actual.state.lateness, expected.state.lateness);
  EXPECT_EQ(actual.state.completion_rates, expected.state.completion_rates);
  EXPECT_EQ(actual.state.started_at_s, expected.state.started_at_s);
}

// Messages without fields.
void expect_equal(const ListenerMessage&, const ListenerMessage&) {}
void expect_equal(const SnapshotCompleteMessage&, const SnapshotCompleteMessage&) {}
void expect_equal(const ServingMessage&, const ServingMessage&) {}
void expect_equal(const OperatorOrderMessage& actual, const OperatorOrderMessage& expected) {
  EXPECT_EQ(actual.order, expected.order);
}
void expect_equal(const SentRequestsMessage& actual, const SentRequestsMessage& expected) {
  EXPECT_EQ(actual.id_hashes, expected.id_hashes);
}

std::vector<FormerPacket> former_packets() {
  return {
      {"EmptyEndpointList", 0, EndpointListMessage{test::endpoint_list_of(0)}},
      {"EndpointList", 1, EndpointListMessage{test::endpoint_list_of(3)}},
      {"NoOverrides", 2, OperatorOverridesMessage{}},
      {"Overrides", 3, OperatorOverridesMessage{test::quoted_overrides()}},
      {"Listener", 4, ListenerMessage{}},
      {"UnusedConnection", 5, ConnectionMessage{ConnectionHistory::Unused}},
      {"UsedConnection", 6, ConnectionMessage{ConnectionHistory::Used}},
      {"SnapshotComplete", 7, SnapshotCompleteMessage{}},
      {"Serving", 8, ServingMessage{}},
      {"LearnedStateWithoutEndpoints", 9, LearnedStateMessage{test::learned_state_of(0)}},
      {"LearnedState", 10, LearnedStateMessage{test::learned_state_of(2)}},
  };
}

class FormerVersion : public testing::TestWithParam<FormerPacket> {};

TEST_P(FormerVersion, PacketIsDecodedAsTheOriginalMessage) {
  const ControlMessage& expected = GetParam().message;

  const auto decoded = decode_message(packet_at(GetParam().line));

  ASSERT_TRUE(decoded.has_value());
  ASSERT_EQ(decoded.value().index(), expected.index());
  const auto expect_same = [&expected](const auto& message) {
    expect_equal(message, std::get<std::decay_t<decltype(message)>>(expected));
  };
  std::visit(expect_same, decoded.value());
}

TEST_P(FormerVersion, PacketIsEncodedWithTheSameBytes) {
  const std::string packet = encode_message(GetParam().message);

  EXPECT_EQ(packet, packet_at(GetParam().line));
}

INSTANTIATE_TEST_SUITE_P(Packets, FormerVersion, testing::ValuesIn(former_packets()),
                         [](const auto& info) { return info.param.name; });

TEST(FormerVersionPackets, AreAllChecked) { EXPECT_EQ(read_packets().size(), former_packets().size()); }

TEST(FormerVersionPackets, ListInPartsHasTheSameBytes) {
  const std::vector<std::string> packets = encode_endpoint_list(test::endpoint_list_of(3));

  EXPECT_EQ(packets, std::vector<std::string>{packet_at(1)});
}

TEST(FormerVersionPackets, LearnedStateInPartsHasTheSameBytes) {
  const std::vector<std::string> packets = test::encode_learned_state(test::learned_state_of(2));

  EXPECT_EQ(packets, std::vector<std::string>{packet_at(10)});
}

// Versions that don't send the clock send the starts of endpoints in Unix time, which can't be compared with
// monotonic times.
TEST(FormerVersionPackets, LearnedStateOnAnotherClockOmitsEndpointsWithAStartTime) {
  std::string packet = packet_at(10);
  const std::string clock = R"("clock":"monotonic",)";
  ASSERT_NE(packet.find(clock), std::string::npos);
  packet.erase(packet.find(clock), clock.size());

  const auto decoded = decode_message(packet);

  ASSERT_TRUE(decoded.has_value());
  const auto* message = std::get_if<LearnedStateMessage>(&decoded.value());
  ASSERT_NE(message, nullptr);
  ASSERT_EQ(message->state.endpoints.size(), 1u);
  EXPECT_EQ(message->state.endpoints[0].name, "s-0");
}

TEST(FormerVersionPackets, ListWithoutMonotonicTimesHasNoStartTimes) {
  const auto decoded =
      decode_message(R"({"format":1,"say":"listing","list":{"index":900,"snapshot":true,"endpoints":[]}})");

  ASSERT_TRUE(decoded.has_value());
  const auto* message = std::get_if<EndpointListMessage>(&decoded.value());
  ASSERT_NE(message, nullptr);
  EXPECT_EQ(message->list.index, 900);
  EXPECT_FALSE(message->list.has_start_times);
}

}  // namespace
}  // namespace puffinvane
