// Fault injection for tests: makes system calls fail and steps the wall clock of an unmodified program, as a
// shared library that is loaded with LD_PRELOAD. No program links it.
//
// PUFFINVANE_FAULTS holds a schedule. PUFFINVANE_FAULTS_FILE names a file with a further schedule, which may
// be replaced while the program runs (write another file and rename it): it is checked on each call, and the
// counts of its rows restart when it changes. PUFFINVANE_FAULTS_PLAYED names a file to which a line "call
// what" is appended for each injected fault. An invalid schedule ends the program with exit status 97 and a
// message.
//
//   schedule := row { (";" | newline) row }         "#" begins a comment, to the end of the line
//   row      := call action { condition }  |  "clock" ("+" | "-") seconds [ "at=" seconds ]  |  "seed" number
//   call     := socket connect accept bind listen send recv read write epoll_create epoll_ctl epoll_wait poll
//               signalfd eventfd getsockopt setsockopt shutdown close open fcntl pipe
//   action   := an errno by its name (ENOBUFS)       the call fails with it and does nothing else
//             | "short=" bytes                       the call transfers at most that many bytes
//             | "stall=" seconds                     the call is delayed by that time
//   condition:= "n=" number                          the n-th time only, counted from 1
//             | "each=" number                       each n-th time
//             | "from=" number | "to=" number        from the n-th on, up to the n-th (both included)
//             | "odds=" share                        with this probability, drawn from the seed and the count
//             | "only=" (tcp | udp | unix | pipe | file | other)   descriptors (or new sockets) of that kind
//
// All conditions of a row have to hold; the first row that applies is used. A row counts the calls of its
// name whose descriptor is of its kind. Names include variants of a call: accept4 is accept; sendto and
// sendmsg are send, recvfrom and recvmsg recv; writev is write; ppoll poll; openat and fopen open. Calls that
// the C library makes internally (stdio) are not intercepted. A close that fails has closed the descriptor,
// as on Linux. "short" does not apply to packets: the kernel shortens transfers only on streams, pipes and
// files.
//
// A clock step moves CLOCK_REALTIME (clock_gettime, gettimeofday, time, timespec_get, and so
// g_get_real_time) by that many seconds, which may be a fraction, from "at" seconds after the start of the
// program, or at once; all steps that are due add up. Monotonic clocks are not affected.
//
// Examples:   socket ENFILE n=4        send ENOBUFS each=9 only=tcp        recv short=1; send short=1
//             connect EADDRNOTAVAIL odds=0.3; seed 7                      clock +3600 at=2; clock -7200 at=8
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <optional>
#include <string_view>

