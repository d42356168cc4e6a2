#include "src/server/run.h"

#include <glib-unix.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <ostream>
#include <string_view>

#include "src/hot_restart/control_address.h"
#include "src/hot_restart/takeover.h"
#include "src/net/system_calls.h"
#include "src/server/sidecar.h"

namespace puffinvane {
namespace {

struct Heeded {
  int signal;
  void (Lifecycle::*act)();
};
constexpr Heeded kHeeded[] = {{SIGTERM, &Lifecycle::on_terminate_signal},
                              {SIGINT, &Lifecycle::on_terminate_signal},
                              {SIGHUP, &Lifecycle::on_reload_signal}};

// Held back from the very start: one that comes while the program still reads its file would end it.
sigset_t hold_back() {
  sigset_t heeded;
  sigemptyset(&heeded);
  for (const Heeded& one : kHeeded) sigaddset(&heeded, one.signal);
  sigprocmask(SIG_BLOCK, &heeded, nullptr);
  return heeded;
}

// Signals as something to read: a handler could interrupt anything, and GLib's own way starts a thread.
class Signals {
 public:
  Signals(Loop& loop, Lifecycle& lifecycle, const sigset_t& heeded) : lifecycle_(lifecycle) {
    descriptor_ = retry_on_shortage([&heeded] { return signalfd(-1, &heeded, SFD_NONBLOCK | SFD_CLOEXEC); });
    if (descriptor_ < 0) throw std::runtime_error("no descriptor for signals");
    GSource* source = g_unix_fd_source_new(descriptor_, G_IO_IN);
    auto came = [](gint descriptor, GIOCondition, gpointer self) -> gboolean {
      signalfd_siginfo signal_info;
      while (read(descriptor, &signal_info, sizeof signal_info) > 0) {
        for (const Heeded& one : kHeeded) {
          if (one.signal == int(signal_info.ssi_signo)) (static_cast<Signals*>(self)->lifecycle_.*one.act)();
        }
      }
      return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, G_SOURCE_FUNC(+came), this, nullptr);
    g_source_attach(source, loop.context());
    source_ = Source(source);
  }
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;
  ~Signals() {
    source_.reset();
    close(descriptor_);
  }

 private:
  Lifecycle& lifecycle_;
  int descriptor_ = -1;
  Source source_;
};

}  // namespace

namespace {

// Time that the reader of the log has for the last lines. Responses are written by then, and SIGKILL follows
// 0.17 s after the end of a drain.
constexpr double kLastLinesSeconds = 0.05;
// The same for the message of a start that failed.
constexpr double kFailureMessageSeconds = 1;

// Standard error may be the pipe of the log, with nobody who reads it.
void write_failure_message(std::string_view reason) {
  LogOutput output(STDERR_FILENO);
  std::ostream stream(&output);
  stream << "puffinvane: " << reason << std::endl;
  output.write_queued_within(kFailureMessageSeconds);
}

}  // namespace

int run_program(ProcessLog& process_log,
                const std::function<std::unique_ptr<Lifecycle>(std::unique_ptr<Loop>&)>& prepare) {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t heeded = hold_back();
  try {
    std::unique_ptr<Loop> loop;  // outlives what it carries
    std::unique_ptr<Lifecycle> lifecycle = prepare(loop);
    if (!lifecycle) return 1;
    LogDrain log_drain(*loop, process_log);
    Signals signals(*loop, *lifecycle, heeded);
    lifecycle->start();
    loop->run();
    if (!lifecycle->failure().empty()) throw std::runtime_error(lifecycle->failure());
    process_log.output().write_queued_within(kLastLinesSeconds);
    return 0;
  } catch (const std::exception& fault) {
    if (process_log.log().as_json()) {
      process_log.log().event(Level::Error, "program.failed").with("why", fault.what());
    }
    process_log.output().write_queued_within(kLastLinesSeconds);
    write_failure_message(fault.what());
    return 1;
  }
}

namespace {

// A predecessor answers within a turn of its loop, and one that is stopped never does.
constexpr double kTakeoverTimeoutSeconds = 1;

Takeover take_over(Log& log, SidecarConfig& assignment) {
  Result<Takeover, TakeoverError> requested =
      request_takeover(control_socket_path(assignment.listen), kTakeoverTimeoutSeconds);
  if (!requested) {
    if (requested.error() != TakeoverError::NoPredecessor) {
      log.event(Level::Warning, "hot_restart.takeover_failed")
          .with("name", assignment.name)
          .with("reason", to_string(requested.error()));
    }
    return {};
  }
  Takeover takeover = std::move(requested.value());
  if (takeover.list && takeover.list->index >= assignment.known.index) assignment.known = *takeover.list;
  log.event(Level::Info, "hot_restart.takeover_received").with("name", assignment.name);
  return takeover;
}

}  // namespace

int run_sidecar(PolicyFactory make) {
  const char* level = std::getenv("PUFFINVANE_LOG");
  ProcessLog process_log(STDOUT_FILENO, parse_log_level(level ? level : "info"));
  Log& log = process_log.log();
  return run_program(process_log, [&](std::unique_ptr<Loop>& loop) {
    const char* file = std::getenv("BALANCER_CONFIG");
    SidecarConfig assignment = load_sidecar_config(file);
    const char* admin = std::getenv("BALANCER_CONSOLE");
    if (assignment.admin.empty() && admin) assignment.admin = admin;
    if (assignment.fleet) assignment.fleet->admin = assignment.admin;
    loop = std::make_unique<Loop>(log, assignment.descriptors);
    Takeover takeover;
    if (!assignment.admin.empty()) takeover = take_over(log, assignment);
    return std::make_unique<Sidecar>(*loop, std::move(assignment), file, make, std::move(takeover));
  });
}

}  // namespace puffinvane
