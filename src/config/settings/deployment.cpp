#include "src/config/settings/deployment.h"

#include <algorithm>
#include <cmath>

namespace puffinvane {

using simdjson::dom::element;

namespace {

// The value under the key, or the fallback if it is missing or has another type.
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
  if (object[key].get(found)) throw Malformed("setting '" + std::string(key) + "' is missing");
  return found;
}

simdjson::dom::array items(element object, std::string_view key) {
  simdjson::dom::array found;
  if (child(object, key).get(found)) throw Malformed("setting '" + std::string(key) + "' is not an array");
  return found;
}

// Like `option`, but throws for a value of another type: using the default instead would hide a mistake in
// the settings.
template <typename T>
T checked(element object, std::string_view key, T fallback, const char* expected) {
  element found;
  if (object[key].get(found)) return fallback;
  T value;
  if (found.get(value)) throw Malformed("setting '" + std::string(key) + "' is not " + expected);
  return value;
}
double non_negative(element object, std::string_view key, double fallback) {
  double value = checked(object, key, fallback, "a number");
  if (!std::isfinite(value) || value < 0)
    throw Malformed("setting '" + std::string(key) + "' is not a number of at least 0");
  return value;
}
bool flag(element object, std::string_view key, bool fallback) {
  return checked(object, key, fallback, "true or false");
}
std::string text(element object, std::string_view key, std::string_view fallback) {
  return std::string(checked(object, key, fallback, "a string"));
}

Idempotency read_idempotency(const std::string& word) {
  if (word == "repeatable") return Idempotency::Safe;
  return word == "by_key" ? Idempotency::Keyed : Idempotency::Unsafe;
}

IdempotencyScope read_idempotency_scope(const std::string& word) {
  if (word == "all") return IdempotencyScope::All;
  return word == "zone" ? IdempotencyScope::Zone : IdempotencyScope::Cell;
}

// Whether responses report how many requests an endpoint serves; its queue length alone does not show how
// loaded the fleet is.
bool reports_served_requests(element report) {
  simdjson::dom::array fields;
  if (report["Fields"].get(fields)) return true;
  for (element field : fields) {
    std::string_view name;
    if (!field.get(name) && name == "served_ps") return true;
  }
  return false;
}

}  // namespace

Deployment read_deployment(element options) {
  Deployment deployment;
  for (element request_class : items(options, "PathPrefixes")) {
    RequestClass read;
    read.name = option<std::string>(request_class, "Name", "");
    read.idempotency = read_idempotency(option<std::string>(request_class, "Idempotency", "once"));
    read.idempotency_scope = read_idempotency_scope(option<std::string>(request_class, "Group", "cell"));
    read.idempotency_window_s = option(request_class, "MemorySpanS", 0.0);
    read.latency_objective_s = option(request_class, "TargetLatencyS", 1.0);
    read.client_timeout_s = option(request_class, "ClientTimeoutS", read.client_timeout_s);
    read.priority_weight = option(request_class, "Credit", 1.0);
    deployment.request_classes.push_back(read);
  }
  if (deployment.request_classes.empty()) throw Malformed("setting 'PathPrefixes' is empty");
  simdjson::dom::array tenants;
  if (!options["Customers"].get(tenants)) {
    for (element tenant : tenants) {
      deployment.tenants.push_back(
          {option<std::string>(tenant, "Name", ""), option(tenant, "QuotaPerS", 0.0)});
    }
  }
  element limits = child(options, "Limits");
  deployment.max_attempts = option(limits, "MaxBackendFetches", 1);
  deployment.parallel_attempts = option(limits, "ParallelTries", false);
  deployment.may_cancel = option(limits, "MayCancel", false);
  deployment.sends_retry_after = option(limits, "RetryAfter", false);
  deployment.connect_timeout_s = option(limits, "ConnectTimeoutS", deployment.connect_timeout_s);
  deployment.idle_timeout_s = option(limits, "ConnIdleS", deployment.idle_timeout_s);
  deployment.max_retry_after_s = option(limits, "MaxRetryAfterS", 0.0);
  if (element fees; !options["Fees"].get(fees))
    deployment.cross_zone_price = non_negative(fees, "CrossZone", 0.0);
  if (element extra; !options["Extra"].get(extra))
    deployment.has_key_affinity = flag(extra, "WarmKeys", false);
  deployment.zone = option<std::string>(options, "Zone", "");
  if (element report; !options["Report"].get(report)) {
    std::string via = text(report, "Via", "silent");
    if (via != "piggyback" && via != "pull" && via != "silent")
      throw Malformed("setting 'Via' is '" + via + "', not piggyback, pull or silent");
    deployment.responses_report_load = via == "piggyback" && reports_served_requests(report);
  }
  element rules = child(options, "Rules");
  deployment.slow_start.initial_share = option(rules, "ColdShare", deployment.slow_start.initial_share);
  deployment.slow_start.duration_s = option(rules, "ColdS", deployment.slow_start.duration_s);
  deployment.slow_start.overload_multiple =
      std::max(1.0, option(rules, "TipMultiple", deployment.slow_start.overload_multiple));
  deployment.slow_start.overload_window_s =
      std::max(0.1, option(rules, "FallS", deployment.slow_start.overload_window_s));
  deployment.may_use_unlisted_endpoints = flag(rules, "DrainBindsAlone", false);
  deployment.list_poll_interval_s = option(rules, "AskWithinS", deployment.list_poll_interval_s);
  deployment.priority_by_work = option<std::string>(options, "CreditBasis", "request") == "work";
  deployment.instance_index = option(options, "Me", 0);
  deployment.instance_count = std::max(1, option(options, "PeersTotal", 1));
  deployment.tier = option(options, "Layer", 0);
  if (element tiers; !options["Tiers"].get(tiers)) {
    std::size_t count = items(options, "Tiers").size();
    if (deployment.tier < 0 || std::size_t(deployment.tier) >= count)
      throw Malformed("setting 'Layer' is " + std::to_string(deployment.tier) +
                      ", not an index into 'Tiers'");
    deployment.last_tier = std::size_t(deployment.tier) + 1 == count;
  }
  deployment.round_trip_s = option(options, "RoundS", 0.0);
  deployment.polls_endpoint_list = option<std::string>(options, "RegistryMode", "pushed") == "on_request";
  return deployment;
}

}  // namespace puffinvane
