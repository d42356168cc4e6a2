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

// The exit codes: see cli.h.
enum ExitCode { Success = 0, Negative = 1, Unusable = 2 };

std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

int report_unreadable(const std::string& file) {
  std::cerr << "puffinvane: " << file << ": can't be read, or is not a file of at most 64MiB\n";
  return Unusable;
}

// Prints the messages about a site. Returns the exit code: Success if there are none.
int print_messages(const std::string& file, const Reading& reading) {
  if (!reading.found) return report_unreadable(file);
  if (reading.messages.none()) return Success;
  std::cerr << language::shown(reading.messages, reading.sources);
  return Negative;
}

int check(const std::vector<std::string>& files, bool as_json) {
  int worst = Success;
  json all = json::array();
  for (const std::string& file : files) {
    language::Disk disk;
    Reading reading = language::read_site(file, disk);
    if (!as_json || !reading.found) {
      worst = std::max(worst, print_messages(file, reading));
      continue;
    }
    worst = std::max<int>(worst, reading.messages.none() ? Success : Negative);
    json one = {{"file", file}, {"messages", json::parse(language::json(reading.messages, reading.sources))}};
    if (reading.messages.none()) one["version"] = site::version(reading.site);
    all.push_back(std::move(one));
  }
  if (as_json) std::cout << dump(all) << "\n";
  return worst;
}

// Replaces a file atomically: if it is interrupted, the old file stays. Returns whether it succeeded.
bool replace_file(const std::string& file, const std::string& text) {
  std::error_code error;
  fs::path real = fs::canonical(file, error);
  if (error) return false;
  fs::path temporary = real.string() + ".new-" + std::to_string(getpid());
  {
    std::ofstream out(temporary, std::ios::binary);
    out << text;
    out.flush();
    if (!out) {
      fs::remove(temporary, error);
      return false;
    }
  }
  fs::permissions(temporary, fs::status(real, error).permissions(), error);
  fs::rename(temporary, real, error);
  if (!error) return true;
  fs::remove(temporary, error);
  return false;
}

int format(const std::vector<std::string>& files, bool in_place) {
  int worst = Success;
  for (const std::string& file : files) {
    language::Disk disk;
    std::optional<std::string> text = disk.read(file);
    if (!text) {
      worst = report_unreadable(file);
      continue;
    }
    language::Sources sources;
    language::Messages messages;
    int number = sources.add(file, std::move(*text));
    language::Tree tree = language::parse(number, sources.text(number), messages);
    if (!messages.none()) {
      std::cerr << language::shown(messages, sources);
      worst = std::max<int>(worst, Negative);
      continue;
    }
    std::string formatted = language::format(tree);
    // Checks that the formatted text has the same meaning, as a file must never change its meaning here.
    language::Messages new_messages;
    language::Tree new_tree = language::parse(number, formatted, new_messages);
    if (!new_messages.none() || !language::same_meaning(tree, new_tree)) {
      std::cerr << "puffinvane: " << file << ": formatting would change its meaning; the file is unchanged\n";
      worst = Unusable;
    } else if (!in_place) {
      std::cout << formatted;
    } else if (formatted != sources.text(number) && !replace_file(file, formatted)) {
      std::cerr << "puffinvane: " << file << ": can't be written\n";
      worst = Unusable;
    }
  }
  return worst;
}

int diff(const std::string& before, const std::string& after, bool as_json) {
  language::Disk disk;
  Reading old_site = language::read_site(before, disk);
  Reading new_site = language::read_site(after, disk);
  if (print_messages(before, old_site) + print_messages(after, new_site) != Success) return Unusable;
  std::vector<site::Difference> all = site::differences(old_site.site, new_site.site);
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
  if (as_json) std::cout << dump(out) << "\n";
  return all.empty() ? Success : Negative;
}

struct ExplainArguments {
  std::string file, method, url;
  std::vector<std::string> headers;
};

// Splits "https://host/path?query" or "/path?query". Returns false if it is neither.
bool split_url(const std::string& url, std::string& host, std::string& target) {
  std::size_t scheme = url.find("://");
  if (url.starts_with('/')) {
    target = url;
    return true;
  }
  if (scheme == std::string::npos) return false;
  std::size_t from = scheme + 3, slash = std::min(url.find_first_of("/?", from), url.size());
  host = url.substr(from, slash - from);
  target = url.substr(slash);
  if (!target.starts_with('/')) target = "/" + target;
  return !host.empty();
}

