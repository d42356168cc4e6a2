// The library of faults itself, played in this program started anew: what is asked for happens, nothing else.
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

// ---- what the program started anew does; its exit status says whether it found what it should

bool fails_with(long result, int error) { return result < 0 && errno == error; }

int a_socket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

bool second_of_three_sockets_fails() {
  return a_socket() >= 0 && fails_with(a_socket(), ENFILE) && a_socket() >= 0;
}

bool every_third_send_fails_on_tcp_only() {
  int pair[2];
  if (socketpair(AF_UNIX, SOCK_STREAM, 0, pair) != 0) return false;
  for (int i = 0; i < 6; ++i) {
    if (send(pair[0], "x", 1, 0) != 1) return false;
  }
  int tcp = a_socket();  // not connected: what is not played fails with EPIPE
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

double wall() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return double(now.tv_sec) + double(now.tv_nsec) * 1e-9;
}

bool wall_clock_is_one_hour_ahead_and_then_two() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  double began = wall() - (double(now.tv_sec) + double(now.tv_nsec) * 1e-9);
  timeval other{};
  gettimeofday(&other, nullptr);
  if (std::abs(double(other.tv_sec) - wall()) > 2 || std::abs(double(time(nullptr)) - wall()) > 2)
    return false;
  poll(nullptr, 0, 400);
  clock_gettime(CLOCK_MONOTONIC, &now);
  double ended = wall() - (double(now.tv_sec) + double(now.tv_nsec) * 1e-9);
  double real = std::strtod(std::getenv("REAL_TIME"), nullptr);
  return std::abs(ended - began - 3600) < 0.01 && wall() - real > 7199 && wall() - real < 7220;
}

// Until a call fails and then succeeds again; who started it changes the file.
bool schedule_file_is_reread() {
  for (int i = 0; i < 3000; ++i) {
    int made = a_socket();
    if (made < 0) return errno == EMFILE;
    close(made);
    poll(nullptr, 0, 1);
  }
  return false;
}

bool random_schedule_is_drawn_from_its_seed() {
  int failed = 0;
  for (int i = 0; i < 1000; ++i) {
    int made = a_socket();
    failed += made < 0;
    if (made >= 0) close(made);
  }
  return failed > 250 && failed < 350;
}

bool failing_close_still_closes() {
  int made = a_socket();
  return fails_with(close(made), EIO) && fails_with(close(made), EBADF);
}

struct Part {
  const char* name;
  bool (*holds)();
} const kParts[] = {
#define PART(name) \
  { #name, name }
    PART(second_of_three_sockets_fails),
    PART(every_third_send_fails_on_tcp_only),
    PART(stream_transfers_are_short_and_packets_are_complete),
    PART(wall_clock_is_one_hour_ahead_and_then_two),
    PART(schedule_file_is_reread),
    PART(random_schedule_is_drawn_from_its_seed),
    PART(failing_close_still_closes)
#undef PART
};

// ---- the starting side

pid_t start(const Faults& faults, const char* part) {
  setenv("REAL_TIME", std::to_string(wall()).c_str(), 1);
  pid_t child = fork();
  if (child != 0) return child;
  for (const auto& [name, value] : faults.environment()) setenv(name.c_str(), value.c_str(), 1);
  execl(own_path.c_str(), own_path.c_str(), "--part", part, nullptr);
  _exit(127);
}

int status_of(pid_t child) {
  int status = 0;
  assert(waitpid(child, &status, 0) == child);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 256;
}

void plays(const char* schedule, const char* part) {
  Faults faults(library, schedule);
  int status = status_of(start(faults, part));
  if (status != 0) std::printf("%s: status %d under \"%s\"\n", part, status, schedule);
  assert(status == 0);
}

void calls_fail_as_scheduled() {
  plays("socket ENFILE n=2", "second_of_three_sockets_fails");
  plays("# a remark\nsocket ENFILE from=2 to=2", "second_of_three_sockets_fails");
  plays("sendto ENOBUFS each=3 only=tcp", "every_third_send_fails_on_tcp_only");
  plays("socket ENOMEM odds=0.3; seed 9", "random_schedule_is_drawn_from_its_seed");
  plays("close EIO only=tcp n=1", "failing_close_still_closes");
}

void transfers_are_short_as_scheduled() {
  plays("send short=2; recv short=1", "stream_transfers_are_short_and_packets_are_complete");
}

void wall_clock_is_stepped_as_scheduled() {
  plays("clock +3600; clock 3600 at=0.2", "wall_clock_is_one_hour_ahead_and_then_two");
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

int play_part(std::string_view name) {
  for (const Part& part : kParts) {
    if (name == part.name) return part.holds() ? 0 : 1;
  }
  return 2;
}

}  // namespace

int main(int count, char** words) {
  if (count == 3 && std::string_view(words[1]) == "--part") return play_part(words[2]);
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
