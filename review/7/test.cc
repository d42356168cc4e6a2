// An operator takes an endpoint out; then a new version is started beside the sidecar, which stands still for 1.25 s
// just then. The ban has to last over the upgrade.
#include "../support-2/rig.hpp"

using namespace rig;

namespace {
constexpr int kEndpoints = 4;
constexpr double kStandStill = 1.25;  // seconds; the brief names 0.69 to 1.3
constexpr double kGrace = 1.05;       // seconds: that of the brief, and 50 ms on sockets
std::mutex mutex;
std::vector<std::pair<double, std::string>> at_banned;  // requests that the banned endpoint got
std::atomic<bool> stop{false};
std::atomic<int> asked{0}, served{0}, other{0};

void client(Address to, int number) {
  for (int i = 0; !stop; ++i) {
    const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
    ++asked;
    Answer answer = ask(to,
                        "GET /free-slots/today HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id +
                            "\r\nX-Account: yim-dee\r\nX-Time-Left: 800m\r\n\r\n",
                        2);
    answer.status == 200 ? ++served : ++other;
    record.line("client: %s answered %d after %.3f s", id.c_str(), answer.status, answer.seconds());
    sleep_for(0.1);
  }
}
}  // namespace

int main() {
  begin();
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<Entry> entries;
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string name = "s-" + std::to_string(i);
    endpoints.push_back(std::make_unique<Endpoint>(name, "127.0.0." + std::to_string(10 + i), [name, i](const Message& request) {
      const std::string id = request.header("X-Correlation-Id");
      record.line("endpoint %s ran %s", name.c_str(), id.c_str());
      if (i == 1) {
        std::lock_guard lock(mutex);
        at_banned.emplace_back(request.read_at, id);
      }
      sleep_for(0.02);
      return ok("slots", "X-Backend-Load: qps=10,util=0.2\r\n");
    }));
    entries.push_back({name, endpoints.back()->address});
  }
  Discovery discovery(entries);
  Config config;
  config.listen = free_address("127.0.0.2");
  config.admin = free_address("127.0.0.3");
  config.discovery = discovery.address;
  config.path_prefixes =
      R"([{"Name":"free-slots","Idempotency":"repeatable","Group":"all","MemorySpanS":1.2,"TargetLatencyS":0.4,"ClientTimeoutS":0.8,"Credit":1.0,"OverdueCredit":0.2},
      {"Name":"book-visit","Idempotency":"by_key","Group":"zone","MemorySpanS":1.2,"TargetLatencyS":0.6,"ClientTimeoutS":1.2,"Credit":2.0,"OverdueCredit":0.2},
      {"Name":"take-deposit","Idempotency":"once","Group":"all","MemorySpanS":1.2,"TargetLatencyS":0.75,"ClientTimeoutS":2.0,"Credit":3.0,"OverdueCredit":0.3}])";
  config.limits =
      R"({"MaxBackendFetches":4,"ParallelTries":true,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterS":1.5,"ConnectTimeoutS":0.2,"ConnIdleS":10.0,"Probes":false,"Peers":false,"StreamsPerConn":1})";
  config.rules =
      R"({"AnswerSlackS":0.02,"AskWithinS":10.0,"ColdS":24,"ColdShare":0.19,"FallS":3.0,"StopSendingWithinS":1.0,"TipMultiple":4.0})";
  config.tiers = R"("Tiers":["booking"],"Layer":0)";
  config.mode = "on_request";
  Sidecar old_one = start_sidecar("n0-old", config.listen, config.admin, config.json());
  wait_ready(old_one);
  for (int i = 0; i < 4; ++i) std::thread(client, config.listen, i).detach();
  sleep_for(2);
  {
    std::lock_guard lock(mutex);
    if (at_banned.empty()) cannot_run("the endpoint is not used before the ban");
  }
  Answer yes = call(old_one.admin, "PUT", "/api/exclude", "s-1");
  record.line("operator: exclude s-1 answered %d", yes.status);
  if (yes.status != 200) cannot_run("the ban is refused");
  const double banned_at = now();
  sleep_for(2);

  record.line("a new version is started%s", trouble ? "; the old process stands still" : "");
  if (trouble) old_one.signal(SIGSTOP);
  const double stopped_at = now();
  config.admin = free_address("127.0.0.4");
  Sidecar new_one = start_sidecar("n0-new", config.listen, config.admin, config.json());
  if (trouble) {
    sleep_for(kStandStill - (now() - stopped_at));
    old_one.signal(SIGCONT);
    record.line("the old process runs on");
  }
  wait_ready(new_one, 6);
  record.line("the new process says yes; the old one gets SIGTERM");
  old_one.signal(SIGTERM);
  const double terminated_at = now();
  for (; old_one.runs() && now() - terminated_at < 2.7; sleep_for(0.02)) {
  }
  if (now() - terminated_at >= 2.7) old_one.signal(SIGKILL);  // the longest deadline and 0.7 s
  sleep_for(4);
  stop = true;
  sleep_for(0.5);
  if (!new_one.runs()) judge(true, "the new process has ended");
  int late = 0;
  {
    std::lock_guard lock(mutex);
    for (const auto& [at, id] : at_banned) {
      if (at < banned_at + kGrace) continue;
      ++late;
      record.line("BANNED endpoint s-1 got %s, %.3f s after the yes to the ban", id.c_str(), at - banned_at);
    }
  }
  char text[200];
  std::snprintf(text, sizeof text, "%d requests, %d served, %d not; %d sent to the banned endpoint after the grace",
                asked.load(), served.load(), other.load(), late);
  judge(late > 0, text);
}
