// Tests of the fault injection library: this program runs itself with the library preloaded and checks that
// the scheduled faults happen and no others.
#undef NDEBUG
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>

#include <cassert>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <string_view>

#include "testing/faults/faults.h"

using namespace puffinvane::test;

namespace {

std::string library, own_path;

// ---- checks in the child process; its exit status says whether they held

bool fails_with(long result, int error) { return result < 0 && errno == error; }

int open_tcp_socket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

bool second_of_three_sockets_fails() {
  return open_tcp_socket() >= 0 && fails_with(open_tcp_socket(), ENFILE) && open_tcp_socket() >= 0;
}

bool every_third_send_fails_on_tcp_only() {
  int pair[2];
  if (socketpair(AF_UNIX, SOCK_STREAM, 0, pair) != 0) return false;
  for (int i = 0; i < 6; ++i) {
    if (send(pair[0], "x", 1, 0) != 1) return false;
  }
  int tcp = open_tcp_socket();  // not connected: without a fault, send fails with EPIPE
  for (int i = 1; i <= 6; ++i) {
    if (!fails_with(send(tcp, "x", 1, MSG_NOSIGNAL), i % 3 == 0 ? ENOBUFS : EPIPE)) return false;
  }
  return true;
}

bool stream_transfers_are_short_and_packets_are_complete() {
  char bytes[8];
  int stream[2], packets[2];
  if (socketpair(AF_UNIX, SOCK_STREAM, 0, stream) != 0) return false;
  if (socketpair(AF_UNIX, SOCK_SEQPACKET, 0, packets) != 0) return false;
  return send(stream[0], "abc", 3, 0) == 2 && recv(stream[1], bytes, 8, 0) == 1 &&
         send(packets[0], "abc", 3, 0) == 3 && recv(packets[1], bytes, 8, 0) == 3;
}

double wall_clock_s() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return double(now.tv_sec) + double(now.tv_nsec) * 1e-9;
}

bool wall_clock_is_one_hour_ahead_and_then_two() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  double began = wall_clock_s() - (double(now.tv_sec) + double(now.tv_nsec) * 1e-9);
  timeval time_of_day{};
  gettimeofday(&time_of_day, nullptr);
  if (std::abs(double(time_of_day.tv_sec) - wall_clock_s()) > 2 ||
      std::abs(double(time(nullptr)) - wall_clock_s()) > 2)
    return false;
  poll(nullptr, 0, 400);
  clock_gettime(CLOCK_MONOTONIC, &now);
  double ended = wall_clock_s() - (double(now.tv_sec) + double(now.tv_nsec) * 1e-9);
  double real = std::strtod(std::getenv("REAL_TIME"), nullptr);
  return std::abs(ended - began - 3600) < 0.01 && wall_clock_s() - real > 7199 &&
         wall_clock_s() - real < 7220;
}

// Opens sockets until one fails; the parent process changes the schedule file meanwhile.
bool schedule_file_is_reread() {
  for (int i = 0; i < 3000; ++i) {
    int descriptor = open_tcp_socket();
    if (descriptor < 0) return errno == EMFILE;
    close(descriptor);
    poll(nullptr, 0, 1);
  }
  return false;
}

bool random_schedule_is_drawn_from_its_seed() {
  int failed = 0;
  for (int i = 0; i < 1000; ++i) {
    int descriptor = open_tcp_socket();
    failed += descriptor < 0;
    if (descriptor >= 0) close(descriptor);
  }
  return failed > 250 && failed < 350;
}

bool failing_close_still_closes() {
  int descriptor = open_tcp_socket();
  return fails_with(close(descriptor), EIO) && fails_with(close(descriptor), EBADF);
}

struct Check {
  const char* name;
  bool (*holds)();
} const kChecks[] = {
#define CHECK(name) \
  { #name, name }
    CHECK(second_of_three_sockets_fails),
    CHECK(every_third_send_fails_on_tcp_only),
    CHECK(stream_transfers_are_short_and_packets_are_complete),
    CHECK(wall_clock_is_one_hour_ahead_and_then_two),
    CHECK(schedule_file_is_reread),
    CHECK(random_schedule_is_drawn_from_its_seed),
    CHECK(failing_close_still_closes)
#undef CHECK
};

// ---- tests in the parent process

pid_t start(const Faults& faults, const char* check) {
  setenv("REAL_TIME", std::to_string(wall_clock_s()).c_str(), 1);
  pid_t child = fork();
  if (child != 0) return child;
  for (const auto& [name, value] : faults.environment()) setenv(name.c_str(), value.c_str(), 1);
  execl(own_path.c_str(), own_path.c_str(), "--part", check, nullptr);
  _exit(127);
}

int status_of(pid_t child) {
  int status = 0;
  assert(waitpid(child, &status, 0) == child);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 256;
}

void expect_check_passes(const char* schedule, const char* check) {
  Faults faults(library, schedule);
  int status = status_of(start(faults, check));
  if (status != 0) std::printf("%s: status %d under \"%s\"\n", check, status, schedule);
  assert(status == 0);
}

void calls_fail_as_scheduled() {
  expect_check_passes("socket ENFILE n=2", "second_of_three_sockets_fails");
  expect_check_passes("# a remark\nsocket ENFILE from=2 to=2", "second_of_three_sockets_fails");
  expect_check_passes("sendto ENOBUFS each=3 only=tcp", "every_third_send_fails_on_tcp_only");
  expect_check_passes("socket ENOMEM odds=0.3; seed 9", "random_schedule_is_drawn_from_its_seed");
  expect_check_passes("close EIO only=tcp n=1", "failing_close_still_closes");
}

void transfers_are_short_as_scheduled() {
  expect_check_passes("send short=2; recv short=1", "stream_transfers_are_short_and_packets_are_complete");
}

void wall_clock_is_stepped_as_scheduled() {
  expect_check_passes("clock +3600; clock 3600 at=0.2", "wall_clock_is_one_hour_ahead_and_then_two");
}

void schedule_can_be_changed_while_the_program_runs() {
  Faults faults(library);
  pid_t child = start(faults, "schedule_file_is_reread");
  assert(faults.injected_count("socket EMFILE") == 0);
  faults.change("socket EMFILE");
  assert(status_of(child) == 0);
  assert(faults.injected_count("socket EMFILE") == 1);
}

void invalid_schedule_is_rejected() {
  constexpr int kBadSchedule = 97;
  for (const char* schedule :
       {"sokcet ENFILE", "socket ENOFILE", "socket ENFILE n=x", "socket", "clock soon"}) {
    Faults faults(library, schedule);
    assert(status_of(start(faults, "second_of_three_sockets_fails")) == kBadSchedule);
  }
}

int run_check(std::string_view name) {
  for (const Check& check : kChecks) {
    if (name == check.name) return check.holds() ? 0 : 1;
  }
  return 2;
}

}  // namespace

int main(int count, char** words) {
  if (count == 3 && std::string_view(words[1]) == "--part") return run_check(words[2]);
  assert(count == 2);
  own_path = "/proc/self/exe";
  library = words[1];
  calls_fail_as_scheduled();
  transfers_are_short_as_scheduled();
  wall_clock_is_stepped_as_scheduled();
  schedule_can_be_changed_while_the_program_runs();
  invalid_schedule_is_rejected();
  std::printf("all faults are played as scheduled\n");
}
