// Long tagged requests: one endpoint runs each and its connection is reset before the answer; the sidecar sends the
// request again within the pod, to an endpoint that reads it slowly. A repeat may only come to the endpoints of a
// pod while they remember the mark of the first.
#include "../support-2/rig.hpp"

using namespace rig;

namespace {
constexpr int kEndpoints = 4;  // of one pod
constexpr int kRequests = 18;
constexpr int kResetEvery = 3;  // of the requests, one in so many meets a reset
constexpr double kRemembered = 1.5;  // seconds, by the settings
// On sockets, and 30 ms for what had come and was not read yet (128 KB at 9 MB a second are half of that).
constexpr double kSlack = 0.05 + 0.03;
constexpr double kWorkBeforeReset = 1.0;
constexpr std::size_t kBody = 11 * 1024 * 1024;
constexpr double kSlowRate = 9.0 * 1024 * 1024;  // bytes a second

struct Run {
  int endpoint = 0;
  double first_byte_at = 0, last_byte_at = 0;
};
std::mutex mutex;
std::map<std::string, std::vector<Run>> runs;         // by mark
std::map<std::string, double> remembered_until;       // by mark, of the pod
std::map<std::string, int> applied;                   // by mark
std::map<std::string, int> attempts;                  // begun, by mark
std::set<std::string> to_reset;                       // marks

std::string header_of(const std::string& head, const std::string& name) {
  std::size_t at = head.find(name + ": ");
  if (at == std::string::npos) return "";
  at += name.size() + 2;
  return head.substr(at, head.find("\r\n", at) - at);
}

void serve(int fd, int number) {
  std::string held;
  static thread_local char bytes[128 * 1024];
  for (;;) {
    std::size_t end;
    double first_byte_at = held.empty() ? 0 : now();
    while ((end = held.find("\r\n\r\n")) == std::string::npos) {
      ssize_t count = recv(fd, bytes, sizeof bytes, 0);
      if (count <= 0) return void(close(fd));
      if (first_byte_at == 0) first_byte_at = now();
      held.append(bytes, std::size_t(count));
    }
    const std::string head = held.substr(0, end + 4);
    held.erase(0, end + 4);
    const std::string mark = header_of(head, "Idempotency-Key"), id = header_of(head, "X-Correlation-Id");
    const std::size_t length = std::size_t(std::atol(header_of(head, "Content-Length").c_str()));
    int attempt = 0;
    bool is_reset = false;
    {
      std::lock_guard lock(mutex);
      attempt = attempts[mark]++;
      is_reset = to_reset.erase(mark) > 0;
    }
    record.line("endpoint s-%d: attempt %d of %s begins, id %s", number, attempt, mark.c_str(), id.c_str());
    const bool reads_slowly = trouble && attempt > 0;
    std::size_t got = held.size();
    held.clear();
    while (got < length) {
      const double due = first_byte_at + double(got) / kSlowRate;
      if (reads_slowly && now() < due) {
        sleep_for(0.002);
        continue;
      }
      ssize_t count = recv(fd, bytes, std::min(sizeof bytes, length - got), 0);
      if (count <= 0) {
        record.line("endpoint s-%d: attempt %d of %s ended after %zu of %zu bytes", number, attempt, mark.c_str(), got, length);
        return void(close(fd));
      }
      got += std::size_t(count);
    }
    const double last_byte_at = now();
    bool is_repeat = false;
    {
      std::lock_guard lock(mutex);
      runs[mark].push_back({number, first_byte_at, last_byte_at});
      is_repeat = remembered_until.contains(mark) && last_byte_at <= remembered_until[mark];
      if (!is_repeat) {
        remembered_until[mark] = last_byte_at + kRemembered;
        ++applied[mark];
      }
      record.line("endpoint s-%d: has attempt %d of %s whole and %s", number, attempt, mark.c_str(),
                  is_repeat ? "drops it as a repeat" : "applies it");
    }
    if (is_reset) {  // the connection is reset under a request that has begun
      sleep_for(kWorkBeforeReset);
      linger at_once{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      record.line("endpoint s-%d: the connection of %s is reset", number, mark.c_str());
      return void(close(fd));
    }
    sleep_for(0.05);
    if (!send_all(fd, ok("booked"))) return void(close(fd));
  }
}

void accept_all(int listener, int number) {
  for (;;) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) std::thread(serve, fd, number).detach();
  }
}
}  // namespace

