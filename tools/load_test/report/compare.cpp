#include "tools/load_test/report/compare.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <stdexcept>

namespace load_test {

namespace {

// Two-sided 95% of Student's t, by degrees of freedom.
double student(int freedom) {
  static constexpr double kTable[] = {0,     12.706, 4.303, 3.182, 2.776, 2.571, 2.447,
                                      2.365, 2.306,  2.262, 2.228, 2.201, 2.179, 2.160,
                                      2.145, 2.131,  2.120, 2.110, 2.101, 2.093, 2.086};
  if (freedom < int(std::size(kTable))) return kTable[freedom];
  return 1.96 + 2.4 / freedom;  // within 0.002 from there on
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

std::string shown(const Estimate& value) {
  char text[48];
  if (value.count < 2) std::snprintf(text, sizeof text, "%.3f", value.mean);
  else std::snprintf(text, sizeof text, "%.3f +- %.3f", value.mean, value.half);
  return text;
}

}  // namespace

Estimate estimate(const std::vector<double>& values) {
  Estimate made;
  made.count = int(values.size());
  for (double value : values) made.mean += value / made.count;
  if (made.count < 2) {
    made.half = std::numeric_limits<double>::infinity();
    return made;
  }
  double squares = 0;
  for (double value : values) squares += (value - made.mean) * (value - made.mean);
  made.half = student(made.count - 1) * std::sqrt(squares / (made.count - 1) / made.count);
  return made;
}

void compare(const std::vector<nlohmann::json>& results, std::ostream& out) {
  // By scenario, then by who was measured, then by seed.
  std::map<std::string, std::map<std::string, std::multimap<std::uint64_t, const nlohmann::json*>>> scenarios;
  std::vector<std::string> labels;
  try {
    for (const nlohmann::json& one : results) {
      std::string label = one.at("label");
      bool drawn = one.at("script").get<std::string>().starts_with("random-");
      std::string scenario = drawn ? "random" : one.at("script").get<std::string>();
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
        for (const auto& [seed, one] : runs->second) broken += one->at("rules") != "kept";
        out << "| " << label << " | " << runs->second.size() << " | " << broken << " |";
        for (const Measure& measure : kMeasures) {
          std::vector<double> values;
          for (const auto& [seed, one] : runs->second) values.push_back(measure.read(*one));
          out << " " << shown(estimate(values)) << " |";
        }
        out << "\n";
      }
      auto first = by_label.find(labels.front());
      for (const std::string& label : labels) {
        auto runs = by_label.find(label);
        if (label == labels.front() || runs == by_label.end() || first == by_label.end()) continue;
        std::vector<double> differences;
        for (const auto& [seed, one] : runs->second) {
          auto pair = first->second.find(seed);
          if (pair != first->second.end())
            differences.push_back(kMeasures[0].read(*pair->second) - kMeasures[0].read(*one));
        }
        if (differences.empty()) continue;
        Estimate difference = estimate(differences);
        bool real = difference.count > 1 && std::abs(difference.mean) > difference.half;
        out << "\n"
            << labels.front() << " less " << label << ", service, " << difference.count
            << " pairs: " << shown(difference) << (real ? ": real" : ": not told apart");
      }
      out << "\n\n";
    }
  } catch (const nlohmann::json::exception& fault) {
    throw std::runtime_error(std::string("a file is no result of 'run --json': ") + fault.what());
  }
}

}  // namespace load_test
