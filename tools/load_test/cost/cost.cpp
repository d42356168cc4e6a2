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

constexpr int kServers = 2, kLoaders = 2;  // processes of each: neither may be what limits
constexpr double kReadyWithin = 10;

// Endpoints that do nothing but answer, each at once or after the same time.
class Answering final : public Listener::Owner {
 public:
  Answering(Loop& loop, const std::vector<Address>& at, double after) : loop_(loop), after_(after) {
    for (const Address& one : at) listeners_.push_back(std::make_unique<Listener>(loop, *this, one, 0));
  }

 private:
  class Link final : public Line::Owner {
   public:
    Link(Answering& all, int descriptor) : all_(all), line_(all.loop_, *this) { line_.adopt(descriptor); }

   private:
    void on_bytes(Line&, std::string_view bytes) override {
      held_ += bytes;
      for (std::size_t end; (end = held_.find("\r\n\r\n")) != std::string::npos;) {
        held_.erase(0, end + 4);
        if (all_.after_ <= 0) {
          say();
        } else {
          all_.loop_.at(all_.loop_.now() + all_.after_, [this, life = std::weak_ptr<int>(life_)] {
            if (!life.expired()) say();
          });
        }
      }
    }
    void say() { line_.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"); }
    void on_end(Line&, bool) override {
      line_.close();
      auto found = all_.links_.extract(this);
      if (!found.empty()) all_.loop_.bury(std::move(found.mapped()));
    }
    Answering& all_;
    Line line_;
    std::string held_;
    std::shared_ptr<int> life_ = std::make_shared<int>(0);
  };
  void on_accepted(Listener&, int descriptor) override {
    auto link = std::make_unique<Link>(*this, descriptor);
    const Link* key = link.get();
    links_.emplace(key, std::move(link));
  }
  Loop& loop_;
  const double after_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::unordered_map<const Link*, std::unique_ptr<Link>> links_;
};

class Child {
 public:
  explicit Child(const std::function<void(int)>& what) {
    int ends[2];
    if (pipe(ends) != 0) throw std::runtime_error("no pipe");
    process_ = fork();
    if (process_ < 0) throw std::runtime_error("can't start a process");
    if (process_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      close(ends[0]);
      what(ends[1]);
      _exit(0);
    }
    close(ends[1]);
    from_ = ends[0];
  }
  ~Child() {
    close(from_);
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  std::string read_all() const {
    std::string all;
    char bytes[4096];
    for (ssize_t count; (count = read(from_, bytes, sizeof bytes)) > 0;)
      all.append(bytes, std::size_t(count));
    return all;
  }

 private:
  pid_t process_;
  int from_;
};

Loaded load_all(const LoadPlan& plan) {
  std::vector<std::unique_ptr<Child>> children;
  int loaders = std::min(kLoaders, plan.connections);
  for (int i = 0; i < loaders; ++i) {
    LoadPlan part = plan;
    part.connections = plan.connections / loaders + (i < plan.connections % loaders);
    part.rate = plan.rate / loaders;
    children.push_back(std::make_unique<Child>([part](int to) {
      Loaded loaded = load_one(part);
      nlohmann::json measured = {{"steps", loaded.latency.steps()},
                                 {"good", loaded.good},
                                 {"other", loaded.other},
                                 {"broken", loaded.broken},
                                 {"seconds", loaded.seconds}};
      std::string text = measured.dump();
      for (std::size_t sent = 0; sent < text.size();) {
        ssize_t count = ::write(to, text.data() + sent, text.size() - sent);
        if (count <= 0) return;
        sent += std::size_t(count);
      }
    }));
  }
  Loaded sum;
  for (auto& child : children) {
    nlohmann::json measured = nlohmann::json::parse(child->read_all());
    Histogram part;
    part.set(measured["steps"].get<std::vector<std::uint64_t>>());
    sum.latency.add(part);
    sum.good += measured["good"].get<std::uint64_t>();
    sum.other += measured["other"].get<std::uint64_t>();
    sum.broken += measured["broken"].get<std::uint64_t>();
    sum.seconds = std::max(sum.seconds, measured["seconds"].get<double>());
  }
  return sum;
}

struct Row {
  std::string name;
  int connections = 64, endpoints = 3;
  double after = 0, rate = 0;
};

// One sidecar before its endpoints, for as long as the object lives.
class Bench final : public Process::Owner {
 public:
  Bench(const CostPlan& plan, const Row& row)
      : scenario_(scenario_for(row)), world_{loop_, scenario_, nobody_, Chance(1)} {
    std::string made = (std::filesystem::temp_directory_path() / "rehearse-XXXXXX").string();
    if (!mkdtemp(made.data())) throw std::runtime_error("no folder");
    folder_ = made;
    int mine = getpid() % 200 + 1;
    std::string host = "127.9." + std::to_string(getpid() / 200 % 200) + "." + std::to_string(mine);
    std::vector<Listed> list;
    std::vector<std::vector<Address>> parts(kServers);
    for (int i = 0; i < row.endpoints; ++i) {
      Address at{host, 12000 + i};
      endpoints_.push_back(at);
      parts[std::size_t(i % kServers)].push_back(at);
      list.push_back({i, "e" + std::to_string(i), at.text(), 1, Event::State::Ready, 0});
    }
    for (const auto& part : parts) {
      if (part.empty()) continue;
      servers_.push_back(std::make_unique<Child>([part, after = row.after](int) {
        Loop loop;
        Answering answering(loop, part, after);
        loop.run([] { return false; });
      }));
    }
    agent_ = std::make_unique<Agent>(world_, 0, Address{host, 11000});
    agent_->know(list);
    sidecar_ = std::make_unique<Process>(world_, *this, 0, 0, plan.command, folder_);
    SidecarConfig assignment;
    at_ = {host, 11001};
    assignment.name = "cost";
    assignment.listen = at_.text();
    assignment.discovery = agent_->address().text();
    assignment.known = agent_->known_json();
    assignment.settings = settings_json(scenario_, 0, 0, 1);
    assignment.descriptors = scenario_.descriptors;
    assignment.memory_mb = 512;
    if (plan.site) {
      scenario_.memory_mb = 512;
      assignment.site =
          site_text(scenario_, 1, assignment.listen, Address{host, 11002}.text(), assignment.discovery, 1);
    }
    sidecar_->start(assignment);
    double until = loop_.now() + kReadyWithin;
    loop_.run([&] { return ready_ || loop_.now() > until; });
    if (!ready_) throw std::runtime_error("the sidecar did not get ready: " + plan.command);
  }
  ~Bench() override {
    sidecar_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Loaded through(const LoadPlan& load, Usage& before, Usage& after) {
    LoadPlan plan = load;
    plan.to = at_;
    before = usage_of(process());
    Loaded loaded = load_all(plan);
    after = usage_of(process());
    return loaded;
  }
  Loaded direct(const LoadPlan& load) {
    LoadPlan plan = load;
    plan.to = endpoints_.front();
    return load_all(plan);
  }

 private:
  static Scenario scenario_for(const Row& row) {
    Scenario scenario = default_scenario();
    scenario.tiers.resize(1);
    scenario.tiers[0].calls = 0;
    scenario.clients.rate = 1e6;
    scenario.descriptors = 4 * row.connections + 2 * row.endpoints + 200;
    for (ClassPlan& request_class : scenario.request_classes) {
      request_class.latency_objective = 1;
      request_class.client_timeout = 3;
    }
    return scenario;
  }
  pid_t process() const { return sidecar_->process(); }
  void on_ready(Process&) override { ready_ = true; }
  void on_left(Process&) override {}
  class Nobody final : public Observer {
    void observe(const Event&) override {}
  };

  Nobody nobody_;
  Loop loop_;
  Scenario scenario_;
  World world_;
  std::string folder_;
  std::vector<Address> endpoints_;
  std::vector<std::unique_ptr<Child>> servers_;
  std::unique_ptr<Agent> agent_;
  std::unique_ptr<Process> sidecar_;
  Address at_;
  bool ready_ = false;
};

std::string between(const std::vector<double>& values, int places) {
  if (values.empty()) return "none";
  auto [low, high] = std::minmax_element(values.begin(), values.end());
  char text[64];
  if (values.size() < 2) std::snprintf(text, sizeof text, "%.*f", places, values.front());
  else
    std::snprintf(text, sizeof text, "%.*f (%.*f to %.*f)", places, estimate(values).mean, places, *low,
                  places, *high);
  return text;
}

}  // namespace

void measure_cost(const CostPlan& plan, std::ostream& out) {
  std::vector<Row> rows;
  for (int count : plan.connections) rows.push_back({std::to_string(count) + " connections", count, 3, 0, 0});
  for (int count : plan.endpoints) rows.push_back({std::to_string(count) + " endpoints", 64, count, 0, 0});
  for (int count : plan.in_hand) rows.push_back({std::to_string(count) + " in hand", count, 8, 0.02, 0});
  rows.push_back({"10,000/s in open loop", 64, 3, 0, 10000});
  out << "| row | visits/s | direct/s | CPU us a visit | p50 ms, ratio | p99 ms, ratio | p99.9 ms, ratio | "
         "MB | not 200 |\n"
      << "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  nlohmann::json json = nlohmann::json::array();
  double least_memory = 0, most_memory = 0;
  int fewest = 0, most = 0;
  for (const Row& row : rows) {
    std::vector<double> rate, direct_rate, cpu, p50, p99, p999, r50, r99, r999, memory;
    std::uint64_t other = 0;
    for (int i = 0; i < plan.pairs; ++i) {
      Bench bench(plan, row);
      LoadPlan load;
      load.connections = row.connections;
      load.seconds = plan.seconds;
      load.rate = row.rate;
      Usage before, after;
      Loaded through = bench.through(load, before, after), direct = bench.direct(load);
      double warm = (load.seconds + load.warm_up) / load.seconds;  // the CPU of the warm-up's requests too
      rate.push_back(double(through.good) / through.seconds);
      direct_rate.push_back(double(direct.good) / direct.seconds);
      cpu.push_back((after.cpu - before.cpu) * 1e6 / std::max(1.0, double(through.latency.count()) * warm));
      auto pair = [&](double share, std::vector<double>& at, std::vector<double>& ratio) {
        at.push_back(through.latency.at(share) * 1e3);
        ratio.push_back(through.latency.at(share) / std::max(1e-9, direct.latency.at(share)));
      };
      pair(0.5, p50, r50);
      pair(0.99, p99, r99);
      pair(0.999, p999, r999);
      memory.push_back(after.memory / 1048576);
      other += through.other + through.broken;
    }
    out << "| " << row.name << " | " << between(rate, 0) << " | " << between(direct_rate, 0) << " | "
        << between(cpu, 1) << " | " << between(p50, 2) << ", " << between(r50, 1) << " | " << between(p99, 2)
        << ", " << between(r99, 1) << " | " << between(p999, 2) << ", " << between(r999, 1) << " | "
        << between(memory, 1) << " | " << other << " |" << std::endl;
    json.push_back({{"row", row.name},
                    {"visits_s", rate},
                    {"direct_s", direct_rate},
                    {"cpu_us", cpu},
                    {"p50_ms", p50},
                    {"p99_ms", p99},
                    {"p99.9_ms", p999},
                    {"memory_mb", memory},
                    {"not_200", other}});
    if (row.after == 0 && row.rate == 0 && row.endpoints == 3) {
      if (!fewest || row.connections < fewest) {
        fewest = row.connections;
        least_memory = memory.front();
      }
      if (row.connections > most) {
        most = row.connections;
        most_memory = memory.front();
      }
    }
  }
  if (most > fewest)
    out << "\nmemory a connection (its endpoint's with it): " << std::fixed << std::setprecision(1)
        << (most_memory - least_memory) * 1024 / (most - fewest) << " KiB, from " << fewest << " to " << most
        << "\n";
  if (!plan.json_to.empty()) std::ofstream(plan.json_to) << json.dump(1) << "\n";
}

}  // namespace load_test
