// What the event loop reports when it was held up.
#include "src/net/loop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <sstream>
#include <string>
#include <thread>

namespace puffinvane {
namespace {

constexpr double kStallSeconds = 1.2;

// The log of a loop in which one turn takes that long.
std::string log_of_loop_held_up_by(const std::function<void()>& turn) {
  std::ostringstream text;
  Log log(text, Level::Warning);
  Loop loop(log, 64);
  loop.at(loop.now() + 0.05, [&] {
    turn();
    loop.at(loop.now() + 0.1, [&] { loop.quit(); });
  });
  loop.run();
  return text.str();
}

double field(const std::string& line, const std::string& name) {
  const std::size_t found = line.find(" " + name + "=");
  return found == std::string::npos ? -1 : std::stod(line.substr(found + name.size() + 2));
}

double thread_cpu_seconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return double(used.tv_sec) + double(used.tv_nsec) * 1e-9;
}

TEST(LoopStall, TellsAProcessThatDidNotRun) {
  const std::string logged = log_of_loop_held_up_by(
      [] { std::this_thread::sleep_for(std::chrono::duration<double>(kStallSeconds)); });

  EXPECT_TRUE(logged.starts_with("warning: loop.stalled")) << logged;
  EXPECT_GE(field(logged, "duration_s"), 1);
  EXPECT_LT(field(logged, "cpu_s"), 0.5);
}

TEST(LoopStall, TellsAProcessThatWasBusy) {
  const std::string logged = log_of_loop_held_up_by([] {
    const double until_s = thread_cpu_seconds() + kStallSeconds;
    while (thread_cpu_seconds() < until_s) {
    }
  });

  EXPECT_GE(field(logged, "cpu_s"), 1) << logged;
}

TEST(LoopStall, SaysNothingOfShortTurns) {
  const std::string logged =
      log_of_loop_held_up_by([] { std::this_thread::sleep_for(std::chrono::milliseconds(300)); });

  EXPECT_EQ(logged, "");
}

}  // namespace
}  // namespace puffinvane
