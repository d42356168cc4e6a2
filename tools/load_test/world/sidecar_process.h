// A real sidecar process, which is started, signalled and observed from outside. Only processes that were
// started here are stopped.
#pragma once

#include <sys/types.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tools/load_test/world/run_context.h"

namespace load_test {

// Resource usage of a process, from /proc.
struct Usage {
  double cpu = 0;       // seconds
  double cpu_wait = 0;  // seconds in which it was runnable but had no core
  double memory = 0;    // resident bytes
  int descriptors = 0;
};
Usage usage_of(pid_t process);

// The configuration file of one sidecar, either JSON or a site.
struct SidecarConfig {
  std::string name, listen, discovery, known, settings;
  std::string admin;  // address of the admin API; empty: none
  std::string site;   // if not empty, the sidecar serves this site and most other fields are unused
  std::uint64_t seed = 1;
  int descriptors = 512, memory_mb = 64;
};

class SidecarProcess {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_ready(SidecarProcess& process) = 0;
    virtual void on_exited(SidecarProcess& process) = 0;  // it exited, on request or by a crash
  };
  enum class Phase { Down, Starting, Ready, Leaving };

  // The command is run by the shell with BALANCER_CONFIG in its environment.
  SidecarProcess(RunContext& context, Owner& owner, int sidecar, int tier, std::string command,
                 std::string folder);
  ~SidecarProcess();
  SidecarProcess(const SidecarProcess&) = delete;
  SidecarProcess& operator=(const SidecarProcess&) = delete;

  void start(const SidecarConfig& config);
  void write_config(const SidecarConfig& config) const;
  void terminate();
  // Starts a second process that takes over from this one. Both count as the same sidecar, so no breach of a
  // rule is excused by the takeover.
  void start_successor(const SidecarConfig& config);
  void call_admin_api(const std::string& command, const std::string& body,
                      std::function<void(int status)> callback);
  void kill();
  void pause(double duration);
  void send_sighup();
  // Called regularly: detects that the process has exited and samples its resource usage.
  void poll();

  Phase phase() const { return phase_; }
  int sidecar() const { return sidecar_; }
  int tier() const { return tier_; }
  int starts() const { return starts_; }
  pid_t process() const { return process_; }
  const Usage& peak_usage() const { return peak_usage_; }
  double cpu() const { return cpu_before_ + last_usage_.cpu; }
  const std::string& listen() const { return listen_; }
  // Number of log lines that contain the text, over all starts.
  int count_log_lines(const std::string& event) const;

 private:
  class HttpProbe;
  pid_t spawn(const SidecarConfig& config);
  void send_probe(const std::string& address, const std::string& request,
                  std::function<void(int status)> callback);
  void await_successor();
  void probe();
  void handle_exit();
  void report(Event::Kind kind, double value = 0, int status = 0);

  RunContext& context_;
  Owner& owner_;
  const int sidecar_, tier_;
  const std::string command_, folder_;
  std::string listen_, admin_, successor_admin_;
  Phase phase_ = Phase::Down;
  pid_t process_ = -1, successor_ = -1;
  std::vector<std::unique_ptr<HttpProbe>> probes_;
  int starts_ = 0, pause_count_ = 0;
  double exit_deadline_ = 0, cpu_before_ = 0;
  Usage last_usage_, peak_usage_;
  std::unique_ptr<HttpProbe> probe_;
  std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

}  // namespace load_test
