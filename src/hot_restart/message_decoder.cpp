#include "src/hot_restart/message_decoder.h"

#include <string>
#include <utility>

#include "src/hot_restart/wire_format.h"

namespace puffinvane {

namespace {

using Element = JsonReader::Element;
using DecodeResult = Result<ControlMessage, DecodeError>;

// Reads the monotonic times of a list, if it has any. Lists of former versions have none, like those of
// discovery.
void decode_list_times(JsonReader& reader, Element element, EndpointList& list) {
  const auto received_at_s = JsonReader::optional_member<double>(element, wire::kListReceivedAtKey);
  if (!received_at_s) return;
  list.received_at_s = *received_at_s;
  std::size_t index = 0;
  reader.for_each_member(element, wire::kEndpointsKey, [&](Element entry) {
    list.entries[index].online_since_s = reader.member<double>(entry, wire::kEndpointStartedAtKey);
    ++index;
  });
  list.has_start_times = true;
}

DecodeResult decode_endpoint_list(Element packet) {
  JsonReader reader;
  const std::optional<Element> element = reader.find(packet, wire::kListKey);
  if (!element) return *reader.error();
  ListResult list = parse_endpoint_list(*element);
  if (!list) return DecodeError{DecodeFault::InvalidValue, wire::kListKey};
  decode_list_times(reader, *element, list.value());
  if (reader.error()) return *reader.error();
  return ControlMessage(EndpointListMessage{std::move(list.value())});
}

DecodeResult decode_operator_overrides(Element packet) {
  JsonReader reader;
  OperatorOverridesMessage message;
  const auto excluded = reader.member<simdjson::dom::object>(packet, wire::kExcludedKey);
  if (reader.error()) return *reader.error();
  for (const auto& [name, since] : excluded) {
    message.overrides.excluded_since_s.emplace(name, reader.value<double>(since, wire::kExcludedKey));
  }
  if (reader.error()) return *reader.error();
  message.overrides.evacuated_since_s = JsonReader::optional_member<double>(packet, wire::kEvacuatedSinceKey);
  return ControlMessage(std::move(message));
}

std::optional<OperatorOrder::Action> decode_action(std::string_view action) {
  if (action == wire::kExcludeAction) return OperatorOrder::Action::Exclude;
  if (action == wire::kIncludeAction) return OperatorOrder::Action::Include;
  if (action == wire::kEvacuateAction) return OperatorOrder::Action::Evacuate;
  if (action == wire::kRejoinAction) return OperatorOrder::Action::Rejoin;
  return std::nullopt;
}

DecodeResult decode_operator_order(Element packet) {
  JsonReader reader;
  OperatorOrderMessage message;
  const auto name = reader.member<std::string_view>(packet, wire::kOrderActionKey);
  const std::optional<OperatorOrder::Action> action = decode_action(name);
  if (!action) reader.fail(DecodeFault::InvalidValue, wire::kOrderActionKey);
  message.order.action = action.value_or(OperatorOrder::Action::Exclude);
  message.order.given_at_s = reader.member<double>(packet, wire::kOrderGivenAtKey);
  const bool is_about_endpoint = message.order.action == OperatorOrder::Action::Exclude ||
                                 message.order.action == OperatorOrder::Action::Include;
  if (is_about_endpoint) {
    message.order.endpoint = reader.member<std::string_view>(packet, wire::kOrderEndpointKey);
  }
  if (reader.error()) return *reader.error();
  return ControlMessage(std::move(message));
}

DecodeResult decode_connection(Element packet) {
  JsonReader reader;
  const bool used = reader.member<bool>(packet, wire::kConnectionUsedKey);
  if (reader.error()) return *reader.error();
  return ControlMessage(ConnectionMessage{used ? ConnectionHistory::Used : ConnectionHistory::Unused});
}

DecodeResult decode_learned_state_or_empty(Element packet) {
  Result<LearnedStateMessage, DecodeError> decoded = decode_learned_state(packet);
  if (!decoded) return ControlMessage(LearnedStateMessage{});
  return ControlMessage(std::move(decoded.value()));
}

DecodeResult decode_sent_requests(Element packet) {
  JsonReader reader;
  SentRequestsMessage message;
  reader.for_each_member(packet, wire::kRequestIdsKey, [&](Element id) {
    message.id_hashes.push_back(reader.value<std::uint64_t>(id, wire::kRequestIdsKey));
  });
  if (reader.error()) return *reader.error();
  return ControlMessage(std::move(message));
}

template <typename Message>
DecodeResult decode_without_fields(Element) {
  return ControlMessage(Message{});
}

struct MessageDecoder {
  std::string_view type;
  DecodeResult (*decode)(Element packet);
};

constexpr MessageDecoder kDecoders[] = {
    {wire::kEndpointListType, decode_endpoint_list},
    {wire::kOperatorOverridesType, decode_operator_overrides},
    {wire::kListenerType, decode_without_fields<ListenerMessage>},
    {wire::kConnectionType, decode_connection},
    {wire::kSnapshotCompleteType, decode_without_fields<SnapshotCompleteMessage>},
    {wire::kServingType, decode_without_fields<ServingMessage>},
    {wire::kLearnedStateType, decode_learned_state_or_empty},
    {wire::kSentRequestsType, decode_sent_requests},
    {wire::kOperatorOrderType, decode_operator_order},
};

}  // namespace

std::string_view to_string(DecodeFault fault) {
  switch (fault) {
    case DecodeFault::NotJson: return "not_json";
    case DecodeFault::UnsupportedFormat: return "unsupported_format";
    case DecodeFault::UnknownType: return "unknown_type";
    case DecodeFault::MissingField: return "missing_field";
    case DecodeFault::WrongType: return "wrong_type";
    case DecodeFault::OutOfRange: return "out_of_range";
    case DecodeFault::InvalidValue: return "invalid_value";
  }
  return "unknown";
}

DecodeResult decode_message(std::string_view packet) {
  simdjson::dom::parser parser;
  const simdjson::padded_string padded(packet);
  Element root;
  if (parser.parse(padded).get(root)) return DecodeError{DecodeFault::NotJson, {}};
  JsonReader reader;
  const auto format = reader.member<std::int64_t>(root, wire::kFormatKey);
  if (reader.error()) return *reader.error();
  if (format != wire::kFormat) return DecodeError{DecodeFault::UnsupportedFormat, wire::kFormatKey};
  const auto type = reader.member<std::string_view>(root, wire::kTypeKey);
  // cppcheck-suppress identicalConditionAfterEarlyExit  // reading `type` may have failed
  if (reader.error()) return *reader.error();
  for (const MessageDecoder& decoder : kDecoders) {
    if (decoder.type == type) return decoder.decode(root);
  }
  return DecodeError{DecodeFault::UnknownType, wire::kTypeKey};
}

}  // namespace puffinvane
