// Start times if the wall clock is wrong or is stepped. All times are monotonic.
#include <gtest/gtest.h>

#include "src/discovery/endpoint_start_times.h"
#include "testing/start_times.h"

namespace puffinvane {
namespace {

using namespace test;

TEST(EndpointStartTimesClock, PutsANewStartBetweenTheListsWithoutAndWithIt) {
  for (double error : kWallClockErrors) {
    for (const char* name : {"a", "new"}) {  // started again, or listed for the first time
      SCOPED_TRACE(error);
      SCOPED_TRACE(name);
      EndpointStartTimes starts;
      first_start_time(starts, 100, {endpoint("a"), endpoint("b")}, error);
      starts.on_unchanged(102);

      double started =
          first_start_time(starts, 103.5, {endpoint(name).started_at(103), endpoint("b")}, error);

      EXPECT_THAT(started, between(102, 103.5));
    }
  }
}

TEST(EndpointStartTimesClock, KeepsAStartThatIsStatedAgainAfterAStep) {
  for (double step : kWallClockErrors) {
    SCOPED_TRACE(step);
    EndpointStartTimes starts;
    first_start_time(starts, 100, {endpoint("a")});
    EndpointBuilder started_again = endpoint("a").started_at(103);

    double started = first_start_time(starts, 104, {started_again});

    for (double received_at : {104.5, 106.0, 108.0}) {
      EXPECT_EQ(first_start_time(starts, received_at, {started_again}, step), started);
    }
    EXPECT_EQ(first_start_time(starts, 110, {started_again}), started);  // the step is undone
  }
}

TEST(EndpointStartTimesClock, KeepsTheStartOfAnEndpointThatWasUnlistedForAWhile) {
  for (double step : kWallClockErrors) {
    SCOPED_TRACE(step);
    EndpointStartTimes starts;
    first_start_time(starts, 100, {endpoint("a")});
    double started = first_start_time(starts, 104, {endpoint("a").started_at(103)});
    for (double received_at : {104.5, 106.0, 108.0}) {
      first_start_time(starts, received_at, {endpoint("a").started_at(103)}, step);
    }
    first_start_time(starts, 110, {endpoint("a").started_at(103)});

    double other_started = first_start_time(starts, 112, {endpoint("b")});
    double started_after = first_start_time(starts, 114, {endpoint("a").started_at(103)}, step);

    EXPECT_EQ(other_started, 0);
    EXPECT_EQ(started_after, started);
  }
}

// Without these messages, a clock that is ahead by less than the idle time would make each new endpoint seem
// older than it is and shorten its slow start by that error.
TEST(EndpointStartTimesClock, BoundsTheNextStartByMessagesWithoutChanges) {
  EndpointStartTimes starts;
  first_start_time(starts, 100, {endpoint("a"), endpoint("b")}, 5);
  for (double received_at = 102; received_at <= 200; received_at += 2) starts.on_unchanged(received_at);

  double started = first_start_time(starts, 200.5, {endpoint("a").started_at(200.2), endpoint("b")}, 5);

  EXPECT_GE(started, 200);
}

// The clock is stepped between two of discovery's messages, so the stated time isn't trusted, even if it
// happens to be within the bounds.
TEST(EndpointStartTimesClock, UsesTheLatestPossibleTimeAfterAClockStepDuringASilence) {
  for (double step : kWallClockErrors) {
    SCOPED_TRACE(step);
    EndpointStartTimes starts;
    first_start_time(starts, 100, {endpoint("a"), endpoint("b")});

    double started = first_start_time(starts, 120, {endpoint("a").started_at(118), endpoint("b")}, step);

    EXPECT_EQ(started, 120);
  }
}

// The clock is wrong from the beginning, so no step is observed.
TEST(EndpointStartTimesClock, UsesTheLatestPossibleTimeForAStartStatedLongBeforeItsBounds) {
  EndpointStartTimes starts;
  first_start_time(starts, 100, {endpoint("a"), endpoint("b")}, 3600);

  double started = first_start_time(starts, 120, {endpoint("a").started_at(118), endpoint("b")}, 3600);

  EXPECT_EQ(started, 120);
}

TEST(EndpointStartTimesClock, TrustsTheClockAgainAfterAStartWithinNarrowBounds) {
  for (double step : kWallClockErrors) {
    SCOPED_TRACE(step);
    EndpointStartTimes starts;
    first_start_time(starts, 100, {endpoint("a"), endpoint("b")});
    first_start_time(starts, 120, {endpoint("a").started_at(118), endpoint("b")}, step);

    starts.on_unchanged(130);
    first_start_time(starts, 131, {endpoint("a").started_at(118), endpoint("b").started_at(130.5)});
    starts.on_unchanged(131.5);
    first_start_time(
        starts, 132,
        {endpoint("a").started_at(118), endpoint("b").started_at(130.5), endpoint("c").started_at(131.8)});
    double started = first_start_time(starts, 150, {endpoint("a").started_at(140)});

    EXPECT_THAT(started, about(140));
  }
}

// The other starts keep their intervals to the newest one, which don't depend on the clock.
TEST(EndpointStartTimesClock, PutsTheNewestStartAtNowIfTheClockIsBehind) {
  EndpointStartTimes starts;

  std::vector<double> started = start_times(
      starts,
      snapshot_at(100,
                  {endpoint("old"), endpoint("older").started_at(60), endpoint("newest").started_at(98)}),
      wall_clock_ahead_by(-3600));

  EXPECT_EQ(started[0], 0);
  EXPECT_THAT(started[2], about(100));
  EXPECT_THAT(started[1], about(62));
}

TEST(EndpointStartTimesClock, PutsASingleStartInTheFutureAtNow) {
  EndpointStartTimes starts;

  std::vector<double> started =
      start_times(starts, snapshot_at(100, {endpoint("future").started_at(1e9), endpoint("a").started_at(40),
                                            endpoint("b").started_at(50)}));

  EXPECT_EQ(started[0], 100);
  EXPECT_THAT(started[1], about(40));
  EXPECT_THAT(started[2], about(50));
}

// The clock was wrong before the process started, and the first list has a start of a moment ago.
TEST(EndpointStartTimesClock, UsesTheDateOfTheResponseIfTheWallClockDisagrees) {
  for (double error : kWallClockErrors) {
    SCOPED_TRACE(error);
    EndpointStartTimes starts;
    ClockOffsets offsets = wall_clock_ahead_by(error);
    offsets.discovery_s = kStatedClockOffsetSeconds - 0.7;  // truncated to whole seconds

    std::vector<double> started =
        start_times(starts, snapshot_at(100, {endpoint("a"), endpoint("fresh").started_at(98)}), offsets);

    EXPECT_EQ(started[0], 0);
    EXPECT_THAT(started[1], between(98, 99));
  }
}

// The wall clock is more precise than the date.
TEST(EndpointStartTimesClock, UsesTheWallClockIfTheDateAgrees) {
  EndpointStartTimes starts;
  ClockOffsets offsets = right_wall_clock();
  offsets.discovery_s = kStatedClockOffsetSeconds - 0.7;

  std::vector<double> started =
      start_times(starts, snapshot_at(100, {endpoint("a").started_at(98)}), offsets);

  EXPECT_THAT(started.front(), about(98));
}

TEST(HttpDate, IsParsedAsUnixTime) { EXPECT_EQ(parse_http_date("Tue, 14 Nov 2023 22:13:20 GMT"), 1.7e9); }

TEST(HttpDate, IsRejectedIfInvalid) {
  EXPECT_FALSE(parse_http_date(""));
  EXPECT_FALSE(parse_http_date("yesterday"));
  EXPECT_FALSE(parse_http_date("Tue, 14 Nov 2023 22:13:20 GMT+1"));
}

}  // namespace
}  // namespace puffinvane
