#include "tools/load_test/scale/scale.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <stdexcept>

#include "tools/load_test/scale/list_server.h"
#include "tools/load_test/world/fleet.h"

namespace load_test {

namespace {

constexpr double kReadyWithin = 30, kLook = 0.05;  // seconds
constexpr double kAnswersAfter = 0.01;             // seconds of an endpoint's work
constexpr double kTimeLeft = 1;                    // seconds that a client waits
// A usual day has about 300 sidecars for 200 endpoints; the largest fleets have 900 and 3,200.
constexpr int kSidecars = 300, kMostSidecars = 900, kUsualEndpoints = 200;
constexpr int kFirstPort = 12000;
constexpr double kMegabyte = 1048576, kKilobyte = 1024;

// Endpoints that answer each request after the same time, and count who connects.
class Endpoints final : public Listener::Owner {
 public:
  Endpoints(Loop& loop, const std::vector<Address>& at) : loop_(loop) {
    for (const Address& one : at) listeners_.push_back(std::make_unique<Listener>(loop, *this, one, 0));
  }
  int connections() const { return connections_; }

 private:
  class Link final : public Line::Owner {
   public:
    Link(Endpoints& all, int descriptor) : all_(all), line_(all.loop_, *this), reader_(Reader::Of::Requests) {
      line_.adopt(descriptor);
    }
    ~Link() override { all_.loop_.cancel(timer_); }

