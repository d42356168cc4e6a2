// Writes log lines to a descriptor that may be a pipe, a terminal or a socket that nobody reads, without ever
// blocking the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <streambuf>
#include <string>

namespace puffinvane {

// The buffer behind a log's stream. A line ends with a flush. Lines that the descriptor does not take wait in
// a bounded queue; those that do not fit are dropped whole and counted, so what is written is never torn.
// Used on the event loop's thread. The descriptor stays open and belongs to the caller; its flags stay as
// they are, as other processes may share them.
class LogOutput final : public std::streambuf {
 public:
  static constexpr std::size_t kMaxQueuedBytes = 64 * 1024;

  explicit LogOutput(int descriptor);
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;
  ~LogOutput() override;

  // Writes as much of the queue as the descriptor takes now.
  void write_queued();
  // The same, waiting at most that long for the reader to make room.
  void write_queued_within(double timeout_s);
  bool has_queued_lines() const { return !lines_.empty(); }
  // Lines that were dropped because the queue was full, or because the descriptor failed.
  std::uint64_t dropped_lines() const { return dropped_lines_; }
  // What to wait for while lines are queued: it becomes writable.
  int descriptor() const { return descriptor_; }
  // Called when a line is queued though none was before; an empty function: nobody is.
  void on_queued(std::function<void()> observer) { observer_ = std::move(observer); }

 private:
  enum class Written { Whole, NotNow, Failed };

  int_type overflow(int_type byte) override;
  std::streamsize xsputn(const char* bytes, std::streamsize count) override;
  int sync() override;
  void enqueue_line();
  Written write_front();
  std::ptrdiff_t write_some(const char* bytes, std::size_t count) const;
  void drop_front();

  const int given_descriptor_;
  int descriptor_;  // the given one, or the same pipe opened again without blocking
  bool is_socket_ = false;
  std::string line_;  // not flushed yet
  std::deque<std::string> lines_;
  std::size_t front_written_bytes_ = 0;  // of the first queued line
  std::size_t queued_bytes_ = 0;
  std::uint64_t dropped_lines_ = 0;
  std::function<void()> observer_;
};

}  // namespace puffinvane
