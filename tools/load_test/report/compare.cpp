#include "tools/load_test/report/compare.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <stdexcept>

namespace load_test {

namespace {

// Two-sided 95% quantile of Student's t distribution.
double student_t_95(int degrees_of_freedom) {
  static constexpr double kTable[] = {0,     12.706, 4.303, 3.182, 2.776, 2.571, 2.447,
                                      2.365, 2.306,  2.262, 2.228, 2.201, 2.179, 2.160,
                                      2.145, 2.131,  2.120, 2.110, 2.101, 2.093, 2.086};
  if (degrees_of_freedom < int(std::size(kTable))) return kTable[degrees_of_freedom];
  return 1.96 + 2.4 / degrees_of_freedom;  // the error is below 0.002 for these
}

struct Measure {
  const char* key;
  const char* name;
  double (*read)(const nlohmann::json&);
};

const Measure kMeasures[] = {
    {"service", "service", [](const nlohmann::json& r) { return r.at("service").get<double>(); }},
    {"worst", "worst window", [](const nlohmann::json& r) { return r.at("worst_window").get<double>(); }},
    {"p50", "p50 s", [](const nlohmann::json& r) { return r.at("latency").at("p50").get<double>(); }},
    {"p99", "p99 s", [](const nlohmann::json& r) { return r.at("latency").at("p99").get<double>(); }},
    {"fetches", "fetches a visit",
     [](const nlohmann::json& r) { return r.at("fetches_a_visit").get<double>(); }},
    {"bounced", "bounced", [](const nlohmann::json& r) {
       return r.at("bounced").get<double>() / std::max(1.0, r.at("visits").get<double>());
     }}};

std::string format_estimate(const Estimate& value) {
  char text[48];
  if (value.count < 2) std::snprintf(text, sizeof text, "%.3f", value.mean);
  else std::snprintf(text, sizeof text, "%.3f +- %.3f", value.mean, value.half_width);
  return text;
}

}  // namespace

Estimate estimate(const std::vector<double>& values) {
  Estimate result;
  result.count = int(values.size());
  for (double value : values) result.mean += value / result.count;
  if (result.count < 2) {
    result.half_width = std::numeric_limits<double>::infinity();
    return result;
  }
  double squares = 0;
  for (double value : values) squares += (value - result.mean) * (value - result.mean);
  result.half_width = student_t_95(result.count - 1) * std::sqrt(squares / (result.count - 1) / result.count);
  return result;
}

void compare(const std::vector<nlohmann::json>& results, std::ostream& out) {
  // scenario -> label of the sidecar -> seed -> result
  std::map<std::string, std::map<std::string, std::multimap<std::uint64_t, const nlohmann::json*>>> scenarios;
  std::vector<std::string> labels;
  try {
    for (const nlohmann::json& one : results) {
      std::string label = one.at("label");
      bool generated = one.at("script").get<std::string>().starts_with("random-");
      std::string scenario = generated ? "random" : one.at("script").get<std::string>();
      scenarios[scenario][label].emplace(one.at("seed").get<std::uint64_t>(), &one);
      if (std::find(labels.begin(), labels.end(), label) == labels.end()) labels.push_back(label);
    }
    for (const auto& [scenario, by_label] : scenarios) {
      out << "## " << scenario << "\n\n| | runs | broken |";
      for (const Measure& measure : kMeasures) out << " " << measure.name << " |";
      out << "\n| --- | --- | --- |";
      for (std::size_t i = 0; i < std::size(kMeasures); ++i) out << " --- |";
      out << "\n";
      for (const std::string& label : labels) {
        auto runs = by_label.find(label);
        if (runs == by_label.end()) continue;
        int broken = 0;
        for (const auto& [seed, run] : runs->second) broken += run->at("rules") != "kept";
        out << "| " << label << " | " << runs->second.size() << " | " << broken << " |";
        for (const Measure& measure : kMeasures) {
          std::vector<double> values;
          for (const auto& [seed, run] : runs->second) values.push_back(measure.read(*run));
          out << " " << format_estimate(estimate(values)) << " |";
        }
        out << "\n";
      }
      auto first = by_label.find(labels.front());
      for (const std::string& label : labels) {
        auto runs = by_label.find(label);
        if (label == labels.front() || runs == by_label.end() || first == by_label.end()) continue;
        std::vector<double> differences;
        for (const auto& [seed, run] : runs->second) {
          auto pair = first->second.find(seed);
          if (pair != first->second.end())
            differences.push_back(kMeasures[0].read(*pair->second) - kMeasures[0].read(*run));
        }
        if (differences.empty()) continue;
        Estimate difference = estimate(differences);
        bool significant = difference.count > 1 && std::abs(difference.mean) > difference.half_width;
        out << "\n"
            << labels.front() << " less " << label << ", service, " << difference.count
            << " pairs: " << format_estimate(difference) << (significant ? ": real" : ": not told apart");
      }
      out << "\n\n";
    }
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(std::string("a file is not a result of 'run --json': ") + error.what());
  }
}

}  // namespace load_test
