#include "tools/simulator_adapter/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace puffinvane::wire {

using simdjson::dom::element;

Message::Message(element line) {
  simdjson::dom::array values;
  if (line.get(values)) throw Malformed("an event is not an array");
  for (element value : values) values_.push_back(value);
  if (values_.empty() || values_[0].get(name_)) throw Malformed("an event has no name");
}

void Message::lacks(const char* what) const {
  throw Malformed("event " + std::string(name_) + " has no proper " + what);
}

element Message::at(std::size_t place, const char* what) const {
  if (place >= values_.size() || values_[place].is_null()) lacks(what);
  return values_[place];
}

Load Message::load(std::size_t place) const {
  Load load;
  simdjson::dom::object report;
  if (place >= values_.size() || values_[place].get(report)) return load;
  for (std::string_view field : {"busy_reqs", "pending"}) {
    if (load.depth < 0 && report[field].get(load.depth)) load.depth = -1;
  }
  if (report["served_ps"].get(load.requests_per_s)) load.requests_per_s = -1;
  if (report["cpu_share"].get(load.cpu_utilization)) load.cpu_utilization = -1;
  return load;
}

std::int64_t Message::whole(std::size_t place, const char* what) const {
  std::int64_t value;
  if (at(place, what).get(value)) lacks(what);
  return value;
}

std::uint64_t Message::natural(std::size_t place, const char* what) const {
  std::uint64_t value;
  if (at(place, what).get(value)) lacks(what);
  return value;
}

double Message::number(std::size_t place, const char* what) const {
  double value;
  if (at(place, what).get(value)) lacks(what);
  return value;
}

bool Message::flag(std::size_t place, const char* what) const {
  bool value;
  if (at(place, what).get(value)) lacks(what);
  return value;
}

std::string_view Message::text(std::size_t place, const char* what) const {
  std::string_view value;
  if (at(place, what).get(value)) lacks(what);
  return value;
}

std::string_view Message::text_or_none(std::size_t place) const {
  std::string_view value;
  if (place >= values_.size() || values_[place].get(value)) return {};
  return value;
}

double Message::number_or_none(std::size_t place) const {
  double value;
  return place >= values_.size() || values_[place].get(value) ? 0 : value;
}

std::vector<ListEntry> read_entries(element entries) {
  simdjson::dom::array rows;
  if (entries.get(rows)) throw Malformed("event CATALOG has no proper Entries");
  std::vector<ListEntry> list;
  for (element row : rows) {
    simdjson::dom::array fields;
    if (row.get(fields)) throw Malformed("a list entry is not an array");
    std::vector<element> values(fields.begin(), fields.end());
    ListEntry entry;
    std::string_view endpoint, zone;
    std::int64_t state;
    if (values.size() < 5 || values[0].get(endpoint) || values[4].get(state)) {
      throw Malformed("a list entry has no proper Endpoint or State");
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

Outcome read_outcome(std::int64_t result) {
  switch (result) {
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

void write_text(std::string& out, std::string_view text) {
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

void write_whole(std::string& out, std::uint64_t value) {
  char buffer[24];
  out.append(buffer, std::to_chars(buffer, buffer + sizeof buffer, value).ptr);
}

}  // namespace puffinvane::wire
