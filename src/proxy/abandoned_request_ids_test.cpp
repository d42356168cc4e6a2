#include "src/proxy/abandoned_request_ids.h"

#include <gtest/gtest.h>

#include <string>

namespace puffinvane {
namespace {

TEST(AbandonedRequestIds, KnowsAnIdForThirtySeconds) {
  AbandonedRequestIds ids;
  ids.add("one", 100);

  EXPECT_TRUE(ids.contains("one", 100));
  EXPECT_TRUE(ids.contains("one", 129.9));
  EXPECT_FALSE(ids.contains("one", 130.1));
}

TEST(AbandonedRequestIds, DoesNotKnowOtherIds) {
  AbandonedRequestIds ids;
  ids.add("one", 100);

  EXPECT_FALSE(ids.contains("two", 100));
}

TEST(AbandonedRequestIds, ForgetsTheOldestBeyondItsBound) {
  AbandonedRequestIds ids;
  for (std::size_t i = 0; i <= AbandonedRequestIds::kMaxIds; ++i) ids.add(std::to_string(i), 100);

  EXPECT_EQ(ids.count(), AbandonedRequestIds::kMaxIds);
  EXPECT_FALSE(ids.contains("0", 100));
  EXPECT_TRUE(ids.contains(std::to_string(AbandonedRequestIds::kMaxIds), 100));
}

}  // namespace
}  // namespace puffinvane
