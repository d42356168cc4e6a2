#include "src/admin/telemetry.h"

namespace puffinvane {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

void write_header(std::string& text, std::string_view name, std::string_view type, std::string_view help) {
  text.append("# HELP sidecar_").append(name).append(" ").append(help);
  text.append("\n# TYPE sidecar_").append(name).append(" ").append(type).append("\n");
}

std::string escape_label(std::string_view value) {
  std::string escaped;
  for (char each : value) {
    if (each == '\n') escaped += "\\n";
    else if (each == '"' || each == '\\') (escaped += '\\') += each;
    else escaped += each;
  }
  return escaped;
}

void write_metric(std::string& text, std::string_view name, std::string_view type, std::string_view help,
                  std::uint64_t value) {
  write_header(text, name, type, help);
  text.append("sidecar_").append(name).append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string write_telemetry(const std::vector<RequestClass>& request_classes, const RequestCounters& counters,
                            const CurrentCounts& current, std::uint64_t dropped_log_lines) {
  struct Counter {
    std::string_view name, help;
    RequestOutcome outcome;
  };
  static constexpr Counter kCounters[] = {
      {"answered_total", "Visits delivered, by path prefix.", RequestOutcome::Delivered},
      {"deferred_total", "Visits bounced, by path prefix: trying again does no harm.",
       RequestOutcome::Rejected},
      {"errored_total", "Visits errored, by path prefix: they may have run.", RequestOutcome::Failed}};
  std::string text;
  for (const Counter& counter : kCounters) {
    write_header(text, counter.name, "counter", counter.help);
    for (std::size_t i = 0; i < request_classes.size(); ++i) {
      text.append("sidecar_")
          .append(counter.name)
          .append("{group=\"")
          .append(escape_label(request_classes[i].name));
      text.append("\"} ").append(std::to_string(counters.count(i, counter.outcome))).append("\n");
    }
  }
  write_metric(text, "sends_total", "counter", "Backend fetches written whole to endpoints.",
               counters.attempts_sent());
  write_metric(text, "current", "gauge", "Visits taken and not ended.", current.active_requests);
  write_metric(text, "cluster_size", "gauge", "Endpoints in the list.", current.endpoints);
  write_metric(text, "cluster_unhealthy", "gauge", "Listed endpoints avoided now, by order or by choice.",
               current.avoided_endpoints);
  write_metric(text, "log_lines_dropped_total", "counter",
               "Log lines that were dropped because the log's reader did not take them.", dropped_log_lines);
  write_metric(text, "list_index", "gauge", "Index of the endpoint list in force.",
               std::uint64_t(current.list_index));
  write_metric(text, "discovery_answer_age_milliseconds", "gauge", "Time since discovery last answered.",
               std::uint64_t(current.discovery.answer_age_s * kMillisecondsPerSecond));
  write_metric(text, "discovery_calls_unanswered_total", "counter",
               "Calls to discovery that were not answered or not connected in time.",
               current.discovery.unanswered_calls);
  write_metric(text, "buffer_bytes", "gauge", "Memory that buffers and heads of requests need now.",
               current.buffer_bytes);
  write_metric(text, "partial_requests_rejected_total", "counter",
               "Requests rejected half way because memory was short.", current.requests_rejected_for_memory);
  return text;
}

std::string write_telemetry(const std::vector<fleet::Fleet::Metric>& figures) {
  std::string text;
  for (const auto& one : figures)
    write_metric(text, std::string("fleet_") + one.name, one.type, one.help, one.value);
  return text;
}

}  // namespace puffinvane