namespace {

constexpr std::size_t kMaxRows = 64;
constexpr std::size_t kMaxScheduleBytes = 8192;  // longest schedule file, in bytes
constexpr std::size_t kMaxMessageParts = 64;     // longer messages are not shortened
constexpr int kInvalidScheduleExitCode = 97;     // of the process
constexpr double kNanosecond = 1e-9;
constexpr long kNanosecondsInSecond = 1'000'000'000;

enum class Call {
  Socket,
  Connect,
  Accept,
  Bind,
  Listen,
  Send,
  Recv,
  Read,
  Write,
  EpollCreate,
  EpollCtl,
  EpollWait,
  Poll,
  Signalfd,
  Eventfd,
  Getsockopt,
  Setsockopt,
  Shutdown,
  Close,
  Open,
  Fcntl,
  Pipe
};
constexpr std::string_view kCalls[] = {
    "socket",     "connect",      "accept",    "bind",       "listen", "send",     "recv",    "read",
    "write",      "epoll_create", "epoll_ctl", "epoll_wait", "poll",   "signalfd", "eventfd", "getsockopt",
    "setsockopt", "shutdown",     "close",     "open",       "fcntl",  "pipe"};

enum class Kind { Any, Tcp, Udp, Unix, Pipe, File, Other };
constexpr std::string_view kKinds[] = {"", "tcp", "udp", "unix", "pipe", "file", "other"};

struct ErrorName {
  std::string_view name;
  int number;
};
constexpr ErrorName kErrors[] = {{"EACCES", EACCES},
                                 {"EADDRINUSE", EADDRINUSE},
                                 {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                 {"EAGAIN", EAGAIN},
                                 {"EBADF", EBADF},
                                 {"ECONNABORTED", ECONNABORTED},
                                 {"ECONNREFUSED", ECONNREFUSED},
                                 {"ECONNRESET", ECONNRESET},
                                 {"EEXIST", EEXIST},
                                 {"EHOSTDOWN", EHOSTDOWN},
                                 {"EHOSTUNREACH", EHOSTUNREACH},
                                 {"EINPROGRESS", EINPROGRESS},
                                 {"EINTR", EINTR},
                                 {"EINVAL", EINVAL},
                                 {"EIO", EIO},
                                 {"EISCONN", EISCONN},
                                 {"EMFILE", EMFILE},
                                 {"EMSGSIZE", EMSGSIZE},
                                 {"ENETDOWN", ENETDOWN},
                                 {"ENETUNREACH", ENETUNREACH},
                                 {"ENFILE", ENFILE},
                                 {"ENOBUFS", ENOBUFS},
                                 {"ENODEV", ENODEV},
                                 {"ENOENT", ENOENT},
                                 {"ENOMEM", ENOMEM},
                                 {"ENONET", ENONET},
                                 {"ENOPROTOOPT", ENOPROTOOPT},
                                 {"ENOSPC", ENOSPC},
                                 {"ENOSYS", ENOSYS},
                                 {"ENOTCONN", ENOTCONN},
                                 {"EOPNOTSUPP", EOPNOTSUPP},
                                 {"EPERM", EPERM},
                                 {"EPIPE", EPIPE},
                                 {"EPROTO", EPROTO},
                                 {"ETIMEDOUT", ETIMEDOUT},
                                 {"ETOOMANYREFS", ETOOMANYREFS}};

struct Action {
  int error = 0;
  std::size_t max_bytes = 0;  // 0: no limit
  double stall = 0;           // seconds
};

struct Row {
  Call call{};
  Action action;
  std::uint64_t only_nth = 0, each = 0, from = 0, to = 0;  // 0: no condition
  double odds = 1;
  Kind kind = Kind::Any;
  std::uint64_t call_count = 0;
};

struct ClockStep {
  double seconds = 0, at = 0;
};

// The rows of one schedule.
struct Schedule {
  std::array<Row, kMaxRows> rows;
  std::array<ClockStep, kMaxRows> steps;
  std::size_t row_count = 0, step_count = 0;
  std::uint64_t seed = 1;
};

double monotonic() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return double(now.tv_sec) + double(now.tv_nsec) * kNanosecond;
}

void write_to_stderr(std::string_view text) { syscall(SYS_write, STDERR_FILENO, text.data(), text.size()); }

[[noreturn]] void exit_with_error(std::string_view why, std::string_view what) {
  write_to_stderr("faults: ");
  write_to_stderr(why);
  write_to_stderr(": ");
  write_to_stderr(what);
  write_to_stderr("\n");
  _exit(kInvalidScheduleExitCode);
}

template <typename Number>
Number number(std::string_view text) {
  if (text.starts_with('+')) text.remove_prefix(1);
  Number value{};
  auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (fault != std::errc() || end != text.data() + text.size()) exit_with_error("not a number", text);
  return value;
}

template <std::size_t N>
std::optional<std::size_t> index_of(const std::string_view (&names)[N], std::string_view name) {
  auto found = std::find(std::begin(names), std::end(names), name);
  if (found == std::end(names)) return {};
  return std::size_t(found - std::begin(names));
}

Call call_named(std::string_view name) {
  constexpr ErrorName kVariants[] = {
      {"accept4", int(Call::Accept)}, {"sendto", int(Call::Send)},  {"sendmsg", int(Call::Send)},
      {"recvfrom", int(Call::Recv)},  {"recvmsg", int(Call::Recv)}, {"writev", int(Call::Write)},
      {"ppoll", int(Call::Poll)},     {"openat", int(Call::Open)},  {"epoll_create1", int(Call::EpollCreate)},
      {"pipe2", int(Call::Pipe)},     {"fopen", int(Call::Open)}};
  if (auto known = index_of(kCalls, name)) return Call(*known);
  for (const ErrorName& variant : kVariants) {
    if (variant.name == name) return Call(variant.number);
  }
  exit_with_error("no call of that name", name);
}

int error_named(std::string_view name) {
  for (const ErrorName& error : kErrors) {
    if (error.name == name) return error.number;
  }
  exit_with_error("no error of that name", name);
}

// The next word of a row; empty at the end of the row.
std::string_view next_word(std::string_view& row) {
  constexpr std::string_view kBlank = " \t\r";
  std::size_t begin = std::min(row.find_first_not_of(kBlank), row.size());
  std::size_t end = std::min(row.find_first_of(kBlank, begin), row.size());
  std::string_view word = row.substr(begin, end - begin);
  row.remove_prefix(end);
  return word;
}

void read_condition(Row& row, std::string_view word) {
  std::size_t equals = word.find('=');
  if (equals == word.npos) {
    row.action.error = error_named(word);
    return;
  }
  std::string_view name = word.substr(0, equals), value = word.substr(equals + 1);
  if (name == "short") row.action.max_bytes = std::max<std::size_t>(1, number<std::size_t>(value));
  else if (name == "stall") row.action.stall = number<double>(value);
  else if (name == "n") row.only_nth = number<std::uint64_t>(value);
  else if (name == "each") row.each = number<std::uint64_t>(value);
  else if (name == "from") row.from = number<std::uint64_t>(value);
  else if (name == "to") row.to = number<std::uint64_t>(value);
  else if (name == "odds") row.odds = number<double>(value);
  else if (auto kind = index_of(kKinds, value); name == "only" && kind)
    row.kind = static_cast<Kind>(kind.value());
  else exit_with_error("no such condition", word);
}

void read_row(Schedule& schedule, std::string_view text) {
  std::string_view name = next_word(text);
  if (name.empty()) return;
  if (schedule.row_count == kMaxRows || schedule.step_count == kMaxRows)
    exit_with_error("too many rows", text);
  if (name == "seed") {
    schedule.seed = number<std::uint64_t>(next_word(text));
    return;
  }
  if (name == "clock") {
    ClockStep& step = schedule.steps[schedule.step_count++];
    step.seconds = number<double>(next_word(text));
    std::string_view at = next_word(text);
    if (at.starts_with("at=")) step.at = number<double>(at.substr(3));
    else if (!at.empty()) exit_with_error("no such condition", at);
    return;
  }
  Row& row = schedule.rows[schedule.row_count++];
  row.call = call_named(name);
  for (std::string_view word = next_word(text); !word.empty(); word = next_word(text))
    read_condition(row, word);
  const Action& action = row.action;
  if (!action.error && action.max_bytes == 0 && action.stall <= 0)
    exit_with_error("a row without a fault", name);
}

Schedule read_schedule(std::string_view text) {
  Schedule schedule;
  while (!text.empty()) {
    std::size_t line_end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, line_end);
    text.remove_prefix(std::min(line_end + 1, text.size()));
    line = line.substr(0, line.find('#'));
    while (!line.empty()) {
      std::size_t end = std::min(line.find(';'), line.size());
      read_row(schedule, line.substr(0, end));
      line.remove_prefix(std::min(end + 1, line.size()));
    }
  }
  return schedule;
}

