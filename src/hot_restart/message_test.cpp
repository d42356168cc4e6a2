// Round trips of messages with any number of endpoints, and the size of their packets.
#include <gtest/gtest.h>

#include <iterator>

#include "src/hot_restart/channel.h"
#include "src/hot_restart/message_builders.h"
#include "src/hot_restart/message_decoder.h"

namespace puffinvane {
namespace {

// Decodes a packet as a message of that type. If it isn't one, fails the test and returns nullopt.
template <typename Message>
std::optional<Message> decode_as(const std::string& packet) {
  Result<ControlMessage, DecodeError> decoded = decode_message(packet);
  EXPECT_TRUE(decoded.has_value()) << packet.substr(0, 200);
  if (!decoded) return std::nullopt;
  Message* message = std::get_if<Message>(&decoded.value());
  EXPECT_NE(message, nullptr) << packet.substr(0, 200);
  if (!message) return std::nullopt;
  return std::move(*message);
}

template <typename T>
void append(T& all, const T& part) {
  std::copy(part.begin(), part.end(), std::back_inserter(all));
}

class EndpointListOfSize : public testing::TestWithParam<std::size_t> {};

TEST_P(EndpointListOfSize, IsDecodedAsEncoded) {
  const EndpointList list = test::endpoint_list_of(GetParam());
  EndpointList decoded;

  for (const std::string& packet : encode_endpoint_list(list)) {
    const auto message = decode_as<EndpointListMessage>(packet);
    ASSERT_TRUE(message.has_value());
    EXPECT_EQ(message->list.index, 41);
    EXPECT_EQ(message->list.received_at_s, 99.5);
    EXPECT_TRUE(message->list.has_start_times);
    append(decoded.entries, message->list.entries);
    append(decoded.addresses, message->list.addresses);
    append(decoded.stated_start_ms, message->list.stated_start_ms);
  }

  EXPECT_EQ(decoded.entries, list.entries);
  EXPECT_EQ(decoded.addresses, list.addresses);
  EXPECT_EQ(decoded.stated_start_ms, list.stated_start_ms);
}

TEST_P(EndpointListOfSize, FitsIntoPackets) {
  const EndpointList list = test::endpoint_list_of(GetParam());

  const std::vector<std::string> packets = encode_endpoint_list(list);

  for (const std::string& packet : packets) EXPECT_LT(packet.size(), kMaxPacketBytes);
}

INSTANTIATE_TEST_SUITE_P(Sizes, EndpointListOfSize, testing::Values(0, 1, 400, 1201));

TEST(SentRequests, AreDecodedAsEncodedAndFitIntoAPacket) {
  SentRequestsMessage sent;
  for (std::size_t i = 0; i < SentRequestsMessage::kMaxIds; ++i) sent.id_hashes.push_back(~std::uint64_t{i});

  const std::string packet = encode_message(sent);
  const auto decoded = decode_as<SentRequestsMessage>(packet);

  EXPECT_LT(packet.size(), kMaxPacketBytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->id_hashes, sent.id_hashes);
}

TEST(OperatorOverrides, AreDecodedAsEncoded) {
  const OperatorOverrides overrides = test::quoted_overrides();

  const auto decoded =
      decode_as<OperatorOverridesMessage>(encode_message(OperatorOverridesMessage{overrides}));

  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->overrides.excluded_since_s, overrides.excluded_since_s);
  EXPECT_EQ(decoded->overrides.evacuated_since_s, overrides.evacuated_since_s);
}

TEST(OperatorOrder, IsDecodedAsEncoded) {
  using Action = OperatorOrder::Action;
  const OperatorOrder orders[] = {{Action::Exclude, "a \"quoted\"\n", 12.5},
                                  {Action::Include, "b", 7.25},
                                  {Action::Evacuate, "", 0.5},
                                  {Action::Rejoin, "", 3}};
  for (const OperatorOrder& order : orders) {
    const auto decoded = decode_as<OperatorOrderMessage>(encode_message(OperatorOrderMessage{order}));

    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->order, order);
  }
}

TEST(OperatorOverrides, AreDecodedAsEmptyIfThereAreNone) {
  const auto decoded = decode_as<OperatorOverridesMessage>(encode_message(OperatorOverridesMessage{}));

  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->overrides, OperatorOverrides());
}

class LearnedStateOfSize : public testing::TestWithParam<std::size_t> {};

TEST_P(LearnedStateOfSize, IsDecodedAsEncoded) {
  const LearnedState state = test::learned_state_of(GetParam());
  LearnedState decoded;

  for (const std::string& packet : test::encode_learned_state(state)) {
    const auto message = decode_as<LearnedStateMessage>(packet);
    ASSERT_TRUE(message.has_value());
    EXPECT_EQ(message->state.classes.size(), 2u);
    std::vector<LearnedState::EndpointState> endpoints = decoded.endpoints;
    append(endpoints, message->state.endpoints);
    if (decoded.classes.empty()) decoded = message->state;
    decoded.endpoints = std::move(endpoints);
  }

  EXPECT_EQ(decoded.endpoints, state.endpoints);
  EXPECT_EQ(decoded.classes, state.classes);
  EXPECT_EQ(decoded.lateness, state.lateness);
  EXPECT_EQ(decoded.completion_rates, state.completion_rates);
  EXPECT_EQ(decoded.started_at_s, state.started_at_s);
}

TEST_P(LearnedStateOfSize, FitsIntoPackets) {
  const LearnedState state = test::learned_state_of(GetParam());

  const std::vector<std::string> packets = test::encode_learned_state(state);

  for (const std::string& packet : packets) EXPECT_LT(packet.size(), kMaxPacketBytes);
}

INSTANTIATE_TEST_SUITE_P(Sizes, LearnedStateOfSize, testing::Values(0, 1, 13, 200, 1100));

TEST(LearnedStateEncoder, OmitsAnEndpointTooLargeForAPacket) {
  LearnedState state = test::learned_state_of(3);
  state.endpoints[1].by_class.assign(1000, state.endpoints[1].by_class[0]);

  const std::vector<std::string> packets = test::encode_learned_state(state);

  ASSERT_EQ(packets.size(), 1u);
  const auto decoded = decode_as<LearnedStateMessage>(packets[0]);
  ASSERT_TRUE(decoded.has_value());
  ASSERT_EQ(decoded->state.endpoints.size(), 2u);
  EXPECT_EQ(decoded->state.endpoints[0].name, "s-0");
  EXPECT_EQ(decoded->state.endpoints[1].name, "s-2");
}

}  // namespace
}  // namespace puffinvane
