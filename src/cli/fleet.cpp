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

constexpr unsigned kRequestTimeoutSeconds = 2;
constexpr std::chrono::seconds kConvergenceTimeout(3);  // longer than an update takes to reach all members
constexpr std::chrono::milliseconds kRetryInterval(200);
constexpr std::size_t kMaxResponseBytes = std::size_t{8} << 20;  // more than thousands of members need

// Returns the body of a 200 response.
std::optional<std::string> http_get(const std::string& admin, const std::string& path) {
  Ref<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(), kRequestTimeoutSeconds);
  GError* raw = nullptr;
  Ref<GSocketConnection> connection(
      g_socket_client_connect_to_host(client.get(), admin.c_str(), 0, nullptr, &raw));
  Error error(raw);
  if (!connection) return std::nullopt;
  std::string request = "GET " + path + " HTTP/1.1\r\nHost: " + admin + "\r\nConnection: close\r\n\r\n";
  std::string response;
  GIOStream* stream = G_IO_STREAM(connection.get());
  if (!g_output_stream_write_all(g_io_stream_get_output_stream(stream), request.data(), request.size(),
                                 nullptr, nullptr, nullptr))
    return std::nullopt;
  char bytes[4096];
  for (gssize count; (count = g_input_stream_read(g_io_stream_get_input_stream(stream), bytes, sizeof bytes,
                                                  nullptr, nullptr)) > 0;) {
    response.append(bytes, std::size_t(count));
    if (response.size() > kMaxResponseBytes) return std::nullopt;
  }
  std::size_t body = response.find("\r\n\r\n");
  if (!response.starts_with("HTTP/1.1 200") || body == std::string::npos) return std::nullopt;
  return response.substr(body + 4);
}

// Returns nothing if the response does not have the expected form: it is untrusted input.
std::optional<json> fetch_fleet(const std::string& admin) {
  std::optional<std::string> text = http_get(admin, "/api/fleet");
  if (!text) return std::nullopt;
  json fleet = json::parse(*text, nullptr, false);
  if (!fleet.is_object() || !fleet.contains("members") || !fleet["members"].is_array() ||
      !fleet.contains("view"))
    return std::nullopt;
  return fleet;
}

// The field as text; empty if it is missing.
std::string field_text(const json& object, const char* field) {
  auto found = object.find(field);
  if (found == object.end()) return "";
  if (found->is_string()) return found->get<std::string>();
  return found->dump();
}

std::string admin_address(const json& member) {
  auto facts = member.find("facts");
  return facts != member.end() && facts->is_object() ? field_text(*facts, "console") : "";
}

bool is_live(const json& member) {
  return field_text(member, "belief") == "alive" || field_text(member, "belief") == "suspect";
}

int report_no_fleet(const std::string& admin) {
  std::cerr << "puffinvane: no fleet at " << admin
            << ": no response, or the process is not part of a fleet\n";
  return 2;
}

}  // namespace

int show_fleet(const std::string& admin, bool as_json) {
  std::optional<json> fleet;
  std::size_t agree = 0, differ = 0, silent = 0;
  // Views are read one after the other, so an update on its way can make them differ, and a member may be
  // slow once. They are read again until they agree or the timeout shows that the difference lasts.
  const auto deadline = std::chrono::steady_clock::now() + kConvergenceTimeout;
  for (bool again = false; !again || (differ + silent > 0 && std::chrono::steady_clock::now() < deadline);
       again = true) {
    if (again) std::this_thread::sleep_for(kRetryInterval);
    fleet = fetch_fleet(admin);
    if (!fleet) return report_no_fleet(admin);
    agree = differ = silent = 0;
    // Asks each live member for its own view: a member of a partitioned fleet just sees a smaller one.
    for (json& member : (*fleet)["members"]) {
      if (!is_live(member)) continue;
      std::string address = admin_address(member);
      std::optional<json> member_fleet = address.empty() ? std::nullopt : fetch_fleet(address);
      member["view"] = member_fleet ? field_text(*member_fleet, "view") : "";
      ++(!member_fleet                                                     ? silent
         : field_text(*member_fleet, "view") == field_text(*fleet, "view") ? agree
                                                                           : differ);
    }
  }
  (*fleet)["agree"] = agree;
  (*fleet)["differ"] = differ;
  (*fleet)["unasked"] = silent;
  int code = differ + silent == 0 ? 0 : 1;
  if (as_json) {
    std::cout << fleet->dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
    return code;
  }
  std::printf("%s: %s live, view %s: %zu hold it, %zu another, %zu could not be asked\n",
              field_text(*fleet, "me").c_str(), field_text(*fleet, "live").c_str(),
              field_text(*fleet, "view").c_str(), agree, differ, silent);
  if (auto part = fleet->find("part"); part != fleet->end() && part->is_object())
    std::printf("its part: %zu endpoints, as one of %s\n", part->value("endpoints", json::object()).size(),
                field_text(*part, "sidecars").c_str());
  std::printf("%-20s %-22s %-10s %-8s %5s %-8s %6s %s\n", "MEMBER", "ADDRESS", "BELIEF", "PHASE", "TIER",
              "ZONE", "FOR_S", "VIEW");
  for (const json& member : (*fleet)["members"]) {
    std::string view = field_text(member, "view");
    std::string comparison = !is_live(member)                     ? ""
                             : view.empty()                       ? "not asked"
                             : view == field_text(*fleet, "view") ? "same"
                                                                  : view;
    std::printf("%-20s %-22s %-10s %-8s %5s %-8s %6.0f %s\n", field_text(member, "name").c_str(),
                field_text(member, "address").c_str(), field_text(member, "belief").c_str(),
                field_text(member, "phase").c_str(), field_text(member, "tier").c_str(),
                field_text(member, "zone").c_str(), std::atof(field_text(member, "for_s").c_str()),
                comparison.c_str());
  }
  return code;
}

int watch_fleet(const std::string& admin) {
  std::map<std::string, std::string> before;
  for (bool first = true;; first = false) {
    std::optional<json> fleet = fetch_fleet(admin);
    if (!fleet) return report_no_fleet(admin);
    std::map<std::string, std::string> now;
    for (const json& member : (*fleet)["members"])
      now[field_text(member, "name")] = field_text(member, "belief") + ", " + field_text(member, "phase") +
                                        " at " + field_text(member, "address");
    if (first)
      std::cout << field_text(*fleet, "me") << ": " << field_text(*fleet, "live") << " live" << std::endl;
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
