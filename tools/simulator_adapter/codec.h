// Converts between the simulator's JSON lines and the policy's types: parses incoming events and writes the
// values of outgoing actions.
#pragma once

#include <simdjson.h>

#include <string>
#include <string_view>
#include <vector>

#include "puffinvane/policy.h"
#include "src/config/settings/deployment.h"

namespace puffinvane::simulator_adapter {

// One event: a JSON array whose first element is the event's name. The accessors read a field by its index
// and throw Malformed, naming the field, if it is missing or has the wrong type; the optional_* accessors
// return an empty string or 0 instead.
class EventMessage {
 public:
  explicit EventMessage(simdjson::dom::element event);
  std::string_view name() const { return name_; }
  std::int64_t integer(std::size_t index, const char* field) const;
  std::uint64_t unsigned_integer(std::size_t index, const char* field) const;
  double number(std::size_t index, const char* field) const;
  bool boolean(std::size_t index, const char* field) const;
  std::string_view string(std::size_t index, const char* field) const;
  std::string_view optional_string(std::size_t index) const;
  double optional_number(std::size_t index) const;
  simdjson::dom::element at(std::size_t index, const char* field) const;
  // Load fields that are missing or invalid keep the value that stands for "not reported".
  Load load_report(std::size_t index) const;

 private:
  [[noreturn]] void throw_invalid_field(const char* field) const;
  std::string_view name_;
  std::vector<simdjson::dom::element> values_;
};

// Parses the Entries of a CATALOG event.
std::vector<ListEntry> parse_list_entries(simdjson::dom::element entries);
// Maps the simulator's result code of an attempt; an unknown code is Outcome::Failed.
Outcome outcome_from_code(std::int64_t code);

// These append one JSON value to 'out'.
void write_json_string(std::string& out, std::string_view text);
void write_number(std::string& out, double value);
void write_unsigned_integer(std::string& out, std::uint64_t value);

}  // namespace puffinvane::simulator_adapter
