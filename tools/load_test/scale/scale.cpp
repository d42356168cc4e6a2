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

constexpr double kStartTimeout = 30, kPollInterval = 0.05;  // seconds
constexpr double kResponseDelay = 0.01;                     // seconds until an endpoint responds
constexpr double kClientTimeout = 1;                        // seconds
// A typical deployment has about 300 sidecars and 200 endpoints; the largest ones have 900 and 3,200.
constexpr int kSidecars = 300, kMaxSidecars = 900, kUsualEndpoints = 200;
constexpr int kFirstPort = 12000;
constexpr double kMegabyte = 1048576, kKilobyte = 1024;

// Endpoints that respond to every request after the same delay and count the connections.
class Endpoints final : public Listener::Owner {
 public:
  Endpoints(EventLoop& loop, const std::vector<Address>& at) : loop_(loop) {
    for (const Address& one : at) listeners_.push_back(std::make_unique<Listener>(loop, *this, one, 0));
  }
  int connections() const { return connections_; }

 private:
  class Session final : public Connection::Owner {
   public:
    Session(Endpoints& endpoints, int descriptor)
        : endpoints_(endpoints), connection_(endpoints.loop_, *this), reader_(HttpReader::Kind::Requests) {
      connection_.attach(descriptor);
    }
    ~Session() override { endpoints_.loop_.cancel(timer_); }

   private:
    void on_bytes(Connection&, std::string_view bytes) override {
      reader_.feed(bytes);
      if (!reader_.complete()) return;
      reader_.take();
      timer_ = endpoints_.loop_.call_at(endpoints_.loop_.now() + kResponseDelay, [this] {
        connection_.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n");
      });
    }
    void on_end(Connection&, bool) override {
      connection_.close();
      auto found = endpoints_.sessions_.extract(this);
      if (!found.empty()) endpoints_.loop_.delete_later(std::move(found.mapped()));
    }
    Endpoints& endpoints_;
    Connection connection_;
    HttpReader reader_;
    EventLoop::Timer timer_{};
  };
  void on_accepted(Listener&, int descriptor) override {
    ++connections_;
    auto session = std::make_unique<Session>(*this, descriptor);
    const Session* key = session.get();
    sessions_.emplace(key, std::move(session));
  }

  EventLoop& loop_;
  int connections_ = 0;
  std::unordered_map<const Session*, std::unique_ptr<Session>> sessions_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

// Sends requests to one sidecar, on an idle connection if there is one and otherwise on a new one.
class Clients {
 public:
  Clients(EventLoop& loop, const Address& to, std::string target)
      : loop_(loop), to_(to), target_(std::move(target)) {}
  void send_one() {
    ++sent_;
    for (auto& connection : connections_) {
      if (connection->idle()) return connection->send_request(sent_);
    }
    connections_.push_back(std::make_unique<ClientConnection>(*this));
    connections_.back()->send_request(sent_);
  }
  double served_share() const { return sent_ > 0 ? double(served_) / sent_ : 0; }

 private:
  class ClientConnection final : Connection::Owner {
   public:
    explicit ClientConnection(Clients& clients)
        : clients_(clients), connection_(clients.loop_, *this), reader_(HttpReader::Kind::Responses) {}
    bool idle() const { return !waiting_; }
    void send_request(int number) {
      waiting_ = true;
      deadline_ = clients_.loop_.now() + kClientTimeout;
      if (!connection_.is_open() && !connection_.connect(clients_.to_)) {
        waiting_ = false;
        return;
      }
      connection_.send("GET " + clients_.target_ +
                       " HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + std::to_string(number) +
                       "\r\nX-Time-Left: " + std::to_string(int(kClientTimeout * 1000)) + "m\r\n\r\n");
    }

