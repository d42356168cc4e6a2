// Support for the cases of the second review: a sidecar started by the command of the deploy file, and small
// stand-ins for clients, endpoints and discovery. Threads with blocking sockets, on loopback addresses and the
// real clock. Every case is one program that includes this file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline double now() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return double(t.tv_sec) + double(t.tv_nsec) * 1e-9;
}
inline void sleep_for(double seconds) {
  if (seconds > 0) usleep(useconds_t(seconds * 1e6));
}
inline double unix_ms() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return double(t.tv_sec) * 1e3 + double(t.tv_nsec) * 1e-6;
}

// A case that can't run ends with 2.
[[noreturn]] inline void cannot_run(const std::string& why);

// What was sent, answered and run, one line each, in record.txt.
class Record {
 public:
  void open(const std::string& path) {
    std::lock_guard lock(mutex_);
    file_ = std::fopen(path.c_str(), "w");
    begun_ = now();
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (!file_) return;
    std::fprintf(file_, "%9.4f ", now() - begun_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  double begun_ = 0;
};
inline Record record;

struct Address {
  std::string host = "127.0.0.1";
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in native(const Address& address) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(std::uint16_t(address.port));
  inet_pton(AF_INET, address.host.c_str(), &at.sin_addr);
  return at;
}

// Listens at a free port of that loopback address. The port of `at` is set.
inline int listen_at(Address& at, int backlog = 512) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in native_at = native(at);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&native_at), sizeof native_at) != 0 ||
      listen(fd, backlog) != 0)
    cannot_run("no port to listen at");
  socklen_t size = sizeof native_at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&native_at), &size);
  at.port = ntohs(native_at.sin_port);
  return fd;
}
// A port that is free now, for a process that listens there itself.
inline Address free_address(const std::string& host = "127.0.0.1") {
  Address at{host, 0};
  close(listen_at(at, 1));
  return at;
}

inline int connect_to(const Address& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = native(address);
  if (fd < 0 || connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    if (fd >= 0) close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(std::size_t(sent));
  }
  return true;
}

inline bool same_name(std::string_view one, std::string_view other) {
  return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

struct Message {
  std::string first;  // the request or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  double read_at = 0;  // when its last byte was read
  std::string header(std::string_view name) const {
    for (const auto& [key, value] : headers)
      if (same_name(key, name)) return value;
    return "";
  }
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string target() const {
    std::size_t from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
  std::string prefix() const {
    std::string path = target().substr(1);
    return path.substr(0, path.find_first_of("/?"));
  }
};

// Reads messages from a socket. `held` keeps what follows a message.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // One message, or nothing if the connection ends, a deadline passes or it can't be read.
  std::optional<Message> read(double until) {
    Message message;
    std::size_t end;
    while ((end = held_.find("\r\n\r\n")) == std::string::npos) {
      if (held_.size() > 64 * 1024 || !more(until)) return {};
    }
    std::istringstream head(held_.substr(0, end));
    held_.erase(0, end + 4);
    std::getline(head, message.first);
    if (!message.first.empty() && message.first.back() == '\r') message.first.pop_back();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      std::size_t colon = line.find(':');
      if (colon == std::string::npos) return {};
      std::size_t value = line.find_first_not_of(" \t", colon + 1);
      message.headers.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
    }
    if (message.first.find(" HTTP/1.") == std::string::npos && message.first.rfind("HTTP/1.", 0) != 0) return {};
    if (same_name(message.header("Transfer-Encoding"), "chunked")) {
      for (;;) {
        std::optional<std::string> size = line(until);
        if (!size) return {};
        std::size_t count = std::strtoul(size->c_str(), nullptr, 16);
        while (held_.size() < count + 2)
          if (!more(until)) return {};
        message.body += held_.substr(0, count);
        held_.erase(0, count + 2);
        if (count == 0) break;
      }
    } else {
      std::size_t count = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
      while (held_.size() < count)
        if (!more(until)) return {};
      message.body = held_.substr(0, count);
      held_.erase(0, count);
    }
    message.read_at = now();
    return message;
  }
  bool has_ended() const { return ended_; }
  const std::string& held() const { return held_; }

 private:
  std::optional<std::string> line(double until) {
    std::size_t end;
    while ((end = held_.find("\r\n")) == std::string::npos)
      if (!more(until)) return {};
    std::string text = held_.substr(0, end);
    held_.erase(0, end + 2);
    return text;
  }
  bool more(double until) {
    double left = until - now();
    if (left <= 0) return false;
    pollfd polled{fd_, POLLIN, 0};
    if (poll(&polled, 1, int(left * 1000) + 1) <= 0) return false;
    char bytes[64 * 1024];
    ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) {
      ended_ = true;
      return false;
    }
    held_.append(bytes, std::size_t(count));
    return true;
  }
  int fd_;
  std::string held_;
  bool ended_ = false;
};