Kind kind_of_socket(int domain, int type) {
  if (domain == AF_UNIX) return Kind::Unix;
  if (domain != AF_INET && domain != AF_INET6) return Kind::Other;
  return type == SOCK_STREAM ? Kind::Tcp : Kind::Udp;
}

int socket_option(int descriptor, int name) {
  int value = 0;
  socklen_t size = sizeof value;
  bool known = syscall(SYS_getsockopt, descriptor, SOL_SOCKET, name, &value, &size) == 0;
  return known ? value : -1;
}

Kind kind_of(int descriptor) {
  struct stat status {};
  if (fstat(descriptor, &status) != 0) return Kind::Other;
  if (S_ISFIFO(status.st_mode)) return Kind::Pipe;
  if (S_ISREG(status.st_mode)) return Kind::File;
  if (!S_ISSOCK(status.st_mode)) return Kind::Other;
  return kind_of_socket(socket_option(descriptor, SO_DOMAIN), socket_option(descriptor, SO_TYPE));
}

bool is_stream(int descriptor) {
  int type = socket_option(descriptor, SO_TYPE);
  return type < 0 || type == SOCK_STREAM;
}

// A number in [0, 1) that depends only on the seed, the row and the count, and not on thread timing.
double random_draw(std::uint64_t seed, std::uint64_t row, std::uint64_t count) {
  std::uint64_t mixed = seed * 0x9e3779b97f4a7c15u + row * 0xbf58476d1ce4e5b9u + count;
  mixed = (mixed ^ mixed >> 30) * 0xbf58476d1ce4e5b9u;
  mixed = (mixed ^ mixed >> 27) * 0x94d049bb133111ebu;
  mixed ^= mixed >> 31;
  return double(mixed >> 11) / double(1ull << 53);
}

