// Packets that can't be decoded: each gives an error with the kind of the fault and the field.
#include "src/hot_restart/message_decoder.h"

#include <gtest/gtest.h>

#include <ostream>

#include "src/hot_restart/message_builders.h"

namespace puffinvane {

void PrintTo(const DecodeError& error, std::ostream* stream) {
  *stream << to_string(error.fault) << " in '" << error.field << "'";
}

namespace {

using test::encode_learned_state;
using test::learned_state_of;

std::optional<DecodeError> error_of(std::string_view packet) {
  const Result<ControlMessage, DecodeError> decoded = decode_message(packet);
  if (decoded) return std::nullopt;
  return decoded.error();
}

// The error of decode_learned_state, which decode_message replaces by an empty message.
std::optional<DecodeError> learned_state_error_of(std::string_view packet) {
  simdjson::dom::parser parser;
  const simdjson::padded_string padded(packet);
  const auto decoded = decode_learned_state(parser.parse(padded).value());
  if (decoded) return std::nullopt;
  return decoded.error();
}

std::string replace_once(std::string text, std::string_view from, std::string_view replacement) {
  const std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  if (position != std::string::npos) text.replace(position, from.size(), replacement);
  return text;
}

// Learned state of one endpoint, whose health is not a valid value.
std::string packet_with_unknown_health() {
  return replace_once(encode_learned_state(learned_state_of(1))[0], "[0,2.0,30.5", "[3,2.0,30.5");
}

TEST(MessageDecoder, AcceptsItsOwnFormat) {
  const std::string packet = encode_message(SnapshotCompleteMessage{});

  EXPECT_EQ(error_of(packet), std::nullopt);
}

TEST(MessageDecoder, RefusesOrdersThatAreNotWhole) {
  const std::string packet =
      encode_message(OperatorOrderMessage{{OperatorOrder::Action::Exclude, "a", 12.5}});

  EXPECT_EQ(error_of(replace_once(packet, "\"exclude\"", "\"forget\"")),
            (DecodeError{DecodeFault::InvalidValue, "action"}));
  EXPECT_EQ(error_of(replace_once(packet, "\"endpoint\"", "\"other\"")),
            (DecodeError{DecodeFault::MissingField, "endpoint"}));
  EXPECT_EQ(error_of(replace_once(packet, "12.5", "\"soon\"")),
            (DecodeError{DecodeFault::WrongType, "given_at"}));
}

TEST(MessageDecoder, RefusesAnotherFormat) {
  const std::string packet =
      replace_once(encode_message(SnapshotCompleteMessage{}), "\"format\":1", "\"format\":2");

  EXPECT_EQ(error_of(packet), (DecodeError{DecodeFault::UnsupportedFormat, "format"}));
}

TEST(MessageDecoder, RefusesAnEmptyPacket) {
  EXPECT_EQ(error_of(""), (DecodeError{DecodeFault::NotJson, ""}));
}

TEST(MessageDecoder, RefusesAPacketThatIsNotAnObject) {
  EXPECT_EQ(error_of("[]"), (DecodeError{DecodeFault::MissingField, "format"}));
}

TEST(MessageDecoder, RefusesAnUnknownType) {
  EXPECT_EQ(error_of(R"({"format":1,"say":"unheard of"})"), (DecodeError{DecodeFault::UnknownType, "say"}));
}

TEST(MessageDecoder, RefusesOverridesWithoutExclusions) {
  EXPECT_EQ(error_of(R"({"format":1,"say":"ordered"})"), (DecodeError{DecodeFault::MissingField, "out"}));
}

TEST(MessageDecoder, RefusesAnExclusionWithoutATime) {
  EXPECT_EQ(error_of(R"({"format":1,"say":"ordered","out":{"a":"long ago"}})"),
            (DecodeError{DecodeFault::WrongType, "out"}));
}

TEST(MessageDecoder, RefusesAConnectionWithoutHistory) {
  EXPECT_EQ(error_of(R"({"format":1,"say":"caller"})"), (DecodeError{DecodeFault::MissingField, "asked"}));
}

TEST(MessageDecoder, RefusesAMessageWithoutItsList) {
  EXPECT_EQ(error_of(R"({"format":1,"say":"listing"})"), (DecodeError{DecodeFault::MissingField, "list"}));
}

TEST(MessageDecoder, RefusesAnInvalidList) {
  EXPECT_EQ(error_of(R"({"format":1,"say":"listing","list":{"index":1}})"),
            (DecodeError{DecodeFault::InvalidValue, "list"}));
}

TEST(MessageDecoder, RefusesAListWithAReceiptTimeButWithoutStartTimes) {
  const std::string packet = R"({"format":1,"say":"listing","list":{"index":1,"heard_at":2.0,)"
                             R"("endpoints":[{"name":"a","address":"127.0.0.1:1","status":"active"}]}})";

  EXPECT_EQ(error_of(packet), (DecodeError{DecodeFault::MissingField, "started"}));
}

TEST(MessageDecoder, GivesEmptyLearnedStateIfItIsInvalid) {
  const auto decoded = decode_message(packet_with_unknown_health());

  ASSERT_TRUE(decoded.has_value());
  const auto* message = std::get_if<LearnedStateMessage>(&decoded.value());
  ASSERT_NE(message, nullptr);
  EXPECT_TRUE(message->state.endpoints.empty());
  EXPECT_TRUE(message->state.classes.empty());
}

TEST(LearnedStateDecoder, RefusesAHealthOutOfRange) {
  EXPECT_EQ(learned_state_error_of(packet_with_unknown_health()),
            (DecodeError{DecodeFault::OutOfRange, "health"}));
}

TEST(LearnedStateDecoder, RefusesStatisticsWithAMissingField) {
  const std::string packet =
      replace_once(encode_learned_state(learned_state_of(1))[0], "[0,2.0,30.5,", "[0,2.0,");

  EXPECT_EQ(learned_state_error_of(packet), (DecodeError{DecodeFault::WrongType, "statistics"}));
}

TEST(LearnedStateDecoder, RefusesMeansWithoutLatencies) {
  const std::string packet =
      replace_once(encode_learned_state(learned_state_of(1))[0], "[\"read\",[0.1,0.25]", "[\"read\",[]");

  EXPECT_EQ(learned_state_error_of(packet), (DecodeError{DecodeFault::OutOfRange, "means"}));
}

TEST(LearnedStateDecoder, RefusesMoreSamplesThanAnyPolicyKeeps) {
  LearnedState state = learned_state_of(1);
  state.endpoints[0].whole.samples.assign(65, ResponseSample());

  EXPECT_EQ(learned_state_error_of(encode_learned_state(state)[0]),
            (DecodeError{DecodeFault::OutOfRange, "samples"}));
}

}  // namespace
}  // namespace puffinvane
