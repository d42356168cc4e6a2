#include "tools/load_test/world/sidecar_process.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include "tools/load_test/loop/http.h"

namespace load_test {

namespace {
constexpr double kProbeInterval = 0.02;
// Seconds that a sidecar waited for a core between two polls that are reported as an event.
constexpr double kMinReportedCpuWait = 0.004;
}  // namespace

Usage usage_of(pid_t process) {
  Usage usage;
  std::string root = "/proc/" + std::to_string(process);
  std::ifstream stat(root + "/stat"), statm(root + "/statm"), scheduled(root + "/schedstat");
  std::string text;
  if (std::getline(stat, text)) {
    std::size_t at = text.rfind(')');
    unsigned long user = 0, system = 0;
    if (at != std::string::npos)
      std::sscanf(text.c_str() + at + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                  &system);
    usage.cpu = double(user + system) / double(sysconf(_SC_CLK_TCK));
  }
  long total = 0, resident = 0;
  if (statm >> total >> resident) usage.memory = double(resident) * double(sysconf(_SC_PAGESIZE));
  unsigned long long run_ns = 0, wait_ns = 0;
  if (scheduled >> run_ns >> wait_ns) {
    usage.cpu_wait = double(wait_ns) * 1e-9;
    usage.cpu = double(run_ns) * 1e-9;
  }
  if (DIR* folder = opendir((root + "/fd").c_str())) {
    while (readdir(folder)) ++usage.descriptors;
    closedir(folder);
    usage.descriptors = std::max(0, usage.descriptors - 2);
  }
  return usage;
}

// Sends one request on its own connection; status 0 means that no complete response came.
class SidecarProcess::HttpProbe final : Connection::Owner {
 public:
  HttpProbe(RunContext& context, const Address& to, const std::string& request,
            std::function<void(int status)> callback)
      : callback_(std::move(callback)),
        connection_(context.loop, *this),
        reader_(HttpReader::Kind::Responses) {
    pending_ = connection_.connect(to);
    if (pending_) connection_.send(request);
  }
  bool failed() const { return !pending_; }

 private:
  void on_bytes(Connection&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (reader_.complete()) finish(reader_.take().status);
  }
  void on_end(Connection&, bool) override { finish(0); }
  void finish(int status) {
    if (!std::exchange(pending_, false)) return;
    connection_.close();
    callback_(status);
  }
  std::function<void(int status)> callback_;
  Connection connection_;
  HttpReader reader_;
  bool pending_ = false;
};

SidecarProcess::SidecarProcess(RunContext& context, Owner& owner, int sidecar, int tier, std::string command,
                               std::string folder)
    : context_(context),
      owner_(owner),
      sidecar_(sidecar),
      tier_(tier),
      command_(std::move(command)),
      folder_(std::move(folder)) {}

SidecarProcess::~SidecarProcess() {
  lifetime_.reset();
  for (pid_t pid : {process_, successor_}) {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
}

void SidecarProcess::report(Event::Kind kind, double value, int status) {
  Event event{kind};
  event.sidecar = sidecar_;
  event.value = value;
  event.status = status;
  context_.report_action(event);
}

int SidecarProcess::count_log_lines(const std::string& event) const {
  std::ifstream log(folder_ + "/s" + std::to_string(sidecar_) + ".log");
  int count = 0;
  for (std::string line; std::getline(log, line);) count += line.find(event) != std::string::npos;
  return count;
}

void SidecarProcess::write_config(const SidecarConfig& config) const {
  if (!config.site.empty()) {
    std::string path = folder_ + "/" + config.name + ".site", new_path = path + ".new";
    std::ofstream(new_path) << config.site;
    std::rename(new_path.c_str(), path.c_str());
    return;
  }
  std::string path = folder_ + "/" + config.name + ".json", new_path = path + ".new";
  char seed[24];
  std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(config.seed));
  {
    std::ofstream file(new_path);
    file << R"({"name":")" << config.name << R"(","listen":")" << config.listen << R"(","discovery":")"
         << config.discovery << R"(","seed":")" << seed << R"(","limits":{"cores":1.0,"memory_mb":)"
         << config.memory_mb << R"(,"sockets":)" << config.descriptors << R"(},"known":)" << config.known
         << (config.admin.empty() ? "" : R"(,"console":")" + config.admin + '"') << R"(,"settings":)"
         << config.settings << "}\n";
  }
  std::rename(new_path.c_str(), path.c_str());
}

void SidecarProcess::start(const SidecarConfig& config) {
  if (phase_ != Phase::Down) return;
  process_ = spawn(config);
  listen_ = config.listen;
  admin_ = config.admin;
  phase_ = Phase::Starting;
  last_usage_ = Usage();
  probe();
}

pid_t SidecarProcess::spawn(const SidecarConfig& config) {
  write_config(config);
  ++starts_;
  std::string scratch = folder_ + "/" + config.name + ".tmp";
  mkdir(scratch.c_str(), 0755);
  std::string log = folder_ + "/" + config.name + ".log", config_path = folder_ + "/" + config.name + ".json";
  rlim_t descriptors = rlim_t(config.descriptors);
  pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    rlimit limit{descriptors, descriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
    setenv("TMPDIR", scratch.c_str(), 1);
    setenv("BALANCER_CONFIG", config_path.c_str(), 1);
    setenv("BALANCER_NAME", config.name.c_str(), 1);
    setenv("BALANCER_LISTEN", config.listen.c_str(), 1);
    setenv("BALANCER_DISCOVERY", config.discovery.c_str(), 1);
    std::string line = "exec " + command_;
    if (!config.site.empty()) line += " serve '" + folder_ + "/" + config.name + ".site'";
    execl("/bin/sh", "sh", "-c", line.c_str(), nullptr);
    _exit(127);
  }
  if (child < 0) throw std::runtime_error(std::string("cannot start a sidecar: ") + std::strerror(errno));
  return child;
}