   private:
    void on_bytes(Line&, std::string_view bytes) override {
      reader_.feed(bytes);
      if (!reader_.whole()) return;
      reader_.take();
      timer_ = all_.loop_.at(all_.loop_.now() + kAnswersAfter,
                             [this] { line_.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"); });
    }
    void on_end(Line&, bool) override {
      line_.close();
      auto found = all_.links_.extract(this);
      if (!found.empty()) all_.loop_.bury(std::move(found.mapped()));
    }
    Endpoints& all_;
    Line line_;
    Reader reader_;
    Loop::Timer timer_{};
  };
  void on_accepted(Listener&, int descriptor) override {
    ++connections_;
    auto link = std::make_unique<Link>(*this, descriptor);
    const Link* key = link.get();
    links_.emplace(key, std::move(link));
  }

  Loop& loop_;
  int connections_ = 0;
  std::unordered_map<const Link*, std::unique_ptr<Link>> links_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

// Clients of one sidecar: a request goes on a connection that rests, else on a new one.
class Clients {
 public:
  Clients(Loop& loop, const Address& to, std::string target)
      : loop_(loop), to_(to), target_(std::move(target)) {}
  void send_one() {
    ++sent_;
    for (auto& one : all_) {
      if (one->rests()) return one->ask(sent_);
    }
    all_.push_back(std::make_unique<One>(*this));
    all_.back()->ask(sent_);
  }
  double served_share() const { return sent_ > 0 ? double(served_) / sent_ : 0; }

 private:
  class One final : Line::Owner {
   public:
    explicit One(Clients& all) : all_(all), line_(all.loop_, *this), reader_(Reader::Of::Answers) {}
    bool rests() const { return !asked_; }
    void ask(int number) {
      asked_ = true;
      due_ = all_.loop_.now() + kTimeLeft;
      if (!line_.open() && !line_.connect(all_.to_)) {
        asked_ = false;
        return;
      }
      line_.send("GET " + all_.target_ +
                 " HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + std::to_string(number) +
                 "\r\nX-Time-Left: " + std::to_string(int(kTimeLeft * 1000)) + "m\r\n\r\n");
    }

   private:
    void on_bytes(Line&, std::string_view bytes) override {
      reader_.feed(bytes);
      if (!reader_.whole()) return;
      Message answer = reader_.take();
      asked_ = false;
      all_.served_ += answer.status == 200 && all_.loop_.now() <= due_;
      if (answer.close) line_.close();
    }
    void on_end(Line&, bool) override {
      line_.close();
      reader_ = Reader(Reader::Of::Answers);
      asked_ = false;
    }
    Clients& all_;
    Line line_;
    Reader reader_;
    bool asked_ = false;
    double due_ = 0;
  };
  Loop& loop_;
  Address to_;
  std::string target_;
  int sent_ = 0, served_ = 0;
  std::vector<std::unique_ptr<One>> all_;
};

double peak_memory(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  double kilobytes = 0;
  for (std::string line; std::getline(status, line);) {
    if (std::sscanf(line.c_str(), "VmHWM: %lf", &kilobytes) == 1) return kilobytes * kKilobyte;
  }
  return 0;
}

// One sidecar with its endpoints, its discovery and its clients.
class Day final : public Process::Owner {
 public:
  Day(Loop& loop, const ScalePlan& plan, int endpoints, int number)
      : loop_(loop), plan_(plan), scenario_(script_of_day()), world_{loop, scenario_, nobody_, Chance(1)} {
    std::string made = (std::filesystem::temp_directory_path() / "rehearse-XXXXXX").string();
    if (!mkdtemp(made.data())) throw std::runtime_error("no folder");
    folder_ = made;
    std::string host = "127." + std::to_string(20 + number) + "." + std::to_string(getpid() / 200 % 200) +
                       "." + std::to_string(getpid() % 200 + 1);
    std::vector<Address> at;
    for (int i = 0; i < endpoints; ++i) at.push_back({host, kFirstPort + i});
    figures_.endpoints = endpoints;
    endpoints_ = std::make_unique<Endpoints>(loop, at);
    discovery_ = std::make_unique<ListServer>(loop, Address{host, kFirstPort - 1}, at);
    Address listen{host, kFirstPort - 2};
    clients_ = std::make_unique<Clients>(loop, listen, "/" + scenario_.request_classes.front().name + "/one");
    sidecar_ = std::make_unique<Process>(world_, *this, 0, 0, plan.command, folder_);
    SidecarConfig assignment;
    assignment.name = "scale";
    assignment.listen = listen.text();
    assignment.discovery = discovery_->address().text();
    assignment.known = discovery_->whole();
    int sidecars = std::clamp(kSidecars * endpoints / kUsualEndpoints, kSidecars, kMostSidecars);
    assignment.settings = settings_json(scenario_, 0, sidecars / 3, sidecars);
    sidecar_->start(assignment);
  }
  ~Day() override {
    sidecar_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  bool ready() const { return ready_; }
  void begin() {
    begun_ = loop_.now();
    every(1 / plan_.rate, [this] { clients_->send_one(); });
    every(1 / plan_.changes, [this] { discovery_->replace_one(); });
    every(kLook, [this] { look(); });
  }
  bool over() const { return loop_.now() >= begun_ + plan_.seconds; }
  ScaleFigures figures() {
    look();
    figures_.connections = endpoints_->connections();
    figures_.list_kb = double(discovery_->bytes()) / kKilobyte;
    figures_.lists = discovery_->whole_lists();
    figures_.served_share = clients_->served_share();
    return figures_;
  }

 private:
  static Scenario script_of_day() {
    Scenario scenario = default_scenario();
    scenario.tiers.resize(1);
    scenario.tiers[0].calls = 0;
    return scenario;
  }
  void every(double span, const std::function<void()>& what) { at_each(loop_.now() + span, span, what); }
  void at_each(double when, double span, const std::function<void()>& what) {
    loop_.at(when, [this, when, span, what] {
      if (over()) return;
      what();
      at_each(when + span, span, what);
    });
  }
  void look() {
    pid_t process = sidecar_->process();
    Usage usage = usage_of(process);
    figures_.cpu_seconds = std::max(figures_.cpu_seconds, usage.cpu);
    figures_.descriptors = std::max(figures_.descriptors, usage.descriptors);
    figures_.peak_memory_mb = std::max(figures_.peak_memory_mb, peak_memory(process) / kMegabyte);
  }
  void on_ready(Process&) override { ready_ = true; }
  void on_left(Process&) override {}
  class Nobody final : public Observer {
    void observe(const Event&) override {}
  };

  Loop& loop_;
  const ScalePlan& plan_;
  Nobody nobody_;
  Scenario scenario_;
  World world_;
  std::string folder_;
  ScaleFigures figures_;
  std::unique_ptr<Endpoints> endpoints_;
  std::unique_ptr<ListServer> discovery_;
  std::unique_ptr<Clients> clients_;
  std::unique_ptr<Process> sidecar_;
  bool ready_ = false;
  double begun_ = 0;
};

std::vector<ScaleFigures> play_days(const ScalePlan& plan, const std::vector<int>& sizes) {
  Loop loop;
  std::vector<std::unique_ptr<Day>> days;
  for (int size : sizes) days.push_back(std::make_unique<Day>(loop, plan, size, int(days.size())));
  double until = loop.now() + kReadyWithin;
  auto all = [&days](auto is) { return std::all_of(days.begin(), days.end(), is); };
  auto ready = [](const auto& day) { return day->ready(); };
  loop.run([&] { return all(ready) || loop.now() > until; });
  if (!all(ready)) throw std::runtime_error("a sidecar did not get ready: " + plan.command);
  for (auto& day : days) day->begin();
  loop.run([&] { return all([](const auto& day) { return day->over(); }); });
  std::vector<ScaleFigures> figures;
  for (auto& day : days) figures.push_back(day->figures());
  return figures;
}

// Each endpoint has a listening socket here.
void raise_descriptors() {
  rlimit most{};
  getrlimit(RLIMIT_NOFILE, &most);
  most.rlim_cur = most.rlim_max;
  setrlimit(RLIMIT_NOFILE, &most);
}

}  // namespace

std::vector<ScaleFigures> measure_scale(const ScalePlan& plan) {
  raise_descriptors();
  if (plan.side_by_side) return play_days(plan, plan.endpoints);
  std::vector<ScaleFigures> all;
  for (int size : plan.endpoints) all.push_back(play_days(plan, {size}).front());
  return all;
}

std::vector<ScaleBound> scale_bounds(const ScaleFigures& usual, const ScaleFigures& larger) {
  double thousands = larger.endpoints / 1000.0;
  return {
      {"CPU seconds", larger.cpu_seconds, 1.4 * usual.cpu_seconds + 0.02 + 0.03 * thousands},
      {"peak memory, MB", larger.peak_memory_mb, 1.5 * usual.peak_memory_mb + 8 + 4 * thousands},
      {"descriptors", double(larger.descriptors), 2.0 * usual.descriptors + 40},
      {"connections to endpoints", double(larger.connections), 2.5 * usual.connections + 40},
      {"bytes of lists, KB", larger.list_kb, 2 * usual.list_kb + 64 + 500 * thousands},
      {"share served", larger.served_share, 0.85 * usual.served_share, true},
  };
}

bool report_scale(const ScalePlan& plan, std::ostream& out) {
  std::vector<ScaleFigures> all = measure_scale(plan);
  bool held = true;
  out << "| endpoints | what | usual | measured | bound | holds |\n| --- | --- | --- | --- | --- | --- |\n"
      << std::fixed << std::setprecision(2);
  std::vector<ScaleBound> usual = scale_bounds(all.front(), all.front());
  for (std::size_t day = 1; day < all.size(); ++day) {
    std::vector<ScaleBound> bounds = scale_bounds(all.front(), all[day]);
    for (std::size_t i = 0; i < bounds.size(); ++i) {
      held = held && bounds[i].holds();
      out << "| " << all[day].endpoints << " | " << bounds[i].what << " | " << usual[i].measured << " | "
          << bounds[i].measured << " | " << (bounds[i].at_least ? "at least " : "") << bounds[i].bound
          << " | " << (bounds[i].holds() ? "yes" : "NO") << " |\n";
    }
  }
  return held;
}

}  // namespace load_test
