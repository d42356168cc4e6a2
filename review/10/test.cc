// Clients write a long upload and leave, while the connection to one of three endpoints comes up late. No attempt
// may begin more than 0.1 s after its client has closed.
#include "../support-2/rig.hpp"

using namespace rig;

namespace {
constexpr int kEndpoints = 3;
constexpr int kMemoryMb = 32;
constexpr double kRunSeconds = 40;
constexpr double kAllowed = 0.1;  // seconds from the client's close to the begin of an attempt
// Seconds for which the backlog of the one endpoint is full. A connection asked for meanwhile comes up when the system
// asks again, a second after it was begun.
constexpr double kLate = 0.5;

struct Upload {
  double closed_at = 0;
  bool written_whole = false;
  std::vector<double> begun_at;  // first byte at an endpoint
  double whole_at = 0;           // last byte at an endpoint
};
std::mutex mutex;
std::map<std::string, Upload> uploads;

// An endpoint whose backlog can be filled, so that new connections come up late.
struct LateEndpoint {
  Address address;
  int listener = -1;
  std::atomic<bool> late{false};
  std::atomic<bool> is_late{false};
};

void serve(int fd, int number) {
  std::string held;
  char bytes[256 * 1024];
  std::string id;
  std::size_t need = 0;
  double begun = 0;
  for (;;) {
    ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) break;
    if (begun == 0) begun = now();
    if (id.empty()) {
      held.append(bytes, std::size_t(count));
      std::size_t end = held.find("\r\n\r\n");
      if (end == std::string::npos) continue;
      std::size_t at = held.find("X-Correlation-Id: ");
      if (at == std::string::npos) break;
      id = held.substr(at + 18, held.find("\r\n", at) - at - 18);
      std::size_t length = held.find("Content-Length: ");
      need = std::size_t(std::atol(held.c_str() + length + 16)) - (held.size() - end - 4);
      std::lock_guard lock(mutex);
      uploads[id].begun_at.push_back(begun);
      record.line("endpoint s%d: an attempt of %s begins", number, id.c_str());
    } else {
      need -= std::size_t(count);
    }
    if (need > 0) continue;
    {
      std::lock_guard lock(mutex);
      uploads[id].whole_at = now();
      record.line("endpoint s%d has all of %s and runs it", number, id.c_str());
    }
    send_all(fd, ok("stored", "Connection: close\r\n"));
    break;
  }
  close(fd);
}

// Accepts connections, but for the time in which they are to come up late.
void accept_all(LateEndpoint& endpoint, int number) {
  for (;;) {
    if (endpoint.late) {
      std::vector<int> fillers;
      for (int i = 0; i < 8; ++i) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in at = native(endpoint.address);
        (void)!connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
        fillers.push_back(fd);
      }
      sleep_for(0.01);
      endpoint.is_late = true;
      while (endpoint.late) sleep_for(0.002);
      for (int fd : fillers) close(fd);
      endpoint.is_late = false;
    }
    pollfd polled{endpoint.listener, POLLIN, 0};
    if (poll(&polled, 1, 5) <= 0) continue;
    int fd = accept4(endpoint.listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) std::thread(serve, fd, number).detach();
  }
}
}  // namespace