bool applies(const Row& row, std::uint64_t seed, std::size_t row_index) {
  const std::uint64_t count = row.call_count;
  if (row.only_nth && count != row.only_nth) return false;
  if (row.each && count % row.each != 0) return false;
  if (row.from && count < row.from) return false;
  if (row.to && count > row.to) return false;
  return row.odds >= 1 || random_draw(seed, row_index, count) < row.odds;
}

class FaultInjector {
 public:
  std::optional<Action> next(Call call, Kind kind) {
    std::lock_guard lock(lock_);
    load_schedules();
    std::optional<Action> action = next_of(from_environment_, call, kind);
    std::optional<Action> changed = next_of(from_file_, call, kind);
    if (!action) action = changed;
    if (action) record_injected(call, *action);
    return action;
  }

  // Seconds by which the wall clock is off now.
  double clock_step() {
    std::lock_guard lock(lock_);
    load_schedules();
    double since = monotonic() - started_;
    return step_of(from_environment_, since) + step_of(from_file_, since);
  }

 private:
  static std::optional<Action> next_of(Schedule& schedule, Call call, Kind kind) {
    std::optional<Action> action;
    for (std::size_t i = 0; i < schedule.row_count; ++i) {
      Row& row = schedule.rows[i];
      if (row.call != call || (row.kind != Kind::Any && row.kind != kind)) continue;
      ++row.call_count;
      if (!action && applies(row, schedule.seed, i)) action = row.action;
    }
    return action;
  }

  static double step_of(const Schedule& schedule, double since) {
    double sum = 0;
    for (std::size_t i = 0; i < schedule.step_count; ++i) {
      if (since >= schedule.steps[i].at) sum += schedule.steps[i].seconds;
    }
    return sum;
  }

  void load_schedules() {
    if (!started_) {
      started_ = monotonic();
      if (const char* text = std::getenv("PUFFINVANE_FAULTS")) from_environment_ = read_schedule(text);
      schedule_path_ = std::getenv("PUFFINVANE_FAULTS_FILE");
      record_path_ = std::getenv("PUFFINVANE_FAULTS_PLAYED");
    }
    if (schedule_path_) reload_changed_file();
  }

  void reload_changed_file() {
    struct stat current {};
    if (fstatat(AT_FDCWD, schedule_path_, &current, 0) != 0) current = {};
    bool same = current.st_ino == loaded_file_.st_ino && current.st_size == loaded_file_.st_size &&
                current.st_mtim.tv_sec == loaded_file_.st_mtim.tv_sec &&
                current.st_mtim.tv_nsec == loaded_file_.st_mtim.tv_nsec;
    if (same) return;
    loaded_file_ = current;
    from_file_ = read_schedule(read_file());
  }