void SidecarProcess::send_probe(const std::string& address, const std::string& request,
                                std::function<void(int status)> callback) {
  std::erase_if(probes_, [](const auto& call) { return call->failed(); });
  probes_.push_back(
      std::make_unique<HttpProbe>(context_, parse_address(address), request, std::move(callback)));
}

void SidecarProcess::call_admin_api(const std::string& command, const std::string& body,
                                    std::function<void(int status)> callback) {
  if (phase_ != Phase::Ready || admin_.empty()) return;
  send_probe(admin_,
             "PUT /api/" + command + " HTTP/1.1\r\nHost: console\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body,
             std::move(callback));
}

void SidecarProcess::start_successor(const SidecarConfig& config) {
  if (phase_ != Phase::Ready || successor_ > 0 || config.admin.empty()) return;
  successor_ = spawn(config);
  successor_admin_ = config.admin;
  await_successor();
}

void SidecarProcess::await_successor() {
  context_.loop.call_at(
      context_.loop.now() + kProbeInterval, [this, lifetime = std::weak_ptr<int>(lifetime_)] {
        if (lifetime.expired() || successor_ <= 0) return;
        send_probe(successor_admin_, "GET /api/ready HTTP/1.1\r\nHost: console\r\n\r\n", [this](int status) {
          if (status != 200) return await_successor();
          ::kill(process_, SIGTERM);
        });
      });
}

void SidecarProcess::probe() {
  if (phase_ != Phase::Starting) return;
  if (!probe_ || probe_->failed()) {
    context_.loop.delete_later(std::move(probe_));
    auto ready = [this](int status) {
      if (status != 200 || phase_ != Phase::Starting) return;
      phase_ = Phase::Ready;
      report(Event::Kind::SidecarUp);
      owner_.on_ready(*this);
    };
    probe_ = std::make_unique<HttpProbe>(
        context_, parse_address(listen_),
        "GET /healthz HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n", ready);
  }
  context_.loop.call_at(context_.loop.now() + kProbeInterval,
                        [this, lifetime = std::weak_ptr<int>(lifetime_)] {
                          if (!lifetime.expired()) probe();
                        });
}

void SidecarProcess::terminate() {
  if (phase_ != Phase::Ready) return;
  double longest_timeout = 0;
  for (const ClassPlan& request_class : context_.scenario.request_classes)
    longest_timeout = std::max(longest_timeout, request_class.client_timeout);
  exit_deadline_ =
      context_.loop.now() + std::min(longest_timeout, 3.0) + 0.7;  // the same limit as on the platform
  phase_ = Phase::Leaving;
  report(Event::Kind::SidecarLeaving);
  ::kill(process_, SIGTERM);
}

void SidecarProcess::kill() {
  if (phase_ == Phase::Down) return;
  report(Event::Kind::SidecarDown);
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  handle_exit();
}

void SidecarProcess::pause(double duration) {
  if (phase_ == Phase::Down) return;
  if (pause_count_++ == 0) report(Event::Kind::SidecarPaused);
  ::kill(process_, SIGSTOP);
  context_.loop.call_at(context_.loop.now() + duration,
                        [this, paused_process = process_, lifetime = std::weak_ptr<int>(lifetime_)] {
                          if (lifetime.expired() || process_ != paused_process || --pause_count_ > 0) return;
                          ::kill(process_, SIGCONT);
                          report(Event::Kind::SidecarResumed);
                        });
}

void SidecarProcess::send_sighup() {
  if (phase_ == Phase::Ready || phase_ == Phase::Leaving) ::kill(process_, SIGHUP);
}

void SidecarProcess::poll() {
  if (phase_ == Phase::Down) return;
  int status = 0;
  if (waitpid(process_, &status, WNOHANG) == process_) {
    if (successor_ > 0 && WIFEXITED(status) && WEXITSTATUS(status) == 0) {  // the successor has taken over
      process_ = std::exchange(successor_, -1);
      admin_ = successor_admin_;
      cpu_before_ += std::exchange(last_usage_, Usage()).cpu;
      return;
    }
    bool clean_exit = phase_ == Phase::Leaving && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!clean_exit)
      report(Event::Kind::SidecarCrashed, 0,
             WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
    report(Event::Kind::SidecarDown);
    return handle_exit();
  }
  Usage now = usage_of(process_);
  if (double waited = now.cpu_wait - last_usage_.cpu_wait;
      waited > kMinReportedCpuWait && last_usage_.cpu > 0)
    report(Event::Kind::SidecarCpuWait, waited);
  last_usage_ = now;
  peak_usage_.memory = std::max(peak_usage_.memory, now.memory);
  peak_usage_.descriptors = std::max(peak_usage_.descriptors, now.descriptors);
  // Requests that are still pending at the deadline are lost; SIGKILL only ends the wait.
  if (phase_ == Phase::Leaving && pause_count_ == 0 && context_.loop.now() > exit_deadline_ + 0.5) kill();
}

void SidecarProcess::handle_exit() {
  process_ = -1;
  pause_count_ = 0;
  cpu_before_ += std::exchange(last_usage_, Usage()).cpu;
  phase_ = Phase::Down;
  context_.loop.delete_later(std::move(probe_));
  owner_.on_exited(*this);
}

}  // namespace load_test
