// Decodes learned state, the only message that is encoded with nested arrays instead of objects.
#include <deque>
#include <string>
#include <utility>

#include "src/hot_restart/message_decoder.h"
#include "src/hot_restart/wire_format.h"

namespace puffinvane {

namespace {

using Element = JsonReader::Element;

// Upper limits of what a policy keeps.
constexpr std::size_t kMaxSamples = 1000;
constexpr std::size_t kMaxResponseSamples = 64;
constexpr int kMaxAttemptsInFlight = 1 << 20;

std::deque<double> decode_numbers(JsonReader& reader, Element element, std::string_view field) {
  std::deque<double> numbers;
  reader.for_each(element, field,
                  [&](Element item) { numbers.push_back(reader.value<double>(item, field)); });
  if (numbers.size() > kMaxSamples) reader.fail(DecodeFault::OutOfRange, field);
  return numbers;
}

std::deque<double> decode_numbers_member(JsonReader& reader, Element object, std::string_view key) {
  const std::optional<Element> found = reader.find(object, key);
  return found ? decode_numbers(reader, *found, key) : std::deque<double>{};
}

ResponseSample decode_sample(JsonReader& reader, Element element) {
  const auto fields = reader.tuple<5>(element, "sample");
  if (!fields) return {};
  const auto& [completed_at, latency_ratio, depth, in_time, failed] = *fields;
  ResponseSample sample;
  sample.completed_at_s = reader.value<double>(completed_at, "sample completion time");
  sample.latency_ratio = reader.value<double>(latency_ratio, "sample latency ratio");
  sample.depth = reader.integer(depth, {0, kMaxAttemptsInFlight}, "sample depth");
  sample.in_time = reader.value<bool>(in_time, "sample in time");
  sample.failed = reader.value<bool>(failed, "sample failed");
  return sample;
}

EndpointStatistics decode_statistics(JsonReader& reader, Element element) {
  const auto fields = reader.tuple<6>(element, "statistics");
  if (!fields) return {};
  const auto& [health, ejection, ejected_until, last_response, recovery_limit, samples] = *fields;
  EndpointStatistics statistics;
  statistics.health = Health(reader.integer(health, {0, int(Health::Recovering)}, "health"));
  statistics.next_ejection_s = reader.value<double>(ejection, "ejection");
  statistics.ejected_until_s = reader.value<double>(ejected_until, "ejected until");
  statistics.last_response_s = reader.value<double>(last_response, "last response");
  statistics.recovery_limit = reader.integer(recovery_limit, {0, kMaxAttemptsInFlight}, "recovery limit");
  reader.for_each(samples, "samples",
                  [&](Element item) { statistics.samples.push_back(decode_sample(reader, item)); });
  if (statistics.samples.size() > kMaxResponseSamples) reader.fail(DecodeFault::OutOfRange, "samples");
  if (statistics.next_ejection_s < 0) reader.fail(DecodeFault::OutOfRange, "ejection");
  return statistics;
}

LearnedState::RequestClassState decode_request_class(JsonReader& reader, Element element) {
  const auto fields = reader.tuple<3>(element, "request class");
  if (!fields) return {};
  const auto& [name, latencies, means] = *fields;
  LearnedState::RequestClassState request_class;
  request_class.name = reader.value<std::string_view>(name, "request class name");
  request_class.latencies = decode_numbers(reader, latencies, "latencies");
  request_class.means = decode_numbers(reader, means, "means");
  if (request_class.latencies.empty() && !request_class.means.empty()) {
    reader.fail(DecodeFault::OutOfRange, "means");
  }
  return request_class;
}

enum class StartClock { Monotonic, Unknown };

StartClock decode_clock(Element packet) {
  const auto clock = JsonReader::optional_member<std::string_view>(packet, wire::kClockKey);
  return clock == wire::kMonotonicClock ? StartClock::Monotonic : StartClock::Unknown;
}

// nullopt for an endpoint whose start is on another clock. Its start can't be compared with that of the
// endpoint that now has this name, which may have been started since.
std::optional<LearnedState::EndpointState> decode_endpoint(JsonReader& reader, Element element,
                                                           StartClock clock) {
  const auto fields = reader.tuple<4>(element, "endpoint");
  if (!fields) return std::nullopt;
  const auto& [name, online_since, whole, by_class] = *fields;
  LearnedState::EndpointState endpoint;
  endpoint.online_since_s = reader.value<double>(online_since, "endpoint start");
  if (clock == StartClock::Unknown && endpoint.online_since_s > 0) return std::nullopt;
  endpoint.name = reader.value<std::string_view>(name, "endpoint name");
  endpoint.whole = decode_statistics(reader, whole);
  reader.for_each(by_class, "statistics by class",
                  [&](Element item) { endpoint.by_class.push_back(decode_statistics(reader, item)); });
  return endpoint;
}

}  // namespace

Result<LearnedStateMessage, DecodeError> decode_learned_state(Element packet) {
  JsonReader reader;
  LearnedState state;
  state.lateness = decode_numbers_member(reader, packet, wire::kLatenessKey);
  state.completion_rates = decode_numbers_member(reader, packet, wire::kCompletionRatesKey);
  state.started_at_s = reader.member<double>(packet, wire::kStartedAtKey);
  reader.for_each_member(packet, wire::kRequestClassesKey,
                         [&](Element item) { state.classes.push_back(decode_request_class(reader, item)); });
  const StartClock clock = decode_clock(packet);
  reader.for_each_member(packet, wire::kEndpointsKey, [&](Element item) {
    auto endpoint = decode_endpoint(reader, item, clock);
    if (endpoint) state.endpoints.push_back(std::move(*endpoint));
  });
  if (reader.error()) return *reader.error();
  return LearnedStateMessage{std::move(state)};
}

}  // namespace puffinvane
