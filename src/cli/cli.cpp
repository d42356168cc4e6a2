#include "src/cli/cli.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "src/cli/fleet.h"
#include "src/config/language/quantity.h"
#include "src/config/language/read.h"
#include "src/config/language/tree.h"
#include "src/routing/routing.h"
#include "src/server/server.h"

namespace puffinvane::cli {

namespace {

namespace fs = std::filesystem;
using language::Reading;
using nlohmann::json;

enum Exit { Good = 0, Bad = 1, Useless = 2 };

std::string dumped(const json& what) { return what.dump(-1, ' ', false, json::error_handler_t::replace); }

int unreadable(const std::string& file) {
  std::cerr << "puffinvane: " << file << ": can't be read, or is no file of up to 64MiB\n";
  return Useless;
}

// Says what is wrong with it; the exit code, Good if nothing is.
int tell(const std::string& file, const Reading& reading) {
  if (!reading.found) return unreadable(file);
  if (reading.messages.none()) return Good;
  std::cerr << language::shown(reading.messages, reading.sources);
  return Bad;
}

int check(const std::vector<std::string>& files, bool as_json) {
  int worst = Good;
  json all = json::array();
  for (const std::string& file : files) {
    language::Disk disk;
    Reading reading = language::read_site(file, disk);
    if (!as_json || !reading.found) {
      worst = std::max(worst, tell(file, reading));
      continue;
    }
    worst = std::max<int>(worst, reading.messages.none() ? Good : Bad);
    json one = {{"file", file}, {"messages", json::parse(language::json(reading.messages, reading.sources))}};
    if (reading.messages.none()) one["version"] = site::version(reading.site);
    all.push_back(std::move(one));
  }
  if (as_json) std::cout << dumped(all) << "\n";
  return worst;
}

// Whole or not at all: who stops it halfway finds the old file.
bool put_in_place(const std::string& file, const std::string& text) {
  std::error_code fault;
  fs::path real = fs::canonical(file, fault);
  if (fault) return false;
  fs::path beside = real.string() + ".new-" + std::to_string(getpid());
  {
    std::ofstream out(beside, std::ios::binary);
    out << text;
    out.flush();
    if (!out) return fs::remove(beside, fault), false;
  }
  fs::permissions(beside, fs::status(real, fault).permissions(), fault);
  fs::rename(beside, real, fault);
  if (!fault) return true;
  fs::remove(beside, fault);
  return false;
}

int format(const std::vector<std::string>& files, bool in_place) {
  int worst = Good;
  for (const std::string& file : files) {
    language::Disk disk;
    std::optional<std::string> text = disk.read(file);
    if (!text) {
      worst = unreadable(file);
      continue;
    }
    language::Sources sources;
    language::Messages messages;
    int number = sources.add(file, std::move(*text));
    language::Tree tree = language::parse(number, sources.text(number), messages);
    if (!messages.none()) {
      std::cerr << language::shown(messages, sources);
      worst = std::max<int>(worst, Bad);
      continue;
    }
    std::string formatted = language::format(tree);
    // Cheap beside a file that says something else than it did.
    language::Messages again;
    language::Tree back = language::parse(number, formatted, again);
    if (!again.none() || !language::same_meaning(tree, back)) {
      std::cerr << "puffinvane: " << file << ": its layout can't be kept; it stays as it is\n";
      worst = Useless;
    } else if (!in_place) {
      std::cout << formatted;
    } else if (formatted != sources.text(number) && !put_in_place(file, formatted)) {
      std::cerr << "puffinvane: " << file << ": can't be written\n";
      worst = Useless;
    }
  }
  return worst;
}

int diff(const std::string& before, const std::string& after, bool as_json) {
  language::Disk disk;
  Reading was = language::read_site(before, disk), is = language::read_site(after, disk);
  if (tell(before, was) + tell(after, is) != Good) return Useless;
  std::vector<site::Difference> all = site::differences(was.site, is.site);
  constexpr const char* kKinds[] = {"added", "gone", "changed"};
  constexpr char kSigns[] = {'+', '-', '~'};
  json out = json::array();
  for (const site::Difference& one : all) {
    auto kind = std::size_t(one.kind);
    if (as_json) {
      out.push_back(
          {{"kind", kKinds[kind]}, {"subject", one.subject}, {"before", one.before}, {"after", one.after}});
      continue;
    }
    std::cout << kSigns[kind] << ' ' << one.subject;
    if (!one.before.empty()) std::cout << ' ' << one.before;
    if (kind == 2) std::cout << " ->";
    if (!one.after.empty()) std::cout << ' ' << one.after;
    std::cout << '\n';
  }
  if (as_json) std::cout << dumped(out) << "\n";
  return all.empty() ? Good : Bad;
}

struct Asked {
  std::string file, method, url;
  std::vector<std::string> headers;
};

// "https://host/path?query" or "/path?query".
bool split(const std::string& url, std::string& host, std::string& target) {
  std::size_t scheme = url.find("://");
  if (url.starts_with('/')) return target = url, true;
  if (scheme == std::string::npos) return false;
  std::size_t from = scheme + 3, slash = std::min(url.find_first_of("/?", from), url.size());
  host = url.substr(from, slash - from);
  target = url.substr(slash);
  if (!target.starts_with('/')) target = "/" + target;
  return !host.empty();
}

int explain(const Asked& asked, const std::string& listener, bool as_json) {
  language::Disk disk;
  Reading reading = language::read_site(asked.file, disk);
  if (tell(asked.file, reading) != Good) return Useless;
  std::string host, target;
  if (!split(asked.url, host, target)) {
    std::cerr << "puffinvane: `" << asked.url << "` is no URL: http://host/path, or /path\n";
    return Useless;
  }
  std::vector<routing::HeaderField> fields;
  for (const std::string& header : asked.headers) {
    std::size_t colon = header.find(':');
    if (colon == std::string::npos || colon == 0) {
      std::cerr << "puffinvane: `" << header << "` is no header: \"Name: value\"\n";
      return Useless;
    }
    std::string_view value = std::string_view(header).substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    fields.push_back({std::string_view(header).substr(0, colon), value});
    if (host.empty() && language::lower(fields.back().name) == "host") host = value;
  }
  auto site = std::make_shared<const site::Site>(std::move(reading.site));
  std::string on = listener.empty() ? site->listeners.front().name : listener;
  routing::RequestHead request{on, asked.method, host, target, fields};
  routing::Router router(site);
  routing::Decision decision = router.decide(request, 0);
  json out = {{"routes", json::array()}};
  if (decision.kind == routing::Decision::Kind::BadTarget) {
    as_json ? std::cout << dumped({{"winner", nullptr}, {"why", "the path climbs"}}) << "\n"
            : std::cout << "no route: a path with `.` or `..` is answered 400\n";
    return Bad;
  }
  for (const routing::RouteExplanation& verdict : routing::explain(*site, request)) {
    const site::Route& route = site->routes[std::size_t(verdict.route)];
    bool wins = verdict.route == decision.route;
    if (as_json) {
      out["routes"].push_back(
          {{"route", route.name}, {"matches", verdict.matches}, {"wins", wins}, {"why", verdict.why_not}});
    } else if (!wins) {
      std::cout << "  route " << route.name << " " << verdict.why_not << "\n";
    }
  }
  if (decision.route < 0) {
    as_json ? std::cout << dumped(out) << "\n" : std::cout << "no route takes it: answered 404\n";
    return Bad;
  }
  const site::Route& route = site->routes[std::size_t(decision.route)];
  out["winner"] = route.name;
  std::string leads;
  for (const site::Target& one : route.targets) {
    out["pools"][one.pool] = one.share;
    leads += (leads.empty() ? "pool " : ", pool ") + one.pool;
    if (route.targets.size() > 1) leads += " (" + std::to_string(int(one.share * 100 + 0.5)) + "%)";
  }
  if (route.answer.status)
    leads = "an answer of " + std::to_string(route.answer.status), out["answer"] = route.answer.status;
  else leads += " as " + route.request_class, out["as"] = route.request_class;
  if (decision.target) leads += ", target " + *decision.target, out["target"] = *decision.target;
  as_json ? std::cout << dumped(out) << "\n"
          : std::cout << "route " << route.name << " wins: " << leads << "\n";
  return Good;
}

int program(int count, char** words) {
  CLI::App app{
      "puffinvane, a load balancer for services that call services. Without arguments it is the platform's\n"
      "sidecar, told by BALANCER_CONFIG.\n"
      "Exit codes: 0 it is so; 1 it is not (a site with faults, two that differ, no route); 2 it can't be "
      "told."};
  app.set_version_flag("--version", "puffinvane " PUFFINVANE_VERSION);
  app.require_subcommand(1);
  int code = Good;
  std::vector<std::string> files;
  std::string before, after, listener, level = "info", log_format = "plain", site;
  double stop_timeout = Lifecycle::kKillTimeoutSeconds;
  bool as_json = false, in_place = false;
  Asked asked;

  auto add = [&](const char* name, const char* does) {
    CLI::App* command = app.add_subcommand(name, does);
    command->set_version_flag("--version", "puffinvane " PUFFINVANE_VERSION);
    return command;
  };
  CLI::App* serving = add("serve", "Serves a site until SIGTERM; SIGHUP reads it anew, whole or not at all");
  serving->add_option("FILE", site, "the site")->required();
  serving->add_option("--log-level", level, "error, warning, info or debug")
      ->check(CLI::IsMember({"error", "warning", "info", "debug"}));
  serving->add_option("--log-format", log_format, "plain, or json: an object a line")
      ->check(CLI::IsMember({"plain", "json"}));
  serving->add_option("--stop-timeout", stop_timeout, "seconds from SIGTERM until whoever sent it kills")
      ->check(CLI::Range(1.0, 3600.0))
      ->capture_default_str();
  serving->callback([&] { code = serving::run_site(site, level, log_format == "json", stop_timeout); });

  CLI::App* checking = add("check", "Says what is wrong with sites, on standard error");
  checking->add_option("FILE", files, "each a site of its own")->required();
  checking->add_flag("--json", as_json, "the messages as JSON, on standard output");
  checking->callback([&] { code = check(files, as_json); });

  CLI::App* formatting = add("format", "Writes files in the one layout that there is, on standard output");
  formatting->add_option("FILE", files, "")->required();
  formatting->add_flag("--in-place", in_place, "writes the files themselves");
  formatting->callback([&] { code = format(files, in_place); });

  CLI::App* differing = add("diff", "Tells two versions of a site apart by what they mean");
  differing->add_option("BEFORE", before, "")->required();
  differing->add_option("AFTER", after, "")->required();
  differing->add_flag("--json", as_json, "as JSON");
  differing->callback([&] { code = diff(before, after, as_json); });

  CLI::App* explaining = add("explain", "Says which route a request takes, and why the others don't");
  explaining->add_option("FILE", asked.file, "the site")->required();
  explaining->add_option("METHOD", asked.method, "GET, POST, ...")->required();
  explaining->add_option("URL", asked.url, "http://host/path?query, or /path")->required();
  explaining->add_option("HEADER", asked.headers, "\"Name: value\", each");
  explaining->add_option("--listener", listener, "that it comes in by; the first one if none is named");
  explaining->add_flag("--json", as_json, "as JSON");
  explaining->callback([&] { code = explain(asked, listener, as_json); });

  CLI::App* fleet = add("fleet", "Tells of the fleet that a process is part of");
  fleet->require_subcommand(1);
  std::string admin;
  CLI::App* showing = fleet->add_subcommand("show", "The members, and whether all hold one view of them");
  showing->add_option("ADDRESS", admin, "a member's console, as 127.0.0.1:5009")->required();
  showing->add_flag("--json", as_json, "as JSON");
  showing->callback([&] { code = show_fleet(admin, as_json); });
  CLI::App* following = fleet->add_subcommand("watch", "What changes among the members, a line each");
  following->add_option("ADDRESS", admin, "a member's console")->required();
  following->callback([&] { code = watch_fleet(admin); });

  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& stopped) {
    return app.exit(stopped) == 0 ? Good : Useless;
  }
  std::cout.flush();
  return std::cout ? code : Useless;  // a disk that is full, or nobody who reads on
}

}  // namespace

int run(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return program(count, words);
  } catch (const std::exception& fault) {
    std::cerr << "puffinvane: " << fault.what() << std::endl;
    return Useless;
  }
}

}  // namespace puffinvane::cli
