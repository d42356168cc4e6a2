// Parses and checks the values in a site file: quantities with units, names, addresses, paths and others.
#pragma once

#include <string>
#include <string_view>

namespace puffinvane::language {

enum class ValueType {
  Time,
  TimeOrOff,
  Share,
  Rate,
  Size,
  Count,
  Number,
  Switch,
  Name,
  Text,
  Address,
  Kind,
  Group
};

struct Value {
  double number = 0;  // in seconds, per second, in bytes, or a share from 0 to 1
  std::string text;
  std::string error, fix;  // error: empty if the value is valid
};

// min and max: in the unit of Value::number.
Value read_value(ValueType type, std::string_view raw, bool quoted, double min, double max);

bool is_name(std::string_view word);
// A token as defined by HTTP, for methods and header names.
bool is_token(std::string_view word);
// What is wrong with the path or host; empty if it is valid.
std::string path_error(std::string_view path);
std::string host_error(std::string_view host);
std::string to_lower(std::string_view text);

}  // namespace puffinvane::language
