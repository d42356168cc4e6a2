// Runs the sidecar under test as a child process, and builds the requests and responses that tests send.
#pragma once

#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <utility>
#include <vector>

#include "src/http/headers.h"
#include "testing/peers.h"

namespace puffinvane::test {

inline std::string list_entry_json(const std::string& name, const std::string& address,
                                   const std::string& status = "active") {
  return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"z","group":1,"status":")" +
         status + R"(","weight":1,"since_ms":0})";
}

inline std::string program;  // path of the program under test, from the command line

class SidecarProcess {
 public:
  struct Options {
    std::string limits = R"({"sockets":1024,"memory_mb":192})", connect_timeout = "0.1", shadow{}, admin{};
    std::string client_timeout = "1.0", latency_objective = "0.5";
    // Or "on_request", where calls to discovery are costly and one watch stays open.
    std::string discovery_mode = "pushed";
    int known_index = 7;            // of the list in the configuration
    int number = 0;                 // tells several processes of one sidecar apart
    unsigned descriptor_limit = 0;  // RLIMIT_NOFILE of the process; 0: as inherited
    Listener* discovery = nullptr;  // null: a listener of its own
    // Further variables, such as those of testing/faults/faults.h.
    std::vector<std::pair<std::string, std::string>> environment{};
    std::string rules = "{}";  // the Rules object of the settings
    std::string may_cancel = "true";
    // Further request classes: objects of PathPrefixes in the settings, each with a comma before it.
    std::string more_classes{};
  };
  SidecarProcess(const std::string& known, const std::string& limits,
                 const std::string& connect_timeout = "0.1", const std::string& shadow = "")
      : SidecarProcess(
            known,
            Options{
                limits, connect_timeout, shadow, "", "1.0", "0.5", "pushed", 7, 0, 0, nullptr, {}, "{}"}) {}
  explicit SidecarProcess(const std::string& known) : SidecarProcess(known, Options()) {}
  SidecarProcess(const std::string& known, const Options& options)
      : listen(loopback_address(1) + ":5001"),
        own_discovery_(options.discovery ? nullptr : std::make_unique<Listener>(9)),
        discovery_(options.discovery ? *options.discovery : *own_discovery_),
        file_prefix_("/tmp/puffinvane-" + std::to_string(getpid()) + "-" + std::to_string(options.number)),
        configuration_rest_(rest_of_configuration(known, options)) {
    write_configuration(discovery_.address);
    child_ = fork();
    if (child_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // an aborted test must not leave it running
      rlimit limit{options.descriptor_limit, options.descriptor_limit};
      if (options.descriptor_limit > 0) setrlimit(RLIMIT_NOFILE, &limit);
      setenv("BALANCER_CONFIG", (file_prefix_ + ".json").c_str(), 1);
      setenv("PUFFINVANE_LOG", "error", 1);
      for (const auto& [name, value] : options.environment) setenv(name.c_str(), value.c_str(), 1);
      execl(program.c_str(), program.c_str(), nullptr);
      _exit(127);
    }
    double until = now() + 5;
    // Tests wait for a later process through its admin API: the listener may still be held by the earlier
    // one.
    while (options.number == 0 && now() < until && status_of("GET /healthz HTTP/1.1\r\n\r\n") != 200)
      sleep_for(0.01);
    assert(now() < until);
  }
  SidecarProcess(const SidecarProcess&) = delete;
  ~SidecarProcess() {
    if (child_ > 0) kill(child_, SIGKILL), waitpid(child_, nullptr, 0);
    std::remove((file_prefix_ + ".json").c_str());
  }

