// Real sidecar processes: started, signalled, watched from outside. Only what was started here is ended.
#pragma once

#include <sys/types.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tools/load_test/world/run_context.h"

namespace load_test {

// What the system says of a process.
struct Usage {
  double cpu = 0;      // seconds
  double starved = 0;  // seconds that it could run and had no core
  double memory = 0;   // bytes resident
  int descriptors = 0;
};
Usage usage_of(pid_t process);

struct SidecarConfig {  // to one sidecar, in its file
  std::string name, listen, discovery, known, settings;
  std::string admin;  // where operators call; empty: nowhere
  std::string site;   // not empty: it serves this, and is told nothing else
  std::uint64_t seed = 1;
  int descriptors = 512, memory_mb = 64;
};

class Process {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_ready(Process& process) = 0;
    virtual void on_left(Process& process) = 0;  // it ended; as it was told to, unless it crashed
  };
  enum class Phase { Down, Starting, Ready, Leaving };

  // command: run by the shell, with BALANCER_CONFIG in its environment.
  Process(World& world, Owner& owner, int sidecar, int tier, std::string command, std::string folder);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start(const SidecarConfig& assignment);
  void write_file(const SidecarConfig& assignment) const;
  void terminate();
  // A second process beside it, which it gives way to. Both are this one sidecar: nothing of it is excused.
  void succeed(const SidecarConfig& assignment);
  void call(const std::string& order, const std::string& body, std::function<void(int status)> then);
  void kill();
  void pause(double span);
  void hang_up();
  void look();  // now and then: whether it ended, what it uses

  Phase phase() const { return phase_; }
  int sidecar() const { return sidecar_; }
  int tier() const { return tier_; }
  int starts() const { return starts_; }
  pid_t process() const { return process_; }
  const Usage& most() const { return most_; }
  double cpu() const { return cpu_before_ + last_.cpu; }
  const std::string& listen() const { return listen_; }
  int logged(const std::string& event) const;  // lines of its log with that in them, over all its starts

 private:
  class Probe;
  pid_t spawn(const SidecarConfig& assignment);
  void ask(const std::string& at, const std::string& request, std::function<void(int status)> then);
  void await_successor();
  void probe();
  void gone();
  void see(Event::Kind kind, double figure = 0, int status = 0);

  World& world_;
  Owner& owner_;
  const int sidecar_, tier_;
  const std::string command_, folder_;
  std::string listen_, admin_, successor_admin_;
  Phase phase_ = Phase::Down;
  pid_t process_ = -1, successor_ = -1;
  std::vector<std::unique_ptr<Probe>> calls_;
  int starts_ = 0, paused_ = 0;
  double leave_by_ = 0, cpu_before_ = 0;
  Usage last_, most_;
  std::unique_ptr<Probe> probe_;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
};

}  // namespace load_test