int explain(const ExplainArguments& arguments, const std::string& listener, bool as_json) {
  language::Disk disk;
  Reading reading = language::read_site(arguments.file, disk);
  if (print_messages(arguments.file, reading) != Success) return Unusable;
  std::string host, target;
  if (!split_url(arguments.url, host, target)) {
    std::cerr << "puffinvane: `" << arguments.url << "` is not a URL: expected http://host/path, or /path\n";
    return Unusable;
  }
  std::vector<routing::HeaderField> fields;
  for (const std::string& header : arguments.headers) {
    std::size_t colon = header.find(':');
    if (colon == std::string::npos || colon == 0) {
      std::cerr << "puffinvane: `" << header << "` is not a header: expected \"Name: value\"\n";
      return Unusable;
    }
    std::string_view value = std::string_view(header).substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    fields.push_back({std::string_view(header).substr(0, colon), value});
    if (host.empty() && language::lower(fields.back().name) == "host") host = value;
  }
  auto site = std::make_shared<const site::Site>(std::move(reading.site));
  std::string on = listener.empty() ? site->listeners.front().name : listener;
  routing::RequestHead request{on, arguments.method, host, target, fields};
  routing::Router router(site);
  routing::Decision decision = router.decide(request, 0);
  json out = {{"routes", json::array()}};
  if (decision.kind == routing::Decision::Kind::BadTarget) {
    as_json ? std::cout << dump({{"winner", nullptr}, {"why", "the path climbs"}}) << "\n"
            : std::cout << "no route: a path with `.` or `..` is answered 400\n";
    return Negative;
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
    as_json ? std::cout << dump(out) << "\n" : std::cout << "no route takes it: answered 404\n";
    return Negative;
  }
  const site::Route& route = site->routes[std::size_t(decision.route)];
  out["winner"] = route.name;
  std::string destination;
  for (const site::Target& one : route.targets) {
    out["pools"][one.pool] = one.share;
    destination += (destination.empty() ? "pool " : ", pool ") + one.pool;
    if (route.targets.size() > 1) destination += " (" + std::to_string(int(one.share * 100 + 0.5)) + "%)";
  }
  if (route.answer.status) {
    destination = "an answer of " + std::to_string(route.answer.status);
    out["answer"] = route.answer.status;
  } else {
    destination += " as " + route.request_class;
    out["as"] = route.request_class;
  }
  if (decision.target) {
    destination += ", target " + *decision.target;
    out["target"] = *decision.target;
  }
  as_json ? std::cout << dump(out) << "\n"
          : std::cout << "route " << route.name << " wins: " << destination << "\n";
  return Success;
}

int run_command(int argc, char** argv) {
  CLI::App app{
      "puffinvane, a load balancer for services that call services. Without arguments it is the platform's\n"
      "sidecar, told by BALANCER_CONFIG.\n"
      "Exit codes: 0 it is so; 1 it is not (a site with faults, two that differ, no route); 2 it can't be "
      "told."};
  app.set_version_flag("--version", "puffinvane " PUFFINVANE_VERSION);
  app.require_subcommand(1);
  int code = Success;
  std::vector<std::string> files;
  std::string before, after, listener, level = "info", log_format = "plain", site;
  double stop_timeout = Lifecycle::kKillTimeoutSeconds;
  bool as_json = false, in_place = false;
  ExplainArguments arguments;

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
  explaining->add_option("FILE", arguments.file, "the site")->required();
  explaining->add_option("METHOD", arguments.method, "GET, POST, ...")->required();
  explaining->add_option("URL", arguments.url, "http://host/path?query, or /path")->required();
  explaining->add_option("HEADER", arguments.headers, "\"Name: value\", each");
  explaining->add_option("--listener", listener, "that it comes in by; the first one if none is named");
  explaining->add_flag("--json", as_json, "as JSON");
  explaining->callback([&] { code = explain(arguments, listener, as_json); });

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
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? Success : Unusable;
  }
  std::cout.flush();
  return std::cout ? code : Unusable;  // the disk is full, or the reader has closed the pipe
}

}  // namespace

int run(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run_command(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "puffinvane: " << error.what() << std::endl;
    return Unusable;
  }
}

}  // namespace puffinvane::cli