int main() {
  begin();
  std::vector<std::unique_ptr<LateEndpoint>> endpoints;
  std::vector<Entry> entries;
  for (int i = 0; i < kEndpoints; ++i) {
    endpoints.push_back(std::make_unique<LateEndpoint>());
    endpoints.back()->address.host = "127.0.0." + std::to_string(10 + i);
    endpoints.back()->listener = listen_at(endpoints.back()->address, 1);
    entries.push_back({"s-" + std::to_string(i), endpoints.back()->address});
    std::thread([&endpoint = *endpoints.back(), i] { accept_all(endpoint, i); }).detach();
  }
  Discovery discovery(entries);
  Config config;
  config.listen = free_address("127.0.0.2");
  config.discovery = discovery.address;
  config.memory_mb = kMemoryMb;
  config.path_prefixes =
      R"([{"Name":"balance-view","Idempotency":"repeatable","Group":"all","MemorySpanS":7.5,"TargetLatencyS":2.5,"ClientTimeoutS":6.0,"Credit":3.0,"OverdueCredit":0.0},
      {"Name":"dues-payment","Idempotency":"by_key","Group":"cell","MemorySpanS":7.5,"TargetLatencyS":2.0,"ClientTimeoutS":5.0,"Credit":10.0,"OverdueCredit":0.0}])";
  config.limits =
      R"({"MaxBackendFetches":4,"ParallelTries":true,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterS":1.5,"ConnectTimeoutS":0.25,"ConnIdleS":10.0,"MostHeld":20000,"Probes":true,"Peers":false,"StreamsPerConn":1})";
  config.rules =
      R"({"AnswerSlackS":0.02,"AskWithinS":10.0,"ColdS":7.6,"ColdShare":0.34,"FallS":1.0,"StopSendingWithinS":0.2,"TipMultiple":4.0})";
  Sidecar sidecar = start_sidecar("n0", config.listen, {}, config.json());
  wait_ready(sidecar);

  const std::string chunk(64 * 1024, 'x');
  int count = 0, written = 0;
  const double until = now() + kRunSeconds;
  for (; now() < until; ++count) {
    LateEndpoint& late = *endpoints[std::size_t(count % kEndpoints)];
    const double late_since = now();
    late.late = trouble;
    while (trouble && !late.is_late) sleep_for(0.002);
    const std::string id = "u" + std::to_string(count);
    // Of many sizes, as it depends on the machine how much its systems hold of what the client has written.
    const std::size_t size = std::size_t((3 + 0.125 * (count % 13)) * 1024 * 1024);
    int fd = connect_to(config.listen);
    if (fd < 0) cannot_run("no connection to the sidecar");
    send_all(fd, "POST /dues-payment/batch HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id +
                     "\r\nX-Account: club-1\r\nIdempotency-Key: k" + id +
                     "\r\nX-Time-Left: 2500m\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    std::size_t sent = 0;
    double last = now();
    while (sent < size && now() - last < 0.05) {
      ssize_t some = send(fd, chunk.data(), std::min(chunk.size(), size - sent), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (some > 0) {
        sent += std::size_t(some);
        last = now();
      } else if (errno != EAGAIN) {
        break;
      }
    }
    if (!trouble && sent == size) {  // the client stays for its answer
      Reader reader(fd);
      std::optional<Message> answer = reader.read(now() + 4);
      record.line("client: %s answered %d", id.c_str(), answer ? answer->status() : 0);
    }
    close(fd);
    {
      std::lock_guard lock(mutex);
      uploads[id].closed_at = now();
      uploads[id].written_whole = sent == size;
      record.line("client: wrote %zu of %zu bytes of %s and has closed", sent, size, id.c_str());
    }
    written += sent == size;
    sleep_for(kLate - (now() - late_since));
    late.late = false;
    sleep_for(0.25);
  }
  sleep_for(0.5);
  if (!sidecar.runs()) judge(true, "the sidecar has ended");
  int late_begins = 0, late_runs = 0;
  std::lock_guard lock(mutex);
  for (const auto& [id, upload] : uploads) {
    if (!upload.written_whole) continue;  // half a request
    for (double begun : upload.begun_at) {
      if (begun <= upload.closed_at + kAllowed) continue;
      ++late_begins;
      late_runs += upload.whole_at > 0;
      record.line("%s: an attempt began %.3f s after its client had closed%s", id.c_str(), begun - upload.closed_at,
                  upload.whole_at > 0 ? ", and it ran" : "");
    }
  }
  char text[200];
  std::snprintf(text, sizeof text, "%d uploads, %d written whole; %d attempts began more than 0.1 s after the close, %d ran",
                count, written, late_begins, late_runs);
  judge(late_begins > 0, text);
}
