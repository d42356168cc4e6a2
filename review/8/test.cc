// An upgrade, and two operators: one takes an endpoint out at the old process's console, the other another endpoint at
// the new one's, while the new process is held up for 0.1 s. Both are told yes, and both bans have to last.
#include "../support-2/rig.hpp"

using namespace rig;

namespace {
constexpr int kEndpoints = 6;
constexpr double kHeldUp = 0.1;  // seconds; the pages name up to 0.15
constexpr double kGrace = 0.55;  // seconds: that of the site, and 50 ms on sockets
std::mutex mutex;
std::map<std::string, std::vector<std::pair<double, std::string>>> ran;
std::atomic<bool> stop{false};
std::atomic<int> asked{0}, served{0}, other{0};

void client(Address to, int number) {
  for (int i = 0; !stop; ++i) {
    const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
    ++asked;
    Answer answer = ask(to,
                        "GET /status/now HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id +
                            "\r\nX-Account: kotwijzer\r\nX-Time-Left: 2000m\r\n\r\n",
                        3);
    answer.status == 200 ? ++served : ++other;
    record.line("client: %s answered %d after %.3f s", id.c_str(), answer.status, answer.seconds());
    sleep_for(0.05);
  }
}

std::string order(const std::string& name) {
  return "PUT /api/exclude HTTP/1.1\r\nHost: admin\r\nContent-Length: " + std::to_string(name.size()) + "\r\n\r\n" + name;
}
}  // namespace

int main() {
  begin();
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<Entry> entries;
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string name = "s-" + std::to_string(i);
    endpoints.push_back(std::make_unique<Endpoint>(name, "127.0.0." + std::to_string(10 + i), [name](const Message& request) {
      record.line("endpoint %s ran %s", name.c_str(), request.header("X-Correlation-Id").c_str());
      {
        std::lock_guard lock(mutex);
        ran[name].emplace_back(request.read_at, request.header("X-Correlation-Id"));
      }
      sleep_for(request.prefix() == "consent" ? 1.5 : 0.02);
      return ok("done");
    }));
    entries.push_back({name, endpoints.back()->address});
  }
  Discovery discovery(entries);
  Config config;
  config.listen = free_address("127.0.0.2");
  config.admin = free_address("127.0.0.3");
  config.discovery = discovery.address;
  Sidecar old_one = start_sidecar("n0-old", config.listen, config.admin, config.json());
  wait_ready(old_one);
  for (int i = 0; i < 6; ++i) std::thread(client, config.listen, i).detach();
  sleep_for(2);
  // Requests that the old process has taken and still has to answer after its SIGTERM.
  for (int i = 0; i < 2; ++i) {
    std::thread([&config, i] {
      Answer answer = ask(config.listen,
                          "POST /consent/sign HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: long" + std::to_string(i) +
                              "\r\nX-Account: kotwijzer\r\nX-Time-Left: 2500m\r\nContent-Length: 0\r\n\r\n",
                          4);
      record.line("client: long%d answered %d", i, answer.status);
    }).detach();
  }
  sleep_for(0.2);

  record.line("a new version is started");
  const Address old_admin = config.admin;
  config.admin = free_address("127.0.0.4");
  Sidecar new_one = start_sidecar("n0-new", config.listen, config.admin, config.json());
  wait_ready(new_one, 6);
  record.line("the new process says yes; the old one gets SIGTERM");
  old_one.signal(SIGTERM);
  const double terminated_at = now();
  int at_new = connect_to(config.admin);
  if (at_new < 0) cannot_run("no connection to the new process's console");
  sleep_for(0.1);
  Reader from_new(at_new);
  std::optional<Message> yes_of_new;
  if (trouble) {
    new_one.signal(SIGSTOP);
    record.line("the new process is held up");
  }
  const double held_at = now();
  sleep_for(0.01);
  record.line("operator 2, at the new process: exclude s-1");
  send_all(at_new, order("s-1"));
  if (!trouble) yes_of_new = from_new.read(now() + 2);
  sleep_for(0.02);
  record.line("operator 1, at the old process: exclude s-2");
  Answer yes_of_old = call(old_admin, "PUT", "/api/exclude", "s-2");
  const double old_yes_at = now();
  record.line("operator 1 is answered %d", yes_of_old.status);
  if (trouble) {
    sleep_for(kHeldUp - (now() - held_at));
    new_one.signal(SIGCONT);
    record.line("the new process runs on");
    yes_of_new = from_new.read(now() + 2);
  }
  const double new_yes_at = now();
  record.line("operator 2 is answered %d", yes_of_new ? yes_of_new->status() : 0);
  if (yes_of_old.status != 200 || !yes_of_new || yes_of_new->status() != 200) cannot_run("a ban was refused");
  for (; old_one.runs() && now() - terminated_at < 3.2; sleep_for(0.02)) {
  }
  record.line("the old process %s", old_one.runs() ? "gets SIGKILL" : "has ended");
  old_one.signal(SIGKILL);  // the longest deadline and 0.7 s after SIGTERM
  sleep_for(4);
  stop = true;
  sleep_for(0.5);
  if (!new_one.runs()) judge(true, "the new process has ended");
  int late[2] = {0, 0};
  {
    std::lock_guard lock(mutex);
    const std::pair<const char*, double> bans[] = {{"s-1", new_yes_at}, {"s-2", old_yes_at}};
    for (int i = 0; i < 2; ++i) {
      for (const auto& [at, id] : ran[bans[i].first]) {
        if (at <= bans[i].second + kGrace) continue;
        if (++late[i] <= 5) record.line("BANNED endpoint %s got %s %.3f s after the yes", bans[i].first, id.c_str(), at - bans[i].second);
      }
    }
  }
  char text[220];
  std::snprintf(text, sizeof text, "%d requests, %d served, %d not; after the grace %d were sent to s-1 (banned at the new process), %d to s-2 (at the old one)",
                asked.load(), served.load(), other.load(), late[0], late[1]);
  judge(late[0] + late[1] > 0, text);
}