int main() {
  begin();
  std::vector<Entry> entries;
  for (int i = 0; i < kEndpoints; ++i) {
    Entry entry{"s-" + std::to_string(i), {}};
    entry.address.host = "127.0.0." + std::to_string(10 + i);
    int listener = listen_at(entry.address);
    int small = 64 * 1024;  // an endpoint's machine holds little of what it has not read
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    entries.push_back(entry);
    std::thread(accept_all, listener, i).detach();
  }
  Discovery discovery(entries);
  Config config;
  config.listen = free_address("127.0.0.2");
  config.discovery = discovery.address;
  config.memory_mb = 192;
  config.path_prefixes =
      R"([{"Name":"view-membership","Idempotency":"repeatable","Group":"all","MemorySpanS":1.5,"TargetLatencyS":0.5,"ClientTimeoutS":1.2,"Credit":5.0,"OverdueCredit":0.0},
      {"Name":"book-class","Idempotency":"by_key","Group":"cell","MemorySpanS":1.5,"TargetLatencyS":1.2,"ClientTimeoutS":3.0,"Credit":1.0,"OverdueCredit":0.0},
      {"Name":"cancel-membership","Idempotency":"once","Group":"all","MemorySpanS":1.5,"TargetLatencyS":2.5,"ClientTimeoutS":6.0,"Credit":5.0,"OverdueCredit":0.0}])";
  config.limits =
      R"({"MaxBackendFetches":5,"ParallelTries":true,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterS":1.5,"ConnectTimeoutS":0.075,"ConnIdleS":5.0,"Probes":true,"Peers":false,"StreamsPerConn":1})";
  config.rules =
      R"({"AnswerSlackS":0.02,"AskWithinS":10.0,"ColdS":23,"ColdShare":0.12,"FallS":3.0,"StopSendingWithinS":2.0,"TipMultiple":4.0,"DrainBindsAlone":true})";
  config.tiers = R"("Tiers":["app-gateway"],"Layer":0)";
  config.mode = "on_request";
  Sidecar sidecar = start_sidecar("n0", config.listen, {}, config.json());
  wait_ready(sidecar);

  const std::string body(kBody, 'b');
  int served = 0, other = 0, resets = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string mark = "mark-" + std::to_string(i);
    record.line("client sends %s", mark.c_str());
    if (trouble && i % kResetEvery == kResetEvery - 1) {
      std::lock_guard lock(mutex);
      to_reset.insert(mark);
      ++resets;
    }
    Answer answer = ask(config.listen,
                        "POST /book-class/group HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: b" + std::to_string(i) +
                            "\r\nX-Account: river-bend-gyms\r\nIdempotency-Key: " + mark +
                            "\r\nX-Time-Left: 2400m\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" + body,
                        4);
    answer.status == 200 ? ++served : ++other;
    record.line("client: %s answered %d after %.3f s", mark.c_str(), answer.status, answer.seconds());
    sleep_for(1.0);
  }
  sleep_for(0.5);
  if (!sidecar.runs()) judge(true, "the sidecar has ended");
  int late = 0, twice = 0;
  std::lock_guard lock(mutex);
  for (const auto& [mark, of_mark] : runs) {
    bool is_late = false;
    for (const Run& one : of_mark)
      is_late |= one.last_byte_at > of_mark.front().last_byte_at + kRemembered + kSlack;
    late += is_late;
    twice += applied[mark] > 1;
    if (is_late)
      record.line("%s came whole again %.3f s after its first attempt", mark.c_str(),
                  of_mark.back().last_byte_at - of_mark.front().last_byte_at);
  }
  char text[200];
  std::snprintf(text, sizeof text, "%d requests, %d served, %d not; %d met a reset; %d came again after the pod had forgotten them, %d applied twice",
                kRequests, served, other, resets, late, twice);
  judge(late > 0, text);
}
