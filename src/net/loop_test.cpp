// Tests of the loop.stalled log event: its duration, and whether its CPU time tells a process that did not
// run from one that was busy.
#include "src/net/loop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <sstream>
#include <string>
#include <thread>

namespace puffinvane {
namespace {

constexpr double kStallSeconds = 1.2;

// Runs a loop in which one alarm calls `blocking_call`, and returns what the loop logged.
std::string log_of_loop_blocked_by(const std::function<void()>& blocking_call) {
  std::ostringstream text;
  Log log(text, Level::Warning);
  Loop loop(log, 64);
  loop.at(loop.now() + 0.05, [&] {
    blocking_call();
    loop.at(loop.now() + 0.1, [&] { loop.quit(); });
  });
  loop.run();
  return text.str();
}

double field(const std::string& line, const std::string& name) {
  const std::size_t position = line.find(" " + name + "=");
  return position == std::string::npos ? -1 : std::stod(line.substr(position + name.size() + 2));
}

double thread_cpu_seconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return double(used.tv_sec) + double(used.tv_nsec) * 1e-9;
}

TEST(LoopStall, ReportsLittleCpuTimeOfAProcessThatDidNotRun) {
  const std::string logged = log_of_loop_blocked_by(
      [] { std::this_thread::sleep_for(std::chrono::duration<double>(kStallSeconds)); });

  EXPECT_TRUE(logged.starts_with("warning: loop.stalled")) << logged;
  EXPECT_GE(field(logged, "duration_s"), 1);
  EXPECT_LT(field(logged, "cpu_s"), 0.5);
}

TEST(LoopStall, ReportsCpuTimeOfAProcessThatWasBusy) {
  const std::string logged = log_of_loop_blocked_by([] {
    const double until_s = thread_cpu_seconds() + kStallSeconds;
    while (thread_cpu_seconds() < until_s) {
    }
  });

  EXPECT_GE(field(logged, "cpu_s"), 1) << logged;
}

TEST(LoopStall, LogsNothingForShortDelays) {
  const std::string logged =
      log_of_loop_blocked_by([] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });

  EXPECT_EQ(logged, "");
}

}  // namespace
}  // namespace puffinvane
