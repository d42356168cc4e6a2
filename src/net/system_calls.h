// What the errors of system calls mean to the program; docs/system-calls.md lists them call by call.
#pragma once

#include <glib.h>

#include <cerrno>

namespace puffinvane {

// The system has no memory for it just now: the same call may succeed a little later.
inline bool is_short_of_memory(int error) { return error == ENOBUFS || error == ENOMEM; }

inline bool is_short_of_descriptors(int error) { return error == EMFILE || error == ENFILE; }

// Not even begun for want of something on this machine (memory, descriptors, ports, a route): nobody else is
// to blame for it.
inline bool is_local_shortage(int error) {
  return is_short_of_memory(error) || is_short_of_descriptors(error) || error == EADDRNOTAVAIL ||
         error == ENETUNREACH || error == EAGAIN;
}

// Made again at once where a signal interrupted it; not for ever, or one that always is would hold the loop.
template <typename Call>
auto retry_on_eintr(Call call) {
  constexpr int kMostTries = 16;
  auto result = call();
  for (int i = 1; i < kMostTries && result < 0 && errno == EINTR; ++i) result = call();
  return result;
}

// At the program's start, when nothing is served yet: made again for some seconds while the system has not
// what it takes. Below 0, with errno, where that was not long enough or no waiting helps.
template <typename Call>
auto retry_on_shortage(Call call) {
  constexpr gulong kPause = 10'000;        // microseconds
  constexpr gint64 kPatience = 5'000'000;  // microseconds: a process has to be ready within ten seconds
  const gint64 until = g_get_monotonic_time() + kPatience;
  auto result = retry_on_eintr(call);
  while (result < 0 && (is_local_shortage(errno) || errno == EINTR) && g_get_monotonic_time() < until) {
    g_usleep(kPause);
    result = retry_on_eintr(call);
  }
  return result;
}

}  // namespace puffinvane
