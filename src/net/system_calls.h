// Classifies the errors of system calls and retries calls that may succeed later. docs/system-calls.md lists
// the errors of each call.
#pragma once

#include <glib.h>

#include <cerrno>

namespace puffinvane {

// The system is out of memory for now: the same call may succeed a little later.
inline bool is_short_of_memory(int error) { return error == ENOBUFS || error == ENOMEM; }

inline bool is_short_of_descriptors(int error) { return error == EMFILE || error == ENFILE; }

// The call failed because this machine lacks something (memory, descriptors, ports, a route), so the error
// says nothing about the peer.
inline bool is_local_shortage(int error) {
  return is_short_of_memory(error) || is_short_of_descriptors(error) || error == EADDRNOTAVAIL ||
         error == ENETUNREACH || error == EAGAIN;
}

// Repeats a call that a signal interrupted. The number of tries is bounded, as a call that is interrupted
// every time would block the event loop.
template <typename Call>
auto retry_on_eintr(Call call) {
  constexpr int kMaxTries = 16;
  auto result = call();
  for (int i = 1; i < kMaxTries && result < 0 && errno == EINTR; ++i) result = call();
  return result;
}

// Repeats a call for up to five seconds while the system lacks what it needs. It sleeps between tries, so it
// is only for the start of the program, before anything is served. The result is below 0, with errno set, if
// the shortage lasted or the error is another one.
template <typename Call>
auto retry_on_shortage(Call call) {
  constexpr gulong kPauseMicroseconds = 10'000;
  constexpr gint64 kTimeoutMicroseconds = 5'000'000;  // a process has to be ready within ten seconds
  const gint64 deadline = g_get_monotonic_time() + kTimeoutMicroseconds;
  auto result = retry_on_eintr(call);
  while (result < 0 && (is_local_shortage(errno) || errno == EINTR) && g_get_monotonic_time() < deadline) {
    g_usleep(kPauseMicroseconds);
    result = retry_on_eintr(call);
  }
  return result;
}

}  // namespace puffinvane
