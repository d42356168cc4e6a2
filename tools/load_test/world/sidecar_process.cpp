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
constexpr double kProbeEvery = 0.02;
constexpr double kStarvedNoted = 0.004;  // seconds between two looks that are worth an event
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
  long all = 0, resident = 0;
  if (statm >> all >> resident) usage.memory = double(resident) * double(sysconf(_SC_PAGESIZE));
  unsigned long long ran = 0, waited = 0;
  if (scheduled >> ran >> waited) {
    usage.starved = double(waited) * 1e-9;
    usage.cpu = double(ran) * 1e-9;
  }
  if (DIR* folder = opendir((root + "/fd").c_str())) {
    while (readdir(folder)) ++usage.descriptors;
    closedir(folder);
    usage.descriptors = std::max(0, usage.descriptors - 2);
  }
  return usage;
}

// Asks once, on a connection of its own; status 0: no whole answer came.
class Process::Probe final : Line::Owner {
 public:
  Probe(World& world, const Address& to, const std::string& request, std::function<void(int status)> then)
      : then_(std::move(then)), line_(world.loop, *this), reader_(Reader::Of::Answers) {
    up_ = line_.connect(to);
    if (up_) line_.send(request);
  }
  bool failed() const { return !up_; }

 private:
  void on_bytes(Line&, std::string_view bytes) override {
    reader_.feed(bytes);
    if (reader_.whole()) over(reader_.take().status);
  }
  void on_end(Line&, bool) override { over(0); }
  void over(int status) {
    if (!std::exchange(up_, false)) return;
    line_.close();
    then_(status);
  }
  std::function<void(int status)> then_;
  Line line_;
  Reader reader_;
  bool up_ = false;
};

Process::Process(World& world, Owner& owner, int sidecar, int tier, std::string command, std::string folder)
    : world_(world),
      owner_(owner),
      sidecar_(sidecar),
      tier_(tier),
      command_(std::move(command)),
      folder_(std::move(folder)) {}

Process::~Process() {
  life_.reset();
  for (pid_t one : {process_, successor_}) {
    if (one > 0) {
      ::kill(one, SIGKILL);
      waitpid(one, nullptr, 0);
    }
  }
}

void Process::see(Event::Kind kind, double figure, int status) {
  Event event{kind};
  event.sidecar = sidecar_;
  event.figure = figure;
  event.status = status;
  world_.did(event);
}

int Process::logged(const std::string& event) const {
  std::ifstream log(folder_ + "/s" + std::to_string(sidecar_) + ".log");
  int count = 0;
  for (std::string line; std::getline(log, line);) count += line.find(event) != std::string::npos;
  return count;
}

void Process::write_file(const SidecarConfig& assignment) const {
  if (!assignment.site.empty()) {
    std::string path = folder_ + "/" + assignment.name + ".site", fresh = path + ".new";
    std::ofstream(fresh) << assignment.site;
    std::rename(fresh.c_str(), path.c_str());
    return;
  }
  std::string path = folder_ + "/" + assignment.name + ".json", fresh = path + ".new";
  char seed[24];
  std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(assignment.seed));
  {
    std::ofstream file(fresh);
    file << R"({"name":")" << assignment.name << R"(","listen":")" << assignment.listen
         << R"(","discovery":")" << assignment.discovery << R"(","seed":")" << seed
         << R"(","limits":{"cores":1.0,"memory_mb":)" << assignment.memory_mb << R"(,"sockets":)"
         << assignment.descriptors << R"(},"known":)" << assignment.known
         << (assignment.admin.empty() ? "" : R"(,"console":")" + assignment.admin + '"') << R"(,"settings":)"
         << assignment.settings << "}\n";
  }
  std::rename(fresh.c_str(), path.c_str());
}

void Process::start(const SidecarConfig& assignment) {
  if (phase_ != Phase::Down) return;
  process_ = spawn(assignment);
  listen_ = assignment.listen;
  admin_ = assignment.admin;
  phase_ = Phase::Starting;
  last_ = Usage();
  probe();
}

pid_t Process::spawn(const SidecarConfig& assignment) {
  write_file(assignment);
  ++starts_;
  std::string scratch = folder_ + "/" + assignment.name + ".tmp";
  mkdir(scratch.c_str(), 0755);
  std::string log = folder_ + "/" + assignment.name + ".log",
              config = folder_ + "/" + assignment.name + ".json";
  rlim_t descriptors = rlim_t(assignment.descriptors);
  pid_t started = fork();
  if (started == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    rlimit most{descriptors, descriptors};
    setrlimit(RLIMIT_NOFILE, &most);
    setenv("TMPDIR", scratch.c_str(), 1);
    setenv("BALANCER_CONFIG", config.c_str(), 1);
    setenv("BALANCER_NAME", assignment.name.c_str(), 1);
    setenv("BALANCER_LISTEN", assignment.listen.c_str(), 1);
    setenv("BALANCER_DISCOVERY", assignment.discovery.c_str(), 1);
    std::string line = "exec " + command_;
    if (!assignment.site.empty()) line += " serve '" + folder_ + "/" + assignment.name + ".site'";
    execl("/bin/sh", "sh", "-c", line.c_str(), nullptr);
    _exit(127);
  }
  if (started < 0) throw std::runtime_error(std::string("can't start a sidecar: ") + std::strerror(errno));
  return started;
}

