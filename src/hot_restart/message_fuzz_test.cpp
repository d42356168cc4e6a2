// Fuzz test of the message decoder and of the HTTP parser as the admin API uses it. libFuzzer and a test
// share the entry point. The test mutates valid packets and requests, with the same inputs in every run.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "src/hot_restart/message_builders.h"
#include "src/hot_restart/message_decoder.h"
#include "src/http/http.h"

namespace puffinvane {
namespace {

void check_decoded(const EndpointListMessage& message) {
  EXPECT_EQ(message.list.entries.size(), message.list.addresses.size());
  EXPECT_EQ(message.list.entries.size(), message.list.stated_start_ms.size());
}

void check_decoded(const OperatorOverridesMessage& message) {
  const auto again = decode_message(encode_message(message));
  ASSERT_TRUE(again.has_value());
  const auto* overrides = std::get_if<OperatorOverridesMessage>(&again.value());
  ASSERT_NE(overrides, nullptr);
  EXPECT_EQ(overrides->overrides.excluded_since_s.size(), message.overrides.excluded_since_s.size());
}

void check_decoded(const LearnedStateMessage& message) {
  for (const LearnedState::EndpointState& endpoint : message.state.endpoints) {
    EXPECT_NE(endpoint.whole.health, Health::Removed);
    EXPECT_LE(endpoint.whole.samples.size(), 64u);
  }
}

// Messages without fields that could be invalid.
void check_decoded(const ListenerMessage&) {}
void check_decoded(const ConnectionMessage&) {}
void check_decoded(const SnapshotCompleteMessage&) {}
void check_decoded(const ServingMessage&) {}
void check_decoded(const SentRequestsMessage&) {}
void check_decoded(const OperatorOrderMessage&) {}

void check_packet(std::string_view text) {
  const auto decoded = decode_message(text);
  if (!decoded) return;
  std::visit([](const auto& message) { check_decoded(message); }, decoded.value());
}

// Feeds a reader byte by byte until its message is complete or invalid, and collects the body.
void feed_bytewise(HttpReader& reader, std::string_view text, BufferChain& body) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (reader.is_complete() || reader.fault() != HttpReader::Fault::None) return;
    reader.feed(text.substr(i, 1));
    if (reader.in_body()) body.add(reader.take_body_part());
  }
}

// The admin API uses the same parser as the listener, with a small limit for the body. Parsing all bytes at
// once and byte by byte has to give the same message.
void check_http(std::string_view text) {
  constexpr std::size_t kMaxBodyBytes = 4096;
  BufferPool pool;
  HttpReader reader(HttpReader::Side::Request, pool, kMaxBodyBytes);
  HttpReader bytewise(HttpReader::Side::Request, pool, 64, 1 << 20);
  BufferChain body(pool);

  const std::size_t used = reader.feed(text);
  feed_bytewise(bytewise, text, body);

  ASSERT_LE(used, text.size());
  if (!reader.is_complete()) return;
  ASSERT_LE(reader.message().body.size(), kMaxBodyBytes);
  ASSERT_TRUE(bytewise.is_complete());
  body.add(bytewise.take_body_part());
  ASSERT_EQ(body.text(), reader.message().body.text());
}

}  // namespace
}  // namespace puffinvane

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(bytes), size);
  puffinvane::check_packet(text);
  puffinvane::check_http(text);
  return 0;
}

#ifndef PUFFINVANE_LIBFUZZER
namespace puffinvane {
namespace {

constexpr int kInputsPerSeed = 2000;

// A xorshift generator with a fixed seed.
class Random {
 public:
  std::size_t below(std::size_t limit) {
    state_ ^= state_ << 13;
    state_ ^= state_ >> 7;
    state_ ^= state_ << 17;
    return state_ % limit;
  }

 private:
  std::uint64_t state_ = 42;
};

std::vector<std::string> seeds() {
  std::vector<std::string> seeds = encode_endpoint_list(test::endpoint_list_of(3));
  seeds.push_back(test::encode_learned_state(test::learned_state_of(2))[0]);
  const OperatorOverrides overrides = test::OverridesBuilder().excluded("a", 1).evacuated(2).build();
  seeds.push_back(encode_message(OperatorOverridesMessage{overrides}));
  seeds.push_back(encode_message(ConnectionMessage{ConnectionHistory::Used}));
  seeds.push_back(encode_message(ListenerMessage{}));
  seeds.push_back(encode_message(SnapshotCompleteMessage{}));
  seeds.emplace_back("PUT /api/exclude HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1");
  seeds.emplace_back(
      "POST http://h/a?b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n");
  return seeds;
}

// Replaces up to three random parts of the text, each by another part of it or by a random byte.
std::string mutate(std::string text, Random& random) {
  for (std::size_t left = random.below(4); left > 0 && !text.empty(); --left) {
    std::string inserted;
    if (random.below(2)) {
      const std::size_t length = random.below(40);
      const std::size_t start = random.below(text.size());
      inserted = text.substr(start, length);
    } else {
      inserted = std::string(1, char(random.below(256)));
    }
    const std::size_t removed = random.below(4) ? random.below(9) : text.size();
    text.replace(random.below(text.size()), removed, inserted);
  }
  return text;
}

TEST(MutatedInput, IsHandledWithoutFailure) {
  Random random;
  int inputs = 0;

  for (const std::string& seed : seeds()) {
    for (int i = 0; i < kInputsPerSeed; ++i) {
      const std::string text = mutate(seed, random);
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
      ASSERT_FALSE(testing::Test::HasFailure()) << "input " << inputs << ": " << text;
      ++inputs;
    }
  }

  EXPECT_EQ(inputs, 16000);
}

}  // namespace
}  // namespace puffinvane
#endif
