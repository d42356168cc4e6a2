#include "tools/simulator_adapter/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace puffinvane::simulator_adapter {

using simdjson::dom::element;

EventMessage::EventMessage(element event) {
  simdjson::dom::array values;
  if (event.get(values)) throw Malformed("an event is not a JSON array");
  for (element value : values) values_.push_back(value);
  if (values_.empty() || values_[0].get(name_))
    throw Malformed("the first element of an event is not its name");
}

void EventMessage::throw_invalid_field(const char* field) const {
  throw Malformed("event " + std::string(name_) + ": field " + field + " is missing or has the wrong type");
}

element EventMessage::at(std::size_t index, const char* field) const {
  if (index >= values_.size() || values_[index].is_null()) throw_invalid_field(field);
  return values_[index];
}

Load EventMessage::load_report(std::size_t index) const {
  Load load;
  simdjson::dom::object report;
  if (index >= values_.size() || values_[index].get(report)) return load;
  for (std::string_view key : {"busy_reqs", "pending"}) {
    if (load.depth < 0 && report[key].get(load.depth)) load.depth = -1;
  }
  if (report["served_ps"].get(load.requests_per_s)) load.requests_per_s = -1;
  if (report["cpu_share"].get(load.cpu_utilization)) load.cpu_utilization = -1;
  return load;
}

std::int64_t EventMessage::integer(std::size_t index, const char* field) const {
  std::int64_t value;
  if (at(index, field).get(value)) throw_invalid_field(field);
  return value;
}

std::uint64_t EventMessage::unsigned_integer(std::size_t index, const char* field) const {
  std::uint64_t value;
  if (at(index, field).get(value)) throw_invalid_field(field);
  return value;
}

double EventMessage::number(std::size_t index, const char* field) const {
  double value;
  if (at(index, field).get(value)) throw_invalid_field(field);
  return value;
}

bool EventMessage::boolean(std::size_t index, const char* field) const {
  bool value;
  if (at(index, field).get(value)) throw_invalid_field(field);
  return value;
}

std::string_view EventMessage::string(std::size_t index, const char* field) const {
  std::string_view value;
  if (at(index, field).get(value)) throw_invalid_field(field);
  return value;
}

std::string_view EventMessage::optional_string(std::size_t index) const {
  std::string_view value;
  if (index >= values_.size() || values_[index].get(value)) return {};
  return value;
}

double EventMessage::optional_number(std::size_t index) const {
  double value;
  return index >= values_.size() || values_[index].get(value) ? 0 : value;
}

std::vector<ListEntry> parse_list_entries(element entries) {
  simdjson::dom::array rows;
  if (entries.get(rows)) throw Malformed("event CATALOG: Entries is not an array");
  std::vector<ListEntry> list;
  for (element row : rows) {
    simdjson::dom::array fields;
    if (row.get(fields)) throw Malformed("event CATALOG: a list entry is not an array");
    std::vector<element> values(fields.begin(), fields.end());
    ListEntry entry;
    std::string_view endpoint, zone;
    std::int64_t state;
    if (values.size() < 5 || values[0].get(endpoint) || values[4].get(state)) {
      throw Malformed("event CATALOG: a list entry has no valid Endpoint or State");
    }
    entry.endpoint = endpoint;
    if (!values[1].get(zone)) entry.zone = zone;
    if (values[3].get(entry.cell)) entry.cell = 0;
    entry.state = state == 1 ? ListedState::Ready : state == 2 ? ListedState::Draining : ListedState::Removed;
    if (values.size() < 6 || values[5].get(entry.weight) || entry.weight <= 0) entry.weight = 1;
    if (values.size() < 7 || values[6].get(entry.online_since_s)) entry.online_since_s = 0;
    list.push_back(std::move(entry));
  }
  return list;
}

Outcome outcome_from_code(std::int64_t code) {
  switch (code) {
    case 100: return Outcome::Delivered;
    case 302: return Outcome::Refused;
    case 303: return Outcome::TimedOut;
    case 304: return Outcome::ConnectFailed;
    case 305: return Outcome::Broken;
    case 306: return Outcome::Cancelled;
    case 307: return Outcome::NotSent;
    default: return Outcome::Failed;
  }
}

void write_json_string(std::string& out, std::string_view text) {
  static constexpr char kHex[] = "0123456789abcdef";
  out += '"';
  for (char c : text) {
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20) {
      out += "\\u00";
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    } else {
      out += c;
    }
  }
  out += '"';
}

void write_number(std::string& out, double value) {
  char buffer[64];
  auto end = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 6).ptr;
  out.append(buffer, end);
}

void write_unsigned_integer(std::string& out, std::uint64_t value) {
  char buffer[24];
  out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, value).ptr);
}

}  // namespace puffinvane::simulator_adapter
