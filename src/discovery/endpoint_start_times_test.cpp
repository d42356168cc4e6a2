// Start times with a correct wall clock: starts that are repeated, listed late or listed by another discovery
// service, and their export to a successor.
#include "src/discovery/endpoint_start_times.h"

#include <gtest/gtest.h>

#include <string>

#include "testing/start_times.h"

namespace puffinvane {
namespace {

using namespace test;

TEST(EndpointStartTimes, UsesStatedTimesIfTheClockIsCorrect) {
  EndpointStartTimes starts;

  std::vector<double> started = start_times(
      starts,
      snapshot_at(100, {endpoint("old"), endpoint("warm").started_at(40), endpoint("fresh").started_at(99)}));

  EXPECT_EQ(started[0], 0);
  EXPECT_THAT(started[1], about(40));
  EXPECT_THAT(started[2], about(99));
}

TEST(EndpointStartTimes, UsesAStatedTimeWithinTheBoundsOfASilence) {
  EndpointStartTimes starts;
  start_times(starts, snapshot_at(100, {endpoint("old"), endpoint("warm").started_at(40),
                                        endpoint("fresh").started_at(99)}));

  double started = first_start_time(starts, 120, {endpoint("old").started_at(107)});

  EXPECT_THAT(started, about(107));
}

// Discovery lists a start late: its stated time is before discovery's last message without it, which is the
// earliest possible time by the monotonic clock.
TEST(EndpointStartTimes, PutsAStartThatIsListedLateAtItsEarliestPossibleTime) {
  EndpointStartTimes starts;
  first_start_time(starts, 100, {endpoint("a")});

  double started = first_start_time(starts, 101, {endpoint("a").started_at(99)});

  EXPECT_EQ(started, 100);
}

TEST(EndpointStartTimes, KeepsTrustingTheClockAfterAStartThatIsListedLate) {
  EndpointStartTimes starts;
  first_start_time(starts, 100, {endpoint("a")});
  first_start_time(starts, 101, {endpoint("a").started_at(99)});

  double started = first_start_time(starts, 120, {endpoint("a").started_at(110)});

  EXPECT_THAT(started, about(110));
}

// A process that starts with a correct clock doesn't mistake long-running endpoints of its first list for new
// ones.
TEST(EndpointStartTimes, UsesStatedTimesOfACachedListAndOfTheFirstList) {
  EndpointStartTimes starts;
  EndpointList cached = snapshot_at(0, {endpoint("a").started_at(10), endpoint("b").started_at(20)});

  starts.set_cached_start_times(cached, 100, right_wall_clock());
  std::vector<double> started =
      start_times(starts, snapshot_at(100.1, {endpoint("a").started_at(10), endpoint("b").started_at(50),
                                              endpoint("c").started_at(60)}));

  EXPECT_THAT(cached.entries[0].online_since_s, about(10));
  EXPECT_EQ(started[0], cached.entries[0].online_since_s);
  EXPECT_THAT(started[1], about(50));
  EXPECT_THAT(started[2], about(60));
}

TEST(EndpointStartTimes, KeepsAStartWhenADelayedListStatesThePreviousOne) {
  EndpointStartTimes starts;
  first_start_time(starts, 100, {endpoint("a").started_at(50)});

  double started = first_start_time(starts, 102, {endpoint("a").started_at(101)});

  EXPECT_EQ(first_start_time(starts, 103, {endpoint("a").started_at(50)}), started);
  EXPECT_EQ(first_start_time(starts, 104, {endpoint("a")}), started);
  EXPECT_EQ(first_start_time(starts, 105, {endpoint("a").started_at(101)}), started);
}

TEST(EndpointStartTimes, UsesStatedTimesOfTheEndpointsOfAnotherDiscoveryService) {
  EndpointStartTimes starts;
  first_start_time(starts, 100, {endpoint("a"), endpoint("b")});

  starts.on_source_changed();
  std::vector<double> started = start_times(
      starts, snapshot_at(102, {endpoint("c").started_at(20), endpoint("d").started_at(30), endpoint("a")}));

  EXPECT_THAT(started[0], about(20));
  EXPECT_THAT(started[1], about(30));
}

TEST(EndpointStartTimes, BoundsNewEndpointsOfAnotherDiscoveryServiceThatListsMostlyKnownOnes) {
  EndpointStartTimes starts;
  first_start_time(starts, 100, {endpoint("a"), endpoint("b")});
  starts.on_source_changed();
  start_times(starts,
              snapshot_at(102, {endpoint("c").started_at(20), endpoint("d").started_at(30), endpoint("a")}));

  starts.on_source_changed();
  std::vector<double> started = start_times(
      starts,
      snapshot_at(
          104, {endpoint("c").started_at(20), endpoint("d").started_at(30), endpoint("e").started_at(103)}),
      wall_clock_ahead_by(3600));

  EXPECT_EQ(started[2], 104);
}

TEST(EndpointStartTimes, RemembersABoundedNumberOfUnlistedEndpoints) {
  EndpointStartTimes starts;

  for (int i = 0; i < 20000; ++i) {
    EndpointBuilder fresh = endpoint("s-" + std::to_string(i)).started_at(100.0 + i);
    start_times(starts, i % 2 == 0 ? snapshot_at(100 + i, {fresh}) : changes_at(100 + i, {fresh}));
  }
  for (int i = 0; i < 20000; ++i) {
    start_times(starts, changes_at(30000 + i, {endpoint("t-" + std::to_string(i)).removed()}));
  }

  EXPECT_LE(starts.known_endpoint_count(), EndpointStartTimes::kMaxUnlistedEndpoints + 2);
}

// The wall clock is stepped during a hot restart while an endpoint is in slow start. Endpoints keep their
// starts, and the start of an endpoint that starts meanwhile is bounded by discovery's last message to the
// predecessor.
TEST(EndpointStartTimes, KeepsStartsIfTheClockIsSteppedDuringAHotRestart) {
  for (double step : kWallClockErrors) {
    SCOPED_TRACE(step);
    EndpointStartTimes predecessor;
    first_start_time(predecessor, 100, {endpoint("a"), endpoint("b"), endpoint("c")});
    EndpointList list = snapshot_at(104, {endpoint("a").started_at(103), endpoint("b"), endpoint("c")});
    predecessor.on_list(list, right_wall_clock());
    list.entries[1].online_since_s = 103.7;  // set by an operator's override
    list.received_at_s = 0;                  // as in a list that the proxy has assembled
    predecessor.export_start_times(list);

    EndpointStartTimes successor;
    successor.import_start_times(list);
    EndpointList cached = list;
    successor.set_cached_start_times(cached, 104.2, wall_clock_ahead_by(step));
    std::vector<double> started = start_times(
        successor,
        snapshot_at(104.5, {endpoint("a").started_at(103), endpoint("b"), endpoint("c").started_at(104.1)}),
        wall_clock_ahead_by(step));

    EXPECT_EQ(started[0], list.entries[0].online_since_s);
    EXPECT_EQ(started[1], 103.7);
    EXPECT_THAT(started[2], between(104, 104.5));
    EXPECT_TRUE(cached.entries == list.entries);
  }
}

}  // namespace
}  // namespace puffinvane
