#include "tools/load_test/report/html_report.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <vector>

namespace load_test {

namespace {

using nlohmann::json;

constexpr double kWide = 860, kHigh = 180, kLeft = 50, kBottom = 24;

std::string escaped(const std::string& text) {
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

std::string number(double value, int places = 2) {
  char text[32];
  std::snprintf(text, sizeof text, "%.*f", places, value);
  return text;
}

struct Curve {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

class Plot {
 public:
  Plot(std::string title, const json& result, double most)
      : title_(std::move(title)), length_(std::max(0.1, result["length"].get<double>())), most_(most) {
    for (const json& fault : result["faults"]) bands_.push_back(fault);
  }
  std::string draw(const std::vector<Curve>& curves) const {
    static constexpr const char* kColours[] = {"#1f6fb2", "#c8501e", "#2a8c4a",
                                               "#7d4fa8", "#8a6d00", "#b0356a"};
    std::ostringstream out;
    out << "<h3>" << escaped(title_) << "</h3><svg viewBox='0 0 " << kWide << " " << kHigh + kBottom << "'>";
    for (std::size_t i = 0; i < bands_.size(); ++i) {
      double from = bands_[i]["at"], span = bands_[i]["for"];
      out << "<rect class='band' x='" << x(from) << "' y='0' width='"
          << std::max(1.0, x(std::min(length_, from + span)) - x(from)) << "' height='" << kHigh
          << "'><title>"
          << escaped(bands_[i]["kind"].get<std::string>() + " " + bands_[i]["on"].get<std::string>())
          << "</title></rect><text class='name' x='" << x(from) + 2 << "' y='" << 10 + 10 * (i % 6) << "'>"
          << escaped(bands_[i]["kind"].get<std::string>()) << "</text>";
    }
    for (int i = 0; i <= 4; ++i) {
      double value = most_ * i / 4;
      out << "<line class='grid' x1='" << kLeft << "' x2='" << kWide << "' y1='" << y(value) << "' y2='"
          << y(value) << "'/><text x='2' y='" << y(value) + 4 << "'>" << number(value, most_ < 0.5 ? 3 : 2)
          << "</text>";
    }
    for (int i = 0; i <= 10; ++i)
      out << "<text x='" << x(length_ * i / 10) - 8 << "' y='" << kHigh + 16 << "'>"
          << number(length_ * i / 10, 1) << "</text>";
    for (std::size_t i = 0; i < curves.size(); ++i) {
      out << "<polyline fill='none' stroke='" << kColours[i % 6] << "' points='";
      for (const auto& [at, value] : curves[i].points)
        out << x(at) << "," << y(std::min(value, most_)) << " ";
      out << "'><title>" << escaped(curves[i].name) << "</title></polyline>";
    }
    out << "</svg><p class='key'>";
    for (std::size_t i = 0; i < curves.size(); ++i)
      out << "<span style='color:" << kColours[i % 6] << "'>&#9632; " << escaped(curves[i].name)
          << "</span> ";
    return out.str() + "</p>";
  }

 private:
  double x(double at) const { return kLeft + (kWide - kLeft) * at / length_; }
  double y(double value) const { return kHigh - (kHigh - 6) * value / most_; }
  std::string title_;
  double length_, most_;
  std::vector<json> bands_;
};

std::string table(const json& rows, const std::vector<std::pair<std::string, std::string>>& columns) {
  std::ostringstream out;
  out << "<table><tr>";
  for (const auto& [key, head] : columns) out << "<th>" << escaped(head) << "</th>";
  out << "</tr>";
  for (const json& row : rows) {
    out << "<tr>";
    for (const auto& [key, head] : columns) {
      const json& cell = row[key];
      out << "<td>"
          << (cell.is_number_float() ? number(cell, 3)
                                     : escaped(cell.is_string() ? cell.get<std::string>() : cell.dump()))
          << "</td>";
    }
    out << "</tr>";
  }
  return out.str() + "</table>";
}

}  // namespace

std::string page_of(const json& result) {
  std::ostringstream out;
  std::string title = result["script"].get<std::string>() + ", seed " + result["seed"].dump();
  out << "<!doctype html><html lang='en'><meta charset='utf-8'><title>" << escaped(title) << "</title><style>"
      << "body{font:14px/1.4 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}"
      << "svg{width:100%}svg text{font-size:10px;fill:#555}.grid{stroke:#ddd}.band{fill:#d33;opacity:.10}"
      << "svg .name{fill:#a33;font-size:9px}polyline{stroke-width:1.6}table{border-collapse:collapse}"
      << "td,th{border-bottom:1px solid #ddd;padding:2px 8px;text-align:right}.key span{margin-right:1em}"
      << "pre{background:#f5f5f5;padding:8px;overflow:auto}.broken{color:#b00}</style>";
  out << "<h1>" << escaped(title) << "</h1><p>" << escaped(result["title"].get<std::string>()) << "</p>";
  bool kept = result["rules"] == "kept";
  out << "<p><b class='" << (kept ? "" : "broken")
      << "'>rules: " << escaped(result["rules"].get<std::string>()) << "</b> &middot; service "
      << number(result["service"], 3) << ", worst window " << number(result["worst_window"], 3)
      << " &middot; " << result["visits"] << " visits, " << result["delivered"] << " delivered, "
      << result["bounced"] << " bounced, " << result["errored"] << " errored &middot; "
      << number(result["fetches_a_visit"], 3) << " fetches a visit, " << result["copies"] << " copies</p>";
  Curve service{"service", {}};
  for (const json& window : result["windows"])
    service.points.emplace_back(window["at"].get<double>(), window["service"].get<double>());
  out << Plot("Service by window", result, 1).draw({service});
  Curve p50{"p50", {}}, p99{"p99", {}};
  double slowest = 0.001;
  for (const json& window : result["latency_windows"]) {
    double at = window["at"].get<double>(), high = window["p99"].get<double>();
    p50.points.emplace_back(at, window["p50"].get<double>());
    p99.points.emplace_back(at, high);
    slowest = std::max(slowest, high);
  }
  out << Plot("Latency of delivered visits by window, seconds", result, slowest).draw({p50, p99});
  double most = 0.001;
  std::vector<Curve> loads;
  if (result.contains("loads")) {
    for (const auto& [endpoint, points] : result["loads"].items()) {
      Curve curve{"endpoint " + endpoint, {}};
      for (const json& point : points) {
        curve.points.emplace_back(point[0].get<double>(), point[1].get<double>());
        most = std::max(most, point[1].get<double>());
      }
      loads.push_back(curve);
    }
  }
  out << Plot("Work sent, by endpoint (seconds of a core in a second)", result, most).draw(loads);
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
    out << "<h3 class='broken'>" << escaped(breach["rule"].get<std::string>()) << " at "
        << number(breach["at"], 3) << "</h3><p>" << escaped(breach["text"].get<std::string>()) << "</p><pre>";
    for (const json& line : breach["history"]) out << escaped(line.get<std::string>()) << "\n";
    out << "</pre>";
  }
  return out.str() + "</html>\n";
}

}  // namespace load_test