  std::string_view read_file() {
    long descriptor = syscall(SYS_openat, AT_FDCWD, schedule_path_, O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return {};
    std::size_t size = 0;
    long got = 1;
    while (got > 0 && size < text_.size()) {
      got = syscall(SYS_read, descriptor, text_.data() + size, text_.size() - size);
      size += std::size_t(std::max(0l, got));
    }
    syscall(SYS_close, descriptor);
    return {text_.data(), size};
  }

  void record_injected(Call call, const Action& action) const {
    if (!record_path_) return;
    std::array<char, 64> line;
    const char* what = action.max_bytes > 0 ? "short" : "stall";
    for (const ErrorName& error : kErrors) {
      if (action.error == error.number) what = error.name.data();
    }
    int size = std::snprintf(line.data(), line.size(), "%s %s\n", kCalls[std::size_t(call)].data(), what);
    long descriptor =
        syscall(SYS_openat, AT_FDCWD, record_path_, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (descriptor < 0) return;
    syscall(SYS_write, descriptor, line.data(), std::size_t(size));
    syscall(SYS_close, descriptor);
  }

  std::mutex lock_;
  double started_ = 0;
  Schedule from_environment_, from_file_;
  const char* schedule_path_ = nullptr;
  const char* record_path_ = nullptr;
  struct stat loaded_file_ {};
  std::array<char, kMaxScheduleBytes> text_{};
};

// Constant-initialized, because calls arrive before any constructor has run.
constinit FaultInjector injector;

void sleep_for(double seconds) {
  timespec left{time_t(seconds), long((seconds - double(time_t(seconds))) / kNanosecond)};
  while (syscall(SYS_clock_nanosleep, CLOCK_MONOTONIC, 0, &left, &left) != 0 && errno == EINTR) {
  }
}

// What happens to a call: whether it fails, with errno set, and at most how many bytes it transfers.
struct CallOutcome {
  bool fails = false;
  std::size_t max_bytes = SIZE_MAX;
};

CallOutcome inject(Call call, Kind kind) {
  const int before = errno;
  std::optional<Action> action = injector.next(call, kind);
  errno = before;
  if (!action) return {};
  if (action->stall > 0) sleep_for(action->stall);
  errno = action->error ? action->error : before;
  return {action->error != 0, action->max_bytes ? action->max_bytes : SIZE_MAX};
}

CallOutcome inject(Call call, int descriptor) {
  const int before = errno;
  Kind kind = kind_of(descriptor);
  bool stream = is_stream(descriptor);
  errno = before;
  CallOutcome outcome = inject(call, kind);
  if (!stream) outcome.max_bytes = SIZE_MAX;
  return outcome;
}

// A copy of a message header that covers at most that many bytes.
class TruncatedMessage {
 public:
  TruncatedMessage(const msghdr& whole, std::size_t most) : message_(whole) {
    if (most == SIZE_MAX || whole.msg_iovlen > kMaxMessageParts) return;
    std::size_t used = 0;
    for (; used < whole.msg_iovlen && most > 0; ++used) {
      parts_[used] = whole.msg_iov[used];
      parts_[used].iov_len = std::min(parts_[used].iov_len, most);
      most -= parts_[used].iov_len;
    }
    message_.msg_iov = parts_.data();
    message_.msg_iovlen = used;
  }
  msghdr* get() { return &message_; }

 private:
  msghdr message_;
  std::array<iovec, kMaxMessageParts> parts_;
};

void add_clock_step(timespec& time) {
  double step = injector.clock_step();
  time_t whole = time_t(step);
  long nanoseconds = long((step - double(whole)) / kNanosecond);
  time.tv_sec += whole;
  time.tv_nsec += nanoseconds;
  if (time.tv_nsec >= kNanosecondsInSecond) {
    time.tv_nsec -= kNanosecondsInSecond;
    ++time.tv_sec;
  }
  if (time.tv_nsec < 0) {
    time.tv_nsec += kNanosecondsInSecond;
    --time.tv_sec;
  }
}

timespec wall_time() {
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_REALTIME, &now);
  add_clock_step(now);
  return now;
}

bool needs_mode(int flags) { return (flags & O_CREAT) != 0 || (flags & O_TMPFILE) == O_TMPFILE; }

int open_at(int folder, const char* path, int flags, mode_t mode) {
  if (inject(Call::Open, Kind::File).fails) return -1;
  return int(syscall(SYS_openat, folder, path, flags, mode));
}

using Opener = FILE* (*)(const char*, const char*);
FILE* open_stream(const char* name, const char* path, const char* mode) {
  if (inject(Call::Open, Kind::File).fails) return nullptr;
  auto real = reinterpret_cast<Opener>(dlsym(RTLD_NEXT, name));
  return real(path, mode);
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  Kind kind = kind_of_socket(domain, type & ~(SOCK_CLOEXEC | SOCK_NONBLOCK));
  if (inject(Call::Socket, kind).fails) return -1;
  return int(syscall(SYS_socket, domain, type, protocol));
}
int connect(int descriptor, const sockaddr* address, socklen_t size) {
  if (inject(Call::Connect, descriptor).fails) return -1;
  return int(syscall(SYS_connect, descriptor, address, size));
}
int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  if (inject(Call::Accept, descriptor).fails) return -1;
  return int(syscall(SYS_accept4, descriptor, address, size, flags));
}
int accept(int descriptor, sockaddr* address, socklen_t* size) {
  return accept4(descriptor, address, size, 0);
}
int bind(int descriptor, const sockaddr* address, socklen_t size) noexcept {
  if (inject(Call::Bind, descriptor).fails) return -1;
  return int(syscall(SYS_bind, descriptor, address, size));
}
int listen(int descriptor, int backlog) noexcept {
  if (inject(Call::Listen, descriptor).fails) return -1;
  return int(syscall(SYS_listen, descriptor, backlog));
}

