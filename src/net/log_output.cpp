#include "src/net/log_output.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

#include "src/net/system_calls.h"

namespace puffinvane {

namespace {

using Clock = std::chrono::steady_clock;

bool is_of_type(int descriptor, mode_t type) {
  struct stat status {};
  return fstat(descriptor, &status) == 0 && (status.st_mode & S_IFMT) == type;
}

// Opens the same pipe again, with an open file description of this process's own: O_NONBLOCK on the given
// descriptor would affect every process that shares it. Returns the given descriptor if it is not a pipe or
// can't be opened again.
int reopen_nonblocking(int descriptor) {
  if (!is_of_type(descriptor, S_IFIFO)) return descriptor;
  const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
  const int opened = retry_on_eintr([&] { return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC); });
  return opened >= 0 ? opened : descriptor;
}

bool is_writable_within(int descriptor, int timeout_ms) {
  pollfd polled{descriptor, POLLOUT, 0};
  return ::poll(&polled, 1, timeout_ms) > 0;
}

}  // namespace

LogOutput::LogOutput(int descriptor)
    : given_descriptor_(descriptor),
      descriptor_(reopen_nonblocking(descriptor)),
      is_socket_(is_of_type(descriptor, S_IFSOCK)) {}

LogOutput::~LogOutput() {
  if (descriptor_ != given_descriptor_) ::close(descriptor_);
}

void LogOutput::write_queued() {
  while (!lines_.empty()) {
    const WriteResult result = write_front();
    if (result == WriteResult::WouldBlock) return;
    if (result == WriteResult::Failed) ++dropped_lines_;
    drop_front();
  }
}

void LogOutput::write_queued_within(double timeout_s) {
  const Clock::time_point deadline =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeout_s));
  write_queued();
  while (has_queued_lines()) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    if (remaining.count() <= 0 || !is_writable_within(descriptor_, int(remaining.count()))) return;
    write_queued();
  }
}

LogOutput::int_type LogOutput::overflow(int_type byte) {
  if (!traits_type::eq_int_type(byte, traits_type::eof())) line_ += traits_type::to_char_type(byte);
  return traits_type::not_eof(byte);
}

std::streamsize LogOutput::xsputn(const char* bytes, std::streamsize count) {
  line_.append(bytes, std::size_t(count));
  return count;
}

int LogOutput::sync() {
  if (line_.empty()) return 0;
  const bool was_empty = lines_.empty();
  enqueue_line();
  write_queued();
  if (was_empty && has_queued_lines() && observer_) observer_();
  return 0;
}

// Keeps the oldest lines when the queue is full: they show how a problem began.
void LogOutput::enqueue_line() {
  if (has_queued_lines() && queued_bytes_ + line_.size() > kMaxQueuedBytes) {
    ++dropped_lines_;
  } else {
    queued_bytes_ += line_.size();
    lines_.push_back(std::move(line_));
  }
  line_.clear();
}

LogOutput::WriteResult LogOutput::write_front() {
  const std::string& line = lines_.front();
  while (front_written_bytes_ < line.size()) {
    const std::ptrdiff_t count =
        write_some(line.data() + front_written_bytes_, line.size() - front_written_bytes_);
    if (count > 0) {
      front_written_bytes_ += std::size_t(count);
    } else {
      const bool is_full = count < 0 && (errno == EAGAIN || errno == EINTR || is_short_of_memory(errno));
      return is_full ? WriteResult::WouldBlock : WriteResult::Failed;
    }
  }
  return WriteResult::Complete;
}

// A blocking descriptor is polled first and given at most PIPE_BUF bytes, which a writable pipe accepts
// without blocking.
std::ptrdiff_t LogOutput::write_some(const char* bytes, std::size_t count) const {
  if (is_socket_) {
    return retry_on_eintr([&] { return ::send(descriptor_, bytes, count, MSG_DONTWAIT | MSG_NOSIGNAL); });
  }
  if (descriptor_ == given_descriptor_ && !is_writable_within(descriptor_, 0)) {
    errno = EAGAIN;
    return -1;
  }
  return retry_on_eintr([&] { return ::write(descriptor_, bytes, std::min<std::size_t>(count, PIPE_BUF)); });
}

void LogOutput::drop_front() {
  queued_bytes_ -= lines_.front().size();
  lines_.pop_front();
  front_written_bytes_ = 0;
}

}  // namespace puffinvane
