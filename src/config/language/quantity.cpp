#include "src/config/language/quantity.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <span>

#include "puffinvane/policy.h"
#include "src/config/language/lexer.h"
#include "src/config/site/site.h"

namespace puffinvane::language {

namespace {

struct Unit {
  const char* name;
  double factor;
};
constexpr std::array<Unit, 5> kTimes{{{"ms", 1e-3}, {"s", 1}, {"min", 60}, {"h", 3600}, {"us", 1e-6}}};
constexpr std::array<Unit, 2> kRates{{{"/s", 1}, {"/min", 1.0 / 60}}};
constexpr std::array<Unit, 1> kShares{{{"%", 0.01}}};
constexpr std::array<Unit, 4> kSizes{{{"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}, {"B", 1}}};

struct QuantityKind {
  const char* description;
  const char* example;
  std::span<const Unit> units;
};

QuantityKind quantity_kind(ValueType type) {
  switch (type) {
    case ValueType::Share: return {"a share", "64%", kShares};
    case ValueType::Rate: return {"a rate", "170/s", kRates};
    case ValueType::Size: return {"a size", "64KiB", kSizes};
    default: return {"a time", "750ms", kTimes};
  }
}

std::string decimal(double value) {
  std::array<char, 32> digits{};
  auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::general, 6).ptr;
  return std::string(digits.data(), end);
}

// In the largest unit in which the value is at least 1.
std::string with_unit(double value, std::span<const Unit> units) {
  const Unit* best = nullptr;
  for (const Unit& unit : units) {
    if (value >= unit.factor && (!best || unit.factor > best->factor)) best = &unit;
  }
  if (!best) best = &units.front();
  return decimal(value / best->factor) + best->name;
}

Value invalid(std::string text, std::string fix = "") {
  Value value;
  value.error = std::move(text);
  value.fix = std::move(fix);
  return value;
}

std::string in_backticks(std::string_view word) {
  constexpr std::size_t kMaxShown = 60;
  if (word.size() > kMaxShown) return "`" + std::string(word.substr(0, kMaxShown)) + "...`";
  return "`" + std::string(word) + "`";
}

// Suggests units for a number without one: those with which the value is within the bounds. Of the five units
// of time only seconds and milliseconds are suggested.
std::string suggest_units(double number, std::string_view digits, const QuantityKind& kind, double min,
                          double max) {
  std::string fix;
  for (const Unit& unit : kind.units) {
    double value = number * unit.factor;
    if (value < min || value > max || (kind.units.size() > 4 && unit.factor != 1 && unit.factor != 1e-3))
      continue;
    fix += (fix.empty() ? "write " : " or ") + std::string(digits) + unit.name;
  }
  return fix;
}

Value read_quantity(ValueType type, std::string_view raw, double min, double max) {
  QuantityKind kind = quantity_kind(type);
  std::size_t digits = 0;
  while (digits < raw.size() && ((raw[digits] >= '0' && raw[digits] <= '9') || raw[digits] == '.')) ++digits;
  std::string_view number = raw.substr(0, digits), unit = raw.substr(digits);
  double amount = 0;
  auto [end, error] =
      std::from_chars(number.data(), number.data() + number.size(), amount, std::chars_format::fixed);
  std::string expected = std::string(kind.description) + ", as " + kind.example;
  if (number.empty() || error != std::errc() || end != number.data() + number.size() ||
      number.back() == '.') {
    if (raw.starts_with('-'))
      return invalid(in_backticks(raw) + " is below nothing: this has to be " + expected);
    return invalid(in_backticks(raw) + " is no quantity: this has to be " + expected);
  }
  if (unit.empty()) {
    std::string units;
    for (const Unit& one : kind.units) units += (units.empty() ? "" : ", ") + std::string(one.name);
    return invalid(in_backticks(raw) + " has no unit: " + kind.description + " needs one of " + units,
                   suggest_units(amount, number, kind, min, max));
  }
  for (const Unit& one : kind.units) {
    if (unit != one.name) continue;
    Value value;
    value.number = amount * one.factor;
    constexpr double kTolerance = 1e-9;  // values such as 0.1% have no exact binary representation
    if (value.number < min * (1 - kTolerance) - kTolerance * (min == 0))
      return invalid(in_backticks(raw) + " is too little: " + with_unit(min, kind.units) + " at least");
    if (value.number > max * (1 + kTolerance))
      return invalid(in_backticks(raw) + " is too much: " + with_unit(max, kind.units) + " at most");
    return value;
  }
  std::string suggestion;
  for (const Unit& one : kind.units) {
    std::string name = to_lower(one.name), written = to_lower(unit);
    // Common spellings of the unit, such as KB or kb for KiB and sec or S for s.
    if (name == written || (name.size() == 3 && written == std::string{name[0], name[2]}) ||
        (name == "s" &&
         (written == "sec" || written == "secs" || written == "second" || written == "seconds")) ||
        (name == "ms" && written == "msec") || (name == "min" && (written == "m" || written == "minutes")) ||
        (name == "/s" && (written == "rps" || written == "/sec" || written == "/second")))
      suggestion = "write " + std::string(number) + one.name;
  }
  return invalid("`" + std::string(unit.substr(0, 20)) + "` is no unit here: this has to be " + expected,
                 suggestion);
}

Value read_number(ValueType type, std::string_view raw, double min, double max) {
  Value value;
  auto [end, error] =
      std::from_chars(raw.data(), raw.data() + raw.size(), value.number, std::chars_format::fixed);
  bool whole = type != ValueType::Count || value.number == std::floor(value.number);
  if (error != std::errc() || end != raw.data() + raw.size() || !std::isfinite(value.number) || !whole)
    return invalid(in_backticks(raw) + (type == ValueType::Count ? " is no whole number" : " is no number") +
                   (value.number > 0 && whole && end != raw.data() ? ": nothing may come behind it" : ""));
  if (value.number < min) return invalid(in_backticks(raw) + " is too little: " + decimal(min) + " at least");
  if (value.number > max) return invalid(in_backticks(raw) + " is too much: " + decimal(max) + " at most");
  return value;
}

Value read_choice(std::string_view raw, const char* what, const std::vector<std::string>& words) {
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (raw != words[i]) continue;
    Value value;
    value.number = double(i), value.text = words[i];
    return value;
  }
  std::string all;
  for (std::size_t i = 0; i < words.size(); ++i)
    all += (i == 0 ? "" : i + 1 == words.size() ? " or " : ", ") + words[i];
  std::string suggestion = site::closest_name(to_lower(raw), words);
  for (const std::string& word : words) {
    if (to_lower(raw) == word) suggestion = word;
  }
  return invalid(in_backticks(raw) + " is no " + what + ": " + all,
                 suggestion.empty() ? "" : "did you mean `" + suggestion + "`?");
}

Value read_address(std::string_view raw) {
  std::size_t colon = raw.rfind(':');
  std::string form = ": an address is an IP and a port, as 127.0.0.1:5001 or [::1]:5001";
  if (colon == std::string_view::npos || (raw.starts_with('[') && raw.ends_with(']')))
    return invalid(in_backticks(raw) + " has no port" + form);
  std::string host(raw.substr(0, colon));
  std::string_view port = raw.substr(colon + 1);
  int number = 0;
  auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error != std::errc() || end != port.data() + port.size() || number < 1 || number > 65535)
    return invalid(in_backticks(port) + " is no port: 1 to 65535");
  std::array<unsigned char, 16> parsed{};
  bool is_ipv6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (is_ipv6) host = host.substr(1, host.size() - 2);
  if (host == "localhost")
    return invalid("`localhost` is a name" + form, "write 127.0.0.1:" + std::string(port));
  if (inet_pton(is_ipv6 ? AF_INET6 : AF_INET, host.c_str(), parsed.data()) != 1)
    return invalid(in_backticks(host) + " is no IP address" + form);
  Value value;
  value.text = std::string(raw);
  return value;
}

}  // namespace

std::string to_lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) c = c >= 'A' && c <= 'Z' ? char(c + 32) : c;
  return out;
}

