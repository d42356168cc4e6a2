// Uploads of some MB while one of nine endpoints hangs: does each request that was taken get its final answer?
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr double kDeadline = 3.0;  // seconds: X-Time-Left, and the client timeout of the request class
constexpr double kSlack = 0.5;     // STANDING: "Up to half a second after its time it only earns nothing"
constexpr double kHang = 7;        // seconds; leuven-main: "answer none for 5.7 to 24 s"
constexpr double kLook = 8;        // seconds for which a client looks for its answer
constexpr double kWork = 0.3;      // seconds that an endpoint works on an upload
constexpr int kEndpoints = 9;
constexpr int kHanging = 1;  // leuven-main: "Up to 12% of the nodes take visits and answer none"
constexpr int kUploads = 9;  // at a time: one for each endpoint

// The bodies are a little longer than what the sidecar buffers before it forwards (an eighth of half its memory) and
// what it holds of the rest, so that all of a body fits into the sidecar's process and its machine's socket.
struct Round {
  int memory_mb;           // LATER: "32 to 192 MB by language and day"
  std::size_t body_bytes;  // DAYS: "Answers and bodies of up to 32 MB occur"
};
constexpr Round kRounds[] = {{64, 4210 << 10}, {64, 4225 << 10}, {192, 12405 << 10}};
constexpr int kRoundCount = int(std::size(kRounds));

struct Upload {
  std::string id;
  std::size_t bytes = 0;
  double written_at = -1;    // the client has written its last byte
  bool is_accepted = false;  // the sidecar's machine has acknowledged that byte too
  double answered_at = -1;   // the head of a final answer, or the end of the connection
  std::string answer = "none";
};

// An endpoint: reads each upload, works, answers 200. It hangs when its process is stopped.
void serve_uploads(Connection& connection, const std::string& endpoint, Record& record) {
  for (;;) {
    std::string head = connection.read_head(now() + 3600);
    if (head.empty()) return;
    std::string id = header_of(head, "X-Correlation-Id");
    std::size_t left = std::size_t(std::atoll(header_of(head, "Content-Length").c_str()));
    for (std::size_t read = connection.input().size(); read < left; read = connection.input().size()) {
      left -= read;
      connection.input().clear();
      Connection::Read got = connection.read_some(now() + 60);
      if (got == Connection::Read::Ended || got == Connection::Read::Broken) return;
    }
    connection.input().erase(0, left);
    record.line("%s runs %s", endpoint.c_str(), id.c_str());
    sleep_for(kWork);
    std::string body = "stored " + id;
    connection.send_all("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                        now() + 2);
  }
}

struct EndpointProcess {
  pid_t pid = 0;
  int port = 0;
};

EndpointProcess start_endpoint(const std::string& name, const std::string& record_path) {
  int told[2];
  if (pipe(told) != 0) give_up("no pipe");
  EndpointProcess started;
  started.pid = fork();
  if (started.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    Record record(record_path, false);
    int port = serve([name, &record](Connection& connection) { serve_uploads(connection, name, record); });
    if (write(told[1], &port, sizeof port) != sizeof port) _exit(2);
    for (;;) pause();
  }
  close(told[1]);
  if (read(told[0], &started.port, sizeof started.port) != sizeof started.port) give_up("no endpoint");
  close(told[0]);
  return started;
}

void upload(Upload& one, int port, Record& record) {
  Connection client;
  if (!client.connect_to(port)) return;
  std::string request = "POST /upload/report HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + one.id +
                        "\r\nX-Account: kotwijzer\r\nX-Time-Left: 3000m\r\nIdempotency-Key: key-" + one.id +
                        "\r\nContent-Length: " + std::to_string(one.bytes) + "\r\n\r\n" +
                        std::string(one.bytes, 'u');
  record.line("client sends %s, body of %zu bytes", one.id.c_str(), one.bytes);
  double look_until = now() + kLook;
  if (client.send_all(request, look_until)) one.written_at = now();
  for (double until = now() + 1; client.unaccepted() > 0 && now() < until;) sleep_for(0.005);
  one.is_accepted = one.written_at >= 0 && client.unaccepted() == 0;
  if (one.is_accepted) one.written_at = now();
  record.line("client: %s is %s", one.id.c_str(),
              one.is_accepted        ? "written, and accepted whole by the sidecar's machine"
              : one.written_at >= 0 ? "written"
                                     : "not written whole");
  Connection::Read last = Connection::Read::Nothing;
  std::string head = client.read_head(look_until, &last);
  if (!head.empty()) one.answer = head.substr(0, head.find("\r\n"));
  else if (last != Connection::Read::Nothing) one.answer = "connection ended without an answer";
  if (one.answer != "none") one.answered_at = now();
  record.line("client: %s: %s", one.id.c_str(), one.answer == "none" ? "no answer" : one.answer.c_str());
}

}  // namespace