// One request on a new connection. Status 0: no whole answer.
struct Answer {
  int status = 0;
  std::string body;
  double sent_at = 0, answered_at = 0;
  double seconds() const { return answered_at - sent_at; }
};
inline Answer ask(const Address& to, const std::string& request, double within) {
  Answer answer;
  int fd = connect_to(to);
  if (fd < 0) return answer;
  send_all(fd, request);
  answer.sent_at = now();
  Reader reader(fd);
  if (std::optional<Message> message = reader.read(answer.sent_at + within)) {
    answer.status = message->status();
    answer.body = message->body;
  }
  answer.answered_at = now();
  close(fd);
  return answer;
}
inline Answer call(const Address& admin, const std::string& method, const std::string& path,
                   const std::string& body = "") {
  return ask(admin,
             method + " " + path + " HTTP/1.1\r\nHost: admin\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body,
             2);
}

// An endpoint: answers each request as `handle` says, on a thread for each connection.
class Endpoint {
 public:
  using Handler = std::function<std::string(const Message&)>;  // the response; empty: closes with none
  Endpoint(std::string name, const std::string& host, Handler handle)
      : name(std::move(name)), handle_(std::move(handle)) {
    address.host = host;
    listener_ = listen_at(address);
    std::thread([this] { accept_all(); }).detach();
  }
  const std::string name;
  Address address;

 private:
  void accept_all() {
    for (;;) {
      int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    Reader reader(fd);
    while (std::optional<Message> request = reader.read(now() + 3600)) {
      std::string response = handle_(*request);
      if (response.empty() || !send_all(fd, response)) break;
      if (response.find("Connection: close") != std::string::npos) break;
    }
    close(fd);
  }
  Handler handle_;
  int listener_ = -1;
};

inline std::string ok(const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}

struct Entry {
  std::string name;
  Address address;
  std::string status = "active";
  std::string zone = "here";
  int group = 1;
  double since_ms = 0;
  std::string json() const {
    char since[32];
    std::snprintf(since, sizeof since, "%.0f", since_ms);
    return R"({"name":")" + name + R"(","address":")" + address.text() + R"(","zone":")" + zone +
           R"(","type":"m","group":)" + std::to_string(group) + R"(,"status":")" + status +
           R"(","weight":1.0,"since_ms":)" + since + "}";
  }
};