  static std::string settings(const std::string& attempts, const std::string& connect_timeout = "0.1",
                              const std::string& client_timeout = "1.0",
                              const std::string& discovery_mode = "pushed",
                              const std::string& latency_objective = "0.5", const std::string& rules = "{}",
                              const std::string& may_cancel = "true", const std::string& more_classes = "") {
    std::string times =
        R"(","TargetLatencyS":)" + latency_objective + R"(,"ClientTimeoutS":)" + client_timeout + "}";
    return R"({"PathPrefixes":[{"Name":"read","Idempotency":"repeatable)" + times +
           R"(,{"Name":"write","Idempotency":"once)" + times + more_classes + R"(],
           "Limits":{"ParallelTries":true,"RetryAfter":true,"MayCancel":)" +
           may_cancel + R"(,
             "MaxRetryAfterS":1.5,"ConnIdleS":2.0,"MaxBackendFetches":)" +
           attempts + R"(,"ConnectTimeoutS":)" + connect_timeout + R"(},"Rules":)" + rules +
           R"(,"RoundS":0.005,"Zone":"z","RegistryMode":")" + discovery_mode + R"("})";
  }
  // The report on the shadow policy; empty if there is none.
  std::string shadow_report() {
    TestConnection connection(listen);
    connection.send_text("GET /watch HTTP/1.1\r\n\r\n");
    auto answer = connection.receive_message(HttpReader::Side::Response);
    return answer && answer->status == 200 ? answer->body.text() : "";
  }
  // Takes effect at the next reload().
  void write_configuration(const std::string& discovery_at) {
    std::ofstream(file_prefix_ + ".json") << R"({"name":"n0","listen":")" << listen << R"(","discovery":")"
                                          << discovery_at << '"' << configuration_rest_;
  }
  void reload() { kill(child_, SIGHUP); }
  // Sends the request on a new connection; 0 if that fails or no response comes.
  int status_of(const std::string& request) {
    TestConnection connection(listen);
    if (!connection.connected) return 0;
    connection.send_text(request);
    return connection.response_status();
  }
  void terminate() { kill(child_, SIGTERM); }
  // Runs `action` while the process is stopped by SIGSTOP.
  template <typename Action>
  void while_stopped(Action action) {
    kill(child_, SIGSTOP);
    action();
    kill(child_, SIGCONT);
  }
  // The exit code, 256 if it was ended by a signal, -1 if it does not end within that time.
  int exit_code(double within) {
    int status = 0;
    for (double until = now() + within; now() < until; sleep_for(0.005)) {
      if (waitpid(child_, &status, WNOHANG) == child_)
        return child_ = 0, WIFEXITED(status) ? WEXITSTATUS(status) : 256;
    }
    return -1;
  }
  double cpu_seconds() const {
    std::ifstream stat("/proc/" + std::to_string(child_) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && stat >> word; ++i) ticks += i >= 14 ? std::stod(word) : 0;
    return ticks / double(sysconf(_SC_CLK_TCK));
  }
  pid_t child() const { return child_; }
  Listener& discovery() const { return discovery_; }
  const std::string listen;

 private:
  // The part of the configuration file after the discovery address, which is the same in every version of it.
  static std::string rest_of_configuration(const std::string& known, const Options& options) {
    return R"(,"seed":"1f","limits":)" + options.limits + R"(,"known":{"index":)" +
           std::to_string(options.known_index) + R"(,"snapshot":true,"endpoints":[)" + known +
           R"(]},"settings":)" +
           settings("3", options.connect_timeout, options.client_timeout, options.discovery_mode,
                    options.latency_objective, options.rules, options.may_cancel, options.more_classes) +
           (options.shadow.empty() ? "" : R"(,"watch":)" + options.shadow) +
           (options.admin.empty() ? "" : R"(,"console":")" + options.admin + '"') + "}";
  }

  std::unique_ptr<Listener> own_discovery_;
  Listener& discovery_;
  std::string file_prefix_, configuration_rest_;
  pid_t child_ = 0;
};

// Whether the process with the admin API at that address takes clients.
inline bool admin_api_is_ready(const std::string& address) {
  TestConnection connection(address);
  if (!connection.connected) return false;
  connection.send_text("GET /api/ready HTTP/1.1\r\n\r\n");
  return connection.response_status() == 200;
}

inline std::string get_request(const std::string& more = "", const std::string& id = "77") {
  return "GET /read/a?b HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id + "\r\n" + more + "\r\n";
}
inline std::string post_request(const std::string& body, const std::string& more = "") {
  return "POST /write HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: 78\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}
inline std::string http_chunk(const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx", line.size());
  return std::string(size) + "\r\n" + line + "\r\n";
}
inline std::string ok_response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
}  // namespace puffinvane::test
