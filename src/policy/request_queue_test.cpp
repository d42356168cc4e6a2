#include "src/policy/request_queue.h"

#include <gtest/gtest.h>

#include <vector>

namespace puffinvane {
namespace {

std::vector<RequestId> order_of(RequestQueue& queue) {
  std::vector<RequestId> order;
  for (const auto& [position, request] : queue) {
    order.push_back(request);
  }
  return order;
}

TEST(RequestQueue, OrdersByRankThenByArrival) {
  RequestQueue queue;
  queue.enqueue(1, 5);
  queue.enqueue(2, -1);
  queue.enqueue(3, 5);

  EXPECT_EQ(order_of(queue), (std::vector<RequestId>{2, 1, 3}));
}

TEST(RequestQueue, OrdersRetriesFirst) {
  RequestQueue queue;
  queue.enqueue(1, -1000);
  queue.enqueue(2, RequestQueue::kRetryRank);

  EXPECT_EQ(order_of(queue), (std::vector<RequestId>{2, 1}));
}

TEST(RequestQueue, CountsRequestsAhead) {
  RequestQueue queue;
  queue.enqueue(1, 0);
  queue.enqueue(2, 1);
  QueuePosition last = queue.enqueue(3, 2);

  EXPECT_EQ(queue.count_ahead_of(last), 2U);
}

TEST(RequestQueue, RemovesByPosition) {
  RequestQueue queue;
  QueuePosition position = queue.enqueue(1, 0);

  queue.remove(position);

  EXPECT_TRUE(queue.empty());
  EXPECT_EQ(queue.last_sequence(), 1U);
}

TEST(RequestQueue, TimeoutLeavesTimeForTwoUnloadedLatencies) {
  EXPECT_DOUBLE_EQ(RequestQueue::timeout_s(1, 0.1), 0.6);
}

TEST(RequestQueue, TimeoutIsAtLeastAFifthOfTheObjective) {
  EXPECT_DOUBLE_EQ(RequestQueue::timeout_s(1, 0.5), 0.2);
}

}  // namespace
}  // namespace puffinvane
