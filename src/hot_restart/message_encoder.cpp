#include "src/hot_restart/message_encoder.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "src/hot_restart/wire_format.h"

namespace puffinvane {

namespace {

using nlohmann::json;

// Entries are added to a packet until it has this size. Small packets would be slow, as a socket buffers only
// few packets. The last entry may exceed this size, but not the limit of the channel.
constexpr std::size_t kPacketFillBytes = std::size_t{48} * 1024;

enum class PartPosition { First, Later };

json begin_packet(std::string_view type) {
  return {{wire::kFormatKey, wire::kFormat}, {wire::kTypeKey, type}};
}

std::string to_text(const json& packet) {
  constexpr int kNoIndent = -1;
  return packet.dump(kNoIndent, ' ', false, json::error_handler_t::replace);
}

const char* encode_state(ListedState state) {
  switch (state) {
    case ListedState::Ready: return "active";
    case ListedState::Draining: return "leaving";
    case ListedState::Removed: break;
  }
  return "left";
}

std::string_view encode_action(OperatorOrder::Action action) {
  switch (action) {
    case OperatorOrder::Action::Exclude: return wire::kExcludeAction;
    case OperatorOrder::Action::Include: return wire::kIncludeAction;
    case OperatorOrder::Action::Evacuate: return wire::kEvacuateAction;
    case OperatorOrder::Action::Rejoin: break;
  }
  return wire::kRejoinAction;
}

json encode_list_entry(const EndpointList& list, std::size_t index) {
  const ListEntry& entry = list.entries[index];
  return {{"name", entry.endpoint},
          {"address", list.addresses[index]},
          {"zone", entry.zone},
          {"group", entry.cell},
          {"status", encode_state(entry.state)},
          {"weight", entry.weight},
          {"since_ms", list.stated_start_ms[index]},
          {wire::kEndpointStartedAtKey, entry.online_since_s}};
}

json endpoint_list_packet(const EndpointList& list, PartPosition position, json entries) {
  json packet = begin_packet(wire::kEndpointListType);
  packet[wire::kListKey] = {{"index", list.index},
                            {"snapshot", position == PartPosition::First},
                            {wire::kListReceivedAtKey, list.received_at_s},
                            {wire::kEndpointsKey, std::move(entries)}};
  return packet;
}

json encode_sample(const ResponseSample& sample) {
  return json::array(
      {sample.completed_at_s, sample.latency_ratio, sample.depth, sample.in_time, sample.failed});
}

json encode_statistics(const EndpointStatistics& statistics) {
  json samples = json::array();
  for (const ResponseSample& sample : statistics.samples) samples.push_back(encode_sample(sample));
  return json::array({int(statistics.health), statistics.next_ejection_s, statistics.ejected_until_s,
                      statistics.last_response_s, statistics.recovery_limit, std::move(samples)});
}

json encode_endpoint(const LearnedState::EndpointState& endpoint) {
  json by_class = json::array();
  for (const EndpointStatistics& statistics : endpoint.by_class) {
    by_class.push_back(encode_statistics(statistics));
  }
  return json::array(
      {endpoint.name, endpoint.online_since_s, encode_statistics(endpoint.whole), std::move(by_class)});
}

json encode_request_classes(const LearnedState& state, PartPosition position) {
  json request_classes = json::array();
  for (const LearnedState::RequestClassState& request_class : state.classes) {
    json latencies = json::array();
    json means = json::array();
    if (position == PartPosition::First) {
      latencies = request_class.latencies;
      means = request_class.means;
    }
    request_classes.push_back(json::array({request_class.name, std::move(latencies), std::move(means)}));
  }
  return request_classes;
}

json learned_state_packet(const LearnedState& state, PartPosition position, json endpoints) {
  const bool is_first = position == PartPosition::First;
  json packet = begin_packet(wire::kLearnedStateType);
  packet[wire::kRequestClassesKey] = encode_request_classes(state, position);
  packet[wire::kEndpointsKey] = std::move(endpoints);
  packet[wire::kLatenessKey] = is_first ? json(state.lateness) : json::array();
  packet[wire::kCompletionRatesKey] = is_first ? json(state.completion_rates) : json::array();
  packet[wire::kClockKey] = wire::kMonotonicClock;
  packet[wire::kStartedAtKey] = is_first ? state.started_at_s : 0.0;
  return packet;
}

// A visitor that builds the JSON packet of each type of message.
struct PacketBuilder {
  json operator()(const EndpointListMessage& message) const {
    json entries = json::array();
    for (std::size_t i = 0; i < message.list.entries.size(); ++i) {
      entries.push_back(encode_list_entry(message.list, i));
    }
    const PartPosition position = message.list.is_snapshot ? PartPosition::First : PartPosition::Later;
    return endpoint_list_packet(message.list, position, std::move(entries));
  }

