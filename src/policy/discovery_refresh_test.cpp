#include "src/policy/discovery_refresh.h"

#include <gtest/gtest.h>

#include "testing/policy/builders.h"

namespace puffinvane {
namespace {

constexpr double kNow = 100;

TEST(DiscoveryRefresh, DoesNotPollIfListIsPushed) {
  Deployment deployment = test::deployment();
  DiscoveryRefresh refresh(deployment, kNow, 0);

  EXPECT_FALSE(refresh.begin_poll_if_due(kNow + 1000));
}

TEST(DiscoveryRefresh, SpreadsFirstPollsOverTwoFifthsOfTheInterval) {
  Deployment deployment = test::deployment().polling_endpoint_list();
  deployment.list_poll_interval_s = 10;
  DiscoveryRefresh refresh(deployment, kNow, 0.5);

  EXPECT_FALSE(refresh.begin_poll_if_due(kNow + 1.9));
  EXPECT_TRUE(refresh.begin_poll_if_due(kNow + 2));
  EXPECT_FALSE(refresh.begin_poll_if_due(kNow + 3));
}

TEST(DiscoveryRefresh, FailedPollsBackOff) {
  Deployment deployment = test::deployment().polling_endpoint_list();
  DiscoveryRefresh refresh(deployment, kNow, 0);
  Random random(5);

  for (double backoff_s : {0.5, 1.0, 2.0, 4.0}) {
    refresh.on_poll_failed(kNow, random);
    EXPECT_FALSE(refresh.begin_poll_if_due(kNow + 0.49 * backoff_s));
  }
  EXPECT_TRUE(refresh.begin_poll_if_due(kNow + 1.5 * 4));
}

TEST(DiscoveryRefresh, ReceivedListResetsBackoff) {
  Deployment deployment = test::deployment().polling_endpoint_list();
  DiscoveryRefresh refresh(deployment, kNow, 0);
  Random random(5);
  for (int poll = 0; poll < 4; ++poll) {
    refresh.on_poll_failed(kNow, random);
  }

  refresh.on_list_received();
  refresh.on_poll_failed(kNow, random);

  EXPECT_TRUE(refresh.begin_poll_if_due(kNow + 0.75));
}

TEST(DiscoveryRefresh, PollWithoutResponseFailsAfterTheInterval) {
  Deployment deployment = test::deployment().polling_endpoint_list();
  deployment.list_poll_interval_s = 10;
  DiscoveryRefresh refresh(deployment, kNow, 0);
  Random random(5);
  ASSERT_TRUE(refresh.begin_poll_if_due(kNow));

  refresh.fail_overdue_poll(kNow + 10, random);
  EXPECT_FALSE(refresh.begin_poll_if_due(kNow + 11));

  refresh.fail_overdue_poll(kNow + 10.1, random);
  EXPECT_TRUE(refresh.begin_poll_if_due(kNow + 10.1 + 0.75));
}

}  // namespace
}  // namespace puffinvane
