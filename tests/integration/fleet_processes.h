// A fleet of processes of the program, and the relay between them.
#pragma once

#undef NDEBUG
#include <cassert>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>

#include "testing/sidecar_process.h"
#include "tests/integration/fleet_relay.h"

namespace puffinvane::fleet::test {

using nlohmann::json;

inline std::string handover_folder() { return "/tmp/puffinvane-fleet-" + std::to_string(getpid()) + ".d"; }

// One member: a process with a listener, an admin API and a fleet address.
class Process {
 public:
  Process(int number, const std::string& discovery, const std::string& key = "a key", int as = -1,
          const std::string& known = "", bool joins = true, int place = -1)
      : number(number),
        place_(place < 0 ? number : place),
        file_("/tmp/puffinvane-fleet-" + std::to_string(getpid()) + "-" + std::to_string(number)) {
    int name = as < 0 ? number : as;
    std::ofstream(file_) << R"({"name":"n)" << name << R"(","listen":")" << listener() << R"(","discovery":")"
                         << discovery << R"(","console":")" << admin()
                         << R"(","seed":"1f","limits":{"sockets":256,"memory_mb":32},)"
                         << R"("known":{"index":7,"snapshot":true,"endpoints":[)" << known
                         << R"(]},"settings":)" << SidecarProcess::settings("3") << R"(,")"
                         << (joins ? "fleet" : "alone") << R"(":{"listen":")" << Relay::own(place_)
                         << R"(","advertise":")" << Relay::advertised(place_) << R"(","key":")" << key
                         << R"(","seeds":[")" << Relay::advertised(0) << R"(",")" << Relay::advertised(1)
                         << R"("]}})";
    start();
  }
  Process(Process&& other) noexcept
      : number(other.number),
        place_(other.place_),
        file_(std::exchange(other.file_, "")),
        child_(std::exchange(other.child_, 0)) {}
  ~Process() {
    kill();
    if (!file_.empty()) std::remove(file_.c_str());
  }
  void start() {
    const std::string folder = handover_folder();
    child_ = fork();
    if (child_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BALANCER_CONFIG", file_.c_str(), 1);
    setenv("PUFFINVANE_LOG", "warning", 1);
    setenv("TMPDIR", folder.c_str(), 1);  // where a predecessor and its successor find their control socket
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(127);
  }
  void signal(int which) const { ::kill(child_, which); }
  void kill() {
    if (child_ > 0) ::kill(child_, SIGKILL), waitpid(child_, nullptr, 0), child_ = 0;
  }
  bool is_running() const { return child_ > 0; }
  std::string admin() const { return loopback_address(203) + ":" + std::to_string(6000 + number); }
  std::string listener() const { return loopback_address(202) + ":" + std::to_string(6000 + place_); }
  std::string admin_call(const std::string& path, const std::string& method = "GET") const {
    TestConnection line(admin());
    if (!line.connected) return {};
    line.send_text(method + " " + path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    auto answer = line.receive_message(HttpReader::Side::Response);
    return answer && answer->status == 200 ? answer->body.text() : "";
  }
  json view() const { return json::parse(admin_call("/api/fleet"), nullptr, false); }
  double metric(const std::string& name) const {
    std::string text = admin_call("/api/telemetry"), line = "\nsidecar_fleet_" + name + " ";
    std::size_t at = text.find(line);
    return at == std::string::npos ? -1 : std::stod(text.substr(at + line.size()));
  }
  std::string state(const std::string& name, const std::string& field = "belief") const {
    const json seen = view();
    for (const json& member : seen.at("members")) {
      if (member.at("name") == name) return member.at(field).get<std::string>();
    }
    return "unknown";
  }
  const int number;

 private:
  const int place_;  // selects its listener and its fleet address; a successor has the same
  std::string file_;
  pid_t child_ = 0;
};

struct FleetProcesses {
  explicit FleetProcesses(int count, const std::string& known = "", bool joins = true) : relay(count + 2, 7) {
    std::filesystem::create_directories(handover_folder());
    for (int i = 0; i < count; ++i) all.emplace_back(i, discovery.address, "a key", -1, known, joins);
  }
  ~FleetProcesses() {
    all.clear();
    std::filesystem::remove_all(handover_folder());
  }
  // Seconds until the selected processes share one view with that many live members, -1 if they do not within
  // that time.
  double seconds_until_agreement(
      std::size_t members, double within, std::function<bool(int)> is_selected = [](int) { return true; }) {
    for (double from = now(); now() < from + within; sleep_for(0.1)) {
      std::set<std::string> views;
      bool right = true;
      for (const Process& one : all) {
        if (!one.is_running() || !is_selected(one.number)) continue;
        json view = one.view();
        right = right && view.is_object() && view["live"] == members;
        if (right) views.insert(view["view"].get<std::string>());
      }
      if (right && views.size() == 1) return now() - from;
    }
    return -1;
  }
  Listener discovery{9};
  Relay relay;
  std::vector<Process> all;
};

}  // namespace puffinvane::fleet::test
