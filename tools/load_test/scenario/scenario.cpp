#include "tools/load_test/scenario/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace load_test {

const std::vector<FaultKindInfo>& fault_kinds() {
  static const std::vector<FaultKindInfo> kNames = {
      {FaultKind::Slow, "slow", "works 'factor' times slower"},
      {FaultKind::Hang, "hang", "takes visits and answers none"},
      {FaultKind::Errors, "errors", "fails 'share' of its visits at once"},
      {FaultKind::Crash, "crash", "dies, is back cold at the end of 'for' under the same name"},
      {FaultKind::Freeze, "freeze", "stands still: neither reads, works nor writes"},
      {FaultKind::ResetIn, "reset-in", "resets 'share' of connections after 'bytes' read"},
      {FaultKind::ResetOut, "reset-out", "resets 'share' of connections after 'bytes' written"},
      {FaultKind::Refuse, "refuse", "refuses new connections"},
      {FaultKind::Unreachable, "unreachable", "new connections never come up"},
      {FaultKind::Drop, "drop", "open connections go silent, new ones work"},
      {FaultKind::Spoil, "spoil", "spoils 'share' of its answers"},
      {FaultKind::Burst, "burst", "visits come 'factor' times as often"},
      {FaultKind::SharedSlow, "shared-slow", "a whole tier works 'factor' times slower"},
      {FaultKind::Drain, "drain", "is listed as leaving, is gone after 'for'"},
      {FaultKind::Release, "release",
       "each in turn drains and is replaced, cold, under a new name; 'for' in all"},
      {FaultKind::RestartTogether, "cold-together", "all restart at once, cold"},
      {FaultKind::ListSilent, "list-silent", "discovery says nothing"},
      {FaultKind::ListLate, "list-late", "discovery's changes come 'for' later"},
      {FaultKind::ListOld, "list-old", "who asks anew is given the list as it was at the start"},
      {FaultKind::SidecarTerm, "sidecar-term", "SIGTERM, started again once it has left"},
      {FaultKind::SidecarKill, "sidecar-kill", "SIGKILL, started again after 'for'"},
      {FaultKind::SidecarStop, "sidecar-stop", "SIGSTOP, SIGCONT after 'for'"},
      {FaultKind::SidecarHup, "sidecar-hup", "discovery moves and its file says so, SIGHUP"},
      {FaultKind::SiteReload, "site-reload", "its site is written anew in another version, SIGHUP"},
      {FaultKind::SidecarUpgrade, "sidecar-upgrade",
       "a second process takes over, SIGTERM to the first at its yes"},
      {FaultKind::SidecarEmpty, "sidecar-empty", "is emptied by an operator's call, called back after 'for'"},
      {FaultKind::Exclude, "exclude", "is taken out by operators' calls, back in after 'for'"}};
  return kNames;
}

const char* name_of(FaultKind kind) { return fault_kinds()[std::size_t(kind)].name; }

bool Scenario::uses_admin_api() const {
  return std::any_of(faults.begin(), faults.end(), [](const Fault& fault) {
    return fault.kind == FaultKind::SidecarUpgrade || fault.kind == FaultKind::SidecarEmpty ||
           fault.kind == FaultKind::Exclude;
  });
}

Scenario default_scenario() {
  Scenario result;
  result.name = "default";
  TierPlan front, dossier, bron;
  front.name = "front";
  front.work_share = 0.35;
  dossier.name = "dossier";
  dossier.work_share = 0.34;
  bron.name = "bron";
  bron.work_share = 0.31;
  bron.calls_per_request = 0;
  result.tiers = {front, dossier, bron};
  ClassPlan status, consent, upload;
  status.name = "status";
  status.share = 0.4;
  status.work = {0.02, 0.04};
  status.credit = 2;
  consent.name = "consent";
  consent.share = 0.31;
  consent.work = {0.02, 0.04};
  consent.credit = 8;
  consent.idempotency = Idempotency::Unsafe;
  upload.name = "upload";
  upload.share = 0.29;
  upload.work = {0.03, 0.06};
  upload.credit = 3;
  upload.idempotency = Idempotency::Keyed;
  upload.latency_objective = 0.4;
  upload.client_timeout = 1.2;
  result.request_classes = {status, consent, upload};
  result.tenants = {{"kotwijzer", 0.64}, {"immo-dijle", 0.23}, {"woonpunt-zuid", 0.13}};
  return result;
}