int main(int count, char** values) {
  Arguments arguments = read_arguments(count, values);
  Record record(arguments.record);
  if (!record.is_open()) give_up("can't write " + arguments.record);
  std::vector<std::vector<EndpointProcess>> processes(kRoundCount);
  for (int round = 0; round < kRoundCount; ++round) {
    for (int i = 0; i < kEndpoints; ++i)
      processes[std::size_t(round)].push_back(start_endpoint("s-" + std::to_string(i), arguments.record));
  }

  int taken = 0, lost = 0;
  bool is_running = true;
  for (int round = 0; round < kRoundCount && is_running; ++round) {
    const Round& sizes = kRounds[round];
    std::vector<EndpointProcess>& endpoints = processes[std::size_t(round)];
    std::vector<ListedEndpoint> listed;
    for (int i = 0; i < kEndpoints; ++i)
      listed.push_back({"s-" + std::to_string(i), endpoints[std::size_t(i)].port});
    auto* agent = new Agent(listed);  // its threads outlive the round
    Site site;
    site.memory_mb = sizes.memory_mb;
    site.classes =
        R"([{"Name":"upload","Idempotency":"by_key","Group":"zone","MemorySpanS":5.0,"TargetLatencyS":1.2,)"
        R"("ClientTimeoutS":3.0,"Credit":3.0}])";
    Sidecar sidecar(arguments, site, *agent, free_port(), round);
    if (!sidecar.wait_until_ready()) give_up("the sidecar is not ready");
    record.line("round %d: sidecar with %d MB is ready; trouble: %s", round, sizes.memory_mb,
                arguments.trouble ? "yes" : "no");
    for (int i = 0; i < kHanging && arguments.trouble; ++i) {
      kill(endpoints[std::size_t(i)].pid, SIGSTOP);
      record.line("s-%d hangs (SIGSTOP)", i);
    }
    double hangs_since = now();
    std::vector<Upload> uploads(kUploads);
    std::vector<std::thread> clients;
    for (int i = 0; i < kUploads; ++i) {
      Upload& one = uploads[std::size_t(i)];
      one.id = "u" + std::to_string(round) + "-" + std::to_string(i);
      one.bytes = sizes.body_bytes;
      clients.emplace_back(upload, std::ref(one), sidecar.port, std::ref(record));
      sleep_for(0.02);
    }
    if (arguments.trouble) {
      sleep_until(hangs_since + kHang);
      for (int i = 0; i < kHanging; ++i) kill(endpoints[std::size_t(i)].pid, SIGCONT);
      record.line("the endpoint goes on");
    }
    for (std::thread& client : clients) client.join();
    for (const Upload& one : uploads) {
      // Not taken: its last byte was not written, or still lies on the client's machine.
      if (!one.is_accepted) continue;
      ++taken;
      double waited = (one.answered_at < 0 ? now() : one.answered_at) - one.written_at;
      bool kept = one.answer.rfind("HTTP/", 0) == 0 && waited <= kDeadline + kSlack + kSocketSlack;
      lost += !kept;
      record.line("%s: answer: %s, %.2f s after its last byte: %s", one.id.c_str(), one.answer.c_str(), waited,
                  kept ? "kept" : "LOST");
    }
    is_running = sidecar.is_running();
    sidecar.end();
    for (EndpointProcess& endpoint : endpoints) kill(endpoint.pid, SIGKILL);
  }
  for (auto& round : processes) {
    for (EndpointProcess& endpoint : round) {
      kill(endpoint.pid, SIGKILL);
      waitpid(endpoint.pid, nullptr, 0);
    }
  }
  record.line("taken %d, lost %d; sidecar %s", taken, lost, is_running ? "ran" : "has ended");
  if (taken == 0) finish(kCouldNotRun);
  finish(lost > 0 ? kBroken : kHeld);
}
