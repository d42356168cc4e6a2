#include "src/discovery/discovery.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace puffinvane {

using simdjson::dom::element;

namespace {

std::optional<std::string> find_string(element entry, std::string_view key) {
  std::string_view found;
  if (entry[key].get(found)) return std::nullopt;
  return std::string(found);
}

double number_or(element entry, std::string_view key, double fallback) {
  double found = 0;
  return entry[key].get(found) ? fallback : found;
}

std::optional<ListedState> parse_state(std::string_view status) {
  if (status == "active") return ListedState::Ready;
  if (status == "leaving") return ListedState::Draining;
  if (status == "left") return ListedState::Removed;
  return std::nullopt;
}

ListError missing_entry_field(std::string_view key) {
  return {ListFault::MissingEntryField, std::string(key)};
}

// Parses one entry and appends it to `list`. On an error `list` is unchanged.
std::optional<ListError> parse_entry(element json, EndpointList& list) {
  std::optional<std::string> name = find_string(json, "name");
  if (!name) return missing_entry_field("name");
  std::optional<std::string> status = find_string(json, "status");
  if (!status) return missing_entry_field("status");
  std::optional<ListedState> state = parse_state(*status);
  if (!state) return ListError{ListFault::UnknownStatus, *status};
  std::optional<std::string> address = find_string(json, "address");
  if (!address && *state != ListedState::Removed) return missing_entry_field("address");

  ListEntry entry;
  entry.endpoint = std::move(*name);
  entry.zone = find_string(json, "zone").value_or("");
  entry.state = *state;
  if (json["group"].get(entry.cell)) entry.cell = 0;
  entry.weight = number_or(json, "weight", 1);
  if (!(entry.weight > 0)) entry.weight = 1;
  list.entries.push_back(std::move(entry));
  list.addresses.push_back(address.value_or(""));
  list.stated_start_ms.push_back(std::max(0.0, number_or(json, "since_ms", 0)));
  return std::nullopt;
}

}  // namespace

std::string_view to_string(ListFault fault) {
  switch (fault) {
    case ListFault::InvalidJson: return "invalid_json";
    case ListFault::MissingListField: return "missing_list_field";
    case ListFault::MissingEntryField: return "missing_entry_field";
    case ListFault::UnknownStatus: return "unknown_status";
    case ListFault::IndexWentBack: return "index_went_back";
    case ListFault::EmptySnapshot: return "empty_snapshot";
    case ListFault::TooLong: return "too_long";
    case ListFault::CutOff: return "cut_off";
  }
  return "unknown";
}

std::string describe(const ListError& error) {
  switch (error.fault) {
    case ListFault::InvalidJson: return "the list is not valid JSON: " + error.detail;
    case ListFault::MissingListField: return "the list lacks the field \"" + error.detail + "\"";
    case ListFault::MissingEntryField: return "a list entry lacks the field \"" + error.detail + "\"";
    case ListFault::UnknownStatus: return "a list entry has the unknown status \"" + error.detail + "\"";
    case ListFault::IndexWentBack: return "the index of the list is lower than that of the list before";
    case ListFault::EmptySnapshot: return "the list of all endpoints is empty";
    case ListFault::TooLong: return "the list is longer than the limit";
    case ListFault::CutOff: return "the list ends before its closing brace";
  }
  return "unknown list fault";
}

ListResult parse_endpoint_list(element json) {
  EndpointList list;
  simdjson::dom::array entries;
  if (json["index"].get(list.index)) return ListError{ListFault::MissingListField, "index"};
  if (json["endpoints"].get(entries)) return ListError{ListFault::MissingListField, "endpoints"};
  if (json["snapshot"].get(list.is_snapshot)) list.is_snapshot = false;
  for (element entry : entries) {
    if (std::optional<ListError> error = parse_entry(entry, list)) return *error;
  }
  return list;
}

ListResult parse_endpoint_list(std::string_view text) { return ListParser().parse(text); }

EndpointList parse_endpoint_list_or_throw(element json) {
  ListResult result = parse_endpoint_list(json);
  if (!result) throw Malformed(describe(result.error()));
  EndpointList list = std::move(result.value());
  return list;
}

ListResult ListParser::parse(std::string_view text) {
  simdjson::dom::parser temporary;
  simdjson::dom::parser& parser = text.size() > kMaxRetainedBytes ? temporary : parser_;
  element json;
  simdjson::error_code error = parser.parse(text.data(), text.size()).get(json);
  if (error) return ListError{ListFault::InvalidJson, simdjson::error_message(error)};
  return parse_endpoint_list(json);
}

std::optional<double> parse_http_date(std::string_view date) {
  std::string text(date);
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  if (!end || *end != '\0') return std::nullopt;
  return double(timegm(&parts));
}

}  // namespace puffinvane
