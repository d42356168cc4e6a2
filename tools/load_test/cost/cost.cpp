#include "tools/load_test/cost/cost.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "tools/load_test/cost/load.h"
#include "tools/load_test/report/compare.h"
#include "tools/load_test/world/discovery.h"
#include "tools/load_test/world/fleet.h"

namespace load_test {

namespace {

// Several processes each, so that neither the servers nor the load generators limit the measured rate.
constexpr int kServerProcesses = 2, kLoadProcesses = 2;
constexpr double kStartTimeout = 10;

// Endpoints that send the same response to every request, at once or after a fixed delay.
class FixedResponseServer final : public Listener::Owner {
 public:
  FixedResponseServer(EventLoop& loop, const std::vector<Address>& at, double response_delay)
      : loop_(loop), response_delay_(response_delay) {
    for (const Address& one : at) listeners_.push_back(std::make_unique<Listener>(loop, *this, one, 0));
  }

 private:
  class Session final : public Connection::Owner {
   public:
    Session(FixedResponseServer& server, int descriptor) : server_(server), connection_(server.loop_, *this) {
      connection_.attach(descriptor);
    }

   private:
    void on_bytes(Connection&, std::string_view bytes) override {
      received_ += bytes;
      for (std::size_t end; (end = received_.find("\r\n\r\n")) != std::string::npos;) {
        received_.erase(0, end + 4);
        if (server_.response_delay_ <= 0) {
          send_response();
        } else {
          server_.loop_.call_at(server_.loop_.now() + server_.response_delay_,
                                [this, lifetime = std::weak_ptr<int>(lifetime_)] {
                                  if (!lifetime.expired()) send_response();
                                });
        }
      }
    }
    void send_response() { connection_.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"); }
    void on_end(Connection&, bool) override {
      connection_.close();
      auto found = server_.sessions_.extract(this);
      if (!found.empty()) server_.loop_.delete_later(std::move(found.mapped()));
    }
    FixedResponseServer& server_;
    Connection connection_;
    std::string received_;
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
  };
  void on_accepted(Listener&, int descriptor) override {
    auto session = std::make_unique<Session>(*this, descriptor);
    const Session* key = session.get();
    sessions_.emplace(key, std::move(session));
  }
  EventLoop& loop_;
  const double response_delay_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<const Session*, std::unique_ptr<Session>> sessions_;
};

class ChildProcess {
 public:
  explicit ChildProcess(const std::function<void(int)>& body) {
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) throw std::runtime_error("cannot create a pipe");
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("cannot start a process");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      close(pipe_ends[0]);
      body(pipe_ends[1]);
      _exit(0);
    }
    close(pipe_ends[1]);
    read_end_ = pipe_ends[0];
  }
  ~ChildProcess() {
    close(read_end_);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  std::string read_all() const {
    std::string all;
    char bytes[4096];
    for (ssize_t count; (count = read(read_end_, bytes, sizeof bytes)) > 0;)
      all.append(bytes, std::size_t(count));
    return all;
  }

 private:
  pid_t pid_;
  int read_end_;
};

LoadResult run_load_in_processes(const LoadPlan& plan) {
  std::vector<std::unique_ptr<ChildProcess>> children;
  int loaders = std::min(kLoadProcesses, plan.connections);
  for (int i = 0; i < loaders; ++i) {
    LoadPlan part = plan;
    part.connections = plan.connections / loaders + (i < plan.connections % loaders);
    part.rate = plan.rate / loaders;
    children.push_back(std::make_unique<ChildProcess>([part](int write_end) {
      LoadResult loaded = run_load(part);
      nlohmann::json measured = {{"steps", loaded.latency.buckets()},
                                 {"good", loaded.good},
                                 {"other", loaded.other},
                                 {"broken", loaded.broken},
                                 {"seconds", loaded.seconds}};
      std::string text = measured.dump();
      for (std::size_t sent = 0; sent < text.size();) {
        ssize_t count = ::write(write_end, text.data() + sent, text.size() - sent);
        if (count <= 0) return;
        sent += std::size_t(count);
      }
    }));
  }
  LoadResult sum;
  for (auto& child : children) {
    nlohmann::json measured = nlohmann::json::parse(child->read_all());
    Histogram part;
    part.set_buckets(measured["steps"].get<std::vector<std::uint64_t>>());
    sum.latency.add(part);
    sum.good += measured["good"].get<std::uint64_t>();
    sum.other += measured["other"].get<std::uint64_t>();
    sum.broken += measured["broken"].get<std::uint64_t>();
    sum.seconds = std::max(sum.seconds, measured["seconds"].get<double>());
  }
  return sum;
}

struct CostRow {
  std::string name;
  int connections = 64, endpoints = 3;
  double response_delay = 0, rate = 0;
};

// Starts one sidecar with its endpoints and discovery, and stops them in the destructor.
class CostSetup final : public SidecarProcess::Owner {
 public:
  CostSetup(const CostPlan& plan, const CostRow& row)
      : scenario_(scenario_for(row)), context_{loop_, scenario_, observer_, RandomSource(1)} {
    std::string template_path = (std::filesystem::temp_directory_path() / "rehearse-XXXXXX").string();
    if (!mkdtemp(template_path.data())) throw std::runtime_error("cannot create a temporary folder");
    folder_ = template_path;
    int host_number = getpid() % 200 + 1;
    std::string host = "127.9." + std::to_string(getpid() / 200 % 200) + "." + std::to_string(host_number);
    std::vector<ListedEndpoint> list;
    std::vector<std::vector<Address>> parts(kServerProcesses);
    for (int i = 0; i < row.endpoints; ++i) {
      Address at{host, 12000 + i};
      endpoints_.push_back(at);
      parts[std::size_t(i % kServerProcesses)].push_back(at);
      list.push_back({i, "e" + std::to_string(i), at.text(), 1, Event::State::Ready, 0});
    }
    for (const auto& part : parts) {
      if (part.empty()) continue;
      servers_.push_back(std::make_unique<ChildProcess>([part, response_delay = row.response_delay](int) {
        EventLoop loop;
        FixedResponseServer server(loop, part, response_delay);
        loop.run([] { return false; });
      }));
    }
    agent_ = std::make_unique<DiscoveryAgent>(context_, 0, Address{host, 11000});
    agent_->set_initial_list(list);
    sidecar_ = std::make_unique<SidecarProcess>(context_, *this, 0, 0, plan.command, folder_);
    SidecarConfig config;
    sidecar_address_ = {host, 11001};
    config.name = "cost";
    config.listen = sidecar_address_.text();
    config.discovery = agent_->address().text();
    config.known = agent_->list_json();
    config.settings = settings_json(scenario_, 0, 0, 1);
    config.descriptors = scenario_.descriptors;
    config.memory_mb = 512;
    if (plan.site) {
      scenario_.memory_mb = 512;
      config.site = site_text(scenario_, 1, config.listen, Address{host, 11002}.text(), config.discovery, 1);
    }
    sidecar_->start(config);
    double until = loop_.now() + kStartTimeout;
    loop_.run([&] { return ready_ || loop_.now() > until; });
    if (!ready_) throw std::runtime_error("the sidecar did not become ready: " + plan.command);
  }
  ~CostSetup() override {
    sidecar_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  LoadResult via_sidecar(const LoadPlan& load, Usage& before, Usage& after) {
    LoadPlan plan = load;
    plan.to = sidecar_address_;
    before = usage_of(process());
    LoadResult loaded = run_load_in_processes(plan);
    after = usage_of(process());
    return loaded;
  }
  LoadResult direct(const LoadPlan& load) {
    LoadPlan plan = load;
    plan.to = endpoints_.front();
    return run_load_in_processes(plan);
  }

 private:
  static Scenario scenario_for(const CostRow& row) {
    Scenario scenario = default_scenario();
    scenario.tiers.resize(1);
    scenario.tiers[0].calls_per_request = 0;
    scenario.clients.rate = 1e6;
    scenario.descriptors = 4 * row.connections + 2 * row.endpoints + 200;
    for (ClassPlan& request_class : scenario.request_classes) {
      request_class.latency_objective = 1;
      request_class.client_timeout = 3;
    }
    return scenario;
  }
  pid_t process() const { return sidecar_->process(); }
  void on_ready(SidecarProcess&) override { ready_ = true; }
  void on_exited(SidecarProcess&) override {}
  class NullObserver final : public Observer {
    void observe(const Event&) override {}
  };

  NullObserver observer_;
  EventLoop loop_;
  Scenario scenario_;
  RunContext context_;
  std::string folder_;
  std::vector<Address> endpoints_;
  std::vector<std::unique_ptr<ChildProcess>> servers_;
  std::unique_ptr<DiscoveryAgent> agent_;
  std::unique_ptr<SidecarProcess> sidecar_;
  Address sidecar_address_;
  bool ready_ = false;
};

std::string format_range(const std::vector<double>& values, int decimals) {
  if (values.empty()) return "none";
  auto [low, high] = std::minmax_element(values.begin(), values.end());
  char text[64];
  if (values.size() < 2) std::snprintf(text, sizeof text, "%.*f", decimals, values.front());
  else
    std::snprintf(text, sizeof text, "%.*f (%.*f to %.*f)", decimals, estimate(values).mean, decimals, *low,
                  decimals, *high);
  return text;
}

}  // namespace

void measure_cost(const CostPlan& plan, std::ostream& out) {
  std::vector<CostRow> rows;
  for (int count : plan.connections) rows.push_back({std::to_string(count) + " connections", count, 3, 0, 0});
  for (int count : plan.endpoints) rows.push_back({std::to_string(count) + " endpoints", 64, count, 0, 0});
  for (int count : plan.concurrent_requests)
    rows.push_back({std::to_string(count) + " in hand", count, 8, 0.02, 0});
  rows.push_back({"10,000/s in open loop", 64, 3, 0, 10000});
  out << "| row | visits/s | direct/s | CPU us a visit | p50 ms, ratio | p99 ms, ratio | p99.9 ms, ratio | "
         "MB | not 200 |\n"
      << "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  nlohmann::json json = nlohmann::json::array();
  double min_memory = 0, max_memory = 0;
  int min_connections = 0, max_connections = 0;
  for (const CostRow& row : rows) {
    std::vector<double> rate, direct_rate, cpu, p50, p99, p999, r50, r99, r999, memory;
    std::uint64_t other = 0;
    for (int i = 0; i < plan.pairs; ++i) {
      CostSetup setup(plan, row);
      LoadPlan load;
      load.connections = row.connections;
      load.seconds = plan.seconds;
      load.rate = row.rate;
      Usage before, after;
      LoadResult via_sidecar = setup.via_sidecar(load, before, after), direct = setup.direct(load);
      // The sidecar also spends CPU time on the requests of the warm-up, which are not counted.
      double measured_to_total = (load.seconds + load.warm_up) / load.seconds;
      rate.push_back(double(via_sidecar.good) / via_sidecar.seconds);
      direct_rate.push_back(double(direct.good) / direct.seconds);
      cpu.push_back((after.cpu - before.cpu) * 1e6 /
                    std::max(1.0, double(via_sidecar.latency.count()) * measured_to_total));
      auto add_percentile = [&](double share, std::vector<double>& at, std::vector<double>& ratio) {
        at.push_back(via_sidecar.latency.quantile(share) * 1e3);
        ratio.push_back(via_sidecar.latency.quantile(share) / std::max(1e-9, direct.latency.quantile(share)));
      };
      add_percentile(0.5, p50, r50);
      add_percentile(0.99, p99, r99);
      add_percentile(0.999, p999, r999);
      memory.push_back(after.memory / 1048576);
      other += via_sidecar.other + via_sidecar.broken;
    }
    out << "| " << row.name << " | " << format_range(rate, 0) << " | " << format_range(direct_rate, 0)
        << " | " << format_range(cpu, 1) << " | " << format_range(p50, 2) << ", " << format_range(r50, 1)
        << " | " << format_range(p99, 2) << ", " << format_range(r99, 1) << " | " << format_range(p999, 2)
        << ", " << format_range(r999, 1) << " | " << format_range(memory, 1) << " | " << other << " |"
        << std::endl;
    json.push_back({{"row", row.name},
                    {"visits_s", rate},
                    {"direct_s", direct_rate},
                    {"cpu_us", cpu},
                    {"p50_ms", p50},
                    {"p99_ms", p99},
                    {"p99.9_ms", p999},
                    {"memory_mb", memory},
                    {"not_200", other}});
    if (row.response_delay == 0 && row.rate == 0 && row.endpoints == 3) {
      if (!min_connections || row.connections < min_connections) {
        min_connections = row.connections;
        min_memory = memory.front();
      }
      if (row.connections > max_connections) {
        max_connections = row.connections;
        max_memory = memory.front();
      }
    }
  }
  if (max_connections > min_connections)
    out << "\nmemory a connection (its endpoint's with it): " << std::fixed << std::setprecision(1)
        << (max_memory - min_memory) * 1024 / (max_connections - min_connections) << " KiB, from "
        << min_connections << " to " << max_connections << "\n";
  if (!plan.json_path.empty()) std::ofstream(plan.json_path) << json.dump(1) << "\n";
}

}  // namespace load_test