Bounds Scenario::bounds() const {
  Bounds result;
  for (const ClassPlan& request_class : request_classes)
    result.request_classes[request_class.name] = {request_class.idempotency, request_class.idempotency_window,
                                                  request_class.grouped};
  result.drain_grace = grace;
  result.slow_start = {slow_start_initial_share, slow_start_duration, slow_start_multiple, slow_start_window};
  return result;
}

namespace {

// A TOML table that remembers which keys were read, so that unknown keys can be reported.
class Table {
 public:
  Table(const toml::table& table, std::string path, std::string what)
      : table_(table), path_(std::move(path)), what_(std::move(what)) {}

  [[noreturn]] static void fail(const std::string& path, const toml::source_region& where,
                                const std::string& text) {
    throw InvalidInput(path + ":" + std::to_string(where.begin.line) + ":" +
                       std::to_string(where.begin.column) + ": " + text);
  }
  [[noreturn]] void fail(const toml::node& at, const std::string& text) const {
    fail(path_, at.source(), text);
  }

  void read(const char* key, double& value_out, double low = 0, double high = 1e6) {
    if (const toml::node* found = find(key)) value_out = read_number(key, *found, low, high);
  }
  void read(const char* key, int& value_out, int low = 0, int high = 1'000'000) {
    const toml::node* found = find(key);
    if (!found) return;
    auto value = found->value_exact<std::int64_t>();
    if (!value || *value < low || *value > high)
      fail(*found, std::string("'") + key + "' is a whole number from " + std::to_string(low) + " to " +
                       std::to_string(high));
    value_out = int(*value);
  }
  void read(const char* key, bool& value_out) {
    const toml::node* found = find(key);
    if (!found) return;
    auto value = found->value_exact<bool>();
    if (!value) fail(*found, std::string("'") + key + "' is true or false");
    value_out = *value;
  }
  void read(const char* key, std::string& value_out) {
    const toml::node* found = find(key);
    if (!found) return;
    auto value = found->value_exact<std::string>();
    if (!value) fail(*found, std::string("'") + key + "' is a text in quotes");
    value_out = *value;
  }
  void read(const char* key, Range& value_out) {
    const toml::node* found = find(key);
    if (!found) return;
    if (const toml::array* pair = found->as_array()) {
      if (pair->size() != 2) fail(*found, std::string("'") + key + "' is a number or a pair [low, high]");
      value_out = {read_number(key, *pair->get(0), 0, 1e6), read_number(key, *pair->get(1), 0, 1e6)};
      if (value_out.low > value_out.high)
        fail(*found, std::string("'") + key + "' has its low end above its high end");
    } else {
      value_out.low = value_out.high = read_number(key, *found, 0, 1e6);
    }
  }
  template <typename Choice>
  void choose(const char* key, Choice& value_out, const std::vector<std::pair<std::string, Choice>>& of) {
    std::string word;
    read(key, word);
    if (word.empty()) return;
    std::string names;
    for (const auto& [name, value] : of) {
      if (name == word) return void(value_out = value);
      names += (names.empty() ? "" : ", ") + name;
    }
    fail(*table_.get(key), "'" + word + "' is no " + key + "; expected one of " + names);
  }
  void each(const char* key, const std::function<void(Table&)>& of) {
    const toml::node* found = find(key);
    if (!found) return;
    const toml::array* list = found->as_array();
    if (!list) fail(*found, std::string("'") + key + "' is a list of tables, [[" + key + "]]");
    for (const toml::node& node : *list) {
      const toml::table* table = node.as_table();
      if (!table) fail(node, std::string("'") + key + "' is a list of tables, [[" + key + "]]");
      Table inner(*table, path_, std::string("[[") + key + "]]");
      of(inner);
      inner.reject_unknown_keys();
    }
  }
  void inner(const char* key, const std::function<void(Table&)>& of) {
    const toml::node* found = find(key);
    if (!found) return;
    const toml::table* table = found->as_table();
    if (!table) fail(*found, std::string("'") + key + "' is a table, [" + key + "]");
    Table inner(*table, path_, std::string("[") + key + "]");
    of(inner);
    inner.reject_unknown_keys();
  }
  void reject_unknown_keys() const {
    for (const auto& [key, node] : table_) {
      std::string name(key.str());
      if (known_.contains(name)) continue;
      std::string names;
      for (const std::string& one : known_) names += (names.empty() ? "" : ", ") + one;
      fail(node, "nothing reads '" + name + "' in " + what_ + "; expected one of " + names);
    }
  }
  const toml::table& table() const { return table_; }

