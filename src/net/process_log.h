// The log of a process that serves: it goes to a descriptor and never holds up the event loop.
#pragma once

#include <ostream>

#include "src/net/log.h"
#include "src/net/log_output.h"
#include "src/net/loop.h"

namespace puffinvane {

// The log with the output that it writes to. Outlives the loop that is given its log.
class ProcessLog {
 public:
  ProcessLog(int descriptor, Level most_verbose, LogFormat format = LogFormat::Plain)
      : output_(descriptor), stream_(&output_), log_(stream_, most_verbose, format, &output_) {}

  Log& log() { return log_; }
  LogOutput& output() { return output_; }

 private:
  LogOutput output_;
  std::ostream stream_;
  Log log_;
};

// Writes a log's queued lines as its reader makes room for them, and then logs how many were dropped
// meanwhile (log.lines_dropped). Owned beside the loop; destroyed before it.
class LogDrain final : SocketEventHandler {
 public:
  LogDrain(Loop& loop, ProcessLog& process_log);
  LogDrain(const LogDrain&) = delete;
  LogDrain& operator=(const LogDrain&) = delete;
  ~LogDrain() override;

 private:
  void on_ready(std::uint32_t events) override;
  void await_reader();
  void report_dropped_lines();

  Loop& loop_;
  ProcessLog& process_log_;
  std::uint64_t reported_dropped_lines_ = 0;
};

}  // namespace puffinvane
