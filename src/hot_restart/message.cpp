#include "src/hot_restart/message.h"

#include <nlohmann/json.hpp>

namespace puffinvane {

namespace {

using nlohmann::json;

// Says in a packet of what was learned that endpoints' starts are on the monotonic clock. An earlier build
// told them in Unix time, and can't match what it is told here: it learns those endpoints anew, as is done
// here with its.
constexpr const char *kClock = "clock", *kMonotonic = "monotonic";
// What a packet is filled up to: lists may have any length, and few packets fit into a socket at a time.
constexpr std::size_t kFill = 48 * 1024;
constexpr std::size_t kMostSamples = 1000, kMostAnswers = 64;  // no module keeps more
constexpr std::string_view kWords[] = {"listing", "ordered", "door", "caller", "whole", "serving", "learned"};

json head(ControlMessage::What what) {
  return {{"format", kHandoverFormat}, {"say", kWords[std::size_t(what)]}};
}

std::string text(const json& packet) { return packet.dump(-1, ' ', false, json::error_handler_t::replace); }

const char* status_of(ListedState state) {
  return state == ListedState::Ready ? "active" : state == ListedState::Draining ? "leaving" : "left";
}

json written(const EndpointStatistics& statistics) {
  json answers = json::array();
  for (const ResponseSample& one : statistics.samples)
    answers.push_back(
        json::array({one.completed_at_s, one.latency_ratio, one.depth, one.in_time, one.failed}));
  return json::array({int(statistics.health), statistics.ejection_s, statistics.ejected_until_s,
                      statistics.last_response_s, statistics.recovery_limit, std::move(answers)});
}

using Element = simdjson::dom::element;

template <typename T>
T value(Element from) {
  T found{};
  if (from.get(found)) throw Malformed("a value of another kind");
  return found;
}
simdjson::dom::array fields(Element from, std::size_t count) {
  auto found = value<simdjson::dom::array>(from);
  if (found.size() != count) throw Malformed("fields are missing");
  return found;
}
std::deque<double> samples(Element from) {
  std::deque<double> read;
  for (Element one : value<simdjson::dom::array>(from)) read.push_back(value<double>(one));
  if (read.size() > kMostSamples) throw Malformed("more samples than any module keeps");
  return read;
}
int whole(Element from, int least, int most) {
  auto found = value<std::int64_t>(from);
  if (found < least || found > most) throw Malformed("a number out of its bounds");
  return int(found);
}

EndpointStatistics read_statistics(Element from) {
  auto parsed = fields(from, 6);
  EndpointStatistics statistics;
  statistics.health = Health(whole(parsed.at(0).value(), 0, int(Health::Recovering)));
  statistics.ejection_s = value<double>(parsed.at(1).value()),
  statistics.ejected_until_s = value<double>(parsed.at(2).value());
  statistics.last_response_s = value<double>(parsed.at(3).value());
  statistics.recovery_limit = whole(parsed.at(4).value(), 0, 1 << 20);
  for (Element each : value<simdjson::dom::array>(parsed.at(5).value())) {
    auto answer = fields(each, 5);
    statistics.samples.push_back({value<double>(answer.at(0).value()), value<double>(answer.at(1).value()),
                                  whole(answer.at(2).value(), 0, 1 << 20), value<bool>(answer.at(3).value()),
                                  value<bool>(answer.at(4).value())});
  }
  if (statistics.samples.size() > kMostAnswers || statistics.ejection_s < 0)
    throw Malformed("a repute out of its bounds");
  return statistics;
}

LearnedState read_learned(Element parsed) {
  LearnedState learned;
  std::string_view clock;
  bool timed = !parsed[kClock].get(clock) && clock == kMonotonic;
  learned.lateness = samples(parsed["late"].value()),
  learned.completion_rates = samples(parsed["rates"].value());
  learned.started_at_s = value<double>(parsed["started"].value());
  for (Element each : value<simdjson::dom::array>(parsed["prefixes"].value())) {
    auto request_class = fields(each, 3);
    learned.classes.push_back({std::string(value<std::string_view>(request_class.at(0).value())),
                               samples(request_class.at(1).value()), samples(request_class.at(2).value())});
    if (learned.classes.back().latencies.empty() && !learned.classes.back().means.empty())
      throw Malformed("means of nothing");
  }
  for (Element each : value<simdjson::dom::array>(parsed["endpoints"].value())) {
    auto one = fields(each, 4);
    auto since = value<double>(one.at(1).value());
    if (!timed && since > 0) continue;
    LearnedState::EndpointState read{std::string(value<std::string_view>(one.at(0).value())),
                                     since,
                                     read_statistics(one.at(2).value()),
                                     {}};
    for (Element statistics : value<simdjson::dom::array>(one.at(3).value()))
      read.by_class.push_back(read_statistics(statistics));
    learned.endpoints.push_back(std::move(read));
  }
  return learned;
}

// On the monotonic clock, which discovery's own lists don't tell; nor did an earlier build.
void read_times(Element parsed, EndpointList& list) {
  if (parsed["heard_at"].get(list.received_at_s)) return;
  auto entries = value<simdjson::dom::array>(parsed["endpoints"].value());
  std::size_t at = 0;
  for (Element one : entries) list.entries[at++].online_since_s = value<double>(one["started"].value());
  list.has_start_times = true;
}

}  // namespace

std::string write_learned(const LearnedState& learned, std::size_t& from) {
  json packet = head(ControlMessage::What::Learned), classes = json::array(), endpoints = json::array();
  bool first = from == 0;  // with all that is not one endpoint's
  for (const auto& [name, latencies, means] : learned.classes)
    classes.push_back(
        json::array({name, first ? json(latencies) : json::array(), first ? json(means) : json::array()}));
  for (std::size_t bytes = 0; from < learned.endpoints.size() && bytes < kFill; ++from) {
    const LearnedState::EndpointState& one = learned.endpoints[from];
    json by_class = json::array();
    for (const EndpointStatistics& statistics : one.by_class) by_class.push_back(written(statistics));
    json parsed = json::array({one.name, one.online_since_s, written(one.whole), std::move(by_class)});
    std::size_t size = text(parsed).size();
    if (size > kFill) continue;  // of so many request classes that it would fill a packet alone: learned anew
    endpoints.push_back(std::move(parsed)), bytes += size;
  }
  packet["prefixes"] = std::move(classes), packet["endpoints"] = std::move(endpoints);
  packet["late"] = first ? json(learned.lateness) : json::array();
  packet["rates"] = first ? json(learned.completion_rates) : json::array();
  packet[kClock] = kMonotonic;
  packet["started"] = first ? learned.started_at_s : 0;
  return text(packet);
}

std::vector<std::string> write_listing(const EndpointList& list) {
  std::vector<std::string> packets;
  std::size_t from = 0;
  do {
    json entries = json::array();
    for (std::size_t bytes = 0; from < list.entries.size() && bytes < kFill; ++from) {
      const ListEntry& one = list.entries[from];
      entries.push_back({{"name", one.endpoint},
                         {"address", list.addresses[from]},
                         {"zone", one.zone},
                         {"group", one.cell},
                         {"status", status_of(one.state)},
                         {"weight", one.weight},
                         {"since_ms", list.stated_start_ms[from]},
                         {"started", one.online_since_s}});
      bytes += text(entries.back()).size();
    }
    json packet = head(ControlMessage::What::Listing);
    packet["list"] = {{"index", list.index},
                      {"snapshot", packets.empty()},
                      {"heard_at", list.received_at_s},
                      {"endpoints", std::move(entries)}};
    packets.push_back(text(packet));
  } while (from < list.entries.size());
  return packets;
}

std::string write_overrides(const OperatorOverrides& overrides) {
  json packet = head(ControlMessage::What::Overrides), out = json::object();
  for (const auto& [name, since] : overrides.out) out[name] = since;
  packet["out"] = std::move(out);
  if (overrides.drains_since) packet["drains_since"] = *overrides.drains_since;
  return text(packet);
}

std::string write_listener() { return text(head(ControlMessage::What::Listener)); }
std::string write_whole() { return text(head(ControlMessage::What::Whole)); }
std::string write_serving() { return text(head(ControlMessage::What::Serving)); }
std::string write_connection(bool asked) {
  json packet = head(ControlMessage::What::Connection);
  packet["asked"] = asked;
  return text(packet);
}

std::optional<ControlMessage> read_control_message(std::string_view packet) {
  simdjson::dom::parser parser;
  simdjson::dom::element said;
  simdjson::padded_string padded(packet);
  std::int64_t format = 0;
  std::string_view word;
  if (parser.parse(padded).get(said) || said["format"].get(format) || format != kHandoverFormat ||
      said["say"].get(word))
    return {};
  ControlMessage parsed;
  auto known = std::find(std::begin(kWords), std::end(kWords), word);
  if (known == std::end(kWords)) return {};
  parsed.what = ControlMessage::What(known - std::begin(kWords));
  if (parsed.what == ControlMessage::What::Listing) {
    simdjson::dom::element list;
    if (said["list"].get(list)) return {};
    try {
      parsed.list = read_endpoint_list(list);
      read_times(list, parsed.list);
    } catch (const std::exception&) {
      return {};
    }
  } else if (parsed.what == ControlMessage::What::Overrides) {
    simdjson::dom::object out;
    if (said["out"].get(out)) return {};
    for (auto [name, since] : out) {
      double at = 0;
      if (since.get(at)) return {};
      parsed.overrides.out.emplace(name, at);
    }
    double since = 0;
    if (!said["drains_since"].get(since)) parsed.overrides.drains_since = since;
  } else if (parsed.what == ControlMessage::What::Learned) {
    try {
      parsed.learned = read_learned(said);
    } catch (const std::exception&) {
      parsed.learned = {};  // its successor starts as one that knows nothing
    }
  } else if (parsed.what == ControlMessage::What::Connection && said["asked"].get(parsed.asked)) {
    return {};
  }
  return parsed;
}

}  // namespace puffinvane