 private:
  const toml::node* find(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }
  double read_number(const char* key, const toml::node& node, double low, double high) const {
    auto value = node.value<double>();
    if (!value || node.is_boolean() || *value < low || *value > high) {
      std::ostringstream text;
      text << "'" << key << "' is a number from " << low << " to " << high;
      fail(node, text.str());
    }
    return *value;
  }

  const toml::table& table_;
  std::string path_, what_;
  std::set<std::string> known_;
};

void read_tier(Table& table, TierPlan& tier) {
  table.read("name", tier.name);
  table.read("endpoints", tier.endpoints, 1, 256);
  table.read("cores", tier.cores, 1, 64);
  table.read("speed", tier.speed);
  table.read("queue", tier.queue, 0, 100000);
  table.read("connections", tier.connections, 1, 100000);
  table.read("connection_work", tier.connection_work);
  table.read("groups", tier.groups, 1, 256);
  table.read("calls", tier.calls_per_request, 0, 10);
  table.read("work_share", tier.work_share, 0, 1);
  table.read("crowd", tier.overload_depth);
  table.read("crowd_after", tier.overload_after);
  table.read("crowd_factor", tier.overload_slowdown, 1, 100);
  table.read("crowd_span", tier.overload_duration);
  table.read("cancel_stops", tier.cancel_frees_core);
  table.read("reports", tier.sends_load_reports);
}

void read_prefix(Table& table, ClassPlan& request_class) {
  table.read("name", request_class.name);
  table.choose<Idempotency>(
      "kind", request_class.idempotency,
      {{"read-like", Idempotency::Safe}, {"tagged", Idempotency::Keyed}, {"mutating", Idempotency::Unsafe}});
  table.read("share", request_class.share, 0, 1);
  table.read("work", request_class.work);
  table.read("target_latency", request_class.latency_objective);
  table.read("client_timeout", request_class.client_timeout);
  table.read("credit", request_class.credit);
  table.read("late_credit", request_class.late_share, 0, 1);
  table.read("memory", request_class.idempotency_window);
  table.read("grouped", request_class.grouped);
}

void read_clients(Table& table, ClientPlan& clients) {
  table.read("rate", clients.rate, 0, 100000);
  table.read("retries", clients.retries, 0, 10);
  table.read("pause", clients.retry_pause);
  table.read("obeys", clients.obeys_retry_after);
  table.read("leaves", clients.leave_share, 0, 1);
  table.read("heavy", clients.heavy_share, 0, 1);
  table.read("bad_rate", clients.invalid_rate, 0, 10000);
  table.read("tells_time", clients.sends_remaining_time);
}

void read_fault(Table& table, Fault& fault) {
  std::vector<std::pair<std::string, FaultKind>> kinds;
  for (const FaultKindInfo& info : fault_kinds()) kinds.emplace_back(info.name, info.kind);
  table.choose<FaultKind>("kind", fault.kind, kinds);
  table.read("at", fault.at);
  table.read("for", fault.duration);
  table.read("on", fault.target);
  table.read("factor", fault.factor, 1, 1000);
  table.read("share", fault.share, 0, 1);
  table.read("bytes", fault.reset_after_bytes, 0, 1 << 20);
  table.read("every", fault.interval);
  table.read("times", fault.repetitions, 1, 1000);
}

}  // namespace

