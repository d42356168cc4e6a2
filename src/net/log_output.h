// Writes log lines to a pipe, terminal or socket without blocking the event loop, even if nobody reads it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <streambuf>
#include <string>

namespace puffinvane {

// The stream buffer of a log. A flush ends a line. Lines that the descriptor does not accept wait in a
// bounded queue; a line that does not fit is dropped whole and counted, so no partial line is ever written.
// Used on the event loop's thread. The descriptor stays open and belongs to the caller; its flags are not
// changed, as other processes may share them.
class LogOutput final : public std::streambuf {
 public:
  static constexpr std::size_t kMaxQueuedBytes = 64 * 1024;

  explicit LogOutput(int descriptor);
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;
  ~LogOutput() override;

  // Writes as much of the queue as the descriptor accepts now.
  void write_queued();
  // Like write_queued(), but waits up to timeout_s for the descriptor to accept all lines.
  void write_queued_within(double timeout_s);
  bool has_queued_lines() const { return !lines_.empty(); }
  // Lines that were dropped because the queue was full, or because the descriptor failed.
  std::uint64_t dropped_lines() const { return dropped_lines_; }
  // While lines are queued, the caller waits for this descriptor to become writable.
  int descriptor() const { return descriptor_; }
  // Sets the function to call when the queue becomes non-empty; an empty function removes it.
  void on_queued(std::function<void()> observer) { observer_ = std::move(observer); }

 private:
  enum class WriteResult { Complete, WouldBlock, Failed };

  int_type overflow(int_type byte) override;
  std::streamsize xsputn(const char* bytes, std::streamsize count) override;
  int sync() override;
  void enqueue_line();
  WriteResult write_front();
  std::ptrdiff_t write_some(const char* bytes, std::size_t count) const;
  void drop_front();

  const int given_descriptor_;
  int descriptor_;  // the given one, or a non-blocking duplicate of the same pipe
  bool is_socket_ = false;
  std::string line_;  // the line being formatted
  std::deque<std::string> lines_;
  std::size_t front_written_bytes_ = 0;  // bytes of the first queued line that were written
  std::size_t queued_bytes_ = 0;
  std::uint64_t dropped_lines_ = 0;
  std::function<void()> observer_;
};

}  // namespace puffinvane
