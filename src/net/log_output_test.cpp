// Tests of a log whose reader has stopped reading: which lines are queued, dropped, and written later.
#include "src/net/log_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <ostream>
#include <string>

#include "src/net/process_log.h"
#include "testing/log_pipe.h"

namespace puffinvane {
namespace {

using test::LogPipe;

TEST(LogOutput, WritesLinesAtOnceWhileThePipeHasRoom) {
  LogPipe pipe;
  LogOutput output(pipe.write_end());
  std::ostream stream(&output);

  stream << "first " << 1 << std::endl << "second" << std::endl;

  EXPECT_EQ(pipe.read_all(), "first 1\nsecond\n");
  EXPECT_FALSE(output.has_queued_lines());
}

TEST(LogOutput, QueuesLinesWhileThePipeIsFullAndWritesThemOnceItIsRead) {
  LogPipe pipe;
  LogOutput output(pipe.write_end());
  std::ostream stream(&output);
  pipe.fill();

  stream << "first" << std::endl << "second" << std::endl;
  EXPECT_TRUE(output.has_queued_lines());
  pipe.read_all();
  output.write_queued();

  EXPECT_EQ(pipe.read_all(), "first\nsecond\n");
  EXPECT_EQ(output.dropped_lines(), 0U);
}

TEST(LogOutput, LeavesTheSharedDescriptorBlocking) {
  LogPipe pipe;

  LogOutput output(pipe.write_end());

  EXPECT_EQ(fcntl(pipe.write_end(), F_GETFL) & O_NONBLOCK, 0);
}

TEST(LogOutput, DropsWholeLinesBeyondItsLimitAndKeepsTheOldest) {
  constexpr std::size_t kLines = 200;
  const std::string line(1000, 'x');
  LogPipe pipe;
  LogOutput output(pipe.write_end());
  std::ostream stream(&output);
  pipe.fill();

  for (std::size_t i = 0; i < kLines; ++i) stream << i << ' ' << line << std::endl;
  std::string written;
  pipe.read_all();
  while (output.has_queued_lines()) {
    output.write_queued();
    written += pipe.read_all();
  }

  EXPECT_GT(output.dropped_lines(), 0U);
  std::string expected;
  for (std::size_t i = 0; i < kLines - output.dropped_lines(); ++i) {
    expected += std::to_string(i) + ' ' + line + '\n';
  }
  EXPECT_EQ(written, expected);
  EXPECT_LE(written.size(), LogOutput::kMaxQueuedBytes);
}

TEST(LogOutput, CompletesALineThatThePipeAcceptedInPart) {
  const std::string line(100'000, 'x');  // more than the pipe holds
  LogPipe pipe;
  LogOutput output(pipe.write_end());
  std::ostream stream(&output);

  stream << line << std::endl;
  std::string written = pipe.read_all();
  while (output.has_queued_lines()) {
    output.write_queued();
    written += pipe.read_all();
  }

  stream << "next" << std::endl;
  written += pipe.read_all();

  EXPECT_EQ(written, line + "\nnext\n");
}

TEST(LogOutput, DropsLinesWhenThePipeHasNoReader) {
  int ends[2];
  ASSERT_EQ(pipe2(ends, O_CLOEXEC), 0);
  signal(SIGPIPE, SIG_IGN);
  close(ends[0]);
  LogOutput output(ends[1]);
  std::ostream stream(&output);

  stream << "nobody reads this" << std::endl;

  EXPECT_FALSE(output.has_queued_lines());
  EXPECT_EQ(output.dropped_lines(), 1U);
  close(ends[1]);
}

TEST(LogOutput, DoesNotBlockOnASocketThatIsNotRead) {
  constexpr int kLines = 2000;
  const std::string line(1000, 'x');
  int ends[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends), 0);
  LogOutput output(ends[0]);
  std::ostream stream(&output);

  for (int i = 0; i < kLines; ++i) stream << line << std::endl;

  EXPECT_TRUE(output.has_queued_lines());
  EXPECT_GT(output.dropped_lines(), 0U);
  close(ends[0]);
  close(ends[1]);
}

TEST(LogOutput, StopsWaitingForAReaderAtTheTimeout) {
  constexpr double kTimeoutS = 0.05;
  LogPipe pipe;
  LogOutput output(pipe.write_end());
  std::ostream stream(&output);
  pipe.fill();
  stream << "last" << std::endl;
  const double started_s = test::now();

  output.write_queued_within(kTimeoutS);

  EXPECT_GE(test::now() - started_s, kTimeoutS);
  EXPECT_TRUE(output.has_queued_lines());
}

TEST(LogDrain, WritesQueuedLinesAndTheDroppedLineCountOnceThePipeIsRead) {
  constexpr int kLines = 200;
  const std::string line(1000, 'x');
  LogPipe pipe;
  ProcessLog process_log(pipe.write_end(), Level::Info);
  Loop loop(process_log.log(), 64);
  LogDrain drain(loop, process_log);
  pipe.fill();
  for (int i = 0; i < kLines; ++i) process_log.log().info() << line;
  const std::uint64_t dropped_lines = process_log.log().dropped_lines();

  std::string written;
  const std::string expected = "warning: log.lines_dropped count=" + std::to_string(dropped_lines) + "\n";
  const double deadline_s = loop.now() + 5;
  std::function<void()> read = [&] {
    written += pipe.read_all();
    if (written.ends_with(expected) || loop.now() > deadline_s) loop.quit();
    else loop.at(loop.now() + 0.005, read);
  };
  read();
  loop.run();

  EXPECT_GT(dropped_lines, 0U);
  EXPECT_TRUE(written.ends_with(expected))
      << written.substr(written.size() - std::min<std::size_t>(200, written.size()));
}

}  // namespace
}  // namespace puffinvane
