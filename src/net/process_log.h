// The log of a serving process. It writes to a descriptor without ever blocking the event loop.
#pragma once

#include <ostream>

#include "src/net/log.h"
#include "src/net/log_output.h"
#include "src/net/loop.h"

namespace puffinvane {

// A log together with its output. Must outlive the loop that uses the log.
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

// Writes a log's queued lines when its descriptor becomes writable, then logs how many lines were dropped in
// the meantime (log.lines_dropped). Must be destroyed before the loop.
class LogDrain final : SocketEventHandler {
 public:
  LogDrain(Loop& loop, ProcessLog& process_log);
  LogDrain(const LogDrain&) = delete;
  LogDrain& operator=(const LogDrain&) = delete;
  ~LogDrain() override;

 private:
  void on_ready(std::uint32_t events) override;
  void watch_descriptor();
  void report_dropped_lines();

  Loop& loop_;
  ProcessLog& process_log_;
  std::uint64_t reported_dropped_lines_ = 0;
};

}  // namespace puffinvane