void Process::ask(const std::string& at, const std::string& request, std::function<void(int status)> then) {
  std::erase_if(calls_, [](const auto& call) { return call->failed(); });
  calls_.push_back(std::make_unique<Probe>(world_, read_address(at), request, std::move(then)));
}

void Process::call(const std::string& order, const std::string& body, std::function<void(int status)> then) {
  if (phase_ != Phase::Ready || admin_.empty()) return;
  ask(admin_,
      "PUT /api/" + order + " HTTP/1.1\r\nHost: console\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body,
      std::move(then));
}

void Process::succeed(const SidecarConfig& assignment) {
  if (phase_ != Phase::Ready || successor_ > 0 || assignment.admin.empty()) return;
  successor_ = spawn(assignment);
  successor_admin_ = assignment.admin;
  await_successor();
}

void Process::await_successor() {
  world_.loop.at(world_.loop.now() + kProbeEvery, [this, life = std::weak_ptr<int>(life_)] {
    if (life.expired() || successor_ <= 0) return;
    ask(successor_admin_, "GET /api/ready HTTP/1.1\r\nHost: console\r\n\r\n", [this](int status) {
      if (status != 200) return await_successor();
      ::kill(process_, SIGTERM);
    });
  });
}

void Process::probe() {
  if (phase_ != Phase::Starting) return;
  if (!probe_ || probe_->failed()) {
    world_.loop.bury(std::move(probe_));
    auto ready = [this](int status) {
      if (status != 200 || phase_ != Phase::Starting) return;
      phase_ = Phase::Ready;
      see(Event::Kind::SidecarUp);
      owner_.on_ready(*this);
    };
    probe_ =
        std::make_unique<Probe>(world_, read_address(listen_),
                                "GET /healthz HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n", ready);
  }
  world_.loop.at(world_.loop.now() + kProbeEvery, [this, life = std::weak_ptr<int>(life_)] {
    if (!life.expired()) probe();
  });
}

void Process::terminate() {
  if (phase_ != Phase::Ready) return;
  double longest = 0;
  for (const ClassPlan& request_class : world_.scenario.request_classes)
    longest = std::max(longest, request_class.client_timeout);
  leave_by_ = world_.loop.now() + std::min(longest, 3.0) + 0.7;  // as the platform does
  phase_ = Phase::Leaving;
  see(Event::Kind::SidecarLeaving);
  ::kill(process_, SIGTERM);
}

void Process::kill() {
  if (phase_ == Phase::Down) return;
  see(Event::Kind::SidecarDown);
  ::kill(process_, SIGKILL);
  waitpid(process_, nullptr, 0);
  gone();
}

void Process::pause(double span) {
  if (phase_ == Phase::Down) return;
  if (paused_++ == 0) see(Event::Kind::SidecarPaused);
  ::kill(process_, SIGSTOP);
  world_.loop.at(world_.loop.now() + span, [this, of = process_, life = std::weak_ptr<int>(life_)] {
    if (life.expired() || process_ != of || --paused_ > 0) return;
    ::kill(process_, SIGCONT);
    see(Event::Kind::SidecarResumed);
  });
}

void Process::hang_up() {
  if (phase_ == Phase::Ready || phase_ == Phase::Leaving) ::kill(process_, SIGHUP);
}

void Process::look() {
  if (phase_ == Phase::Down) return;
  int status = 0;
  if (waitpid(process_, &status, WNOHANG) == process_) {
    if (successor_ > 0 && WIFEXITED(status) && WEXITSTATUS(status) == 0) {  // it gave way, as it should
      process_ = std::exchange(successor_, -1);
      admin_ = successor_admin_;
      cpu_before_ += std::exchange(last_, Usage()).cpu;
      return;
    }
    bool clean = phase_ == Phase::Leaving && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!clean)
      see(Event::Kind::SidecarCrashed, 0, WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
    see(Event::Kind::SidecarDown);
    return gone();
  }
  Usage now = usage_of(process_);
  if (double waited = now.starved - last_.starved; waited > kStarvedNoted && last_.cpu > 0)
    see(Event::Kind::SidecarStarved, waited);
  last_ = now;
  most_.memory = std::max(most_.memory, now.memory);
  most_.descriptors = std::max(most_.descriptors, now.descriptors);
  // What is still held when its time is up is lost; SIGKILL only ends the wait.
  if (phase_ == Phase::Leaving && paused_ == 0 && world_.loop.now() > leave_by_ + 0.5) kill();
}

void Process::gone() {
  process_ = -1;
  paused_ = 0;
  cpu_before_ += std::exchange(last_, Usage()).cpu;
  phase_ = Phase::Down;
  world_.loop.bury(std::move(probe_));
  owner_.on_left(*this);
}

}  // namespace load_test
