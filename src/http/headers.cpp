#include "src/http/headers.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace puffinvane {
namespace {

bool parse_number(std::string_view text, double& value) {
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
  const double unit = value.ends_with('m') ? 1e-3 : value.ends_with('u') ? 1e-6 : 0;
  double count = 0;
  if (unit == 0 || !parse_number(value.substr(0, value.size() - 1), count) || count < 0) return {};
  return std::min(count * unit, 3600.0);  // longer than any client timeout, and safe to add to any clock
}

std::optional<double> remaining_deadline_of(const HttpMessage& request, double max_seconds) {
  const int occurrences = request.header_count("X-Time-Left");
  if (occurrences == 0) return max_seconds;
  const std::optional<double> seconds = parse_remaining_deadline(request.header("X-Time-Left"));
  if (!seconds || occurrences > 1) return {};
  // Without the limit a request that claims a year would stay pending for a year.
  return std::min(max_seconds, *seconds);
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
// Calls handle(name, value) for each pair of "name=value,name=value"; items without '=' are skipped.
template <typename Handle>
void for_each_pair(std::string_view value, Handle handle) {
  while (!value.empty()) {
    const std::size_t comma = std::min(value.find(','), value.size());
    const std::size_t equals = value.find('=');
    if (equals < comma) handle(value.substr(0, equals), value.substr(equals + 1, comma - equals - 1));
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
}
}  // namespace

Load parse_load(std::string_view value) {
  Load load;
  int best = 4;  // index in kDepthNames of the name that load.depth came from
  for_each_pair(value, [&](std::string_view name, std::string_view text) {
    double number = 0;
    if (!parse_number(text, number) || number < 0) return;
    // Best first: requests in progress describe the load better than queued ones. Each has two names, that of
    // the settings and that of the wire.
    static constexpr std::string_view kDepthNames[] = {"inflight", "busy_reqs", "queue", "pending"};
    for (int i = 0; i < best; ++i) {
      if (name == kDepthNames[i]) {
        load.depth = number;
        best = i;
      }
    }
    if (name == "qps" || name == "served_ps") load.requests_per_s = number;
    if (name == "util" || name == "cpu_share") load.cpu_utilization = std::min(number, 1.0);
  });
  return load;
}

RequestFacts parse_request_facts(std::string_view value) {
  RequestFacts facts;
  for_each_pair(value, [&](std::string_view name, std::string_view text) {
    double number = 0;
    if (name == "key" || name == "NameKey") facts.key = text;
    if ((name == "hint" || name == "SizeHintS") && parse_number(text, number) && number > 0)
      facts.work = number;
  });
  return facts;
}

Outcome outcome_of(const HttpMessage& response) {
  if (response.status == 200) return Outcome::Delivered;
  // Only X-Unprocessed proves that the request did not run: a 503 alone may have come from a server behind
  // the endpoint.
  const bool is_unprocessed =
      (response.status == 503 || response.status == 504) && response.header("X-Unprocessed") == "1";
  return is_unprocessed ? Outcome::Refused : Outcome::Failed;
}

Outcome outcome_of_any_status(const HttpMessage& response) {
  return response.status < 500 ? Outcome::Delivered : outcome_of(response);
}

Outcome outcome_of_disconnect(bool written) { return written ? Outcome::Broken : Outcome::ConnectFailed; }

}  // namespace puffinvane
