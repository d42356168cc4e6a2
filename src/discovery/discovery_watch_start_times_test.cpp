// The start times that the watch reports if this machine's wall clock is ahead of discovery's.
#include <gtest/gtest.h>

#include <chrono>
#include <ctime>
#include <string>

#include "src/discovery/discovery_watch.h"
#include "testing/discovery_stand_ins.h"

namespace puffinvane {
namespace {

using namespace test;

// Unix time by a clock that is `wall_clock_ahead_s` behind this machine's wall clock.
double unix_time(double wall_clock_ahead_s) {
  auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(wall_time).count() - wall_clock_ahead_s;
}

std::string snapshot_line_with_start(int index, double unix_started_s) {
  const std::string no_start = R"("since_ms":0)";
  std::string line = snapshot_line(index);
  std::string stated_ms = std::to_string(std::int64_t(unix_started_s * 1000));
  return line.replace(line.find(no_start), no_start.size(), R"("since_ms":)" + stated_ms);
}

std::string response_head_with_date(double unix_time_s) {
  auto seconds = std::time_t(unix_time_s);
  char date[64];
  std::strftime(date, sizeof date, "%a, %d %b %Y %H:%M:%S GMT", std::gmtime(&seconds));
  std::string head = kResponseHead;
  return head.insert(head.find("\r\n") + 2, std::string("Date: ") + date + "\r\n");
}

// The blank lines of an idle watch confirm that no endpoint has started. By the wrong wall clock alone, an
// endpoint that starts after the last of them would seem to have started before it.
TEST(DiscoveryWatchStartTimes, PutsAStartAfterTheLastBlankLineOfAnIdleWatch) {
  constexpr double kWallClockAheadSeconds = 3;
  Listener discovery(kDiscoveryHost);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 6, DiscoveryMode::OnRequest);
  double last_blank_line_at = 0;

  events.run_during([&] {
    TestConnection watch = answer_call(discovery, "0", http_chunk(snapshot_line(1)));
    for (int i = 0; i < 5; ++i) {
      EXPECT_FALSE(watch.ends_within(1));
      last_blank_line_at = now();
      watch.send_text(http_chunk("\n"));
    }
    EXPECT_FALSE(watch.ends_within(0.2));
    watch.send_text(http_chunk(snapshot_line_with_start(2, unix_time(kWallClockAheadSeconds))));
    EXPECT_FALSE(watch.ends_within(0.3));
  });

  ASSERT_EQ(owner.received_at_s().size(), 2u);
  EXPECT_GE(owner.first_started_at_s(), last_blank_line_at);
  EXPECT_LE(owner.first_started_at_s(), owner.received_at_s().back());
}

// The wall clock is an hour ahead from the beginning, and the first list states a start of two seconds ago.
// The date of the response is by the same clock as the stated start.
TEST(DiscoveryWatchStartTimes, UsesTheDateOfTheResponseInsteadOfAWrongWallClock) {
  constexpr double kWallClockAheadSeconds = 3600;
  constexpr double kAgeSeconds = 2;
  Listener discovery(kDiscoveryHost);
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address, 7, DiscoveryMode::OnRequest);

  events.run_during([&] {
    TestConnection watch = take_call(discovery);
    double stated_now = unix_time(kWallClockAheadSeconds);
    watch.send_text(response_head_with_date(stated_now) +
                    http_chunk(snapshot_line_with_start(1, unix_time(kWallClockAheadSeconds) - kAgeSeconds)));
    EXPECT_FALSE(watch.ends_within(0.3));
  });

  ASSERT_EQ(owner.received_at_s().size(), 1u);
  double age_s = owner.received_at_s().front() - owner.first_started_at_s();
  EXPECT_GT(age_s, kAgeSeconds - 1.1);
  EXPECT_LT(age_s, kAgeSeconds + 0.5);
}

}  // namespace
}  // namespace puffinvane
