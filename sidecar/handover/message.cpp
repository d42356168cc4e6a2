#include "sidecar/handover/message.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace puffinvane {

namespace {

using nlohmann::json;

constexpr std::size_t kEntriesAPacket = 400;
constexpr std::string_view kWords[] = {"listing", "ordered", "door", "caller", "whole", "serving"};

json head(Told::What what) { return {{"format", kHandoverFormat}, {"say", kWords[std::size_t(what)]}}; }

std::string text(const json& packet) { return packet.dump(-1, ' ', false, json::error_handler_t::replace); }

const char* status_of(Listed state) {
  return state == Listed::Ready ? "active" : state == Listed::Draining ? "leaving" : "left";
}

}  // namespace

std::vector<std::string> write_listing(const EndpointList& list, double clock_offset) {
  std::vector<std::string> packets;
  for (std::size_t from = 0; from < std::max<std::size_t>(1, list.entries.size()); from += kEntriesAPacket) {
    json entries = json::array();
    for (std::size_t i = from; i < std::min(list.entries.size(), from + kEntriesAPacket); ++i) {
      const ListEntry& one = list.entries[i];
      double since = one.online_since > 0 ? std::round((one.online_since + clock_offset) * 1000) : 0;
      entries.push_back({{"name", one.endpoint},
                         {"address", list.addresses[i]},
                         {"zone", one.zone},
                         {"group", one.cell},
                         {"status", status_of(one.state)},
                         {"weight", one.units},
                         {"since_ms", since}});
    }
    json packet = head(Told::What::Listing);
    packet["list"] = {{"index", list.index}, {"snapshot", from == 0}, {"endpoints", std::move(entries)}};
    packets.push_back(text(packet));
  }
  return packets;
}

std::string write_orders(const Orders& orders) {
  json packet = head(Told::What::Ordered), out = json::object();
  for (const auto& [name, since] : orders.out) out[name] = since;
  packet["out"] = std::move(out);
  if (orders.drains_since) packet["drains_since"] = *orders.drains_since;
  return text(packet);
}

std::string write_door() { return text(head(Told::What::Door)); }
std::string write_whole() { return text(head(Told::What::Whole)); }
std::string write_serving() { return text(head(Told::What::Serving)); }
std::string write_caller(bool asked) {
  json packet = head(Told::What::Caller);
  packet["asked"] = asked;
  return text(packet);
}

std::optional<Told> read_told(std::string_view packet, double clock_offset) {
  simdjson::dom::parser parser;
  simdjson::dom::element said;
  simdjson::padded_string padded(packet);
  std::int64_t format = 0;
  std::string_view word;
  if (parser.parse(padded).get(said) || said["format"].get(format) || format != kHandoverFormat ||
      said["say"].get(word))
    return {};
  Told told;
  auto known = std::find(std::begin(kWords), std::end(kWords), word);
  if (known == std::end(kWords)) return {};
  told.what = Told::What(known - std::begin(kWords));
  if (told.what == Told::What::Listing) {
    simdjson::dom::element list;
    if (said["list"].get(list)) return {};
    try {
      told.list = read_list(list, clock_offset);
    } catch (const Malformed&) {
      return {};
    }
  } else if (told.what == Told::What::Ordered) {
    simdjson::dom::object out;
    if (said["out"].get(out)) return {};
    for (auto [name, since] : out) {
      double at = 0;
      if (since.get(at)) return {};
      told.orders.out.emplace(name, at);
    }
    double since = 0;
    if (!said["drains_since"].get(since)) told.orders.drains_since = since;
  } else if (told.what == Told::What::Caller && said["asked"].get(told.asked)) {
    return {};
  }
  return told;
}

}  // namespace puffinvane
