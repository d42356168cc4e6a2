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

struct SignalAction {
  int signal;
  void (Lifecycle::*action)();
};
constexpr SignalAction kSignalActions[] = {{SIGTERM, &Lifecycle::on_terminate_signal},
                                           {SIGINT, &Lifecycle::on_terminate_signal},
                                           {SIGHUP, &Lifecycle::on_reload_signal}};

// Blocks the handled signals; a signal that arrives while the program still reads its file would end it
// otherwise.
sigset_t block_signals() {
  sigset_t handled;
  sigemptyset(&handled);
  for (const SignalAction& entry : kSignalActions) sigaddset(&handled, entry.signal);
  sigprocmask(SIG_BLOCK, &handled, nullptr);
  return handled;
}

// Reads signals from a signalfd on the loop's thread. A signal handler could interrupt any code, and GLib's
// unix signal sources start a thread.
class SignalReader {
 public:
  SignalReader(Loop& loop, Lifecycle& lifecycle, const sigset_t& handled) : lifecycle_(lifecycle) {
    descriptor_ =
        retry_on_shortage([&handled] { return signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC); });
    if (descriptor_ < 0) throw std::runtime_error("can't create a signalfd");
    GSource* source = g_unix_fd_source_new(descriptor_, G_IO_IN);
    auto on_readable = [](gint descriptor, GIOCondition, gpointer self) -> gboolean {
      signalfd_siginfo signal_info;
      while (read(descriptor, &signal_info, sizeof signal_info) > 0) {
        for (const SignalAction& entry : kSignalActions) {
          if (entry.signal == int(signal_info.ssi_signo))
            (static_cast<SignalReader*>(self)->lifecycle_.*entry.action)();
        }
      }
      return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, G_SOURCE_FUNC(+on_readable), this, nullptr);
    g_source_attach(source, loop.context());
    source_ = Source(source);
  }
  SignalReader(const SignalReader&) = delete;
  SignalReader& operator=(const SignalReader&) = delete;
  ~SignalReader() {
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

// Time to wait for the reader of the log to take the last lines. All responses are written by then, and
// SIGKILL follows 0.17 s after the end of a drain.
constexpr double kLastLinesSeconds = 0.05;
// Time to wait for the reader to take the error message of a failed start.
constexpr double kFailureMessageSeconds = 1;

// Standard error may be the same full pipe as the log, so a plain write could block.
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
  const sigset_t handled = block_signals();
  try {
    std::unique_ptr<Loop> loop;  // destroyed last, as the others use it
    std::unique_ptr<Lifecycle> lifecycle = prepare(loop);
    if (!lifecycle) return 1;
    LogDrain log_drain(*loop, process_log);
    SignalReader signal_reader(*loop, *lifecycle, handled);
    lifecycle->start();
    loop->run();
    if (!lifecycle->failure().empty()) throw std::runtime_error(lifecycle->failure());
    process_log.output().write_queued_within(kLastLinesSeconds);
    return 0;
  } catch (const std::exception& error) {
    if (process_log.log().as_json()) {
      process_log.log().event(Level::Error, "program.failed").with("why", error.what());
    }
    process_log.output().write_queued_within(kLastLinesSeconds);
    write_failure_message(error.what());
    return 1;
  }
}

namespace {

// A running predecessor answers within one iteration of its loop; a stopped process never answers.
constexpr double kTakeoverTimeoutSeconds = 1;

// Asks the predecessor, if there is one, to hand over; keeps the newer endpoint list of both.
Takeover take_over(Log& log, SidecarConfig& config) {
  Result<Takeover, TakeoverError> requested =
      request_takeover(control_socket_path(config.listen), kTakeoverTimeoutSeconds);
  if (!requested) {
    if (requested.error() != TakeoverError::NoPredecessor) {
      log.event(Level::Warning, "hot_restart.takeover_failed")
          .with("name", config.name)
          .with("reason", to_string(requested.error()));
    }
    return {};
  }
  Takeover takeover = std::move(requested.value());
  if (takeover.list && takeover.list->index >= config.known.index) config.known = *takeover.list;
  log.event(Level::Info, "hot_restart.takeover_received").with("name", config.name);
  return takeover;
}

}  // namespace

int run_sidecar(PolicyFactory make_policy) {
  const char* level = std::getenv("PUFFINVANE_LOG");
  ProcessLog process_log(STDOUT_FILENO, parse_log_level(level ? level : "info"));
  Log& log = process_log.log();
  return run_program(process_log, [&](std::unique_ptr<Loop>& loop) {
    const char* file = std::getenv("BALANCER_CONFIG");
    SidecarConfig config = load_sidecar_config(file);
    const char* admin = std::getenv("BALANCER_CONSOLE");
    if (config.admin.empty() && admin) config.admin = admin;
    if (config.fleet) config.fleet->admin = config.admin;
    loop = std::make_unique<Loop>(log, config.descriptors);
    Takeover takeover;
    if (!config.admin.empty()) takeover = take_over(log, config);
    return std::make_unique<Sidecar>(*loop, std::move(config), file, make_policy, std::move(takeover));
  });
}

}  // namespace puffinvane