// Discovery: the whole list, and watches that tell changes; an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<Entry> entries) : entries_(std::move(entries)) {
    listener_ = listen_at(address);
    for (const Entry& entry : entries_) changed_[entry.name] = index_;
    std::thread([this] { accept_all(); }).detach();
  }
  Address address;
  // Called after the changes up to that index were written to a watch.
  std::function<void(long index)> on_written;
  long index() {
    std::lock_guard lock(mutex_);
    return index_;
  }
  std::string whole() {
    std::lock_guard lock(mutex_);
    return whole_locked();
  }
  void change(const Entry& entry) {
    std::lock_guard lock(mutex_);
    ++index_;
    changed_[entry.name] = index_;
    for (Entry& known : entries_) {
      if (known.name == entry.name) {
        known = entry;
        return;
      }
    }
    entries_.push_back(entry);
  }

 private:
  std::string whole_locked() {
    std::string list;
    for (const Entry& entry : entries_)
      if (entry.status != "left") list += (list.empty() ? "" : ",") + entry.json();
    return R"({"index":)" + std::to_string(index_) + R"(,"snapshot":true,"endpoints":[)" + list + "]}";
  }
  // What changed after that index; empty if nothing did.
  std::string changes_after(long after, long& upto) {
    std::lock_guard lock(mutex_);
    upto = index_;
    if (after <= 0) return whole_locked();
    std::string list;
    for (const Entry& entry : entries_)
      if (changed_[entry.name] > after) list += (list.empty() ? "" : ",") + entry.json();
    if (list.empty()) return "";
    return R"({"index":)" + std::to_string(index_) + R"(,"snapshot":false,"endpoints":[)" + list + "]}";
  }
  void accept_all() {
    for (;;) {
      int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  static std::string chunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void serve(int fd) {
    Reader reader(fd);
    std::optional<Message> request = reader.read(now() + 60);
    if (request) answer(fd, request->target());
    close(fd);
  }
  void answer(int fd, const std::string& target) {
    if (target.find("watch=1") == std::string::npos) {
      std::string text = whole() + "\n";
      send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
      return;
    }
    std::size_t at = target.find("after=");
    long after = at == std::string::npos ? 0 : std::atol(target.c_str() + at + 6);
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    double quiet_since = now();
    for (;;) {
      long upto = after;
      std::string changes = changes_after(after, upto);
      if (!changes.empty()) {
        if (!send_all(fd, chunk(changes + "\n"))) return;
        if (on_written) on_written(upto);
        quiet_since = now();
      } else if (now() - quiet_since >= 2) {
        if (!send_all(fd, chunk("\n"))) return;
        quiet_since = now();
      }
      after = upto;
      pollfd polled{fd, POLLIN, 0};
      if (poll(&polled, 1, 5) > 0) {
        char byte;
        if (recv(fd, &byte, 1, MSG_PEEK) <= 0) return;
      }
    }
  }
  std::mutex mutex_;
  std::vector<Entry> entries_;
  std::map<std::string, long> changed_;
  long index_ = 41;
  int listener_ = -1;
};

inline std::vector<pid_t> children;
inline void end_children() {
  for (pid_t child : children) {
    kill(child, SIGCONT);
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
  }
  children.clear();
}
inline std::string folder;  // temporary
inline void remove_folder() {
  if (!folder.empty()) (void)!std::system(("rm -rf '" + folder + "'").c_str());
}
[[noreturn]] inline void finish(int code) {
  end_children();
  remove_folder();
  std::fflush(nullptr);
  _exit(code);
}
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::printf("can't run: %s\n", why.c_str());
  record.line("can't run: %s", why.c_str());
  finish(2);
}
[[noreturn]] inline void judge(bool broken, const std::string& what) {
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", what.c_str());
  record.line("%s: %s", broken ? "BROKEN" : "held", what.c_str());
  finish(broken ? 1 : 0);
}

// Environment of the script: RUN_COMMAND (`run` of the deploy file), CASE_FOLDER, TROUBLE. Call it first.
inline bool trouble = true;
inline void begin() {
  signal(SIGPIPE, SIG_IGN);
  // A case that is told to end leaves neither a process nor a folder.
  for (int number : {SIGTERM, SIGINT}) signal(number, [](int) { finish(2); });
  const char* value = std::getenv("TROUBLE");
  trouble = !(value && std::string(value) == "0");
  const char* place = std::getenv("CASE_FOLDER");
  record.open(std::string(place ? place : ".") + "/record.txt");
  const char* temporary = std::getenv("TMPDIR");
  std::string pattern = std::string(temporary && *temporary ? temporary : "/tmp") + "/puffinvane-review-XXXXXX";
  if (!mkdtemp(pattern.data())) cannot_run("no temporary folder");
  folder = pattern;
  record.line("TROUBLE=%d", trouble ? 1 : 0);
}