   private:
    void on_bytes(Connection&, std::string_view bytes) override {
      reader_.feed(bytes);
      if (!reader_.complete()) return;
      HttpMessage response = reader_.take();
      waiting_ = false;
      clients_.served_ += response.status == 200 && clients_.loop_.now() <= deadline_;
      if (response.close) connection_.close();
    }
    void on_end(Connection&, bool) override {
      connection_.close();
      reader_ = HttpReader(HttpReader::Kind::Responses);
      waiting_ = false;
    }
    Clients& clients_;
    Connection connection_;
    HttpReader reader_;
    bool waiting_ = false;
    double deadline_ = 0;
  };
  EventLoop& loop_;
  Address to_;
  std::string target_;
  int sent_ = 0, served_ = 0;
  std::vector<std::unique_ptr<ClientConnection>> connections_;
};

double peak_memory(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  double kilobytes = 0;
  for (std::string line; std::getline(status, line);) {
    if (std::sscanf(line.c_str(), "VmHWM: %lf", &kilobytes) == 1) return kilobytes * kKilobyte;
  }
  return 0;
}

// A measurement of one sidecar with its endpoints, discovery and clients.
class ScaleRun final : public SidecarProcess::Owner {
 public:
  ScaleRun(EventLoop& loop, const ScalePlan& plan, int endpoints, int number)
      : loop_(loop),
        plan_(plan),
        scenario_(single_tier_scenario()),
        context_{loop, scenario_, observer_, RandomSource(1)} {
    std::string template_path = (std::filesystem::temp_directory_path() / "rehearse-XXXXXX").string();
    if (!mkdtemp(template_path.data())) throw std::runtime_error("cannot create a temporary folder");
    folder_ = template_path;
    std::string host = "127." + std::to_string(20 + number) + "." + std::to_string(getpid() / 200 % 200) +
                       "." + std::to_string(getpid() % 200 + 1);
    std::vector<Address> at;
    for (int i = 0; i < endpoints; ++i) at.push_back({host, kFirstPort + i});
    metrics_.endpoints = endpoints;
    endpoints_ = std::make_unique<Endpoints>(loop, at);
    discovery_ = std::make_unique<ListServer>(loop, Address{host, kFirstPort - 1}, at);
    Address listen{host, kFirstPort - 2};
    clients_ = std::make_unique<Clients>(loop, listen, "/" + scenario_.request_classes.front().name + "/one");
    sidecar_ = std::make_unique<SidecarProcess>(context_, *this, 0, 0, plan.command, folder_);
    SidecarConfig config;
    config.name = "scale";
    config.listen = listen.text();
    config.discovery = discovery_->address().text();
    config.known = discovery_->full_list();
    int sidecars = std::clamp(kSidecars * endpoints / kUsualEndpoints, kSidecars, kMaxSidecars);
    config.settings = settings_json(scenario_, 0, sidecars / 3, sidecars);
    sidecar_->start(config);
  }
  ~ScaleRun() override {
    sidecar_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  bool ready() const { return ready_; }
  void start() {
    start_ = loop_.now();
    repeat_every(1 / plan_.rate, [this] { clients_->send_one(); });
    repeat_every(1 / plan_.changes, [this] { discovery_->replace_endpoint(); });
    repeat_every(kPollInterval, [this] { sample_usage(); });
  }
  bool finished() const { return loop_.now() >= start_ + plan_.seconds; }
  ScaleMetrics metrics() {
    sample_usage();
    metrics_.connections = endpoints_->connections();
    metrics_.list_kb = double(discovery_->bytes_sent()) / kKilobyte;
    metrics_.full_lists = discovery_->full_list_count();
    metrics_.served_share = clients_->served_share();
    return metrics_;
  }

 private:
  static Scenario single_tier_scenario() {
    Scenario scenario = default_scenario();
    scenario.tiers.resize(1);
    scenario.tiers[0].calls_per_request = 0;
    return scenario;
  }
  void repeat_every(double interval, const std::function<void()>& task) {
    schedule_repeat(loop_.now() + interval, interval, task);
  }
  void schedule_repeat(double when, double interval, const std::function<void()>& task) {
    loop_.call_at(when, [this, when, interval, task] {
      if (finished()) return;
      task();
      schedule_repeat(when + interval, interval, task);
    });
  }
  void sample_usage() {
    pid_t process = sidecar_->process();
    Usage usage = usage_of(process);
    metrics_.cpu_seconds = std::max(metrics_.cpu_seconds, usage.cpu);
    metrics_.descriptors = std::max(metrics_.descriptors, usage.descriptors);
    metrics_.peak_memory_mb = std::max(metrics_.peak_memory_mb, peak_memory(process) / kMegabyte);
  }
  void on_ready(SidecarProcess&) override { ready_ = true; }
  void on_exited(SidecarProcess&) override {}
  class NullObserver final : public Observer {
    void observe(const Event&) override {}
  };

  EventLoop& loop_;
  const ScalePlan& plan_;
  NullObserver observer_;
  Scenario scenario_;
  RunContext context_;
  std::string folder_;
  ScaleMetrics metrics_;
  std::unique_ptr<Endpoints> endpoints_;
  std::unique_ptr<ListServer> discovery_;
  std::unique_ptr<Clients> clients_;
  std::unique_ptr<SidecarProcess> sidecar_;
  bool ready_ = false;
  double start_ = 0;
};

std::vector<ScaleMetrics> run_sizes(const ScalePlan& plan, const std::vector<int>& sizes) {
  EventLoop loop;
  std::vector<std::unique_ptr<ScaleRun>> runs;
  for (int size : sizes) runs.push_back(std::make_unique<ScaleRun>(loop, plan, size, int(runs.size())));
  double until = loop.now() + kStartTimeout;
  auto all = [&runs](auto is) { return std::all_of(runs.begin(), runs.end(), is); };
  auto ready = [](const auto& run) { return run->ready(); };
  loop.run([&] { return all(ready) || loop.now() > until; });
  if (!all(ready)) throw std::runtime_error("a sidecar did not become ready: " + plan.command);
  for (auto& run : runs) run->start();
  loop.run([&] { return all([](const auto& run) { return run->finished(); }); });
  std::vector<ScaleMetrics> metrics;
  for (auto& run : runs) metrics.push_back(run->metrics());
  return metrics;
}

// The process needs a listening socket for each endpoint.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

std::vector<ScaleMetrics> measure_scale(const ScalePlan& plan) {
  raise_descriptor_limit();
  if (plan.parallel) return run_sizes(plan, plan.endpoints);
  std::vector<ScaleMetrics> all;
  for (int size : plan.endpoints) all.push_back(run_sizes(plan, {size}).front());
  return all;
}

std::vector<ScaleBound> scale_bounds(const ScaleMetrics& usual, const ScaleMetrics& larger) {
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
  std::vector<ScaleMetrics> all = measure_scale(plan);
  bool all_hold = true;
  out << "| endpoints | what | usual | measured | bound | holds |\n| --- | --- | --- | --- | --- | --- |\n"
      << std::fixed << std::setprecision(2);
  std::vector<ScaleBound> usual = scale_bounds(all.front(), all.front());
  for (std::size_t run = 1; run < all.size(); ++run) {
    std::vector<ScaleBound> bounds = scale_bounds(all.front(), all[run]);
    for (std::size_t i = 0; i < bounds.size(); ++i) {
      all_hold = all_hold && bounds[i].holds();
      out << "| " << all[run].endpoints << " | " << bounds[i].what << " | " << usual[i].measured << " | "
          << bounds[i].measured << " | " << (bounds[i].at_least ? "at least " : "") << bounds[i].bound
          << " | " << (bounds[i].holds() ? "yes" : "NO") << " |\n";
    }
  }
  return all_hold;
}

}  // namespace load_test