Scenario read_scenario(const std::string& text, const std::string& path) {
  Scenario scenario = default_scenario();
  scenario.name = std::filesystem::path(path).stem().string();
  toml::table parsed;
  try {
    parsed = toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    Table::fail(path, error.source(), std::string(error.description()));
  }
  Table table(parsed, path, "a script");
  table.read("title", scenario.title);
  table.read("length", scenario.length, 0.5, 3600);
  table.read("sidecars", scenario.sidecars, 1, 32);
  table.read("max_fetches", scenario.max_attempts, 1, 10);
  table.read("sites", scenario.sites);
  table.read("descriptors", scenario.descriptors, 32, 65536);
  table.read("memory_mb", scenario.memory_mb, 16, 4096);
  table.read("list_delay", scenario.list_delay);
  table.read("grace", scenario.grace);
  table.read("cold_share", scenario.slow_start_initial_share, 0.01, 1);
  table.read("warm_after", scenario.slow_start_duration);
  table.read("cold_multiple", scenario.slow_start_multiple, 1, 100);
  table.read("cold_window", scenario.slow_start_window, 0.1, 60);
  table.read("connect_timeout", scenario.connect_timeout);
  table.read("idle_time", scenario.idle_time);
  table.read("longest_wait_advice", scenario.max_retry_after);
  table.read("window", scenario.window, 0.1, 60);
  bool default_tiers = true, default_prefixes = true, default_customers = true;
  table.each("tier", [&](Table& inner) {
    if (std::exchange(default_tiers, false)) scenario.tiers.clear();
    read_tier(inner, scenario.tiers.emplace_back());
    if (scenario.tiers.back().name.empty()) inner.fail(inner.table(), "a tier needs a 'name'");
  });
  table.each("prefix", [&](Table& inner) {
    if (std::exchange(default_prefixes, false)) scenario.request_classes.clear();
    read_prefix(inner, scenario.request_classes.emplace_back());
    if (scenario.request_classes.back().name.empty()) inner.fail(inner.table(), "a prefix needs a 'name'");
  });
  table.each("customer", [&](Table& inner) {
    if (std::exchange(default_customers, false)) scenario.tenants.clear();
    TenantPlan& tenant = scenario.tenants.emplace_back();
    inner.read("name", tenant.name);
    inner.read("share", tenant.share, 0, 1);
  });
  table.inner("clients", [&](Table& inner) { read_clients(inner, scenario.clients); });
  table.each("fault", [&](Table& inner) {
    read_fault(inner, scenario.faults.emplace_back());
    if (!inner.table().contains("kind")) inner.fail(inner.table(), "a fault needs a 'kind'");
  });
  table.reject_unknown_keys();
  if (!scenario.tiers.empty()) scenario.tiers.back().calls_per_request = 0;
  try {
    check_scenario(scenario);
  } catch (const InvalidInput& error) {
    throw InvalidInput(path + ":1: " + error.what());
  }
  return scenario;
}

Scenario read_scenario(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw InvalidInput(path +
                       ":1: can't be opened; expected a script (TOML), 'random', or a name from 'list'");
  std::ostringstream text;
  text << file.rdbuf();
  return read_scenario(text.str(), path);
}

