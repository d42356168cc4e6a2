// The sidecar program. BALANCER_CONFIG names what it is told; PUFFINVANE_LOG is the log's level.
#include <glib-unix.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "sidecar/lifecycle/sidecar.h"

namespace puffinvane {
namespace {

// Signals as something to read: a handler could interrupt anything, and GLib's own way starts a thread.
class Signals {
 public:
  Signals(Loop& loop, Sidecar& sidecar) : sidecar_(sidecar) {
    sigset_t asked;
    sigemptyset(&asked);
    sigaddset(&asked, SIGTERM);
    sigaddset(&asked, SIGINT);
    sigprocmask(SIG_BLOCK, &asked, nullptr);
    descriptor_ = signalfd(-1, &asked, SFD_NONBLOCK | SFD_CLOEXEC);
    GSource* source = g_unix_fd_source_new(descriptor_, G_IO_IN);
    auto came = [](gint descriptor, GIOCondition, gpointer self) -> gboolean {
      signalfd_siginfo told;
      while (read(descriptor, &told, sizeof told) > 0) {
      }
      static_cast<Signals*>(self)->sidecar_.terminate();
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
  Sidecar& sidecar_;
  int descriptor_ = -1;
  Source source_;
};

int run() {
  const char* level = std::getenv("PUFFINVANE_LOG");
  Log log(std::cout, read_level(level ? level : "info"));
  try {
    double offset = Loop::unix_offset();
    Assignment assignment = load_assignment(std::getenv("BALANCER_CONFIG"), offset);
    Loop loop(log, assignment.descriptors);
    Sidecar sidecar(loop, std::move(assignment), offset);
    Signals signals(loop, sidecar);
    sidecar.start();
    loop.run();
    return 0;
  } catch (const std::exception& fault) {
    std::cerr << "puffinvane: " << fault.what() << std::endl;
    return 1;
  }
}

}  // namespace
}  // namespace puffinvane

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  return puffinvane::run();
}
