// Quantities with their units, and the other words that a site's values are made of.
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
  double number = 0;  // seconds, a second, bytes, 0 to 1
  std::string text;
  std::string error, fix;  // wrong: empty if it can be used
};

// least and most: in the unit that the number has.
Value read_value(ValueType type, std::string_view raw, bool quoted, double least, double most);

bool is_name(std::string_view word);
bool is_token(std::string_view word);           // of HTTP: methods and names of headers
std::string path_error(std::string_view path);  // empty: nothing
std::string host_error(std::string_view host);
std::string to_lower(std::string_view text);

}  // namespace puffinvane::language
