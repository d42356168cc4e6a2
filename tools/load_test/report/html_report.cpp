#include "tools/load_test/report/html_report.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <vector>

namespace load_test {

namespace {

using nlohmann::json;

constexpr double kPlotWidth = 860, kPlotHeight = 180, kLeftMargin = 50, kBottomMargin = 24;

std::string escape_html(const std::string& text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<': out += "&lt;"; break;
      case '>': out += "&gt;"; break;
      case '&': out += "&amp;"; break;
      case '"': out += "&quot;"; break;
      default: out += c;
    }
  }
  return out;
}

std::string format_number(double value, int decimals = 2) {
  char text[32];
  std::snprintf(text, sizeof text, "%.*f", decimals, value);
  return text;
}

struct Curve {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

class Plot {
 public:
  Plot(std::string title, const json& result, double max_value)
      : title_(std::move(title)),
        length_(std::max(0.1, result["length"].get<double>())),
        max_value_(max_value) {
    for (const json& fault : result["faults"]) fault_bands_.push_back(fault);
  }
  std::string draw(const std::vector<Curve>& curves) const {
    static constexpr const char* kColours[] = {"#1f6fb2", "#c8501e", "#2a8c4a",
                                               "#7d4fa8", "#8a6d00", "#b0356a"};
    std::ostringstream out;
    out << "<h3>" << escape_html(title_) << "</h3><svg viewBox='0 0 " << kPlotWidth << " "
        << kPlotHeight + kBottomMargin << "'>";
    for (std::size_t i = 0; i < fault_bands_.size(); ++i) {
      double from = fault_bands_[i]["at"], span = fault_bands_[i]["for"];
      out << "<rect class='band' x='" << x(from) << "' y='0' width='"
          << std::max(1.0, x(std::min(length_, from + span)) - x(from)) << "' height='" << kPlotHeight
          << "'><title>"
          << escape_html(fault_bands_[i]["kind"].get<std::string>() + " " +
                         fault_bands_[i]["on"].get<std::string>())
          << "</title></rect><text class='name' x='" << x(from) + 2 << "' y='" << 10 + 10 * (i % 6) << "'>"
          << escape_html(fault_bands_[i]["kind"].get<std::string>()) << "</text>";
    }
    for (int i = 0; i <= 4; ++i) {
      double value = max_value_ * i / 4;
      out << "<line class='grid' x1='" << kLeftMargin << "' x2='" << kPlotWidth << "' y1='" << y(value)
          << "' y2='" << y(value) << "'/><text x='2' y='" << y(value) + 4 << "'>"
          << format_number(value, max_value_ < 0.5 ? 3 : 2) << "</text>";
    }
    for (int i = 0; i <= 10; ++i)
      out << "<text x='" << x(length_ * i / 10) - 8 << "' y='" << kPlotHeight + 16 << "'>"
          << format_number(length_ * i / 10, 1) << "</text>";
    for (std::size_t i = 0; i < curves.size(); ++i) {
      out << "<polyline fill='none' stroke='" << kColours[i % 6] << "' points='";
      for (const auto& [at, value] : curves[i].points)
        out << x(at) << "," << y(std::min(value, max_value_)) << " ";
      out << "'><title>" << escape_html(curves[i].name) << "</title></polyline>";
    }
    out << "</svg><p class='key'>";
    for (std::size_t i = 0; i < curves.size(); ++i)
      out << "<span style='color:" << kColours[i % 6] << "'>&#9632; " << escape_html(curves[i].name)
          << "</span> ";
    return out.str() + "</p>";
  }

 private:
  double x(double at) const { return kLeftMargin + (kPlotWidth - kLeftMargin) * at / length_; }
  double y(double value) const { return kPlotHeight - (kPlotHeight - 6) * value / max_value_; }
  std::string title_;
  double length_, max_value_;
  std::vector<json> fault_bands_;
};

std::string table(const json& rows, const std::vector<std::pair<std::string, std::string>>& columns) {
  std::ostringstream out;
  out << "<table><tr>";
  for (const auto& [key, heading] : columns) out << "<th>" << escape_html(heading) << "</th>";
  out << "</tr>";
  for (const json& row : rows) {
    out << "<tr>";
    for (const auto& [key, heading] : columns) {
      const json& cell = row[key];
      out << "<td>"
          << (cell.is_number_float() ? format_number(cell, 3)
                                     : escape_html(cell.is_string() ? cell.get<std::string>() : cell.dump()))
          << "</td>";
    }
    out << "</tr>";
  }
  return out.str() + "</table>";
}

}  // namespace

