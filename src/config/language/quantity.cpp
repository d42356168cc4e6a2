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
  double worth;
};
constexpr std::array<Unit, 5> kTimes{{{"ms", 1e-3}, {"s", 1}, {"min", 60}, {"h", 3600}, {"us", 1e-6}}};
constexpr std::array<Unit, 2> kRates{{{"/s", 1}, {"/min", 1.0 / 60}}};
constexpr std::array<Unit, 1> kShares{{{"%", 0.01}}};
constexpr std::array<Unit, 4> kSizes{{{"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}, {"B", 1}}};

struct Measure {
  const char* what;
  const char* example;
  std::span<const Unit> units;
};

Measure measure_of(ValueType type) {
  switch (type) {
    case ValueType::Share: return {"a share", "64%", kShares};
    case ValueType::Rate: return {"a rate", "170/s", kRates};
    case ValueType::Size: return {"a size", "64KiB", kSizes};
    default: return {"a time", "750ms", kTimes};
  }
}

std::string plain(double value) {
  std::array<char, 32> digits{};
  auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::general, 6).ptr;
  return std::string(digits.data(), end);
}

// As it is best read: in the largest unit that leaves at least one.
std::string shown(double value, std::span<const Unit> units) {
  const Unit* best = nullptr;
  for (const Unit& unit : units) {
    if (value >= unit.worth && (!best || unit.worth > best->worth)) best = &unit;
  }
  if (!best) best = &units.front();
  return plain(value / best->worth) + best->name;
}

Value wrong(std::string text, std::string fix = "") {
  Value value;
  value.error = std::move(text), value.fix = std::move(fix);
  return value;
}

std::string ticked(std::string_view word) {
  constexpr std::size_t kMost = 60;
  if (word.size() > kMost) return "`" + std::string(word.substr(0, kMost)) + "...`";
  return "`" + std::string(word) + "`";
}

// What may stand without a unit or with one that is none: the ways to mend it that stay within the bounds.
std::string mend(double number, std::string_view digits, const Measure& measure, double least, double most) {
  std::string fix;
  for (const Unit& unit : measure.units) {
    double value = number * unit.worth;
    if (value < least || value > most || (measure.units.size() > 4 && unit.worth != 1 && unit.worth != 1e-3))
      continue;
    fix += (fix.empty() ? "write " : " or ") + std::string(digits) + unit.name;
  }
  return fix;
}

Value quantity(ValueType type, std::string_view raw, double least, double most) {
  Measure measure = measure_of(type);
  std::size_t digits = 0;
  while (digits < raw.size() && ((raw[digits] >= '0' && raw[digits] <= '9') || raw[digits] == '.')) ++digits;
  std::string_view number = raw.substr(0, digits), unit = raw.substr(digits);
  double figure = 0;
  auto [end, error] =
      std::from_chars(number.data(), number.data() + number.size(), figure, std::chars_format::fixed);
  std::string an = std::string(measure.what) + ", as " + measure.example;
  if (number.empty() || error != std::errc() || end != number.data() + number.size() ||
      number.back() == '.') {
    if (raw.starts_with('-')) return wrong(ticked(raw) + " is below nothing: this has to be " + an);
    return wrong(ticked(raw) + " is no quantity: this has to be " + an);
  }
  if (unit.empty()) {
    std::string units;
    for (const Unit& one : measure.units) units += (units.empty() ? "" : ", ") + std::string(one.name);
    return wrong(ticked(raw) + " has no unit: " + measure.what + " needs one of " + units,
                 mend(figure, number, measure, least, most));
  }
  for (const Unit& one : measure.units) {
    if (unit != one.name) continue;
    Value value;
    value.number = figure * one.worth;
    constexpr double kNear = 1e-9;  // 0.1% and the like are no whole numbers of anything
    if (value.number < least * (1 - kNear) - kNear * (least == 0))
      return wrong(ticked(raw) + " is too little: " + shown(least, measure.units) + " at least");
    if (value.number > most * (1 + kNear))
      return wrong(ticked(raw) + " is too much: " + shown(most, measure.units) + " at most");
    return value;
  }
  std::string meant;
  for (const Unit& one : measure.units) {
    std::string name = to_lower(one.name), said = to_lower(unit);
    // KB for KiB, kb, sec, S.
    if (name == said || (name.size() == 3 && said == std::string{name[0], name[2]}) ||
        (name == "s" && (said == "sec" || said == "secs" || said == "second" || said == "seconds")) ||
        (name == "ms" && said == "msec") || (name == "min" && (said == "m" || said == "minutes")) ||
        (name == "/s" && (said == "rps" || said == "/sec" || said == "/second")))
      meant = "write " + std::string(number) + one.name;
  }
  return wrong("`" + std::string(unit.substr(0, 20)) + "` is no unit here: this has to be " + an, meant);
}

Value figure(ValueType type, std::string_view raw, double least, double most) {
  Value value;
  auto [end, error] =
      std::from_chars(raw.data(), raw.data() + raw.size(), value.number, std::chars_format::fixed);
  bool whole = type != ValueType::Count || value.number == std::floor(value.number);
  if (error != std::errc() || end != raw.data() + raw.size() || !std::isfinite(value.number) || !whole)
    return wrong(ticked(raw) + (type == ValueType::Count ? " is no whole number" : " is no number") +
                 (value.number > 0 && whole && end != raw.data() ? ": nothing may come behind it" : ""));
  if (value.number < least) return wrong(ticked(raw) + " is too little: " + plain(least) + " at least");
  if (value.number > most) return wrong(ticked(raw) + " is too much: " + plain(most) + " at most");
  return value;
}

Value choice(std::string_view raw, const char* what, const std::vector<std::string>& words) {
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (raw != words[i]) continue;
    Value value;
    value.number = double(i), value.text = words[i];
    return value;
  }
  std::string all;
  for (std::size_t i = 0; i < words.size(); ++i)
    all += (i == 0 ? "" : i + 1 == words.size() ? " or " : ", ") + words[i];
  std::string meant = site::closest_name(to_lower(raw), words);
  for (const std::string& word : words) {
    if (to_lower(raw) == word) meant = word;
  }
  return wrong(ticked(raw) + " is no " + what + ": " + all,
               meant.empty() ? "" : "did you mean `" + meant + "`?");
}

Value address(std::string_view raw) {
  std::size_t colon = raw.rfind(':');
  std::string form = ": an address is an IP and a port, as 127.0.0.1:5001 or [::1]:5001";
  if (colon == std::string_view::npos || (raw.starts_with('[') && raw.ends_with(']')))
    return wrong(ticked(raw) + " has no port" + form);
  std::string host(raw.substr(0, colon));
  std::string_view port = raw.substr(colon + 1);
  int number = 0;
  auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error != std::errc() || end != port.data() + port.size() || number < 1 || number > 65535)
    return wrong(ticked(port) + " is no port: 1 to 65535");
  std::array<unsigned char, 16> ignored{};
  bool six = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (six) host = host.substr(1, host.size() - 2);
  if (host == "localhost")
    return wrong("`localhost` is a name" + form, "write 127.0.0.1:" + std::string(port));
  if (inet_pton(six ? AF_INET6 : AF_INET, host.c_str(), ignored.data()) != 1)
    return wrong(ticked(host) + " is no IP address" + form);
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
  auto letter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; };
  if (word.empty() || word.size() > 64) return false;
  if (!letter(word.front()) && !(word.front() >= '0' && word.front() <= '9')) return false;
  return std::all_of(word.begin(), word.end(),
                     [&](char c) { return letter(c) || (c >= '0' && c <= '9') || c == '-' || c == '.'; });
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

Value read_value(ValueType type, std::string_view raw, bool quoted, double least, double most) {
  Value value;
  if (quoted && type != ValueType::Text && type != ValueType::Name)
    return wrong(ticked(raw) + " is a text: this is written without quotes", "write " + unquote(raw));
  switch (type) {
    case ValueType::TimeOrOff:
      if (raw == "off") return value;
      [[fallthrough]];
    case ValueType::Time:
    case ValueType::Share:
    case ValueType::Rate:
    case ValueType::Size: return quantity(type, raw, least, most);
    case ValueType::Count:
    case ValueType::Number: return figure(type, raw, least, most);
    case ValueType::Switch: return choice(raw, "switch", {"off", "on"});
    case ValueType::Kind: return choice(raw, "kind", {"read-like", "tagged", "mutating"});
    case ValueType::Group: return choice(raw, "group", {"all", "zone", "cell"});
    case ValueType::Address: return address(raw);
    case ValueType::Name:
      value.text = unquote(raw);
      if (!is_name(value.text))
        return wrong(ticked(raw) + " is no name: letters, digits, `-`, `.` and `_`, 64 at most");
      return value;
    case ValueType::Text: value.text = unquote(raw); return value;
  }
  return value;
}

}  // namespace puffinvane::language
