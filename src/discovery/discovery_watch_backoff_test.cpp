// How often the watch calls a discovery service that is shared by all instances and refuses calls.
#include <gtest/gtest.h>

#include <list>

#include "src/discovery/discovery_watch.h"
#include "testing/queueing_discovery.h"

namespace puffinvane {
namespace {

using namespace test;

// Without backoff all watches would call again at once. Refusing their calls would take all of discovery's
// time, and no call would be answered.
TEST(DiscoveryWatchBackoff, ReceivesTheListWithinSixSecondsAfterAllWatchesAreReset) {
  QueueingDiscovery discovery({.answer_s = 0.2, .refusal_s = 0.04});
  EventLoop events(256);
  std::list<WatchOwner> owners;
  for (std::uint64_t seed = 0; seed < 16; ++seed) {
    owners.emplace_back(events.loop(), discovery.address(), seed, DiscoveryMode::OnRequest);
  }
  double reset_at = now() + 6;

  events.loop().at(events.loop().now() + 6, [&] { discovery.reset_watches(); });
  events.run_for(12.5);

  for (const WatchOwner& owner : owners) {
    ASSERT_GE(owner.received_at_s().size(), 2u);
    EXPECT_LT(owner.received_at_s().front(), reset_at);
    EXPECT_GT(owner.received_at_s().back(), reset_at);
    EXPECT_LT(owner.received_at_s().back(), reset_at + 6);
  }
  EXPECT_GT(discovery.refused_count(), 0);  // discovery was overloaded
}

// The watch backs off while its calls are refused, but still calls often enough to notice in time when
// discovery answers again.
TEST(DiscoveryWatchBackoff, CallsLessOftenButKeepsCallingWhileRefused) {
  QueueingDiscovery discovery({.answer_s = 0, .refusal_s = 0, .max_queue_s = -1});
  EventLoop events;
  WatchOwner owner(events.loop(), discovery.address(), 5, DiscoveryMode::OnRequest);

  int early_count = 0;
  events.loop().at(events.loop().now() + 3, [&] { early_count = discovery.refused_count(); });
  events.run_for(9);
  int late_count = discovery.refused_count() - early_count;

  EXPECT_GE(early_count, 3);
  EXPECT_LE(early_count, 6);
  EXPECT_GE(late_count, 4);
  EXPECT_LE(late_count, 8);
}

}  // namespace
}  // namespace puffinvane