// A sidecar, started by the command of the deploy file from the project's root.
struct Sidecar {
  pid_t pid = 0;
  Address listen, admin;
  std::string config_path;
  bool runs() const { return waitpid(pid, nullptr, WNOHANG) == 0; }
  void signal(int number) const { kill(pid, number); }
};
inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  std::rename((path + ".new").c_str(), path.c_str());
}
inline Sidecar start_sidecar(const std::string& name, const Address& listen, const Address& admin,
                             const std::string& config) {
  const char* command = std::getenv("RUN_COMMAND");
  if (!command || !*command) cannot_run("RUN_COMMAND is not set");
  Sidecar sidecar;
  sidecar.listen = listen;
  sidecar.admin = admin;
  sidecar.config_path = folder + "/" + name + ".json";
  write_file(sidecar.config_path, config);
  const std::string log = folder + "/" + name + ".log";
  sidecar.pid = fork();
  if (sidecar.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BALANCER_CONFIG", sidecar.config_path.c_str(), 1);
    setenv("BALANCER_NAME", name.c_str(), 1);
    setenv("TMPDIR", folder.c_str(), 1);
    if (!std::getenv("PUFFINVANE_LOG")) setenv("PUFFINVANE_LOG", "info", 1);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(out, 1);
    dup2(out, 2);
    execl("/bin/sh", "sh", "-c", command, nullptr);
    _exit(127);
  }
  children.push_back(sidecar.pid);
  record.line("started %s", name.c_str());
  return sidecar;
}
inline void wait_ready(const Sidecar& sidecar, double within = 10) {
  for (double until = now() + within; now() < until; sleep_for(0.01)) {
    Answer answer = sidecar.admin.port ? call(sidecar.admin, "GET", "/api/ready")
                                       : ask(sidecar.listen, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", 1);
    if (answer.status == 200) return;
  }
  cannot_run("the sidecar is not ready in time");
}

// The configuration of a small deployment. `more_settings` goes into `settings`.
struct Config {
  Address listen, admin, discovery;
  std::string known = R"({"index":0,"snapshot":true,"endpoints":[]})";
  int memory_mb = 192, sockets = 1024;
  std::string path_prefixes =
      R"([{"Name":"status","Idempotency":"repeatable","Group":"all","MemorySpanS":5.0,"TargetLatencyS":0.75,"ClientTimeoutS":2.0,"Credit":2.0,"OverdueCredit":0.2},
      {"Name":"consent","Idempotency":"once","Group":"all","MemorySpanS":5.0,"TargetLatencyS":0.75,"ClientTimeoutS":2.5,"Credit":8.0,"OverdueCredit":0.25},
      {"Name":"upload","Idempotency":"by_key","Group":"zone","MemorySpanS":5.0,"TargetLatencyS":1.2,"ClientTimeoutS":3.0,"Credit":3.0,"OverdueCredit":0.2}])";
  std::string limits =
      R"({"MaxBackendFetches":3,"ParallelTries":true,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterS":1.5,"ConnectTimeoutS":0.12,"ConnIdleS":10.0,"MostHeld":20000,"Probes":true,"Peers":false,"StreamsPerConn":1})";
  std::string rules =
      R"({"AnswerSlackS":0.02,"AskWithinS":10.0,"ColdS":7.7,"ColdShare":0.31,"FallS":3.0,"StopSendingWithinS":0.5,"TipMultiple":3.0})";
  std::string tiers = R"("Tiers":["front"],"Layer":0)";
  std::string mode = "pushed";
  std::string name = "n0";
  int me = 0, peers_total = 1;
  std::string json() const {
    return R"({"name":")" + name + R"(","listen":")" + listen.text() + R"(","discovery":")" + discovery.text() + '"' +
           (admin.port ? R"(,"console":")" + admin.text() + '"' : "") +
           R"(,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) +
           R"(,"sockets":)" + std::to_string(sockets) + R"(},"known":)" + known +
           R"(,"settings":{"Zone":"here","Zones":["here"],"Me":)" + std::to_string(me) + R"(,"PeersTotal":)" + std::to_string(peers_total) +
           "," + tiers + R"(,"PathPrefixes":)" + path_prefixes + R"(,"Limits":)" + limits + R"(,"Rules":)" +
           rules + R"(,"Report":{"Via":"silent"},"RegistryMode":")" + mode + R"(","RoundS":0.005}})";
  }
};

}  // namespace rig