  json operator()(const OperatorOverridesMessage& message) const {
    json excluded = json::object();
    for (const auto& [name, since_s] : message.overrides.excluded_since_s) excluded[name] = since_s;
    json packet = begin_packet(wire::kOperatorOverridesType);
    packet[wire::kExcludedKey] = std::move(excluded);
    const std::optional<double> evacuated_since_s = message.overrides.evacuated_since_s;
    if (evacuated_since_s) packet[wire::kEvacuatedSinceKey] = *evacuated_since_s;
    return packet;
  }

  json operator()(const OperatorOrderMessage& message) const {
    json packet = begin_packet(wire::kOperatorOrderType);
    packet[wire::kOrderActionKey] = encode_action(message.order.action);
    packet[wire::kOrderGivenAtKey] = message.order.given_at_s;
    if (!message.order.endpoint.empty()) packet[wire::kOrderEndpointKey] = message.order.endpoint;
    return packet;
  }

  json operator()(const ConnectionMessage& message) const {
    json packet = begin_packet(wire::kConnectionType);
    packet[wire::kConnectionUsedKey] = message.history == ConnectionHistory::Used;
    return packet;
  }

  json operator()(const LearnedStateMessage& message) const {
    json endpoints = json::array();
    for (const LearnedState::EndpointState& endpoint : message.state.endpoints) {
      endpoints.push_back(encode_endpoint(endpoint));
    }
    return learned_state_packet(message.state, PartPosition::First, std::move(endpoints));
  }

  json operator()(const SentRequestsMessage& message) const {
    json packet = begin_packet(wire::kSentRequestsType);
    packet[wire::kRequestIdsKey] = message.id_hashes;
    return packet;
  }

  json operator()(const ListenerMessage&) const { return begin_packet(wire::kListenerType); }
  json operator()(const SnapshotCompleteMessage&) const { return begin_packet(wire::kSnapshotCompleteType); }
  json operator()(const ServingMessage&) const { return begin_packet(wire::kServingType); }
};

}  // namespace

std::string encode_message(const ControlMessage& message) {
  return to_text(std::visit(PacketBuilder{}, message));
}

std::vector<std::string> encode_endpoint_list(const EndpointList& list) {
  std::vector<std::string> packets;
  std::size_t next_entry = 0;
  do {
    json entries = json::array();
    std::size_t bytes = 0;
    while (next_entry < list.entries.size() && bytes < kPacketFillBytes) {
      entries.push_back(encode_list_entry(list, next_entry));
      bytes += to_text(entries.back()).size();
      ++next_entry;
    }
    const PartPosition position = packets.empty() ? PartPosition::First : PartPosition::Later;
    packets.push_back(to_text(endpoint_list_packet(list, position, std::move(entries))));
  } while (next_entry < list.entries.size());
  return packets;
}

std::string LearnedStateEncoder::next_packet() {
  const PartPosition position = next_endpoint_ == 0 ? PartPosition::First : PartPosition::Later;
  json endpoints = json::array();
  std::size_t bytes = 0;
  while (next_endpoint_ < state_.endpoints.size() && bytes < kPacketFillBytes) {
    json endpoint = encode_endpoint(state_.endpoints[next_endpoint_]);
    ++next_endpoint_;
    const std::size_t endpoint_bytes = to_text(endpoint).size();
    if (endpoint_bytes > kPacketFillBytes) continue;
    endpoints.push_back(std::move(endpoint));
    bytes += endpoint_bytes;
  }
  return to_text(learned_state_packet(state_, position, std::move(endpoints)));
}

}  // namespace puffinvane