ssize_t sendto(int descriptor, const void* bytes, std::size_t count, int flags, const sockaddr* to,
               socklen_t size) {
  CallOutcome outcome = inject(Call::Send, descriptor);
  if (outcome.fails) return -1;
  return syscall(SYS_sendto, descriptor, bytes, std::min(count, outcome.max_bytes), flags, to, size);
}
ssize_t send(int descriptor, const void* bytes, std::size_t count, int flags) {
  return sendto(descriptor, bytes, count, flags, nullptr, 0);
}
ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  CallOutcome outcome = inject(Call::Send, descriptor);
  if (outcome.fails) return -1;
  return syscall(SYS_sendmsg, descriptor, TruncatedMessage(*message, outcome.max_bytes).get(), flags);
}
ssize_t recvfrom(int descriptor, void* bytes, std::size_t count, int flags, sockaddr* from, socklen_t* size) {
  CallOutcome outcome = inject(Call::Recv, descriptor);
  if (outcome.fails) return -1;
  return syscall(SYS_recvfrom, descriptor, bytes, std::min(count, outcome.max_bytes), flags, from, size);
}
ssize_t recv(int descriptor, void* bytes, std::size_t count, int flags) {
  return recvfrom(descriptor, bytes, count, flags, nullptr, nullptr);
}
ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  CallOutcome outcome = inject(Call::Recv, descriptor);
  if (outcome.fails) return -1;
  TruncatedMessage truncated(*message, outcome.max_bytes);
  ssize_t got = syscall(SYS_recvmsg, descriptor, truncated.get(), flags);
  message->msg_namelen = truncated.get()->msg_namelen;
  message->msg_controllen = truncated.get()->msg_controllen;
  message->msg_flags = truncated.get()->msg_flags;
  return got;
}
ssize_t __recv_chk(int descriptor, void* bytes, std::size_t count, std::size_t, int flags) {
  return recv(descriptor, bytes, count, flags);
}
ssize_t __recvfrom_chk(int descriptor, void* bytes, std::size_t count, std::size_t, int flags, sockaddr* from,
                       socklen_t* size) {
  return recvfrom(descriptor, bytes, count, flags, from, size);
}

ssize_t read(int descriptor, void* bytes, std::size_t count) {
  CallOutcome outcome = inject(Call::Read, descriptor);
  if (outcome.fails) return -1;
  return syscall(SYS_read, descriptor, bytes, std::min(count, outcome.max_bytes));
}
ssize_t __read_chk(int descriptor, void* bytes, std::size_t count, std::size_t) {
  return read(descriptor, bytes, count);
}
ssize_t write(int descriptor, const void* bytes, std::size_t count) {
  CallOutcome outcome = inject(Call::Write, descriptor);
  if (outcome.fails) return -1;
  return syscall(SYS_write, descriptor, bytes, std::min(count, outcome.max_bytes));
}
ssize_t writev(int descriptor, const iovec* parts, int count) {
  CallOutcome outcome = inject(Call::Write, descriptor);
  if (outcome.fails) return -1;
  msghdr whole{};
  whole.msg_iov = const_cast<iovec*>(parts);
  whole.msg_iovlen = std::size_t(count);
  TruncatedMessage truncated(whole, outcome.max_bytes);
  return syscall(SYS_writev, descriptor, truncated.get()->msg_iov, truncated.get()->msg_iovlen);
}

int epoll_create1(int flags) noexcept {
  if (inject(Call::EpollCreate, Kind::Other).fails) return -1;
  return int(syscall(SYS_epoll_create1, flags));
}
int epoll_create(int) noexcept { return epoll_create1(0); }
int epoll_ctl(int epoll, int what, int descriptor, epoll_event* event) noexcept {
  if (inject(Call::EpollCtl, descriptor).fails) return -1;
  return int(syscall(SYS_epoll_ctl, epoll, what, descriptor, event));
}
int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  if (inject(Call::EpollWait, Kind::Other).fails) return -1;
  return int(syscall(SYS_epoll_pwait, epoll, events, most, timeout, nullptr, sizeof(std::uint64_t)));
}