bool is_name(std::string_view word) {
  auto is_letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; };
  if (word.empty() || word.size() > 64) return false;
  if (!is_letter(word.front()) && !(word.front() >= '0' && word.front() <= '9')) return false;
  return std::all_of(word.begin(), word.end(),
                     [&](char c) { return is_letter(c) || (c >= '0' && c <= '9') || c == '-' || c == '.'; });
}

bool is_token(std::string_view word) {
  return !word.empty() && std::all_of(word.begin(), word.end(), [](char c) {
    return (c >= '0' && c <= '9') || ((c | 32) >= 'a' && (c | 32) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

std::string path_error(std::string_view path) {
  if (!path.starts_with('/')) return "a path begins with `/`";
  for (char c : path) {
    if (static_cast<unsigned char>(c) <= 0x20 || static_cast<unsigned char>(c) >= 0x7f)
      return "a path has no blanks and no letters but ASCII: others are written as %C3%A9";
  }
  if (path.find_first_of("?#") != std::string_view::npos) return "a path ends before its `?` or `#`";
  if (std::size_t(std::count(path.begin(), path.end(), '/')) > site::kMaxPathSegments)
    return "a path has " + std::to_string(site::kMaxPathSegments) + " parts at most";
  for (std::size_t from = 1; from <= path.size();) {
    std::size_t to = std::min(path.find('/', from), path.size());
    std::string_view part = path.substr(from, to - from);
    if (part == "." || part == "..") return "a path doesn't climb: no `.` and `..`";
    from = to + 1;
  }
  return "";
}

std::string host_error(std::string_view host) {
  if (host.starts_with("*.")) host.remove_prefix(2);
  if (host.find('*') != std::string_view::npos)
    return "a `*` only stands for the first part, as in *.example.org";
  if (host.find(':') != std::string_view::npos) return "a host is written without its port";
  if (host.empty() || host.size() > 253 || host.front() == '.' || host.back() == '.' ||
      host.find("..") != std::string_view::npos)
    return "this is no host, as www.example.org";
  bool plain = std::all_of(host.begin(), host.end(), [](char c) {
    return (c >= '0' && c <= '9') || ((c | 32) >= 'a' && (c | 32) <= 'z') || c == '-' || c == '.' || c == '_';
  });
  return plain ? "" : "this is no host, as www.example.org";
}

Value read_value(ValueType type, std::string_view raw, bool quoted, double min, double max) {
  Value value;
  if (quoted && type != ValueType::Text && type != ValueType::Name)
    return invalid(in_backticks(raw) + " is a text: this is written without quotes", "write " + unquote(raw));
  switch (type) {
    case ValueType::TimeOrOff:
      if (raw == "off") return value;
      [[fallthrough]];
    case ValueType::Time:
    case ValueType::Share:
    case ValueType::Rate:
    case ValueType::Size: return read_quantity(type, raw, min, max);
    case ValueType::Count:
    case ValueType::Number: return read_number(type, raw, min, max);
    case ValueType::Switch: return read_choice(raw, "switch", {"off", "on"});
    case ValueType::Kind: return read_choice(raw, "kind", {"read-like", "tagged", "mutating"});
    case ValueType::Group: return read_choice(raw, "group", {"all", "zone", "cell"});
    case ValueType::Address: return read_address(raw);
    case ValueType::Name:
      value.text = unquote(raw);
      if (!is_name(value.text))
        return invalid(in_backticks(raw) + " is no name: letters, digits, `-`, `.` and `_`, 64 at most");
      return value;
    case ValueType::Text: value.text = unquote(raw); return value;
  }
  return value;
}

}  // namespace puffinvane::language