void check_scenario(const Scenario& scenario) {
  for (const ClassPlan& request_class : scenario.request_classes) {
    if (request_class.client_timeout < request_class.latency_objective)
      throw InvalidInput("the client timeout of '" + request_class.name + "' is under its target latency");
  }
  bool has_site_reload = std::any_of(scenario.faults.begin(), scenario.faults.end(),
                                     [](const Fault& fault) { return fault.kind == FaultKind::SiteReload; });
  if (has_site_reload && !scenario.sites) throw InvalidInput("fault 'site-reload' needs sites = true");
  auto affects_sidecars = [](FaultKind kind) {
    return kind >= FaultKind::ListSilent && kind != FaultKind::Exclude;
  };
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == FaultKind::Burst) continue;
    std::string tier = fault.target.substr(0, fault.target.find('/'));
    std::string endpoint =
        fault.target.find('/') == std::string::npos ? "" : fault.target.substr(fault.target.find('/') + 1);
    bool number = !endpoint.empty() && endpoint.find_first_not_of("0123456789") == std::string::npos;
    if (affects_sidecars(fault.kind)) {
      if (fault.target == "*" ||
          (!fault.target.empty() && fault.target.find_first_not_of("0123456789") == std::string::npos &&
           std::stoi(fault.target) < scenario.sidecars))
        continue;
      throw InvalidInput(std::string("fault '") + name_of(fault.kind) +
                         "': 'on' is a sidecar of the first tier (0 to " +
                         std::to_string(scenario.sidecars - 1) + ") or \"*\"");
    }
    auto found = std::find_if(scenario.tiers.begin(), scenario.tiers.end(),
                              [&](const TierPlan& plan) { return plan.name == tier; });
    bool targets_tier = fault.kind == FaultKind::SharedSlow || fault.kind == FaultKind::Release ||
                        fault.kind == FaultKind::RestartTogether;
    if (found == scenario.tiers.end() || (!(targets_tier && endpoint.empty()) && endpoint != "*" &&
                                          !(number && std::stoi(endpoint) < found->endpoints)))
      throw InvalidInput(std::string("fault '") + name_of(fault.kind) + "': 'on' is \"" + fault.target +
                         "\"; expected a tier and an endpoint's number, as \"" + scenario.tiers.front().name +
                         "/0\", or \"" + scenario.tiers.front().name + "/*\"");
  }
}

void scale_times(Scenario& scenario, double factor) {
  auto scale_range = [factor](Range& span) {
    span.low *= factor;
    span.high *= factor;
  };
  for (double* time :
       {&scenario.length, &scenario.grace, &scenario.slow_start_duration, &scenario.slow_start_window,
        &scenario.connect_timeout, &scenario.idle_time, &scenario.max_retry_after, &scenario.window})
    *time *= factor;
  scale_range(scenario.list_delay);
  for (TierPlan& tier : scenario.tiers) {
    tier.connection_work *= factor;
    tier.overload_after *= factor;
    tier.overload_duration *= factor;
  }
  for (ClassPlan& request_class : scenario.request_classes) {
    scale_range(request_class.work);
    request_class.latency_objective *= factor;
    request_class.client_timeout *= factor;
    request_class.idempotency_window *= factor;
  }
  scenario.clients.rate /= factor;
  scenario.clients.invalid_rate /= factor;
  scenario.clients.retry_pause *= factor;
  for (Fault& fault : scenario.faults) {
    fault.at *= factor;
    fault.duration *= factor;
    fault.interval *= factor;
  }
}

std::string write_scenario(const Scenario& scenario) {
  std::ostringstream out;
  out << "title = \"" << scenario.title << "\"\nlength = " << scenario.length
      << "\nsidecars = " << scenario.sidecars << "\nsites = " << (scenario.sites ? "true" : "false")
      << "\n\n[clients]\nrate = " << scenario.clients.rate << "\nretries = " << scenario.clients.retries
      << "\nheavy = " << scenario.clients.heavy_share << "\nleaves = " << scenario.clients.leave_share
      << "\nobeys = " << (scenario.clients.obeys_retry_after ? "true" : "false") << "\n";
  for (const TierPlan& tier : scenario.tiers) {
    out << "\n[[tier]]\nname = \"" << tier.name << "\"\nendpoints = " << tier.endpoints
        << "\ncores = " << tier.cores << "\nspeed = [" << tier.speed.low << ", " << tier.speed.high
        << "]\nwork_share = " << tier.work_share << "\ncalls = " << tier.calls_per_request
        << "\ncrowd = " << tier.overload_depth
        << "\ncancel_stops = " << (tier.cancel_frees_core ? "true" : "false")
        << "\nreports = " << (tier.sends_load_reports ? "true" : "false") << "\n";
  }
  for (const Fault& fault : scenario.faults) {
    out << "\n[[fault]]\nkind = \"" << name_of(fault.kind) << "\"\nat = " << fault.at
        << "\nfor = " << fault.duration << "\n";
    if (!fault.target.empty()) out << "on = \"" << fault.target << "\"\n";
    out << "factor = " << fault.factor << "\nshare = " << fault.share
        << "\nbytes = " << fault.reset_after_bytes << "\n";
  }
  return out.str();
}

}  // namespace load_test
