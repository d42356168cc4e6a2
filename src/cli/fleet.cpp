#include "src/cli/fleet.h"

#include <gio/gio.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "src/net/glib.h"

namespace puffinvane::cli {

namespace {

using nlohmann::json;

constexpr unsigned kPatience = 2;            // seconds
constexpr std::chrono::seconds kUpdates(3);  // longer than a piece of news takes to reach all
constexpr std::chrono::milliseconds kBetween(200);
constexpr std::size_t kMostAnswer = std::size_t{8} << 20;  // what thousands of members take, and more

std::optional<std::string> get(const std::string& admin, const std::string& path) {
  Ref<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(), kPatience);
  GError* raw = nullptr;
  Ref<GSocketConnection> line(g_socket_client_connect_to_host(client.get(), admin.c_str(), 0, nullptr, &raw));
  Error error(raw);
  if (!line) return std::nullopt;
  std::string asked = "GET " + path + " HTTP/1.1\r\nHost: " + admin + "\r\nConnection: close\r\n\r\n", answer;
  GIOStream* both = G_IO_STREAM(line.get());
  if (!g_output_stream_write_all(g_io_stream_get_output_stream(both), asked.data(), asked.size(), nullptr,
                                 nullptr, nullptr))
    return std::nullopt;
  char bytes[4096];
  for (gssize got; (got = g_input_stream_read(g_io_stream_get_input_stream(both), bytes, sizeof bytes,
                                              nullptr, nullptr)) > 0;) {
    answer.append(bytes, std::size_t(got));
    if (answer.size() > kMostAnswer) return std::nullopt;
  }
  std::size_t body = answer.find("\r\n\r\n");
  if (!answer.starts_with("HTTP/1.1 200") || body == std::string::npos) return std::nullopt;
  return answer.substr(body + 4);
}

// An admin API is trusted no further than any other input: what is not as it should be is not shown.
std::optional<json> fleet_of(const std::string& admin) {
  std::optional<std::string> text = get(admin, "/api/fleet");
  if (!text) return std::nullopt;
  json shown = json::parse(*text, nullptr, false);
  if (!shown.is_object() || !shown.contains("members") || !shown["members"].is_array() ||
      !shown.contains("view"))
    return std::nullopt;
  return shown;
}

std::string word(const json& of, const char* field) {
  auto found = of.find(field);
  if (found == of.end()) return "";
  if (found->is_string()) return found->get<std::string>();
  return found->dump();
}

std::string admin_of(const json& member) {
  auto facts = member.find("facts");
  return facts != member.end() && facts->is_object() ? word(*facts, "console") : "";
}

bool live(const json& member) {
  return word(member, "belief") == "alive" || word(member, "belief") == "suspect";
}

int unasked(const std::string& admin) {
  std::cerr << "puffinvane: no fleet is told of at " << admin
            << ": nobody answers there, or the process is part of none\n";
  return 2;
}

}  // namespace

int show_fleet(const std::string& admin, bool as_json) {
  std::optional<json> fleet;
  std::size_t agree = 0, differ = 0, silent = 0;
  // Views are read one after the other: news that is on its way between two of them is no cut, nor is one of
  // them that is late once. A cut lasts.
  const auto until = std::chrono::steady_clock::now() + kUpdates;
  for (bool again = false; !again || (differ + silent > 0 && std::chrono::steady_clock::now() < until);
       again = true) {
    if (again) std::this_thread::sleep_for(kBetween);
    fleet = fleet_of(admin);
    if (!fleet) return unasked(admin);
    agree = differ = silent = 0;
    // Each live member is asked for its own view: that is what tells a cut from a fleet that is small.
    for (json& member : (*fleet)["members"]) {
      if (!live(member)) continue;
      std::string at = admin_of(member);
      std::optional<json> theirs = at.empty() ? std::nullopt : fleet_of(at);
      member["view"] = theirs ? word(*theirs, "view") : "";
      ++(!theirs ? silent : word(*theirs, "view") == word(*fleet, "view") ? agree : differ);
    }
  }
  (*fleet)["agree"] = agree, (*fleet)["differ"] = differ, (*fleet)["unasked"] = silent;
  int code = differ + silent == 0 ? 0 : 1;
  if (as_json) return std::cout << fleet->dump(-1, ' ', false, json::error_handler_t::replace) << "\n", code;
  std::printf("%s: %s live, view %s: %zu hold it, %zu another, %zu could not be asked\n",
              word(*fleet, "me").c_str(), word(*fleet, "live").c_str(), word(*fleet, "view").c_str(), agree,
              differ, silent);
  if (auto part = fleet->find("part"); part != fleet->end() && part->is_object())
    std::printf("its part: %zu endpoints, as one of %s\n", part->value("endpoints", json::object()).size(),
                word(*part, "sidecars").c_str());
  std::printf("%-20s %-22s %-10s %-8s %5s %-8s %6s %s\n", "MEMBER", "ADDRESS", "BELIEF", "PHASE", "TIER",
              "ZONE", "FOR_S", "VIEW");
  for (const json& member : (*fleet)["members"]) {
    std::string view = word(member, "view");
    std::string says = !live(member)                  ? ""
                       : view.empty()                 ? "not asked"
                       : view == word(*fleet, "view") ? "same"
                                                      : view;
    std::printf("%-20s %-22s %-10s %-8s %5s %-8s %6.0f %s\n", word(member, "name").c_str(),
                word(member, "address").c_str(), word(member, "belief").c_str(),
                word(member, "phase").c_str(), word(member, "tier").c_str(), word(member, "zone").c_str(),
                std::atof(word(member, "for_s").c_str()), says.c_str());
  }
  return code;
}

int watch_fleet(const std::string& admin) {
  std::map<std::string, std::string> before;
  for (bool first = true;; first = false) {
    std::optional<json> fleet = fleet_of(admin);
    if (!fleet) return unasked(admin);
    std::map<std::string, std::string> now;
    for (const json& member : (*fleet)["members"])
      now[word(member, "name")] =
          word(member, "belief") + ", " + word(member, "phase") + " at " + word(member, "address");
    if (first) std::cout << word(*fleet, "me") << ": " << word(*fleet, "live") << " live" << std::endl;
    std::time_t seconds = std::time(nullptr);
    std::tm local{};
    char clock[16];
    std::strftime(clock, sizeof clock, "%H:%M:%S", localtime_r(&seconds, &local));
    for (const auto& [name, state] : now) {
      if (!first && before[name] != state) std::cout << clock << ' ' << name << ' ' << state << std::endl;
    }
    if (!std::cout) return 2;
    before = std::move(now);
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

}  // namespace puffinvane::cli