std::string html_report(const json& result) {
  std::ostringstream out;
  std::string title = result["script"].get<std::string>() + ", seed " + result["seed"].dump();
  out << "<!doctype html><html lang='en'><meta charset='utf-8'><title>" << escape_html(title)
      << "</title><style>"
      << "body{font:14px/1.4 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}"
      << "svg{width:100%}svg text{font-size:10px;fill:#555}.grid{stroke:#ddd}.band{fill:#d33;opacity:.10}"
      << "svg .name{fill:#a33;font-size:9px}polyline{stroke-width:1.6}table{border-collapse:collapse}"
      << "td,th{border-bottom:1px solid #ddd;padding:2px 8px;text-align:right}.key span{margin-right:1em}"
      << "pre{background:#f5f5f5;padding:8px;overflow:auto}.broken{color:#b00}</style>";
  out << "<h1>" << escape_html(title) << "</h1><p>" << escape_html(result["title"].get<std::string>())
      << "</p>";
  bool rules_kept = result["rules"] == "kept";
  out << "<p><b class='" << (rules_kept ? "" : "broken")
      << "'>rules: " << escape_html(result["rules"].get<std::string>()) << "</b> &middot; service "
      << format_number(result["service"], 3) << ", worst window " << format_number(result["worst_window"], 3)
      << " &middot; " << result["visits"] << " visits, " << result["delivered"] << " delivered, "
      << result["bounced"] << " bounced, " << result["errored"] << " errored &middot; "
      << format_number(result["fetches_a_visit"], 3) << " fetches a visit, " << result["copies"]
      << " copies</p>";
  Curve service{"service", {}};
  for (const json& window : result["windows"])
    service.points.emplace_back(window["at"].get<double>(), window["service"].get<double>());
  out << Plot("Service by window", result, 1).draw({service});
  Curve p50{"p50", {}}, p99{"p99", {}};
  double max_latency = 0.001;
  for (const json& window : result["latency_windows"]) {
    double at = window["at"].get<double>(), high = window["p99"].get<double>();
    p50.points.emplace_back(at, window["p50"].get<double>());
    p99.points.emplace_back(at, high);
    max_latency = std::max(max_latency, high);
  }
  out << Plot("Latency of delivered visits by window, seconds", result, max_latency).draw({p50, p99});
  double max_value = 0.001;
  std::vector<Curve> loads;
  if (result.contains("loads")) {
    for (const auto& [endpoint, points] : result["loads"].items()) {
      Curve curve{"endpoint " + endpoint, {}};
      for (const json& point : points) {
        curve.points.emplace_back(point[0].get<double>(), point[1].get<double>());
        max_value = std::max(max_value, point[1].get<double>());
      }
      loads.push_back(curve);
    }
  }
  out << Plot("Work sent, by endpoint (seconds of a core in a second)", result, max_value).draw(loads);
  if (result.contains("latency_by_prefix")) {
    json rows = json::array();
    for (const auto& [name, latency] : result["latency_by_prefix"].items()) {
      json row = latency;
      row["name"] = name;
      row["service"] = result["service_by_prefix"].value(name, 1.0);
      rows.push_back(row);
    }
    out << "<h3>Latency of delivered visits, seconds</h3>"
        << table(rows, {{"name", "path prefix"},
                        {"service", "service"},
                        {"p50", "p50"},
                        {"p90", "p90"},
                        {"p99", "p99"},
                        {"p99.9", "p99.9"}});
  }
  out << "<h3>Sidecars</h3>"
      << table(result["sidecars"], {{"number", "sidecar"},
                                    {"tier", "tier"},
                                    {"starts", "starts"},
                                    {"cpu_s", "CPU s"},
                                    {"memory_mb", "MB"},
                                    {"descriptors", "descriptors"}});
  out << "<h3>Troubles</h3>"
      << table(result["faults"], {{"kind", "kind"}, {"on", "on"}, {"at", "at"}, {"for", "for"}});
  for (const json& breach : result["breaches"]) {
    out << "<h3 class='broken'>" << escape_html(breach["rule"].get<std::string>()) << " at "
        << format_number(breach["at"], 3) << "</h3><p>" << escape_html(breach["text"].get<std::string>())
        << "</p><pre>";
    for (const json& line : breach["history"]) out << escape_html(line.get<std::string>()) << "\n";
    out << "</pre>";
  }
  return out.str() + "</html>\n";
}

}  // namespace load_test
