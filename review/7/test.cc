// Clients that leave at the end of a long upload, while the sidecar is held up for 0.1 s. The body of each upload
// holds a recorded HTTP request (a file, for the sidecar). No endpoint may ever be sent that recorded request as
// a request.
#include "../support-2/rig.hpp"

using namespace rig;

namespace {
constexpr int kEndpoints = 3;
constexpr std::size_t kMemoryMb = 32;
// A body is passed on while it arrives once more than a sixteenth of the memory limit has come.
constexpr std::size_t kFirstPart = kMemoryMb * 1024 * 1024 / 16 + 2048;
constexpr std::size_t kRest = 4096;
constexpr double kRunSeconds = 75;
constexpr double kHeldUp = 0.1;  // seconds; the pages name up to 0.15

std::atomic<int> accepted{0};  // connections that endpoints were made
std::atomic<int> foreign{0};   // requests at endpoints with an id that no client sent
std::atomic<int> headless{0};  // connections to endpoints on which the first bytes are those of a body
std::atomic<int> whole{0};     // uploads that came whole
std::atomic<pid_t> hold{0};    // the sidecar, while it is to be held up at its next connection to an endpoint
std::mutex ids_mutex;
std::set<std::string> sent_ids;

bool is_sent(const std::string& id) {
  std::lock_guard lock(ids_mutex);
  return sent_ids.contains(id);
}

void serve(int fd, int endpoint) {
  Reader reader(fd);
  bool is_first = true;
  while (std::optional<Message> request = reader.read(now() + 5)) {
    const std::string id = request->header("X-Correlation-Id");
    const bool known = is_sent(id);
    record.line("endpoint s%d got: %s, id %s, %zu bytes%s", endpoint, request->first.c_str(), id.c_str(),
                request->body.size(), known ? "" : ": NO CLIENT SENT THIS REQUEST");
    if (!known) ++foreign;
    if (!known && is_first) ++headless;
    if (known) ++whole;
    is_first = false;
    // "A request with an id that no client sent in this form is answered 400" (PROTOCOL.md).
    send_all(fd, known ? ok("stored " + id, "Connection: close\r\n")
                       : "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    break;
  }
  close(fd);
}

void accept_all(std::vector<int> listeners) {
  for (;;) {
    for (std::size_t i = 0; i < listeners.size(); ++i) {
      int fd = accept4(listeners[i], nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      if (pid_t held = hold.exchange(0)) kill(held, SIGSTOP);
      ++accepted;
      fcntl(fd, F_SETFL, 0);
      std::thread([fd, i] { serve(fd, int(i)); }).detach();
    }
  }
}
}  // namespace

int main() {
  begin();
  std::vector<Entry> entries;
  std::vector<int> listeners;
  for (int i = 0; i < kEndpoints; ++i) {
    Entry entry{"s-" + std::to_string(i), {}};
    entry.address.host = "127.0.0." + std::to_string(10 + i);
    listeners.push_back(listen_at(entry.address));
    fcntl(listeners.back(), F_SETFL, O_NONBLOCK);
    entries.push_back(entry);
  }
  Discovery discovery(entries);
  Config config;
  config.listen = free_address("127.0.0.2");
  config.discovery = discovery.address;
  config.memory_mb = int(kMemoryMb);
  Sidecar sidecar = start_sidecar("n0", config.listen, {}, config.json());
  wait_ready(sidecar);
  std::thread(accept_all, listeners).detach();

  const std::string recorded = "POST /consent/sign HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: recorded-last-year\r\n"
                               "X-Account: kotwijzer\r\nContent-Length: 0\r\n\r\n";
  std::string body = recorded;
  body.resize(kFirstPart + kRest, '.');
  int uploads = 0, answered = 0, unanswered = 0;
  const double until = now() + kRunSeconds;
  while (now() < until && foreign < 5) {
    if (!trouble && uploads >= 60) break;
    const std::string id = "u" + std::to_string(++uploads);
    {
      std::lock_guard lock(ids_mutex);
      sent_ids.insert(id);
    }
    int fd = connect_to(config.listen);
    if (fd < 0) cannot_run("no connection to the sidecar");
    const int before = accepted;
    if (trouble) hold = sidecar.pid;
    send_all(fd, "POST /upload/file HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id +
                     "\r\nX-Account: kotwijzer\r\nIdempotency-Key: k" + id +
                     "\r\nX-Time-Left: 3000m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    send_all(fd, std::string_view(body).substr(0, kFirstPart));
    for (double wait = now() + 1; accepted == before && now() < wait;) {
    }
    send_all(fd, std::string_view(body).substr(kFirstPart));
    if (trouble) {
      close(fd);  // the client leaves
      sleep_for(kHeldUp);
      hold = 0;
      sidecar.signal(SIGCONT);
      sleep_for(0.05);
      continue;
    }
    Reader reader(fd);
    std::optional<Message> response = reader.read(now() + 5);
    response ? ++answered : ++unanswered;
    close(fd);
  }
  sleep_for(0.3);
  if (!sidecar.runs()) judge(true, "the sidecar has ended");
  char text[256];
  std::snprintf(text, sizeof text,
                "%d uploads, %d answered, %d not; %d came whole; %d requests at endpoints that no client sent, %d as the first on their connection",
                uploads, answered, unanswered, whole.load(), foreign.load(), headless.load());
  judge(foreign > 0, text);
}
