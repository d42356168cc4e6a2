#include "src/http/headers.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace puffinvane {
namespace {

bool number(std::string_view text, double& value) {
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  return error == std::errc() && end == text.data() + text.size() && std::isfinite(value);
}

}  // namespace

std::string_view request_class_of(std::string_view target) {
  target.remove_prefix(std::min<std::size_t>(1, target.size()));
  return target.substr(0, target.find_first_of("/?"));
}

std::optional<double> parse_remaining_deadline(std::string_view value) {
  double units = value.ends_with('m') ? 1e-3 : value.ends_with('u') ? 1e-6 : 0, count = 0;
  if (units == 0 || !number(value.substr(0, value.size() - 1), count) || count < 0) return {};
  return std::min(count * units, 3600.0);  // an hour outlasts any client timeout and any clock sum
}

std::optional<double> remaining_deadline_of(const HttpMessage& request, double most) {
  int given = request.header_count("X-Time-Left");
  if (given == 0) return most;
  std::optional<double> read = parse_remaining_deadline(request.header("X-Time-Left"));
  if (!read || given > 1) return {};
  // No client waits longer than its request class lets it: a request of a year would be kept for as long.
  return std::min(most, *read);
}

std::string format_remaining_deadline(double seconds) {
  return std::to_string(std::int64_t(std::max(0.0, seconds) * 1e6)) + "u";
}

std::string format_retry_after(double seconds) {
  char buffer[32];
  auto end = std::to_chars(buffer, buffer + sizeof buffer, seconds, std::chars_format::fixed, 3).ptr;
  return {buffer, end};
}

namespace {
// "name=value,name=value"; what lacks either is passed over.
template <typename Take>
void each_pair(std::string_view value, Take take) {
  while (!value.empty()) {
    std::size_t comma = std::min(value.find(','), value.size()), equals = value.find('=');
    if (equals < comma) take(value.substr(0, equals), value.substr(equals + 1, comma - equals - 1));
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
}
}  // namespace

Load parse_load(std::string_view value) {
  Load load;
  int best = 4;
  each_pair(value, [&](std::string_view name, std::string_view said) {
    double figure = 0;
    if (!number(said, figure) || figure < 0) return;
    // What is in hand says more of depth than what waits; the settings' names and the wire's are both met.
    static constexpr std::string_view kDepths[] = {"inflight", "busy_reqs", "queue", "pending"};
    for (int i = 0; i < best; ++i) {
      if (name == kDepths[i]) load.depth = figure, best = i;
    }
    if (name == "qps" || name == "served_ps") load.requests_per_s = figure;
    if (name == "util" || name == "cpu_share") load.cpu_utilization = std::min(figure, 1.0);
  });
  return load;
}

RequestFacts parse_request_facts(std::string_view value) {
  RequestFacts facts;
  each_pair(value, [&](std::string_view name, std::string_view said) {
    double figure = 0;
    if (name == "key" || name == "NameKey") facts.key = said;
    if ((name == "hint" || name == "SizeHintS") && number(said, figure) && figure > 0) facts.work = figure;
  });
  return facts;
}

Outcome outcome_of(const HttpMessage& answer) {
  if (answer.status == 200) return Outcome::Delivered;
  // Only the endpoint's own word proves that nothing ran: a bare 503 may come from behind it.
  bool turned_away = (answer.status == 503 || answer.status == 504) && answer.header("X-Unprocessed") == "1";
  return turned_away ? Outcome::Refused : Outcome::Failed;
}

Outcome outcome_of_any_status(const HttpMessage& answer) {
  return answer.status < 500 ? Outcome::Delivered : outcome_of(answer);
}

Outcome outcome_of_disconnect(bool written) { return written ? Outcome::Broken : Outcome::ConnectFailed; }

}  // namespace puffinvane
