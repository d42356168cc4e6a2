#include "src/discovery/discovery.h"

#include <algorithm>
#include <ctime>

namespace puffinvane {

using simdjson::dom::element;

namespace {

std::string text(element entry, std::string_view key, bool needed) {
  std::string_view found;
  if (entry[key].get(found) && needed) throw Malformed("a list entry lacks " + std::string(key));
  return std::string(found);
}

double number(element entry, std::string_view key, double fallback) {
  double found;
  return entry[key].get(found) ? fallback : found;
}

}  // namespace

EndpointList read_list(element list) {
  EndpointList read;
  simdjson::dom::array entries;
  if (list["index"].get(read.index)) throw Malformed("a list has no index");
  if (list["endpoints"].get(entries)) throw Malformed("a list has no endpoints");
  if (list["snapshot"].get(read.whole)) read.whole = false;
  for (element one : entries) {
    ListEntry entry;
    entry.endpoint = text(one, "name", true);
    entry.zone = text(one, "zone", false);
    std::string status = text(one, "status", true);
    if (status != "active" && status != "leaving" && status != "left")
      throw Malformed("a list entry has the unknown status " + status);
    entry.state = status == "active"    ? ListedState::Ready
                  : status == "leaving" ? ListedState::Draining
                                        : ListedState::Removed;
    if (one["group"].get(entry.cell)) entry.cell = 0;
    entry.weight = number(one, "weight", 1);
    if (!(entry.weight > 0)) entry.weight = 1;
    read.since_ms.push_back(std::max(0.0, number(one, "since_ms", 0)));
    read.addresses.push_back(text(one, "address", entry.state != ListedState::Removed));
    read.entries.push_back(std::move(entry));
  }
  return read;
}

EndpointList ListReader::read(std::string_view line) {
  simdjson::dom::parser large;
  element list;
  simdjson::dom::parser& parser = line.size() > kKept ? large : parser_;
  if (auto fault = parser.parse(line.data(), line.size()).get(list))
    throw Malformed(std::string("not JSON: ") + simdjson::error_message(fault));
  return read_list(list);
}

std::optional<double> read_date(std::string_view date) {
  std::string text(date);
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  if (!end || *end != '\0') return std::nullopt;
  return double(timegm(&parts));
}

EndpointList read_list(std::string_view line) { return ListReader().read(line); }

bool Lines::next(std::string& line) {
  for (; seen_ < held_.size(); ++seen_) {
    char one = held_[seen_];
    if (one == '\n') {
      broken_off_ = depth_ > 0 && !quoted_;  // no text goes over a line's end
      if (broken_off_) continue;
      line = held_.substr(0, seen_);
      held_.erase(0, seen_ + 1);
      seen_ = 0, depth_ = 0, quoted_ = escaped_ = false;
      return true;
    }
    if (escaped_) escaped_ = false;
    else if (one == '\\') escaped_ = quoted_;
    else if (one == '"') quoted_ = !quoted_;
    else if (!quoted_ && (one == '{' || one == '[')) ++depth_;
    else if (!quoted_ && (one == '}' || one == ']')) --depth_;
  }
  return false;
}

}  // namespace puffinvane