int ppoll(pollfd* descriptors, nfds_t count, const timespec* timeout, const sigset_t* mask) {
  if (inject(Call::Poll, Kind::Other).fails) return -1;
  timespec left = timeout ? *timeout : timespec{};  // the kernel writes the remaining time to it
  return int(syscall(SYS_ppoll, descriptors, count, timeout ? &left : nullptr, mask, sizeof(std::uint64_t)));
}
int poll(pollfd* descriptors, nfds_t count, int timeout) {
  timespec limit{timeout / 1000, long(timeout % 1000) * 1'000'000};
  return ppoll(descriptors, count, timeout >= 0 ? &limit : nullptr, nullptr);
}
int __poll_chk(pollfd* descriptors, nfds_t count, int timeout, std::size_t) {
  return poll(descriptors, count, timeout);
}
int __ppoll_chk(pollfd* descriptors, nfds_t count, const timespec* timeout, const sigset_t* mask,
                std::size_t) {
  return ppoll(descriptors, count, timeout, mask);
}

int signalfd(int descriptor, const sigset_t* mask, int flags) noexcept {
  if (inject(Call::Signalfd, Kind::Other).fails) return -1;
  return int(syscall(SYS_signalfd4, descriptor, mask, sizeof(std::uint64_t), flags));
}
int eventfd(unsigned first, int flags) noexcept {
  if (inject(Call::Eventfd, Kind::Other).fails) return -1;
  return int(syscall(SYS_eventfd2, first, flags));
}
int pipe2(int descriptors[2], int flags) noexcept {
  if (inject(Call::Pipe, Kind::Pipe).fails) return -1;
  return int(syscall(SYS_pipe2, descriptors, flags));
}
int pipe(int descriptors[2]) noexcept { return pipe2(descriptors, 0); }

int getsockopt(int descriptor, int level, int name, void* value, socklen_t* size) noexcept {
  if (inject(Call::Getsockopt, descriptor).fails) return -1;
  return int(syscall(SYS_getsockopt, descriptor, level, name, value, size));
}
int setsockopt(int descriptor, int level, int name, const void* value, socklen_t size) noexcept {
  if (inject(Call::Setsockopt, descriptor).fails) return -1;
  return int(syscall(SYS_setsockopt, descriptor, level, name, value, size));
}
int shutdown(int descriptor, int how) noexcept {
  if (inject(Call::Shutdown, descriptor).fails) return -1;
  return int(syscall(SYS_shutdown, descriptor, how));
}
int close(int descriptor) {
  CallOutcome outcome = inject(Call::Close, descriptor);
  const int error = errno;
  int closed = int(syscall(SYS_close, descriptor));
  if (!outcome.fails) return closed;
  errno = error;
  return -1;
}

int openat(int folder, const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  mode_t mode = needs_mode(flags) ? va_arg(more, mode_t) : 0;
  va_end(more);
  return open_at(folder, path, flags, mode);
}
int openat64(int folder, const char* path, int flags, ...) __attribute__((alias("openat")));
int open(const char* path, int flags, ...) {
  va_list more;
  va_start(more, flags);
  mode_t mode = needs_mode(flags) ? va_arg(more, mode_t) : 0;
  va_end(more);
  return open_at(AT_FDCWD, path, flags, mode);
}
int open64(const char* path, int flags, ...) __attribute__((alias("open")));
int __open_2(const char* path, int flags) { return open_at(AT_FDCWD, path, flags, 0); }
int __open64_2(const char* path, int flags) { return open_at(AT_FDCWD, path, flags, 0); }
FILE* fopen(const char* path, const char* mode) { return open_stream("fopen", path, mode); }
FILE* fopen64(const char* path, const char* mode) { return open_stream("fopen64", path, mode); }

int fcntl(int descriptor, int what, ...) {
  va_list more;
  va_start(more, what);
  void* argument = va_arg(more, void*);
  va_end(more);
  if (inject(Call::Fcntl, descriptor).fails) return -1;
  return int(syscall(SYS_fcntl, descriptor, what, argument));
}
int fcntl64(int descriptor, int what, ...) __attribute__((alias("fcntl")));

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  int result = int(syscall(SYS_clock_gettime, clock, time));
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) add_clock_step(*time);
  return result;
}
int gettimeofday(timeval* __restrict time, void* __restrict) noexcept {
  timespec now = wall_time();
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return 0;
}
time_t time(time_t* into) noexcept {
  time_t now = wall_time().tv_sec;
  if (into) *into = now;
  return now;
}
int timespec_get(timespec* into, int base) noexcept {
  if (base != TIME_UTC) return 0;
  *into = wall_time();
  return base;
}

}  // extern "C"
