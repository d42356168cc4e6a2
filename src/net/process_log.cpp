#include "src/net/process_log.h"

#include <sys/epoll.h>

namespace puffinvane {

LogDrain::LogDrain(Loop& loop, ProcessLog& process_log) : loop_(loop), process_log_(process_log) {
  process_log_.output().on_queued([this] { watch_descriptor(); });
  if (process_log_.output().has_queued_lines()) watch_descriptor();
}

LogDrain::~LogDrain() {
  process_log_.output().on_queued({});
  loop_.unwatch(process_log_.output().descriptor());
}

void LogDrain::watch_descriptor() { loop_.watch(process_log_.output().descriptor(), EPOLLOUT, *this); }

void LogDrain::on_ready(std::uint32_t) {
  LogOutput& output = process_log_.output();
  output.write_queued();
  if (output.has_queued_lines()) return;
  loop_.unwatch(output.descriptor());
  report_dropped_lines();
}

void LogDrain::report_dropped_lines() {
  const std::uint64_t dropped_lines = process_log_.output().dropped_lines();
  if (dropped_lines == reported_dropped_lines_) return;
  const std::uint64_t newly_dropped_lines = dropped_lines - reported_dropped_lines_;
  reported_dropped_lines_ = dropped_lines;
  process_log_.log().event(Level::Warning, "log.lines_dropped").with("count", newly_dropped_lines);
}

}  // namespace puffinvane
