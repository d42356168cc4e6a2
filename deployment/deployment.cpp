#include "deployment/deployment.h"

#include <algorithm>

namespace puffinvane {

using simdjson::dom::element;

namespace {

template <typename T>
T option(element object, std::string_view key, T fallback) {
  element found;
  if (object[key].get(found)) return fallback;
  if constexpr (std::is_same_v<T, std::string>) {
    std::string_view text;
    return found.get(text) ? fallback : std::string(text);
  } else if constexpr (std::is_same_v<T, int>) {
    double value;
    return found.get(value) ? fallback : static_cast<int>(value);
  } else {
    T value;
    return found.get(value) ? fallback : value;
  }
}

element child(element object, std::string_view key) {
  element found;
  if (object[key].get(found)) throw Malformed("the options lack " + std::string(key));
  return found;
}

simdjson::dom::array items(element object, std::string_view key) {
  simdjson::dom::array found;
  if (child(object, key).get(found)) throw Malformed(std::string(key) + " is not an array");
  return found;
}

Kind read_kind(const std::string& word) {
  if (word == "repeatable") return Kind::ReadLike;
  return word == "by_key" ? Kind::Tagged : Kind::Mutating;
}

Group read_group(const std::string& word) {
  if (word == "all") return Group::All;
  return word == "zone" ? Group::Zone : Group::Cell;
}

}  // namespace

Deployment read_deployment(element options) {
  Deployment deployment;
  for (element prefix : items(options, "PathPrefixes")) {
    PathPrefix read;
    read.name = option<std::string>(prefix, "Name", "");
    read.kind = read_kind(option<std::string>(prefix, "Idempotency", "once"));
    read.group = read_group(option<std::string>(prefix, "Group", "cell"));
    read.memory_span = option(prefix, "MemorySpanS", 0.0);
    read.target_latency = option(prefix, "TargetLatencyS", 1.0);
    read.client_timeout = option(prefix, "ClientTimeoutS", read.client_timeout);
    read.credit = option(prefix, "Credit", 1.0);
    deployment.path_prefixes.push_back(read);
  }
  if (deployment.path_prefixes.empty()) throw Malformed("the options have no PathPrefixes");
  simdjson::dom::array customers;
  if (!options["Customers"].get(customers)) {
    for (element customer : customers) {
      deployment.customers.push_back(
          {option<std::string>(customer, "Name", ""), option(customer, "QuotaPerS", 0.0)});
    }
  }
  element limits = child(options, "Limits");
  deployment.max_fetches = option(limits, "MaxBackendFetches", 1);
  deployment.parallel_fetches = option(limits, "ParallelTries", false);
  deployment.may_cancel = option(limits, "MayCancel", false);
  deployment.advises_wait = option(limits, "RetryAfter", false);
  deployment.connect_timeout = option(limits, "ConnectTimeoutS", deployment.connect_timeout);
  deployment.idle_time = option(limits, "ConnIdleS", deployment.idle_time);
  deployment.longest_wait_advice = option(limits, "MaxRetryAfterS", 0.0);
  element fees;
  if (!options["Fees"].get(fees)) deployment.crossing_price = option(fees, "CrossZone", 0.0);
  element extra;
  if (!options["Extra"].get(extra)) deployment.warm_keys = option(extra, "WarmKeys", false);
  deployment.zone = option<std::string>(options, "Zone", "");
  element report;
  if (!options["Report"].get(report))
    deployment.answers_tell_load = option<std::string>(report, "Via", "") == "piggyback";
  element rules = child(options, "Rules");
  deployment.cold.share = option(rules, "ColdShare", deployment.cold.share);
  deployment.cold.warm_after = option(rules, "ColdS", deployment.cold.warm_after);
  deployment.ask_within = option(rules, "AskWithinS", deployment.ask_within);
  deployment.credit_by_work = option<std::string>(options, "CreditBasis", "request") == "work";
  deployment.me = option(options, "Me", 0);
  deployment.sidecars = std::max(1, option(options, "PeersTotal", 1));
  deployment.tier = option(options, "Layer", 0);
  simdjson::dom::array tiers;
  if (!options["Tiers"].get(tiers)) deployment.last_tier = deployment.tier + 1 == int(tiers.size());
  deployment.round = option(options, "RoundS", 0.0);
  deployment.list_on_request = option<std::string>(options, "RegistryMode", "pushed") == "on_request";
  return deployment;
}

}  // namespace puffinvane
